#include "parts.h"

#include <string.h>

/* The simulated VMs, the platform's list of them, which lags behind, and its
   handling of orders. */

#define LIST_LAG_MS 500
#define MAX_SNAPSHOTS 400
#define MAX_REBOOT_MS 3000

void
vms_init (struct world *w)
{
  for (int i = 0; i < N_VMS; i++)
    {
      struct sim_vm *v = &w->vms[i];

      v->name = g_strdup_printf ("vm-%d", i + 1);
      v->pool = g_strdup (i < 6 ? "search" : "letters");
      v->rack = g_strdup_printf ("rack-%d", i / 2 + 1);
      v->zone = i % 4 < 2 ? "zone-1" : "zone-2";
      v->state = VM_STATE_LIVE;
      v->leaving_reported_ms = -1;
    }
  w->snapshots = g_queue_new ();
  vms_take_snapshot (w);
}

void
vms_free (struct world *w)
{
  for (int i = 0; i < N_VMS; i++)
    {
      g_free (w->vms[i].name);
      g_free (w->vms[i].pool);
      g_free (w->vms[i].rack);
    }
  g_queue_free_full (w->snapshots, g_free);
}

int
vms_find (const struct world *w, const char *name)
{
  for (int i = 0; i < N_VMS; i++)
    if (strcmp (w->vms[i].name, name) == 0)
      return i;
  return -1;
}

/* The list. */

void
vms_take_snapshot (struct world *w)
{
  struct snapshot *s = g_new0 (struct snapshot, 1);

  s->at_ms = w->now_ms;
  for (int i = 0; i < N_VMS; i++)
    {
      s->states[i] = w->vms[i].state;
      s->running[i] = w->vms[i].running;
    }
  g_queue_push_tail (w->snapshots, s);
  if (g_queue_get_length (w->snapshots) > MAX_SNAPSHOTS)
    g_free (g_queue_pop_head (w->snapshots));
}

static const struct snapshot *
visible_snapshot (const struct world *w)
{
  const struct snapshot *found = g_queue_peek_head (w->snapshots);

  for (GList *i = w->snapshots->tail; i != NULL; i = i->prev)
    if (((struct snapshot *)i->data)->at_ms <= w->now_ms - LIST_LAG_MS)
      return i->data;
  return found;
}

static struct listed_vm
list_vm (struct world *w, int i, const struct snapshot *s)
{
  struct sim_vm *v = &w->vms[i];
  struct listed_vm l = {
    .vm = g_strdup (v->name),
    .address = g_strdup ("127.0.0.1"),
    .port = (uint16_t)(1000 + i),
    .zone = g_strdup (v->zone),
    .rack = g_strdup (v->rack),
    .pool = g_strdup (v->pool),
    .slots = SLOTS_PER_VM,
    .running = s->running[i],
    .state = s->states[i],
  };

  if (l.state == VM_STATE_LEAVING && v->leaving_reported_ms < 0)
    v->leaving_reported_ms = w->now_ms;
  if (l.state == VM_STATE_LEAVING
      && w->options.mutation == MUTATION_DEAF_TO_LEAVING)
    l.state = VM_STATE_LIVE;
  return l;
}

void
vms_read_list (struct world *w, int node)
{
  const struct snapshot *s = visible_snapshot (w);
  struct message *m;

  if (w->n_log_cuts[node] > 0)
    return;
  m = message_new (MESSAGE_VM_LIST);
  m->u.vm_list.vms = listed_vms_new ();
  m->u.vm_list.requested_ms = node_clock_ms (w, node);
  for (int i = 0; i < N_VMS; i++)
    {
      struct listed_vm l = list_vm (w, i, s);

      if (l.state == VM_STATE_GONE)
        {
          g_free (l.vm);
          g_free (l.address);
          g_free (l.zone);
          g_free (l.rack);
          g_free (l.pool);
          continue;
        }
      g_array_append_val (m->u.vm_list.vms, l);
    }
  deliver (w, node, CHANNEL_FROM_LOG, m, draw (w, 1, 25));
}

/* Changes of state. */

