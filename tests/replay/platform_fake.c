#include "platform_fake.h"

#include "record.h"

#include <string.h>

/* Delays of the platform and the workers, and intervals of its messages. */
#define APPEND_MS 5
#define READ_MS 3
#define LIST_INTERVAL_MS 1000
#define STATE_INTERVAL_MS 500
#define REBOOT_MS 8000
#define REFUSAL_MS 1
#define FAILURE_MS 2
#define BASE_PORT 1000
#define RUN_ID(request, attempt) ((gint64)((request) << 8 | (attempt)))

struct fake_vm
{
  const struct trace_event *vm;
  const char *pool;
  enum vm_state state;
  uint32_t running;
  int64_t state_until_ms;   /* then live again; 0 for no end */
  int64_t failing_until_ms; /* all runs that it starts until then fail */
  GQueue runs;              /* struct fake_run * in progress */
};

struct fake_run
{
  uint32_t node;
  uint64_t request;
  uint32_t attempt;
  int64_t end_ms;
};

struct platform_fake
{
  uint32_t n_nodes;
  platform_fake_deliver deliver;
  void *data;
  GHashTable *vms;       /* name -> struct fake_vm * */
  GHashTable *lost_runs; /* RUN_ID of the runs during which the VM failed */
  GPtrArray *vms_in_order;
  GQueue pending_records; /* struct record *, appended while the log is down */
  uint64_t head;
  int64_t log_down_until_ms;
  int64_t list_sent_ms;
  int64_t state_sent_ms;
  int64_t last_vm_return_ms; /* log time at which the last VM returned */
  uint64_t over_slots;
  uint64_t on_failing_vms;
  uint64_t beside_failing_vms;
};

static void
fake_vm_free (gpointer p)
{
  struct fake_vm *v = p;

  g_queue_clear_full (&v->runs, g_free);
  g_free (v);
}

struct platform_fake *
platform_fake_new (uint32_t n_nodes, platform_fake_deliver deliver, void *data)
{
  struct platform_fake *p = g_new0 (struct platform_fake, 1);

  p->n_nodes = n_nodes;
  p->deliver = deliver;
  p->data = data;
  p->vms = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fake_vm_free);
  p->lost_runs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  p->vms_in_order = g_ptr_array_new ();
  p->list_sent_ms = p->state_sent_ms = -LIST_INTERVAL_MS;
  return p;
}

static void
destroy_record (gpointer p)
{
  record_destroy (p);
}

void
platform_fake_destroy (struct platform_fake *platform)
{
  g_queue_clear_full (&platform->pending_records, destroy_record);
  g_ptr_array_unref (platform->vms_in_order);
  g_hash_table_unref (platform->lost_runs);
  g_hash_table_unref (platform->vms);
  g_free (platform);
}

/* The log. */

static void
commit_record (struct platform_fake *p, const struct record *r, int64_t now_ms)
{
  char *text = record_to_text (r);

  p->head++;
  for (uint32_t n = 0; n < p->n_nodes; n++)
    {
      struct message *m = message_new (MESSAGE_RECORDS);
      struct log_entry e = { .offset = p->head, .at_ms = now_ms };

      e.record = record_from_text (text, -1, NULL);
      m->u.records.entries = log_entries_new ();
      g_array_append_val (m->u.records.entries, e);
      p->deliver (p->data, n, m, now_ms + APPEND_MS + READ_MS);
    }
  if (r->kind == RECORD_VM_STEP && r->u.vm_step.phase == VM_SERVING)
    p->last_vm_return_ms = now_ms;
  g_free (text);
}

static void
append_record (struct platform_fake *p, const struct record *r, int64_t now_ms)
{
  char *text;

  if (now_ms >= p->log_down_until_ms)
    {
      commit_record (p, r, now_ms);
      return;
    }
  text = record_to_text (r);
  g_queue_push_tail (&p->pending_records, record_from_text (text, -1, NULL));
  g_free (text);
}

static void
cancel_append (struct platform_fake *p, const char *uid)
{
  for (GList *i = p->pending_records.head; i != NULL; i = i->next)
    {
      struct record *r = i->data;

      if (strcmp (r->uid, uid) != 0)
        continue;
      record_destroy (r);
      g_queue_delete_link (&p->pending_records, i);
      return;
    }
}

void
platform_fake_publish (struct platform_fake *platform, const char *text,
                       int64_t now_ms)
{
  struct record *r = record_new (RECORD_CONFIG, "operator", 1);

  r->u.config.text = g_strdup (text);
  commit_record (platform, r, now_ms);
  record_destroy (r);
}

static void
append_maintenance (struct platform_fake *p, const char *pool, int64_t now_ms)
{
  struct record *r = record_new (RECORD_MAINTAIN, "operator", 1);

  r->u.maintain.name = g_strconcat ("wave-", pool, NULL);
  r->u.maintain.pool = g_strdup (pool);
  r->u.maintain.finish_within_ms = 3600000;
  r->u.maintain.patience_ms = 600000;
  append_record (p, r, now_ms);
  record_destroy (r);
}

