#include "cell_state.h"
#include "cell_world.h"

#include <string.h>

/* What a cell starts, delays and turns away when capacity is scarce. */

/* Tasks of one core that all workers run at once. */
#define ROOM (WORLD_WORKERS * 16)
/* Time in which an overload becomes a lasting one. */
#define SHORTAGE_MS 4000

/* What a task of submit_job needs. */
static struct task_needs
{
  uint32_t cpu_milli;
  uint32_t memory_mb;
} task_needs = { 1000, 500 };

/* Submit the job ID, of COUNT tasks that are estimated to take
   ESTIMATE_MS, with TARGET_MS to end in beside twice that. */
static void
submit_job (struct world *w, guint id, uint32_t count, int64_t estimate_ms,
            int64_t target_ms)
{
  char *name = g_strdup_printf ("%016x", id);
  struct job_spec *spec = world_job (w, name, 1, count);
  struct job_step *s = g_ptr_array_index (spec->steps, 0);

  s->cpu_milli = task_needs.cpu_milli;
  s->memory_mb = task_needs.memory_mb;
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

/* Submit large jobs ahead of small ones with later deadlines.  Each worker
   runs 16 of their tasks, by processors or by memory, as NEEDS tells. */
static void
assert_small_jobs_are_in_time (struct task_needs needs)
{
  struct world *w = world_new (31);

  world_run (w, 500);
  w->run_ms = 500;
  task_needs = needs;
  for (guint i = 0; i < 6; i++)
    submit_job (w, i, 8 * ROOM, 500, 500);
  world_run (w, SHORTAGE_MS);
  for (guint i = 6; i < 26; i++)
    submit_job (w, i, 2, 500, 800);
  world_run (w, 1800);
  for (guint i = 6; i < 26; i++)
    g_assert_cmpint (state_of (w, i), ==, JOB_COMPLETED);
  world_run (w, 40000);
  g_assert_cmpuint (world_count_state (w, 26, JOB_COMPLETED), ==, 26);
  world_assert_no_violations (w);
  world_destroy (w);
  task_needs = (struct task_needs){ 1000, 500 };
}

/* A burst of large jobs ahead of small ones: ordered by deadline alone, the
   small ones would wait for all large ones and be late. */
static void
test_small_jobs_pass_large_ones_that_are_late_anyway (void)
{
  assert_small_jobs_are_in_time ((struct task_needs){ 1000, 500 });
}

/* The same where memory is short: an order that counts processors alone finds
   no overload. */
static void
test_small_jobs_pass_large_ones_where_memory_is_short (void)
{
  assert_small_jobs_are_in_time ((struct task_needs){ 20, 2048 });
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

/* Submit the job ID with COUNT tasks of 14 cores. */
static void
submit_wide_job (struct world *w, const char *id, uint32_t count, bool is_gang,
                 int64_t target_ms)
{
  struct job_spec *spec = world_job (w, id, 1, count);
  struct job_step *s = g_ptr_array_index (spec->steps, 0);

  s->cpu_milli = 14000;
  s->estimate_ms = 250;
  s->is_gang = is_gang;
  spec->deadline_factor = 2;
  spec->target_ms = target_ms;
  world_submit (w, spec);
}

/* Submit a step of COUNT tasks of 14 cores beside small jobs that keep coming;
   it must end all the same. */
static void
assert_wide_step_ends (uint32_t count, bool is_gang)
{
  struct world *w = world_new (32);
  guint next_id = 0;

  world_run (w, 500);
  w->run_ms = 250;
  run_with_small_jobs (w, &next_id, SHORTAGE_MS);
  submit_wide_job (w, WORLD_JOB, count, is_gang, 2000);
  run_with_small_jobs (w, &next_id, 2500);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_run (w, 10000);
  g_assert_cmpuint (world_count_state (w, next_id, JOB_COMPLETED), ==,
                    next_id);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Without a reservation, what becomes free is always too little for a wide
   task and goes to small ones: it waits as long as these come. */
static void
test_a_wide_task_gets_room_beside_small_jobs (void)
{
  assert_wide_step_ends (1, false);
}

/* The same for a gang, which needs room on several workers at once. */
static void
test_a_wide_gang_gets_room_beside_small_jobs (void)
{
  assert_wide_step_ends (3, true);
}

/* A gang that is wider than all workers waits at the front; a wide task must
   get its reservation all the same. */
static void
test_a_hopeless_gang_keeps_nobody_from_a_reservation (void)
{
  struct world *w = world_new (32);
  guint next_id = 0;

  world_run (w, 500);
  w->run_ms = 250;
  submit_wide_job (w, "00000000000000e1", WORLD_WORKERS + 1, true, 5500);
  run_with_small_jobs (w, &next_id, SHORTAGE_MS);
  submit_wide_job (w, WORLD_JOB, 1, false, 5300);
  run_with_small_jobs (w, &next_id, 4200);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  g_assert_cmpint (world_state (w, "00000000000000e1"), ==, JOB_PENDING);
  world_destroy (w);
}

/* Return how many tasks of the job ID, which has COUNT, are running. */
static guint
count_running (struct world *w, guint id, uint32_t count)
{
  guint n = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      char *task = g_strdup_printf ("%016x.0.0.%u", id, i);

      n += world_find_run (w, task) != NULL;
      g_free (task);
    }
  return n;
}

/* Fill all workers with one job of priority 1, whose tasks have checkpoints
   or not. */
static void
fill_with_lower_priority (struct world *w, bool has_checkpoints)
{
  struct job_spec *spec = world_job (w, "0000000000000000", 1, ROOM);
  struct job_step *s = g_ptr_array_index (spec->steps, 0);

  world_run (w, 500);
  w->run_ms = 8000;
  w->checkpoint_interval_ms = has_checkpoints ? 200 : 0;
  s->has_checkpoints = has_checkpoints;
  s->estimate_ms = 8000;
  spec->priority = 1;
  spec->target_ms = 20000;
  world_submit (w, spec);
  world_run (w, 1000);
  g_assert_cmpuint (count_running (w, 0, ROOM), ==, ROOM);
  w->run_ms = 500;
}

/* Work of lower priority fills all workers for 4 s or more: without
   preemption, an urgent job would be late. */
static void
test_an_urgent_job_preempts_lower_priority (void)
{
  struct world *w = world_new (33);

  fill_with_lower_priority (w, true);
  submit_job (w, 1, 1, 1000, 800);
  world_run (w, 2500);
  g_assert_cmpint (state_of (w, 1), ==, JOB_COMPLETED);
  /* The bounded rate: no more tasks are stopped than the job needs. */
  g_assert_cmpuint (count_running (w, 0, ROOM), >=, ROOM - 2);
  w->run_ms = 8000;
  world_run (w, 20000);
  g_assert_cmpint (state_of (w, 0), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Stopping tasks without checkpoints would throw away all that they have
   done. */
static void
test_tasks_without_checkpoints_are_not_preempted (void)
{
  struct world *w = world_new (34);

  fill_with_lower_priority (w, false);
  submit_job (w, 1, 1, 1000, 800);
  world_run (w, 2500);
  g_assert_cmpuint (count_running (w, 0, ROOM), ==, ROOM);
  g_assert_cmpuint (w->starts, ==, ROOM);
  world_destroy (w);
}

/* A task that was stopped for another one must not begin anew. */
static void
test_a_preempted_task_resumes_from_its_checkpoint (void)
{
  struct world *w = world_new (35);
  int64_t resumed_ms = 0;

  fill_with_lower_priority (w, true);
  submit_job (w, 1, 1, 1000, 800);
  for (int i = 0; i < 100; i++)
    {
      world_run (w, 50);
      if (count_running (w, 1, 1) > 0)
        w->run_ms = 8000; /* of the resumed run */
      for (int k = 0; k < WORLD_WORKERS; k++)
        for (guint n = 0; n < w->workers[k].runs->len; n++)
          {
            const struct world_run *r
                = g_ptr_array_index (w->workers[k].runs, n);

            resumed_ms = MAX (resumed_ms, r->resumed_ms);
          }
    }
  g_assert_cmpint (resumed_ms, >=, 800);
  world_destroy (w);
}

/* Submit the job ID of ACCOUNT, of 16 tasks that take 250 ms, and return its
   token. */
static uint64_t
submit_of_account (struct world *w, const char *account, guint id)
{
  char *name = g_strdup_printf ("%016x", id);
  struct job_spec *spec = world_job (w, name, 1, 16);
  struct job_step *s = g_ptr_array_index (spec->steps, 0);
  uint64_t token;

  g_free (spec->account);
  spec->account = g_strdup (account);
  s->estimate_ms = 250;
  spec->deadline_factor = 2;
  spec->target_ms = 500;
  token = world_submit (w, spec);
  g_free (name);
  return token;
}

/* Let the cell know two accounts of 10 jobs a second. */
static void
set_accounts (struct world *w)
{
  struct accounts *accounts = accounts_new ();

  accounts_add (accounts, "flood")->weight = 10;
  accounts_add (accounts, "calm")->weight = 10;
  account_rates_set (w->cell->account_rates, accounts, w->now_ms);
  accounts_destroy (accounts);
}

#define FLOOD_JOBS 400

/* The flood of one account beside another within its rate: without buckets,
   all jobs of the flood are accepted and the other account's are late.  A
   refused job must never run, and one that was accepted is never refused. */
static void
test_a_flood_is_refused_and_no_other_account_notices (void)
{
  struct world *w = world_new (36);
  uint64_t flood[FLOOD_JOBS], calm[10], other, again;
  guint accepted = 0;

  world_run (w, 500);
  w->run_ms = 250;
  set_accounts (w);
  for (guint i = 0; i < FLOOD_JOBS; i++)
    flood[i] = submit_of_account (w, "flood", i);
  for (guint i = 0; i < 10; i++)
    calm[i] = submit_of_account (w, "calm", FLOOD_JOBS + i);
  other = submit_of_account (w, "", FLOOD_JOBS + 10);
  again = submit_of_account (w, "flood", 0);
  world_run (w, 1500);
  for (guint i = 0; i < FLOOD_JOBS; i++)
    {
      enum cell_answer answer = world_answer (w, flood[i]);

      g_assert_true (answer == CELL_STORED
                     || (i >= 10 && answer == CELL_REFUSED_RATE));
      accepted += answer == CELL_STORED;
    }
  g_test_message ("%u of %u jobs of the flood are accepted", accepted,
                  FLOOD_JOBS);
  g_assert_cmpuint (accepted, >=, 10);
  g_assert_cmpuint (accepted, <, FLOOD_JOBS / 2);
  g_assert_cmpint (w->retry_after_ms, >=, 1000);
  for (guint i = 0; i < 10; i++)
    {
      g_assert_cmpint (world_answer (w, calm[i]), ==, CELL_STORED);
      g_assert_cmpint (state_of (w, FLOOD_JOBS + i), ==, JOB_COMPLETED);
    }
  g_assert_cmpint (world_answer (w, other), ==, CELL_STORED);
  g_assert_cmpint (world_answer (w, again), ==, CELL_STORED);
  world_run (w, 30000);
  g_assert_cmpuint (w->starts, ==, (accepted + 11) * 16);
  for (guint i = 0; i < FLOOD_JOBS; i++)
    g_assert_cmpint (state_of (w, i), ==,
                     world_answer (w, flood[i]) == CELL_STORED
                         ? JOB_COMPLETED
                         : JOB_STATE_COUNT);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A refusal is of one submission: the same job is accepted once the cell has
   room again. */
static void
test_a_refused_job_may_be_submitted_again (void)
{
  struct world *w = world_new (37);
  uint64_t token = 0;

  world_run (w, 500);
  w->run_ms = 250;
  set_accounts (w);
  for (guint i = 0; i < FLOOD_JOBS; i++)
    token = submit_of_account (w, "flood", i);
  world_run (w, 100);
  g_assert_cmpint (world_answer (w, token), ==, CELL_REFUSED_RATE);
  world_run (w, 10000);
  token = submit_of_account (w, "flood", FLOOD_JOBS - 1);
  world_run (w, 2000);
  g_assert_cmpint (world_answer (w, token), ==, CELL_STORED);
  g_assert_cmpint (state_of (w, FLOOD_JOBS - 1), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a new owner that fails jobs as impossible, as the journal
   names its workers but none has been listed with its size yet. */
static void
test_no_job_is_impossible_before_workers_are_listed (void)
{
  struct world *w = world_new (11);

  world_run (w, 500);
  world_submit_many (w, 12, 8);
  world_run (w, 2000);
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].has_left = true;
  world_take_over (w, false, 0);
  world_submit (w, world_job (w, WORLD_JOB, 1, 1));
  world_run (w, 300);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_PENDING);
  world_destroy (w);
}

/* A job that no worker can ever run would wait for ever, and its pool would
   ask for machines; one that a larger machine may run must wait for that. */
static void
test_an_impossible_job_fails_at_once (void)
{
  struct world *w = world_new (38);
  struct job_spec *impossible, *wide;
  uint64_t token;

  world_run (w, 500);
  impossible = world_job (w, "00000000000000c1", 2, 1);
  ((struct job_step *)g_ptr_array_index (impossible->steps, 1))->memory_mb
      = 4 * 32768 + 1;
  wide = world_job (w, "00000000000000c2", 1, 1);
  ((struct job_step *)g_ptr_array_index (wide->steps, 0))->cpu_milli = 64000;
  token = world_submit (w, impossible);
  world_submit (w, wide);
  world_run (w, 200);
  g_assert_cmpint (world_answer (w, token), ==, CELL_STORED);
  g_assert_cmpint (world_state (w, "00000000000000c1"), ==, JOB_FAILED);
  g_assert_cmpint (world_state (w, "00000000000000c2"), ==, JOB_PENDING);
  world_take_over (w, false, 0);
  world_run (w, 1000);
  g_assert_cmpint (world_state (w, "00000000000000c1"), ==, JOB_FAILED);
  g_assert_cmpuint (w->starts, ==, 0);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A change of the owner while work waits: with deadlines that begin anew at
   the takeover, a job that has waited would go after newer ones. */
static void
test_a_new_owner_keeps_deadlines (void)
{
  struct world *w = world_new (39);
  struct job_spec *early;

  fill_with_lower_priority (w, false);
  early = world_job (w, "00000000000000d1", 1, 1);
  early->accepted_ms = w->now_ms;
  early->target_ms = 6000;
  world_submit (w, early);
  world_run (w, 2500);
  world_take_over (w, true, 0);
  submit_job (w, 0xd2, 1, 500, 3500);
  while (count_running (w, 0xd1, 1) + count_running (w, 0xd2, 1) == 0)
    world_run (w, 5);
  g_assert_cmpuint (count_running (w, 0xd1, 1), ==, 1);
  world_run (w, 30000);
  g_assert_cmpint (state_of (w, 0xd2), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Callers choose the numbers of a job: the largest that are valid must not
   overflow the sums of the order. */
static void
test_extreme_numbers_of_a_job_do_not_overflow (void)
{
  struct world *w = world_new (40);

  world_run (w, 500);
  for (guint i = 0; i < 4; i++)
    {
      char *id = g_strdup_printf ("%016x", 0xe0 + i);
      struct job_spec *spec = world_job (w, id, 3, 30000);

      for (guint k = 0; k < spec->steps->len; k++)
        {
          struct job_step *s = g_ptr_array_index (spec->steps, k);

          s->estimate_ms = JOB_MAX_DURATION_MS;
          s->cpu_milli = 4 * 16000;
          s->memory_mb = 4 * 32768;
        }
      spec->deadline_factor = i % 2 == 0 ? JOB_MAX_DEADLINE_FACTOR : 0;
      spec->target_ms = i < 2 ? JOB_MAX_DURATION_MS : 0;
      world_submit (w, spec);
      g_free (id);
    }
  submit_job (w, 1, 2, 500, 800);
  world_run (w, 2000);
  g_assert_cmpint (state_of (w, 1), ==, JOB_COMPLETED);
  world_destroy (w);
}

/* Guards against a task that fits as the sum of its own need and what is in
   use exceeds 32 bits. */
static void
test_no_room_for_extreme_needs (void)
{
  const struct worker_resources room = { 16000, 32768, 4 };
  const struct worker_resources used = { 1000, 500, 1 };
  struct job_step s = { .cpu_milli = 15000, .memory_mb = 32268, .gpus = 3 };

  g_assert_true (cell_step_fits (&s, &used, &room));
  s.cpu_milli = G_MAXUINT32;
  g_assert_false (cell_step_fits (&s, &used, &room));
  s.cpu_milli = 15000;
  s.memory_mb = G_MAXUINT32;
  g_assert_false (cell_step_fits (&s, &used, &room));
  s.memory_mb = 32268;
  s.gpus = G_MAXUINT32;
  g_assert_false (cell_step_fits (&s, &used, &room));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-order/small-pass-large",
                   test_small_jobs_pass_large_ones_that_are_late_anyway);
  g_test_add_func ("/cell-order/memory",
                   test_small_jobs_pass_large_ones_where_memory_is_short);
  g_test_add_func ("/cell-order/wide-task",
                   test_a_wide_task_gets_room_beside_small_jobs);
  g_test_add_func ("/cell-order/wide-gang",
                   test_a_wide_gang_gets_room_beside_small_jobs);
  g_test_add_func ("/cell-order/hopeless-gang",
                   test_a_hopeless_gang_keeps_nobody_from_a_reservation);
  g_test_add_func ("/cell-order/preempts",
                   test_an_urgent_job_preempts_lower_priority);
  g_test_add_func ("/cell-order/no-checkpoints",
                   test_tasks_without_checkpoints_are_not_preempted);
  g_test_add_func ("/cell-order/resumes",
                   test_a_preempted_task_resumes_from_its_checkpoint);
  g_test_add_func ("/cell-order/flood",
                   test_a_flood_is_refused_and_no_other_account_notices);
  g_test_add_func ("/cell-order/again",
                   test_a_refused_job_may_be_submitted_again);
  g_test_add_func ("/cell-order/unlisted",
                   test_no_job_is_impossible_before_workers_are_listed);
  g_test_add_func ("/cell-order/impossible",
                   test_an_impossible_job_fails_at_once);
  g_test_add_func ("/cell-order/new-owner", test_a_new_owner_keeps_deadlines);
  g_test_add_func ("/cell-order/extreme-needs",
                   test_no_room_for_extreme_needs);
  g_test_add_func ("/cell-order/extreme-numbers",
                   test_extreme_numbers_of_a_job_do_not_overflow);
  return g_test_run ();
}
