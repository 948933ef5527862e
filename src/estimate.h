#ifndef ESTIMATE_H
#define ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/* An estimate of the run times of one class, from the runs that ended.  The
   expected run time of the configuration counts like a few runs, so it matters
   only at first.  Values that callers declare are not used. */

struct estimate;

/* Create an estimate with no runs but the expected run time EXPECTED_MS. */
struct estimate *estimate_new (int64_t expected_ms);
void estimate_destroy (struct estimate *estimate);

/* Note that a run took RUN_MS. */
void estimate_note (struct estimate *estimate, int64_t run_ms);

/* Return the median of the run times. */
int64_t estimate_median_ms (const struct estimate *estimate);

/* Return the mean run time without stragglers, in microseconds. */
int64_t estimate_mean_us (const struct estimate *estimate);

/* Return the run time from which on a run is a straggler. */
int64_t estimate_straggler_ms (const struct estimate *estimate);

#endif
