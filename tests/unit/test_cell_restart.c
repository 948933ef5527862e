#include "cell_world.h"

/* Tests of a cell whose workers start again under their IDs and take calls
   that were meant for their former lives. */

#define TASKS 24
#define SILENT_MS 1000
/* Longer than any lease. */
#define CUT_MS 9000

/* Return a world in which what waits for an incarnation is carried out at its
   start, and whose runs last. */
static struct world *
new_world (uint32_t seed)
{
  struct world *w = world_new (seed);

  world_give_own_clocks (w);
  w->waiting_max_ms = 0;
  w->run_ms = 1000000;
  world_run (w, 2000);
  return w;
}

/* Submit a job of tasks that go on until they are stopped. */
static void
submit_tasks (struct world *w)
{
  struct job_spec *job = world_job (w, WORLD_JOB, 1, TASKS);

  first_step (job)->is_long_running = true;
  world_submit (w, job);
}

/* Let WORKER start again, and be cut off before it answers anything.  Check
   that it has carried out starts that were sent while it was silent, and that
   their tasks start nowhere else while they run; then that they all run. */
static void
check_cut_restart (struct world *w, struct world_worker *worker,
                   int64_t sent_before_ms)
{
  GPtrArray *tasks = g_ptr_array_new_with_free_func (g_free);

  world_run (w, SILENT_MS - sent_before_ms + 20);
  g_assert_true (worker->alive);
  for (guint i = 0; i < worker->runs->len; i++)
    g_ptr_array_add (
        tasks,
        g_strdup (
            ((struct world_run *)g_ptr_array_index (worker->runs, i))->task));
  g_assert_cmpuint (tasks->len, >, 0);
  world_run (w, CUT_MS);
  world_assert_no_violations (w);
  g_assert_cmpuint (worker->runs->len, ==, 0);
  world_run (w, 20000);
  for (guint i = 0; i < tasks->len; i++)
    g_assert_nonnull (world_find_run (w, g_ptr_array_index (tasks, i)));
  g_assert_cmpuint (world_count_running (w, TASKS), ==, TASKS);
  world_assert_no_violations (w);
  g_ptr_array_unref (tasks);
  world_destroy (w);
}

/* Guards against counting a start's lease from when it was composed: a later
   life of its worker grants the longest one when it carries the start out. */
static void
test_a_start_for_the_former_life_is_waited_for (void)
{
  struct world *w = new_world (71);
  struct world_worker *worker = &w->workers[2];

  world_restart_and_cut (w, worker, SILENT_MS, 0, CUT_MS);
  submit_tasks (w);
  check_cut_restart (w, worker, 0);
}

/* Guards against the same with a new owner, which is told that the earlier one
   has stopped: that one's starts are still under way. */
static void
test_a_stopped_owners_start_is_waited_for (void)
{
  struct world *w = new_world (72);
  struct world_worker *worker = &w->workers[2];

  world_restart_and_cut (w, worker, SILENT_MS, 0, CUT_MS);
  submit_tasks (w);
  world_run (w, 100);
  world_take_over (w, false, 0);
  check_cut_restart (w, worker, 100);
}

/* Let the starts at a worker be without an answer, and its life that has
   acknowledged their stops be followed by one that carries them out. */
static void
check_stopped_starts (uint32_t seed, int64_t cut_ms)
{
  struct world *w = new_world (seed);
  struct world_worker *worker = &w->workers[2];

  w->late_starts_at = worker;
  w->late_start_ms = 6000;
  submit_tasks (w);
  for (int i = 0; i < 40; i++, world_run (w, 100))
    if (i >= 10)
      cell_empty_worker (w->cell, worker->id, w->now_ms);
  /* The stops have arrived before the starts. */
  g_assert_cmpuint (worker->runs->len, ==, 0);
  g_assert_cmpuint (worker->ends->len, >, 0);
  world_restart_and_cut (w, worker, 2100, 0, cut_ms);
  world_run (w, 2120);
  g_assert_cmpuint (worker->runs->len, >, 0);
  world_run (w, 40000);
  world_assert_no_violations (w);
  g_assert_cmpuint (world_count_running (w, TASKS), ==, TASKS);
  world_destroy (w);
}

/* Guards against a start whose stop the former life has acknowledged: the next
   one, which is not cut off, knows of no stop and carries it out. */
static void
test_a_stopped_start_runs_nowhere_else (void)
{
  check_stopped_starts (73, 0);
}

/* Guards against the same with a worker that is cut off at its start. */
static void
test_a_stopped_start_at_a_cut_worker_runs_nowhere_else (void)
{
  check_stopped_starts (74, CUT_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/start-for-former-life",
                   test_a_start_for_the_former_life_is_waited_for);
  g_test_add_func ("/cell/start-of-stopped-owner",
                   test_a_stopped_owners_start_is_waited_for);
  g_test_add_func ("/cell/stopped-start-in-next-life",
                   test_a_stopped_start_runs_nowhere_else);
  g_test_add_func ("/cell/stopped-start-in-next-life-cut",
                   test_a_stopped_start_at_a_cut_worker_runs_nowhere_else);
  return g_test_run ();
}
