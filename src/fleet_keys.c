#include "fleet_state.h"

/* The records about idempotency keys: claims, outcomes, and their expiry. */

/* Claims are removed in batches: all that expire in the same interval of this
   length, once the log time has passed its end. */
#define EXPIRY_BUCKET_MS 60000

static void
schedule_expiry (struct fleet *f, struct key_id key, int64_t expires_ms)
{
  int64_t bucket = expires_ms / EXPIRY_BUCKET_MS;
  GArray *keys = g_hash_table_lookup (f->expiries, &bucket);

  if (keys == NULL)
    {
      keys = g_array_new (FALSE, FALSE, sizeof (struct key_id));
      g_hash_table_insert (f->expiries, g_memdup2 (&bucket, sizeof bucket),
                           keys);
    }
  g_array_append_val (keys, key);
}

/* Remove the claims that expire in BUCKET. */
static void
expire_bucket (struct fleet *f, int64_t bucket)
{
  GArray *keys = g_hash_table_lookup (f->expiries, &bucket);

  if (keys == NULL)
    return;
  for (guint i = 0; i < keys->len; i++)
    {
      struct key_id *key = &g_array_index (keys, struct key_id, i);
      struct fleet_claim *c = g_hash_table_lookup (f->claims, key);

      /* An outcome may have moved the expiry to a later bucket. */
      if (c == NULL || c->expires_ms / EXPIRY_BUCKET_MS != bucket)
        continue;
      f->max_expired_claim_offset
          = MAX (f->max_expired_claim_offset, c->claimed_at_offset);
      g_hash_table_remove (f->claims, key);
    }
  g_hash_table_remove (f->expiries, &bucket);
}

void
fleet_expire_keys (struct fleet *f)
{
  int64_t last = f->time_ms / EXPIRY_BUCKET_MS;

  if (f->next_bucket == 0)
    f->next_bucket = last;
  for (; f->next_bucket < last; f->next_bucket++)
    expire_bucket (f, f->next_bucket);
}

const struct fleet_claim *
fleet_find_claim (const struct fleet *fleet, struct key_id key)
{
  const struct fleet_claim *c = g_hash_table_lookup (fleet->claims, &key);

  if (c == NULL || c->expires_ms <= fleet->time_ms)
    return NULL;
  return c;
}

void
fleet_put_claim (struct fleet *fleet, struct fleet_claim *claim)
{
  g_hash_table_replace (fleet->claims, &claim->key, claim);
  schedule_expiry (fleet, claim->key, claim->expires_ms);
}

/* Return whether N was made by a node that had not yet applied some claim that
   has expired since.  N may then be a late copy of that claim, and must not be
   accepted as a new one. */
static bool
may_be_expired_copy (const struct fleet *f, const struct record_claim *n)
{
  const struct fleet_claim *old = g_hash_table_lookup (f->claims, &n->key);
  uint64_t max_expired_offset = f->max_expired_claim_offset;

  if (old != NULL && old->expires_ms <= f->time_ms)
    max_expired_offset = MAX (max_expired_offset, old->claimed_at_offset);
  return n->seen < max_expired_offset;
}

/* Return the verdict on claim R, where OLD is the claim held for its key, or
   NULL. */
static enum verdict
claim_verdict (const struct fleet *f, const struct record *r,
               const struct fleet_claim *old)
{
  const struct record_claim *n = &r->u.claim;

  if (old == NULL)
    return n->prior != 0 || may_be_expired_copy (f, n) ? VERDICT_CONFLICT
                                                       : VERDICT_ACCEPTED;
  if (old->incarnation == r->incarnation && old->request == n->request)
    return VERDICT_REPEATED;
  if (old->has_outcome && old->outcome == OUTCOME_NOT_RUN
      && old->changed_at_offset == n->prior)
    return VERDICT_ACCEPTED;
  return VERDICT_CONFLICT;
}

enum verdict
fleet_apply_claim (struct fleet *f, const struct record *r, uint64_t offset)
{
  const struct record_claim *n = &r->u.claim;
  enum verdict verdict = claim_verdict (f, r, fleet_find_claim (f, n->key));
  struct fleet_claim *c;

  if (verdict != VERDICT_ACCEPTED)
    return verdict;
  c = g_new0 (struct fleet_claim, 1);
  c->key = n->key;
  c->body_hash = n->body_hash;
  c->incarnation = r->incarnation;
  c->request = n->request;
  c->claimed_at_offset = offset;
  c->changed_at_offset = offset;
  c->remember_ms = n->remember_ms;
  c->expires_ms = f->time_ms + n->remember_ms;
  c->node = g_intern_string (r->node);
  fleet_put_claim (f, c);
  return VERDICT_ACCEPTED;
}

/* The retention time of a key begins anew with its outcome, so that a long run
   does not use it up. */
enum verdict
fleet_apply_outcome (struct fleet *f, const struct record *r, uint64_t offset)
{
  const struct record_outcome *o = &r->u.outcome;
  struct fleet_claim *c = g_hash_table_lookup (f->claims, &o->key);

  if (c == NULL || c->expires_ms <= f->time_ms)
    return VERDICT_UNKNOWN;
  if (c->claimed_at_offset != o->claim || c->incarnation != r->incarnation)
    return VERDICT_CONFLICT;
  if (c->has_outcome)
    return VERDICT_REPEATED;
  c->has_outcome = o->outcome != OUTCOME_UNKNOWN;
  c->outcome = o->outcome;
  c->reason = o->reason;
  c->status = o->status;
  c->changed_at_offset = offset;
  c->expires_ms = f->time_ms + c->remember_ms;
  schedule_expiry (f, c->key, c->expires_ms);
  return VERDICT_ACCEPTED;
}

uint32_t
fleet_claim_count (const struct fleet *fleet)
{
  return g_hash_table_size (fleet->claims);
}
