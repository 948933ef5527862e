#include "cell_accounts.h"
#include "cell_place.h"

#include <string.h>

/* Orders about runs (start, stop, pace), and emptying a worker. */

/* Retry delay after a stop without a usable answer; also how long a worker
   that answered a start as unhealthy gets no other. */
#define STOP_RETRY_DELAY_MS 400
/* Added to stop_grace_ms for the transit time of the call. */
#define STOP_MARGIN_MS 600
/* Start calls for one run before it is stopped instead. */
#define MAX_START_ATTEMPTS 5
/* Delay after a refusal before a start is repeated that may yet be carried
   out. */
#define START_RETRY_DELAY_MS 100
/* A worker that refused a start for lack of capacity gets no other for so
   long. */
#define NO_ROOM_BACKOFF_MS 100
/* A task without progress for so long, on a worker that answers, is stopped
   and started again: at least this, and this many times as long as one percent
   is expected to take.  It doubles with each stall of the task, so that a slow
   task ends at last. */
#define STALL_TIMEOUT_MS 2200
#define STALL_FACTOR 5
#define STALL_DOUBLINGS_MAX 5
/* A copy has to start within this time after its task's worker reported the
   first run: the lease of its start is as short.  A start that arrives later
   is refused, as the first run may be done and acknowledged by then. */
#define COPY_START_TIMEOUT_MS 1000
/* Tasks that are not long-running may go on for so long on a worker that is
   being emptied, so that their work is not lost. */
#define EMPTYING_GRACE_MS 3500

static void
fill_run_order (const struct cell *c, struct cell_order *o,
                const struct cell_worker *w, char *task, uint64_t run)
{
  o->u.run.worker = g_strdup (w->entry->id);
  o->u.run.address = g_strdup (w->entry->address);
  o->u.run.fencing_token = cell_worker_token (c, w);
  o->u.run.task = task;
  o->u.run.run = run;
}

void
cell_send_stop (struct cell *c, const struct cell_worker *w, const char *task,
                uint64_t run)
{
  fill_run_order (c, cell_add_order (c, ORDER_STOP), w, g_strdup (task), run);
}

static const char *
find_ticket (const struct cell_task *t, const struct cell_worker *w)
{
  GHashTable *tickets = t->occurrence->tickets[t->step];
  struct step_ticket *ticket;

  if (tickets == NULL)
    return "";
  ticket = g_hash_table_lookup (tickets, w->entry->id);
  return ticket != NULL && ticket->ticket != NULL ? ticket->ticket : "";
}

void
cell_send_start (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  struct cell_order *o = cell_add_order (c, ORDER_START);
  struct cell_worker *w = t->worker;

  fill_run_order (c, o, w, cell_task_name (t), t->run);
  o->u.run.deadline_ms = cell_lease_deadline (w, now_ms);
  if (t->original != NULL)
    o->u.run.deadline_ms
        += MIN (COPY_START_TIMEOUT_MS, w->lease_ms) - w->lease_ms;
  o->u.run.payload = g_strdup (t->occurrence->job->spec->payload);
  o->u.run.checkpoint = g_strdup (t->checkpoint != NULL ? t->checkpoint : "");
  o->u.run.ticket = g_strdup (find_ticket (t, w));
  t->has_pending_call = true;
  t->has_pending_start = true;
  t->start_attempts++;
  t->progress_ms = now_ms;
  w->last_start_ms = now_ms;
  if (w->pending_starts++ == 0)
    w->pending_start_ms = now_ms;
}

static void
send_stop (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  char *name = cell_task_name (t);

  cell_send_stop (c, t->worker, name, t->run);
  g_free (name);
  t->has_pending_call = true;
  t->retry_ms = now_ms + STOP_RETRY_DELAY_MS;
}

void
cell_repeat_stop (struct cell_task *t, int64_t now_ms)
{
  if (t->phase != TASK_STOPPING)
    return;
  t->is_stop_acknowledged = false;
  t->retry_ms = now_ms;
}

