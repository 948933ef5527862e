#include "claim_world.h"

#include "fleet_state.h"
#include "snapshot.h"
#include "turn.h"

#include <string.h>

#define REMEMBER_MS 100000

static const char *const action_names[ACTION_COUNT]
    = { "begin",     "write",  "write-lost", "copy",
        "read",      "grant",  "grant-late", "arrive",
        "turn-away", "answer", "break-off",  "time-out",
        "crash",     "forget", "outage",     "restore" };

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

/* Parsed configurations for the next worlds: reading one takes longer than all
   the rest of a world. */
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
end_fleet (struct fleet *f)
{
  g_queue_push_head (&spare_configs, g_steal_pointer (&f->config));
  fleet_destroy (f);
}

void
world_end_all (void)
{
  struct config *c;

  while ((c = g_queue_pop_head (&spare_configs)) != NULL)
    config_destroy (c);
}

static struct key_id
the_key (void)
{
  return key_id_make ("t", "a", "c", "k");
}

/* Fold S, which stands at place INDEX of the log, as MUTATION has it. */
static enum verdict
fold (struct fleet *f, const struct sheet *s, int index,
      enum mutation mutation)
{
  struct record r = *s->record; /* shallow, for this call */
  const struct fleet_claim *c;

  if (mutation == COPY_OF_FORGOTTEN && r.kind == RECORD_CLAIM)
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
  w->left = model->budgets;
  w->log_ms = 1000;
  w->judge = make_fleet (model);
  w->counters = counters_new ();
  for (int i = 0; i < model->nodes; i++)
    {
      struct holder *h = &w->holders[i];

      h->alive = true;
      h->fleet = make_fleet (model);
      h->requests = requests_new (4);
      h->members = members_new (node_names[i], "z", (uint64_t)i + 1);
      h->records
          = g_ptr_array_new_with_free_func ((GDestroyNotify)record_destroy);
    }
}

void
world_clear (struct world *w)
{
  for (int i = 0; i < w->model->nodes; i++)
    {
      struct holder *h = &w->holders[i];

      end_fleet (h->fleet);
      requests_destroy (h->requests);
      members_destroy (h->members);
      g_ptr_array_unref (h->records);
      peer_message_destroy (h->old_grant);
    }
  end_fleet (w->judge);
  counters_destroy (w->counters);
}

/* The promises, after every step. */
static void
check (struct world *w)
{
  const struct fleet_claim *c = fleet_find_claim (w->judge, the_key ());
  int starts = 0;

  for (int i = 0; i < w->model->nodes; i++)
    {
      const struct holder *h = &w->holders[i];

      starts += h->starts;
      if (h->said_not_run && h->starts > 0)
        w->broken = "a caller heard not-run of what started";
      if (c != NULL && c->has_outcome && c->outcome == OUTCOME_NOT_RUN
          && c->incarnation == (uint64_t)i + 1 && h->starts > 0)
        w->broken = "the log says not-run of what started";
    }
  if (starts > 1 + w->forgets)
    w->broken = "the key ran twice";
}

/* What a node puts out. */

static struct turn
make_turn (struct world *w, int i, GQueue *out)
{
  struct holder *h = &w->holders[i];
  struct turn t = {
    .now_ms = h->timed_out ? 100000 : 1000,
    .node = node_names[i],
    .incarnation = (uint64_t)i + 1,
    .fleet = h->fleet,
    .members = h->members,
    .counters = w->counters,
    .log_reachable = !w->down,
    .may_start_until_ms = INT64_MAX, /* moves of VMs are not explored here */
    .out = out,
  };

  return t;
}

static void
queue_record (struct holder *h, int i, struct record *r)
{
  struct sheet s = { r, i, (int)h->records->len, 0 };

  g_ptr_array_add (h->records, r);
  g_assert_cmpint (h->outbox_n, <, OUTBOX_MAX);
  h->outbox[h->outbox_n++] = s;
}

static void
cancel_record (struct holder *h, const char *uid)
{
  for (int k = 0; k < h->outbox_n; k++)
    if (strcmp (h->outbox[k].record->uid, uid) == 0)
      {
        memmove (&h->outbox[k], &h->outbox[k + 1],
                 (gsize)(h->outbox_n - k - 1) * sizeof h->outbox[0]);
        h->outbox_n--;
        return;
      }
}

static void
note_ask (struct holder *h, const struct peer_message *p)
{
  if (p->kind == PEER_SLOT_ASK)
    {
      h->asked = true;
      h->attempt = p->u.slot_ask.attempt;
    }
  else if (p->kind == PEER_SLOT_CANCEL)
    h->asked = false;
}

