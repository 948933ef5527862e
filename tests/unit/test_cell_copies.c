#include "cell_state.h"
#include "cell_world.h"

/* Tests of second runs of tasks whose steps allow duplicates. */

#define JOB WORLD_JOB
#define TASK JOB ".0.0.0"
/* Tasks that fit on all workers of the world. */
#define ALL_ROOM 96

static struct job_spec *
job_with_copies (const struct world *w, const char *id, uint32_t count)
{
  struct job_spec *spec = world_job (w, id, 1, count);

  first_step (spec)->allows_duplicates = true;
  return spec;
}

/* Return a world whose cell knows the run times of the first step, 1 to 3 s,
   and where TASK, once submitted, takes 7 times as long unless that changes.
 */
static struct world *
world_with_long_task (uint32_t seed)
{
  struct world *w = world_new (seed);

  w->run_ms = 2000;
  world_run (w, 500);
  world_submit (w, world_job (w, "00000000000000b1", 1, ALL_ROOM));
  world_run (w, 5000);
  g_assert_cmpint (world_state (w, "00000000000000b1"), ==, JOB_COMPLETED);
  w->starts = 0;
  w->long_task = TASK;
  w->long_factor = 7;
  return w;
}

static uint32_t
count_runs (const struct world *w)
{
  uint32_t n = 0;

  for (int i = 0; i < WORLD_WORKERS; i++)
    for (guint k = 0; k < w->workers[i].runs->len; k++)
      {
        const struct world_run *r = g_ptr_array_index (w->workers[i].runs, k);

        n += g_str_equal (r->task, TASK);
      }
  return n;
}

/* Let time pass until TASK has two runs, the second of the usual length if
   IS_SHORT. */
static void
run_until_copied (struct world *w, bool is_short)
{
  world_run (w, 2000);
  g_assert_cmpuint (count_runs (w), ==, 1);
  if (is_short)
    w->long_factor = 1;
  for (int i = 0; i < 1000 && count_runs (w) < 2; i++)
    world_run (w, 5);
  g_assert_cmpuint (count_runs (w), ==, 2);
  g_assert_cmpuint (w->copies, ==, 1);
}

/* Submit JOB and let time pass until its task has two runs, see
   run_until_copied.  Return the worker with the first one. */
static struct world_worker *
submit_until_copied (struct world *w, bool is_short)
{
  struct world_worker *first;

  world_submit (w, job_with_copies (w, JOB, 1));
  world_run (w, 500);
  first = world_find_run (w, TASK);
  run_until_copied (w, is_short);
  return first;
}

