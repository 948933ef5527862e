#include "cell_state.h"

/* The journal holds, by key: "j:JOB" the job as it was accepted, until it has
   ended, "p:JOB" how far it is, "w:WORKER" which ends of a worker have been
   taken in.  One append is on its way at a time; what changes meanwhile goes
   into the next.

   A worker has a record before the first start there, so that the next owner
   knows whom to ask for runs.  When it falls silent, the record names the runs
   that it may have: nothing else is started there until it answers and the
   record says so, and the next owner has to wait for these runs only. */

#define WORKER_TYPE "(sxtbbxa(st))"

/* Between two appends somebody waits for; a store answers in some 4 ms. */
#define URGENT_GAP_MS 15
/* Between two appends that nobody waits for. */
#define CALM_GAP_MS 80
/* Before an append that was refused or not answered is tried again. */
#define RETRY_MS 150
/* A job that the store has not taken by then is refused: its caller has time
   left to come back. */
#define REFUSE_AFTER_MS 450
/* When appends have failed for so long, new jobs are refused at once. */
#define AWAY_MS 300
/* A caller whose append is unclear is told so by then. */
#define UNCLEAR_AFTER_MS 1000
/* Of one append, below the platform's limit of a call. */
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
cell_journal_job (struct cell *c, struct cell_job *job, bool urgent)
{
  c->urgent = c->urgent || urgent;
  if (job->queued)
    return;
  job->queued = true;
  g_ptr_array_add (c->changed_jobs, job);
}

void
cell_journal_worker (struct cell *c, struct cell_worker *w)
{
  if (w->queued)
    return;
  w->queued = true;
  g_ptr_array_add (c->changed_workers, w);
}

void
cell_journal_drop (struct cell *c, char *key)
{
  g_ptr_array_add (c->dropped_keys, key);
}

static void
clear_flight (struct cell *c)
{
  if (c->flight.entries == NULL)
    return;
  g_ptr_array_unref (c->flight.entries);
  g_array_unref (c->flight.jobs);
  g_array_unref (c->flight.workers);
  c->flight = (struct cell_flight){ 0 };
}

void
cell_journal_clear (struct cell *c)
{
  clear_flight (c);
}

static gsize
add_entry (struct cell *c, const char *prefix, const char *id, GBytes *value)
{
  struct journal_entry *e = g_new0 (struct journal_entry, 1);

  e->key = g_strconcat (prefix, id, NULL);
  e->value = value;
  g_ptr_array_add (c->flight.entries, e);
  return value != NULL ? g_bytes_get_size (value) : 0;
}

static gsize
put_job (struct cell *c, struct cell_job *job)
{
  struct flight_job f = { job, job->state, !job->stored };
  gsize size = 0;

  job->queued = false;
  if (!job->stored)
    size += add_entry (c, "j:", job->spec->id, job_spec_to_bytes (job->spec));
  if (job->stored || job->state != JOB_PENDING)
    size += add_entry (c, "p:", job->spec->id, cell_job_progress (job));
  /* Of a job that has ended only the state is asked for. */
  if (job->stored && job->state >= JOB_COMPLETED)
    add_entry (c, "j:", job->spec->id, NULL);
  g_array_append_val (c->flight.jobs, f);
  return size;
}

/* Whether all runs that W may have are known, though it does not answer. */
static bool
is_silent (const struct cell_worker *w)
{
  return !w->confirmed && !w->inherited;
}

static GVariant *
worker_record (const struct cell_worker *w, uint64_t ends, bool names_runs,
               int64_t lease_left_ms)
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
  return g_variant_new (WORKER_TYPE, w->entry->address, w->born_ms, ends,
                        names_runs, w->leaving, lease_left_ms, &runs);
}

struct journal_entry *
cell_worker_entry (const struct cell_worker *w, uint64_t ends, bool names_runs,
                   int64_t lease_left_ms)
{
  struct journal_entry *e = g_new0 (struct journal_entry, 1);
  GVariant *v = g_variant_ref_sink (
      worker_record (w, ends, names_runs, lease_left_ms));

  e->key = g_strconcat ("w:", w->entry->id, NULL);
  e->value = g_variant_get_data_as_bytes (v);
  g_variant_unref (v);
  return e;
}

static void
put_worker (struct cell *c, struct cell_worker *w)
{
  struct flight_worker f = { w, w->ends_taken, is_silent (w), w->leaving };

  w->queued = false;
  g_ptr_array_add (
      c->flight.entries,
      cell_worker_entry (w, w->ends_taken, is_silent (w), LEASE_UNKNOWN));
  g_array_append_val (c->flight.workers, f);
}

static void
order_append (struct cell *c)
{
  struct cell_order *o = cell_add_order (c, ORDER_APPEND);

  o->u.append.sequence = c->sequence;
  o->u.append.entries = g_ptr_array_ref (c->flight.entries);
  c->flight.call_out = true;
}