void
cell_check_stop (const struct cell *c, struct cell_task *t, int64_t sent_ms,
                 int64_t now_ms)
{
  if (t->is_stop_acknowledged
      && sent_ms > t->phase_ms + c->options.stop_grace_ms + STOP_MARGIN_MS)
    cell_repeat_stop (t, now_ms);
}

void
cell_stop_task (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  if (t->worker == NULL || t->phase == TASK_STOPPING)
    return;
  cell_task_set_phase (t, TASK_STOPPING, now_ms);
  t->is_stop_acknowledged = false;
  send_stop (c, t, now_ms);
}

void
cell_stop_superfluous_run (struct cell *c, const struct cell_task *t,
                           int64_t now_ms)
{
  struct cell_worker *w = t->worker;
  char *name = cell_task_name (t);
  int64_t until_ms = now_ms + c->options.stop_grace_ms + STOP_MARGIN_MS;

  cell_send_stop (c, w, name, t->run);
  cell_account_add_other_run (c, w, name, t->run,
                              cell_run_unproved_until_ms (c, t, until_ms));
  g_free (name);
  w->superfluous_until_ms = MAX (w->superfluous_until_ms, until_ms);
}

static bool
is_available (const struct cell_task *t)
{
  return t->phase == TASK_RUNNING && t->percent == 100 && t->worker != NULL
         && t->worker->is_confirmed;
}

uint32_t
cell_step_count_unavailable (const struct cell_task *t)
{
  const struct cell_occurrence *o = t->occurrence;
  uint32_t missing = 0;

  for (uint32_t i = 0; i < cell_task_step (t)->count; i++)
    {
      const struct cell_task *other = &o->tasks[o->first_task[t->step] + i];

      if (other != t && !is_available (other))
        missing++;
    }
  return missing;
}

static int64_t
stall_timeout_ms (const struct cell *c, const struct cell_task *t)
{
  int64_t percent_ms
      = cell_expected_run_ms (c, t->occurrence->job->spec, cell_task_step (t))
        / 100;

  if (t->percent > 0)
    percent_ms = MAX (percent_ms, (t->progress_ms - t->phase_ms) / t->percent);
  return MAX (STALL_TIMEOUT_MS, percent_ms * STALL_FACTOR)
         << MIN (t->stalls, STALL_DOUBLINGS_MAX);
}

static bool
has_stalled (const struct cell *c, const struct cell_task *t, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);

  /* The first comparison with the time spares most calls of
     stall_timeout_ms, which is never shorter. */
  return t->phase == TASK_RUNNING && !s->is_long_running && !s->is_gang
         && !s->is_best_effort && t->worker->is_confirmed
         && now_ms > MAX (t->progress_ms, t->phase_ms) + STALL_TIMEOUT_MS
         && now_ms
                > MAX (t->progress_ms, t->phase_ms) + stall_timeout_ms (c, t);
}

/* Order the start of T's run again once its worker has answered another call
   since, or stop the run if the worker is to get no more work. */
static void
repeat_start (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  const struct cell_worker *w = t->worker;

  if (w->entry->draining || w->is_emptying || !w->is_listed)
    cell_stop_task (c, t, now_ms);
  else if (w->clock_reported_ms > t->progress_ms
           && cell_accepts_starts (c, w, now_ms))
    cell_send_start (c, t, now_ms);
}

void
cell_run_timers (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      struct cell_task *t = g_ptr_array_index (w->tasks, i);

      if (t->phase == TASK_STOPPING && !t->has_pending_call
          && !t->is_stop_acknowledged && now_ms >= t->retry_ms)
        send_stop (c, t, now_ms);
      else if (t->phase == TASK_STARTING && !t->has_pending_start
               && now_ms >= t->retry_ms)
        repeat_start (c, t, now_ms);
      else if (has_stalled (c, t, now_ms))
        {
          char *name = cell_task_name (t);

          cell_log_event (c, "task-stalled", name,
                          "worker=%s percent=%u unmoved_ms=%" G_GINT64_FORMAT,
                          w->entry->id, t->percent, now_ms - t->progress_ms);
          g_free (name);
          t->stalls++;
          g_free (t->avoid_worker);
          t->avoid_worker = g_strdup (w->entry->id);
          w->cooldown_until_ms = now_ms + CELL_COOLDOWN_MS;
          cell_worker_count_failure (c, w, t->occurrence->job->spec->id,
                                     now_ms);
          cell_stop_task (c, t, now_ms);
        }
    }
}

