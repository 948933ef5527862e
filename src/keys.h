#ifndef KEYS_H
#define KEYS_H

#include "requests.h"
#include "turn.h"

/* What a caller asks about a key, at any node: its outcome, or that it be
   cancelled.  Only the node that holds the request can cancel it, so another
   node asks that one and answers with what it says. */

struct keys;

struct keys *keys_new (void);
void keys_destroy (struct keys *keys);

/* Answer a QUERY_KEY or QUERY_CANCEL. */
void keys_query (struct keys *keys, struct turn *turn,
                 struct requests *requests,
                 const struct message_query *message);

/* Take in a PEER_KEY_CANCEL or PEER_KEY_CANCELLED. */
void keys_handle (struct keys *keys, struct turn *turn,
                  struct requests *requests,
                  const struct peer_message *message);

/* Answer the callers whose cancellation was not answered in time. */
void keys_step (struct keys *keys, struct turn *turn);

#endif
