#include "node_host.h"

#include "event_log.h"
#include "wire.h"
#include "workers.h"

#include <string.h>

/* One node, the owner of the fleet, executes maintenance waves and sizes the
   pools.  Its epoch is the fencing token of its orders for machines.  Before
   it sends an order, it writes the machine's name to its journal: the next
   owner sends no orders for the machines in the last such record until the
   holder lease has expired. */

/* Requests in a round to empty a worker, and the delay between them.  A worker
   counts as empty once its cell's journal says that it is kept empty, which
   takes some 20 ms. */
#define EMPTYING_ATTEMPTS_MAX 4
#define EMPTYING_RETRY_MS 30
/* Keys of the records that name the machines ordered last, and of these the
   ones whose upkeep may not have begun yet. */
#define ORDERED_KEY "ordered"
#define ORDERED_UPKEEPS_KEY "ordered-upkeeps"
/* Delay after a failed append. */
#define RETRY_DELAY_MS 300
/* Interval between rounds; each reads the list of machines. */
#define ROUND_INTERVAL_MS 250
/* An owner that the store has not confirmed for this long sends no orders. */
#define CONFIRMATION_MAX_AGE_MS 2400
/* Delay with which the list of machines shows an upkeep. */
#define LIST_LAG_MS 300
/* Timeout of requests about a worker to the owner of its cell. */
#define WORKER_REQUEST_TIMEOUT_MS 1000

enum fleet_stream
{
  FLEET_STATUS,
  FLEET_UPKEEP
};

static struct fleet_write *
write_new (enum fleet_stream stream, char *key, char *value)
{
  struct fleet_write *w = g_new0 (struct fleet_write, 1);

  w->stream
      = g_strdup (stream == FLEET_STATUS ? STREAM_STATUS : UPKEEP_STREAM);
  w->key = key;
  w->value = value;
  return w;
}

static void
write_destroy (gpointer p)
{
  struct fleet_write *w = p;

  g_free (w->stream);
  g_free (w->key);
  g_free (w->value);
  if (w->orders != NULL)
    g_ptr_array_unref (w->orders);
  g_free (w);
}

void
fleet_end (struct node *n)
{
  struct fleet_state *f = &n->fleet;

  if (f->epoch == 0)
    return;
  event_log ("fleet-left", "", "epoch=%" G_GUINT64_FORMAT, f->epoch);
  f->epoch = 0;
  node_ledger_end (n);
  g_queue_clear_full (&f->writes, write_destroy);
  g_clear_pointer (&f->upkeep, upkeep_destroy);
  g_clear_pointer (&f->machines, g_ptr_array_unref);
  g_clear_pointer (&f->announced_states, g_hash_table_unref);
  g_clear_pointer (&f->read_waves, g_hash_table_unref);
  g_clear_pointer (&f->ready_calls, g_ptr_array_unref);
  g_clear_pointer (&f->sizing, sizing_destroy);
  g_clear_pointer (&f->order_log, order_log_destroy);
  g_clear_pointer (&f->loads, g_ptr_array_unref);
}

/* Return whether this node still owns the fleet under EPOCH. */
static bool
is_current_epoch (const struct fleet_state *f, uint64_t epoch)
{
  return epoch != 0 && f->epoch == epoch;
}

bool
fleet_is_confirmed (const struct node *n, int64_t now_ms)
{
  const struct cell_host *h = g_hash_table_lookup (n->hosts, FLEET_SERVICE);

  return h != NULL && h->epoch == n->fleet.epoch
         && now_ms < h->confirmed_ms + CONFIRMATION_MAX_AGE_MS;
}

/* The context of a call.  It holds the epoch, as another may have begun by the
   answer. */
struct fleet_call
{
  struct node *node;
  uint64_t epoch;
  int64_t wave;
  char *machine;
  char *service;
  char *worker;
  char *target;               /* service to move it to; NULL for upkeep */
  int64_t emptied_ms;         /* when its worker was found empty */
  uint32_t emptying_attempts; /* requests to empty its worker */
};

static struct fleet_call *
call_new (struct node *n, int64_t wave, const struct machine *m)
{
  struct fleet_call *call = g_new0 (struct fleet_call, 1);

  call->node = n;
  call->epoch = n->fleet.epoch;
  call->wave = wave;
  call->machine = g_strdup (m != NULL ? m->name : "");
  call->service = g_strdup (m != NULL ? m->service : "");
  call->worker = g_strdup (m != NULL ? m->worker : "");
  return call;
}

