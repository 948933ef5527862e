#include "account_jobs.h"
#include "account_use.h"
#include "cell_accounts.h"

#include <string.h>

/* Client accounts in a cell: caps, allotments, shares. */

#define SAMPLES 40

static const struct account_amount large_cap = { 1000000, 1000000, 1000000 };

/* Guards against tasks that start without an allotment, or beyond it in one of
   the resources, be they finite, long-running or scheduled. */
static void
test_tasks_start_within_the_allotment (void)
{
  for (int kind = 0; kind < 3; kind++)
    {
      struct world *w = world_new (1);
      struct job_spec *spec = job_of (w, WORLD_JOB, 8, "a");

      w->run_ms = 500000;
      world_set_account (w, "a", large_cap, NO_RATE);
      first_step (spec)->is_long_running = kind == 1;
      spec->occurrences = kind == 2;
      spec->first_occurrence_ms = kind == 2 ? 1 : 0;
      world_submit (w, spec);
      world_run (w, 1000);
      g_assert_cmpuint (count_real (w, "a"), ==, 0);
      world_grant (w, "a", (struct account_amount){ 8000, 1700, 0 });
      world_run (w, 1000);
      g_assert_cmpuint (count_real (w, "a"), ==, 3); /* by memory */
      world_assert_no_violations (w);
      world_destroy (w);
    }
}

/* Guards against a part of a gang that starts, or waits, as only a part of it
   fits the allotment. */
static void
test_gang_starts_whole (void)
{
  struct world *w = world_new (1);
  struct job_spec *spec = job_of (w, WORLD_JOB, 4, "a");

  w->run_ms = 500000;
  world_set_account (w, "a", large_cap, NO_RATE);
  first_step (spec)->is_gang = true;
  world_submit (w, spec);
  world_grant (w, "a", tasks (3));
  world_run (w, 500);
  g_assert_cmpuint (count_real (w, "a"), ==, 0);
  world_grant (w, "a", tasks (4));
  world_run (w, 500);
  g_assert_cmpuint (count_real (w, "a"), ==, 4);
  world_destroy (w);
}

/* Guards against an account at its allotment that holds back the jobs after
   its own, and against a wait that the log does not tell. */
static void
test_other_accounts_go_on (void)
{
  struct world *w = world_new (1);

  world_set_account (w, "a", tasks (50), NO_RATE);
  world_set_account (w, "b", tasks (50), NO_RATE);
  world_grant (w, "a", tasks (1));
  world_grant (w, "b", tasks (9));
  world_submit (w, job_of (w, "0000000000000001", 4, "a"));
  world_submit (w, job_of (w, "0000000000000002", 4, "b"));
  world_submit (w, job_of (w, "0000000000000003", 4, ""));
  world_run (w, 1000);
  g_assert_cmpint (world_state (w, "0000000000000002"), ==, JOB_COMPLETED);
  g_assert_cmpint (world_state (w, "0000000000000003"), ==, JOB_COMPLETED);
  g_assert_nonnull (
      strstr (w->events->str, "account-waits 0000000000000001 account=a"));
  g_assert_null (strstr (w->events->str, "account-fits"));
  world_run (w, 4000);
  g_assert_nonnull (strstr (w->events->str, "account-fits 0000000000000001"));
  world_assert_all_ended (w, 1, 1, 3);
  world_destroy (w);
}

/* Guards against starts under allotments of the former cap, also by a call of
   the ledger that was under way, and against runs that a lower cap stops. */
