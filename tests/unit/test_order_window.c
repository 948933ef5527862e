#include "order_window.h"

#include <glib.h>
#include <string.h>

/* Two owners of the fleet, one after the other: however late the first one's
   order leaves, the second orders the same machine no sooner than a holder
   lease later. */

#define HOLDER_LEASE_MS 3000
/* Shortest time from the fencing of an owner to its successor's first order.
 */
#define TAKEOVER_MS 30

/* Return when the successor may order a machine that was named at 0, if it
   takes over at TAKEOVER_AT_MS. */
static int64_t
successor_order_ms (int64_t takeover_at_ms)
{
  int64_t window_ms = order_window_ms (HOLDER_LEASE_MS);

  /* The name is still in the journal's last record. */
  if (takeover_at_ms < window_ms)
    return takeover_at_ms + window_ms;
  return takeover_at_ms + TAKEOVER_MS;
}

static void
test_orders_of_two_owners_are_a_lease_apart (void)
{
  for (int64_t written_ms = 0; written_ms < ORDER_EMPTIED_MAX_AGE_MS;
       written_ms += 50)
    for (int64_t wait_ms = 0; wait_ms < ORDER_TIMEOUT_MS; wait_ms += 50)
      for (int64_t takeover_ms = 0; takeover_ms < 10000; takeover_ms += 50)
        g_assert_cmpint (successor_order_ms (takeover_ms)
                             - (written_ms + wait_ms),
                         >=, HOLDER_LEASE_MS);
}

/* A process that ended had sent its last order by then. */
static void
test_a_restarted_owner_waits_for_the_lease (void)
{
  g_assert_cmpint (order_window_after_restart_ms (HOLDER_LEASE_MS), >=,
                   HOLDER_LEASE_MS);
}

/* Guards against an owner whose first record drops the machines that its
   predecessor has ordered, so that the next owner orders them at once. */
static void
test_a_record_names_the_orders_of_earlier_owners (void)
{
  struct order_log *log = order_log_new (HOLDER_LEASE_MS);
  char *text;

  order_log_load (log, "m0", false, 1000);
  order_log_add (log, "m5", false, 1200);
  text = order_log_text (log, 1200);
  g_assert_true (strcmp (text, "m0,m5") == 0 || strcmp (text, "m5,m0") == 0);
  order_log_destroy (log);
  log = order_log_new (HOLDER_LEASE_MS);
  order_log_load (log, text, false, 1400);
  g_free (text);
  g_assert_true (order_log_is_held_back (log, "m0", 1500));
  g_assert_true (order_log_is_held_back (log, "m5", 1500));
  g_assert_false (order_log_is_held_back (
      log, "m0", 1400 + order_window_ms (HOLDER_LEASE_MS)));
  text = order_log_text (log, 1400 + order_window_ms (HOLDER_LEASE_MS));
  g_assert_cmpstr (text, ==, "");
  g_free (text);
  order_log_destroy (log);
}

static void
test_own_orders_are_not_held_back (void)
{
  struct order_log *log = order_log_new (HOLDER_LEASE_MS);

  order_log_load (log, "m1", true, 0);
  g_assert_true (order_log_is_held_back (
      log, "m1", order_window_after_restart_ms (HOLDER_LEASE_MS) - 1));
  g_assert_false (order_log_is_held_back (
      log, "m1", order_window_after_restart_ms (HOLDER_LEASE_MS)));
  order_log_add (log, "m0", true, 0);
  g_assert_false (order_log_is_held_back (log, "m0", 100));
  g_assert_false (order_log_is_unsettled (log, "m0", 100));
  order_log_destroy (log);
}

/* Guards against taking an order without an answer for one that was never
   given, also after a later order for the machine that was not sent. */
static void
test_an_order_without_an_answer_stays_unsettled (void)
{
  struct order_log *log = order_log_new (HOLDER_LEASE_MS);

  order_log_load (log, "m1", false, 0);
  g_assert_true (order_log_is_unsettled (log, "m1", 100));
  order_log_add (log, "m0", true, 0);
  order_log_unsettle (log, "m0", 100);
  order_log_add (log, "m0", true, 200);
  g_assert_true (order_log_is_unsettled (log, "m0", 300));
  order_log_settle (log, "m0");
  g_assert_false (order_log_is_unsettled (log, "m0", 300));
  order_log_destroy (log);
}

/* Guards against a successor that takes an upkeep for not ordered while the
   order may still be carried out, whichever record it loads first. */
static void
test_an_earlier_upkeep_stays_unsettled (void)
{
  struct order_log *log = order_log_new (HOLDER_LEASE_MS);
  char *upkeeps;

  order_log_add (log, "m0", true, 0);
  order_log_add (log, "m1", true, 0);
  order_log_add (log, "m2", false, 0);
  order_log_settle (log, "m1");
  upkeeps = order_log_upkeeps_text (log, 100);
  g_assert_cmpstr (upkeeps, ==, "m0");
  order_log_destroy (log);

  for (int is_first = 0; is_first <= 1; is_first++)
    {
      log = order_log_new (HOLDER_LEASE_MS);
      if (is_first)
        order_log_load_upkeeps (log, upkeeps, 1000);
      order_log_load (log, "m0,m1,m2", false, 1000);
      if (!is_first)
        order_log_load_upkeeps (log, upkeeps, 1000);
      g_assert_true (
          order_log_is_unsettled (log, "m0", 1000 + ORDER_LATE_MAX_MS));
      g_assert_false (order_log_is_unsettled (
          log, "m2", 1000 + order_window_ms (HOLDER_LEASE_MS)));
      g_assert_false (
          order_log_is_unsettled (log, "m0", 1000 + order_unsettled_ms ()));
      order_log_settle (log, "m0");
      g_assert_false (order_log_is_unsettled (log, "m0", 1100));
      order_log_destroy (log);
    }
  g_free (upkeeps);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/order-window/two-owners",
                   test_orders_of_two_owners_are_a_lease_apart);
  g_test_add_func ("/order-window/restart",
                   test_a_restarted_owner_waits_for_the_lease);
  g_test_add_func ("/order-window/earlier-owners",
                   test_a_record_names_the_orders_of_earlier_owners);
  g_test_add_func ("/order-window/own", test_own_orders_are_not_held_back);
  g_test_add_func ("/order-window/unsettled",
                   test_an_order_without_an_answer_stays_unsettled);
  g_test_add_func ("/order-window/earlier-upkeep",
                   test_an_earlier_upkeep_stays_unsettled);
  return g_test_run ();
}
