#include "cell_world.h"

/* Tests of how many tasks a cell holds in memory. */

#define WIDE 2000
#define ORDINARY 10

/* Submit the job NUMBER of COUNT tasks; return the answer. */
static int
submit (struct world *w, int number, uint32_t count)
{
  char *id = g_strdup_printf ("%016x", number);
  uint64_t token = world_submit (w, world_job (w, id, 1, count));

  g_free (id);
  world_run (w, 500);
  return world_answer (w, token);
}

static struct world *
new_world (uint32_t seed, uint64_t max_tasks)
{
  struct world *w = world_new (seed);

  w->max_tasks = max_tasks;
  w->run_ms = 100000;
  world_take_over (w, false, 0);
  world_run (w, 2000);
  return w;
}

/* Guards against wide jobs that take all memory, and against refusing ordinary
   ones because of them. */
static void
test_wide_jobs_are_bounded (void)
{
  struct world *w = new_world (81, 2 * 2 * WIDE);

  g_assert_cmpint (submit (w, 1, WIDE), ==, CELL_STORED);
  g_assert_cmpint (submit (w, 2, WIDE), ==, CELL_STORED);
  g_assert_cmpint (submit (w, 3, WIDE), ==, CELL_REFUSED_FULL);
  g_assert_cmpint (submit (w, 4, ORDINARY), ==, CELL_STORED);
  /* A repeated submission of an accepted job adds none. */
  g_assert_cmpint (submit (w, 1, WIDE), ==, CELL_STORED);
  world_destroy (w);
}

/* Guards against a limit that a single job inside the interface's limits
   meets. */
static void
test_a_single_wide_job_is_accepted (void)
{
  struct world *w = new_world (82, WIDE);

  g_assert_cmpint (submit (w, 1, ORDINARY), ==, CELL_STORED);
  g_assert_cmpint (submit (w, 2, WIDE), ==, CELL_STORED);
  g_assert_cmpint (submit (w, 3, WIDE), ==, CELL_REFUSED_FULL);
  world_destroy (w);
}

/* Guards against ordinary jobs without a bound, and against a successor that
   forgets what it has loaded. */
static void
test_ordinary_jobs_are_bounded (void)
{
  struct world *w = new_world (83, 2 * 3 * ORDINARY);

  for (int i = 1; i <= 3; i++)
    g_assert_cmpint (submit (w, i, ORDINARY), ==, CELL_STORED);
  g_assert_cmpint (submit (w, 4, ORDINARY), ==, CELL_REFUSED_FULL);
  world_take_over (w, false, 0);
  world_run (w, 500);
  g_assert_cmpint (submit (w, 5, ORDINARY), ==, CELL_REFUSED_FULL);
  world_destroy (w);
}

/* Guards against jobs that are counted for ever: what has ended is forgotten
   after a while. */
static void
test_room_comes_back (void)
{
  struct world *w = new_world (84, 2 * ORDINARY);

  w->run_ms = 100;
  g_assert_cmpint (submit (w, 1, ORDINARY), ==, CELL_STORED);
  g_assert_cmpint (submit (w, 2, ORDINARY), ==, CELL_REFUSED_FULL);
  world_run (w, 130000);
  g_assert_cmpint (submit (w, 3, ORDINARY), ==, CELL_STORED);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-full/wide", test_wide_jobs_are_bounded);
  g_test_add_func ("/cell-full/single", test_a_single_wide_job_is_accepted);
  g_test_add_func ("/cell-full/ordinary", test_ordinary_jobs_are_bounded);
  g_test_add_func ("/cell-full/room-comes-back", test_room_comes_back);
  return g_test_run ();
}
