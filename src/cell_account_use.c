#include "cell_accounts.h"

#include "account_use.h"

#include <string.h>

/* What client accounts use: their tasks on workers, runs there that are no
   task's current one, and a bound of the runs of earlier owners that no worker
   has reported yet. */

/* Stands for an amount that is not known, such as the capacity of a worker
   that only the journal names.  Sums of it over many cells fit 64 bits. */
#define UNKNOWN_AMOUNT (UINT64_C (1) << 40)

struct account_amount
cell_step_amount (const struct job_step *s)
{
  return (struct account_amount){ s->cpu_milli, s->memory_mb, s->gpus };
}

struct account_amount
cell_worker_amount (const struct cell_worker *w)
{
  const struct worker_resources *r = &w->entry->capacity;

  return (struct account_amount){ r->cpu_milli, r->memory_mb, r->gpus };
}

void
cell_account_add_task (const struct cell_task *t)
{
  struct cell_account *a = t->occurrence->job->account;

  a->assigned
      = amount_add (a->assigned, cell_step_amount (cell_task_step (t)));
}

void
cell_account_remove_task (const struct cell_task *t)
{
  struct cell_account *a = t->occurrence->job->account;

  a->assigned
      = amount_subtract (a->assigned, cell_step_amount (cell_task_step (t)));
}

struct account_amount
cell_account_use (const struct cell_account *a)
{
  return amount_add (amount_add (a->assigned, a->others), a->unseen);
}

static void
other_run_free (gpointer p)
{
  struct cell_other_run *r = p;

  r->account->others = amount_subtract (r->account->others, r->amount);
  g_free (r->task);
  g_free (r);
}

void
cell_account_add_other_run (struct cell *c, struct cell_worker *w,
                            const char *task, uint64_t run, int64_t until_ms)
{
  struct task_name n;
  struct cell_job *job;
  struct cell_other_run *r;

  if (!task_name_parse (task, &n))
    return;
  job = g_hash_table_lookup (c->jobs, n.job);
  if (job == NULL || job->spec->account[0] == '\0'
      || n.step >= job->spec->steps->len)
    return;
  if (w->other_runs == NULL)
    w->other_runs = g_ptr_array_new_with_free_func (other_run_free);
  for (guint i = 0; i < w->other_runs->len; i++)
    {
      r = g_ptr_array_index (w->other_runs, i);
      if (r->run == run && strcmp (r->task, task) == 0)
        return;
    }
  r = g_new0 (struct cell_other_run, 1);
  r->task = g_strdup (task);
  r->run = run;
  r->account = job->account;
  r->amount = cell_step_amount (g_ptr_array_index (job->spec->steps, n.step));
  r->until_ms = until_ms;
  r->account->others = amount_add (r->account->others, r->amount);
  g_ptr_array_add (w->other_runs, r);
}

void
cell_account_other_run_ended (struct cell_worker *w, const char *task,
                              uint64_t run)
{
  for (guint i = w->other_runs != NULL ? w->other_runs->len : 0; i > 0; i--)
    {
      const struct cell_other_run *r
          = g_ptr_array_index (w->other_runs, i - 1);

      if (r->run == run && strcmp (r->task, task) == 0)
        g_ptr_array_remove_index_fast (w->other_runs, i - 1);
    }
}

static bool
lists_run (const struct worker_report *report, const struct cell_other_run *r)
{
  for (guint i = 0; i < report->runs->len; i++)
    {
      const struct worker_run *listed
          = &g_array_index (report->runs, struct worker_run, i);

      if (listed->run == r->run && strcmp (listed->task, r->task) == 0)
        return true;
    }
  return false;
}

void
cell_account_check_other_runs (struct cell_worker *w,
                               const struct worker_report *report,
                               int64_t sent_ms)
{
  for (guint i = w->other_runs != NULL ? w->other_runs->len : 0; i > 0; i--)
    {
      const struct cell_other_run *r
          = g_ptr_array_index (w->other_runs, i - 1);

      if (sent_ms >= r->until_ms && !lists_run (report, r))
        g_ptr_array_remove_index_fast (w->other_runs, i - 1);
    }
}

bool
cell_account_drop_other_runs (const struct cell *c, struct cell_worker *w)
{
  guint before = w->other_runs != NULL ? w->other_runs->len : 0;

  for (guint i = before; i > 0; i--)
    if (c->confirmed_ms > ((const struct cell_other_run *)g_ptr_array_index (
                               w->other_runs, i - 1))
                              ->until_ms)
      g_ptr_array_remove_index_fast (w->other_runs, i - 1);
  if (w->other_runs != NULL && w->other_runs->len == 0)
    cell_account_clear_other_runs (w);
  return before > (w->other_runs != NULL ? w->other_runs->len : 0);
}

void
cell_account_clear_other_runs (struct cell_worker *w)
{
  g_clear_pointer (&w->other_runs, g_ptr_array_unref);
}

static bool
may_have_unseen_runs (const struct cell *c, const struct cell_worker *w)
{
  return w->may_have_unseen_runs && !cell_worker_leases_expired (c, w);
}

