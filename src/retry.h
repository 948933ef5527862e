#ifndef RETRY_H
#define RETRY_H

#include "message.h"

#include <stdbool.h>
#include <stdint.h>

/* Whether a run that brought no answer is tried again.  Each class has a
   budget that its requests fill, so that retries stay a small share of them
   even when everything fails.  Runs that certainly never started have one of
   their own, which is larger: a VM that has just failed, or an owner that has
   just changed, turns many away within moments. */

struct retry_budget
{
  int64_t milli_tokens; /* one retry costs 1000 */
  int64_t not_started_milli_tokens;
};

enum retry_choice
{
  RETRY_GIVE_UP,
  RETRY_AGAIN,
  RETRY_BUDGET_SPENT
};

/* Start with a full budget. */
void retry_budget_init (struct retry_budget *budget);

/* Note one request of the class. */
void retry_budget_earn (struct retry_budget *budget);

/* Decide after attempt number ATTEMPT (from 1) ended with RESULT.  A request
   that is not idempotent is tried again only if it certainly never started. */
enum retry_choice retry_decide (struct retry_budget *budget, bool idempotent,
                                enum run_result result, uint32_t attempt);

#endif
