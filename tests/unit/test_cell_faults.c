#include "cell_world.h"

/* What a cell promises beside workers that fail, fall silent or are born
   again, and over handovers. */

#define JOB WORLD_JOB

/* Its end is lost with the worker: the next owner would start the task anew.
 */
static void
test_a_worker_with_unwritten_ends_is_not_empty (void)
{
  struct world *w = world_new (34);
  bool is_empty = false;

  world_run (w, 2000);
  w->run_ms = 300;
  world_submit (w, world_job (w, JOB, 1, WORLD_WORKERS));
  world_run (w, 150);
  for (int i = 0; i < 5; i++, world_run (w, 20))
    for (int k = 0; k < WORLD_WORKERS; k++)
      cell_release_worker (w->cell, w->workers[k].id, w->now_ms);
  w->store_away = true;
  for (int i = 0; i < 40; i++, world_run (w, 20))
    for (int k = 0; k < WORLD_WORKERS; k++)
      if (w->workers[k].last_number > w->workers[k].noted)
        is_empty |= cell_release_worker (w->cell, w->workers[k].id, w->now_ms);
  g_assert_false (is_empty);
  w->store_away = false;
  for (int i = 0; i < 100 && !is_empty; i++, world_run (w, 20))
    is_empty = cell_release_worker (w->cell, "worker-0", w->now_ms);
  g_assert_true (is_empty);
  world_assert_unbroken (w);
  world_destroy (w);
}

/* An owner without the store has heard of ends that the journal does not have
   when their workers fall silent: whoever it yields to waits for them. */
static void
test_unwritten_ends_of_silent_workers_are_waited_for (void)
{
  struct world *w = world_new (35);
  struct job_spec *job = world_job (w, JOB, 1, WORLD_WORKERS);

  world_run (w, 2000);
  w->run_ms = 300;
  ((struct job_step *)g_ptr_array_index (job->steps, 0))->per_worker = 1;
  world_submit (w, job);
  world_run (w, 150);
  w->store_away = true;
  world_run (w, 500);
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = false;
  world_run (w, 1500);
  w->store_away = false;
  world_take_over (w, true, 0);
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = i % 2 == 0;
  world_run (w, 1000);
  g_assert_cmpuint (w->starts, ==, WORLD_WORKERS);
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = true;
  world_run (w, 2000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, WORLD_WORKERS);
  world_assert_unbroken (w);
  world_destroy (w);
}

/* A lease that an owner does not extend runs out however often the cell
   changes hands. */
static void
test_handovers_do_not_extend_leases (void)
{
  struct world *w = world_new (36);
  struct world_worker *worker;

  world_run (w, 2000);
  w->run_ms = 1000000;
  world_submit (w, world_lasting_job (w, 1, 1));
  world_run (w, 500);
  worker = world_find_run (w, JOB ".0.0.0");
  g_assert_nonnull (worker);
  worker->reachable = false;
  for (int i = 0; i < 5; i++)
    {
      world_run (w, 1600);
      world_take_over (w, true, 0);
    }
  world_run (w, 400);
  worker = world_find_run (w, JOB ".0.0.0");
  g_assert_nonnull (worker);
  g_assert_true (worker->reachable);
  world_assert_unbroken (w);
  world_destroy (w);
}

/* A start may arrive in a worker's new life before its owner knows of it: that
   run goes on, and the ones of the life before are started anew. */
static void
test_a_start_in_a_new_life_is_no_lost_run (void)
{
  struct world *w = world_new (37);
  struct world_worker *worker;

  world_run (w, 2000);
  w->run_ms = 1000000;
  world_submit (w, world_job (w, JOB, 1, 6));
  world_run (w, 500);
  worker = world_find_run (w, JOB ".0.0.0");
  world_crash (w, worker, false);
  worker->alive = true;
  world_submit (w, world_job (w, "00000000000000a2", 1, 6));
  world_run (w, 30);
  g_assert_true (world_find_run (w, "00000000000000a2.0.0.0") == worker);
  world_run (w, 3000);
  world_assert_unbroken (w);
  g_assert_cmpuint (world_count_running (w, 6), ==, 6);
  world_destroy (w);
}

/* Whoever yields names the runs on each worker, so that one that does not
   answer keeps nothing else from starting. */
