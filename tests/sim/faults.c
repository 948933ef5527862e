#include "parts.h"

/* Injects faults one after the other; the seed determines their times and
   durations.  Several may be active together. */

#define MAX_FAULT_INTERVAL_MS 1200
#define MAX_FAULT_MS 6000
#define WAVE_PATIENCE_MS 60000

static bool
affects_whole_world (enum world_fault fault)
{
  return fault == FAULT_LOG_DOWN || fault == FAULT_REPLY_LOST
         || fault == FAULT_WRITE_LOST || fault == FAULT_COPY_DELAYED
         || fault == FAULT_PEER_DROP || fault == FAULT_PEER_DELAY
         || fault == FAULT_CALLERS_RACE;
}

static void
fail_vms (struct world *w, int first, int count, int64_t for_ms)
{
  for (int i = 0; i < count; i++)
    if (w->vms[first + i].state != VM_STATE_GONE)
      vms_fail (w, first + i, for_ms);
}

static void
order_maintenance (struct world *w, int node)
{
  static const char *const pools[] = { "search", "letters", "" };
  char *text = g_strdup_printf (
      "{\"name\":\"wave-%d\",\"pool\":\"%s\",\"finish_within_ms\":3600000,"
      "\"patience_ms\":%d}",
      ++w->n_waves, pools[draw (w, 0, 2)], WAVE_PATIENCE_MS);

  edge_send_order (w, node, QUERY_MAINTAIN, text, 0);
}

/* Two operators publish, each based on the version that both have read. */
static void
race_operators (struct world *w, int node)
{
  uint64_t base;

  if (w->nodes[node].core == NULL)
    return;
  base = fleet_config_version (core_fleet (w->nodes[node].core));
  for (int i = 0; i < 2; i++)
    edge_send_order (w, (node + i) % w->options.n_nodes, QUERY_PUBLISH,
                     invariants_make_config (w, (int)draw (w, 1, 1000), true),
                     base);
}

static void
set_worker_errors (struct world *w, int vm, bool on)
{
  w->vms[vm].is_failing_all_runs = on;
}

static void
begin_fault (struct world *w, enum world_fault fault, int node, int64_t for_ms)
{
  int vm = (int)draw (w, 0, N_VMS - 1);

  if (affects_whole_world (fault))
    w->active_faults[fault]++;
  switch (fault)
    {
    case FAULT_KILL:
      world_kill (w, node);
      break;
    case FAULT_KILL_ALL:
      for (int i = 0; i < w->options.n_nodes; i++)
        world_kill (w, i);
      break;
    case FAULT_FREEZE:
      world_freeze (w, node);
      break;
    case FAULT_STOP:
      deliver (w, node, CHANNEL_TIMERS, message_new (MESSAGE_STOP), 0);
      break;
    case FAULT_EDGE_DELAY:
      w->n_edge_delays[node]++;
      break;
    case FAULT_LOG_CUT:
      w->n_log_cuts[node]++;
      break;
    case FAULT_PEER_CUT:
      w->n_peer_cuts[node]++;
      break;
    case FAULT_OPERATORS_RACE:
      race_operators (w, node);
      break;
    case FAULT_MAINTENANCE:
      order_maintenance (w, node);
      break;
    case FAULT_VM_LEAVES:
      vms_start_leaving (w, vm);
      break;
    case FAULT_VM_FAILS:
      fail_vms (w, vm, 1, for_ms);
      break;
    case FAULT_RACK_FAILS:
      fail_vms (w, vm / 2 * 2, 2, for_ms);
      break;
    case FAULT_WORKER_ERRORS:
      set_worker_errors (w, node, true);
      break;
    default:
      break;
    }
}

void
faults_end (struct world *w, enum world_fault fault, int node)
{
  if (affects_whole_world (fault))
    w->active_faults[fault]--;
  switch (fault)
    {
    case FAULT_KILL:
    case FAULT_STOP:
      world_restart (w, node);
      break;
    case FAULT_KILL_ALL:
      for (int i = 0; i < w->options.n_nodes; i++)
        world_restart (w, i);
      break;
    case FAULT_FREEZE:
      world_unfreeze (w, node);
      break;
    case FAULT_EDGE_DELAY:
      w->n_edge_delays[node]--;
      break;
    case FAULT_LOG_CUT:
      w->n_log_cuts[node]--;
      break;
    case FAULT_PEER_CUT:
      w->n_peer_cuts[node]--;
      break;
    case FAULT_WORKER_ERRORS:
      set_worker_errors (w, node, false);
      break;
    default:
      break;
    }
}

static enum world_fault
choose_fault (struct world *w)
{
  enum world_fault f;

  do
    f = (enum world_fault)draw (w, 0, WORLD_FAULT_COUNT - 1);
  while ((w->options.faults & (1U << f)) == 0);
  return f;
}

void
faults_begin_next (struct world *w)
{
  enum world_fault fault = choose_fault (w);
  int node = (int)draw (w, 0, w->options.n_nodes - 1);
  int64_t for_ms = draw (w, 50, chance (w, 50) ? MAX_FAULT_MS : 500);
  struct event *e;

  if (w->is_settling)
    return;
  w->counts.faults++;
  begin_fault (w, fault, node, for_ms);
  if (fault != FAULT_STOP) /* such a node restarts after it has stopped */
    {
      e = event_add (w, EVENT_FAULT_END, -1, for_ms);
      e->number = (int64_t)fault;
      e->from = node;
    }
  event_add (w, EVENT_FAULT, -1, draw (w, 20, MAX_FAULT_INTERVAL_MS));
}

/* Faults with a duration end by their own events; the others end here. */
void
faults_end_all (struct world *w)
{
  for (int i = 0; i < N_VMS; i++)
    if (w->vms[i].state == VM_STATE_LEAVING)
      vms_return_to_service (w, i, w->vms[i].boot_count);
}

void
world_set_fault (struct world *world, enum world_fault fault, int node,
                 bool on)
{
  if (on)
    begin_fault (world, fault, node, INT32_MAX);
  else
    faults_end (world, fault, node);
}

void
world_send_request (struct world *world, int node, const char *key,
                    bool idempotent)
{
  edge_send_call (world, edge_new_call (world, key, idempotent), node);
}
