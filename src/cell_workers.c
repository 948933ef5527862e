#include "cell_state.h"

#include <string.h>

/* What is known of workers: how they are listed, leases, and reports. */

/* A hold waits so long for an end, and so renews the lease every second. */
#define HOLD_WAIT_MS 1000
/* Between two holds of a worker with work, so that ends come in batches. */
#define HOLD_GAP_MS 60
/* Between two holds of a worker without work. */
#define IDLE_HOLD_GAP_MS 1500
/* While reported ends are not in the journal, a hold returns at once. */
#define UNSAVED_HOLD_GAP_MS 150
/* After a hold that was not answered. */
#define RETRY_HOLD_MS 250
/* Jobs that fail in a row make a worker suspect; one alone may be a job that
   can never be done. */
#define FAILED_STREAK 3
/* A clock of a worker may be so slow, in thousandths. */
#define SLOW_CLOCK_PERMILLE 25
/* Added to the end of a lease for the way of a call. */
#define LEASE_SLACK_MS 150
/* A worker that is not listed any more is forgotten after this. */
#define FORGET_WORKER_MS 20000

void
cell_worker_destroy (gpointer p)
{
  struct cell_worker *w = p;

  for (guint i = 0; i < w->tasks->len; i++)
    ((struct cell_task *)g_ptr_array_index (w->tasks, i))->worker = NULL;
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
  w->lease_ms = MIN (CELL_LEASE_MS, c->options.hold_max_ms);
  w->lease_over_ms = c->taken_over_ms + c->options.foreign_lease_ms;
  w->lease_left_ms = LEASE_UNKNOWN;
  g_hash_table_insert (c->workers, w->entry->id, w);
  g_ptr_array_add (c->worker_list, w);
  return w;
}

void
cell_worker_put_task (struct cell_worker *w, struct cell_task *t)
{
  const struct job_step *s = cell_task_step (t);

  t->worker = w;
  g_ptr_array_add (w->tasks, t);
  if (!s->fills)
    w->used.cpu_milli += s->cpu_milli;
  w->used.memory_mb += s->memory_mb;
  w->used.gpus += s->gpus;
}

void
cell_worker_take_task (struct cell_worker *w, struct cell_task *t)
{
  const struct job_step *s = cell_task_step (t);

  if (!g_ptr_array_remove_fast (w->tasks, t))
    return;
  t->worker = NULL;
  if (!s->fills)
    w->used.cpu_milli -= s->cpu_milli;
  w->used.memory_mb -= s->memory_mb;
  w->used.gpus -= s->gpus;
}

/* All runs on W are over. */
static void
lose_tasks (struct cell *c, struct cell_worker *w, const char *why,
            int64_t now_ms)
{
  if (w->tasks->len > 0)
    cell_note (c, "runs-lost", w->entry->id, "cause=%s tasks=%u", why,
               w->tasks->len);
  while (w->tasks->len > 0)
    cell_task_free (c, g_ptr_array_index (w->tasks, 0), now_ms);
  w->inherited = false;
  c->place_needed = true;
}

/* W has started anew.  A start may have arrived in the new life already, so
   its next report tells which runs are lost. */
static void
begin_life (struct cell *c, struct cell_worker *w, int64_t born_ms)
{
  cell_note (c, "worker-born-again", w->entry->id, "tasks=%u", w->tasks->len);
  w->born_ms = born_ms;
  w->last_seen = 0;
  w->ends_taken = 0;
  w->failed_streak = 0;
  w->clock_heard_ms = 0;
}

void
cell_worker_listed (struct cell *cell, const struct worker_entry *entry,
                    int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, entry->id);
  struct worker_entry *copy = worker_entry_copy (entry);

  if (w == NULL)
    w = cell_worker_add (cell, entry->id);
  if (!w->listed)
    cell->place_needed = true;
  if (w->listed && entry->draining && !w->entry->draining)
    cell_note (cell, "worker-draining", entry->id, "tasks=%u", w->tasks->len);
  g_hash_table_steal (cell->workers, w->entry->id);
  worker_entry_destroy (w->entry);
  w->entry = copy;
  g_hash_table_insert (cell->workers, copy->id, w);
  w->listed = true;
  if (entry->born_ms != 0 && w->born_ms != 0 && entry->born_ms > w->born_ms)
    {
      begin_life (cell, w, entry->born_ms);
      w->confirmed = false;
      w->next_hold_ms = now_ms;
    }
}

