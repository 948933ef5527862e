#include "requests.h"

#include "permission.h"

#include <string.h>

#define ASK_AGAIN_MS 1500
#define HOLD_RENEW_MS 2000
#define DEFAULT_RUN_PATIENCE_MS 60000
#define GIVEN_UP_MAX 10000
#define LOG_RETRY_AFTER_MIN_MS 1000
#define LOG_RETRY_AFTER_MAX_MS 30000
#define BUSY_RETRY_AFTER_MS 500

enum live_state
{
  LIVE_CLAIMING,
  LIVE_WAITING,
  LIVE_RUNNING
};

struct live
{
  uint64_t request;
  enum live_state state;
  char *service;
  char *class_name;
  char *pool;
  char *team;
  bool idempotent;
  uint64_t max_answer_bytes;
  int64_t expected_run_ms;
  int64_t start_by_ms;
  int64_t deadline_ms;
  struct key_id key;
  uint64_t body_hash;
  uint64_t claim;  /* offset of the claim, once won */
  char *claim_uid; /* while claiming */
  uint32_t attempt;
  uint32_t asked_attempt; /* of the last ask sent */
  char *owner;            /* node asked, or that granted */
  int64_t asked_ms;
  char *vm;        /* where it runs, or ran last */
  int64_t held_ms; /* last renewal of the slot's lease */
  enum reason ran; /* how its last run that may have started ended */
  bool abandoned;
};

/* A request that ended before the verdict on its claim was read. */
struct given_up
{
  uint64_t request;
  struct key_id key;
};

struct requests
{
  GHashTable *live;     /* request number -> struct live * */
  GHashTable *budgets;  /* "service/class" -> struct retry_budget * */
  GHashTable *leaving;  /* set of VM names */
  GHashTable *given_up; /* request number -> struct given_up *: refused while
                           its claim was on its way */
  uint32_t max_requests;
  uint32_t running;
};

static void
live_free (gpointer p)
{
  struct live *l = p;

  g_free (l->service);
  g_free (l->class_name);
  g_free (l->pool);
  g_free (l->team);
  g_free (l->claim_uid);
  g_free (l->owner);
  g_free (l->vm);
  g_free (l);
}

struct requests *
requests_new (uint32_t max_requests)
{
  struct requests *r = g_new0 (struct requests, 1);

  r->live
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, live_free);
  r->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->given_up
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  r->max_requests = max_requests;
  return r;
}

void
requests_destroy (struct requests *requests)
{
  if (requests == NULL)
    return;
  g_hash_table_unref (requests->live);
  g_hash_table_unref (requests->budgets);
  g_hash_table_unref (requests->leaving);
  g_hash_table_unref (requests->given_up);
  g_free (requests);
}

static struct live *
find (const struct requests *r, uint64_t request)
{
  gint64 id = (gint64)request;

  return g_hash_table_lookup (r->live, &id);
}

static struct retry_budget *
budget_of (struct requests *r, const struct live *l)
{
  char *name = g_strconcat (l->service, "/", l->class_name, NULL);
  struct retry_budget *b = g_hash_table_lookup (r->budgets, name);

  if (b != NULL)
    {
      g_free (name);
      return b;
    }
  b = g_new0 (struct retry_budget, 1);
  retry_budget_init (b);
  g_hash_table_insert (r->budgets, name, b);
  return b;
}

/* Ending a request. */

static void
send_refusal (struct turn *t, uint64_t request, enum reason reason,
              int64_t retry_after_ms)
{
  struct message *m = message_new (MESSAGE_REFUSE);

  m->u.refuse.request = request;
  m->u.refuse.reason = reason;
  m->u.refuse.retry_after_ms = retry_after_ms;
  turn_put (t, m);
  counters_add_reason (t->counters, reason);
}

