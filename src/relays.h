#ifndef RELAYS_H
#define RELAYS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Decides which orders to workers the owner of a cell sends itself and which
   other nodes, its relays, send for it.  Answers the load of a burst of starts
   on one owner: a start takes some 0.3 ms of its processor and a burst has
   thousands a second, while most nodes are idle.  Pure: no input or output;
   times are milliseconds of a steady clock. */

struct relays;

struct relays *relays_new (void);
void relays_destroy (struct relays *relays);

/* Set the addresses (char *) of the nodes that may relay. */
void relays_set (struct relays *relays, const GPtrArray *addresses);

/* Note that the event loop runs LATE_MS behind its timer.  Relays are used
   while it has been late by RELAY_MIN_LATE_MS within RELAY_BUSY_MS: an order
   that is sent through a relay takes more processor time in all. */
void relays_note_lateness (struct relays *relays, int64_t late_ms,
                           int64_t now_ms);
#define RELAY_MIN_LATE_MS 20
#define RELAY_BUSY_MS 1000

/* Return the address of the relay that sends the next order to WORKER, or NULL
   if this node does.  The relay of a worker stays the same while the set of
   usable relays does, so that few connections to workers are opened. */
const char *relays_choose (struct relays *relays, const char *worker,
                           int64_t now_ms);

/* Note that the relay ADDRESS has not answered in time.  Return whether it was
   usable before; it is not used for RELAY_PENALTY_MS now. */
bool relays_note_failure (struct relays *relays, const char *address,
                          int64_t now_ms);
#define RELAY_PENALTY_MS 3000

#endif
