#include "members.h"

#include <glib.h>
#include <string.h>

/* Failure detection among many nodes on a virtual clock, with random pauses
   per seed.  The bounds asserted follow from the heartbeat interval and the
   suspicion timeout of the module. */

#define NODES 64
#define STEP_MS 50
#define SEEDS 10
#define LINK_MAX_MS 20

struct net
{
  struct members *members[NODES];
  char *names[NODES];
  int64_t last_heartbeat_ms[NODES];
  int64_t paused_until_ms[NODES];
  int64_t paused_since_ms[NODES]; /* -1 if it is not paused */
  /* After a pause of a node: until then, others may not have heard of its
     return, and it may not have heard all others. */
  int64_t return_heard_by_ms[NODES];
  int64_t all_heard_by_ms[NODES];
  bool cut[NODES][NODES]; /* from, to */
  int64_t now_ms;
  GRand *random;
};

static void
net_start (struct net *n, guint32 seed)
{
  memset (n, 0, sizeof *n);
  n->random = g_rand_new_with_seed (seed);
  for (int i = 0; i < NODES; i++)
    {
      n->names[i] = g_strdup_printf ("n%02d", i);
      n->members[i] = members_new (n->names[i], "z", 1);
      n->paused_since_ms[i] = -1;
      n->last_heartbeat_ms[i]
          = -g_rand_int_range (n->random, 0, MEMBERS_HEARTBEAT_MS);
    }
}

static void
net_end (struct net *n)
{
  for (int i = 0; i < NODES; i++)
    {
      members_destroy (n->members[i]);
      g_free (n->names[i]);
    }
  g_rand_free (n->random);
}

/* The longest time between two heartbeats of a node that is not paused. */
static int64_t
longest_gap_ms (void)
{
  return MEMBERS_HEARTBEAT_MS * NODES / MEMBERS_FULL_RATE_NODES + STEP_MS
         + LINK_MAX_MS;
}

static bool
is_paused (const struct net *n, int i)
{
  return n->paused_until_ms[i] > n->now_ms;
}

static void
send_heartbeat (struct net *n, int from)
{
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);

  p->from = g_strdup (n->names[from]);
  p->incarnation = 1;
  p->u.heartbeat.zone = g_strdup ("z");
  for (int to = 0; to < NODES; to++)
    if (to != from && !n->cut[from][to] && !is_paused (n, to))
      members_handle_heartbeat (
          n->members[to], p,
          n->now_ms + g_rand_int_range (n->random, 0, LINK_MAX_MS));
  peer_message_destroy (p);
  n->last_heartbeat_ms[from] = n->now_ms;
}

static void
step (struct net *n)
{
  n->now_ms += STEP_MS;
  for (int i = 0; i < NODES; i++)
    {
      if (is_paused (n, i))
        continue;
      if (n->paused_since_ms[i] >= 0)
        {
          members_resumed (n->members[i], n->now_ms);
          n->paused_since_ms[i] = -1;
          n->return_heard_by_ms[i] = n->now_ms + STEP_MS + LINK_MAX_MS;
          n->all_heard_by_ms[i] = n->now_ms + longest_gap_ms ();
        }
      if (n->now_ms - n->last_heartbeat_ms[i]
          >= members_heartbeat_ms (n->members[i]))
        send_heartbeat (n, i);
    }
  for (int i = 0; i < NODES; i++)
    if (!is_paused (n, i))
      members_expire (n->members[i], n->now_ms);
}

static void
run (struct net *n, int64_t for_ms)
{
  for (int64_t until_ms = n->now_ms + for_ms; n->now_ms < until_ms;)
    step (n);
}

static bool
sees_alive (const struct net *n, int observer, int whom)
{
  return members_is_alive (n->members[observer], n->names[whom], 1);
}

/* Count the other nodes that are not paused and see WHOM as alive. */
static int
count_seeing_alive (const struct net *n, int whom)
{
  int count = 0;

  for (int i = 0; i < NODES; i++)
    count += i != whom && !is_paused (n, i) && sees_alive (n, i, whom);
  return count;
}

static void
pause_node (struct net *n, int i, int64_t for_ms)
{
  n->paused_since_ms[i] = n->now_ms;
  n->paused_until_ms[i] = n->now_ms + for_ms;
}

static void
test_dead_node_is_suspected_by_all (void)
{
  struct net n;
  int64_t suspect_ms;
  int64_t took_ms = 0;

  net_start (&n, 1);
  run (&n, 10000);
  suspect_ms = members_suspect_ms (n.members[0]);
  pause_node (&n, 5, INT32_MAX);
  while (count_seeing_alive (&n, 5) > 0 && took_ms <= 60000)
    {
      step (&n);
      took_ms += STEP_MS;
    }
  g_test_message ("suspected by all after %d ms", (int)took_ms);
  g_assert_cmpint (took_ms, <=, suspect_ms + 2 * STEP_MS + LINK_MAX_MS);
  net_end (&n);
}