static void
call_destroy (gpointer p)
{
  struct fleet_call *call = p;

  g_free (call->machine);
  g_free (call->service);
  g_free (call->worker);
  g_free (call->target);
  g_free (call);
}

/* Becoming the owner. */

/* Load one record of the journal.  Its value is "A,B,C": under a wave's number
   the machines whose upkeep has begun, under ORDERED_KEY and
   ORDERED_UPKEEPS_KEY those that were ordered last. */
static void
load_record (struct node *n, const struct journal_entry *e, bool was_own,
             int64_t now_ms)
{
  gsize size;
  const char *value = g_bytes_get_data (e->value, &size);
  char *text = g_strndup (value, size);
  char **names = g_strsplit (text, ",", -1);
  int64_t wave = g_ascii_strtoll (e->key, NULL, 10);

  if (strcmp (e->key, ORDERED_KEY) == 0)
    order_log_load (n->fleet.order_log, text, was_own, now_ms);
  else if (strcmp (e->key, ORDERED_UPKEEPS_KEY) == 0)
    order_log_load_upkeeps (n->fleet.order_log, text, now_ms);
  else
    for (char **name = names; *name != NULL; name++)
      /* The list shows, after its delay, whether it is still down. */
      if (**name != '\0')
        upkeep_mark_machine_begun (n->fleet.upkeep, wave, *name,
                                   now_ms - n->settings->upkeep_ms);
  g_strfreev (names);
  g_free (text);
}

void
fleet_begin (struct node *n, uint64_t epoch, const GPtrArray *records,
             bool was_own, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;

  f->order_log = order_log_new (n->settings->holder_lease_ms);
  f->epoch = epoch;
  f->next_write_ms = now_ms;
  f->is_writing = false;
  f->failed_writes = 0;
  f->is_round_running = false;
  f->orders_pending = 0;
  f->loads_pending = 0;
  f->upkeep = upkeep_new ();
  f->sizing = sizing_new ((uint32_t)MAX (
      n->settings->machine_orders_per_s * ROUND_INTERVAL_MS / 1000, 1));
  f->ready_calls = g_ptr_array_new_with_free_func (call_destroy);
  f->loads = g_ptr_array_new_with_free_func (pool_load_destroy);
  f->announced_states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->read_waves = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_bytes_unref);
  f->sequences[FLEET_STATUS] = 1;
  f->sequences[FLEET_UPKEEP] = 1;
  n->status_follower.has_list = false;
  n->status_follower.must_relist = true;
  for (guint i = 0; i < records->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (records, i);

      if (e->value != NULL)
        load_record (n, e, was_own, now_ms);
    }
  node_ledger_begin (n, now_ms);
  event_log ("fleet-taken", "", "epoch=%" G_GUINT64_FORMAT, f->epoch);
}

/* Appends: one at a time, in order, each retried until it succeeds. */

static void send_orders (struct node *n, struct fleet_write *w);

/* Record that W, with SEQUENCE, is the last append to its stream: an append
   that confirms the owner repeats the number. */
static void
note_sequence (struct node *n, const struct fleet_write *w, uint64_t sequence)
{
  struct cell_host *h = g_hash_table_lookup (n->hosts, FLEET_SERVICE);

  if (h != NULL && strcmp (w->stream, UPKEEP_STREAM) == 0)
    h->last_sequence = sequence;
}

static void
on_written (void *data, const struct store_append_reply *a)
{
  struct fleet_call *call = data;
  struct fleet_state *f = &call->node->fleet;

  if (is_current_epoch (f, call->epoch))
    {
      struct fleet_write *w = g_queue_peek_head (&f->writes);
      uint64_t *sequence = &f->sequences[strcmp (w->stream, STREAM_STATUS) == 0
                                             ? FLEET_STATUS
                                             : FLEET_UPKEEP];

      f->is_writing = false;
      f->failed_writes = a->result == STORE_DONE ? 0 : f->failed_writes + 1;
      /* A lost answer is asked for again at once. */
      f->next_write_ms
          = node_now_ms () + (a->result == STORE_UNCLEAR ? 0 : RETRY_DELAY_MS);
      if (a->result == STORE_DONE)
        {
          note_sequence (call->node, w, (*sequence)++);
          f->next_write_ms = node_now_ms ();
          g_queue_pop_head (&f->writes);
          send_orders (call->node, w);
          write_destroy (w);
        }
      else if (a->result == STORE_WRONG_SEQUENCE)
        *sequence = a->next_sequence;
      else if (a->result == STORE_FENCED)
        fleet_end (call->node);
    }
  call_destroy (call);
}

