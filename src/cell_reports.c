#include "cell_accounts.h"

#include <string.h>

/* Workers' reports: which runs go on, which have ended and which are lost. */

/* Minimum interval between two holds of a worker with tasks, so that ends are
   reported in batches. */
#define HOLD_INTERVAL_MS 60
/* Interval between two holds of a worker without tasks. */
#define IDLE_HOLD_INTERVAL_MS 1500
/* Interval between two holds while processed ends are not in the journal, or
   after a report that was not conclusive.  These holds don't wait: the worker
   reports such ends again at once. */
#define UNJOURNALED_HOLD_INTERVAL_MS 150
/* Retry delay after a hold that was not answered. */
#define HOLD_RETRY_DELAY_MS 250
/* Take over run R that an earlier owner started as T's, and return T or its
   copy.  Return NULL if the run has to be stopped instead. */
static struct cell_task *
adopt_run (struct cell *c, struct cell_worker *w, const struct worker_run *r,
           struct cell_task *t, int64_t now_ms)
{
  struct cell_job *job = t->occurrence->job;

  if (job->state >= JOB_COMPLETED || t->runs_given > 0)
    return NULL;
  if (cell_may_copy (t) && t->worker != NULL && t->worker != w
      && t->copy == NULL)
    {
      cell_copy_adopt (t, w, r->run, now_ms);
      return t->copy;
    }
  /* A higher run number was given only after the lower run was over, which the
     journal names and no worker has reported. */
  if (t->worker != NULL && t->phase == TASK_RUNNING && r->run > t->run
      && !cell_may_copy (t)
      && (!t->worker->is_confirmed || !t->is_every_run_known))
    cell_task_reset (c, t, now_ms, now_ms);
  if (t->phase != TASK_WAITING)
    return NULL;
  t->run = r->run;
  cell_worker_assign_task (w, t);
  cell_task_set_phase (t, TASK_RUNNING, now_ms);
  t->progress_ms = now_ms;
  job->has_started = true;
  return t;
}

static void
process_run (struct cell *c, struct cell_worker *w, const struct worker_run *r,
             int64_t sent_ms, int64_t now_ms)
{
  struct cell_task *task = cell_find_started_task (c, r->task, now_ms);
  struct cell_task *t
      = task != NULL ? cell_task_find_run (task, w->entry->id, r->run) : NULL;

  if (t == NULL && task != NULL)
    t = adopt_run (c, w, r, task, now_ms);
  if (t == NULL)
    {
      bool must_stop = cell_worker_is_incarnation_listed (w);

      cell_log_event (c, "run-unknown", r->task,
                      "worker=%s run=%" G_GUINT64_FORMAT " outcome=%s",
                      w->entry->id, r->run, must_stop ? "stop" : "wait");
      if (must_stop)
        cell_send_stop (c, w, r->task, r->run);
      w->unknown_runs++;
      cell_account_add_other_run (c, w, r->task, r->run, now_ms);
      return;
    }
  t->placed_ms = sent_ms;
  cell_check_stop (c, t, sent_ms, now_ms);
  /* Beside one run of an earlier owner there may be a copy. */
  if (!cell_may_copy (t))
    t->is_every_run_known = true;
  /* A record of W has named it, and its job has ended. */
  if (t->occurrence->job->state >= JOB_COMPLETED)
    cell_stop_task (c, t, now_ms);
  if (t->phase == TASK_STARTING && !t->has_pending_call)
    cell_task_set_phase (t, TASK_RUNNING, now_ms);
  if (r->percent != t->percent)
    t->progress_ms = now_ms;
  t->percent = r->percent;
  t->reported_value = r->reported_value;
  if (r->checkpoint[0] != '\0'
      && g_strcmp0 (t->checkpoint, r->checkpoint) != 0)
    {
      g_free (t->checkpoint);
      t->checkpoint = g_strdup (r->checkpoint);
      t->checkpoint_ms = now_ms;
      t->progress_ms = now_ms;
    }
  /* A task from before the failures shows nothing of what is started now. */
  if (t->phase_ms > w->last_failure_ms && cell_task_has_lasted (t, now_ms))
    cell_worker_clear_streak (w);
  cell_copy_settle (c, task, now_ms);
}

static void
process_end (struct cell *c, struct cell_worker *w, const struct worker_end *e,
             int64_t now_ms)
{
  struct cell_task *t = cell_find_started_task (c, e->task, now_ms);
  const struct cell_task *run;
  struct task_name name;

  w->last_processed_end = e->number;
  cell_account_other_run_ended (w, e->task, e->run);
  run = t != NULL ? cell_task_find_run (t, w->entry->id, e->run) : NULL;
  if (run != NULL)
    {
      cell_note_unsettled_end (w, run, e, now_ms);
      cell_learn_from_end (c, w, run, e, now_ms);
    }
  if (e->result == END_FAILED && task_name_parse (e->task, &name))
    cell_worker_count_failure (c, w, name.job, now_ms);
  if (e->result == END_DONE)
    cell_worker_count_done (c, w);
  if (t != NULL)
    cell_task_ended (c, t, w, e, now_ms);
}

