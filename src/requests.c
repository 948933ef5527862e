#include "requests.h"

#include "requests_state.h"

#include <string.h>

/* An unanswered slot request is repeated after this time. */
#define SLOT_REQUEST_RETRY_MS 1500

/* Interval at which the lease of a run's slot is renewed. */
#define SLOT_LEASE_RENEW_MS 2000

/* Time to run, after the time to start, if the caller sets no timeout. */
#define DEFAULT_RUN_TIMEOUT_MS 60000

/* Most abandoned claims remembered; at the limit all are dropped.  They are
   needed only to close claims that a restored fleet already holds. */
#define ABANDONED_CLAIMS_MAX 10000

/* Bounds of the retry delay that callers get while the log is unreachable. */
#define LOG_RETRY_AFTER_MIN_MS 1000
#define LOG_RETRY_AFTER_MAX_MS 30000

static void
active_request_free (gpointer p)
{
  struct active_request *a = p;

  g_free (a->service);
  g_free (a->class_name);
  g_free (a->pool);
  g_free (a->team);
  g_free (a->claim_uid);
  g_free (a->owner);
  g_free (a->vm);
  g_free (a);
}

struct requests *
requests_new (uint32_t max_requests)
{
  struct requests *r = g_new0 (struct requests, 1);

  r->active = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                     active_request_free);
  r->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->leaving_vms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->abandoned_claims
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  r->max_requests = max_requests;
  return r;
}

void
requests_destroy (struct requests *requests)
{
  if (requests == NULL)
    return;
  g_hash_table_unref (requests->active);
  g_hash_table_unref (requests->budgets);
  g_hash_table_unref (requests->leaving_vms);
  g_hash_table_unref (requests->abandoned_claims);
  g_free (requests);
}

struct active_request *
requests_find (const struct requests *r, uint64_t request)
{
  gint64 id = (gint64)request;

  return g_hash_table_lookup (r->active, &id);
}

struct retry_budget *
requests_retry_budget (struct requests *r, const struct active_request *a)
{
  char *name = g_strconcat (a->service, "/", a->class_name, NULL);
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
cancel_claim (struct requests *r, struct turn *t,
              const struct active_request *a)
{
  struct message *m = message_new (MESSAGE_APPEND_CANCEL);
  struct abandoned_claim *g = g_new0 (struct abandoned_claim, 1);

  g->request = a->request;
  g->key = a->key;
  if (g_hash_table_size (r->abandoned_claims) >= ABANDONED_CLAIMS_MAX)
    g_hash_table_remove_all (r->abandoned_claims);
  g_hash_table_replace (r->abandoned_claims, &g->request, g);

  m->u.append_cancel.uid = g_strdup (a->claim_uid);
  turn_emit (t, m);
}

static void
cancel_slot_request (struct turn *t, const struct active_request *a)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_CANCEL);

  p->u.slot_cancel.request = a->request;
  p->u.slot_cancel.attempt = a->requested_attempt;
  turn_send (t, a->owner, p);
}

enum reason
requests_final_reason (const struct active_request *a, enum reason reason)
{
  if (a->last_run_reason != REASON_NONE
      && reason_outcome (reason) == OUTCOME_NOT_RUN)
    return a->last_run_reason;
  return reason;
}

void
requests_end_before_run (struct requests *r, struct turn *t,
                         struct active_request *a, enum reason reason,
                         int64_t retry_after_ms)
{
  reason = requests_final_reason (a, reason);
  if (a->state == REQUEST_CLAIMING)
    cancel_claim (r, t, a);
  if (a->state == REQUEST_WAITING && a->owner != NULL)
    cancel_slot_request (t, a);
  if (a->claim_offset != 0)
    requests_append_outcome (t, a->key, a->claim_offset,
                             reason_outcome (reason), reason, 0);
  if (!a->is_abandoned)
    requests_refuse (t, a->request, reason, retry_after_ms);
  g_hash_table_remove (r->active, &a->request);
}

