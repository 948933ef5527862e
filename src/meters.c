#include "meters.h"

static const char *const meter_names[METER_COUNT] = {
  [METER_JOBS_ACCEPTED] = "jobs_accepted",
  [METER_JOBS_REFUSED_STORE_UNREACHABLE]
  = "jobs_refused{reason=\"store-away\"}",
  [METER_JOBS_REFUSED_NO_OWNER] = "jobs_refused{reason=\"no-owner\"}",
  [METER_JOBS_REFUSED_FULL] = "jobs_refused{reason=\"full\"}",
  [METER_JOBS_REFUSED_RATE] = "jobs_refused{reason=\"rate\"}",
  [METER_JOBS_UNCLEAR] = "jobs_unclear",
  [METER_JOBS_CANCELLED] = "jobs_cancelled",
  [METER_REQUESTS_INVALID] = "requests_invalid",
  [METER_REQUESTS_NO_QUEUE] = "requests_no_queue",
  [METER_REQUESTS_NO_ACCOUNT] = "requests_no_account",
  [METER_STARTS] = "starts",
  [METER_STARTS_NO_ANSWER] = "starts_retried{reason=\"no-answer\"}",
  [METER_STARTS_NO_ROOM] = "starts_retried{reason=\"no-room\"}",
  [METER_STARTS_REFUSED] = "starts_retried{reason=\"refused\"}",
  [METER_ORDERS_RELAYED] = "orders_relayed",
  [METER_STOPS] = "stops",
  [METER_HOLDS] = "holds",
  [METER_HOLDS_NO_ANSWER] = "holds_retried{reason=\"no-answer\"}",
  [METER_MACHINE_LISTS] = "machine_lists",
  [METER_PACES] = "paces",
  [METER_ADVICE_CALLS] = "advice_calls",
  [METER_ADVICE_NO_ANSWER] = "advice_no_answer",
  [METER_APPENDS] = "appends",
  [METER_APPENDS_REFUSED] = "appends_retried{reason=\"refused\"}",
  [METER_APPENDS_UNCLEAR] = "appends_retried{reason=\"unclear\"}",
  [METER_APPENDS_FENCED] = "appends_fenced",
  [METER_FORWARDS] = "forwards",
  [METER_FORWARDS_RETRIED] = "forwards_retried",
  [METER_TAKEOVERS] = "takeovers",
  [METER_CELLS_LOST] = "cells_lost",
  [METER_WORKER_ENTRIES_MALFORMED] = "worker_entries_malformed",
  [METER_RECORDS_UNREADABLE] = "records_unreadable",
  [METER_UPKEEPS] = "upkeeps",
  [METER_MOVES] = "moves",
  [METER_MACHINE_ORDERS_RETRIED] = "machine_orders_retried",
  [METER_CLIENTS_CLOSED_MEMORY] = "clients_closed{reason=\"memory\"}",
  [METER_CLIENTS_CLOSED_CONNECTIONS]
  = "clients_closed{reason=\"connections\"}",
  [METER_CLIENTS_CLOSED_SOURCE] = "clients_closed{reason=\"source\"}",
  [METER_CLIENTS_CLOSED_SLOW_HEAD] = "clients_closed{reason=\"slow-head\"}",
  [METER_CLIENTS_REFUSED] = "clients_refused",
  [METER_REQUESTS_REFUSED_OPEN] = "requests_refused{reason=\"open\"}",
};

static const char *const histogram_names[HISTOGRAM_COUNT] = {
  [HISTOGRAM_ACCEPT] = "accept_ms",
  [HISTOGRAM_APPEND] = "append_ms",
  [HISTOGRAM_START] = "start_ms",
  [HISTOGRAM_ADVICE] = "advice_ms",
};

/* Upper bounds of the buckets; the last bucket has none. */
static const int64_t bucket_bounds_ms[]
    = { 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

#define N_BUCKETS (G_N_ELEMENTS (bucket_bounds_ms) + 1)

struct meters
{
  uint64_t counts[METER_COUNT];
  uint64_t buckets[HISTOGRAM_COUNT][N_BUCKETS]; /* durations in each bucket */
  int64_t sums_ms[HISTOGRAM_COUNT];
};

struct meters *
meters_new (void)
{
  return g_new0 (struct meters, 1);
}

void
meters_destroy (struct meters *meters)
{
  g_free (meters);
}

void
meters_add (struct meters *meters, enum meter meter, uint64_t amount)
{
  meters->counts[meter] += amount;
}

void
meters_observe (struct meters *meters, enum histogram histogram,
                int64_t value_ms)
{
  gsize i = 0;

  while (i < G_N_ELEMENTS (bucket_bounds_ms) && value_ms > bucket_bounds_ms[i])
    i++;
  meters->buckets[histogram][i]++;
  meters->sums_ms[histogram] += value_ms;
}

uint64_t
meters_get (const struct meters *meters, enum meter meter)
{
  return meters->counts[meter];
}

void
meters_render (const struct meters *meters, GString *out)
{
  for (int i = 0; i < METER_COUNT; i++)
    g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n", meter_names[i],
                            meters->counts[i]);
  for (int h = 0; h < HISTOGRAM_COUNT; h++)
    {
      uint64_t total = 0;

      for (gsize i = 0; i < N_BUCKETS; i++)
        {
          total += meters->buckets[h][i];
          if (i < G_N_ELEMENTS (bucket_bounds_ms))
            g_string_append_printf (out,
                                    "%s_bucket{le=\"%" G_GINT64_FORMAT
                                    "\"} %" G_GUINT64_FORMAT "\n",
                                    histogram_names[h], bucket_bounds_ms[i],
                                    total);
        }
      g_string_append_printf (
          out, "%s_count %" G_GUINT64_FORMAT "\n%s_sum %" G_GINT64_FORMAT "\n",
          histogram_names[h], total, histogram_names[h], meters->sums_ms[h]);
    }
}
