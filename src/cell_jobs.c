#include "cell_accounts.h"

#include <string.h>

/* Maximum number of open occurrences of one job, which is lower for a job of
   many tasks: its open tasks are at most JOB_MAX_TASKS.  If a job's
   occurrences take longer than its interval, the next ones wait until one of
   these ends.
 */
#define MAX_OPEN_OCCURRENCES 64
/* Maximum number including those that earlier owners started, whose ends the
   journal lacks: an owner goes on for 8 s without the store, in which it can
   start some thousands. */
#define MAX_KNOWN_OCCURRENCES 8192
/* Delay before a long-running task that ended is started again. */
#define RESTART_DELAY_MS 100
/* Delay before another task that failed is started again. */
#define FAILED_RETRY_DELAY_MS 20

static void
occurrence_destroy (gpointer p)
{
  struct cell_occurrence *o = p;

  for (uint32_t i = 0; i < o->n_tasks; i++)
    {
      cell_copy_drop (&o->tasks[i]);
      if (o->tasks[i].worker != NULL)
        cell_worker_unassign_task (o->tasks[i].worker, &o->tasks[i]);
      g_free (o->tasks[i].checkpoint);
      g_free (o->tasks[i].avoid_worker);
    }
  for (guint i = 0; i < o->job->spec->steps->len; i++)
    if (o->tickets[i] != NULL)
      g_hash_table_unref (o->tickets[i]);
  g_free (o->tickets);
  g_free (o->next_advice_ms);
  g_free (o->copy_wanted_ms);
  g_free (o->refused_questions);
  g_free (o->tasks);
  g_free (o->first_task);
  g_free (o->unfinished);
  g_free (o->waiting);
  g_free (o);
}

void
cell_job_destroy (gpointer p)
{
  struct cell_job *job = p;

  g_ptr_array_unref (job->occurrences);
  g_array_unref (job->submit_tokens);
  g_array_unref (job->cancel_tokens);
  job_spec_destroy (job->spec);
  g_free (job);
}

/* The limit of tasks that follows from the node's memory counts with it. */
G_STATIC_ASSERT (sizeof (struct cell_task) <= CELL_TASK_BYTES);

struct cell_occurrence *
cell_job_add_occurrence (struct cell *c, struct cell_job *job, uint32_t number,
                         int64_t now_ms)
{
  struct cell_occurrence *o = g_new0 (struct cell_occurrence, 1);
  guint n = job->spec->steps->len;
  uint32_t task = 0;

  o->job = job;
  o->number = number;
  o->first_task = g_new0 (uint32_t, n);
  o->unfinished = g_new0 (uint32_t, n);
  o->waiting = g_new0 (uint32_t, n);
  o->tickets = g_new0 (GHashTable *, n);
  o->next_advice_ms = g_new0 (int64_t, n);
  o->copy_wanted_ms = g_new0 (int64_t, n);
  o->refused_questions = g_new0 (uint32_t, n);
  o->unfinished_steps = n;
  for (guint i = 0; i < n; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);

      o->first_task[i] = o->n_tasks;
      o->unfinished[i] = s->count;
      o->waiting[i] = s->count;
      o->n_tasks += s->count;
    }
  o->tasks = g_new0 (struct cell_task, o->n_tasks);
  for (guint i = 0; i < n; i++)
    for (uint32_t k = 0; k < o->unfinished[i]; k++, task++)
      {
        o->tasks[task].occurrence = o;
        o->tasks[task].is_every_run_known = !job->is_loaded;
        o->tasks[task].step = i;
        o->tasks[task].index = k;
        o->tasks[task].pace_percent = 100;
        o->tasks[task].phase_ms = now_ms;
      }
  g_ptr_array_add (job->occurrences, o);
  c->needs_placement = true;
  return o;
}

static bool
is_due (const struct cell *c, const struct cell_job *job, uint32_t number)
{
  int64_t due_ms = job->spec->first_occurrence_ms
                   + (int64_t)number * job->spec->interval_ms;

  return c->wall_ms + c->options.early_ms / 2 >= due_ms;
}

