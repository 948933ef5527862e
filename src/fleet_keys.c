#include "fleet_state.h"

#define EXPIRY_BUCKET_MS 60000

/* The part of the fold that remembers idempotency keys: claims, outcomes, and
   forgetting them when their time is over. */

static void
expire_later (struct fleet *f, struct key_id key, int64_t expires_ms)
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

/* Forget the keys of BUCKET whose time is over. */
static void
sweep_bucket (struct fleet *f, int64_t bucket)
{
  GArray *keys = g_hash_table_lookup (f->expiries, &bucket);

  if (keys == NULL)
    return;
  for (guint i = 0; i < keys->len; i++)
    {
      struct key_id *key = &g_array_index (keys, struct key_id, i);
      struct fleet_claim *c = g_hash_table_lookup (f->claims, key);

      /* The key's time may have changed since it was listed here. */
      if (c == NULL || c->expires_ms / EXPIRY_BUCKET_MS != bucket)
        continue;
      f->forgotten = MAX (f->forgotten, c->claimed);
      g_hash_table_remove (f->claims, key);
    }
  g_hash_table_remove (f->expiries, &bucket);
}

void
fleet_sweep_keys (struct fleet *f)
{
  int64_t last = f->time_ms / EXPIRY_BUCKET_MS;

  if (f->next_bucket == 0)
    f->next_bucket = last;
  for (; f->next_bucket < last; f->next_bucket++)
    sweep_bucket (f, f->next_bucket);
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
  expire_later (fleet, claim->key, claim->expires_ms);
}

/* Whether claim N was made before its node knew of a claim that has been
   forgotten since: N may be a late copy of that very claim, so it must not be
   taken for a new one. */
static bool
may_be_forgotten_copy (const struct fleet *f, const struct record_claim *n)
{
  const struct fleet_claim *old = g_hash_table_lookup (f->claims, &n->key);
  uint64_t forgotten = f->forgotten;

  if (old != NULL && old->expires_ms <= f->time_ms)
    forgotten = MAX (forgotten, old->claimed);
  return n->seen < forgotten;
}

/* The verdict on claim R, when OLD is what is remembered of its key. */
static enum verdict
judge_claim (const struct fleet *f, const struct record *r,
             const struct fleet_claim *old)
{
  const struct record_claim *n = &r->u.claim;

  if (old == NULL)
    return n->prior != 0 || may_be_forgotten_copy (f, n) ? VERDICT_CONFLICT
                                                         : VERDICT_ACCEPTED;
  if (old->incarnation == r->incarnation && old->request == n->request)
    return VERDICT_REPEATED;
  if (old->settled && old->outcome == OUTCOME_NOT_RUN
      && old->changed == n->prior)
    return VERDICT_ACCEPTED;
  return VERDICT_CONFLICT;
}

enum verdict
fleet_fold_claim (struct fleet *f, const struct record *r, uint64_t offset)
{
  const struct record_claim *n = &r->u.claim;
  enum verdict verdict = judge_claim (f, r, fleet_find_claim (f, n->key));
  struct fleet_claim *c;

  if (verdict != VERDICT_ACCEPTED)
    return verdict;
  c = g_new0 (struct fleet_claim, 1);
  c->key = n->key;
  c->body_hash = n->body_hash;
  c->incarnation = r->incarnation;
  c->request = n->request;
  c->claimed = offset;
  c->changed = offset;
  c->remember_ms = n->remember_ms;
  c->expires_ms = f->time_ms + n->remember_ms;
  c->node = g_intern_string (r->node);
  fleet_put_claim (f, c);
  return VERDICT_ACCEPTED;
}

/* A key is remembered from its last change, so a long run does not use up
   its time. */
enum verdict
fleet_fold_outcome (struct fleet *f, const struct record *r, uint64_t offset)
{
  const struct record_outcome *o = &r->u.outcome;
  struct fleet_claim *c = g_hash_table_lookup (f->claims, &o->key);

  if (c == NULL || c->expires_ms <= f->time_ms)
    return VERDICT_UNKNOWN;
  if (c->claimed != o->claim || c->incarnation != r->incarnation)
    return VERDICT_CONFLICT;
  if (c->settled)
    return VERDICT_REPEATED;
  c->settled = o->outcome != OUTCOME_UNKNOWN;
  c->outcome = o->outcome;
  c->reason = o->reason;
  c->status = o->status;
  c->changed = offset;
  c->expires_ms = f->time_ms + c->remember_ms;
  expire_later (f, c->key, c->expires_ms);
  return VERDICT_ACCEPTED;
}

uint32_t
fleet_claim_count (const struct fleet *fleet)
{
  return g_hash_table_size (fleet->claims);
}