static void
lose_tasks (struct world *w, int vm)
{
  for (guint i = 0; i < w->vm_tasks->len; i++)
    {
      struct vm_task *j = g_ptr_array_index (w->vm_tasks, i);

      if (j->vm != vm || j->is_done)
        continue;
      j->is_done = true;
      edge_schedule_run_end (w, j->attempt, j->run_attempt, RUN_LOST);
    }
  w->vms[vm].running = 0;
}

static void
take_out_of_service (struct world *w, int vm, enum vm_state state,
                     int64_t for_ms)
{
  struct sim_vm *v = &w->vms[vm];
  struct event *e;

  v->state = state;
  v->leaving_reported_ms = -1;
  v->boot_count++;
  lose_tasks (w, vm);
  vms_take_snapshot (w);
  e = event_add (w, EVENT_VM_RETURNS, -1, for_ms);
  e->from = vm;
  e->number = (int64_t)v->boot_count;
}

void
vms_return_to_service (struct world *w, int vm, uint64_t boot_count)
{
  struct sim_vm *v = &w->vms[vm];

  if (v->boot_count != boot_count)
    return;
  v->state = VM_STATE_LIVE;
  v->leaving_reported_ms = -1;
  vms_take_snapshot (w);
}

void
vms_fail (struct world *w, int vm, int64_t for_ms)
{
  take_out_of_service (w, vm, VM_STATE_GONE, for_ms);
}

void
vms_start_leaving (struct world *w, int vm)
{
  if (w->vms[vm].state != VM_STATE_LIVE)
    return;
  w->vms[vm].state = VM_STATE_LEAVING;
  vms_take_snapshot (w);
}

void
vms_handle_order (struct world *w, const struct message_vm_order *order)
{
  int vm = vms_find (w, order->vm);
  struct sim_vm *v = &w->vms[vm];

  switch (order->action)
    {
    case PLATFORM_DRAIN:
      vms_start_leaving (w, vm);
      break;
    case PLATFORM_REBOOT:
      if (v->state == VM_STATE_REBOOTING || v->state == VM_STATE_GONE)
        return;
      invariants_check_planned_stop (w, vm);
      take_out_of_service (w, vm, VM_STATE_REBOOTING,
                           draw (w, 200, MAX_REBOOT_MS));
      break;
    case PLATFORM_ASSIGN:
      invariants_check_planned_stop (w, vm);
      g_free (v->pool);
      v->pool = g_strdup (order->pool);
      if (v->state == VM_STATE_LEAVING)
        vms_return_to_service (w, vm, v->boot_count);
      else
        vms_take_snapshot (w);
      break;
    case PLATFORM_RESUME:
      if (v->state == VM_STATE_LEAVING)
        vms_return_to_service (w, vm, v->boot_count);
      break;
    }
}

/* Tasks. */

void
vms_handle_run (struct world *w, const struct event *e)
{
  const struct message_run *run = &e->message->u.run;
  int vm = vms_find (w, run->vm);
  struct sim_vm *v = &w->vms[vm];
  struct vm_task *j;

  if (v->state == VM_STATE_REBOOTING || v->state == VM_STATE_GONE
      || v->running >= SLOTS_PER_VM)
    {
      edge_schedule_run_end (w, e->attempt, run->attempt, RUN_NOT_STARTED);
      return;
    }
  invariants_check_start (w, vm, run->pool, e->attempt);
  j = g_new0 (struct vm_task, 1);
  j->attempt = e->attempt;
  j->run_attempt = run->attempt;
  j->vm = vm;
  j->will_fail = v->is_failing_all_runs;
  g_ptr_array_add (w->vm_tasks, j);
  v->running++;
  vms_take_snapshot (w);
  event_add (w, EVENT_TASK_END, -1,
             v->is_failing_all_runs ? 1
             : chance (w, 5)        ? draw (w, 1000, 5000)
                                    : draw (w, 5, 300))
      ->vm_task
      = j;
}

void
vms_end_task (struct world *w, struct vm_task *vm_task)
{
  if (vm_task->is_done)
    return;
  vm_task->is_done = true;
  w->vms[vm_task->vm].running--;
  vms_take_snapshot (w);
  edge_schedule_run_end (w, vm_task->attempt, vm_task->run_attempt,
                         vm_task->will_fail ? RUN_FAILED : RUN_ANSWERED);
}
