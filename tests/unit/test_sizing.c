#include "sizing.h"

#include <string.h>

/* Tests that machines move to a pool whose work does not fit, and back to the
   standby pool when they are idle. */

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
make_load (const char *service, uint64_t used_milli, uint64_t wanted_milli,
           const char *idle)
{
  struct pool_load *l = pool_load_new (service);

  l->cpu_per_worker_milli = 16000;
  l->cpu_used_milli = used_milli;
  l->cpu_wanted_milli = wanted_milli;
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

/* Plan once and return the moves as "MACHINE>SERVICE ...". */
static char *
plan (struct fixture *f, const char *reserved_name, int64_t now_ms)
{
  GHashTable *reserved
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GArray *moves = g_array_new (FALSE, FALSE, sizeof (struct sizing_move));
  GString *text = g_string_new (NULL);

  if (reserved_name != NULL)
    g_hash_table_add (reserved, g_strdup (reserved_name));
  sizing_plan (f->sizing, f->machines, f->loads, "spare", reserved, now_ms,
               moves);
  for (guint i = 0; i < moves->len; i++)
    {
      const struct sizing_move *s
          = &g_array_index (moves, struct sizing_move, i);

      g_string_append_printf (text, "%s%s>%s", i > 0 ? " " : "",
                              s->machine->name, s->service);
    }
  g_array_unref (moves);
  g_hash_table_unref (reserved);
  return g_string_free (text, FALSE);
}

static void
assert_moves (char *moves, const char *wanted)
{
  g_assert_cmpstr (moves, ==, wanted);
  g_free (moves);
}

static void
test_full_pool_gets_standby_then_idle_machines (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, make_load ("search", 30000, 20000, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 1000, 0, "w-b3"));
  assert_moves (plan (&f, NULL, 1000), "s1>search b3>search");
  tear_down (&f);
}

static void
test_busy_and_reserved_machines_stay (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, make_load ("search", 30000, 20000, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 1000, 0, NULL));
  assert_moves (plan (&f, "s1", 1000), "");
  tear_down (&f);
}

static void
test_idle_machines_return_after_delay (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, make_load ("search", 20000, 0, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 1000, 0, "w-b3"));
  assert_moves (plan (&f, NULL, 1000), "s1>search");
  g_free (((struct machine *)g_ptr_array_index (f.machines, 5))->service);
  ((struct machine *)g_ptr_array_index (f.machines, 5))->service
      = g_strdup ("search");
  assert_moves (plan (&f, NULL, 2000), "");
  assert_moves (plan (&f, NULL, 3600), "b3>spare");
  tear_down (&f);
}

/* A burst in one pool has taken every machine; another pool's work waits. They
   get even shares, and the first gives busy machines up for that, but none
   with long-running tasks. */
static void
test_pools_share_what_there_is (void)
{
  struct fixture f;
  struct pool_load *greedy = make_load ("search", 160000, 400000, NULL);
  struct pool_load *starved = make_load ("archive", 16000, 200000, NULL);
  char *moves;

  set_up (&f);
  for (int i = 3; i <= 10; i++)
    {
      char *name = g_strdup_printf ("a%d", i);

      add_machine (f.machines, name, "search", MACHINE_UP);
      if (i > 4)
        g_ptr_array_add (greedy->reclaimable, g_strconcat ("w-", name, NULL));
      g_free (name);
    }
  g_ptr_array_add (f.loads, greedy);
  g_ptr_array_add (f.loads, starved);
  /* 14 machines: 7 for each pool, to within one. */
  moves = plan (&f, NULL, 1000);
  g_assert_cmpstr (moves, ==, "s1>archive a5>archive a6>archive");
  g_free (moves);
  tear_down (&f);
}

/* A machine that would return to the standby pool goes straight to the pool
   that grows. */
static void
test_excess_goes_where_it_is_needed (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, make_load ("search", 20000, 0, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 1000, 0, "w-b3"));
  assert_moves (plan (&f, "s1", 1000), "b3>search");
  g_ptr_array_set_size (f.loads, 0);
  g_ptr_array_add (f.loads, make_load ("search", 2000, 0, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 1000, 0, "w-b3"));
  assert_moves (plan (&f, "b3", 1100), "");
  g_ptr_array_set_size (f.loads, 0);
  g_ptr_array_add (f.loads, make_load ("search", 20000, 0, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 1000, 0, "w-b3"));
  assert_moves (plan (&f, NULL, 3700), "b3>search");
  tear_down (&f);
}

/* While workers of a pool are emptied for their upkeep, it gets as many
   machines in their place: their tasks find room elsewhere only there. */
