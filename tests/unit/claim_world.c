#include "claim_world.h"

#include "fleet_state.h"
#include "snapshot.h"
#include "turn.h"

#include <string.h>

#define REMEMBER_MS 100000

static const char *const action_names[ACTION_COUNT]
    = { "begin",      "write",       "write-lost",      "copy",
        "read",       "grant",       "grant-again",     "arrive",
        "refuse-run", "answer",      "lose-connection", "time-out",
        "crash",      "expire-keys", "outage",          "restore" };

static const char *const node_names[NODES_MAX] = { "n1", "n2", "n3" };

const char *
action_name (enum action action)
{
  return action_names[action];
}

const char *
node_name (int node)
{
  return node_names[node];
}

static const char config_text[]
    = "{\"teams\":[{\"name\":\"t\",\"token_sha256\":"
      "\"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\","
      "\"quota_slots\":9}],"
      "\"pools\":[{\"name\":\"a\",\"spare\":false,\"min_vms\":1}],"
      "\"services\":[{\"name\":\"a\",\"pool\":\"a\"}],"
      "\"classes\":[{\"name\":\"c\",\"service\":\"a\","
      "\"start_within_ms\":1000,\"max_unavailable_percent\":50,"
      "\"remember_key_ms\":100000,\"idempotent\":%s}]}";

/* Records. */

static struct record *
make_config (bool idempotent)
{
  struct record *r = record_new (RECORD_CONFIG, "operator", 1);

  r->u.config.text
      = g_strdup_printf (config_text, idempotent ? "true" : "false");
  return r;
}

static struct record *
make_vm (void)
{
  struct record *r = record_new (RECORD_VM_ADD, "operator", 1);
  struct record_vm_add *v = &r->u.vm_add;

  v->vm = g_strdup ("vm");
  v->address = g_strdup ("127.0.0.1");
  v->port = 1;
  v->zone = g_strdup ("z");
  v->rack = g_strdup ("r");
  v->pool = g_strdup ("a");
  v->slots = 8;
  return r;
}

/* Parsed configurations for the next worlds.  They are reused, because parsing
   one takes longer than everything else in a world. */
static GQueue spare_configs = G_QUEUE_INIT;

static struct fleet *
make_fleet (const struct model *m)
{
  struct fleet *f = fleet_new ();
  struct record *config = make_config (m->mutation == NO_CLAIM);
  struct record *vm = make_vm ();

  f->config = g_queue_pop_head (&spare_configs);
  f->config_version = f->config != NULL;
  f->offset = f->config_version;
  if (f->config == NULL)
    fleet_apply (f, config, 1, 1000);
  fleet_apply (f, vm, 2, 1000);
  record_destroy (config);
  record_destroy (vm);
  return f;
}

static void
free_fleet (struct fleet *f)
{
  g_queue_push_head (&spare_configs, g_steal_pointer (&f->config));
  fleet_destroy (f);
}

void
world_free_spare_configs (void)
{
  struct config *c;

  while ((c = g_queue_pop_head (&spare_configs)) != NULL)
    config_destroy (c);
}

static struct key_id
model_key (void)
{
  return key_id_make ("t", "a", "c", "k");
}

/* Apply S, which stands at INDEX of the log, with the fault of MUTATION. */
static enum verdict
apply (struct fleet *f, const struct model_record *s, int index,
       enum mutation mutation)
{
  struct record r = *s->record; /* shallow, for this call */
  const struct fleet_claim *c;

  if (mutation == COPY_OF_EXPIRED && r.kind == RECORD_CLAIM)
    r.u.claim.seen = INT64_MAX;
  if (mutation == ANY_PRIOR && r.kind == RECORD_CLAIM)
    {
      c = fleet_find_claim (f, r.u.claim.key);
      r.u.claim.prior = c != NULL ? c->changed_at_offset : 0;
    }
  if (mutation == ANY_OUTCOME && r.kind == RECORD_OUTCOME)
    {
      c = fleet_find_claim (f, r.u.outcome.key);
      if (c != NULL)
        {
          r.u.outcome.claim = c->claimed_at_offset;
          r.incarnation = c->incarnation;
        }
    }
  return fleet_apply (f, &r, (uint64_t)index + 3, s->at_ms);
}

/* Worlds. */

void
world_init (struct world *w, const struct model *model)
{
  memset (w, 0, sizeof *w);
  g_assert_cmpint (model->nodes, <=, NODES_MAX);
  w->model = model;
  w->remaining = model->budgets;
  w->log_ms = 1000;
  w->reference_fleet = make_fleet (model);
  w->counters = counters_new ();
  for (int i = 0; i < model->nodes; i++)
    {
      struct model_node *n = &w->nodes[i];

      n->is_alive = true;
      n->fleet = make_fleet (model);
      n->requests = requests_new (4);
      n->members = members_new (node_names[i], "z", (uint64_t)i + 1);
      n->records
          = g_ptr_array_new_with_free_func ((GDestroyNotify)record_destroy);
    }
}

