#include "demand.h"

#include <stdbool.h>

/* The rate of jobs is taken over so long: longer smooths single large jobs,
   shorter sees a burst earlier. */
#define WINDOW_MS 1200
/* Samples kept of a service; they come four times a second. */
#define SAMPLES 16
/* What came within less is no rate yet. */
#define RATE_MIN_MS 600
/* Fewer jobs in a window, or less work than keeps so many workers busy, are no
   burst. */
#define BURST_JOBS_MIN 3
#define BURST_WORKERS_MIN 2
/* A burst begins above one share of the highest rate seen and ends below a
   smaller one, so that it is not broken by a pause between two jobs. */
#define BEGIN_PERCENT 40
#define END_PERCENT 20

struct sample
{
  int64_t at_ms;
  uint64_t jobs;
  uint64_t work_milli_s;
};

struct service_demand
{
  struct sample samples[SAMPLES]; /* a ring */
  uint32_t n_samples;
  uint32_t newest;
  uint64_t peak_jobs; /* of one window */
  bool is_burst;
  struct sample onset;  /* the last one before the burst's first job */
  uint64_t level_milli; /* processors that the burst keeps busy */
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

/* Return the newest sample that is a window old, or the oldest one. */
static const struct sample *
window_start (const struct service_demand *s)
{
  const struct sample *best = newest_sample (s);

  for (uint32_t i = 1; i < s->n_samples; i++)
    {
      best = &s->samples[(s->newest + SAMPLES - i) % SAMPLES];
      if (best->at_ms <= newest_sample (s)->at_ms - WINDOW_MS)
        break;
    }
  return best;
}

/* Return the newest sample before the window's first job. */
static const struct sample *
last_quiet (const struct service_demand *s)
{
  const struct sample *start = window_start (s);
  const struct sample *best = newest_sample (s);

  for (uint32_t i = 1; best->jobs != start->jobs; i++)
    best = &s->samples[(s->newest + SAMPLES - i) % SAMPLES];
  return best;
}

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
  s->newest = (s->newest + 1) % SAMPLES;
  s->samples[s->newest] = *sample;
  s->n_samples = MIN (s->n_samples + 1, SAMPLES);
}

/* Return the processors that the jobs between two samples keep busy. */
static uint64_t
rate_milli (const struct sample *from, const struct sample *to)
{
  int64_t span_ms = MAX (to->at_ms - from->at_ms, RATE_MIN_MS);

  return (to->work_milli_s - from->work_milli_s) * 1000 / (uint64_t)span_ms;
}

static bool
begins (const struct service_demand *s, uint64_t jobs, uint64_t worker_milli)
{
  return jobs >= BURST_JOBS_MIN && jobs * 100 >= s->peak_jobs * BEGIN_PERCENT
         && rate_milli (window_start (s), newest_sample (s))
                >= BURST_WORKERS_MIN * worker_milli;
}

void
demand_note (struct demand *demand, const char *service, uint64_t jobs,
             uint64_t work_milli_s, uint64_t worker_milli, int64_t now_ms)
{
  struct service_demand *s = find_service (demand, service);
  struct sample sample = { now_ms, jobs, work_milli_s };
  uint64_t lately;

  add_sample (s, &sample);
  lately = jobs - window_start (s)->jobs;
  s->peak_jobs = MAX (s->peak_jobs, lately);
  if (!s->is_burst && begins (s, lately, worker_milli))
    {
      s->is_burst = true;
      s->onset = *last_quiet (s);
    }
  else if (lately * 100 < s->peak_jobs * END_PERCENT)
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
