#include "core.h"
#include "fleet.h"
#include "parts.h"
#include "peer_message.h"
#include "snapshot.h"

#include <glib.h>
#include <string.h>

/* Tests recovery with several cores, a log that drops its oldest records, and
   a simulated clock.  A new or resumed node must restore a checkpoint or a
   peer's snapshot, and must not be ready with an older state than that of its
   peers. */

#define NODES 4
#define TICK_MS 50

static const char *const names[NODES] = { "n1", "n2", "n3", "n4" };

struct log_line
{
  uint64_t offset;
  int64_t at_ms;
  char *text;
};

struct cluster
{
  struct core *core[NODES]; /* NULL if it does not run */
  struct counters *counters[NODES];
  uint64_t read_offset[NODES]; /* last offset that each node has read */
  bool paused[NODES];
  GPtrArray *log;      /* struct log_line * */
  uint64_t trimmed_to; /* last offset that the log has dropped; 0 for none */
  bool log_down;
  bool drop_checkpoints; /* in place of appending them */
  int64_t now_ms;
  uint32_t reply_status; /* status of the last reply */
  char *reply;
  uint64_t incarnations;     /* of all nodes so far */
  bool drop_snapshot_parts;  /* between peers */
  bool send_requests_to_all; /* requests for a snapshot go to all peers, as if
                                none had announced its offset */
};

static void
free_log_line (gpointer p)
{
  struct log_line *l = p;

  g_free (l->text);
  g_free (l);
}

static void deliver (struct cluster *n, int i, struct message *m);

static void
append_text (struct cluster *n, char *text)
{
  struct log_line *l = g_new0 (struct log_line, 1);

  l->offset = n->log->len + 1;
  l->at_ms = n->now_ms;
  l->text = text;
  g_ptr_array_add (n->log, l);
}

static void
append_record (struct cluster *n, const struct record *r)
{
  if (r->kind == RECORD_CHECKPOINT && n->drop_checkpoints)
    return;
  append_text (n, record_to_text (r));
}

static void
send_to_node (struct cluster *n, int to, const struct peer_message *peer)
{
  GBytes *bytes = peer_message_to_bytes (peer);
  struct message *m = message_new (MESSAGE_PEER);

  g_assert_cmpint (peer_message_from_bytes (bytes, &m->u.peer.peer), ==,
                   PEER_READ_OK);
  g_bytes_unref (bytes);
  deliver (n, to, m);
}

static void
send_peer (struct cluster *n, int from, const struct message_send_to_peer *s)
{
  bool is_part = s->peer->kind == PEER_SNAPSHOT_PART;
  bool is_request = s->peer->kind == PEER_SNAPSHOT_ASK;
  bool goes_to_all
      = s->to[0] == '\0' || (n->send_requests_to_all && is_request);

  if (n->drop_snapshot_parts && is_part)
    return;
  for (int i = 0; i < NODES; i++)
    if (i != from && n->core[i] != NULL && !n->paused[i]
        && (goes_to_all || strcmp (s->to, names[i]) == 0))
      send_to_node (n, i, s->peer);
}

static void
handle_output (struct cluster *n, int from, struct message *m)
{
  if (m->kind == MESSAGE_APPEND && !n->log_down)
    append_record (n, m->u.append.record);
  else if (m->kind == MESSAGE_SEND_TO_PEER)
    send_peer (n, from, &m->u.send_to_peer);
  else if (m->kind == MESSAGE_REPLY)
    {
      n->reply_status = m->u.reply.status;
      g_free (n->reply);
      n->reply = g_strdup (m->u.reply.text);
    }
  message_destroy (m);
}

static void
deliver (struct cluster *n, int i, struct message *m)
{
  GQueue out = G_QUEUE_INIT;
  struct message *next;

  core_handle (n->core[i], m, n->now_ms, &out);
  while ((next = g_queue_pop_head (&out)) != NULL)
    handle_output (n, i, next);
}

static void
read_log (struct cluster *n, int i)
{
  struct message *m = message_new (MESSAGE_RECORDS);
  struct message *state = message_new (MESSAGE_LOG_STATE);
  uint64_t from = MAX (n->read_offset[i], n->trimmed_to);

  m->u.records.entries = log_entries_new ();
  m->u.records.first = n->trimmed_to + 1;
  for (guint k = (guint)from; k < n->log->len; k++)
    {
      const struct log_line *l = g_ptr_array_index (n->log, k);
      struct log_entry e = { l->offset, l->at_ms, NULL };

      e.record = record_from_text (l->text, -1, NULL);
      g_array_append_val (m->u.records.entries, e);
      n->read_offset[i] = l->offset;
    }
  state->u.log_state.is_reachable = true;
  state->u.log_state.first = n->trimmed_to + 1;
  state->u.log_state.head = n->log->len;
  state->u.log_state.requested_ms = n->now_ms;
  deliver (n, i, m);
  deliver (n, i, state);
}

