#include "cell_state.h"
#include "cell_world.h"
#include "run_times.h"

#include <stdlib.h>

/* Tests of learned run times, and of what a cell does by them. */

/* Guards against judging by too few values: the declared estimate has to be
   used until 8 ends are known. */
static void
test_few_values_give_no_quantile (void)
{
  struct run_times *r = run_times_new ();

  for (int i = 0; i < RUN_TIMES_MIN_VALUES - 1; i++)
    run_times_add (r, "a", 100, 1000);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 50, 1000), ==, -1);
  run_times_add (r, "a", 100, 1000);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 50, 1000), ==, 100);
  g_assert_cmpint (run_times_quantile_ms (r, "b", 50, 1000), ==, -1);
  run_times_destroy (r);
}

/* Guards against a median that the few tasks of seven times the length
   shift. */
static void
test_quantiles_are_of_the_last_values (void)
{
  struct run_times *r = run_times_new ();

  for (int i = 0; i < RUN_TIMES_VALUES; i++)
    run_times_add (r, "a", 9000, 1000);
  for (int i = 1; i <= RUN_TIMES_VALUES; i++)
    run_times_add (r, "a", i % 32 == 0 ? 700 : 100, 1000);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 0, 1000), ==, 100);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 50, 1000), ==, 100);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 95, 1000), ==, 100);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 100, 1000), ==, 700);
  run_times_destroy (r);
}

static int
compare_values (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Guards against a sorted copy that loses values, or keeps those that have
   left the ring or got too old. */
static void
test_quantiles_equal_those_of_sorted_values (void)
{
  struct run_times *r = run_times_new ();
  GRand *rand = g_rand_new_with_seed (7);
  int64_t values[RUN_TIMES_VALUES], times[RUN_TIMES_VALUES];
  int64_t now_ms = 1000;

  for (int i = 0; i < 5000; i++)
    {
      int64_t recent[RUN_TIMES_VALUES];
      uint32_t n = 0;
      uint32_t percent = (uint32_t)g_rand_int_range (rand, 0, 101);

      now_ms += g_rand_int_range (rand, 0, 40) == 0
                    ? g_rand_int_range (rand, 0, RUN_TIMES_MAX_AGE_MS)
                    : g_rand_int_range (rand, 0, 2000);
      values[i % RUN_TIMES_VALUES] = g_rand_int_range (rand, 0, 50);
      times[i % RUN_TIMES_VALUES] = now_ms / 1000 * 1000;
      run_times_add (r, "a", values[i % RUN_TIMES_VALUES], now_ms);
      for (int k = 0; k < MIN (i + 1, RUN_TIMES_VALUES); k++)
        if (now_ms < times[k] + RUN_TIMES_MAX_AGE_MS)
          recent[n++] = values[k];
      qsort (recent, n, sizeof recent[0], compare_values);
      if (g_rand_int_range (rand, 0, 3) > 0)
        g_assert_cmpint (
            run_times_quantile_ms (r, "a", percent, now_ms), ==,
            n < RUN_TIMES_MIN_VALUES ? -1 : recent[(n - 1) * percent / 100]);
    }
  g_rand_free (rand);
  run_times_destroy (r);
}

/* Guards against run times of a load that is long gone. */
static void
test_old_values_do_not_count (void)
{
  struct run_times *r = run_times_new ();

  for (int i = 0; i < RUN_TIMES_VALUES / 2; i++)
    run_times_add (r, "a", 100, 1000);
  for (int i = 0; i < RUN_TIMES_MIN_VALUES; i++)
    run_times_add (r, "a", 300, 500000);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 50, 500000), ==, 100);
  g_assert_cmpint (
      run_times_quantile_ms (r, "a", 50, 1000 + RUN_TIMES_MAX_AGE_MS), ==,
      300);
  g_assert_cmpint (
      run_times_quantile_ms (r, "a", 50, 500000 + RUN_TIMES_MAX_AGE_MS), ==,
      -1);
  for (int i = 0; i < RUN_TIMES_MIN_VALUES; i++)
    run_times_add (r, "a", 200, 5000000);
  g_assert_cmpint (run_times_quantile_ms (r, "a", 50, 5000000), ==, 200);
  g_assert_cmpint (
      run_times_quantile_ms (r, "a", 50, 5000000 + RUN_TIMES_MAX_AGE_MS), ==,
      -1);
  run_times_destroy (r);
}

/* Guards against memory that grows with the images that callers name. */
static void
test_the_least_recently_used_key_is_dropped (void)
{
  struct run_times *r = run_times_new ();

  for (int k = 0; k < RUN_TIMES_KEYS; k++)
    for (int i = 0; i < RUN_TIMES_MIN_VALUES; i++)
      {
        char key[16];

        g_snprintf (key, sizeof key, "k%d", k);
        run_times_add (r, key, 100, 1000);
      }
  g_assert_cmpint (run_times_quantile_ms (r, "k0", 50, 1000), ==, 100);
  run_times_add (r, "one-more", 100, 1000);
  g_assert_cmpint (run_times_quantile_ms (r, "k0", 50, 1000), ==, 100);
  g_assert_cmpint (run_times_quantile_ms (r, "k1", 50, 1000), ==, -1);
  run_times_destroy (r);
}

static void
set_image (struct job_spec *spec, const char *image)
{
  struct job_step *s = g_ptr_array_index (spec->steps, 0);

  g_free (s->image);
  s->image = g_strdup (image);
}

/* Return how long after its submission the deadline of job ID is. */
static int64_t
submit_and_get_slack_ms (struct world *w, const char *id, const char *image)
{
  struct job_spec *spec = world_job (w, id, 1, 1);
  const struct cell_job *job;

  set_image (spec, image);
  world_submit (w, spec);
  job = g_hash_table_lookup (w->cell->jobs, id);
  return job->deadline_ms - job->added_ms;
}

/* Load: callers declare a tenth of what their tasks take.  Guards against an
   order of jobs by such estimates, where a step's tasks have shown what they
   take; the estimate alone gives 800 ms in each case. */
static void
test_deadlines_follow_learned_run_times (void)
{
  struct world *w = world_new (1);
  struct job_spec *spec = world_job (w, WORLD_JOB, 1, 16);

  w->run_ms = 5000;
  world_run (w, 500);
  set_image (spec, "render");
  g_assert_cmpint (submit_and_get_slack_ms (w, "00000000000000a2", "render"),
                   ==, 800);
  world_submit (w, spec);
  world_run (w, 15000);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  g_assert_cmpint (submit_and_get_slack_ms (w, "00000000000000a3", "render"),
                   >, 4000);
  g_assert_cmpint (submit_and_get_slack_ms (w, "00000000000000a4", "other"),
                   ==, 800);
  world_take_over (w, false, 0);
  g_assert_cmpint (submit_and_get_slack_ms (w, "00000000000000a5", "render"),
                   ==, 800);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/run-times/few-values", test_few_values_give_no_quantile);
  g_test_add_func ("/run-times/last-values",
                   test_quantiles_are_of_the_last_values);
  g_test_add_func ("/run-times/sorted",
                   test_quantiles_equal_those_of_sorted_values);
  g_test_add_func ("/run-times/age", test_old_values_do_not_count);
  g_test_add_func ("/run-times/keys",
                   test_the_least_recently_used_key_is_dropped);
  g_test_add_func ("/run-times/deadlines",
                   test_deadlines_follow_learned_run_times);
  return g_test_run ();
}
