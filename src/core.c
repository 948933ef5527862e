#include "core.h"

#include "broker.h"
#include "fleet.h"
#include "keys.h"
#include "leaving.h"
#include "listing.h"
#include "members.h"
#include "operators.h"
#include "permission.h"
#include "plan.h"
#include "recovery.h"
#include "requests.h"
#include "status.h"
#include "turn.h"

#include <string.h>

#define JOIN_AGAIN_MS 3000
#define ANNOUNCE_EVERY 4 /* heartbeats */
#define PLAN_EVERY_MS 200
/* How long a stopping node waits for its last records to stand in the log. */
#define FLUSH_MS 8000
/* No message for so long, with ticks due every CORE_TICK_MS, is a pause. */
#define PAUSE_MS 1000
/* After a pause, what waited may be old for so long: the VM list and the
   peers' heartbeats are read anew within it. */
#define RESUME_MS 1200

struct core
{
  char *node;
  char *zone;
  uint64_t incarnation;
  struct counters *counters;
  struct fleet *fleet;
  struct members *members;
  struct broker *broker;
  struct requests *requests;
  struct plan *plan;
  struct listing *listing;
  struct operators *operators;
  struct recovery *recovery;
  GHashTable *unlogged; /* set of uids: records that a stop waits for */
  int64_t stopping_ms;
  struct keys *keys;
  struct leaving *leaving;
  bool log_reachable;
  int64_t fresh_ms; /* when the log was asked for the head that the fleet was
                       last at */
  int64_t permit_until_ms;
  bool says_news;     /* send a heartbeat at once */
  int64_t handled_ms; /* when the last message came; 0 for none */
  int64_t resumed_ms; /* when the last pause ended */
  bool resuming;
  int64_t heartbeat_ms;
  int64_t announced_ms; /* when all were sent a heartbeat last */
  int64_t planned_ms;
  int64_t joined_ms; /* when this node last asked to join */
  bool stopping;
  bool stopped;
};

struct core *
core_new (const struct core_options *options, struct counters *counters)
{
  struct core *c = g_new0 (struct core, 1);

  c->node = g_strdup (options->node);
  c->zone = g_strdup (options->zone);
  c->incarnation = options->incarnation;
  c->counters = counters;
  c->fleet = fleet_new ();
  c->members
      = members_new (options->node, options->zone, options->incarnation);
  c->broker = broker_new (options->seed);
  c->requests = requests_new (options->max_requests);
  c->plan = plan_new ();
  c->listing = listing_new ();
  c->operators = operators_new ();
  c->recovery = recovery_new ();
  c->unlogged = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->keys = keys_new ();
  c->leaving = leaving_new ();
  c->fresh_ms = -1;
  c->permit_until_ms = -1;
  return c;
}

void
core_destroy (struct core *core)
{
  if (core == NULL)
    return;
  recovery_destroy (core->recovery);
  keys_destroy (core->keys);
  operators_destroy (core->operators);
  plan_destroy (core->plan);
  listing_destroy (core->listing);
  requests_destroy (core->requests);
  broker_destroy (core->broker);
  members_destroy (core->members);
  fleet_destroy (core->fleet);
  leaving_destroy (core->leaving);
  g_hash_table_unref (core->unlogged);
  g_free (core->node);
  g_free (core->zone);
  g_free (core);
}

const struct fleet *
core_fleet (const struct core *core)
{
  return core->fleet;
}

/* Notice a pause of the process.  What was in its queues meanwhile is old but
   looks new, so it starts no work until it has surely heard news. */
static void
note_time (struct core *c, int64_t now_ms, GQueue *out)
{
  if (now_ms - c->handled_ms > PAUSE_MS)
    {
      if (c->handled_ms != 0)
        {
          recovery_resumed (c->recovery, now_ms);
          members_resumed (c->members, now_ms);
          counters_add (c->counters, COUNTER_RESUMED, 1);
          g_queue_push_tail (out, message_new (MESSAGE_READ_NOW));
        }
      c->resumed_ms = now_ms;
      c->resuming = true;
      c->fresh_ms = -1;
    }
  else if (now_ms - c->resumed_ms >= RESUME_MS)
    c->resuming = false;
  c->handled_ms = now_ms;
}

