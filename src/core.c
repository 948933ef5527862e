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

#define JOIN_RETRY_MS 3000
/* Every so many heartbeat intervals, the heartbeat also goes to all nodes. */
#define BROADCAST_EVERY_HEARTBEATS 4
#define PLAN_INTERVAL_MS 200
/* Maximum time that a stopping node waits until its last records are read back
   from the log. */
#define STOP_FLUSH_TIMEOUT_MS 8000
/* The process was paused if the core got no message for this long, as ticks
   are due every CORE_TICK_MS. */
#define PAUSE_MIN_MS 1000
/* Time after the start or a pause for which no work is started, as queued
   input may be stale.  The VM list and the peers' heartbeats are read again
   within it. */
#define RESUME_HOLD_MS 1200

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
  /* Uids (char *) of the records that a stop waits for: appended, but not yet
     read back from the log. */
  GHashTable *unconfirmed_uids;
  int64_t stop_began_ms;
  struct keys *keys;
  struct leaving *leaving;
  bool log_reachable;
  /* When the log was last asked for its head such that FLEET had reached the
     head in the answer; -1 for never. */
  int64_t at_head_ms;
  int64_t may_start_until_ms;
  bool is_heartbeat_due;     /* send one at the next tick */
  int64_t last_message_ms;   /* 0 for none */
  int64_t resume_began_ms;   /* when the process started or last resumed */
  bool resuming;             /* less than RESUME_HOLD_MS ago */
  int64_t last_heartbeat_ms; /* 0 for none */
  int64_t last_broadcast_ms; /* of a heartbeat to all nodes; 0 for none */
  int64_t last_plan_ms;
  int64_t join_sent_ms; /* when RECORD_NODE_JOIN was appended; 0 for never */
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
  c->unconfirmed_uids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->keys = keys_new ();
  c->leaving = leaving_new ();
  c->at_head_ms = -1;
  c->may_start_until_ms = -1;
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
  g_hash_table_unref (core->unconfirmed_uids);
  g_free (core->node);
  g_free (core->zone);
  g_free (core);
}

const struct fleet *
core_fleet (const struct core *core)
{
  return core->fleet;
}

/* Detect a pause of the process, and its end.  Input that was queued during
   the pause is stale but can't be told from new input, so the node starts no
   work until RESUME_HOLD_MS after the pause. */
static void
detect_pause (struct core *c, int64_t now_ms, GQueue *out)
{
  if (now_ms - c->last_message_ms > PAUSE_MIN_MS)
    {
      if (c->last_message_ms != 0)
        {
          recovery_mark_resumed (c->recovery, now_ms);
          members_resumed (c->members, now_ms);
          counters_add (c->counters, COUNTER_RESUMED_AFTER_PAUSE, 1);
          g_queue_push_tail (out, message_new (MESSAGE_READ_LOG));
        }
      c->resume_began_ms = now_ms;
      c->resuming = true;
      c->at_head_ms = -1;
    }
  else if (now_ms - c->resume_began_ms >= RESUME_HOLD_MS)
    c->resuming = false;
  c->last_message_ms = now_ms;
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
    .view_age_ms = c->at_head_ms < 0 ? INT32_MAX : now_ms - c->at_head_ms,
    .log_reachable = c->log_reachable,
    .may_start_until_ms = c->may_start_until_ms,
    .is_catching_up = !recovery_has_caught_up (c->recovery),
    .resuming = c->resuming,
    .stopping = c->stopping,
    .out = out,
  };

  return t;
}

/* Log entries. */

static void
note_verdict (struct core *c, struct turn *t, const struct log_entry *e,
              enum verdict verdict)
{
  const struct record *r = e->record;

  if (verdict != VERDICT_ACCEPTED && verdict != VERDICT_REPEATED)
    counters_add (c->counters, COUNTER_RECORDS_REFUSED, 1);
  if (r->incarnation != c->incarnation || strcmp (r->node, c->node) != 0)
    return;
  g_hash_table_remove (c->unconfirmed_uids, r->uid);
  if (r->kind == RECORD_CLAIM)
    requests_handle_claim_verdict (c->requests, t, r, e->offset, verdict);
  else
    operators_handle_verdict (c->operators, t, r, e->offset, verdict);
}

/* Mark the leaving VMs in the broker's slots and in the request table, so that
   they get no new work. */