static void
append_outcome (struct turn *t, struct key_id key, uint64_t claim,
                enum outcome outcome, enum reason reason, uint32_t status)
{
  struct record *r = record_new (RECORD_OUTCOME, t->node, t->incarnation);

  r->u.outcome.key = key;
  r->u.outcome.claim = claim;
  r->u.outcome.outcome = outcome;
  r->u.outcome.reason = reason;
  r->u.outcome.status = status;
  turn_append (t, r);
}

static void
cancel_claim (struct requests *r, struct turn *t, const struct live *l)
{
  struct message *m = message_new (MESSAGE_APPEND_CANCEL);
  struct given_up *g = g_new0 (struct given_up, 1);

  g->request = l->request;
  g->key = l->key;
  if (g_hash_table_size (r->given_up) >= GIVEN_UP_MAX)
    g_hash_table_remove_all (r->given_up);
  g_hash_table_replace (r->given_up, &g->request, g);

  m->u.append_cancel.uid = g_strdup (l->claim_uid);
  turn_put (t, m);
}

static void
cancel_ask (struct turn *t, const struct live *l)
{
  struct peer_message *p = turn_peer (t, PEER_SLOT_CANCEL);

  p->u.slot_cancel.request = l->request;
  p->u.slot_cancel.attempt = l->asked_attempt;
  turn_send (t, l->owner, p);
}

/* What ended L: REASON, unless that says "not run" and an earlier attempt may
   have started. */
static enum reason
true_reason (const struct live *l, enum reason reason)
{
  if (l->ran != REASON_NONE && reason_outcome (reason) == OUTCOME_NOT_RUN)
    return l->ran;
  return reason;
}

/* End L, which waits and so has not run in this attempt, for REASON. */
static void
end_waiting (struct requests *r, struct turn *t, struct live *l,
             enum reason reason, int64_t retry_after_ms)
{
  reason = true_reason (l, reason);
  if (l->state == LIVE_CLAIMING)
    cancel_claim (r, t, l);
  if (l->state == LIVE_WAITING && l->owner != NULL)
    cancel_ask (t, l);
  if (l->claim != 0)
    append_outcome (t, l->key, l->claim, reason_outcome (reason), reason, 0);
  if (!l->abandoned)
    send_refusal (t, l->request, reason, retry_after_ms);
  g_hash_table_remove (r->live, &l->request);
}

static void
return_slot (struct turn *t, const struct live *l, enum run_result result,
             int64_t run_ms)
{
  struct peer_message *p = turn_peer (t, PEER_SLOT_RETURN);

  p->u.slot_return.request = l->request;
  p->u.slot_return.attempt = l->attempt;
  p->u.slot_return.vm = g_strdup (l->vm);
  p->u.slot_return.result = result;
  p->u.slot_return.run_ms = run_ms;
  turn_send (t, l->owner, p);
}

/* Asking for a slot. */

static void
ask_slot (struct turn *t, struct live *l)
{
  const char *owner = members_owner (t->members, l->pool);
  struct peer_message *p = turn_peer (t, PEER_SLOT_ASK);

  if (l->owner != NULL && strcmp (l->owner, owner) != 0)
    cancel_ask (t, l);
  g_free (l->owner);
  l->owner = g_strdup (owner);
  l->asked_ms = t->now_ms;
  l->asked_attempt = ++l->attempt;
  l->state = LIVE_WAITING;
  p->u.slot_ask.request = l->request;
  p->u.slot_ask.attempt = l->attempt;
  p->u.slot_ask.pool = g_strdup (l->pool);
  p->u.slot_ask.class_name = g_strdup (l->class_name);
  p->u.slot_ask.team = g_strdup (l->team);
  p->u.slot_ask.avoid = g_strdup (l->vm != NULL ? l->vm : "");
  p->u.slot_ask.wait_ms = l->start_by_ms - t->now_ms;
  p->u.slot_ask.run_ms = l->expected_run_ms;
  turn_send (t, l->owner, p);
}

/* Admission. */