static void
order_pace (struct cell *c, struct cell_task *t, uint32_t percent,
            int64_t now_ms)
{
  struct cell_order *o = cell_add_order (c, ORDER_PACE);

  fill_run_order (c, o, t->worker, cell_task_name (t), t->run);
  o->u.run.percent = percent;
  t->pace_percent = percent;
  t->adjusted_ms = now_ms;
}

/* Return the highest tail latency of the serving tasks on W, in percent of its
   target. */
static int64_t
worst_tail_percent (const struct cell_worker *w)
{
  int64_t worst = 0;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const struct cell_task *t = g_ptr_array_index (w->tasks, i);
      const struct job_step *s = cell_task_step (t);

      if (s->tail_latency_target_ms > 0 && t->phase == TASK_RUNNING)
        worst
            = MAX (worst, t->reported_value * 100 / s->tail_latency_target_ms);
    }
  return worst;
}

/* Hysteresis: best-effort tasks are slowed while the tail latency is above one
   percentage of its target and sped up only below a lower one. */
#define PACE_DOWN_TAIL_PERCENT 85
#define PACE_UP_TAIL_PERCENT 60
#define PACE_STEP_PERCENT 25
/* Minimum time after a change of pace before the next step down or up. */
#define PACE_DOWN_INTERVAL_MS 700
#define PACE_UP_INTERVAL_MS 1500

void
cell_pace_best_effort (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  int64_t tail_percent = worst_tail_percent (w);

  for (guint i = 0; i < w->tasks->len; i++)
    {
      struct cell_task *t = g_ptr_array_index (w->tasks, i);

      if (!cell_task_step (t)->is_best_effort || t->phase != TASK_RUNNING)
        continue;
      if (tail_percent > PACE_DOWN_TAIL_PERCENT && t->pace_percent > 0
          && now_ms >= t->adjusted_ms + PACE_DOWN_INTERVAL_MS)
        order_pace (c, t,
                    tail_percent > 100 || t->pace_percent <= PACE_STEP_PERCENT
                        ? 0
                        : t->pace_percent - PACE_STEP_PERCENT,
                    now_ms);
      else if (tail_percent < PACE_UP_TAIL_PERCENT && t->pace_percent < 100
               && now_ms >= t->adjusted_ms + PACE_UP_INTERVAL_MS)
        order_pace (c, t, MIN (t->pace_percent + PACE_STEP_PERCENT, 100),
                    now_ms);
    }
}

/* Answers to starts and stops. */

static struct cell_task *
find_answered_task (struct cell *c, const char *worker, const char *task,
                    uint64_t run)
{
  struct cell_task *t = cell_find_task (c, task);

  if (t != NULL)
    t = cell_task_find_run (t, worker, run);
  if (t != NULL)
    t->has_pending_call = false;
  return t;
}

/* Process that no call has shown whether T's run has started.  The worker may
   still carry out a call without an answer, in its next incarnation too, where
   it would not know that the run was stopped.  So T stays there, and its start
   is repeated. */
static void
repeat_start_later (struct cell *c, struct cell_task *t, int64_t delay_ms,
                    int64_t now_ms)
{
  struct cell_worker *w = t->worker;

  if (t->start_attempts < MAX_START_ATTEMPTS && t->original == NULL
      && !cell_task_step (t)->is_gang)
    {
      t->retry_ms = now_ms + delay_ms;
      return;
    }
  if (t->start_attempts >= MAX_START_ATTEMPTS)
    {
      g_free (t->avoid_worker);
      t->avoid_worker = g_strdup (w->entry->id);
      w->cooldown_until_ms = now_ms + CELL_COOLDOWN_MS;
    }
  cell_stop_task (c, t, now_ms);
}

