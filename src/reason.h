#ifndef REASON_H
#define REASON_H

#include <stdint.h>

/* The outcomes of a request, and the complete list of reasons for answers that
   do not come from a back end.  Each reason has one counter. */

enum outcome
{
  OUTCOME_ANSWERED,
  OUTCOME_NOT_RUN, /* it never started, and this attempt never will */
  OUTCOME_FAILED,  /* it started, but the caller gets no complete answer */
  OUTCOME_UNKNOWN  /* it may have started; query the key again later */
};

enum reason
{
  REASON_NONE,
  REASON_NO_CONFIGURATION,
  REASON_UNKNOWN_SERVICE,
  REASON_UNKNOWN_CLASS,
  REASON_UNKNOWN_TEAM,
  REASON_BAD_REQUEST,
  REASON_KEY_MISSING,
  REASON_KEY_REUSED,
  REASON_KEY_IN_PROGRESS,
  REASON_KEY_ANSWERED,
  REASON_KEY_OUTCOME_UNKNOWN,
  REASON_BODY_TOO_LARGE,
  REASON_NEVER_FITS,
  REASON_TOO_LATE,
  REASON_QUEUE_FULL,
  REASON_QUOTA,
  REASON_NO_VM,
  REASON_LOG_UNAVAILABLE,
  REASON_VIEW_TOO_OLD,
  REASON_OVERLOADED,
  REASON_STOPPING,
  REASON_CANCELLED,
  REASON_RETRY_BUDGET,
  REASON_BACK_END_REFUSED,
  REASON_BACK_END_FAILED,
  REASON_BACK_END_LOST,
  REASON_ANSWER_TRUNCATED,
  REASON_ANSWER_TOO_LARGE,
  REASON_TIMEOUT,
  REASON_REQUEST_TOO_SLOW,
  REASON_KEY_NOT_FOUND,
  REASON_COUNT
};

/* Return the name of OUTCOME as callers see it, such as "not-run". */
const char *outcome_name (enum outcome outcome);

/* Return the name of REASON as callers and counters see it. */
const char *reason_name (enum reason reason);

/* Return what the caller or operator can do about REASON. */
const char *reason_remedy (enum reason reason);

/* Return the HTTP status code of an answer with REASON. */
uint32_t reason_status (enum reason reason);

/* Return the outcome that REASON implies. */
enum outcome reason_outcome (enum reason reason);

#endif