static struct turn
begin_turn (struct core *c, int64_t now_ms, GQueue *out)
{
  struct turn t = {
    .now_ms = now_ms,
    .node = c->node,
    .incarnation = c->incarnation,
    .fleet = c->fleet,
    .members = c->members,
    .counters = c->counters,
    .view_age_ms = c->fresh_ms < 0 ? INT32_MAX : now_ms - c->fresh_ms,
    .log_reachable = c->log_reachable,
    .permit_until_ms = c->permit_until_ms,
    .behind = !recovery_caught_up (c->recovery),
    .resuming = c->resuming,
    .stopping = c->stopping,
    .out = out,
  };

  return t;
}

/* The log. */

static void
note_fold (struct core *c, struct turn *t, const struct log_entry *e,
           enum verdict verdict)
{
  const struct record *r = e->record;

  if (verdict != VERDICT_ACCEPTED && verdict != VERDICT_REPEATED)
    counters_add (c->counters, COUNTER_RECORDS_REFUSED, 1);
  if (r->incarnation != c->incarnation || strcmp (r->node, c->node) != 0)
    return;
  g_hash_table_remove (c->unlogged, r->uid);
  if (r->kind == RECORD_CLAIM)
    requests_claimed (c->requests, t, r, e->offset, verdict);
  else
    operators_folded (c->operators, t, r, e->offset, verdict);
}

/* Tell who gives out slots, and who starts work on them, which VMs leave. */
static void
tell_leaving (struct core *c)
{
  GHashTable *names = leaving_names (c->leaving);
  const GPtrArray *vms = fleet_vms (c->fleet);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);
      bool leaving = g_hash_table_contains (names, v->vm);

      place_set_leaving (broker_place (c->broker), v->vm, leaving);
      requests_set_leaving (c->requests, v->vm, leaving);
    }
}

/* Fold E.  Return whether it may have changed a VM. */
static bool
fold_entry (struct core *c, struct turn *t, const struct log_entry *e)
{
  const struct record *r = e->record;

  if (e->offset <= fleet_offset (c->fleet))
    return false;
  counters_add (c->counters, COUNTER_LOG_RECORDS_READ, 1);
  if (r == NULL)
    {
      fleet_skip (c->fleet, e->offset);
      counters_add (c->counters, COUNTER_RECORDS_MALFORMED, 1);
      return false;
    }
  note_fold (c, t, e, fleet_fold (c->fleet, r, e->offset, e->at_ms));
  if (r->kind == RECORD_CHECKPOINT)
    recovery_note (c->recovery, t, &r->u.checkpoint);
  return r->kind == RECORD_VM_ADD || r->kind == RECORD_VM_STEP;
}

/* Put a restored fleet in place of this node's, and fold what was read behind
   it. */
static void
install (struct core *c, struct turn *t)
{
  GQueue *held;
  struct fleet *f = recovery_take (c->recovery, &held);
  struct log_entry *e;

  if (f == NULL)
    return;
  fleet_destroy (c->fleet);
  c->fleet = f;
  t->fleet = f;
  counters_add (c->counters, COUNTER_SNAPSHOTS_RESTORED, 1);
  /* Which of them stand in the part that was not read can't be told. */
  g_hash_table_remove_all (c->unlogged);
  requests_restored (c->requests, t);
  while ((e = g_queue_pop_head (held)) != NULL)
    {
      fold_entry (c, t, e);
      record_destroy (e->record);
      g_free (e);
    }
  g_queue_free (held);
  broker_sync (c->broker, t);
  tell_leaving (c);
}

static void
handle_records (struct core *c, struct turn *t, struct message_records *m)
{
  bool vms_changed = false;

  if (recovery_hold (c->recovery, t, m))
    {
      install (c, t);
      return;
    }
  for (guint i = 0; i < m->entries->len; i++)
    vms_changed
        |= fold_entry (c, t, &g_array_index (m->entries, struct log_entry, i));
  if (!vms_changed)
    return;
  broker_sync (c->broker, t);
  tell_leaving (c);
}

static void
handle_log_state (struct core *c, struct turn *t,
                  const struct message_log_state *m)
{
  c->log_reachable = m->reachable;
  t->log_reachable = m->reachable;
  recovery_log_state (c->recovery, t, m);
  /* The answer says where the head was when it was asked for, or later. */
  if (!c->resuming && m->reachable && fleet_offset (c->fleet) >= m->head)
    c->fresh_ms
        = MAX (c->fresh_ms, m->asked_ms != 0 ? m->asked_ms : t->now_ms);
}

/* The VM list and the peers' words of it. */

static void
weigh_leaving (struct core *c, int64_t now_ms)
{
  if (leaving_weigh (c->leaving, c->members, now_ms))
    tell_leaving (c);
}