void
requests_return_slot (struct turn *t, const struct active_request *a,
                      enum run_result result, int64_t run_ms)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_RETURN);

  p->u.slot_return.request = a->request;
  p->u.slot_return.attempt = a->attempt;
  p->u.slot_return.vm = g_strdup (a->vm);
  p->u.slot_return.result = result;
  p->u.slot_return.run_ms = run_ms;
  turn_send (t, a->owner, p);
}

/* Slot requests. */

void
requests_send_slot_request (struct turn *t, struct active_request *a)
{
  const char *owner = members_owner (t->members, a->pool);
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_ASK);

  if (a->owner != NULL && strcmp (a->owner, owner) != 0)
    cancel_slot_request (t, a);
  g_free (a->owner);
  a->owner = g_strdup (owner);
  a->slot_requested_ms = t->now_ms;
  a->requested_attempt = ++a->attempt;
  a->state = REQUEST_WAITING;
  p->u.slot_ask.request = a->request;
  p->u.slot_ask.attempt = a->attempt;
  p->u.slot_ask.pool = g_strdup (a->pool);
  p->u.slot_ask.class_name = g_strdup (a->class_name);
  p->u.slot_ask.team = g_strdup (a->team);
  p->u.slot_ask.avoid_vm = g_strdup (a->vm != NULL ? a->vm : "");
  p->u.slot_ask.wait_ms = a->start_by_ms - t->now_ms;
  p->u.slot_ask.run_ms = a->expected_run_ms;
  turn_send (t, a->owner, p);
}

/* Admission. */

/* Whether this node has had no confirmation that its fleet state is current
   for so long that it may not start work. */
static bool
is_view_too_old (const struct turn *t)
{
  return t->now_ms > t->may_start_until_ms;
}

static enum reason
check_node_state (const struct requests *r, const struct turn *t)
{
  if (t->stopping)
    return REASON_STOPPING;
  if (g_hash_table_size (r->active) >= r->max_requests)
    return REASON_OVERLOADED;
  if (fleet_config (t->fleet) == NULL)
    return REASON_NO_CONFIGURATION;
  if (t->is_catching_up || is_view_too_old (t))
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

static struct active_request *
active_request_new (const struct turn *t, const struct message_request *m,
                    const struct config_class *k,
                    const struct config_team *team)
{
  const struct config *c = fleet_config (t->fleet);
  struct active_request *a = g_new0 (struct active_request, 1);
  int64_t timeout_ms = m->timeout_ms;

  if (timeout_ms <= 0)
    timeout_ms = k->start_within_ms + DEFAULT_RUN_TIMEOUT_MS;
  a->request = m->request;
  a->service = g_strdup (m->service);
  a->class_name = g_strdup (m->class_name);
  a->pool = g_strdup (c->services[k->service].pool_name);
  a->team = g_strdup (team->name);
  a->is_idempotent = k->idempotent;
  a->max_answer_bytes = k->max_answer_bytes;
  a->expected_run_ms = k->expected_run_ms;
  a->deadline_ms = t->now_ms + timeout_ms;
  a->start_by_ms = t->now_ms + MIN (k->start_within_ms, timeout_ms);
  return a;
}

/* The retry delay for a caller while the log does not answer: as long as the
   outage has lasted, because a long outage is likely to last as long again. */
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
  enum reason reason = check_node_state (requests, turn);
  struct active_request *a;

  counters_add (turn->counters, COUNTER_REQUESTS, 1);
  if (reason == REASON_NONE)
    reason = check_request (turn, message, &k, &team);
  if (reason != REASON_NONE)
    {
      requests_refuse (turn, message->request, reason,
                       REQUESTS_BUSY_RETRY_AFTER_MS);
      return;
    }
  a = active_request_new (turn, message, k, team);
  retry_budget_refill (requests_retry_budget (requests, a));
  if (!a->is_idempotent)
    reason = requests_start_claim (turn, a, message, k);
  if (reason != REASON_NONE)
    {
      requests_refuse (turn, message->request, reason,
                       log_retry_after_ms (turn));
      active_request_free (a);
      return;
    }
  g_hash_table_insert (requests->active, &a->request, a);
  if (a->is_idempotent)
    requests_send_slot_request (turn, a);
}

