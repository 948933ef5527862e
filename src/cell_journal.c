#include "cell_accounts.h"

#include "variant_bytes.h"

/* The journal holds these records by key:
   "j:JOB"     the specification of a job that has not ended, or that may have
               runs which count for its account
   "p:JOB"     the progress or the final state of a job
   "o:EPOCH"   the address of an owner, see cell_owners.c
   "a:"        the accounts' allotments, see cell_account_journal.c
   "w:WORKER"  the last end of a worker's runs that was processed, and what
               may still run there.
   Only one append is in progress at a time; later changes go into the next.

   A worker's record is journaled before the first start there, so that the
   next owner knows which workers to ask for runs.  When a worker stops
   answering, its record names the runs that it may have.  Nothing else is
   started there until it answers and a new record is journaled, so that the
   next owner has to wait for these runs only. */

/* Minimum interval between two appends while a caller or a start waits for
   one; the store answers in about 4 ms. */
#define URGENT_APPEND_INTERVAL_MS 15
/* Minimum interval between other appends. */
#define APPEND_INTERVAL_MS 80
/* Retry delay after an append that was refused or not answered. */
#define APPEND_RETRY_DELAY_MS 150
/* Appends are hedged: one that has not been answered for HEDGE_FACTOR times
   the usual latency is ordered again, as the answer may be lost; the store
   recognizes the repetition by its sequence number.  Bounds of that delay, and
   the orders that may be pending at once. */
#define HEDGE_FACTOR 4
#define HEDGE_DELAY_MIN_MS 100
#define HEDGE_DELAY_MAX_MS 600
#define APPEND_CALLS_MAX 8
/* A new latency counts as one part in this in the moving average. */
#define LATENCY_SMOOTHING 4
/* A job that could not be journaled within this time is refused, before the
   node that forwarded it gives the attempt up. */
#define SUBMIT_TIMEOUT_MS 800
/* New jobs are refused at once when appends have failed for so long. */
#define UNREACHABLE_AFTER_MS 300
/* A caller whose append has no known outcome after this time is told so. */
#define UNCLEAR_AFTER_MS 1000
/* No more jobs are added to an append that has reached this size, so that it
   stays below the platform's limit for one call. */
#define APPEND_MAX_BYTES 1000000

struct journal_entry *
journal_entry_new (const char *key, GBytes *value)
{
  struct journal_entry *e = g_new0 (struct journal_entry, 1);

  e->key = g_strdup (key);
  e->value = value != NULL ? g_bytes_ref (value) : NULL;
  return e;
}

void
journal_entry_free (gpointer entry)
{
  struct journal_entry *e = entry;

  g_free (e->key);
  if (e->value != NULL)
    g_bytes_unref (e->value);
  g_free (e);
}

void
cell_journal_job (struct cell *c, struct cell_job *job, bool is_urgent)
{
  c->is_append_urgent = c->is_append_urgent || is_urgent;
  if (job->is_change_queued)
    return;
  job->is_change_queued = true;
  g_ptr_array_add (c->changed_jobs, job);
}

void
cell_journal_worker (struct cell *c, struct cell_worker *w)
{
  if (w->is_change_queued)
    return;
  w->is_change_queued = true;
  g_ptr_array_add (c->changed_workers, w);
}

void
cell_journal_drop (struct cell *c, char *key)
{
  g_ptr_array_add (c->dropped_keys, key);
}

static void
clear_append (struct cell *c)
{
  if (c->append.entries == NULL)
    return;
  for (guint i = 0; i < c->append.jobs->len; i++)
    g_array_index (c->append.jobs, struct appended_job, i).job->is_in_append
        = false;
  if (c->append.has_accounts)
    cell_accounts_end_append (c);
  g_ptr_array_unref (c->append.entries);
  g_array_unref (c->append.jobs);
  g_array_unref (c->append.workers);
  c->append = (struct cell_append){ 0 };
}

void
cell_journal_clear (struct cell *c)
{
  clear_append (c);
}

static gsize
add_entry (struct cell *c, const char *prefix, const char *id, GBytes *value)
{
  struct journal_entry *e = g_new0 (struct journal_entry, 1);

  e->key = g_strconcat (prefix, id, NULL);
  e->value = value;
  g_ptr_array_add (c->append.entries, e);
  return value != NULL ? g_bytes_get_size (value) : 0;
}

