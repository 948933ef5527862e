#include "parts.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define TICK_MIN_MS 50
#define TICK_MAX_MS 70
#define MAX_LINK_DELAY_MS 4
#define MAX_PEER_DELAY_MS 2500
#define MAX_EDGE_DELAY_MS 15000
#define DROP_PERCENT 30
#define SETTLING_MS 26000 /* longer than the longest caller timeout */

static const char *const fault_names[WORLD_FAULT_COUNT] = {
  "kill",        "kill-all",  "freeze",     "stop",         "edge-delay",
  "log-down",    "log-cut",   "reply-lost", "write-lost",   "copy-delayed",
  "peer-cut",    "peer-drop", "peer-delay", "callers-race", "operators-race",
  "maintenance", "vm-leaves", "vm-fails",   "rack-fails",   "worker-errors",
};

static const char *const mutation_names[WORLD_MUTATION_COUNT] = {
  "none",      "no-claim",   "every-claim", "lie",      "deaf-to-leaving",
  "no-budget", "no-version", "late-sends",  "no-pause", "no-ack"
};

const char *
world_fault_name (enum world_fault fault)
{
  return fault_names[fault];
}

const char *
world_mutation_name (enum world_mutation mutation)
{
  return mutation_names[mutation];
}

/* Random numbers. */

