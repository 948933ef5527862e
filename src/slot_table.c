#include "slot_table.h"

#include <string.h>

/* Consecutive failures after which a VM counts as failing. */
#define EJECT_AFTER_FAILURES 3

/* First and maximum interval between probes of a failing VM; it doubles with
   each failure.  The maximum is short so that a VM that has recovered is soon
   back in use. */
#define EJECT_FIRST_MS 2000
#define EJECT_MAX_MS 8000

/* Ejection budget: maximum share of a pool's VMs that may be ejected. */
#define EJECT_MAX_PERCENT 30

/* The VMs of a pool are in buckets by their number of free slots.  Bucket 0
   holds the failing VMs that are not ejected because the ejection budget is
   spent: they get work only if no other VM has a free slot. */
#define N_BUCKETS 64
#define LAST_RESORT_BUCKET 0
#define NO_BUCKET (-1)

struct pool_entry;

struct vm_entry
{
  char *vm;
  struct pool_entry *pool;
  uint32_t slots;
  uint32_t used;
  uint32_t counted_slots; /* part of the pool's sum */
  uint32_t counted_used;
  bool is_serving;
  bool is_leaving;
  bool is_in_fleet;          /* as of the last sync */
  uint32_t failures;         /* consecutive */
  int64_t probe_interval_ms; /* 0 if the VM is not failing */
  int64_t probe_at_ms;       /* clock time from which it may be probed */
  bool is_ejected;           /* gets no runs but probes */
  bool is_probing;    /* a run is in progress to see whether it recovered */
  int bucket;         /* or NO_BUCKET */
  guint bucket_index; /* in its bucket */
};

/* The VMs of one pool. */
struct pool_entry
{
  char *name;
  GPtrArray *buckets[N_BUCKETS];
  uint64_t nonempty_buckets; /* bit i: bucket i is not empty */
  GPtrArray *failing_vms;    /* ejected, or in the last resort bucket */
  uint32_t n_ejected;
  int64_t earliest_probe_ms; /* no probe of any is due before */
  uint32_t n_vms;
  uint32_t slots;
  uint32_t used;
};

struct slot_table
{
  GHashTable *vms;   /* vm -> struct vm_entry * */
  GHashTable *pools; /* pool -> struct pool_entry * */
  GRand *random;
};

static void
vm_entry_free (gpointer p)
{
  struct vm_entry *e = p;

  g_free (e->vm);
  g_free (e);
}

static void
pool_entry_free (gpointer p)
{
  struct pool_entry *o = p;

  for (int i = 0; i < N_BUCKETS; i++)
    g_ptr_array_unref (o->buckets[i]);
  g_ptr_array_unref (o->failing_vms);
  g_free (o->name);
  g_free (o);
}

struct slot_table *
slot_table_new (uint64_t seed)
{
  struct slot_table *p = g_new0 (struct slot_table, 1);

  p->vms
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, vm_entry_free);
  p->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_entry_free);
  p->random = g_rand_new_with_seed ((guint32)seed);
  return p;
}

void
slot_table_destroy (struct slot_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->vms);
  g_hash_table_unref (table->pools);
  g_rand_free (table->random);
  g_free (table);
}

static struct pool_entry *
find_or_add_pool (struct slot_table *table, const char *pool)
{
  struct pool_entry *o = g_hash_table_lookup (table->pools, pool);

  if (o != NULL)
    return o;
  o = g_new0 (struct pool_entry, 1);
  o->name = g_strdup (pool);
  for (int i = 0; i < N_BUCKETS; i++)
    o->buckets[i] = g_ptr_array_new ();
  o->failing_vms = g_ptr_array_new ();
  o->earliest_probe_ms = INT64_MAX;
  g_hash_table_insert (table->pools, o->name, o);
  return o;
}

/* Buckets. */

static void
remove_from_bucket (struct vm_entry *e)
{
  GPtrArray *bucket;

  if (e->bucket == NO_BUCKET)
    return;
  bucket = e->pool->buckets[e->bucket];
  g_ptr_array_remove_index_fast (bucket, e->bucket_index);
  if (e->bucket_index < bucket->len)
    ((struct vm_entry *)g_ptr_array_index (bucket, e->bucket_index))
        ->bucket_index
        = e->bucket_index;
  if (bucket->len == 0)
    e->pool->nonempty_buckets &= ~(UINT64_C (1) << e->bucket);
  e->bucket = NO_BUCKET;
}

static int
bucket_for (const struct vm_entry *e)
{
  if (!e->is_serving || e->is_leaving || e->is_ejected || e->used >= e->slots)
    return NO_BUCKET;
  if (e->probe_interval_ms != 0)
    return LAST_RESORT_BUCKET;
  return (int)MIN (e->slots - e->used, N_BUCKETS - 1);
}

/* Update the bucket of E and its part of the pool's sums, after a change of
   E. */
