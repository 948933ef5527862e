#include "estimate.h"

#include <glib.h>
#include <math.h>

/* Four buckets to each doubling, from 1 ms to about four and a half hours. */
#define BUCKETS_PER_DOUBLING 4
#define N_BUCKETS 96
#define PRIOR_WEIGHT 8
#define WEIGHT_MAX 1024 /* all counts are halved there: old runs fade */
#define REFRESH_EVERY 16
#define STRAGGLER_FACTOR 8

struct estimate
{
  uint32_t counts[N_BUCKETS];
  uint32_t total;
  uint32_t unread; /* notes since the figures below were worked out */
  int64_t median_ms;
  int64_t mean_us;
};

static uint32_t
bucket_of (int64_t run_ms)
{
  double place = log2 ((double)MAX (run_ms, 1)) * BUCKETS_PER_DOUBLING;

  return MIN ((uint32_t)place, N_BUCKETS - 1);
}

/* The middle of BUCKET in milliseconds. */
static double
bucket_ms (uint32_t bucket)
{
  return exp2 ((bucket + 0.5) / BUCKETS_PER_DOUBLING);
}

static void
refresh (struct estimate *e)
{
  uint32_t seen = 0;
  uint32_t median = 0;
  uint32_t last;
  double sum_ms = 0;
  uint32_t n = 0;

  while (median < N_BUCKETS - 1 && (seen += e->counts[median]) * 2 < e->total)
    median++;
  e->median_ms = MAX ((int64_t)bucket_ms (median), 1);
  last = bucket_of (e->median_ms * STRAGGLER_FACTOR);
  for (uint32_t i = 0; i <= last; i++)
    {
      sum_ms += e->counts[i] * bucket_ms (i);
      n += e->counts[i];
    }
  e->mean_us = MAX ((int64_t)(1000.0 * sum_ms / MAX (n, 1)), 1);
  e->unread = 0;
}

static void
fade (struct estimate *e)
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
    fade (estimate);
  if (++estimate->unread >= REFRESH_EVERY)
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
