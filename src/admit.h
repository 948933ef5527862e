#ifndef ADMIT_H
#define ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Whether a request that comes to the queue of a pool can start in time, and
   when one that is refused should come back.  The refused get times that are
   spread as the pool can take them, and later ones the longer the queue has
   stood: an overload that has lasted for long will likely last as long again.
   */

struct admit
{
  int64_t waited_since_ms; /* since when any has waited; 0 for none */
  int64_t booked_us;       /* the last time that was given to one refused */
};

/* What is ahead of a request. */
struct admit_load
{
  uint32_t ahead;         /* requests in its lane before it */
  uint32_t ahead_of_team; /* those of them in its team's line */
  int64_t mean_us;        /* expected run time of one of them */
  int64_t slots_milli;    /* slots its lane may use, in thousandths */
  int64_t entitled_milli; /* slots its team is entitled to, in thousandths */
};

/* Return how long a request behind LOAD will likely wait. */
int64_t admit_wait_ms (const struct admit_load *load);

/* Return whether one that may wait ALLOWED_MS and will likely wait WAIT_MS is
   to be refused. */
bool admit_is_too_late (int64_t wait_ms, int64_t allowed_ms);

/* Return after what time one refused at NOW_MS should come back, whose wait
   would have been EXCESS_MS too long. */
int64_t admit_retry_after_ms (struct admit *admit,
                              const struct admit_load *load, int64_t excess_ms,
                              int64_t now_ms);

/* Note whether any waits at NOW_MS. */
void admit_note (struct admit *admit, bool any_waits, int64_t now_ms);

#endif