static void
test_lower_cap_revokes_at_once (void)
{
  struct world *w = world_new (1);
  struct allotment_call *call = allotment_call_new ();

  w->run_ms = 500000;
  world_set_account (w, "a", tasks (20), NO_RATE);
  world_grant (w, "a", tasks (10));
  world_submit (w, job_of (w, WORLD_JOB, 4, "a"));
  world_run (w, 500);
  g_ptr_array_set_size (w->grants, 0);
  call->ledger_epoch = 1;
  call->cell_epoch = w->report->cell_epoch;
  call->report = w->report->number;
  allotment_call_add (call, "a", tasks (10));
  accounts_add (w->accounts, "a")->cap = tasks (12);
  cell_set_accounts (w->cell, w->accounts, w->now_ms);
  account_report_destroy (w->report);
  w->report = cell_exchange_allotments (w->cell, call, w->now_ms);
  g_assert_cmpuint (
      cell_account_get (w->cell, "a", w->now_ms)->allotment.cpu_milli, ==, 0);
  world_run (w, 500);
  g_assert_cmpuint (held_tasks (w), ==, 4);
  world_grant (w, "a", tasks (6));
  world_submit (w, job_of (w, "0000000000000002", 9, "a"));
  world_run (w, 500);
  g_assert_cmpuint (count_real (w, "a"), ==, 6);
  world_set_account (w, "a", tasks (1), NO_RATE);
  world_run (w, 500);
  g_assert_cmpuint (count_real (w, "a"), ==, 6);
  world_assert_no_violations (w);
  allotment_call_destroy (call);
  world_destroy (w);
}

/* Guards against overflow, against cells that together keep more than a lower
   or a first cap, and against limits where there is no cap. */
static void
test_limits (void)
{
  struct account_amount none = AMOUNT_UNLIMITED;
  struct account_amount a
      = account_revoke_lowered ((struct account_amount){ 7, G_MAXUINT64, 5 },
                                (struct account_amount){ 3, G_MAXUINT64, 5 },
                                (struct account_amount){ 2, 4000, 9 });

  g_assert_cmpuint (a.cpu_milli, ==, 0);
  g_assert_cmpuint (a.memory_mb, ==, 0);
  g_assert_cmpuint (a.gpus, ==, 5);
  a = account_limit (tasks (2),
                     (struct account_amount){ 9000, G_MAXUINT64, 0 });
  g_assert_cmpuint (a.cpu_milli, ==, 2000);
  g_assert_cmpuint (a.memory_mb, ==, G_MAXUINT64);
  g_assert_cmpuint (a.gpus, ==, 0);
  g_assert_cmpuint (amount_add (none, tasks (1)).cpu_milli, ==, G_MAXUINT64);
  g_assert_true (amount_fits (none, tasks (1), none));
}

/* Guards against a job that waits for ever, as its account's cap is below one
   of its tasks or below its gang, and against a failure of one that fits. */
static void
test_impossible_jobs_fail (void)
{
  struct world *w = world_new (1);
  struct job_spec *gang = job_of (w, "0000000000000002", 4, "a");

  world_set_account (w, "a", (struct account_amount){ 3000, 1200, 0 },
                     NO_RATE);
  world_grant (w, "a", tasks (2));
  first_step (gang)->is_gang = true;
  world_submit (w, job_of (w, "0000000000000001", 4, "a"));
  world_submit (w, gang);
  world_run (w, 200);
  g_assert_cmpint (world_state (w, "0000000000000002"), ==, JOB_FAILED);
  g_assert_nonnull (strstr (w->events->str, "job-impossible 0000000000000002 "
                                            "reason=gang-exceeds-cap"));
  world_run (w, 4000);
  g_assert_cmpint (world_state (w, "0000000000000001"), ==, JOB_COMPLETED);
  world_set_account (w, "a", (struct account_amount){ 0, 499, 0 }, NO_RATE);
  world_submit (w, job_of (w, "0000000000000003", 1, "a"));
  world_run (w, 200);
  g_assert_cmpint (world_state (w, "0000000000000003"), ==, JOB_FAILED);
  world_destroy (w);
}