void
cell_worker_unlisted (struct cell *cell, const char *worker, int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, worker);

  if (w == NULL || !w->listed)
    return;
  w->listed = false;
  w->unlisted_ms = now_ms;
  cell_note (cell, "worker-unlisted", worker, "tasks=%u", w->tasks->len);
}

/* W's life is surely over. */
static void
end_life (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  lose_tasks (c, w, "worker-ended", now_ms);
  w->confirmed = false;
  w->lease_over_ms = now_ms;
}

void
cell_worker_ended (struct cell *cell, const char *worker, int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, worker);

  if (w == NULL)
    return;
  /* It was emptied by the owner at that time: one with work has been used
     since, and may live. */
  if (w->tasks->len == 0)
    end_life (cell, w, now_ms);
  else
    w->next_hold_ms = MIN (w->next_hold_ms, now_ms);
}

/* Return the worker's own clock as it should be now. */
static int64_t
worker_clock (const struct cell_worker *w, int64_t now_ms)
{
  return w->clock_ms + (now_ms - w->clock_heard_ms);
}

/* Return the deadline of a lease given now, and note when it is surely over.
 */
int64_t
cell_lease_deadline (struct cell_worker *w, int64_t now_ms)
{
  int64_t unheard_ms = now_ms - w->clock_heard_ms;
  int64_t longest_ms = w->lease_ms + unheard_ms;
  int64_t over_ms = now_ms + w->lease_ms
                    + longest_ms * SLOW_CLOCK_PERMILLE / 1000 + LEASE_SLACK_MS;

  w->lease_over_ms = MAX (w->lease_over_ms, over_ms);
  return worker_clock (w, now_ms) + w->lease_ms;
}

/* Holds. */

static void
send_hold (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  struct cell_order *o = cell_add_order (c, ORDER_HOLD);
  bool has_work = w->tasks->len > 0;

  o->u.hold.worker = g_strdup (w->entry->id);
  o->u.hold.address = g_strdup (w->entry->address);
  if (w->clock_heard_ms != 0 && w->confirmed && has_work)
    o->u.hold.deadline_ms = cell_lease_deadline (w, now_ms);
  /* A life that has not been confirmed may count its ends anew. */
  o->u.hold.last_seen = w->confirmed ? w->last_seen : 0;
  if (w->confirmed && has_work && w->ends_taken == w->last_seen)
    o->u.hold.wait_ms = HOLD_WAIT_MS;
  w->hold_out = true;
}

static void
forget_worker (struct cell *c, struct cell_worker *w)
{
  if (w->queued || c->flight.entries != NULL || w->in_journal)
    return;
  g_ptr_array_remove (c->worker_list, w);
  g_hash_table_remove (c->workers, w->entry->id);
}

/* Nothing of ours can run on W any more: the next owner need not ask it. */
static void
leave_journal (struct cell *c, struct cell_worker *w)
{
  if (w->queued || c->flight.entries != NULL)
    return;
  cell_journal_drop (c, g_strconcat ("w:", w->entry->id, NULL));
  w->in_journal = false;
  w->may_start = false;
}

static void
worker_tick (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  if (!w->confirmed && now_ms > w->lease_over_ms
      && (w->tasks->len > 0 || w->inherited))
    lose_tasks (c, w, "lease-over", now_ms);
  if (!w->confirmed && now_ms > w->lease_over_ms && w->in_journal
      && w->tasks->len == 0)
    leave_journal (c, w);
  if (w->leaving && now_ms > w->leaving_ms)
    {
      w->leaving = false;
      w->leaving_saved = false;
    }
  cell_run_timers (c, w, now_ms);
  if (!w->hold_out && now_ms >= w->next_hold_ms
      && w->entry->address[0] != '\0')
    send_hold (c, w, now_ms);
}

