#include "parts.h"

#include <string.h>

/* The fake VMs, the platform's lagging list of them, and its orders. */

#define LIST_LAG_MS 500
#define SNAPSHOTS_KEPT 400
#define REBOOT_MAX_MS 3000

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
      v->said_leaving_ms = -1;
    }
  w->snapshots = g_queue_new ();
  vms_note (w);
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
vms_note (struct world *w)
{
  struct snapshot *s = g_new0 (struct snapshot, 1);

  s->at_ms = w->now_ms;
  for (int i = 0; i < N_VMS; i++)
    {
      s->states[i] = w->vms[i].state;
      s->running[i] = w->vms[i].running;
    }
  g_queue_push_tail (w->snapshots, s);
  if (g_queue_get_length (w->snapshots) > SNAPSHOTS_KEPT)
    g_free (g_queue_pop_head (w->snapshots));
}

static const struct snapshot *
shown (const struct world *w)
{
  const struct snapshot *found = g_queue_peek_head (w->snapshots);

  for (GList *i = w->snapshots->tail; i != NULL; i = i->prev)
    if (((struct snapshot *)i->data)->at_ms <= w->now_ms - LIST_LAG_MS)
      return i->data;
  return found;
}

static struct listed_vm
list_one (struct world *w, int i, const struct snapshot *s)
{
  struct sim_vm *v = &w->vms[i];
  struct listed_vm l = {
    .vm = g_strdup (v->name),
    .address = g_strdup ("127.0.0.1"),
    .port = (uint16_t)(1000 + i),
    .zone = g_strdup (v->zone),
    .rack = g_strdup (v->rack),
    .pool = g_strdup (v->pool),
    .slots = SLOTS,
    .running = s->running[i],
    .state = s->states[i],
  };

  if (l.state == VM_STATE_LEAVING && v->said_leaving_ms < 0)
    v->said_leaving_ms = w->now_ms;
  if (l.state == VM_STATE_LEAVING
      && w->options.mutation == MUTATION_DEAF_TO_LEAVING)
    l.state = VM_STATE_LIVE;
  return l;
}

void
vms_read (struct world *w, int node)
{
  const struct snapshot *s = shown (w);
  struct message *m;

  if (w->log_cut[node] > 0)
    return;
  m = message_new (MESSAGE_VM_LIST);
  m->u.vm_list.vms = listed_vms_new ();
  m->u.vm_list.asked_ms = node_clock_ms (w, node);
  for (int i = 0; i < N_VMS; i++)
    {
      struct listed_vm l = list_one (w, i, s);

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
cut_jobs (struct world *w, int vm)
{
  for (guint i = 0; i < w->jobs->len; i++)
    {
      struct job *j = g_ptr_array_index (w->jobs, i);

      if (j->vm != vm || j->done)
        continue;
      j->done = true;
      edge_ended (w, j->attempt, j->run_attempt, RUN_LOST);
    }
  w->vms[vm].running = 0;
}

static void
go_dark (struct world *w, int vm, enum vm_state state, int64_t for_ms)
{
  struct sim_vm *v = &w->vms[vm];
  struct event *e;

  v->state = state;
  v->said_leaving_ms = -1;
  v->boot++;
  cut_jobs (w, vm);
  vms_note (w);
  e = event_add (w, EVENT_VM_BACK, -1, for_ms);
  e->from = vm;
  e->number = (int64_t)v->boot;
}

void
vms_back (struct world *w, int vm, uint64_t boot)
{
  struct sim_vm *v = &w->vms[vm];

  if (v->boot != boot)
    return;
  v->state = VM_STATE_LIVE;
  v->said_leaving_ms = -1;
  vms_note (w);
}

void
vms_fail (struct world *w, int vm, int64_t for_ms)
{
  go_dark (w, vm, VM_STATE_GONE, for_ms);
}

void
vms_leave (struct world *w, int vm)
{
  if (w->vms[vm].state != VM_STATE_LIVE)
    return;
  w->vms[vm].state = VM_STATE_LEAVING;
  vms_note (w);
}

void
vms_order (struct world *w, const struct message_platform *order)
{
  int vm = vms_find (w, order->vm);
  struct sim_vm *v = &w->vms[vm];

  switch (order->action)
    {
    case PLATFORM_DRAIN:
      vms_leave (w, vm);
      break;
    case PLATFORM_REBOOT:
      if (v->state == VM_STATE_REBOOTING || v->state == VM_STATE_GONE)
        return;
      promises_reboot (w, vm);
      go_dark (w, vm, VM_STATE_REBOOTING, draw (w, 200, REBOOT_MAX_MS));
      break;
    case PLATFORM_ASSIGN:
      promises_reboot (w, vm);
      g_free (v->pool);
      v->pool = g_strdup (order->pool);
      if (v->state == VM_STATE_LEAVING)
        vms_back (w, vm, v->boot);
      else
        vms_note (w);
      break;
    case PLATFORM_RESUME:
      if (v->state == VM_STATE_LEAVING)
        vms_back (w, vm, v->boot);
      break;
    }
}

/* Tasks. */

void
vms_arrive (struct world *w, const struct event *e)
{
  const struct message_run *run = &e->message->u.run;
  int vm = vms_find (w, run->vm);
  struct sim_vm *v = &w->vms[vm];
  struct job *j;

  if (v->state == VM_STATE_REBOOTING || v->state == VM_STATE_GONE
      || v->running >= SLOTS)
    {
      edge_ended (w, e->attempt, run->attempt, RUN_NOT_STARTED);
      return;
    }
  promises_start (w, vm, run->pool, e->attempt);
  j = g_new0 (struct job, 1);
  j->attempt = e->attempt;
  j->run_attempt = run->attempt;
  j->vm = vm;
  j->fails = v->is_failing_all_runs;
  g_ptr_array_add (w->jobs, j);
  v->running++;
  vms_note (w);
  event_add (w, EVENT_JOB_END, -1,
             v->is_failing_all_runs ? 1
             : chance (w, 5)        ? draw (w, 1000, 5000)
                                    : draw (w, 5, 300))
      ->job
      = j;
}

void
vms_job_end (struct world *w, struct job *job)
{
  if (job->done)
    return;
  job->done = true;
  w->vms[job->vm].running--;
  vms_note (w);
  edge_ended (w, job->attempt, job->run_attempt,
              job->fails ? RUN_FAILED : RUN_ANSWERED);
}