static void
take_out (struct world *w, int i, GQueue *out)
{
  struct holder *h = &w->holders[i];
  struct message *m;

  while ((m = g_queue_pop_head (out)) != NULL)
    {
      if (m->kind == MESSAGE_APPEND)
        queue_record (h, i, g_steal_pointer (&m->u.append.record));
      else if (m->kind == MESSAGE_APPEND_CANCEL)
        cancel_record (h, m->u.append_cancel.uid);
      else if (m->kind == MESSAGE_SEND)
        note_ask (h, m->u.send.peer);
      else if (m->kind == MESSAGE_RUN)
        {
          g_assert_cmpint (h->flight, !=, SENT);
          h->flight = SENT;
          h->run_attempt = m->u.run.attempt;
        }
      else if (m->kind == MESSAGE_REFUSE
               && reason_outcome (m->u.refuse.reason) == OUTCOME_NOT_RUN)
        h->said_not_run = true;
      message_destroy (m);
    }
}

/* Steps. */

static void
begin (struct world *w, int i, struct turn *t)
{
  struct message *m = message_new (MESSAGE_REQUEST);
  struct message_request *q = &m->u.request;

  q->request = 7;
  q->service = g_strdup ("a");
  q->class_name = g_strdup ("c");
  q->token = g_strdup ("foo");
  q->key = g_strdup ("k");
  q->body_hash = 5;
  w->holders[i].begun = true;
  requests_begin (w->holders[i].requests, t, q);
  message_destroy (m);
}

static void
write_sheet (struct world *w, struct sheet s)
{
  uint64_t id[4] = { w->log_hash, (uint64_t)s.node, (uint64_t)s.number,
                     (uint64_t)w->log_ms };

  g_assert_cmpint (w->log_n, <, LOG_MAX);
  s.at_ms = w->log_ms;
  w->log[w->log_n] = s;
  fold (w->judge, &s, w->log_n, w->model->mutation);
  w->log_n++;
  w->log_hash = XXH3_64bits (id, sizeof id);
}

static void
write_oldest (struct world *w, int i, bool lost)
{
  struct holder *h = &w->holders[i];
  struct sheet s = h->outbox[0];

  memmove (&h->outbox[0], &h->outbox[1],
           (gsize)(h->outbox_n - 1) * sizeof h->outbox[0]);
  h->outbox_n--;
  write_sheet (w, s);
  if (!lost)
    return;
  h->copy = s;
  w->left.lost--;
}

/* As the core does for each record that it folds. */
static void
read_next (struct world *w, int i, struct turn *t)
{
  struct holder *h = &w->holders[i];
  const struct sheet *s = &w->log[h->read];
  enum mutation mutation = w->model->mutation;
  enum verdict v = fold (h->fleet, s, h->read, mutation);
  bool own = s->node == i || mutation == ANY_NODE_MAY_RUN;

  if (own && mutation == LOSER_MAY_RUN && v == VERDICT_CONFLICT)
    v = VERDICT_ACCEPTED;
  if (own && s->record->kind == RECORD_CLAIM)
    requests_claimed (h->requests, t, s->record, (uint64_t)h->read + 3, v);
  h->read++;
}

static void
restore (struct world *w, int i, struct turn *t)
{
  struct holder *h = &w->holders[i];
  struct digest d;
  GBytes *bytes = snapshot_write (w->judge, &d);

  fleet_destroy (h->fleet);
  h->fleet = snapshot_read (bytes, d);
  g_bytes_unref (bytes);
  h->read = w->log_n;
  t->fleet = h->fleet;
  requests_restored (h->requests, t);
}

static void
grant (struct holder *h, struct turn *t)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_GRANT);

  p->u.slot_grant.request = 7;
  p->u.slot_grant.attempt = h->attempt;
  p->u.slot_grant.vm = g_strdup ("vm");
  p->u.slot_grant.valid_ms = 1000;
  h->asked = false;
  requests_handle (h->requests, t, p);
  peer_message_destroy (h->old_grant);
  h->old_grant = p;
}

static void
end_run (struct world *w, int i, struct turn *t, enum run_result result)
{
  struct holder *h = &w->holders[i];
  struct message_run_ended m = { 7, h->run_attempt, result, 200, 1 };

  if (result == RUN_LOST && w->model->mutation == LOST_IS_NOT_STARTED)
    m.result = RUN_NOT_STARTED;
  /* What is on its way when the connection breaks may still arrive. */
  if (h->flight == RUNNING || result == RUN_NOT_STARTED)
    h->flight = ENDED;
  requests_run_ended (h->requests, t, &m);
}

static void
crash (struct holder *h)
{
  h->alive = false;
  h->outbox_n = 0;
  h->asked = false;
}

