#ifndef ADMIT_H
#define ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Admission control for the queue of a pool: whether a request can start in
   time, and the retry delay of one that is refused.  Retry times are spread at
   the rate at which the pool can serve them.  The delay is at least the time
   for which requests have been waiting without a break, as an overload that
   has lasted long is likely to last as long again. */

struct admit
{
  int64_t waiting_since_ms; /* clock time from which requests have waited
                               without a break; 0 if none waits */
  int64_t last_retry_us;    /* latest retry time given, as clock time in us */
};

/* The load ahead of a request. */
struct admit_load
{
  uint32_t ahead;         /* requests in its lane before it */
  uint32_t ahead_of_team; /* those of them of the same team */
  int64_t mean_us;        /* expected run time of one of them */
  int64_t slots_milli;    /* slots its lane may use, in thousandths */
  int64_t entitled_milli; /* slots its team is entitled to, in thousandths */
};

/* Return how long a request behind LOAD is expected to wait. */
int64_t admit_wait_ms (const struct admit_load *load);

/* Return whether to refuse a request that is expected to wait WAIT_MS and may
   wait ALLOWED_MS. */
bool admit_is_too_late (int64_t wait_ms, int64_t allowed_ms);

/* Return the retry delay in milliseconds of a request that is refused at
   NOW_MS as its expected wait behind LOAD is EXCESS_MS too long. */
int64_t admit_retry_after_ms (struct admit *admit,
                              const struct admit_load *load, int64_t excess_ms,
                              int64_t now_ms);

/* Note whether any request waits at NOW_MS. */
void admit_note_waiting (struct admit *admit, bool any_waits, int64_t now_ms);

#endif
