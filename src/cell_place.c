#include "cell_place.h"

#include "cell_accounts.h"

#include <string.h>

/* Placement: starts waiting tasks, alone or as gangs. */

/* Interval between two placements while nothing has changed. */
#define IDLE_PLACE_INTERVAL_MS 50
/* A long-running task that has waited so long for capacity preempts other
   tasks. */
#define PREEMPT_DELAY_MS 400
/* Minimum interval between two preemptions for the same task. */
#define PREEMPT_INTERVAL_MS 500
/* Maximum number of starts in a placement.  More would keep the event loop of
   a busy owner from accepting jobs: callers were refused after 800 ms while
   it started 100 tasks every 100 ms. */
#define PLACEMENT_MAX_STARTS 48
/* Minimum interval between two "cell-unsettled" events. */
#define UNSEEN_RUNS_LOG_INTERVAL_MS 1000

static uint64_t
run_number (const struct cell *c, uint32_t count)
{
  return (c->options.epoch - 1) * CELL_RUNS_PER_EPOCH + count;
}

/* Return whether the epoch has a run number left for T.  If not, T waits for
   the next epoch, whose numbers are higher. */
static bool
has_run_number (struct cell *c, const struct cell_task *t)
{
  char *name;

  if (t->runs_given < CELL_RUNS_PER_EPOCH)
    return true;
  if (!c->needs_epoch)
    {
      name = cell_task_name (t);
      cell_log_event (c, "run-numbers-used", name, "epoch=%" G_GUINT64_FORMAT,
                      c->options.epoch);
      g_free (name);
    }
  c->needs_epoch = true;
  return false;
}

static void
assign_and_start (struct cell *c, struct cell_task *t, struct cell_worker *w,
                  uint64_t run, int64_t now_ms)
{
  t->run = run;
  t->is_every_run_known = true;
  cell_task_clear_run (t);
  t->percent = 0;
  t->begun_ms = 0;
  t->rack_wait_ms = 0;
  t->progress_ms = now_ms;
  t->pace_percent = 100;
  t->is_stop_acknowledged = false;
  cell_worker_assign_task (w, t);
  cell_task_set_phase (t, TASK_STARTING, now_ms);
  c->starts_left -= MIN (c->starts_left, 1);
  cell_send_start (c, t, now_ms);
}

void
cell_start_copy (struct cell *c, struct cell_task *t, struct cell_worker *w,
                 int64_t now_ms)
{
  struct cell_task *copy;

  if (!has_run_number (c, t))
    return;
  copy = cell_copy_new (t, now_ms);
  copy->checkpoint = g_strdup (t->checkpoint);
  assign_and_start (c, copy, w, run_number (c, ++t->runs_given), now_ms);
}

/* Start all tasks of a gang, or none of them if not all fit; only on workers
   of RACK unless that is NULL. */
static bool
try_place_gang (struct cell *c, struct cell_occurrence *o, uint32_t step,
                const char *rack, int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  struct cell_task *first = &o->tasks[o->first_task[step]];
  uint32_t placed;
  uint64_t run = 0;
  bool fits;

  for (placed = 0; placed < s->count; placed++)
    {
      struct cell_task *t = &o->tasks[o->first_task[step] + placed];
      struct cell_worker *w = cell_choose_worker (c, t, rack, now_ms);

      if (w == NULL)
        break;
      cell_worker_assign_task (w, t);
    }
  fits = placed == s->count;
  if (!fits)
    c->n_no_room = 0; /* the tasks assigned above give their room back */
  if (fits)
    run = run_number (c, ++first->runs_given);
  for (uint32_t i = 0; i < placed; i++)
    {
      struct cell_task *t = &o->tasks[o->first_task[step] + i];
      struct cell_worker *w = t->worker;

      cell_worker_unassign_task (w, t);
      if (!fits)
        continue;
      t->runs_given = first->runs_given;
      assign_and_start (c, t, w, run, now_ms);
    }
  return fits;
}