static uint64_t
held_after (struct world *w, uint64_t ledger_epoch, uint64_t cell_epoch,
            uint64_t report, uint32_t n)
{
  struct allotment_call *call = allotment_call_new ();
  struct account_report *answer;
  uint64_t held;

  call->ledger_epoch = ledger_epoch;
  call->cell_epoch = cell_epoch;
  call->report = report;
  allotment_call_add (call, "a", tasks (n));
  answer = cell_exchange_allotments (w->cell, call, w->now_ms);
  held = ((struct account_row *)g_ptr_array_index (answer->rows, 0))
             ->held.cpu_milli
         / 1000;
  account_report_destroy (answer);
  allotment_call_destroy (call);
  return held;
}

/* Guards against allotments of a ledger that has been replaced, or that knows
   an earlier report or owner. */
static void
test_outdated_calls_are_not_applied (void)
{
  struct world *w = world_new (1);
  uint64_t n;

  world_set_account (w, "a", large_cap, NO_RATE);
  n = w->report->number;
  g_assert_cmpuint (held_after (w, 5, 0, n, 1), ==, 0);
  g_assert_cmpuint (held_after (w, 5, w->epoch, n + 1, 2), ==, 2);
  g_assert_cmpuint (held_after (w, 5, w->epoch, n + 1, 3), ==, 2);
  g_assert_cmpuint (held_after (w, 4, w->epoch, n + 3, 4), ==, 2);
  g_assert_cmpuint (held_after (w, 5, w->epoch + 1, n + 4, 5), ==, 2);
  g_assert_cmpuint (held_after (w, 6, w->epoch, n + 5, 6), ==, 6);
  world_destroy (w);
}

/* Guards against jobs that never end, as their account was removed, against
   allotments from then once it is configured again, and against limits where
   no accounts are configured any more. */
