#include "core.h"

#include "broker.h"
#include "fleet.h"
#include "keys.h"
#include "listing.h"
#include "members.h"
#include "operators.h"
#include "plan.h"
#include "recovery.h"
#include "requests.h"
#include "status.h"
#include "turn.h"

#include <string.h>

#define JOIN_AGAIN_MS 3000
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
  GHashTable *leaving; /* set of VMs that the platform said are leaving */
  bool log_reachable;
  int64_t fresh_ms;   /* when the fleet was last at the log's head */
  int64_t handled_ms; /* when the last message came; 0 for none */
  int64_t resumed_ms; /* when the last pause ended */
  bool resuming;
  int64_t heartbeat_ms;
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
  c->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->fresh_ms = -1;
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
  g_hash_table_unref (core->unlogged);
  g_hash_table_unref (core->leaving);
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
  if (vms_changed)
    broker_sync (c->broker, t);
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
set_leaving (struct core *c, const char *vm, bool leaving)
{
  if (leaving)
    g_hash_table_add (c->leaving, g_strdup (vm));
  else
    g_hash_table_remove (c->leaving, vm);
  place_set_leaving (broker_place (c->broker), vm, leaving);
  requests_set_leaving (c->requests, vm, leaving);
}

static void
handle_vm_list (struct core *c, struct turn *t,
                const struct message_vm_list *m)
{
  plan_list (c->plan, m->vms, t->now_ms);
  plan_add_listed (c->plan, t);
  listing_tell (c->listing, t, m->vms);
  for (guint i = 0; i < m->vms->len; i++)
    {
      const struct listed_vm *v = &g_array_index (m->vms, struct listed_vm, i);

      set_leaving (c, v->vm, v->state != VM_STATE_LIVE);
    }
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
      set_leaving (c, s->vm, s->state != VM_STATE_LIVE);
    }
  listing_hear (c->listing, &p->u.vm_news);
  listing_note_read (c->listing, p->from, now_ms);
}

static void
handle_heartbeat (struct core *c, const struct peer_message *p, int64_t now_ms)
{
  const struct peer_heartbeat *h = &p->u.heartbeat;

  recovery_hear (c->recovery, h->offset);
  if (members_hear (c->members, p, now_ms))
    counters_add (c->counters, COUNTER_OWNER_CHANGES, 1);
  for (char **vm = h->leaving; vm != NULL && *vm != NULL; vm++)
    set_leaving (c, *vm, true);
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

static void
send_heartbeat (struct core *c, struct turn *t)
{
  struct peer_message *p = turn_peer (t, PEER_HEARTBEAT);
  struct peer_heartbeat *h = &p->u.heartbeat;
  GPtrArray *leaving = g_ptr_array_new ();
  GHashTableIter i;
  gpointer vm;

  g_hash_table_iter_init (&i, c->leaving);
  while (g_hash_table_iter_next (&i, &vm, NULL))
    if (plan_vm_state (c->plan, vm) != VM_STATE_LIVE)
      g_ptr_array_add (leaving, g_strdup (vm));
  g_ptr_array_add (leaving, NULL);
  h->zone = g_strdup (c->zone);
  h->offset = fleet_offset (c->fleet);
  h->config_version = fleet_config_version (c->fleet);
  h->view_age_ms = t->view_age_ms;
  h->stopping = c->stopping;
  h->leaving = (char **)g_ptr_array_free (leaving, FALSE);
  turn_send (t, "", p);
  c->heartbeat_ms = t->now_ms;
}

/* Whether the log says that this incarnation has joined. */
static bool
has_joined (const struct core *c)
{
  const GPtrArray *nodes = fleet_nodes (c->fleet);

  for (guint i = 0; i < nodes->len; i++)
    {
      const struct fleet_node *n = g_ptr_array_index (nodes, i);

      if (n->incarnation == c->incarnation && strcmp (n->node, c->node) == 0)
        return true;
    }
  return false;
}

static void
join (struct core *c, struct turn *t)
{
  struct record *r;

  if (c->stopping || !c->log_reachable || has_joined (c)
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
  if (c->heartbeat_ms == 0
      || t->now_ms - c->heartbeat_ms >= MEMBERS_HEARTBEAT_MS)
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
      plan_step (c->plan, t);
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

void
core_handle (struct core *core, struct message *message, int64_t now_ms,
             GQueue *out)
{
  GQueue work = G_QUEUE_INIT;
  struct turn t;

  note_time (core, now_ms, out);
  t = begin_turn (core, now_ms, &work);
  handle_one (core, &t, message);
  message_destroy (message);
  drain (core, &t, &work, out);
  broker_step (core->broker, &t);
  drain (core, &t, &work, out);
  finish_stopping (core, &t);
  drain (core, &t, &work, out);
}
