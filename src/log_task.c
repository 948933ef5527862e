#include "log_task.h"

#include "logging.h"
#include "platform.h"

#include <string.h>

#define READ_WAIT_MS 1000
#define READ_RETRY_MS 200
#define PROBE_AFTER_MS 10
/* Appends a second that all nodes together make at most. */
#define APPENDS_PER_S 130
#define APPEND_MIN_GAP_MS 20
#define APPEND_MAX_GAP_MS 2000
#define APPEND_RETRY_MS 250
#define BATCH_MAX_RECORDS 500
#define PENDING_MAX 20000

/* A record on its way to the log. */
struct outgoing
{
  char *uid;
  char *text;
  bool sent; /* at least once, so it may be in the log already */
};

struct log_task
{
  struct task *task;
  struct task *core;
  struct platform *platform;
  const struct settings *settings;
  struct counters *counters;
  GQueue *pending; /* struct outgoing *, oldest first */
  guint in_flight; /* how many of the oldest are being appended */
  bool appending;
  bool unclear;       /* the oldest may stand in the log already */
  int64_t unclear_ms; /* since when */
  int64_t gap_ms;     /* between appends */
  int64_t appended_ms;
  GSource *append_timer;
  GSource *read_timer;
  GSource *probe_timer;
  uint64_t after;   /* offset read so far */
  int64_t read_ms;  /* when the read that waits was begun */
  int64_t probe_ms; /* when the read that does not wait was begun, or 0 */
  bool reachable;
  int64_t list_asked_ms; /* when the last read of the VM list was sent */
};

