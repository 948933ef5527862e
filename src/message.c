#include "message.h"

#include "peer_message.h"

static void
listed_vm_clear (gpointer p)
{
  struct listed_vm *v = p;

  g_free (v->vm);
  g_free (v->address);
  g_free (v->zone);
  g_free (v->rack);
  g_free (v->pool);
}

GArray *
listed_vms_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct listed_vm));

  g_array_set_clear_func (a, listed_vm_clear);
  return a;
}

static void
log_entry_clear (gpointer p)
{
  record_destroy (((struct log_entry *)p)->record);
}

GArray *
log_entries_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct log_entry));

  g_array_set_clear_func (a, log_entry_clear);
  return a;
}

struct message *
message_new (enum message_kind kind)
{
  struct message *m = g_new0 (struct message, 1);

  m->kind = kind;
  return m;
}

static void
clear_request (struct message_request *r)
{
  g_free (r->service);
  g_free (r->class_name);
  g_free (r->token);
  g_free (r->key);
}

static void
clear_query (struct message_query *q)
{
  g_free (q->subject);
  g_free (q->token);
  g_free (q->text);
}

static void
clear_run (struct message_run *r)
{
  g_free (r->vm);
  g_free (r->address);
  g_free (r->pool);
  g_free (r->service);
  g_free (r->class_name);
}

void
message_destroy (struct message *message)
{
  if (message == NULL)
    return;
  switch (message->kind)
    {
    case MESSAGE_REQUEST:
      clear_request (&message->u.request);
      break;
    case MESSAGE_RECORDS:
      g_array_unref (message->u.records.entries);
      break;
    case MESSAGE_VM_LIST:
      g_array_unref (message->u.vm_list.vms);
      break;
    case MESSAGE_PEER:
      peer_message_destroy (message->u.peer.peer);
      break;
    case MESSAGE_QUERY:
      clear_query (&message->u.query);
      break;
    case MESSAGE_RUN:
      clear_run (&message->u.run);
      break;
    case MESSAGE_APPEND:
      record_destroy (message->u.append.record);
      break;
    case MESSAGE_APPEND_CANCEL:
      g_free (message->u.append_cancel.uid);
      break;
    case MESSAGE_SEND_TO_PEER:
      g_free (message->u.send_to_peer.to);
      peer_message_destroy (message->u.send_to_peer.peer);
      break;
    case MESSAGE_VM_ORDER:
      g_free (message->u.vm_order.vm);
      g_free (message->u.vm_order.pool);
      break;
    case MESSAGE_REPLY:
      g_free (message->u.reply.text);
      break;
    case MESSAGE_ABANDON:
    case MESSAGE_RUN_ENDED:
    case MESSAGE_LOG_STATE:
    case MESSAGE_TICK:
    case MESSAGE_STOP:
    case MESSAGE_REFUSE:
    case MESSAGE_READ_LOG:
    case MESSAGE_READ_VM_LIST:
    case MESSAGE_STOPPED:
      break;
    }
  g_free (message);
}

bool
message_run_may_be_sent (const struct message_run *run, int64_t now_ms)
{
  return now_ms <= run->send_by_ms;
}

const char *
run_result_name (enum run_result result)
{
  static const char *const names[RUN_RESULT_COUNT]
      = { "answered",  "not-started", "not-sent",  "failed",   "lost",
          "truncated", "too-large",   "timed-out", "abandoned" };

  return names[result];
}
