#include "requests.h"

#include "requests_state.h"

#include <string.h>

#define ASK_AGAIN_MS 1500
#define HOLD_RENEW_MS 2000
#define DEFAULT_RUN_PATIENCE_MS 60000
#define GIVEN_UP_MAX 10000
#define LOG_RETRY_AFTER_MIN_MS 1000
#define LOG_RETRY_AFTER_MAX_MS 30000

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

struct live *
requests_find (const struct requests *r, uint64_t request)
{
  gint64 id = (gint64)request;

  return g_hash_table_lookup (r->live, &id);
}

struct retry_budget *
requests_budget (struct requests *r, const struct live *l)
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

void
requests_refuse (struct turn *t, uint64_t request, enum reason reason,
                 int64_t retry_after_ms)
{
  struct message *m = message_new (MESSAGE_REFUSE);

  m->u.refuse.request = request;
  m->u.refuse.reason = reason;
  m->u.refuse.retry_after_ms = retry_after_ms;
  turn_emit (t, m);
  counters_add_reason (t->counters, reason);
}

void
requests_append_outcome (struct turn *t, struct key_id key, uint64_t claim,
                         enum outcome outcome, enum reason reason,
                         uint32_t status)
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
  turn_emit (t, m);
}

static void
cancel_ask (struct turn *t, const struct live *l)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_CANCEL);

  p->u.slot_cancel.request = l->request;
  p->u.slot_cancel.attempt = l->asked_attempt;
  turn_send (t, l->owner, p);
}

enum reason
requests_true_reason (const struct live *l, enum reason reason)
{
  if (l->ran != REASON_NONE && reason_outcome (reason) == OUTCOME_NOT_RUN)
    return l->ran;
  return reason;
}

void
requests_end_waiting (struct requests *r, struct turn *t, struct live *l,
                      enum reason reason, int64_t retry_after_ms)
{
  reason = requests_true_reason (l, reason);
  if (l->state == LIVE_CLAIMING)
    cancel_claim (r, t, l);
  if (l->state == LIVE_WAITING && l->owner != NULL)
    cancel_ask (t, l);
  if (l->claim != 0)
    requests_append_outcome (t, l->key, l->claim, reason_outcome (reason),
                             reason, 0);
  if (!l->abandoned)
    requests_refuse (t, l->request, reason, retry_after_ms);
  g_hash_table_remove (r->live, &l->request);
}

void
requests_return_slot (struct turn *t, const struct live *l,
                      enum run_result result, int64_t run_ms)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_RETURN);

  p->u.slot_return.request = l->request;
  p->u.slot_return.attempt = l->attempt;
  p->u.slot_return.vm = g_strdup (l->vm);
  p->u.slot_return.result = result;
  p->u.slot_return.run_ms = run_ms;
  turn_send (t, l->owner, p);
}

/* Asking for a slot. */

void
requests_ask_slot (struct turn *t, struct live *l)
{
  const char *owner = members_owner (t->members, l->pool);
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_ASK);

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
  return t->now_ms > t->may_start_until_ms;
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
  if (t->is_catching_up || view_is_too_old (t))
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

/* When to come back while the log does not answer: an outage that has lasted
   for long is likely to last for as long again. */
static int64_t
log_retry_after_ms (const struct turn *t)
{
  return CLAMP (t->view_age_ms, LOG_RETRY_AFTER_MIN_MS,
                LOG_RETRY_AFTER_MAX_MS);
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
      requests_refuse (turn, message->request, reason,
                       REQUESTS_BUSY_RETRY_AFTER_MS);
      return;
    }
  l = live_new (turn, message, k, team);
  retry_budget_earn (requests_budget (requests, l));
  if (!l->idempotent)
    reason = requests_claim (turn, l, message, k);
  if (reason != REASON_NONE)
    {
      requests_refuse (turn, message->request, reason,
                       log_retry_after_ms (turn));
      live_free (l);
      return;
    }
  g_hash_table_insert (requests->live, &l->request, l);
  if (l->idempotent)
    requests_ask_slot (turn, l);
}

void
requests_abandon (struct requests *requests, struct turn *turn,
                  uint64_t request)
{
  struct live *l = requests_find (requests, request);

  if (l == NULL)
    return;
  l->abandoned = true;
  if (l->state != LIVE_RUNNING)
    requests_end_waiting (requests, turn, l, REASON_CANCELLED, 0);
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
      requests_end_waiting (requests, turn, l, REASON_CANCELLED, 0);
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
  p = turn_new_peer_message (t, PEER_SLOT_HOLD);
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
      requests_end_waiting (r, t, l, reason, REQUESTS_BUSY_RETRY_AFTER_MS);
      return;
    }
  if (l->state != LIVE_WAITING)
    return;
  if (strcmp (owner, l->owner) != 0 || t->now_ms - l->asked_ms > ASK_AGAIN_MS)
    requests_ask_slot (t, l);
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
