#ifndef NODE_RELAY_H
#define NODE_RELAY_H

#include "node_state.h"
#include "workers.h"

/* Sends starts and stops to workers, and has other nodes send them while this
   one has many: the nodes of the reserve, which own no cell.  An order that a
   relay has not answered in time is sent again by the owner; a worker takes
   the start of one run once.  What the owner's call is answered tells nothing
   of the relay's call, which the worker may still carry out: the outcome then
   says that it may arrive later. */

struct order_relay;

struct order_relay *order_relay_new (struct node *n);
void order_relay_destroy (struct order_relay *relay);
/* Do what is due; the event loop runs LATE_MS behind its timer. */
void order_relay_tick (struct order_relay *relay, int64_t late_ms,
                       int64_t now_ms);

typedef void (*order_done) (void *data, const struct run_outcome *outcome);

/* Send the order KIND (ORDER_START or ORDER_STOP) for RUN, or add it to a
   batch that order_relay_flush sends. */
void order_relay_send (struct order_relay *relay, enum cell_order_kind kind,
                       const struct run_order *run, order_done done,
                       void *data, int64_t now_ms);
void order_relay_flush (struct order_relay *relay);

/* Serve another node's batch. */
#define RELAY_PATH "/v1/orders/"
void order_relay_serve (struct node *n, struct evhttp_request *request);

#endif
