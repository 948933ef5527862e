#include "node_relay.h"

#include "event_log.h"
#include "relay_message.h"
#include "relays.h"

#include <event2/buffer.h>
#include <string.h>

/* How long a relay waits for workers before it answers a batch: a relay on an
   eighth of a core needs 1.7 ms for an order.  Orders without an answer are
   sent by the owner then, so that a silent worker delays no others. */
#define BATCH_WAIT_MS 250
/* Timeout of a batch; shorter than that of an order, so that the order can
   still be sent by the owner. */
#define BATCH_TIMEOUT_MS 450
/* Maximum number of orders in a batch. */
#define BATCH_MAX_ORDERS 32
/* A relay whose event loop has not run for so long refuses batches: they may
   have waited for as long, and the owner may have sent the orders itself. */
#define RELAY_MAX_PAUSE_MS 300
/* Interval between two lists of the relays. */
#define LIST_INTERVAL_MS 2000

/* An order that the owner waits for. */
struct owned_order
{
  order_done done;
  void *data;
};

/* An order that the owner sends itself. */
struct direct_order
{
  struct owned_order owned;
  bool may_arrive_later; /* through a relay that has not answered it */
};

/* A batch on its way to a relay. */
struct owned_batch
{
  struct node *node;
  char *relay;
  GPtrArray *orders; /* struct relayed_order * */
  GArray *owned;     /* struct owned_order, of the same index */
};

struct order_relay
{
  struct node *node;
  struct relays *relays;
  GHashTable *open_batches; /* relay's address to struct owned_batch * */
  int64_t next_list_ms;
  bool is_listing;
  guint n_relays;
};

static struct owned_batch *
owned_batch_new (struct node *n, const char *relay)
{
  struct owned_batch *b = g_new0 (struct owned_batch, 1);

  b->node = n;
  b->relay = g_strdup (relay);
  b->orders = g_ptr_array_new_with_free_func (relayed_order_destroy);
  b->owned = g_array_new (FALSE, FALSE, sizeof (struct owned_order));
  return b;
}

static void
owned_batch_destroy (gpointer p)
{
  struct owned_batch *b = p;

  g_free (b->relay);
  g_ptr_array_unref (b->orders);
  g_array_unref (b->owned);
  g_free (b);
}

struct order_relay *
order_relay_new (struct node *n)
{
  struct order_relay *r = g_new0 (struct order_relay, 1);

  r->node = n;
  r->relays = relays_new ();
  r->open_batches = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                           owned_batch_destroy);
  return r;
}

void
order_relay_destroy (struct order_relay *relay)
{
  if (relay == NULL)
    return;
  g_hash_table_unref (relay->open_batches);
  relays_destroy (relay->relays);
  g_free (relay);
}

static void
on_members (void *data, const GPtrArray *members)
{
  struct order_relay *r = data;
  GPtrArray *others;

  r->is_listing = false;
  if (members == NULL)
    return;
  others = g_ptr_array_new ();
  for (guint i = 0; i < members->len; i++)
    if (strcmp (g_ptr_array_index (members, i), r->node->address) != 0)
      g_ptr_array_add (others, g_ptr_array_index (members, i));
  if (others->len != r->n_relays)
    event_log ("relays", r->node->address, "count=%u before=%u", others->len,
               r->n_relays);
  r->n_relays = others->len;
  relays_set (r->relays, others);
  g_ptr_array_unref (others);
}

static bool
owns_busy_cell (struct node *n)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cell_host *h = value;

      if (h->phase == HOST_ACTIVE && h->cell != NULL
          && cell_has_open_jobs (h->cell))
        return true;
    }
  return false;
}

void
order_relay_tick (struct order_relay *relay, int64_t late_ms, int64_t now_ms)
{
  relays_note_lateness (relay->relays, late_ms, now_ms);
  if (relay->is_listing || now_ms < relay->next_list_ms
      || !owns_busy_cell (relay->node))
    return;
  relay->is_listing = true;
  relay->next_list_ms = now_ms + LIST_INTERVAL_MS;
  store_list_members (relay->node->store, RESERVE_GROUP, on_members, relay);
}