static void
begin_append (struct cell *c, int64_t now_ms)
{
  gsize size = 0;
  guint taken = 0;

  c->flight.entries = g_ptr_array_new_with_free_func (journal_entry_free);
  c->flight.jobs = g_array_new (FALSE, FALSE, sizeof (struct flight_job));
  c->flight.workers
      = g_array_new (FALSE, FALSE, sizeof (struct flight_worker));
  c->flight.begun_ms = now_ms;
  while (taken < c->changed_jobs->len && size < APPEND_MAX_BYTES)
    size += put_job (c, g_ptr_array_index (c->changed_jobs, taken++));
  g_ptr_array_remove_range (c->changed_jobs, 0, taken);
  for (guint i = 0; i < c->changed_workers->len && c->changed_jobs->len == 0;
       i++)
    put_worker (c, g_ptr_array_index (c->changed_workers, i));
  if (c->changed_jobs->len == 0)
    g_ptr_array_set_size (c->changed_workers, 0);
  for (guint i = 0; i < c->dropped_keys->len; i++)
    add_entry (c, "", g_ptr_array_index (c->dropped_keys, i), NULL);
  g_ptr_array_set_size (c->dropped_keys, 0);
  c->urgent = c->changed_jobs->len > 0;
  c->flushed_ms = now_ms;
  order_append (c);
}

/* Refuse jobs that the store has not taken for too long; none of them has
   been sent in an append whose outcome is open. */
static void
refuse_late (struct cell *c, int64_t now_ms)
{
  for (guint i = c->changed_jobs->len; i > 0; i--)
    {
      struct cell_job *job = g_ptr_array_index (c->changed_jobs, i - 1);

      if (job->stored || now_ms < job->taken_ms + REFUSE_AFTER_MS)
        continue;
      cell_note (c, "job-refused", job->spec->id,
                 "reason=store-away waited_ms=%" G_GINT64_FORMAT,
                 now_ms - job->taken_ms);
      cell_answer (c, job->submit_tokens, CELL_NOT_TAKEN);
      cell_answer (c, job->cancel_tokens, CELL_NO_JOB);
      g_ptr_array_remove_index (c->changed_jobs, i - 1);
      g_ptr_array_remove (c->open, job);
      g_hash_table_remove (c->jobs, job->spec->id);
    }
}

/* Tell callers whose append is unclear for too long that it is. */
static void
answer_unclear (struct cell *c, int64_t now_ms)
{
  if (now_ms < c->flight.begun_ms + UNCLEAR_AFTER_MS)
    return;
  for (guint i = 0; i < c->flight.jobs->len; i++)
    {
      struct flight_job *f
          = &g_array_index (c->flight.jobs, struct flight_job, i);

      cell_answer (c, f->job->submit_tokens, CELL_UNCLEAR);
      cell_answer (c, f->job->cancel_tokens, CELL_UNCLEAR);
    }
}

void
cell_journal_tick (struct cell *c, int64_t now_ms)
{
  int64_t gap = c->urgent ? URGENT_GAP_MS : CALM_GAP_MS;

  if (c->flight.entries != NULL)
    {
      answer_unclear (c, now_ms);
      if (!c->flight.call_out && now_ms >= c->flight.retry_ms && !c->fenced)
        order_append (c);
      return;
    }
  refuse_late (c, now_ms);
  if (c->fenced
      || c->changed_jobs->len + c->changed_workers->len + c->dropped_keys->len
             == 0
      || now_ms < c->flushed_ms + gap || now_ms < c->flight.retry_ms)
    return;
  begin_append (c, now_ms);
}

static void
commit_job (struct cell *c, const struct flight_job *f)
{
  struct cell_job *job = f->job;

  if (f->with_spec)
    {
      job->stored = true;
      c->place_needed = true;
      cell_answer (c, job->submit_tokens, CELL_STORED);
    }
  if (job->shown != f->state && f->state >= JOB_COMPLETED)
    cell_note (c, "job-ended", job->spec->id, "state=%s",
               job_state_name (f->state));
  job->shown = f->state;
  if (f->state >= JOB_COMPLETED)
    cell_answer (c, job->cancel_tokens, CELL_STORED);
}

static void
commit (struct cell *c, int64_t now_ms)
{
  for (guint i = 0; i < c->flight.jobs->len; i++)
    commit_job (c, &g_array_index (c->flight.jobs, struct flight_job, i));
  for (guint i = 0; i < c->flight.workers->len; i++)
    {
      struct flight_worker *f
          = &g_array_index (c->flight.workers, struct flight_worker, i);

      f->worker->in_journal = true;
      f->worker->may_start = !f->silent && f->worker->confirmed;
      f->worker->leaving_saved = f->leaving && f->worker->leaving;
      c->place_needed = true;
      if (f->ends_taken > f->worker->last_seen)
        f->worker->next_hold_ms = MIN (f->worker->next_hold_ms, now_ms);
      f->worker->last_seen = f->ends_taken;
    }
  c->sequence++;
  clear_flight (c);
}

