#include "permission.h"

#include <glib.h>
#include <string.h>

/* Permission to start work: a node has one only while it knows that its view
   of the log was current enough, and the node that moves a VM knows when the
   permissions of the others have been revoked.  Nodes are named n0, n1, ...;
   the node under test is n0. */

struct fixture
{
  struct fleet *fleet;
  struct members *members;
  struct turn turn;
  uint64_t offset;
};

static char *
node_name (int node)
{
  return g_strdup_printf ("n%d", node);
}

static void
apply_node_record (struct fixture *f, enum record_kind kind, int node,
                   uint64_t incarnation)
{
  char *name = node_name (node);
  struct record *r = record_new (kind, name, incarnation);

  r->u.node_join.zone = g_strdup ("z");
  g_assert_cmpint (fleet_apply (f->fleet, r, ++f->offset, 0), ==,
                   VERDICT_ACCEPTED);
  record_destroy (r);
  g_free (name);
}

static void
set_up (struct fixture *f, int nodes)
{
  memset (f, 0, sizeof *f);
  f->fleet = fleet_new ();
  f->members = members_new ("n0", "z", 1);
  f->turn.node = "n0";
  f->turn.incarnation = 1;
  f->turn.fleet = f->fleet;
  f->turn.members = f->members;
  f->turn.now_ms = 10000;
  for (int i = 0; i < nodes; i++)
    apply_node_record (f, RECORD_NODE_JOIN, i, 1);
}

static void
tear_down (struct fixture *f)
{
  fleet_destroy (f->fleet);
  members_destroy (f->members);
}

/* Give n0 a heartbeat of NODE, which has applied the log up to OFFSET and
   echoes the stamp STAMP_MS of n0's incarnation ECHOED. */
static void
receive_heartbeat (struct fixture *f, int node, uint64_t offset,
                   int64_t stamp_ms, uint64_t echoed, bool stopping)
{
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);
  struct peer_echo e = { g_strdup ("n0"), echoed, stamp_ms };

  p->from = node_name (node);
  p->incarnation = 1;
  p->u.heartbeat.zone = g_strdup ("z");
  p->u.heartbeat.offset = offset;
  p->u.heartbeat.stopping = stopping;
  p->u.heartbeat.echoes = peer_echoes_new ();
  g_array_append_val (p->u.heartbeat.echoes, e);
  members_handle_heartbeat (f->members, p, f->turn.now_ms);
  peer_message_destroy (p);
}

/* Give n0 a heartbeat of NODE that echoes a stamp of n0's own incarnation. */
static void
receive_echo (struct fixture *f, int node, uint64_t offset, int64_t stamp_ms)
{
  receive_heartbeat (f, node, offset, stamp_ms, 1, false);
}

static void
test_no_permission_before_joining (void)
{
  struct fixture f;

  set_up (&f, 0);
  apply_node_record (&f, RECORD_NODE_JOIN, 1, 1);
  g_assert_cmpint (permission_until (&f.turn, 9999), ==, -1);
  apply_node_record (&f, RECORD_NODE_JOIN, 0, 2); /* another incarnation */
  g_assert_cmpint (permission_until (&f.turn, 9999), ==, -1);
  tear_down (&f);
}

/* A node that started while the log was unreachable needs a majority without
   itself. */
static void
test_node_that_could_not_join (void)
{
  struct fixture f;

  set_up (&f, 0);
  for (int i = 1; i <= 4; i++)
    apply_node_record (&f, RECORD_NODE_JOIN, i, 1);
  receive_echo (&f, 1, 4, 9500);
  receive_echo (&f, 2, 4, 9400);
  g_assert_cmpint (permission_until (&f.turn, 9999), ==, -1);
  receive_echo (&f, 3, 4, 9300);
  g_assert_cmpint (permission_until (&f.turn, 9999), ==, 9300 + PERMISSION_MS);
  receive_echo (&f, 3, 5, 9600); /* it has read further */
  g_assert_cmpint (permission_until (&f.turn, 9999), ==, -1);
  tear_down (&f);
}

