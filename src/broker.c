#include "broker.h"

#include "pool.h"

#include <string.h>

/* Sent in a grant: the time within which the node is to start the run. */
#define GRANT_VALID_MS 1000

/* Lease of a granted slot; a hold message of the node renews it. */
#define SLOT_LEASE_MS 6000

/* Maximum number of waiting requests in one lane of a pool. */
#define QUEUE_MAX 20000

/* A slot in use, reserved under a lease of the node that uses it. */
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
  int64_t expires_ms;
  bool is_straggler;
  GSequenceIter *due_iter;
  int64_t due_ms; /* next check of the lease and the run time */
};

struct broker
{
  struct slot_table *slot_table;
  GHashTable *pools;     /* name -> struct pool * */
  GHashTable *waiting;   /* set of struct waiting_request * */
  GHashTable *grants;    /* set of struct grant *; both by node and request */
  GSequence *due_grants; /* struct grant * by due_ms */
};

static guint
waiting_hash (gconstpointer p)
{
  const struct waiting_request *w = p;

  return g_str_hash (w->node) ^ (guint)w->request;
}

static gboolean
waiting_equal (gconstpointer a, gconstpointer b)
{
  const struct waiting_request *x = a;
  const struct waiting_request *y = b;

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

  b->slot_table = slot_table_new (seed);
  b->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_pool);
  b->waiting = g_hash_table_new (waiting_hash, waiting_equal);
  b->grants
      = g_hash_table_new_full (grant_hash, grant_equal, grant_free, NULL);
  b->due_grants = g_sequence_new (NULL);
  return b;
}

void
broker_destroy (struct broker *broker)
{
  if (broker == NULL)
    return;
  g_sequence_free (broker->due_grants);
  g_hash_table_unref (broker->grants);
  g_hash_table_unref (broker->waiting);
  g_hash_table_unref (broker->pools);
  slot_table_destroy (broker->slot_table);
  g_free (broker);
}

static struct pool *
find_or_add_pool (struct broker *b, const struct turn *t, const char *name)
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
compare_due_times (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct grant *x = a;
  const struct grant *y = b;

  return x->due_ms < y->due_ms ? -1 : x->due_ms > y->due_ms;
}

/* Schedule the next check of G for when its lease expires or its run becomes a
   straggler. */
static void
schedule_check (struct broker *b, struct grant *g)
{
  g->due_ms = g->expires_ms;
  if (g->estimate != NULL && !g->is_straggler)
    g->due_ms
        = MIN (g->due_ms, g->granted_ms + estimate_straggler_ms (g->estimate));
  g->due_iter
      = g_sequence_insert_sorted (b->due_grants, g, compare_due_times, NULL);
}

static struct grant *
find_grant (struct broker *b, const char *node, uint64_t request)
{
  struct grant key = { .node = (char *)node, .request = request };

  return g_hash_table_lookup (b->grants, &key);
}

static struct waiting_request *
find_waiting (struct broker *b, const char *node, uint64_t request)
{
  struct waiting_request key = { .node = (char *)node, .request = request };

  return g_hash_table_lookup (b->waiting, &key);
}

static bool
has_run_time (enum run_result result)
{
  return result == RUN_ANSWERED || result == RUN_TIMED_OUT;
}

static void
end_grant (struct broker *b, struct turn *t, struct grant *g,
           enum run_result result)
{
  slot_table_release (b->slot_table, g->vm, result, t->now_ms);
  if (g->is_straggler)
    g->pool->stragglers--;
  else
    g->pool->running[g->lane]--;
  if (g->team != NULL)
    g->team->used--;
  if (g->estimate != NULL && has_run_time (result))
    estimate_note (g->estimate, t->now_ms - g->granted_ms);
  g_sequence_remove (g->due_iter);
  g_hash_table_remove (b->grants, g);
}

static void
send_refusal (struct turn *t, const struct waiting_request *w,
              enum reason reason, int64_t retry_after_ms)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_REFUSE);

  p->u.slot_refuse.request = w->request;
  p->u.slot_refuse.attempt = w->attempt;
  p->u.slot_refuse.reason = reason;
  p->u.slot_refuse.retry_after_ms = retry_after_ms;
  turn_send (t, w->node, p);
}

/* Admission. */

static uint32_t
slots_in_service (const struct broker *b, const struct pool *o)
{
  return slot_table_pool_slots (b->slot_table, o->name, NULL);
}

/* Remove W from the waiting requests of O, without destroying it. */
static void
dequeue (struct broker *b, struct pool *o, struct waiting_request *w)
{
  g_hash_table_remove (b->waiting, w);
  queue_remove (o->queue, w);
}