static void
test_emptied_workers_are_replaced (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, make_load ("search", 10000, 0, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 20000, 0, NULL));
  assert_moves (plan (&f, NULL, 1000), "");
  ((struct pool_load *)g_ptr_array_index (f.loads, 0))->workers_emptying = 1;
  assert_moves (plan (&f, NULL, 1250), "s1>search");
  tear_down (&f);
}

static void
test_pool_keeps_two_machines (void)
{
  struct fixture f;

  set_up (&f);
  g_ptr_array_add (f.loads, make_load ("search", 0, 0, "w-a1"));
  assert_moves (plan (&f, NULL, 1000), "");
  assert_moves (plan (&f, NULL, 9000), "");
  tear_down (&f);
}

/* A step whose tasks are spread needs that many workers, however few
   processors its tasks use. */
static void
test_spread_step_needs_workers (void)
{
  struct fixture f;
  struct pool_load *l = make_load ("search", 100, 0, NULL);

  set_up (&f);
  l->workers_min = 3;
  g_ptr_array_add (f.loads, l);
  g_ptr_array_add (f.loads, make_load ("archive", 0, 0, "w-b1"));
  assert_moves (plan (&f, NULL, 1000), "s1>search b1>search");
  tear_down (&f);
}

/* One plan moves no more machines than the platform accepts until the next
   plan. */
static void
test_plan_is_limited_to_max_per_round (void)
{
  struct fixture f;

  set_up (&f);
  sizing_destroy (f.sizing);
  f.sizing = sizing_new (1);
  g_ptr_array_add (f.loads, make_load ("search", 64000, 0, NULL));
  g_ptr_array_add (f.loads, make_load ("archive", 0, 0, "w-b1"));
  assert_moves (plan (&f, NULL, 1000), "s1>search");
  tear_down (&f);
}

/* The work of a burst counts before its jobs have started. */
static void
test_pool_grows_for_burst (void)
{
  struct fixture f;
  struct pool_load *l = make_load ("search", 0, 0, NULL);

  set_up (&f);
  g_ptr_array_add (f.loads, l);
  g_ptr_array_add (f.loads, make_load ("archive", 0, 0, "w-b1"));
  assert_moves (plan (&f, NULL, 1000), "");
  l->accepted_jobs = 10;
  l->accepted_work_milli_s = 64000;
  assert_moves (plan (&f, NULL, 2000), "s1>search b1>search");
  tear_down (&f);
}

static void
test_load_encoding_round_trip (void)
{
  struct pool_load *l = make_load ("search", 5, 7, "w-a1");
  GBytes *bytes, *malformed = g_bytes_new_static ("garbage", 7);
  struct pool_load *copy;

  l->workers_min = 9;
  l->cpu_long_running_milli = 3;
  l->accepted_jobs = 4;
  l->accepted_work_milli_s = 6;
  bytes = pool_load_to_bytes (l);
  copy = pool_load_from_bytes ("search", bytes);
  g_assert_cmpuint (copy->cpu_used_milli, ==, 5);
  g_assert_cmpuint (copy->cpu_wanted_milli, ==, 7);
  g_assert_cmpuint (copy->workers_min, ==, 9);
  g_assert_cmpuint (copy->cpu_long_running_milli, ==, 3);
  g_assert_cmpuint (copy->accepted_jobs, ==, 4);
  g_assert_cmpuint (copy->accepted_work_milli_s, ==, 6);
  g_assert_cmpuint (copy->idle->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (copy->idle, 0), ==, "w-a1");
  g_assert_null (pool_load_from_bytes ("search", malformed));
  g_bytes_unref (malformed);
  g_bytes_unref (bytes);
  pool_load_destroy (copy);
  pool_load_destroy (l);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sizing/shares", test_pools_share_what_there_is);
  g_test_add_func ("/sizing/excess", test_excess_goes_where_it_is_needed);
  g_test_add_func ("/sizing/emptied", test_emptied_workers_are_replaced);
  g_test_add_func ("/sizing/full",
                   test_full_pool_gets_standby_then_idle_machines);
  g_test_add_func ("/sizing/stays", test_busy_and_reserved_machines_stay);
  g_test_add_func ("/sizing/back", test_idle_machines_return_after_delay);
  g_test_add_func ("/sizing/least", test_pool_keeps_two_machines);
  g_test_add_func ("/sizing/spread", test_spread_step_needs_workers);
  g_test_add_func ("/sizing/rate", test_plan_is_limited_to_max_per_round);
  g_test_add_func ("/sizing/burst", test_pool_grows_for_burst);
  g_test_add_func ("/sizing/encoding", test_load_encoding_round_trip);
  return g_test_run ();
}
