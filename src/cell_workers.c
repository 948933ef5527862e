#include "cell_accounts.h"

#include <string.h>

/* Workers: their list entries, incarnations, leases and holds. */

/* A hold waits at the worker up to this long for a run to end.  The next hold
   follows soon, so leases are renewed about every second. */
#define HOLD_WAIT_MS 1000
/* Ends are acknowledged within this time after a report: the worker may
   restart in between. */
#define ACKNOWLEDGE_WITHIN_MS 100
/* A worker that is no longer listed is forgotten after this time. */
#define UNLISTED_RETENTION_MS 20000

void
cell_worker_destroy (gpointer p)
{
  struct cell_worker *w = p;

  for (guint i = 0; i < w->tasks->len; i++)
    ((struct cell_task *)g_ptr_array_index (w->tasks, i))->worker = NULL;
  cell_account_clear_other_runs (w);
  g_clear_pointer (&w->unsettled_ends, g_array_unref);
  worker_entry_destroy (w->entry);
  g_ptr_array_unref (w->tasks);
  g_free (w);
}

struct cell_worker *
cell_worker_add (struct cell *c, const char *id)
{
  struct cell_worker *w = g_new0 (struct cell_worker, 1);

  w->entry = worker_entry_new (id);
  w->tasks = g_ptr_array_new ();
  w->restarts = c->restarts;
  w->lease_ms = MIN (CELL_LEASE_MS, c->options.hold_max_ms);
  w->lease_remaining_ms = LEASE_UNKNOWN;
  g_hash_table_insert (c->workers, w->entry->id, w);
  g_ptr_array_add (c->worker_list, w);
  return w;
}

bool
cell_worker_is_in_service (const struct cell_worker *w)
{
  return w->is_confirmed && w->is_listed && !w->entry->draining;
}

bool
cell_step_fits (const struct job_step *s, const struct worker_resources *used,
                const struct worker_resources *room)
{
  /* A caller may ask for as much as 32 bits hold. */
  return (s->is_best_effort
          || (uint64_t)used->cpu_milli + s->cpu_milli <= room->cpu_milli)
         && (uint64_t)used->memory_mb + s->memory_mb <= room->memory_mb
         && (uint64_t)used->gpus + s->gpus <= room->gpus;
}

void
cell_step_subtract (const struct job_step *s, struct worker_resources *amount)
{
  amount->cpu_milli
      -= MIN (s->is_best_effort ? 0 : s->cpu_milli, amount->cpu_milli);
  amount->memory_mb -= MIN (s->memory_mb, amount->memory_mb);
  amount->gpus -= MIN (s->gpus, amount->gpus);
}

void
cell_worker_assign_task (struct cell_worker *w, struct cell_task *t)
{
  const struct job_step *s = cell_task_step (t);

  t->worker = w;
  g_ptr_array_add (w->tasks, t);
  cell_account_add_task (t);
  if (!s->is_best_effort)
    w->used.cpu_milli += s->cpu_milli;
  w->used.memory_mb += s->memory_mb;
  w->used.gpus += s->gpus;
}

void
cell_worker_unassign_task (struct cell_worker *w, struct cell_task *t)
{
  if (!g_ptr_array_remove_fast (w->tasks, t))
    return;
  t->worker = NULL;
  cell_account_remove_task (t);
  cell_step_subtract (cell_task_step (t), &w->used);
}

/* Return how many tasks on W have a start that was not answered. */
static uint32_t
count_unanswered_starts (const struct cell_worker *w)
{
  uint32_t n = 0;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const struct cell_task *t = g_ptr_array_index (w->tasks, i);

      n += t->phase == TASK_STARTING || t->late_start_until_ms != 0;
    }
  return n;
}

/* Reset T, whose run has been over since OVER_MS. */
static void
reset_lost_task (struct cell *c, struct cell_task *t, const char *cause,
                 int64_t over_ms, int64_t now_ms)
{
  char *name = cell_task_name (t);

  cell_log_event (c, "run-lost", name,
                  "worker=%s run=%" G_GUINT64_FORMAT " cause=%s",
                  t->worker->entry->id, t->run, cause);
  g_free (name);
  cell_task_reset (c, t, over_ms, now_ms);
}

