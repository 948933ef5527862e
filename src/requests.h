#ifndef REQUESTS_H
#define REQUESTS_H

#include "retry.h"
#include "turn.h"

#include <stdint.h>

/* The requests that this node's callers have sent, from admission to outcome.
   A request that is not idempotent is claimed in the log before anything
   else; only the incarnation whose claim won may run it. */

struct requests;

/* Create an empty table of at most MAX_REQUESTS. */
struct requests *requests_new (uint32_t max_requests);
void requests_destroy (struct requests *requests);

/* Admit a caller's request, or refuse it. */
void requests_begin (struct requests *requests, struct turn *turn,
                     const struct message_request *message);

/* The caller of a request went away. */
void requests_abandon (struct requests *requests, struct turn *turn,
                       uint64_t request);

/* Take in the fold's VERDICT of a claim by this node, at OFFSET. */
void requests_claimed (struct requests *requests, struct turn *turn,
                       const struct record *record, uint64_t offset,
                       enum verdict verdict);

/* The fleet was replaced by a restored one: take the verdicts that this node
   has not read from what it holds. */
void requests_restored (struct requests *requests, struct turn *turn);

/* Take in a grant or a refusal from a pool's owner. */
void requests_handle (struct requests *requests, struct turn *turn,
                      const struct peer_message *message);

/* A run ended. */
void requests_run_ended (struct requests *requests, struct turn *turn,
                         const struct message_run_ended *message);

/* End what is out of time, ask again where an owner changed, renew leases. */
void requests_step (struct requests *requests, struct turn *turn);

/* Cancel the request with KEY if it waits here.  Return whether it did. */
bool requests_cancel (struct requests *requests, struct turn *turn,
                      struct key_id key);

/* Return how many requests are held, and how many of them run. */
uint32_t requests_count (const struct requests *requests);
uint32_t requests_running (const struct requests *requests);

/* Return how many runs on VM this node has in progress. */
uint32_t requests_on_vm (const struct requests *requests, const char *vm);

/* Say that VM is leaving, so no run may be sent to it; or that it is not. */
void requests_set_leaving (struct requests *requests, const char *vm,
                           bool leaving);

#endif
