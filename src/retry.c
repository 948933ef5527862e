#include "retry.h"

#include <glib.h>

#define TOKEN 1000
#define EARN_PER_REQUEST 80
#define BUDGET_MAX (10 * TOKEN)
#define NOT_STARTED_BUDGET_MAX (200 * TOKEN)
#define ATTEMPTS_MAX 4
#define NOT_STARTED_ATTEMPTS_MAX 20

void
retry_budget_init (struct retry_budget *budget)
{
  budget->milli_tokens = BUDGET_MAX;
  budget->not_started_milli_tokens = NOT_STARTED_BUDGET_MAX;
}

void
retry_budget_earn (struct retry_budget *budget)
{
  budget->milli_tokens
      = MIN (budget->milli_tokens + EARN_PER_REQUEST, BUDGET_MAX);
  budget->not_started_milli_tokens
      = MIN (budget->not_started_milli_tokens + EARN_PER_REQUEST,
             NOT_STARTED_BUDGET_MAX);
}

static bool
may_run_again (bool idempotent, enum run_result result)
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

/* A request that never started is given up as such, so that its caller hears
   that it was not run. */
static enum retry_choice
decide_not_started (struct retry_budget *budget, uint32_t attempt)
{
  if (attempt >= NOT_STARTED_ATTEMPTS_MAX
      || budget->not_started_milli_tokens < TOKEN)
    return RETRY_GIVE_UP;
  budget->not_started_milli_tokens -= TOKEN;
  return RETRY_AGAIN;
}

enum retry_choice
retry_decide (struct retry_budget *budget, bool idempotent,
              enum run_result result, uint32_t attempt)
{
  if (!may_run_again (idempotent, result))
    return RETRY_GIVE_UP;
  /* What was not even sent has cost the back ends nothing. */
  if (result == RUN_NOT_SENT && attempt < NOT_STARTED_ATTEMPTS_MAX)
    return RETRY_AGAIN;
  if (result == RUN_NOT_STARTED || result == RUN_NOT_SENT)
    return decide_not_started (budget, attempt);
  if (attempt >= ATTEMPTS_MAX)
    return RETRY_GIVE_UP;
  if (budget->milli_tokens < TOKEN)
    return RETRY_BUDGET_SPENT;
  budget->milli_tokens -= TOKEN;
  return RETRY_AGAIN;
}
