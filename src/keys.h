#ifndef KEYS_H
#define KEYS_H

#include "requests.h"
#include "turn.h"

/* Callers' queries about a key, at any node: for its outcome, or to cancel its
   request.  Only the node that holds the request can cancel it, so any other
   node forwards the cancellation to it and passes its reply on. */

struct keys;

struct keys *keys_new (void);
void keys_destroy (struct keys *keys);

/* Answer a QUERY_KEY or QUERY_CANCEL, now or when the node that holds the
   request has replied. */
void keys_query (struct keys *keys, struct turn *turn,
                 struct requests *requests,
                 const struct message_query *message);

/* Handle a PEER_KEY_CANCEL or PEER_KEY_CANCELLED; other kinds are ignored. */
void keys_handle (struct keys *keys, struct turn *turn,
                  struct requests *requests,
                  const struct peer_message *message);

/* Refuse the cancellations to which the other node has not replied in time;
   their outcome is unknown. */
void keys_step (struct keys *keys, struct turn *turn);

#endif