static void
run_for (struct cluster *n, int64_t for_ms)
{
  for (int64_t until_ms = n->now_ms + for_ms; n->now_ms < until_ms;)
    {
      n->now_ms += TICK_MS;
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
start_node (struct cluster *n, int i)
{
  struct core_options o = { names[i], "z", ++n->incarnations, 100, 1 };

  n->counters[i] = counters_new ();
  n->core[i] = core_new (&o, n->counters[i]);
  n->read_offset[i] = 0;
  n->paused[i] = false;
}

static void
stop_node (struct cluster *n, int i)
{
  if (n->core[i] == NULL)
    return;
  core_destroy (n->core[i]);
  counters_destroy (n->counters[i]);
  n->core[i] = NULL;
}

static void
cluster_init (struct cluster *n, int count)
{
  memset (n, 0, sizeof *n);
  n->log = g_ptr_array_new_with_free_func (free_log_line);
  n->now_ms = 1000;
  for (int i = 0; i < count; i++)
    start_node (n, i);
}

static void
cluster_clear (struct cluster *n)
{
  for (int i = 0; i < NODES; i++)
    stop_node (n, i);
  g_ptr_array_unref (n->log);
  g_free (n->reply);
}

static void
publish_configuration (struct cluster *n)
{
  struct record *r = record_new (RECORD_CONFIG, "operator", 1);

  g_file_get_contents ("examples/kandy/configuration.json", &r->u.config.text,
                       NULL, NULL);
  for (int i = 0; i < NODES; i++)
    if (n->core[i] != NULL)
      r->u.config.base = MAX (r->u.config.base,
                              fleet_config_version (core_fleet (n->core[i])));
  append_record (n, r);
  record_destroy (r);
}

/* Append COUNT claims of keys that are used nowhere else. */
static void
write_claims (struct cluster *n, int count)
{
  for (int i = 0; i < count; i++)
    {
      struct record *r = record_new (RECORD_CLAIM, "elsewhere", 77);

      r->u.claim.key.high = (n->log->len + 1) * 0x9E3779B97F4A7C15U;
      r->u.claim.key.low = n->log->len + 1;
      r->u.claim.request = n->log->len + 1;
      r->u.claim.seen = n->log->len;
      r->u.claim.remember_ms = 1000000;
      append_record (n, r);
      record_destroy (r);
    }
}

static bool
is_ready (struct cluster *n, int i)
{
  struct message *m = message_new (MESSAGE_QUERY);

  m->u.query.kind = QUERY_READY;
  deliver (n, i, m);
  return n->reply_status == 200;
}

static uint64_t
get_counter (const struct cluster *n, int i, enum counter c)
{
  return counters_get (n->counters[i], c);
}

static bool
has_same_state (const struct cluster *n, int a, int b)
{
  return digest_equal (snapshot_digest (core_fleet (n->core[a])),
                       snapshot_digest (core_fleet (n->core[b])));
}

static void
test_new_node_restores_checkpoint (void)
{
  struct cluster n;

  cluster_init (&n, 3);
  run_for (&n, 500);
  publish_configuration (&n);
  write_claims (&n, 300);
  run_for (&n, 3000);
  write_claims (&n, 40);
  run_for (&n, 1000);
  n.trimmed_to = 200;
  g_assert_cmpuint (get_counter (&n, 0, COUNTER_CHECKPOINTS_PUBLISHED)
                        + get_counter (&n, 1, COUNTER_CHECKPOINTS_PUBLISHED)
                        + get_counter (&n, 2, COUNTER_CHECKPOINTS_PUBLISHED),
                    >=, 1);
  stop_node (&n, 0);
  stop_node (&n, 1);
  start_node (&n, 3);
  run_for (&n, 1500);
  g_assert_cmpuint (get_counter (&n, 3, COUNTER_LOG_GAPS), ==, 1);
  g_assert_cmpuint (get_counter (&n, 3, COUNTER_SNAPSHOTS_RESTORED), ==, 1);
  g_assert_true (has_same_state (&n, 2, 3));
  g_assert_true (is_ready (&n, 3));
  cluster_clear (&n);
}

/* Two nodes that get no messages from each other both publish checkpoints of
   the same log. */
static void
test_concurrent_checkpoints (void)
{
  struct cluster n;

  cluster_init (&n, 2);
  n.paused[1] = true;
  run_for (&n, 500);
  publish_configuration (&n);
  write_claims (&n, 100);
  run_for (&n, 300);
  /* n2 alone reads the same log. */
  n.paused[1] = false;
  n.paused[0] = true;
  run_for (&n, 3000);
  n.paused[0] = false;
  run_for (&n, 3000);
  g_assert_true (has_same_state (&n, 0, 1));
  n.trimmed_to = 60;
  start_node (&n, 2);
  run_for (&n, 3000);
  g_assert_true (has_same_state (&n, 0, 2));
  cluster_clear (&n);
}

static void
corrupt_checkpoints (struct cluster *n)
{
  for (guint i = 0; i < n->log->len; i++)
    {
      struct log_line *l = g_ptr_array_index (n->log, i);
      struct record *r = record_from_text (l->text, -1, NULL);

      if (r->kind == RECORD_CHECKPOINT)
        {
          gsize size;
          guchar *data = g_base64_decode (r->u.checkpoint.data, &size);

          data[size / 2] ^= 1;
          g_free (r->u.checkpoint.data);
          r->u.checkpoint.data = g_base64_encode (data, size);
          g_free (data);
          g_free (l->text);
          l->text = record_to_text (r);
        }
      record_destroy (r);
    }
}

static void
test_corrupt_checkpoint_is_refused (void)
{
  struct cluster n;

  cluster_init (&n, 1);
  run_for (&n, 500);
  publish_configuration (&n);
  write_claims (&n, 100);
  run_for (&n, 1000);
  corrupt_checkpoints (&n);
  n.trimmed_to = 30;
  n.paused[0] = true;
  start_node (&n, 1);
  run_for (&n, 500);
  g_assert_cmpuint (get_counter (&n, 1, COUNTER_SNAPSHOTS_CORRUPT), >=, 1);
  g_assert_cmpuint (fleet_offset (core_fleet (n.core[1])), ==, 0);
  g_assert_false (is_ready (&n, 1));
  /* The next intact checkpoint is restored.  One is due, because the log has
     dropped records and the last checkpoint is near its start. */
  n.paused[0] = false;
  n.trimmed_to = n.log->len - 8;
  run_for (&n, 4000);
  g_assert_true (has_same_state (&n, 0, 1));
  g_assert_true (is_ready (&n, 1));
  cluster_clear (&n);
}

/* A checkpoint that ends before the oldest record of the log would leave a
   gap.  It is never restored, however long the node waits. */
static void
test_checkpoint_before_gap_is_refused (void)
{
  struct cluster n;

  cluster_init (&n, 1);
  run_for (&n, 500);
  publish_configuration (&n);
  write_claims (&n, 100);
  run_for (&n, 1000);
  stop_node (&n, 0);
  n.drop_checkpoints = true;
  write_claims (&n, 5);
  /* Append the checkpoint's records again, after records that the log will
     have dropped. */
  for (guint i = 0, len = n.log->len; i < len; i++)
    {
      const struct log_line *l = g_ptr_array_index (n.log, i);

      if (strstr (l->text, "\"checkpoint\"") != NULL)
        append_text (&n, g_strdup (l->text));
    }
  n.trimmed_to = n.log->len - 1;
  start_node (&n, 1);
  run_for (&n, 20000);
  g_assert_cmpuint (get_counter (&n, 1, COUNTER_SNAPSHOTS_OLDER), ==, 1);
  g_assert_cmpuint (fleet_offset (core_fleet (n.core[1])), ==, 0);
  g_assert_false (is_ready (&n, 1));
  cluster_clear (&n);
}

static uint64_t
count_bytes_received_by_new_node (bool requests_to_all, uint64_t *duplicate)
{
  struct cluster n;
  uint64_t received;

  cluster_init (&n, 3);
  n.send_requests_to_all = requests_to_all;
  run_for (&n, 500);
  publish_configuration (&n);
  write_claims (&n, 20000);
  run_for (&n, 1000);
  n.log_down = true;
  run_for (&n, 1000);
  start_node (&n, 3);
  run_for (&n, 100);
  g_assert_false (is_ready (&n, 3));
  run_for (&n, 2000);
  g_assert_true (is_ready (&n, 3));
  g_assert_true (has_same_state (&n, 0, 3));
  received = get_counter (&n, 3, COUNTER_SNAPSHOT_BYTES_RECEIVED);
  *duplicate = get_counter (&n, 3, COUNTER_SNAPSHOT_BYTES_DUPLICATE);
  cluster_clear (&n);
  return received;
}

/* While the log is unreachable, a new node restores the snapshot of one peer.
   Because heartbeats have announced the offset of each peer, no byte arrives
   twice; if all peers were asked, each would send the whole snapshot. */
static void
test_new_node_restores_peer_snapshot (void)
{
  uint64_t duplicate;
  uint64_t from_one = count_bytes_received_by_new_node (false, &duplicate);
  uint64_t from_all;

  g_assert_cmpuint (from_one, >, PART_MAX_BYTES); /* several parts */
  g_assert_cmpuint (duplicate, ==, 0);
  from_all = count_bytes_received_by_new_node (true, &duplicate);
  g_test_message ("bytes received if one peer is asked: %u; if all three are "
                  "asked: %u, %u of them duplicate",
                  (guint)from_one, (guint)from_all, (guint)duplicate);
  g_assert_cmpuint (duplicate, >=, 2 * from_one * 9 / 10);
}

/* A node that was paused while a configuration was published does not report
   the old one after it has resumed. */
static void
test_resumed_node_is_not_ready_before_catching_up (void)
{
  struct cluster n;
  struct message *m;
  uint64_t old;

  cluster_init (&n, 3);
  run_for (&n, 500);
  publish_configuration (&n);
  run_for (&n, 1000);
  g_assert_true (is_ready (&n, 0));
  n.paused[0] = true;
  publish_configuration (&n);
  run_for (&n, 5000);
  old = fleet_config_version (core_fleet (n.core[0]));
  g_assert_cmpuint (old, <, fleet_config_version (core_fleet (n.core[1])));
  n.paused[0] = false;
  /* A log state that was read before the node resumed does not show that the
     node has caught up. */
  m = message_new (MESSAGE_LOG_STATE);
  m->u.log_state.is_reachable = true;
  m->u.log_state.head = fleet_offset (core_fleet (n.core[0]));
  m->u.log_state.requested_ms = n.now_ms - 4000;
  deliver (&n, 0, m);
  g_assert_false (is_ready (&n, 0));
  m = message_new (MESSAGE_QUERY);
  m->u.query.kind = QUERY_CONFIGURATION;
  deliver (&n, 0, m);
  g_assert_cmpuint (n.reply_status, ==, 503);
  run_for (&n, 1500);
  g_assert_true (is_ready (&n, 0));
  g_assert_cmpuint (fleet_config_version (core_fleet (n.core[0])), >, old);
  cluster_clear (&n);
}

/* The same if the log is unreachable when the node resumes: it restores a
   peer's snapshot. */
static void
test_resumed_node_without_log_restores_peer_snapshot (void)
{
  struct cluster n;

  cluster_init (&n, 3);
  run_for (&n, 500);
  publish_configuration (&n);
  run_for (&n, 1000);
  n.paused[0] = true;
  publish_configuration (&n);
  run_for (&n, 1000);
  n.log_down = true;
  run_for (&n, 4000);
  n.paused[0] = false;
  n.drop_snapshot_parts = true;
  run_for (&n, 6000);
  g_assert_false (is_ready (&n, 0));
  n.drop_snapshot_parts = false;
  run_for (&n, 5000);
  g_assert_true (is_ready (&n, 0));
  g_assert_true (has_same_state (&n, 0, 1));
  cluster_clear (&n);
}

/* All nodes are replaced at once while the log is unreachable.  When the log
   is reachable again, it holds only its newest records. */
static void
test_all_replaced_during_an_outage (void)
{
  struct cluster n;
  uint64_t version;

  cluster_init (&n, 3);
  run_for (&n, 500);
  publish_configuration (&n);
  write_claims (&n, 200);
  run_for (&n, 3000);
  version = fleet_config_version (core_fleet (n.core[0]));
  g_assert_cmpuint (version, >, 0);
  n.log_down = true;
  for (int i = 0; i < 3; i++)
    {
      stop_node (&n, i);
      start_node (&n, i);
    }
  run_for (&n, 5000);
  for (int i = 0; i < 3; i++)
    g_assert_false (is_ready (&n, i));
  n.log_down = false;
  n.trimmed_to = 100;
  run_for (&n, 3000);
  for (int i = 0; i < 3; i++)
    {
      g_assert_true (is_ready (&n, i));
      g_assert_cmpuint (fleet_config_version (core_fleet (n.core[i])), ==,
                        version);
    }
  cluster_clear (&n);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/recovery/new-node-from-checkpoint",
                   test_new_node_restores_checkpoint);
  g_test_add_func ("/recovery/two-checkpoints-at-once",
                   test_concurrent_checkpoints);
  g_test_add_func ("/recovery/corrupt-checkpoint",
                   test_corrupt_checkpoint_is_refused);
  g_test_add_func ("/recovery/older-checkpoint",
                   test_checkpoint_before_gap_is_refused);
  g_test_add_func ("/recovery/new-node-from-peer",
                   test_new_node_restores_peer_snapshot);
  g_test_add_func ("/recovery/paused-node",
                   test_resumed_node_is_not_ready_before_catching_up);
  g_test_add_func ("/recovery/paused-node-log-out",
                   test_resumed_node_without_log_restores_peer_snapshot);
  g_test_add_func ("/recovery/all-replaced-in-outage",
                   test_all_replaced_during_an_outage);
  return g_test_run ();
}
