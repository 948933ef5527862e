#include "reason.h"

#include <glib.h>

struct reason_row
{
  const char *name;
  enum outcome outcome;
  uint32_t status;
  const char *remedy;
};

static const struct reason_row reason_rows[REASON_COUNT] = {
  [REASON_NONE] = { "none", OUTCOME_ANSWERED, 200, "nothing to do" },
  [REASON_NO_CONFIGURATION]
  = { "no-configuration", OUTCOME_NOT_RUN, 503,
      "wait until an operator has published a configuration and this node has "
      "read it, or try another node" },
  [REASON_UNKNOWN_SERVICE] = { "unknown-service", OUTCOME_NOT_RUN, 404,
                               "use a service named in the configuration" },
  [REASON_UNKNOWN_CLASS] = { "unknown-class", OUTCOME_NOT_RUN, 404,
                             "use a class that the service offers" },
  [REASON_UNKNOWN_TEAM]
  = { "unknown-team", OUTCOME_NOT_RUN, 401,
      "send the team's token as Authorization: Bearer TOKEN" },
  [REASON_BAD_REQUEST]
  = { "bad-request", OUTCOME_NOT_RUN, 400,
      "send POST /v1/services/SERVICE/CLASS with headers as documented" },
  [REASON_KEY_MISSING]
  = { "key-missing", OUTCOME_NOT_RUN, 400,
      "send an Idempotency-Key header; this class is not idempotent" },
  [REASON_KEY_REUSED] = { "key-reused", OUTCOME_NOT_RUN, 422,
                          "use a new key for a different body" },
  [REASON_KEY_IN_PROGRESS]
  = { "key-in-progress", OUTCOME_UNKNOWN, 409,
      "the first request with this key is running; ask "
      "GET /v1/requests/KEY for its outcome" },
  [REASON_KEY_ANSWERED]
  = { "key-answered", OUTCOME_UNKNOWN, 409,
      "the request with this key has run once already and does not run "
      "again; see GET /v1/requests/KEY" },
  [REASON_KEY_OUTCOME_UNKNOWN]
  = { "key-outcome-unknown", OUTCOME_UNKNOWN, 409,
      "it is not known whether the request with this key ran, so it does not "
      "run again; ask GET /v1/requests/KEY later" },
  [REASON_BODY_TOO_LARGE]
  = { "body-too-large", OUTCOME_NOT_RUN, 413,
      "send a body within the class's max_request_bytes" },
  [REASON_NEVER_FITS]
  = { "never-fits", OUTCOME_NOT_RUN, 422,
      "request fewer resources; no VM of the pool is large enough to run it" },
  [REASON_TOO_LATE]
  = { "too-late", OUTCOME_NOT_RUN, 503,
      "it could not start in time; try again after retry_after_ms" },
  [REASON_QUEUE_FULL]
  = { "queue-full", OUTCOME_NOT_RUN, 503, "try again after retry_after_ms" },
  [REASON_QUOTA]
  = { "quota", OUTCOME_NOT_RUN, 429,
      "the team is above its quota; try again after retry_after_ms" },
  [REASON_NO_VM] = { "no-vm", OUTCOME_NOT_RUN, 503,
                     "the pool has no VM in service; see status" },
  [REASON_LOG_UNAVAILABLE]
  = { "log-unavailable", OUTCOME_NOT_RUN, 503,
      "the platform's log does not answer, so a request that may run only "
      "once can't be claimed; try again after retry_after_ms" },
  [REASON_VIEW_TOO_OLD]
  = { "view-too-old", OUTCOME_NOT_RUN, 503,
      "this node's fleet state is out of date (it is catching up, or can "
      "reach neither the log nor most other nodes); try another node" },
  [REASON_OVERLOADED]
  = { "overloaded", OUTCOME_NOT_RUN, 503,
      "this node has reached its limit of open requests; try another node" },
  [REASON_STOPPING] = { "stopping", OUTCOME_NOT_RUN, 503,
                        "this node is stopping; try another node" },
  [REASON_CANCELLED]
  = { "cancelled", OUTCOME_NOT_RUN, 409, "the caller cancelled it" },
  [REASON_RETRY_BUDGET]
  = { "retry-budget", OUTCOME_FAILED, 502,
      "the class's retry budget is used up; try again after retry_after_ms" },
  [REASON_BACK_END_REFUSED]
  = { "back-end-refused", OUTCOME_NOT_RUN, 503,
      "the back ends accepted no more work; try again after retry_after_ms" },
  [REASON_BACK_END_FAILED]
  = { "back-end-failed", OUTCOME_FAILED, 502, "see the back end's own logs" },
  [REASON_BACK_END_LOST]
  = { "back-end-lost", OUTCOME_UNKNOWN, 502,
      "the connection broke while it ran; ask GET /v1/requests/KEY or the "
      "back end's own logs" },
  [REASON_ANSWER_TRUNCATED]
  = { "answer-truncated", OUTCOME_FAILED, 502,
      "it ran, and its answer was cut short; see the back end's own logs" },
  [REASON_ANSWER_TOO_LARGE]
  = { "answer-too-large", OUTCOME_FAILED, 502,
      "it ran, and its answer is larger than max_answer_bytes" },
  [REASON_TIMEOUT]
  = { "timeout", OUTCOME_UNKNOWN, 504,
      "it started and did not end in time; ask GET /v1/requests/KEY, or "
      "send a longer Request-Timeout-Ms" },
  [REASON_REQUEST_TOO_SLOW]
  = { "request-too-slow", OUTCOME_NOT_RUN, 408,
      "send the whole request within the node's header_timeout_ms, and its "
      "body at 16 KB a second or more" },
  [REASON_KEY_NOT_FOUND]
  = { "key-not-found", OUTCOME_UNKNOWN, 404,
      "check the key and the team's token; only keys of classes that are not "
      "idempotent are kept, for remember_key_ms" },
};

const char *
outcome_name (enum outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_ANSWERED:
      return "answered";
    case OUTCOME_NOT_RUN:
      return "not-run";
    case OUTCOME_FAILED:
      return "failed";
    case OUTCOME_UNKNOWN:
      return "unknown";
    }
  g_return_val_if_reached ("unknown");
}

const char *
reason_name (enum reason reason)
{
  return reason_rows[reason].name;
}

const char *
reason_remedy (enum reason reason)
{
  return reason_rows[reason].remedy;
}

uint32_t
reason_status (enum reason reason)
{
  return reason_rows[reason].status;
}

enum outcome
reason_outcome (enum reason reason)
{
  return reason_rows[reason].outcome;
}
