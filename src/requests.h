#ifndef REQUESTS_H
#define REQUESTS_H

#include "retry.h"
#include "turn.h"

#include <stdint.h>

/* The requests that this node's callers have sent, from admission to outcome.
   The key of a request that is not idempotent is first claimed in the log;
   only the incarnation whose claim won may run the request. */

struct requests;

/* Create an empty table of at most MAX_REQUESTS, which the caller destroys. */
struct requests *requests_new (uint32_t max_requests);
void requests_destroy (struct requests *requests);

/* Admit a caller's request and claim its key or ask for a slot; refuse it if
   this node, the configuration or an earlier claim forbids it. */
void requests_begin (struct requests *requests, struct turn *turn,
                     const struct message_request *message);

/* Handle that the caller of REQUEST has disconnected: end it unless it runs;
   a run continues without its caller. */
void requests_abandon (struct requests *requests, struct turn *turn,
                       uint64_t request);

/* Handle the VERDICT on RECORD, a claim by this node that was applied at
   OFFSET. */
void requests_handle_claim_verdict (struct requests *requests,
                                    struct turn *turn,
                                    const struct record *record,
                                    uint64_t offset, enum verdict verdict);

/* Handle that the fleet was replaced by a restored one, which already holds
   the results of claims that this node has not applied itself. */
void requests_handle_fleet_restored (struct requests *requests,
                                     struct turn *turn);

/* Handle a PEER_SLOT_GRANT or PEER_SLOT_REFUSE from a pool's owner; other
   kinds are ignored. */
void requests_handle_slot_reply (struct requests *requests, struct turn *turn,
                                 const struct peer_message *message);

/* Handle the end of a run: return its slot, then retry or end the request. */
void requests_run_ended (struct requests *requests, struct turn *turn,
                         const struct message_run_ended *message);

/* End the requests that can't start in time, repeat slot requests that are
   unanswered or whose pool has another owner, renew the slot leases of runs.
 */
void requests_step (struct requests *requests, struct turn *turn);

/* Cancel this node's request with KEY if it has not started to run.  Return
   whether there was one. */
bool requests_cancel (struct requests *requests, struct turn *turn,
                      struct key_id key);

/* Return how many requests are in the table, and how many of them run. */
uint32_t requests_count (const struct requests *requests);
uint32_t requests_count_running (const struct requests *requests);

/* Return how many runs on VM this node has in progress. */
uint32_t requests_count_on_vm (const struct requests *requests,
                               const char *vm);

/* Set whether VM is leaving; no run is sent to a VM that is. */
void requests_set_vm_leaving (struct requests *requests, const char *vm,
                              bool leaving);

#endif