static void
mark_leaving_vms (struct core *c)
{
  GHashTable *names = leaving_names (c->leaving);
  const GPtrArray *vms = fleet_vms (c->fleet);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);
      bool leaving = g_hash_table_contains (names, v->vm);

      slot_table_set_leaving (broker_slot_table (c->broker), v->vm, leaving);
      requests_set_vm_leaving (c->requests, v->vm, leaving);
    }
}

/* Apply E to the fleet state.  Return whether it may have changed a VM. */
static bool
apply_entry (struct core *c, struct turn *t, const struct log_entry *e)
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
  note_verdict (c, t, e, fleet_apply (c->fleet, r, e->offset, e->at_ms));
  if (r->kind == RECORD_CHECKPOINT)
    recovery_handle_checkpoint (c->recovery, t, &r->u.checkpoint);
  return r->kind == RECORD_VM_ADD || r->kind == RECORD_VM_STEP;
}

/* If recovery has restored a fleet state from a snapshot, replace this node's
   by it and apply the log entries that were read after the snapshot. */
static void
install_restored_fleet (struct core *c, struct turn *t)
{
  GQueue *entries_after;
  struct fleet *f = recovery_take_restored (c->recovery, &entries_after);
  struct log_entry *e;

  if (f == NULL)
    return;
  fleet_destroy (c->fleet);
  c->fleet = f;
  t->fleet = f;
  counters_add (c->counters, COUNTER_SNAPSHOTS_RESTORED, 1);
  /* Some of these records may stand in the part of the log that this node has
     skipped, and will never be read back; so a stop waits for none of them. */
  g_hash_table_remove_all (c->unconfirmed_uids);
  requests_handle_fleet_restored (c->requests, t);
  while ((e = g_queue_pop_head (entries_after)) != NULL)
    {
      apply_entry (c, t, e);
      record_destroy (e->record);
      g_free (e);
    }
  g_queue_free (entries_after);
  broker_sync (c->broker, t);
  mark_leaving_vms (c);
}

static void
handle_records (struct core *c, struct turn *t, struct message_records *m)
{
  bool vms_changed = false;

  if (recovery_buffer_records (c->recovery, t, m))
    {
      install_restored_fleet (c, t);
      return;
    }
  for (guint i = 0; i < m->entries->len; i++)
    vms_changed |= apply_entry (
        c, t, &g_array_index (m->entries, struct log_entry, i));
  if (!vms_changed)
    return;
  broker_sync (c->broker, t);
  mark_leaving_vms (c);
}

static void
handle_log_state (struct core *c, struct turn *t,
                  const struct message_log_state *m)
{
  c->log_reachable = m->is_reachable;
  t->log_reachable = m->is_reachable;
  recovery_handle_log_state (c->recovery, t, m);
  /* The answer shows the head at the time of the question or later, so the
     fleet was current at least when the question was asked. */
  if (!c->resuming && m->is_reachable && fleet_offset (c->fleet) >= m->head)
    c->at_head_ms = MAX (c->at_head_ms,
                         m->requested_ms != 0 ? m->requested_ms : t->now_ms);
}

/* The VM list, read by this node or reported by peers. */

static void
update_leaving (struct core *c, int64_t now_ms)
{
  if (leaving_update (c->leaving, c->members, now_ms))
    mark_leaving_vms (c);
}

/* Take over from the planner which VMs are not live by the list requested at
   ASKED_MS, and update the set of leaving VMs.  If the set grew, the peers are
   told at the next tick. */
static void
update_own_leaving (struct core *c, int64_t asked_ms, int64_t now_ms)
{
  GHashTable *names = plan_not_live (c->plan);
  guint before = g_hash_table_size (leaving_names (c->leaving));

  leaving_set_own (c->leaving, names, asked_ms);
  g_hash_table_unref (names);
  update_leaving (c, now_ms);
  c->is_heartbeat_due
      |= g_hash_table_size (leaving_names (c->leaving)) > before;
}

static void
handle_vm_list (struct core *c, struct turn *t,
                const struct message_vm_list *m)
{
  plan_update_list (c->plan, m->vms, t->now_ms);
  plan_add_listed (c->plan, t);
  listing_publish_changes (c->listing, t, m->vms);
  update_own_leaving (c, m->requested_ms, t->now_ms);
}

static void
handle_vm_news (struct core *c, const struct peer_message *p, int64_t now_ms)
{
  const GArray *states = p->u.vm_news.states;

  for (guint i = 0; i < states->len; i++)
    {
      const struct peer_vm_state *s
          = &g_array_index (states, struct peer_vm_state, i);

      plan_note_vm (c->plan, s->vm, s->state, s->running, now_ms);
    }
  update_own_leaving (c, now_ms, now_ms);
  listing_note_changes (c->listing, &p->u.vm_news);
  listing_note_read (c->listing, p->from, now_ms);
}

