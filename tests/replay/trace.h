#ifndef TRACE_FILE_H
#define TRACE_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Traces of requests and failures, as docs/TRACES.md describes them: JSON
   lines ordered by time. */

enum trace_kind
{
  TRACE_VM,        /* a VM that exists from the start */
  TRACE_REQUEST,   /* a request arrives */
  TRACE_CANCEL,    /* the caller of a request disconnects */
  TRACE_VM_FAILS,  /* a VM is gone for FOR_MS */
  TRACE_VM_BREAKS, /* all runs that a VM starts within FOR_MS fail */
  TRACE_DRAIN,     /* the platform reports a VM as leaving for FOR_MS */
  TRACE_MAINTAIN,  /* an operator orders maintenance of a pool */
  TRACE_OUTAGE,    /* the log does not answer for FOR_MS */
  TRACE_BURST,     /* annotation: the class has its burst for FOR_MS */
  TRACE_KIND_COUNT
};

/* One line of a trace.  Strings are interned; those that KIND does not use are
   NULL. */
struct trace_event
{
  enum trace_kind kind;
  int64_t at_ms;
  int64_t for_ms;
  const char *vm;
  const char *pool;
  const char *zone;
  const char *rack;
  const char *service;
  const char *class_name;
  const char *team;
  uint64_t request;
  int64_t declared_run_ms;
  int64_t run_ms;
  uint64_t declared_bytes;
  uint64_t bytes;
  uint32_t slots;
};

/* Return an empty trace, an array of struct trace_event, which the caller
   unrefs. */
GArray *trace_new (void);

/* Sort TRACE by time; events of one time by kind, then by request number. */
void trace_sort (GArray *trace);

/* Write TRACE to FILE as JSON lines. */
void trace_write (const GArray *trace, FILE *file);

/* Read a trace file, sorted by time.  Return NULL with ERROR set if it can't
   be read or a line is not a trace event. */
GArray *trace_read (const char *filename, GError **error);

/* Generate the trace of DEPLOYMENT, "kandy" or "thessaly", for SEED; the
   suffix "-heavy" gives higher bursts.  Return NULL if there is no such
   deployment. */
GArray *generate_trace (const char *deployment, uint32_t seed);

#endif