static void
test_answer_of_the_log_permits (void)
{
  struct fixture f;

  set_up (&f, 3);
  g_assert_cmpint (permission_until (&f.turn, -1), ==, -1);
  g_assert_cmpint (permission_until (&f.turn, 9000), ==, 9000 + PERMISSION_MS);
  tear_down (&f);
}

static void
test_majority_permits_in_a_log_outage (void)
{
  struct fixture f;

  set_up (&f, 5);
  receive_echo (&f, 1, 5, 9500);
  g_assert_cmpint (permission_until (&f.turn, -1), ==, -1);
  receive_echo (&f, 2, 5, 9300);
  /* Three of five nodes are a majority: n0 and two confirmations, of which the
     older one counts. */
  g_assert_cmpint (permission_until (&f.turn, -1), ==, 9300 + PERMISSION_MS);
  receive_echo (&f, 3, 4, 9400);
  g_assert_cmpint (permission_until (&f.turn, -1), ==, 9400 + PERMISSION_MS);
  tear_down (&f);
}

static void
test_peers_that_are_ahead_do_not_confirm (void)
{
  struct fixture f;

  set_up (&f, 3);
  receive_echo (&f, 1, 4, 9500);
  receive_echo (&f, 2, 4, 9500);
  g_assert_cmpint (permission_until (&f.turn, -1), ==, -1);
  /* Once n0 has read as far, they confirm its view. */
  apply_node_record (&f, RECORD_NODE_JOIN, 3, 1);
  g_assert_cmpint (permission_until (&f.turn, -1), ==, 9500 + PERMISSION_MS);
  tear_down (&f);
}

static void
test_invalid_confirmations (void)
{
  struct fixture f;

  set_up (&f, 3);
  receive_heartbeat (&f, 1, 3, 9500, 2,
                     false); /* a stamp of an earlier process */
  g_assert_cmpint (permission_until (&f.turn, -1), ==, -1);
  receive_heartbeat (&f, 1, 3, 10001, 1, false); /* a stamp from the future */
  g_assert_cmpint (permission_until (&f.turn, -1), ==, -1);
  receive_echo (&f, 7, 3, 9500); /* one that has not joined */
  g_assert_cmpint (permission_until (&f.turn, -1), ==, -1);
  receive_echo (&f, 1, 3, 9500);
  g_assert_cmpint (permission_until (&f.turn, -1), ==, 9500 + PERMISSION_MS);
  receive_heartbeat (&f, 1, 3, 9500, 1, true); /* one that is stopping */
  g_assert_cmpint (permission_until (&f.turn, -1), ==, -1);
  tear_down (&f);
}

static void
test_late_answer_does_not_permit (void)
{
  struct fixture f;

  set_up (&f, 3);
  /* n0 asked at 2000 and was paused for 60 s; the answers were buffered. */
  f.turn.now_ms = 62000;
  receive_echo (&f, 1, 3, 2000);
  receive_echo (&f, 2, 3, 2000);
  g_assert_cmpint (permission_until (&f.turn, 2000), <, f.turn.now_ms);
  tear_down (&f);
}

static void
test_quorum_of_readers (void)
{
  struct fixture f;

  set_up (&f, 5);
  g_assert_false (permission_read_by_quorum (&f.turn, 6));
  receive_echo (&f, 1, 6, 0);
  g_assert_false (permission_read_by_quorum (&f.turn, 6));
  receive_echo (&f, 2, 6, 0);
  /* The two others would need a third for a majority. */
  g_assert_true (permission_read_by_quorum (&f.turn, 6));
  receive_echo (&f, 3, 6, 0);
  receive_echo (&f, 4, 6, 0);
  g_assert_true (permission_read_by_quorum (&f.turn, 6));
  tear_down (&f);
}

static void
test_stale_membership_needs_fewer_nodes (void)
{
  struct fixture f;

  /* n0, n1 and n2 have joined; n1 and n2 read no further.  Two more nodes join
     and read.  By the membership that n1 and n2 know, two of three nodes are a
     majority. */
  set_up (&f, 3);
  receive_echo (&f, 1, 3, 0);
  receive_echo (&f, 2, 3, 0);
  apply_node_record (&f, RECORD_NODE_JOIN, 3, 1);
  apply_node_record (&f, RECORD_NODE_JOIN, 4, 1);
  receive_echo (&f, 3, 6, 0);
  receive_echo (&f, 4, 6, 0);
  g_assert_false (permission_read_by_quorum (&f.turn, 6));
  receive_echo (&f, 1, 6, 0);
  g_assert_true (permission_read_by_quorum (&f.turn, 6));
  tear_down (&f);
}