static void
handle_heartbeat (struct core *c, const struct peer_message *p, int64_t now_ms)
{
  recovery_note_peer_offset (c->recovery, p->u.heartbeat.offset);
  if (members_handle_heartbeat (c->members, p, now_ms))
    counters_add (c->counters, COUNTER_OWNER_CHANGES, 1);
  update_leaving (c, now_ms);
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
      requests_handle_slot_reply (c->requests, t, p);
      break;
    case PEER_SNAPSHOT_ASK:
    case PEER_SNAPSHOT_PART:
      recovery_handle_snapshot_message (c->recovery, t, p);
      install_restored_fleet (c, t);
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

/* Ticks: heartbeats, joining, stopping and planning. */

/* Return the load of the pools that this node owns (struct peer_load), for a
   heartbeat and the planner.  The caller owns it. */
static GArray *
owned_pool_loads (struct core *c)
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
      l.slots = slot_table_pool_slots (broker_slot_table (c->broker), pool,
                                       &l.used);
      g_array_append_val (loads, l);
    }
  return loads;
}

/* Return the VMs closed to new work on which this node still has runs.  The
   caller frees them. */
static char **
closed_vms_with_runs (struct core *c)
{
  const GPtrArray *vms = fleet_vms (c->fleet);
  GPtrArray *busy = g_ptr_array_new ();

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (v->phase != VM_SERVING
          && requests_count_on_vm (c->requests, v->vm) > 0)
        g_ptr_array_add (busy, g_strdup (v->vm));
    }
  g_ptr_array_add (busy, NULL);
  return (char **)g_ptr_array_free (busy, FALSE);
}

static struct peer_message *
make_heartbeat (struct core *c, const struct turn *t)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_HEARTBEAT);
  struct peer_heartbeat *h = &p->u.heartbeat;

  h->zone = g_strdup (c->zone);
  h->offset = fleet_offset (c->fleet);
  h->config_version = fleet_config_version (c->fleet);
  h->view_age_ms = t->view_age_ms;
  h->stopping = c->stopping;
  h->stamp_ms = t->now_ms;
  h->list_age_ms = leaving_list_age_ms (c->leaving, t->now_ms);
  h->leaving = leaving_own_names (c->leaving);
  h->busy = closed_vms_with_runs (c);
  h->loads = owned_pool_loads (c);
  return p;
}

/* Return a heartbeat message with the content of H, without its echoes. */
static struct peer_message *
copy_heartbeat (const struct turn *t, const struct peer_heartbeat *h)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_HEARTBEAT);
  struct peer_heartbeat *copy = &p->u.heartbeat;

  *copy = *h;
  copy->zone = g_strdup (h->zone);
  copy->leaving = g_strdupv (h->leaving);
  copy->busy = g_strdupv (h->busy);
  copy->loads = g_array_ref (h->loads);
  return p;
}

/* Send each alive member a heartbeat that echoes only that member's own stamp,
   so that the size of a heartbeat does not grow with the number of nodes.
   Every BROADCAST_EVERY_HEARTBEATS intervals, send one without echo to all
   nodes, so that those that this node has not heard yet learn of it.  The
   common content is computed once. */
static void
send_heartbeats (struct core *c, struct turn *t)
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
  if (c->stopping || c->last_broadcast_ms == 0
      || t->now_ms - c->last_broadcast_ms
             >= BROADCAST_EVERY_HEARTBEATS * members_heartbeat_ms (c->members))
    {
      turn_send (t, "", copy_heartbeat (t, &common->u.heartbeat));
      c->last_broadcast_ms = t->now_ms;
    }
  peer_message_destroy (common);
  c->last_heartbeat_ms = t->now_ms;
  c->is_heartbeat_due = false;
}

static void
request_join (struct core *c, struct turn *t)
{
  struct record *r;

  if (c->stopping || !c->log_reachable
      || fleet_has_joined (c->fleet, c->node, c->incarnation)
      || (c->join_sent_ms != 0 && t->now_ms - c->join_sent_ms < JOIN_RETRY_MS))
    return;
  r = record_new (RECORD_NODE_JOIN, c->node, c->incarnation);
  r->u.node_join.zone = g_strdup (c->zone);
  turn_append (t, r);
  c->join_sent_ms = t->now_ms;
}