static void
write_next (struct node *n)
{
  struct fleet_state *f = &n->fleet;
  const struct fleet_write *w = g_queue_peek_head (&f->writes);
  struct store_writer writer = { FLEET_WRITER, f->epoch, 0 };
  GPtrArray *entries;
  GBytes *value;

  if (w == NULL || f->is_writing || node_now_ms () < f->next_write_ms)
    return;
  writer.sequence
      = f->sequences[strcmp (w->stream, STREAM_STATUS) == 0 ? FLEET_STATUS
                                                            : FLEET_UPKEEP];
  value = g_bytes_new (w->value, strlen (w->value));
  entries = g_ptr_array_new_with_free_func (journal_entry_free);
  g_ptr_array_add (entries, journal_entry_new (w->key, value));
  f->is_writing = true;
  store_append (n->store, w->stream, &writer, entries,
                node_store_timeout_ms (f->failed_writes), on_written,
                call_new (n, 0, NULL));
  g_ptr_array_unref (entries);
  g_bytes_unref (value);
}

static void
write_wave_state (struct node *n, int64_t wave, bool is_completed)
{
  struct fleet_state *f = &n->fleet;
  char *key = g_strdup_printf ("%" G_GINT64_FORMAT "%s", wave,
                               is_completed ? " completed" : "");

  if (!g_hash_table_add (f->announced_states, key))
    return;
  event_log ("wave", "", "wave=%" G_GINT64_FORMAT " state=%s", wave,
             is_completed ? "completed" : "running");
  g_queue_push_tail (&f->writes,
                     write_new (FLEET_STATUS, wire_wave_key (wave),
                                wire_wave_status (wave, is_completed)));
}

/* Orders for machines. */

static void
ignore_answer (void *data, const struct front_answer *answer)
{
}

/* The machine is down, so all runs on its worker have ended: tell the worker's
   cell. */
static void
report_worker_ended (struct node *n, const struct fleet_call *call)
{
  struct front_request request = { .verb = FRONT_WORKER_ENDED,
                                   .service = call->service,
                                   .subject = call->worker,
                                   .timeout_ms = WORKER_REQUEST_TIMEOUT_MS };

  if (call->worker[0] != '\0')
    front_request (n->front, &request, ignore_answer, NULL);
}

static void
record_order_done (struct node *n, const struct fleet_call *call, bool is_down)
{
  struct fleet_state *f = &n->fleet;

  if (is_down)
    report_worker_ended (n, call);
  if (call->target != NULL)
    {
      meters_add (n->meters, METER_MOVES, 1);
      return;
    }
  meters_add (n->meters, METER_UPKEEPS, 1);
  order_log_settle (f->order_log, call->machine);
  upkeep_mark_machine_begun (f->upkeep, call->wave, call->machine,
                             node_now_ms ());
  g_queue_push_tail (
      &f->writes, write_new (FLEET_UPKEEP,
                             g_strdup_printf ("%" G_GINT64_FORMAT, call->wave),
                             upkeep_begun_names (f->upkeep, call->wave)));
}

