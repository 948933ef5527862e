#include "cell_state.h"

/* Admission under overload: jobs beyond their account's rate. */

/* The cell is overloaded for a job if the work that goes before it takes more
   than this multiple of its objective. */
#define OVERLOAD_FACTOR 3

void
cell_set_account_rates (struct cell *cell, const struct accounts *accounts,
                        int64_t now_ms)
{
  account_rates_set (cell->account_rates, accounts, now_ms);
}

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
    work += (double)c->open_work[i];
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
