#include "keys.h"

#include <glib.h>
#include <string.h>

/* Tests that the outcome of a key can be queried and its request cancelled at
   any node, and that the reply never claims more than is known. */

#define TOKEN "credit-societies-example-token"
#define QUERY 77

struct world
{
  struct counters *counters;
  struct fleet *fleet;
  struct members *members;
  struct requests *requests;
  struct keys *keys;
  struct turn turn;
  GQueue out;
};

static struct key_id
make_key_id (const char *key)
{
  return key_id_make ("credit-societies", "letters", "tracing-letter", key);
}

static void
apply_configuration (struct world *w)
{
  struct record *r = record_new (RECORD_CONFIG, "n9", 1);

  g_assert_true (g_file_get_contents ("examples/kandy/configuration.json",
                                      &r->u.config.text, NULL, NULL));
  g_assert_cmpint (fleet_apply (w->fleet, r, 1, 10), ==, VERDICT_ACCEPTED);
  record_destroy (r);
}

static void
apply_claim (struct world *w, const char *node, const char *key)
{
  struct record *r = record_new (RECORD_CLAIM, node, 1);

  r->u.claim.key = make_key_id (key);
  r->u.claim.remember_ms = 100000;
  g_assert_cmpint (fleet_apply (w->fleet, r, 2, 20), ==, VERDICT_ACCEPTED);
  record_destroy (r);
}

static void
apply_outcome (struct world *w, const char *node, const char *key,
               enum outcome outcome, enum reason reason)
{
  struct record *r = record_new (RECORD_OUTCOME, node, 1);

  r->u.outcome.key = make_key_id (key);
  r->u.outcome.claim = 2;
  r->u.outcome.outcome = outcome;
  r->u.outcome.reason = reason;
  g_assert_cmpint (fleet_apply (w->fleet, r, 3, 30), ==, VERDICT_ACCEPTED);
  record_destroy (r);
}

static void
receive_heartbeat (struct world *w, const char *node)
{
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);

  p->from = g_strdup (node);
  p->incarnation = 1;
  p->u.heartbeat.zone = g_strdup ("z");
  members_handle_heartbeat (w->members, p, w->turn.now_ms);
  peer_message_destroy (p);
}

static void
world_open (struct world *w)
{
  memset (w, 0, sizeof *w);
  w->counters = counters_new ();
  w->fleet = fleet_new ();
  w->members = members_new ("n1", "z", 1);
  w->requests = requests_new (10);
  w->keys = keys_new ();
  w->turn.now_ms = 1000;
  w->turn.node = "n1";
  w->turn.incarnation = 1;
  w->turn.fleet = w->fleet;
  w->turn.members = w->members;
  w->turn.counters = w->counters;
  w->turn.log_reachable = true;
  w->turn.may_start_until_ms = INT64_MAX;
  w->turn.out = &w->out;
  apply_configuration (w);
  receive_heartbeat (w, "n2");
}

static void
world_close (struct world *w)
{
  g_queue_clear_full (&w->out, (GDestroyNotify)message_destroy);
  keys_destroy (w->keys);
  requests_destroy (w->requests);
  members_destroy (w->members);
  fleet_destroy (w->fleet);
  counters_destroy (w->counters);
}

static void
send_query (struct world *w, enum query_kind kind, const char *token,
            const char *key)
{
  struct message *m = message_new (MESSAGE_QUERY);

  m->u.query.query = QUERY;
  m->u.query.kind = kind;
  m->u.query.token = g_strdup (token);
  m->u.query.subject = g_strdup (key);
  m->u.query.text = g_strdup ("");
  keys_query (w->keys, &w->turn, w->requests, &m->u.query);
  message_destroy (m);
}

/* Return the next message produced, which must be of KIND and which the caller
   destroys. */
static struct message *
pop_message (struct world *w, enum message_kind kind)
{
  struct message *m = g_queue_pop_head (&w->out);

  g_assert_nonnull (m);
  g_assert_cmpint (m->kind, ==, kind);
  return m;
}

static void
expect_refusal (struct world *w, enum reason reason)
{
  struct message *m = pop_message (w, MESSAGE_REFUSE);

  g_assert_cmpuint (m->u.refuse.request, ==, QUERY);
  g_assert_cmpstr (reason_name (m->u.refuse.reason), ==, reason_name (reason));
  g_assert_cmpuint (counters_get_reason (w->counters, reason), >=, 1);
  message_destroy (m);
}

static void
expect_reply (struct world *w, const char *part)
{
  struct message *m = pop_message (w, MESSAGE_REPLY);

  g_assert_cmpuint (m->u.reply.query, ==, QUERY);
  g_assert_cmpuint (m->u.reply.status, ==, 200);
  g_assert_nonnull (strstr (m->u.reply.text, part));
  message_destroy (m);
}

static void
test_unknown_team_and_key (void)
{
  struct world w;

  world_open (&w);
  send_query (&w, QUERY_KEY, "wrong", "k");
  expect_refusal (&w, REASON_UNKNOWN_TEAM);
  send_query (&w, QUERY_CANCEL, "wrong", "k");
  expect_refusal (&w, REASON_UNKNOWN_TEAM);
  send_query (&w, QUERY_KEY, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_NOT_FOUND);
  send_query (&w, QUERY_CANCEL, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_NOT_FOUND);
  world_close (&w);
}

/* Query a cancellation of a key that n2 holds.  Return the message sent to n2.
 */
static struct message *
send_cancel_to_holder (struct world *w)
{
  struct message *m;

  apply_claim (w, "n2", "k");
  send_query (w, QUERY_CANCEL, TOKEN, "k");
  m = pop_message (w, MESSAGE_SEND_TO_PEER);
  g_assert_cmpstr (m->u.send_to_peer.to, ==, "n2");
  g_assert_cmpint (m->u.send_to_peer.peer->kind, ==, PEER_KEY_CANCEL);
  return m;
}

