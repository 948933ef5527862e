#ifndef DEMAND_H
#define DEMAND_H

#include <glib.h>
#include <stdint.h>

/* Expects how much work a service is about to be given.  Services are busy in
   turns: each for some seconds, one after the other.  A burst is recognized by
   the rate of jobs, and its length, height and period are learned, so that
   machines can be moved before the next one.  Pure; times are milliseconds of
   a steady clock. */

struct demand;

/* A machine that is ordered serves after LEAD_MS. */
struct demand *demand_new (int64_t lead_ms);
void demand_destroy (struct demand *demand);

/* SERVICE has accepted JOBS jobs in all, which ask for WORK_MILLI_S
   thousandths of a core for a second; a worker has WORKER_MILLI thousandths.
   Counts that sink begin anew: the cell has another owner. */
void demand_note (struct demand *demand, const char *service, uint64_t jobs,
                  uint64_t work_milli_s, uint64_t worker_milli,
                  int64_t now_ms);

/* Return the processors, in thousandths of a core, that SERVICE's jobs keep
   busy now, or will when a machine that is ordered now serves; 0 while no
   burst is seen or expected. */
uint64_t demand_expected_milli (const struct demand *demand,
                                const char *service, int64_t now_ms);

#endif