/* Weigh anew which VMs leave, after the planner took in their states by a
   list asked for at ASKED_MS. */
static void
take_states (struct core *c, int64_t asked_ms, int64_t now_ms)
{
  GHashTable *names = plan_not_live (c->plan);
  guint before = g_hash_table_size (leaving_names (c->leaving));

  leaving_list (c->leaving, names, asked_ms);
  g_hash_table_unref (names);
  weigh_leaving (c, now_ms);
  c->says_news |= g_hash_table_size (leaving_names (c->leaving)) > before;
}

static void
handle_vm_list (struct core *c, struct turn *t,
                const struct message_vm_list *m)
{
  plan_list (c->plan, m->vms, t->now_ms);
  plan_add_listed (c->plan, t);
  listing_tell (c->listing, t, m->vms);
  take_states (c, m->asked_ms, t->now_ms);
}

static void
handle_vm_news (struct core *c, const struct peer_message *p, int64_t now_ms)
{
  const GArray *states = p->u.vm_news.states;

  for (guint i = 0; i < states->len; i++)
    {
      const struct peer_vm_state *s
          = &g_array_index (states, struct peer_vm_state, i);

      plan_note (c->plan, s->vm, s->state, s->running, now_ms);
    }
  take_states (c, now_ms, now_ms);
  listing_hear (c->listing, &p->u.vm_news);
  listing_note_read (c->listing, p->from, now_ms);
}

static void
handle_heartbeat (struct core *c, const struct peer_message *p, int64_t now_ms)
{
  recovery_hear (c->recovery, p->u.heartbeat.offset);
  if (members_hear (c->members, p, now_ms))
    counters_add (c->counters, COUNTER_OWNER_CHANGES, 1);
  weigh_leaving (c, now_ms);
}

static void
handle_peer (struct core *c, struct turn *t, const struct peer_message *p)
{
  switch (p->kind)
    {
    case PEER_HEARTBEAT:
      handle_heartbeat (c, p, t->now_ms);
      break;
    case PEER_SLOT_ASK:
    case PEER_SLOT_RETURN:
    case PEER_SLOT_HOLD:
    case PEER_SLOT_CANCEL:
      broker_handle (c->broker, t, p);
      break;
    case PEER_SLOT_GRANT:
    case PEER_SLOT_REFUSE:
      requests_handle (c->requests, t, p);
      break;
    case PEER_SNAPSHOT_ASK:
    case PEER_SNAPSHOT_PART:
      recovery_handle (c->recovery, t, p);
      install (c, t);
      break;
    case PEER_VM_NEWS:
      handle_vm_news (c, p, t->now_ms);
      break;
    case PEER_KEY_CANCEL:
    case PEER_KEY_CANCELLED:
      keys_handle (c->keys, t, c->requests, p);
      break;
    case PEER_KIND_COUNT:
      break;
    }
}

/* Time passing. */

/* The load of the pools that this node owns, as the word of a heartbeat. */
static GArray *
own_loads (struct core *c)
{
  const struct config *config = fleet_config (c->fleet);
  GArray *loads = peer_loads_new ();

  for (guint i = 0; config != NULL && i < config->n_pools; i++)
    {
      const char *pool = config->pools[i].name;
      struct peer_load l = { NULL, broker_waiting (c->broker, pool), 0, 0 };

      if (strcmp (members_owner (c->members, pool), c->node) != 0)
        continue;
      l.pool = g_strdup (pool);
      l.slots = place_slots (broker_place (c->broker), pool, &l.used);
      g_array_append_val (loads, l);
    }
  return loads;
}

/* The VMs closed to new work on which this node still has runs. */
static char **
own_busy (struct core *c)
{
  const GPtrArray *vms = fleet_vms (c->fleet);
  GPtrArray *busy = g_ptr_array_new ();

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (v->phase != VM_SERVING && requests_on_vm (c->requests, v->vm) > 0)
        g_ptr_array_add (busy, g_strdup (v->vm));
    }
  g_ptr_array_add (busy, NULL);
  return (char **)g_ptr_array_free (busy, FALSE);
}

static struct peer_message *
make_heartbeat (struct core *c, const struct turn *t)
{
  struct peer_message *p = turn_peer (t, PEER_HEARTBEAT);
  struct peer_heartbeat *h = &p->u.heartbeat;

  h->zone = g_strdup (c->zone);
  h->offset = fleet_offset (c->fleet);
  h->config_version = fleet_config_version (c->fleet);
  h->view_age_ms = t->view_age_ms;
  h->stopping = c->stopping;
  h->stamp_ms = t->now_ms;
  h->list_age_ms = leaving_list_age_ms (c->leaving, t->now_ms);
  h->leaving = leaving_own (c->leaving);
  h->busy = own_busy (c);
  h->loads = own_loads (c);
  return p;
}