/* Process a start call that certainly started nothing. */
static void
handle_not_started (struct cell *c, struct cell_task *t, int64_t delay_ms,
                    int64_t now_ms)
{
  if (cell_run_may_start_late (t, now_ms))
    {
      repeat_start_later (c, t, START_RETRY_DELAY_MS, now_ms);
      return;
    }
  t->retry_ms = now_ms + delay_ms;
  cell_task_reset (c, t, t->run_over_ms, now_ms);
}

void
cell_keep_ended_run (struct cell_task *t, int64_t now_ms)
{
  cell_task_set_phase (t, TASK_STOPPING, now_ms);
  t->is_stop_acknowledged = true;
  t->has_pending_call = false;
}

static void
send_hold_soon (struct cell_worker *w, int64_t now_ms)
{
  w->next_hold_ms = MIN (w->next_hold_ms, now_ms);
}

/* Process that WORKER has refused a call as fenced: by a successor, unless a
   later call of this owner has overtaken it. */
static void
note_fence (struct cell *c, const char *worker,
            const struct run_outcome *outcome)
{
  const struct cell_worker *w = g_hash_table_lookup (c->workers, worker);

  if (outcome->answer == RUN_FENCED
      && (w == NULL || outcome->fencing_token >= cell_worker_token (c, w)))
    c->is_fenced = true;
}

static void
note_start_answer (struct cell *c, const char *worker, enum run_answer answer,
                   int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (c->workers, worker);

  if (w == NULL || w->pending_starts == 0)
    return;
  w->pending_starts--;
  if (answer == RUN_NO_ANSWER)
    w->unanswered_ms = now_ms;
  else
    w->pending_start_ms = now_ms;
}

void
cell_start_answered (struct cell *cell, const char *worker, const char *task,
                     uint64_t run, const struct run_outcome *outcome,
                     int64_t now_ms)
{
  struct cell_task *t = find_answered_task (cell, worker, task, run);
  struct cell_worker *w;

  note_fence (cell, worker, outcome);
  note_start_answer (cell, worker, outcome->answer, now_ms);
  if (t == NULL)
    return;
  w = t->worker;
  t->has_pending_start = false;
  if (outcome->may_arrive_later || outcome->answer == RUN_NO_ANSWER)
    t->late_start_until_ms = now_ms + CALL_LATE_MAX_MS;
  if (t->phase == TASK_STOPPING)
    {
      /* The stop was sent while the start was not answered yet. */
      t->retry_ms = t->is_stop_acknowledged ? t->retry_ms : now_ms;
      return;
    }
  switch (outcome->answer)
    {
    case RUN_ACCEPTED:
    case RUN_SUPERSEDED:
      cell_task_set_phase (t, TASK_RUNNING, now_ms);
      t->progress_ms = now_ms;
      if (outcome->answer == RUN_ACCEPTED && t->late_start_until_ms == 0
          && t->checkpoint == NULL)
        t->begun_ms = now_ms;
      if (outcome->answer == RUN_ACCEPTED
          && cell_clock_is_known (w, outcome->clock_ms, now_ms))
        t->placed_ms = now_ms;
      t->occurrence->job->has_started = true;
      send_hold_soon (w, now_ms);
      break;
    case RUN_NO_ANSWER:
      repeat_start_later (cell, t, 0, now_ms);
      send_hold_soon (w, now_ms);
      break;
    case RUN_FENCED:
      handle_not_started (cell, t, 0, now_ms);
      break;
    case RUN_EXPIRED:
      w->is_confirmed = false;
      handle_not_started (cell, t, 0, now_ms);
      send_hold_soon (w, now_ms);
      break;
    case RUN_NO_ROOM:
      w->blocked_until_ms = now_ms + NO_ROOM_BACKOFF_MS;
      handle_not_started (cell, t, 0, now_ms);
      break;
    case RUN_NO_TICKET:
      if (t->occurrence->tickets[t->step] != NULL)
        g_hash_table_remove (t->occurrence->tickets[t->step], worker);
      handle_not_started (cell, t, 0, now_ms);
      break;
    case RUN_UNHEALTHY:
      w->blocked_until_ms = now_ms + STOP_RETRY_DELAY_MS;
      handle_not_started (cell, t, 0, now_ms);
      break;
    case RUN_OTHER_INCARNATION:
      w->is_confirmed = false;
      send_hold_soon (w, now_ms);
      handle_not_started (cell, t, 0, now_ms);
      break;
    }
}

