#include "parts.h"

/* Causes faults, one after the other, at moments and for times that the seed
   decides.  Several of them may be in force together. */

#define FAULT_GAP_MAX_MS 1200
#define FAULT_MAX_MS 6000
#define WAVE_PATIENCE_MS 60000

static bool
concerns_world (enum world_fault fault)
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
      ++w->waves, pools[draw (w, 0, 2)], WAVE_PATIENCE_MS);

  edge_order (w, node, QUERY_MAINTAIN, text, 0);
}

/* Two operators publish over the version that both have read. */
static void
race_operators (struct world *w, int node)
{
  uint64_t base;

  if (w->nodes[node].core == NULL)
    return;
  base = fleet_config_version (core_fleet (w->nodes[node].core));
  for (int i = 0; i < 2; i++)
    edge_order (w, (node + i) % w->options.n_nodes, QUERY_PUBLISH,
                promises_config (w, (int)draw (w, 1, 1000), true), base);
}

static void
set_worker_errors (struct world *w, int vm, bool on)
{
  w->vms[vm].is_failing_all_runs = on;
}

static void
begin (struct world *w, enum world_fault fault, int node, int64_t for_ms)
{
  int vm = (int)draw (w, 0, N_VMS - 1);

  if (concerns_world (fault))
    w->on[fault]++;
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
      w->edge_late[node]++;
      break;
    case FAULT_LOG_CUT:
      w->log_cut[node]++;
      break;
    case FAULT_PEER_CUT:
      w->peer_cut[node]++;
      break;
    case FAULT_OPERATORS_RACE:
      race_operators (w, node);
      break;
    case FAULT_MAINTENANCE:
      order_maintenance (w, node);
      break;
    case FAULT_VM_LEAVES:
      vms_leave (w, vm);
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
  if (concerns_world (fault))
    w->on[fault]--;
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
      world_thaw (w, node);
      break;
    case FAULT_EDGE_DELAY:
      w->edge_late[node]--;
      break;
    case FAULT_LOG_CUT:
      w->log_cut[node]--;
      break;
    case FAULT_PEER_CUT:
      w->peer_cut[node]--;
      break;
    case FAULT_WORKER_ERRORS:
      set_worker_errors (w, node, false);
      break;
    default:
      break;
    }
}

static enum world_fault
choose (struct world *w)
{
  enum world_fault f;

  do
    f = (enum world_fault)draw (w, 0, WORLD_FAULT_COUNT - 1);
  while ((w->options.faults & (1U << f)) == 0);
  return f;
}

void
faults_begin (struct world *w)
{
  enum world_fault fault = choose (w);
  int node = (int)draw (w, 0, w->options.n_nodes - 1);
  int64_t for_ms = draw (w, 50, chance (w, 50) ? FAULT_MAX_MS : 500);
  struct event *e;

  if (w->healing)
    return;
  w->counts.faults++;
  begin (w, fault, node, for_ms);
  if (fault != FAULT_STOP) /* such a node comes back when it has stopped */
    {
      e = event_add (w, EVENT_HEAL, -1, for_ms);
      e->number = (int64_t)fault;
      e->from = node;
    }
  event_add (w, EVENT_FAULT, -1, draw (w, 20, FAULT_GAP_MAX_MS));
}

/* The faults that last end by their own events; what has none ends here. */
void
faults_heal_all (struct world *w)
{
  for (int i = 0; i < N_VMS; i++)
    if (w->vms[i].state == VM_STATE_LEAVING)
      vms_back (w, i, w->vms[i].boot);
}

void
world_set_fault (struct world *world, enum world_fault fault, int node,
                 bool on)
{
  if (on)
    begin (world, fault, node, INT32_MAX);
  else
    faults_end (world, fault, node);
}

void
world_send (struct world *world, int node, const char *key, bool idempotent)
{
  edge_call (world, edge_new_call (world, key, idempotent), node);
}
