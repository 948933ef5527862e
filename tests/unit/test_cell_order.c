#include "cell_world.h"

#include <string.h>

/* What a cell starts, delays and turns away when capacity is scarce. */

/* Tasks of one core that all workers run at once. */
#define ROOM (WORLD_WORKERS * 16)

/* Submit the job ID, of COUNT tasks of one core that are estimated to take
   ESTIMATE_MS, with TARGET_MS to end in beside twice that. */
static void
submit_job (struct world *w, guint id, uint32_t count, int64_t estimate_ms,
            int64_t target_ms)
{
  char *name = g_strdup_printf ("%016x", id);
  struct job_spec *spec = world_job (w, name, 1, count);
  struct job_step *s = g_ptr_array_index (spec->steps, 0);

  s->estimate_ms = estimate_ms;
  spec->deadline_factor = 2;
  spec->target_ms = target_ms;
  world_submit (w, spec);
  g_free (name);
}

static enum job_state
state_of (const struct world *w, guint id)
{
  char *name = g_strdup_printf ("%016x", id);
  enum job_state state = world_state (w, name);

  g_free (name);
  return state;
}

/* A burst of large jobs ahead of small ones with later deadlines.  Ordered by
   deadline alone, the small ones would wait for all large ones and be late. */
static void
test_small_jobs_pass_large_ones_that_are_late_anyway (void)
{
  struct world *w = world_new (31);

  world_run (w, 500);
  w->run_ms = 500;
  for (guint i = 0; i < 6; i++)
    submit_job (w, i, 4 * ROOM, 500, 500);
  for (guint i = 6; i < 26; i++)
    submit_job (w, i, 2, 500, 800);
  world_run (w, 1800);
  for (guint i = 6; i < 26; i++)
    g_assert_cmpint (state_of (w, i), ==, JOB_COMPLETED);
  world_run (w, 20000);
  g_assert_cmpuint (world_count_state (w, 26, JOB_COMPLETED), ==, 26);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Submit two short tasks of a core every 5 ms for FOR_MS, which is more than
   all workers can run: their room is never free for long. */
static void
run_with_small_jobs (struct world *w, guint *next_id, int64_t for_ms)
{
  for (int64_t end_ms = w->now_ms + for_ms; w->now_ms < end_ms;)
    {
      submit_job (w, (*next_id)++, 2, 250, 3000);
      world_run (w, 5);
    }
}

/* Submit WORLD_JOB with COUNT tasks of CPU_MILLI. */
static void
submit_wide_job (struct world *w, uint32_t count, uint32_t cpu_milli,
                 bool is_gang)
{
  struct job_spec *spec = world_job (w, WORLD_JOB, 1, count);
  struct job_step *s = g_ptr_array_index (spec->steps, 0);

  s->cpu_milli = cpu_milli;
  s->estimate_ms = 250;
  s->is_gang = is_gang;
  spec->deadline_factor = 2;
  spec->target_ms = 2000;
  world_submit (w, spec);
}

/* A wide task, and a wide gang, beside small jobs that keep coming: without a
   reservation, what becomes free is always too little for the wide one and
   goes to small ones, and it waits as long as they come. */
static void
test_wide_steps_get_room_beside_small_jobs (void)
{
  for (int is_gang = 0; is_gang <= 1; is_gang++)
    {
      struct world *w = world_new (32);
      guint next_id = 0;

      world_run (w, 500);
      w->run_ms = 250;
      run_with_small_jobs (w, &next_id, 500);
      submit_wide_job (w, is_gang ? 3 : 1, 14000, is_gang);
      run_with_small_jobs (w, &next_id, 2500);
      g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
      world_run (w, 10000);
      g_assert_cmpuint (world_count_state (w, next_id, JOB_COMPLETED), ==,
                        next_id);
      world_assert_no_violations (w);
      world_destroy (w);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-order/small-pass-large",
                   test_small_jobs_pass_large_ones_that_are_late_anyway);
  g_test_add_func ("/cell-order/wide",
                   test_wide_steps_get_room_beside_small_jobs);
  return g_test_run ();
}
