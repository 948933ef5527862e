#ifndef QUEUE_H
#define QUEUE_H

#include "quota.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The requests that wait for a slot of one pool.  Urgent classes and
   delay-tolerant classes have a lane each, so that long work causes no
   head-of-line blocking of short work.  Within a lane each team has its own
   queue.  The request with the earliest start deadline is served first, except
   that a request of a team within its quota that has waited for half of its
   start target precedes those of teams above their quota. */

enum lane
{
  LANE_URGENT,
  LANE_TOLERANT, /* delay-tolerant; see pool_lane */
  LANE_COUNT
};

struct pool;

/* A request that waits for a slot. */
struct waiting_request
{
  char *node; /* that asked for the slot */
  uint64_t incarnation;
  uint64_t request;
  uint32_t attempt;
  struct pool *pool; /* owned by the broker */
  char *class_name;
  char *avoid_vm; /* VM that failed the last attempt; "" for none */
  enum lane lane;
  struct quota_team *team;
  int64_t start_by_ms; /* clock time of this node */
  int64_t target_ms;   /* start target of its class */
  int64_t run_us;      /* expected run time */
  bool may_probe;      /* may run on a failing VM to probe it */
  /* Set by the queue. */
  uint64_t arrival; /* sequence number; breaks ties of start_by_ms */
  GSequenceIter *team_iter;
  GSequenceIter *lane_iter;
};

struct queue;

struct queue *queue_new (void);
void queue_destroy (struct queue *queue);
void waiting_request_destroy (struct waiting_request *waiting);

/* Insert WAITING by its start deadline; QUEUE takes ownership of it. */
void queue_push (struct queue *queue, struct waiting_request *waiting);

/* Remove WAITING, which the caller then owns. */
void queue_remove (struct queue *queue, struct waiting_request *waiting);

/* Return the request of LANE that gets the next slot of a pool with SLOTS
   slots, or NULL if none waits.  It stays in QUEUE. */
struct waiting_request *queue_next (const struct queue *queue, enum lane lane,
                                    const struct quota *quota, uint32_t slots,
                                    int64_t now_ms);

/* Return the request of LANE with the earliest start deadline, or NULL.  It
   stays in QUEUE. */
struct waiting_request *queue_earliest (const struct queue *queue,
                                        enum lane lane);

/* Return how many requests are ahead of WAITING in its lane, and how many of
   them are of its team in *AHEAD_IN_TEAM. */
uint32_t queue_ahead (const struct queue *queue,
                      const struct waiting_request *waiting,
                      uint32_t *ahead_in_team);

uint32_t queue_length (const struct queue *queue, enum lane lane);

/* Return the sum of the expected run times of the requests in LANE, in
   microseconds. */
int64_t queue_work_us (const struct queue *queue, enum lane lane);

#endif