/* About one node in ten is paused at any time, for 0.1 to 30 s.  A node that
   is running must not be suspected, not even by one that has just been paused
   itself.  Exempt is the time in which a node's return, or the heartbeats that
   an observer missed during its pause, are still on their way. */
static void
test_no_false_suspicion_under_pauses (void)
{
  int false_suspicions = 0;
  int true_suspicions = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      struct net n;

      net_start (&n, seed);
      run (&n, 10000);
      for (int round = 0; round < 1200; round++)
        {
          int i = g_rand_int_range (n.random, 0, NODES);

          if (!is_paused (&n, i) && g_rand_int_range (n.random, 0, 45) == 0)
            pause_node (&n, i, g_rand_int_range (n.random, 100, 30000));
          step (&n);
          for (int k = 0; k < NODES; k++)
            {
              int64_t silent_ms
                  = is_paused (&n, k) ? n.now_ms - n.paused_since_ms[k] : 0;
              bool is_suspected = false;

              for (int observer = 0; observer < NODES && !is_suspected;
                   observer++)
                is_suspected = observer != k && !is_paused (&n, observer)
                               && n.all_heard_by_ms[observer] <= n.now_ms
                               && !sees_alive (&n, observer, k);
              true_suspicions += is_suspected && silent_ms > 0;
              false_suspicions += is_suspected && silent_ms == 0
                                  && n.return_heard_by_ms[k] <= n.now_ms;
            }
        }
      net_end (&n);
    }
  g_test_message ("%d true and %d false suspicions (sum over steps)",
                  true_suspicions, false_suspicions);
  g_assert_cmpint (true_suspicions, >, 0);
  g_assert_cmpint (false_suspicions, ==, 0);
}

static void
test_zone_outage_and_return (void)
{
  struct net n;
  int64_t suspect_ms;

  net_start (&n, 3);
  run (&n, 10000);
  suspect_ms = members_suspect_ms (n.members[0]);
  for (int i = 0; i < NODES / 4; i++)
    pause_node (&n, i, 60000);
  run (&n, suspect_ms + 2 * STEP_MS + LINK_MAX_MS);
  for (int i = 0; i < NODES / 4; i++)
    g_assert_cmpint (count_seeing_alive (&n, i), ==, 0);
  run (&n, 60000);
  run (&n, longest_gap_ms ());
  for (int i = 0; i < NODES; i++)
    g_assert_cmpint (count_seeing_alive (&n, i), ==, NODES - 1);
  net_end (&n);
}

/* Node 2 gets no messages from node 1, but node 1 gets those of node 2.  Only
   node 2 must suspect node 1, as long as the cut lasts, and see it as alive
   again afterwards. */
static void
test_asymmetric_network_cut (void)
{
  struct net n;

  net_start (&n, 4);
  run (&n, 10000);
  n.cut[1][2] = true;
  run (&n, members_suspect_ms (n.members[0]) + 2 * STEP_MS + LINK_MAX_MS);
  for (int i = 0; i < 200; i++)
    {
      step (&n);
      g_assert_false (sees_alive (&n, 2, 1));
      g_assert_true (sees_alive (&n, 1, 2));
      g_assert_cmpint (count_seeing_alive (&n, 1), ==, NODES - 2);
    }
  n.cut[1][2] = false;
  run (&n, longest_gap_ms ());
  g_assert_true (sees_alive (&n, 2, 1));
  net_end (&n);
}

/* Nodes that see the same members alive must choose the same owner. */
static void
test_nodes_agree_on_owners (void)
{
  struct net n;

  net_start (&n, 5);
  run (&n, 10000);
  for (int pool = 0; pool < 23; pool++)
    {
      char *name = g_strdup_printf ("pool-%d", pool);
      const char *owner = members_owner (n.members[0], name);

      for (int i = 1; i < NODES; i++)
        g_assert_cmpstr (members_owner (n.members[i], name), ==, owner);
      g_free (name);
    }
  net_end (&n);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/members/dead-node-suspected",
                   test_dead_node_is_suspected_by_all);
  g_test_add_func ("/members/no-false-suspicion",
                   test_no_false_suspicion_under_pauses);
  g_test_add_func ("/members/zone-outage", test_zone_outage_and_return);
  g_test_add_func ("/members/asymmetric-cut", test_asymmetric_network_cut);
  g_test_add_func ("/members/owners", test_nodes_agree_on_owners);
  return g_test_run ();
}
