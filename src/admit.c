#include "admit.h"

#include <glib.h>

#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 30000
/* A request is refused only if its expected wait exceeds the allowed one by
   this margin, as the expectation is not exact. */
#define WAIT_MARGIN_PERCENT 30

/* Return how long N runs of MEAN_US each take on SLOTS_MILLI thousandths of a
   slot. */
static int64_t
drain_us (uint32_t n, int64_t mean_us, int64_t slots_milli)
{
  if (n == 0)
    return 0;
  if (slots_milli <= 0)
    return RETRY_AFTER_MAX_MS * INT64_C (1000);
  return n * mean_us * 1000 / slots_milli;
}

int64_t
admit_wait_ms (const struct admit_load *load)
{
  int64_t lane_us = drain_us (load->ahead, load->mean_us, load->slots_milli);
  int64_t team_us;

  if (load->entitled_milli <= 0)
    return lane_us / 1000;
  team_us
      = drain_us (load->ahead_of_team, load->mean_us, load->entitled_milli);
  return MIN (lane_us, team_us) / 1000;
}

bool
admit_is_too_late (int64_t wait_ms, int64_t allowed_ms)
{
  return wait_ms > allowed_ms + allowed_ms * WAIT_MARGIN_PERCENT / 100;
}

void
admit_note_waiting (struct admit *admit, bool any_waits, int64_t now_ms)
{
  if (!any_waits)
    admit->waiting_since_ms = 0;
  else if (admit->waiting_since_ms == 0)
    admit->waiting_since_ms = now_ms;
}

int64_t
admit_retry_after_ms (struct admit *admit, const struct admit_load *load,
                      int64_t excess_ms, int64_t now_ms)
{
  int64_t after_ms;

  admit_note_waiting (admit, true, now_ms);
  after_ms = MAX (excess_ms, now_ms - admit->waiting_since_ms);
  admit->last_retry_us = MAX (admit->last_retry_us, (now_ms + after_ms) * 1000)
                         + drain_us (1, load->mean_us, load->slots_milli);
  return CLAMP (admit->last_retry_us / 1000 - now_ms, RETRY_AFTER_MIN_MS,
                RETRY_AFTER_MAX_MS);
}
