#ifndef ADVICE_DESK_H
#define ADVICE_DESK_H

#include <stdbool.h>
#include <stdint.h>

/* The calls of one node to the advice service, which carries out one call of a
   node at a time.  A second call under way would only wait at the service for
   the first one, and its timeout would count that wait: under load the node
   would give up each call before its turn, and the service would work on calls
   whose answers nobody reads.  So the next question is chosen when the last
   one has been answered.  Does no input or output. */

struct advice_desk;

struct advice_desk *advice_desk_new (void);
void advice_desk_destroy (struct advice_desk *desk);

/* Return whether a call may be made now. */
bool advice_desk_is_free (const struct advice_desk *desk, int64_t now_ms);

/* Note that a call is made which the service takes ANSWER_MS for, and return
   its timeout in ms. */
int64_t advice_desk_begin (struct advice_desk *desk, int64_t answer_ms);

/* Note that the call has ended, with or without an answer. */
void advice_desk_end (struct advice_desk *desk, bool is_answered,
                      int64_t now_ms);

#endif
