#include "estimate.h"

#include <glib.h>
#include <math.h>

/* A histogram of the run times on a logarithmic scale: four buckets for each
   doubling, from 1 ms to about four and a half hours. */
#define BUCKETS_PER_DOUBLING 4
#define N_BUCKETS 96
/* Number of runs that the expected run time counts for. */
#define PRIOR_WEIGHT 8
/* Above this total all counts are halved, so that the weight of old runs
   decreases. */
#define WEIGHT_MAX 1024
#define REFRESH_EVERY_RUNS 16
/* A run is a straggler from this many times the median on. */
#define STRAGGLER_FACTOR 8

struct estimate
{
  uint32_t counts[N_BUCKETS];
  uint32_t total;
  uint32_t runs_since_refresh; /* of the two figures below */
  int64_t median_ms;
  int64_t mean_us;
};

static uint32_t
bucket_of (int64_t run_ms)
{
  double position = log2 ((double)MAX (run_ms, 1)) * BUCKETS_PER_DOUBLING;

  return MIN ((uint32_t)position, N_BUCKETS - 1);
}

/* Return the middle (on the logarithmic scale) of BUCKET, in milliseconds. */
static double
bucket_ms (uint32_t bucket)
{
  return exp2 ((bucket + 0.5) / BUCKETS_PER_DOUBLING);
}

static void
refresh (struct estimate *e)
{
  uint32_t cumulated = 0;
  uint32_t median = 0;
  uint32_t last;
  double sum_ms = 0;
  uint32_t n = 0;

  while (median < N_BUCKETS - 1
         && (cumulated += e->counts[median]) * 2 < e->total)
    median++;
  e->median_ms = MAX ((int64_t)bucket_ms (median), 1);
  last = bucket_of (e->median_ms * STRAGGLER_FACTOR);
  for (uint32_t i = 0; i <= last; i++)
    {
      sum_ms += e->counts[i] * bucket_ms (i);
      n += e->counts[i];
    }
  e->mean_us = MAX ((int64_t)(1000.0 * sum_ms / MAX (n, 1)), 1);
  e->runs_since_refresh = 0;
}

static void
halve_counts (struct estimate *e)
{
  e->total = 0;
  for (uint32_t i = 0; i < N_BUCKETS; i++)
    {
      e->counts[i] /= 2;
      e->total += e->counts[i];
    }
}

struct estimate *
estimate_new (int64_t expected_ms)
{
  struct estimate *e = g_new0 (struct estimate, 1);

  e->counts[bucket_of (expected_ms)] = PRIOR_WEIGHT;
  e->total = PRIOR_WEIGHT;
  refresh (e);
  return e;
}

void
estimate_destroy (struct estimate *estimate)
{
  g_free (estimate);
}

void
estimate_note (struct estimate *estimate, int64_t run_ms)
{
  estimate->counts[bucket_of (run_ms)]++;
  if (++estimate->total > WEIGHT_MAX)
    halve_counts (estimate);
  if (++estimate->runs_since_refresh >= REFRESH_EVERY_RUNS)
    refresh (estimate);
}

int64_t
estimate_median_ms (const struct estimate *estimate)
{
  return estimate->median_ms;
}

int64_t
estimate_mean_us (const struct estimate *estimate)
{
  return estimate->mean_us;
}

int64_t
estimate_straggler_ms (const struct estimate *estimate)
{
  return estimate->median_ms * STRAGGLER_FACTOR;
}