/* VMs. */

static void
set_vm_state (struct fake_vm *v, enum vm_state state, int64_t until_ms)
{
  v->state = state;
  v->state_until_ms = until_ms;
}

static void
add_vm (struct platform_fake *p, const struct trace_event *e)
{
  struct fake_vm *v = g_new0 (struct fake_vm, 1);

  v->vm = e;
  v->pool = e->pool;
  g_queue_init (&v->runs);
  g_hash_table_insert (p->vms, (gpointer)e->vm, v);
  g_ptr_array_add (p->vms_in_order, v);
}

static void
remove_ended_runs (struct fake_vm *v, int64_t now_ms)
{
  for (GList *i = v->runs.head; i != NULL;)
    {
      GList *next = i->next;
      struct fake_run *r = i->data;

      if (r->end_ms <= now_ms)
        {
          g_free (r);
          g_queue_delete_link (&v->runs, i);
        }
      i = next;
    }
  v->running = g_queue_get_length (&v->runs);
}

/* Report all runs on V as lost. */
static void
fail_vm (struct platform_fake *p, struct fake_vm *v, int64_t now_ms)
{
  struct fake_run *r;

  remove_ended_runs (v, now_ms);
  while ((r = g_queue_pop_head (&v->runs)) != NULL)
    {
      struct message *m = message_new (MESSAGE_RUN_ENDED);
      gint64 *id = g_new (gint64, 1);

      m->u.run_ended.request = r->request;
      m->u.run_ended.attempt = r->attempt;
      m->u.run_ended.result = RUN_LOST;
      p->deliver (p->data, r->node, m, now_ms);
      *id = RUN_ID (r->request, r->attempt);
      g_hash_table_add (p->lost_runs, id);
      g_free (r);
    }
}

void
platform_fake_apply_event (struct platform_fake *platform,
                           const struct trace_event *event, int64_t now_ms)
{
  struct fake_vm *v = event->vm == NULL
                          ? NULL
                          : g_hash_table_lookup (platform->vms, event->vm);
  int64_t until_ms = now_ms + event->for_ms;

  if (event->kind == TRACE_VM)
    add_vm (platform, event);
  else if (event->kind == TRACE_MAINTAIN)
    append_maintenance (platform, event->pool, now_ms);
  else if (event->kind == TRACE_OUTAGE)
    platform->log_down_until_ms = until_ms;
  else if (v != NULL && event->kind == TRACE_VM_FAILS)
    {
      set_vm_state (v, VM_STATE_GONE, until_ms);
      fail_vm (platform, v, now_ms);
    }
  else if (v != NULL && event->kind == TRACE_DRAIN)
    set_vm_state (v, VM_STATE_LEAVING, until_ms);
  else if (v != NULL && event->kind == TRACE_VM_BREAKS)
    v->failing_until_ms = until_ms;
}

static void
handle_vm_order (struct platform_fake *p, const struct message_vm_order *m,
                 int64_t now_ms)
{
  struct fake_vm *v = g_hash_table_lookup (p->vms, m->vm);

  if (v == NULL || v->state == VM_STATE_GONE)
    return;
  switch (m->action)
    {
    case PLATFORM_DRAIN:
      set_vm_state (v, VM_STATE_LEAVING, 0);
      break;
    case PLATFORM_REBOOT:
      set_vm_state (v, VM_STATE_REBOOTING, now_ms + REBOOT_MS);
      break;
    case PLATFORM_ASSIGN:
      v->pool = g_intern_string (m->pool);
      break;
    case PLATFORM_RESUME:
      set_vm_state (v, VM_STATE_LIVE, 0);
      break;
    }
}

void
platform_fake_handle_message (struct platform_fake *platform,
                              const struct message *message, int64_t now_ms)
{
  switch (message->kind)
    {
    case MESSAGE_APPEND:
      append_record (platform, message->u.append.record, now_ms);
      break;
    case MESSAGE_APPEND_CANCEL:
      cancel_append (platform, message->u.append_cancel.uid);
      break;
    case MESSAGE_VM_ORDER:
      handle_vm_order (platform, &message->u.vm_order, now_ms);
      break;
    default:
      break;
    }
}

/* Workers. */

static void
end_run (struct platform_fake *p, uint32_t node, const struct message_run *run,
         enum run_result result, int64_t run_ms, int64_t now_ms)
{
  struct message *m = message_new (MESSAGE_RUN_ENDED);

  m->u.run_ended.request = run->request;
  m->u.run_ended.attempt = run->attempt;
  m->u.run_ended.result = result;
  m->u.run_ended.status = result == RUN_ANSWERED ? 200 : 500;
  m->u.run_ended.run_ms = run_ms;
  p->deliver (p->data, node, m, now_ms + run_ms);
}

static bool
is_vm_down (const struct fake_vm *v)
{
  return v->state == VM_STATE_GONE || v->state == VM_STATE_REBOOTING;
}

