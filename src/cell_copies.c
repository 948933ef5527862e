#include "cell_state.h"

#include <string.h>

/* Copies: second runs of tasks whose steps allow duplicates.  A copy is a
   struct cell_task of its own, with its own worker and run, that hangs off its
   task.  The task counts failures and run numbers for both.  A copy that is
   left over is stopped and keeps its place on its worker until its end is
   listed. */

bool
cell_may_copy (const struct cell_task *t)
{
  const struct job_step *s = cell_task_step (t);

  /* An occurrence of a repeated job is freed as soon as it is done, and could
     not wait for the end of a run that is left over. */
  return s->allows_duplicates && !s->is_gang && !s->is_long_running
         && !s->is_best_effort && t->occurrence->job->spec->occurrences == 0;
}

struct cell_task *
cell_task_find_run (struct cell_task *t, const char *worker, uint64_t run)
{
  for (struct cell_task *r = t; r != NULL; r = r->copy)
    if (r->worker != NULL && r->run == run
        && strcmp (r->worker->entry->id, worker) == 0)
      return r;
  return NULL;
}

struct cell_task *
cell_copy_new (struct cell_task *t, int64_t now_ms)
{
  struct cell_task *copy = g_new0 (struct cell_task, 1);

  copy->occurrence = t->occurrence;
  copy->step = t->step;
  copy->index = t->index;
  copy->original = t;
  copy->phase = TASK_RUNNING;
  copy->phase_ms = now_ms;
  copy->progress_ms = now_ms;
  copy->pace_percent = 100;
  t->copy = copy;
  return copy;
}

void
cell_copy_drop (struct cell_task *t)
{
  struct cell_task *copy = t->copy;

  if (copy == NULL)
    return;
  if (copy->worker != NULL)
    cell_worker_unassign_task (copy->worker, copy);
  g_free (copy->checkpoint);
  g_free (copy->avoid_worker);
  g_free (copy);
  t->copy = NULL;
}

/* Set what T has of a run to that of R. */
static void
set_run (struct cell_task *t, const struct cell_task *r)
{
  t->phase = r->phase;
  t->phase_ms = r->phase_ms;
  t->run = r->run;
  t->start_attempts = r->start_attempts;
  t->late_start_until_ms = r->late_start_until_ms;
  t->has_pending_start = r->has_pending_start;
  t->placed_ms = r->placed_ms;
  t->has_pending_call = r->has_pending_call;
  t->is_stop_acknowledged = r->is_stop_acknowledged;
  t->retry_ms = r->retry_ms;
  t->percent = r->percent;
  t->progress_ms = r->progress_ms;
  t->begun_ms = r->begun_ms;
  t->reported_value = r->reported_value;
}

void
cell_copy_swap (struct cell_task *t)
{
  struct cell_task *copy = t->copy;
  struct cell_task former = *t;
  struct cell_worker *w = t->worker, *copy_worker = copy->worker;

  cell_worker_unassign_task (w, t);
  cell_worker_unassign_task (copy_worker, copy);
  set_run (t, copy);
  set_run (copy, &former);
  cell_worker_assign_task (copy_worker, t);
  cell_worker_assign_task (w, copy);
  if (copy->checkpoint != NULL)
    {
      t->checkpoint = copy->checkpoint;
      copy->checkpoint = former.checkpoint;
    }
}

void
cell_copy_promote (struct cell_task *t)
{
  cell_copy_swap (t);
  cell_copy_drop (t);
}

void
cell_copy_adopt (struct cell_task *t, struct cell_worker *w, uint64_t run,
                 int64_t now_ms)
{
  struct cell_task *copy = cell_copy_new (t, now_ms);

  copy->run = run;
  cell_worker_assign_task (w, copy);
}

bool
cell_copy_load (struct cell_task *t, struct cell_worker *w, uint64_t run,
                int64_t now_ms)
{
  if (t->worker == w || t->copy != NULL)
    {
      /* One of three is over, but the records do not tell which. */
      w->may_have_unseen_runs = true;
      return false;
    }
  cell_copy_adopt (t, w, run, now_ms);
  return true;
}

void
cell_copy_settle (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  struct cell_task *copy = t->copy;
  char *name;

  if (copy == NULL || t->runs_given > 0 || t->phase != TASK_RUNNING
      || copy->phase != TASK_RUNNING || !t->worker->is_confirmed
      || !copy->worker->is_confirmed)
    return;
  if (copy->percent > t->percent)
    cell_copy_swap (t);
  name = cell_task_name (t);
  cell_log_event (c, "copy-found", name,
                  "kept=%s percent=%u stopped=%s percent_there=%u",
                  t->worker->entry->id, t->percent, copy->worker->entry->id,
                  copy->percent);
  g_free (name);
  cell_stop_task (c, copy, now_ms);
}

void
cell_task_stop_runs (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  for (struct cell_task *r = t; r != NULL; r = r->copy)
    if (r->phase == TASK_STARTING || r->phase == TASK_RUNNING)
      cell_stop_task (c, r, now_ms);
}
