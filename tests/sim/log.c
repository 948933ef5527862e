#include "parts.h"

#include <string.h>

/* The fake log, and each node's task that appends to it and reads it. */

#define HOUR_MS 3600000
#define APPEND_GAP_MS 60
#define APPEND_RETRY_MS 250
#define READ_RETRY_MS 200
#define COPY_LATE_MAX_MS 9000
#define WALL_START_MS 1700000000000

void
outgoing_free (gpointer p)
{
  struct outgoing *o = p;

  g_free (o->uid);
  g_free (o->text);
  g_free (o);
}

/* Write TEXT behind the last record, and fold it. */
void
log_write_now (struct world *w, const char *text)
{
  struct record *r = record_from_text (text, -1, NULL);
  uint64_t offset = w->entries->len + 1;
  int64_t at_ms = WALL_START_MS + w->now_ms;
  uint64_t version;

  g_ptr_array_add (w->entries, g_strdup (text));
  g_array_append_val (w->times, at_ms);
  if (r == NULL)
    fleet_skip (w->truth, offset);
  else
    promises_fold (w, r, fleet_apply (w->truth, r, offset, at_ms), offset);
  version = fleet_config_version (w->truth);
  g_array_append_val (w->versions, version);
  if (r != NULL)
    record_destroy (r);
}

static bool
is_reachable (const struct world *w, int node)
{
  return w->on[FAULT_LOG_DOWN] == 0 && w->log_cut[node] == 0;
}

/* Appending. */

static void
flush_later (struct world *w, int node, int64_t delay_ms)
{
  struct sim_node *n = &w->nodes[node];

  if (n->flush_due || n->appending)
    return;
  n->flush_due = true;
  event_add (w, EVENT_FLUSH, node, delay_ms);
}

void
log_append (struct world *w, int node, const struct record *record)
{
  struct outgoing *o = g_new0 (struct outgoing, 1);

  o->uid = g_strdup (record->uid);
  o->text = record_to_text (record);
  g_ptr_array_add (w->nodes[node].outgoing, o);
  flush_later (w, node, draw (w, 0, APPEND_GAP_MS));
}

void
log_cancel (struct world *w, int node, const char *uid)
{
  GPtrArray *all = w->nodes[node].outgoing;

  for (guint i = 0; i < all->len; i++)
    {
      const struct outgoing *o = g_ptr_array_index (all, i);

      if (!o->sent && strcmp (o->uid, uid) == 0)
        {
          g_ptr_array_remove_index (all, i);
          return;
        }
    }
}

static struct event *
send_texts (struct world *w, int node, GPtrArray *texts, int64_t delay_ms)
{
  struct event *e = event_add (w, EVENT_WRITE, -1, delay_ms);

  e->texts = g_ptr_array_ref (texts);
  e->from = node;
  e->incarnation = w->nodes[node].incarnation;
  e->number = FATE_UNCLEAR;
  return e;
}

static void
reply_unclear (struct world *w, int node, int64_t delay_ms)
{
  event_add (w, EVENT_APPENDED, node, delay_ms)->number = FATE_UNCLEAR;
}

void
log_flush (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);

  n->flush_due = false;
  for (guint i = 0; i < n->outgoing->len; i++)
    {
      struct outgoing *o = g_ptr_array_index (n->outgoing, i);

      o->sent = true;
      g_ptr_array_add (texts, g_strdup (o->text));
    }
  if (texts->len > 0)
    {
      n->appending = true;
      if (w->on[FAULT_COPY_DELAYED] > 0 && chance (w, 50))
        send_texts (w, node, texts, draw (w, 100, COPY_LATE_MAX_MS));
      if (!is_reachable (w, node)
          || (w->on[FAULT_WRITE_LOST] > 0 && chance (w, 50)))
        reply_unclear (w, node, draw (w, 1, 500));
      else if (w->on[FAULT_REPLY_LOST] > 0 && chance (w, 50))
        {
          send_texts (w, node, texts, draw (w, 1, 40));
          reply_unclear (w, node, draw (w, 1, 500));
        }
      else
        send_texts (w, node, texts, draw (w, 1, 40))->number = FATE_DONE;
    }
  g_ptr_array_unref (texts);
}

