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

/* One turn of the core: what every decision module may look at, and where it
   puts the messages that follow. */

struct turn
{
  int64_t now_ms;
  const char *node; /* this node's name */
  uint64_t incarnation;
  const struct fleet *fleet;
  struct members *members;
  struct counters *counters;
  int64_t view_age_ms; /* since the fleet was at the log's head */
  bool log_reachable;
  int64_t permit_until_ms; /* until then this node may start work */
  bool behind;             /* the fleet is not whole, or older than a peer's */
  bool resuming; /* it was paused or is new, and starts nothing yet */
  bool stopping;
  GQueue *out; /* struct message * */
};

/* Put MESSAGE among what this turn sends. */
void turn_put (struct turn *turn, struct message *message);

/* Put RECORD on its way to the log. */
void turn_append (struct turn *turn, struct record *record);

/* Create a peer message of KIND that comes from this node. */
struct peer_message *turn_peer (const struct turn *turn, enum peer_kind kind);

/* Send PEER to node TO, which may be this one, or "" for all others. */
void turn_send (struct turn *turn, const char *to, struct peer_message *peer);

#endif
