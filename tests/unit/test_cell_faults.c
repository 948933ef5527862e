#include "cell_world.h"

/* Tests of a cell's guarantees with workers that fail, become unreachable or
   restart, and over handovers. */

#define JOB WORLD_JOB

/* A worker is not empty before its ends are journaled: they would be lost with
   it, and the next owner would start their tasks again. */
static void
test_a_worker_with_unjournaled_ends_is_not_empty (void)
{
  struct world *w = world_new (34);
  bool is_empty = false;

  world_run (w, 2000);
  w->run_ms = 300;
  world_submit (w, world_job (w, JOB, 1, WORLD_WORKERS));
  world_run (w, 150);
  for (int i = 0; i < 5; i++, world_run (w, 20))
    for (int k = 0; k < WORLD_WORKERS; k++)
      cell_empty_worker (w->cell, w->workers[k].id, w->now_ms);
  w->is_store_unreachable = true;
  for (int i = 0; i < 40; i++, world_run (w, 20))
    for (int k = 0; k < WORLD_WORKERS; k++)
      if (w->workers[k].last_number > w->workers[k].acknowledged)
        is_empty |= cell_empty_worker (w->cell, w->workers[k].id, w->now_ms);
  g_assert_false (is_empty);
  w->is_store_unreachable = false;
  for (int i = 0; i < 100 && !is_empty; i++, world_run (w, 20))
    is_empty = cell_empty_worker (w->cell, "worker-0", w->now_ms);
  g_assert_true (is_empty);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* An owner without the store has processed ends that it can't journal, and
   their workers become unreachable: the next owner waits for these ends. */
static void
test_unjournaled_ends_of_unreachable_workers_are_waited_for (void)
{
  struct world *w = world_new (35);
  struct job_spec *job = world_job (w, JOB, 1, WORLD_WORKERS);

  world_run (w, 2000);
  w->run_ms = 300;
  ((struct job_step *)g_ptr_array_index (job->steps, 0))->max_per_worker = 1;
  world_submit (w, job);
  world_run (w, 150);
  w->is_store_unreachable = true;
  world_run (w, 500);
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = false;
  world_run (w, 1500);
  w->is_store_unreachable = false;
  world_take_over (w, true, 0);
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = i % 2 == 0;
  world_run (w, 1000);
  g_assert_cmpuint (w->starts, ==, WORLD_WORKERS);
  world_reach_workers (w);
  world_run (w, 2000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, WORLD_WORKERS);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A lease that is not extended expires, however many handovers follow each
   other. */
static void
test_handovers_do_not_extend_leases (void)
{
  struct world *w = world_new (36);
  struct world_worker *worker;

  world_run (w, 2000);
  w->run_ms = 1000000;
  world_submit (w, world_long_running_job (w, 1, 1));
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
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A start may reach a worker's new incarnation before the owner knows of the
   restart.  That run goes on; the tasks of the previous incarnation are
   started again. */
static void
test_a_start_in_a_new_incarnation_is_no_lost_run (void)
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
  world_run (w, 2000);
  world_assert_no_violations (w);
  g_assert_cmpuint (world_count_running (w, 6), ==, 6);
  world_destroy (w);
}

/* A worker that has left gets no work from an owner that finds it in the
   journal only, although it still answers. */
static void
test_a_worker_that_has_left_is_not_used_again (void)
{
  struct world *w = world_new (42);

  world_run (w, 2000);
  w->run_ms = 300;
  world_submit (w, world_job (w, JOB, 1, 90));
  world_run (w, 100);
  g_assert_cmpuint (w->workers[2].runs->len, >, 0);
  world_run (w, 3000);
  w->workers[2].has_left = true;
  world_take_over (w, false, 0);
  for (int i = 0; i < 3; i++)
    {
      char *id = g_strdup_printf ("%016x", 0xb0 + i);

      world_submit (w, world_job (w, id, 1, 90));
      world_run (w, 400);
      g_assert_cmpuint (w->workers[2].runs->len, ==, 0);
      g_free (id);
    }
  world_run (w, 3000);
  g_assert_cmpuint (w->workers[2].runs->len, ==, 0);
  g_assert_cmpint (world_state (w, "00000000000000b2"), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against starts on a worker that the list shows under another
   service. */
static void
test_a_reassigned_worker_gets_no_start (void)
{
  struct world *w = world_new (54);

  world_run (w, 2000);
  w->run_ms = 300;
  world_submit (w, world_job (w, JOB, 1, 90));
  world_run (w, 100);
  g_assert_cmpuint (w->workers[2].runs->len, >, 0);
  world_run (w, 1500);
  world_reassign (w, &w->workers[2], false);
  world_submit (w, world_job (w, "00000000000000b0", 1, 90));
  world_run (w, 200);
  g_assert_cmpuint (w->workers[2].runs->len, ==, 0);
  world_run (w, 3000);
  g_assert_cmpint (world_state (w, "00000000000000b0"), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against two cells that call one worker and so fence each other: it
   has restarted in another service, whose cell's owner calls it now. */
static void
test_a_worker_restarted_in_another_service_is_not_called (void)
{
  struct world *w = world_new (63);
  struct world_worker *worker;

  world_run (w, 2000);
  w->run_ms = 100000;
  world_submit (w, world_job (w, JOB, 1, 1));
  world_run (w, 1000);
  worker = world_find_run (w, JOB ".0.0.0");
  g_assert_nonnull (worker);
  world_reassign (w, worker, true);
  world_run (w, 10000);
  g_assert_cmpuint (worker->fencing_token, ==, 0);
  world_take_over (w, false, 0);
  world_run (w, 2000);
  g_assert_cmpuint (worker->fencing_token, ==, 0);
  g_assert_nonnull (world_find_run (w, JOB ".0.0.0"));
  world_assert_no_violations (w);
  world_destroy (w);
}

/* The same, while the worker's record is in the journal. */
static void
test_a_new_owner_does_not_call_a_worker_of_another_service (void)
{
  struct world *w = world_new (64);

  world_run (w, 2000);
  w->run_ms = 100000;
  world_submit (w, world_job (w, JOB, 1, 1));
  world_run (w, 1000);
  world_reassign (w, world_find_run (w, JOB ".0.0.0"), true);
  world_take_over (w, false, 0);
  for (int i = 0; i < WORLD_WORKERS; i++)
    if (w->workers[i].is_reassigned)
      {
        world_run (w, 15000);
        g_assert_cmpuint (w->workers[i].fencing_token, ==, 0);
      }
  g_assert_nonnull (world_find_run (w, JOB ".0.0.0"));
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against using an incarnation that the list does not show yet: it may
   be in another service, whose owner alone stops its runs and acknowledges its
   ends. */
static void
test_an_unlisted_incarnation_is_left_alone (void)
{
  struct world *w = world_new (55);
  struct world_worker *k = &w->workers[2];
  struct world_run *r = g_new0 (struct world_run, 1);

  world_run (w, 2000);
  world_crash (w, k, false);
  world_run (w, 100);
  k->incarnation_start_ms += 1000;
  k->alive = true;
  r->task = g_strdup ("00000000000000f1.0.0.0");
  r->run = 1;
  r->ends_ms = w->now_ms + 1000000;
  g_ptr_array_add (k->runs, r);
  k->deadline_ms = G_MAXINT64;
  world_run (w, 3000);
  g_assert_cmpint (r->stop_ms, ==, 0);
  world_submit (w, world_job (w, JOB, 1, 90));
  world_run (w, 500);
  g_assert_cmpuint (k->runs->len, ==, 1);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A task that takes minutes shows no new percent for seconds.  It is neither
   stopped nor started again, also if its worker is silent now and then for
   less than the lease that is left. */
static void
test_a_slow_task_is_left_alone (void)
{
  struct world *w = world_new (41);
  struct job_spec *job = world_job (w, JOB, 1, 1);
  struct world_worker *worker;

  world_run (w, 2000);
  w->run_ms = 300000; /* 1.5 to 4.5 s for each percent */
  ((struct job_step *)g_ptr_array_index (job->steps, 0))->estimate_ms = 100000;
  world_submit (w, job);
  world_run (w, 30000);
  worker = world_find_run (w, JOB ".0.0.0");
  g_assert_nonnull (worker);
  g_assert_cmpuint (w->starts, ==, 1);
  for (int i = 0; i < 5; i++)
    {
      worker->reachable = false;
      world_run (w, 1500);
      worker->reachable = true;
      world_run (w, 3000);
    }
  g_assert_cmpuint (w->starts, ==, 1);
  g_assert_true (world_find_run (w, JOB ".0.0.0") == worker);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* An owner that yields names the runs on each worker, so that an unreachable
   worker delays only the tasks of these runs. */
static void
test_an_unreachable_worker_delays_only_its_own_runs (void)
{
  struct world *w = world_new (39);
  const char *other = "00000000000000a2";
  struct world_worker *unreachable;

  world_run (w, 2000);
  w->run_ms = 1000000;
  /* These tasks fill one worker, so that nothing else runs there. */
  world_submit (w, world_job (w, JOB, 1, 16));
  world_run (w, 100);
  unreachable = world_find_run (w, JOB ".0.0.0");
  g_assert_nonnull (unreachable);
  g_assert_cmpuint (unreachable->runs->len, ==, 16);
  w->run_ms = 500;
  world_submit (w, world_job (w, other, 2, 6));
  while (world_state (w, other) != JOB_RUNNING)
    world_run (w, 5);
  unreachable->reachable = false;
  world_take_over (w, true, 0);
  world_run (w, 1900);
  g_assert_cmpint (world_state (w, other), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* The workers have no runs left and their leases have expired, but their ends
   are not journaled: the next owner still waits for these ends. */
static void
test_unjournaled_ends_are_waited_for_after_leases_expire (void)
{
  struct world *w = world_new (38);
  struct job_spec *job = world_job (w, JOB, 1, WORLD_WORKERS);

  world_run (w, 2000);
  w->run_ms = 300;
  ((struct job_step *)g_ptr_array_index (job->steps, 0))->max_per_worker = 1;
  world_submit (w, job);
  world_run (w, 150);
  w->is_store_unreachable = true;
  world_run (w, 6000);
  w->workers[0].reachable = false;
  w->is_store_unreachable = false;
  world_take_over (w, true, 0);
  world_run (w, 300);
  w->workers[0].reachable = true;
  world_run (w, 3000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, WORLD_WORKERS);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A worker that fails every run at once always has room while the others are
   full.  It must not use up the attempts of all jobs. */
static void
test_a_worker_that_fails_every_run_fails_no_job (void)
{
  struct world *w = world_new (31);

  world_run (w, 2000);
  w->workers[0].is_failing_all_runs = true;
  world_submit_many (w, 60, 6);
  world_run (w, 12000);
  g_assert_cmpuint (world_count_state (w, 60, JOB_FAILED), ==, 0);
  g_assert_cmpuint (world_count_state (w, 60, JOB_COMPLETED), ==, 60);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A suspect worker is fully used again once a task has been done there. */
static void
test_a_recovered_worker_is_used_again (void)
{
  struct world *w = world_new (32);

  world_run (w, 2000);
  w->workers[0].is_failing_all_runs = true;
  world_submit_many (w, 60, 6);
  world_run (w, 12000);
  w->workers[0].is_failing_all_runs = false;
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

/* Jobs that fail on every worker must not keep the workers from other jobs. */
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

static void
submit_filling_job (struct world *w, const char *id)
{
  struct job_spec *job = world_job (w, id, 1, 1);

  ((struct job_step *)g_ptr_array_index (job->steps, 0))->cpu_milli = 16000;
  world_submit (w, job);
}

/* Guards against using the room of a run that goes on: its task is done by an
   earlier run, whose worker was unreachable at its end. */
static void
test_a_superfluous_run_keeps_its_room (void)
{
  struct world *w = world_new (62);
  struct world_worker *first;

  w->room = 1;
  world_take_over (w, false, 0);
  world_run (w, 2000);
  w->run_ms = 1500;
  submit_filling_job (w, WORLD_JOB);
  world_run (w, 100);
  first = world_find_run (w, WORLD_JOB ".0.0.0");
  g_assert_nonnull (first);
  first->reachable = false;
  world_run (w, 3000);
  w->run_ms = 100000;
  world_run (w, 4000);
  g_assert_nonnull (world_find_run (w, WORLD_JOB ".0.0.0"));
  for (int i = 0; i < WORLD_WORKERS; i++)
    {
      char *id = g_strdup_printf ("%016x", 0xb00 + i);

      submit_filling_job (w, id);
      g_free (id);
    }
  world_run (w, 1000);
  first->reachable = true;
  world_run (w, 5000);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  for (int i = 0; i < WORLD_WORKERS; i++)
    g_assert_cmpuint (w->workers[i].runs->len, ==, 1);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell/unjournaled-not-empty",
                   test_a_worker_with_unjournaled_ends_is_not_empty);
  g_test_add_func (
      "/cell/unjournaled-unreachable",
      test_unjournaled_ends_of_unreachable_workers_are_waited_for);
  g_test_add_func ("/cell/handovers-and-leases",
                   test_handovers_do_not_extend_leases);
  g_test_add_func ("/cell/start-in-new-incarnation",
                   test_a_start_in_a_new_incarnation_is_no_lost_run);
  g_test_add_func ("/cell/unjournaled-expired",
                   test_unjournaled_ends_are_waited_for_after_leases_expire);
  g_test_add_func ("/cell/worker-reassigned",
                   test_a_reassigned_worker_gets_no_start);
  g_test_add_func ("/cell/unlisted-incarnation",
                   test_an_unlisted_incarnation_is_left_alone);
  g_test_add_func ("/cell/worker-left",
                   test_a_worker_that_has_left_is_not_used_again);
  g_test_add_func ("/cell/slow-task", test_a_slow_task_is_left_alone);
  g_test_add_func ("/cell/unreachable-worker",
                   test_an_unreachable_worker_delays_only_its_own_runs);
  g_test_add_func ("/cell/failing-worker",
                   test_a_worker_that_fails_every_run_fails_no_job);
  g_test_add_func ("/cell/recovered-worker",
                   test_a_recovered_worker_is_used_again);
  g_test_add_func ("/cell/jobs-that-fail",
                   test_jobs_that_fail_everywhere_keep_no_worker_idle);
  g_test_add_func ("/cell/restarted-elsewhere",
                   test_a_worker_restarted_in_another_service_is_not_called);
  g_test_add_func ("/cell/journaled-elsewhere",
                   test_a_new_owner_does_not_call_a_worker_of_another_service);
  g_test_add_func ("/cell/superfluous-run",
                   test_a_superfluous_run_keeps_its_room);
  return g_test_run ();
}
