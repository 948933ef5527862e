#include "log_task.h"

#include "logging.h"
#include "platform.h"

#include <string.h>

/* How long a read waits at the platform for the next record. */
#define READ_WAIT_MS 1000
/* Retry delay after a failed read. */
#define READ_RETRY_MS 200
/* Delay before the read that finds out whether an unclear append was
   written. */
#define EXTRA_READ_DELAY_MS 10
/* Maximum rate of appends of all nodes together. */
#define MAX_APPENDS_PER_S 130
/* Bounds of the interval between two appends of this node. */
#define APPEND_MIN_INTERVAL_MS 20
#define APPEND_MAX_INTERVAL_MS 2000
/* Retry delay after an append that was certainly not written. */
#define APPEND_RETRY_MS 250
/* Maximum number of records in one append. */
#define APPEND_MAX_RECORDS 500
/* Maximum number of pending records; a record beyond it is dropped and counted
   as a failed append. */
#define MAX_PENDING_RECORDS 20000

/* A record that is to be appended to the log. */
struct pending_record
{
  char *uid;
  char *text;
  bool was_sent; /* at least once, so the log may hold it already */
};

struct log_task
{
  struct task *task;
  struct task *core;
  struct platform *platform;
  const struct settings *settings;
  struct counters *counters;
  GQueue *pending;          /* struct pending_record *, oldest first */
  guint n_appending;        /* number of records in the append in progress */
  bool is_appending;        /* an append is in progress */
  bool is_append_unclear;   /* the last append may have been written */
  int64_t unclear_since_ms; /* when it was found unclear */
  int64_t interval_ms;      /* interval between the starts of two appends */
  int64_t append_start_ms;  /* when the last append was started */
  GSource *append_timer;
  GSource *read_timer;
  GSource *extra_read_timer;
  uint64_t read_offset;  /* last offset read */
  int64_t read_start_ms; /* when the last read for new records was started */
  int64_t extra_read_start_ms; /* when the extra read in progress was started,
                                  or 0 */
  bool is_log_reachable;       /* the last read of the log was answered */
  int64_t list_read_start_ms;  /* when the VM list was last requested */
};

static void read_log (struct log_task *l);
static void append_pending (struct log_task *l);

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
pending_record_free (gpointer p)
{
  struct pending_record *item = p;

  g_free (item->uid);
  g_free (item->text);
  g_free (item);
}

static GSource *
start_timer (int64_t delay_ms, GSourceFunc function, void *data)
{
  GSource *s = g_timeout_source_new ((guint)delay_ms);

  g_source_set_callback (s, function, data, NULL);
  g_source_attach (s, g_main_context_get_thread_default ());
  return s;
}

static void
stop_timer (GSource **timer)
{
  if (*timer == NULL)
    return;
  g_source_destroy (*timer);
  g_source_unref (*timer);
  *timer = NULL;
}

/* Reading. */

static void
post_log_state (struct log_task *l, bool reachable, uint64_t first,
                uint64_t head, int64_t requested_ms)
{
  struct message *m = message_new (MESSAGE_LOG_STATE);

  if (reachable != l->is_log_reachable)
    logging_state (l->settings->node, reachable ? "log-answers" : "log-silent",
                   "the platform's log %s",
                   reachable ? "answers" : "does not answer");
  l->is_log_reachable = reachable;
  m->u.log_state.is_reachable = reachable;
  m->u.log_state.first = first;
  m->u.log_state.head = head;
  m->u.log_state.requested_ms = requested_ms;
  task_post (l->core, m);
}

/* Remove the pending record with UID: it has been read from the log. */
static void
remove_confirmed (struct log_task *l, const char *uid)
{
  guint index = 0;

  for (GList *i = l->pending->head; i != NULL; i = i->next, index++)
    {
      struct pending_record *item = i->data;

      if (!item->was_sent)
        return; /* the records after it have not been sent either */
      if (strcmp (item->uid, uid) != 0)
        continue;
      /* The records of the append in progress are removed by their number
         when it ends, so none of them may be removed here. */
      if (index < l->n_appending)
        return;
      g_queue_delete_link (l->pending, i);
      pending_record_free (item);
      return;
    }
}

