#ifndef OPERATORS_H
#define OPERATORS_H

#include "status.h"

/* Answers the operators' queries and orders.  An order (a publication or a
   change of maintenance) is appended to the log as a record and answered with
   the verdict that the fleet state gives when the record is applied. */

struct operators;

struct operators *operators_new (void);
void operators_destroy (struct operators *operators);

/* Answer MESSAGE with a MESSAGE_REPLY put out to TURN.  For an order, append
   its record and answer later, from operators_handle_verdict or
   operators_step. QUERY_KEY and QUERY_CANCEL are ignored: keys.c answers them.
 */
void operators_query (struct operators *operators, struct turn *turn,
                      const struct status_input *input,
                      const struct message_query *message);

/* Handle the VERDICT on RECORD, applied at OFFSET: if RECORD is a pending
   order of this node, answer it, unless its operator also waits until all live
   nodes have applied it. */
void operators_handle_verdict (struct operators *operators, struct turn *turn,
                               const struct record *record, uint64_t offset,
                               enum verdict verdict);

/* Answer the pending orders that have reached their deadline or that all live
   nodes have now applied. */
void operators_step (struct operators *operators, struct turn *turn);

#endif
