#include "core.h"
#include "fit.h"
#include "fleet.h"
#include "peer_message.h"
#include "plan.h"
#include "platform.h"
#include "record.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Measures how memory, message sizes and processor time of the core grow with
   the number of VMs, keys and nodes.  `bench_capacity --check` fails if a
   message or a table entry exceeds its stated bound. */

/* Upper bounds that the figures of docs/CAPACITY.md assume. */
#define BOUND_VM_BYTES 1024
#define BOUND_KEY_BYTES 320
#define BOUND_NODE_BYTES 512
#define BOUND_HEARTBEAT_BYTES 192
#define BOUND_CLAIM_RECORD_BYTES 400
#define BOUND_STEP_RECORD_BYTES 320

#define BOUND_IDLE_SENT_BYTES 13000 /* per second and node, of 64 nodes */

#define NODE "entry-vm-017"
#define MAC_BYTES 32 /* authentication code before each peer message */
#define IDLE_S 20    /* simulated seconds of an idle node */

static double
used_bytes (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return (double)(m.uordblks + m.hblkhd);
}

static double
now_us (void)
{
  return (double)g_get_monotonic_time ();
}

/* Records that make one table entry each. */

static struct record *
make_vm_add (unsigned i)
{
  struct record *r = record_new (RECORD_VM_ADD, NODE, 1);

  r->u.vm_add.vm = g_strdup_printf ("vm-%06u", i);
  r->u.vm_add.address
      = g_strdup_printf ("10.%u.%u.%u", i >> 16 & 255, i >> 8 & 255, i & 255);
  r->u.vm_add.port = 8000;
  r->u.vm_add.zone = g_strdup_printf ("zone-%u", i % 19);
  r->u.vm_add.rack = g_strdup_printf ("rack-%u", i / 4);
  r->u.vm_add.pool = g_strdup_printf ("pool-%u", i % 23);
  r->u.vm_add.slots = 8;
  return r;
}

static struct record *
make_claim (unsigned i)
{
  struct record *r = record_new (RECORD_CLAIM, NODE, 1);
  char *key = g_strdup_printf ("key-%u", i);

  r->u.claim.key = key_id_make ("team", "letters", "letter", key);
  r->u.claim.body_hash = i;
  r->u.claim.request = i;
  r->u.claim.remember_ms = 86400000;
  g_free (key);
  return r;
}

static struct record *
make_join (unsigned i)
{
  char *node = g_strdup_printf ("entry-vm-%03u", i);
  struct record *r = record_new (RECORD_NODE_JOIN, node, 1);

  r->u.node_join.zone = g_strdup ("zone-1");
  g_free (node);
  return r;
}

static struct record *
make_step (const struct fleet *f, unsigned i)
{
  struct record *r = record_new (RECORD_VM_STEP, NODE, 1);
  const struct fleet_vm *v = g_ptr_array_index (fleet_vms (f), i);

  r->u.vm_step.vm = g_strdup (v->vm);
  r->u.vm_step.since = v->changed_at_offset;
  r->u.vm_step.phase = VM_DOWN;
  r->u.vm_step.pool = g_strdup (v->pool);
  r->u.vm_step.purpose = g_strdup ("gone from the VM list");
  return r;
}

typedef struct record *(*make_function) (unsigned i);

/* Apply N records made by MAKE to a new fleet and return the number of bytes
   by which the heap grew.  Set *APPLY_US to the mean time per record. */
static double
measure_apply (make_function make, unsigned n, double *apply_us)
{
  struct record **records = g_new (struct record *, n);
  struct fleet *f = fleet_new ();
  double before;
  double grown;
  double started;

  for (unsigned i = 0; i < n; i++)
    records[i] = make (i);
  before = used_bytes ();
  started = now_us ();
  for (unsigned i = 0; i < n; i++)
    fleet_apply (f, records[i], i + 1, 1);
  *apply_us = (now_us () - started) / n;
  grown = used_bytes () - before;
  fleet_destroy (f);
  for (unsigned i = 0; i < n; i++)
    record_destroy (records[i]);
  g_free (records);
  return grown;
}

#define POINTS 4

