#include "permission.h"

#include <glib.h>
#include <string.h>

/* A node may start work only while it knows that its view was current enough,
   and a mover knows when that is over.  Nodes are named n0, n1, ...; the node
   under test is n0. */

struct world
{
  struct fleet *fleet;
  struct members *members;
  struct turn turn;
  uint64_t offset;
};

static char *
name_of (int node)
{
  return g_strdup_printf ("n%d", node);
}

static void
fold_node (struct world *w, enum record_kind kind, int node,
           uint64_t incarnation)
{
  char *name = name_of (node);
  struct record *r = record_new (kind, name, incarnation);

  r->u.node_join.zone = g_strdup ("z");
  g_assert_cmpint (fleet_fold (w->fleet, r, ++w->offset, 0), ==,
                   VERDICT_ACCEPTED);
  record_destroy (r);
  g_free (name);
}

static void
set_up (struct world *w, int nodes)
{
  memset (w, 0, sizeof *w);
  w->fleet = fleet_new ();
  w->members = members_new ("n0", "z", 1);
  w->turn.node = "n0";
  w->turn.incarnation = 1;
  w->turn.fleet = w->fleet;
  w->turn.members = w->members;
  w->turn.now_ms = 10000;
  for (int i = 0; i < nodes; i++)
    fold_node (w, RECORD_NODE_JOIN, i, 1);
}

static void
tear_down (struct world *w)
{
  fleet_destroy (w->fleet);
  members_destroy (w->members);
}

/* Node says that it has folded OFFSET and echoes n0's stamp STAMP_MS, sent by
   n0's incarnation ECHOED. */
static void
hear_echo (struct world *w, int node, uint64_t offset, int64_t stamp_ms,
           uint64_t echoed, bool stopping)
{
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);
  struct peer_echo e = { g_strdup ("n0"), echoed, stamp_ms };

  p->from = name_of (node);
  p->incarnation = 1;
  p->u.heartbeat.zone = g_strdup ("z");
  p->u.heartbeat.offset = offset;
  p->u.heartbeat.stopping = stopping;
  p->u.heartbeat.echoes = peer_echoes_new ();
  g_array_append_val (p->u.heartbeat.echoes, e);
  members_hear (w->members, p, w->turn.now_ms);
  peer_message_destroy (p);
}

static void
hear (struct world *w, int node, uint64_t offset, int64_t stamp_ms)
{
  hear_echo (w, node, offset, stamp_ms, 1, false);
}

static void
test_nobody_starts_before_joining (void)
{
  struct world w;

  set_up (&w, 0);
  fold_node (&w, RECORD_NODE_JOIN, 1, 1);
  g_assert_cmpint (permission_until (&w.turn, 9999), ==, -1);
  fold_node (&w, RECORD_NODE_JOIN, 0, 2); /* another incarnation */
  g_assert_cmpint (permission_until (&w.turn, 9999), ==, -1);
  tear_down (&w);
}

/* A node that began while the log was out needs a majority without itself. */
static void
test_a_node_that_could_not_join (void)
{
  struct world w;

  set_up (&w, 0);
  for (int i = 1; i <= 4; i++)
    fold_node (&w, RECORD_NODE_JOIN, i, 1);
  hear (&w, 1, 4, 9500);
  hear (&w, 2, 4, 9400);
  g_assert_cmpint (permission_until (&w.turn, 9999), ==, -1);
  hear (&w, 3, 4, 9300);
  g_assert_cmpint (permission_until (&w.turn, 9999), ==, 9300 + PERMISSION_MS);
  hear (&w, 3, 5, 9600); /* it has read further */
  g_assert_cmpint (permission_until (&w.turn, 9999), ==, -1);
  tear_down (&w);
}

static void
test_the_log_alone_is_enough_for_a_time (void)
{
  struct world w;

  set_up (&w, 3);
  g_assert_cmpint (permission_until (&w.turn, -1), ==, -1);
  g_assert_cmpint (permission_until (&w.turn, 9000), ==, 9000 + PERMISSION_MS);
  tear_down (&w);
}

static void
test_an_outage_for_all_lets_a_majority_serve (void)
{
  struct world w;

  set_up (&w, 5);
  hear (&w, 1, 5, 9500);
  g_assert_cmpint (permission_until (&w.turn, -1), ==, -1);
  hear (&w, 2, 5, 9300);
  /* As old as the older of the two that make three of five. */
  g_assert_cmpint (permission_until (&w.turn, -1), ==, 9300 + PERMISSION_MS);
  hear (&w, 3, 4, 9400);
  g_assert_cmpint (permission_until (&w.turn, -1), ==, 9400 + PERMISSION_MS);
  tear_down (&w);
}

static void
test_peers_that_are_ahead_confirm_nothing (void)
{
  struct world w;

  set_up (&w, 3);
  hear (&w, 1, 4, 9500);
  hear (&w, 2, 4, 9500);
  g_assert_cmpint (permission_until (&w.turn, -1), ==, -1);
  /* Once it has read on, their word holds. */
  fold_node (&w, RECORD_NODE_JOIN, 3, 1);
  g_assert_cmpint (permission_until (&w.turn, -1), ==, 9500 + PERMISSION_MS);
  tear_down (&w);
}

