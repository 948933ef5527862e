#include "broker_fixture.h"

/* The queue of a pool's owner: the order of grants, refusals, and slots that
   one team lends to another. */

static void
test_urgent_work_goes_first (void)
{
  struct fixture f;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 1, 1);
  broker_sync (f.broker, &f.turn);
  fixture_ask (&f, 1, "counter-lookup", "trade-unions", 2000);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 1);
  fixture_ask (&f, 2, "batch-lookup", "trade-unions", 60000);
  fixture_ask (&f, 3, "counter-lookup", "trade-unions", 2000);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 0);
  fixture_return (&f, 1, RUN_ANSWERED);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 3);
  fixture_close (&f);
}

static void
test_tolerant_work_is_not_starved (void)
{
  struct fixture f;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 1, 1);
  broker_sync (f.broker, &f.turn);
  fixture_ask (&f, 1, "counter-lookup", "trade-unions", 2000);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 1);
  fixture_ask (&f, 2, "batch-lookup", "trade-unions", 60000);
  f.turn.now_ms += 15001; /* more than a quarter of its target */
  fixture_ask (&f, 3, "counter-lookup", "trade-unions", 2000);
  fixture_return (&f, 1, RUN_ANSWERED);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 2);
  fixture_close (&f);
}

static void
test_tolerant_work_leaves_half_of_the_slots (void)
{
  struct fixture f;
  uint32_t granted = 0;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 2, 8);
  broker_sync (f.broker, &f.turn);
  for (uint64_t i = 1; i <= 16; i++)
    fixture_ask (&f, i, "batch-lookup", "trade-unions", 60000);
  while (fixture_next_grant (&f) != 0)
    granted++;
  g_assert_cmpuint (granted, ==, 8);
  fixture_close (&f);
}

/* Stragglers of urgent classes count towards the maximum share of
   delay-tolerant work: 6 stragglers leave 2 of its 8 slots. */
static void
test_stragglers_count_as_tolerant_work (void)
{
  struct fixture f;
  uint32_t granted = 0;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 2, 8);
  broker_sync (f.broker, &f.turn);
  for (uint64_t i = 1; i <= 6; i++)
    {
      fixture_ask (&f, i, "counter-lookup", "trade-unions", 2000);
      g_assert_cmpuint (fixture_next_grant (&f), ==, i);
    }
  f.turn.now_ms += 3000;
  for (uint64_t i = 1; i <= 6; i++)
    fixture_hold (&f, i);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 0);
  for (uint64_t i = 11; i <= 30; i++)
    fixture_ask (&f, i, "batch-lookup", "trade-unions", 60000);
  while (fixture_next_grant (&f) != 0)
    granted++;
  g_assert_cmpuint (granted, ==, 2);
  fixture_close (&f);
}

/* Ask for slots for N lookups of TEAM, numbered from FIRST on.  Return how
   many are refused at once; all of these must be refused for REASON. */
static uint32_t
ask_and_count_refusals (struct fixture *f, uint64_t first, uint32_t n,
                        const char *team, enum reason reason)
{
  struct message *m;
  uint32_t refused = 0;

  for (uint32_t i = 0; i < n; i++)
    fixture_ask (f, first + i, "counter-lookup", team, 2000);
  while ((m = g_queue_pop_head (&f->out)) != NULL)
    {
      const struct peer_message *p = m->u.send_to_peer.peer;

      g_assert_cmpint (p->kind, ==, PEER_SLOT_REFUSE);
      g_assert_cmpint (p->u.slot_refuse.reason, ==, reason);
      g_assert_cmpint (p->u.slot_refuse.retry_after_ms, >=, 100);
      refused++;
      message_destroy (m);
    }
  return refused;
}

static void
test_request_that_cannot_start_in_time_is_refused_at_once (void)
{
  struct fixture f;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 1, 8);
  broker_sync (f.broker, &f.turn);
  /* 8 slots run about 100 lookups of 80 ms a second: 200 start in time. */
  g_assert_cmpuint (
      ask_and_count_refusals (&f, 1, 150, "trade-unions", REASON_TOO_LATE), ==,
      0);
  g_assert_cmpuint (
      ask_and_count_refusals (&f, 1001, 300, "trade-unions", REASON_TOO_LATE),
      >, 150);
  fixture_close (&f);
}

