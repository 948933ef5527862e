#include "demand.h"

#include <stdbool.h>

/* The rate of jobs is taken over so long: longer smooths single large jobs,
   shorter sees a burst earlier. */
#define WINDOW_MS 1200
/* Samples kept of a service; they come four times a second. */
#define SAMPLES 16
/* Fewer jobs in a window, or less work than keeps so many workers busy, are no
   burst. */
#define BURST_JOBS_MIN 3
#define BURST_WORKERS_MIN 2
/* A burst begins above one share of the highest rate seen and ends below a
   smaller one, so that it is not broken by a pause between two jobs. */
#define BEGIN_PERCENT 40
#define END_PERCENT 20
/* A rate that has grown by so much since a burst was seen to begin shows that
   it begins only now. */
#define ONSET_GROWTH 3
/* Periods outside these bounds are taken for chance. */
#define PERIOD_MIN_MS 4000
#define PERIOD_MAX_MS 120000
/* A burst that has not begun so long after it was due is not expected any
   more. */
#define OVERDUE_MS 1000

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
  bool is_busy;
  int64_t onset_ms; /* of the last burst; 0 before the first */
  uint64_t onset_jobs;
  struct sample onset;
  uint64_t level_milli; /* processors that the last burst kept busy */
};

struct demand
{
  int64_t lead_ms;
  GHashTable *services; /* name to struct service_demand * */
  int64_t last_onset_ms;
  const char *last_service; /* whose burst began last; a key of the table */
  int64_t turn_ms;          /* from a service's burst to the next one's */
  int64_t period_ms;        /* between two bursts of one service */
};

struct demand *
demand_new (int64_t lead_ms)
{
  struct demand *d = g_new0 (struct demand, 1);

  d->lead_ms = lead_ms;
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

static void
add_sample (struct service_demand *s, const struct sample *sample)
{
  if (s->n_samples > 0
      && (sample->jobs < newest_sample (s)->jobs
          || sample->work_milli_s < newest_sample (s)->work_milli_s))
    s->n_samples = 0;
  s->newest = (s->newest + 1) % SAMPLES;
  s->samples[s->newest] = *sample;
  s->n_samples = MIN (s->n_samples + 1, SAMPLES);
}

/* Return the processors that the jobs between two samples keep busy. */
static uint64_t
rate_milli (const struct sample *from, const struct sample *to)
{
  int64_t span_ms = to->at_ms - from->at_ms;

  if (span_ms <= 0 || to->work_milli_s < from->work_milli_s)
    return 0;
  return (to->work_milli_s - from->work_milli_s) * 1000 / (uint64_t)span_ms;
}

static bool
is_plausible (int64_t period_ms)
{
  return period_ms >= PERIOD_MIN_MS && period_ms <= PERIOD_MAX_MS;
}

static void
begin_burst (struct demand *d, const char *name, struct service_demand *s,
             uint64_t jobs, int64_t now_ms)
{
  int64_t since_ms = now_ms - s->onset_ms;

  if (s->onset_ms != 0 && is_plausible (since_ms))
    d->period_ms = since_ms;
  if (d->last_service != NULL && !g_str_equal (d->last_service, name)
      && now_ms - d->last_onset_ms >= PERIOD_MIN_MS / 2)
    d->turn_ms = now_ms - d->last_onset_ms;
  d->last_onset_ms = now_ms;
  d->last_service = name;
  s->is_busy = true;
  s->onset_ms = now_ms;
  s->onset_jobs = jobs;
  s->onset = *window_start (s);
}

static bool
is_burst (const struct service_demand *s, uint64_t lately,
          uint64_t worker_milli)
{
  return lately >= BURST_JOBS_MIN
         && lately * 100 >= s->peak_jobs * BEGIN_PERCENT
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
  gpointer name;

  g_hash_table_lookup_extended (demand->services, service, &name, NULL);
  add_sample (s, &sample);
  lately = jobs - window_start (s)->jobs;
  s->peak_jobs = MAX (s->peak_jobs, lately);
  if (!s->is_busy)
    {
      if (is_burst (s, lately, worker_milli))
        begin_burst (demand, name, s, lately, now_ms);
    }
  else if (lately > s->onset_jobs * ONSET_GROWTH
           && now_ms > s->onset_ms + WINDOW_MS)
    {
      s->onset_ms = 0; /* what was seen before was none */
      begin_burst (demand, name, s, lately, now_ms);
    }
  else if (lately * 100 < s->peak_jobs * END_PERCENT)
    s->is_busy = false;
  if (s->is_busy && s->n_samples > 1)
    s->level_milli = s->onset.work_milli_s <= work_milli_s
                         ? rate_milli (&s->onset, &sample)
                         : rate_milli (window_start (s), &sample);
}

/* The period of all services: as seen, or as many turns as there are
   services. */
static int64_t
period_ms (const struct demand *d)
{
  if (d->period_ms != 0)
    return d->period_ms;
  return d->turn_ms * g_hash_table_size (d->services);
}

static bool
is_due (const struct demand *d, int64_t due_ms, int64_t now_ms)
{
  return now_ms >= due_ms - d->lead_ms && now_ms <= due_ms + OVERDUE_MS;
}

/* What a service that has had no burst yet may ask for in the next turn: as
   much as the others did on average, shared among those of its kind. */
static uint64_t
level_of_unseen (const struct demand *d)
{
  uint64_t sum = 0;
  uint32_t seen = 0;
  uint32_t unseen = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service_demand *s = value;

      if (s->onset_ms == 0)
        unseen++;
      else
        {
          seen++;
          sum += s->level_milli;
        }
    }
  return seen == 0 || unseen == 0 ? 0 : sum / seen / unseen;
}

uint64_t
demand_expected_milli (const struct demand *demand, const char *service,
                       int64_t now_ms)
{
  const struct service_demand *s
      = g_hash_table_lookup (demand->services, service);

  if (s == NULL)
    return 0;
  if (s->is_busy)
    return s->level_milli;
  if (s->onset_ms != 0)
    return period_ms (demand) != 0
                   && is_due (demand, s->onset_ms + period_ms (demand), now_ms)
               ? s->level_milli
               : 0;
  if (demand->turn_ms == 0
      || !is_due (demand, demand->last_onset_ms + demand->turn_ms, now_ms))
    return 0;
  return level_of_unseen (demand);
}