/* The store certainly has none of the append: all of it is pending again. */
static void
give_back (struct cell *c, int64_t now_ms)
{
  GArray *jobs = g_array_ref (c->flight.jobs);
  GArray *workers = g_array_ref (c->flight.workers);

  for (guint i = 0; i < c->flight.entries->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (c->flight.entries, i);

      /* A job's entries come again with the job. */
      if (e->value == NULL && e->key[0] != 'j')
        cell_journal_drop (c, g_strdup (e->key));
    }
  clear_flight (c);
  for (guint i = 0; i < jobs->len; i++)
    cell_journal_job (c, g_array_index (jobs, struct flight_job, i).job, true);
  for (guint i = 0; i < workers->len; i++)
    cell_journal_worker (
        c, g_array_index (workers, struct flight_worker, i).worker);
  g_array_unref (jobs);
  g_array_unref (workers);
  c->flight.retry_ms = now_ms + RETRY_MS;
}

bool
cell_store_is_away (const struct cell *c, int64_t now_ms)
{
  bool is_trying = c->flight.entries != NULL
                   || c->changed_jobs->len + c->changed_workers->len > 0;

  return is_trying && c->away_ms != 0 && now_ms > c->away_ms + AWAY_MS;
}

void
cell_append_answered (struct cell *cell, enum append_result result,
                      int64_t now_ms)
{
  if (result == APPEND_DONE)
    cell->away_ms = 0;
  else if (cell->away_ms == 0)
    cell->away_ms = now_ms;
  cell->flight.call_out = false;
  if (cell->flight.entries == NULL)
    return;
  switch (result)
    {
    case APPEND_DONE:
      commit (cell, now_ms);
      return;
    case APPEND_REFUSED:
      if (!cell->flight.unclear)
        {
          give_back (cell, now_ms);
          return;
        }
      break;
    case APPEND_UNCLEAR:
      cell->flight.unclear = true;
      break;
    case APPEND_FENCED:
      cell->fenced = true;
      return;
    }
  cell->flight.retry_ms = now_ms + RETRY_MS;
}

/* A run that may still be on W, which its owner could not reach.  The record
   may be older than a start elsewhere, so the task is not known yet. */
static void
load_silent_run (struct cell *c, struct cell_worker *w, const char *name,
                 uint64_t run)
{
  struct cell_task *t = cell_find_task (c, name);

  if (t == NULL || t->phase != TASK_WAITING)
    return;
  t->run = run;
  cell_worker_put_task (w, t);
  cell_task_set_phase (t, TASK_RUNNING, c->taken_over_ms);
  t->moved_ms = c->taken_over_ms;
  t->occurrence->job->started = true;
}

/* Load a worker's record; a later one of the same worker counts, but for the
   ends: the journal may have more than its owner had heard of. */
static void
load_worker (struct cell *c, const char *id, GBytes *value)
{
  GVariant *v = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (WORKER_TYPE), value, FALSE));
  struct cell_worker *w = g_hash_table_lookup (c->workers, id);
  gboolean names_runs, leaving;
  GVariantIter *runs;
  const char *name;
  int64_t born_ms;
  uint64_t ends;
  uint64_t run;

  if (w == NULL)
    w = cell_worker_add (c, id);
  while (w->tasks->len > 0)
    cell_task_free (c, g_ptr_array_index (w->tasks, 0), c->taken_over_ms);
  g_free (w->entry->address);
  g_variant_get (v, WORKER_TYPE, &w->entry->address, &born_ms, &ends,
                 &names_runs, &leaving, &w->lease_left_ms, &runs);
  w->ends_taken = born_ms == w->born_ms ? MAX (ends, w->ends_taken) : ends;
  w->last_seen = w->ends_taken;
  w->born_ms = born_ms;
  w->inherited = !names_runs;
  w->in_journal = true;
  if (leaving)
    {
      w->leaving = true;
      w->leaving_ms = c->taken_over_ms + CELL_RELEASE_MS;
      w->leaving_since_ms = c->taken_over_ms;
    }
  while (g_variant_iter_next (runs, "(&st)", &name, &run))
    load_silent_run (c, w, name, run);
  g_variant_iter_free (runs);
  g_variant_unref (v);
}

void
cell_load (struct cell *cell, const char *key, GBytes *value)
{
  struct job_spec *spec;

  if (g_str_has_prefix (key, "w:"))
    load_worker (cell, key + 2, value);
  else if (g_str_has_prefix (key, "j:"))
    {
      spec = job_spec_from_bytes (value);
      if (spec == NULL)
        {
          cell_note (cell, "journal-malformed", key, "record passed over");
          return;
        }
      cell_job_load (cell, spec);
    }
  else if (g_str_has_prefix (key, "p:"))
    cell_job_load_progress (cell, key + 2, value);
}
