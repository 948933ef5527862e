#ifndef RUN_TIMES_H
#define RUN_TIMES_H

#include <stdbool.h>
#include <stdint.h>

/* Learned run times: quantiles of the last values of each key, in bounded
   memory.  Times are milliseconds of any steady clock. */

struct run_times;

/* Keys that are kept; the least recently used one is dropped first. */
#define RUN_TIMES_KEYS 512
/* Values that are kept of a key. */
#define RUN_TIMES_VALUES 64
/* Values that a key needs before its quantiles are used. */
#define RUN_TIMES_MIN_VALUES 8
/* Older values do not count: the load of a key may have changed. */
#define RUN_TIMES_MAX_AGE_MS 900000

struct run_times *run_times_new (void);
void run_times_destroy (struct run_times *r);

/* Record that a run of KEY has taken VALUE_MS. */
void run_times_add (struct run_times *r, const char *key, int64_t value_ms,
                    int64_t now_ms);

/* Return the quantile PERCENT (0 to 100) of KEY's values, or -1 if fewer than
   RUN_TIMES_MIN_VALUES are known. */
int64_t run_times_quantile_ms (struct run_times *r, const char *key,
                               uint32_t percent, int64_t now_ms);

/* Record whether a second run of a task of KEY has ended first. */
void run_times_add_copy (struct run_times *r, const char *key, bool has_won,
                         int64_t now_ms);

/* Return whether second runs of KEY's tasks are worth their cost: enough of
   them ended first, few are known, or the last one is long ago. */
bool run_times_copies_pay (struct run_times *r, const char *key,
                           int64_t now_ms);

#endif
