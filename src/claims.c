#include "requests_state.h"

#include <string.h>

/* Claims: a request that is not idempotent takes its key in the log before it
   may run.  The first claim of a key in offset order wins. */

/* Why the key of an earlier claim C may not run again with BODY_HASH;
   REASON_NONE if it may. */
static enum reason
earlier_claim_reason (const struct turn *t, const struct fleet_claim *c,
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
  return REASON_KEY_UNKNOWN;
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

enum reason
requests_claim (struct turn *t, struct live *l,
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
  claim (t, l, m, k, c != NULL ? c->changed_at_offset : 0);
  return REASON_NONE;
}

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
  requests_end_waiting (r, t, l, reason, REQUESTS_BUSY_RETRY_AFTER_MS);
}

static void
win_claim (struct turn *t, struct live *l, uint64_t offset)
{
  counters_add (t->counters, COUNTER_CLAIMS_WON, 1);
  l->claim = offset;
  requests_ask_slot (t, l);
}

/* Say that the claim of KEY at OFFSET was given up before anything was
   dispatched, so that the key can be used again. */
static void
release_claim (struct turn *t, struct key_id key, uint64_t offset)
{
  requests_append_outcome (t, key, offset, OUTCOME_NOT_RUN, REASON_CANCELLED,
                           0);
}

void
requests_claimed (struct requests *requests, struct turn *turn,
                  const struct record *record, uint64_t offset,
                  enum verdict verdict)
{
  struct live *l = requests_find (requests, record->u.claim.request);

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

  if (c == NULL || c->has_outcome || c->incarnation != t->incarnation
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
        win_claim (turn, l, c->claimed_at_offset);
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
      release_claim (turn, g->key, c->claimed_at_offset);
      g_hash_table_iter_remove (&i);
    }
}