static double
slope_of_state (const char *name, make_function make,
                const unsigned sizes[POINTS])
{
  struct point bytes[POINTS];
  double apply_us = 0;

  for (int i = 0; i < POINTS; i++)
    bytes[i] = (struct point){ sizes[i],
                               measure_apply (make, sizes[i], &apply_us) };
  fit_print (name, "bytes per entry", bytes, POINTS);
  printf ("    applying one record, at %u entries: %.3f us\n",
          sizes[POINTS - 1], apply_us);
  return fit_line (bytes, POINTS).slope;
}

/* Sizes of messages and records. */

static double
record_bytes (struct record *r)
{
  char *text = record_to_text (r);
  double n = (double)strlen (text);

  g_free (text);
  record_destroy (r);
  return n;
}

static double
heartbeat_bytes (unsigned leaving, unsigned echoes, unsigned loads)
{
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);
  GBytes *bytes;
  double n;

  p->from = g_strdup (NODE);
  p->incarnation = 1;
  p->u.heartbeat.zone = g_strdup ("zone-1");
  p->u.heartbeat.leaving = g_new0 (char *, leaving + 1);
  for (unsigned i = 0; i < leaving; i++)
    p->u.heartbeat.leaving[i] = g_strdup_printf ("vm-%06u", i);
  p->u.heartbeat.echoes = peer_echoes_new ();
  for (unsigned i = 0; i < echoes; i++)
    {
      struct peer_echo e = { g_strdup_printf ("n%u", i % 10), 1, 1 };

      g_array_append_val (p->u.heartbeat.echoes, e);
    }
  p->u.heartbeat.loads = peer_loads_new ();
  for (unsigned i = 0; i < loads; i++)
    {
      struct peer_load l = { g_strdup_printf ("pool-%02u", i % 100), 1, 1, 1 };

      g_array_append_val (p->u.heartbeat.loads, l);
    }
  bytes = peer_message_to_bytes (p);
  n = (double)g_bytes_get_size (bytes);
  g_bytes_unref (bytes);
  peer_message_destroy (p);
  return n;
}

static double
step_record_bytes (void)
{
  struct fleet *f = fleet_new ();
  struct record *add = make_vm_add (1);
  double n;

  fleet_apply (f, add, 1, 1);
  record_destroy (add);
  n = record_bytes (make_step (f, 0));
  fleet_destroy (f);
  return n;
}

/* Processor time of the core. */

static GArray *
make_list (unsigned n)
{
  GArray *a = listed_vms_new ();

  for (unsigned i = 0; i < n; i++)
    {
      struct listed_vm v = { 0 };

      v.vm = g_strdup_printf ("vm-%06u", i);
      v.address = g_strdup ("10.0.0.1");
      v.port = 8000;
      v.zone = g_strdup_printf ("zone-%u", i % 19);
      v.rack = g_strdup_printf ("rack-%u", i / 4);
      v.pool = g_strdup_printf ("pool-%u", i % 23);
      v.slots = 8;
      g_array_append_val (a, v);
    }
  return a;
}

static void
discard_messages (GQueue *out)
{
  struct message *m;

  while ((m = g_queue_pop_head (out)) != NULL)
    message_destroy (m);
}

static char *
read_config_text (void)
{
  char *text = NULL;

  if (!g_file_get_contents ("examples/kandy/configuration.json", &text, NULL,
                            NULL))
    {
      fprintf (stderr, "run this from the root of the repository\n");
      exit (2);
    }
  return text;
}

static void
feed_records (struct core *c, GQueue *out, unsigned vms)
{
  struct message *m = message_new (MESSAGE_RECORDS);
  struct record *config = record_new (RECORD_CONFIG, NODE, 1);
  struct log_entry e = { 1, 1, config };

  config->u.config.text = read_config_text ();
  m->u.records.entries = log_entries_new ();
  g_array_append_val (m->u.records.entries, e);
  for (unsigned i = 0; i < vms; i++)
    {
      e = (struct log_entry){ i + 2, 1, make_vm_add (i) };
      g_array_append_val (m->u.records.entries, e);
    }
  core_handle (c, m, 1, out);
  m = message_new (MESSAGE_LOG_STATE);
  m->u.log_state.is_reachable = true;
  m->u.log_state.head = vms + 1;
  core_handle (c, m, 1, out);
  discard_messages (out);
}

struct core_costs
{
  double list_us;       /* processing one VM list */
  double second_us;     /* the cheapest simulated second of an idle node */
  double checkpoint_us; /* the dearest one, in which it writes a checkpoint */
};