/* Return how many runs on W are over. */
static uint32_t
count_runs_over (const struct cell *c, const struct cell_worker *w)
{
  uint32_t n = 0;

  for (guint i = 0; i < w->tasks->len; i++)
    n += cell_run_is_over (c, g_ptr_array_index (w->tasks, i));
  return n;
}

/* Reset the tasks on W whose runs are over, as its leases have expired. */
static void
reset_lost_tasks (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  const char *cause = w->has_ended ? "worker-ended" : "lease-over";
  int64_t over_ms = cell_worker_leases_until_ms (c, w);
  uint32_t n_over = count_runs_over (c, w);

  if (n_over > 0)
    cell_log_event (c, "runs-lost", w->entry->id,
                    "cause=%s tasks=%u expired_ms=%" G_GINT64_FORMAT
                    " unconfirmed_ms=%" G_GINT64_FORMAT
                    " unanswered=%u last_start_ms=%" G_GINT64_FORMAT,
                    cause, n_over, now_ms - over_ms, now_ms - c->confirmed_ms,
                    count_unanswered_starts (w), now_ms - w->last_start_ms);
  /* A reset may let the copy of a task go, which is also on W. */
  for (guint i = w->tasks->len; i > 0; i--)
    if (i <= w->tasks->len
        && cell_run_is_over (c, g_ptr_array_index (w->tasks, i - 1)))
      reset_lost_task (c, g_ptr_array_index (w->tasks, i - 1), cause, over_ms,
                       now_ms);
  if (n_over > 0 || w->may_have_unseen_runs
      || cell_account_drop_other_runs (c, w))
    c->needs_placement = true;
  w->may_have_unseen_runs = false;
}

/* Process that W has replaced the incarnation that the cell knew.  The runs
   placed there are over; its next report decides of the others, which the new
   one may have.  While calls of an earlier owner may be carried out, these are
   all: the new one may have got an earlier run of the same task. */
static void
end_known_incarnation (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  int64_t earlier_calls_ms = cell_earlier_calls_until_ms (c);

  cell_log_event (
      c, "worker-born-again", w->entry->id,
      "tasks=%u last_seen=%" G_GUINT64_FORMAT " leases_ms=%" G_GINT64_FORMAT
      " unanswered=%u last_start_ms=%" G_GINT64_FORMAT,
      w->tasks->len, w->pending_last_seen, w->lease_expiry_ms - now_ms,
      count_unanswered_starts (w), now_ms - w->last_start_ms);
  w->restarted_ms = now_ms;
  cell_leases_begin_incarnation (c, w, now_ms);
  for (guint i = w->tasks->len; i > 0; i--)
    {
      struct cell_task *t;

      if (i > w->tasks->len)
        continue;
      t = g_ptr_array_index (w->tasks, i - 1);
      if (cell_run_is_placed (t) && now_ms >= earlier_calls_ms)
        {
          /* This frees T if it is a copy. */
          reset_lost_task (c, t, "worker-restarted", now_ms, now_ms);
          continue;
        }
      t->late_start_until_ms = MAX (t->late_start_until_ms, earlier_calls_ms);
      t->placed_ms = 0;
      cell_repeat_stop (t, now_ms);
    }
}

void
cell_worker_begin_incarnation (struct cell *c, struct cell_worker *w,
                               int64_t incarnation_start_ms, int64_t now_ms)
{
  if (w->incarnation_start_ms != 0)
    end_known_incarnation (c, w, now_ms);
  w->may_receive_starts = false; /* until its new record is journaled */
  w->incarnation_start_ms = incarnation_start_ms;
  w->incarnation_known_ms = now_ms;
  w->acknowledged_end = 0;
  w->pending_last_seen = 0;
  w->last_journaled_end = 0;
  w->last_processed_end = 0;
  g_clear_pointer (&w->unsettled_ends, g_array_unref);
  cell_worker_forget_score (w);
  w->clock_reported_ms = 0;
  w->absences = 0;
  w->absent_ms = 0;
}

