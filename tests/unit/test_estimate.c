#include "admit.h"
#include "estimate.h"

#include <glib.h>

/* Estimates of run times, and admission control that uses them. */

static void
test_runs_replace_the_expected_time (void)
{
  struct estimate *e = estimate_new (8000);

  g_assert_cmpint (estimate_median_ms (e), >=, 7000);
  for (int i = 0; i < 200; i++)
    estimate_note (e, 80);
  g_assert_cmpint (estimate_median_ms (e), >=, 70);
  g_assert_cmpint (estimate_median_ms (e), <=, 90);
  for (int i = 0; i < 3000; i++)
    estimate_note (e, 800);
  g_assert_cmpint (estimate_median_ms (e), >=, 700);
  estimate_destroy (e);
}

static void
test_stragglers_do_not_change_the_mean (void)
{
  struct estimate *e = estimate_new (100);

  for (int i = 0; i < 500; i++)
    estimate_note (e, i % 50 == 0 ? 15000 : 100);
  g_assert_cmpint (estimate_mean_us (e), >=, 85000);
  g_assert_cmpint (estimate_mean_us (e), <=, 115000);
  g_assert_cmpint (estimate_straggler_ms (e), <, 1000);
  estimate_destroy (e);
}

static void
test_wait_is_the_smaller_of_lane_and_team (void)
{
  struct admit_load l = { .ahead = 100,
                          .ahead_of_team = 10,
                          .mean_us = 80000,
                          .slots_milli = 8000,
                          .entitled_milli = 2000 };

  g_assert_cmpint (admit_wait_ms (&l), ==, 400);
  l.ahead_of_team = 90;
  g_assert_cmpint (admit_wait_ms (&l), ==, 1000);
  l.slots_milli = 0;
  l.entitled_milli = 0;
  g_assert_cmpint (admit_wait_ms (&l), >=, 30000);
}

static void
test_retry_times_are_spread_and_grow (void)
{
  struct admit a = { 0 };
  struct admit_load l = { .mean_us = 80000, .slots_milli = 8000 };
  int64_t first_ms = admit_retry_after_ms (&a, &l, 500, 1000);
  int64_t last_ms = first_ms;

  g_assert_cmpint (first_ms, >=, 500);
  for (int i = 0; i < 100; i++)
    last_ms = admit_retry_after_ms (&a, &l, 500, 1000);
  g_assert_cmpint (last_ms - first_ms, ==, 1000); /* 100 runs of 10 ms */
  /* After 8 s of overload, 8 s more are expected. */
  g_assert_cmpint (admit_retry_after_ms (&a, &l, 500, 9000), >=, 8000);
  admit_note_waiting (&a, false, 9000);
  g_assert_cmpint (admit_retry_after_ms (&a, &l, 500, 60000), <=, 600);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/estimate/runs-replace-expected",
                   test_runs_replace_the_expected_time);
  g_test_add_func ("/estimate/stragglers",
                   test_stragglers_do_not_change_the_mean);
  g_test_add_func ("/admit/wait", test_wait_is_the_smaller_of_lane_and_team);
  g_test_add_func ("/admit/retry-times", test_retry_times_are_spread_and_grow);
  return g_test_run ();
}
