#include "pool.h"

#include <string.h>

/* A class is patient if its target is so many times that of the pool's most
   urgent one. */
#define PATIENT_FACTOR 4
/* The most slots that patient work may have, stragglers of any class among
   them; and the least, also while urgent work waits, once it has waited for a
   part of its target. */
#define PATIENT_MAX_PERCENT 50
#define PATIENT_MIN_PERCENT 5
#define PATIENT_PRESSING_PARTS 4

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
  o->tightest_ms = INT64_MAX;
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
is_of_pool (const struct config *c, const struct config_class *k,
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
  pool->tightest_ms = INT64_MAX;
  pool->has_idempotent = false;
  for (guint i = 0; i < c->n_classes; i++)
    {
      const struct config_class *k = &c->classes[i];

      if (!is_of_pool (c, k, pool->name))
        continue;
      pool->tightest_ms = MIN (pool->tightest_ms, k->start_within_ms);
      pool->has_idempotent |= k->idempotent;
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
        && is_of_pool (c, &c->classes[i], pool->name))
      return &c->classes[i];
  return NULL;
}

enum lane
pool_lane (const struct pool *pool, const struct config_class *k)
{
  if (k != NULL && k->start_within_ms / PATIENT_FACTOR > pool->tightest_ms)
    return LANE_PATIENT;
  return LANE_URGENT;
}

static uint32_t
patient_min (uint32_t slots)
{
  return MAX (slots * PATIENT_MIN_PERCENT / 100, 1);
}

static uint32_t
patient_max (uint32_t slots)
{
  return MAX (slots * PATIENT_MAX_PERCENT / 100, 1);
}

/* The slots that LANE of a pool with SLOTS can count on. */
static uint32_t
lane_slots (const struct pool *o, enum lane lane, uint32_t slots)
{
  uint32_t kept = o->stragglers;

  if (lane == LANE_PATIENT)
    return patient_max (slots);
  if (queue_length (o->queue, LANE_PATIENT) > 0)
    kept += patient_min (slots);
  return slots > kept ? slots - kept : 1;
}

struct admit_load
pool_load_before (const struct pool *pool, const struct waiting *waiting,
                  uint32_t slots)
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

/* Whether W, of the patient lane, has waited so long that its lane may claim
   its least share before urgent work. */
static bool
is_pressing (const struct waiting *w, int64_t now_ms)
{
  int64_t left_ms = w->start_by_ms - now_ms;

  return left_ms < w->target_ms - w->target_ms / PATIENT_PRESSING_PARTS;
}

struct waiting *
pool_choose (const struct pool *pool, uint32_t slots, int64_t now_ms)
{
  struct waiting *urgent
      = queue_next (pool->queue, LANE_URGENT, pool->quota, slots, now_ms);
  struct waiting *patient
      = queue_next (pool->queue, LANE_PATIENT, pool->quota, slots, now_ms);
  uint32_t running = pool->running[LANE_PATIENT];

  if (patient != NULL && running < patient_min (slots)
      && (urgent == NULL || is_pressing (patient, now_ms)))
    return patient;
  if (urgent != NULL || patient == NULL)
    return urgent;
  if (running + pool->stragglers < patient_max (slots))
    return patient;
  return NULL;
}