static uint32_t
count_tasks_of_spec (const struct job_spec *spec)
{
  uint32_t n_tasks = 0;

  for (guint i = 0; i < spec->steps->len; i++)
    n_tasks += ((const struct job_step *)g_ptr_array_index (spec->steps, i))
                   ->count;
  return n_tasks;
}

/* Return how many occurrences of a job with SPEC have JOB_MAX_TASKS tasks. */
static uint32_t
occurrences_of_max_tasks (const struct job_spec *spec)
{
  return MAX (JOB_MAX_TASKS / MAX (count_tasks_of_spec (spec), 1), 1);
}

static uint32_t
max_open_occurrences (const struct job_spec *spec)
{
  return MIN (occurrences_of_max_tasks (spec), MAX_OPEN_OCCURRENCES);
}

uint64_t
cell_max_open_tasks (const struct job_spec *spec)
{
  uint64_t n = MIN (MAX (spec->occurrences, 1), max_open_occurrences (spec));

  return n * count_tasks_of_spec (spec);
}

bool
cell_job_can_have_open (const struct cell_job *job, uint64_t n)
{
  uint32_t limit
      = MIN (2 * occurrences_of_max_tasks (job->spec), MAX_KNOWN_OCCURRENCES);

  return n <= limit;
}

void
cell_job_add_due_occurrences (struct cell *c, struct cell_job *job,
                              int64_t now_ms)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct cell_occurrence *o = g_ptr_array_index (job->occurrences, i);

      o->is_due = o->is_due || is_due (c, job, o->number);
    }
  while (job->next_occurrence < job->spec->occurrences
         && is_due (c, job, job->next_occurrence)
         && job->occurrences->len < max_open_occurrences (job->spec))
    cell_job_add_occurrence (c, job, job->next_occurrence++, now_ms)->is_due
        = true;
}

struct cell_job *
cell_job_add (struct cell *c, struct job_spec *spec, bool is_loaded,
              int64_t now_ms)
{
  struct cell_job *job = g_new0 (struct cell_job, 1);

  job->is_loaded = is_loaded;
  job->is_stored = is_loaded;
  job->spec = spec;
  job->account = cell_account_get (c, spec->account, now_ms);
  job->is_long_running = job_spec_is_long_running (spec);
  job->added_ms = now_ms;
  job->deadline_ms = now_ms + spec->target_ms
                     + (int64_t)(spec->deadline_factor
                                 * (double)cell_expected_path_ms (c, spec));
  job->occurrences = g_ptr_array_new_with_free_func (occurrence_destroy);
  job->submit_tokens = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  job->cancel_tokens = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  if (spec->occurrences == 0)
    cell_job_add_occurrence (c, job, 0, now_ms)->is_due = true;
  g_hash_table_insert (c->jobs, spec->id, job);
  g_ptr_array_add (c->open_jobs, job);
  c->has_unsorted_jobs = true;
  cell_order_add_job (c, job);
  return job;
}

void
cell_job_load (struct cell *c, struct job_spec *spec)
{
  cell_job_add (c, spec, true, c->taken_over_ms);
}

void
cell_job_load_unreadable (struct cell *c, const char *id)
{
  struct cell_job *job = g_hash_table_lookup (c->jobs, id);

  cell_log_event (c, "journal-malformed", id, "outcome=job-failed");
  if (job == NULL)
    job = cell_job_add (c, job_spec_new (id), true, c->taken_over_ms);
  if (job->state < JOB_COMPLETED)
    g_ptr_array_remove (c->open_jobs, job);
  job->state = JOB_FAILED;
  job->journaled_state = JOB_FAILED;
  job->ended_ms = c->taken_over_ms;
  cell_journal_job (c, job, true);
}

const struct job_step *
cell_task_step (const struct cell_task *t)
{
  return g_ptr_array_index (t->occurrence->job->spec->steps, t->step);
}

