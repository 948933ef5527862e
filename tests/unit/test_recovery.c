#include "core.h"
#include "fleet.h"
#include "parts.h"
#include "peer_message.h"
#include "snapshot.h"

#include <glib.h>
#include <string.h>

/* Several cores, a log that forgets, and a clock that the test moves.  A new
   or resumed node starts from a checkpoint or a peer, and is never ready with
   less than its peers have in force. */

#define NODES 4
#define STEP_MS 50

static const char *const names[NODES] = { "n1", "n2", "n3", "n4" };

struct written
{
  uint64_t offset;
  int64_t at_ms;
  char *text;
};

struct net
{
  struct core *core[NODES]; /* NULL if it does not run */
  struct counters *counters[NODES];
  uint64_t after[NODES]; /* read from the log */
  bool paused[NODES];
  GPtrArray *log; /* struct written * */
  uint64_t dropped;
  bool log_down;
  bool keep_checkpoints_out; /* of the log */
  int64_t now_ms;
  uint32_t replied; /* status of the last reply */
  char *reply;
  uint64_t incarnations;
  bool lose_parts; /* of snapshots, between peers */
  bool ask_all;    /* an ask goes to all peers, as if nobody had announced */
};

static void
written_free (gpointer p)
{
  struct written *w = p;

  g_free (w->text);
  g_free (w);
}

static void deliver (struct net *n, int i, struct message *m);

static void
append_text (struct net *n, char *text)
{
  struct written *w = g_new0 (struct written, 1);

  w->offset = n->log->len + 1;
  w->at_ms = n->now_ms;
  w->text = text;
  g_ptr_array_add (n->log, w);
}

static void
append (struct net *n, const struct record *r)
{
  if (r->kind == RECORD_CHECKPOINT && n->keep_checkpoints_out)
    return;
  append_text (n, record_to_text (r));
}

static void
send_one (struct net *n, int to, const struct peer_message *peer)
{
  GBytes *bytes = peer_message_to_bytes (peer);
  struct message *m = message_new (MESSAGE_PEER);

  g_assert_cmpint (peer_message_from_bytes (bytes, &m->u.peer.peer), ==,
                   PEER_READ_GOOD);
  g_bytes_unref (bytes);
  deliver (n, to, m);
}

static void
send_peer (struct net *n, int from, const struct message_send *s)
{
  bool part = s->peer->kind == PEER_SNAPSHOT_PART;
  bool ask = s->peer->kind == PEER_SNAPSHOT_ASK;
  bool all = s->to[0] == '\0' || (n->ask_all && ask);

  if (n->lose_parts && part)
    return;
  for (int i = 0; i < NODES; i++)
    if (i != from && n->core[i] != NULL && !n->paused[i]
        && (all || strcmp (s->to, names[i]) == 0))
      send_one (n, i, s->peer);
}

static void
route (struct net *n, int from, struct message *m)
{
  if (m->kind == MESSAGE_APPEND && !n->log_down)
    append (n, m->u.append.record);
  else if (m->kind == MESSAGE_SEND)
    send_peer (n, from, &m->u.send);
  else if (m->kind == MESSAGE_REPLY)
    {
      n->replied = m->u.reply.status;
      g_free (n->reply);
      n->reply = g_strdup (m->u.reply.text);
    }
  message_destroy (m);
}

static void
deliver (struct net *n, int i, struct message *m)
{
  GQueue out = G_QUEUE_INIT;
  struct message *next;

  core_handle (n->core[i], m, n->now_ms, &out);
  while ((next = g_queue_pop_head (&out)) != NULL)
    route (n, i, next);
}

static void
read_log (struct net *n, int i)
{
  struct message *m = message_new (MESSAGE_RECORDS);
  struct message *state = message_new (MESSAGE_LOG_STATE);
  uint64_t from = MAX (n->after[i], n->dropped);

  m->u.records.entries = log_entries_new ();
  m->u.records.first = n->dropped + 1;
  for (guint k = (guint)from; k < n->log->len; k++)
    {
      const struct written *w = g_ptr_array_index (n->log, k);
      struct log_entry e = { w->offset, w->at_ms, NULL };

      e.record = record_from_text (w->text, -1, NULL);
      g_array_append_val (m->u.records.entries, e);
      n->after[i] = w->offset;
    }
  state->u.log_state.reachable = true;
  state->u.log_state.first = n->dropped + 1;
  state->u.log_state.head = n->log->len;
  state->u.log_state.asked_ms = n->now_ms;
  deliver (n, i, m);
  deliver (n, i, state);
}