void
requests_abandon (struct requests *requests, struct turn *turn,
                  uint64_t request)
{
  struct active_request *a = requests_find (requests, request);

  if (a == NULL)
    return;
  a->is_abandoned = true;
  if (a->state != REQUEST_RUNNING)
    requests_end_before_run (requests, turn, a, REASON_CANCELLED, 0);
}

bool
requests_cancel (struct requests *requests, struct turn *turn,
                 struct key_id key)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, requests->active);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      struct active_request *a = p;

      if (a->is_idempotent || !key_id_equal (a->key, key)
          || a->state == REQUEST_RUNNING)
        continue;
      requests_end_before_run (requests, turn, a, REASON_CANCELLED, 0);
      return true;
    }
  return false;
}

/* Periodic work. */

static void
renew_slot_lease (struct turn *t, struct active_request *a)
{
  const char *owner = members_owner (t->members, a->pool);
  struct peer_message *p;

  if (t->now_ms - a->lease_renewed_ms < SLOT_LEASE_RENEW_MS
      && strcmp (owner, a->owner) == 0)
    return;
  if (strcmp (owner, a->owner) != 0)
    {
      g_free (a->owner);
      a->owner = g_strdup (owner);
    }
  a->lease_renewed_ms = t->now_ms;
  p = turn_new_peer_message (t, PEER_SLOT_HOLD);
  p->u.slot_hold.request = a->request;
  p->u.slot_hold.attempt = a->attempt;
  p->u.slot_hold.vm = g_strdup (a->vm);
  p->u.slot_hold.pool = g_strdup (a->pool);
  turn_send (t, a->owner, p);
}

static void
step_before_run (struct requests *r, struct turn *t, struct active_request *a)
{
  const char *owner = members_owner (t->members, a->pool);

  if (t->now_ms > a->start_by_ms)
    {
      enum reason reason = REASON_TOO_LATE;

      if (a->state == REQUEST_CLAIMING && !t->log_reachable)
        reason = REASON_LOG_UNAVAILABLE;
      requests_end_before_run (r, t, a, reason, REQUESTS_BUSY_RETRY_AFTER_MS);
      return;
    }
  if (a->state != REQUEST_WAITING)
    return;
  if (strcmp (owner, a->owner) != 0
      || t->now_ms - a->slot_requested_ms > SLOT_REQUEST_RETRY_MS)
    requests_send_slot_request (t, a);
}

void
requests_step (struct requests *requests, struct turn *turn)
{
  GList *all = g_hash_table_get_values (requests->active);

  for (GList *i = all; i != NULL; i = i->next)
    {
      struct active_request *a = i->data;

      if (a->state == REQUEST_RUNNING)
        renew_slot_lease (turn, a);
      else
        step_before_run (requests, turn, a);
    }
  g_list_free (all);
}

uint32_t
requests_count (const struct requests *requests)
{
  return g_hash_table_size (requests->active);
}

uint32_t
requests_count_running (const struct requests *requests)
{
  return requests->running_count;
}

uint32_t
requests_count_on_vm (const struct requests *requests, const char *vm)
{
  GHashTableIter i;
  gpointer p;
  uint32_t n = 0;

  g_hash_table_iter_init (&i, requests->active);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct active_request *a = p;

      n += a->state == REQUEST_RUNNING && strcmp (a->vm, vm) == 0;
    }
  return n;
}

void
requests_set_vm_leaving (struct requests *requests, const char *vm,
                         bool leaving)
{
  if (leaving)
    g_hash_table_add (requests->leaving_vms, g_strdup (vm));
  else
    g_hash_table_remove (requests->leaving_vms, vm);
}
