#ifndef NODE_ADVICE_H
#define NODE_ADVICE_H

#include "node_state.h"

/* Calls to the advice service for all cells that this node owns. */

/* Send the next question, if the last one has been answered and a cell has
   one. */
void node_advice_run (struct node *n, int64_t now_ms);

#endif
