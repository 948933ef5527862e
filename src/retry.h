#ifndef RETRY_H
#define RETRY_H

#include "message.h"

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a run without an answer is retried.  Each class has a retry
   budget that its requests refill, so that retries stay a small share of the
   requests even when every run fails.  Runs that certainly never started have
   a separate, larger budget: a VM that has just failed, or an owner that has
   just changed, refuses many runs within moments. */

struct retry_budget
{
  int64_t milli_tokens;             /* one retry costs 1000 */
  int64_t not_started_milli_tokens; /* for runs that never started */
};

enum retry_choice
{
  RETRY_GIVE_UP,
  RETRY_AGAIN,
  RETRY_BUDGET_EXHAUSTED
};

/* Set BUDGET to full. */
void retry_budget_init (struct retry_budget *budget);

/* Refill BUDGET by the share of a retry that one request of the class adds. */
void retry_budget_refill (struct retry_budget *budget);

/* Decide whether to retry after attempt number ATTEMPT (from 1) ended with
   RESULT, and take the cost of a retry from BUDGET.  A request that is not
   idempotent is retried only if it certainly never started. */
enum retry_choice retry_decide (struct retry_budget *budget, bool idempotent,
                                enum run_result result, uint32_t attempt);

#endif
