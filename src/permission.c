#include "permission.h"

#include <string.h>

/* The member that is NODE as the log knows it, or NULL. */
static const struct member *
joined_member (const struct turn *t, const struct fleet_node *node)
{
  const struct member *m = members_find (t->members, node->node);

  return m != NULL && m->incarnation == node->incarnation ? m : NULL;
}

static gint
newest_first (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

/* Whether M confirms that this node's view is no older than its own. */
static bool
confirms (const struct turn *t, const struct member *m)
{
  return m != NULL && !m->stopping && m->offset <= fleet_offset (t->fleet)
         && m->confirmed_ms >= 0 && m->confirmed_ms <= t->now_ms;
}

/* The latest moment at which a majority of the joined nodes had read no
   further than this node; -1 for none.  This node is one of them if it has
   JOINED. */
static int64_t
majority_ms (const struct turn *t, bool joined)
{
  const GPtrArray *nodes = fleet_nodes (t->fleet);
  guint others_needed = joined ? nodes->len / 2 : nodes->len / 2 + 1;
  GArray *moments = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t moment_ms = -1;

  for (guint i = 0; i < nodes->len; i++)
    {
      const struct fleet_node *n = g_ptr_array_index (nodes, i);
      const struct member *m = joined_member (t, n);

      if (strcmp (n->node, t->node) != 0 && confirms (t, m))
        g_array_append_val (moments, m->confirmed_ms);
    }
  g_array_sort (moments, newest_first);
  if (others_needed == 0)
    moment_ms = t->now_ms;
  else if (moments->len >= others_needed)
    moment_ms = g_array_index (moments, int64_t, others_needed - 1);
  g_array_unref (moments);
  return moment_ms;
}

int64_t
permission_until (const struct turn *turn, int64_t fresh_ms)
{
  bool joined = fleet_has_joined (turn->fleet, turn->node, turn->incarnation);
  int64_t moment_ms;

  if (turn->resuming || turn->behind)
    return -1;
  moment_ms = majority_ms (turn, joined);
  if (joined)
    moment_ms = MAX (fresh_ms, moment_ms);
  return moment_ms < 0 ? -1 : moment_ms + PERMISSION_MS;
}

bool
permission_read_by_most (const struct turn *turn, uint64_t offset)
{
  const GPtrArray *nodes = fleet_nodes (turn->fleet);
  uint32_t missing = 0;
  uint32_t smallest = UINT32_MAX;

  for (guint i = 0; i < nodes->len; i++)
    {
      const struct fleet_node *n = g_ptr_array_index (nodes, i);
      const struct member *m = joined_member (turn, n);
      uint64_t read = m != NULL ? MAX (m->offset, n->joined) : n->joined;

      if (strcmp (n->node, turn->node) == 0 || read >= offset)
        continue;
      missing++;
      smallest = MIN (smallest, fleet_min_nodes_since (turn->fleet, read));
    }
  if (missing == 0)
    return true;
  /* A missing node needs half of the nodes besides itself, as it knows
     them, and only other missing ones would confirm its view. */
  return missing <= smallest / 2;
}

bool
permission_is_closed (const struct turn *turn, struct closing *closing,
                      uint64_t offset)
{
  if (closing->offset != offset)
    *closing = (struct closing){ offset, -1 };
  if (!permission_read_by_most (turn, offset))
    closing->read_by_most_ms = -1;
  else if (closing->read_by_most_ms < 0)
    closing->read_by_most_ms = turn->now_ms;
  return closing->read_by_most_ms >= 0
         && turn->now_ms - closing->read_by_most_ms
                >= PERMISSION_MS + PERMISSION_MARGIN_MS;
}

bool
permission_to_start (const struct turn *turn, const struct fleet_vm *vm,
                     const char *pool)
{
  return vm != NULL && vm->phase == VM_SERVING && strcmp (vm->pool, pool) == 0
         && turn->now_ms <= turn->permit_until_ms;
}
