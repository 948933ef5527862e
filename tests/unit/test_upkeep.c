#include "upkeep.h"

#include <string.h>

/* Tests that a wave never takes down more machines than it may, counting both
   those that the list shows in upkeep and those whose upkeep was just
   ordered. */

static GPtrArray *
make_machines (void)
{
  GPtrArray *machines = machines_new ();

  for (int i = 0; i < 4; i++)
    {
      struct machine *m = machines_add (machines);

      m->name = g_strdup_printf ("m%d", i);
      m->service = g_strdup ("search");
      m->worker = g_strdup ("");
      m->state = MACHINE_UP;
    }
  return machines;
}

static struct machine *
machine (GPtrArray *machines, guint i)
{
  return g_ptr_array_index (machines, i);
}

static struct wave_request *
make_wave (uint32_t max_down)
{
  struct wave_request *r = wave_request_new (1);

  r->max_down = max_down;
  for (int i = 0; i < 3; i++)
    g_ptr_array_add (r->machines, g_strdup_printf ("m%d", i));
  return r;
}

/* Plan once and return "complete", or the names of the machines whose workers
   are to be emptied, as in "m0 m1". */
static char *
plan (struct upkeep *u, const GPtrArray *machines, int64_t now_ms)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (struct upkeep_action));
  GString *text = g_string_new (NULL);

  upkeep_plan (u, machines, 2000, now_ms, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const struct upkeep_action *s
          = &g_array_index (actions, struct upkeep_action, i);

      g_string_append_printf (text, "%s%s", i > 0 ? " " : "",
                              s->kind == UPKEEP_COMPLETE ? "complete"
                                                         : s->machine->name);
    }
  g_array_unref (actions);
  return g_string_free (text, FALSE);
}

static void
assert_plan (char *planned, const char *wanted)
{
  g_assert_cmpstr (planned, ==, wanted);
  g_free (planned);
}

static void
test_wave_stays_within_its_limit (void)
{
  struct upkeep *u = upkeep_new ();
  GPtrArray *machines = make_machines ();

  upkeep_add_wave (u, make_wave (2));
  assert_plan (plan (u, machines, 100), "m0 m1");
  upkeep_mark_machine_begun (u, 1, "m0", 200);
  /* The list does not show m0 in upkeep yet. */
  assert_plan (plan (u, machines, 300), "m1");
  machine (machines, 0)->state = MACHINE_IN_UPKEEP;
  assert_plan (plan (u, machines, 900), "m1");
  upkeep_mark_machine_begun (u, 1, "m1", 900);
  machine (machines, 1)->state = MACHINE_IN_UPKEEP;
  assert_plan (plan (u, machines, 1500), "");
  machine (machines, 0)->state = MACHINE_UP;
  assert_plan (plan (u, machines, 2500), "m2");
  g_ptr_array_unref (machines);
  upkeep_destroy (u);
}

static void
test_wave_completes_when_all_machines_are_up (void)
{
  struct upkeep *u = upkeep_new ();
  GPtrArray *machines = make_machines ();

  upkeep_add_wave (u, make_wave (3));
  for (int i = 0; i < 3; i++)
    {
      char *name = g_strdup_printf ("m%d", i);

      upkeep_mark_machine_begun (u, 1, name, 100);
      g_free (name);
    }
  machine (machines, 2)->state = MACHINE_IN_UPKEEP;
  assert_plan (plan (u, machines, 3000), "");
  machine (machines, 2)->state = MACHINE_UP;
  assert_plan (plan (u, machines, 3200), "complete");
  upkeep_mark_wave_completed (u, 1);
  g_assert_false (upkeep_has_work (u));
  g_ptr_array_unref (machines);
  upkeep_destroy (u);
}

/* A wave of a whole pool: idle machines go at once, of the others a quarter at
   a time, so that the work of these finds room; another pool has its own
   share. */