static void
update_entry (struct vm_entry *e)
{
  int bucket = bucket_for (e);
  bool counts = e->is_serving && !e->is_leaving;
  struct pool_entry *o = e->pool;

  o->slots -= e->counted_slots;
  o->used -= e->counted_used;
  e->counted_slots = counts ? e->slots : 0;
  e->counted_used = counts ? e->used : 0;
  o->slots += e->counted_slots;
  o->used += e->counted_used;
  if (bucket == e->bucket)
    return;
  remove_from_bucket (e);
  if (bucket == NO_BUCKET)
    return;
  e->bucket = bucket;
  e->bucket_index = o->buckets[bucket]->len;
  g_ptr_array_add (o->buckets[bucket], e);
  o->nonempty_buckets |= UINT64_C (1) << bucket;
}

/* Ejection and probes. */

static void
update_earliest_probe (struct pool_entry *o)
{
  o->earliest_probe_ms = INT64_MAX;
  for (guint i = 0; i < o->failing_vms->len; i++)
    {
      const struct vm_entry *e = g_ptr_array_index (o->failing_vms, i);

      if (!e->is_probing && e->is_serving && !e->is_leaving)
        o->earliest_probe_ms = MIN (o->earliest_probe_ms, e->probe_at_ms);
    }
}

static void
clear_failures (struct vm_entry *e)
{
  e->failures = 0;
  if (e->probe_interval_ms == 0)
    return;
  e->probe_interval_ms = 0;
  e->pool->n_ejected -= e->is_ejected;
  e->is_ejected = false;
  g_ptr_array_remove_fast (e->pool->failing_vms, e);
  update_earliest_probe (e->pool);
}

/* Whether the ejection budget of O allows one more VM. */
static bool
may_eject (const struct pool_entry *o)
{
  return (o->n_ejected + 1) * 100 <= o->n_vms * EJECT_MAX_PERCENT;
}

static void
record_failure (struct vm_entry *e, int64_t now_ms)
{
  if (++e->failures < EJECT_AFTER_FAILURES && e->probe_interval_ms == 0)
    return;
  if (e->probe_interval_ms == 0)
    g_ptr_array_add (e->pool->failing_vms, e);
  e->probe_interval_ms = e->probe_interval_ms == 0
                             ? EJECT_FIRST_MS
                             : MIN (e->probe_interval_ms * 2, EJECT_MAX_MS);
  e->probe_at_ms = now_ms + e->probe_interval_ms;
  if (!e->is_ejected && may_eject (e->pool))
    {
      e->is_ejected = true;
      e->pool->n_ejected++;
    }
  update_earliest_probe (e->pool);
}

/* Following the fleet. */

static void
leave_pool (struct vm_entry *e)
{
  clear_failures (e);
  e->is_serving = false;
  update_entry (e);
  e->pool->n_vms--;
}

static struct vm_entry *
vm_entry_new (struct slot_table *table, const struct fleet_vm *v)
{
  struct vm_entry *e = g_new0 (struct vm_entry, 1);

  e->vm = g_strdup (v->vm);
  e->pool = find_or_add_pool (table, v->pool);
  e->pool->n_vms++;
  e->bucket = NO_BUCKET;
  g_hash_table_insert (table->vms, e->vm, e);
  return e;
}

static void
sync_vm (struct slot_table *table, const struct fleet_vm *v)
{
  struct vm_entry *e = g_hash_table_lookup (table->vms, v->vm);

  if (e == NULL)
    e = vm_entry_new (table, v);
  if (strcmp (e->pool->name, v->pool) != 0)
    {
      leave_pool (e);
      e->pool = find_or_add_pool (table, v->pool);
      e->pool->n_vms++;
    }
  e->slots = v->slots;
  e->is_serving = v->phase == VM_SERVING;
  e->is_in_fleet = true;
  update_entry (e);
  if (e->probe_interval_ms != 0)
    update_earliest_probe (e->pool);
}

void
slot_table_sync (struct slot_table *table, const struct fleet *fleet)
{
  const GPtrArray *vms = fleet_vms (fleet);
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, table->vms);
  while (g_hash_table_iter_next (&i, NULL, &p))
    ((struct vm_entry *)p)->is_in_fleet = false;
  for (guint k = 0; k < vms->len; k++)
    sync_vm (table, g_ptr_array_index (vms, k));
  g_hash_table_iter_init (&i, table->vms);
  while (g_hash_table_iter_next (&i, NULL, &p))
    if (!((struct vm_entry *)p)->is_in_fleet)
      {
        leave_pool (p);
        g_hash_table_iter_remove (&i);
      }
}

void
slot_table_set_leaving (struct slot_table *table, const char *vm, bool leaving)
{
  struct vm_entry *e = g_hash_table_lookup (table->vms, vm);

  if (e == NULL || e->is_leaving == leaving)
    return;
  e->is_leaving = leaving;
  update_entry (e);
  if (e->probe_interval_ms != 0)
    update_earliest_probe (e->pool);
}