void
world_clear (struct world *w)
{
  for (int i = 0; i < w->model->nodes; i++)
    {
      struct model_node *n = &w->nodes[i];

      free_fleet (n->fleet);
      requests_destroy (n->requests);
      members_destroy (n->members);
      g_ptr_array_unref (n->records);
      peer_message_destroy (n->old_grant);
    }
  free_fleet (w->reference_fleet);
  counters_destroy (w->counters);
}

/* Check the invariants after a step. */
static void
check_invariants (struct world *w)
{
  const struct fleet_claim *c
      = fleet_find_claim (w->reference_fleet, model_key ());
  int starts = 0;

  for (int i = 0; i < w->model->nodes; i++)
    {
      const struct model_node *n = &w->nodes[i];

      starts += n->starts;
      if (n->reported_not_run && n->starts > 0)
        w->violation = "a caller was told not-run, but the run had started";
      if (c != NULL && c->has_outcome && c->outcome == OUTCOME_NOT_RUN
          && c->incarnation == (uint64_t)i + 1 && n->starts > 0)
        w->violation = "the log says not-run, but the run had started";
    }
  if (starts > 1 + w->key_expiries)
    w->violation = "the key ran twice";
}

/* The output of a node. */

static struct turn
make_turn (struct world *w, int i, GQueue *out)
{
  struct model_node *n = &w->nodes[i];
  struct turn t = {
    .now_ms = n->has_timed_out ? 100000 : 1000,
    .node = node_names[i],
    .incarnation = (uint64_t)i + 1,
    .fleet = n->fleet,
    .members = n->members,
    .counters = w->counters,
    .log_reachable = !w->log_down,
    .may_start_until_ms = INT64_MAX, /* moves of VMs are not explored here */
    .out = out,
  };

  return t;
}

static void
queue_record (struct model_node *n, int i, struct record *r)
{
  struct model_record s = { r, i, (int)n->records->len, 0 };

  g_ptr_array_add (n->records, r);
  g_assert_cmpint (n->outbox_n, <, OUTBOX_MAX);
  n->outbox[n->outbox_n++] = s;
}

static void
cancel_record (struct model_node *n, const char *uid)
{
  for (int k = 0; k < n->outbox_n; k++)
    if (strcmp (n->outbox[k].record->uid, uid) == 0)
      {
        memmove (&n->outbox[k], &n->outbox[k + 1],
                 (gsize)(n->outbox_n - k - 1) * sizeof n->outbox[0]);
        n->outbox_n--;
        return;
      }
}

static void
note_slot_request (struct model_node *n, const struct peer_message *p)
{
  if (p->kind == PEER_SLOT_ASK)
    {
      n->slot_requested = true;
      n->attempt = p->u.slot_ask.attempt;
    }
  else if (p->kind == PEER_SLOT_CANCEL)
    n->slot_requested = false;
}

static void
handle_output (struct world *w, int i, GQueue *out)
{
  struct model_node *n = &w->nodes[i];
  struct message *m;

  while ((m = g_queue_pop_head (out)) != NULL)
    {
      if (m->kind == MESSAGE_APPEND)
        queue_record (n, i, g_steal_pointer (&m->u.append.record));
      else if (m->kind == MESSAGE_APPEND_CANCEL)
        cancel_record (n, m->u.append_cancel.uid);
      else if (m->kind == MESSAGE_SEND_TO_PEER)
        note_slot_request (n, m->u.send_to_peer.peer);
      else if (m->kind == MESSAGE_RUN)
        {
          g_assert_cmpint (n->run_stage, !=, STAGE_SENT);
          n->run_stage = STAGE_SENT;
          n->run_attempt = m->u.run.attempt;
        }
      else if (m->kind == MESSAGE_REFUSE
               && reason_outcome (m->u.refuse.reason) == OUTCOME_NOT_RUN)
        n->reported_not_run = true;
      message_destroy (m);
    }
}

/* Steps. */

static void
begin_request (struct world *w, int i, struct turn *t)
{
  struct message *m = message_new (MESSAGE_REQUEST);
  struct message_request *q = &m->u.request;

  q->request = 7;
  q->service = g_strdup ("a");
  q->class_name = g_strdup ("c");
  q->token = g_strdup ("foo");
  q->key = g_strdup ("k");
  q->body_hash = 5;
  w->nodes[i].has_begun = true;
  requests_begin (w->nodes[i].requests, t, q);
  message_destroy (m);
}

