#include "place.h"

#include <string.h>

#define EJECT_AFTER_FAILURES 3
#define EJECT_MS 2000
#define EJECT_MAX_PERCENT 30

struct seat
{
  char *vm;
  char *pool;
  uint32_t slots;
  uint32_t used;
  bool serving;
  bool leaving;
  bool listed;       /* seen in the last sync */
  uint32_t failures; /* in a row */
  int64_t ejected_until_ms;
  bool probing; /* one run is let through to see whether it has healed */
};

struct place
{
  GHashTable *seats; /* vm -> struct seat * */
  GHashTable *pools; /* pool -> GPtrArray of struct seat * (borrowed) */
  GRand *random;
};

static void
seat_free (gpointer p)
{
  struct seat *s = p;

  g_free (s->vm);
  g_free (s->pool);
  g_free (s);
}

static void
array_unref (gpointer p)
{
  g_ptr_array_unref (p);
}

struct place *
place_new (uint64_t seed)
{
  struct place *p = g_new0 (struct place, 1);

  p->seats = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, seat_free);
  p->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, array_unref);
  p->random = g_rand_new_with_seed ((guint32)seed);
  return p;
}

void
place_destroy (struct place *place)
{
  if (place == NULL)
    return;
  g_hash_table_unref (place->pools);
  g_hash_table_unref (place->seats);
  g_rand_free (place->random);
  g_free (place);
}

static void
sync_vm (struct place *place, const struct fleet_vm *v)
{
  struct seat *s = g_hash_table_lookup (place->seats, v->vm);
  GPtrArray *pool;

  if (s == NULL)
    {
      s = g_new0 (struct seat, 1);
      s->vm = g_strdup (v->vm);
      s->pool = g_strdup (v->pool);
      g_hash_table_insert (place->seats, s->vm, s);
    }
  if (strcmp (s->pool, v->pool) != 0)
    {
      g_free (s->pool);
      s->pool = g_strdup (v->pool);
      s->failures = 0;
      s->ejected_until_ms = 0;
    }
  s->slots = v->slots;
  s->serving = v->phase == VM_SERVING;
  pool = g_hash_table_lookup (place->pools, v->pool);
  if (pool == NULL)
    {
      pool = g_ptr_array_new ();
      g_hash_table_insert (place->pools, g_strdup (v->pool), pool);
    }
  g_ptr_array_add (pool, s);
}

void
place_sync (struct place *place, const struct fleet *fleet)
{
  const GPtrArray *vms = fleet_vms (fleet);

  g_hash_table_remove_all (place->pools);
  for (guint i = 0; i < vms->len; i++)
    sync_vm (place, g_ptr_array_index (vms, i));
}

void
place_set_leaving (struct place *place, const char *vm, bool leaving)
{
  struct seat *s = g_hash_table_lookup (place->seats, vm);

  if (s != NULL)
    s->leaving = leaving;
}

bool
place_is_open (const struct place *place, const char *vm, const char *pool)
{
  const struct seat *s = g_hash_table_lookup (place->seats, vm);

  return s != NULL && s->serving && !s->leaving && strcmp (s->pool, pool) == 0;
}

static bool
has_room (const struct seat *s, int64_t now_ms)
{
  if (!s->serving || s->leaving || s->used >= s->slots)
    return false;
  if (s->ejected_until_ms == 0)
    return true;
  /* An ejected VM gets one run at a time once its time is over. */
  return now_ms >= s->ejected_until_ms && !s->probing;
}

static bool
is_better (const struct seat *a, const struct seat *b, GRand *random)
{
  if (b == NULL)
    return true;
  if ((a->ejected_until_ms == 0) != (b->ejected_until_ms == 0))
    return a->ejected_until_ms != 0; /* a due probe goes first */
  if (a->used != b->used)
    return a->used < b->used;
  return g_rand_boolean (random);
}

const char *
place_take (struct place *place, const char *pool, const char *avoid,
            int64_t now_ms)
{
  const GPtrArray *seats = g_hash_table_lookup (place->pools, pool);
  struct seat *best = NULL;
  struct seat *last = NULL; /* the one to avoid, if nothing else has room */

  if (seats == NULL)
    return NULL;
  for (guint i = 0; i < seats->len; i++)
    {
      struct seat *s = g_ptr_array_index (seats, i);

      if (!has_room (s, now_ms))
        continue;
      if (strcmp (s->vm, avoid) == 0)
        last = s;
      else if (is_better (s, best, place->random))
        best = s;
    }
  if (best == NULL)
    best = last;
  if (best == NULL)
    return NULL;
  best->used++;
  if (best->ejected_until_ms != 0)
    best->probing = true;
  return best->vm;
}

void
place_hold (struct place *place, const char *vm)
{
  struct seat *s = g_hash_table_lookup (place->seats, vm);

  if (s != NULL)
    s->used++;
}

/* Whether one more VM of POOL may be set aside. */
static bool
may_eject (const struct place *place, const char *pool)
{
  const GPtrArray *seats = g_hash_table_lookup (place->pools, pool);
  guint ejected = 0;

  if (seats == NULL)
    return false;
  for (guint i = 0; i < seats->len; i++)
    ejected += ((struct seat *)g_ptr_array_index (seats, i))->ejected_until_ms
               != 0;
  return (ejected + 1) * 100 <= seats->len * EJECT_MAX_PERCENT;
}

static void
note_failure (struct place *place, struct seat *s, int64_t now_ms)
{
  s->failures++;
  if (s->ejected_until_ms != 0
      || (s->failures >= EJECT_AFTER_FAILURES && may_eject (place, s->pool)))
    s->ejected_until_ms = now_ms + EJECT_MS;
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
      s->failures = 0;
      s->ejected_until_ms = 0;
      break;
    case RUN_NOT_STARTED:
    case RUN_FAILED:
    case RUN_LOST:
    case RUN_TRUNCATED:
      note_failure (place, s, now_ms);
      break;
    case RUN_NOT_SENT:
    case RUN_TIMED_OUT:
    case RUN_ABANDONED:
    case RUN_RESULT_COUNT:
      break;
    }
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
  const GPtrArray *seats = g_hash_table_lookup (place->pools, pool);
  uint32_t slots = 0;
  uint32_t busy = 0;

  for (guint i = 0; seats != NULL && i < seats->len; i++)
    {
      const struct seat *s = g_ptr_array_index (seats, i);

      if (!s->serving || s->leaving)
        continue;
      slots += s->slots;
      busy += s->used;
    }
  if (used != NULL)
    *used = busy;
  return slots;
}

bool
place_is_ejected (const struct place *place, const char *vm, int64_t now_ms)
{
  const struct seat *s = g_hash_table_lookup (place->seats, vm);

  return s != NULL && s->ejected_until_ms > now_ms;
}