/* Return whether T's last run was over before the store last confirmed this
   owner, so that no successor can have started T again. */
static bool
is_last_run_over (const struct cell *c, const struct cell_task *t)
{
  return c->confirmed_ms > t->run_over_ms;
}

bool
cell_is_every_run_known (const struct cell *c, const struct cell_task *t)
{
  return c->is_every_run_known || t->is_every_run_known;
}

/* Return whether no run of T can be going on, be it under an earlier owner or
   a successor. */
static bool
is_every_run_over (const struct cell *c, const struct cell_task *t)
{
  return is_last_run_over (c, t) && cell_is_every_run_known (c, t);
}

static bool
is_every_gang_run_over (const struct cell *c, const struct cell_task *first,
                        uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!is_every_run_over (c, &first[i]))
      return false;
  return true;
}

/* Start a gang on workers of one rack, which is RACK unless that is NULL.
   Return whether it was started. */
static bool
try_place_gang_in_rack (struct cell *c, struct cell_occurrence *o,
                        uint32_t step, const char *rack, int64_t now_ms)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if ((rack == NULL || strcmp (rack, w->entry->rack) == 0)
          && try_place_gang (c, o, step, w->entry->rack, now_ms))
        return true;
    }
  return false;
}

/* Start a gang, preferably in one rack, which is the preferred one if it has
   one.  Return whether it was started. */
static bool
try_place_gang_in_racks (struct cell *c, struct cell_occurrence *o,
                         uint32_t step, int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);

  if (!s->prefers_same_rack)
    return try_place_gang (c, o, step, NULL, now_ms);
  if (try_place_gang_in_rack (
          c, o, step, s->preferred_rack[0] != '\0' ? s->preferred_rack : NULL,
          now_ms))
    return true;
  switch (cell_gang_racks (c, &o->tasks[o->first_task[step]], now_ms))
    {
    case GANG_IN_PREFERRED_RACK:
      return false;
    case GANG_IN_ONE_RACK:
      return s->preferred_rack[0] != '\0'
             && try_place_gang_in_rack (c, o, step, NULL, now_ms);
    case GANG_IN_ANY_RACKS:
      return try_place_gang (c, o, step, NULL, now_ms);
    }
  return false;
}

static void
place_gang (struct cell *c, struct cell_occurrence *o, uint32_t step,
            int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  struct cell_task *first = &o->tasks[o->first_task[step]];

  if (o->waiting[step] < s->count || now_ms < first->retry_ms
      || !is_every_gang_run_over (c, first, s->count)
      || !has_run_number (c, first)
      || !cell_account_allows (c, o->job, step, s->count, now_ms))
    return;
  if (try_place_gang_in_racks (c, o, step, now_ms))
    return;
  cell_accounts_note_shortage (c);
  cell_log_unplaced (c, first, now_ms);
  cell_reserve_for (c, first, now_ms);
}

static void
place_step (struct cell *c, struct cell_occurrence *o, uint32_t step,
            int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  struct cell_worker *far = NULL; /* not used by a task that waits for its
                                     rack; the next one would get it too */

  cell_want_advice (c, o);
  if (s->is_gang)
    {
      place_gang (c, o, step, now_ms);
      return;
    }
  for (uint32_t i = 0;
       i < s->count && o->waiting[step] > 0 && c->starts_left > 0; i++)
    {
      struct cell_task *t = &o->tasks[o->first_task[step] + i];
      struct cell_worker *w;

      if (t->phase != TASK_WAITING || now_ms < t->retry_ms
          || !is_every_run_over (c, t) || !has_run_number (c, t))
        continue;
      if (!cell_account_allows (c, o->job, step, 1, now_ms))
        break;
      w = far != NULL && t->avoid_worker == NULL
              ? far
              : cell_choose_worker (c, t, NULL, now_ms);
      far = w != NULL && cell_waits_for_rack (c, t, w, now_ms) ? w : NULL;
      if (far != NULL)
        continue;
      if (w != NULL)
        {
          assign_and_start (c, t, w, run_number (c, ++t->runs_given), now_ms);
          continue;
        }
      cell_accounts_note_shortage (c);
      cell_log_unplaced (c, t, now_ms);
      if (s->is_long_running)
        c->last_shortage_ms = now_ms;
      if (s->is_long_running && !s->is_best_effort
          && now_ms > t->phase_ms + PREEMPT_DELAY_MS
          && now_ms >= t->adjusted_ms + PREEMPT_INTERVAL_MS)
        {
          t->adjusted_ms = now_ms;
          cell_preempt_for (c, t, now_ms);
        }
      cell_preempt_lower_priority (c, t, now_ms);
      cell_reserve_for (c, t, now_ms);
      /* The other tasks of the step need as much, but only one that has failed
         has to back off. */
      if (t->failures == 0)
        break;
    }
}

