#include "cell_place.h"

#include <string.h>

/* Preferred racks: a task takes far_rack_factor times as long away from the
   rack that holds its data.  It waits for that rack if it ends sooner so. */

/* A worker that has not answered for so long counts as lost to its rack. */
#define WORKER_LOST_MS 1500
/* How long a gang waits for its rack before it is checked whether the rack is
   lost, and the interval between two such checks. */
#define GANG_RACK_WAIT_MS 1500
#define GANG_CHECK_INTERVAL_MS 250

/* What waits for a rack in the present placement. */
struct rack_queue
{
  GPtrArray *workers;   /* struct cell_worker *, of the rack */
  double freed_cpu;     /* thousandths of a core that get free in a ms */
  uint64_t waiting_cpu; /* thousandths of a core that wait for the rack */
};

static void
rack_queue_free (gpointer p)
{
  struct rack_queue *q = p;

  g_ptr_array_unref (q->workers);
  g_free (q);
}

GHashTable *
cell_rack_queues_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                rack_queue_free);
}

static bool
has_preferred_rack (const struct cell *c, const struct job_step *s)
{
  return s->preferred_rack[0] != '\0' && c->options.far_rack_factor > 1;
}

double
cell_rack_factor (const struct cell *c, const struct job_step *s,
                  const struct cell_worker *w)
{
  return has_preferred_rack (c, s)
                 && strcmp (s->preferred_rack, w->entry->rack) != 0
             ? c->options.far_rack_factor
             : 1;
}

/* Return the processor share that tasks on W free in a ms.  Those without an
   end free none. */
static double
freed_cpu (const struct cell *c, const struct cell_worker *w)
{
  double freed = 0;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const struct cell_task *t = g_ptr_array_index (w->tasks, i);
      const struct job_step *s = cell_task_step (t);

      if (s->is_long_running || s->is_best_effort)
        continue;
      freed
          += s->cpu_milli
             / (cell_rack_factor (c, s, w)
                * (double)MAX (
                    cell_expected_run_ms (c, t->occurrence->job->spec, s), 1));
    }
  return freed;
}

static struct rack_queue *
find_queue (struct cell *c, const char *rack)
{
  struct rack_queue *q = g_hash_table_lookup (c->rack_queues, rack);

  if (q != NULL)
    return q;
  q = g_new0 (struct rack_queue, 1);
  q->workers = g_ptr_array_new ();
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (strcmp (w->entry->rack, rack) != 0)
        continue;
      g_ptr_array_add (q->workers, w);
      q->freed_cpu += freed_cpu (c, w);
    }
  g_hash_table_insert (c->rack_queues, g_strdup (rack), q);
  return q;
}

/* Return whether W may run T once it has room. */
static bool
can_run_later (const struct cell *c, const struct cell_task *t,
               const struct cell_worker *w)
{
  const struct worker_resources unused = { 0 };

  return cell_worker_is_in_service (w) && cell_may_run_later (c, t, w)
         && cell_step_fits (cell_task_step (t), &unused, &w->entry->capacity);
}

/* Return whether T has to wait for room in its rack: some worker there may run
   it, and none can now. */
static bool
lacks_room_in_rack (const struct cell *c, const struct cell_task *t,
                    const struct rack_queue *q, int64_t now_ms)
{
  bool can_wait = false;

  for (guint i = 0; i < q->workers->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (q->workers, i);

      if (!can_run_later (c, t, w))
        continue;
      /* Another worker was chosen in spite of this one, which is slow or
         cools down. */
      if (cell_has_room (w, cell_task_step (t))
          && cell_may_run_on (c, t, w, false, now_ms)
          && cell_has_ticket (t, w, now_ms))
        return false;
      can_wait = true;
    }
  return can_wait;
}

/* Return whether T's job ends in time even if T takes EXTRA_MS longer. */
static bool
has_time_for (const struct cell *c, const struct cell_task *t,
              int64_t extra_ms, int64_t now_ms)
{
  const struct cell_job *job = t->occurrence->job;

  return now_ms + cell_expected_path_ms (c, job->spec) + extra_ms
         <= job->deadline_ms;
}

bool
cell_waits_for_rack (struct cell *c, struct cell_task *t,
                     const struct cell_worker *w, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  double factor = cell_rack_factor (c, s, w);
  int64_t extra_ms;
  struct rack_queue *q;
  double wait_ms;

  if (factor <= 1 || s->is_long_running || s->is_best_effort)
    return false;
  q = find_queue (c, s->preferred_rack);
  if (q->freed_cpu <= 0 || !lacks_room_in_rack (c, t, q, now_ms))
    return false;
  extra_ms = (int64_t)((factor - 1)
                       * (double)cell_expected_run_ms (
                           c, t->occurrence->job->spec, s));
  wait_ms = (double)(q->waiting_cpu + s->cpu_milli) / q->freed_cpu;
  if (wait_ms > (double)extra_ms)
    return false;
  /* Of several, those that can afford it leave the rack to the others. */
  if (q->waiting_cpu > 0 && has_time_for (c, t, extra_ms, now_ms))
    return false;
  /* If the rack's tasks take longer than expected, T loses no more by waiting
     than by running elsewhere. */
  if (t->rack_wait_ms == 0)
    t->rack_wait_ms = now_ms;
  if (now_ms > t->rack_wait_ms + extra_ms)
    return false;
  q->waiting_cpu += s->cpu_milli;
  return true;
}

/* Gangs. */

static bool
is_lost (const struct cell_worker *w, int64_t now_ms)
{
  return !w->is_listed || w->entry->draining || w->is_emptying
         || (w->silent_ms != 0 && now_ms >= w->silent_ms + WORKER_LOST_MS);
}

/* Return whether RACK can hold all tasks of the gang of FIRST later. */
static bool
can_hold_gang (const struct cell *c, const struct cell_task *first,
               const char *rack, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (first);
  uint64_t n = 0;

  for (guint i = 0; i < c->worker_list->len && n < s->count; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (strcmp (w->entry->rack, rack) == 0 && !is_lost (w, now_ms)
          && cell_may_run_later (c, first, w))
        n += cell_slots_once_drained (w, s);
    }
  return n >= s->count;
}

static bool
can_any_rack_hold_gang (const struct cell *c, const struct cell_task *first,
                        int64_t now_ms)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (can_hold_gang (c, first, w->entry->rack, now_ms))
        return true;
    }
  return false;
}

enum gang_racks
cell_gang_racks (const struct cell *c, struct cell_task *first, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (first);
  enum gang_racks narrowest = s->preferred_rack[0] != '\0'
                                  ? GANG_IN_PREFERRED_RACK
                                  : GANG_IN_ONE_RACK;

  if (first->rack_wait_ms == 0)
    first->rack_wait_ms = now_ms;
  if (now_ms < first->rack_wait_ms + GANG_RACK_WAIT_MS)
    return narrowest;
  first->rack_wait_ms = now_ms - GANG_RACK_WAIT_MS + GANG_CHECK_INTERVAL_MS;
  if (narrowest == GANG_IN_PREFERRED_RACK
      && can_hold_gang (c, first, s->preferred_rack, now_ms))
    return GANG_IN_PREFERRED_RACK;
  return can_any_rack_hold_gang (c, first, now_ms) ? GANG_IN_ONE_RACK
                                                   : GANG_IN_ANY_RACKS;
}