static void
test_a_dark_worker_holds_up_its_own_runs_only (void)
{
  struct world *w = world_new (39);
  const char *other = "00000000000000a2";
  struct world_worker *dark;

  world_run (w, 2000);
  w->run_ms = 1000000;
  /* These fill one worker, so that nothing else runs there. */
  world_submit (w, world_job (w, JOB, 1, 16));
  world_run (w, 100);
  dark = world_find_run (w, JOB ".0.0.0");
  g_assert_nonnull (dark);
  g_assert_cmpuint (dark->runs->len, ==, 16);
  w->run_ms = 500;
  world_submit (w, world_job (w, other, 2, 6));
  while (world_state (w, other) != JOB_RUNNING)
    world_run (w, 5);
  dark->reachable = false;
  world_take_over (w, true, 0);
  world_run (w, 1900);
  g_assert_cmpint (world_state (w, other), ==, JOB_COMPLETED);
  world_assert_unbroken (w);
  world_destroy (w);
}

/* No run is left on the workers and their leases are over, but their ends are
   in no journal: the next owner waits for them all the same. */
static void
test_unwritten_ends_outlive_leases (void)
{
  struct world *w = world_new (38);
  struct job_spec *job = world_job (w, JOB, 1, WORLD_WORKERS);

  world_run (w, 2000);
  w->run_ms = 300;
  ((struct job_step *)g_ptr_array_index (job->steps, 0))->per_worker = 1;
  world_submit (w, job);
  world_run (w, 150);
  w->store_away = true;
  world_run (w, 6000);
  w->workers[0].reachable = false;
  w->store_away = false;
  world_take_over (w, true, 0);
  world_run (w, 300);
  w->workers[0].reachable = true;
  world_run (w, 3000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, WORLD_WORKERS);
  world_assert_unbroken (w);
  world_destroy (w);
}

/* One worker fails all it starts, and so always has room while the others are
   full: the jobs keep their attempts. */
static void
test_a_worker_that_fails_all_fails_no_job (void)
{
  struct world *w = world_new (31);

  world_run (w, 2000);
  w->workers[0].fails_all = true;
  world_submit_many (w, 60, 6);
  world_run (w, 12000);
  g_assert_cmpuint (world_count_state (w, 60, JOB_FAILED), ==, 0);
  g_assert_cmpuint (world_count_state (w, 60, JOB_COMPLETED), ==, 60);
  world_assert_unbroken (w);
  world_destroy (w);
}

/* It is used again once a task has been done there. */
static void
test_a_worker_that_is_well_again_is_used (void)
{
  struct world *w = world_new (32);

  world_run (w, 2000);
  w->workers[0].fails_all = true;
  world_submit_many (w, 60, 6);
  world_run (w, 12000);
  w->workers[0].fails_all = false;
  world_submit_many (w, 1, 1);
  w->run_ms = 3000;
  for (guint i = 0; i < 40; i++)
    {
      char *id = g_strdup_printf ("%016x", 1000 + i);

      world_submit (w, world_job (w, id, 1, 6));
      g_free (id);
    }
  world_run (w, 6500);
  g_assert_cmpuint (w->workers[0].runs->len, >, 1);
  world_destroy (w);
}

/* Jobs that fail everywhere make no worker suspect for the others. */
static void
test_jobs_that_fail_everywhere_keep_no_worker_idle (void)
{
  struct world *w = world_new (33);

  world_run (w, 2000);
  w->faults.task_fails = 100;
  world_submit_many (w, 20, 6);
  world_run (w, 8000);
  g_assert_cmpuint (world_count_state (w, 20, JOB_FAILED), ==, 20);
  w->faults.task_fails = 0;
  w->run_ms = 1000000;
  world_submit (w, world_job (w, JOB, 1, 16 * WORLD_WORKERS));
  world_run (w, 1500);
  g_assert_cmpuint (world_count_running (w, 16 * WORLD_WORKERS), ==,
                    16 * WORLD_WORKERS);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/unwritten-not-empty",
                   test_a_worker_with_unwritten_ends_is_not_empty);
  g_test_add_func ("/cell/unwritten-silent",
                   test_unwritten_ends_of_silent_workers_are_waited_for);
  g_test_add_func ("/cell/handovers-and-leases",
                   test_handovers_do_not_extend_leases);
  g_test_add_func ("/cell/start-in-new-life",
                   test_a_start_in_a_new_life_is_no_lost_run);
  g_test_add_func ("/cell/unwritten-idle", test_unwritten_ends_outlive_leases);
  g_test_add_func ("/cell/dark-worker",
                   test_a_dark_worker_holds_up_its_own_runs_only);
  g_test_add_func ("/cell/fails-all",
                   test_a_worker_that_fails_all_fails_no_job);
  g_test_add_func ("/cell/well-again",
                   test_a_worker_that_is_well_again_is_used);
  g_test_add_func ("/cell/jobs-that-fail",
                   test_jobs_that_fail_everywhere_keep_no_worker_idle);
  return g_test_run ();
}