/* Remove the entries that an earlier read has returned already. */
static void
remove_known_entries (const struct log_task *l, GArray *entries)
{
  guint n = 0;

  while (n < entries->len
         && g_array_index (entries, struct log_entry, n).offset
                <= l->read_offset)
    n++;
  if (n > 0)
    g_array_remove_range (entries, 0, n);
}

static void
process_entries (struct log_task *l, GArray *entries, uint64_t first)
{
  struct message *m;

  remove_known_entries (l, entries);
  for (guint i = 0; i < entries->len; i++)
    {
      const struct log_entry *e
          = &g_array_index (entries, struct log_entry, i);

      l->read_offset = MAX (l->read_offset, e->offset);
      if (e->record != NULL
          && strcmp (e->record->node, l->settings->node) == 0)
        remove_confirmed (l, e->record->uid);
    }
  if (entries->len == 0)
    {
      g_array_unref (entries);
      return;
    }
  m = message_new (MESSAGE_RECORDS);
  m->u.records.entries = entries;
  m->u.records.first = first;
  task_post (l->core, m);
}

static gboolean
on_read_timer (gpointer data)
{
  struct log_task *l = data;

  stop_timer (&l->read_timer);
  read_log (l);
  return G_SOURCE_REMOVE;
}

/* Resend what an unclear append has not written.  A read that was started
   after that append has reached the head, so records that it did not return
   are not in the log.  If the platform still writes the first append later,
   the log holds them twice; the condition of each record lets it take effect
   only once. */
static void
resend_unconfirmed (struct log_task *l)
{
  l->is_append_unclear = false;
  for (GList *i = l->pending->head; i != NULL; i = i->next)
    {
      if (!((struct pending_record *)i->data)->was_sent)
        break;
      counters_add (l->counters, COUNTER_LOG_RECORDS_RESENT, 1);
    }
  append_pending (l);
}

/* Process the result R of a read that was started at REQUESTED_MS.  Return
   whether the read succeeded. */
static bool
process_read_result (struct log_task *l, struct platform_read_result *r,
                     int64_t requested_ms)
{
  if (r->entries == NULL)
    {
      counters_add (l->counters, COUNTER_LOG_READ_FAILURES, 1);
      post_log_state (l, false, 0, 0, requested_ms);
      return false;
    }
  process_entries (l, r->entries, r->first);
  post_log_state (l, true, r->first, r->head, requested_ms);
  if (l->is_append_unclear && requested_ms > l->unclear_since_ms
      && l->read_offset >= r->head)
    resend_unconfirmed (l);
  return true;
}

static void
on_read (struct platform_read_result *r, void *data)
{
  struct log_task *l = data;

  if (process_read_result (l, r, l->read_start_ms))
    read_log (l);
  else
    l->read_timer = start_timer (READ_RETRY_MS, on_read_timer, l);
}

static void
on_extra_read (struct platform_read_result *r, void *data)
{
  struct log_task *l = data;
  int64_t requested_ms = l->extra_read_start_ms;

  l->extra_read_start_ms = 0;
  process_read_result (l, r, requested_ms);
}

/* Read the log without waiting, in addition to the read that waits for the
   next record. */
static void
read_log_now (struct log_task *l)
{
  if (l->extra_read_start_ms != 0)
    return;
  l->extra_read_start_ms = now_ms ();
  platform_read_log (l->platform, l->read_offset, 0, on_extra_read, l);
}

static void
read_log (struct log_task *l)
{
  l->read_start_ms = now_ms ();
  /* The first read after a failure does not wait for a record, so that the
     end of an outage is noticed at once. */
  platform_read_log (l->platform, l->read_offset,
                     l->is_log_reachable ? READ_WAIT_MS : 0, on_read, l);
}

/* The VM list. */

