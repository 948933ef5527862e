#include "node_advice.h"

#include "event_log.h"
#include "node_host.h"
#include "workers.h"

/* How long an answer of the advice service takes if the configuration does not
   tell: the queue has been removed since its jobs were accepted. */
#define UNKNOWN_ANSWER_MS 1000

static void
on_advice (void *data, const GArray *tickets, int64_t valid_ms)
{
  struct host_call *call = data;
  struct node *n = call->node;
  struct cell_host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  advice_desk_end (n->advice, tickets != NULL, now_ms);
  if (tickets == NULL)
    meters_add (n->meters, METER_ADVICE_NO_ANSWER, 1);
  meters_observe (n->meters, HISTOGRAM_ADVICE, now_ms - call->sent_ms);
  event_log_routine (
      "advice", call->task,
      "asked=%" G_GUINT64_FORMAT " allowed=%d ms=%" G_GINT64_FORMAT, call->run,
      tickets != NULL ? (int)tickets->len : -1, now_ms - call->sent_ms);
  if (h != NULL && h->cell != NULL)
    {
      cell_advice_answered (h->cell, call->task, tickets, valid_ms, now_ms);
      node_schedule_run (n, h);
    }
  host_call_destroy (call);
}

static int64_t
answer_ms (const struct node *n, const struct advice_order *order)
{
  const struct queue_route *q
      = n->routes != NULL ? routes_queue_by_name (n->routes, order->queue)
                          : NULL;

  if (q == NULL || !q->advice_needed)
    return UNKNOWN_ANSWER_MS;
  return q->advice_decision_ms
         + q->advice_each_ms * (int64_t)order->workers->len;
}

static void
send_question (struct cell_host *h, const struct advice_order *order,
               int64_t now_ms)
{
  struct node *n = h->node;

  h->advice_asked_ms = now_ms;
  meters_add (n->meters, METER_ADVICE_CALLS, 1);
  advice_request (
      n->client, n->settings->advice, order,
      advice_desk_begin (n->advice, answer_ms (n, order)), on_advice,
      host_call_new (h, NULL, order->step, order->workers->len, now_ms));
}

static gint
compare_hosts (gconstpointer a, gconstpointer b)
{
  const struct cell_host *x = *(struct cell_host *const *)a;
  const struct cell_host *y = *(struct cell_host *const *)b;

  return (x->advice_asked_ms > y->advice_asked_ms)
         - (x->advice_asked_ms < y->advice_asked_ms);
}

void
node_advice_run (struct node *n, int64_t now_ms)
{
  GPtrArray *hosts;
  GHashTableIter iter;
  gpointer value;

  if (!advice_desk_is_free (n->advice, now_ms))
    return;
  hosts = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cell_host *h = value;

      if (h->cell != NULL && h->phase == HOST_ACTIVE)
        g_ptr_array_add (hosts, h);
    }
  /* The cell that asked longest ago comes first. */
  g_ptr_array_sort (hosts, compare_hosts);
  for (guint i = 0; i < hosts->len; i++)
    {
      struct cell_host *h = g_ptr_array_index (hosts, i);
      struct advice_order *order = cell_next_advice (h->cell, now_ms);

      if (order == NULL)
        continue;
      send_question (h, order, now_ms);
      advice_order_destroy (order);
      break;
    }
  g_ptr_array_unref (hosts);
}