struct cell_task *
cell_task_failure_counter (const struct cell_task *t)
{
  const struct cell_occurrence *o = t->occurrence;
  uint32_t index = cell_task_step (t)->is_gang ? 0 : t->index;

  return &o->tasks[o->first_task[t->step] + index];
}

char *
cell_task_name (const struct cell_task *t)
{
  return g_strdup_printf ("%s.%u.%u.%u", t->occurrence->job->spec->id,
                          t->occurrence->number, t->step, t->index);
}

struct cell_occurrence *
cell_job_find_occurrence (struct cell_job *job, uint32_t number)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct cell_occurrence *o = g_ptr_array_index (job->occurrences, i);

      if (o->number == number)
        return o;
    }
  return NULL;
}

struct cell_task *
cell_find_task (struct cell *c, const char *name)
{
  struct task_name n;
  struct cell_job *job;
  struct cell_occurrence *o;
  const struct job_step *s;

  if (!task_name_parse (name, &n))
    return NULL;
  job = g_hash_table_lookup (c->jobs, n.job);
  if (job == NULL || n.step >= job->spec->steps->len)
    return NULL;
  o = cell_job_find_occurrence (job, n.occurrence);
  s = g_ptr_array_index (job->spec->steps, n.step);
  if (o == NULL || n.index >= s->count)
    return NULL;
  return &o->tasks[o->first_task[n.step] + n.index];
}

/* Add the occurrences of JOB up to NUMBER, which an earlier owner started.  It
   may have started more than it journaled, have added more than
   MAX_OPEN_OCCURRENCES before ends that the journal lacks, or have had another
   Unix time. */
static void
add_started_occurrences (struct cell *c, struct cell_job *job, uint32_t number,
                         int64_t now_ms)
{
  if (job->state >= JOB_COMPLETED || number >= job->spec->occurrences
      || number < job->next_occurrence
      || !cell_job_can_have_open (job, (uint64_t)job->occurrences->len + 1
                                           + number - job->next_occurrence))
    return;
  while (job->next_occurrence <= number)
    cell_job_add_occurrence (c, job, job->next_occurrence++, now_ms);
}

struct cell_task *
cell_find_started_task (struct cell *c, const char *name, int64_t now_ms)
{
  struct task_name n;
  struct cell_job *job;

  if (!task_name_parse (name, &n))
    return NULL;
  job = g_hash_table_lookup (c->jobs, n.job);
  if (job != NULL)
    add_started_occurrences (c, job, n.occurrence, now_ms);
  return cell_find_task (c, name);
}

void
cell_task_set_phase (struct cell_task *t, enum task_phase phase,
                     int64_t now_ms)
{
  struct cell_occurrence *o = t->occurrence;

  if (t->original == NULL && t->phase == TASK_WAITING && phase != TASK_WAITING)
    o->waiting[t->step]--;
  if (t->original == NULL && t->phase != TASK_WAITING && phase == TASK_WAITING)
    o->waiting[t->step]++;
  t->phase = phase;
  t->phase_ms = now_ms;
}

void
cell_task_clear_run (struct cell_task *t)
{
  t->start_attempts = 0;
  t->late_start_until_ms = 0;
  t->has_pending_start = false;
  t->placed_ms = 0;
}

void
cell_task_reset (struct cell *c, struct cell_task *t, int64_t over_ms,
                 int64_t now_ms)
{
  c->needs_placement = true;
  if (t->original != NULL)
    {
      cell_copy_drop (t->original);
      return;
    }
  t->run_over_ms = over_ms;
  if (t->copy != NULL)
    {
      cell_copy_promote (t);
      return;
    }
  if (t->worker != NULL)
    cell_worker_unassign_task (t->worker, t);
  t->has_pending_call = false;
  t->is_stop_acknowledged = false;
  cell_task_clear_run (t);
  t->percent = 0;
  t->begun_ms = 0;
  t->pace_percent = 100;
  if (t->phase != TASK_DONE)
    cell_task_set_phase (t, TASK_WAITING, now_ms);
}

