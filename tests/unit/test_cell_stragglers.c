#include "cell_world.h"

/* Tests of runs that take much longer than others of their step. */

#define JOB WORLD_JOB
/* Tasks that fit on all workers of the world, and on one. */
#define ALL_ROOM 96
#define WORKER_ROOM 16

static struct job_spec *
job_with_checkpoints (const struct world *w, const char *id, uint32_t count)
{
  struct job_spec *spec = world_job (w, id, 1, count);

  first_step (spec)->has_checkpoints = true;
  return spec;
}

/* Return a world whose cell knows the run times of the first step, 1 to 3 s,
   and that worker 0 takes SLOW_FACTOR times as long. */
static struct world *
world_with_slow_worker (uint32_t seed, uint32_t slow_factor)
{
  struct world *w = world_new (seed);

  w->workers[0].slow_factor = slow_factor;
  w->run_ms = 2000;
  world_run (w, 500);
  world_submit (w, world_job (w, "00000000000000b1", 1, 3 * ALL_ROOM));
  world_run (w, 60000);
  g_assert_cmpint (world_state (w, "00000000000000b1"), ==, JOB_COMPLETED);
  w->reports_checkpoints = true;
  w->starts = 0;
  return w;
}

/* Load: a job that fills all workers, one of which takes 3 times as long.
   Guards against a job that waits for its tasks there while the others are
   idle: without the move it ends after 9.0 s, with it after 6.6 s. */
static void
test_a_straggler_on_a_slow_worker_moves (void)
{
  struct world *w = world_with_slow_worker (1, 3);

  world_submit (w, job_with_checkpoints (w, JOB, ALL_ROOM));
  world_run (w, 7500);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, >, ALL_ROOM);
  g_assert_cmpuint (w->starts, <=, ALL_ROOM + WORKER_ROOM);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a move of a task that is long itself: it would take as many
   times longer than others on any worker. */
static void
test_a_long_task_stays_where_it_is (void)
{
  struct world *w = world_with_slow_worker (2, 3);

  w->long_task = JOB ".0.0.0";
  w->long_factor = 7;
  /* The other workers are full at first; one task probes the slow one. */
  world_submit (
      w, world_job (w, "00000000000000c1", 1, ALL_ROOM - WORKER_ROOM + 1));
  world_run (w, 300);
  world_submit (w, job_with_checkpoints (w, JOB, 1));
  world_run (w, 300);
  g_assert_true (world_find_run (w, JOB ".0.0.0") == &w->workers[0]);
  world_run (w, 60000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, ALL_ROOM - WORKER_ROOM + 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a move on a worker that is as fast as its peers: the task is
   long there for a reason of its own. */
static void
test_a_straggler_on_a_fast_worker_stays (void)
{
  struct world *w = world_with_slow_worker (3, 1);

  w->long_task = JOB ".0.0.0";
  w->long_factor = 7;
  world_submit (w, job_with_checkpoints (w, JOB, 8));
  world_run (w, 40000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, 8);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Load: wide tasks wait for a worker with 12 free cores, and 4 cores of each
   are free meanwhile.  Guards against a move that takes room from work which
   waits. */
static void
test_a_straggler_stays_while_work_waits (void)
{
  struct world *w = world_with_slow_worker (4, 3);
  struct job_spec *wide = world_job (w, "00000000000000c1", 1, 20);

  first_step (wide)->cpu_milli = 12000;
  world_submit (w, job_with_checkpoints (w, JOB, ALL_ROOM));
  world_run (w, 300);
  world_submit (w, wide);
  world_run (w, 9500);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpint (world_state (w, "00000000000000c1"), ==, JOB_RUNNING);
  g_assert_cmpuint (w->starts, >, ALL_ROOM + WORKER_ROOM / 2);
  world_run (w, 20000);
  g_assert_cmpuint (w->starts, ==, ALL_ROOM + 20);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-stragglers/move",
                   test_a_straggler_on_a_slow_worker_moves);
  g_test_add_func ("/cell-stragglers/long-task",
                   test_a_long_task_stays_where_it_is);
  g_test_add_func ("/cell-stragglers/fast-worker",
                   test_a_straggler_on_a_fast_worker_stays);
  g_test_add_func ("/cell-stragglers/work-waits",
                   test_a_straggler_stays_while_work_waits);
  return g_test_run ();
}
