#include "broker_fixture.h"

#include "slot_table.h"

/* The slot table: spread over the VMs, ejection and its budget, probes. */

#define POOL "search"

static struct slot_table *
open_table (struct fixture *f, uint32_t vms)
{
  struct slot_table *t = slot_table_new (1);

  fixture_open (f);
  fixture_add_vms (f, POOL, vms, 8);
  slot_table_sync (t, f->fleet);
  return t;
}

static void
close_table (struct fixture *f, struct slot_table *t)
{
  slot_table_destroy (t);
  fixture_close (f);
}

static void
test_work_is_spread_over_the_vms (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 4);
  uint32_t used;

  for (int i = 0; i < 12; i++)
    g_assert_nonnull (slot_table_acquire (t, POOL, "", true, 0));
  for (int i = 0; i < 4; i++)
    {
      char *vm = g_strdup_printf (POOL "-%d", i);

      g_assert_cmpuint (slot_table_vm_used (t, vm), ==, 3);
      g_free (vm);
    }
  g_assert_cmpuint (slot_table_pool_slots (t, POOL, &used), ==, 32);
  g_assert_cmpuint (used, ==, 12);
  for (int i = 0; i < 20; i++)
    g_assert_nonnull (slot_table_acquire (t, POOL, "", true, 0));
  g_assert_null (slot_table_acquire (t, POOL, "", true, 0));
  close_table (&f, t);
}

static void
test_vm_to_avoid_is_used_last (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 2);

  for (int i = 0; i < 8; i++)
    g_assert_cmpstr (slot_table_acquire (t, POOL, POOL "-0", true, 0), ==,
                     POOL "-1");
  /* No other VM has a free slot now. */
  g_assert_cmpstr (slot_table_acquire (t, POOL, POOL "-0", true, 0), ==,
                   POOL "-0");
  close_table (&f, t);
}

static void
test_leaving_vm_gets_no_work (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 2);

  slot_table_set_leaving (t, POOL "-0", true);
  g_assert_cmpuint (slot_table_pool_slots (t, POOL, NULL), ==, 8);
  for (int i = 0; i < 8; i++)
    g_assert_cmpstr (slot_table_acquire (t, POOL, "", true, 0), ==, POOL "-1");
  g_assert_null (slot_table_acquire (t, POOL, "", true, 0));
  slot_table_set_leaving (t, POOL "-0", false);
  g_assert_cmpstr (slot_table_acquire (t, POOL, "", true, 0), ==, POOL "-0");
  close_table (&f, t);
}

/* Run one request every 10 ms for FOR_MS from *NOW_MS on.  All runs on the
   first N_FAILING VMs fail.  Return how many runs these VMs got. */
static uint32_t
serve (struct slot_table *t, int64_t *now_ms, int64_t for_ms, int n_failing)
{
  int64_t end_ms = *now_ms + for_ms;
  uint32_t on_failing = 0;

  for (; *now_ms < end_ms; *now_ms += 10)
    {
      const char *vm = slot_table_acquire (t, POOL, "", true, *now_ms);
      int number = atoi (vm + strlen (POOL "-"));

      on_failing += number < n_failing;
      slot_table_release (
          t, vm, number < n_failing ? RUN_FAILED : RUN_ANSWERED, *now_ms);
    }
  return on_failing;
}

static void
test_failing_vm_gets_under_one_percent (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 10);
  int64_t now_ms = 0;

  serve (t, &now_ms, 2000, 1); /* until it is ejected */
  g_assert_true (slot_table_is_ejected (t, POOL "-0", now_ms));
  g_assert_cmpuint (serve (t, &now_ms, 60000, 1), <=, 6000 / 100);
  close_table (&f, t);
}

static void
test_recovered_vm_is_used_within_ten_seconds (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 10);
  int64_t now_ms = 0;

  serve (t, &now_ms, 60000, 1);
  g_assert_true (slot_table_is_ejected (t, POOL "-0", now_ms));
  serve (t, &now_ms, 10000, 0);
  g_assert_false (slot_table_is_ejected (t, POOL "-0", now_ms));
  close_table (&f, t);
}

/* If 40% of the VMs fail, 30% are ejected, and the rest of the failing ones
   get work only as a last resort. */
