#ifndef JOB_ORDER_H
#define JOB_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The order in which a cell's jobs get its capacity.  While all jobs fit by
   their deadlines, it is: long-running jobs, then by priority, by deadline and
   by ID.  In overload, those jobs of a priority that are worth least for their
   work step back, first to three times their objective.  No I/O; times are
   milliseconds of a monotonic clock. */

struct job_order_entry
{
  const char *id;
  bool is_long_running;
  bool is_excess;      /* beyond its account's rate */
  bool is_over_share;  /* its account uses more than its share of the cell */
  bool is_scheduled;   /* its deadline says nothing of the occurrences to come:
                          it is kept */
  uint32_t priority;   /* 0 is the highest */
  int64_t deadline_ms; /* end of the objective */
  int64_t objective_ms; /* length of the objective */
  int64_t path_ms;      /* remaining critical path */
  uint64_t work;        /* remaining, in thousandths of a core times ms */
  double value;         /* of ending in time, see job_order_value */
  int64_t waited_ms;    /* since it was accepted */
  /* Set by job_order_plan: the end that the job is placed for. */
  int64_t due_ms;
  void *data; /* the caller's */
};

/* Return the value of a job of WORK whose queue has a mean of MEAN_WORK: a
   base for each job, and more for a large one. */
double job_order_value (double work, double mean_work);

/* Return the last end of E at which it still is worth something. */
int64_t job_order_limit_ms (const struct job_order_entry *e);

/* Compare two entries by group, due_ms and ID, as qsort does. */
int job_order_compare (const struct job_order_entry *a,
                       const struct job_order_entry *b);

/* Set due_ms of all ENTRIES (struct job_order_entry *) and sort them, those to
   place first at the front.  CPU_MILLI is the processor capacity for jobs that
   are not long-running.  Return whether the work up to some job's deadline
   exceeds it; only then, and with MAY_STEP_BACK, jobs step back for others. */
bool job_order_plan (GPtrArray *entries, uint64_t cpu_milli,
                     bool may_step_back, int64_t now_ms);

#endif