void
cell_worker_listed (struct cell *cell, const struct worker_entry *entry,
                    int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, entry->id);
  struct worker_entry *copy = worker_entry_copy (entry);

  cell_note_worker_size (cell, &entry->capacity);
  if (w == NULL)
    w = cell_worker_add (cell, entry->id);
  if (!w->is_listed)
    cell->needs_placement = true;
  if (w->is_listed && entry->draining && !w->entry->draining)
    cell_log_event (cell, "worker-draining", entry->id, "tasks=%u",
                    w->tasks->len);
  g_hash_table_steal (cell->workers, w->entry->id);
  worker_entry_destroy (w->entry);
  w->entry = copy;
  g_hash_table_insert (cell->workers, copy->id, w);
  w->is_listed = true;
  if (entry->incarnation_start_ms <= w->incarnation_start_ms)
    return;
  cell_worker_begin_incarnation (cell, w, entry->incarnation_start_ms, now_ms);
  w->is_confirmed = false;
  w->next_hold_ms = now_ms;
}

void
cell_worker_unlisted (struct cell *cell, const char *worker, int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, worker);

  if (w == NULL || !w->is_listed)
    return;
  w->is_listed = false;
  w->unlisted_ms = now_ms;
  cell_log_event (cell, "worker-unlisted", worker, "tasks=%u", w->tasks->len);
}

bool
cell_worker_may_call (const struct cell_worker *w)
{
  return w->entry->address[0] != '\0';
}

/* The incarnation that the cell used has ended, and another cell's owner calls
   the one in ENTRY.  A start may have reached that one, so the leases are
   waited for. */
static void
stop_calling (struct cell *c, struct cell_worker *w,
              const struct worker_entry *entry, int64_t now_ms)
{
  cell_log_event (c, "worker-reassigned", entry->id, "tasks=%u service=%s",
                  w->tasks->len, entry->service);
  if (entry->incarnation_start_ms > w->incarnation_start_ms)
    cell_worker_begin_incarnation (c, w, entry->incarnation_start_ms, now_ms);
  g_free (w->entry->address);
  w->entry->address = g_strdup ("");
  w->is_confirmed = false;
  w->may_receive_starts = false;
  cell_journal_worker (c, w);
}

void
cell_worker_reassigned (struct cell *cell, const struct worker_entry *entry,
                        int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, entry->id);

  if (w == NULL)
    return;
  cell_worker_unlisted (cell, entry->id, now_ms);
  /* No grace period as for one that is only missing from the list. */
  w->entry->draining = true;
  if (cell_worker_may_call (w)
      && entry->incarnation_start_ms > w->entry->incarnation_start_ms)
    stop_calling (cell, w, entry, now_ms);
}

/* W's incarnation has certainly ended, and with it all leases. */
void
cell_worker_end_incarnation (struct cell_worker *w, int64_t now_ms)
{
  w->has_ended = true;
  w->is_confirmed = false;
  w->may_have_earlier_leases = false;
  w->clock_reported_ms = 0;
  w->lease_expiry_ms = now_ms;
}

void
cell_worker_ended (struct cell *cell, const char *worker, int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, worker);

  if (w == NULL)
    return;
  /* The worker was empty when its machine was ordered away.  If it has tasks,
     it has been used since and may be running. */
  if (w->tasks->len == 0)
    cell_worker_end_incarnation (w, now_ms);
  else
    w->next_hold_ms = MIN (w->next_hold_ms, now_ms);
}

/* Holds. */

/* Return whether this owner had no successor when it learned of W's last
   restart.  A worker forgets its fencing token by a restart, so that a later
   report does not show whether a successor has been there before. */
bool
cell_worker_is_restart_confirmed (const struct cell *c,
                                  const struct cell_worker *w)
{
  return c->confirmed_ms > w->restarted_ms;
}

bool
cell_worker_is_incarnation_listed (const struct cell_worker *w)
{
  return w->entry->incarnation_start_ms == 0
         || w->incarnation_start_ms <= w->entry->incarnation_start_ms;
}

/* Return the ends that a hold of W may acknowledge now.  A hold can't name the
   incarnation, and one that has restarted unnoticed would forget its own ends.
   So a worker that may have restarted is told nothing, and each end is
   acknowledged until that is answered, not again. */
static uint64_t
end_to_acknowledge (struct cell_worker *w, int64_t now_ms)
{
  uint64_t end = cell_settled_end (w, w->last_journaled_end, now_ms);

  return w->is_confirmed && cell_worker_is_incarnation_listed (w)
                 && end > w->acknowledged_end
             ? end
             : 0;
}

bool
cell_worker_must_be_heard (struct cell_worker *w, int64_t now_ms)
{
  return end_to_acknowledge (w, now_ms) > w->pending_last_seen;
}