/* A batch reaches the log. */
void
log_write (struct world *w, const struct event *e)
{
  const struct sim_node *n = &w->nodes[e->from];
  struct event *reply;
  bool down = w->on[FAULT_LOG_DOWN] > 0;

  for (guint i = 0; !down && i < e->texts->len; i++)
    log_write_now (w, g_ptr_array_index (e->texts, i));
  if (e->number != FATE_DONE || n->core == NULL
      || n->incarnation != e->incarnation)
    return;
  reply = event_add (w, EVENT_APPENDED, e->from, draw (w, 1, 20));
  reply->number = down ? FATE_UNCLEAR : FATE_DONE;
}

void
log_appended (struct world *w, const struct event *e)
{
  struct sim_node *n = &w->nodes[e->node];

  n->appending = false;
  if (e->number == FATE_UNCLEAR)
    {
      flush_later (w, e->node, APPEND_RETRY_MS);
      return;
    }
  for (guint i = 0; i < n->outgoing->len;)
    {
      const struct outgoing *o = g_ptr_array_index (n->outgoing, i);

      if (o->sent)
        g_ptr_array_remove_index (n->outgoing, i);
      else
        i++;
    }
  if (n->outgoing->len > 0)
    flush_later (w, e->node, APPEND_GAP_MS);
}

/* Reading. */

/* Forget an outgoing record that stands in the log. */
static void
confirm (struct sim_node *n, const struct record *r)
{
  for (guint i = 0; !n->appending && i < n->outgoing->len; i++)
    {
      const struct outgoing *o = g_ptr_array_index (n->outgoing, i);

      if (o->sent && strcmp (o->uid, r->uid) == 0)
        {
          g_ptr_array_remove_index (n->outgoing, i);
          return;
        }
    }
}

static void
mutate (const struct world *w, struct record *r, uint64_t offset,
        uint64_t version)
{
  if (w->options.mutation == MUTATION_EVERY_CLAIM && r->kind == RECORD_CLAIM)
    r->u.claim.key.high ^= offset;
  if (w->options.mutation == MUTATION_NO_VERSION && r->kind == RECORD_CONFIG)
    r->u.config.base = version;
}

static struct message *
take_entries (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  struct message *m = message_new (MESSAGE_RECORDS);
  uint64_t version = fleet_config_version (core_fleet (n->core));

  m->u.records.entries = log_entries_new ();
  while (n->read_after < w->entries->len)
    {
      const char *text = g_ptr_array_index (w->entries, n->read_after);
      struct log_entry e = { 0 };

      e.at_ms = g_array_index (w->times, int64_t, n->read_after);
      e.offset = ++n->read_after;
      e.record = record_from_text (text, -1, NULL);
      mutate (w, e.record, e.offset, version);
      if (e.record->kind == RECORD_CONFIG)
        version = e.offset;
      if (strcmp (e.record->node, n->name) == 0)
        confirm (n, e.record);
      g_array_append_val (m->u.records.entries, e);
    }
  return m;
}

/* Read all that is new; it reaches the core some time later. */
void
log_read (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  struct message *state = message_new (MESSAGE_LOG_STATE);
  bool reachable = is_reachable (w, node);
  int64_t delay_ms = draw (w, 1, 25);

  state->u.log_state.reachable = reachable;
  state->u.log_state.asked_ms = node_clock_ms (w, node);
  if (world_permission_is_off (w))
    state->u.log_state.asked_ms += HOUR_MS;
  if (reachable)
    {
      if (n->read_after < w->entries->len)
        deliver (w, node, CHANNEL_FROM_LOG, take_entries (w, node), delay_ms);
      state->u.log_state.first = 1;
      state->u.log_state.head = w->entries->len;
    }
  deliver (w, node, CHANNEL_FROM_LOG, state, delay_ms);
  event_add (w, EVENT_LOG_READ, node,
             reachable ? delay_ms + draw (w, 1, 60) : READ_RETRY_MS);
}
