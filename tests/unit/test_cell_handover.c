#include "cell_world.h"

/* Tests of what a new owner learns of the work of earlier ones. */

/* Return WORLD_JOB as a scheduled job of two tasks an occurrence; the first
   one is due in IN_MS. */
static struct job_spec *
scheduled_job (const struct world *w, uint32_t occurrences,
               int64_t interval_ms, int64_t in_ms)
{
  struct job_spec *job = world_job (w, WORLD_JOB, 1, 2);

  ((struct job_step *)g_ptr_array_index (job->steps, 0))->max_per_worker = 1;
  job->occurrences = occurrences;
  job->interval_ms = interval_ms;
  job->first_occurrence_ms = w->now_ms + in_ms;
  return job;
}

/* Let both tasks of the first occurrence of a scheduled job start. */
static struct world *
world_with_first_occurrence (uint32_t seed, int64_t run_ms,
                             uint32_t occurrences, int64_t interval_ms)
{
  struct world *w = world_new (seed);

  world_run (w, 2000);
  w->run_ms = run_ms;
  world_submit (w, scheduled_job (w, occurrences, interval_ms, 500));
  world_run (w, 1500);
  g_assert_cmpuint (world_count_running (w, 2), ==, 2);
  return w;
}

static void
set_reachable (struct world *w, bool reachable)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      char *task = g_strdup_printf (WORLD_JOB ".0.0.%u", i);
      struct world_worker *k = world_find_run (w, task);

      if (k != NULL)
        k->reachable = reachable;
      g_free (task);
    }
}

/* Guards against tasks of a scheduled job that start again after a handover
   although their runs are named. */
static void
test_named_runs_of_a_scheduled_job (void)
{
  struct world *w = world_with_first_occurrence (60, 8000, 2, 20000);

  set_reachable (w, false);
  world_take_over (w, true, 0);
  world_run (w, 1500);
  set_reachable (w, true);
  world_run (w, 3000);
  g_assert_cmpuint (w->starts, ==, 2);
  world_run (w, 45000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, 4);
  world_destroy (w);
}

/* Guards against the same after the loss of an owner that had journaled the
   runs of a silent worker. */