/* Return a heartbeat that says what H says. */
static struct peer_message *
copy_heartbeat (const struct turn *t, const struct peer_heartbeat *h)
{
  struct peer_message *p = turn_peer (t, PEER_HEARTBEAT);
  struct peer_heartbeat *copy = &p->u.heartbeat;

  *copy = *h;
  copy->zone = g_strdup (h->zone);
  copy->leaving = g_strdupv (h->leaving);
  copy->busy = g_strdupv (h->busy);
  copy->loads = g_array_ref (h->loads);
  return p;
}

/* Each member that is alive hears the echo of its own stamp alone, so that a
   heartbeat does not grow with the nodes.  Now and then all are told, so that
   those not heard yet hear of this node.  What all hear is worked out once. */
static void
send_heartbeat (struct core *c, struct turn *t)
{
  const GPtrArray *others = members_others (c->members);
  struct peer_message *common = make_heartbeat (c, t);

  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m = g_ptr_array_index (others, i);
      struct peer_message *p;

      if (!m->alive)
        continue;
      p = copy_heartbeat (t, &common->u.heartbeat);
      p->u.heartbeat.echoes = members_echo (m);
      turn_send (t, m->node, p);
    }
  if (c->stopping || c->announced_ms == 0
      || t->now_ms - c->announced_ms
             >= ANNOUNCE_EVERY * members_heartbeat_ms (c->members))
    {
      turn_send (t, "", copy_heartbeat (t, &common->u.heartbeat));
      c->announced_ms = t->now_ms;
    }
  peer_message_destroy (common);
  c->heartbeat_ms = t->now_ms;
  c->says_news = false;
}

static void
join (struct core *c, struct turn *t)
{
  struct record *r;

  if (c->stopping || !c->log_reachable
      || fleet_has_joined (c->fleet, c->node, c->incarnation)
      || (c->joined_ms != 0 && t->now_ms - c->joined_ms < JOIN_AGAIN_MS))
    return;
  r = record_new (RECORD_NODE_JOIN, c->node, c->incarnation);
  r->u.node_join.zone = g_strdup (c->zone);
  turn_append (t, r);
  c->joined_ms = t->now_ms;
}

/* Note how large this node's tables are. */
static void
note_tables (struct core *c)
{
  struct counters *k = c->counters;

  counters_set_gauge (k, GAUGE_TABLE_VMS, fleet_vms (c->fleet)->len);
  counters_set_gauge (k, GAUGE_TABLE_KEYS, fleet_claim_count (c->fleet));
  counters_set_gauge (k, GAUGE_TABLE_WAVES, fleet_waves (c->fleet)->len);
  counters_set_gauge (k, GAUGE_TABLE_NODES, fleet_nodes (c->fleet)->len);
  counters_set_gauge (k, GAUGE_TABLE_MEMBERS,
                      members_others (c->members)->len);
  counters_set_gauge (k, GAUGE_TABLE_REQUESTS, requests_count (c->requests));
}

/* Whether a stop waits until R stands in the log: without its outcome, a key
   stays unknown for as long as it is remembered. */
static bool
stop_waits_for (const struct record *r)
{
  return r->kind == RECORD_OUTCOME || r->kind == RECORD_NODE_LEAVE;
}

static void
finish_stopping (struct core *c, struct turn *t)
{
  if (!c->stopping || c->stopped || requests_count (c->requests) > 0)
    return;
  if (g_hash_table_size (c->unlogged) > 0
      && t->now_ms - c->stopping_ms < FLUSH_MS)
    return;
  counters_add (c->counters, COUNTER_OUTCOMES_UNLOGGED,
                g_hash_table_size (c->unlogged));
  c->stopped = true;
  turn_put (t, message_new (MESSAGE_STOPPED));
}