bool
slot_table_accepts_work (const struct slot_table *table, const char *vm,
                         const char *pool)
{
  const struct vm_entry *e = g_hash_table_lookup (table->vms, vm);

  return e != NULL && e->is_serving && !e->is_leaving
         && strcmp (e->pool->name, pool) == 0;
}

/* Acquiring and releasing slots. */

/* Return a failing VM of O that is due for a probe and is not AVOID, or
   NULL. */
static struct vm_entry *
find_due_probe (const struct pool_entry *o, const char *avoid, int64_t now_ms)
{
  if (now_ms < o->earliest_probe_ms)
    return NULL;
  for (guint i = 0; i < o->failing_vms->len; i++)
    {
      struct vm_entry *e = g_ptr_array_index (o->failing_vms, i);

      if (!e->is_probing && now_ms >= e->probe_at_ms && e->is_serving
          && !e->is_leaving && e->used < e->slots
          && strcmp (e->vm, avoid) != 0)
        return e;
    }
  return NULL;
}

/* Return a random VM of BUCKET that is not AVOID; NULL if it has no other. */
static struct vm_entry *
random_entry (const GPtrArray *bucket, const char *avoid, GRand *random)
{
  guint index = 0;
  struct vm_entry *e;

  if (bucket->len > 1)
    index = (guint)g_rand_int_range (random, 0, (gint32)bucket->len);
  e = g_ptr_array_index (bucket, index);
  if (avoid[0] == '\0' || strcmp (e->vm, avoid) != 0)
    return e;
  if (bucket->len <= 1)
    return NULL;
  return g_ptr_array_index (bucket, (index + 1) % bucket->len);
}

/* Return a random one of O's VMs with the most free slots; AVOID only if no
   other has one, NULL if none has. */
static struct vm_entry *
find_most_free (const struct slot_table *table, const struct pool_entry *o,
                const char *avoid)
{
  uint64_t buckets = o->nonempty_buckets;

  while (buckets != 0)
    {
      int bucket = 63 - __builtin_clzll (buckets);
      struct vm_entry *e
          = random_entry (o->buckets[bucket], avoid, table->random);

      if (e != NULL)
        return e;
      buckets &= ~(UINT64_C (1) << bucket);
    }
  if (o->nonempty_buckets == 0)
    return NULL;
  /* Only AVOID has a free slot. */
  return g_hash_table_lookup (table->vms, avoid);
}

const char *
slot_table_acquire (struct slot_table *table, const char *pool,
                    const char *avoid, bool may_probe, int64_t now_ms)
{
  struct pool_entry *o = g_hash_table_lookup (table->pools, pool);
  struct vm_entry *e = NULL;

  if (o == NULL)
    return NULL;
  if (may_probe)
    e = find_due_probe (o, avoid, now_ms);
  if (e == NULL)
    e = find_most_free (table, o, avoid);
  if (e == NULL)
    return NULL;
  e->used++;
  if (e->probe_interval_ms != 0)
    {
      e->is_probing = true;
      update_earliest_probe (o);
    }
  update_entry (e);
  return e->vm;
}

void
slot_table_count_used (struct slot_table *table, const char *vm)
{
  struct vm_entry *e = g_hash_table_lookup (table->vms, vm);

  if (e == NULL)
    return;
  e->used++;
  update_entry (e);
}

void
slot_table_release (struct slot_table *table, const char *vm,
                    enum run_result result, int64_t now_ms)
{
  struct vm_entry *e = g_hash_table_lookup (table->vms, vm);

  if (e == NULL)
    return;
  if (e->used > 0)
    e->used--;
  e->is_probing = false;
  switch (result)
    {
    case RUN_ANSWERED:
    case RUN_TOO_LARGE:
      clear_failures (e);
      break;
    case RUN_NOT_STARTED:
    case RUN_FAILED:
    case RUN_LOST:
    case RUN_TRUNCATED:
      record_failure (e, now_ms);
      break;
    case RUN_NOT_SENT:
    case RUN_TIMED_OUT:
    case RUN_ABANDONED:
    case RUN_RESULT_COUNT:
      if (e->probe_interval_ms != 0)
        update_earliest_probe (e->pool);
      break;
    }
  update_entry (e);
}

uint32_t
slot_table_vm_used (const struct slot_table *table, const char *vm)
{
  const struct vm_entry *e = g_hash_table_lookup (table->vms, vm);

  return e == NULL ? 0 : e->used;
}

uint32_t
slot_table_pool_slots (const struct slot_table *table, const char *pool,
                       uint32_t *used)
{
  const struct pool_entry *o = g_hash_table_lookup (table->pools, pool);

  if (used != NULL)
    *used = o == NULL ? 0 : o->used;
  return o == NULL ? 0 : o->slots;
}

bool
slot_table_is_ejected (const struct slot_table *table, const char *vm,
                       int64_t now_ms)
{
  const struct vm_entry *e = g_hash_table_lookup (table->vms, vm);

  return e != NULL && e->is_ejected;
}
