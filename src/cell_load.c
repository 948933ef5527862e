#include "cell_accounts.h"

#include <string.h>

/* The load of a cell's pool, by which the owner of the fleet sizes it. */

/* The pool counts as too small for so long after a long-running task found no
   worker. */
#define SHORTAGE_MS 1000
/* Workers named at most as reclaimable. */
#define RECLAIMABLE_MAX 32

/* Return what the waiting tasks of JOB need that could start, except for those
   that its account's allotment does not allow: no machine helps them. */
static uint64_t
startable_cpu (const struct cell *c, const struct cell_job *job)
{
  uint64_t wanted = 0;

  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct cell_occurrence *o
          = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < job->spec->steps->len; k++)
        {
          const struct job_step *s = g_ptr_array_index (job->spec->steps, k);

          if (o->waiting[k] > 0 && !s->is_best_effort
              && cell_step_is_ready (o, k))
            wanted += (uint64_t)cell_account_count_allowed (c, job, k,
                                                            o->waiting[k])
                      * s->cpu_milli;
        }
    }
  return wanted;
}

/* Return how many tasks of STEP of JOB run or, with COUNTS_WAITING, may. */
static uint32_t
tasks_of_step (const struct cell_job *job, guint step, bool counts_waiting)
{
  const struct job_step *s = g_ptr_array_index (job->spec->steps, step);

  return counts_waiting ? s->count : cell_job_count_started (job, step);
}

/* Return the number of workers that the long-running steps of JOB need for
   their limit of tasks on one worker; the steps may share workers. */
static uint32_t
workers_needed_for_spread (const struct cell_job *job, bool counts_waiting)
{
  uint32_t most = 0;

  for (guint i = 0; i < job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);

      if (s->is_long_running && s->max_per_worker > 0)
        most = MAX (most, (tasks_of_step (job, i, counts_waiting)
                           + s->max_per_worker - 1)
                              / s->max_per_worker);
    }
  return most;
}

/* Return the processor demand of the long-running tasks of JOB, whether they
   run or not, but those that an allotment limits only if they run;
   best-effort tasks reserve none. */
static uint64_t
long_running_cpu (const struct cell *c, const struct cell_job *job)
{
  bool counts_waiting = !cell_account_is_limited (c, job->account);
  uint64_t cpu = 0;

  for (guint i = 0; job->is_long_running && i < job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);

      if (s->is_long_running && !s->is_best_effort)
        cpu += (uint64_t)tasks_of_step (job, i, counts_waiting) * s->cpu_milli;
    }
  return cpu;
}

static bool
has_long_running_task (const struct cell_worker *w)
{
  for (guint i = 0; i < w->tasks->len; i++)
    if (cell_task_step (g_ptr_array_index (w->tasks, i))->is_long_running)
      return true;
  return false;
}

/* Those that are being emptied come first, then those with least work. */
static gint
compare_reclaimable (gconstpointer a, gconstpointer b)
{
  const struct cell_worker *x = *(struct cell_worker *const *)a;
  const struct cell_worker *y = *(struct cell_worker *const *)b;

  if (x->is_emptying != y->is_emptying)
    return x->is_emptying ? -1 : 1;
  if (x->used.cpu_milli != y->used.cpu_milli)
    return x->used.cpu_milli < y->used.cpu_milli ? -1 : 1;
  return strcmp (x->entry->id, y->entry->id);
}

static void
name_reclaimable (struct pool_load *l, GPtrArray *busy)
{
  g_ptr_array_sort (busy, compare_reclaimable);
  for (guint i = 0; i < busy->len && i < RECLAIMABLE_MAX; i++)
    g_ptr_array_add (
        l->reclaimable,
        g_strdup (((const struct cell_worker *)g_ptr_array_index (busy, i))
                      ->entry->id));
}

struct pool_load *
cell_get_pool_load (const struct cell *cell)
{
  struct pool_load *l = pool_load_new (cell->service);
  uint64_t startable_long_running_milli = 0;
  uint32_t n_listed = 0;
  GPtrArray *busy = g_ptr_array_new (); /* with finite tasks only */

  l->accepted_jobs = cell->accepted_jobs;
  l->accepted_work_milli_s = cell->accepted_work_milli_s;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (cell->worker_list, i);

      l->cpu_used_milli += w->used.cpu_milli;
      if (!cell_worker_is_in_service (w))
        continue;
      n_listed++;
      l->cpu_per_worker_milli
          = MAX (l->cpu_per_worker_milli, w->entry->capacity.cpu_milli);
      if (w->tasks->len == 0)
        g_ptr_array_add (l->idle, g_strdup (w->entry->id));
      else if (!has_long_running_task (w))
        g_ptr_array_add (busy, w);
      else if (w->is_emptying)
        l->workers_emptying++;
    }
  name_reclaimable (l, busy);
  g_ptr_array_unref (busy);
  cell_accounts_begin_count (cell);
  for (guint i = 0; i < cell->open_jobs->len; i++)
    {
      const struct cell_job *job = g_ptr_array_index (cell->open_jobs, i);
      uint64_t wanted_milli = startable_cpu (cell, job);

      l->cpu_wanted_milli += wanted_milli;
      if (job->is_long_running)
        startable_long_running_milli += wanted_milli;
      if (job->is_long_running && cell_account_is_limited (cell, job->account))
        l->cpu_long_running_milli += wanted_milli;
      l->workers_min = MAX (
          l->workers_min,
          workers_needed_for_spread (
              job, wanted_milli > 0
                       || !cell_account_is_limited (cell, job->account)));
      l->cpu_long_running_milli += long_running_cpu (cell, job);
    }
  /* A long-running task has found no worker, even if the pool's total capacity
     would be enough. */
  if (cell->last_shortage_ms != 0
      && cell->last_placement_ms < cell->last_shortage_ms + SHORTAGE_MS
      && l->cpu_per_worker_milli > 0)
    l->workers_min
        = MAX (l->workers_min, n_listed
                                   + (uint32_t)(startable_long_running_milli
                                                / l->cpu_per_worker_milli));
  return l;
}
