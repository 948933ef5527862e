#include "fleet.h"

#include <glib.h>
#include <string.h>

/* Verdicts on conflicting claims of one idempotency key. */

static struct record *
make_claim (uint64_t incarnation, uint64_t request, uint64_t prior)
{
  struct record *r = record_new (RECORD_CLAIM, "n1", incarnation);

  r->u.claim.key = key_id_make ("team", "letters", "letter", "k");
  r->u.claim.body_hash = 7;
  r->u.claim.request = request;
  r->u.claim.prior = prior;
  r->u.claim.remember_ms = 1000;
  return r;
}

static enum verdict
apply (struct fleet *f, struct record *r, uint64_t offset, int64_t at_ms)
{
  enum verdict v = fleet_apply (f, r, offset, at_ms);

  record_destroy (r);
  return v;
}

static void
test_first_claim_wins (void)
{
  struct fleet *f = fleet_new ();

  g_assert_cmpint (apply (f, make_claim (1, 1, 0), 1, 10), ==,
                   VERDICT_ACCEPTED);
  g_assert_cmpint (apply (f, make_claim (2, 9, 0), 2, 11), ==,
                   VERDICT_CONFLICT);
  g_assert_cmpint (apply (f, make_claim (1, 1, 0), 3, 12), ==,
                   VERDICT_REPEATED);
  fleet_destroy (f);
}

/* A key whose request was not run may be claimed again, but only by a claim
   that names this outcome's offset as its prior change.  A claim made before
   the outcome was known is refused. */
static void
test_claim_after_not_run_needs_prior (void)
{
  struct fleet *f = fleet_new ();
  struct record *o = record_new (RECORD_OUTCOME, "n1", 1);

  g_assert_cmpint (apply (f, make_claim (1, 1, 0), 1, 10), ==,
                   VERDICT_ACCEPTED);
  o->u.outcome.key = key_id_make ("team", "letters", "letter", "k");
  o->u.outcome.claim = 1;
  o->u.outcome.outcome = OUTCOME_NOT_RUN;
  o->u.outcome.reason = REASON_TOO_LATE;
  g_assert_cmpint (apply (f, o, 2, 11), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (apply (f, make_claim (2, 5, 0), 3, 12), ==,
                   VERDICT_CONFLICT);
  g_assert_cmpint (apply (f, make_claim (2, 5, 2), 4, 13), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (f);
}

static void
test_a_key_expires (void)
{
  struct fleet *f = fleet_new ();

  struct record *later = make_claim (2, 2, 0);

  apply (f, make_claim (1, 1, 0), 1, 10);
  g_assert_nonnull (
      fleet_find_claim (f, key_id_make ("team", "letters", "letter", "k")));
  later->u.claim.seen = 1;
  g_assert_cmpint (apply (f, later, 2, 1010), ==, VERDICT_ACCEPTED);
  fleet_destroy (f);
}

/* A retried append may write a copy of a claim to the log after the claim has
   expired.  The copy must not count as a new claim.  It is recognized by its
   "seen" offset, which is older than the first copy. */
static void
test_late_copy_of_an_expired_claim_is_refused (void)
{
  static const int64_t copied_at_ms[] = { 1010, 70000, 10000000 };

  for (gsize i = 0; i < G_N_ELEMENTS (copied_at_ms); i++)
    {
      struct fleet *f = fleet_new ();
      struct record *later = make_claim (3, 3, 0);

      apply (f, make_claim (1, 1, 0), 1, 10);
      g_assert_cmpint (apply (f, make_claim (1, 1, 0), 2, copied_at_ms[i]), ==,
                       VERDICT_CONFLICT);
      later->u.claim.seen = 2;
      g_assert_cmpint (apply (f, later, 3, copied_at_ms[i]), ==,
                       VERDICT_ACCEPTED);
      fleet_destroy (f);
    }
}

/* A run longer than remember_key_ms must not make its key expire. */
static void
test_retention_restarts_at_the_outcome (void)
{
  struct fleet *f = fleet_new ();
  struct record *o = record_new (RECORD_OUTCOME, "n1", 1);

  apply (f, make_claim (1, 1, 0), 1, 10);
  o->u.outcome.key = key_id_make ("team", "letters", "letter", "k");
  o->u.outcome.claim = 1;
  apply (f, o, 2, 900);
  g_assert_cmpint (apply (f, make_claim (2, 2, 0), 3, 1500), ==,
                   VERDICT_CONFLICT);
  fleet_destroy (f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet/first-claim-wins", test_first_claim_wins);
  g_test_add_func ("/fleet/claim-after-not-run",
                   test_claim_after_not_run_needs_prior);
  g_test_add_func ("/fleet/key-expires", test_a_key_expires);
  g_test_add_func ("/fleet/late-copy-of-expired-claim",
                   test_late_copy_of_an_expired_claim_is_refused);
  g_test_add_func ("/fleet/retention-restarts-at-outcome",
                   test_retention_restarts_at_the_outcome);
  return g_test_run ();
}