/* Whether this node is so cut off that it may not start work. */
static bool
view_is_too_old (const struct turn *t)
{
  return t->now_ms > t->permit_until_ms;
}

/* Why the key of an earlier claim C may not run again with BODY_HASH;
   REASON_NONE if it may. */
static enum reason
earlier_claim_reason (const struct turn *t, const struct fleet_claim *c,
                      uint64_t body_hash)
{
  if (c->settled && c->outcome == OUTCOME_NOT_RUN)
    return REASON_NONE;
  if (c->body_hash != body_hash)
    return REASON_KEY_REUSED;
  if (c->settled)
    return REASON_KEY_ANSWERED;
  if (members_alive (t->members, c->node, c->incarnation))
    return REASON_KEY_IN_PROGRESS;
  return REASON_KEY_UNKNOWN;
}

static enum reason
check_node (const struct requests *r, const struct turn *t)
{
  if (t->stopping)
    return REASON_STOPPING;
  if (g_hash_table_size (r->live) >= r->max_requests)
    return REASON_OVERLOADED;
  if (fleet_config (t->fleet) == NULL)
    return REASON_NO_CONFIGURATION;
  if (t->behind || view_is_too_old (t))
    return REASON_VIEW_TOO_OLD;
  return REASON_NONE;
}

static enum reason
check_request (const struct turn *t, const struct message_request *m,
               const struct config_class **class_out,
               const struct config_team **team_out)
{
  const struct config *c = fleet_config (t->fleet);
  int team = config_find_team_by_token (c, m->token);
  int service = config_find_service (c, m->service);
  int k;

  if (team < 0)
    return REASON_UNKNOWN_TEAM;
  if (service < 0)
    return REASON_UNKNOWN_SERVICE;
  k = config_find_class (c, (uint32_t)service, m->class_name);
  if (k < 0)
    return REASON_UNKNOWN_CLASS;
  *class_out = &c->classes[k];
  *team_out = &c->teams[team];
  if (m->body_bytes > c->classes[k].max_request_bytes)
    return REASON_BODY_TOO_LARGE;
  if (!c->classes[k].idempotent && m->key[0] == '\0')
    return REASON_KEY_MISSING;
  return REASON_NONE;
}

static struct live *
live_new (const struct turn *t, const struct message_request *m,
          const struct config_class *k, const struct config_team *team)
{
  const struct config *c = fleet_config (t->fleet);
  struct live *l = g_new0 (struct live, 1);
  int64_t timeout_ms = m->timeout_ms;

  if (timeout_ms <= 0)
    timeout_ms = k->start_within_ms + DEFAULT_RUN_PATIENCE_MS;
  l->request = m->request;
  l->service = g_strdup (m->service);
  l->class_name = g_strdup (m->class_name);
  l->pool = g_strdup (c->services[k->service].pool_name);
  l->team = g_strdup (team->name);
  l->idempotent = k->idempotent;
  l->max_answer_bytes = k->max_answer_bytes;
  l->expected_run_ms = k->expected_run_ms;
  l->deadline_ms = t->now_ms + timeout_ms;
  l->start_by_ms = t->now_ms + MIN (k->start_within_ms, timeout_ms);
  return l;
}

static void
claim (struct turn *t, struct live *l, const struct message_request *m,
       const struct config_class *k, uint64_t prior)
{
  struct record *r = record_new (RECORD_CLAIM, t->node, t->incarnation);

  r->u.claim.key = l->key;
  r->u.claim.body_hash = m->body_hash;
  r->u.claim.request = m->request;
  r->u.claim.prior = prior;
  r->u.claim.seen = fleet_offset (t->fleet);
  r->u.claim.remember_ms = k->remember_key_ms;
  l->state = LIVE_CLAIMING;
  l->body_hash = m->body_hash;
  l->claim_uid = g_strdup (r->uid);
  turn_append (t, r);
  counters_add (t->counters, COUNTER_CLAIMS_APPENDED, 1);
}

