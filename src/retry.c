#include "retry.h"

#include <glib.h>

#define RETRY_COST_MILLI 1000

/* Each request adds 8 % of a retry: the long-term share of retries. */
#define REFILL_PER_REQUEST_MILLI 80

/* Size of a full budget: 10 retries, or 200 of runs that never started. */
#define BUDGET_MAX_MILLI (10 * RETRY_COST_MILLI)
#define NOT_STARTED_BUDGET_MAX_MILLI (200 * RETRY_COST_MILLI)

/* Most attempts of one request, by how its last run ended. */
#define ATTEMPTS_MAX 4
#define NOT_STARTED_ATTEMPTS_MAX 20

void
retry_budget_init (struct retry_budget *budget)
{
  budget->milli_tokens = BUDGET_MAX_MILLI;
  budget->not_started_milli_tokens = NOT_STARTED_BUDGET_MAX_MILLI;
}

void
retry_budget_refill (struct retry_budget *budget)
{
  budget->milli_tokens = MIN (budget->milli_tokens + REFILL_PER_REQUEST_MILLI,
                              BUDGET_MAX_MILLI);
  budget->not_started_milli_tokens
      = MIN (budget->not_started_milli_tokens + REFILL_PER_REQUEST_MILLI,
             NOT_STARTED_BUDGET_MAX_MILLI);
}

static bool
is_safe_to_retry (bool idempotent, enum run_result result)
{
  switch (result)
    {
    case RUN_NOT_STARTED:
    case RUN_NOT_SENT:
      return true;
    case RUN_FAILED:
    case RUN_LOST:
      return idempotent;
    case RUN_ANSWERED:
    case RUN_TRUNCATED:
    case RUN_TOO_LARGE:
    case RUN_TIMED_OUT:
    case RUN_ABANDONED:
    case RUN_RESULT_COUNT:
      break;
    }
  return false;
}

/* Returns RETRY_GIVE_UP also for an exhausted budget: the caller then gets the
   reason of the last run, which says that the request was not run, in place of
   an exhausted budget. */
static enum retry_choice
decide_for_not_started (struct retry_budget *budget, uint32_t attempt)
{
  if (attempt >= NOT_STARTED_ATTEMPTS_MAX
      || budget->not_started_milli_tokens < RETRY_COST_MILLI)
    return RETRY_GIVE_UP;
  budget->not_started_milli_tokens -= RETRY_COST_MILLI;
  return RETRY_AGAIN;
}

enum retry_choice
retry_decide (struct retry_budget *budget, bool idempotent,
              enum run_result result, uint32_t attempt)
{
  if (!is_safe_to_retry (idempotent, result))
    return RETRY_GIVE_UP;
  /* A run that was not even sent has put no load on the back ends, so its
     retry costs nothing. */
  if (result == RUN_NOT_SENT && attempt < NOT_STARTED_ATTEMPTS_MAX)
    return RETRY_AGAIN;
  if (result == RUN_NOT_STARTED || result == RUN_NOT_SENT)
    return decide_for_not_started (budget, attempt);
  if (attempt >= ATTEMPTS_MAX)
    return RETRY_GIVE_UP;
  if (budget->milli_tokens < RETRY_COST_MILLI)
    return RETRY_BUDGET_EXHAUSTED;
  budget->milli_tokens -= RETRY_COST_MILLI;
  return RETRY_AGAIN;
}