static void
test_node_that_left_is_not_waited_for (void)
{
  struct fixture f;

  set_up (&f, 2);
  g_assert_true (permission_read_by_quorum (&f.turn, 4));
  apply_node_record (&f, RECORD_NODE_LEAVE, 1, 1);
  g_assert_true (permission_read_by_quorum (&f.turn, 4));
  tear_down (&f);
}

/* Runs random joins, leaves and reads.  Whenever n0 finds that a quorum has
   read an offset, the nodes that have not must be no majority by the
   membership that any one of them knows. */
static void
test_quorum_excludes_any_majority (void)
{
  enum
  {
    NODES = 6,
    SEEDS = 2000
  };
  uint32_t found = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct fixture f;
      uint32_t sizes[64] = { 0 }; /* by offset */
      uint64_t read[NODES];
      bool joined[NODES] = { true, true, true };
      uint64_t target;

      set_up (&f, 3);
      sizes[1] = 1;
      sizes[2] = 2;
      sizes[3] = 3;
      for (int i = 0; i < NODES; i++)
        read[i] = 3;
      for (int step = 0; step < 20; step++)
        {
          int i = g_rand_int_range (random, 1, NODES);

          if (g_rand_int_range (random, 0, 3) > 0)
            {
              read[i] = (uint64_t)g_rand_int_range (random, (gint32)read[i],
                                                    (gint32)f.offset + 1);
              continue;
            }
          apply_node_record (
              &f, joined[i] ? RECORD_NODE_LEAVE : RECORD_NODE_JOIN, i, 1);
          joined[i] = !joined[i];
          sizes[f.offset] = sizes[f.offset - 1] + (joined[i] ? 1 : -1);
          read[i] = f.offset; /* it read its own record */
        }
      target = f.offset;
      for (int i = 1; i < NODES; i++)
        receive_echo (&f, i, read[i], 0);
      if (permission_read_by_quorum (&f.turn, target))
        for (int i = 1; i < NODES; i++)
          {
            uint32_t missing = 0;
            uint64_t oldest = target;

            for (int k = 1; k < NODES; k++)
              if (joined[k] && read[k] < target)
                {
                  missing++;
                  oldest = MIN (oldest, read[k]);
                }
            found += missing > 0;
            /* A node that has not joined knows what some node that confirms
               its view has read. */
            for (uint64_t at = joined[i] ? read[i] : oldest; at < target; at++)
              if (missing > sizes[at] / 2)
                g_error ("seed %u: node %d has a majority at %u", seed, i,
                         (guint)at);
          }
      tear_down (&f);
      g_rand_free (random);
    }
  g_assert_cmpuint (found, >, SEEDS / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/permission/joining", test_no_permission_before_joining);
  g_test_add_func ("/permission/could-not-join",
                   test_node_that_could_not_join);
  g_test_add_func ("/permission/answer-of-the-log",
                   test_answer_of_the_log_permits);
  g_test_add_func ("/permission/log-outage",
                   test_majority_permits_in_a_log_outage);
  g_test_add_func ("/permission/peers-ahead",
                   test_peers_that_are_ahead_do_not_confirm);
  g_test_add_func ("/permission/invalid-confirmations",
                   test_invalid_confirmations);
  g_test_add_func ("/permission/late-answer",
                   test_late_answer_does_not_permit);
  g_test_add_func ("/permission/quorum-of-readers", test_quorum_of_readers);
  g_test_add_func ("/permission/stale-membership",
                   test_stale_membership_needs_fewer_nodes);
  g_test_add_func ("/permission/node-left",
                   test_node_that_left_is_not_waited_for);
  g_test_add_func ("/permission/quorum-excludes-majority",
                   test_quorum_excludes_any_majority);
  return g_test_run ();
}
