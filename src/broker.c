#include "broker.h"

#include "pool.h"

#include <string.h>

#define GRANT_VALID_MS 1000
#define SLOT_LEASE_MS 6000
#define QUEUE_MAX 20000

/* A slot in use, kept under a lease of the node that uses it. */
struct grant
{
  char *node;
  uint64_t incarnation;
  uint64_t request;
  uint32_t attempt;
  char *vm;
  struct pool *pool;
  enum lane lane;
  struct quota_team *team;   /* NULL if granted by an earlier owner */
  struct estimate *estimate; /* NULL if granted by an earlier owner */
  int64_t granted_ms;
  int64_t lapses_ms;
  bool straggler;
  GSequenceIter *timer;
  int64_t due_ms; /* when the timer looks at it */
};

struct broker
{
  struct place *place;
  GHashTable *pools;   /* name -> struct pool * */
  GHashTable *waiting; /* struct waiting * as a set, by node and request */
  GHashTable *grants;  /* struct grant * as a set, by node and request */
  GSequence *timers;   /* struct grant * by due_ms */
};

static guint
waiting_hash (gconstpointer p)
{
  const struct waiting *w = p;

  return g_str_hash (w->node) ^ (guint)w->request;
}

static gboolean
waiting_equal (gconstpointer a, gconstpointer b)
{
  const struct waiting *x = a;
  const struct waiting *y = b;

  return x->request == y->request && strcmp (x->node, y->node) == 0;
}

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
destroy_pool (gpointer p)
{
  pool_destroy (p);
}

struct broker *
broker_new (uint64_t seed)
{
  struct broker *b = g_new0 (struct broker, 1);

  b->place = place_new (seed);
  b->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_pool);
  b->waiting = g_hash_table_new (waiting_hash, waiting_equal);
  b->grants
      = g_hash_table_new_full (grant_hash, grant_equal, grant_free, NULL);
  b->timers = g_sequence_new (NULL);
  return b;
}

void
broker_destroy (struct broker *broker)
{
  if (broker == NULL)
    return;
  g_sequence_free (broker->timers);
  g_hash_table_unref (broker->grants);
  g_hash_table_unref (broker->waiting);
  g_hash_table_unref (broker->pools);
  place_destroy (broker->place);
  g_free (broker);
}

static struct pool *
pool_of (struct broker *b, const struct turn *t, const char *name)
{
  struct pool *o = g_hash_table_lookup (b->pools, name);

  if (o == NULL)
    {
      o = pool_new (name);
      g_hash_table_insert (b->pools, o->name, o);
    }
  pool_sync (o, t->fleet);
  return o;
}

/* Grants. */

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct grant *x = a;
  const struct grant *y = b;

  return x->due_ms < y->due_ms ? -1 : x->due_ms > y->due_ms;
}

/* Look at G again when its lease lapses or it becomes a straggler. */
static void
set_timer (struct broker *b, struct grant *g)
{
  g->due_ms = g->lapses_ms;
  if (g->estimate != NULL && !g->straggler)
    g->due_ms
        = MIN (g->due_ms, g->granted_ms + estimate_straggler_ms (g->estimate));
  g->timer = g_sequence_insert_sorted (b->timers, g, compare_due, NULL);
}

static struct grant *
find_grant (struct broker *b, const char *node, uint64_t request)
{
  struct grant probe = { .node = (char *)node, .request = request };

  return g_hash_table_lookup (b->grants, &probe);
}

static struct waiting *
find_waiting (struct broker *b, const char *node, uint64_t request)
{
  struct waiting probe = { .node = (char *)node, .request = request };

  return g_hash_table_lookup (b->waiting, &probe);
}

static bool
has_run (enum run_result result)
{
  return result == RUN_ANSWERED || result == RUN_TIMED_OUT;
}