static void
test_ejections_stay_within_the_budget (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 10);
  int64_t now_ms = 0;
  uint32_t ejected = 0;

  serve (t, &now_ms, 20000, 4);
  for (int i = 0; i < 10; i++)
    {
      char *vm = g_strdup_printf (POOL "-%d", i);

      ejected += slot_table_is_ejected (t, vm, now_ms);
      g_free (vm);
    }
  g_assert_cmpuint (ejected, ==, 3);
  /* The fourth gets no load that others can take, and no VM stays ejected once
     all have recovered. */
  g_assert_cmpuint (serve (t, &now_ms, 20000, 4), <=, 2000 / 100);
  serve (t, &now_ms, 10000, 0);
  for (int i = 0; i < 10; i++)
    {
      char *vm = g_strdup_printf (POOL "-%d", i);

      g_assert_false (slot_table_is_ejected (t, vm, now_ms));
      g_free (vm);
    }
  close_table (&f, t);
}

static void
test_only_probes_go_to_an_ejected_vm (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 10);
  int64_t now_ms = 0;

  serve (t, &now_ms, 2000, 1);
  now_ms += 20000;
  for (int i = 0; i < 72; i++)
    g_assert_cmpstr (slot_table_acquire (t, POOL, "", false, now_ms), !=,
                     POOL "-0");
  g_assert_null (slot_table_acquire (t, POOL, "", false, now_ms));
  g_assert_cmpstr (slot_table_acquire (t, POOL, "", true, now_ms), ==,
                   POOL "-0");
  close_table (&f, t);
}

/* The sums kept for a pool equal those of its VMs after any sequence of
   changes. */
static void
test_sums_equal_those_of_the_vms (void)
{
  struct fixture f;
  struct slot_table *t = open_table (&f, 6);
  GRand *r = g_rand_new_with_seed (3);
  GPtrArray *taken = g_ptr_array_new ();

  for (int i = 0; i < 20000; i++)
    {
      uint32_t used = 0;
      uint32_t sum = 0;
      char *vm = g_strdup_printf (POOL "-%d", g_rand_int_range (r, 0, 6));
      const char *got;

      if (g_rand_int_range (r, 0, 20) == 0)
        slot_table_set_leaving (t, vm, g_rand_boolean (r));
      g_free (vm);
      if (g_rand_boolean (r)
          && (got = slot_table_acquire (t, POOL, "", g_rand_boolean (r), i))
                 != NULL)
        g_ptr_array_add (taken, (gpointer)got);
      else if (taken->len > 0)
        slot_table_release (
            t,
            g_ptr_array_remove_index_fast (
                taken, (guint)g_rand_int_range (r, 0, (gint32)taken->len)),
            (enum run_result)g_rand_int_range (r, 0, RUN_RESULT_COUNT), i);
      for (int k = 0; k < 6; k++)
        {
          vm = g_strdup_printf (POOL "-%d", k);
          if (slot_table_accepts_work (t, vm, POOL))
            sum += slot_table_vm_used (t, vm);
          g_assert_cmpuint (slot_table_vm_used (t, vm), <=, 8);
          g_free (vm);
        }
      slot_table_pool_slots (t, POOL, &used);
      g_assert_cmpuint (used, ==, sum);
    }
  g_ptr_array_unref (taken);
  g_rand_free (r);
  close_table (&f, t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slot-table/spread", test_work_is_spread_over_the_vms);
  g_test_add_func ("/slot-table/avoid", test_vm_to_avoid_is_used_last);
  g_test_add_func ("/slot-table/leaving", test_leaving_vm_gets_no_work);
  g_test_add_func ("/slot-table/failing-under-one-percent",
                   test_failing_vm_gets_under_one_percent);
  g_test_add_func ("/slot-table/recovered",
                   test_recovered_vm_is_used_within_ten_seconds);
  g_test_add_func ("/slot-table/ejection-budget",
                   test_ejections_stay_within_the_budget);
  g_test_add_func ("/slot-table/probes", test_only_probes_go_to_an_ejected_vm);
  g_test_add_func ("/slot-table/sums", test_sums_equal_those_of_the_vms);
  return g_test_run ();
}