static void
send_to_worker (struct node *n, const struct relayed_order *o,
                worker_run_done done, void *data)
{
  if (o->kind == ORDER_START)
    worker_start (n->client, &o->run, done, data);
  else
    worker_stop (n->client, &o->run, done, data);
}

/* The owner's side. */

static void
on_direct_answer (void *data, const struct worker_run_reply *reply)
{
  struct direct_order *d = data;
  struct run_outcome outcome = { .answer = reply->answer,
                                 .may_arrive_later = d->may_arrive_later,
                                 .clock_ms = reply->clock_ms };

  d->owned.done (d->owned.data, &outcome);
  g_free (d);
}

static void
send_directly (struct node *n, const struct relayed_order *o,
               const struct owned_order *owned, bool may_arrive_later)
{
  struct direct_order *d = g_new0 (struct direct_order, 1);

  d->owned = *owned;
  d->may_arrive_later = may_arrive_later;
  send_to_worker (n, o, on_direct_answer, d);
}

/* Return whether the relay that sent REPLY may have sent the orders of its
   batch, or may send them yet. */
static bool
may_have_been_sent (const struct http_reply *reply)
{
  switch (reply->status)
    {
    case 0:
      return reply->may_have_arrived;
    case 400: /* malformed */
    case 503: /* refused as a whole */
      return false;
    default:
      return true;
    }
}

static void
on_batch_answered (void *data, const struct http_reply *reply)
{
  struct owned_batch *b = data;
  struct node *n = b->node;
  bool is_whole = reply->status == 200 && reply->body_bytes == b->orders->len;
  bool may_be_sent = may_have_been_sent (reply);

  if (!is_whole
      && relays_note_failure (n->relay->relays, b->relay, node_now_ms ()))
    event_log ("relay-failed", b->relay, "orders=%u status=%d", b->orders->len,
               reply->status);
  for (guint i = 0; i < b->orders->len; i++)
    {
      const struct owned_order *o
          = &g_array_index (b->owned, struct owned_order, i);

      if (is_whole && reply->body[i] <= RUN_OTHER_INCARNATION)
        {
          struct run_outcome outcome = { .answer = reply->body[i] };

          o->done (o->data, &outcome);
        }
      else
        send_directly (n, g_ptr_array_index (b->orders, i), o,
                       may_be_sent
                           && !(is_whole && reply->body[i] == RELAY_NOT_SENT));
    }
  owned_batch_destroy (b);
}

static void
send_batch (struct owned_batch *b)
{
  GBytes *bytes = relay_orders_to_bytes (b->orders);
  struct http_call call = { .method = "POST",
                            .path = RELAY_PATH "?service=-",
                            .content_type = "application/octet-stream",
                            .timeout_ms = BATCH_TIMEOUT_MS,
                            .lane = LANE_HEDGED_CALLS };

  call.body = g_bytes_get_data (bytes, &call.body_bytes);
  meters_add (b->node->meters, METER_ORDERS_RELAYED, b->orders->len);
  http_client_send (b->node->client, b->relay, &call, on_batch_answered, b);
  g_bytes_unref (bytes);
}

void
order_relay_flush (struct order_relay *relay)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, relay->open_batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_hash_table_iter_steal (&iter);
      send_batch (value);
    }
}

void
order_relay_send (struct order_relay *relay, enum cell_order_kind kind,
                  const struct run_order *run, order_done done, void *data,
                  int64_t now_ms)
{
  const char *address = relays_choose (relay->relays, run->worker, now_ms);
  struct owned_order owned = { done, data };
  struct owned_batch *b;

  if (address == NULL)
    {
      struct relayed_order order = { kind, *run };

      send_directly (relay->node, &order, &owned, false);
      return;
    }
  b = g_hash_table_lookup (relay->open_batches, address);
  if (b == NULL)
    {
      b = owned_batch_new (relay->node, address);
      g_hash_table_insert (relay->open_batches, b->relay, b);
    }
  g_ptr_array_add (b->orders, relayed_order_new (kind, run));
  g_array_append_val (b->owned, owned);
  if (b->orders->len == BATCH_MAX_ORDERS)
    {
      g_hash_table_steal (relay->open_batches, address);
      send_batch (b);
    }
}

