#include "cell_state.h"

#include <string.h>

/* Callers' calls that submit or cancel a job. */

static void
answer_one (struct cell *c, uint64_t token, enum cell_answer answer)
{
  GArray *one = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  g_array_append_val (one, token);
  cell_answer (c, one, answer);
  g_array_unref (one);
}

void
cell_submit (struct cell *cell, struct job_spec *spec, uint64_t token,
             int64_t now_ms)
{
  struct cell_job *job = g_hash_table_lookup (cell->jobs, spec->id);
  bool is_excess;

  if (job == NULL && cell_store_is_unreachable (cell, now_ms))
    {
      cell_log_event (cell, "job-refused", spec->id, "reason=store-away");
      job_spec_destroy (spec);
      answer_one (cell, token, CELL_REFUSED);
      return;
    }
  if (job == NULL && cell_is_full (cell, spec))
    {
      cell_log_event (cell, "job-refused", spec->id,
                      "reason=full tasks=%" G_GUINT64_FORMAT
                      " held=%" G_GUINT64_FORMAT
                      " held_wide=%" G_GUINT64_FORMAT,
                      cell_max_open_tasks (spec), cell->held_tasks[false],
                      cell->held_tasks[true]);
      job_spec_destroy (spec);
      answer_one (cell, token, CELL_REFUSED_FULL);
      return;
    }
  if (job == NULL)
    {
      is_excess = cell_is_excess (cell, spec, now_ms);
      if (is_excess && cell_refuses_excess (cell, spec))
        {
          cell_refuse_excess (cell, spec, token, now_ms);
          job_spec_destroy (spec);
          return;
        }
      cell_hold_tasks (cell, spec);
      job = cell_job_add (cell, spec, false, now_ms);
      job->order.is_excess = is_excess;
      cell_journal_job (cell, job, true);
      if (!cell_fail_if_impossible (cell, job, now_ms) && !job->is_long_running
          && spec->occurrences == 0)
        {
          cell->accepted_jobs++;
          cell->accepted_work_milli_s += job_spec_work_milli_s (spec);
        }
    }
  else
    job_spec_destroy (spec);
  if (job->is_stored)
    answer_one (cell, token, CELL_STORED);
  else
    g_array_append_val (job->submit_tokens, token);
}

void
cell_cancel (struct cell *cell, const char *id, uint64_t token, int64_t now_ms)
{
  struct cell_job *job = g_hash_table_lookup (cell->jobs, id);

  if (job == NULL)
    {
      answer_one (cell, token, CELL_NO_JOB);
      return;
    }
  if (job->journaled_state >= JOB_COMPLETED)
    {
      answer_one (cell, token, CELL_STORED);
      return;
    }
  g_array_append_val (job->cancel_tokens, token);
  cell_log_event (cell, "job-cancelled", id, "state=%s",
                  job_state_name (job->state));
  cell_job_end (cell, job, JOB_CANCELLED, now_ms);
  cell_journal_job (cell, job, true);
}