/* When to come back while the log does not answer: an outage that has lasted
   for long is likely to last for as long again. */
static int64_t
log_retry_after_ms (const struct turn *t)
{
  return CLAMP (t->view_age_ms, LOG_RETRY_AFTER_MIN_MS,
                LOG_RETRY_AFTER_MAX_MS);
}

/* Admit a request that is not idempotent: claim its key, unless an earlier
   claim or the state of the log forbids it. */
static enum reason
begin_claimed (struct requests *r, struct turn *t, struct live *l,
               const struct message_request *m, const struct config_class *k)
{
  const struct fleet_claim *c;
  enum reason reason;

  l->key = key_id_make (l->team, l->service, l->class_name, m->key);
  c = fleet_find_claim (t->fleet, l->key);
  if (c != NULL)
    {
      reason = earlier_claim_reason (t, c, m->body_hash);
      if (reason != REASON_NONE)
        return reason;
    }
  if (!t->log_reachable)
    return REASON_LOG_UNAVAILABLE;
  claim (t, l, m, k, c != NULL ? c->changed : 0);
  return REASON_NONE;
}

void
requests_begin (struct requests *requests, struct turn *turn,
                const struct message_request *message)
{
  const struct config_class *k = NULL;
  const struct config_team *team = NULL;
  enum reason reason = check_node (requests, turn);
  struct live *l;

  counters_add (turn->counters, COUNTER_REQUESTS, 1);
  if (reason == REASON_NONE)
    reason = check_request (turn, message, &k, &team);
  if (reason != REASON_NONE)
    {
      send_refusal (turn, message->request, reason, BUSY_RETRY_AFTER_MS);
      return;
    }
  l = live_new (turn, message, k, team);
  retry_budget_earn (budget_of (requests, l));
  if (!l->idempotent)
    reason = begin_claimed (requests, turn, l, message, k);
  if (reason != REASON_NONE)
    {
      send_refusal (turn, message->request, reason, log_retry_after_ms (turn));
      live_free (l);
      return;
    }
  g_hash_table_insert (requests->live, &l->request, l);
  if (l->idempotent)
    ask_slot (turn, l);
}

/* Claims. */

static void
lose_claim (struct requests *r, struct turn *t, struct live *l)
{
  const struct fleet_claim *c = fleet_find_claim (t->fleet, l->key);
  enum reason reason = REASON_NONE;

  if (c != NULL)
    reason = earlier_claim_reason (t, c, l->body_hash);
  /* The other claim was given up or forgotten meanwhile.  No copy of ours can
     win any more, so it may be sent again. */
  if (reason == REASON_NONE)
    reason = REASON_TOO_LATE;
  counters_add (t->counters, COUNTER_CLAIMS_LOST, 1);
  g_clear_pointer (&l->claim_uid, g_free);
  l->state = LIVE_WAITING;
  end_waiting (r, t, l, reason, BUSY_RETRY_AFTER_MS);
}

static void
win_claim (struct turn *t, struct live *l, uint64_t offset)
{
  counters_add (t->counters, COUNTER_CLAIMS_WON, 1);
  l->claim = offset;
  ask_slot (t, l);
}

/* Say that the claim of KEY at OFFSET was given up before anything was
   dispatched, so that the key can be used again. */
static void
release_claim (struct turn *t, struct key_id key, uint64_t offset)
{
  append_outcome (t, key, offset, OUTCOME_NOT_RUN, REASON_CANCELLED, 0);
}

void
requests_claimed (struct requests *requests, struct turn *turn,
                  const struct record *record, uint64_t offset,
                  enum verdict verdict)
{
  struct live *l = find (requests, record->u.claim.request);