static void
on_list (GArray *vms, void *data)
{
  struct log_task *l = data;
  struct message *m;

  counters_add (l->counters, COUNTER_VM_LIST_READS, 1);
  if (vms == NULL)
    {
      counters_add (l->counters, COUNTER_VM_LIST_FAILURES, 1);
      return;
    }
  m = message_new (MESSAGE_VM_LIST);
  m->u.vm_list.vms = vms;
  m->u.vm_list.requested_ms = l->list_read_start_ms;
  task_post (l->core, m);
}

/* Appending. */

static gboolean
on_append_timer (gpointer data)
{
  struct log_task *l = data;

  stop_timer (&l->append_timer);
  append_pending (l);
  return G_SOURCE_REMOVE;
}

static void
append_later (struct log_task *l, int64_t delay_ms)
{
  if (l->append_timer == NULL)
    l->append_timer = start_timer (MAX (delay_ms, 1), on_append_timer, l);
}

static void
remove_appended (struct log_task *l)
{
  for (; l->n_appending > 0; l->n_appending--)
    pending_record_free (g_queue_pop_head (l->pending));
}

static gboolean
on_extra_read_timer (gpointer data)
{
  struct log_task *l = data;

  stop_timer (&l->extra_read_timer);
  read_log_now (l);
  return G_SOURCE_REMOVE;
}

/* Return the minimum interval between two appends of this node, with which all
   nodes together stay within the log's rate. */
static int64_t
min_append_interval_ms (const struct log_task *l)
{
  return MAX (APPEND_MIN_INTERVAL_MS,
              (l->settings->n_peers + 1) * 1000 / MAX_APPENDS_PER_S);
}

/* Double the interval between appends and add up to 20 ms of jitter, as the
   log has throttled an append: half as many appends, with more records in
   each. */
static void
lengthen_append_interval (struct log_task *l)
{
  int64_t jitter_ms = g_random_int_range (0, 20);

  counters_add (l->counters, COUNTER_LOG_APPENDS_THROTTLED, 1);
  l->interval_ms
      = MIN (2 * l->interval_ms + jitter_ms, APPEND_MAX_INTERVAL_MS);
}

/* Shorten the interval between appends by 1/16, as the log accepted one, until
   it is the usual one again. */
static void
shorten_append_interval (struct log_task *l)
{
  l->interval_ms = MAX (l->interval_ms - l->interval_ms / 16 - 1,
                        min_append_interval_ms (l));
}

static void
on_append (enum append_result result, void *data)
{
  struct log_task *l = data;

  l->is_appending = false;
  counters_add (l->counters, COUNTER_LOG_APPENDS, 1);
  switch (result)
    {
    case APPEND_DONE:
      remove_appended (l);
      shorten_append_interval (l);
      append_pending (l);
      return;
    case APPEND_THROTTLED:
      lengthen_append_interval (l);
      l->n_appending = 0;
      append_later (l, l->interval_ms);
      return;
    case APPEND_NOT_DONE:
      counters_add (l->counters, COUNTER_LOG_APPEND_FAILURES, 1);
      break;
    case APPEND_UNCLEAR:
      /* Nothing is resent before a later read has reached the head. */
      counters_add (l->counters, COUNTER_LOG_APPEND_UNCLEAR, 1);
      l->n_appending = 0;
      l->is_append_unclear = true;
      l->unclear_since_ms = now_ms ();
      l->extra_read_timer
          = start_timer (EXTRA_READ_DELAY_MS, on_extra_read_timer, l);
      return;
    }
  l->n_appending = 0;
  append_later (l, APPEND_RETRY_MS);
}

static void
append_pending (struct log_task *l)
{
  GPtrArray *texts;
  int64_t delay_ms = l->append_start_ms + l->interval_ms - now_ms ();

  if (l->is_appending || l->is_append_unclear || g_queue_is_empty (l->pending))
    return;
  if (delay_ms > 0)
    {
      append_later (l, delay_ms);
      return;
    }
  texts = g_ptr_array_new ();
  for (GList *i = l->pending->head;
       i != NULL && texts->len < APPEND_MAX_RECORDS; i = i->next)
    {
      struct pending_record *item = i->data;

      item->was_sent = true;
      g_ptr_array_add (texts, item->text);
    }
  l->n_appending = texts->len;
  l->is_appending = true;
  l->append_start_ms = now_ms ();
  platform_append (l->platform, texts, on_append, l);
  g_ptr_array_unref (texts);
}