static void read_on (struct log_task *l);
static void append_on (struct log_task *l);

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
outgoing_free (gpointer p)
{
  struct outgoing *o = p;

  g_free (o->uid);
  g_free (o->text);
  g_free (o);
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
post_state (struct log_task *l, bool reachable, uint64_t first, uint64_t head,
            int64_t asked_ms)
{
  struct message *m = message_new (MESSAGE_LOG_STATE);

  if (reachable != l->reachable)
    logging_state (l->settings->node, reachable ? "log-answers" : "log-silent",
                   "the platform's log %s",
                   reachable ? "answers" : "does not answer");
  l->reachable = reachable;
  m->u.log_state.reachable = reachable;
  m->u.log_state.first = first;
  m->u.log_state.head = head;
  m->u.log_state.asked_ms = asked_ms;
  task_post (l->core, m);
}

/* Forget the outgoing record with UID: it stands in the log. */
static void
confirm (struct log_task *l, const char *uid)
{
  guint place = 0;

  for (GList *i = l->pending->head; i != NULL; i = i->next, place++)
    {
      struct outgoing *o = i->data;

      if (!o->sent)
        return; /* none behind it has been sent either */
      if (strcmp (o->uid, uid) != 0)
        continue;
      /* The batch in flight is still to be counted off when it ends. */
      if (place < l->in_flight)
        return;
      g_queue_delete_link (l->pending, i);
      outgoing_free (o);
      return;
    }
}

/* Drop the entries that an earlier answer has brought already. */
static void
drop_known (const struct log_task *l, GArray *entries)
{
  guint n = 0;

  while (n < entries->len
         && g_array_index (entries, struct log_entry, n).offset <= l->after)
    n++;
  if (n > 0)
    g_array_remove_range (entries, 0, n);
}

static void
take_entries (struct log_task *l, GArray *entries, uint64_t first)
{
  struct message *m;

  drop_known (l, entries);
  for (guint i = 0; i < entries->len; i++)
    {
      const struct log_entry *e
          = &g_array_index (entries, struct log_entry, i);

      l->after = MAX (l->after, e->offset);
      if (e->record != NULL
          && strcmp (e->record->node, l->settings->node) == 0)
        confirm (l, e->record->uid);
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
  read_on (l);
  return G_SOURCE_REMOVE;
}

/* An append was unclear, and a read begun later has reached the head: what
   was not seen is not there, so it may be sent again.  Should the first still
   be written later, the log holds it twice, and its condition lets it take
   effect once. */
static void
clear_doubt (struct log_task *l)
{
  l->unclear = false;
  for (GList *i = l->pending->head; i != NULL; i = i->next)
    {
      if (!((struct outgoing *)i->data)->sent)
        break;
      counters_add (l->counters, COUNTER_LOG_RESENT, 1);
    }
  append_on (l);
}

/* Take in the answer to a read that was begun at ASKED_MS.  Return whether
   there was one. */
static bool
take_answer (struct log_task *l, struct platform_read_result *r,
             int64_t asked_ms)
{
  if (r->entries == NULL)
    {
      counters_add (l->counters, COUNTER_LOG_READ_FAILURES, 1);
      post_state (l, false, 0, 0, asked_ms);
      return false;
    }
  take_entries (l, r->entries, r->first);
  post_state (l, true, r->first, r->head, asked_ms);
  if (l->unclear && asked_ms > l->unclear_ms && l->after >= r->head)
    clear_doubt (l);
  return true;
}

static void
on_read (struct platform_read_result *r, void *data)
{
  struct log_task *l = data;

  if (take_answer (l, r, l->read_ms))
    read_on (l);
  else
    l->read_timer = start_timer (READ_RETRY_MS, on_read_timer, l);
}

static void
on_probe (struct platform_read_result *r, void *data)
{
  struct log_task *l = data;
  int64_t asked_ms = l->probe_ms;

  l->probe_ms = 0;
  take_answer (l, r, asked_ms);
}

/* Read at once, beside the read that waits for the next record. */
static void
probe (struct log_task *l)
{
  if (l->probe_ms != 0)
    return;
  l->probe_ms = now_ms ();
  platform_read (l->platform, l->after, 0, on_probe, l);
}

static void
read_on (struct log_task *l)
{
  l->read_ms = now_ms ();
  /* The first read after a failure does not wait, so that an outage's end is
     seen at once. */
  platform_read (l->platform, l->after, l->reachable ? READ_WAIT_MS : 0,
                 on_read, l);
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
  m->u.vm_list.asked_ms = l->list_asked_ms;
  task_post (l->core, m);
}

/* Appending. */

static gboolean
on_append_timer (gpointer data)
{
  struct log_task *l = data;

  stop_timer (&l->append_timer);
  append_on (l);
  return G_SOURCE_REMOVE;
}

static void
append_later (struct log_task *l, int64_t delay_ms)
{
  if (l->append_timer == NULL)
    l->append_timer = start_timer (MAX (delay_ms, 1), on_append_timer, l);
}

static void
drop_batch (struct log_task *l)
{
  for (; l->in_flight > 0; l->in_flight--)
    outgoing_free (g_queue_pop_head (l->pending));
}

static gboolean
on_probe_timer (gpointer data)
{
  struct log_task *l = data;

  stop_timer (&l->probe_timer);
  probe (l);
  return G_SOURCE_REMOVE;
}

/* The least time between two appends of this node, so that all nodes
   together stay within the log's rate. */
static int64_t
least_gap_ms (const struct log_task *l)
{
  return MAX (APPEND_MIN_GAP_MS,
              (l->settings->n_peers + 1) * 1000 / APPENDS_PER_S);
}

/* The log takes fewer appends than this node makes: make half as many, with
   more records in each. */
static void
slow_down (struct log_task *l)
{
  int64_t jitter_ms = g_random_int_range (0, 20);

  counters_add (l->counters, COUNTER_LOG_APPENDS_THROTTLED, 1);
  l->gap_ms = MIN (2 * l->gap_ms + jitter_ms, APPEND_MAX_GAP_MS);
}

/* The log keeps up: go back towards the usual rate, a little each time. */
static void
speed_up (struct log_task *l)
{
  l->gap_ms = MAX (l->gap_ms - l->gap_ms / 16 - 1, least_gap_ms (l));
}

static void
on_append (enum append_result result, void *data)
{
  struct log_task *l = data;

  l->appending = false;
  counters_add (l->counters, COUNTER_LOG_APPENDS, 1);
  switch (result)
    {
    case APPEND_DONE:
      drop_batch (l);
      speed_up (l);
      append_on (l);
      return;
    case APPEND_TOO_FAST:
      slow_down (l);
      l->in_flight = 0;
      append_later (l, l->gap_ms);
      return;
    case APPEND_NOT_DONE:
      counters_add (l->counters, COUNTER_LOG_APPEND_FAILURES, 1);
      break;
    case APPEND_UNCLEAR:
      /* Nothing is sent again before a later read has reached the head. */
      counters_add (l->counters, COUNTER_LOG_APPEND_UNCLEAR, 1);
      l->in_flight = 0;
      l->unclear = true;
      l->unclear_ms = now_ms ();
      l->probe_timer = start_timer (PROBE_AFTER_MS, on_probe_timer, l);
      return;
    }
  l->in_flight = 0;
  append_later (l, APPEND_RETRY_MS);
}

static void
append_on (struct log_task *l)
{
  GPtrArray *texts;
  int64_t gap_ms = l->appended_ms + l->gap_ms - now_ms ();

  if (l->appending || l->unclear || g_queue_is_empty (l->pending))
    return;
  if (gap_ms > 0)
    {
      append_later (l, gap_ms);
      return;
    }
  texts = g_ptr_array_new ();
  for (GList *i = l->pending->head;
       i != NULL && texts->len < BATCH_MAX_RECORDS; i = i->next)
    {
      struct outgoing *o = i->data;

      o->sent = true;
      g_ptr_array_add (texts, o->text);
    }
  l->in_flight = texts->len;
  l->appending = true;
  l->appended_ms = now_ms ();
  platform_append (l->platform, texts, on_append, l);
  g_ptr_array_unref (texts);
}

static void
append (struct log_task *l, const struct record *r)
{
  struct outgoing *o;

  if (g_queue_get_length (l->pending) >= PENDING_MAX)
    {
      counters_add (l->counters, COUNTER_LOG_APPEND_FAILURES, 1);
      return;
    }
  o = g_new0 (struct outgoing, 1);
  o->uid = g_strdup (r->uid);
  o->text = record_to_text (r);
  counters_add_record (l->counters, r->kind, record_kind_name (r->kind),
                       strlen (o->text));
  g_queue_push_tail (l->pending, o);
  append_on (l);
}

static void
cancel (struct log_task *l, const char *uid)
{
  for (GList *i = l->pending->tail; i != NULL; i = i->prev)
    {
      struct outgoing *o = i->data;

      if (o->sent)
        return;
      if (strcmp (o->uid, uid) != 0)
        continue;
      g_queue_delete_link (l->pending, i);
      outgoing_free (o);
      return;
    }
}

/* Orders to VMs. */

static void
on_act (bool done_well, void *data)
{
  struct log_task *l = data;

  if (!done_well)
    counters_add (l->counters, COUNTER_PLATFORM_FAILURES, 1);
}

static void
act (struct log_task *l, const struct message_platform *order)
{
  if (order->action == PLATFORM_DRAIN)
    counters_add (l->counters, COUNTER_VM_DRAINS, 1);
  else if (order->action == PLATFORM_REBOOT)
    counters_add (l->counters, COUNTER_VM_REBOOTS, 1);
  platform_act (l->platform, order, on_act, l);
}

/* The task. */

static void
start (void *data)
{
  struct log_task *l = data;

  l->platform = platform_new (&l->settings->platform,
                              l->settings->platform_token, l->counters);
  read_on (l);
}

static void
handle (void *data, struct message *m)
{
  struct log_task *l = data;

  switch (m->kind)
    {
    case MESSAGE_APPEND:
      append (l, m->u.append.record);
      break;
    case MESSAGE_APPEND_CANCEL:
      cancel (l, m->u.append_cancel.uid);
      break;
    case MESSAGE_READ_NOW:
      probe (l);
      break;
    case MESSAGE_PLATFORM:
      act (l, &m->u.platform);
      break;
    case MESSAGE_READ_LIST:
      l->list_asked_ms = now_ms ();
      platform_list (l->platform, on_list, l);
      break;
    default:
      break;
    }
  message_destroy (m);
}

static void
stop (void *data)
{
  struct log_task *l = data;

  stop_timer (&l->append_timer);
  stop_timer (&l->read_timer);
  stop_timer (&l->probe_timer);
  platform_destroy (l->platform);
}

static const struct task_functions functions = { start, handle, stop };

struct log_task *
log_task_new (const struct settings *settings, struct counters *counters,
              struct task *core)
{
  struct log_task *l = g_new0 (struct log_task, 1);

  l->settings = settings;
  l->counters = counters;
  l->core = core;
  l->gap_ms = least_gap_ms (l);
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
  g_queue_free_full (log_task->pending, outgoing_free);
  g_free (log_task);
}
