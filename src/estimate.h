#ifndef ESTIMATE_H
#define ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of the run times of one class: learned from the runs that
   ended, starting from what the configuration expects.  What callers declare
   plays no part. */

struct estimate;

/* Create an estimate that starts from EXPECTED_MS. */
struct estimate *estimate_new (int64_t expected_ms);
void estimate_destroy (struct estimate *estimate);

/* Note that a run took RUN_MS. */
void estimate_note (struct estimate *estimate, int64_t run_ms);

int64_t estimate_median_ms (const struct estimate *estimate);

/* Return the mean of the runs that are no stragglers, in microseconds. */
int64_t estimate_mean_us (const struct estimate *estimate);

/* Return the time from which on a run is a straggler. */
int64_t estimate_straggler_ms (const struct estimate *estimate);

#endif
