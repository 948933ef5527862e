#include "order_window.h"

#include <glib.h>

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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/order-window/two-owners",
                   test_orders_of_two_owners_are_a_lease_apart);
  g_test_add_func ("/order-window/restart",
                   test_a_restarted_owner_waits_for_the_lease);
  return g_test_run ();
}