static uint64_t
next_random (struct world *w)
{
  uint64_t z = (w->random += 0x9e3779b97f4a7c15U);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

int64_t
draw (struct world *w, int64_t low, int64_t high)
{
  return low + (int64_t)(next_random (w) % (uint64_t)(high - low + 1));
}

bool
chance (struct world *w, int percent)
{
  return draw (w, 1, 100) <= percent;
}

void
report_violation (struct world *w, const char *format, ...)
{
  va_list args;

  if (w->violation != NULL)
    return;
  va_start (args, format);
  w->violation = g_strdup_vprintf (format, args);
  va_end (args);
}

/* Events. */

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct event *x = a;
  const struct event *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

static void
event_free (gpointer p)
{
  struct event *e = p;

  if (e->message != NULL)
    message_destroy (e->message);
  g_clear_pointer (&e->bytes, g_bytes_unref);
  g_clear_pointer (&e->texts, g_ptr_array_unref);
  g_free (e);
}

static void
event_free_cb (gpointer event, gpointer unused)
{
  event_free (event);
}

static void
event_put (struct world *w, struct event *e)
{
  e->order = ++w->last_number;
  g_sequence_insert_sorted (w->events, e, compare_events, NULL);
}

static struct event *
event_at (struct world *w, enum event_kind kind, int node, int64_t at_ms,
          enum channel channel)
{
  struct event *e = g_new0 (struct event, 1);

  e->kind = kind;
  e->node = node;
  e->at_ms = at_ms;
  e->channel = channel;
  if (node >= 0 && kind != EVENT_PEER)
    e->incarnation = w->nodes[node].incarnation;
  event_put (w, e);
  return e;
}

struct event *
event_add (struct world *w, enum event_kind kind, int node, int64_t delay_ms)
{
  return event_at (w, kind, node, w->now_ms + delay_ms, CHANNEL_TIMERS);
}

/* Add an event that follows all earlier events of CHANNEL of NODE. */
static struct event *
event_add_in_order (struct world *w, enum event_kind kind, int node,
                    enum channel channel, int64_t delay_ms)
{
  int64_t *last_ms = &w->nodes[node].last_ms[channel];

  *last_ms = MAX (*last_ms, w->now_ms + delay_ms);
  return event_at (w, kind, node, *last_ms, channel);
}

void
deliver (struct world *w, int node, enum channel channel,
         struct message *message, int64_t delay_ms)
{
  if (w->nodes[node].core == NULL)
    message_destroy (message);
  else
    event_add_in_order (w, EVENT_DELIVER, node, channel, delay_ms)->message
        = message;
}

/* Links between nodes. */

static bool
link_is_cut (const struct world *w, int from, int to)
{
  return w->n_peer_cuts[from] > 0 || w->n_peer_cuts[to] > 0;
}

static void
send_to_peer (struct world *w, int from, int to, GBytes *bytes)
{
  struct event *e;
  int64_t delay_ms = draw (w, 0, MAX_LINK_DELAY_MS);
  int64_t *last_ms = &w->nodes[from].last_peer_ms[to];

  if (from == to || link_is_cut (w, from, to)
      || (w->active_faults[FAULT_PEER_DROP] > 0 && chance (w, DROP_PERCENT)))
    return;
  if (w->active_faults[FAULT_PEER_DELAY] > 0)
    delay_ms += draw (w, 0, MAX_PEER_DELAY_MS);
  *last_ms = MAX (*last_ms, w->now_ms + delay_ms);
  e = event_at (w, EVENT_PEER, to, *last_ms, CHANNEL_PEERS);
  e->bytes = g_bytes_ref (bytes);
  e->from = from;
}

static void
send_peers (struct world *w, int from, const struct message_send_to_peer *send)
{
  GBytes *bytes = peer_message_to_bytes (send->peer);

  for (int i = 0; i < w->options.n_nodes; i++)
    if (send->to[0] == '\0' || strcmp (send->to, w->nodes[i].name) == 0)
      send_to_peer (w, from, i, bytes);
  g_bytes_unref (bytes);
}

static void
hide_leaving (struct peer_message *p)
{
  if (p->kind == PEER_HEARTBEAT)
    g_clear_pointer (&p->u.heartbeat.leaving, g_strfreev);
  if (p->kind != PEER_VM_NEWS)
    return;
  for (guint i = 0; i < p->u.vm_news.states->len; i++)
    {
      struct peer_vm_state *s
          = &g_array_index (p->u.vm_news.states, struct peer_vm_state, i);

      if (s->state == VM_STATE_LEAVING)
        s->state = VM_STATE_LIVE;
    }
}

bool
world_permission_never_expires (const struct world *w)
{
  return w->options.mutation == MUTATION_NO_PAUSE
         || w->options.mutation == MUTATION_NO_ACK;
}

static void
receive_peer_message (struct world *w, const struct event *e)
{
  struct message *m;
  struct peer_message *p = NULL;

  if (link_is_cut (w, e->from, e->node)
      || peer_message_from_bytes (e->bytes, &p) != PEER_READ_OK)
    return;
  if (w->options.mutation == MUTATION_DEAF_TO_LEAVING)
    hide_leaving (p);
  if (w->options.mutation == MUTATION_LATE_SENDS && p->kind == PEER_HEARTBEAT)
    g_clear_pointer (&p->u.heartbeat.busy, g_strfreev);
  if (w->options.mutation == MUTATION_NO_ACK && p->kind == PEER_HEARTBEAT)
    p->u.heartbeat.offset = UINT32_MAX;
  m = message_new (MESSAGE_PEER);
  m->u.peer.peer = p;
  deliver (w, e->node, CHANNEL_PEERS, m, 0);
}

/* Nodes. */

static void
handle_output (struct world *w, int node, struct message *m)
{
  int64_t late_ms
      = w->n_edge_delays[node] > 0 ? draw (w, 0, MAX_EDGE_DELAY_MS) : 0;
  struct event *e;

  switch (m->kind)
    {
    case MESSAGE_RUN:
    case MESSAGE_REFUSE:
    case MESSAGE_REPLY:
      event_add_in_order (w, EVENT_EDGE, node, CHANNEL_TO_EDGE, late_ms)
          ->message
          = m;
      return;
    case MESSAGE_APPEND:
      log_append (w, node, m->u.append.record);
      break;
    case MESSAGE_APPEND_CANCEL:
      log_cancel (w, node, m->u.append_cancel.uid);
      break;
    case MESSAGE_SEND_TO_PEER:
      send_peers (w, node, &m->u.send_to_peer);
      break;
    case MESSAGE_VM_ORDER:
      e = event_add (w, EVENT_ORDER, -1, draw (w, 1, 30));
      e->message = m;
      e->from = node;
      return;
    case MESSAGE_READ_VM_LIST:
      event_add (w, EVENT_LIST_READ, node, draw (w, 1, 10));
      break;
    case MESSAGE_STOPPED:
      node_end (w, node);
      e = event_add (w, EVENT_FAULT_END, -1, draw (w, 100, 2000));
      e->number = FAULT_STOP;
      e->from = node;
      break;
    default:
      break;
    }
  message_destroy (m);
}

/* Return the time of NODE's own clock, which starts at a random value. */
int64_t
node_clock_ms (const struct world *w, int node)
{
  const struct sim_node *n = &w->nodes[node];

  return n->clock_base_ms + w->now_ms - n->started_ms;
}

static void
run_core (struct world *w, int node, struct message *m)
{
  struct sim_node *n = &w->nodes[node];
  GQueue out = G_QUEUE_INIT;
  struct message *next;

  core_handle (n->core, m, node_clock_ms (w, node), &out);
  while ((next = g_queue_pop_head (&out)) != NULL)
    handle_output (w, node, next);
  invariants_check_node (w, node);
}

void
node_start (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  static const char *const zones[] = { "zone-1", "zone-2", "zone-3" };
  struct core_options options = {
    .node = n->name,
    .zone = zones[node % 3],
    .incarnation = (uint64_t)w->now_ms + 1,
    .max_requests = 1000,
    .seed = next_random (w),
  };

  if (n->core != NULL)
    return;
  n->incarnation = options.incarnation;
  n->counters = counters_new ();
  n->core = core_new (&options, n->counters);
  n->started_ms = w->now_ms;
  n->clock_base_ms = draw (w, 1000, 1000000);
  n->is_frozen = false;
  n->last_request = 0;
  n->outgoing = g_ptr_array_new_with_free_func (outgoing_record_free);
  n->is_appending = false;
  n->is_flush_scheduled = false;
  n->read_offset = 0;
  n->checked_offset = 0;
  memset (n->last_ms, 0, sizeof n->last_ms);
  event_add (w, EVENT_TICK, node, draw (w, 0, TICK_MAX_MS));
  event_add (w, EVENT_LOG_READ, node, draw (w, 1, 30));
}

void
node_end (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  struct event *e;

  if (n->core == NULL)
    return;
  core_destroy (n->core);
  counters_destroy (n->counters);
  g_ptr_array_unref (n->outgoing);
  n->core = NULL;
  n->is_frozen = false;
  while ((e = g_queue_pop_head (&n->held_events)) != NULL)
    event_free (e);
  edge_handle_node_end (w, node);
}

void
world_kill (struct world *world, int node)
{
  node_end (world, node);
}

void
world_restart (struct world *world, int node)
{
  node_start (world, node);
}

void
world_freeze (struct world *world, int node)
{
  struct sim_node *n = &world->nodes[node];

  if (n->core == NULL || n->is_frozen)
    return;
  n->is_frozen = true;
  n->frozen_ms = world->now_ms;
}

/* Hide from the core of NODE that it was frozen: send it the ticks of that
   time. */
static void
hide_pause_from_core (struct world *w, int node)
{
  int64_t end_ms = w->now_ms;

  for (w->now_ms = w->nodes[node].frozen_ms; w->now_ms < end_ms;
       w->now_ms += TICK_MAX_MS)
    if (w->nodes[node].core != NULL)
      run_core (w, node, message_new (MESSAGE_TICK));
  w->now_ms = end_ms;
}

/* Events that arrived while the node was frozen are handled by its tasks,
   which run in any order relative to each other: each channel resumes after a
   random delay. */
void
world_unfreeze (struct world *world, int node)
{
  struct sim_node *n = &world->nodes[node];
  struct event *e;
  int64_t at_ms[CHANNEL_COUNT];

  if (!n->is_frozen)
    return;
  n->is_frozen = false;
  if (world_permission_never_expires (world))
    hide_pause_from_core (world, node);
  for (int i = 0; i < CHANNEL_COUNT; i++)
    {
      at_ms[i] = world->now_ms + draw (world, 0, 20);
      n->last_ms[i] = MAX (n->last_ms[i], at_ms[i]);
    }
  while ((e = g_queue_pop_head (&n->held_events)) != NULL)
    {
      e->at_ms = at_ms[e->channel];
      event_put (world, e);
    }
}

/* Handling of events. */

static void
tick (struct world *w, int node)
{
  run_core (w, node, message_new (MESSAGE_TICK));
  if (w->nodes[node].core != NULL)
    event_add (w, EVENT_TICK, node, draw (w, TICK_MIN_MS, TICK_MAX_MS));
}

/* Handle an event that does not belong to one running node. */
static void
handle_world_event (struct world *w, struct event *e)
{
  switch (e->kind)
    {
    case EVENT_WRITE:
      log_write (w, e);
      break;
    case EVENT_RUN_ARRIVES:
      vms_handle_run (w, e);
      break;
    case EVENT_TASK_END:
      vms_end_task (w, e->vm_task);
      break;
    case EVENT_ORDER:
      if (w->n_log_cuts[e->from] == 0)
        vms_handle_order (w, &e->message->u.vm_order);
      break;
    case EVENT_VM_RETURNS:
      vms_return_to_service (w, e->from, (uint64_t)e->number);
      break;
    case EVENT_CALL:
      edge_start_next_call (w);
      break;
    case EVENT_CALLER_TIMEOUT:
      edge_caller_timeout (w, e->attempt);
      break;
    case EVENT_FAULT:
      faults_begin_next (w);
      break;
    case EVENT_FAULT_END:
      faults_end (w, (enum world_fault)e->number, e->from);
      break;
    default:
      break;
    }
}

static void
handle_node_event (struct world *w, struct event *e)
{
  switch (e->kind)
    {
    case EVENT_TICK:
      tick (w, e->node);
      break;
    case EVENT_DELIVER:
      run_core (w, e->node, g_steal_pointer (&e->message));
      break;
    case EVENT_EDGE:
      edge_handle_message (w, e->node, e->message);
      break;
    case EVENT_RUN_END:
      edge_handle_run_end (w, e->attempt, (uint32_t)e->number,
                           (enum run_result)e->from);
      break;
    case EVENT_RUN_TIMEOUT:
      edge_run_timeout (w, e->attempt, (uint32_t)e->number);
      break;
    case EVENT_FLUSH:
      log_flush (w, e->node);
      break;
    case EVENT_APPEND_REPLY:
      log_handle_append_reply (w, e);
      break;
    case EVENT_LOG_READ:
      log_read (w, e->node);
      break;
    case EVENT_LIST_READ:
      vms_read_list (w, e->node);
      break;
    case EVENT_PEER:
      receive_peer_message (w, e);
      break;
    default:
      break;
    }
}

/* Handle E, or hold it while its node is frozen.  Return whether the caller
   must free it. */
static bool
dispatch_event (struct world *w, struct event *e)
{
  struct sim_node *n;

  if (e->node < 0)
    {
      handle_world_event (w, e);
      return true;
    }
  n = &w->nodes[e->node];
  if (n->core == NULL
      || (e->incarnation != 0 && e->incarnation != n->incarnation))
    return true;
  if (n->is_frozen)
    {
      g_queue_push_tail (&n->held_events, e);
      return false;
    }
  handle_node_event (w, e);
  return true;
}

static bool
process_next_event (struct world *w, int64_t until_ms)
{
  GSequenceIter *i = g_sequence_get_begin_iter (w->events);
  struct event *e;

  if (g_sequence_iter_is_end (i))
    return false;
  e = g_sequence_get (i);
  if (e->at_ms > until_ms)
    return false;
  g_sequence_remove (i);
  w->now_ms = MAX (w->now_ms, e->at_ms);
  w->counts.steps++;
  if (w->options.trace)
    printf ("%8ld kind %d node %d\n", (long)w->now_ms, (int)e->kind, e->node);
  if (dispatch_event (w, e))
    event_free (e);
  return true;
}

void
world_advance (struct world *world, int64_t step_ms)
{
  int64_t until_ms = world->now_ms + step_ms;

  while (world->violation == NULL && process_next_event (world, until_ms))
    ;
  world->now_ms = MAX (world->now_ms, until_ms);
}

bool
world_run (struct world *world)
{
  event_add (world, EVENT_CALL, -1, 1500);
  if (world->options.faults != 0)
    event_add (world, EVENT_FAULT, -1, 1500 + draw (world, 0, 1500));
  world_advance (world, 1500 + world->options.faults_for_ms);
  world->is_settling = true;
  faults_end_all (world);
  world_advance (world, SETTLING_MS);
  if (world->violation == NULL)
    invariants_check_settled (world);
  return world->violation == NULL;
}

const char *
world_violation (const struct world *world)
{
  return world->violation;
}

const struct world_counts *
world_counts (const struct world *world)
{
  return &world->counts;
}

const struct core *
world_core (const struct world *world, int node)
{
  return world->nodes[node].core;
}

const struct fleet *
world_reference_fleet (const struct world *world)
{
  return world->reference_fleet;
}

struct world *
world_new (const struct world_options *options)
{
  struct world *w = g_new0 (struct world, 1);
  struct record *r = record_new (RECORD_CONFIG, "operator", 1);
  char *text;

  w->options = *options;
  w->random = options->seed;
  w->events = g_sequence_new (NULL);
  w->entries = g_ptr_array_new_with_free_func (g_free);
  w->log_times_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  w->versions = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  w->reference_fleet = fleet_new ();
  w->calls = g_ptr_array_new ();
  w->attempts = g_ptr_array_new_with_free_func (g_free);
  w->vm_tasks = g_ptr_array_new_with_free_func (g_free);
  w->replaced_versions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  w->now_ms = 1000;
  r->u.config.text = invariants_make_config (w, 0, true);
  text = record_to_text (r);
  log_write_now (w, text);
  g_free (text);
  record_destroy (r);
  vms_init (w);
  for (int i = 0; i < options->n_nodes; i++)
    {
      w->nodes[i].name = g_strdup_printf ("n%d", i + 1);
      g_queue_init (&w->nodes[i].held_events);
      node_start (w, i);
    }
  return w;
}

static void
call_free (gpointer p)
{
  struct call *c = p;

  g_free (c->key);
  g_free (c);
}

void
world_destroy (struct world *world)
{
  world->is_settling = true;
  for (int i = 0; i < world->options.n_nodes; i++)
    {
      node_end (world, i);
      g_free (world->nodes[i].name);
    }
  g_sequence_foreach (world->events, event_free_cb, NULL);
  g_sequence_free (world->events);
  g_ptr_array_unref (world->entries);
  g_array_unref (world->log_times_ms);
  g_array_unref (world->versions);
  fleet_destroy (world->reference_fleet);
  vms_free (world);
  g_ptr_array_set_free_func (world->calls, call_free);
  g_ptr_array_unref (world->calls);
  g_ptr_array_unref (world->attempts);
  g_ptr_array_unref (world->vm_tasks);
  g_hash_table_unref (world->replaced_versions);
  g_free (world->violation);
  g_free (world);
}