void
cell_workers_tick (struct cell *c, int64_t now_ms)
{
  for (guint i = c->worker_list->len; i > 0; i--)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i - 1);

      worker_tick (c, w, now_ms);
      if (!w->listed && !w->inherited && w->tasks->len == 0 && !w->hold_out
          && now_ms > w->unlisted_ms + FORGET_WORKER_MS
          && now_ms > w->lease_over_ms)
        forget_worker (c, w);
    }
}

const struct cell_worker *
cell_unsettled_worker (const struct cell *c, int64_t now_ms)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (w->inherited && now_ms <= w->lease_over_ms)
        return w;
    }
  return NULL;
}

/* Reports. */

/* Take over a run that an earlier owner has started. */
static bool
adopt (struct cell *c, struct cell_worker *w, const struct worker_run *r,
       struct cell_task *t, int64_t now_ms)
{
  struct cell_job *job = t->occurrence->job;

  if (job->state >= JOB_COMPLETED || t->runs > 0)
    return false;
  /* A higher run was started when the lower one was known to be over. */
  if (t->phase == TASK_RUNNING && !t->worker->confirmed && r->run > t->run)
    cell_task_free (c, t, now_ms);
  if (t->phase != TASK_WAITING)
    return false;
  t->run = r->run;
  cell_worker_put_task (w, t);
  cell_task_set_phase (t, TASK_RUNNING, now_ms);
  t->moved_ms = now_ms;
  t->is_known = true;
  job->started = true;
  return true;
}

static void
note_run (struct cell *c, struct cell_worker *w, const struct worker_run *r,
          int64_t now_ms)
{
  struct cell_task *t = cell_find_task (c, r->task);

  if (t == NULL
      || ((t->worker != w || t->run != r->run) && !adopt (c, w, r, t, now_ms)))
    {
      cell_note (c, "run-unknown", r->task,
                 "worker=%s run=%" G_GUINT64_FORMAT " outcome=stop",
                 w->entry->id, r->run);
      cell_order_stop (c, w, r->task, r->run);
      w->strangers++;
      return;
    }
  t->is_known = true;
  if (t->phase == TASK_STARTING && !t->call_out)
    cell_task_set_phase (t, TASK_RUNNING, now_ms);
  if (r->percent != t->percent)
    t->moved_ms = now_ms;
  t->percent = r->percent;
  t->figure = r->figure;
  if (r->checkpoint[0] != '\0'
      && g_strcmp0 (t->checkpoint, r->checkpoint) != 0)
    {
      g_free (t->checkpoint);
      t->checkpoint = g_strdup (r->checkpoint);
      t->moved_ms = now_ms;
    }
}

void
cell_worker_blame (struct cell *c, struct cell_worker *w, const char *job,
                   int64_t now_ms)
{
  if (strcmp (job, w->failed_job) != 0)
    w->failed_streak++;
  g_strlcpy (w->failed_job, job, sizeof w->failed_job);
  if (!cell_worker_is_suspect (w))
    return;
  if (now_ms >= w->shunned_ms)
    cell_note (c, "worker-shunned", w->entry->id,
               "failed_in_a_row=%u for_ms=%d", w->failed_streak, CELL_SHUN_MS);
  w->shunned_ms = now_ms + CELL_SHUN_MS;
}

bool
cell_worker_is_suspect (const struct cell_worker *w)
{
  return w->failed_streak >= FAILED_STREAK;
}

static void
note_end (struct cell *c, struct cell_worker *w, const struct worker_end *e,
          int64_t now_ms)
{
  struct cell_task *t = cell_find_task (c, e->task);
  struct task_name name;

  w->ends_taken = e->number;
  if (e->how == END_FAILED && task_name_parse (e->task, &name))
    cell_worker_blame (c, w, name.job, now_ms);
  if (e->how == END_DONE)
    {
      w->failed_streak = 0;
      w->failed_job[0] = '\0';
    }
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

/* Free the tasks whose run the worker would have reported, and did not. */
static void
free_unreported (struct cell *c, struct cell_worker *w,
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
      if (t->phase_ms >= sent_ms || t->call_out
          || (t->phase == TASK_STOPPING && !t->stop_heard)
          || t->phase == TASK_STARTING)
        continue;
      name = cell_task_name (t);
      if (!is_reported (report, name, t->run))
        {
          if (t->phase == TASK_RUNNING)
            cell_note (c, "run-missing", name,
                       "worker=%s run=%" G_GUINT64_FORMAT, w->entry->id,
                       t->run);
          cell_task_free (c, t, now_ms);
        }
      g_free (name);
    }
}

