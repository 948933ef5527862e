#include "retry.h"

#include <glib.h>

/* Retry budgets: few retries when everything fails, none that could run a
   request twice. */

#define REQUESTS 20000

/* Return how many runs REQUESTS requests come to if all end with RESULT. */
static uint32_t
runs_if_all_end (enum run_result result, bool idempotent)
{
  struct retry_budget b;
  uint32_t runs = 0;

  retry_budget_init (&b);
  for (int i = 0; i < REQUESTS; i++)
    {
      uint32_t attempt = 1;

      retry_budget_earn (&b);
      while (retry_decide (&b, idempotent, result, attempt) == RETRY_AGAIN)
        attempt++;
      runs += attempt;
    }
  return runs;
}

static void
test_total_failure_amplifies_little (void)
{
  g_assert_cmpuint (runs_if_all_end (RUN_FAILED, true), <=,
                    REQUESTS + REQUESTS / 10);
  g_assert_cmpuint (runs_if_all_end (RUN_LOST, true), <=,
                    REQUESTS + REQUESTS / 10);
  g_assert_cmpuint (runs_if_all_end (RUN_NOT_STARTED, true), <=,
                    REQUESTS + REQUESTS / 10);
  g_assert_cmpuint (runs_if_all_end (RUN_NOT_STARTED, false), <=,
                    REQUESTS + REQUESTS / 10);
}

static void
test_a_few_failures_are_tried_again (void)
{
  struct retry_budget b;

  retry_budget_init (&b);
  for (int i = 0; i < 10; i++)
    g_assert_cmpint (retry_decide (&b, true, RUN_FAILED, 1), ==, RETRY_AGAIN);
  g_assert_cmpint (retry_decide (&b, true, RUN_FAILED, 1), ==,
                   RETRY_BUDGET_SPENT);
  /* That leaves what never started its own budget. */
  g_assert_cmpint (retry_decide (&b, false, RUN_NOT_STARTED, 1), ==,
                   RETRY_AGAIN);
}

static void
test_what_may_have_run_is_not_run_again (void)
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
  g_test_add_func ("/retry/total-failure",
                   test_total_failure_amplifies_little);
  g_test_add_func ("/retry/few-failures", test_a_few_failures_are_tried_again);
  g_test_add_func ("/retry/at-most-once",
                   test_what_may_have_run_is_not_run_again);
  return g_test_run ();
}
