#ifndef WORKER_H
#define WORKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What is known of workers: how they are listed, and what they report. */

struct worker_room
{
  uint32_t cpu_milli;
  uint32_t memory_mb;
  uint32_t gpus;
};

/* A worker as it is listed. */
struct worker_entry
{
  char *id;
  char *address;
  char *service;
  char *rack;
  GPtrArray *labels; /* char * */
  int64_t born_ms;   /* Unix time of its start */
  struct worker_room room;
  bool draining; /* it leaves and takes no new work */
};

struct worker_entry *worker_entry_new (const char *id);
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
  END_LAPSED, /* its lease ran out */
  END_BROKEN, /* another member of its gang ended */
  END_ALONE   /* the rest of its gang never came */
};

/* One run that is on a worker. */
struct worker_run
{
  char *task;
  uint64_t run;
  char *checkpoint; /* "" for none */
  uint32_t percent; /* of a task that lasts: 100 when at work */
  int64_t figure;   /* tail in ms of a task that serves, else its cpu_milli */
};

/* One run that has ended on a worker. */
struct worker_end
{
  uint64_t number; /* rises by one from 1 in each life of the worker */
  char *task;
  uint64_t run;
  enum run_end how;
  char *checkpoint;
};

/* What a worker says of its runs. */
struct worker_report
{
  int64_t clock_ms; /* the worker's steady clock */
  int64_t born_ms;  /* Unix time of its start */
  GArray *runs;     /* struct worker_run */
  GArray *ends;     /* struct worker_end */
};

struct worker_report *worker_report_new (void);
void worker_report_destroy (struct worker_report *report);

/* A permission to run the tasks of one step on a worker. */
struct worker_ticket
{
  char *worker;
  char *ticket;
};

GArray *worker_tickets_new (void);

#endif
