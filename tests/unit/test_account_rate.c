#include "account_rate.h"

/* The token buckets of client accounts, under steady loads, floods and changes
   of the configuration. */

static struct accounts *
make_accounts (uint32_t n, uint32_t weight)
{
  struct accounts *accounts = accounts_new ();

  for (uint32_t i = 0; i < n; i++)
    {
      char *name = g_strdup_printf ("account-%u", i);

      accounts_add (accounts, name)->weight = weight;
      g_free (name);
    }
  return accounts;
}

static struct account_rates *
make_rates (uint32_t n, uint32_t weight)
{
  struct accounts *accounts = make_accounts (n, weight);
  struct account_rates *rates = account_rates_new ();

  account_rates_set (rates, accounts, 0);
  accounts_destroy (accounts);
  return rates;
}

/* An account that sends a second's jobs at once, each second, is within its
   rate: none of its jobs may be turned away. */
static void
test_an_account_within_its_rate_is_never_in_excess (void)
{
  struct account_rates *rates = make_rates (1, 7);

  for (int64_t at_ms = 0; at_ms < 60000; at_ms += 1000)
    for (int i = 0; i < 7; i++)
      g_assert_true (account_rates_take (rates, "account-0", at_ms));
  account_rates_destroy (rates);
}

/* A flood of nine times the rate for 10 s beside an account within its rate:
   without buckets, all 900 jobs of the flood would compete with the other's.
 */
static void
test_a_flood_is_in_excess_and_no_other_account_is (void)
{
  struct account_rates *rates = make_rates (2, 10);
  uint32_t taken = 0;

  for (int64_t at_ms = 0; at_ms < 10000; at_ms += 100)
    {
      for (int i = 0; i < 9; i++)
        taken += account_rates_take (rates, "account-0", at_ms);
      g_assert_true (account_rates_take (rates, "account-1", at_ms));
    }
  g_assert_cmpuint (taken, >=, 100);
  g_assert_cmpuint (taken, <=, 110);
  account_rates_destroy (rates);
}

/* 100 callers that are refused at once: with one delay for all they return
   together, and nearly all are refused again. */
static void
test_refused_callers_do_not_return_together (void)
{
  struct account_rates *rates = make_rates (1, 10);
  uint32_t returning[32] = { 0 };
  uint32_t most = 0;

  while (account_rates_take (rates, "account-0", 0))
    ;
  for (uint32_t i = 0; i < 100; i++)
    {
      char *id = g_strdup_printf ("%016x", i * 2654435761U);
      int64_t delay_ms = account_rates_refuse (rates, "account-0", id, 0);

      g_assert_cmpint (delay_ms, >=, 1000);
      g_assert_cmpint (delay_ms, <, 32000);
      returning[delay_ms / 1000]++;
      g_free (id);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (returning); i++)
    most = MAX (most, returning[i]);
  g_test_message ("of 100 callers at most %u return in the same second", most);
  g_assert_cmpuint (most, <=, 40);
  account_rates_destroy (rates);
}

/* A new version of the configuration must not give a flooding account a full
   bucket, nor leave a limit on an account that is gone. */
static void
test_a_new_configuration_keeps_the_levels (void)
{
  struct account_rates *rates = make_rates (2, 10);
  struct accounts *accounts = make_accounts (1, 20);

  while (account_rates_take (rates, "account-0", 0))
    ;
  while (account_rates_take (rates, "account-1", 0))
    ;
  account_rates_set (rates, accounts, 0);
  g_assert_false (account_rates_take (rates, "account-0", 0));
  g_assert_true (account_rates_take (rates, "account-0", 50));
  g_assert_false (account_rates_take (rates, "account-0", 50));
  g_assert_true (account_rates_take (rates, "account-1", 0));
  account_rates_set (rates, NULL, 100);
  g_assert_true (account_rates_take (rates, "account-0", 100));
  accounts_destroy (accounts);
  account_rates_destroy (rates);
}

/* Buckets are bounded in number; accounts beyond are not limited. */
static void
test_accounts_beyond_the_bound_are_not_limited (void)
{
  struct account_rates *rates = make_rates (ACCOUNT_RATES_MAX + 1, 1);

  g_assert_true (account_rates_take (rates, "account-255", 0));
  g_assert_false (account_rates_take (rates, "account-255", 0));
  g_assert_true (account_rates_take (rates, "account-256", 0));
  g_assert_true (account_rates_take (rates, "account-256", 0));
  account_rates_destroy (rates);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/account-rate/steady",
                   test_an_account_within_its_rate_is_never_in_excess);
  g_test_add_func ("/account-rate/flood",
                   test_a_flood_is_in_excess_and_no_other_account_is);
  g_test_add_func ("/account-rate/return",
                   test_refused_callers_do_not_return_together);
  g_test_add_func ("/account-rate/configuration",
                   test_a_new_configuration_keeps_the_levels);
  g_test_add_func ("/account-rate/bound",
                   test_accounts_beyond_the_bound_are_not_limited);
  return g_test_run ();
}
