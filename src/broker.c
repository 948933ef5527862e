#include "broker.h"

#include "admit.h"
#include "estimate.h"
#include "queue.h"
#include "quota.h"

#include <string.h>

#define GRANT_VALID_MS 1000
#define SLOT_LEASE_MS 6000
#define QUEUE_MAX 20000

/* A class is patient if its target is so many times that of the pool's most
   urgent one. */
#define PATIENT_FACTOR 4
/* The most slots that patient work may have, stragglers of any class among
   them; and the least, also while urgent work waits, once it has waited for a
   part of its target. */
#define PATIENT_MAX_PERCENT 50
#define PATIENT_MIN_PERCENT 5
#define PATIENT_PRESSING_PARTS 4

struct grant;

/* What the owner keeps of one pool. */
struct pool
{
  char *name;
  struct queue *queue;
  struct quota *quota;
  GHashTable *estimates; /* class name -> struct estimate * */
  struct admit admit[LANE_COUNT];
  uint32_t running[LANE_COUNT]; /* but for the stragglers */
  uint32_t stragglers;          /* running; of either lane */
  uint64_t config_version;      /* that the figures below are from */
  int64_t tightest_ms;          /* start_within_ms of its urgent classes */
  bool has_idempotent;
};

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
free_estimate (gpointer p)
{
  estimate_destroy (p);
}

static void
pool_free (gpointer p)
{
  struct pool *o = p;

  queue_destroy (o->queue);
  quota_destroy (o->quota);
  g_hash_table_unref (o->estimates);
  g_free (o->name);
  g_free (o);
}

struct broker *
broker_new (uint64_t seed)
{
  struct broker *b = g_new0 (struct broker, 1);

  b->place = place_new (seed);
  b->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
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

/* Pools and classes. */

static bool
is_of_pool (const struct config *c, const struct config_class *k,
            const char *pool)
{
  return strcmp (c->services[k->service].pool_name, pool) == 0;
}

/* Take in the configuration, if another is in force. */
static void
sync_pool (struct pool *o, const struct turn *t)
{
  const struct config *c = fleet_config (t->fleet);
  uint64_t version = fleet_config_version (t->fleet);

  if (c == NULL || o->config_version == version)
    return;
  o->config_version = version;
  o->tightest_ms = INT64_MAX;
  o->has_idempotent = false;
  for (guint i = 0; i < c->n_classes; i++)
    {
      const struct config_class *k = &c->classes[i];

      if (!is_of_pool (c, k, o->name))
        continue;
      o->tightest_ms = MIN (o->tightest_ms, k->start_within_ms);
      o->has_idempotent |= k->idempotent;
    }
  quota_sync (o->quota, c);
}

static struct pool *
pool_of (struct broker *b, const struct turn *t, const char *name)
{
  struct pool *o = g_hash_table_lookup (b->pools, name);

  if (o == NULL)
    {
      o = g_new0 (struct pool, 1);
      o->name = g_strdup (name);
      o->queue = queue_new ();
      o->quota = quota_new ();
      o->estimates = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            free_estimate);
      o->tightest_ms = INT64_MAX;
      g_hash_table_insert (b->pools, o->name, o);
    }
  sync_pool (o, t);
  return o;
}

static struct estimate *
estimate_of (struct pool *o, const char *class_name, int64_t expected_ms)
{
  struct estimate *e = g_hash_table_lookup (o->estimates, class_name);

  if (e != NULL)
    return e;
  e = estimate_new (expected_ms);
  g_hash_table_insert (o->estimates, g_strdup (class_name), e);
  return e;
}

/* Return the class CLASS_NAME of a service of POOL, or NULL. */
static const struct config_class *
class_of (const struct turn *t, const struct pool *o, const char *class_name)
{
  const struct config *c = fleet_config (t->fleet);

  for (guint i = 0; c != NULL && i < c->n_classes; i++)
    if (strcmp (c->classes[i].name, class_name) == 0
        && is_of_pool (c, &c->classes[i], o->name))
      return &c->classes[i];
  return NULL;
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

static struct admit_load
load_before (const struct broker *b, const struct pool *o,
             const struct waiting *w)
{
  uint32_t slots = place_slots (b->place, o->name, NULL);
  uint32_t usable = lane_slots (o, w->lane, slots);
  uint32_t waiting = queue_length (o->queue, w->lane);
  struct admit_load l = { .slots_milli = usable * INT64_C (1000) };

  if (slots == 0)
    l.slots_milli = 0;
  l.ahead = queue_ahead (o->queue, w, &l.ahead_of_team);
  l.mean_us = queue_work_us (o->queue, w->lane) / MAX (waiting, 1);
  l.entitled_milli = quota_entitled_milli (o->quota, w->team, usable);
  return l;
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
  struct admit_load l = load_before (b, o, w);
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
  struct admit_load l = load_before (b, o, w);
  uint32_t slots = place_slots (b->place, o->name, NULL);

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
  const struct config_class *k = class_of (t, o, a->class_name);
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
  if (k != NULL && k->start_within_ms / PATIENT_FACTOR > o->tightest_ms)
    w->lane = LANE_PATIENT;
  w->may_probe = k == NULL || k->idempotent || !o->has_idempotent;
  w->run_us
      = estimate_mean_us (estimate_of (o, a->class_name, MAX (a->run_ms, 1)));
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
  g->estimate = estimate_of (w->pool, w->class_name, w->run_us / 1000);
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

/* Whether W, of the patient lane, has waited so long that its lane may claim
   its least share before urgent work. */
static bool
is_pressing (const struct turn *t, const struct waiting *w)
{
  int64_t left_ms = w->start_by_ms - t->now_ms;

  return left_ms < w->target_ms - w->target_ms / PATIENT_PRESSING_PARTS;
}

/* Return who of O gets the next slot, or NULL if nobody may. */
static struct waiting *
choose (const struct broker *b, const struct turn *t, const struct pool *o)
{
  uint32_t slots = place_slots (b->place, o->name, NULL);
  struct waiting *urgent
      = queue_next (o->queue, LANE_URGENT, o->quota, slots, t->now_ms);
  struct waiting *patient
      = queue_next (o->queue, LANE_PATIENT, o->quota, slots, t->now_ms);
  uint32_t running = o->running[LANE_PATIENT];

  if (patient != NULL && running < patient_min (slots)
      && (urgent == NULL || is_pressing (t, patient)))
    return patient;
  if (urgent != NULL || patient == NULL)
    return urgent;
  if (running + o->stragglers < patient_max (slots))
    return patient;
  return NULL;
}

static void
expire (struct broker *b, struct turn *t, struct pool *o, enum lane lane)
{
  struct waiting *w;

  while ((w = queue_earliest (o->queue, lane)) != NULL
         && w->start_by_ms < t->now_ms)
    turn_away (b, t, w,
               place_slots (b->place, o->name, NULL) == 0 ? REASON_NO_VM
                                                          : REASON_TOO_LATE);
  admit_note (&o->admit[lane], w != NULL, t->now_ms);
}

static void
step_pool (struct broker *b, struct turn *t, struct pool *o)
{
  struct waiting *w;

  expire (b, t, o, LANE_URGENT);
  expire (b, t, o, LANE_PATIENT);
  while ((w = choose (b, t, o)) != NULL)
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