static void
reply_as_holder (struct world *w, bool cancelled)
{
  struct peer_message *p = peer_message_new (PEER_KEY_CANCELLED);

  p->from = g_strdup ("n2");
  p->u.key_cancelled.query = QUERY;
  p->u.key_cancelled.cancelled = cancelled;
  keys_handle (w->keys, &w->turn, w->requests, p);
  peer_message_destroy (p);
}

static void
test_cancel_at_another_node (void)
{
  struct world w;

  world_open (&w);
  message_destroy (send_cancel_to_holder (&w));
  reply_as_holder (&w, true);
  expect_reply (&w, "\"reason\":\"cancelled\"");
  /* A second reply has no effect. */
  reply_as_holder (&w, false);
  g_assert_true (g_queue_is_empty (&w.out));
  world_close (&w);
}

static void
test_running_at_another_node (void)
{
  struct world w;

  world_open (&w);
  message_destroy (send_cancel_to_holder (&w));
  reply_as_holder (&w, false);
  expect_refusal (&w, REASON_KEY_IN_PROGRESS);
  world_close (&w);
}

static void
test_holder_does_not_reply (void)
{
  struct world w;

  world_open (&w);
  message_destroy (send_cancel_to_holder (&w));
  w.turn.now_ms += 500;
  keys_step (w.keys, &w.turn);
  g_assert_true (g_queue_is_empty (&w.out));
  w.turn.now_ms += 2000;
  keys_step (w.keys, &w.turn);
  expect_refusal (&w, REASON_KEY_OUTCOME_UNKNOWN);
  reply_as_holder (&w, true);
  g_assert_true (g_queue_is_empty (&w.out));
  world_close (&w);
}

static void
test_holder_is_not_alive (void)
{
  struct world w;

  world_open (&w);
  apply_claim (&w, "n3", "k");
  send_query (&w, QUERY_CANCEL, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_OUTCOME_UNKNOWN);
  world_close (&w);
}

static void
test_keys_with_outcome (void)
{
  struct world w;

  world_open (&w);
  apply_claim (&w, "n2", "k");
  apply_outcome (&w, "n2", "k", OUTCOME_ANSWERED, REASON_NONE);
  send_query (&w, QUERY_CANCEL, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_ANSWERED);
  send_query (&w, QUERY_KEY, TOKEN, "k");
  expect_reply (&w, "\"outcome\":\"answered\"");
  world_close (&w);
  world_open (&w);
  apply_claim (&w, "n2", "k");
  apply_outcome (&w, "n2", "k", OUTCOME_NOT_RUN, REASON_TOO_LATE);
  send_query (&w, QUERY_CANCEL, TOKEN, "k");
  expect_reply (&w, "\"reason\":\"too-late\"");
  world_close (&w);
}

static void
begin_request (struct world *w, const char *key)
{
  struct message *m = message_new (MESSAGE_REQUEST);

  m->u.request.request = 5;
  m->u.request.service = g_strdup ("letters");
  m->u.request.class_name = g_strdup ("tracing-letter");
  m->u.request.token = g_strdup (TOKEN);
  m->u.request.key = g_strdup (key);
  requests_begin (w->requests, &w->turn, &m->u.request);
  message_destroy (m);
}

/* At the node that holds the request: a request that has not started to run is
   cancelled, its caller is refused and the other node gets a reply. */
static void
test_cancel_for_another_node (void)
{
  struct world w;
  struct peer_message *p = peer_message_new (PEER_KEY_CANCEL);
  bool refused = false;
  bool has_replied = false;
  struct message *m;

  world_open (&w);
  begin_request (&w, "k");
  message_destroy (pop_message (&w, MESSAGE_APPEND));
  p->from = g_strdup ("n2");
  p->u.key_cancel.query = 9;
  p->u.key_cancel.key = make_key_id ("k");
  keys_handle (w.keys, &w.turn, w.requests, p);
  while ((m = g_queue_pop_head (&w.out)) != NULL)
    {
      if (m->kind == MESSAGE_REFUSE)
        refused = m->u.refuse.reason == REASON_CANCELLED;
      if (m->kind == MESSAGE_SEND_TO_PEER)
        has_replied = m->u.send_to_peer.peer->kind == PEER_KEY_CANCELLED
                      && m->u.send_to_peer.peer->u.key_cancelled.cancelled
                      && m->u.send_to_peer.peer->u.key_cancelled.query == 9;
      message_destroy (m);
    }
  g_assert_true (refused);
  g_assert_true (has_replied);
  g_assert_cmpuint (requests_count (w.requests), ==, 0);
  /* A second time there is nothing to cancel, and the reply says so. */
  keys_handle (w.keys, &w.turn, w.requests, p);
  m = pop_message (&w, MESSAGE_SEND_TO_PEER);
  g_assert_false (m->u.send_to_peer.peer->u.key_cancelled.cancelled);
  message_destroy (m);
  peer_message_destroy (p);
  world_close (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/keys/unknown-team-and-key", test_unknown_team_and_key);
  g_test_add_func ("/keys/cancel-at-another-node",
                   test_cancel_at_another_node);
  g_test_add_func ("/keys/running-at-another-node",
                   test_running_at_another_node);
  g_test_add_func ("/keys/holder-does-not-reply", test_holder_does_not_reply);
  g_test_add_func ("/keys/holder-is-not-alive", test_holder_is_not_alive);
  g_test_add_func ("/keys/keys-with-outcome", test_keys_with_outcome);
  g_test_add_func ("/keys/cancel-for-another-node",
                   test_cancel_for_another_node);
  return g_test_run ();
}
