#include "broker_fixture.h"

#include "place.h"

/* The slot book: spread, ejection and its budget, probes. */

#define POOL "search"

static struct place *
open_place (struct fixture *f, uint32_t vms)
{
  struct place *p = place_new (1);

  fixture_open (f);
  fixture_add_vms (f, POOL, vms, 8);
  place_sync (p, f->fleet);
  return p;
}

static void
close_place (struct fixture *f, struct place *p)
{
  place_destroy (p);
  fixture_close (f);
}

static void
test_spreads_over_the_vms (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 4);
  uint32_t used;

  for (int i = 0; i < 12; i++)
    g_assert_nonnull (place_take (p, POOL, "", true, 0));
  for (int i = 0; i < 4; i++)
    {
      char *vm = g_strdup_printf (POOL "-%d", i);

      g_assert_cmpuint (place_used (p, vm), ==, 3);
      g_free (vm);
    }
  g_assert_cmpuint (place_slots (p, POOL, &used), ==, 32);
  g_assert_cmpuint (used, ==, 12);
  for (int i = 0; i < 20; i++)
    g_assert_nonnull (place_take (p, POOL, "", true, 0));
  g_assert_null (place_take (p, POOL, "", true, 0));
  close_place (&f, p);
}

static void
test_avoids_the_vm_that_failed (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 2);

  for (int i = 0; i < 8; i++)
    g_assert_cmpstr (place_take (p, POOL, POOL "-0", true, 0), ==, POOL "-1");
  /* Nothing else has room now. */
  g_assert_cmpstr (place_take (p, POOL, POOL "-0", true, 0), ==, POOL "-0");
  close_place (&f, p);
}

static void
test_leaving_vm_gets_nothing (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 2);

  place_set_leaving (p, POOL "-0", true);
  g_assert_cmpuint (place_slots (p, POOL, NULL), ==, 8);
  for (int i = 0; i < 8; i++)
    g_assert_cmpstr (place_take (p, POOL, "", true, 0), ==, POOL "-1");
  g_assert_null (place_take (p, POOL, "", true, 0));
  place_set_leaving (p, POOL "-0", false);
  g_assert_cmpstr (place_take (p, POOL, "", true, 0), ==, POOL "-0");
  close_place (&f, p);
}

/* Serve 10 requests a second for FOR_MS from *NOW_MS on; the first BROKEN VMs
   fail all that they start, once they have failed.  Return how many runs went
   to those. */
static uint32_t
serve (struct place *p, int64_t *now_ms, int64_t for_ms, int broken)
{
  int64_t end_ms = *now_ms + for_ms;
  uint32_t on_broken = 0;

  for (; *now_ms < end_ms; *now_ms += 10)
    {
      const char *vm = place_take (p, POOL, "", true, *now_ms);
      int number = atoi (vm + strlen (POOL "-"));

      on_broken += number < broken;
      place_give (p, vm, number < broken ? RUN_FAILED : RUN_ANSWERED, *now_ms);
    }
  return on_broken;
}

static void
test_broken_vm_gets_under_a_percent (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 10);
  int64_t now_ms = 0;

  serve (p, &now_ms, 2000, 1); /* until it is seen */
  g_assert_true (place_is_ejected (p, POOL "-0", now_ms));
  g_assert_cmpuint (serve (p, &now_ms, 60000, 1), <=, 6000 / 100);
  close_place (&f, p);
}

static void
test_healed_vm_is_back_within_ten_seconds (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 10);
  int64_t now_ms = 0;

  serve (p, &now_ms, 60000, 1);
  g_assert_true (place_is_ejected (p, POOL "-0", now_ms));
  serve (p, &now_ms, 10000, 0);
  g_assert_false (place_is_ejected (p, POOL "-0", now_ms));
  close_place (&f, p);
}