static void
on_ordered (void *data, enum machine_answer answer)
{
  struct fleet_call *call = data;
  struct node *n = call->node;

  event_log ("machine-order", call->machine,
             "wave=%" G_GINT64_FORMAT " service=%s worker=%s to=%s outcome=%d",
             call->wave, call->service, call->worker,
             call->target != NULL ? call->target : "upkeep", (int)answer);
  if (!is_current_epoch (&n->fleet, call->epoch))
    {
      call_destroy (call);
      return;
    }
  n->fleet.orders_pending--;
  switch (answer)
    {
    case MACHINE_ORDER_DONE:
      record_order_done (n, call, true);
      break;
    case MACHINE_ORDER_REFUSED:
      /* The order can never be done, so it is not retried; the machine stays
         as it was. */
      record_order_done (n, call, false);
      break;
    case MACHINE_ORDER_FENCED:
      fleet_end (n);
      break;
    case MACHINE_ORDER_UNCLEAR:
      if (call->target == NULL)
        order_log_unsettle (n->fleet.order_log, call->machine, node_now_ms ());
      meters_add (n->meters, METER_MACHINE_ORDERS_RETRIED, 1);
      break;
    case MACHINE_ORDER_BUSY:
      meters_add (n->meters, METER_MACHINE_ORDERS_RETRIED, 1);
      break;
    }
  call_destroy (call);
}

static void
send_order (struct fleet_call *call)
{
  struct node *n = call->node;
  struct machine_order order = { .holder = n->settings->node,
                                 .fencing_token = n->fleet.epoch,
                                 .machine = call->machine,
                                 .service = call->target,
                                 .wave = call->wave };

  machine_order_send (n->client, n->settings->machines, &order,
                      ORDER_TIMEOUT_MS, on_ordered, call);
}

/* Send the orders of W, which is in the journal now, if the store has
   confirmed the ownership recently. */
static void
send_orders (struct node *n, struct fleet_write *w)
{
  while (w->orders != NULL && w->orders->len > 0)
    {
      struct fleet_call *call = g_ptr_array_steal_index (w->orders, 0);

      int64_t now_ms = node_now_ms ();

      if (fleet_is_confirmed (n, now_ms)
          && now_ms < call->emptied_ms + ORDER_EMPTIED_MAX_AGE_MS)
        {
          send_order (call);
          continue;
        }
      n->fleet.orders_pending--;
      call_destroy (call);
    }
}

/* Queue a journal record that names the machines whose orders are ready; they
   are sent once it is written. */
static void
journal_ready_orders (struct node *n)
{
  struct fleet_state *f = &n->fleet;
  struct fleet_write *w;
  int64_t now_ms = node_now_ms ();

  if (f->ready_calls->len == 0)
    return;
  for (guint i = 0; i < f->ready_calls->len; i++)
    {
      const struct fleet_call *call = g_ptr_array_index (f->ready_calls, i);

      order_log_add (f->order_log, call->machine, call->target == NULL,
                     now_ms);
    }
  g_queue_push_tail (
      &f->writes, write_new (FLEET_UPKEEP, g_strdup (ORDERED_UPKEEPS_KEY),
                             order_log_upkeeps_text (f->order_log, now_ms)));
  w = write_new (FLEET_UPKEEP, g_strdup (ORDERED_KEY),
                 order_log_text (f->order_log, now_ms));
  w->orders = f->ready_calls;
  f->ready_calls = g_ptr_array_new_with_free_func (call_destroy);
  g_queue_push_tail (&f->writes, w);
}

static void retry_emptying (evutil_socket_t fd, short events, void *data);

static void
on_emptying_answered (void *data, const struct front_answer *answer)
{
  struct fleet_call *call = data;
  struct fleet_state *f = &call->node->fleet;

  bool is_current = is_current_epoch (f, call->epoch);

  if (is_current && answer->result == FRONT_DONE && answer->number == 1
      && fleet_is_confirmed (call->node, node_now_ms ()))
    {
      call->emptied_ms = node_now_ms ();
      g_ptr_array_add (f->ready_calls, call);
      return;
    }
  if (is_current && answer->result == FRONT_DONE
      && ++call->emptying_attempts < EMPTYING_ATTEMPTS_MAX)
    {
      struct timeval delay = { 0, EMPTYING_RETRY_MS * 1000 };

      event_base_once (call->node->base, -1, EV_TIMEOUT, retry_emptying, call,
                       &delay);
      return;
    }
  if (is_current)
    f->orders_pending--;
  call_destroy (call);
}

static void
request_emptying (struct fleet_call *call)
{
  struct front_request request = { .verb = FRONT_EMPTY_WORKER,
                                   .service = call->service,
                                   .subject = call->worker,
                                   .timeout_ms = WORKER_REQUEST_TIMEOUT_MS };

  front_request (call->node->front, &request, on_emptying_answered, call);
}