static void
send_hold (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  struct cell_order *o = cell_add_order (c, ORDER_HOLD);
  bool has_work = w->tasks->len > 0;
  uint64_t end = end_to_acknowledge (w, now_ms);

  o->u.hold.worker = g_strdup (w->entry->id);
  o->u.hold.address = g_strdup (w->entry->address);
  if (w->clock_reported_ms != 0 && w->is_confirmed && has_work)
    o->u.hold.deadline_ms = cell_lease_deadline (w, now_ms);
  if (now_ms <= w->clock_reported_ms + ACKNOWLEDGE_WITHIN_MS)
    o->u.hold.last_seen = end;
  w->pending_last_seen = o->u.hold.last_seen;
  o->u.hold.fencing_token = cell_worker_token (c, w);
  w->hold_token = o->u.hold.fencing_token;
  /* An idle worker may have restarted unnoticed.  If its first task was
     started on a clock of the former incarnation, that shows at once. */
  if (w->is_confirmed && has_work && w->had_tasks
      && cell_worker_is_restart_confirmed (c, w) && o->u.hold.last_seen == end
      && w->last_processed_end == MAX (end, w->acknowledged_end))
    o->u.hold.wait_ms = HOLD_WAIT_MS;
  w->has_pending_hold = true;
}

static void
forget_worker (struct cell *c, struct cell_worker *w)
{
  if (w->is_change_queued || c->append.entries != NULL || w->is_in_journal)
    return;
  g_ptr_array_remove (c->worker_list, w);
  g_hash_table_remove (c->workers, w->entry->id);
}

/* Drop W's record from the journal: none of the cell's runs can be there, so
   that the next owner need not ask it. */
static void
drop_worker_record (struct cell *c, struct cell_worker *w)
{
  if (w->is_change_queued || c->append.entries != NULL)
    return;
  cell_journal_drop (c, g_strconcat ("w:", w->entry->id, NULL));
  w->is_in_journal = false;
  w->may_receive_starts = false;
}

static void
worker_tick (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  bool is_lost = !w->is_confirmed && cell_worker_leases_expired (c, w);

  if (is_lost
      && (w->tasks->len > 0 || w->may_have_unseen_runs
          || w->other_runs != NULL))
    reset_lost_tasks (c, w, now_ms);
  if (is_lost && w->is_in_journal && w->tasks->len == 0)
    drop_worker_record (c, w);
  if (w->is_emptying && now_ms > w->emptying_until_ms)
    {
      w->is_emptying = false;
      w->is_emptying_journaled = false;
    }
  cell_run_timers (c, w, now_ms);
  if (!w->has_pending_hold && now_ms >= w->next_hold_ms
      && cell_worker_may_call (w))
    send_hold (c, w, now_ms);
}

void
cell_workers_tick (struct cell *c, int64_t now_ms)
{
  for (guint i = c->worker_list->len; i > 0; i--)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i - 1);

      worker_tick (c, w, now_ms);
      if (!w->is_listed && !w->may_have_unseen_runs && w->tasks->len == 0
          && !w->has_pending_hold
          && now_ms > w->unlisted_ms + UNLISTED_RETENTION_MS
          && cell_worker_leases_expired (c, w))
        forget_worker (c, w);
    }
}

const struct cell_worker *
cell_find_worker_with_unseen_runs (const struct cell *c)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (w->may_have_unseen_runs && !cell_worker_leases_expired (c, w))
        return w;
    }
  return NULL;
}

GPtrArray *
cell_yield (struct cell *cell, int64_t now_ms)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (journal_entry_free);

  /* The journal does not have the ends after last_journaled_end: the next
     owner has to ask for them itself, even if the leases have expired.  Of
     other workers it only has to wait for the runs that are known here. */
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (cell->worker_list, i);
      bool is_all_journaled = w->last_processed_end == w->last_journaled_end;
      int64_t remaining_ms
          = MAX (cell_worker_runs_until_ms (cell, w) - now_ms, 0);

      g_ptr_array_add (
          records,
          cell_worker_entry (w, w->last_journaled_end,
                             is_all_journaled && !w->may_have_unseen_runs,
                             is_all_journaled ? remaining_ms : LEASE_UNKNOWN));
    }
  g_ptr_array_add (
      records, cell_owner_entry (cell->options.epoch, cell->options.address));
  cell->is_fenced = true;
  return records;
}
