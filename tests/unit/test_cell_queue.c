#include "cell_world.h"

/* More work than a cell's workers can start, on virtual time: what can still
   end in time does, and nothing that was accepted is dropped. */

#define TASKS 8
/* Jobs that the workers can run a second: 6 workers of 16 cores, tasks of one
   core and half a second on average. */
#define CAPACITY_JOBS 24
#define TARGET_MS 100
/* The users' objective: 1.6 times the longest task of the job, 0.7 s on
   average, and the target.  The estimate of 0.5 s is rough. */
#define DEADLINE_MS (1120 + TARGET_MS)
#define MAX_JOBS 400

struct load
{
  guint jobs; /* submitted so far, with the IDs 0, 1, ... */
  int64_t submitted_ms[MAX_JOBS];
  int64_t ended_ms[MAX_JOBS]; /* 0 until then */
};

static void
submit_job (struct world *w, struct load *load)
{
  char *id = g_strdup_printf ("%016x", load->jobs);
  struct job_spec *spec = world_job (w, id, 1, TASKS);

  g_assert_cmpuint (load->jobs, <, MAX_JOBS);
  spec->target_ms = TARGET_MS;
  world_submit (w, spec);
  load->submitted_ms[load->jobs++] = w->now_ms;
  g_free (id);
}

static void
note_ended_jobs (struct world *w, struct load *load)
{
  for (guint i = 0; i < load->jobs; i++)
    {
      char *id = g_strdup_printf ("%016x", i);

      if (load->ended_ms[i] == 0 && world_state (w, id) == JOB_COMPLETED)
        load->ended_ms[i] = w->now_ms;
      g_free (id);
    }
}

/* Submit JOBS_PER_S jobs a second for FOR_MS. */
static void
run_load (struct world *w, struct load *load, int64_t jobs_per_s,
          int64_t for_ms)
{
  int64_t begin_ms = w->now_ms;
  guint before = load->jobs;

  while (w->now_ms < begin_ms + for_ms)
    {
      while ((load->jobs - before) * 1000
             < (w->now_ms - begin_ms) * jobs_per_s)
        submit_job (w, load);
      world_run (w, 10);
      note_ended_jobs (w, load);
    }
}

/* Return how many of the jobs FROM to TO - 1 have ended in time. */
static guint
count_in_time (const struct load *load, guint from, guint to)
{
  guint n = 0;

  for (guint i = from; i < to; i++)
    if (load->ended_ms[i] != 0
        && load->ended_ms[i] <= load->submitted_ms[i] + DEADLINE_MS)
      n++;
  return n;
}

/* Twice as many jobs as the workers can run, for 5 s: half of them could end
   in time.  Two fifths of the workers are for jobs with a last chance; four
   fifths of what the rest can do ends in time. */
static void
test_overload (void)
{
  struct world *w = world_new (1);
  struct load load = { 0 };

  world_run (w, 2000);
  run_load (w, &load, 2 * CAPACITY_JOBS, 5000);
  run_load (w, &load, 0, 12000);
  g_test_message ("in time %u of %u", count_in_time (&load, 0, load.jobs),
                  load.jobs);
  g_assert_cmpuint (count_in_time (&load, 0, load.jobs) * 10, >=,
                    load.jobs * 24 / 10);
  g_assert_cmpuint (world_count_state (w, load.jobs, JOB_COMPLETED), ==,
                    load.jobs);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Work of 4 s waits after an outage, and two thirds of what the workers can
   run keep coming: nine in ten of these jobs end in time, before the work that
   is late already, which ends as well. */
static void
test_backlog_after_an_outage (void)
{
  struct world *w = world_new (2);
  struct load load = { 0 };
  guint backlog;

  world_run (w, 2000);
  for (int i = 0; i < 4 * CAPACITY_JOBS; i++)
    submit_job (w, &load);
  backlog = load.jobs;
  world_run (w, 1000);
  run_load (w, &load, CAPACITY_JOBS * 2 / 3, 8000);
  run_load (w, &load, 0, 12000);
  g_test_message ("in time %u of %u",
                  count_in_time (&load, backlog, load.jobs),
                  load.jobs - backlog);
  g_assert_cmpuint (count_in_time (&load, backlog, load.jobs) * 10, >=,
                    (load.jobs - backlog) * 9);
  g_assert_cmpuint (world_count_state (w, load.jobs, JOB_COMPLETED), ==,
                    load.jobs);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* A little more than the workers can run, for 5 s: one job in eight has to be
   late, and no more than one in five is. */
static void
test_slight_overload (void)
{
  struct world *w = world_new (3);
  struct load load = { 0 };

  world_run (w, 2000);
  run_load (w, &load, CAPACITY_JOBS * 23 / 20, 5000);
  run_load (w, &load, 0, 12000);
  g_test_message ("in time %u of %u", count_in_time (&load, 0, load.jobs),
                  load.jobs);
  g_assert_cmpuint (count_in_time (&load, 0, load.jobs) * 10, >=,
                    load.jobs * 8);
  world_assert_no_violations (w);
  world_destroy (w);
}

/* Half more than the workers can run, for 2 s, as until a pool has grown, and
   then two thirds: each job ends before three times its objective has passed.
 */
static void
test_nobody_starves (void)
{
  struct world *w = world_new (4);
  struct load load = { 0 };
  int64_t longest_ms = 0;

  world_run (w, 2000);
  run_load (w, &load, CAPACITY_JOBS * 3 / 2, 2000);
  run_load (w, &load, CAPACITY_JOBS * 2 / 3, 3000);
  run_load (w, &load, 0, 12000);
  for (guint i = 0; i < load.jobs; i++)
    {
      g_assert_cmpint (load.ended_ms[i], >, 0);
      longest_ms = MAX (longest_ms, load.ended_ms[i] - load.submitted_ms[i]);
    }
  g_test_message ("in time %u of %u, the last after %" G_GINT64_FORMAT " ms",
                  count_in_time (&load, 0, load.jobs), load.jobs, longest_ms);
  g_assert_cmpint (longest_ms, <=, 3 * DEADLINE_MS);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-queue/overload", test_overload);
  g_test_add_func ("/cell-queue/slight-overload", test_slight_overload);
  g_test_add_func ("/cell-queue/nobody-starves", test_nobody_starves);
  g_test_add_func ("/cell-queue/backlog", test_backlog_after_an_outage);
  return g_test_run ();
}