static void
retry_emptying (evutil_socket_t fd, short events, void *data)
{
  request_emptying (data);
}

/* Begin an order for M: have its worker emptied first, if it has one.  TARGET
   is the service to move it to, or NULL for upkeep. */
static void
begin_order (struct node *n, const struct machine *m, int64_t wave,
             const char *target)
{
  struct fleet_call *call = call_new (n, wave, m);

  call->target = g_strdup (target);
  n->fleet.orders_pending++;
  call->emptied_ms = node_now_ms ();
  if (call->worker[0] == '\0')
    g_ptr_array_add (n->fleet.ready_calls, call);
  else
    request_emptying (call);
}

/* Add the waves that operators have requested. */
static void
add_waves (struct node *n)
{
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, n->wave_requests);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gsize size;
      const void *text = g_bytes_get_data (value, &size);
      struct wave_request *r;

      if (g_hash_table_contains (n->completed_waves, key))
        {
          if (wire_wave_number (key) >= 0)
            upkeep_mark_wave_completed (n->fleet.upkeep,
                                        wire_wave_number (key));
          continue;
        }
      if (g_hash_table_lookup (n->fleet.read_waves, key) == value)
        continue;
      g_hash_table_replace (n->fleet.read_waves, g_strdup (key),
                            g_bytes_ref (value));
      r = wire_read_wave (text, size);
      if (r == NULL || r->number != wire_wave_number (key))
        {
          event_log ("wave-malformed", key, "bytes=%zu outcome=left-out",
                     size);
          wave_request_destroy (r);
          continue;
        }
      write_wave_state (n, r->number, false);
      upkeep_add_wave (n->fleet.upkeep, r);
    }
}

/* Execute the due steps of the waves; add the machines that they use to
   RESERVED. */
static void
execute_waves (struct node *n, GHashTable *reserved, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct upkeep_action));

  upkeep_plan (f->upkeep, f->machines, n->settings->upkeep_ms + LIST_LAG_MS,
               now_ms, steps);
  for (guint i = 0; i < steps->len; i++)
    {
      const struct upkeep_action *step
          = &g_array_index (steps, struct upkeep_action, i);

      switch (step->kind)
        {
        case UPKEEP_EMPTY_WORKER:
          g_hash_table_add (reserved, g_strdup (step->machine->name));
          begin_order (n, step->machine, step->wave, NULL);
          break;
        case UPKEEP_COMPLETE:
          write_wave_state (n, step->wave, true);
          upkeep_mark_wave_completed (f->upkeep, step->wave);
          break;
        case UPKEEP_NOTHING:
          break;
        }
    }
  g_array_unref (steps);
}

static const char *
standby_service (const struct node *n)
{
  for (guint i = 0; i < n->routes->services->len; i++)
    {
      const struct service_entry *s
          = g_ptr_array_index (n->routes->services, i);

      if (s->is_standby)
        return s->name;
    }
  return NULL;
}

static void
execute_moves (struct node *n, GHashTable *reserved, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct sizing_move));

  sizing_plan (f->sizing, f->machines, f->loads, standby_service (n), reserved,
               now_ms, steps);
  for (guint i = 0; i < steps->len; i++)
    {
      const struct sizing_move *step
          = &g_array_index (steps, struct sizing_move, i);

      event_log (
          "machine-move", step->machine->name,
          "from=%s to=%s have=%u need=%u burst_milli=%" G_GUINT64_FORMAT,
          step->machine->service, step->service, step->have, step->need,
          step->burst_milli);
      begin_order (n, step->machine, 0, step->service);
    }
  g_array_unref (steps);
}

/* Mark the machines for which orders may be on their way.  Exclude those that
   an earlier owner may have ordered within its lease: list them as moving, so
   that no plan uses them. */
static void
mark_ordered_machines (struct node *n, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;

  for (guint i = f->machines->len; i > 0; i--)
    {
      struct machine *m = g_ptr_array_index (f->machines, i - 1);

      m->may_be_ordered
          = order_log_is_unsettled (f->order_log, m->name, now_ms);
      if (order_log_is_held_back (f->order_log, m->name, now_ms)
          && m->state == MACHINE_UP)
        m->state = MACHINE_MOVING;
    }
}