static double
measure_second (struct core *c, int64_t from_ms, GQueue *out)
{
  double started = now_us ();
  struct message *m = message_new (MESSAGE_LOG_STATE);

  m->u.log_state.is_reachable = true;
  m->u.log_state.head = fleet_offset (core_fleet (c));
  m->u.log_state.requested_ms = from_ms;
  core_handle (c, m, from_ms, out);
  for (int64_t t = from_ms; t < from_ms + 1000; t += CORE_TICK_MS)
    core_handle (c, message_new (MESSAGE_TICK), t, out);
  return now_us () - started;
}

static struct core_costs
measure_core (unsigned vms)
{
  struct counters *counters = counters_new ();
  struct core_options options = { .node = NODE,
                                  .zone = "zone-1",
                                  .incarnation = 9,
                                  .max_requests = 1000,
                                  .seed = 1 };
  struct core *c = core_new (&options, counters);
  GQueue out = G_QUEUE_INIT;
  struct message *m = message_new (MESSAGE_VM_LIST);
  struct core_costs costs;
  double started;

  feed_records (c, &out, vms);
  m->u.vm_list.vms = make_list (vms);
  core_handle (c, m, 2, &out);
  m = message_new (MESSAGE_VM_LIST);
  m->u.vm_list.vms = make_list (vms);
  started = now_us ();
  core_handle (c, m, 3, &out);
  costs.list_us = now_us () - started;
  costs.second_us = G_MAXDOUBLE;
  costs.checkpoint_us = 0;
  for (int64_t t = 1000; t < 21000; t += 1000)
    {
      double took_us = measure_second (c, t, &out);

      costs.second_us = MIN (costs.second_us, took_us);
      costs.checkpoint_us = MAX (costs.checkpoint_us, took_us);
    }
  discard_messages (&out);
  core_destroy (c);
  counters_destroy (counters);
  return costs;
}

static void
slopes_of_core (void)
{
  static const unsigned sizes[POINTS] = { 50, 500, 2000, 5500 };
  struct point list[POINTS];
  struct point second[POINTS];
  struct point checkpoint[POINTS];

  for (int i = 0; i < POINTS; i++)
    {
      struct core_costs c = measure_core (sizes[i]);

      list[i] = (struct point){ sizes[i], c.list_us };
      second[i] = (struct point){ sizes[i], c.second_us };
      checkpoint[i] = (struct point){ sizes[i], c.checkpoint_us };
    }
  fit_print ("processing one VM list", "us a VM", list, POINTS);
  fit_print ("one second of an idle core", "us a VM", second, POINTS);
  fit_print ("a second with a checkpoint", "us a VM", checkpoint, POINTS);
}

/* Traffic between nodes. */

static struct message *
make_heartbeat (unsigned from, int64_t now_ms)
{
  struct message *m = message_new (MESSAGE_PEER);
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);

  p->from = g_strdup_printf ("entry-vm-%03u", from);
  p->incarnation = 7;
  p->u.heartbeat.zone = g_strdup ("zone-1");
  p->u.heartbeat.stamp_ms = now_ms;
  p->u.heartbeat.leaving = g_new0 (char *, 1);
  p->u.heartbeat.busy = g_new0 (char *, 1);
  m->u.peer.peer = p;
  return m;
}

/* Empty OUT and return the number of bytes that its messages to peers take on
   the wire, with OTHERS other nodes.  A message without an addressee goes to
   each of them. */
static double
sent_bytes (GQueue *out, unsigned others)
{
  double n = 0;
  struct message *m;

  while ((m = g_queue_pop_head (out)) != NULL)
    {
      if (m->kind == MESSAGE_SEND_TO_PEER)
        {
          GBytes *bytes = peer_message_to_bytes (m->u.send_to_peer.peer);
          double size = (double)g_bytes_get_size (bytes) + MAC_BYTES;

          n += m->u.send_to_peer.to[0] == '\0' ? size * others : size;
          g_bytes_unref (bytes);
        }
      message_destroy (m);
    }
  return n;
}

/* Return the bytes per second that one idle node of NODES sends to its
   peers. */
