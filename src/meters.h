#ifndef METERS_H
#define METERS_H

#include <glib.h>
#include <stdint.h>

/* Counters and latency histograms of a node that schedules jobs.  Only the
   node's one thread uses them, so they take no lock. */

enum meter
{
  METER_JOBS_ACCEPTED,
  METER_JOBS_REFUSED_STORE, /* the store did not accept them in time */
  METER_JOBS_REFUSED_OWNER, /* no owner could be reached */
  METER_JOBS_UNCLEAR,
  METER_JOBS_CANCELLED,
  METER_REQUESTS_INVALID,
  METER_REQUESTS_NO_QUEUE,
  METER_STARTS,
  METER_STARTS_NO_ANSWER,
  METER_STARTS_NO_ROOM,
  METER_STARTS_REFUSED,
  METER_STOPS,
  METER_HOLDS,
  METER_HOLDS_NO_ANSWER,
  METER_PACES,
  METER_ADVICE_CALLS,
  METER_APPENDS,
  METER_APPENDS_REFUSED,
  METER_APPENDS_UNCLEAR,
  METER_APPENDS_FENCED,
  METER_FORWARDS,
  METER_FORWARDS_RETRIED,
  METER_TAKEOVERS,
  METER_CELLS_LOST,
  METER_WORKER_ENTRIES_MALFORMED,
  METER_UPKEEPS,
  METER_MOVES,
  METER_MACHINE_ORDERS_RETRIED,
  METER_COUNT
};

/* Histograms of durations in milliseconds. */
enum histogram
{
  HISTOGRAM_ACCEPT, /* from the end of a request to its answer */
  HISTOGRAM_APPEND, /* of one append to the journal */
  HISTOGRAM_START,  /* of one start of a task */
  HISTOGRAM_COUNT
};

struct meters;

struct meters *meters_new (void);
void meters_destroy (struct meters *meters);

/* Add AMOUNT to METER. */
void meters_add (struct meters *meters, enum meter meter, uint64_t amount);

/* Add one duration of VALUE_MS milliseconds to HISTOGRAM. */
void meters_time (struct meters *meters, enum histogram histogram,
                  int64_t value_ms);

uint64_t meters_get (const struct meters *meters, enum meter meter);

/* Append all meters and histograms to OUT, as `name{label="value"} number`
   lines. */
void meters_render (const struct meters *meters, GString *out);

#endif
