#include "run_times.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Each key has a ring of its last values and a sorted copy, which is made when
   a quantile is asked for and then kept: 0.75 KB a key, 0.4 MB in all.  Debian
   packages no histogram library for C; one HDR histogram of two digits up to
   an hour would take 15 KB a key and has no way to forget old values. */

/* Copies of a key that are remembered; then their counts are halved. */
#define COPIES_MAX 32
/* Copies that have to be known before a key gets none any more, because fewer
   than one in COPIES_PER_WIN ended first.  A copy takes up to as much of a
   worker as its task, and what it gains is a part of that. */
#define COPIES_MIN 8
#define COPIES_PER_WIN 8
/* Such a key gets copies again after this time, in case its load changed. */
#define COPIES_RETRY_MS 60000

struct value
{
  int32_t ms;
  int32_t at_s;
};

struct key_times
{
  char *key;
  GList link; /* in the list of keys by use; its data is this */
  struct value values[RUN_TIMES_VALUES];
  uint32_t n_values;
  uint32_t next; /* place of the next value */
  int32_t sorted_ms[RUN_TIMES_VALUES];
  uint32_t n_sorted;
  uint32_t copies;
  uint32_t copies_won;     /* that ended first */
  int64_t copied_ms;       /* when the last one ended or was overtaken */
  int64_t sorted_until_ms; /* when the sorted copy has to be made anew */
};

struct run_times
{
  GHashTable *keys; /* key to struct key_times * */
  GQueue by_use;    /* struct key_times *, the last used first */
};

static void
key_times_free (gpointer p)
{
  struct key_times *k = p;

  g_free (k->key);
  g_free (k);
}

struct run_times *
run_times_new (void)
{
  struct run_times *r = g_new0 (struct run_times, 1);

  r->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, key_times_free);
  g_queue_init (&r->by_use);
  return r;
}

void
run_times_destroy (struct run_times *r)
{
  if (r == NULL)
    return;
  g_hash_table_unref (r->keys);
  g_free (r);
}

static struct key_times *
find_key (struct run_times *r, const char *key)
{
  struct key_times *k = g_hash_table_lookup (r->keys, key);

  if (k == NULL)
    return NULL;
  g_queue_unlink (&r->by_use, &k->link);
  g_queue_push_head_link (&r->by_use, &k->link);
  return k;
}

static struct key_times *
add_key (struct run_times *r, const char *key)
{
  struct key_times *k = g_new0 (struct key_times, 1);

  if (g_hash_table_size (r->keys) >= RUN_TIMES_KEYS)
    {
      struct key_times *oldest = g_queue_peek_tail (&r->by_use);

      g_queue_unlink (&r->by_use, &oldest->link);
      g_hash_table_remove (r->keys, oldest->key);
    }
  k->key = g_strdup (key);
  k->link.data = k;
  g_hash_table_insert (r->keys, k->key, k);
  g_queue_push_head_link (&r->by_use, &k->link);
  return k;
}

/* Return when V is too old to count. */
static int64_t
expiry_ms (const struct value *v)
{
  return (int64_t)v->at_s * 1000 + RUN_TIMES_MAX_AGE_MS;
}

/* Return how many of the sorted values are below MS. */
static uint32_t
sorted_place (const struct key_times *k, int32_t ms)
{
  uint32_t low = 0, high = k->n_sorted;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (k->sorted_ms[middle] < ms)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
remove_sorted (struct key_times *k, int32_t ms)
{
  uint32_t place = sorted_place (k, ms);

  k->n_sorted--;
  memmove (&k->sorted_ms[place], &k->sorted_ms[place + 1],
           (k->n_sorted - place) * sizeof k->sorted_ms[0]);
}

static void
insert_sorted (struct key_times *k, int32_t ms)
{
  uint32_t place = sorted_place (k, ms);

  memmove (&k->sorted_ms[place + 1], &k->sorted_ms[place],
           (k->n_sorted - place) * sizeof k->sorted_ms[0]);
  k->sorted_ms[place] = ms;
  k->n_sorted++;
}

void
run_times_add (struct run_times *r, const char *key, int64_t value_ms,
               int64_t now_ms)
{
  struct key_times *k = find_key (r, key);
  struct value *v;
  bool is_sorted;

  if (k == NULL)
    k = add_key (r, key);
  v = &k->values[k->next];
  is_sorted = now_ms < k->sorted_until_ms;
  /* Until then the sorted copy has every recent value of the ring. */
  if (is_sorted && k->n_values == RUN_TIMES_VALUES && now_ms < expiry_ms (v))
    remove_sorted (k, v->ms);
  v->ms = (int32_t)CLAMP (value_ms, 0, G_MAXINT32);
  v->at_s = (int32_t)(now_ms / 1000);
  if (is_sorted)
    insert_sorted (k, v->ms);
  k->sorted_until_ms = MIN (k->sorted_until_ms, expiry_ms (v));
  k->next = (k->next + 1) % RUN_TIMES_VALUES;
  k->n_values = MIN (k->n_values + 1, RUN_TIMES_VALUES);
}

static int
compare_ms (const void *a, const void *b)
{
  int32_t x = *(const int32_t *)a, y = *(const int32_t *)b;

  return (x > y) - (x < y);
}

static void
sort_values (struct key_times *k, int64_t now_ms)
{
  int64_t until_ms = INT64_MAX;

  k->n_sorted = 0;
  for (uint32_t i = 0; i < k->n_values; i++)
    {
      const struct value *v = &k->values[i];

      if (now_ms >= expiry_ms (v))
        continue;
      k->sorted_ms[k->n_sorted++] = v->ms;
      until_ms = MIN (until_ms, expiry_ms (v));
    }
  qsort (k->sorted_ms, k->n_sorted, sizeof k->sorted_ms[0], compare_ms);
  k->sorted_until_ms = until_ms;
}

int64_t
run_times_quantile_ms (struct run_times *r, const char *key, uint32_t percent,
                       int64_t now_ms)
{
  struct key_times *k = find_key (r, key);

  if (k == NULL)
    return -1;
  if (now_ms >= k->sorted_until_ms)
    sort_values (k, now_ms);
  if (k->n_sorted < RUN_TIMES_MIN_VALUES)
    return -1;
  return k->sorted_ms[(k->n_sorted - 1) * MIN (percent, 100) / 100];
}

void
run_times_add_copy (struct run_times *r, const char *key, bool has_won,
                    int64_t now_ms)
{
  struct key_times *k = find_key (r, key);

  if (k == NULL)
    return;
  k->copies++;
  k->copies_won += has_won;
  k->copied_ms = now_ms;
  if (k->copies < COPIES_MAX)
    return;
  k->copies /= 2;
  k->copies_won /= 2;
}

bool
run_times_copies_pay (struct run_times *r, const char *key, int64_t now_ms)
{
  const struct key_times *k = find_key (r, key);

  return k == NULL || k->copies < COPIES_MIN
         || k->copies_won * COPIES_PER_WIN >= k->copies
         || now_ms >= k->copied_ms + COPIES_RETRY_MS;
}