static bool
has_other_run_of (const struct cell_worker *w, const char *job)
{
  for (guint i = 0; w->other_runs != NULL && i < w->other_runs->len; i++)
    {
      const struct cell_other_run *r = g_ptr_array_index (w->other_runs, i);

      if (g_str_has_prefix (r->task, job))
        return true;
    }
  return false;
}

void
cell_account_name_other_runs (const struct cell_worker *w,
                              GVariantBuilder *runs)
{
  for (guint i = 0; w->other_runs != NULL && i < w->other_runs->len; i++)
    {
      const struct cell_other_run *r = g_ptr_array_index (w->other_runs, i);

      g_variant_builder_add (runs, "(st)", r->task, r->run);
    }
}

int64_t
cell_run_unproved_until_ms (const struct cell *c, const struct cell_task *t,
                            int64_t from_ms)
{
  return cell_run_is_placed (t) ? from_ms
                                : MAX (from_ms, cell_run_until_ms (c, t));
}

void
cell_account_give_up_gang (struct cell *c, const struct cell_task *t,
                           int64_t now_ms)
{
  const struct cell_occurrence *o = t->occurrence;

  for (uint32_t i = 0; i < cell_task_step (t)->count; i++)
    {
      const struct cell_task *other = &o->tasks[o->first_task[t->step] + i];
      char *name;

      if (other == t || other->worker == NULL)
        continue;
      name = cell_task_name (other);
      cell_account_add_other_run (
          c, other->worker, name, other->run,
          cell_run_unproved_until_ms (c, other, now_ms));
      g_free (name);
    }
}

bool
cell_account_needs_spec (const struct cell *c, const struct cell_job *job)
{
  if (job->spec->account[0] == '\0')
    return false;
  if (cell_job_has_assigned_task (job))
    return true;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (has_other_run_of (w, job->spec->id)
          || (job->is_loaded && may_have_unseen_runs (c, w)))
        return true;
    }
  return false;
}

/* Unseen runs of earlier owners. */

static bool
has_best_effort_step (const struct job_spec *spec)
{
  for (guint i = 0; i < spec->steps->len; i++)
    if (((const struct job_step *)g_ptr_array_index (spec->steps, i))
            ->is_best_effort)
      return true;
  return false;
}

/* Add to the bounds of JOB's account what may run unseen: its tasks that are
   neither on a worker nor certainly without a run of an earlier owner.  A task
   that is done may have a second run.  Best-effort tasks go into *BESIDE, as
   no worker's capacity bounds their processor use. */
static void
add_unseen_tasks (const struct cell_job *job, uint64_t *beside)
{
  struct cell_account *a = job->account;

  /* Occurrences that an earlier owner started are not journaled. */
  if (job->spec->occurrences > 0)
    {
      a->unseen = (struct account_amount){ UNKNOWN_AMOUNT, UNKNOWN_AMOUNT,
                                           UNKNOWN_AMOUNT };
      if (has_best_effort_step (job->spec))
        *beside = UNKNOWN_AMOUNT;
    }
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct cell_occurrence *o
          = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < o->n_tasks; k++)
        {
          const struct cell_task *t = &o->tasks[k];
          const struct job_step *s = cell_task_step (t);
          struct account_amount amount = cell_step_amount (s);

          if (t->worker != NULL || t->is_every_run_known)
            continue;
          if (s->is_best_effort)
            {
              *beside = MIN (*beside + s->cpu_milli, UNKNOWN_AMOUNT);
              amount.cpu_milli = 0;
            }
          a->unseen = amount_add (a->unseen, amount);
        }
    }
}

/* Return the capacity of the workers that may have unseen runs; zero if there
   are none. */
static struct account_amount
unseen_capacity (const struct cell *c)
{
  struct account_amount sum = { 0 };

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (!may_have_unseen_runs (c, w))
        continue;
      if (w->entry->capacity.cpu_milli == 0)
        return (struct account_amount){ UNKNOWN_AMOUNT, UNKNOWN_AMOUNT,
                                        UNKNOWN_AMOUNT };
      sum = amount_add (sum, cell_worker_amount (w));
    }
  return sum;
}

void
cell_accounts_bound_unseen (struct cell *c)
{
  struct account_amount capacity = unseen_capacity (c);
  GHashTable *beside; /* account to uint64_t *, of best-effort tasks */
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < c->accounts->list->len; i++)
    ((struct cell_account *)g_ptr_array_index (c->accounts->list, i))->unseen
        = (struct account_amount){ 0 };
  if (!c->accounts->is_on || amount_is_zero (capacity))
    return;
  beside = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_hash_table_iter_init (&iter, c->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cell_job *job = value;
      uint64_t *cpu;

      if (!job->is_loaded || job->spec->account[0] == '\0')
        continue;
      cpu = g_hash_table_lookup (beside, job->account);
      if (cpu == NULL)
        {
          cpu = g_new0 (uint64_t, 1);
          g_hash_table_insert (beside, job->account, cpu);
        }
      add_unseen_tasks (job, cpu);
    }
  for (guint i = 0; i < c->accounts->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (c->accounts->list, i);
      const uint64_t *cpu = g_hash_table_lookup (beside, a);

      a->unseen = amount_min (a->unseen, capacity);
      if (cpu != NULL)
        a->unseen.cpu_milli += *cpu;
    }
  g_hash_table_unref (beside);
}