  if (verdict == VERDICT_REPEATED)
    return;
  g_hash_table_remove (requests->given_up, &record->u.claim.request);
  if (l != NULL && l->state != LIVE_CLAIMING)
    return;
  if (l == NULL)
    {
      if (verdict == VERDICT_ACCEPTED)
        release_claim (turn, record->u.claim.key, offset);
      return;
    }
  if (verdict != VERDICT_ACCEPTED)
    {
      lose_claim (requests, turn, l);
      return;
    }
  win_claim (turn, l, offset);
}

/* The unsettled claim that REQUEST of this node holds on KEY, or NULL. */
static const struct fleet_claim *
own_claim (const struct turn *t, struct key_id key, uint64_t request)
{
  const struct fleet_claim *c = fleet_find_claim (t->fleet, key);

  if (c == NULL || c->settled || c->incarnation != t->incarnation
      || c->request != request)
    return NULL;
  return c;
}

void
requests_restored (struct requests *requests, struct turn *turn)
{
  GList *all = g_hash_table_get_values (requests->live);
  GHashTableIter i;
  gpointer p;

  for (GList *k = all; k != NULL; k = k->next)
    {
      struct live *l = k->data;
      const struct fleet_claim *c;

      if (l->state != LIVE_CLAIMING)
        continue;
      c = own_claim (turn, l->key, l->request);
      if (c != NULL)
        win_claim (turn, l, c->claimed);
      else if (fleet_find_claim (turn->fleet, l->key) != NULL)
        lose_claim (requests, turn, l);
    }
  g_list_free (all);
  g_hash_table_iter_init (&i, requests->given_up);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct given_up *g = p;
      const struct fleet_claim *c = own_claim (turn, g->key, g->request);

      if (c == NULL)
        continue;
      release_claim (turn, g->key, c->claimed);
      g_hash_table_iter_remove (&i);
    }
}

/* Grants and runs. */

static void
send_run (struct turn *t, const struct live *l, const struct fleet_vm *v)
{
  struct message *m = message_new (MESSAGE_RUN);
  struct message_run *run = &m->u.run;

  run->request = l->request;
  run->attempt = l->attempt;
  run->vm = g_strdup (v->vm);
  run->address = g_strdup (v->address);
  run->port = v->port;
  run->pool = g_strdup (l->pool);
  run->service = g_strdup (l->service);
  run->class_name = g_strdup (l->class_name);
  run->idempotent = l->idempotent;
  run->timeout_ms = l->deadline_ms - t->now_ms;
  run->send_by_ms
      = MIN (t->permit_until_ms, t->now_ms + MESSAGE_SEND_WITHIN_MS);
  run->max_answer_bytes = l->max_answer_bytes;
  turn_put (t, m);
  counters_add (t->counters, COUNTER_DISPATCHED, 1);
}

/* Whether this node's own view lets work of POOL start on V. */
static bool
may_start_on (const struct requests *r, const struct turn *t,
              const struct fleet_vm *v, const char *pool)
{
  return !t->behind && permission_to_start (t, v, pool)
         && !g_hash_table_contains (r->leaving, v->vm);
}

static void
start (struct requests *r, struct turn *t, struct live *l, const char *vm)
{
  const struct fleet_vm *v = fleet_find_vm (t->fleet, vm);

  g_free (l->vm);
  l->vm = g_strdup (vm);
  if (!may_start_on (r, t, v, l->pool))
    {
      counters_add (t->counters, COUNTER_GRANTS_STALE, 1);
      return_slot (t, l, RUN_ABANDONED, 0);
      ask_slot (t, l);
      return;
    }
  l->state = LIVE_RUNNING;
  l->held_ms = t->now_ms;
  r->running++;
  send_run (t, l, v);
}

static void
return_unwanted (struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_grant *g = &m->u.slot_grant;
  struct peer_message *p = turn_peer (t, PEER_SLOT_RETURN);

  p->u.slot_return.request = g->request;
  p->u.slot_return.attempt = g->attempt;
  p->u.slot_return.vm = g_strdup (g->vm);
  p->u.slot_return.result = RUN_ABANDONED;
  turn_send (t, m->from, p);
}

