#ifndef METERS_H
#define METERS_H

#include <glib.h>
#include <stdint.h>

/* Counters and latency histograms of a node that schedules jobs.  They belong
   to the node's one task and take no lock. */

enum meter
{
  METER_JOBS_ACCEPTED,
  METER_JOBS_REFUSED_STORE, /* the store did not take them in time */
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

enum histogram
{
  HISTOGRAM_ACCEPT, /* from a whole request to its answer, in ms */
  HISTOGRAM_APPEND, /* one append to the journal, in ms */
  HISTOGRAM_START,  /* one start of a task, in ms */
  HISTOGRAM_COUNT
};

struct meters;

struct meters *meters_new (void);
void meters_destroy (struct meters *meters);
void meters_add (struct meters *meters, enum meter meter, uint64_t amount);
void meters_time (struct meters *meters, enum histogram histogram,
                  int64_t value_ms);
uint64_t meters_get (const struct meters *meters, enum meter meter);

/* Write all as `name{label="value"} number` lines to OUT. */
void meters_render (const struct meters *meters, GString *out);

#endif
