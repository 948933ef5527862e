#ifndef REQUESTS_STATE_H
#define REQUESTS_STATE_H

#include "requests.h"

/* The table of requests and the functions that requests.c, claims.c and runs.c
   share.  No other file includes this one. */

/* When a caller may retry after a refusal for a short-lived cause. */
#define REQUESTS_BUSY_RETRY_AFTER_MS 500

enum request_state
{
  REQUEST_CLAIMING, /* its claim is not yet applied */
  REQUEST_WAITING,  /* for a slot */
  REQUEST_RUNNING
};

/* A request that has not ended. */
struct active_request
{
  uint64_t request; /* its number */
  enum request_state state;
  char *service;
  char *class_name;
  char *pool;
  char *team;
  bool is_idempotent;
  uint64_t max_answer_bytes;
  int64_t expected_run_ms;
  int64_t start_by_ms;
  int64_t deadline_ms;
  struct key_id key; /* unset if idempotent, as BODY_HASH and the claim */
  uint64_t body_hash;
  uint64_t claim_offset; /* of the won claim; 0 before */
  char *claim_uid;       /* the claim record's, once it is to be appended */
  uint32_t attempt;
  uint32_t requested_attempt; /* of the last slot request */
  char *owner; /* node that got the last slot request or holds the slot */
  int64_t slot_requested_ms;
  char *vm;                    /* where it runs, or ran last */
  int64_t lease_renewed_ms;    /* last renewal of the slot's lease */
  enum reason last_run_reason; /* why its last run that may have started has
                                  ended; REASON_NONE without such a run */
  bool is_abandoned;           /* its caller has disconnected */
};

/* A request that ended before the verdict on its claim was known.  If the
   claim wins all the same, its outcome is logged as not run. */
struct abandoned_claim
{
  uint64_t request;
  struct key_id key;
};

struct requests
{
  GHashTable *active;           /* request number -> struct active_request * */
  GHashTable *budgets;          /* "service/class" -> struct retry_budget * */
  GHashTable *leaving_vms;      /* set of VM names */
  GHashTable *abandoned_claims; /* request number ->
                                   struct abandoned_claim * */
  uint32_t max_requests;
  uint32_t running_count;
};

/* Return the request with NUMBER, or NULL. */
struct active_request *requests_find (const struct requests *requests,
                                      uint64_t number);

/* Return the retry budget of REQUEST's class, which REQUESTS owns. */
struct retry_budget *
requests_retry_budget (struct requests *requests,
                       const struct active_request *request);

/* Tell the caller of request NUMBER that it ended for REASON, and may be sent
   again after RETRY_AFTER_MS. */
void requests_refuse (struct turn *turn, uint64_t number, enum reason reason,
                      int64_t retry_after_ms);

/* Produce the message that logs the outcome of the claim of KEY at offset
   CLAIM. */
void requests_append_outcome (struct turn *turn, struct key_id key,
                              uint64_t claim, enum outcome outcome,
                              enum reason reason, uint32_t status);

/* Return the reason to report for the end of REQUEST: REASON, unless its
   outcome is "not run" and an earlier attempt may have started; then the
   reason for which that attempt ended. */
enum reason requests_final_reason (const struct active_request *request,
                                   enum reason reason);

/* End REQUEST, which is claiming its key or waiting for a slot, for REASON:
   cancel the claim or the slot request, and log the outcome of a won claim. */
void requests_end_before_run (struct requests *requests, struct turn *turn,
                              struct active_request *request,
                              enum reason reason, int64_t retry_after_ms);

/* Ask the owner of REQUEST's pool for a slot, as a new attempt.  Cancel the
   slot request at an earlier owner. */
void requests_send_slot_request (struct turn *turn,
                                 struct active_request *request);

/* Return REQUEST's slot to its owner after its run ended with RESULT and took
   RUN_MS. */
void requests_return_slot (struct turn *turn,
                           const struct active_request *request,
                           enum run_result result, int64_t run_ms);

/* Append a claim of the key of REQUEST, which is not idempotent, unless an
   earlier claim or an unreachable log forbids it.  Return why not, or
   REASON_NONE. */
enum reason requests_start_claim (struct turn *turn,
                                  struct active_request *request,
                                  const struct message_request *message,
                                  const struct config_class *k);

#endif
