#include "place.h"

#include <string.h>

#define EJECT_AFTER_FAILURES 3
#define EJECT_MS 2000
#define EJECT_LONGEST_MS 8000 /* so that one that healed is soon tried */
#define EJECT_MAX_PERCENT 30

/* Seats stand in buckets by how many slots they have free.  Bucket 0 holds
   those that fail what they start while the ejection budget is spent: they
   are taken only when nothing else has room. */
#define N_BUCKETS 64
#define LAST_RESORT 0
#define NO_BUCKET (-1)

struct bay;

struct seat
{
  char *vm;
  struct bay *bay;
  uint32_t slots;
  uint32_t used;
  uint32_t counted_slots; /* as they stand in the bay's sums */
  uint32_t counted_used;
  bool serving;
  bool leaving;
  bool listed;       /* seen in the last sync */
  uint32_t failures; /* in a row */
  int64_t pause_ms;  /* between tries while it fails; 0 if it does not */
  int64_t try_at_ms; /* when it may be tried again */
  bool ejected;      /* gets nothing but tries */
  bool probing;      /* one run is let through to see whether it has healed */
  int bucket;
  guint place; /* in the bucket */
};

/* The seats of one pool. */
struct bay
{
  char *pool;
  GPtrArray *buckets[N_BUCKETS];
  uint64_t filled;    /* bit i: bucket i holds a seat */
  GPtrArray *failing; /* the ejected and those of the last resort */
  uint32_t n_ejected;
  int64_t next_probe_ms; /* no probe is due before */
  uint32_t seats;
  uint32_t slots;
  uint32_t used;
};

struct place
{
  GHashTable *seats; /* vm -> struct seat * */
  GHashTable *bays;  /* pool -> struct bay * */
  GRand *random;
};

static void
seat_free (gpointer p)
{
  struct seat *s = p;

  g_free (s->vm);
  g_free (s);
}

static void
bay_free (gpointer p)
{
  struct bay *b = p;

  for (int i = 0; i < N_BUCKETS; i++)
    g_ptr_array_unref (b->buckets[i]);
  g_ptr_array_unref (b->failing);
  g_free (b->pool);
  g_free (b);
}

struct place *
place_new (uint64_t seed)
{
  struct place *p = g_new0 (struct place, 1);

  p->seats = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, seat_free);
  p->bays = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, bay_free);
  p->random = g_rand_new_with_seed ((guint32)seed);
  return p;
}

void
place_destroy (struct place *place)
{
  if (place == NULL)
    return;
  g_hash_table_unref (place->seats);
  g_hash_table_unref (place->bays);
  g_rand_free (place->random);
  g_free (place);
}

static struct bay *
bay_of (struct place *place, const char *pool)
{
  struct bay *b = g_hash_table_lookup (place->bays, pool);

  if (b != NULL)
    return b;
  b = g_new0 (struct bay, 1);
  b->pool = g_strdup (pool);
  for (int i = 0; i < N_BUCKETS; i++)
    b->buckets[i] = g_ptr_array_new ();
  b->failing = g_ptr_array_new ();
  b->next_probe_ms = INT64_MAX;
  g_hash_table_insert (place->bays, b->pool, b);
  return b;
}

/* Buckets. */

static void
leave_bucket (struct seat *s)
{
  GPtrArray *bucket;

  if (s->bucket == NO_BUCKET)
    return;
  bucket = s->bay->buckets[s->bucket];
  g_ptr_array_remove_index_fast (bucket, s->place);
  if (s->place < bucket->len)
    ((struct seat *)g_ptr_array_index (bucket, s->place))->place = s->place;
  if (bucket->len == 0)
    s->bay->filled &= ~(UINT64_C (1) << s->bucket);
  s->bucket = NO_BUCKET;
}

static int
right_bucket (const struct seat *s)
{
  if (!s->serving || s->leaving || s->ejected || s->used >= s->slots)
    return NO_BUCKET;
  if (s->pause_ms != 0)
    return LAST_RESORT;
  return (int)MIN (s->slots - s->used, N_BUCKETS - 1);
}

