#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/* Clocks in milliseconds.  A monotonic clock never goes back and is unrelated
   to the time of day; a virtual clock moves only by clock_advance_ms.  Code
   that takes decisions reads no clock: it gets the time as a parameter. */

struct clock;

/* Create a clock that reads the machine's monotonic clock. */
struct clock *clock_new_monotonic (void);

/* Create a clock that stands at START_MS until it is advanced. */
struct clock *clock_new_virtual (int64_t start_ms);

void clock_destroy (struct clock *clock);

/* Return the current time of CLOCK in milliseconds. */
int64_t clock_now_ms (const struct clock *clock);

/* Move a virtual clock forward by STEP_MS; has no effect on a monotonic one.
 */
void clock_advance_ms (struct clock *clock, int64_t step_ms);

/* Return the steady clock, which counts suspended time too, in milliseconds;
   for the edges, which read clocks. */
int64_t clock_steady_ms (void);

/* Return the time of day in milliseconds since 1970, for display only. */
int64_t clock_wall_ms (void);

#endif
