#ifndef DEMAND_H
#define DEMAND_H

#include <glib.h>
#include <stdint.h>

/* Recognizes by the rate of jobs that a service has a burst, and how much work
   comes with it.  The processors in use tell that only once the first jobs of
   the burst have run for a while.  Pure; times are milliseconds of a steady
   clock. */

struct demand;

struct demand *demand_new (void);
void demand_destroy (struct demand *demand);

/* SERVICE has accepted JOBS jobs in all, which ask for WORK_MILLI_S
   thousandths of a core for a second; a worker has WORKER_MILLI thousandths.
   Counts that sink begin anew: the cell has another owner. */
void demand_note (struct demand *demand, const char *service, uint64_t jobs,
                  uint64_t work_milli_s, uint64_t worker_milli,
                  int64_t now_ms);

/* Return the processors, in thousandths of a core, that the jobs of SERVICE's
   burst keep busy; 0 while it has none. */
uint64_t demand_burst_milli (const struct demand *demand, const char *service);

#endif
