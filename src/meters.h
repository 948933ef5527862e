#ifndef METERS_H
#define METERS_H

#include <glib.h>
#include <stdint.h>

/* Counters and latency histograms of a node that schedules jobs.  Only the
   node's one thread uses them, so they take no lock. */

enum meter
{
  METER_JOBS_ACCEPTED,
  METER_JOBS_REFUSED_STORE_UNREACHABLE, /* the store did not accept them in
                                           time */
  METER_JOBS_REFUSED_NO_OWNER,          /* no owner could be reached */
  METER_JOBS_REFUSED_FULL,              /* the cell holds too many tasks */
  METER_JOBS_REFUSED_RATE,              /* beyond their account's rate */
  METER_JOBS_UNCLEAR, /* may or may not have been accepted or cancelled */
  METER_JOBS_CANCELLED,
  METER_REQUESTS_INVALID,
  METER_REQUESTS_NO_QUEUE,
  METER_REQUESTS_NO_ACCOUNT, /* without a key of an account */
  METER_STARTS,              /* orders to a worker to start a run */
  METER_STARTS_NO_ANSWER,
  METER_STARTS_NO_ROOM, /* the worker had no free resources */
  METER_STARTS_REFUSED,
  METER_ORDERS_RELAYED, /* starts and stops that another node sent */
  METER_STOPS,          /* orders to a worker to stop a run */
  METER_HOLDS,          /* orders to a worker to extend leases and report */
  METER_HOLDS_NO_ANSWER,
  METER_MACHINE_LISTS,
  METER_PACES, /* orders to a worker about the pace of a run */
  METER_ADVICE_CALLS,
  METER_ADVICE_NO_ANSWER,
  METER_APPENDS, /* to the journals */
  METER_APPENDS_REFUSED,
  METER_APPENDS_UNCLEAR,
  METER_APPENDS_FENCED,
  METER_FORWARDS, /* requests sent to the owner at another node */
  METER_FORWARDS_RETRIED,
  METER_TAKEOVERS,  /* cells whose ownership this node took over */
  METER_CELLS_LOST, /* cells whose ownership this node gave up or lost */
  METER_WORKER_ENTRIES_MALFORMED,
  METER_RECORDS_UNREADABLE, /* left out of what the store lists */
  METER_UPKEEPS, /* upkeep orders for machines, done or refused for good */
  METER_MOVES,   /* orders to move a machine, done or refused for good */
  METER_MACHINE_ORDERS_RETRIED,
  METER_CLIENTS_CLOSED_MEMORY,      /* connections held too much memory */
  METER_CLIENTS_CLOSED_CONNECTIONS, /* for room for a new connection */
  METER_CLIENTS_CLOSED_SOURCE,      /* the same, of its address */
  METER_CLIENTS_CLOSED_SLOW_HEAD,   /* a head took too long */
  METER_CLIENTS_REFUSED,            /* connections that found no room */
  METER_REQUESTS_REFUSED_OPEN,      /* too many requests were open */
  METER_COUNT
};

/* Histograms of durations in milliseconds. */
enum histogram
{
  HISTOGRAM_ACCEPT, /* from the end of a request to its answer */
  HISTOGRAM_APPEND, /* of one append to the journal */
  HISTOGRAM_START,  /* of one start of a task */
  HISTOGRAM_ADVICE, /* of one call to the advice service */
  HISTOGRAM_COUNT
};

struct meters;

struct meters *meters_new (void);
void meters_destroy (struct meters *meters);

/* Add AMOUNT to METER. */
void meters_add (struct meters *meters, enum meter meter, uint64_t amount);

/* Add one duration of VALUE_MS milliseconds to HISTOGRAM. */
void meters_observe (struct meters *meters, enum histogram histogram,
                     int64_t value_ms);

uint64_t meters_get (const struct meters *meters, enum meter meter);

/* Append all meters and histograms to OUT, as `name{label="value"} number`
   lines. */
void meters_render (const struct meters *meters, GString *out);

#endif
