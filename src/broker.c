#include "broker.h"

#include "queue.h"

#include <string.h>

#define GRANT_VALID_MS 1000
#define SLOT_LEASE_MS 6000
#define QUEUE_MAX 20000
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 30000

/* A slot in use, kept under a lease of the node that uses it. */
struct grant
{
  char *node;
  uint64_t incarnation;
  uint64_t request;
  uint32_t attempt;
  char *vm;
  int64_t lapses_ms;
};

struct broker
{
  struct place *place;
  GHashTable *queues; /* pool -> struct queue * */
  GHashTable *grants; /* struct grant * as a set, by node and request */
};

static guint
grant_hash (gconstpointer p)
{
  const struct grant *g = p;

  return g_str_hash (g->node) ^ (guint)g->request;
}

static gboolean
grant_equal (gconstpointer a, gconstpointer b)
{
  const struct grant *x = a;
  const struct grant *y = b;

  return x->request == y->request && strcmp (x->node, y->node) == 0;
}

static void
grant_free (gpointer p)
{
  struct grant *g = p;

  g_free (g->node);
  g_free (g->vm);
  g_free (g);
}

static void
queue_free (gpointer p)
{
  queue_destroy (p);
}

struct broker *
broker_new (uint64_t seed)
{
  struct broker *b = g_new0 (struct broker, 1);

  b->place = place_new (seed);
  b->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, queue_free);
  b->grants
      = g_hash_table_new_full (grant_hash, grant_equal, grant_free, NULL);
  return b;
}

void
broker_destroy (struct broker *broker)
{
  if (broker == NULL)
    return;
  g_hash_table_unref (broker->grants);
  g_hash_table_unref (broker->queues);
  place_destroy (broker->place);
  g_free (broker);
}

static struct queue *
queue_of (struct broker *b, const char *pool)
{
  struct queue *q = g_hash_table_lookup (b->queues, pool);

  if (q == NULL)
    {
      q = queue_new ();
      g_hash_table_insert (b->queues, g_strdup (pool), q);
    }
  return q;
}

static struct grant *
find_grant (struct broker *b, const char *node, uint64_t request)
{
  struct grant probe = { .node = (char *)node, .request = request };

  return g_hash_table_lookup (b->grants, &probe);
}

static void
drop_grant (struct broker *b, struct turn *t, struct grant *g,
            enum run_result result)
{
  place_give (b->place, g->vm, result, t->now_ms);
  g_hash_table_remove (b->grants, g);
}

static void
refuse (struct turn *t, const struct waiting *w, enum reason reason,
        int64_t retry_after_ms)
{
  struct peer_message *p = turn_peer (t, PEER_SLOT_REFUSE);

  p->u.slot_refuse.request = w->request;
  p->u.slot_refuse.attempt = w->attempt;
  p->u.slot_refuse.reason = reason;
  p->u.slot_refuse.retry_after_ms = retry_after_ms;
  turn_send (t, w->node, p);
}

/* How long until a slot is likely free for one who joins the end of Q. */
static int64_t
likely_wait_ms (const struct broker *b, const struct queue *q,
                const char *pool, int64_t run_ms)
{
  uint32_t slots = place_slots (b->place, pool, NULL);

  if (slots == 0)
    return RETRY_AFTER_MAX_MS;
  return (int64_t)queue_length (q) * run_ms / slots;
}

