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

/* What a pool's owner keeps of it: who waits, who runs by lane, what is known
   of run times.  Decides who gets the next slot, so that short work does not
   wait behind long work, and how long one more would wait. */

struct pool
{
  char *name;
  struct queue *queue;
  struct quota *quota;
  GHashTable *estimates; /* class name -> struct estimate * */
  struct admit admit[LANE_COUNT];
  uint32_t running[LANE_COUNT]; /* but for the stragglers */
  uint32_t stragglers;          /* running; of either lane */
  uint64_t config_version;      /* that the figures below are from */
  int64_t tightest_ms;          /* start_within_ms of its urgent classes */
  bool has_idempotent;
};

/* Create an empty pool named NAME. */
struct pool *pool_new (const char *name);
void pool_destroy (struct pool *pool);

/* Take in the configuration of FLEET, if another is in force. */
void pool_sync (struct pool *pool, const struct fleet *fleet);

/* Return what is known of CLASS_NAME, which is expected to run for
   EXPECTED_MS if nothing is. */
struct estimate *pool_estimate (struct pool *pool, const char *class_name,
                                int64_t expected_ms);

/* Return the class CLASS_NAME of a service of POOL, or NULL. */
const struct config_class *pool_class (const struct pool *pool,
                                       const struct fleet *fleet,
                                       const char *class_name);

/* Return the lane that class K, which may be NULL, waits in. */
enum lane pool_lane (const struct pool *pool, const struct config_class *k);

/* Return what is ahead of WAITING, which waits for one of SLOTS. */
struct admit_load pool_load_before (const struct pool *pool,
                                    const struct waiting *waiting,
                                    uint32_t slots);

/* Return who gets the next of SLOTS, or NULL if nobody may. */
struct waiting *pool_choose (const struct pool *pool, uint32_t slots,
                             int64_t now_ms);

#endif
