#include "parts.h"

#include <string.h>

/* The simulated log, and each node's log task, which appends to it and reads
   it. */

#define HOUR_MS 3600000
#define APPEND_GAP_MS 60
#define APPEND_RETRY_MS 250
#define READ_RETRY_MS 200
#define MAX_COPY_DELAY_MS 9000
#define WALL_START_MS 1700000000000

void
outgoing_record_free (gpointer p)
{
  struct outgoing_record *o = p;

  g_free (o->uid);
  g_free (o->text);
  g_free (o);
}

/* Write TEXT after the last record and apply it to the reference fleet. */
void
log_write_now (struct world *w, const char *text)
{
  struct record *r = record_from_text (text, -1, NULL);
  uint64_t offset = w->entries->len + 1;
  int64_t at_ms = WALL_START_MS + w->now_ms;
  uint64_t version;

  g_ptr_array_add (w->entries, g_strdup (text));
  g_array_append_val (w->log_times_ms, at_ms);
  if (r == NULL)
    fleet_skip (w->reference_fleet, offset);
  else
    invariants_check_record (
        w, r, fleet_apply (w->reference_fleet, r, offset, at_ms), offset);
  version = fleet_config_version (w->reference_fleet);
  g_array_append_val (w->versions, version);
  if (r != NULL)
    record_destroy (r);
}

static bool
is_reachable (const struct world *w, int node)
{
  return w->active_faults[FAULT_LOG_DOWN] == 0 && w->n_log_cuts[node] == 0;
}

/* Appending. */

static void
schedule_flush (struct world *w, int node, int64_t delay_ms)
{
  struct sim_node *n = &w->nodes[node];

  if (n->is_flush_scheduled || n->is_appending)
    return;
  n->is_flush_scheduled = true;
  event_add (w, EVENT_FLUSH, node, delay_ms);
}

void
log_append (struct world *w, int node, const struct record *record)
{
  struct outgoing_record *o = g_new0 (struct outgoing_record, 1);

  o->uid = g_strdup (record->uid);
  o->text = record_to_text (record);
  g_ptr_array_add (w->nodes[node].outgoing, o);
  schedule_flush (w, node, draw (w, 0, APPEND_GAP_MS));
}

void
log_cancel (struct world *w, int node, const char *uid)
{
  GPtrArray *all = w->nodes[node].outgoing;

  for (guint i = 0; i < all->len; i++)
    {
      const struct outgoing_record *o = g_ptr_array_index (all, i);

      if (!o->is_sent && strcmp (o->uid, uid) == 0)
        {
          g_ptr_array_remove_index (all, i);
          return;
        }
    }
}

static struct event *
schedule_write (struct world *w, int node, GPtrArray *texts, int64_t delay_ms)
{
  struct event *e = event_add (w, EVENT_WRITE, -1, delay_ms);

  e->texts = g_ptr_array_ref (texts);
  e->from = node;
  e->incarnation = w->nodes[node].incarnation;
  e->number = APPEND_RESULT_UNCLEAR;
  return e;
}

static void
schedule_unclear_reply (struct world *w, int node, int64_t delay_ms)
{
  event_add (w, EVENT_APPEND_REPLY, node, delay_ms)->number
      = APPEND_RESULT_UNCLEAR;
}

void
log_flush (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);

  n->is_flush_scheduled = false;
  for (guint i = 0; i < n->outgoing->len; i++)
    {
      struct outgoing_record *o = g_ptr_array_index (n->outgoing, i);

      o->is_sent = true;
      g_ptr_array_add (texts, g_strdup (o->text));
    }
  if (texts->len > 0)
    {
      n->is_appending = true;
      if (w->active_faults[FAULT_COPY_DELAYED] > 0 && chance (w, 50))
        schedule_write (w, node, texts, draw (w, 100, MAX_COPY_DELAY_MS));
      if (!is_reachable (w, node)
          || (w->active_faults[FAULT_WRITE_LOST] > 0 && chance (w, 50)))
        schedule_unclear_reply (w, node, draw (w, 1, 500));
      else if (w->active_faults[FAULT_REPLY_LOST] > 0 && chance (w, 50))
        {
          schedule_write (w, node, texts, draw (w, 1, 40));
          schedule_unclear_reply (w, node, draw (w, 1, 500));
        }
      else
        schedule_write (w, node, texts, draw (w, 1, 40))->number
            = APPEND_RESULT_DONE;
    }
  g_ptr_array_unref (texts);
}

