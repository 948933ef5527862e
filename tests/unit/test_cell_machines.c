#include "cell_world.h"

/* Tests of what a cell concludes from the list of machines about workers that
   do not answer. */

/* How long an earlier owner goes on without the store. */
#define STALE_MS 8000
/* Requirement: a long-running task does not stand still for 3 s, from 4 s
   after the last disturbance on. */
#define STAND_STILL_MAX_MS 7000

/* Return a world whose owner can list the machines and has one long-running
   task on a worker, *WORKER. */
static struct world *
new_world_with_task (uint32_t seed, struct world_worker **worker)
{
  struct world *w = world_new (seed);

  w->lists_machines = true;
  w->run_ms = 1000000;
  world_take_over (w, false, 0);
  world_run (w, 2000);
  world_submit (w, world_long_running_job (w, 1, 1));
  world_run (w, 2000);
  *worker = world_find_run (w, WORLD_JOB ".0.0.0");
  g_assert_nonnull (*worker);
  return w;
}

/* Guards against a task that waits for the leases that a silent owner may have
   extended, though its worker has ended. */
static void
test_a_gone_worker_is_not_waited_for (void)
{
  struct world_worker *worker;
  struct world *w = new_world_with_task (71, &worker);

  world_crash (w, worker, false);
  world_take_over (w, false, STALE_MS);
  world_run (w, STAND_STILL_MAX_MS);
  g_assert_nonnull (world_find_run (w, WORLD_JOB ".0.0.0"));
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a second run of a task whose worker is only cut off: its
   machine is up, and the former owner goes on extending its lease. */
static void
test_an_unreachable_worker_is_waited_for (void)
{
  struct world_worker *worker;
  struct world *w = new_world_with_task (72, &worker);

  worker->is_cut_from_owner = true;
  world_take_over (w, false, STALE_MS);
  world_run (w, STAND_STILL_MAX_MS);
  g_assert_cmpuint (w->starts, ==, 1);
  /* The lists get rarer, as they go on naming the worker. */
  g_assert_cmpuint (w->machine_lists, <=, 6);
  /* The former owner may have called a next incarnation of the worker. */
  world_run (w, 10000);
  g_assert_cmpuint (w->starts, ==, 1);
  world_run (w, 10000);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against taking a list that can't be read for one without the worker:
   then only the leases count. */
static void
test_without_a_list_leases_are_waited_for (void)
{
  struct world_worker *worker;
  struct world *w = new_world_with_task (73, &worker);

  w->faults.list_unreadable = 100;
  worker->is_cut_from_owner = true;
  world_take_over (w, false, STALE_MS);
  world_run (w, STAND_STILL_MAX_MS);
  g_assert_cmpuint (w->starts, ==, 1);
  world_run (w, 10000);
  g_assert_cmpuint (w->starts, ==, 1);
  world_run (w, 10000);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against concluding from one list, which may be torn: a worker that
   the next one shows is waited for. */
static void
test_one_list_without_a_worker_shows_nothing (void)
{
  struct world_worker *worker;
  struct world *w = new_world_with_task (74, &worker);

  w->is_every_other_list_torn = true;
  worker->is_cut_from_owner = true;
  world_take_over (w, false, STALE_MS);
  world_run (w, STAND_STILL_MAX_MS);
  g_assert_cmpuint (w->machine_lists, >=, 8);
  g_assert_cmpuint (w->starts, ==, 1);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-machines/gone",
                   test_a_gone_worker_is_not_waited_for);
  g_test_add_func ("/cell-machines/unreachable",
                   test_an_unreachable_worker_is_waited_for);
  g_test_add_func ("/cell-machines/no-list",
                   test_without_a_list_leases_are_waited_for);
  g_test_add_func ("/cell-machines/one-list",
                   test_one_list_without_a_worker_shows_nothing);
  return g_test_run ();
}