/* Expect JOB to be completed within 40 s, and destroy W. */
static void
finish (struct world *w)
{
  world_run (w, 40000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Return the processor use of all workers as the cell accounts for it. */
static uint32_t
used_cpu_milli (const struct world *w)
{
  uint32_t used = 0;

  for (guint i = 0; i < w->cell->worker_list->len; i++)
    used += ((const struct cell_worker *)g_ptr_array_index (
                 w->cell->worker_list, i))
                ->used.cpu_milli;
  return used;
}

/* Load: a run takes seven times as long as others.  Guards against a job that
   waits for it, 18.8 s where a second run ends after 7.8 s; and against a
   place that is given away before its run has ended. */
static void
test_the_first_run_that_is_done_counts (void)
{
  struct world *w = world_with_long_task (1);
  int64_t begun_ms = w->now_ms;

  world_submit (w, job_with_copies (w, JOB, 1));
  run_until_copied (w, true);
  g_assert_cmpuint (used_cpu_milli (w), ==, 2000);
  while (world_state (w, JOB) == JOB_RUNNING && w->now_ms < begun_ms + 30000)
    {
      world_run (w, 5);
      g_assert_cmpuint (used_cpu_milli (w), >=, 1000 * count_runs (w));
    }
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpint (w->now_ms - begun_ms, <, 8000);
  world_run (w, 2000);
  g_assert_cmpuint (count_runs (w), ==, 0);
  g_assert_cmpuint (used_cpu_milli (w), ==, 0);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a second run that takes room from work which waits: a wide
   task waits while four cores of each worker are free. */
static void
test_no_copy_while_work_waits (void)
{
  struct world *w = world_with_long_task (2);
  struct job_spec *wide = world_job (w, "00000000000000c1", 1, 60);

  first_step (wide)->cpu_milli = 12000;
  world_submit (w, job_with_copies (w, JOB, 1));
  world_submit (w, wide);
  world_run (w, 6500);
  g_assert_cmpuint (count_runs (w), ==, 1);
  g_assert_cmpuint (w->copies, ==, 0);
  g_assert_cmpint (world_state (w, "00000000000000c1"), ==, JOB_RUNNING);
  world_destroy (w);
}

/* Guards against a second run of a step that does not allow it, or that is of
   a gang. */
static void
test_no_copy_where_none_is_allowed (void)
{
  struct world *w = world_with_long_task (3);
  struct job_spec *gang = job_with_copies (w, "00000000000000c1", 3);

  first_step (gang)->is_gang = true;
  world_submit (w, world_job (w, JOB, 1, 1));
  world_run (w, 300);
  w->long_task = "00000000000000c1.0.0.1";
  world_submit (w, gang);
  world_run (w, 30000);
  g_assert_cmpuint (w->copies, ==, 0);
  g_assert_cmpuint (w->starts, ==, 4);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* Guards against a third run while two are going on, and against a second one
   beyond the step's limit on a worker. */
static void
test_there_is_no_third_run (void)
{
  struct world *w = world_with_long_task (4);
  struct job_spec *spec = job_with_copies (w, JOB, 1);

  first_step (spec)->max_per_worker = 1;
  world_submit (w, spec);
  run_until_copied (w, false);
  world_run (w, 8000);
  g_assert_cmpuint (w->copies, ==, 1);
  world_run (w, 20000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Return the worker with the second run of TASK, the first being on FIRST. */
static struct world_worker *
find_second (struct world *w, const struct world_worker *first)
{
  for (int i = 0; i < WORLD_WORKERS; i++)
    if (&w->workers[i] != first && w->workers[i].runs->len > 0)
      return &w->workers[i];
  g_assert_not_reached ();
}

/* Let the first or the second of two runs fail, then the other, then all. */
static void
check_failures (bool is_second_first)
{
  struct world *w = world_with_long_task (5);
  struct world_worker *first;

  first = submit_until_copied (w, false);
  (is_second_first ? find_second (w, first) : first)->is_failing_all_runs
      = true;
  world_run (w, 100);
  g_assert_cmpuint (count_runs (w), ==, 1);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_RUNNING);
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].is_failing_all_runs = true;
  world_run (w, 3000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_FAILED);
  g_assert_cmpuint (w->starts, ==, 3);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a failure of one run that ends the other, or that does not
   count: three failures over all runs are final. */
static void
test_failures_of_both_runs_count (void)
{
  check_failures (false);
  check_failures (true);
}

/* Guards against a task that starts a third time as its first worker is lost:
   the second run is its run from then on. */
static void
test_a_copy_takes_the_place_of_a_lost_run (void)
{
  struct world *w = world_with_long_task (6);
  struct world_worker *first;

  first = submit_until_copied (w, true);
  world_crash (w, first, false);
  world_run (w, 12000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

static void
test_cancelling_stops_both_runs (void)
{
  struct world *w = world_with_long_task (7);

  world_submit (w, job_with_copies (w, JOB, 1));
  run_until_copied (w, false);
  cell_cancel (w->cell, JOB, 99, w->now_ms);
  world_run (w, 1000);
  g_assert_cmpuint (count_runs (w), ==, 0);
  g_assert_cmpuint (used_cpu_milli (w), ==, 0);
  world_destroy (w);
}

/* Let a new owner find two runs of a task, and expect it to keep the older
   one, which has made more progress. */
static void
check_takeover (bool yields, int64_t stale_ms)
{
  struct world *w = world_with_long_task (8);
  struct world_worker *first;

  first = submit_until_copied (w, false);
  world_run (w, 500);
  world_take_over (w, yields, stale_ms);
  world_run (w, 1500);
  g_assert_cmpuint (count_runs (w), ==, 1);
  g_assert_true (world_find_run (w, TASK) == first);
  world_run (w, 20000);
  g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->starts, ==, 2);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a new owner that stops the run with more progress, or leaves
   both. */
static void
test_a_new_owner_keeps_one_run (void)
{
  check_takeover (false, 0);
  check_takeover (true, 0);
  check_takeover (false, 4000);
}

/* Guards against a start of the task while a worker that is silent since the
   takeover may have its second run: both runs may go on, but no third. */
static void
test_a_new_owner_waits_for_a_silent_copy (void)
{
  struct world *w = world_with_long_task (9);
  struct world_worker *first;

  first = submit_until_copied (w, false);
  find_second (w, first)->reachable = false;
  world_take_over (w, false, 0);
  world_run (w, 500);
  first->is_failing_all_runs = true;
  world_run (w, 1500);
  g_assert_cmpuint (w->starts, ==, 2);
  finish (w);
}

/* Guards against a copy while a silent worker may have one that an earlier
   owner started. */
static void
test_a_new_owner_starts_no_copy_beside_a_silent_one (void)
{
  struct world *w = world_with_long_task (10);
  struct world_worker *first;

  first = submit_until_copied (w, false);
  find_second (w, first)->reachable = false;
  world_take_over (w, false, 0);
  w->run_ms = 200;
  world_submit (w, world_job (w, "00000000000000c1", 1, 16));
  world_run (w, 2500);
  g_assert_cmpint (world_state (w, "00000000000000c1"), ==, JOB_COMPLETED);
  g_assert_cmpuint (w->copies, ==, 1);
  finish (w);
}

/* Guards against a new owner that gives away the room of one of two runs which
   the journal names: their workers are silent since before the takeover. */
static void
test_a_new_owner_keeps_the_room_of_named_runs (void)
{
  struct world *w = world_with_long_task (11);
  struct world_worker *first, *second;

  first = submit_until_copied (w, false);
  world_run (w, 500);
  second = find_second (w, first);
  first->reachable = second->reachable = false;
  world_run (w, 2500);
  world_take_over (w, false, 0);
  world_run (w, 100);
  g_assert_cmpuint (used_cpu_milli (w), ==, 2000);
  second->reachable = true;
  world_run (w, 1000);
  g_assert_cmpuint (used_cpu_milli (w), ==, 2000);
  finish (w);
}

/* Guards against a copy that starts long after its task is done and this has
   been acknowledged: its start is under way for 2 to 6 s, and no stop reaches
   its worker before. */
static void
test_a_late_start_of_a_copy_is_refused (void)
{
  for (uint32_t seed = 1; seed <= 400; seed++)
    {
      struct world *w = world_with_long_task (seed);

      w->long_factor = 3;
      world_submit (w, job_with_copies (w, JOB, 1));
      world_run (w, 500);
      w->faults.start_late = 100;
      while (w->pending_starts->len == 0
             && world_state (w, JOB) == JOB_RUNNING)
        world_run (w, 5);
      for (int i = 0; i < WORLD_WORKERS; i++)
        w->workers[i].reachable = w->workers[i].runs->len > 0;
      world_run (w, g_rand_int_range (w->rand, 2000, 4000));
      world_reach_workers (w);
      w->faults.start_late = 0;
      world_run (w, 12000);
      g_assert_cmpint (world_state (w, JOB), ==, JOB_COMPLETED);
      world_assert_no_violations (w);
      world_destroy (w);
    }
}

/* Submit 40 jobs of 33 tasks each.  The first run of one of these takes 25
   times as long as usual, a second one RETRY_FACTOR times.  Return the number
   of second runs. */
static uint32_t
count_copies (uint32_t retry_factor)
{
  struct world *w = world_with_long_task (12);
  uint32_t copies;

  w->run_ms = 500;
  for (int i = 0; i < 40; i++)
    {
      char *id = g_strdup_printf ("%016x", 0xe00 + i);
      char *task = g_strconcat (id, ".0.0.0", NULL);

      w->long_task = task;
      w->long_factor = 25;
      world_submit (w, job_with_copies (w, id, 33));
      world_run (w, 500);
      w->long_factor = retry_factor;
      world_run (w, 20000);
      g_assert_cmpint (world_state (w, id), ==, JOB_COMPLETED);
      g_free (task);
      g_free (id);
      w->long_task = NULL;
    }
  copies = w->copies;
  world_assert_no_violations (w);
  world_destroy (w);
  return copies;
}

/* Load: 3% of the tasks take 25 times as long.  Guards against second runs of
   all of them where these never end first; where the run was slow and not the
   task, each has its second run. */
static void
test_copies_that_never_win_end (void)
{
  uint32_t copies = count_copies (75);

  g_assert_cmpuint (copies, >=, 8);
  g_assert_cmpuint (copies, <=, 24);
  g_assert_cmpuint (count_copies (1), >=, 38);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-copies/first-done",
                   test_the_first_run_that_is_done_counts);
  g_test_add_func ("/cell-copies/work-waits", test_no_copy_while_work_waits);
  g_test_add_func ("/cell-copies/not-allowed",
                   test_no_copy_where_none_is_allowed);
  g_test_add_func ("/cell-copies/no-third", test_there_is_no_third_run);
  g_test_add_func ("/cell-copies/failures", test_failures_of_both_runs_count);
  g_test_add_func ("/cell-copies/lost-run",
                   test_a_copy_takes_the_place_of_a_lost_run);
  g_test_add_func ("/cell-copies/cancel", test_cancelling_stops_both_runs);
  g_test_add_func ("/cell-copies/takeover", test_a_new_owner_keeps_one_run);
  g_test_add_func ("/cell-copies/silent-copy",
                   test_a_new_owner_waits_for_a_silent_copy);
  g_test_add_func ("/cell-copies/beside-silent",
                   test_a_new_owner_starts_no_copy_beside_a_silent_one);
  g_test_add_func ("/cell-copies/named-runs",
                   test_a_new_owner_keeps_the_room_of_named_runs);
  g_test_add_func ("/cell-copies/late-start",
                   test_a_late_start_of_a_copy_is_refused);
  g_test_add_func ("/cell-copies/never-win", test_copies_that_never_win_end);
  return g_test_run ();
}