/* Put S where it belongs, after anything about it has changed. */
static void
reseat (struct seat *s)
{
  int bucket = right_bucket (s);
  bool counts = s->serving && !s->leaving;
  struct bay *b = s->bay;

  b->slots -= s->counted_slots;
  b->used -= s->counted_used;
  s->counted_slots = counts ? s->slots : 0;
  s->counted_used = counts ? s->used : 0;
  b->slots += s->counted_slots;
  b->used += s->counted_used;
  if (bucket == s->bucket)
    return;
  leave_bucket (s);
  if (bucket == NO_BUCKET)
    return;
  s->bucket = bucket;
  s->place = b->buckets[bucket]->len;
  g_ptr_array_add (b->buckets[bucket], s);
  b->filled |= UINT64_C (1) << bucket;
}

/* Setting aside. */

static void
find_next_probe (struct bay *b)
{
  b->next_probe_ms = INT64_MAX;
  for (guint i = 0; i < b->failing->len; i++)
    {
      const struct seat *s = g_ptr_array_index (b->failing, i);

      if (!s->probing && s->serving && !s->leaving)
        b->next_probe_ms = MIN (b->next_probe_ms, s->try_at_ms);
    }
}

static void
heal (struct seat *s)
{
  s->failures = 0;
  if (s->pause_ms == 0)
    return;
  s->pause_ms = 0;
  s->bay->n_ejected -= s->ejected;
  s->ejected = false;
  g_ptr_array_remove_fast (s->bay->failing, s);
  find_next_probe (s->bay);
}

/* Whether one more VM of B may be set aside. */
static bool
may_eject (const struct bay *b)
{
  return (b->n_ejected + 1) * 100 <= b->seats * EJECT_MAX_PERCENT;
}

static void
note_failure (struct seat *s, int64_t now_ms)
{
  if (++s->failures < EJECT_AFTER_FAILURES && s->pause_ms == 0)
    return;
  if (s->pause_ms == 0)
    g_ptr_array_add (s->bay->failing, s);
  s->pause_ms
      = s->pause_ms == 0 ? EJECT_MS : MIN (s->pause_ms * 2, EJECT_LONGEST_MS);
  s->try_at_ms = now_ms + s->pause_ms;
  if (!s->ejected && may_eject (s->bay))
    {
      s->ejected = true;
      s->bay->n_ejected++;
    }
  find_next_probe (s->bay);
}

/* Taking in the fleet. */

static void
leave_bay (struct seat *s)
{
  heal (s);
  s->serving = false;
  reseat (s);
  s->bay->seats--;
}

static struct seat *
seat_new (struct place *place, const struct fleet_vm *v)
{
  struct seat *s = g_new0 (struct seat, 1);

  s->vm = g_strdup (v->vm);
  s->bay = bay_of (place, v->pool);
  s->bay->seats++;
  s->bucket = NO_BUCKET;
  g_hash_table_insert (place->seats, s->vm, s);
  return s;
}

static void
sync_vm (struct place *place, const struct fleet_vm *v)
{
  struct seat *s = g_hash_table_lookup (place->seats, v->vm);

  if (s == NULL)
    s = seat_new (place, v);
  if (strcmp (s->bay->pool, v->pool) != 0)
    {
      leave_bay (s);
      s->bay = bay_of (place, v->pool);
      s->bay->seats++;
    }
  s->slots = v->slots;
  s->serving = v->phase == VM_SERVING;
  s->listed = true;
  reseat (s);
  if (s->pause_ms != 0)
    find_next_probe (s->bay);
}

void
place_sync (struct place *place, const struct fleet *fleet)
{
  const GPtrArray *vms = fleet_vms (fleet);
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, place->seats);
  while (g_hash_table_iter_next (&i, NULL, &p))
    ((struct seat *)p)->listed = false;
  for (guint k = 0; k < vms->len; k++)
    sync_vm (place, g_ptr_array_index (vms, k));
  g_hash_table_iter_init (&i, place->seats);
  while (g_hash_table_iter_next (&i, NULL, &p))
    if (!((struct seat *)p)->listed)
      {
        leave_bay (p);
        g_hash_table_iter_remove (&i);
      }
}

void
place_set_leaving (struct place *place, const char *vm, bool leaving)
{
  struct seat *s = g_hash_table_lookup (place->seats, vm);

  if (s == NULL || s->leaving == leaving)
    return;
  s->leaving = leaving;
  reseat (s);
  if (s->pause_ms != 0)
    find_next_probe (s->bay);
}