/* When 40% fail, 30% are set aside, and the others work as a last resort. */
static void
test_ejects_no_more_than_the_budget (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 10);
  int64_t now_ms = 0;
  uint32_t ejected = 0;

  serve (p, &now_ms, 20000, 4);
  for (int i = 0; i < 10; i++)
    {
      char *vm = g_strdup_printf (POOL "-%d", i);

      ejected += place_is_ejected (p, vm, now_ms);
      g_free (vm);
    }
  g_assert_cmpuint (ejected, ==, 3);
  /* The fourth attracts no load, and all are back once they have healed. */
  g_assert_cmpuint (serve (p, &now_ms, 20000, 4), <=, 2000 / 100);
  serve (p, &now_ms, 10000, 0);
  for (int i = 0; i < 10; i++)
    {
      char *vm = g_strdup_printf (POOL "-%d", i);

      g_assert_false (place_is_ejected (p, vm, now_ms));
      g_free (vm);
    }
  close_place (&f, p);
}

static void
test_only_what_may_probe_goes_to_an_ejected_vm (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 10);
  int64_t now_ms = 0;

  serve (p, &now_ms, 2000, 1);
  now_ms += 20000;
  for (int i = 0; i < 72; i++)
    g_assert_cmpstr (place_take (p, POOL, "", false, now_ms), !=, POOL "-0");
  g_assert_null (place_take (p, POOL, "", false, now_ms));
  g_assert_cmpstr (place_take (p, POOL, "", true, now_ms), ==, POOL "-0");
  close_place (&f, p);
}

/* The sums kept by bucket stay those of the VMs, whatever happens. */
static void
test_sums_stay_right (void)
{
  struct fixture f;
  struct place *p = open_place (&f, 6);
  GRand *r = g_rand_new_with_seed (3);
  GPtrArray *taken = g_ptr_array_new ();

  for (int i = 0; i < 20000; i++)
    {
      uint32_t used = 0;
      uint32_t sum = 0;
      char *vm = g_strdup_printf (POOL "-%d", g_rand_int_range (r, 0, 6));
      const char *got;

      if (g_rand_int_range (r, 0, 20) == 0)
        place_set_leaving (p, vm, g_rand_boolean (r));
      g_free (vm);
      if (g_rand_boolean (r)
          && (got = place_take (p, POOL, "", g_rand_boolean (r), i)) != NULL)
        g_ptr_array_add (taken, (gpointer)got);
      else if (taken->len > 0)
        place_give (
            p,
            g_ptr_array_remove_index_fast (
                taken, (guint)g_rand_int_range (r, 0, (gint32)taken->len)),
            (enum run_result)g_rand_int_range (r, 0, RUN_RESULT_COUNT), i);
      for (int k = 0; k < 6; k++)
        {
          vm = g_strdup_printf (POOL "-%d", k);
          if (place_is_open (p, vm, POOL))
            sum += place_used (p, vm);
          g_assert_cmpuint (place_used (p, vm), <=, 8);
          g_free (vm);
        }
      place_slots (p, POOL, &used);
      g_assert_cmpuint (used, ==, sum);
    }
  g_ptr_array_unref (taken);
  g_rand_free (r);
  close_place (&f, p);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/place/spreads", test_spreads_over_the_vms);
  g_test_add_func ("/place/avoids", test_avoids_the_vm_that_failed);
  g_test_add_func ("/place/leaving", test_leaving_vm_gets_nothing);
  g_test_add_func ("/place/broken-under-a-percent",
                   test_broken_vm_gets_under_a_percent);
  g_test_add_func ("/place/healed-is-back",
                   test_healed_vm_is_back_within_ten_seconds);
  g_test_add_func ("/place/ejection-budget",
                   test_ejects_no_more_than_the_budget);
  g_test_add_func ("/place/probes",
                   test_only_what_may_probe_goes_to_an_ejected_vm);
  g_test_add_func ("/place/sums", test_sums_stay_right);
  return g_test_run ();
}
