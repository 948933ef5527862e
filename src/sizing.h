#ifndef SIZING_H
#define SIZING_H

#include "upkeep.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Sizes the pools of the services.  A pool whose work does not fit gets
   machines from the standby pool first and then from pools that have more than
   they need.  If all pools together need more machines than there are, each
   gets what its long-running tasks need, and the rest is shared out evenly, so
   that a burst in one pool does not starve the others.  Idle machines return
   to the standby pool, where they cost nothing, after a delay.  Pure: no input
   or output; times are milliseconds of a steady clock. */

/* The load of a service's pool as the owner of its cell reports it. */
struct pool_load
{
  char *service;
  uint64_t cpu_per_worker_milli;   /* of the largest worker */
  uint64_t cpu_long_running_milli; /* of long-running tasks, running or not */
  uint64_t cpu_used_milli;         /* of runs in progress */
  uint64_t cpu_wanted_milli;       /* of tasks that could start now */
  uint32_t workers_min;            /* needed even if fewer have the processors:
                                      a step's tasks are spread over workers, or
                                      a long-running task has found no place */
  uint32_t workers_emptying;       /* closed for an upkeep and not empty yet */
  uint64_t accepted_jobs;         /* by its owner so far; without scheduled and
                                  long-running jobs */
  uint64_t accepted_work_milli_s; /* estimated work of these jobs */
  GPtrArray *idle;                /* char *: IDs of workers without a run */
  GPtrArray *reclaimable;         /* char *: IDs of workers that finite tasks
                                     only run on, the best to empty first */
};

/* Return an empty load of SERVICE's pool, which the caller destroys. */
struct pool_load *pool_load_new (const char *service);
void pool_load_destroy (gpointer load);

/* Return LOAD without its service's name encoded; the caller unrefs it. */
GBytes *pool_load_to_bytes (const struct pool_load *load);

/* Return the load of SERVICE's pool that BYTES hold, which the caller
   destroys, or NULL if BYTES are malformed. */
struct pool_load *pool_load_from_bytes (const char *service, GBytes *bytes);

struct sizing;

/* Return a planner that moves at most MAX_PER_ROUND machines in one plan; the
   caller destroys it. */
struct sizing *sizing_new (uint32_t max_per_round);
void sizing_destroy (struct sizing *sizing);

/* A machine to move, and the figures behind the decision. */
struct sizing_move
{
  const struct machine *machine;
  const char *service;  /* that it moves to */
  uint32_t have;        /* machines of the pool that needs or returns it */
  uint32_t need;        /* machines that this pool needs */
  uint64_t burst_milli; /* see demand.h */
};

/* Append the moves to make now to MOVES (struct sizing_move); they refer to
   strings of MACHINES, LOADS and STANDBY.  MACHINES are those of the current
   list, LOADS (struct pool_load *) those of the pools that reported one.
   STANDBY is the standby pool's service, or NULL if there is none.  The
   machines named in RESERVED (a set of char *) are not moved; those of MOVES
   are added to it. */
void sizing_plan (struct sizing *sizing, const GPtrArray *machines,
                  const GPtrArray *loads, const char *standby,
                  GHashTable *reserved, int64_t now_ms, GArray *moves);

#endif
