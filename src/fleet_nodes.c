#include "fleet_state.h"

#include <string.h>

/* The records about nodes: which nodes have joined, and the smallest number of
   them since an offset. */

static int
find_node (const struct fleet *f, const char *node)
{
  for (guint i = 0; i < f->nodes->len; i++)
    {
      const struct fleet_node *n = g_ptr_array_index (f->nodes, i);

      if (strcmp (n->node, node) == 0)
        return (int)i;
    }
  return -1;
}

/* Record the number of nodes after a change at OFFSET.  Entries with at least
   as many nodes are merged into the new one, as they are no minimum any more;
   so there are never more entries than nodes. */
static void
note_node_count (struct fleet *f, uint64_t offset)
{
  struct node_count now = { offset, f->nodes->len };
  GArray *counts = f->node_counts;

  while (counts->len > 0
         && g_array_index (counts, struct node_count, counts->len - 1).n
                >= now.n)
    {
      now.offset
          = g_array_index (counts, struct node_count, counts->len - 1).offset;
      g_array_set_size (counts, counts->len - 1);
    }
  g_array_append_val (counts, now);
}

uint32_t
fleet_min_nodes_since (const struct fleet *fleet, uint64_t since)
{
  const GArray *counts = fleet->node_counts;
  uint32_t n = 0;

  for (guint i = 0; i < counts->len; i++)
    {
      const struct node_count *c
          = &g_array_index (counts, struct node_count, i);

      if (c->offset > since)
        break;
      n = c->n;
    }
  return n;
}

bool
fleet_has_joined (const struct fleet *fleet, const char *node,
                  uint64_t incarnation)
{
  int i = find_node (fleet, node);
  const struct fleet_node *n;

  if (i < 0)
    return false;
  n = g_ptr_array_index (fleet->nodes, (guint)i);
  return n->incarnation == incarnation;
}

enum verdict
fleet_apply_join (struct fleet *f, const struct record *r, uint64_t offset)
{
  int i = find_node (f, r->node);
  struct fleet_node *n;

  if (i >= 0)
    {
      n = g_ptr_array_index (f->nodes, (guint)i);
      if (n->incarnation == r->incarnation)
        return VERDICT_REPEATED;
      g_ptr_array_remove_index (f->nodes, (guint)i);
    }
  n = g_new0 (struct fleet_node, 1);
  n->node = g_strdup (r->node);
  n->zone = g_strdup (r->u.node_join.zone);
  n->incarnation = r->incarnation;
  n->joined_at_offset = offset;
  g_ptr_array_add (f->nodes, n);
  note_node_count (f, offset);
  return VERDICT_ACCEPTED;
}

enum verdict
fleet_apply_leave (struct fleet *f, const struct record *r, uint64_t offset)
{
  int i = find_node (f, r->node);
  const struct fleet_node *n;

  if (i < 0)
    return VERDICT_UNKNOWN;
  n = g_ptr_array_index (f->nodes, (guint)i);
  if (n->incarnation != r->incarnation)
    return VERDICT_CONFLICT;
  g_ptr_array_remove_index (f->nodes, (guint)i);
  note_node_count (f, offset);
  return VERDICT_ACCEPTED;
}
