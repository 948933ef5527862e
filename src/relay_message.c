#include "relay_message.h"

#include "variant_bytes.h"

/* Whether it is a start, the fencing token, worker, address, task, run,
   deadline, payload, checkpoint and ticket. */
#define ORDERS_TYPE "a(btssstxsss)"

struct relayed_order *
relayed_order_new (enum cell_order_kind kind, const struct run_order *run)
{
  struct relayed_order *o = g_new0 (struct relayed_order, 1);

  o->kind = kind;
  o->run.worker = g_strdup (run->worker);
  o->run.address = g_strdup (run->address);
  o->run.task = g_strdup (run->task);
  o->run.run = run->run;
  o->run.fencing_token = run->fencing_token;
  o->run.deadline_ms = run->deadline_ms;
  o->run.payload = g_strdup (run->payload != NULL ? run->payload : "");
  o->run.checkpoint
      = g_strdup (run->checkpoint != NULL ? run->checkpoint : "");
  o->run.ticket = g_strdup (run->ticket != NULL ? run->ticket : "");
  return o;
}

void
relayed_order_destroy (gpointer order)
{
  struct relayed_order *o = order;

  g_free (o->run.worker);
  g_free (o->run.address);
  g_free (o->run.task);
  g_free (o->run.payload);
  g_free (o->run.checkpoint);
  g_free (o->run.ticket);
  g_free (o);
}

GBytes *
relay_orders_to_bytes (const GPtrArray *orders)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE (ORDERS_TYPE));
  for (guint i = 0; i < orders->len; i++)
    {
      const struct relayed_order *o = g_ptr_array_index (orders, i);
      const struct run_order *r = &o->run;

      g_variant_builder_add (&b, "(btssstxsss)", o->kind == ORDER_START,
                             r->fencing_token, r->worker, r->address, r->task,
                             r->run, r->deadline_ms, r->payload, r->checkpoint,
                             r->ticket);
    }
  return variant_to_bytes (g_variant_builder_end (&b));
}

GPtrArray *
relay_orders_from_bytes (GBytes *bytes)
{
  GVariant *v = variant_from_bytes (bytes, ORDERS_TYPE);
  GPtrArray *orders;
  GVariantIter iter;
  gboolean is_start;
  struct run_order r = { NULL };

  if (v == NULL)
    return NULL;
  orders = g_ptr_array_new_with_free_func (relayed_order_destroy);
  g_variant_iter_init (&iter, v);
  while (g_variant_iter_next (&iter, "(bt&s&s&stx&s&s&s)", &is_start,
                              &r.fencing_token, &r.worker, &r.address, &r.task,
                              &r.run, &r.deadline_ms, &r.payload,
                              &r.checkpoint, &r.ticket))
    g_ptr_array_add (
        orders, relayed_order_new (is_start ? ORDER_START : ORDER_STOP, &r));
  g_variant_unref (v);
  return orders;
}
