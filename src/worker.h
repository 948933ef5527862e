#ifndef WORKER_H
#define WORKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Workers as the store lists them, and the reports that they send. */

/* Resources of a worker, or the part of them that is in use. */
struct worker_resources
{
  uint32_t cpu_milli; /* thousandths of a core */
  uint32_t memory_mb;
  uint32_t gpus;
};

/* A worker's entry in the list of workers. */
struct worker_entry
{
  char *id;
  char *address;
  char *service;
  char *rack;
  GPtrArray *labels;            /* char * */
  int64_t incarnation_start_ms; /* Unix time when this incarnation started */
  struct worker_resources capacity;
  bool draining; /* leaving; takes no new work */
};

/* Return an entry for worker ID whose other strings are empty; the caller
   destroys it. */
struct worker_entry *worker_entry_new (const char *id);
/* Return a deep copy, which the caller destroys. */
struct worker_entry *worker_entry_copy (const struct worker_entry *entry);
void worker_entry_destroy (gpointer entry);
bool worker_entry_has_label (const struct worker_entry *entry,
                             const char *label);

/* How a run ended. */
enum run_end
{
  END_DONE,
  END_FAILED,
  END_STOPPED,
  END_LEASE_EXPIRED,     /* its lease expired */
  END_GANG_MEMBER_ENDED, /* another task of its gang ended */
  END_GANG_INCOMPLETE    /* the other tasks of its gang never started */
};

/* A run in progress on a worker. */
struct worker_run
{
  char *task;
  uint64_t run;
  char *checkpoint; /* "" for none */
  uint32_t percent; /* progress; 100 once a long-running task is at work */
  /* Tail latency in ms of a task that serves requests; otherwise its processor
     use in thousandths of a core. */
  int64_t reported_value;
};

/* A run that has ended on a worker. */
struct worker_end
{
  uint64_t number; /* sequence number; 1, 2, ... in each incarnation */
  char *task;
  uint64_t run;
  enum run_end result;
  char *checkpoint;
};

/* A worker reports at most this many ends at a time. */
#define WORKER_REPORT_MAX_ENDS 500

/* A worker's report on its runs. */
struct worker_report
{
  int64_t clock_ms;             /* the worker's steady clock */
  int64_t incarnation_start_ms; /* Unix time when this incarnation started */
  GArray *runs;                 /* struct worker_run */
  GArray *ends;                 /* struct worker_end */
};

struct worker_report *worker_report_new (void);
void worker_report_destroy (struct worker_report *report);

/* The advice service's permission to run the tasks of one step on a worker. */
struct worker_ticket
{
  char *worker;
  char *ticket;
};

/* Return an array of struct worker_ticket that frees their strings. */
GArray *worker_tickets_new (void);

#endif
