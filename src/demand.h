#ifndef DEMAND_H
#define DEMAND_H

#include <glib.h>
#include <stdint.h>

/* Detects bursts of jobs for a service from the rate at which jobs are
   accepted, and estimates the work that comes with a burst.  The processors in
   use would show it only after the first jobs have run for a while.  Pure: no
   input or output; times are milliseconds of a steady clock. */

struct demand;

struct demand *demand_new (void);
void demand_destroy (struct demand *demand);

/* Add a sample for SERVICE.  JOBS and WORK_MILLI_S count the jobs that the
   owner of its cell has accepted so far and their work in millicore-seconds;
   WORKER_MILLI is the size of a worker in thousandths of a core.  Lower counts
   than before mean that the cell has another owner, which counts from 0: the
   earlier samples are dropped. */
void demand_record (struct demand *demand, const char *service, uint64_t jobs,
                    uint64_t work_milli_s, uint64_t worker_milli,
                    int64_t now_ms);

/* Return the processors, in thousandths of a core, that the jobs of SERVICE's
   burst keep busy, or 0 if there is no burst. */
uint64_t demand_burst_milli (const struct demand *demand, const char *service);

#endif
