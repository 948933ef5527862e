#include "requests_state.h"

#include <string.h>

/* Claims: the key of a request that is not idempotent is claimed in the log
   before the request may run.  The first claim of a key in offset order wins.
 */

/* Return why the earlier claim C of a key forbids to run it again with
   BODY_HASH; REASON_NONE if it does not. */
static enum reason
refusal_by_earlier_claim (const struct turn *t, const struct fleet_claim *c,
                          uint64_t body_hash)
{
  if (c->has_outcome && c->outcome == OUTCOME_NOT_RUN)
    return REASON_NONE;
  if (c->body_hash != body_hash)
    return REASON_KEY_REUSED;
  if (c->has_outcome)
    return REASON_KEY_ANSWERED;
  if (members_is_alive (t->members, c->node, c->incarnation))
    return REASON_KEY_IN_PROGRESS;
  return REASON_KEY_OUTCOME_UNKNOWN;
}

static void
append_claim (struct turn *t, struct active_request *a,
              const struct message_request *m, const struct config_class *k,
              uint64_t prior)
{
  struct record *r = record_new (RECORD_CLAIM, t->node, t->incarnation);

  r->u.claim.key = a->key;
  r->u.claim.body_hash = m->body_hash;
  r->u.claim.request = m->request;
  r->u.claim.prior = prior;
  r->u.claim.seen = fleet_offset (t->fleet);
  r->u.claim.remember_ms = k->remember_key_ms;
  a->state = REQUEST_CLAIMING;
  a->body_hash = m->body_hash;
  a->claim_uid = g_strdup (r->uid);
  turn_append (t, r);
  counters_add (t->counters, COUNTER_CLAIMS_APPENDED, 1);
}

enum reason
requests_start_claim (struct turn *t, struct active_request *a,
                      const struct message_request *m,
                      const struct config_class *k)
{
  const struct fleet_claim *c;
  enum reason reason;

  a->key = key_id_make (a->team, a->service, a->class_name, m->key);
  c = fleet_find_claim (t->fleet, a->key);
  if (c != NULL)
    {
      reason = refusal_by_earlier_claim (t, c, m->body_hash);
      if (reason != REASON_NONE)
        return reason;
    }
  if (!t->log_reachable)
    return REASON_LOG_UNAVAILABLE;
  append_claim (t, a, m, k, c != NULL ? c->changed_at_offset : 0);
  return REASON_NONE;
}

static void
handle_lost_claim (struct requests *r, struct turn *t,
                   struct active_request *a)
{
  const struct fleet_claim *c = fleet_find_claim (t->fleet, a->key);
  enum reason reason = REASON_NONE;

  if (c != NULL)
    reason = refusal_by_earlier_claim (t, c, a->body_hash);
  /* The claim that won has ended without a run, or expired, in the meantime.
     A late copy of this node's claim can't win any more, so the caller may
     safely send the request again. */
  if (reason == REASON_NONE)
    reason = REASON_TOO_LATE;
  counters_add (t->counters, COUNTER_CLAIMS_LOST, 1);
  g_clear_pointer (&a->claim_uid, g_free);
  a->state = REQUEST_WAITING;
  requests_end_before_run (r, t, a, reason, REQUESTS_BUSY_RETRY_AFTER_MS);
}

static void
handle_won_claim (struct turn *t, struct active_request *a, uint64_t offset)
{
  counters_add (t->counters, COUNTER_CLAIMS_WON, 1);
  a->claim_offset = offset;
  requests_send_slot_request (t, a);
}

/* Log that the request with the claim of KEY at OFFSET ended before anything
   was dispatched, so that the key can be used again. */
static void
release_abandoned_claim (struct turn *t, struct key_id key, uint64_t offset)
{
  requests_append_outcome (t, key, offset, OUTCOME_NOT_RUN, REASON_CANCELLED,
                           0);
}

void
requests_handle_claim_verdict (struct requests *requests, struct turn *turn,
                               const struct record *record, uint64_t offset,
                               enum verdict verdict)
{
  struct active_request *a = requests_find (requests, record->u.claim.request);

  if (verdict == VERDICT_REPEATED)
    return;
  g_hash_table_remove (requests->abandoned_claims, &record->u.claim.request);
  if (a != NULL && a->state != REQUEST_CLAIMING)
    return;
  if (a == NULL)
    {
      if (verdict == VERDICT_ACCEPTED)
        release_abandoned_claim (turn, record->u.claim.key, offset);
      return;
    }
  if (verdict != VERDICT_ACCEPTED)
    {
      handle_lost_claim (requests, turn, a);
      return;
    }
  handle_won_claim (turn, a, offset);
}

/* Return the claim of KEY if it has no outcome and belongs to REQUEST of this
   incarnation; else NULL. */
static const struct fleet_claim *
find_own_open_claim (const struct turn *t, struct key_id key, uint64_t request)
{
  const struct fleet_claim *c = fleet_find_claim (t->fleet, key);

  if (c == NULL || c->has_outcome || c->incarnation != t->incarnation
      || c->request != request)
    return NULL;
  return c;
}

void
requests_handle_fleet_restored (struct requests *requests, struct turn *turn)
{
  GList *all = g_hash_table_get_values (requests->active);
  GHashTableIter i;
  gpointer p;

  for (GList *k = all; k != NULL; k = k->next)
    {
      struct active_request *a = k->data;
      const struct fleet_claim *c;

      if (a->state != REQUEST_CLAIMING)
        continue;
      c = find_own_open_claim (turn, a->key, a->request);
      if (c != NULL)
        handle_won_claim (turn, a, c->claimed_at_offset);
      else if (fleet_find_claim (turn->fleet, a->key) != NULL)
        handle_lost_claim (requests, turn, a);
    }
  g_list_free (all);
  g_hash_table_iter_init (&i, requests->abandoned_claims);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct abandoned_claim *g = p;
      const struct fleet_claim *c
          = find_own_open_claim (turn, g->key, g->request);

      if (c == NULL)
        continue;
      release_abandoned_claim (turn, g->key, c->claimed_at_offset);
      g_hash_table_iter_remove (&i);
    }
}