/* Refuse W for REASON, remove it from its queue and destroy it. */
static void
refuse_request (struct broker *b, struct turn *t, struct waiting_request *w,
                enum reason reason)
{
  struct pool *o = w->pool;
  struct admit_load l = pool_load_ahead (o, w, slots_in_service (b, o));
  int64_t wait_ms = admit_wait_ms (&l);
  int64_t excess_ms = wait_ms - (w->start_by_ms - t->now_ms);

  send_refusal (
      t, w, reason,
      admit_retry_after_ms (&o->admit[w->lane], &l, excess_ms, t->now_ms));
  dequeue (b, o, w);
  waiting_request_destroy (w);
}

/* Return why W, which has just been queued, is to be refused; REASON_NONE if
   it may wait. */
static enum reason
check_wait (const struct broker *b, const struct turn *t,
            const struct waiting_request *w)
{
  const struct pool *o = w->pool;
  struct admit_load l = pool_load_ahead (o, w, slots_in_service (b, o));
  uint32_t slots = slots_in_service (b, o);

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

static struct waiting_request *
waiting_from_ask (struct broker *b, const struct turn *t,
                  const struct peer_message *m)
{
  const struct peer_slot_ask *a = &m->u.slot_ask;
  struct pool *o = find_or_add_pool (b, t, a->pool);
  const struct config_class *k = pool_class (o, t->fleet, a->class_name);
  struct waiting_request *w = g_new0 (struct waiting_request, 1);

  w->node = g_strdup (m->from);
  w->incarnation = m->incarnation;
  w->request = a->request;
  w->attempt = a->attempt;
  w->pool = o;
  w->class_name = g_strdup (a->class_name);
  w->team = quota_team (o->quota, a->team);
  w->avoid_vm = g_strdup (a->avoid_vm);
  w->start_by_ms = t->now_ms + a->wait_ms;
  w->target_ms = k != NULL ? k->start_within_ms : a->wait_ms;
  w->lane = pool_lane (o, k);
  w->may_probe = k == NULL || k->idempotent || !o->has_idempotent_class;
  w->run_us = estimate_mean_us (
      pool_estimate (o, a->class_name, MAX (a->run_ms, 1)));
  return w;
}

static void
handle_ask (struct broker *b, struct turn *t, const struct peer_message *m)
{
  struct waiting_request *w = waiting_from_ask (b, t, m);
  struct waiting_request *previous = find_waiting (b, w->node, w->request);
  struct grant *old_grant = find_grant (b, w->node, w->request);
  enum reason reason = REASON_NONE;

  /* An ask for another attempt replaces the previous attempt's request or
     grant. */
  if (old_grant != NULL)
    end_grant (b, t, old_grant, RUN_ABANDONED);
  if (previous != NULL)
    {
      dequeue (b, previous->pool, previous);
      waiting_request_destroy (previous);
    }
  queue_push (w->pool->queue, w);
  g_hash_table_add (b->waiting, w);
  if (previous == NULL)
    reason = check_wait (b, t, w);
  if (reason != REASON_NONE)
    refuse_request (b, t, w, reason);
}

static void
handle_cancel (struct broker *b, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_cancel *c = &m->u.slot_cancel;
  struct grant *g = find_grant (b, m->from, c->request);
  struct waiting_request *w = find_waiting (b, m->from, c->request);

  if (g != NULL && g->attempt == c->attempt)
    end_grant (b, t, g, RUN_ABANDONED);
  if (w == NULL)
    return;
  dequeue (b, w->pool, w);
  waiting_request_destroy (w);
}

static void
handle_return (struct broker *b, struct turn *t, const struct peer_message *m)
{
  struct grant *g = find_grant (b, m->from, m->u.slot_return.request);

  if (g != NULL && g->attempt == m->u.slot_return.attempt)
    end_grant (b, t, g, m->u.slot_return.result);
}

static struct grant *
new_grant (struct broker *b, const struct turn *t, struct pool *o,
           const char *vm)
{
  struct grant *g = g_new0 (struct grant, 1);

  g->vm = g_strdup (vm);
  g->pool = o;
  g->granted_ms = t->now_ms;
  g->expires_ms = t->now_ms + SLOT_LEASE_MS;
  return g;
}

static void
handle_hold (struct broker *b, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_hold *h = &m->u.slot_hold;
  struct grant *g = find_grant (b, m->from, h->request);

  if (g != NULL && g->attempt == h->attempt)
    {
      g->expires_ms = t->now_ms + SLOT_LEASE_MS;
      return;
    }
  if (g != NULL)
    return;
  g = new_grant (b, t, find_or_add_pool (b, t, h->pool), h->vm);
  g->node = g_strdup (m->from);
  g->incarnation = m->incarnation;
  g->request = h->request;
  g->attempt = h->attempt;
  g_hash_table_add (b->grants, g);
  schedule_check (b, g);
  g->pool->running[g->lane]++;
  slot_table_count_used (b->slot_table, h->vm);
}

void
broker_handle (struct broker *broker, struct turn *turn,
               const struct peer_message *message)
{
  switch (message->kind)
    {
    case PEER_SLOT_ASK:
      handle_ask (broker, turn, message);
      break;
    case PEER_SLOT_RETURN:
      handle_return (broker, turn, message);
      break;
    case PEER_SLOT_HOLD:
      handle_hold (broker, turn, message);
      break;
    case PEER_SLOT_CANCEL:
      handle_cancel (broker, turn, message);
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
  slot_table_sync (broker->slot_table, turn->fleet);
}

static void
grant_slot (struct broker *b, struct turn *t, const struct waiting_request *w,
            const char *vm)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_GRANT);
  struct grant *g = new_grant (b, t, w->pool, vm);

  g->node = g_strdup (w->node);
  g->incarnation = w->incarnation;
  g->request = w->request;
  g->attempt = w->attempt;
  g->lane = w->lane;
  g->team = w->team;
  g->estimate = pool_estimate (w->pool, w->class_name, w->run_us / 1000);
  g_hash_table_add (b->grants, g);
  schedule_check (b, g);
  w->team->used++;
  w->pool->running[w->lane]++;
  p->u.slot_grant.request = w->request;
  p->u.slot_grant.attempt = w->attempt;
  p->u.slot_grant.vm = g_strdup (vm);
  p->u.slot_grant.valid_ms = GRANT_VALID_MS;
  turn_send (t, w->node, p);
  counters_add (t->counters, COUNTER_SLOT_GRANTS, 1);
}

