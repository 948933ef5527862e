#ifndef QUEUE_H
#define QUEUE_H

#include "quota.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The requests that wait for a slot of one pool.  Those of urgent classes
   stand in one lane, those of patient classes in another; in a lane each team
   has its own line.  The earliest start deadline goes first, but a team within
   its quota that has waited for half of its target goes before any team
   above its own. */

enum lane
{
  LANE_URGENT,
  LANE_PATIENT,
  LANE_COUNT
};

struct pool;

struct waiting
{
  char *node; /* whose caller waits */
  uint64_t incarnation;
  uint64_t request;
  uint32_t attempt;
  struct pool *pool; /* the broker's */
  char *class_name;
  char *avoid;
  enum lane lane;
  struct quota_team *team;
  int64_t start_by_ms; /* clock time of this node */
  int64_t target_ms;   /* how soon its class is to start */
  int64_t run_us;      /* expected */
  bool may_probe;      /* may be what a failing VM is tried with */
  /* The queue's own. */
  uint64_t order; /* of coming */
  GSequenceIter *in_line;
  GSequenceIter *in_lane;
};

struct queue;

struct queue *queue_new (void);
void queue_destroy (struct queue *queue);
void waiting_destroy (struct waiting *waiting);

/* Put WAITING in its place; the queue owns it from now on. */
void queue_push (struct queue *queue, struct waiting *waiting);

/* Take WAITING out; the caller owns it from now on. */
void queue_remove (struct queue *queue, struct waiting *waiting);

/* Return the next of LANE to be given one of SLOTS, or NULL. */
struct waiting *queue_next (const struct queue *queue, enum lane lane,
                            const struct quota *quota, uint32_t slots,
                            int64_t now_ms);

/* Return the one of LANE with the earliest deadline, or NULL. */
struct waiting *queue_earliest (const struct queue *queue, enum lane lane);

/* Count those ahead of WAITING in its lane, and in *OF_TEAM those of them in
   its own line. */
uint32_t queue_ahead (const struct queue *queue, const struct waiting *waiting,
                      uint32_t *of_team);

uint32_t queue_length (const struct queue *queue, enum lane lane);

/* Return the sum of the expected run times of LANE. */
int64_t queue_work_us (const struct queue *queue, enum lane lane);

#endif
