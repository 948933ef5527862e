#include "queue.h"

/* A request of a team within its quota goes before those of teams above their
   quota once it has waited for its start target divided by this. */
#define QUOTA_PRIORITY_DIVISOR 2

/* The waiting requests of one team in one lane. */
struct team_queue
{
  const struct quota_team *team;
  GSequence *requests; /* struct waiting_request * by start_by_ms */
};

struct queue
{
  GHashTable *team_queues[LANE_COUNT]; /* by struct quota_team * */
  GSequence *lanes[LANE_COUNT]; /* struct waiting_request * by start_by_ms */
  int64_t work_us[LANE_COUNT];
  uint64_t arrivals; /* requests pushed so far */
};

void
waiting_request_destroy (struct waiting_request *waiting)
{
  if (waiting == NULL)
    return;
  g_free (waiting->node);
  g_free (waiting->class_name);
  g_free (waiting->avoid_vm);
  g_free (waiting);
}

static void
team_queue_free (gpointer p)
{
  struct team_queue *tq = p;

  g_sequence_free (tq->requests);
  g_free (tq);
}

struct queue *
queue_new (void)
{
  struct queue *q = g_new0 (struct queue, 1);

  for (int lane = 0; lane < LANE_COUNT; lane++)
    {
      q->team_queues[lane]
          = g_hash_table_new_full (NULL, NULL, NULL, team_queue_free);
      q->lanes[lane] = g_sequence_new (NULL);
    }
  return q;
}

static void
destroy_request (gpointer w, gpointer unused)
{
  waiting_request_destroy (w);
}

void
queue_destroy (struct queue *queue)
{
  if (queue == NULL)
    return;
  for (int lane = 0; lane < LANE_COUNT; lane++)
    {
      g_sequence_foreach (queue->lanes[lane], destroy_request, NULL);
      g_sequence_free (queue->lanes[lane]);
      g_hash_table_unref (queue->team_queues[lane]);
    }
  g_free (queue);
}

static gint
compare_deadlines (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct waiting_request *x = a;
  const struct waiting_request *y = b;

  if (x->start_by_ms != y->start_by_ms)
    return x->start_by_ms < y->start_by_ms ? -1 : 1;
  return x->arrival < y->arrival ? -1 : x->arrival > y->arrival;
}

static struct team_queue *
team_queue_of (struct queue *q, enum lane lane, const struct quota_team *team)
{
  struct team_queue *tq = g_hash_table_lookup (q->team_queues[lane], team);

  if (tq != NULL)
    return tq;
  tq = g_new0 (struct team_queue, 1);
  tq->team = team;
  tq->requests = g_sequence_new (NULL);
  g_hash_table_insert (q->team_queues[lane], (gpointer)team, tq);
  return tq;
}

void
queue_push (struct queue *queue, struct waiting_request *waiting)
{
  struct team_queue *tq = team_queue_of (queue, waiting->lane, waiting->team);

  waiting->arrival = queue->arrivals++;
  waiting->team_iter = g_sequence_insert_sorted (tq->requests, waiting,
                                                 compare_deadlines, NULL);
  waiting->lane_iter = g_sequence_insert_sorted (
      queue->lanes[waiting->lane], waiting, compare_deadlines, NULL);
  queue->work_us[waiting->lane] += waiting->run_us;
  waiting->team->waiting++;
}

void
queue_remove (struct queue *queue, struct waiting_request *waiting)
{
  GSequence *requests = g_sequence_iter_get_sequence (waiting->team_iter);

  g_sequence_remove (waiting->team_iter);
  g_sequence_remove (waiting->lane_iter);
  if (g_sequence_is_empty (requests))
    g_hash_table_remove (queue->team_queues[waiting->lane], waiting->team);
  queue->work_us[waiting->lane] -= waiting->run_us;
  waiting->team->waiting--;
}

static struct waiting_request *
first_request (GSequence *s)
{
  GSequenceIter *i = g_sequence_get_begin_iter (s);

  return g_sequence_iter_is_end (i) ? NULL : g_sequence_get (i);
}

/* Whether W goes before the requests of teams above their quota: its team is
   WITHIN its own quota, and W has waited for half of its start target. */
static bool
has_quota_priority (const struct waiting_request *w, bool within,
                    int64_t now_ms)
{
  int64_t left_ms = w->start_by_ms - now_ms;

  return within
         && left_ms < w->target_ms - w->target_ms / QUOTA_PRIORITY_DIVISOR;
}

struct waiting_request *
queue_next (const struct queue *queue, enum lane lane,
            const struct quota *quota, uint32_t slots, int64_t now_ms)
{
  GHashTableIter i;
  gpointer p;
  struct waiting_request *best = NULL;
  bool best_has_priority = false;

  g_hash_table_iter_init (&i, queue->team_queues[lane]);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct team_queue *tq = p;
      struct waiting_request *w = first_request (tq->requests);
      bool has_priority = has_quota_priority (
          w, quota_is_within (quota, tq->team, slots), now_ms);

      if (best == NULL || has_priority > best_has_priority
          || (has_priority == best_has_priority
              && compare_deadlines (w, best, NULL) < 0))
        {
          best = w;
          best_has_priority = has_priority;
        }
    }
  return best;
}

struct waiting_request *
queue_earliest (const struct queue *queue, enum lane lane)
{
  return first_request (queue->lanes[lane]);
}

uint32_t
queue_ahead (const struct queue *queue, const struct waiting_request *waiting,
             uint32_t *ahead_in_team)
{
  *ahead_in_team = (uint32_t)g_sequence_iter_get_position (waiting->team_iter);
  return (uint32_t)g_sequence_iter_get_position (waiting->lane_iter);
}

uint32_t
queue_length (const struct queue *queue, enum lane lane)
{
  return (uint32_t)g_sequence_get_length (queue->lanes[lane]);
}

int64_t
queue_work_us (const struct queue *queue, enum lane lane)
{
  return queue->work_us[lane];
}
