#include "listing.h"

#include <glib.h>
#include <string.h>

/* Among several nodes on a virtual clock, one at a time reads the VM list, and
   sends its changes to the others. */

#define NODES 5
#define STEP_MS 50

struct world
{
  struct listing *listing[NODES];
  struct members *members[NODES];
  struct counters *counters;
  char *names[NODES];
  bool dead[NODES];
  int reads[NODES];
  int64_t last_read_ms;
  int64_t longest_gap_ms;
};

static struct turn
begin_turn (struct world *w, int i, int64_t now_ms, GQueue *out)
{
  struct turn t = { .now_ms = now_ms,
                    .node = w->names[i],
                    .incarnation = 1,
                    .members = w->members[i],
                    .counters = w->counters,
                    .out = out };

  return t;
}

static void
exchange_heartbeats (struct world *w, int64_t now_ms)
{
  for (int from = 0; from < NODES; from++)
    {
      struct peer_message *p = peer_message_new (PEER_HEARTBEAT);

      p->from = g_strdup (w->names[from]);
      p->incarnation = 1;
      p->u.heartbeat.zone = g_strdup ("zone-1");
      for (int to = 0; to < NODES; to++)
        if (!w->dead[from])
          members_handle_heartbeat (w->members[to], p, now_ms);
      peer_message_destroy (p);
    }
  for (int i = 0; i < NODES; i++)
    members_expire (w->members[i], now_ms);
}

static void
world_start (struct world *w)
{
  memset (w, 0, sizeof *w);
  w->counters = counters_new ();
  for (int i = 0; i < NODES; i++)
    {
      w->names[i] = g_strdup_printf ("n%d", i);
      w->listing[i] = listing_new ();
      w->members[i] = members_new (w->names[i], "zone-1", 1);
    }
}

static void
world_end (struct world *w)
{
  for (int i = 0; i < NODES; i++)
    {
      listing_destroy (w->listing[i]);
      members_destroy (w->members[i]);
      g_free (w->names[i]);
    }
  counters_destroy (w->counters);
}

/* Let node I read VMS, and deliver the changes that it sends to all alive
   nodes. */
static void
read_list (struct world *w, int i, const GArray *vms, int64_t now_ms)
{
  GQueue out = G_QUEUE_INIT;
  struct turn t = begin_turn (w, i, now_ms, &out);
  struct message *m;

  listing_publish_changes (w->listing[i], &t, vms);
  w->reads[i]++;
  if (w->last_read_ms > 0)
    w->longest_gap_ms = MAX (w->longest_gap_ms, now_ms - w->last_read_ms);
  w->last_read_ms = now_ms;
  m = g_queue_pop_head (&out);
  for (int k = 0; k < NODES; k++)
    {
      if (k == i || w->dead[k])
        continue;
      listing_note_changes (w->listing[k], &m->u.send_to_peer.peer->u.vm_news);
      listing_note_read (w->listing[k], w->names[i], now_ms);
    }
  message_destroy (m);
}

static void
run (struct world *w, const GArray *vms, int64_t from_ms, int64_t until_ms)
{
  for (int64_t now_ms = from_ms; now_ms < until_ms; now_ms += STEP_MS)
    {
      if (now_ms % 500 == 0)
        exchange_heartbeats (w, now_ms);
      for (int i = 0; i < NODES; i++)
        {
          GQueue out = G_QUEUE_INIT;
          struct turn t = begin_turn (w, i, now_ms, &out);

          if (!w->dead[i] && listing_is_due (w->listing[i], &t))
            read_list (w, i, vms, now_ms);
        }
    }
}

static int
total_reads (const struct world *w)
{
  int n = 0;

  for (int i = 0; i < NODES; i++)
    n += w->reads[i];
  return n;
}

static void
test_nodes_read_in_turns (void)
{
  struct world w;
  GArray *vms = listed_vms_new ();

  world_start (&w);
  run (&w, vms, 1000, 61000);
  /* One read per interval, and besides the first read of each node. */
  g_assert_cmpint (total_reads (&w), <=, 60000 / LISTING_INTERVAL_MS + NODES);
  for (int i = 0; i < NODES; i++)
    g_assert_cmpint (w.reads[i], >=, 60000 / LISTING_INTERVAL_MS / NODES - 1);
  g_array_unref (vms);
  world_end (&w);
}

static void
test_dead_readers_are_skipped (void)
{
  struct world w;
  GArray *vms = listed_vms_new ();

  world_start (&w);
  run (&w, vms, 1000, 11000);
  w.dead[2] = true;
  w.dead[3] = true;
  w.longest_gap_ms = 0;
  run (&w, vms, 11000, 41000);
  /* A leaving VM must get no new work from 3 s after the platform lists it as
     leaving.  Reads at most 2.5 s apart leave time for the rest. */
  g_assert_cmpint (w.longest_gap_ms, <=, 2500);
  g_array_unref (vms);
  world_end (&w);
}

static void
add_vm (GArray *vms, const char *vm, enum vm_state state, uint32_t running)
{
  struct listed_vm v = { 0 };

  v.vm = g_strdup (vm);
  v.state = state;
  v.running = running;
  g_array_append_val (vms, v);
}

/* Let node 0 read VMS and return the message with the changes that it sends.
   The caller destroys it. */
static struct message *
changes_sent_for (struct world *w, const GArray *vms)
{
  GQueue out = G_QUEUE_INIT;
  struct turn t = begin_turn (w, 0, 1000, &out);

  listing_publish_changes (w->listing[0], &t, vms);
  return g_queue_pop_head (&out);
}

static void
test_only_changes_are_sent (void)
{
  struct world w;
  GArray *vms = listed_vms_new ();
  struct message *m;
  const struct peer_vm_state *s;

  world_start (&w);
  add_vm (vms, "vm-1", VM_STATE_LIVE, 3);
  add_vm (vms, "vm-2", VM_STATE_LIVE, 0);
  message_destroy (changes_sent_for (&w, vms));
  g_array_index (vms, struct listed_vm, 0).running = 4;
  m = changes_sent_for (&w, vms);
  g_assert_cmpuint (m->u.send_to_peer.peer->u.vm_news.states->len, ==, 0);
  message_destroy (m);
  g_array_index (vms, struct listed_vm, 1).state = VM_STATE_LEAVING;
  m = changes_sent_for (&w, vms);
  g_assert_cmpuint (m->u.send_to_peer.peer->u.vm_news.states->len, ==, 1);
  s = &g_array_index (m->u.send_to_peer.peer->u.vm_news.states,
                      struct peer_vm_state, 0);
  g_assert_cmpstr (s->vm, ==, "vm-2");
  g_assert_cmpint (s->state, ==, VM_STATE_LEAVING);
  message_destroy (m);
  g_array_remove_index (vms, 0);
  m = changes_sent_for (&w, vms);
  s = &g_array_index (m->u.send_to_peer.peer->u.vm_news.states,
                      struct peer_vm_state, 0);
  g_assert_cmpstr (s->vm, ==, "vm-1");
  g_assert_cmpint (s->state, ==, VM_STATE_GONE);
  message_destroy (m);
  g_array_unref (vms);
  world_end (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/listing/turns", test_nodes_read_in_turns);
  g_test_add_func ("/listing/dead-readers", test_dead_readers_are_skipped);
  g_test_add_func ("/listing/only-changes", test_only_changes_are_sent);
  return g_test_run ();
}