static void
granted (struct requests *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_grant *g = &m->u.slot_grant;
  struct live *l = find (r, g->request);

  if (l == NULL || l->state != LIVE_WAITING || l->attempt != g->attempt
      || t->resuming)
    {
      return_unwanted (t, m);
      return;
    }
  if (t->now_ms > l->start_by_ms)
    {
      end_waiting (r, t, l, REASON_TOO_LATE, BUSY_RETRY_AFTER_MS);
      return;
    }
  start (r, t, l, g->vm);
}

static void
refused (struct requests *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_refuse *f = &m->u.slot_refuse;
  struct live *l = find (r, f->request);

  if (l == NULL || l->state != LIVE_WAITING || l->attempt != f->attempt)
    return;
  g_clear_pointer (&l->owner, g_free);
  end_waiting (r, t, l, f->reason, f->retry_after_ms);
}

void
requests_handle (struct requests *requests, struct turn *turn,
                 const struct peer_message *message)
{
  switch (message->kind)
    {
    case PEER_SLOT_GRANT:
      granted (requests, turn, message);
      break;
    case PEER_SLOT_REFUSE:
      refused (requests, turn, message);
      break;
    case PEER_HEARTBEAT:
    case PEER_SLOT_ASK:
    case PEER_SLOT_RETURN:
    case PEER_SLOT_HOLD:
    case PEER_SLOT_CANCEL:
    case PEER_SNAPSHOT_ASK:
    case PEER_SNAPSHOT_PART:
    case PEER_VM_NEWS:
    case PEER_KEY_CANCEL:
    case PEER_KEY_CANCELLED:
    case PEER_KIND_COUNT:
      break;
    }
}

/* The reason that a caller hears after its last run ended with RESULT. */
static enum reason
result_reason (enum run_result result)
{
  switch (result)
    {
    case RUN_ANSWERED:
      return REASON_NONE;
    case RUN_NOT_STARTED:
      return REASON_BACK_END_REFUSED;
    case RUN_NOT_SENT:
      return REASON_TOO_LATE;
    case RUN_FAILED:
      return REASON_BACK_END_FAILED;
    case RUN_LOST:
      return REASON_BACK_END_LOST;
    case RUN_TRUNCATED:
      return REASON_ANSWER_TRUNCATED;
    case RUN_TOO_LARGE:
      return REASON_ANSWER_TOO_LARGE;
    case RUN_TIMED_OUT:
    case RUN_ABANDONED:
    case RUN_RESULT_COUNT:
      break;
    }
  return REASON_TIMEOUT;
}

static void
finish (struct requests *r, struct turn *t, struct live *l, enum reason reason,
        uint32_t status)
{
  if (l->claim != 0)
    append_outcome (t, l->key, l->claim, reason_outcome (reason), reason,
                    status);
  if (reason == REASON_NONE)
    counters_add (t->counters, COUNTER_ANSWERED, 1);
  else if (!l->abandoned)
    send_refusal (t, l->request, reason, BUSY_RETRY_AFTER_MS);
  g_hash_table_remove (r->live, &l->request);
}

void
requests_run_ended (struct requests *requests, struct turn *turn,
                    const struct message_run_ended *message)
{
  struct live *l = find (requests, message->request);
  enum reason reason = result_reason (message->result);
  enum retry_choice choice = RETRY_GIVE_UP;

  if (l == NULL || l->state != LIVE_RUNNING || l->attempt != message->attempt)
    {
      counters_add (turn->counters, COUNTER_LATE_ANSWERS, 1);
      return;
    }
  requests->running--;
  return_slot (turn, l, message->result, message->run_ms);
  g_clear_pointer (&l->owner, g_free);
  if (!l->abandoned && turn->now_ms <= l->start_by_ms)
    choice = retry_decide (budget_of (requests, l), l->idempotent,
                           message->result, l->attempt);
  if (message->result != RUN_NOT_STARTED && message->result != RUN_NOT_SENT)
    l->ran = reason;
  if (choice == RETRY_AGAIN)
    {
      counters_add_retry (turn->counters, reason);
      ask_slot (turn, l);
      return;
    }
  if (choice == RETRY_BUDGET_SPENT)
    reason = REASON_RETRY_BUDGET;
  finish (requests, turn, l, true_reason (l, reason), message->status);
}