static void
refuse_expired (struct broker *b, struct turn *t, struct pool *o,
                enum lane lane)
{
  struct waiting_request *w;

  while ((w = queue_earliest (o->queue, lane)) != NULL
         && w->start_by_ms < t->now_ms)
    refuse_request (b, t, w,
                    slots_in_service (b, o) == 0 ? REASON_NO_VM
                                                 : REASON_TOO_LATE);
  admit_note_waiting (&o->admit[lane], w != NULL, t->now_ms);
}

static void
step_pool (struct broker *b, struct turn *t, struct pool *o)
{
  struct waiting_request *w;

  refuse_expired (b, t, o, LANE_URGENT);
  refuse_expired (b, t, o, LANE_TOLERANT);
  while ((w = pool_next_request (o, slots_in_service (b, o), t->now_ms))
         != NULL)
    {
      const char *vm = slot_table_acquire (b->slot_table, o->name, w->avoid_vm,
                                           w->may_probe, t->now_ms);

      if (vm == NULL)
        return;
      dequeue (b, o, w);
      grant_slot (b, t, w, vm);
      waiting_request_destroy (w);
    }
}

static void
check_grant (struct broker *b, struct turn *t, struct grant *g)
{
  if (g->expires_ms <= t->now_ms)
    {
      end_grant (b, t, g, RUN_ABANDONED);
      return;
    }
  if (!g->is_straggler && g->estimate != NULL
      && t->now_ms - g->granted_ms >= estimate_straggler_ms (g->estimate))
    {
      g->is_straggler = true;
      g->pool->running[g->lane]--;
      g->pool->stragglers++;
    }
  g_sequence_remove (g->due_iter);
  schedule_check (b, g);
}

static void
check_due_grants (struct broker *b, struct turn *t)
{
  GSequenceIter *i;

  while (
      !g_sequence_iter_is_end (i = g_sequence_get_begin_iter (b->due_grants)))
    {
      struct grant *g = g_sequence_get (i);

      if (g->due_ms > t->now_ms)
        return;
      check_grant (b, t, g);
    }
}

void
broker_step (struct broker *broker, struct turn *turn)
{
  GHashTableIter i;
  gpointer o;

  check_due_grants (broker, turn);
  g_hash_table_iter_init (&i, broker->pools);
  while (g_hash_table_iter_next (&i, NULL, &o))
    step_pool (broker, turn, o);
}

struct slot_table *
broker_slot_table (struct broker *broker)
{
  return broker->slot_table;
}

uint32_t
broker_waiting (const struct broker *broker, const char *pool)
{
  const struct pool *o = g_hash_table_lookup (broker->pools, pool);

  if (o == NULL)
    return 0;
  return queue_length (o->queue, LANE_URGENT)
         + queue_length (o->queue, LANE_TOLERANT);
}