static void
append_to_log (struct world *w, struct model_record s)
{
  uint64_t id[4] = { w->log_hash, (uint64_t)s.node, (uint64_t)s.number,
                     (uint64_t)w->log_ms };

  g_assert_cmpint (w->log_n, <, LOG_MAX);
  s.at_ms = w->log_ms;
  w->log[w->log_n] = s;
  apply (w->reference_fleet, &s, w->log_n, w->model->mutation);
  w->log_n++;
  w->log_hash = XXH3_64bits (id, sizeof id);
}

static void
append_oldest (struct world *w, int i, bool lost)
{
  struct model_node *n = &w->nodes[i];
  struct model_record s = n->outbox[0];

  memmove (&n->outbox[0], &n->outbox[1],
           (gsize)(n->outbox_n - 1) * sizeof n->outbox[0]);
  n->outbox_n--;
  append_to_log (w, s);
  if (!lost)
    return;
  n->copy = s;
  w->remaining.lost_replies--;
}

/* Apply the next record of the log, as the core does. */
static void
read_next (struct world *w, int i, struct turn *t)
{
  struct model_node *n = &w->nodes[i];
  const struct model_record *s = &w->log[n->read_count];
  enum mutation mutation = w->model->mutation;
  enum verdict v = apply (n->fleet, s, n->read_count, mutation);
  bool own = s->node == i || mutation == ANY_NODE_MAY_RUN;

  if (own && mutation == LOST_CLAIM_MAY_RUN && v == VERDICT_CONFLICT)
    v = VERDICT_ACCEPTED;
  if (own && s->record->kind == RECORD_CLAIM)
    requests_handle_claim_verdict (n->requests, t, s->record,
                                   (uint64_t)n->read_count + 3, v);
  n->read_count++;
}

static void
restore_snapshot (struct world *w, int i, struct turn *t)
{
  struct model_node *n = &w->nodes[i];
  struct digest d;
  GBytes *bytes = snapshot_write (w->reference_fleet, &d);

  fleet_destroy (n->fleet);
  n->fleet = snapshot_read (bytes, d);
  g_bytes_unref (bytes);
  n->read_count = w->log_n;
  t->fleet = n->fleet;
  requests_handle_fleet_restored (n->requests, t);
}

static void
grant_slot (struct model_node *n, struct turn *t)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_GRANT);

  p->u.slot_grant.request = 7;
  p->u.slot_grant.attempt = n->attempt;
  p->u.slot_grant.vm = g_strdup ("vm");
  p->u.slot_grant.valid_ms = 1000;
  n->slot_requested = false;
  requests_handle_slot_reply (n->requests, t, p);
  peer_message_destroy (n->old_grant);
  n->old_grant = p;
}

static void
end_run (struct world *w, int i, struct turn *t, enum run_result result)
{
  struct model_node *n = &w->nodes[i];
  struct message_run_ended m = { 7, n->run_attempt, result, 200, 1 };

  if (result == RUN_LOST && w->model->mutation == LOST_IS_NOT_STARTED)
    m.result = RUN_NOT_STARTED;
  /* A request that is in transit when the connection breaks may still arrive.
   */
  if (n->run_stage == STAGE_RUNNING || result == RUN_NOT_STARTED)
    n->run_stage = STAGE_ENDED;
  requests_run_ended (n->requests, t, &m);
}

static void
crash_node (struct model_node *n)
{
  n->is_alive = false;
  n->outbox_n = 0;
  n->slot_requested = false;
}

