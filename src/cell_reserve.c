#include "cell_place.h"

#include <string.h>

/* Reservation: workers that are kept for a wide step, which would otherwise
   lose the room that becomes free to smaller ones. */

/* Attempts of one placement.  A gang that fits nowhere, whatever ends, must
   not keep others from a reservation; each attempt looks at all workers. */
#define TRIES_MAX 8

void
cell_clear_reservations (struct cell *c)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    ((struct cell_worker *)g_ptr_array_index (c->worker_list, i))->is_reserved
        = false;
  c->reserved_priorities = 0;
  c->reservation_tries = 0;
}

static bool
was_reserved_for (const struct cell_worker *w, const struct cell_job *job)
{
  return strcmp (w->reserved_job, job->spec->id) == 0;
}

bool
cell_is_reserved_for_other (const struct cell_worker *w,
                            const struct cell_task *t)
{
  return w->is_reserved && !cell_task_step (t)->is_long_running
         && !was_reserved_for (w, t->occurrence->job);
}

/* Return whether JOB has waited for more than half of its slack. */
static bool
has_waited_long (const struct cell_job *job)
{
  int64_t slack_ms = job->order.objective_ms - job->order.path_ms;

  return job->order.waited_ms > MAX (slack_ms, 0) / 2;
}

/* Those reserved for the job before come first, so that what they have drained
   is not lost; then those with least work. */
static gint
compare_candidates (gconstpointer a, gconstpointer b, gpointer job)
{
  const struct cell_worker *x = *(struct cell_worker *const *)a;
  const struct cell_worker *y = *(struct cell_worker *const *)b;

  if (was_reserved_for (x, job) != was_reserved_for (y, job))
    return was_reserved_for (x, job) ? -1 : 1;
  if (x->used.cpu_milli != y->used.cpu_milli)
    return x->used.cpu_milli < y->used.cpu_milli ? -1 : 1;
  return strcmp (x->entry->id, y->entry->id);
}

/* Reserve the first CANDIDATES, if they have room for NEEDED tasks of S once
   they are drained; only those of RACK unless that is NULL.  Return whether
   they were reserved. */
static bool
reserve (const GPtrArray *candidates, const struct cell_job *job,
         const struct job_step *s, uint32_t needed, const char *rack)
{
  uint32_t slots = 0;
  guint end = 0;

  for (; end < candidates->len && slots < needed; end++)
    {
      const struct cell_worker *w = g_ptr_array_index (candidates, end);

      if (rack == NULL || strcmp (w->entry->rack, rack) == 0)
        slots += cell_slots_once_drained (w, s);
    }
  if (slots < needed)
    return false;
  for (guint i = 0; i < end; i++)
    {
      struct cell_worker *w = g_ptr_array_index (candidates, i);

      if ((rack != NULL && strcmp (w->entry->rack, rack) != 0)
          || cell_slots_once_drained (w, s) == 0)
        continue;
      w->is_reserved = true;
      g_strlcpy (w->reserved_job, job->spec->id, sizeof w->reserved_job);
    }
  return true;
}

static bool
reserve_in_a_rack (const GPtrArray *candidates, const struct cell_job *job,
                   const struct job_step *s)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (candidates, i);

      if ((s->preferred_rack[0] == '\0'
           || strcmp (s->preferred_rack, w->entry->rack) == 0)
          && reserve (candidates, job, s, s->count, w->entry->rack))
        return true;
    }
  return false;
}

void
cell_reserve_for (struct cell *c, const struct cell_task *t, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  struct cell_job *job = t->occurrence->job;
  uint32_t priority = 1U << MIN (job->spec->priority, CELL_PRIORITIES - 1);
  bool needs_avoided;
  GPtrArray *candidates;

  if ((c->reserved_priorities & priority) != 0
      || c->reservation_tries >= TRIES_MAX || s->is_long_running
      || s->is_best_effort || job->order.is_scheduled || job->order.is_excess
      || !cell_is_overload_lasting (c, now_ms) || !has_waited_long (job))
    return;
  c->reservation_tries++;
  needs_avoided = cell_needs_avoided (c, t);
  candidates = g_ptr_array_new ();
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (!w->is_reserved && cell_may_run_on (c, t, w, needs_avoided, now_ms)
          && cell_has_ticket (t, w, now_ms))
        g_ptr_array_add (candidates, w);
    }
  g_ptr_array_sort_with_data (candidates, compare_candidates, job);
  if (s->is_gang && s->prefers_same_rack
          ? reserve_in_a_rack (candidates, job, s)
          : reserve (candidates, job, s, s->is_gang ? s->count : 1, NULL))
    c->reserved_priorities |= priority;
  g_ptr_array_unref (candidates);
}