static double
idle_sent_bytes (unsigned nodes)
{
  struct counters *counters = counters_new ();
  struct core_options options = { .node = NODE,
                                  .zone = "zone-1",
                                  .incarnation = 9,
                                  .max_requests = 1000,
                                  .seed = 1 };
  struct core *c = core_new (&options, counters);
  GQueue out = G_QUEUE_INIT;
  double n = 0;

  feed_records (c, &out, 50);
  for (int64_t t = 1000; t < 1000 + IDLE_S * 1000; t += CORE_TICK_MS)
    {
      for (unsigned i = 1; t % 500 == 0 && i < nodes; i++)
        core_handle (c, make_heartbeat (i, t), t, &out);
      core_handle (c, message_new (MESSAGE_TICK), t, &out);
      n += sent_bytes (&out, nodes - 1);
    }
  core_destroy (c);
  counters_destroy (counters);
  return n / IDLE_S;
}

static double
slope_of_nodes (void)
{
  static const unsigned nodes[POINTS] = { 8, 16, 32, 64 };
  struct point bytes[POINTS];

  for (int i = 0; i < POINTS; i++)
    bytes[i] = (struct point){ nodes[i], idle_sent_bytes (nodes[i]) };
  fit_print ("sent by an idle node", "bytes per second and node", bytes,
             POINTS);
  return bytes[POINTS - 1].y;
}

/* Checks against the bounds. */

static int
check_bound (const char *what, double value, double bound)
{
  printf ("%-34s %10.0f bytes, bound %.0f: %s\n", what, value, bound,
          value <= bound ? "holds" : "EXCEEDED");
  return value <= bound ? 0 : 1;
}

int
main (int argc, char **argv)
{
  static const unsigned vms[POINTS] = { 50, 500, 2000, 5500 };
  static const unsigned keys[POINTS] = { 1000, 10000, 100000, 1000000 };
  static const unsigned few_keys[POINTS] = { 1000, 5000, 10000, 20000 };
  static const unsigned nodes[POINTS] = { 8, 64, 256, 1024 };
  int only_check = argc > 1 && strcmp (argv[1], "--check") == 0;
  int only_core = argc > 1 && strcmp (argv[1], "--core") == 0;
  double vm_bytes;
  double key_bytes;
  double node_bytes;
  int failed = 0;

  if (only_core)
    {
      slopes_of_core ();
      return 0;
    }
  /* Allocate with malloc, which used_bytes counts: the slice allocator would
     hide that the hash tables grow by doubling. */
  g_setenv ("G_SLICE", "always-malloc", TRUE);
  vm_bytes = slope_of_state ("state of a VM", make_vm_add, vms);
  key_bytes = slope_of_state ("state of a key", make_claim,
                              only_check ? few_keys : keys);
  node_bytes = slope_of_state ("state of a node", make_join, nodes);
  if (!only_check)
    slopes_of_core ();
  printf ("a leaving VM in a heartbeat: %.1f bytes\n",
          (heartbeat_bytes (100, 0, 0) - heartbeat_bytes (0, 0, 0)) / 100);
  printf ("an echo in a heartbeat: %.1f bytes\n",
          (heartbeat_bytes (0, 100, 0) - heartbeat_bytes (0, 0, 0)) / 100);
  printf ("a pool's load in a heartbeat: %.1f bytes\n",
          (heartbeat_bytes (0, 0, 100) - heartbeat_bytes (0, 0, 0)) / 100);
  printf ("a heartbeat to one node, with the load of a pool: %.0f bytes\n",
          heartbeat_bytes (0, 1, 1));
  failed += check_bound ("a VM in memory", vm_bytes, BOUND_VM_BYTES);
  failed += check_bound ("a key in memory", key_bytes, BOUND_KEY_BYTES);
  failed += check_bound ("a node in memory", node_bytes, BOUND_NODE_BYTES);
  failed += check_bound ("a heartbeat", heartbeat_bytes (0, 0, 0),
                         BOUND_HEARTBEAT_BYTES);
  failed += check_bound ("a second of an idle node of 64", slope_of_nodes (),
                         BOUND_IDLE_SENT_BYTES);
  failed += check_bound ("a claim in the log", record_bytes (make_claim (1)),
                         BOUND_CLAIM_RECORD_BYTES);
  failed += check_bound ("a VM's step in the log", step_record_bytes (),
                         BOUND_STEP_RECORD_BYTES);
  return failed == 0 ? 0 : 1;
}
