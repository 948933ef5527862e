#ifndef REQUESTS_STATE_H
#define REQUESTS_STATE_H

#include "requests.h"

/* What the table of requests is made of, for requests.c, claims.c and runs.c
   alone, and the steps that they share. */

#define REQUESTS_BUSY_RETRY_AFTER_MS 500

enum live_state
{
  LIVE_CLAIMING,
  LIVE_WAITING,
  LIVE_RUNNING
};

struct live
{
  uint64_t request;
  enum live_state state;
  char *service;
  char *class_name;
  char *pool;
  char *team;
  bool idempotent;
  uint64_t max_answer_bytes;
  int64_t expected_run_ms;
  int64_t start_by_ms;
  int64_t deadline_ms;
  struct key_id key;
  uint64_t body_hash;
  uint64_t claim;  /* offset of the claim, once won */
  char *claim_uid; /* while claiming */
  uint32_t attempt;
  uint32_t asked_attempt; /* of the last ask sent */
  char *owner;            /* node asked, or that granted */
  int64_t asked_ms;
  char *vm;        /* where it runs, or ran last */
  int64_t held_ms; /* last renewal of the slot's lease */
  enum reason ran; /* how its last run that may have started ended */
  bool abandoned;
};

/* A request that ended before the verdict on its claim was read. */
struct given_up
{
  uint64_t request;
  struct key_id key;
};

struct requests
{
  GHashTable *live;     /* request number -> struct live * */
  GHashTable *budgets;  /* "service/class" -> struct retry_budget * */
  GHashTable *leaving;  /* set of VM names */
  GHashTable *given_up; /* request number -> struct given_up *: refused while
                           its claim was on its way */
  uint32_t max_requests;
  uint32_t running;
};

/* Return the request with NUMBER, or NULL. */
struct live *requests_find (const struct requests *requests, uint64_t number);

/* Return the retry budget of LIVE's class. */
struct retry_budget *requests_budget (struct requests *requests,
                                      const struct live *live);

/* Tell the caller of request NUMBER that it ended for REASON. */
void requests_refuse (struct turn *turn, uint64_t number, enum reason reason,
                      int64_t retry_after_ms);

/* Put the outcome of the CLAIM of KEY on its way to the log. */
void requests_append_outcome (struct turn *turn, struct key_id key,
                              uint64_t claim, enum outcome outcome,
                              enum reason reason, uint32_t status);

/* Return what ended LIVE: REASON, unless that says "not run" and an earlier
   attempt may have started. */
enum reason requests_true_reason (const struct live *live, enum reason reason);

/* End LIVE, which waits and so has not run in this attempt, for REASON. */
void requests_end_waiting (struct requests *requests, struct turn *turn,
                           struct live *live, enum reason reason,
                           int64_t retry_after_ms);

/* Ask the owner of LIVE's pool for a slot, as a new attempt. */
void requests_ask_slot (struct turn *turn, struct live *live);

/* Give LIVE's slot back to its owner; its run ended with RESULT. */
void requests_return_slot (struct turn *turn, const struct live *live,
                           enum run_result result, int64_t run_ms);

/* Admit LIVE, which is not idempotent: claim its key, unless an earlier claim
   or the state of the log forbids it.  Return why not, or REASON_NONE. */
enum reason requests_claim (struct turn *turn, struct live *live,
                            const struct message_request *message,
                            const struct config_class *k);

#endif
