#ifndef OPERATORS_H
#define OPERATORS_H

#include "status.h"

/* The operators' questions and orders.  An order is a record; its answer is
   the verdict of the fold. */

struct operators;

struct operators *operators_new (void);
void operators_destroy (struct operators *operators);

/* Answer MESSAGE, or keep it until its record is folded. */
void operators_query (struct operators *operators, struct turn *turn,
                      const struct status_input *input,
                      const struct message_query *message);

/* Take in the fold's VERDICT of RECORD at OFFSET. */
void operators_folded (struct operators *operators, struct turn *turn,
                       const struct record *record, uint64_t offset,
                       enum verdict verdict);

/* Answer what is out of time, and what all live nodes now have in force. */
void operators_step (struct operators *operators, struct turn *turn);

#endif