static void
handle_tick (struct core *c, struct turn *t)
{
  note_tables (c);
  if (members_expire (c->members, t->now_ms))
    {
      counters_add (c->counters, COUNTER_MEMBERS_SUSPECTED, 1);
      counters_add (c->counters, COUNTER_OWNER_CHANGES, 1);
    }
  weigh_leaving (c, t->now_ms);
  if (c->heartbeat_ms == 0 || c->says_news
      || t->now_ms - c->heartbeat_ms >= members_heartbeat_ms (c->members))
    send_heartbeat (c, t);
  join (c, t);
  recovery_step (c->recovery, t);
  if (listing_is_due (c->listing, t))
    turn_put (t, message_new (MESSAGE_READ_LIST));
  requests_step (c->requests, t);
  operators_step (c->operators, t);
  keys_step (c->keys, t);
  if (!t->behind && t->now_ms - c->planned_ms >= PLAN_EVERY_MS)
    {
      GArray *loads = own_loads (c);

      plan_step (c->plan, t, c->requests, loads);
      g_array_unref (loads);
      c->planned_ms = t->now_ms;
    }
}

static void
handle_stop (struct core *c, struct turn *t)
{
  struct record *r = record_new (RECORD_NODE_LEAVE, c->node, c->incarnation);

  r->u.node_leave.zone = g_strdup (c->zone);
  turn_append (t, r);
  c->stopping = true;
  c->stopping_ms = t->now_ms;
  t->stopping = true;
  members_set_stopping (c->members, true);
  send_heartbeat (c, t);
}

static void
handle_query (struct core *c, struct turn *t, const struct message_query *q)
{
  struct status_input in = { t, c->plan, c->broker, c->requests };

  if (q->kind == QUERY_KEY || q->kind == QUERY_CANCEL)
    keys_query (c->keys, t, c->requests, q);
  else
    operators_query (c->operators, t, &in, q);
}

static void
handle_one (struct core *c, struct turn *t, struct message *m)
{
  switch (m->kind)
    {
    case MESSAGE_REQUEST:
      requests_begin (c->requests, t, &m->u.request);
      break;
    case MESSAGE_ABANDON:
      requests_abandon (c->requests, t, m->u.abandon.request);
      break;
    case MESSAGE_RUN_ENDED:
      requests_run_ended (c->requests, t, &m->u.run_ended);
      break;
    case MESSAGE_RECORDS:
      handle_records (c, t, &m->u.records);
      break;
    case MESSAGE_LOG_STATE:
      handle_log_state (c, t, &m->u.log_state);
      break;
    case MESSAGE_VM_LIST:
      handle_vm_list (c, t, &m->u.vm_list);
      break;
    case MESSAGE_PEER:
      handle_peer (c, t, m->u.peer.peer);
      break;
    case MESSAGE_TICK:
      handle_tick (c, t);
      break;
    case MESSAGE_QUERY:
      handle_query (c, t, &m->u.query);
      break;
    case MESSAGE_STOP:
      handle_stop (c, t);
      break;
    case MESSAGE_RUN:
    case MESSAGE_REFUSE:
    case MESSAGE_APPEND:
    case MESSAGE_APPEND_CANCEL:
    case MESSAGE_SEND:
    case MESSAGE_PLATFORM:
    case MESSAGE_READ_LIST:
    case MESSAGE_REPLY:
    case MESSAGE_READ_NOW:
    case MESSAGE_STOPPED:
      break;
    }
}

/* Handle at once what this node sent to itself; pass the rest on to OUT. */
static void
drain (struct core *c, struct turn *t, GQueue *work, GQueue *out)
{
  struct message *m;

  while ((m = g_queue_pop_head (work)) != NULL)
    {
      if (m->kind == MESSAGE_SEND && strcmp (m->u.send.to, c->node) == 0)
        {
          handle_peer (c, t, m->u.send.peer);
          message_destroy (m);
        }
      else
        {
          if (m->kind == MESSAGE_APPEND && stop_waits_for (m->u.append.record))
            g_hash_table_add (c->unlogged, g_strdup (m->u.append.record->uid));
          g_queue_push_tail (out, m);
        }
    }
}

/* What this turn took in may have given or taken the permission to start
   work; it is weighed before anything else is decided. */
static void
weigh_permission (struct core *c, struct turn *t)
{
  c->permit_until_ms = permission_until (t, c->fresh_ms);
  t->permit_until_ms = c->permit_until_ms;
}

void
core_handle (struct core *core, struct message *message, int64_t now_ms,
             GQueue *out)
{
  GQueue work = G_QUEUE_INIT;
  struct turn t;

  note_time (core, now_ms, out);
  t = begin_turn (core, now_ms, &work);
  weigh_permission (core, &t);
  handle_one (core, &t, message);
  weigh_permission (core, &t);
  message_destroy (message);
  drain (core, &t, &work, out);
  broker_step (core->broker, &t);
  drain (core, &t, &work, out);
  finish_stopping (core, &t);
  drain (core, &t, &work, out);
}