static gsize
add_job_entries (struct cell *c, struct cell_job *job)
{
  struct appended_job f = { job, job->state, !job->is_stored };
  gsize size = 0;

  job->is_change_queued = false;
  job->is_in_append = true;
  if (!job->is_stored)
    size += add_entry (c, "j:", job->spec->id, job_spec_to_bytes (job->spec));
  if (job->is_stored || job->state != JOB_PENDING)
    size += add_entry (c, "p:", job->spec->id, cell_job_progress (job));
  /* Once a job has ended only its state is needed, but by its specification a
     next owner counts the runs that are still being stopped. */
  job->is_spec_kept = job->state >= JOB_COMPLETED
                      && (!job->is_stored || cell_account_needs_spec (c, job));
  if (job->state >= JOB_COMPLETED && !job->is_spec_kept)
    add_entry (c, "j:", job->spec->id, NULL);
  g_array_append_val (c->append.jobs, f);
  return size;
}

/* Return whether the record of W has to name its runs: W does not answer, but
   all runs that it may have are known. */
static bool
must_name_runs (const struct cell_worker *w)
{
  return !w->is_confirmed && !w->may_have_unseen_runs;
}

static GVariant *
worker_record (const struct cell_worker *w, uint64_t ends, bool names_runs,
               int64_t lease_remaining_ms)
{
  GVariantBuilder runs;

  g_variant_builder_init (&runs, G_VARIANT_TYPE ("a(st)"));
  for (guint i = 0; i < w->tasks->len && names_runs; i++)
    {
      const struct cell_task *t = g_ptr_array_index (w->tasks, i);
      char *name = cell_task_name (t);

      g_variant_builder_add (&runs, "(st)", name, t->run);
      g_free (name);
    }
  if (names_runs)
    cell_account_name_other_runs (w, &runs);
  return g_variant_new (CELL_WORKER_RECORD_TYPE, w->entry->address,
                        w->incarnation_start_ms, ends, names_runs,
                        w->is_emptying, lease_remaining_ms, &runs);
}

struct journal_entry *
cell_worker_entry (const struct cell_worker *w, uint64_t ends, bool names_runs,
                   int64_t lease_remaining_ms)
{
  struct journal_entry *e = g_new0 (struct journal_entry, 1);

  e->key = g_strconcat ("w:", w->entry->id, NULL);
  e->value = variant_to_bytes (
      worker_record (w, ends, names_runs, lease_remaining_ms));
  return e;
}

static void
add_worker_entry (struct cell *c, struct cell_worker *w)
{
  struct appended_worker f
      = { w, w->incarnation_start_ms, w->last_processed_end,
          must_name_runs (w), w->is_emptying };

  w->is_change_queued = false;
  g_ptr_array_add (c->append.entries,
                   cell_worker_entry (w, w->last_processed_end,
                                      must_name_runs (w), LEASE_UNKNOWN));
  g_array_append_val (c->append.workers, f);
}

/* Return the timeout after which the append's next order is hedged. */
static int64_t
hedge_delay_ms (const struct cell *c)
{
  return CLAMP (c->append_latency_ms * HEDGE_FACTOR, HEDGE_DELAY_MIN_MS,
                HEDGE_DELAY_MAX_MS);
}

static void
order_append (struct cell *c, int64_t now_ms)
{
  struct cell_order *o = cell_add_order (c, ORDER_APPEND);

  o->u.append.sequence = c->sequence;
  o->u.append.entries = g_ptr_array_ref (c->append.entries);
  c->append.hedge_ms = now_ms + hedge_delay_ms (c);
  c->append.pending_calls++;
}

static gsize
add_accounts_entry (struct cell *c)
{
  struct journal_entry *e = cell_accounts_begin_append (c);

  c->append.has_accounts = true;
  g_ptr_array_add (c->append.entries, e);
  return g_bytes_get_size (e->value);
}

