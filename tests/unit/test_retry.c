#include "retry.h"

#include <glib.h>

/* Tests that retries add little load when every run fails, and that no retry
   can run a request that is not idempotent twice. */

#define REQUESTS 20000

/* Return the number of runs of REQUESTS requests if all runs end with RESULT.
 */
static uint32_t
count_runs_if_all_end_with (enum run_result result, bool idempotent)
{
  struct retry_budget b;
  uint32_t runs = 0;

  retry_budget_init (&b);
  for (int i = 0; i < REQUESTS; i++)
    {
      uint32_t attempt = 1;

      retry_budget_refill (&b);
      while (retry_decide (&b, idempotent, result, attempt) == RETRY_AGAIN)
        attempt++;
      runs += attempt;
    }
  return runs;
}

static void
test_total_failure_adds_few_runs (void)
{
  g_assert_cmpuint (count_runs_if_all_end_with (RUN_FAILED, true), <=,
                    REQUESTS + REQUESTS / 10);
  g_assert_cmpuint (count_runs_if_all_end_with (RUN_LOST, true), <=,
                    REQUESTS + REQUESTS / 10);
  g_assert_cmpuint (count_runs_if_all_end_with (RUN_NOT_STARTED, true), <=,
                    REQUESTS + REQUESTS / 10);
  g_assert_cmpuint (count_runs_if_all_end_with (RUN_NOT_STARTED, false), <=,
                    REQUESTS + REQUESTS / 10);
}

static void
test_few_failures_are_retried (void)
{
  struct retry_budget b;

  retry_budget_init (&b);
  for (int i = 0; i < 10; i++)
    g_assert_cmpint (retry_decide (&b, true, RUN_FAILED, 1), ==, RETRY_AGAIN);
  g_assert_cmpint (retry_decide (&b, true, RUN_FAILED, 1), ==,
                   RETRY_BUDGET_EXHAUSTED);
  /* Runs that never started have their own budget, which is still full. */
  g_assert_cmpint (retry_decide (&b, false, RUN_NOT_STARTED, 1), ==,
                   RETRY_AGAIN);
}

static void
test_no_retry_after_possible_start (void)
{
  struct retry_budget b;

  retry_budget_init (&b);
  for (int result = 0; result < RUN_RESULT_COUNT; result++)
    if (result != RUN_NOT_STARTED && result != RUN_NOT_SENT)
      g_assert_cmpint (retry_decide (&b, false, result, 1), ==, RETRY_GIVE_UP);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry/total-failure", test_total_failure_adds_few_runs);
  g_test_add_func ("/retry/few-failures", test_few_failures_are_retried);
  g_test_add_func ("/retry/at-most-once", test_no_retry_after_possible_start);
  return g_test_run ();
}