static void
count_failing_vm_runs (struct platform_fake *p, const struct fake_vm *v,
                       int64_t now_ms)
{
  for (guint i = 0; i < p->vms_in_order->len; i++)
    {
      const struct fake_vm *o = g_ptr_array_index (p->vms_in_order, i);

      if (o->failing_until_ms <= now_ms || o->pool != v->pool)
        continue;
      if (o == v)
        p->on_failing_vms++;
      else
        p->beside_failing_vms++;
    }
}

bool
platform_fake_start_run (struct platform_fake *platform, uint32_t node,
                         const struct message_run *run, int64_t run_ms,
                         int64_t now_ms)
{
  struct fake_vm *v = g_hash_table_lookup (platform->vms, run->vm);
  int64_t occupied_ms = MIN (run_ms, run->timeout_ms);
  struct fake_run *r;

  remove_ended_runs (v, now_ms);
  count_failing_vm_runs (platform, v, now_ms);
  if (is_vm_down (v) || v->running >= v->vm->slots)
    {
      platform->over_slots += !is_vm_down (v);
      end_run (platform, node, run, RUN_NOT_STARTED, REFUSAL_MS, now_ms);
      return false;
    }
  if (v->failing_until_ms > now_ms)
    {
      end_run (platform, node, run, RUN_FAILED, FAILURE_MS, now_ms);
      return true;
    }
  r = g_new0 (struct fake_run, 1);
  r->node = node;
  r->request = run->request;
  r->attempt = run->attempt;
  r->end_ms = now_ms + occupied_ms;
  g_queue_push_tail (&v->runs, r);
  end_run (platform, node, run,
           occupied_ms < run_ms ? RUN_TIMED_OUT : RUN_ANSWERED, occupied_ms,
           now_ms);
  return true;
}

bool
platform_fake_was_run_lost (const struct platform_fake *platform,
                            uint64_t request, uint32_t attempt)
{
  gint64 id = RUN_ID (request, attempt);

  return g_hash_table_contains (platform->lost_runs, &id);
}

/* Periodic messages to the nodes. */

static struct message *
list_message (const struct platform_fake *p, int64_t now_ms)
{
  struct message *m = message_new (MESSAGE_VM_LIST);

  m->u.vm_list.vms = listed_vms_new ();
  m->u.vm_list.requested_ms = now_ms;
  for (guint i = 0; i < p->vms_in_order->len; i++)
    {
      const struct fake_vm *v = g_ptr_array_index (p->vms_in_order, i);
      struct listed_vm l = { .vm = g_strdup (v->vm->vm),
                             .address = g_strdup ("127.0.0.1"),
                             .port = (uint16_t)(BASE_PORT + i),
                             .zone = g_strdup (v->vm->zone),
                             .rack = g_strdup (v->vm->rack),
                             .pool = g_strdup (v->pool),
                             .slots = v->vm->slots,
                             .running = v->running,
                             .state = v->state };

      g_array_append_val (m->u.vm_list.vms, l);
    }
  return m;
}

static struct message *
state_message (const struct platform_fake *p, int64_t now_ms)
{
  struct message *m = message_new (MESSAGE_LOG_STATE);

  m->u.log_state.is_reachable = now_ms >= p->log_down_until_ms;
  m->u.log_state.head = p->head;
  m->u.log_state.first = 1;
  m->u.log_state.requested_ms = now_ms;
  return m;
}

static void
send_updates (struct platform_fake *p, int64_t now_ms)
{
  bool list = now_ms - p->list_sent_ms >= LIST_INTERVAL_MS
              && now_ms >= p->log_down_until_ms;
  bool state = now_ms - p->state_sent_ms >= STATE_INTERVAL_MS;

  for (uint32_t n = 0; n < p->n_nodes; n++)
    {
      if (state)
        p->deliver (p->data, n, state_message (p, now_ms), now_ms);
      if (list)
        p->deliver (p->data, n, list_message (p, now_ms), now_ms + READ_MS);
    }
  p->list_sent_ms = list ? now_ms : p->list_sent_ms;
  p->state_sent_ms = state ? now_ms : p->state_sent_ms;
}

void
platform_fake_step (struct platform_fake *platform, int64_t now_ms)
{
  struct record *r;

  for (guint i = 0; i < platform->vms_in_order->len; i++)
    {
      struct fake_vm *v = g_ptr_array_index (platform->vms_in_order, i);

      remove_ended_runs (v, now_ms);
      if (v->state_until_ms != 0 && now_ms >= v->state_until_ms)
        set_vm_state (v, VM_STATE_LIVE, 0);
    }
  while (now_ms >= platform->log_down_until_ms
         && (r = g_queue_pop_head (&platform->pending_records)) != NULL)
    {
      commit_record (platform, r, now_ms);
      record_destroy (r);
    }
  send_updates (platform, now_ms);
}

void
platform_fake_report (const struct platform_fake *platform,
                      struct replay_result *result)
{
  result->runs_over_slots = platform->over_slots;
  result->runs_on_failing_vms = platform->on_failing_vms;
  result->runs_beside_failing_vms = platform->beside_failing_vms;
  result->waves_done_ms = platform->last_vm_return_ms;
}
