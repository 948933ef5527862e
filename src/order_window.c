#include "order_window.h"

/* For the transit of an order, and clocks that differ slightly in pace. */
#define MARGIN_MS 400

int64_t
order_window_ms (int64_t holder_lease_ms)
{
  return holder_lease_ms + ORDER_EMPTIED_MAX_AGE_MS + ORDER_TIMEOUT_MS
         + MARGIN_MS;
}

int64_t
order_window_after_restart_ms (int64_t holder_lease_ms)
{
  return holder_lease_ms + MARGIN_MS;
}