bool
cell_step_is_ready (const struct cell_occurrence *o, uint32_t step)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);

  if (!o->is_due)
    return false;
  for (guint i = 0; i < s->depends_on->len; i++)
    if (o->unfinished[g_array_index (s->depends_on, uint32_t, i)] > 0)
      return false;
  return true;
}

static void
place_job (struct cell *c, struct cell_job *job, int64_t now_ms)
{
  if (job->spec->occurrences > 0)
    cell_job_add_due_occurrences (c, job, now_ms);
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct cell_occurrence *o = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < job->spec->steps->len; k++)
        if (o->waiting[k] > 0 && cell_step_is_ready (o, k))
          {
            place_step (c, o, k, now_ms);
            if (o->waiting[k] > 0)
              c->waiting_priority
                  = MIN (c->waiting_priority, job->spec->priority);
          }
    }
}

/* Check whether a worker may still run tasks of an earlier owner that it has
   not reported to this one; tasks that might be among these are not started
   meanwhile. */
static void
update_known_runs (struct cell *c, int64_t now_ms)
{
  const struct cell_worker *w = cell_find_worker_with_unseen_runs (c);

  c->is_every_run_known = w == NULL;
  if (w == NULL
      || now_ms < c->unseen_runs_logged_ms + UNSEEN_RUNS_LOG_INTERVAL_MS)
    return;
  c->unseen_runs_logged_ms = now_ms;
  cell_log_event (c, "cell-unsettled", c->service,
                  "worker=%s for_ms=%" G_GINT64_FORMAT, w->entry->id,
                  now_ms - c->taken_over_ms);
}

void
cell_place (struct cell *c, int64_t now_ms)
{
  /* Retry delays and cooldowns expire without any event. */
  if (!c->needs_placement
      && now_ms < c->last_placement_ms + IDLE_PLACE_INTERVAL_MS)
    return;
  c->needs_placement = false;
  c->last_placement_ms = now_ms;
  c->n_no_room = 0;
  c->is_placing = true;
  update_known_runs (c, now_ms);
  cell_update_suspect_policy (c, now_ms);
  cell_accounts_begin_placement (c, now_ms);
  cell_clear_reservations (c);
  cell_order_jobs (c, now_ms);
  c->waiting_priority = UINT32_MAX;
  g_hash_table_remove_all (c->rack_queues);
  c->starts_left = PLACEMENT_MAX_STARTS;
  for (guint i = 0; i < c->open_jobs->len && c->starts_left > 0;)
    {
      struct cell_job *job = g_ptr_array_index (c->open_jobs, i);

      if (job->is_stored && cell_account_fail_impossible (c, job, now_ms))
        continue; /* it is no longer open */
      if (job->is_stored)
        place_job (c, job, now_ms);
      i++;
    }
  c->is_placing = false;
  c->needs_placement = c->needs_placement || c->starts_left == 0;
  cell_accounts_end_placement (c, now_ms);
}