static void
step (struct net *n, int64_t for_ms)
{
  for (int64_t until_ms = n->now_ms + for_ms; n->now_ms < until_ms;)
    {
      n->now_ms += STEP_MS;
      for (int i = 0; i < NODES; i++)
        {
          if (n->core[i] == NULL || n->paused[i])
            continue;
          if (n->log_down)
            deliver (n, i, message_new (MESSAGE_LOG_STATE));
          else
            read_log (n, i);
          deliver (n, i, message_new (MESSAGE_TICK));
        }
    }
}

static void
start (struct net *n, int i)
{
  struct core_options o = { names[i], "z", ++n->incarnations, 100, 1 };

  n->counters[i] = counters_new ();
  n->core[i] = core_new (&o, n->counters[i]);
  n->after[i] = 0;
  n->paused[i] = false;
}

static void
end (struct net *n, int i)
{
  if (n->core[i] == NULL)
    return;
  core_destroy (n->core[i]);
  counters_destroy (n->counters[i]);
  n->core[i] = NULL;
}

static void
net_init (struct net *n, int count)
{
  memset (n, 0, sizeof *n);
  n->log = g_ptr_array_new_with_free_func (written_free);
  n->now_ms = 1000;
  for (int i = 0; i < count; i++)
    start (n, i);
}

static void
net_clear (struct net *n)
{
  for (int i = 0; i < NODES; i++)
    end (n, i);
  g_ptr_array_unref (n->log);
  g_free (n->reply);
}

static void
publish (struct net *n)
{
  struct record *r = record_new (RECORD_CONFIG, "operator", 1);

  g_file_get_contents ("examples/kandy/configuration.json", &r->u.config.text,
                       NULL, NULL);
  for (int i = 0; i < NODES; i++)
    if (n->core[i] != NULL)
      r->u.config.base = MAX (r->u.config.base,
                              fleet_config_version (core_fleet (n->core[i])));
  append (n, r);
  record_destroy (r);
}

/* Write COUNT claims of keys that nobody else uses. */
static void
write_claims (struct net *n, int count)
{
  for (int i = 0; i < count; i++)
    {
      struct record *r = record_new (RECORD_CLAIM, "elsewhere", 77);

      r->u.claim.key.high = (n->log->len + 1) * 0x9E3779B97F4A7C15U;
      r->u.claim.key.low = n->log->len + 1;
      r->u.claim.request = n->log->len + 1;
      r->u.claim.seen = n->log->len;
      r->u.claim.remember_ms = 1000000;
      append (n, r);
      record_destroy (r);
    }
}

static bool
is_ready (struct net *n, int i)
{
  struct message *m = message_new (MESSAGE_QUERY);

  m->u.query.kind = QUERY_READY;
  deliver (n, i, m);
  return n->replied == 200;
}

static uint64_t
count (const struct net *n, int i, enum counter c)
{
  return counters_get (n->counters[i], c);
}

static bool
same_state (const struct net *n, int a, int b)
{
  return digest_equal (snapshot_digest (core_fleet (n->core[a])),
                       snapshot_digest (core_fleet (n->core[b])));
}

static void
test_new_node_starts_from_a_checkpoint (void)
{
  struct net n;

  net_init (&n, 3);
  step (&n, 500);
  publish (&n);
  write_claims (&n, 300);
  step (&n, 3000);
  write_claims (&n, 40);
  step (&n, 1000);
  n.dropped = 200;
  g_assert_cmpuint (count (&n, 0, COUNTER_CHECKPOINTS_PUBLISHED)
                        + count (&n, 1, COUNTER_CHECKPOINTS_PUBLISHED)
                        + count (&n, 2, COUNTER_CHECKPOINTS_PUBLISHED),
                    >=, 1);
  end (&n, 0);
  end (&n, 1);
  start (&n, 3);
  step (&n, 1500);
  g_assert_cmpuint (count (&n, 3, COUNTER_LOG_GAPS), ==, 1);
  g_assert_cmpuint (count (&n, 3, COUNTER_SNAPSHOTS_RESTORED), ==, 1);
  g_assert_true (same_state (&n, 2, 3));
  g_assert_true (is_ready (&n, 3));
  net_clear (&n);
}

