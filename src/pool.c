#include "pool.h"

#include <string.h>

/* A class is delay-tolerant if its start target is more than this many times
   the shortest one of its pool. */
#define TOLERANT_TARGET_FACTOR 4

/* Maximum and minimum share of the slots for delay-tolerant work.  Stragglers
   of any class count towards the maximum.  The minimum applies while urgent
   work waits too, once a delay-tolerant request has waited for its start
   target divided by TOLERANT_OVERDUE_DIVISOR, so that it is not starved. */
#define TOLERANT_MAX_PERCENT 50
#define TOLERANT_MIN_PERCENT 5
#define TOLERANT_OVERDUE_DIVISOR 4

static void
free_estimate (gpointer p)
{
  estimate_destroy (p);
}

struct pool *
pool_new (const char *name)
{
  struct pool *o = g_new0 (struct pool, 1);

  o->name = g_strdup (name);
  o->queue = queue_new ();
  o->quota = quota_new ();
  o->estimates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_estimate);
  o->min_start_within_ms = INT64_MAX;
  return o;
}

void
pool_destroy (struct pool *pool)
{
  if (pool == NULL)
    return;
  queue_destroy (pool->queue);
  quota_destroy (pool->quota);
  g_hash_table_unref (pool->estimates);
  g_free (pool->name);
  g_free (pool);
}

static bool
is_class_of_pool (const struct config *c, const struct config_class *k,
                  const char *pool)
{
  return strcmp (c->services[k->service].pool_name, pool) == 0;
}

void
pool_sync (struct pool *pool, const struct fleet *fleet)
{
  const struct config *c = fleet_config (fleet);
  uint64_t version = fleet_config_version (fleet);

  if (c == NULL || pool->config_version == version)
    return;
  pool->config_version = version;
  pool->min_start_within_ms = INT64_MAX;
  pool->has_idempotent_class = false;
  for (guint i = 0; i < c->n_classes; i++)
    {
      const struct config_class *k = &c->classes[i];

      if (!is_class_of_pool (c, k, pool->name))
        continue;
      pool->min_start_within_ms
          = MIN (pool->min_start_within_ms, k->start_within_ms);
      pool->has_idempotent_class |= k->idempotent;
    }
  quota_sync (pool->quota, c);
}

struct estimate *
pool_estimate (struct pool *pool, const char *class_name, int64_t expected_ms)
{
  struct estimate *e = g_hash_table_lookup (pool->estimates, class_name);

  if (e != NULL)
    return e;
  e = estimate_new (expected_ms);
  g_hash_table_insert (pool->estimates, g_strdup (class_name), e);
  return e;
}

const struct config_class *
pool_class (const struct pool *pool, const struct fleet *fleet,
            const char *class_name)
{
  const struct config *c = fleet_config (fleet);

  for (guint i = 0; c != NULL && i < c->n_classes; i++)
    if (strcmp (c->classes[i].name, class_name) == 0
        && is_class_of_pool (c, &c->classes[i], pool->name))
      return &c->classes[i];
  return NULL;
}

enum lane
pool_lane (const struct pool *pool, const struct config_class *k)
{
  if (k != NULL
      && k->start_within_ms / TOLERANT_TARGET_FACTOR
             > pool->min_start_within_ms)
    return LANE_TOLERANT;
  return LANE_URGENT;
}

static uint32_t
tolerant_min_slots (uint32_t slots)
{
  return MAX (slots * TOLERANT_MIN_PERCENT / 100, 1);
}

static uint32_t
tolerant_max_slots (uint32_t slots)
{
  return MAX (slots * TOLERANT_MAX_PERCENT / 100, 1);
}

/* The slots that LANE of pool O can expect to use if O has SLOTS slots. */
static uint32_t
lane_slots (const struct pool *o, enum lane lane, uint32_t slots)
{
  uint32_t reserved = o->stragglers;

  if (lane == LANE_TOLERANT)
    return tolerant_max_slots (slots);
  if (queue_length (o->queue, LANE_TOLERANT) > 0)
    reserved += tolerant_min_slots (slots);
  return slots > reserved ? slots - reserved : 1;
}

struct admit_load
pool_load_ahead (const struct pool *pool,
                 const struct waiting_request *waiting, uint32_t slots)
{
  uint32_t usable = lane_slots (pool, waiting->lane, slots);
  uint32_t length = queue_length (pool->queue, waiting->lane);
  struct admit_load l = { .slots_milli = usable * INT64_C (1000) };

  if (slots == 0)
    l.slots_milli = 0;
  l.ahead = queue_ahead (pool->queue, waiting, &l.ahead_of_team);
  l.mean_us = queue_work_us (pool->queue, waiting->lane) / MAX (length, 1);
  l.entitled_milli = quota_entitled_milli (pool->quota, waiting->team, usable);
  return l;
}

/* Whether W, of the delay-tolerant lane, has waited so long that its lane gets
   its minimum share of the slots before urgent work. */
static bool
is_overdue_for_minimum (const struct waiting_request *w, int64_t now_ms)
{
  int64_t left_ms = w->start_by_ms - now_ms;

  return left_ms < w->target_ms - w->target_ms / TOLERANT_OVERDUE_DIVISOR;
}

struct waiting_request *
pool_next_request (const struct pool *pool, uint32_t slots, int64_t now_ms)
{
  struct waiting_request *urgent
      = queue_next (pool->queue, LANE_URGENT, pool->quota, slots, now_ms);
  struct waiting_request *tolerant
      = queue_next (pool->queue, LANE_TOLERANT, pool->quota, slots, now_ms);
  uint32_t running = pool->running[LANE_TOLERANT];

  if (tolerant != NULL && running < tolerant_min_slots (slots)
      && (urgent == NULL || is_overdue_for_minimum (tolerant, now_ms)))
    return tolerant;
  if (urgent != NULL || tolerant == NULL)
    return urgent;
  if (running + pool->stragglers < tolerant_max_slots (slots))
    return tolerant;
  return NULL;
}