/* Do STEP at a node that is alive. */
static void
do_node (struct world *w, const struct step *step, struct turn *t)
{
  struct holder *h = &w->holders[step->node];

  switch (step->action)
    {
    case BEGIN:
      begin (w, step->node, t);
      break;
    case READ:
      read_next (w, step->node, t);
      break;
    case GRANT:
      grant (h, t);
      break;
    case GRANT_LATE:
      w->left.late_grants--;
      requests_handle (h->requests, t, h->old_grant);
      break;
    case TURN_AWAY:
      w->left.turn_aways--;
      end_run (w, step->node, t, RUN_NOT_STARTED);
      break;
    case ANSWER:
      end_run (w, step->node, t, RUN_ANSWERED);
      break;
    case BREAK_OFF:
      w->left.break_offs--;
      end_run (w, step->node, t, RUN_LOST);
      break;
    case TIME_OUT:
      w->left.time_outs--;
      h->timed_out = true;
      t->now_ms = 100000;
      requests_step (h->requests, t);
      break;
    case RESTORE:
      w->left.restores--;
      restore (w, step->node, t);
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
note_history (struct world *w, const struct step *step)
{
  struct holder *h = &w->holders[step->node];
  uint64_t id[4] = { h->history, (uint64_t)step->action, w->down, 0 };

  if (step->action == READ)
    id[3] = (uint64_t)w->log[h->read].node << 32
            | (uint64_t)w->log[h->read].number;
  if (step->action == READ)
    id[2] = (uint64_t)w->log[h->read].at_ms;
  if (step->action == RESTORE)
    id[3] = w->log_hash;
  h->history = XXH3_64bits (id, sizeof id);
}

void
world_do_step (struct world *w, const struct step *step)
{
  struct holder *h = &w->holders[step->node];
  GQueue out = G_QUEUE_INIT;
  struct turn t;

  switch (step->action)
    {
    case WRITE:
    case WRITE_LOST:
      write_oldest (w, step->node, step->action == WRITE_LOST);
      break;
    case COPY:
      write_sheet (w, h->copy);
      h->copy.record = NULL;
      break;
    case ARRIVE:
      h->flight = RUNNING;
      h->starts++;
      break;
    case CRASH:
      w->left.crashes--;
      crash (h);
      break;
    case FORGET:
      w->left.forgets--;
      w->forgets++;
      w->log_ms += 2 * REMEMBER_MS;
      break;
    case OUTAGE:
      w->left.outages--;
      w->down = !w->down;
      break;
    default:
      note_history (w, step);
      t = make_turn (w, step->node, &out);
      do_node (w, step, &t);
      take_out (w, step->node, &out);
      break;
    }
  check (w);
}

static bool
may_node (const struct world *w, const struct holder *h, enum action a)
{
  switch (a)
    {
    case BEGIN:
      return !h->begun;
    case WRITE:
      return !w->down && h->outbox_n > 0;
    case WRITE_LOST:
      return !w->down && h->outbox_n > 0 && w->left.lost > 0
             && h->copy.record == NULL;
    case READ:
      return !w->down && h->read < w->log_n;
    case GRANT:
      return h->asked;
    case GRANT_LATE:
      return h->old_grant != NULL && w->left.late_grants > 0;
    case TURN_AWAY:
      return h->flight == SENT && w->left.turn_aways > 0;
    case ANSWER:
      return h->flight == RUNNING;
    case BREAK_OFF:
      return (h->flight == SENT || h->flight == RUNNING)
             && requests_running (h->requests) > 0 && w->left.break_offs > 0;
    case TIME_OUT:
      return w->left.time_outs > 0 && !h->timed_out
             && requests_count (h->requests) > 0
             && requests_running (h->requests) == 0;
    case CRASH:
      return w->left.crashes > 0 && h->begun;
    case RESTORE:
      return !w->down && w->left.restores > 0 && h->read < w->log_n;
    default:
      return false;
    }
}

bool
world_may_step (const struct world *w, const struct step *step)
{
  const struct holder *h = &w->holders[step->node];

  switch (step->action)
    {
    case COPY:
      return !w->down && h->copy.record != NULL;
    case ARRIVE:
      return h->flight == SENT;
    case FORGET:
      return step->node == 0 && w->left.forgets > 0 && w->log_n > 0;
    case OUTAGE:
      return step->node == 0 && w->left.outages > 0;
    default:
      return h->alive && may_node (w, h, step->action);
    }
}

/* The name of the state of W. */
XXH128_hash_t
world_name (const struct world *w)
{
  GByteArray *b = g_byte_array_new ();
  XXH128_hash_t hash;

  g_byte_array_append (b, (const guint8 *)&w->left, sizeof w->left);
  g_byte_array_append (b, (const guint8 *)&w->log_hash, sizeof w->log_hash);
  for (int i = 0; i < w->model->nodes; i++)
    {
      const struct holder *h = &w->holders[i];
      int64_t row[] = { (int64_t)h->history,
                        h->alive,
                        h->read,
                        h->outbox_n,
                        h->copy.record == NULL ? -1 : h->copy.number,
                        h->flight,
                        h->starts,
                        h->asked,
                        w->down,
                        w->log_ms };

      g_byte_array_append (b, (const guint8 *)row, sizeof row);
    }
  hash = XXH3_128bits (b->data, b->len);
  g_byte_array_unref (b);
  return hash;
}
