#include "keys.h"

#include "status.h"

#include <string.h>

#define CANCEL_WAIT_MS 2000
#define PENDING_MAX 4096

/* A cancellation that another node has been asked for. */
struct pending
{
  uint64_t query;
  int64_t give_up_ms;
};

struct keys
{
  GHashTable *pending; /* query number -> struct pending * */
};

struct keys *
keys_new (void)
{
  struct keys *k = g_new0 (struct keys, 1);

  k->pending
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return k;
}

void
keys_destroy (struct keys *keys)
{
  if (keys == NULL)
    return;
  g_hash_table_unref (keys->pending);
  g_free (keys);
}

static void
reply (struct turn *t, uint64_t query, char *text)
{
  struct message *m = message_new (MESSAGE_REPLY);

  m->u.reply.query = query;
  m->u.reply.status = 200;
  m->u.reply.text = text;
  turn_emit (t, m);
}

static void
refuse (struct turn *t, uint64_t query, enum reason reason)
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
  reply (t, query,
         g_strdup_printf ("{\"outcome\":\"not-run\",\"reason\":\"%s\"}",
                          reason_name (reason)));
}

/* Read the team of Q into *TEAM; REASON_NONE if there is one. */
static enum reason
find_team (const struct turn *t, const struct message_query *q, uint32_t *team)
{
  const struct config *c = fleet_config (t->fleet);
  int place;

  if (c == NULL)
    return REASON_NO_CONFIGURATION;
  place = config_find_team_by_token (c, q->token);
  if (place < 0)
    return REASON_UNKNOWN_TEAM;
  *team = (uint32_t)place;
  return REASON_NONE;
}

static void
tell (struct turn *t, const struct message_query *q)
{
  char *text = status_key (t, q->token, q->subject);

  if (text != NULL)
    reply (t, q->query, text);
  else
    refuse (t, q->query, REASON_KEY_NOT_FOUND);
}

/* Cancel KEY of TEAM in any class if it waits at this node. */
static bool
cancel_here (struct turn *t, struct requests *requests, uint32_t team,
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
ask_holder (struct keys *keys, struct turn *t, uint64_t query,
            const struct fleet_claim *claim)
{
  struct pending *p = g_new0 (struct pending, 1);
  struct peer_message *m = turn_new_peer_message (t, PEER_KEY_CANCEL);

  p->query = query;
  p->give_up_ms = t->now_ms + CANCEL_WAIT_MS;
  g_hash_table_insert (keys->pending, &p->query, p);
  m->u.key_cancel.query = query;
  m->u.key_cancel.key = claim->key;
  turn_send (t, claim->node, m);
}

static void
cancel_claim (struct keys *keys, struct turn *t, uint64_t query,
              const struct fleet_claim *claim)
{
  if (claim == NULL)
    refuse (t, query, REASON_KEY_NOT_FOUND);
  else if (claim->has_outcome && claim->outcome == OUTCOME_NOT_RUN)
    reply_not_run (t, query, claim->reason);
  else if (claim->has_outcome)
    refuse (t, query, REASON_KEY_ANSWERED);
  else if (!members_is_alive (t->members, claim->node, claim->incarnation))
    refuse (t, query, REASON_KEY_UNKNOWN);
  else if (strcmp (claim->node, t->node) == 0)
    refuse (t, query, REASON_KEY_IN_PROGRESS);
  else if (g_hash_table_size (keys->pending) >= PENDING_MAX)
    refuse (t, query, REASON_OVERLOADED);
  else
    ask_holder (keys, t, query, claim);
}

void
keys_query (struct keys *keys, struct turn *turn, struct requests *requests,
            const struct message_query *message)
{
  uint32_t team = 0;
  enum reason reason = find_team (turn, message, &team);

  if (reason != REASON_NONE)
    refuse (turn, message->query, reason);
  else if (message->kind == QUERY_KEY)
    tell (turn, message);
  else if (cancel_here (turn, requests, team, message->subject))
    reply_not_run (turn, message->query, REASON_CANCELLED);
  else
    cancel_claim (keys, turn, message->query,
                  status_find_key (turn->fleet, team, message->subject));
}

static void
cancel_for (struct turn *t, struct requests *requests,
            const struct peer_message *m)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_KEY_CANCELLED);

  p->u.key_cancelled.query = m->u.key_cancel.query;
  p->u.key_cancelled.cancelled
      = requests_cancel (requests, t, m->u.key_cancel.key);
  turn_send (t, m->from, p);
}

static void
cancelled (struct keys *keys, struct turn *t,
           const struct peer_key_cancelled *m)
{
  gint64 number = (gint64)m->query;

  if (!g_hash_table_remove (keys->pending, &number))
    return;
  if (m->cancelled)
    reply_not_run (t, m->query, REASON_CANCELLED);
  else
    refuse (t, m->query, REASON_KEY_IN_PROGRESS);
}

void
keys_handle (struct keys *keys, struct turn *turn, struct requests *requests,
             const struct peer_message *message)
{
  if (message->kind == PEER_KEY_CANCEL)
    cancel_for (turn, requests, message);
  else if (message->kind == PEER_KEY_CANCELLED)
    cancelled (keys, turn, &message->u.key_cancelled);
}

void
keys_step (struct keys *keys, struct turn *turn)
{
  GHashTableIter i;
  gpointer v;

  g_hash_table_iter_init (&i, keys->pending);
  while (g_hash_table_iter_next (&i, NULL, &v))
    {
      struct pending *p = v;

      if (turn->now_ms < p->give_up_ms)
        continue;
      refuse (turn, p->query, REASON_KEY_UNKNOWN);
      g_hash_table_iter_remove (&i);
    }
}
