#include "cell_world.h"

#include <stdlib.h>
#include <string.h>

/* Seeded changes of the owner under jobs of all kinds: scheduled ones, gangs,
   consecutive steps, long-running ones.  Workers become silent, restart and
   come back, the journal refuses appends while the store still confirms the
   owner, and owners are lost, yield, or go on beside a successor. */

#define SEEDS 150
/* Seeds above that range which failed: by a run that a handed-over record
   named beside an older record; by a lease on a restarted worker's former
   clock; by a run that was still being stopped where its step allows no other.
 */
static const uint32_t regression_seeds[]
    = { 731, 1094, 1659, 1856, 171, 748, 926, 1488, 1501 };
#define FIRST_JOB 0xf00
#define JOBS 10
#define ROUNDS 12
/* An owner acts for at most this long after the store last confirmed it. */
#define UNCONFIRMED_OWNER_MS 8000

static struct job_step *
first_step (const struct job_spec *job)
{
  return g_ptr_array_index (job->steps, 0);
}

static void
make_scheduled (struct world *w, struct job_spec *job)
{
  job->occurrences = g_rand_int_range (w->rand, 2, 60);
  job->interval_ms = g_rand_int_range (w->rand, 10, 1200);
  job->first_occurrence_ms = w->now_ms + g_rand_int_range (w->rand, 0, 3000);
}

static struct job_spec *
draw_job (struct world *w, const char *id)
{
  struct job_spec *job = world_job (w, id, g_rand_int_range (w->rand, 1, 4),
                                    g_rand_int_range (w->rand, 1, 4));

  first_step (job)->max_per_worker = g_rand_int_range (w->rand, 0, 3);
  switch (g_rand_int_range (w->rand, 0, 5))
    {
    case 0:
      make_scheduled (w, job);
      break;
    case 1:
      make_scheduled (w, job);
      first_step (job)->is_gang = true;
      break;
    case 2:
      first_step (job)->is_gang = true;
      break;
    case 3:
      first_step (job)->has_checkpoints = true;
      break;
    default:
      break;
    }
  return job;
}

static void
submit_jobs (struct world *w, int *submitted)
{
  for (int i = 0; i < 2 && *submitted < JOBS; i++)
    {
      char *id = g_strdup_printf ("%016x", FIRST_JOB + *submitted);

      world_submit (w, draw_job (w, id));
      ++*submitted;
      g_free (id);
    }
}

static void
change_owner (struct world *w)
{
  switch (g_rand_int_range (w->rand, 0, 3))
    {
    case 0:
      world_take_over (w, false, 0);
      break;
    case 1:
      world_take_over (w, false, g_rand_int_range (w->rand, 500, 8000));
      break;
    default:
      world_take_over (w, true, 0);
      break;
    }
}

/* Draw anew which workers are reachable, and restart one perhaps. */
static void
change_workers (struct world *w)
{
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = g_rand_int_range (w->rand, 0, 4) > 0;
  if (g_rand_int_range (w->rand, 0, 3) == 0)
    world_crash (w, &w->workers[g_rand_int_range (w->rand, 0, WORLD_WORKERS)],
                 true);
}

/* Draw anew whether the store is there.  It may refuse all appends with
   records while it still confirms the owner. */
static void
change_store (struct world *w)
{
  int32_t kind = g_rand_int_range (w->rand, 0, 6);

  w->faults.append_refused = kind < 2 ? 100 : 0;
  w->is_store_unreachable = kind == 2;
}

static void
play_round (struct world *w)
{
  change_workers (w);
  world_run (w, g_rand_int_range (w->rand, 10, 2500));
  change_store (w);
  world_run (w, g_rand_int_range (w->rand, 10, 5000));
  change_owner (w);
  change_workers (w);
  world_run (w, g_rand_int_range (w->rand, 10, 1500));
  change_store (w);
  world_run (w, g_rand_int_range (w->rand, 10, 1500));
}

/* Let the owner reach the store and all workers. */
static void
restore_links (struct world *w)
{
  w->is_store_unreachable = false;
  for (int i = 0; i < WORLD_WORKERS; i++)
    w->workers[i].reachable = true;
}

static void
clear_faults (struct world *w)
{
  w->faults = (struct world_faults){ 0 };
  restore_links (w);
}

/* Partition the owner and some workers from the rest, let successors take over
   on the other side, and heal the partition. */
static void
play_partition (struct world *w)
{
  int32_t alone_ms = g_rand_int_range (w->rand, 200, 4000);

  w->faults.append_refused = 0;
  restore_links (w);
  world_partition (w, g_rand_int_range (w->rand, 1, 1 << WORLD_WORKERS));
  world_run (w, alone_ms);
  if (g_rand_int_range (w->rand, 0, 4) > 0)
    world_take_over (w, false, UNCONFIRMED_OWNER_MS - alone_ms);
  world_run (w, g_rand_int_range (w->rand, 200, 6000));
  if (g_rand_int_range (w->rand, 0, 3) == 0)
    world_crash (w, &w->workers[g_rand_int_range (w->rand, 0, WORLD_WORKERS)],
                 true);
  if (g_rand_int_range (w->rand, 0, 3) == 0)
    {
      world_take_over (w, g_rand_int_range (w->rand, 0, 2), 0);
      world_run (w, g_rand_int_range (w->rand, 10, 2000));
    }
  world_heal_partition (w);
  world_run (w, g_rand_int_range (w->rand, 10, 3000));
}

static void
run_seed (uint32_t seed, bool has_partitions)
{
  struct world *w = world_new (seed);
  int submitted = 0;

  w->run_ms = g_rand_int_range (w->rand, 300, 12000);
  w->max_attempts = 200;
  w->faults = (struct world_faults){ .append_lost = 3, .start_lost = 3 };
  if (has_partitions)
    w->faults = (struct world_faults){ .append_lost = 3,
                                       .append_mute = 3,
                                       .append_late = 3,
                                       .start_lost = 3,
                                       .start_late = 4,
                                       .task_fails = 2 };
  world_run (w, 500);
  for (int i = 0; i < ROUNDS; i++)
    {
      submit_jobs (w, &submitted);
      if (has_partitions && g_rand_int_range (w->rand, 0, 3) == 0)
        play_partition (w);
      else
        play_round (w);
    }
  clear_faults (w);
  world_run (w, 200000);
  world_assert_all_ended (w, seed, FIRST_JOB, submitted);
  world_destroy (w);
}

static void
test_seeds (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (regression_seeds); i++)
    run_seed (regression_seeds[i], false);
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, false);
}

static void
test_partitions (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, true);
}

int
main (int argc, char **argv)
{
  if (argc == 3 && strcmp (argv[1], "--seed") == 0)
    {
      run_seed ((uint32_t)strtoul (argv[2], NULL, 10), false);
      return 0;
    }
  if (argc == 3 && strcmp (argv[1], "--seed-partitions") == 0)
    {
      run_seed ((uint32_t)strtoul (argv[2], NULL, 10), true);
      return 0;
    }
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-kinds/seeds", test_seeds);
  g_test_add_func ("/cell-kinds/partitions", test_partitions);
  return g_test_run ();
}
