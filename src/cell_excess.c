#include "cell_state.h"

/* Admission: jobs beyond their account's rate under overload, jobs that the
   cell has no memory for, and jobs that no worker can ever run. */

/* The cell is overloaded for a job if the work that goes before it takes more
   than this multiple of its objective. */
#define OVERLOAD_FACTOR 3
/* A job is impossible if one of its tasks needs more than this multiple of the
   processors or the memory that the largest worker listed so far has. Machines
   move between pools, so a larger one may still come; and only once this many
   workers are known.  Processors of other kinds are not compared: few machines
   have them. */
#define IMPOSSIBLE_FACTOR 4
#define IMPOSSIBLE_MIN_WORKERS 4
/* A job of more tasks than this is wide.  Wide jobs have a share of the memory
   of their own, so that they keep no ordinary one out. */
#define WIDE_JOB_TASKS 1000

bool
cell_is_excess (struct cell *c, const struct job_spec *spec, int64_t now_ms)
{
  return spec->account[0] != '\0'
         && !account_rates_take (c->account_rates, spec->account, now_ms);
}

bool
cell_refuses_excess (const struct cell *c, const struct job_spec *spec)
{
  double objective_ms
      = (double)spec->target_ms
        + spec->deadline_factor * (double)job_spec_critical_path_ms (spec);
  double work = 0;

  for (guint i = 0; i <= MIN (spec->priority, CELL_PRIORITIES - 1); i++)
    work += c->open_work[i];
  return work / (double)MAX (c->finite_cpu_milli, 1)
         > OVERLOAD_FACTOR * objective_ms;
}

void
cell_refuse_excess (struct cell *c, const struct job_spec *spec,
                    uint64_t token, int64_t now_ms)
{
  struct cell_order *o = cell_add_order (c, ORDER_ANSWER);

  o->u.answer.token = token;
  o->u.answer.answer = CELL_REFUSED_RATE;
  o->u.answer.retry_after_ms = account_rates_refuse (
      c->account_rates, spec->account, spec->id, now_ms);
  cell_log_event (c, "job-refused", spec->id,
                  "reason=rate account=%s cpu_milli=%" G_GUINT64_FORMAT
                  " retry_ms=%" G_GINT64_FORMAT,
                  spec->account, c->finite_cpu_milli,
                  o->u.answer.retry_after_ms);
}

static bool
is_wide (uint64_t n_tasks)
{
  return n_tasks > WIDE_JOB_TASKS;
}

bool
cell_is_full (const struct cell *c, const struct job_spec *spec)
{
  uint64_t n = cell_max_open_tasks (spec);
  uint64_t held = c->held_tasks[is_wide (n)];

  /* A single wide job is accepted, whatever it takes. */
  if (c->options.max_tasks == 0 || (is_wide (n) && held == 0))
    return false;
  return held + n > c->options.max_tasks / 2;
}

void
cell_hold_tasks (struct cell *c, const struct job_spec *spec)
{
  uint64_t n = cell_max_open_tasks (spec);

  c->held_tasks[is_wide (n)] += n;
}

/* Return how many tasks of JOB, which has ended, are still in memory. */
static uint64_t
count_left_tasks (const struct cell_job *job)
{
  uint64_t n = 0;

  for (guint i = 0; i < job->occurrences->len; i++)
    n += ((const struct cell_occurrence *)g_ptr_array_index (job->occurrences,
                                                             i))
             ->n_tasks;
  return n;
}

void
cell_count_held_tasks (struct cell *c)
{
  GHashTableIter iter;
  gpointer value;

  c->held_tasks[false] = 0;
  c->held_tasks[true] = 0;
  g_hash_table_iter_init (&iter, c->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cell_job *job = value;
      uint64_t n = cell_max_open_tasks (job->spec);

      c->held_tasks[is_wide (n)]
          += job->state < JOB_COMPLETED ? n : count_left_tasks (job);
    }
}

void
cell_note_worker_size (struct cell *c, const struct worker_resources *size)
{
  c->sized_workers++;
  c->largest_worker.cpu_milli
      = MAX (c->largest_worker.cpu_milli, size->cpu_milli);
  c->largest_worker.memory_mb
      = MAX (c->largest_worker.memory_mb, size->memory_mb);
}

bool
cell_fail_if_impossible (struct cell *c, struct cell_job *job, int64_t now_ms)
{
  uint64_t cpu_milli = (uint64_t)c->largest_worker.cpu_milli;
  uint64_t memory_mb = (uint64_t)c->largest_worker.memory_mb;

  /* The journal names workers whose size is known only once they are
     listed. */
  if (c->sized_workers < IMPOSSIBLE_MIN_WORKERS)
    return false;
  for (guint i = 0; i < job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);

      if ((s->is_best_effort || s->cpu_milli <= IMPOSSIBLE_FACTOR * cpu_milli)
          && s->memory_mb <= IMPOSSIBLE_FACTOR * memory_mb)
        continue;
      cell_log_event (c, "job-failed", job->spec->id,
                      "reason=impossible step=%u cpu_milli=%u memory_mb=%u"
                      " largest_cpu_milli=%" G_GUINT64_FORMAT
                      " largest_memory_mb=%" G_GUINT64_FORMAT,
                      i, s->cpu_milli, s->memory_mb, cpu_milli, memory_mb);
      cell_job_end (c, job, JOB_FAILED, now_ms);
      return true;
    }
  return false;
}
