#include "demand.h"

#include <stdbool.h>

/* Window over which the rate of jobs is measured.  A longer one smooths single
   large jobs, a shorter one detects a burst earlier. */
#define WINDOW_MS 1200
/* Samples kept per service; they are taken four times a second. */
#define MAX_SAMPLES 16
/* Minimum interval of a rate.  A shorter one gives no reliable rate yet and
   counts as this long. */
#define RATE_MIN_MS 600
/* A burst has at least this many jobs in a window, and work that keeps at
   least this many workers busy. */
#define BURST_JOBS_MIN 3
#define BURST_WORKERS_MIN 2
/* Hysteresis, in percent of the highest number of jobs seen in a window: a
   burst begins at the first share and ends below the second, so that a pause
   between two jobs does not end it. */
#define BURST_BEGIN_PERCENT 40
#define BURST_END_PERCENT 20

struct sample
{
  int64_t at_ms;
  uint64_t jobs;
  uint64_t work_milli_s;
};

struct service_demand
{
  struct sample samples[MAX_SAMPLES]; /* ring buffer */
  uint32_t n_samples;
  uint32_t newest;    /* index of the newest sample */
  uint64_t peak_jobs; /* most jobs seen in one window */
  bool is_burst;
  struct sample onset;  /* last sample before the burst's first job */
  uint64_t level_milli; /* thousandths of a core that the burst keeps busy */
};

struct demand
{
  GHashTable *services; /* name to struct service_demand * */
};

struct demand *
demand_new (void)
{
  struct demand *d = g_new0 (struct demand, 1);

  d->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return d;
}

void
demand_destroy (struct demand *demand)
{
  if (demand == NULL)
    return;
  g_hash_table_unref (demand->services);
  g_free (demand);
}

static struct service_demand *
find_service (struct demand *d, const char *service)
{
  struct service_demand *s = g_hash_table_lookup (d->services, service);

  if (s == NULL)
    {
      s = g_new0 (struct service_demand, 1);
      g_hash_table_insert (d->services, g_strdup (service), s);
    }
  return s;
}

static const struct sample *
newest_sample (const struct service_demand *s)
{
  return &s->samples[s->newest];
}

/* Return the newest sample that is at least WINDOW_MS old, or the oldest one
   if there is none. */
static const struct sample *
window_start (const struct service_demand *s)
{
  const struct sample *found = newest_sample (s);

  for (uint32_t i = 1; i < s->n_samples; i++)
    {
      found = &s->samples[(s->newest + MAX_SAMPLES - i) % MAX_SAMPLES];
      if (found->at_ms <= newest_sample (s)->at_ms - WINDOW_MS)
        break;
    }
  return found;
}

/* Return the newest sample taken before the window's first job. */
static const struct sample *
sample_before_first_job (const struct service_demand *s)
{
  const struct sample *start = window_start (s);
  const struct sample *found = newest_sample (s);

  for (uint32_t i = 1; found->jobs != start->jobs; i++)
    found = &s->samples[(s->newest + MAX_SAMPLES - i) % MAX_SAMPLES];
  return found;
}

/* Add SAMPLE; counts lower than before come from a new owner of the cell. */
static void
add_sample (struct service_demand *s, const struct sample *sample)
{
  if (s->n_samples > 0
      && (sample->jobs < newest_sample (s)->jobs
          || sample->work_milli_s < newest_sample (s)->work_milli_s))
    {
      s->n_samples = 0;
      s->is_burst = false;
    }
  s->newest = (s->newest + 1) % MAX_SAMPLES;
  s->samples[s->newest] = *sample;
  s->n_samples = MIN (s->n_samples + 1, MAX_SAMPLES);
}

/* Return the processors, in thousandths of a core, that the jobs accepted
   between two samples keep busy. */
static uint64_t
rate_milli (const struct sample *from, const struct sample *to)
{
  int64_t span_ms = MAX (to->at_ms - from->at_ms, RATE_MIN_MS);

  return (to->work_milli_s - from->work_milli_s) * 1000 / (uint64_t)span_ms;
}

/* Return whether a burst begins, with WINDOW_JOBS jobs in the window. */
static bool
burst_begins (const struct service_demand *s, uint64_t window_jobs,
              uint64_t worker_milli)
{
  return window_jobs >= BURST_JOBS_MIN
         && window_jobs * 100 >= s->peak_jobs * BURST_BEGIN_PERCENT
         && rate_milli (window_start (s), newest_sample (s))
                >= BURST_WORKERS_MIN * worker_milli;
}

void
demand_record (struct demand *demand, const char *service, uint64_t jobs,
               uint64_t work_milli_s, uint64_t worker_milli, int64_t now_ms)
{
  struct service_demand *s = find_service (demand, service);
  struct sample sample = { now_ms, jobs, work_milli_s };
  uint64_t window_jobs;

  add_sample (s, &sample);
  window_jobs = jobs - window_start (s)->jobs;
  s->peak_jobs = MAX (s->peak_jobs, window_jobs);
  if (!s->is_burst && burst_begins (s, window_jobs, worker_milli))
    {
      s->is_burst = true;
      s->onset = *sample_before_first_job (s);
    }
  else if (window_jobs * 100 < s->peak_jobs * BURST_END_PERCENT)
    s->is_burst = false;
  if (s->is_burst)
    s->level_milli = rate_milli (&s->onset, &sample);
}

uint64_t
demand_burst_milli (const struct demand *demand, const char *service)
{
  const struct service_demand *s
      = g_hash_table_lookup (demand->services, service);

  return s != NULL && s->is_burst ? s->level_milli : 0;
}
