#include "moves.h"

#include <string.h>

/* Maximum number of VMs that move to one pool at a time. */
#define INCOMING_MAX 2

/* Maximum slots in use of a pool that lends, in percent of the slots that it
   keeps. */
#define SPARE_POOL_LENDER_MAX_PERCENT 50
#define OTHER_POOL_LENDER_MAX_PERCENT 25

struct history
{
  int64_t need_since_ms; /* -1: needs no VM */
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

/* Whether the queue of L will last longer than a move, with the slots of the
   VMs that are moving to L counted in. */
static bool
needs_vm (const struct move_load *l)
{
  uint32_t slots = l->slots + l->vms_incoming * l->vm_slots;

  if (l->waiting == 0)
    return false;
  if (slots == 0)
    return true;
  return (int64_t)l->waiting * l->run_ms / slots > MOVES_COST_MS;
}

/* Whether L has no queue and can do without one of its VMs. */
static bool
is_idle (const struct move_load *l)
{
  uint32_t percent = l->is_spare ? SPARE_POOL_LENDER_MAX_PERCENT
                                 : OTHER_POOL_LENDER_MAX_PERCENT;
  uint32_t kept = l->slots > l->vm_slots ? l->slots - l->vm_slots : 0;

  return l->waiting == 0 && l->used * 100 <= kept * percent;
}

static void
update_since (int64_t *since_ms, bool is_true, int64_t now_ms)
{
  if (!is_true)
    *since_ms = -1;
  else if (*since_ms < 0)
    *since_ms = now_ms;
}

void
moves_record_loads (struct moves *moves, const struct move_load *loads,
                    guint n, int64_t now_ms)
{
  for (guint i = 0; i < n; i++)
    {
      struct history *h = history_of (moves, loads[i].pool);

      update_since (&h->need_since_ms, needs_vm (&loads[i]), now_ms);
      update_since (&h->idle_since_ms, is_idle (&loads[i]), now_ms);
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
  return l->may_shrink && l->vms_outgoing == 0 && l->vms_incoming == 0
         && has_lasted (history_of (m, l->pool)->idle_since_ms, for_ms,
                        now_ms);
}

/* Return the pool with the most queued work of those that have needed a VM for
   MOVES_NEED_MS, or NULL. */
static const struct move_load *
choose_borrower (struct moves *m, const struct move_load *loads, guint n,
                 int64_t now_ms)
{
  const struct move_load *best = NULL;

  for (guint i = 0; i < n; i++)
    {
      const struct move_load *l = &loads[i];

      if (l->vms_incoming >= INCOMING_MAX
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

/* Whether A is to lend rather than B (NULL for none): the spare pool comes
   first, then the pool with the smaller part of its slots in use. */
static bool
is_better_lender (const struct move_load *a, const struct move_load *b)
{
  if (b == NULL)
    return true;
  if (a->is_spare != b->is_spare)
    return a->is_spare;
  return (uint64_t)a->used * b->slots < (uint64_t)b->used * a->slots;
}

static const struct move_load *
choose_lender (struct moves *m, const struct move_load *loads, guint n,
               int64_t now_ms)
{
  const struct move_load *best = NULL;

  for (guint i = 0; i < n; i++)
    if (may_lend (m, &loads[i], MOVES_IDLE_MS, now_ms)
        && is_better_lender (&loads[i], best))
      best = &loads[i];
  return best;
}

bool
moves_choose (struct moves *moves, const struct move_load *loads, guint n,
              int64_t now_ms, struct move *out)
{
  const struct move_load *borrower = choose_borrower (moves, loads, n, now_ms);

  if (borrower != NULL)
    {
      const struct move_load *lender = choose_lender (moves, loads, n, now_ms);

      if (lender == NULL)
        return false;
      *out = (struct move){ lender->pool, borrower->pool, false };
      return true;
    }
  for (guint i = 0; i < n; i++)
    {
      if (loads[i].vms_borrowed == 0
          || !may_lend (moves, &loads[i], MOVES_RETURN_AFTER_MS, now_ms))
        continue;
      *out = (struct move){ loads[i].pool, NULL, true };
      return true;
    }
  return false;
}
