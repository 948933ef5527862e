#include "cell_state.h"
#include "cell_world.h"

/* Tests of how a cell treats workers that are slow, or that fail a part of
   what they start. */

#define JOB WORLD_JOB
/* Tasks that fit on all workers of the world, and on one. */
#define ALL_ROOM 96
#define WORKER_ROOM 16

/* Let the cell see runs on all workers, so that it knows their speeds. */
static void
warm_up (struct world *w)
{
  world_run (w, 500);
  world_submit (w, world_job (w, "00000000000000b1", 1, 3 * ALL_ROOM));
  world_run (w, 20000);
  g_assert_cmpint (world_state (w, "00000000000000b1"), ==, JOB_COMPLETED);
}

static uint32_t
most_runs_on (struct world *w, const struct world_worker *k, int64_t for_ms)
{
  uint32_t most = 0;

  for (int64_t until_ms = w->now_ms + for_ms; w->now_ms < until_ms;)
    {
      world_run (w, 5);
      most = MAX (most, k->runs->len);
    }
  return most;
}

/* Let FOR_MS pass, and assert that no worker is taken for slow or for one that
   fails more than others. */
static void
run_without_suspicion (struct world *w, int64_t for_ms)
{
  for (int64_t until_ms = w->now_ms + for_ms; w->now_ms < until_ms;)
    {
      world_run (w, 50);
      for (guint i = 0; i < w->cell->worker_list->len; i++)
        {
          const struct cell_worker *k
              = g_ptr_array_index (w->cell->worker_list, i);

          g_assert_false (k->is_failing);
          g_assert_false (cell_worker_is_slow (k));
        }
    }
}

/* Load: half of what the workers hold, one of which takes three times as long.
   Guards against work on the slow one, a probe aside, while others have room;
   by the load of the workers alone it gets 16 of the 48 tasks. */
static void
test_a_slow_worker_is_used_last (void)
{
  struct world *w = world_new (1);

  w->workers[0].slow_factor = 3;
  warm_up (w);
  w->run_ms = 3000;
  world_submit (w, world_job (w, JOB, 1, ALL_ROOM / 2));
  g_assert_cmpuint (most_runs_on (w, &w->workers[0], 1000), <=, 1);
  g_assert_cmpuint (world_count_running (w, ALL_ROOM / 2), ==, ALL_ROOM / 2);
  world_submit (w, world_job (w, "00000000000000a2", 1, ALL_ROOM));
  g_assert_cmpuint (most_runs_on (w, &w->workers[0], 1000), ==, WORKER_ROOM);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Load: more than the workers hold, one of which takes six times as long.
   Guards against a sixth of the tasks running there; by the load of the
   workers alone 16 run there at once. */
static void
test_a_very_slow_worker_gets_one_task_at_a_time (void)
{
  struct world *w = world_new (2);

  w->workers[0].slow_factor = 6;
  warm_up (w);
  world_submit (w, world_job (w, JOB, 1, 3 * ALL_ROOM));
  g_assert_cmpuint (most_runs_on (w, &w->workers[0], 10000), ==, 1);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a worker that is shunned for good although it has recovered.
 */
static void
test_a_worker_that_is_fast_again_gets_work_again (void)
{
  struct world *w = world_new (3);

  w->workers[0].slow_factor = 6;
  warm_up (w);
  w->workers[0].slow_factor = 1;
  for (int i = 0; i < 4; i++)
    {
      char *id = g_strdup_printf ("%016x", 0xc0 + i);

      world_submit (w, world_job (w, id, 1, 6 * ALL_ROOM));
      g_free (id);
    }
  g_assert_cmpuint (most_runs_on (w, &w->workers[0], 30000), ==, WORKER_ROOM);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against taking a load whose tasks have grown for slow workers: all of
   them take longer, once each has done some of these. */
static void
test_longer_tasks_make_no_worker_slow (void)
{
  struct world *w = world_new (4);

  warm_up (w);
  w->run_ms = 5000;
  world_submit (w, world_job (w, JOB, 1, 3 * ALL_ROOM));
  world_run (w, 10000);
  run_without_suspicion (w, 15000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* Load: a worker fails half of what it starts, and does the rest.  Guards
   against a worker that is never suspect because no three jobs in a row fail
   there: it is as full as the others then. */
static void
test_a_worker_that_fails_a_part_is_suspect (void)
{
  struct world *w = world_new (5);
  uint32_t starts;

  w->max_attempts = 100;
  w->workers[0].fails_percent = 50;
  world_run (w, 500);
  world_submit_many (w, 300, 4);
  world_run (w, 4000);
  starts = w->workers[0].starts;
  g_assert_cmpuint (most_runs_on (w, &w->workers[0], 4000), ==, 1);
  g_assert_cmpuint (w->workers[0].starts - starts, <, 8);
  world_run (w, 30000);
  g_assert_cmpuint (world_count_state (w, 300, JOB_COMPLETED), ==, 300);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against suspecting workers of what the jobs cause: one in four tasks
   fails everywhere. */
static void
test_failures_on_all_workers_make_none_suspect (void)
{
  struct world *w = world_new (6);

  w->max_attempts = 100;
  w->faults.task_fails = 25;
  world_run (w, 500);
  world_submit_many (w, 300, 4);
  run_without_suspicion (w, 14000);
  g_assert_cmpuint (world_count_state (w, 300, JOB_COMPLETED), ==, 300);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-health/slow", test_a_slow_worker_is_used_last);
  g_test_add_func ("/cell-health/very-slow",
                   test_a_very_slow_worker_gets_one_task_at_a_time);
  g_test_add_func ("/cell-health/fast-again",
                   test_a_worker_that_is_fast_again_gets_work_again);
  g_test_add_func ("/cell-health/longer-tasks",
                   test_longer_tasks_make_no_worker_slow);
  g_test_add_func ("/cell-health/fails-a-part",
                   test_a_worker_that_fails_a_part_is_suspect);
  g_test_add_func ("/cell-health/failing-jobs",
                   test_failures_on_all_workers_make_none_suspect);
  return g_test_run ();
}
