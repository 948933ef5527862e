#include "fleet.h"

#include <glib.h>
#include <string.h>

/* The fold gives one verdict for racing records, whoever folds them. */

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
fold (struct fleet *f, struct record *r, uint64_t offset, int64_t at_ms)
{
  enum verdict v = fleet_fold (f, r, offset, at_ms);

  record_destroy (r);
  return v;
}

static void
test_first_claim_wins (void)
{
  struct fleet *f = fleet_new ();

  g_assert_cmpint (fold (f, make_claim (1, 1, 0), 1, 10), ==,
                   VERDICT_ACCEPTED);
  g_assert_cmpint (fold (f, make_claim (2, 9, 0), 2, 11), ==,
                   VERDICT_CONFLICT);
  g_assert_cmpint (fold (f, make_claim (1, 1, 0), 3, 12), ==,
                   VERDICT_REPEATED);
  fleet_destroy (f);
}

static void
test_late_copy_of_a_released_claim_is_refused (void)
{
  struct fleet *f = fleet_new ();
  struct record *o = record_new (RECORD_OUTCOME, "n1", 1);

  g_assert_cmpint (fold (f, make_claim (1, 1, 0), 1, 10), ==,
                   VERDICT_ACCEPTED);
  o->u.outcome.key = key_id_make ("team", "letters", "letter", "k");
  o->u.outcome.claim = 1;
  o->u.outcome.outcome = OUTCOME_NOT_RUN;
  o->u.outcome.reason = REASON_TOO_LATE;
  g_assert_cmpint (fold (f, o, 2, 11), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (fold (f, make_claim (2, 5, 0), 3, 12), ==,
                   VERDICT_CONFLICT);
  g_assert_cmpint (fold (f, make_claim (2, 5, 2), 4, 13), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (f);
}

static void
test_a_key_is_forgotten_after_its_time (void)
{
  struct fleet *f = fleet_new ();

  struct record *later = make_claim (2, 2, 0);

  fold (f, make_claim (1, 1, 0), 1, 10);
  g_assert_nonnull (
      fleet_find_claim (f, key_id_make ("team", "letters", "letter", "k")));
  later->u.claim.seen = 1;
  g_assert_cmpint (fold (f, later, 2, 1010), ==, VERDICT_ACCEPTED);
  fleet_destroy (f);
}

/* A copy of a claim may reach the log long after its key was forgotten.  The
   claim was made before it stood in the log, so its node can't have seen it
   there. */
static void
test_late_copy_of_a_forgotten_claim_is_refused (void)
{
  static const int64_t late_ms[] = { 1010, 70000, 10000000 };

  for (gsize i = 0; i < G_N_ELEMENTS (late_ms); i++)
    {
      struct fleet *f = fleet_new ();
      struct record *later = make_claim (3, 3, 0);

      fold (f, make_claim (1, 1, 0), 1, 10);
      g_assert_cmpint (fold (f, make_claim (1, 1, 0), 2, late_ms[i]), ==,
                       VERDICT_CONFLICT);
      later->u.claim.seen = 2;
      g_assert_cmpint (fold (f, later, 3, late_ms[i]), ==, VERDICT_ACCEPTED);
      fleet_destroy (f);
    }
}

/* A run longer than remember_key_ms does not use up the key's time. */
static void
test_a_key_is_remembered_from_its_outcome (void)
{
  struct fleet *f = fleet_new ();
  struct record *o = record_new (RECORD_OUTCOME, "n1", 1);

  fold (f, make_claim (1, 1, 0), 1, 10);
  o->u.outcome.key = key_id_make ("team", "letters", "letter", "k");
  o->u.outcome.claim = 1;
  fold (f, o, 2, 900);
  g_assert_cmpint (fold (f, make_claim (2, 2, 0), 3, 1500), ==,
                   VERDICT_CONFLICT);
  fleet_destroy (f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet/first-claim-wins", test_first_claim_wins);
  g_test_add_func ("/fleet/late-copy-of-released-claim",
                   test_late_copy_of_a_released_claim_is_refused);
  g_test_add_func ("/fleet/key-forgotten",
                   test_a_key_is_forgotten_after_its_time);
  g_test_add_func ("/fleet/late-copy-of-forgotten-claim",
                   test_late_copy_of_a_forgotten_claim_is_refused);
  g_test_add_func ("/fleet/remembered-from-outcome",
                   test_a_key_is_remembered_from_its_outcome);
  return g_test_run ();
}
