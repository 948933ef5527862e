#include "turn.h"

void
turn_emit (struct turn *turn, struct message *message)
{
  g_queue_push_tail (turn->out, message);
}

void
turn_append (struct turn *turn, struct record *record)
{
  struct message *m = message_new (MESSAGE_APPEND);

  m->u.append.record = record;
  turn_emit (turn, m);
}

struct peer_message *
turn_new_peer_message (const struct turn *turn, enum peer_kind kind)
{
  struct peer_message *p = peer_message_new (kind);

  p->from = g_strdup (turn->node);
  p->incarnation = turn->incarnation;
  return p;
}

void
turn_send (struct turn *turn, const char *to, struct peer_message *peer)
{
  struct message *m = message_new (MESSAGE_SEND_TO_PEER);

  m->u.send_to_peer.to = g_strdup (to);
  m->u.send_to_peer.peer = peer;
  turn_emit (turn, m);
}