static bool
is_reported (const struct worker_report *report, const char *task,
             uint64_t run)
{
  for (guint i = 0; i < report->runs->len; i++)
    {
      const struct worker_run *r
          = &g_array_index (report->runs, struct worker_run, i);

      if (r->run == run && strcmp (r->task, task) == 0)
        return true;
    }
  return false;
}

static bool
is_full (const struct worker_report *report)
{
  return report->ends->len >= WORKER_REPORT_MAX_ENDS;
}

/* Return whether the runs that REPORT of W does not list are over: it lacks no
   ends, and no successor can have seen any. */
static bool
is_conclusive (const struct cell *c, const struct cell_worker *w,
               const struct worker_report *report)
{
  return !is_full (report) && cell_worker_is_restart_confirmed (c, w);
}

/* Process that W does not report the run of T, named NAME.  Unless it is over,
   T waits for a later report. */
static void
process_missing_run (struct cell *c, const struct cell_worker *w,
                     struct cell_task *t, const char *name, bool is_over,
                     int64_t now_ms)
{
  if (!is_over)
    {
      t->progress_ms = now_ms;
      return;
    }
  cell_log_event (c, "run-missing", name,
                  "worker=%s run=%" G_GUINT64_FORMAT " stopped=%d",
                  w->entry->id, t->run, t->phase == TASK_STOPPING);
  cell_task_reset (c, t, now_ms, now_ms);
}

/* Process the runs of tasks on W that are missing from REPORT, except where it
   may not be up to date: a start or stop is pending or unacknowledged, or the
   phase has changed since the hold was sent at SENT_MS. */
static void
process_missing_runs (struct cell *c, struct cell_worker *w,
                      const struct worker_report *report, int64_t sent_ms,
                      int64_t now_ms)
{
  for (guint i = w->tasks->len; i > 0; i--)
    {
      struct cell_task *t;
      char *name;

      if (i > w->tasks->len)
        continue;
      t = g_ptr_array_index (w->tasks, i - 1);
      if (t->phase_ms >= sent_ms || t->has_pending_call
          || (t->phase == TASK_STOPPING && !t->is_stop_acknowledged)
          || (t->phase == TASK_STARTING
              && cell_run_may_start_late (t, sent_ms)))
        continue;
      name = cell_task_name (t);
      if (!is_reported (report, name, t->run))
        process_missing_run (c, w, t, name,
                             is_conclusive (c, w, report)
                                 && !cell_run_may_start_late (t, sent_ms),
                             now_ms);
      g_free (name);
    }
}

/* Return whether REPORT, which answers a hold sent at SENT_MS, comes from an
   incarnation that the known one has replaced.  The start of a later one may
   be earlier if its machine's clock was set back. */
static bool
is_outdated (const struct cell_worker *w, const struct worker_report *report,
             int64_t sent_ms)
{
  return report->incarnation_start_ms != 0
         && report->incarnation_start_ms < w->incarnation_start_ms
         && sent_ms <= w->incarnation_known_ms;
}

/* W has answered this owner's call with REPORT. */
static void
confirm_worker (struct cell *c, struct cell_worker *w,
                const struct worker_report *report, int64_t now_ms)
{
  w->acknowledged_end = MAX (w->acknowledged_end, w->pending_last_seen);
  if (!w->is_confirmed)
    {
      w->may_receive_starts = false; /* until its new record is journaled */
      /* Progress was not reported while the worker was silent. */
      for (guint i = 0; i < w->tasks->len; i++)
        ((struct cell_task *)g_ptr_array_index (w->tasks, i))->progress_ms
            = now_ms;
    }
  cell_leases_token_taken (c, w, now_ms);
  w->is_confirmed = true;
  w->has_ended = false;
  w->silent_ms = 0;
  w->absences = 0;
  w->absent_ms = 0;
  if (is_full (report))
    cell_log_event (c, "report-full", w->entry->id,
                    "ends=%u journaled_end=%" G_GUINT64_FORMAT,
                    report->ends->len, w->last_journaled_end);
  w->clock_ms = report->clock_ms;
  w->clock_reported_ms = now_ms;
}

