#include "moves.h"

#include <string.h>

/* VMs on their way into one pool at once. */
#define COMING_MAX 2

/* How full a pool may be that lends, in percent of what it keeps. */
#define SPARE_LENDS_AT_PERCENT 50
#define OTHER_LENDS_AT_PERCENT 25

struct history
{
  int64_t need_since_ms; /* -1: not in need */
  int64_t idle_since_ms; /* -1: not idle */
};

struct moves
{
  GHashTable *pools; /* name -> struct history * */
};

struct moves *
moves_new (void)
{
  struct moves *m = g_new0 (struct moves, 1);

  m->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return m;
}

void
moves_destroy (struct moves *moves)
{
  if (moves == NULL)
    return;
  g_hash_table_unref (moves->pools);
  g_free (moves);
}

static struct history *
history_of (struct moves *m, const char *pool)
{
  struct history *h = g_hash_table_lookup (m->pools, pool);

  if (h != NULL)
    return h;
  h = g_new0 (struct history, 1);
  h->need_since_ms = -1;
  h->idle_since_ms = -1;
  g_hash_table_insert (m->pools, g_strdup (pool), h);
  return h;
}

/* Whether the queue of L outlasts a move, with the VMs that are coming. */
static bool
is_in_need (const struct move_load *l)
{
  uint32_t slots = l->slots + l->coming * l->vm_slots;

  if (l->waiting == 0)
    return false;
  if (slots == 0)
    return true;
  return (int64_t)l->waiting * l->run_ms / slots > MOVES_COST_MS;
}

/* Whether L would be well off without one of its VMs. */
static bool
is_idle (const struct move_load *l)
{
  uint32_t percent
      = l->spare ? SPARE_LENDS_AT_PERCENT : OTHER_LENDS_AT_PERCENT;
  uint32_t kept = l->slots > l->vm_slots ? l->slots - l->vm_slots : 0;

  return l->waiting == 0 && l->used * 100 <= kept * percent;
}

static void
note (int64_t *since_ms, bool holds, int64_t now_ms)
{
  if (!holds)
    *since_ms = -1;
  else if (*since_ms < 0)
    *since_ms = now_ms;
}

void
moves_note (struct moves *moves, const struct move_load *loads, guint n,
            int64_t now_ms)
{
  for (guint i = 0; i < n; i++)
    {
      struct history *h = history_of (moves, loads[i].pool);

      note (&h->need_since_ms, is_in_need (&loads[i]), now_ms);
      note (&h->idle_since_ms, is_idle (&loads[i]), now_ms);
    }
}

static bool
has_lasted (int64_t since_ms, int64_t for_ms, int64_t now_ms)
{
  return since_ms >= 0 && now_ms - since_ms >= for_ms;
}

static bool
may_lend (struct moves *m, const struct move_load *l, int64_t for_ms,
          int64_t now_ms)
{
  return l->may_shrink && l->going == 0 && l->coming == 0
         && has_lasted (history_of (m, l->pool)->idle_since_ms, for_ms,
                        now_ms);
}

/* The pool in the greatest need, or NULL. */
static const struct move_load *
choose_needy (struct moves *m, const struct move_load *loads, guint n,
              int64_t now_ms)
{
  const struct move_load *best = NULL;

  for (guint i = 0; i < n; i++)
    {
      const struct move_load *l = &loads[i];

      if (l->coming >= COMING_MAX
          || !has_lasted (history_of (m, l->pool)->need_since_ms,
                          MOVES_NEED_MS, now_ms))
        continue;
      if (best == NULL
          || (int64_t)l->waiting * l->run_ms
                 > (int64_t)best->waiting * best->run_ms)
        best = l;
    }
  return best;
}

/* Whether A lends rather than B: the spare pool first, then the emptier. */
static bool
lends_rather (const struct move_load *a, const struct move_load *b)
{
  if (b == NULL)
    return true;
  if (a->spare != b->spare)
    return a->spare;
  return (uint64_t)a->used * b->slots < (uint64_t)b->used * a->slots;
}

static const struct move_load *
choose_lender (struct moves *m, const struct move_load *loads, guint n,
               int64_t now_ms)
{
  const struct move_load *best = NULL;

  for (guint i = 0; i < n; i++)
    if (may_lend (m, &loads[i], MOVES_IDLE_MS, now_ms)
        && lends_rather (&loads[i], best))
      best = &loads[i];
  return best;
}

bool
moves_choose (struct moves *moves, const struct move_load *loads, guint n,
              int64_t now_ms, struct move *out)
{
  const struct move_load *needy = choose_needy (moves, loads, n, now_ms);

  if (needy != NULL)
    {
      const struct move_load *lender = choose_lender (moves, loads, n, now_ms);

      if (lender == NULL)
        return false;
      *out = (struct move){ lender->pool, needy->pool, false };
      return true;
    }
  for (guint i = 0; i < n; i++)
    {
      if (loads[i].lent == 0
          || !may_lend (moves, &loads[i], MOVES_GIVE_BACK_MS, now_ms))
        continue;
      *out = (struct move){ loads[i].pool, NULL, true };
      return true;
    }
  return false;
}