void
cell_stop_answered (struct cell *cell, const char *worker, const char *task,
                    uint64_t run, const struct run_outcome *outcome,
                    int64_t now_ms)
{
  struct cell_task *t = find_answered_task (cell, worker, task, run);

  note_fence (cell, worker, outcome);
  if (t == NULL || t->phase != TASK_STOPPING)
    return;
  /* An earlier incarnation's answer tells nothing of the known one. */
  if (outcome->answer == RUN_NO_ANSWER || outcome->answer == RUN_FENCED
      || outcome->answer == RUN_UNHEALTHY
      || outcome->fencing_token < cell_worker_token (cell, t->worker))
    {
      t->retry_ms = now_ms + STOP_RETRY_DELAY_MS;
      return;
    }
  t->is_stop_acknowledged = true;
  t->phase_ms = now_ms;
  send_hold_soon (t->worker, now_ms);
}

/* Emptying a worker. */

/* Return whether T, which is long-running, may be stopped to empty its worker:
   only if another worker can start it at once, and only once the stops that
   an earlier owner ordered are over and reported. */
static bool
may_stop_long_running (struct cell *c, const struct cell_task *t,
                       int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);

  if (cell_find_worker_with_unseen_runs (c) != NULL
      || now_ms
             <= c->taken_over_ms + c->options.stop_grace_ms + STOP_MARGIN_MS)
    return false;
  /* This holds for an unavailable T too: it may have become available since
     its worker's last report. */
  if (s->max_unavailable_tasks > 0
      && cell_step_count_unavailable (t) >= s->max_unavailable_tasks)
    return false;
  return cell_has_worker_for (c, t, now_ms);
}

/* Return whether T, which is not long-running, may be stopped to empty W:
   after a grace period, or at once if it can resume from a checkpoint. */
static bool
may_stop_finite (const struct cell_worker *w, const struct cell_task *t,
                 int64_t now_ms)
{
  return now_ms >= w->emptying_since_ms + EMPTYING_GRACE_MS
         || (cell_task_step (t)->has_checkpoints && t->checkpoint != NULL);
}

static void
stop_task_if_allowed (struct cell *c, struct cell_worker *w,
                      struct cell_task *t, int64_t now_ms)
{
  if (t->phase != TASK_RUNNING || !w->is_confirmed)
    return;
  if (cell_task_step (t)->is_long_running
          ? may_stop_long_running (c, t, now_ms)
          : may_stop_finite (w, t, now_ms))
    cell_stop_task (c, t, now_ms);
}

bool
cell_empty_worker (struct cell *cell, const char *worker, int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, worker);

  if (w == NULL)
    return true;
  if (!w->is_emptying)
    w->emptying_since_ms = now_ms;
  w->is_emptying = true;
  w->emptying_until_ms = now_ms + CELL_EMPTYING_TIMEOUT_MS;
  if (!w->is_emptying_journaled)
    {
      cell_journal_worker (cell, w);
      cell->is_append_urgent = true;
    }
  for (guint i = 0; i < w->tasks->len; i++)
    stop_task_if_allowed (cell, w, g_ptr_array_index (w->tasks, i), now_ms);
  /* Ends that the journal does not have would be lost with the worker, and the
     next owner would start their tasks again. */
  return w->tasks->len == 0 && w->is_emptying_journaled
         && w->last_processed_end == w->last_journaled_end
         && (!w->may_have_unseen_runs || cell_worker_leases_expired (cell, w));
}