static void
set_table_gauges (struct core *c)
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

/* Return whether a stop waits until R is read back from the log.  It waits for
   outcomes, as a key whose outcome is lost stays unknown until it expires. */
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
  if (g_hash_table_size (c->unconfirmed_uids) > 0
      && t->now_ms - c->stop_began_ms < STOP_FLUSH_TIMEOUT_MS)
    return;
  counters_add (c->counters, COUNTER_OUTCOMES_UNLOGGED_AT_STOP,
                g_hash_table_size (c->unconfirmed_uids));
  c->stopped = true;
  turn_emit (t, message_new (MESSAGE_STOPPED));
}

static void
handle_tick (struct core *c, struct turn *t)
{
  set_table_gauges (c);
  if (members_expire (c->members, t->now_ms))
    {
      counters_add (c->counters, COUNTER_MEMBERS_SUSPECTED, 1);
      counters_add (c->counters, COUNTER_OWNER_CHANGES, 1);
    }
  update_leaving (c, t->now_ms);
  if (c->last_heartbeat_ms == 0 || c->is_heartbeat_due
      || t->now_ms - c->last_heartbeat_ms >= members_heartbeat_ms (c->members))
    send_heartbeats (c, t);
  request_join (c, t);
  recovery_step (c->recovery, t);
  if (listing_is_due (c->listing, t))
    turn_emit (t, message_new (MESSAGE_READ_VM_LIST));
  requests_step (c->requests, t);
  operators_step (c->operators, t);
  keys_step (c->keys, t);
  if (!t->is_catching_up && t->now_ms - c->last_plan_ms >= PLAN_INTERVAL_MS)
    {
      GArray *loads = owned_pool_loads (c);

      plan_step (c->plan, t, c->requests, loads);
      g_array_unref (loads);
      c->last_plan_ms = t->now_ms;
    }
}

static void
handle_stop (struct core *c, struct turn *t)
{
  struct record *r = record_new (RECORD_NODE_LEAVE, c->node, c->incarnation);

  r->u.node_leave.zone = g_strdup (c->zone);
  turn_append (t, r);
  c->stopping = true;
  c->stop_began_ms = t->now_ms;
  t->stopping = true;
  members_set_stopping (c->members, true);
  send_heartbeats (c, t);
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
handle_message (struct core *c, struct turn *t, struct message *m)
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
    case MESSAGE_SEND_TO_PEER:
    case MESSAGE_VM_ORDER:
    case MESSAGE_READ_VM_LIST:
    case MESSAGE_REPLY:
    case MESSAGE_READ_LOG:
    case MESSAGE_STOPPED:
      break;
    }
}

/* Empty PRODUCED: handle the peer messages that this node sent to itself, and
   move all other messages to OUT.  Note the records that a stop waits for. */
static void
forward_messages (struct core *c, struct turn *t, GQueue *produced,
                  GQueue *out)
{
  struct message *m;

  while ((m = g_queue_pop_head (produced)) != NULL)
    {
      if (m->kind == MESSAGE_SEND_TO_PEER
          && strcmp (m->u.send_to_peer.to, c->node) == 0)
        {
          handle_peer (c, t, m->u.send_to_peer.peer);
          message_destroy (m);
        }
      else
        {
          if (m->kind == MESSAGE_APPEND && stop_waits_for (m->u.append.record))
            g_hash_table_add (c->unconfirmed_uids,
                              g_strdup (m->u.append.record->uid));
          g_queue_push_tail (out, m);
        }
    }
}

/* Compute anew until when this node may start work.  A message may have
   extended or ended this permission, so it is updated before any decision that
   depends on it. */
static void
update_permission (struct core *c, struct turn *t)
{
  c->may_start_until_ms = permission_until (t, c->at_head_ms);
  t->may_start_until_ms = c->may_start_until_ms;
}

void
core_handle (struct core *core, struct message *message, int64_t now_ms,
             GQueue *out)
{
  GQueue produced = G_QUEUE_INIT;
  struct turn t;

  detect_pause (core, now_ms, out);
  t = begin_turn (core, now_ms, &produced);
  update_permission (core, &t);
  handle_message (core, &t, message);
  update_permission (core, &t);
  message_destroy (message);
  forward_messages (core, &t, &produced, out);
  broker_step (core->broker, &t);
  forward_messages (core, &t, &produced, out);
  finish_stopping (core, &t);
  forward_messages (core, &t, &produced, out);
}
