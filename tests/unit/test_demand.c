#include "demand.h"

/* Tests that a burst is detected by the rate of jobs and by their work. */

#define WORKER_MILLI 16000

struct fixture
{
  struct demand *demand;
  int64_t now_ms;
  uint64_t jobs;
  uint64_t work_milli_s;
};

static void
set_up (struct fixture *f)
{
  *f = (struct fixture){ .demand = demand_new (), .now_ms = 1000 };
}

/* Let FOR_MS pass in which PER_S jobs a second are accepted, each with
   JOB_MILLI_S millicore-seconds of work. */
static void
accept_jobs (struct fixture *f, int64_t for_ms, uint64_t per_s,
             uint64_t job_milli_s)
{
  for (int64_t until_ms = f->now_ms + for_ms; f->now_ms < until_ms;
       f->now_ms += 250)
    {
      uint64_t jobs = per_s * 250 / 1000;

      f->jobs += jobs;
      f->work_milli_s += jobs * job_milli_s;
      demand_record (f->demand, "search", f->jobs, f->work_milli_s,
                     WORKER_MILLI, f->now_ms);
    }
}

static void
test_burst_is_detected_within_window_and_ends (void)
{
  struct fixture f;

  set_up (&f);
  accept_jobs (&f, 3000, 0, 0);
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), ==, 0);
  accept_jobs (&f, 1500, 40, 5000);
  /* 40 jobs a second of 5 core-seconds keep 200 processors busy. */
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), >, 160000);
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), <=, 200000);
  accept_jobs (&f, 1500, 0, 0);
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), ==, 0);
  demand_destroy (f.demand);
}

static void
test_one_large_job_is_no_burst (void)
{
  struct fixture f;

  set_up (&f);
  accept_jobs (&f, 2000, 0, 0);
  f.jobs++;
  f.work_milli_s += 500000;
  accept_jobs (&f, 2000, 0, 0);
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), ==, 0);
  demand_destroy (f.demand);
}

static void
test_many_small_jobs_are_no_burst (void)
{
  struct fixture f;

  set_up (&f);
  accept_jobs (&f, 2000, 0, 0);
  accept_jobs (&f, 2000, 40, 100);
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), ==, 0);
  demand_destroy (f.demand);
}

/* A new owner of the cell counts from 0: the difference to the earlier counts
   is no work, and the burst detected from them ends. */
static void
test_new_owner_resets_counts (void)
{
  struct fixture f;

  set_up (&f);
  accept_jobs (&f, 3000, 40, 5000);
  f.jobs = 0;
  f.work_milli_s = 0;
  accept_jobs (&f, 500, 0, 0);
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), ==, 0);
  accept_jobs (&f, 1500, 40, 5000);
  g_assert_cmpuint (demand_burst_milli (f.demand, "search"), >, 160000);
  demand_destroy (f.demand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/demand/burst",
                   test_burst_is_detected_within_window_and_ends);
  g_test_add_func ("/demand/large", test_one_large_job_is_no_burst);
  g_test_add_func ("/demand/small", test_many_small_jobs_are_no_burst);
  g_test_add_func ("/demand/owner", test_new_owner_resets_counts);
  return g_test_run ();
}