static void
drop_grant (struct broker *b, struct turn *t, struct grant *g,
            enum run_result result)
{
  place_give (b->place, g->vm, result, t->now_ms);
  if (g->straggler)
    g->pool->stragglers--;
  else
    g->pool->running[g->lane]--;
  if (g->team != NULL)
    g->team->used--;
  if (g->estimate != NULL && has_run (result))
    estimate_note (g->estimate, t->now_ms - g->granted_ms);
  g_sequence_remove (g->timer);
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

/* Admission. */

static uint32_t
slots_of (const struct broker *b, const struct pool *o)
{
  return place_slots (b->place, o->name, NULL);
}

/* Take W out of what waits. */
static void
unqueue (struct broker *b, struct pool *o, struct waiting *w)
{
  g_hash_table_remove (b->waiting, w);
  queue_remove (o->queue, w);
}

/* Refuse W, which waits, for REASON. */
static void
turn_away (struct broker *b, struct turn *t, struct waiting *w,
           enum reason reason)
{
  struct pool *o = w->pool;
  struct admit_load l = pool_load_before (o, w, slots_of (b, o));
  int64_t wait_ms = admit_wait_ms (&l);
  int64_t excess_ms = wait_ms - (w->start_by_ms - t->now_ms);

  refuse (t, w, reason,
          admit_retry_after_ms (&o->admit[w->lane], &l, excess_ms, t->now_ms));
  unqueue (b, o, w);
  waiting_destroy (w);
}

/* Why W, which has just joined the queue, is not to wait in it. */
static enum reason
check_wait (const struct broker *b, const struct turn *t,
            const struct waiting *w)
{
  const struct pool *o = w->pool;
  struct admit_load l = pool_load_before (o, w, slots_of (b, o));
  uint32_t slots = slots_of (b, o);

  if (queue_length (o->queue, w->lane) > QUEUE_MAX)
    return REASON_QUEUE_FULL;
  if (slots == 0
      || !admit_is_too_late (admit_wait_ms (&l), w->start_by_ms - t->now_ms))
    return REASON_NONE;
  if (!quota_is_within (o->quota, w->team, slots)
      && quota_is_contended (o->quota, w->team))
    return REASON_QUOTA;
  return REASON_TOO_LATE;
}

static struct waiting *
waiting_from_ask (struct broker *b, const struct turn *t,
                  const struct peer_message *m)
{
  const struct peer_slot_ask *a = &m->u.slot_ask;
  struct pool *o = pool_of (b, t, a->pool);
  const struct config_class *k = pool_class (o, t->fleet, a->class_name);
  struct waiting *w = g_new0 (struct waiting, 1);

  w->node = g_strdup (m->from);
  w->incarnation = m->incarnation;
  w->request = a->request;
  w->attempt = a->attempt;
  w->pool = o;
  w->class_name = g_strdup (a->class_name);
  w->team = quota_team (o->quota, a->team);
  w->avoid = g_strdup (a->avoid);
  w->start_by_ms = t->now_ms + a->wait_ms;
  w->target_ms = k != NULL ? k->start_within_ms : a->wait_ms;
  w->lane = pool_lane (o, k);
  w->may_probe = k == NULL || k->idempotent || !o->has_idempotent;
  w->run_us = estimate_mean_us (
      pool_estimate (o, a->class_name, MAX (a->run_ms, 1)));
  return w;
}

static void
ask (struct broker *b, struct turn *t, const struct peer_message *m)
{
  struct waiting *w = waiting_from_ask (b, t, m);
  struct waiting *before = find_waiting (b, w->node, w->request);
  struct grant *old = find_grant (b, w->node, w->request);
  enum reason reason = REASON_NONE;

  /* An ask for another attempt takes the place of what went before. */
  if (old != NULL)
    drop_grant (b, t, old, RUN_ABANDONED);
  if (before != NULL)
    {
      unqueue (b, before->pool, before);
      waiting_destroy (before);
    }
  queue_push (w->pool->queue, w);
  g_hash_table_add (b->waiting, w);
  if (before == NULL)
    reason = check_wait (b, t, w);
  if (reason != REASON_NONE)
    turn_away (b, t, w, reason);
}

static void
cancel (struct broker *b, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_cancel *c = &m->u.slot_cancel;
  struct grant *g = find_grant (b, m->from, c->request);
  struct waiting *w = find_waiting (b, m->from, c->request);

  if (g != NULL && g->attempt == c->attempt)
    drop_grant (b, t, g, RUN_ABANDONED);
  if (w == NULL)
    return;
  unqueue (b, w->pool, w);
  waiting_destroy (w);
}

static void
take_back (struct broker *b, struct turn *t, const struct peer_message *m)
{
  struct grant *g = find_grant (b, m->from, m->u.slot_return.request);

  if (g != NULL && g->attempt == m->u.slot_return.attempt)
    drop_grant (b, t, g, m->u.slot_return.result);
}

static struct grant *
add_grant (struct broker *b, const struct turn *t, struct pool *o,
           const char *vm)
{
  struct grant *g = g_new0 (struct grant, 1);

  g->vm = g_strdup (vm);
  g->pool = o;
  g->granted_ms = t->now_ms;
  g->lapses_ms = t->now_ms + SLOT_LEASE_MS;
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
  g = add_grant (b, t, pool_of (b, t, h->pool), h->vm);
  g->node = g_strdup (m->from);
  g->incarnation = m->incarnation;
  g->request = h->request;
  g->attempt = h->attempt;
  g_hash_table_add (b->grants, g);
  set_timer (b, g);
  g->pool->running[g->lane]++;
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
    case PEER_VM_NEWS:
    case PEER_KEY_CANCEL:
    case PEER_KEY_CANCELLED:
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
  struct grant *g = add_grant (b, t, w->pool, vm);

  g->node = g_strdup (w->node);
  g->incarnation = w->incarnation;
  g->request = w->request;
  g->attempt = w->attempt;
  g->lane = w->lane;
  g->team = w->team;
  g->estimate = pool_estimate (w->pool, w->class_name, w->run_us / 1000);
  g_hash_table_add (b->grants, g);
  set_timer (b, g);
  w->team->used++;
  w->pool->running[w->lane]++;
  p->u.slot_grant.request = w->request;
  p->u.slot_grant.attempt = w->attempt;
  p->u.slot_grant.vm = g_strdup (vm);
  p->u.slot_grant.valid_ms = GRANT_VALID_MS;
  turn_send (t, w->node, p);
  counters_add (t->counters, COUNTER_GRANTS, 1);
}

static void
expire (struct broker *b, struct turn *t, struct pool *o, enum lane lane)
{
  struct waiting *w;

  while ((w = queue_earliest (o->queue, lane)) != NULL
         && w->start_by_ms < t->now_ms)
    turn_away (b, t, w, slots_of (b, o) == 0 ? REASON_NO_VM : REASON_TOO_LATE);
  admit_note (&o->admit[lane], w != NULL, t->now_ms);
}

static void
step_pool (struct broker *b, struct turn *t, struct pool *o)
{
  struct waiting *w;

  expire (b, t, o, LANE_URGENT);
  expire (b, t, o, LANE_PATIENT);
  while ((w = pool_choose (o, slots_of (b, o), t->now_ms)) != NULL)
    {
      const char *vm
          = place_take (b->place, o->name, w->avoid, w->may_probe, t->now_ms);

      if (vm == NULL)
        return;
      unqueue (b, o, w);
      grant (b, t, w, vm);
      waiting_destroy (w);
    }
}

static void
look_at (struct broker *b, struct turn *t, struct grant *g)
{
  if (g->lapses_ms <= t->now_ms)
    {
      drop_grant (b, t, g, RUN_ABANDONED);
      return;
    }
  if (!g->straggler && g->estimate != NULL
      && t->now_ms - g->granted_ms >= estimate_straggler_ms (g->estimate))
    {
      g->straggler = true;
      g->pool->running[g->lane]--;
      g->pool->stragglers++;
    }
  g_sequence_remove (g->timer);
  set_timer (b, g);
}

static void
step_timers (struct broker *b, struct turn *t)
{
  GSequenceIter *i;

  while (!g_sequence_iter_is_end (i = g_sequence_get_begin_iter (b->timers)))
    {
      struct grant *g = g_sequence_get (i);

      if (g->due_ms > t->now_ms)
        return;
      look_at (b, t, g);
    }
}

void
broker_step (struct broker *broker, struct turn *turn)
{
  GHashTableIter i;
  gpointer o;

  step_timers (broker, turn);
  g_hash_table_iter_init (&i, broker->pools);
  while (g_hash_table_iter_next (&i, NULL, &o))
    step_pool (broker, turn, o);
}

struct place *
broker_place (struct broker *broker)
{
  return broker->place;
}

uint32_t
broker_waiting (const struct broker *broker, const char *pool)
{
  const struct pool *o = g_hash_table_lookup (broker->pools, pool);

  if (o == NULL)
    return 0;
  return queue_length (o->queue, LANE_URGENT)
         + queue_length (o->queue, LANE_PATIENT);
}