static void
begin_append (struct cell *c, int64_t now_ms)
{
  gsize size = 0;
  guint n_jobs = 0;

  c->append.entries = g_ptr_array_new_with_free_func (journal_entry_free);
  c->append.jobs = g_array_new (FALSE, FALSE, sizeof (struct appended_job));
  c->append.workers
      = g_array_new (FALSE, FALSE, sizeof (struct appended_worker));
  c->append.begun_ms = now_ms;
  /* A key is dropped only while no record of it is queued, so records of a
     dropped key are newer. */
  for (guint i = 0; i < c->dropped_keys->len; i++)
    add_entry (c, "", g_ptr_array_index (c->dropped_keys, i), NULL);
  g_ptr_array_set_size (c->dropped_keys, 0);
  if (c->accounts->is_change_queued)
    size += add_accounts_entry (c);
  while (n_jobs < c->changed_jobs->len && size < APPEND_MAX_BYTES)
    size += add_job_entries (c, g_ptr_array_index (c->changed_jobs, n_jobs++));
  g_ptr_array_remove_range (c->changed_jobs, 0, n_jobs);
  for (guint i = 0; i < c->changed_workers->len && c->changed_jobs->len == 0;
       i++)
    add_worker_entry (c, g_ptr_array_index (c->changed_workers, i));
  if (c->changed_jobs->len == 0)
    g_ptr_array_set_size (c->changed_workers, 0);
  c->is_append_urgent = c->changed_jobs->len > 0;
  c->last_append_ms = now_ms;
  order_append (c, now_ms);
}

/* Refuse jobs that have waited too long to be journaled.  None of them is in
   an append, so that refused jobs never run. */
static void
refuse_overdue_jobs (struct cell *c, int64_t now_ms)
{
  for (guint i = c->changed_jobs->len; i > 0; i--)
    {
      struct cell_job *job = g_ptr_array_index (c->changed_jobs, i - 1);

      if (job->is_stored || job->is_in_append
          || now_ms < job->added_ms + SUBMIT_TIMEOUT_MS)
        continue;
      cell_log_event (c, "job-refused", job->spec->id,
                      "reason=store-away waited_ms=%" G_GINT64_FORMAT,
                      now_ms - job->added_ms);
      cell_answer (c, job->submit_tokens, CELL_REFUSED);
      cell_answer (c, job->cancel_tokens, CELL_NO_JOB);
      g_ptr_array_remove_index (c->changed_jobs, i - 1);
      g_ptr_array_remove (c->open_jobs, job);
      g_hash_table_remove (c->jobs, job->spec->id);
    }
}

/* Tell callers whose append has had no known outcome for too long that their
   request may or may not take effect. */
static void
answer_unclear (struct cell *c, int64_t now_ms)
{
  if (now_ms < c->append.begun_ms + UNCLEAR_AFTER_MS)
    return;
  for (guint i = 0; i < c->append.jobs->len; i++)
    {
      struct appended_job *f
          = &g_array_index (c->append.jobs, struct appended_job, i);

      cell_answer (c, f->job->submit_tokens, CELL_UNCLEAR);
      cell_answer (c, f->job->cancel_tokens, CELL_UNCLEAR);
    }
}

/* Order the append in progress again if it has failed, or if its answer is
   overdue. */
static void
repeat_append (struct cell *c, int64_t now_ms)
{
  bool is_overdue = c->append.pending_calls > 0;

  if (c->is_fenced || c->append.pending_calls >= APPEND_CALLS_MAX
      || now_ms < (is_overdue ? c->append.hedge_ms : c->append.retry_ms))
    return;
  if (c->append.pending_calls == APPEND_CALLS_MAX - 1
      && c->append_failing_since_ms == 0)
    c->append_failing_since_ms = now_ms;
  order_append (c, now_ms);
}

void
cell_journal_tick (struct cell *c, int64_t now_ms)
{
  int64_t interval_ms
      = c->is_append_urgent ? URGENT_APPEND_INTERVAL_MS : APPEND_INTERVAL_MS;

  refuse_overdue_jobs (c, now_ms);
  if (c->append.entries != NULL)
    {
      answer_unclear (c, now_ms);
      repeat_append (c, now_ms);
      return;
    }
  if (c->is_fenced
      || (c->changed_jobs->len + c->changed_workers->len + c->dropped_keys->len
              == 0
          && !c->accounts->is_change_queued)
      || now_ms < c->last_append_ms + interval_ms
      || now_ms < c->append.retry_ms)
    return;
  begin_append (c, now_ms);
}

