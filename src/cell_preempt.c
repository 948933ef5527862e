#include "cell_place.h"

/* Preemption by a finite task of the highest priority: stops tasks of lower
   priority that resume from a checkpoint. */

/* Minimum interval between two attempts for one task, and in the cell: each
   one looks at all running tasks. */
#define TASK_INTERVAL_MS 500
#define CELL_INTERVAL_MS 100
/* A task beyond this part of its work is not stopped. */
#define LAST_QUARTER_PERCENT 75
/* Time lost by a stopped task in addition to what its checkpoint lacks: its
   next start, and the transfer of the checkpoint. */
#define RESTART_MS 500
/* Added to the duration of a stop for the calls of stop and start. */
#define CALLS_MS 400
/* Tasks that are stopped at most to make room for one. */
#define STOPPED_MAX 8

/* What to stop on one worker to make room for a task there. */
struct preemption
{
  struct cell_worker *worker;
  struct cell_task *stopped[STOPPED_MAX];
  guint n_stopped;
  uint64_t lost; /* work thrown away, in thousandths of a core times ms */
};

/* Return the work that stopping T throws away. */
static uint64_t
lost_work (const struct cell_task *t, int64_t now_ms)
{
  int64_t since_ms = MAX (t->phase_ms, t->checkpoint_ms);

  return (uint64_t)(now_ms - since_ms + RESTART_MS)
         * cell_task_step (t)->cpu_milli;
}

static bool
may_be_preempted (const struct cell_task *t, uint32_t priority)
{
  const struct job_step *s = cell_task_step (t);

  return t->phase == TASK_RUNNING
         && t->occurrence->job->spec->priority > priority && s->has_checkpoints
         && !s->is_long_running && !s->is_gang && !s->is_best_effort
         && t->percent < LAST_QUARTER_PERCENT;
}

/* Return the task on P's worker that is stopped next, the one with least work
   to throw away, or NULL. */
static struct cell_task *
next_to_stop (const struct preemption *p, uint32_t priority, int64_t now_ms)
{
  struct cell_task *best = NULL;

  for (guint i = 0; i < p->worker->tasks->len; i++)
    {
      struct cell_task *t = g_ptr_array_index (p->worker->tasks, i);
      bool is_chosen = false;

      for (guint k = 0; k < p->n_stopped; k++)
        is_chosen = is_chosen || p->stopped[k] == t;
      if (!is_chosen && may_be_preempted (t, priority)
          && (best == NULL
              || lost_work (t, now_ms) < lost_work (best, now_ms)))
        best = t;
    }
  return best;
}

/* Find in *P what to stop on W, where T may run, so that T fits.  Return false
   if that is not enough. */
static bool
find_stops (struct preemption *p, struct cell_worker *w,
            const struct cell_task *t, int64_t now_ms)
{
  struct worker_resources used = w->used;

  *p = (struct preemption){ .worker = w };
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const struct cell_task *other = g_ptr_array_index (w->tasks, i);

      if (other->phase == TASK_STOPPING)
        cell_step_subtract (cell_task_step (other), &used);
    }
  while (!cell_step_fits (cell_task_step (t), &used, &w->entry->capacity))
    {
      struct cell_task *next
          = next_to_stop (p, t->occurrence->job->spec->priority, now_ms);

      if (next == NULL || p->n_stopped == STOPPED_MAX)
        return false;
      p->stopped[p->n_stopped++] = next;
      p->lost += lost_work (next, now_ms);
      cell_step_subtract (cell_task_step (next), &used);
    }
  return true;
}

/* Return whether JOB would miss its deadline if T waited any longer than a
   stop takes, but can still make it. */
static bool
is_urgent (const struct cell *c, const struct cell_job *job, int64_t now_ms)
{
  int64_t slack_ms = job->deadline_ms - job->order.path_ms - now_ms;

  return job->order.due_ms == job->deadline_ms && !job->order.is_scheduled
         && !job->order.is_excess && slack_ms >= 0
         && slack_ms <= c->options.stop_grace_ms + CALLS_MS;
}

void
cell_preempt_lower_priority (struct cell *c, struct cell_task *t,
                             int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  struct cell_job *job = t->occurrence->job;
  struct preemption best = { 0 };
  double gained
      = (double)cell_expected_run_ms (c, job->spec, s) * s->cpu_milli;

  if (job->spec->priority != 0 || s->is_best_effort || s->is_long_running
      || now_ms < t->adjusted_ms + TASK_INTERVAL_MS
      || now_ms < c->last_preemption_ms + CELL_INTERVAL_MS
      || !is_urgent (c, job, now_ms))
    return;
  t->adjusted_ms = now_ms;
  c->last_preemption_ms = now_ms;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);
      struct preemption p;

      if (cell_may_run_on (c, t, w, false, now_ms)
          && cell_has_ticket (t, w, now_ms)
          && !cell_is_reserved_for_other (w, t)
          && now_ms >= w->cooldown_until_ms && !cell_is_avoided (c, w)
          && find_stops (&p, w, t, now_ms)
          && (best.worker == NULL || p.lost < best.lost))
        best = p;
    }
  /* Throwing away more work than T needs makes other jobs late in its place.
   */
  if (best.worker == NULL || (double)best.lost > gained)
    return;
  for (guint i = 0; i < best.n_stopped; i++)
    {
      char *name = cell_task_name (best.stopped[i]);

      cell_log_event (c, "task-preempted", name,
                      "worker=%s by=%s lost_ms=%" G_GUINT64_FORMAT
                      " slack_ms=%" G_GINT64_FORMAT,
                      best.worker->entry->id, job->spec->id,
                      best.lost / MAX (s->cpu_milli, 1),
                      job->deadline_ms - job->order.path_ms - now_ms);
      g_free (name);
      cell_stop_task (c, best.stopped[i], now_ms);
    }
}
