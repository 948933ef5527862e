#ifndef TURN_H
#define TURN_H

#include "counters.h"
#include "fleet.h"
#include "members.h"
#include "message.h"
#include "peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The context of one turn of the core: the handling of one message.  It holds
   the state that every decision module may read, and the queue for the
   messages that the turn produces. */

struct turn
{
  int64_t now_ms;
  const char *node; /* this node's name */
  uint64_t incarnation;
  const struct fleet *fleet;
  struct members *members;
  struct counters *counters;
  int64_t view_age_ms; /* time since FLEET was known to be at the log's head */
  bool log_reachable;
  int64_t may_start_until_ms; /* this node may start work until this time */
  bool is_catching_up; /* FLEET is incomplete, or older than that of a peer */
  bool resuming; /* this node has just started, or gone on after a pause of the
                    process, and starts no work yet */
  bool stopping;
  GQueue *out; /* struct message * */
};

/* Add MESSAGE, which TURN owns from now on, to the messages that TURN
   produces. */
void turn_emit (struct turn *turn, struct message *message);

/* Produce the message that appends RECORD, which TURN owns from now on, to the
   log. */
void turn_append (struct turn *turn, struct record *record);

/* Create an empty peer message of KIND with this node as its sender.  The
   caller owns it. */
struct peer_message *turn_new_peer_message (const struct turn *turn,
                                            enum peer_kind kind);

/* Produce the message that sends PEER, which TURN owns from now on, to node
   TO.  TO may be this node, which then handles PEER itself, or "" for all
   other nodes. */
void turn_send (struct turn *turn, const char *to, struct peer_message *peer);

#endif
