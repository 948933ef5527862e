#include "cell_world.h"

#include <stdlib.h>
#include <string.h>

/* Seeded changes of the owner under jobs of all kinds: scheduled ones, gangs,
   consecutive steps, long-running ones, ones whose tasks may run twice.
   Workers become silent, restart and come back, the journal refuses appends
   while the store still confirms the owner, and owners are lost, yield, or go
   on beside a successor. */

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

static const char *const racks[] = { "r0", "r1", "r2" };

/* Let the tasks of JOB's steps run twice, and some of them prefer a rack.
   There are enough of one image for the cell to tell which run takes long. */
static void
allow_duplicates (struct job_spec *job)
{
  for (guint i = 0; i < job->steps->len; i++)
    {
      struct job_step *s = g_ptr_array_index (job->steps, i);

      s->allows_duplicates = true;
      s->has_checkpoints = i % 2 == 1;
      if (!s->is_gang)
        s->count *= 12;
      g_free (s->image);
      s->image = g_strdup ("image");
      if (i == 1)
        {
          g_free (s->preferred_rack);
          s->preferred_rack = g_strdup (racks[job->id[JOB_ID_LENGTH - 1] % 3]);
        }
    }
}

static void
submit_jobs (struct world *w, int *submitted, bool has_duplicates)
{
  int limit = has_duplicates ? 2 * ROUNDS : JOBS;

  for (int i = 0; i < 2 && *submitted < limit; i++)
    {
      char *id = g_strdup_printf ("%016x", FIRST_JOB + *submitted);

      struct job_spec *job = draw_job (w, id);

      if (has_duplicates && job->occurrences == 0)
        allow_duplicates (job);
      world_submit (w, job);
      ++*submitted;
      g_free (id);
    }
}

static void
change_owner (struct world *w)
{
  static const enum world_succession ways[]
      = { WORLD_OWNER_ENDS, WORLD_OWNER_STALE, WORLD_OWNER_YIELDS };

  world_replace_owner (w, ways[g_rand_int_range (w->rand, 0, 3)]);
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
  world_reach_workers (w);
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

/* Let the owner learn run times and start second runs, before something fails.
 */
static void
play_calm (struct world *w)
{
  w->faults.append_refused = 0;
  restore_links (w);
  world_run (w, g_rand_int_range (w->rand, 2000, 8000));
}

/* Return how many second runs of a task were started. */
static uint32_t
run_seed (uint32_t seed, bool has_partitions, bool has_duplicates)
{
  struct world *w = world_new (seed);
  int submitted = 0;
  uint32_t copies;

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
  if (has_duplicates)
    {
      w->run_ms = 200 + w->run_ms / 10;
      w->reports_checkpoints = true;
      w->faults.run_long = 4;
      w->far_rack_factor = 3;
      for (int i = 0; i < WORLD_WORKERS; i++)
        w->workers[i].rack = racks[i % 3];
      w->faults.task_fails = 2;
    }
  world_run (w, 500);
  for (int i = 0; i < ROUNDS; i++)
    {
      submit_jobs (w, &submitted, has_duplicates);
      if (has_duplicates)
        play_calm (w);
      if (has_partitions && g_rand_int_range (w->rand, 0, 3) == 0)
        play_partition (w);
      else
        play_round (w);
    }
  clear_faults (w);
  world_run (w, 200000);
  world_assert_all_ended (w, seed, FIRST_JOB, submitted);
  copies = w->copies;
  world_destroy (w);
  return copies;
}

static void
test_seeds (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (regression_seeds); i++)
    run_seed (regression_seeds[i], false, false);
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, false, false);
}

static void
test_partitions (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, true, false);
}

/* Guards against a third run of a task, a run after it was done, and ends that
   a new owner loses, where tasks have second runs; and against a wait for a
   rack without an end. */
static void
test_duplicates (void)
{
  uint32_t copies = 0;

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    copies += run_seed (seed, seed % 2 == 0, true);
  g_assert_cmpuint (copies, >, SEEDS);
}

int
main (int argc, char **argv)
{
  if (argc == 3 && strcmp (argv[1], "--seed") == 0)
    {
      run_seed ((uint32_t)strtoul (argv[2], NULL, 10), false, false);
      return 0;
    }
  if (argc == 3 && strcmp (argv[1], "--seed-partitions") == 0)
    {
      run_seed ((uint32_t)strtoul (argv[2], NULL, 10), true, false);
      return 0;
    }
  if (argc == 3 && strcmp (argv[1], "--seed-duplicates") == 0)
    {
      uint32_t seed = (uint32_t)strtoul (argv[2], NULL, 10);

      g_print ("copies=%u\n", run_seed (seed, seed % 2 == 0, true));
      return 0;
    }
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-kinds/seeds", test_seeds);
  g_test_add_func ("/cell-kinds/partitions", test_partitions);
  g_test_add_func ("/cell-kinds/duplicates", test_duplicates);
  return g_test_run ();
}