/* Mark the machines whose workers are idle, as the cells say. */
static void
mark_idle_machines (struct node *n)
{
  GHashTable *idle = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < n->fleet.loads->len; i++)
    {
      const struct pool_load *l = g_ptr_array_index (n->fleet.loads, i);

      for (guint k = 0; k < l->idle->len; k++)
        g_hash_table_add (idle, g_ptr_array_index (l->idle, k));
    }
  for (guint i = 0; i < n->fleet.machines->len; i++)
    {
      struct machine *m = g_ptr_array_index (n->fleet.machines, i);

      m->is_idle = g_hash_table_contains (idle, m->worker);
    }
  g_hash_table_unref (idle);
}

static void
finish_round (struct node *n, int64_t now_ms)
{
  GHashTable *reserved
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  n->fleet.is_round_running = false;
  n->fleet.next_round_ms = now_ms + ROUND_INTERVAL_MS;
  mark_ordered_machines (n, now_ms);
  mark_idle_machines (n);
  execute_waves (n, reserved, now_ms);
  execute_moves (n, reserved, now_ms);
  g_hash_table_unref (reserved);
}

static void
on_load_answered (void *data, const struct http_reply *reply)
{
  struct fleet_call *call = data;
  struct node *n = call->node;
  struct fleet_state *f = &n->fleet;

  if (is_current_epoch (f, call->epoch))
    {
      if (reply->status == 200)
        {
          GBytes *bytes = g_bytes_new (reply->body, reply->body_bytes);
          struct pool_load *load = pool_load_from_bytes (call->service, bytes);

          if (load != NULL)
            g_ptr_array_add (f->loads, load);
          g_bytes_unref (bytes);
        }
      if (--f->loads_pending == 0)
        finish_round (n, node_now_ms ());
    }
  call_destroy (call);
}

static void
request_load (struct node *n, const char *service)
{
  const struct cell_host *h = g_hash_table_lookup (n->hosts, service);
  const char *owner = owner_address (n, service);
  struct fleet_call *call;

  if (h != NULL && h->cell != NULL)
    {
      g_ptr_array_add (n->fleet.loads, cell_get_pool_load (h->cell));
      return;
    }
  if (!owner_is_address (owner) || strcmp (owner, n->address) == 0)
    return;
  call = call_new (n, 0, NULL);
  g_free (call->service);
  call->service = g_strdup (service);
  n->fleet.loads_pending++;
  peer_request_load (n, owner, service, on_load_answered, call);
}

static void
request_loads (struct node *n, int64_t now_ms)
{
  g_ptr_array_set_size (n->fleet.loads, 0);
  n->fleet.loads_pending = 0;
  for (guint i = 0; i < n->routes->services->len; i++)
    {
      const struct service_entry *s
          = g_ptr_array_index (n->routes->services, i);

      if (!s->is_standby)
        request_load (n, s->name);
    }
  if (n->fleet.loads_pending == 0)
    finish_round (n, now_ms);
}

static void
on_machines (void *data, GPtrArray *machines)
{
  struct fleet_call *call = data;
  struct node *n = call->node;
  struct fleet_state *f = &n->fleet;
  int64_t now_ms = node_now_ms ();

  if (is_current_epoch (f, call->epoch) && machines == NULL)
    {
      f->is_round_running = false;
      f->next_round_ms = now_ms + ROUND_INTERVAL_MS;
    }
  else if (is_current_epoch (f, call->epoch))
    {
      g_clear_pointer (&f->machines, g_ptr_array_unref);
      f->machines = g_ptr_array_ref (machines);
      request_loads (n, now_ms);
    }
  call_destroy (call);
}

void
fleet_tick (struct node *n, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;

  if (f->epoch == 0 || n->is_stopping)
    return;
  node_ledger_tick (n, now_ms);
  if (n->settings->machines[0] == '\0')
    return;
  journal_ready_orders (n);
  write_next (n);
  if (!n->config_follower.has_list || !n->status_follower.has_list)
    return;
  add_waves (n);
  if (f->is_round_running || f->orders_pending > 0 || now_ms < f->next_round_ms
      || now_ms < f->orders_allowed_ms || !fleet_is_confirmed (n, now_ms))
    return;
  f->is_round_running = true;
  machines_read (n->client, n->settings->machines, on_machines,
                 call_new (n, 0, NULL));
}
