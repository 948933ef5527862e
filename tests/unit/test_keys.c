#include "keys.h"

#include <glib.h>
#include <string.h>

/* A key is told and cancelled at any node, and only truthfully. */

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
id_of (const char *key)
{
  return key_id_make ("credit-societies", "letters", "tracing-letter", key);
}

static void
fold_configuration (struct world *w)
{
  struct record *r = record_new (RECORD_CONFIG, "n9", 1);

  g_assert_true (g_file_get_contents ("examples/kandy/configuration.json",
                                      &r->u.config.text, NULL, NULL));
  g_assert_cmpint (fleet_apply (w->fleet, r, 1, 10), ==, VERDICT_ACCEPTED);
  record_destroy (r);
}

static void
fold_claim (struct world *w, const char *node, const char *key)
{
  struct record *r = record_new (RECORD_CLAIM, node, 1);

  r->u.claim.key = id_of (key);
  r->u.claim.remember_ms = 100000;
  g_assert_cmpint (fleet_apply (w->fleet, r, 2, 20), ==, VERDICT_ACCEPTED);
  record_destroy (r);
}

static void
fold_outcome (struct world *w, const char *node, const char *key,
              enum outcome outcome, enum reason reason)
{
  struct record *r = record_new (RECORD_OUTCOME, node, 1);

  r->u.outcome.key = id_of (key);
  r->u.outcome.claim = 2;
  r->u.outcome.outcome = outcome;
  r->u.outcome.reason = reason;
  g_assert_cmpint (fleet_apply (w->fleet, r, 3, 30), ==, VERDICT_ACCEPTED);
  record_destroy (r);
}

static void
hear (struct world *w, const char *node)
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
  fold_configuration (w);
  hear (w, "n2");
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
ask (struct world *w, enum query_kind kind, const char *token, const char *key)
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

/* Take the next message, which must be of KIND. */
static struct message *
next (struct world *w, enum message_kind kind)
{
  struct message *m = g_queue_pop_head (&w->out);

  g_assert_nonnull (m);
  g_assert_cmpint (m->kind, ==, kind);
  return m;
}

static void
expect_refusal (struct world *w, enum reason reason)
{
  struct message *m = next (w, MESSAGE_REFUSE);

  g_assert_cmpuint (m->u.refuse.request, ==, QUERY);
  g_assert_cmpstr (reason_name (m->u.refuse.reason), ==, reason_name (reason));
  g_assert_cmpuint (counters_get_reason (w->counters, reason), >=, 1);
  message_destroy (m);
}

static void
expect_reply (struct world *w, const char *part)
{
  struct message *m = next (w, MESSAGE_REPLY);

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
  ask (&w, QUERY_KEY, "wrong", "k");
  expect_refusal (&w, REASON_UNKNOWN_TEAM);
  ask (&w, QUERY_CANCEL, "wrong", "k");
  expect_refusal (&w, REASON_UNKNOWN_TEAM);
  ask (&w, QUERY_KEY, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_NOT_FOUND);
  ask (&w, QUERY_CANCEL, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_NOT_FOUND);
  world_close (&w);
}

/* Ask n2, which holds the key, and return the message that went there. */
static struct message *
ask_holder (struct world *w)
{
  struct message *m;

  fold_claim (w, "n2", "k");
  ask (w, QUERY_CANCEL, TOKEN, "k");
  m = next (w, MESSAGE_SEND);
  g_assert_cmpstr (m->u.send.to, ==, "n2");
  g_assert_cmpint (m->u.send.peer->kind, ==, PEER_KEY_CANCEL);
  return m;
}

static void
answer_as_holder (struct world *w, bool cancelled)
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
  message_destroy (ask_holder (&w));
  answer_as_holder (&w, true);
  expect_reply (&w, "\"reason\":\"cancelled\"");
  /* A second copy of the answer says nothing more. */
  answer_as_holder (&w, false);
  g_assert_true (g_queue_is_empty (&w.out));
  world_close (&w);
}

static void
test_running_at_another_node (void)
{
  struct world w;

  world_open (&w);
  message_destroy (ask_holder (&w));
  answer_as_holder (&w, false);
  expect_refusal (&w, REASON_KEY_IN_PROGRESS);
  world_close (&w);
}

static void
test_holder_is_silent (void)
{
  struct world w;

  world_open (&w);
  message_destroy (ask_holder (&w));
  w.turn.now_ms += 500;
  keys_step (w.keys, &w.turn);
  g_assert_true (g_queue_is_empty (&w.out));
  w.turn.now_ms += 2000;
  keys_step (w.keys, &w.turn);
  expect_refusal (&w, REASON_KEY_UNKNOWN);
  answer_as_holder (&w, true);
  g_assert_true (g_queue_is_empty (&w.out));
  world_close (&w);
}

static void
test_holder_is_gone (void)
{
  struct world w;

  world_open (&w);
  fold_claim (&w, "n3", "k");
  ask (&w, QUERY_CANCEL, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_UNKNOWN);
  world_close (&w);
}

static void
test_settled_keys (void)
{
  struct world w;

  world_open (&w);
  fold_claim (&w, "n2", "k");
  fold_outcome (&w, "n2", "k", OUTCOME_ANSWERED, REASON_NONE);
  ask (&w, QUERY_CANCEL, TOKEN, "k");
  expect_refusal (&w, REASON_KEY_ANSWERED);
  ask (&w, QUERY_KEY, TOKEN, "k");
  expect_reply (&w, "\"outcome\":\"answered\"");
  world_close (&w);
  world_open (&w);
  fold_claim (&w, "n2", "k");
  fold_outcome (&w, "n2", "k", OUTCOME_NOT_RUN, REASON_TOO_LATE);
  ask (&w, QUERY_CANCEL, TOKEN, "k");
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

/* The holder's side: what waits is cancelled, and its caller hears so. */
static void
test_cancel_for_another_node (void)
{
  struct world w;
  struct peer_message *p = peer_message_new (PEER_KEY_CANCEL);
  bool refused = false;
  bool told = false;
  struct message *m;

  world_open (&w);
  begin_request (&w, "k");
  message_destroy (next (&w, MESSAGE_APPEND));
  p->from = g_strdup ("n2");
  p->u.key_cancel.query = 9;
  p->u.key_cancel.key = id_of ("k");
  keys_handle (w.keys, &w.turn, w.requests, p);
  while ((m = g_queue_pop_head (&w.out)) != NULL)
    {
      if (m->kind == MESSAGE_REFUSE)
        refused = m->u.refuse.reason == REASON_CANCELLED;
      if (m->kind == MESSAGE_SEND)
        told = m->u.send.peer->kind == PEER_KEY_CANCELLED
               && m->u.send.peer->u.key_cancelled.cancelled
               && m->u.send.peer->u.key_cancelled.query == 9;
      message_destroy (m);
    }
  g_assert_true (refused);
  g_assert_true (told);
  g_assert_cmpuint (requests_count (w.requests), ==, 0);
  /* Asked again, there is nothing to cancel, and it says so. */
  keys_handle (w.keys, &w.turn, w.requests, p);
  m = next (&w, MESSAGE_SEND);
  g_assert_false (m->u.send.peer->u.key_cancelled.cancelled);
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
  g_test_add_func ("/keys/holder-is-silent", test_holder_is_silent);
  g_test_add_func ("/keys/holder-is-gone", test_holder_is_gone);
  g_test_add_func ("/keys/settled-keys", test_settled_keys);
  g_test_add_func ("/keys/cancel-for-another-node",
                   test_cancel_for_another_node);
  return g_test_run ();
}
