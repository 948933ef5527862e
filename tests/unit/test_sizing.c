#include "sizing.h"

#include <string.h>

/* Machines go where work does not fit, and back when they are idle. */

static void
add_machine (GPtrArray *machines, const char *name, const char *service,
             enum machine_state state)
{
  struct machine *m = machines_add (machines);

  m->name = g_strdup (name);
  m->service = g_strdup (service);
  m->worker = g_strconcat ("w-", name, NULL);
  m->state = state;
}

static struct pool_load *
load_of (const char *service, uint64_t used, uint64_t wanted, const char *idle)
{
  struct pool_load *l = pool_load_new (service);

  l->cpu_per_worker_milli = 16000;
  l->cpu_used_milli = used;
  l->cpu_wanted_milli = wanted;
  if (idle != NULL)
    g_ptr_array_add (l->idle, g_strdup (idle));
  return l;
}

struct fixture
{
  GPtrArray *machines;
  GPtrArray *loads;
  struct sizing *sizing;
};

static void
set_up (struct fixture *f)
{
  f->machines = machines_new ();
  f->loads = g_ptr_array_new_with_free_func (pool_load_destroy);
  f->sizing = sizing_new (6);
  add_machine (f->machines, "a1", "search", MACHINE_UP);
  add_machine (f->machines, "a2", "search", MACHINE_UP);
  add_machine (f->machines, "b1", "archive", MACHINE_UP);
  add_machine (f->machines, "b2", "archive", MACHINE_UP);
  add_machine (f->machines, "b3", "archive", MACHINE_UP);
  add_machine (f->machines, "s1", "spare", MACHINE_UP);
}

static void
tear_down (struct fixture *f)
{
  g_ptr_array_unref (f->machines);
  g_ptr_array_unref (f->loads);
  sizing_destroy (f->sizing);
}

/* Plan and return the moves as "MACHINE>SERVICE ...". */
static char *
plan (struct fixture *f, const char *reserved_name, int64_t now_ms)
{
  GHashTable *reserved
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct sizing_step));
  GString *text = g_string_new (NULL);

  if (reserved_name != NULL)
    g_hash_table_add (reserved, g_strdup (reserved_name));
  sizing_plan (f->sizing, f->machines, f->loads, "spare", reserved, now_ms,
               steps);
  for (guint i = 0; i < steps->len; i++)
    {
      const struct sizing_step *s
          = &g_array_index (steps, struct sizing_step, i);

      g_string_append_printf (text, "%s%s>%s", i > 0 ? " " : "",
                              s->machine->name, s->service);
    }
  g_array_unref (steps);
  g_hash_table_unref (reserved);
  return g_string_free (text, FALSE);
}

static void
expect (char *got, const char *wanted)
{
  g_assert_cmpstr (got, ==, wanted);
  g_free (got);
}

static void
test_a_full_pool_gets_standby_first_then_idle (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, load_of ("search", 30000, 20000, NULL));
  g_ptr_array_add (f.loads, load_of ("archive", 1000, 0, "w-b3"));
  expect (plan (&f, NULL, 1000), "s1>search b3>search");
  tear_down (&f);
}

static void
test_a_machine_with_work_or_reserved_stays (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, load_of ("search", 30000, 20000, NULL));
  g_ptr_array_add (f.loads, load_of ("archive", 1000, 0, NULL));
  expect (plan (&f, "s1", 1000), "");
  tear_down (&f);
}

static void
test_idle_machines_go_back_after_a_while (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, load_of ("search", 20000, 0, NULL));
  g_ptr_array_add (f.loads, load_of ("archive", 1000, 0, "w-b3"));
  expect (plan (&f, NULL, 1000), "s1>search");
  g_free (((struct machine *)g_ptr_array_index (f.machines, 5))->service);
  ((struct machine *)g_ptr_array_index (f.machines, 5))->service
      = g_strdup ("search");
  expect (plan (&f, NULL, 2000), "");
  expect (plan (&f, NULL, 3600), "b3>spare");
  tear_down (&f);
}

