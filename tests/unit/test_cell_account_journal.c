#include "account_jobs.h"
#include "account_use.h"
#include "cell_accounts.h"

#include <string.h>

/* Allotments in the journal: what a new owner loads, and what an owner reports
   as held on its account. */

/* Guards against a new owner that starts nothing while the ledger is silent,
   and against one that starts more than its predecessor was allotted, or that
   takes the record of an owner before that: an owner of an earlier release
   does not replace it, and what it holds counts without it. */
static void
test_new_owner_keeps_allotment (void)
{
  struct world *w = world_new (1);
  GBytes *record;

  w->run_ms = 500000;
  world_set_account (w, "a", tasks (20), NO_RATE);
  world_grant (w, "a", tasks (6));
  world_submit (w, job_of (w, "0000000000000001", 4, "a"));
  world_run (w, 500);
  g_ptr_array_set_size (w->grants, 0);
  record = g_bytes_ref (g_hash_table_lookup (w->journal, CELL_ACCOUNTS_KEY));
  world_take_over (w, false, 0);
  world_submit (w, job_of (w, "0000000000000002", 9, "a"));
  world_run (w, 1000);
  g_assert_cmpuint (count_real (w, "a"), ==, 6);
  g_assert_cmpuint (held_tasks (w), ==, 6);
  world_run (w, 500);
  world_assert_no_violations (w);
  g_hash_table_replace (w->journal, g_strdup (CELL_ACCOUNTS_KEY), record);
  world_take_over (w, false, 0);
  g_assert_true (
      amount_is_zero (cell_account_get (w->cell, "a", w->now_ms)->allotment));
  world_run (w, 10);
  g_assert_nonnull (strstr (w->events->str, "allotments-outdated"));
  world_destroy (w);
}

/* Guards against a lowered allotment that the ledger gives to another cell
   while the journal has, or may have, the higher one. */
static void
test_lowered_allotment_counts_until_journaled (void)
{
  static const struct world_faults faults[] = { { 0 },
                                                { .append_refused = 100 },
                                                { .append_late = 100 },
                                                { .append_mute = 100 },
                                                { .append_lost = 100 } };

  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      struct world *w = world_new (1);

      world_set_account (w, "a", tasks (20), NO_RATE);
      world_grant (w, "a", tasks (10));
      world_run (w, 500);
      w->faults = faults[i];
      world_grant (w, "a", tasks (3));
      g_assert_cmpuint (held_tasks (w), ==, 10);
      world_run (w, 400);
      g_assert_cmpuint (held_tasks (w), ==, i == 0 ? 3 : 10);
      /* A raise that is in an append of unknown outcome counts as well. */
      world_grant (w, "a", tasks (15));
      world_run (w, 400);
      world_grant (w, "a", tasks (2));
      g_assert_cmpuint (held_tasks (w), >=, i == 0 ? 15 : 10);
      w->faults = (struct world_faults){ 0 };
      world_run (w, 10000);
      g_assert_cmpuint (held_tasks (w), ==, 2);
      world_assert_no_violations (w);
      world_destroy (w);
    }
}

/* Guards against a raise that is in an append without a known outcome, and
   that a next owner may load, being counted as undone once it is lowered. */