static void
process_report (struct cell *c, struct cell_worker *w,
                const struct worker_report *report, int64_t sent_ms,
                int64_t now_ms)
{
  uint64_t previous_end = w->last_processed_end;

  if (w->has_ended && report->incarnation_start_ms == w->incarnation_start_ms)
    cell_log_event (c, "ended-worker-answers", w->entry->id, "tasks=%u",
                    w->tasks->len);
  confirm_worker (c, w, report, now_ms);
  for (guint i = 0; i < report->ends->len; i++)
    {
      const struct worker_end *e
          = &g_array_index (report->ends, struct worker_end, i);

      if (e->number > w->last_processed_end)
        process_end (c, w, e, now_ms);
    }
  w->unknown_runs = 0;
  for (guint i = 0; i < report->runs->len; i++)
    process_run (c, w, &g_array_index (report->runs, struct worker_run, i),
                 sent_ms, now_ms);
  process_missing_runs (c, w, report, sent_ms, now_ms);
  w->had_tasks = w->tasks->len > 0;
  if (is_conclusive (c, w, report))
    {
      w->may_have_unseen_runs = false;
      cell_account_check_other_runs (w, report, sent_ms);
    }
  cell_pace_best_effort (c, w, now_ms);
  cell_check_stragglers (c, w, now_ms);
  if (w->last_processed_end != previous_end
      || (!w->may_receive_starts && w->is_listed))
    cell_journal_worker (c, w);
  c->is_append_urgent
      = c->is_append_urgent || (!w->may_receive_starts && w->is_listed);
}

/* Process that REPORT comes from an incarnation that the cell did not know.
   The next hold has another fencing token, and its answer counts. */
static void
process_restart (struct cell *c, struct cell_worker *w,
                 const struct worker_report *report, int64_t now_ms)
{
  cell_worker_begin_incarnation (c, w, report->incarnation_start_ms, now_ms);
  w->is_confirmed = false;
  w->next_hold_ms = now_ms;
}

/* Return when to send the hold after one that was sent at SENT_MS and answered
   with REPORT now. */
static int64_t
time_of_next_hold (const struct cell *c, struct cell_worker *w,
                   const struct worker_report *report, bool was_confirmed,
                   int64_t sent_ms, int64_t now_ms)
{
  bool must_extend_leases = !was_confirmed && w->tasks->len > 0;
  bool can_get_lacking_ends
      = is_full (report)
        && cell_settled_end (w, w->last_journaled_end, now_ms)
               > w->acknowledged_end;

  if (must_extend_leases || can_get_lacking_ends
      || cell_worker_must_be_heard (w, now_ms))
    return now_ms;
  if (!is_conclusive (c, w, report)
      || w->last_processed_end != w->last_journaled_end
      || (w->unsettled_ends != NULL && w->unsettled_ends->len > 0))
    return now_ms + UNJOURNALED_HOLD_INTERVAL_MS;
  if (w->tasks->len > 0)
    return MAX (sent_ms + HOLD_INTERVAL_MS, now_ms);
  return now_ms + IDLE_HOLD_INTERVAL_MS;
}

void
cell_hold_answered (struct cell *cell, const char *worker,
                    const struct worker_report *reply, bool is_fenced,
                    bool is_other_incarnation, int64_t sent_ms, int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, worker);
  bool was_confirmed;

  if (w == NULL)
    return;
  w->has_pending_hold = false;
  if (!cell_worker_may_call (w))
    return;
  if (is_fenced && w->hold_token != cell_worker_token (cell, w))
    {
      /* A later call of this owner may have overtaken it. */
      w->next_hold_ms = now_ms;
      return;
    }
  if (is_fenced)
    {
      cell->is_fenced = true;
      return;
    }
  if (is_other_incarnation)
    {
      cell_worker_end_incarnation (w, now_ms);
      w->next_hold_ms = now_ms + IDLE_HOLD_INTERVAL_MS;
      return;
    }
  if (reply == NULL)
    {
      if (w->silent_ms == 0)
        cell_machines_note_silence (cell, w, now_ms);
      if (w->is_confirmed)
        {
          cell_log_event (cell, "worker-silent", worker, "tasks=%u",
                          w->tasks->len);
          w->is_confirmed = false;
          w->may_receive_starts = false;
          cell_journal_worker (cell, w);
        }
      w->next_hold_ms = now_ms + HOLD_RETRY_DELAY_MS;
      return;
    }
  if (is_outdated (w, reply, sent_ms))
    {
      w->next_hold_ms = now_ms;
      return;
    }
  if (reply->incarnation_start_ms != 0
      && reply->incarnation_start_ms != w->incarnation_start_ms
      && w->incarnation_start_ms != 0)
    {
      process_restart (cell, w, reply, now_ms);
      return;
    }
  if (w->hold_token != cell_worker_token (cell, w))
    {
      w->next_hold_ms = now_ms;
      return;
    }
  if (reply->incarnation_start_ms > w->incarnation_start_ms)
    cell_worker_begin_incarnation (cell, w, reply->incarnation_start_ms,
                                   now_ms);
  was_confirmed = w->is_confirmed;
  process_report (cell, w, reply, sent_ms, now_ms);
  w->next_hold_ms
      = time_of_next_hold (cell, w, reply, was_confirmed, sent_ms, now_ms);
}