static void
test_what_confirms_nothing (void)
{
  struct world w;

  set_up (&w, 3);
  hear_echo (&w, 1, 3, 9500, 2, false); /* a stamp of an earlier process */
  g_assert_cmpint (permission_until (&w.turn, -1), ==, -1);
  hear_echo (&w, 1, 3, 10001, 1, false); /* a stamp that is not ours */
  g_assert_cmpint (permission_until (&w.turn, -1), ==, -1);
  hear (&w, 7, 3, 9500); /* one that has not joined */
  g_assert_cmpint (permission_until (&w.turn, -1), ==, -1);
  hear (&w, 1, 3, 9500);
  g_assert_cmpint (permission_until (&w.turn, -1), ==, 9500 + PERMISSION_MS);
  hear_echo (&w, 1, 3, 9500, 1, true); /* one that is stopping */
  g_assert_cmpint (permission_until (&w.turn, -1), ==, -1);
  tear_down (&w);
}

static void
test_a_late_answer_grants_nothing (void)
{
  struct world w;

  set_up (&w, 3);
  /* Asked at 2000, paused for 60 s, and the answers lie in the buffers. */
  w.turn.now_ms = 62000;
  hear (&w, 1, 3, 2000);
  hear (&w, 2, 3, 2000);
  g_assert_cmpint (permission_until (&w.turn, 2000), <, w.turn.now_ms);
  tear_down (&w);
}

static void
test_readers (void)
{
  struct world w;

  set_up (&w, 5);
  g_assert_false (permission_read_by_most (&w.turn, 6));
  hear (&w, 1, 6, 0);
  g_assert_false (permission_read_by_most (&w.turn, 6));
  hear (&w, 2, 6, 0);
  /* The two left need a third. */
  g_assert_true (permission_read_by_most (&w.turn, 6));
  hear (&w, 3, 6, 0);
  hear (&w, 4, 6, 0);
  g_assert_true (permission_read_by_most (&w.turn, 6));
  tear_down (&w);
}

static void
test_a_node_that_knows_fewer_nodes_needs_fewer (void)
{
  struct world w;

  /* n0, n1, n2 have joined; n1 and n2 read no further.  Two more join and
     read.  By what n1 and n2 know, two of three are a majority. */
  set_up (&w, 3);
  hear (&w, 1, 3, 0);
  hear (&w, 2, 3, 0);
  fold_node (&w, RECORD_NODE_JOIN, 3, 1);
  fold_node (&w, RECORD_NODE_JOIN, 4, 1);
  hear (&w, 3, 6, 0);
  hear (&w, 4, 6, 0);
  g_assert_false (permission_read_by_most (&w.turn, 6));
  hear (&w, 1, 6, 0);
  g_assert_true (permission_read_by_most (&w.turn, 6));
  tear_down (&w);
}

static void
test_a_node_that_left_is_not_waited_for (void)
{
  struct world w;

  set_up (&w, 2);
  g_assert_true (permission_read_by_most (&w.turn, 4));
  fold_node (&w, RECORD_NODE_LEAVE, 1, 1);
  g_assert_true (permission_read_by_most (&w.turn, 4));
  tear_down (&w);
}

/* Over random joins, leaves and reads: whenever the mover finds that most
   have read, no set of nodes that have not could make a majority of what any
   one of them knows. */
static void
test_two_majorities_meet (void)
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
      struct world w;
      uint32_t sizes[64] = { 0 }; /* by offset */
      uint64_t read[NODES];
      bool joined[NODES] = { true, true, true };
      uint64_t target;

      set_up (&w, 3);
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
                                                    (gint32)w.offset + 1);
              continue;
            }
          fold_node (&w, joined[i] ? RECORD_NODE_LEAVE : RECORD_NODE_JOIN, i,
                     1);
          joined[i] = !joined[i];
          sizes[w.offset] = sizes[w.offset - 1] + (joined[i] ? 1 : -1);
          read[i] = w.offset; /* it read its own record */
        }
      target = w.offset;
      for (int i = 1; i < NODES; i++)
        hear (&w, i, read[i], 0);
      if (permission_read_by_most (&w.turn, target))
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
            /* One that has not joined knows what some confirmer has read. */
            for (uint64_t at = joined[i] ? read[i] : oldest; at < target; at++)
              if (missing > sizes[at] / 2)
                g_error ("seed %u: node %d has a majority at %u", seed, i,
                         (guint)at);
          }
      tear_down (&w);
      g_rand_free (random);
    }
  g_assert_cmpuint (found, >, SEEDS / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/permission/joining", test_nobody_starts_before_joining);
  g_test_add_func ("/permission/could-not-join",
                   test_a_node_that_could_not_join);
  g_test_add_func ("/permission/log", test_the_log_alone_is_enough_for_a_time);
  g_test_add_func ("/permission/outage-for-all",
                   test_an_outage_for_all_lets_a_majority_serve);
  g_test_add_func ("/permission/peers-ahead",
                   test_peers_that_are_ahead_confirm_nothing);
  g_test_add_func ("/permission/no-confirmation", test_what_confirms_nothing);
  g_test_add_func ("/permission/late-answer",
                   test_a_late_answer_grants_nothing);
  g_test_add_func ("/permission/readers", test_readers);
  g_test_add_func ("/permission/stale-membership",
                   test_a_node_that_knows_fewer_nodes_needs_fewer);
  g_test_add_func ("/permission/left",
                   test_a_node_that_left_is_not_waited_for);
  g_test_add_func ("/permission/majorities-meet", test_two_majorities_meet);
  return g_test_run ();
}