static void
test_journaled_runs_of_a_scheduled_job (void)
{
  struct world *w = world_with_first_occurrence (61, 20000, 1, 0);

  set_reachable (w, false);
  world_run (w, 2000);
  world_take_over (w, false, 0);
  world_run (w, 1000);
  set_reachable (w, true);
  world_run (w, 2000);
  g_assert_cmpuint (w->starts, ==, 2);
  world_run (w, 40000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* An owner whose Unix time is behind finds runs that are not due yet by its
   own; guards against stopping them, and against starting others early. */
static void
test_reported_runs_before_their_time (void)
{
  struct world *w = world_with_first_occurrence (62, 20000, 2, 3000);
  uint32_t starts;

  world_run (w, 3000);
  g_assert_cmpuint (w->starts, ==, 4);
  w->wall_ahead_ms = -10000;
  world_crash (w, world_find_run (w, WORLD_JOB ".1.0.0"), true);
  g_assert_nonnull (world_find_run (w, WORLD_JOB ".1.0.1"));
  starts = w->starts;
  world_take_over (w, false, 0);
  world_run (w, 3500);
  g_assert_nonnull (world_find_run (w, WORLD_JOB ".1.0.1"));
  g_assert_cmpuint (w->starts, ==, starts);
  w->wall_ahead_ms = 0;
  world_run (w, 60000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* Guards against ends of a scheduled job that are acknowledged without having
   been processed. */
static void
test_reported_ends_before_their_time (void)
{
  struct world *w = world_with_first_occurrence (63, 1500, 1, 0);

  w->is_store_unreachable = true;
  world_run (w, 2500);
  g_assert_cmpuint (world_count_running (w, 2), ==, 0);
  w->is_store_unreachable = false;
  w->wall_ahead_ms = -10000;
  world_take_over (w, false, 0);
  world_run (w, 5000);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_run (w, 15000);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Let a scheduled job start more occurrences than an owner adds by itself,
   while the store is unreachable for AWAY_MS and so lacks the ends of earlier
   ones, and let the owner change. */
static struct world *
world_with_many_open_occurrences (uint32_t seed, uint32_t occurrences,
                                  int64_t away_ms)
{
  struct world *w = world_new (seed);
  uint32_t starts;

  world_run (w, 2000);
  w->run_ms = 1000;
  world_submit (w, scheduled_job (w, occurrences, 25, 500));
  world_run (w, 500);
  w->is_store_unreachable = true;
  world_run (w, away_ms);
  w->is_store_unreachable = false;
  starts = w->starts;
  g_assert_cmpuint (starts, >, 130);
  world_take_over (w, false, 0);
  return w;
}

/* More occurrences may be open than an owner adds by itself, if the journal
   lacks the ends of earlier ones. */
static void
test_runs_beyond_the_limit_of_open_occurrences (void)
{
  struct world *w = world_with_many_open_occurrences (64, 200, 2500);

  world_run (w, 20000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, 400);
  world_destroy (w);
}

/* Guards against a scheduled job that fails because an owner refuses the
   progress that its predecessor journaled: while a worker did not answer, that
   one had more occurrences open than it adds by itself. */
static void
test_second_handover_beyond_the_limit_of_open_occurrences (void)
{
  struct world *w = world_with_many_open_occurrences (65, 400, 7000);

  w->workers[0].reachable = false;
  world_run (w, 1000);
  world_take_over (w, false, 0);
  w->workers[0].reachable = true;
  world_run (w, 30000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, 800);
  world_destroy (w);
}

/* Guards against a gang that starts again while one of its members may still
   run at a worker that has not answered the new owner, as the run of the first
   member is known. */
static void
test_gang_with_an_unseen_member (void)
{
  struct world *w = world_new (66);
  struct job_spec *job = world_job (w, WORLD_JOB, 1, 2);
  struct job_step *s = g_ptr_array_index (job->steps, 0);
  struct world_worker *first, *second;

  s->is_gang = true;
  s->max_per_worker = 1;
  world_run (w, 2000);
  w->run_ms = 20000;
  world_submit (w, job);
  world_run (w, 1000);
  first = world_find_run (w, WORLD_JOB ".0.0.0");
  second = world_find_run (w, WORLD_JOB ".0.0.1");
  g_assert_nonnull (first);
  g_assert_nonnull (second);
  second->reachable = false;
  world_take_over (w, false, 0);
  world_run (w, 500);
  world_crash (w, first, true);
  world_run (w, 2000);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  second->reachable = true;
  world_run (w, 90000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* Let the only task of a job start a second time, at *SECOND, which the owner
   lists first, after its first worker, *FIRST, has become silent, while the
   journal still names the first run.  With LOSES_OWNER let that owner be lost
   then. */
static struct world *
world_with_out_of_date_names (uint32_t seed, bool loses_owner,
                              struct world_worker **first,
                              struct world_worker **second)
{
  struct world *w = world_new (seed);

  *second = &w->workers[0];
  (*second)->reachable = false;
  world_run (w, 2000);
  w->run_ms = 40000;
  world_submit (w, world_job (w, WORLD_JOB, 1, 1));
  world_run (w, 1000);
  *first = world_find_run (w, WORLD_JOB ".0.0.0");
  g_assert_nonnull (*first);
  (*first)->reachable = false;
  (*second)->reachable = true;
  world_run (w, 2000);
  w->faults.append_refused = 100;
  world_run (w, 3000);
  g_assert_cmpuint (w->starts, ==, 2);
  g_assert_true (world_find_run (w, WORLD_JOB ".0.0.0") == *second);
  w->faults.append_refused = 0;
  if (loses_owner)
    world_take_over (w, false, 0);
  return w;
}

/* Guards against a task that starts again because an earlier run, which the
   journal names, has ended: its last run may be at a worker that has not
   answered the new owner. */
static void
test_end_of_a_named_run_before_the_last_one (void)
{
  struct world_worker *first, *second;
  struct world *w = world_with_out_of_date_names (67, true, &first, &second);

  first->reachable = true;
  second->reachable = false;
  world_run (w, 2500);
  world_assert_no_violations (w);
  g_assert_cmpuint (w->starts, ==, 2);
  second->reachable = true;
  world_run (w, 90000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* Guards against a task that starts again while its last run is being stopped
   as an unknown one: the journal names an earlier run, and that one's worker
   has restarted. */
static void
test_named_run_of_a_restarted_worker (void)
{
  for (int64_t away_ms = 0; away_ms <= 1500; away_ms += 50)
    {
      struct world_worker *first, *second;
      struct world *w
          = world_with_out_of_date_names (68, true, &first, &second);

      first->reachable = true;
      second->reachable = false;
      w->is_store_unreachable = true;
      world_crash (w, first, true);
      world_run (w, 200);
      second->reachable = true;
      world_run (w, away_ms);
      w->is_store_unreachable = false;
      world_run (w, 4000);
      world_assert_no_violations (w);
      g_assert_cmpuint (w->starts, ==, 2);
      world_run (w, 90000);
      world_assert_no_violations (w);
      g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
      world_destroy (w);
    }
}

/* Guards against a task that starts again because a handed-over record was
   dropped: the journal still named the task's earlier run on another worker.
 */
static void
test_handed_over_name_beside_an_older_one (void)
{
  struct world_worker *first, *second;
  struct world *w = world_with_out_of_date_names (69, false, &first, &second);

  second->reachable = false;
  world_take_over (w, true, 0);
  first->reachable = true;
  world_run (w, 3000);
  world_assert_no_violations (w);
  g_assert_cmpuint (w->starts, ==, 2);
  second->reachable = true;
  world_run (w, 90000);
  world_assert_no_violations (w);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* Guards against a task that starts again before its lease is over: its worker
   had restarted, and an earlier owner's last call, with a deadline on the
   former clock, gave it the longest lease. */
static void
test_lease_on_the_clock_before_a_restart (void)
{
  struct world *w = world_new (70);
  struct world_worker *worker = &w->workers[0];

  for (int i = 1; i < WORLD_WORKERS; i++)
    w->workers[i].alive = false;
  world_run (w, 2000);
  w->run_ms = 40000;
  world_submit (w, world_job (w, WORLD_JOB, 1, 1));
  world_run (w, 1000);
  g_assert_true (world_find_run (w, WORLD_JOB ".0.0.0") == worker);
  world_take_over (w, false, 0);
  world_crash (w, worker, true);
  world_grant_longest_lease (w, worker);
  world_run (w, 600);
  g_assert_true (world_find_run (w, WORLD_JOB ".0.0.0") == worker);
  world_crash (w, &w->workers[1], true);
  worker->reachable = false;
  world_run (w, 9000);
  world_assert_no_violations (w);
  g_assert_cmpuint (w->starts, ==, 3);
  world_destroy (w);
}

#define FIRST_JOB 0xe00
#define SEEDS 150
#define ROUNDS 6
#define JOBS 6

static char *
nth_job (int n)
{
  return g_strdup_printf ("%016x", FIRST_JOB + n);
}

static void
submit_scheduled_jobs (struct world *w)
{
  for (int i = 0; i < JOBS; i++)
    {
      char *id = nth_job (i);
      struct job_spec *job = world_job (w, id, 1 + i % 2, 3);

      job->occurrences = g_rand_int_range (w->rand, 2, 40);
      job->interval_ms = g_rand_int_range (w->rand, 50, 1500);
      job->first_occurrence_ms
          = w->now_ms + g_rand_int_range (w->rand, 0, 4000);
      world_submit (w, job);
      g_free (id);
    }
}

/* Let some workers and perhaps the store be unreachable while the owner
   changes once or twice, in any way. */
static void
play_handovers (struct world *w)
{
  uint32_t unreachable = g_rand_int_range (w->rand, 0, 1 << WORLD_WORKERS);

  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = !(unreachable & (1U << i));
  w->is_store_unreachable = g_rand_int_range (w->rand, 0, 3) == 0;
  world_run (w, g_rand_int_range (w->rand, 10, 3000));
  w->is_store_unreachable = false;
  for (int i = g_rand_int_range (w->rand, 1, 3); i > 0; i--)
    {
      bool yields = g_rand_int_range (w->rand, 0, 2) > 0;

      w->wall_ahead_ms = g_rand_int_range (w->rand, -3000, 200);
      world_take_over (w, yields, yields ? 0 : 1500);
      world_run (w, g_rand_int_range (w->rand, 10, 2500));
    }
  world_reach_workers (w);
  world_run (w, g_rand_int_range (w->rand, 10, 2500));
}

static void
run_seed (uint32_t seed)
{
  struct world *w = world_new (seed);

  w->run_ms = 700;
  w->faults = (struct world_faults){ .append_lost = 3, .start_lost = 3 };
  world_run (w, 500);
  submit_scheduled_jobs (w);
  for (int i = 0; i < ROUNDS; i++)
    play_handovers (w);
  w->faults = (struct world_faults){ 0 };
  w->wall_ahead_ms = 0;
  world_run (w, 90000);
  world_assert_all_ended (w, seed, FIRST_JOB, JOBS);
  world_destroy (w);
}

static void
test_handovers_of_scheduled_jobs (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed);
}

/* Guards against an owner that opens a million occurrences because a worker
   reports a run of the last one. */
static void
test_a_run_far_ahead_opens_no_occurrences (void)
{
  struct world *w = world_with_first_occurrence (63, 20000, 1000000, 20000);
  struct world_worker *k = world_find_run (w, WORLD_JOB ".0.0.0");
  struct world_run *r = g_ptr_array_index (k->runs, 0);
  struct cell_stats before, after;

  cell_get_stats (w->cell, &before);
  g_free (r->task);
  r->task = g_strdup (WORLD_JOB ".999999.0.0");
  world_take_over (w, false, 0);
  world_run (w, 1500);
  cell_get_stats (w->cell, &after);
  g_assert_cmpuint (after.tasks_waiting, <=, before.tasks_waiting + 2);
  g_assert_null (world_find_run (w, WORLD_JOB ".999999.0.0"));
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  if (world_plays_seed (argc, argv, run_seed))
    return 0;
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-handover/named-runs",
                   test_named_runs_of_a_scheduled_job);
  g_test_add_func ("/cell-handover/journaled-runs",
                   test_journaled_runs_of_a_scheduled_job);
  g_test_add_func ("/cell-handover/runs-before-their-time",
                   test_reported_runs_before_their_time);
  g_test_add_func ("/cell-handover/ends-before-their-time",
                   test_reported_ends_before_their_time);
  g_test_add_func ("/cell-handover/many-open-occurrences",
                   test_runs_beyond_the_limit_of_open_occurrences);
  g_test_add_func ("/cell-handover/many-open-occurrences-twice",
                   test_second_handover_beyond_the_limit_of_open_occurrences);
  g_test_add_func ("/cell-handover/gang-unseen-member",
                   test_gang_with_an_unseen_member);
  g_test_add_func ("/cell-handover/end-of-an-earlier-run",
                   test_end_of_a_named_run_before_the_last_one);
  g_test_add_func ("/cell-handover/named-run-restarted-worker",
                   test_named_run_of_a_restarted_worker);
  g_test_add_func ("/cell-handover/older-name",
                   test_handed_over_name_beside_an_older_one);
  g_test_add_func ("/cell-handover/former-clock",
                   test_lease_on_the_clock_before_a_restart);
  g_test_add_func ("/cell-handover/seeds", test_handovers_of_scheduled_jobs);
  g_test_add_func ("/cell-handover/run-far-ahead",
                   test_a_run_far_ahead_opens_no_occurrences);
  return g_test_run ();
}