/* A long queue of one team must not cause the refusal of another team's
   requests within its quota. */
static void
test_team_within_its_quota_is_not_refused (void)
{
  struct fixture f;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 1, 8);
  broker_sync (f.broker, &f.turn);
  ask_and_count_refusals (&f, 1, 400, "trade-unions", REASON_TOO_LATE);
  g_assert_cmpuint (
      ask_and_count_refusals (&f, 1001, 20, "credit-societies", REASON_QUOTA),
      ==, 0);
  fixture_close (&f);
}

/* Slots in use by a team above its quota go to a team within its quota as the
   runs end, once that team's request has waited for half of its target. */
static void
test_lent_slots_return_to_their_team (void)
{
  struct fixture f;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 1, 8);
  broker_sync (f.broker, &f.turn);
  for (uint64_t i = 1; i <= 40; i++)
    fixture_ask (&f, i, "counter-lookup", "trade-unions", 2000);
  for (uint64_t i = 1; i <= 8; i++)
    g_assert_cmpuint (fixture_next_grant (&f), ==, i);
  f.turn.now_ms += 1;
  fixture_ask (&f, 101, "counter-lookup", "estate-welfare", 2000);
  fixture_return (&f, 1, RUN_ANSWERED);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 9);
  f.turn.now_ms += 1001; /* more than half of its target */
  fixture_return (&f, 2, RUN_ANSWERED);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 101);
  fixture_close (&f);
}

static void
test_cancelled_request_gets_no_grant (void)
{
  struct fixture f;
  struct peer_message *p;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 1, 1);
  broker_sync (f.broker, &f.turn);
  fixture_ask (&f, 1, "counter-lookup", "trade-unions", 2000);
  fixture_ask (&f, 2, "counter-lookup", "trade-unions", 2000);
  g_assert_cmpuint (broker_waiting (f.broker, "search"), ==, 2);
  p = turn_new_peer_message (&f.turn, PEER_SLOT_CANCEL);
  p->u.slot_cancel.request = 1;
  p->u.slot_cancel.attempt = 1;
  broker_handle (f.broker, &f.turn, p);
  peer_message_destroy (p);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 2);
  g_assert_cmpuint (broker_waiting (f.broker, "search"), ==, 0);
  fixture_close (&f);
}

/* A lease that is not renewed expires, and its slot is granted again. */
static void
test_expired_lease_frees_its_slot (void)
{
  struct fixture f;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 1, 1);
  broker_sync (f.broker, &f.turn);
  fixture_ask (&f, 1, "batch-lookup", "trade-unions", 60000);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 1);
  fixture_ask (&f, 2, "batch-lookup", "trade-unions", 60000);
  f.turn.now_ms += 5000;
  fixture_hold (&f, 1);
  g_assert_cmpuint (fixture_next_grant (&f), ==, 0);
  f.turn.now_ms += 5999;
  g_assert_cmpuint (fixture_next_grant (&f), ==, 0);
  f.turn.now_ms += 1;
  g_assert_cmpuint (fixture_next_grant (&f), ==, 2);
  fixture_close (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/broker/urgent-work-goes-first",
                   test_urgent_work_goes_first);
  g_test_add_func ("/broker/tolerant-work-is-not-starved",
                   test_tolerant_work_is_not_starved);
  g_test_add_func ("/broker/tolerant-work-leaves-half",
                   test_tolerant_work_leaves_half_of_the_slots);
  g_test_add_func ("/broker/stragglers-count-as-tolerant",
                   test_stragglers_count_as_tolerant_work);
  g_test_add_func ("/broker/refused-at-once",
                   test_request_that_cannot_start_in_time_is_refused_at_once);
  g_test_add_func ("/broker/within-quota-not-refused",
                   test_team_within_its_quota_is_not_refused);
  g_test_add_func ("/broker/lent-slots-return",
                   test_lent_slots_return_to_their_team);
  g_test_add_func ("/broker/cancelled", test_cancelled_request_gets_no_grant);
  g_test_add_func ("/broker/expired-lease", test_expired_lease_frees_its_slot);
  return g_test_run ();
}