/* Two nodes that don't hear each other both publish. */
static void
test_two_checkpoints_at_once (void)
{
  struct net n;

  net_init (&n, 2);
  n.paused[1] = true;
  step (&n, 500);
  publish (&n);
  write_claims (&n, 100);
  step (&n, 300);
  /* n2 alone sees the same log. */
  n.paused[1] = false;
  n.paused[0] = true;
  step (&n, 3000);
  n.paused[0] = false;
  step (&n, 3000);
  g_assert_true (same_state (&n, 0, 1));
  n.dropped = 60;
  start (&n, 2);
  step (&n, 3000);
  g_assert_true (same_state (&n, 0, 2));
  net_clear (&n);
}

static void
spoil_checkpoints (struct net *n)
{
  for (guint i = 0; i < n->log->len; i++)
    {
      struct written *w = g_ptr_array_index (n->log, i);
      struct record *r = record_from_text (w->text, -1, NULL);

      if (r->kind == RECORD_CHECKPOINT)
        {
          gsize size;
          guchar *data = g_base64_decode (r->u.checkpoint.data, &size);

          data[size / 2] ^= 1;
          g_free (r->u.checkpoint.data);
          r->u.checkpoint.data = g_base64_encode (data, size);
          g_free (data);
          g_free (w->text);
          w->text = record_to_text (r);
        }
      record_destroy (r);
    }
}

static void
test_corrupt_checkpoint_is_refused (void)
{
  struct net n;

  net_init (&n, 1);
  step (&n, 500);
  publish (&n);
  write_claims (&n, 100);
  step (&n, 1000);
  spoil_checkpoints (&n);
  n.dropped = 30;
  n.paused[0] = true;
  start (&n, 1);
  step (&n, 500);
  g_assert_cmpuint (count (&n, 1, COUNTER_SNAPSHOTS_CORRUPT), >=, 1);
  g_assert_cmpuint (fleet_offset (core_fleet (n.core[1])), ==, 0);
  g_assert_false (is_ready (&n, 1));
  /* The next good one is taken: the log has dropped half of its window, so
     one is due. */
  n.paused[0] = false;
  n.dropped = n.log->len - 8;
  step (&n, 4000);
  g_assert_true (same_state (&n, 0, 1));
  g_assert_true (is_ready (&n, 1));
  net_clear (&n);
}

/* A checkpoint that does not reach to what the log still holds would leave a
   gap: it is never used, however long the node waits. */
static void
test_older_checkpoint_is_refused (void)
{
  struct net n;

  net_init (&n, 1);
  step (&n, 500);
  publish (&n);
  write_claims (&n, 100);
  step (&n, 1000);
  end (&n, 0);
  n.keep_checkpoints_out = true;
  write_claims (&n, 5);
  /* Put the checkpoint's records behind a gap. */
  for (guint i = 0, len = n.log->len; i < len; i++)
    {
      const struct written *w = g_ptr_array_index (n.log, i);

      if (strstr (w->text, "\"checkpoint\"") != NULL)
        append_text (&n, g_strdup (w->text));
    }
  n.dropped = n.log->len - 1;
  start (&n, 1);
  step (&n, 20000);
  g_assert_cmpuint (count (&n, 1, COUNTER_SNAPSHOTS_OLDER), ==, 1);
  g_assert_cmpuint (fleet_offset (core_fleet (n.core[1])), ==, 0);
  g_assert_false (is_ready (&n, 1));
  net_clear (&n);
}

static uint64_t
received_by_new_node (bool ask_all, uint64_t *duplicate)
{
  struct net n;
  uint64_t received;

  net_init (&n, 3);
  n.ask_all = ask_all;
  step (&n, 500);
  publish (&n);
  write_claims (&n, 20000);
  step (&n, 1000);
  n.log_down = true;
  step (&n, 1000);
  start (&n, 3);
  step (&n, 100);
  g_assert_false (is_ready (&n, 3));
  step (&n, 2000);
  g_assert_true (is_ready (&n, 3));
  g_assert_true (same_state (&n, 0, 3));
  received = count (&n, 3, COUNTER_SNAPSHOT_BYTES_RECEIVED);
  *duplicate = count (&n, 3, COUNTER_SNAPSHOT_BYTES_DUPLICATE);
  net_clear (&n);
  return received;
}

/* With the log out a new node starts from one peer.  Because heartbeats have
   announced how far each peer is, no byte comes twice; if all were asked, each
   would send all. */