static void
take_report (struct cell *c, struct cell_worker *w,
             const struct worker_report *report, int64_t sent_ms,
             int64_t now_ms)
{
  uint64_t before = w->ends_taken;

  if (w->born_ms != 0 && report->born_ms != 0 && report->born_ms != w->born_ms)
    {
      begin_life (c, w, report->born_ms);
      before = 0;
    }
  if (!w->confirmed)
    w->may_start = false; /* until the journal says that it is in use */
  w->born_ms = report->born_ms;
  w->confirmed = true;
  w->clock_ms = report->clock_ms;
  w->clock_heard_ms = now_ms;
  for (guint i = 0; i < report->ends->len; i++)
    {
      const struct worker_end *e
          = &g_array_index (report->ends, struct worker_end, i);

      if (e->number > w->ends_taken)
        note_end (c, w, e, now_ms);
    }
  w->strangers = 0;
  for (guint i = 0; i < report->runs->len; i++)
    note_run (c, w, &g_array_index (report->runs, struct worker_run, i),
              now_ms);
  free_unreported (c, w, report, sent_ms, now_ms);
  w->inherited = false;
  cell_pace_fillers (c, w, now_ms);
  if (w->ends_taken != before || (!w->may_start && w->listed))
    cell_journal_worker (c, w);
  c->urgent = c->urgent || (!w->may_start && w->listed);
}

void
cell_hold_answered (struct cell *cell, const char *worker,
                    const struct worker_report *reply, bool fenced, bool gone,
                    int64_t sent_ms, int64_t now_ms)
{
  struct cell_worker *w = g_hash_table_lookup (cell->workers, worker);
  bool was_confirmed;

  if (w == NULL)
    return;
  w->hold_out = false;
  if (fenced)
    {
      cell->fenced = true;
      return;
    }
  if (gone)
    {
      end_life (cell, w, now_ms);
      w->next_hold_ms = now_ms + IDLE_HOLD_GAP_MS;
      return;
    }
  if (reply == NULL)
    {
      if (w->confirmed)
        {
          cell_note (cell, "worker-silent", worker, "tasks=%u", w->tasks->len);
          w->confirmed = false;
          w->may_start = false;
          cell_journal_worker (cell, w);
        }
      w->next_hold_ms = now_ms + RETRY_HOLD_MS;
      return;
    }
  was_confirmed = w->confirmed;
  take_report (cell, w, reply, sent_ms, now_ms);
  if (!was_confirmed && w->tasks->len > 0)
    w->next_hold_ms = now_ms; /* extend the leases */
  else if (w->ends_taken != w->last_seen)
    w->next_hold_ms = now_ms + UNSAVED_HOLD_GAP_MS;
  else if (w->tasks->len > 0)
    w->next_hold_ms = MAX (sent_ms + HOLD_GAP_MS, now_ms);
  else
    w->next_hold_ms = now_ms + IDLE_HOLD_GAP_MS;
}

GPtrArray *
cell_yield (struct cell *cell, int64_t now_ms)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (journal_entry_free);

  /* The journal does not have the ends after last_seen: the next owner has
     to take them in itself, even where the leases are over.  Elsewhere it
     needs to wait for the runs only that this one knows of. */
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (cell->worker_list, i);
      bool all_written = w->ends_taken == w->last_seen;
      int64_t left_ms = MAX (w->lease_over_ms - now_ms, 0);

      g_ptr_array_add (
          records,
          cell_worker_entry (w, w->last_seen, all_written && !w->inherited,
                             all_written ? left_ms : LEASE_UNKNOWN));
    }
  cell->fenced = true;
  return records;
}
