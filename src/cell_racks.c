#include "cell_place.h"

#include <string.h>

/* Preferred racks: a task takes far_rack_factor times as long away from the
   rack that holds its data.  It waits for that rack if it ends sooner so. */

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
  const struct job_step *s = cell_task_step (t);
  const struct worker_resources unused = { 0 };

  return cell_worker_is_in_service (w) && !w->is_emptying
         && !cell_is_avoided (c, w)
         && cell_step_fits (s, &unused, &w->entry->capacity)
         && cell_has_label (w, s);
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
          && cell_may_run_on (c, t, w, now_ms)
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