static void
test_new_node_starts_from_a_peer (void)
{
  uint64_t duplicate;
  uint64_t once = received_by_new_node (false, &duplicate);
  uint64_t all;

  g_assert_cmpuint (once, >, PART_MAX_BYTES); /* so in several parts */
  g_assert_cmpuint (duplicate, ==, 0);
  all = received_by_new_node (true, &duplicate);
  g_test_message ("bytes announced first: %u; asked of all three: %u, %u of "
                  "them duplicate",
                  (guint)once, (guint)all, (guint)duplicate);
  g_assert_cmpuint (duplicate, >=, 2 * once * 9 / 10);
}

/* A node that was paused over a publication says nothing of the old one. */
static void
test_paused_node_is_not_ready_before_it_has_caught_up (void)
{
  struct net n;
  struct message *m;
  uint64_t old;

  net_init (&n, 3);
  step (&n, 500);
  publish (&n);
  step (&n, 1000);
  g_assert_true (is_ready (&n, 0));
  n.paused[0] = true;
  publish (&n);
  step (&n, 5000);
  old = fleet_config_version (core_fleet (n.core[0]));
  g_assert_cmpuint (old, <, fleet_config_version (core_fleet (n.core[1])));
  n.paused[0] = false;
  /* An answer that waited since before the pause proves nothing. */
  m = message_new (MESSAGE_LOG_STATE);
  m->u.log_state.reachable = true;
  m->u.log_state.head = fleet_offset (core_fleet (n.core[0]));
  m->u.log_state.asked_ms = n.now_ms - 4000;
  deliver (&n, 0, m);
  g_assert_false (is_ready (&n, 0));
  m = message_new (MESSAGE_QUERY);
  m->u.query.kind = QUERY_CONFIGURATION;
  deliver (&n, 0, m);
  g_assert_cmpuint (n.replied, ==, 503);
  step (&n, 1500);
  g_assert_true (is_ready (&n, 0));
  g_assert_cmpuint (fleet_config_version (core_fleet (n.core[0])), >, old);
  net_clear (&n);
}

/* The same with the log out when it goes on: a peer has what it missed. */
static void
test_paused_node_without_log_catches_up_from_a_peer (void)
{
  struct net n;

  net_init (&n, 3);
  step (&n, 500);
  publish (&n);
  step (&n, 1000);
  n.paused[0] = true;
  publish (&n);
  step (&n, 1000);
  n.log_down = true;
  step (&n, 4000);
  n.paused[0] = false;
  n.lose_parts = true;
  step (&n, 6000);
  g_assert_false (is_ready (&n, 0));
  n.lose_parts = false;
  step (&n, 5000);
  g_assert_true (is_ready (&n, 0));
  g_assert_true (same_state (&n, 0, 1));
  net_clear (&n);
}

/* All nodes are replaced at once while the log is out, and it comes back with
   only its newest records. */
static void
test_all_replaced_during_an_outage (void)
{
  struct net n;
  uint64_t version;

  net_init (&n, 3);
  step (&n, 500);
  publish (&n);
  write_claims (&n, 200);
  step (&n, 3000);
  version = fleet_config_version (core_fleet (n.core[0]));
  g_assert_cmpuint (version, >, 0);
  n.log_down = true;
  for (int i = 0; i < 3; i++)
    {
      end (&n, i);
      start (&n, i);
    }
  step (&n, 5000);
  for (int i = 0; i < 3; i++)
    g_assert_false (is_ready (&n, i));
  n.log_down = false;
  n.dropped = 100;
  step (&n, 3000);
  for (int i = 0; i < 3; i++)
    {
      g_assert_true (is_ready (&n, i));
      g_assert_cmpuint (fleet_config_version (core_fleet (n.core[i])), ==,
                        version);
    }
  net_clear (&n);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/recovery/new-node-from-checkpoint",
                   test_new_node_starts_from_a_checkpoint);
  g_test_add_func ("/recovery/two-checkpoints-at-once",
                   test_two_checkpoints_at_once);
  g_test_add_func ("/recovery/corrupt-checkpoint",
                   test_corrupt_checkpoint_is_refused);
  g_test_add_func ("/recovery/older-checkpoint",
                   test_older_checkpoint_is_refused);
  g_test_add_func ("/recovery/new-node-from-peer",
                   test_new_node_starts_from_a_peer);
  g_test_add_func ("/recovery/paused-node",
                   test_paused_node_is_not_ready_before_it_has_caught_up);
  g_test_add_func ("/recovery/paused-node-log-out",
                   test_paused_node_without_log_catches_up_from_a_peer);
  g_test_add_func ("/recovery/all-replaced-in-outage",
                   test_all_replaced_during_an_outage);
  return g_test_run ();
}