static void
test_a_pool_never_falls_below_two (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, load_of ("search", 0, 0, "w-a1"));
  expect (plan (&f, NULL, 1000), "");
  expect (plan (&f, NULL, 9000), "");
  tear_down (&f);
}

/* Tasks that are spread need as many workers, however small they are. */
static void
test_a_pool_is_as_wide_as_its_steps (void)
{
  struct fixture f;
  struct pool_load *l = load_of ("search", 100, 0, NULL);

  set_up (&f);
  l->workers_min = 3;
  g_ptr_array_add (f.loads, l);
  g_ptr_array_add (f.loads, load_of ("archive", 0, 0, "w-b1"));
  expect (plan (&f, NULL, 1000), "s1>search b1>search");
  tear_down (&f);
}

/* One plan moves no more machines than the platform takes meanwhile. */
static void
test_a_plan_keeps_to_the_rate (void)
{
  struct fixture f;

  set_up (&f);
  sizing_destroy (f.sizing);
  f.sizing = sizing_new (1);
  g_ptr_array_add (f.loads, load_of ("search", 64000, 0, NULL));
  g_ptr_array_add (f.loads, load_of ("archive", 0, 0, "w-b1"));
  expect (plan (&f, NULL, 1000), "s1>search");
  tear_down (&f);
}

/* The work of a burst counts before its jobs have begun. */
static void
test_a_pool_follows_a_burst (void)
{
  struct fixture f;
  struct pool_load *l = load_of ("search", 0, 0, NULL);

  set_up (&f);
  g_ptr_array_add (f.loads, l);
  g_ptr_array_add (f.loads, load_of ("archive", 0, 0, "w-b1"));
  expect (plan (&f, NULL, 1000), "");
  l->jobs_taken = 10;
  l->work_taken_milli_s = 64000;
  expect (plan (&f, NULL, 2000), "s1>search b1>search");
  tear_down (&f);
}

static void
test_a_load_survives_its_encoding (void)
{
  struct pool_load *l = load_of ("search", 5, 7, "w-a1");
  GBytes *bytes, *garbage = g_bytes_new_static ("garbage", 7);
  struct pool_load *copy;

  l->workers_min = 9;
  l->cpu_lasting_milli = 3;
  l->jobs_taken = 4;
  l->work_taken_milli_s = 6;
  bytes = pool_load_to_bytes (l);
  copy = pool_load_from_bytes ("search", bytes);
  g_assert_cmpuint (copy->cpu_used_milli, ==, 5);
  g_assert_cmpuint (copy->cpu_wanted_milli, ==, 7);
  g_assert_cmpuint (copy->workers_min, ==, 9);
  g_assert_cmpuint (copy->cpu_lasting_milli, ==, 3);
  g_assert_cmpuint (copy->jobs_taken, ==, 4);
  g_assert_cmpuint (copy->work_taken_milli_s, ==, 6);
  g_assert_cmpuint (copy->idle->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (copy->idle, 0), ==, "w-a1");
  g_assert_null (pool_load_from_bytes ("search", garbage));
  g_bytes_unref (garbage);
  g_bytes_unref (bytes);
  pool_load_destroy (copy);
  pool_load_destroy (l);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sizing/full",
                   test_a_full_pool_gets_standby_first_then_idle);
  g_test_add_func ("/sizing/stays",
                   test_a_machine_with_work_or_reserved_stays);
  g_test_add_func ("/sizing/back", test_idle_machines_go_back_after_a_while);
  g_test_add_func ("/sizing/least", test_a_pool_never_falls_below_two);
  g_test_add_func ("/sizing/spread", test_a_pool_is_as_wide_as_its_steps);
  g_test_add_func ("/sizing/rate", test_a_plan_keeps_to_the_rate);
  g_test_add_func ("/sizing/burst", test_a_pool_follows_a_burst);
  g_test_add_func ("/sizing/encoding", test_a_load_survives_its_encoding);
  return g_test_run ();
}
