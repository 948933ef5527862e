#ifndef RELAY_MESSAGE_H
#define RELAY_MESSAGE_H

#include "cell.h"

#include <glib.h>
#include <stdint.h>

/* Messages between the owner of a cell and the nodes that send its orders to
   workers: a batch of starts and stops, and their answers. */

struct relayed_order
{
  enum cell_order_kind kind; /* ORDER_START or ORDER_STOP */
  struct run_order run;
};

/* In place of an enum run_answer: the order was sent, but its answer did not
   come in time. */
#define RELAY_NO_ANSWER 255
/* The same: the order was not sent and will not be. */
#define RELAY_NOT_SENT 254

/* Return a deep copy of RUN as an order, which the caller destroys. */
struct relayed_order *relayed_order_new (enum cell_order_kind kind,
                                         const struct run_order *run);
void relayed_order_destroy (gpointer order);

/* ORDERS is an array of struct relayed_order *. */
GBytes *relay_orders_to_bytes (const GPtrArray *orders);
/* Return the orders in BYTES, or NULL if they are malformed; the caller unrefs
   the array. */
GPtrArray *relay_orders_from_bytes (GBytes *bytes);

#endif
