#ifndef SIZING_H
#define SIZING_H

#include "upkeep.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How many machines each service's pool has: machines go to a pool whose work
   does not fit, from the standby pool and from pools that have more than they
   need, and back to the standby pool, where they cost nothing, once they have
   been idle for a while.  Pure; times are those of a steady clock. */

/* What a cell's owner says of its pool. */
struct pool_load
{
  char *service;
  uint64_t cpu_per_worker_milli;
  uint64_t cpu_lasting_milli;  /* of the tasks that last, running or not */
  uint64_t cpu_used_milli;     /* of runs */
  uint64_t cpu_wanted_milli;   /* of tasks that could start now */
  uint32_t workers_min;        /* whatever the processors say: tasks of a step
                                  are spread, or one has found no place */
  uint64_t jobs_taken;         /* by its owner so far, that end */
  uint64_t work_taken_milli_s; /* of these, as estimated */
  GPtrArray *idle;             /* char *: IDs of workers without any run */
};

struct pool_load *pool_load_new (const char *service);
void pool_load_destroy (gpointer load);
GBytes *pool_load_to_bytes (const struct pool_load *load);

/* Return the load that BYTES hold, or NULL if they are malformed. */
struct pool_load *pool_load_from_bytes (const char *service, GBytes *bytes);

struct sizing;

/* At most MAX_PER_ROUND machines are moved by one plan. */
struct sizing *sizing_new (uint32_t max_per_round);
void sizing_destroy (struct sizing *sizing);

/* A machine to move, and what that rests on. */
struct sizing_step
{
  const struct machine *machine;
  const char *service; /* where to */
  uint32_t have;       /* machines of the pool that gets or gives it */
  uint32_t need;
  uint64_t burst_milli; /* see demand.h */
};

/* Fill STEPS (struct sizing_step) given the MACHINES as listed, the LOADS
   (struct pool_load *) of the pools that could be asked, and the standby
   pool's service, or NULL if there is none.  RESERVED (names of machines, as a
   set) are left alone. */
void sizing_plan (struct sizing *sizing, const GPtrArray *machines,
                  const GPtrArray *loads, const char *standby,
                  GHashTable *reserved, int64_t now_ms, GArray *steps);

#endif
