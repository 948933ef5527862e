#include "cell_state.h"

/* Admission: jobs beyond their account's rate under overload, and jobs that no
   worker can ever run. */

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
