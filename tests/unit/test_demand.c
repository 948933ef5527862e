#include "demand.h"

/* A burst is seen by the rate of jobs and their work. */

#define WORKER_MILLI 16000

struct run
{
  struct demand *demand;
  int64_t now_ms;
  uint64_t jobs;
  uint64_t work_milli_s;
};

static void
set_up (struct run *r)
{
  *r = (struct run){ .demand = demand_new (), .now_ms = 1000 };
}

/* For a while, PER_S jobs a second come with so much work each. */
static void
pass (struct run *r, int64_t for_ms, uint64_t per_s, uint64_t job_milli_s)
{
  for (int64_t until_ms = r->now_ms + for_ms; r->now_ms < until_ms;
       r->now_ms += 250)
    {
      uint64_t jobs = per_s * 250 / 1000;

      r->jobs += jobs;
      r->work_milli_s += jobs * job_milli_s;
      demand_note (r->demand, "search", r->jobs, r->work_milli_s, WORKER_MILLI,
                   r->now_ms);
    }
}

static void
test_a_burst_is_seen_within_a_window_and_ends (void)
{
  struct run r;

  set_up (&r);
  pass (&r, 3000, 0, 0);
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), ==, 0);
  pass (&r, 1500, 40, 5000);
  /* 40 jobs a second of 5 core-seconds keep 200 processors busy. */
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), >, 160000);
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), <=, 200000);
  pass (&r, 1500, 0, 0);
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), ==, 0);
  demand_destroy (r.demand);
}

static void
test_one_large_job_is_no_burst (void)
{
  struct run r;

  set_up (&r);
  pass (&r, 2000, 0, 0);
  r.jobs++;
  r.work_milli_s += 500000;
  pass (&r, 2000, 0, 0);
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), ==, 0);
  demand_destroy (r.demand);
}

static void
test_many_small_jobs_are_no_burst (void)
{
  struct run r;

  set_up (&r);
  pass (&r, 2000, 0, 0);
  pass (&r, 2000, 40, 100);
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), ==, 0);
  demand_destroy (r.demand);
}

/* Another owner counts from nothing: that is no work that came. */
static void
test_a_new_owner_counts_anew (void)
{
  struct run r;

  set_up (&r);
  pass (&r, 3000, 40, 5000);
  r.jobs = 0;
  r.work_milli_s = 0;
  pass (&r, 500, 0, 0);
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), ==, 0);
  pass (&r, 1500, 40, 5000);
  g_assert_cmpuint (demand_burst_milli (r.demand, "search"), >, 160000);
  demand_destroy (r.demand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/demand/burst",
                   test_a_burst_is_seen_within_a_window_and_ends);
  g_test_add_func ("/demand/large", test_one_large_job_is_no_burst);
  g_test_add_func ("/demand/small", test_many_small_jobs_are_no_burst);
  g_test_add_func ("/demand/owner", test_a_new_owner_counts_anew);
  return g_test_run ();
}
