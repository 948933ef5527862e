#ifndef POOL_H
#define POOL_H

#include "admit.h"
#include "estimate.h"
#include "fleet.h"
#include "queue.h"
#include "quota.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The state that the owner of a pool keeps of it: the waiting requests, the
   number of runs by lane, and the estimated run times.  Chooses the request
   that gets the next slot, so that short work does not wait behind long work,
   and computes the load ahead of a request. */

struct pool
{
  char *name;
  struct queue *queue;
  struct quota *quota;
  GHashTable *estimates; /* class name -> struct estimate * */
  struct admit admit[LANE_COUNT];
  uint32_t running[LANE_COUNT]; /* runs in progress, without stragglers */
  uint32_t stragglers;          /* stragglers in progress, of both lanes */
  uint64_t config_version;      /* that the fields below were taken from */
  int64_t min_start_within_ms;  /* smallest start_within_ms of its classes */
  bool has_idempotent_class;
};

/* Create an empty pool named NAME. */
struct pool *pool_new (const char *name);
void pool_destroy (struct pool *pool);

/* Apply the configuration in force in FLEET, unless POOL has applied that
   version already. */
void pool_sync (struct pool *pool, const struct fleet *fleet);

/* Return the run time estimate of CLASS_NAME, owned by POOL; a new one starts
   from EXPECTED_MS. */
struct estimate *pool_estimate (struct pool *pool, const char *class_name,
                                int64_t expected_ms);

/* Return the class CLASS_NAME of a service of POOL in the configuration in
   force, or NULL. */
const struct config_class *pool_class (const struct pool *pool,
                                       const struct fleet *fleet,
                                       const char *class_name);

/* Return the lane of requests of class K.  An unknown class (NULL) is
   urgent. */
enum lane pool_lane (const struct pool *pool, const struct config_class *k);

/* Return the load ahead of WAITING, which is in the queue of POOL, if POOL has
   SLOTS slots. */
struct admit_load pool_load_ahead (const struct pool *pool,
                                   const struct waiting_request *waiting,
                                   uint32_t slots);

/* Return the request that gets the next of POOL's SLOTS slots, or NULL if none
   may have one.  It stays in the queue. */
struct waiting_request *pool_next_request (const struct pool *pool,
                                           uint32_t slots, int64_t now_ms);

#endif
