#include "cell_accounts.h"

#include "variant_bytes.h"

#include <string.h>

/* Loading the records of the journal; see cell_journal.c. */

/* Load RUN of task NAME, which may still be on W: its owner could not reach W.
   The task may have been started elsewhere after that record, so its
   is_every_run_known stays as it is.  Return false if the run is not waited
   for. */
static bool
load_named_run (struct cell *c, struct cell_worker *w, const char *name,
                uint64_t run)
{
  struct cell_task *t = cell_find_started_task (c, name, c->taken_over_ms);

  if (t == NULL)
    return false;
  if (t->phase == TASK_RUNNING && cell_may_copy (t))
    return cell_copy_load (t, w, run, c->taken_over_ms);
  /* Another record, which may be older, names an earlier run. */
  if (t->phase == TASK_RUNNING && run > t->run)
    cell_task_reset (c, t, c->taken_over_ms, c->taken_over_ms);
  if (t->phase != TASK_WAITING)
    return false;
  t->run = run;
  cell_worker_assign_task (w, t);
  cell_task_set_phase (t, TASK_RUNNING, c->taken_over_ms);
  t->progress_ms = c->taken_over_ms;
  t->occurrence->job->has_started = true;
  return true;
}

/* Load the runs that a record of W names. */
static void
load_named_runs (struct cell *c, struct cell_worker *w, GVariantIter *runs)
{
  uint32_t n_named = 0, n_loaded = 0;
  const char *name;
  uint64_t run;

  while (g_variant_iter_next (runs, "(&st)", &name, &run))
    {
      n_named++;
      if (load_named_run (c, w, name, run))
        n_loaded++;
      else
        cell_account_add_other_run (c, w, name, run, c->taken_over_ms);
    }
  if (n_named > 0)
    cell_log_event (c, "runs-named", w->entry->id, "named=%u loaded=%u",
                    n_named, n_loaded);
}

/* Load a worker's record.  A later record of the same worker replaces it,
   except that the highest end number counts: the owner that yielded may not
   have known that an append of a higher one had succeeded. */
static void
load_worker (struct cell *c, const char *id, GBytes *value)
{
  GVariant *v = variant_from_bytes (value, CELL_WORKER_RECORD_TYPE);
  struct cell_worker *w = g_hash_table_lookup (c->workers, id);
  gboolean names_runs, is_emptying;
  GVariantIter *runs;
  int64_t incarnation_start_ms;
  uint64_t ends;

  if (w == NULL)
    w = cell_worker_add (c, id);
  if (v == NULL)
    {
      /* Nothing is known of it, so any run may be there. */
      cell_log_event (c, "journal-malformed", id, "outcome=runs-unknown");
      w->may_have_unseen_runs = true;
      w->is_in_journal = true;
      return;
    }
  while (w->tasks->len > 0)
    cell_task_reset (c, g_ptr_array_index (w->tasks, 0), c->taken_over_ms,
                     c->taken_over_ms);
  cell_account_clear_other_runs (w);
  g_free (w->entry->address);
  g_variant_get (v, CELL_WORKER_RECORD_TYPE, &w->entry->address,
                 &incarnation_start_ms, &ends, &names_runs, &is_emptying,
                 &w->lease_remaining_ms, &runs);
  if (w->lease_remaining_ms < 0 || w->lease_remaining_ms > JOB_MAX_DURATION_MS)
    w->lease_remaining_ms = LEASE_UNKNOWN;
  w->last_processed_end = incarnation_start_ms == w->incarnation_start_ms
                              ? MAX (ends, w->last_processed_end)
                              : ends;
  w->last_journaled_end = w->last_processed_end;
  w->incarnation_start_ms = incarnation_start_ms;
  w->incarnation_known_ms = c->taken_over_ms;
  w->may_have_unseen_runs = !names_runs;
  w->is_in_journal = true;
  if (is_emptying)
    {
      w->is_emptying = true;
      w->emptying_until_ms = c->taken_over_ms + CELL_EMPTYING_TIMEOUT_MS;
      w->emptying_since_ms = c->taken_over_ms;
    }
  load_named_runs (c, w, runs);
  g_variant_iter_free (runs);
  g_variant_unref (v);
}

/* Load the record of job ID.  The job is known under the ID of its record's
   key, so any other ID there is not its own. */
static void
load_job_record (struct cell *c, const char *key, const char *id,
                 GBytes *value)
{
  struct job_spec *spec;

  if (!job_id_is_valid (id))
    {
      cell_log_event (c, "journal-malformed", key, "outcome=left-out");
      return;
    }
  if (key[0] == 'p')
    {
      cell_job_load_progress (c, id, value);
      return;
    }
  if (g_hash_table_contains (c->jobs, id))
    return; /* listed twice */
  spec = job_spec_from_bytes (value);
  if (spec != NULL && strcmp (spec->id, id) == 0)
    {
      cell_job_load (c, spec);
      return;
    }
  job_spec_destroy (spec);
  cell_job_load_unreadable (c, id);
}

void
cell_load_record (struct cell *cell, const char *key, GBytes *value)
{
  if (g_str_has_prefix (key, "w:"))
    load_worker (cell, key + 2, value);
  else if (g_str_has_prefix (key, "j:") || g_str_has_prefix (key, "p:"))
    load_job_record (cell, key, key + 2, value);
  else if (g_str_has_prefix (key, "o:"))
    cell_owner_load (cell, key, value);
  else if (strcmp (key, CELL_ACCOUNTS_KEY) == 0)
    cell_accounts_load (cell, value);
}