/* The relay's side. */

/* A batch that this node sends for the owner; it lives until it has been
   answered and all orders have ended. */
struct served_batch
{
  struct evhttp_request *request; /* NULL once it has been answered */
  struct event *timer;
  uint8_t *answers;
  guint n_orders;
  guint n_pending;
};

struct served_order
{
  struct served_batch *batch;
  guint index;
};

static void
answer_batch (struct served_batch *b)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, b->answers, b->n_orders);
  evhttp_send_reply (b->request, 200, "sent", body);
  evbuffer_free (body);
  b->request = NULL;
  event_free (b->timer);
}

static void
free_ended_batch (struct served_batch *b)
{
  if (b->request != NULL || b->n_pending > 0)
    return;
  g_free (b->answers);
  g_free (b);
}

static void
on_batch_timer (evutil_socket_t fd, short events, void *data)
{
  struct served_batch *b = data;

  answer_batch (b);
  free_ended_batch (b);
}

static void
on_order_answered (void *data, const struct worker_run_reply *reply)
{
  struct served_order *o = data;
  struct served_batch *b = o->batch;

  /* The owner sends an order without an answer itself. */
  b->answers[o->index] = reply->answer == RUN_NO_ANSWER
                             ? RELAY_NO_ANSWER
                             : (uint8_t)reply->answer;
  g_free (o);
  b->n_pending--;
  if (b->n_pending == 0 && b->request != NULL)
    answer_batch (b);
  free_ended_batch (b);
}

/* Return whether the list of workers shows the worker of ORDER at its
   address: this node sends orders to workers only. */
static bool
is_listed (const struct node *n, const struct run_order *order)
{
  const struct worker_entry *e
      = g_hash_table_lookup (n->workers, order->worker);

  return e != NULL && strcmp (e->address, order->address) == 0;
}

static GPtrArray *
read_orders (struct evhttp_request *request)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  gsize size = evbuffer_get_length (in);
  GBytes *bytes = g_bytes_new (evbuffer_pullup (in, -1), size);
  GPtrArray *orders = relay_orders_from_bytes (bytes);

  g_bytes_unref (bytes);
  return orders;
}

static void
send_served_orders (struct node *n, struct served_batch *b,
                    const GPtrArray *orders)
{
  for (guint i = 0; i < orders->len; i++)
    {
      const struct relayed_order *o = g_ptr_array_index (orders, i);
      struct served_order *served;

      if (!is_listed (n, &o->run))
        continue;
      served = g_new0 (struct served_order, 1);
      served->batch = b;
      served->index = i;
      b->answers[i] = RELAY_NO_ANSWER;
      b->n_pending++;
      send_to_worker (n, o, on_order_answered, served);
    }
}

void
order_relay_serve (struct node *n, struct evhttp_request *request)
{
  struct timeval wait = { 0, BATCH_WAIT_MS * 1000 };
  GPtrArray *orders = read_orders (request);
  struct served_batch *b;

  if (orders == NULL || orders->len == 0
      || node_now_ms () > n->last_tick_ms + RELAY_MAX_PAUSE_MS)
    {
      evhttp_send_reply (request, orders == NULL ? 400 : 503, "not sent",
                         NULL);
      g_clear_pointer (&orders, g_ptr_array_unref);
      return;
    }
  b = g_new0 (struct served_batch, 1);
  b->request = request;
  b->n_orders = orders->len;
  b->answers = g_malloc (orders->len);
  memset (b->answers, RELAY_NOT_SENT, orders->len);
  b->timer = evtimer_new (n->base, on_batch_timer, b);
  evtimer_add (b->timer, &wait);
  send_served_orders (n, b, orders);
  g_ptr_array_unref (orders);
  if (b->n_pending == 0)
    {
      answer_batch (b);
      free_ended_batch (b);
    }
}