static void
test_raise_in_append_counts (void)
{
  struct world *w = world_new (1);

  world_set_account (w, "a", tasks (20), NO_RATE);
  world_grant (w, "a", tasks (2));
  world_run (w, 500);
  w->faults.append_mute = 100;
  world_grant (w, "a", tasks (10));
  world_run (w, 300);
  world_grant (w, "a", tasks (3));
  g_assert_cmpuint (held_tasks (w), ==, 10);
  g_ptr_array_set_size (w->grants, 0);
  world_take_over (w, false, 0);
  g_assert_cmpuint (
      cell_account_get (w->cell, "a", w->now_ms)->allotment.cpu_milli, ==,
      10000);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a new owner that keeps an allotment of a resource whose cap
   is lower than in the record, or one of an account that comes again, and
   against accepted jobs that stop as their account has gone. */
static void
test_takeover_with_other_accounts (void)
{
  struct world *w = world_new (1);
  const struct cell_account *a;

  w->run_ms = 500000;
  world_set_account (w, "a", tasks (20), NO_RATE);
  world_set_account (w, "b", tasks (20), NO_RATE);
  world_grant (w, "a", tasks (10));
  world_grant (w, "b", tasks (10));
  world_submit (w, job_of (w, WORLD_JOB, 2, "b"));
  world_run (w, 500);
  g_ptr_array_set_size (w->grants, 0);
  accounts_destroy (w->accounts);
  w->accounts = accounts_new ();
  accounts_add (w->accounts, "a")->cap
      = (struct account_amount){ 19000, 30000, 0 };
  accounts_add (w->accounts, "c")->cap = tasks (20);
  world_take_over (w, false, 0);
  a = cell_account_get (w->cell, "a", w->now_ms);
  g_assert_cmpuint (a->allotment.cpu_milli, ==, 0);
  g_assert_cmpuint (a->allotment.memory_mb, ==, 5000);
  a = cell_account_get (w->cell, "b", w->now_ms);
  g_assert_false (a->is_configured);
  g_assert_cmpuint (a->allotment.cpu_milli, <=, 2000);
  g_assert_true (
      amount_is_zero (cell_account_get (w->cell, "c", w->now_ms)->allotment));
  world_run (w, 500);
  g_assert_cmpuint (count_real (w, "b"), ==, 2);
  accounts_add (w->accounts, "b")->cap = tasks (20);
  world_take_over (w, false, 0);
  a = cell_account_get (w->cell, "b", w->now_ms);
  g_assert_true (a->is_configured && amount_is_zero (a->allotment));
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against a damaged record that ends the process, is taken in part or
   hides other records. */
static void
test_unreadable_record (void)
{
  struct world *w = world_new (1);

  world_set_account (w, "a", tasks (20), NO_RATE);
  world_grant (w, "a", tasks (10));
  world_submit (w, job_of (w, WORLD_JOB, 2, "a"));
  world_run (w, 100);
  for (gsize size = 0; size < 40; size += 13)
    {
      GBytes *whole = g_hash_table_lookup (w->journal, CELL_ACCOUNTS_KEY);

      g_hash_table_replace (w->journal, g_strdup (CELL_ACCOUNTS_KEY),
                            g_bytes_new_from_bytes (whole, 0, size));
      g_string_truncate (w->events, 0);
      world_take_over (w, false, 0);
      g_assert_true (amount_is_zero (
          cell_account_get (w->cell, "a", w->now_ms)->allotment));
      world_run (w, 1000);
      g_assert_nonnull (strstr (w->events->str, "journal-malformed a:"));
    }
  world_run (w, 5000);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Guards against room under a raised cap that the ledger gives to other cells
   while a next owner could keep an allotment by the former, lower cap: if the
   cap is lowered again, that owner would not see that it was. */
static void
test_raised_cap_waits_for_journal (void)
{
  struct world *w = world_new (1);

  world_set_account (w, "a", tasks (5), NO_RATE);
  world_grant (w, "a", tasks (5));
  g_assert_true (cell_has_journaled_caps (w->cell));
  world_run (w, 500);
  world_set_account (w, "a", tasks (20), NO_RATE);
  g_assert_false (cell_has_journaled_caps (w->cell));
  world_run (w, 300);
  g_assert_true (cell_has_journaled_caps (w->cell));
  /* An append of the raised cap that is refused, then the cap is lowered. */
  w->faults.append_refused = 100;
  world_set_account (w, "a", tasks (30), NO_RATE);
  world_run (w, 300);
  g_assert_false (cell_has_journaled_caps (w->cell));
  world_set_account (w, "a", tasks (25), NO_RATE);
  g_ptr_array_set_size (w->grants, 0);
  world_take_over (w, false, 0);
  g_assert_cmpuint (
      cell_account_get (w->cell, "a", w->now_ms)->allotment.cpu_milli, ==,
      5000);
  w->faults.append_refused = 0;
  world_run (w, 5000);
  g_assert_true (cell_has_journaled_caps (w->cell));
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/account-journal/new-owner",
                   test_new_owner_keeps_allotment);
  g_test_add_func ("/account-journal/lowered-allotment",
                   test_lowered_allotment_counts_until_journaled);
  g_test_add_func ("/account-journal/raise-in-append",
                   test_raise_in_append_counts);
  g_test_add_func ("/account-journal/takeover-accounts",
                   test_takeover_with_other_accounts);
  g_test_add_func ("/account-journal/unreadable-record",
                   test_unreadable_record);
  g_test_add_func ("/account-journal/raised-cap",
                   test_raised_cap_waits_for_journal);
  return g_test_run ();
}