/* Stop the tasks of JOB that have been started; waiting ones do not start any
   more. */
static void
stop_tasks (struct cell *c, struct cell_job *job, int64_t now_ms)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct cell_occurrence *o = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < o->n_tasks; k++)
        cell_task_stop_runs (c, &o->tasks[k], now_ms);
    }
}

void
cell_job_end (struct cell *c, struct cell_job *job, enum job_state state,
              int64_t now_ms)
{
  if (job->state >= JOB_COMPLETED)
    return;
  job->state = state;
  job->ended_ms = now_ms;
  g_ptr_array_remove (c->open_jobs, job);
  stop_tasks (c, job, now_ms);
  cell_journal_job (c, job, true);
}

static void
finish_occurrence (struct cell *c, struct cell_occurrence *o, int64_t now_ms)
{
  struct cell_job *job = o->job;
  uint32_t total = MAX (job->spec->occurrences, 1);

  job->done_occurrences++;
  cell_journal_job (c, job, false);
  if (job->done_occurrences == total)
    {
      cell_job_end (c, job, JOB_COMPLETED, now_ms);
      return;
    }
  g_ptr_array_remove (job->occurrences, o);
}

static void
finish_task (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  struct cell_occurrence *o = t->occurrence;

  if (t->phase == TASK_DONE)
    return;
  if (t->worker != NULL)
    cell_worker_unassign_task (t->worker, t);
  cell_task_set_phase (t, TASK_DONE, now_ms);
  c->needs_placement = true;
  cell_journal_job (c, o->job, false);
  if (--o->unfinished[t->step] > 0 || --o->unfinished_steps > 0)
    return;
  finish_occurrence (c, o, now_ms);
}

static void
finish_gang (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  struct cell_occurrence *o = t->occurrence;
  uint32_t first = o->first_task[t->step];
  uint32_t count = cell_task_step (t)->count;
  uint32_t unfinished_steps = o->unfinished_steps;

  /* Finishing the last task of the occurrence may free the occurrence. */
  for (uint32_t i = 0; i < count; i++)
    {
      bool is_last = unfinished_steps == 1 && o->unfinished[t->step] == 1;

      finish_task (c, &o->tasks[first + i], now_ms);
      if (is_last)
        return;
    }
}

static void
record_failure (struct cell *c, struct cell_task *t, const char *worker,
                int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  struct cell_job *job = t->occurrence->job;
  struct cell_task *counted = cell_task_failure_counter (t);

  g_free (t->avoid_worker);
  t->avoid_worker = g_strdup (worker);
  t->retry_ms
      = now_ms
        + (s->is_long_running ? RESTART_DELAY_MS : FAILED_RETRY_DELAY_MS);
  if (s->is_long_running)
    return;
  counted->failures++;
  counted->failed_ms = now_ms;
  cell_journal_job (c, job, false);
  if (counted->failures >= job->spec->max_attempts
      && job->state < JOB_COMPLETED)
    {
      cell_log_event (c, "job-failed", job->spec->id,
                      "task=%u.%u failures=%u worker=%s", t->step, t->index,
                      counted->failures, worker);
      cell_job_end (c, job, JOB_FAILED, now_ms);
    }
}

static void
set_checkpoint (struct cell_task *t, const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0')
    return;
  g_free (t->checkpoint);
  t->checkpoint = g_strdup (checkpoint);
}

/* Process END of the run of T's copy, which T does not take its result from.
 */
static void
copy_ended (struct cell *c, struct cell_task *t, struct cell_worker *w,
            const struct worker_end *end, int64_t now_ms)
{
  cell_copy_drop (t);
  c->needs_placement = true;
  if (end->result == END_FAILED && t->phase != TASK_DONE)
    record_failure (c, t, w->entry->id, now_ms);
}

/* Finish T, of which a run has ended as done, even if that is not its current
   one.  Its other run is stopped. */
