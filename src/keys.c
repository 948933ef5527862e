#include "keys.h"

#include "status.h"

#include <string.h>

/* How long a caller waits for the reply of the node that holds its request. */
#define CANCEL_REPLY_TIMEOUT_MS 2000

/* Most forwarded cancellations without a reply; more are refused. */
#define PENDING_CANCELS_MAX 4096

/* A cancellation that was forwarded to another node. */
struct pending_cancel
{
  uint64_t query;
  int64_t reply_by_ms;
};

struct keys
{
  GHashTable *pending_cancels; /* query number -> struct pending_cancel * */
};

struct keys *
keys_new (void)
{
  struct keys *k = g_new0 (struct keys, 1);

  k->pending_cancels
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return k;
}

void
keys_destroy (struct keys *keys)
{
  if (keys == NULL)
    return;
  g_hash_table_unref (keys->pending_cancels);
  g_free (keys);
}

static void
reply_query (struct turn *t, uint64_t query, char *text)
{
  struct message *m = message_new (MESSAGE_REPLY);

  m->u.reply.query = query;
  m->u.reply.status = 200;
  m->u.reply.text = text;
  turn_emit (t, m);
}

static void
refuse_query (struct turn *t, uint64_t query, enum reason reason)
{
  struct message *m = message_new (MESSAGE_REFUSE);

  m->u.refuse.request = query;
  m->u.refuse.reason = reason;
  turn_emit (t, m);
  counters_add_reason (t->counters, reason);
}

static void
reply_not_run (struct turn *t, uint64_t query, enum reason reason)
{
  reply_query (t, query,
               g_strdup_printf ("{\"outcome\":\"not-run\",\"reason\":\"%s\"}",
                                reason_name (reason)));
}

/* Set *TEAM to the index of the team with the token of Q.  Return why there is
   none, or REASON_NONE. */
static enum reason
find_team (const struct turn *t, const struct message_query *q, uint32_t *team)
{
  const struct config *c = fleet_config (t->fleet);
  int index;

  if (c == NULL)
    return REASON_NO_CONFIGURATION;
  index = config_find_team_by_token (c, q->token);
  if (index < 0)
    return REASON_UNKNOWN_TEAM;
  *team = (uint32_t)index;
  return REASON_NONE;
}

static void
reply_key_state (struct turn *t, const struct message_query *q)
{
  char *text = status_render_key (t, q->token, q->subject);

  if (text != NULL)
    reply_query (t, q->query, text);
  else
    refuse_query (t, q->query, REASON_KEY_NOT_FOUND);
}

/* Cancel this node's request with KEY of TEAM, whatever its class, if it has
   not started to run.  Return whether there was one. */
static bool
cancel_at_this_node (struct turn *t, struct requests *requests, uint32_t team,
                     const char *key)
{
  const struct config *c = fleet_config (t->fleet);

  for (guint i = 0; i < c->n_classes; i++)
    {
      const struct config_class *k = &c->classes[i];
      struct key_id id
          = key_id_make (c->teams[team].name, k->service_name, k->name, key);

      if (requests_cancel (requests, t, id))
        return true;
    }
  return false;
}

static void
forward_cancel (struct keys *keys, struct turn *t, uint64_t query,
                const struct fleet_claim *claim)
{
  struct pending_cancel *p = g_new0 (struct pending_cancel, 1);
  struct peer_message *m = turn_new_peer_message (t, PEER_KEY_CANCEL);

  p->query = query;
  p->reply_by_ms = t->now_ms + CANCEL_REPLY_TIMEOUT_MS;
  g_hash_table_insert (keys->pending_cancels, &p->query, p);
  m->u.key_cancel.query = query;
  m->u.key_cancel.key = claim->key;
  turn_send (t, claim->node, m);
}

static void
cancel_claimed_key (struct keys *keys, struct turn *t, uint64_t query,
                    const struct fleet_claim *claim)
{
  if (claim == NULL)
    refuse_query (t, query, REASON_KEY_NOT_FOUND);
  else if (claim->has_outcome && claim->outcome == OUTCOME_NOT_RUN)
    reply_not_run (t, query, claim->reason);
  else if (claim->has_outcome)
    refuse_query (t, query, REASON_KEY_ANSWERED);
  else if (!members_is_alive (t->members, claim->node, claim->incarnation))
    refuse_query (t, query, REASON_KEY_OUTCOME_UNKNOWN);
  else if (strcmp (claim->node, t->node) == 0)
    refuse_query (t, query, REASON_KEY_IN_PROGRESS);
  else if (g_hash_table_size (keys->pending_cancels) >= PENDING_CANCELS_MAX)
    refuse_query (t, query, REASON_OVERLOADED);
  else
    forward_cancel (keys, t, query, claim);
}

void
keys_query (struct keys *keys, struct turn *turn, struct requests *requests,
            const struct message_query *message)
{
  uint32_t team = 0;
  enum reason reason = find_team (turn, message, &team);

  if (reason != REASON_NONE)
    refuse_query (turn, message->query, reason);
  else if (message->kind == QUERY_KEY)
    reply_key_state (turn, message);
  else if (cancel_at_this_node (turn, requests, team, message->subject))
    reply_not_run (turn, message->query, REASON_CANCELLED);
  else
    cancel_claimed_key (keys, turn, message->query,
                        status_find_key (turn->fleet, team, message->subject));
}

static void
handle_cancel_request (struct turn *t, struct requests *requests,
                       const struct peer_message *m)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_KEY_CANCELLED);

  p->u.key_cancelled.query = m->u.key_cancel.query;
  p->u.key_cancelled.cancelled
      = requests_cancel (requests, t, m->u.key_cancel.key);
  turn_send (t, m->from, p);
}

static void
handle_cancel_reply (struct keys *keys, struct turn *t,
                     const struct peer_key_cancelled *m)
{
  gint64 query = (gint64)m->query;

  if (!g_hash_table_remove (keys->pending_cancels, &query))
    return;
  if (m->cancelled)
    reply_not_run (t, m->query, REASON_CANCELLED);
  else
    refuse_query (t, m->query, REASON_KEY_IN_PROGRESS);
}

void
keys_handle (struct keys *keys, struct turn *turn, struct requests *requests,
             const struct peer_message *message)
{
  if (message->kind == PEER_KEY_CANCEL)
    handle_cancel_request (turn, requests, message);
  else if (message->kind == PEER_KEY_CANCELLED)
    handle_cancel_reply (keys, turn, &message->u.key_cancelled);
}

void
keys_step (struct keys *keys, struct turn *turn)
{
  GHashTableIter i;
  gpointer v;

  g_hash_table_iter_init (&i, keys->pending_cancels);
  while (g_hash_table_iter_next (&i, NULL, &v))
    {
      struct pending_cancel *p = v;

      if (turn->now_ms < p->reply_by_ms)
        continue;
      refuse_query (turn, p->query, REASON_KEY_OUTCOME_UNKNOWN);
      g_hash_table_iter_remove (&i);
    }
}