/* A batch reaches the log. */
void
log_write (struct world *w, const struct event *e)
{
  const struct sim_node *n = &w->nodes[e->from];
  struct event *reply;
  bool down = w->active_faults[FAULT_LOG_DOWN] > 0;

  for (guint i = 0; !down && i < e->texts->len; i++)
    log_write_now (w, g_ptr_array_index (e->texts, i));
  if (e->number != APPEND_RESULT_DONE || n->core == NULL
      || n->incarnation != e->incarnation)
    return;
  reply = event_add (w, EVENT_APPEND_REPLY, e->from, draw (w, 1, 20));
  reply->number = down ? APPEND_RESULT_UNCLEAR : APPEND_RESULT_DONE;
}

void
log_handle_append_reply (struct world *w, const struct event *e)
{
  struct sim_node *n = &w->nodes[e->node];

  n->is_appending = false;
  if (e->number == APPEND_RESULT_UNCLEAR)
    {
      schedule_flush (w, e->node, APPEND_RETRY_MS);
      return;
    }
  for (guint i = 0; i < n->outgoing->len;)
    {
      const struct outgoing_record *o = g_ptr_array_index (n->outgoing, i);

      if (o->is_sent)
        g_ptr_array_remove_index (n->outgoing, i);
      else
        i++;
    }
  if (n->outgoing->len > 0)
    schedule_flush (w, e->node, APPEND_GAP_MS);
}

/* Reading. */

/* Remove the outgoing record that R, read from the log, confirms. */
static void
remove_confirmed (struct sim_node *n, const struct record *r)
{
  for (guint i = 0; !n->is_appending && i < n->outgoing->len; i++)
    {
      const struct outgoing_record *o = g_ptr_array_index (n->outgoing, i);

      if (o->is_sent && strcmp (o->uid, r->uid) == 0)
        {
          g_ptr_array_remove_index (n->outgoing, i);
          return;
        }
    }
}

static void
apply_mutation (const struct world *w, struct record *r, uint64_t offset,
                uint64_t version)
{
  if (w->options.mutation == MUTATION_EVERY_CLAIM && r->kind == RECORD_CLAIM)
    r->u.claim.key.high ^= offset;
  if (w->options.mutation == MUTATION_NO_VERSION && r->kind == RECORD_CONFIG)
    r->u.config.base = version;
}

static struct message *
read_entries (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  struct message *m = message_new (MESSAGE_RECORDS);
  uint64_t version = fleet_config_version (core_fleet (n->core));

  m->u.records.entries = log_entries_new ();
  while (n->read_offset < w->entries->len)
    {
      const char *text = g_ptr_array_index (w->entries, n->read_offset);
      struct log_entry e = { 0 };

      e.at_ms = g_array_index (w->log_times_ms, int64_t, n->read_offset);
      e.offset = ++n->read_offset;
      e.record = record_from_text (text, -1, NULL);
      apply_mutation (w, e.record, e.offset, version);
      if (e.record->kind == RECORD_CONFIG)
        version = e.offset;
      if (strcmp (e.record->node, n->name) == 0)
        remove_confirmed (n, e.record);
      g_array_append_val (m->u.records.entries, e);
    }
  return m;
}

/* Read all new records; they reach the core after a delay. */
void
log_read (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  struct message *state = message_new (MESSAGE_LOG_STATE);
  bool reachable = is_reachable (w, node);
  int64_t delay_ms = draw (w, 1, 25);

  state->u.log_state.is_reachable = reachable;
  state->u.log_state.requested_ms = node_clock_ms (w, node);
  if (world_permission_never_expires (w))
    state->u.log_state.requested_ms += HOUR_MS;
  if (reachable)
    {
      if (n->read_offset < w->entries->len)
        deliver (w, node, CHANNEL_FROM_LOG, read_entries (w, node), delay_ms);
      state->u.log_state.first = 1;
      state->u.log_state.head = w->entries->len;
    }
  deliver (w, node, CHANNEL_FROM_LOG, state, delay_ms);
  event_add (w, EVENT_LOG_READ, node,
             reachable ? delay_ms + draw (w, 1, 60) : READ_RETRY_MS);
}