/* Do STEP at a node that is alive. */
static void
do_node_step (struct world *w, const struct step *step, struct turn *t)
{
  struct model_node *n = &w->nodes[step->node];

  switch (step->action)
    {
    case BEGIN:
      begin_request (w, step->node, t);
      break;
    case READ:
      read_next (w, step->node, t);
      break;
    case GRANT:
      grant_slot (n, t);
      break;
    case GRANT_AGAIN:
      w->remaining.repeated_grants--;
      requests_handle_slot_reply (n->requests, t, n->old_grant);
      break;
    case REFUSE_RUN:
      w->remaining.refused_runs--;
      end_run (w, step->node, t, RUN_NOT_STARTED);
      break;
    case ANSWER:
      end_run (w, step->node, t, RUN_ANSWERED);
      break;
    case LOSE_CONNECTION:
      w->remaining.lost_connections--;
      end_run (w, step->node, t, RUN_LOST);
      break;
    case TIME_OUT:
      w->remaining.time_outs--;
      n->has_timed_out = true;
      t->now_ms = 100000;
      requests_step (n->requests, t);
      break;
    case RESTORE:
      w->remaining.restores--;
      restore_snapshot (w, step->node, t);
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
hash_history (struct world *w, const struct step *step)
{
  struct model_node *n = &w->nodes[step->node];
  uint64_t id[4] = { n->history_hash, (uint64_t)step->action, w->log_down, 0 };

  if (step->action == READ)
    id[3] = (uint64_t)w->log[n->read_count].node << 32
            | (uint64_t)w->log[n->read_count].number;
  if (step->action == READ)
    id[2] = (uint64_t)w->log[n->read_count].at_ms;
  if (step->action == RESTORE)
    id[3] = w->log_hash;
  n->history_hash = XXH3_64bits (id, sizeof id);
}

void
world_do_step (struct world *w, const struct step *step)
{
  struct model_node *n = &w->nodes[step->node];
  GQueue out = G_QUEUE_INIT;
  struct turn t;

  switch (step->action)
    {
    case WRITE:
    case WRITE_LOST:
      append_oldest (w, step->node, step->action == WRITE_LOST);
      break;
    case COPY:
      append_to_log (w, n->copy);
      n->copy.record = NULL;
      break;
    case ARRIVE:
      n->run_stage = STAGE_RUNNING;
      n->starts++;
      break;
    case CRASH:
      w->remaining.crashes--;
      crash_node (n);
      break;
    case EXPIRE_KEYS:
      w->remaining.key_expiries--;
      w->key_expiries++;
      w->log_ms += 2 * REMEMBER_MS;
      break;
    case OUTAGE:
      w->remaining.outages--;
      w->log_down = !w->log_down;
      break;
    default:
      hash_history (w, step);
      t = make_turn (w, step->node, &out);
      do_node_step (w, step, &t);
      handle_output (w, step->node, &out);
      break;
    }
  check_invariants (w);
}

static bool
may_node_do (const struct world *w, const struct model_node *n, enum action a)
{
  switch (a)
    {
    case BEGIN:
      return !n->has_begun;
    case WRITE:
      return !w->log_down && n->outbox_n > 0;
    case WRITE_LOST:
      return !w->log_down && n->outbox_n > 0 && w->remaining.lost_replies > 0
             && n->copy.record == NULL;
    case READ:
      return !w->log_down && n->read_count < w->log_n;
    case GRANT:
      return n->slot_requested;
    case GRANT_AGAIN:
      return n->old_grant != NULL && w->remaining.repeated_grants > 0;
    case REFUSE_RUN:
      return n->run_stage == STAGE_SENT && w->remaining.refused_runs > 0;
    case ANSWER:
      return n->run_stage == STAGE_RUNNING;
    case LOSE_CONNECTION:
      return (n->run_stage == STAGE_SENT || n->run_stage == STAGE_RUNNING)
             && requests_count_running (n->requests) > 0
             && w->remaining.lost_connections > 0;
    case TIME_OUT:
      return w->remaining.time_outs > 0 && !n->has_timed_out
             && requests_count (n->requests) > 0
             && requests_count_running (n->requests) == 0;
    case CRASH:
      return w->remaining.crashes > 0 && n->has_begun;
    case RESTORE:
      return !w->log_down && w->remaining.restores > 0
             && n->read_count < w->log_n;
    default:
      return false;
    }
}

bool
world_may_step (const struct world *w, const struct step *step)
{
  const struct model_node *n = &w->nodes[step->node];

  switch (step->action)
    {
    case COPY:
      return !w->log_down && n->copy.record != NULL;
    case ARRIVE:
      return n->run_stage == STAGE_SENT;
    case EXPIRE_KEYS:
      return step->node == 0 && w->remaining.key_expiries > 0 && w->log_n > 0;
    case OUTAGE:
      return step->node == 0 && w->remaining.outages > 0;
    default:
      return n->is_alive && may_node_do (w, n, step->action);
    }
}

XXH128_hash_t
world_hash (const struct world *w)
{
  GByteArray *b = g_byte_array_new ();
  XXH128_hash_t hash;

  g_byte_array_append (b, (const guint8 *)&w->remaining, sizeof w->remaining);
  g_byte_array_append (b, (const guint8 *)&w->log_hash, sizeof w->log_hash);
  for (int i = 0; i < w->model->nodes; i++)
    {
      const struct model_node *n = &w->nodes[i];
      int64_t row[] = { (int64_t)n->history_hash,
                        n->is_alive,
                        n->read_count,
                        n->outbox_n,
                        n->copy.record == NULL ? -1 : n->copy.number,
                        n->run_stage,
                        n->starts,
                        n->slot_requested,
                        w->log_down,
                        w->log_ms };

      g_byte_array_append (b, (const guint8 *)row, sizeof row);
    }
  hash = XXH3_128bits (b->data, b->len);
  g_byte_array_unref (b);
  return hash;
}