static void
commit_job (struct cell *c, const struct appended_job *f)
{
  struct cell_job *job = f->job;

  if (f->has_spec)
    {
      job->is_stored = true;
      c->needs_placement = true;
      cell_answer (c, job->submit_tokens, CELL_STORED);
    }
  if (job->journaled_state != f->state && f->state >= JOB_COMPLETED)
    cell_log_event (c, "job-ended", job->spec->id, "state=%s",
                    job_state_name (f->state));
  job->journaled_state = f->state;
  if (f->state >= JOB_COMPLETED)
    cell_answer (c, job->cancel_tokens, CELL_STORED);
}

static void
commit_worker (struct cell *c, const struct appended_worker *f, int64_t now_ms)
{
  struct cell_worker *w = f->worker;

  w->is_in_journal = true;
  w->is_emptying_journaled = f->is_emptying && w->is_emptying;
  /* The record of a former incarnation says nothing of this one. */
  if (f->incarnation_start_ms != w->incarnation_start_ms)
    return;
  w->may_receive_starts = !f->has_named_runs && w->is_confirmed;
  c->needs_placement = true;
  if (f->last_processed_end > w->last_journaled_end)
    w->next_hold_ms = MIN (w->next_hold_ms, now_ms);
  w->last_journaled_end = f->last_processed_end;
}

static void
commit_append (struct cell *c, int64_t now_ms)
{
  for (guint i = 0; i < c->append.jobs->len; i++)
    commit_job (c, &g_array_index (c->append.jobs, struct appended_job, i));
  for (guint i = 0; i < c->append.workers->len; i++)
    commit_worker (
        c, &g_array_index (c->append.workers, struct appended_worker, i),
        now_ms);
  if (c->append.has_accounts)
    cell_accounts_commit (c);
  c->sequence++;
  clear_append (c);
}

/* Queue the changes of the append in progress again: the store certainly has
   none of them. */
static void
restore_changes (struct cell *c, int64_t now_ms)
{
  GArray *jobs = g_array_ref (c->append.jobs);
  GArray *workers = g_array_ref (c->append.workers);

  for (guint i = 0; i < c->append.entries->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (c->append.entries, i);

      /* The entries of a job are built again with the job. */
      if (e->value == NULL && e->key[0] != 'j')
        cell_journal_drop (c, g_strdup (e->key));
    }
  clear_append (c);
  for (guint i = 0; i < jobs->len; i++)
    cell_journal_job (c, g_array_index (jobs, struct appended_job, i).job,
                      true);
  for (guint i = 0; i < workers->len; i++)
    cell_journal_worker (
        c, g_array_index (workers, struct appended_worker, i).worker);
  g_array_unref (jobs);
  g_array_unref (workers);
  c->append.retry_ms = now_ms + APPEND_RETRY_DELAY_MS;
}

bool
cell_store_is_unreachable (const struct cell *c, int64_t now_ms)
{
  bool is_trying = c->append.entries != NULL
                   || c->changed_jobs->len + c->changed_workers->len > 0
                   || c->accounts->is_change_queued;

  return is_trying && c->append_failing_since_ms != 0
         && now_ms > c->append_failing_since_ms + UNREACHABLE_AFTER_MS;
}

void
cell_append_answered (struct cell *cell, uint64_t sequence,
                      enum append_result result, int64_t sent_ms,
                      int64_t now_ms)
{
  /* An earlier order of this append has been answered already. */
  if (cell->append.entries == NULL || sequence != cell->sequence)
    return;
  cell->append.pending_calls--;
  if (result == APPEND_DONE)
    cell->append_failing_since_ms = 0;
  else if (cell->append_failing_since_ms == 0)
    cell->append_failing_since_ms = now_ms;
  switch (result)
    {
    case APPEND_DONE:
      /* The store may answer a repetition with its first response. */
      cell_confirmed (cell, cell->append.begun_ms);
      cell->append_latency_ms
          += (now_ms - sent_ms - cell->append_latency_ms) / LATENCY_SMOOTHING;
      commit_append (cell, now_ms);
      return;
    case APPEND_REFUSED:
      if (!cell->append.is_unclear && cell->append.pending_calls == 0)
        {
          restore_changes (cell, now_ms);
          return;
        }
      break;
    case APPEND_UNCLEAR:
      cell->append.is_unclear = true;
      break;
    case APPEND_FENCED:
      cell->is_fenced = true;
      return;
    }
  cell->append.retry_ms = now_ms + APPEND_RETRY_DELAY_MS;
}
