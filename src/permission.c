#include "permission.h"

#include <string.h>

/* Return the member that is NODE in the incarnation that joined, or NULL. */
static const struct member *
find_joined_member (const struct turn *t, const struct fleet_node *node)
{
  const struct member *m = members_find (t->members, node->node);

  return m != NULL && m->incarnation == node->incarnation ? m : NULL;
}

static gint
compare_newest_first (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

/* Whether M confirms that this node's view of the log was no older than M's
   own. */
static bool
confirms_view (const struct turn *t, const struct member *m)
{
  return m != NULL && !m->stopping && m->offset <= fleet_offset (t->fleet)
         && m->confirmed_ms >= 0 && m->confirmed_ms <= t->now_ms;
}

/* Return the latest clock time at which a majority of the joined nodes had
   read no further than this node; -1 for none.  This node counts towards the
   majority if it has JOINED. */
static int64_t
majority_confirmed_ms (const struct turn *t, bool joined)
{
  const GPtrArray *nodes = fleet_nodes (t->fleet);
  guint others_needed = joined ? nodes->len / 2 : nodes->len / 2 + 1;
  GArray *confirmed_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t current_at_ms = -1;

  for (guint i = 0; i < nodes->len; i++)
    {
      const struct fleet_node *n = g_ptr_array_index (nodes, i);
      const struct member *m = find_joined_member (t, n);

      if (strcmp (n->node, t->node) != 0 && confirms_view (t, m))
        g_array_append_val (confirmed_ms, m->confirmed_ms);
    }
  g_array_sort (confirmed_ms, compare_newest_first);
  if (others_needed == 0)
    current_at_ms = t->now_ms;
  else if (confirmed_ms->len >= others_needed)
    current_at_ms = g_array_index (confirmed_ms, int64_t, others_needed - 1);
  g_array_unref (confirmed_ms);
  return current_at_ms;
}

int64_t
permission_until (const struct turn *turn, int64_t fresh_ms)
{
  bool joined = fleet_has_joined (turn->fleet, turn->node, turn->incarnation);
  int64_t current_at_ms;

  if (turn->resuming || turn->is_catching_up)
    return -1;
  current_at_ms = majority_confirmed_ms (turn, joined);
  if (joined)
    current_at_ms = MAX (fresh_ms, current_at_ms);
  return current_at_ms < 0 ? -1 : current_at_ms + PERMISSION_MS;
}

bool
permission_read_by_quorum (const struct turn *turn, uint64_t offset)
{
  const GPtrArray *nodes = fleet_nodes (turn->fleet);
  uint32_t laggards = 0;
  uint32_t min_nodes = UINT32_MAX;

  for (guint i = 0; i < nodes->len; i++)
    {
      const struct fleet_node *n = g_ptr_array_index (nodes, i);
      const struct member *m = find_joined_member (turn, n);
      uint64_t read = m != NULL ? MAX (m->offset, n->joined_at_offset)
                                : n->joined_at_offset;

      if (strcmp (n->node, turn->node) == 0 || read >= offset)
        continue;
      laggards++;
      min_nodes = MIN (min_nodes, fleet_min_nodes_since (turn->fleet, read));
    }
  if (laggards == 0)
    return true;
  /* For a permission a laggard needs the confirmation of half of the nodes
     that it knows of, besides itself, and only other laggards would confirm
     its view.  Each laggard knows of at least MIN_NODES nodes. */
  return laggards <= min_nodes / 2;
}

bool
permission_is_revoked (const struct turn *turn, struct revocation *revocation,
                       uint64_t offset)
{
  if (revocation->offset != offset)
    *revocation = (struct revocation){ offset, -1 };
  if (!permission_read_by_quorum (turn, offset))
    revocation->quorum_read_ms = -1;
  else if (revocation->quorum_read_ms < 0)
    revocation->quorum_read_ms = turn->now_ms;
  return revocation->quorum_read_ms >= 0
         && turn->now_ms - revocation->quorum_read_ms
                >= PERMISSION_MS + PERMISSION_MARGIN_MS;
}

bool
permission_may_start (const struct turn *turn, const struct fleet_vm *vm,
                      const char *pool)
{
  return vm != NULL && vm->phase == VM_SERVING && strcmp (vm->pool, pool) == 0
         && turn->now_ms <= turn->may_start_until_ms;
}
