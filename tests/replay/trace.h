#ifndef TRACE_FILE_H
#define TRACE_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Traces as docs/TRACES.md describes them: JSON lines in order of time. */

enum trace_kind
{
  TRACE_VM,        /* a VM exists from the start */
  TRACE_REQUEST,   /* an arrival */
  TRACE_CANCEL,    /* the caller of a request goes away */
  TRACE_VM_FAILS,  /* a VM is gone for a while */
  TRACE_VM_BREAKS, /* a VM fails all that it starts for a while */
  TRACE_DRAIN,     /* the platform says that a VM is leaving for a while */
  TRACE_MAINTAIN,  /* an operator's intention for a pool */
  TRACE_OUTAGE,    /* the log does not answer for a while */
  TRACE_BURST,     /* a note: the class's demand is at its peak for a while */
  TRACE_KIND_COUNT
};

/* One line.  Strings are interned; those that KIND has no use for are NULL. */
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

/* Create an empty trace: an array of struct trace_event. */
GArray *trace_new (void);

/* Sort TRACE by time, keeping the order of events of one moment. */
void trace_sort (GArray *trace);

/* Write TRACE to FILE as JSON lines. */
void trace_write (const GArray *trace, FILE *file);

/* Read a trace file.  Return NULL with ERROR set if a line is wrong. */
GArray *trace_read (const char *filename, GError **error);

/* Make the trace of DEPLOYMENT, "kandy" or "thessaly", for SEED; with "-heavy"
   after the name, with higher bursts.  Return NULL if there is no such
   deployment. */
GArray *generate_trace (const char *deployment, uint32_t seed);

#endif