static void
add_pending (struct log_task *l, const struct record *r)
{
  struct pending_record *item;

  if (g_queue_get_length (l->pending) >= MAX_PENDING_RECORDS)
    {
      counters_add (l->counters, COUNTER_LOG_APPEND_FAILURES, 1);
      return;
    }
  item = g_new0 (struct pending_record, 1);
  item->uid = g_strdup (r->uid);
  item->text = record_to_text (r);
  counters_add_record (l->counters, r->kind, record_kind_name (r->kind),
                       strlen (item->text));
  g_queue_push_tail (l->pending, item);
  append_pending (l);
}

static void
cancel_pending (struct log_task *l, const char *uid)
{
  for (GList *i = l->pending->tail; i != NULL; i = i->prev)
    {
      struct pending_record *item = i->data;

      if (item->was_sent)
        return;
      if (strcmp (item->uid, uid) != 0)
        continue;
      g_queue_delete_link (l->pending, i);
      pending_record_free (item);
      return;
    }
}

/* Orders for VMs. */

static void
on_order_done (bool succeeded, void *data)
{
  struct log_task *l = data;

  if (!succeeded)
    counters_add (l->counters, COUNTER_PLATFORM_FAILURES, 1);
}

static void
send_order (struct log_task *l, const struct message_vm_order *order)
{
  if (order->action == PLATFORM_DRAIN)
    counters_add (l->counters, COUNTER_VM_DRAINS, 1);
  else if (order->action == PLATFORM_REBOOT)
    counters_add (l->counters, COUNTER_VM_REBOOTS, 1);
  platform_send_order (l->platform, order, on_order_done, l);
}

/* The task. */

static void
log_task_start (void *data)
{
  struct log_task *l = data;

  l->platform = platform_new (&l->settings->platform,
                              l->settings->platform_token, l->counters);
  read_log (l);
}

static void
log_task_handle (void *data, struct message *m)
{
  struct log_task *l = data;

  switch (m->kind)
    {
    case MESSAGE_APPEND:
      add_pending (l, m->u.append.record);
      break;
    case MESSAGE_APPEND_CANCEL:
      cancel_pending (l, m->u.append_cancel.uid);
      break;
    case MESSAGE_READ_LOG:
      read_log_now (l);
      break;
    case MESSAGE_VM_ORDER:
      send_order (l, &m->u.vm_order);
      break;
    case MESSAGE_READ_VM_LIST:
      l->list_read_start_ms = now_ms ();
      platform_read_vm_list (l->platform, on_list, l);
      break;
    default:
      break;
    }
  message_destroy (m);
}

static void
log_task_stop (void *data)
{
  struct log_task *l = data;

  stop_timer (&l->append_timer);
  stop_timer (&l->read_timer);
  stop_timer (&l->extra_read_timer);
  platform_destroy (l->platform);
}

static const struct task_functions functions
    = { log_task_start, log_task_handle, log_task_stop };

struct log_task *
log_task_new (const struct settings *settings, struct counters *counters,
              struct task *core)
{
  struct log_task *l = g_new0 (struct log_task, 1);

  l->settings = settings;
  l->counters = counters;
  l->core = core;
  l->interval_ms = min_append_interval_ms (l);
  l->pending = g_queue_new ();
  l->task = task_new ("log", &functions, l);
  return l;
}

struct task *
log_task_task (struct log_task *log_task)
{
  return log_task->task;
}

void
log_task_destroy (struct log_task *log_task)
{
  task_destroy (log_task->task);
  g_queue_free_full (log_task->pending, pending_record_free);
  g_free (log_task);
}
