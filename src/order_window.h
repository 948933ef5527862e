#ifndef ORDER_WINDOW_H
#define ORDER_WINDOW_H

#include <stdint.h>

/* How long an order for a machine may still arrive after the journal has named
   the machine.  Pattern: the owner of the fleet writes the machine's name, is
   slow or paused, and sends the order while its successor has read the name;
   two holders must not order one machine within the holder lease. */

/* An order is sent only within this time after its worker was found empty,
   which is before the journal names the machine. */
#define ORDER_EMPTIED_MAX_AGE_MS 900
/* Timeout of an order: it is not put on a connection later. */
#define ORDER_TIMEOUT_MS 1500

/* Return for how long from its takeover a successor leaves the machines alone
   that the journal names, and for how long it names them. */
int64_t order_window_ms (int64_t holder_lease_ms);

/* The same if the successor is the former owner after its restart: what the
   process had not sent ended with it. */
int64_t order_window_after_restart_ms (int64_t holder_lease_ms);

#endif