static void
test_a_wave_leaves_most_of_a_pool_open (void)
{
  struct upkeep *u = upkeep_new ();
  GPtrArray *machines = machines_new ();
  struct wave_request *r = wave_request_new (1);
  char *planned;
  char **names;

  for (int i = 0; i < 40; i++)
    {
      struct machine *m = machines_add (machines);

      m->name = g_strdup_printf ("m%d", i);
      m->service = g_strdup (i < 24 ? "search" : "archive");
      m->worker = g_strdup_printf ("i-%d", i);
      m->state = MACHINE_UP;
      m->is_idle = i >= 20 && i < 24;
      g_ptr_array_add (r->machines, g_strdup (m->name));
    }
  r->max_down = 40;
  upkeep_add_wave (u, r);
  planned = plan (u, machines, 100);
  names = g_strsplit (planned, " ", -1);
  /* 4 idle ones, 6 of 24 and 4 of 16. */
  g_assert_cmpuint (g_strv_length (names), ==, 14);
  g_assert_true (g_str_has_prefix (planned, "m20 m21 m22 m23 m0 m1 "));
  g_strfreev (names);
  g_free (planned);
  g_ptr_array_unref (machines);
  upkeep_destroy (u);
}

/* Guards against a new owner of the fleet that takes more machines down than
   it may, while its predecessor's orders are on their way. */
static void
test_orders_on_their_way_count_as_down (void)
{
  struct upkeep *u = upkeep_new ();
  GPtrArray *machines = make_machines ();

  upkeep_add_wave (u, make_wave (2));
  /* Ordered by an earlier owner: not to be ordered again yet. */
  machine (machines, 1)->may_be_ordered = true;
  machine (machines, 1)->state = MACHINE_MOVING;
  assert_plan (plan (u, machines, 100), "m0");
  /* Ordered by this owner without an answer: to be ordered again. */
  machine (machines, 1)->state = MACHINE_UP;
  assert_plan (plan (u, machines, 200), "m0 m1");
  machine (machines, 2)->may_be_ordered = true;
  assert_plan (plan (u, machines, 300), "m1 m2");
  /* One whose upkeep has begun can't begin it again. */
  upkeep_mark_machine_begun (u, 1, "m2", -10000);
  assert_plan (plan (u, machines, 300), "m0 m1");
  g_ptr_array_unref (machines);
  upkeep_destroy (u);
}

/* A machine that is no longer listed does not block the wave. */
static void
test_wave_skips_unlisted_machine (void)
{
  struct upkeep *u = upkeep_new ();
  GPtrArray *machines = make_machines ();

  upkeep_add_wave (u, make_wave (1));
  g_ptr_array_remove_index (machines, 0);
  assert_plan (plan (u, machines, 100), "m1");
  g_ptr_array_unref (machines);
  upkeep_destroy (u);
}

/* Guards against a new owner of the fleet that orders machines again: it reads
   which have begun before it knows the waves. */
static void
test_machines_begun_before_the_wave_is_known (void)
{
  struct upkeep *u = upkeep_new ();
  GPtrArray *machines = make_machines ();
  char *names;

  upkeep_mark_machine_begun (u, 1, "m0", 0);
  upkeep_mark_machine_begun (u, 1, "m2", 0);
  g_assert_false (upkeep_has_work (u));
  assert_plan (plan (u, machines, 3000), "");
  upkeep_add_wave (u, make_wave (2));
  g_assert_true (upkeep_has_work (u));
  assert_plan (plan (u, machines, 3100), "m1");
  upkeep_mark_machine_begun (u, 1, "m1", 3200);
  names = upkeep_begun_names (u, 1);
  g_assert_cmpuint (strlen (names), ==, strlen ("m0,m1,m2"));
  g_free (names);
  assert_plan (plan (u, machines, 6000), "complete");
  g_ptr_array_unref (machines);
  upkeep_destroy (u);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upkeep/cap", test_wave_stays_within_its_limit);
  g_test_add_func ("/upkeep/complete",
                   test_wave_completes_when_all_machines_are_up);
  g_test_add_func ("/upkeep/open-pool",
                   test_a_wave_leaves_most_of_a_pool_open);
  g_test_add_func ("/upkeep/on-their-way",
                   test_orders_on_their_way_count_as_down);
  g_test_add_func ("/upkeep/gone", test_wave_skips_unlisted_machine);
  g_test_add_func ("/upkeep/begun-before-known",
                   test_machines_begun_before_the_wave_is_known);
  return g_test_run ();
}