static void
task_done (struct cell *c, struct cell_task *t, const struct cell_task *ended,
           int64_t now_ms)
{
  if (ended == NULL && t->worker != NULL)
    cell_stop_superfluous_run (c, t, now_ms);
  if (ended != NULL && t->copy != NULL)
    cell_learn_from_copy (c, t, ended->run == MAX (t->run, t->copy->run),
                          now_ms);
  if (ended != NULL && ended == t->copy)
    cell_copy_swap (t);
  if (t->copy != NULL)
    cell_stop_task (c, t->copy, now_ms);
  if (cell_task_step (t)->is_gang)
    {
      cell_account_give_up_gang (c, t, now_ms);
      finish_gang (c, t, now_ms);
    }
  else
    finish_task (c, t, now_ms);
}

/* Log that END says "done" of a task that was done before, or that has been
   started again: it has run twice, unless its worker's lease had expired in
   between. */
static void
log_second_end (struct cell *c, const struct cell_task *t,
                const struct cell_worker *w, const struct worker_end *end)
{
  cell_log_event (c, "task-done-again", end->task,
                  "worker=%s run=%" G_GUINT64_FORMAT " end=%" G_GUINT64_FORMAT
                  " current_run=%" G_GUINT64_FORMAT
                  " current_worker=%s done=%d",
                  w->entry->id, end->run, end->number, t->run,
                  t->worker != NULL ? t->worker->entry->id : "none",
                  t->phase == TASK_DONE);
}

void
cell_task_ended (struct cell *c, struct cell_task *t, struct cell_worker *w,
                 const struct worker_end *end, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  const struct cell_task *ended
      = cell_task_find_run (t, w->entry->id, end->run);
  bool is_done = end->result == END_DONE && !s->is_long_running;

  if (is_done && !cell_may_copy (t)
      && (t->phase == TASK_DONE || (ended == NULL && t->worker != NULL)))
    log_second_end (c, t, w, end);
  if (ended != NULL && ended == t->copy && (t->phase == TASK_DONE || !is_done))
    {
      copy_ended (c, t, w, end, now_ms);
      return;
    }
  if (t->phase == TASK_DONE)
    return;
  if (is_done)
    {
      task_done (c, t, ended, now_ms);
      return;
    }
  if (s->has_checkpoints && (ended == t || t->worker == NULL))
    set_checkpoint (t, end->checkpoint);
  if (ended == t && cell_run_may_start_late (t, now_ms))
    cell_keep_ended_run (t, now_ms);
  else if (ended == t || t->worker == NULL)
    cell_task_reset (c, t, now_ms, now_ms);
  if (end->result == END_FAILED)
    record_failure (c, t, w->entry->id, now_ms);
  else if (s->is_long_running)
    t->retry_ms = now_ms + RESTART_DELAY_MS;
}

uint32_t
cell_job_count_started (const struct cell_job *job, guint step)
{
  uint32_t n = 0;

  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct cell_occurrence *o
          = g_ptr_array_index (job->occurrences, i);

      n += o->unfinished[step] - o->waiting[step];
    }
  return n;
}

bool
cell_job_has_assigned_task (const struct cell_job *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct cell_occurrence *o
          = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < o->n_tasks; k++)
        if (o->tasks[k].worker != NULL || o->tasks[k].copy != NULL)
          return true;
    }
  return false;
}

void
cell_jobs_purge_ended (struct cell *c, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, c->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cell_job *job = value;

      if (job->is_spec_kept && !job->is_in_append
          && !cell_account_needs_spec (c, job))
        cell_journal_job (c, job, false); /* drops the specification */
      if (job->journaled_state < JOB_COMPLETED || job->is_change_queued
          || job->is_spec_kept
          || now_ms < job->ended_ms + c->options.keep_state_ms
          || c->append.entries != NULL || cell_job_has_assigned_task (job))
        continue;
      cell_journal_drop (c, g_strconcat ("p:", job->spec->id, NULL));
      g_hash_table_iter_remove (&iter);
    }
  cell_count_held_tasks (c);
}