void
requests_abandon (struct requests *requests, struct turn *turn,
                  uint64_t request)
{
  struct live *l = find (requests, request);

  if (l == NULL)
    return;
  l->abandoned = true;
  if (l->state != LIVE_RUNNING)
    end_waiting (requests, turn, l, REASON_CANCELLED, 0);
}

bool
requests_cancel (struct requests *requests, struct turn *turn,
                 struct key_id key)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, requests->live);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      struct live *l = p;

      if (l->idempotent || !key_id_equal (l->key, key)
          || l->state == LIVE_RUNNING)
        continue;
      end_waiting (requests, turn, l, REASON_CANCELLED, 0);
      return true;
    }
  return false;
}

/* Time passing. */

static void
renew (struct turn *t, struct live *l)
{
  const char *owner = members_owner (t->members, l->pool);
  struct peer_message *p;

  if (t->now_ms - l->held_ms < HOLD_RENEW_MS && strcmp (owner, l->owner) == 0)
    return;
  if (strcmp (owner, l->owner) != 0)
    {
      g_free (l->owner);
      l->owner = g_strdup (owner);
    }
  l->held_ms = t->now_ms;
  p = turn_peer (t, PEER_SLOT_HOLD);
  p->u.slot_hold.request = l->request;
  p->u.slot_hold.attempt = l->attempt;
  p->u.slot_hold.vm = g_strdup (l->vm);
  p->u.slot_hold.pool = g_strdup (l->pool);
  turn_send (t, l->owner, p);
}

static void
step_waiting (struct requests *r, struct turn *t, struct live *l)
{
  const char *owner = members_owner (t->members, l->pool);

  if (t->now_ms > l->start_by_ms)
    {
      enum reason reason = REASON_TOO_LATE;

      if (l->state == LIVE_CLAIMING && !t->log_reachable)
        reason = REASON_LOG_UNAVAILABLE;
      end_waiting (r, t, l, reason, BUSY_RETRY_AFTER_MS);
      return;
    }
  if (l->state != LIVE_WAITING)
    return;
  if (strcmp (owner, l->owner) != 0 || t->now_ms - l->asked_ms > ASK_AGAIN_MS)
    ask_slot (t, l);
}

void
requests_step (struct requests *requests, struct turn *turn)
{
  GList *all = g_hash_table_get_values (requests->live);

  for (GList *i = all; i != NULL; i = i->next)
    {
      struct live *l = i->data;

      if (l->state == LIVE_RUNNING)
        renew (turn, l);
      else
        step_waiting (requests, turn, l);
    }
  g_list_free (all);
}

uint32_t
requests_count (const struct requests *requests)
{
  return g_hash_table_size (requests->live);
}

uint32_t
requests_running (const struct requests *requests)
{
  return requests->running;
}

uint32_t
requests_on_vm (const struct requests *requests, const char *vm)
{
  GHashTableIter i;
  gpointer p;
  uint32_t n = 0;

  g_hash_table_iter_init (&i, requests->live);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct live *l = p;

      n += l->state == LIVE_RUNNING && strcmp (l->vm, vm) == 0;
    }
  return n;
}

void
requests_set_leaving (struct requests *requests, const char *vm, bool leaving)
{
  if (leaving)
    g_hash_table_add (requests->leaving, g_strdup (vm));
  else
    g_hash_table_remove (requests->leaving, vm);
}