bool
place_is_open (const struct place *place, const char *vm, const char *pool)
{
  const struct seat *s = g_hash_table_lookup (place->seats, vm);

  return s != NULL && s->serving && !s->leaving
         && strcmp (s->bay->pool, pool) == 0;
}

/* Taking and giving slots. */

/* Return a failing VM of B that is due to be tried, or NULL. */
static struct seat *
due_probe (const struct bay *b, const char *avoid, int64_t now_ms)
{
  if (now_ms < b->next_probe_ms)
    return NULL;
  for (guint i = 0; i < b->failing->len; i++)
    {
      struct seat *s = g_ptr_array_index (b->failing, i);

      if (!s->probing && now_ms >= s->try_at_ms && s->serving && !s->leaving
          && s->used < s->slots && strcmp (s->vm, avoid) != 0)
        return s;
    }
  return NULL;
}

/* Return one of BUCKET at random, but not AVOID; NULL if it has no other. */
static struct seat *
any_of (const GPtrArray *bucket, const char *avoid, GRand *random)
{
  guint place = 0;
  struct seat *s;

  if (bucket->len > 1)
    place = (guint)g_rand_int_range (random, 0, (gint32)bucket->len);
  s = g_ptr_array_index (bucket, place);
  if (avoid[0] == '\0' || strcmp (s->vm, avoid) != 0)
    return s;
  if (bucket->len <= 1)
    return NULL;
  return g_ptr_array_index (bucket, (place + 1) % bucket->len);
}

static struct seat *
roomiest (const struct place *place, const struct bay *b, const char *avoid)
{
  uint64_t left = b->filled;

  while (left != 0)
    {
      int bucket = 63 - __builtin_clzll (left);
      struct seat *s = any_of (b->buckets[bucket], avoid, place->random);

      if (s != NULL)
        return s;
      left &= ~(UINT64_C (1) << bucket);
    }
  if (b->filled == 0)
    return NULL;
  /* Only the one to avoid has room. */
  return g_hash_table_lookup (place->seats, avoid);
}

const char *
place_take (struct place *place, const char *pool, const char *avoid,
            bool may_probe, int64_t now_ms)
{
  struct bay *b = g_hash_table_lookup (place->bays, pool);
  struct seat *s = NULL;

  if (b == NULL)
    return NULL;
  if (may_probe)
    s = due_probe (b, avoid, now_ms);
  if (s == NULL)
    s = roomiest (place, b, avoid);
  if (s == NULL)
    return NULL;
  s->used++;
  if (s->pause_ms != 0)
    {
      s->probing = true;
      find_next_probe (b);
    }
  reseat (s);
  return s->vm;
}

void
place_hold (struct place *place, const char *vm)
{
  struct seat *s = g_hash_table_lookup (place->seats, vm);

  if (s == NULL)
    return;
  s->used++;
  reseat (s);
}

void
place_give (struct place *place, const char *vm, enum run_result result,
            int64_t now_ms)
{
  struct seat *s = g_hash_table_lookup (place->seats, vm);

  if (s == NULL)
    return;
  if (s->used > 0)
    s->used--;
  s->probing = false;
  switch (result)
    {
    case RUN_ANSWERED:
    case RUN_TOO_LARGE:
      heal (s);
      break;
    case RUN_NOT_STARTED:
    case RUN_FAILED:
    case RUN_LOST:
    case RUN_TRUNCATED:
      note_failure (s, now_ms);
      break;
    case RUN_NOT_SENT:
    case RUN_TIMED_OUT:
    case RUN_ABANDONED:
    case RUN_RESULT_COUNT:
      if (s->pause_ms != 0)
        find_next_probe (s->bay);
      break;
    }
  reseat (s);
}

uint32_t
place_used (const struct place *place, const char *vm)
{
  const struct seat *s = g_hash_table_lookup (place->seats, vm);

  return s == NULL ? 0 : s->used;
}

uint32_t
place_slots (const struct place *place, const char *pool, uint32_t *used)
{
  const struct bay *b = g_hash_table_lookup (place->bays, pool);

  if (used != NULL)
    *used = b == NULL ? 0 : b->used;
  return b == NULL ? 0 : b->slots;
}

bool
place_is_ejected (const struct place *place, const char *vm, int64_t now_ms)
{
  const struct seat *s = g_hash_table_lookup (place->seats, vm);

  return s != NULL && s->ejected;
}