static void
test_removed_accounts_go_on (void)
{
  struct world *w = world_new (1);

  world_set_account (w, "a", tasks (50), NO_RATE);
  world_grant (w, "a", tasks (2));
  world_submit (w, job_of (w, "0000000000000001", 8, "a"));
  world_submit (w, job_of (w, "0000000000000002", 4, "never-known"));
  world_run (w, 500);
  g_ptr_array_set_size (w->grants, 0);
  accounts_destroy (w->accounts);
  w->accounts = accounts_new ();
  world_apply_accounts (w);
  world_run (w, 8000);
  g_assert_cmpint (world_state (w, "0000000000000001"), ==, JOB_COMPLETED);
  g_assert_cmpint (world_state (w, "0000000000000002"), ==, JOB_PENDING);
  world_run (w, 10000);
  g_assert_cmpint (world_state (w, "0000000000000002"), ==, JOB_COMPLETED);
  world_submit (w, job_of (w, "0000000000000004", 1, "a"));
  w->run_ms = 60000;
  world_run (w, 200);
  g_assert_cmpuint (count_real (w, "a"), ==, 1);
  world_set_account (w, "a", tasks (50), NO_RATE);
  world_crash (w, world_find_run (w, "0000000000000004.0.0.0"), true);
  world_run (w, 2000);
  g_assert_cmpuint (count_real (w, "a"), ==, 0);
  w->run_ms = 500;
  world_submit (w, job_of (w, "0000000000000003", 8, "b"));
  g_clear_pointer (&w->accounts, accounts_destroy);
  cell_set_accounts (w->cell, NULL, w->now_ms);
  world_run (w, 1500);
  g_assert_cmpint (world_state (w, "0000000000000003"), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Load: an account's jobs, accepted first, fill the cell for long.  The former
   order, by deadline alone, lets all of them go before a second account's. */
static void
test_full_cell_is_shared_by_weight (void)
{
  struct world *w = world_new (1);
  guint a_sum = 0, b_sum = 0;

  world_set_account (w, "a", large_cap, NO_RATE);
  world_set_account (w, "b", large_cap, 3 * NO_RATE);
  world_grant (w, "a", AMOUNT_UNLIMITED);
  world_grant (w, "b", AMOUNT_UNLIMITED);
  for (int i = 0; i < 80; i++)
    {
      char *id = g_strdup_printf ("%016x", i);

      world_submit (w, job_of (w, id, 20, i < 40 ? "a" : "b"));
      g_free (id);
      if (i == 39)
        world_run (w, 1000);
    }
  g_assert_cmpuint (count_real (w, "a"), >, 90); /* of 96 that fit */
  world_run (w, 1000);
  /* The mean of 2 s: at any one time some tasks have just ended. */
  for (int i = 0; i < SAMPLES; i++)
    {
      world_run (w, 50);
      a_sum += count_real (w, "a");
      b_sum += count_real (w, "b");
    }
  g_assert_cmpuint (b_sum, >, 60 * SAMPLES);
  g_assert_cmpuint (a_sum, >, 15 * SAMPLES);
  world_destroy (w);
}

/* Guards against a share that is judged by the processors alone, and against a
   division by a resource that the cell has none of. */
static void
test_dominant_share (void)
{
  struct account_amount capacity = { 16000, 8000, 0 };

  g_assert_false (account_is_over_share (tasks (4), capacity, 1, 4));
  g_assert_true (account_is_over_share (tasks (5), capacity, 1, 4));
  g_assert_true (account_is_over_share (
      (struct account_amount){ 100, 2001, 0 }, capacity, 1, 4));
  g_assert_false (account_is_over_share (
      (struct account_amount){ 100, 2000, 3 }, capacity, 1, 4));
}

/* Guards against machines that are moved to the pool for work that no machine
   can start. */
static void
test_load_has_only_what_is_allowed (void)
{
  struct world *w = world_new (1);
  struct job_spec *service = job_of (w, "0000000000000002", 3, "a");
  struct pool_load *l;

  w->run_ms = 500000;
  world_set_account (w, "a", large_cap, NO_RATE);
  world_grant (w, "a", tasks (2));
  world_submit (w, job_of (w, "0000000000000001", 5, "a"));
  world_run (w, 300);
  first_step (service)->is_long_running = true;
  first_step (service)->max_per_worker = 1;
  world_submit (w, service);
  world_submit (w, job_of (w, "0000000000000003", 200, ""));
  world_run (w, 300);
  l = cell_get_pool_load (w->cell);
  g_assert_cmpuint (l->cpu_used_milli, ==, 96000);
  g_assert_cmpuint (l->cpu_wanted_milli, ==, (200 - 94) * 1000);
  g_assert_cmpuint (l->cpu_long_running_milli, ==, 0);
  g_assert_cmpuint (l->workers_min, ==, 0);
  pool_load_destroy (l);
  world_destroy (w);
}

/* Guards against metrics whose number grows with the accounts, and against
   names that break their lines. */
static void
test_metrics_are_bounded (void)
{
  struct world *w = world_new (1);
  GString *text = g_string_new (NULL);
  guint n = 0;

  cell_render_accounts (w->cell, text);
  g_assert_cmpuint (text->len, ==, 0);
  for (int i = 0; i < 300; i++)
    {
      char *name = g_strdup_printf ("a\"%d\n", i);

      world_set_account (w, name, large_cap, NO_RATE);
      g_free (name);
    }
  cell_render_accounts (w->cell, text);
  for (const char *p = text->str; (p = strstr (p, "_cpu_milli{")) != NULL; p++)
    n++;
  g_assert_cmpuint (n, ==, 2 * CELL_METRICS_ACCOUNTS);
  g_assert_nonnull (strstr (text->str, "account=\"a\\\"255\\n\"} 0\n"));
  g_string_free (text, TRUE);
  world_destroy (w);
}

/* Guards against a run that a new owner does not count, as its job has ended
   and the journal keeps only the state of such a job; and against
   specifications that the journal keeps for ever. */
static void
test_runs_of_ended_jobs_count_after_takeover (void)
{
  for (int is_reported = 0; is_reported < 2; is_reported++)
    {
      struct world *w = world_new (1);
      struct world_worker *k;

      w->run_ms = 500000;
      world_set_account (w, "a", large_cap, NO_RATE);
      world_grant (w, "a", tasks (4));
      world_submit (w, job_of (w, WORLD_JOB, 3, "a"));
      world_run (w, 300);
      k = world_find_run (w, WORLD_JOB ".0.0.0");
      k->reachable = false;
      world_run (w, is_reported ? 1500 : 100);
      cell_cancel (w->cell, WORLD_JOB, 0, w->now_ms);
      world_run (w, 300);
      world_take_over (w, false, 0);
      world_grant (w, "a", tasks (4));
      g_assert_cmpuint (count_real (w, "a"), >, 0);
      world_run (w, 30000);
      g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_CANCELLED);
      g_assert_cmpuint (
          ((struct account_row *)g_ptr_array_index (w->report->rows, 0))
              ->used.cpu_milli,
          ==, 0);
      g_assert_false (g_hash_table_contains (w->journal, "j:" WORLD_JOB));
      world_assert_no_violations (w);
      world_destroy (w);
    }
}

/* Guards against a second run of a task that is done, on a worker that does
   not answer, which the cell or its next owner does not count.  DELAY_MS
   varies when the workers change places within their intervals of holds. */
static void
play_given_up_run (int64_t delay_ms)
{
  struct world *w = world_new (1);
  struct world_worker *first, *second;

  world_set_account (w, "a", large_cap, NO_RATE);
  world_grant (w, "a", tasks (4));
  world_submit (w, job_of (w, WORLD_JOB, 1, "a"));
  world_run (w, 100);
  first = world_find_run (w, WORLD_JOB ".0.0.0");
  first->reachable = false;
  w->run_ms = 500000;
  world_run (w, 5600 + delay_ms);
  second = world_find_run (w, WORLD_JOB ".0.0.0");
  g_assert_true (second != NULL && second != first);
  second->reachable = false;
  first->reachable = true;
  world_run (w, 1500);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_take_over (w, false, 0);
  world_grant (w, "a", tasks (4));
  g_assert_cmpuint (count_real (w, "a"), ==, 1);
  world_run (w, 20000);
  g_assert_cmpuint (
      ((struct account_row *)g_ptr_array_index (w->report->rows, 0))
          ->used.cpu_milli,
      ==, 0);
  world_assert_no_violations (w);
  world_destroy (w);
}

static void
test_given_up_runs_count (void)
{
  for (int64_t delay_ms = 0; delay_ms < 1000; delay_ms += 100)
    play_given_up_run (delay_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/accounts/allotment",
                   test_tasks_start_within_the_allotment);
  g_test_add_func ("/accounts/gang", test_gang_starts_whole);
  g_test_add_func ("/accounts/others", test_other_accounts_go_on);
  g_test_add_func ("/accounts/lower-cap", test_lower_cap_revokes_at_once);
  g_test_add_func ("/accounts/limits", test_limits);
  g_test_add_func ("/accounts/impossible", test_impossible_jobs_fail);
  g_test_add_func ("/accounts/outdated", test_outdated_calls_are_not_applied);
  g_test_add_func ("/accounts/removed", test_removed_accounts_go_on);
  g_test_add_func ("/accounts/share", test_full_cell_is_shared_by_weight);
  g_test_add_func ("/accounts/dominant-share", test_dominant_share);
  g_test_add_func ("/accounts/load", test_load_has_only_what_is_allowed);
  g_test_add_func ("/accounts/metrics", test_metrics_are_bounded);
  g_test_add_func ("/accounts/ended-jobs",
                   test_runs_of_ended_jobs_count_after_takeover);
  g_test_add_func ("/accounts/given-up-runs", test_given_up_runs_count);
  return g_test_run ();
}
