#include "queue.h"

/* A team within its quota goes before those above theirs once it has waited
   for this part of its target. */
#define RIGHT_OF_WAY_PARTS 2

/* One team's line in one lane. */
struct line
{
  const struct quota_team *team;
  GSequence *order; /* struct waiting * by start_by_ms */
};

struct queue
{
  GHashTable *lines[LANE_COUNT]; /* struct quota_team * -> struct line * */
  GSequence *all[LANE_COUNT];    /* struct waiting * by start_by_ms */
  int64_t work_us[LANE_COUNT];
  uint64_t pushed; /* how many have come */
};

void
waiting_destroy (struct waiting *waiting)
{
  if (waiting == NULL)
    return;
  g_free (waiting->node);
  g_free (waiting->class_name);
  g_free (waiting->avoid);
  g_free (waiting);
}

static void
line_free (gpointer p)
{
  struct line *l = p;

  g_sequence_free (l->order);
  g_free (l);
}

struct queue *
queue_new (void)
{
  struct queue *q = g_new0 (struct queue, 1);

  for (int lane = 0; lane < LANE_COUNT; lane++)
    {
      q->lines[lane] = g_hash_table_new_full (NULL, NULL, NULL, line_free);
      q->all[lane] = g_sequence_new (NULL);
    }
  return q;
}

static void
destroy_waiting (gpointer w, gpointer unused)
{
  waiting_destroy (w);
}

void
queue_destroy (struct queue *queue)
{
  if (queue == NULL)
    return;
  for (int lane = 0; lane < LANE_COUNT; lane++)
    {
      g_sequence_foreach (queue->all[lane], destroy_waiting, NULL);
      g_sequence_free (queue->all[lane]);
      g_hash_table_unref (queue->lines[lane]);
    }
  g_free (queue);
}

static gint
compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct waiting *x = a;
  const struct waiting *y = b;

  if (x->start_by_ms != y->start_by_ms)
    return x->start_by_ms < y->start_by_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static struct line *
line_of (struct queue *q, enum lane lane, const struct quota_team *team)
{
  struct line *l = g_hash_table_lookup (q->lines[lane], team);

  if (l != NULL)
    return l;
  l = g_new0 (struct line, 1);
  l->team = team;
  l->order = g_sequence_new (NULL);
  g_hash_table_insert (q->lines[lane], (gpointer)team, l);
  return l;
}

void
queue_push (struct queue *queue, struct waiting *waiting)
{
  struct line *l = line_of (queue, waiting->lane, waiting->team);

  waiting->order = queue->pushed++;
  waiting->in_line
      = g_sequence_insert_sorted (l->order, waiting, compare, NULL);
  waiting->in_lane = g_sequence_insert_sorted (queue->all[waiting->lane],
                                               waiting, compare, NULL);
  queue->work_us[waiting->lane] += waiting->run_us;
  waiting->team->waiting++;
}

void
queue_remove (struct queue *queue, struct waiting *waiting)
{
  GSequence *order = g_sequence_iter_get_sequence (waiting->in_line);

  g_sequence_remove (waiting->in_line);
  g_sequence_remove (waiting->in_lane);
  if (g_sequence_is_empty (order))
    g_hash_table_remove (queue->lines[waiting->lane], waiting->team);
  queue->work_us[waiting->lane] -= waiting->run_us;
  waiting->team->waiting--;
}

static struct waiting *
first_of (GSequence *s)
{
  GSequenceIter *i = g_sequence_get_begin_iter (s);

  return g_sequence_iter_is_end (i) ? NULL : g_sequence_get (i);
}

/* Whether W, whose team is WITHIN its quota, has waited so long that no team
   above its quota may go first. */
static bool
has_right_of_way (const struct waiting *w, bool within, int64_t now_ms)
{
  int64_t left_ms = w->start_by_ms - now_ms;

  return within && left_ms < w->target_ms - w->target_ms / RIGHT_OF_WAY_PARTS;
}

struct waiting *
queue_next (const struct queue *queue, enum lane lane,
            const struct quota *quota, uint32_t slots, int64_t now_ms)
{
  GHashTableIter i;
  gpointer p;
  struct waiting *best = NULL;
  bool best_first = false;

  g_hash_table_iter_init (&i, queue->lines[lane]);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct line *l = p;
      struct waiting *w = first_of (l->order);
      bool first = has_right_of_way (
          w, quota_is_within (quota, l->team, slots), now_ms);

      if (best == NULL || first > best_first
          || (first == best_first && compare (w, best, NULL) < 0))
        {
          best = w;
          best_first = first;
        }
    }
  return best;
}

struct waiting *
queue_earliest (const struct queue *queue, enum lane lane)
{
  return first_of (queue->all[lane]);
}

uint32_t
queue_ahead (const struct queue *queue, const struct waiting *waiting,
             uint32_t *of_team)
{
  *of_team = (uint32_t)g_sequence_iter_get_position (waiting->in_line);
  return (uint32_t)g_sequence_iter_get_position (waiting->in_lane);
}

uint32_t
queue_length (const struct queue *queue, enum lane lane)
{
  return (uint32_t)g_sequence_get_length (queue->all[lane]);
}

int64_t
queue_work_us (const struct queue *queue, enum lane lane)
{
  return queue->work_us[lane];
}