static int64_t
retry_after (int64_t wait_ms)
{
  return CLAMP (wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static struct waiting *
waiting_from_ask (const struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_ask *a = &m->u.slot_ask;
  struct waiting *w = g_new0 (struct waiting, 1);

  w->node = g_strdup (m->from);
  w->incarnation = m->incarnation;
  w->request = a->request;
  w->attempt = a->attempt;
  w->class_name = g_strdup (a->class_name);
  w->team = g_strdup (a->team);
  w->avoid = g_strdup (a->avoid);
  w->start_by_ms = t->now_ms + a->wait_ms;
  w->run_ms = MAX (a->run_ms, 1);
  return w;
}

static void
ask (struct broker *b, struct turn *t, const struct peer_message *m)
{
  const char *pool = m->u.slot_ask.pool;
  struct queue *q = queue_of (b, pool);
  struct waiting *w = waiting_from_ask (t, m);
  struct grant *old = find_grant (b, w->node, w->request);

  /* An ask for another attempt takes the place of what went before. */
  waiting_destroy (queue_remove (q, w->node, w->request));
  if (old != NULL)
    drop_grant (b, t, old, RUN_ABANDONED);
  if (queue_length (q) >= QUEUE_MAX)
    {
      refuse (t, w, REASON_QUEUE_FULL,
              retry_after (likely_wait_ms (b, q, pool, w->run_ms)));
      waiting_destroy (w);
      return;
    }
  queue_push (q, w);
}

static void
cancel (struct broker *b, struct turn *t, const struct peer_message *m)
{
  GHashTableIter i;
  gpointer q;
  struct grant *g = find_grant (b, m->from, m->u.slot_cancel.request);

  if (g != NULL && g->attempt == m->u.slot_cancel.attempt)
    drop_grant (b, t, g, RUN_ABANDONED);
  g_hash_table_iter_init (&i, b->queues);
  while (g_hash_table_iter_next (&i, NULL, &q))
    waiting_destroy (queue_remove (q, m->from, m->u.slot_cancel.request));
}

static void
take_back (struct broker *b, struct turn *t, const struct peer_message *m)
{
  struct grant *g = find_grant (b, m->from, m->u.slot_return.request);

  if (g != NULL && g->attempt == m->u.slot_return.attempt)
    drop_grant (b, t, g, m->u.slot_return.result);
}

static struct grant *
add_grant (struct broker *b, const struct turn *t, const char *node,
           uint64_t incarnation, uint64_t request, uint32_t attempt,
           const char *vm)
{
  struct grant *g = g_new0 (struct grant, 1);

  g->node = g_strdup (node);
  g->incarnation = incarnation;
  g->request = request;
  g->attempt = attempt;
  g->vm = g_strdup (vm);
  g->lapses_ms = t->now_ms + SLOT_LEASE_MS;
  g_hash_table_add (b->grants, g);
  return g;
}

static void
hold (struct broker *b, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_hold *h = &m->u.slot_hold;
  struct grant *g = find_grant (b, m->from, h->request);

  if (g != NULL && g->attempt == h->attempt)
    {
      g->lapses_ms = t->now_ms + SLOT_LEASE_MS;
      return;
    }
  if (g != NULL)
    return;
  add_grant (b, t, m->from, m->incarnation, h->request, h->attempt, h->vm);
  place_hold (b->place, h->vm);
}

void
broker_handle (struct broker *broker, struct turn *turn,
               const struct peer_message *message)
{
  switch (message->kind)
    {
    case PEER_SLOT_ASK:
      ask (broker, turn, message);
      break;
    case PEER_SLOT_RETURN:
      take_back (broker, turn, message);
      break;
    case PEER_SLOT_HOLD:
      hold (broker, turn, message);
      break;
    case PEER_SLOT_CANCEL:
      cancel (broker, turn, message);
      break;
    case PEER_HEARTBEAT:
    case PEER_SLOT_GRANT:
    case PEER_SLOT_REFUSE:
    case PEER_SNAPSHOT_ASK:
    case PEER_SNAPSHOT_PART:
    case PEER_KIND_COUNT:
      break;
    }
}

void
broker_sync (struct broker *broker, struct turn *turn)
{
  place_sync (broker->place, turn->fleet);
}

static void
grant (struct broker *b, struct turn *t, const struct waiting *w,
       const char *vm)
{
  struct peer_message *p = turn_peer (t, PEER_SLOT_GRANT);

  add_grant (b, t, w->node, w->incarnation, w->request, w->attempt, vm);
  p->u.slot_grant.request = w->request;
  p->u.slot_grant.attempt = w->attempt;
  p->u.slot_grant.vm = g_strdup (vm);
  p->u.slot_grant.valid_ms = GRANT_VALID_MS;
  turn_send (t, w->node, p);
  counters_add (t->counters, COUNTER_GRANTS, 1);
}

static void
step_queue (struct broker *b, struct turn *t, const char *pool,
            struct queue *q)
{
  struct waiting *w;

  while ((w = queue_expire (q, t->now_ms)) != NULL)
    {
      uint32_t slots = place_slots (b->place, pool, NULL);

      refuse (t, w, slots == 0 ? REASON_NO_VM : REASON_TOO_LATE,
              retry_after (likely_wait_ms (b, q, pool, w->run_ms)));
      waiting_destroy (w);
    }
  while (queue_peek (q) != NULL)
    {
      const char *vm
          = place_take (b->place, pool, queue_peek (q)->avoid, t->now_ms);

      if (vm == NULL)
        return;
      w = queue_pop (q);
      grant (b, t, w, vm);
      waiting_destroy (w);
    }
}

static void
take_back_lapsed (struct broker *b, struct turn *t)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, b->grants);
  while (g_hash_table_iter_next (&i, &p, NULL))
    {
      struct grant *g = p;

      if (g->lapses_ms > t->now_ms)
        continue;
      place_give (b->place, g->vm, RUN_ABANDONED, t->now_ms);
      g_hash_table_iter_remove (&i);
    }
}

void
broker_step (struct broker *broker, struct turn *turn)
{
  GHashTableIter i;
  gpointer pool;
  gpointer q;

  take_back_lapsed (broker, turn);
  g_hash_table_iter_init (&i, broker->queues);
  while (g_hash_table_iter_next (&i, &pool, &q))
    step_queue (broker, turn, pool, q);
}

struct place *
broker_place (struct broker *broker)
{
  return broker->place;
}

uint32_t
broker_waiting (const struct broker *broker, const char *pool)
{
  const struct queue *q = g_hash_table_lookup (broker->queues, pool);

  return q == NULL ? 0 : queue_length (q);
}
