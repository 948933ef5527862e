#include "scenario.h"

/* One connection through the relay. */
struct relayed_connection
{
  struct relay *relay;
  GIOStream *client_side;
  GIOStream *target_side;
};

static void
remove_connection (struct relay *r, GIOStream *s)
{
  g_ptr_array_remove (r->connections, s);
}

static void
on_spliced (GObject *source, GAsyncResult *result, gpointer data)
{
  struct relayed_connection *p = data;

  g_io_stream_splice_finish (result, NULL);
  remove_connection (p->relay, p->client_side);
  remove_connection (p->relay, p->target_side);
  g_object_unref (p->client_side);
  g_object_unref (p->target_side);
  g_free (p);
}

static void
on_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  struct relayed_connection *p = data;
  GSocketConnection *c = g_socket_client_connect_to_host_finish (
      G_SOCKET_CLIENT (source), result, NULL);

  g_object_unref (source);
  if (c == NULL || p->relay->is_cut)
    {
      g_io_stream_close (p->client_side, NULL, NULL);
      g_clear_object (&c);
      g_object_unref (p->client_side);
      g_free (p);
      return;
    }
  p->target_side = G_IO_STREAM (c);
  g_ptr_array_add (p->relay->connections, g_object_ref (p->client_side));
  g_ptr_array_add (p->relay->connections, g_object_ref (p->target_side));
  g_io_stream_splice_async (p->client_side, p->target_side,
                            G_IO_STREAM_SPLICE_CLOSE_STREAM1
                                | G_IO_STREAM_SPLICE_CLOSE_STREAM2,
                            G_PRIORITY_DEFAULT, NULL, on_spliced, p);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection,
             GObject *source, gpointer data)
{
  struct relay *r = data;
  struct relayed_connection *p;

  if (r->is_cut)
    {
      g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
      return TRUE;
    }
  p = g_new0 (struct relayed_connection, 1);
  p->relay = r;
  p->client_side = g_object_ref (G_IO_STREAM (connection));
  g_socket_client_connect_to_host_async (g_socket_client_new (), "127.0.0.1",
                                         r->target, NULL, on_connected, p);
  return TRUE;
}

struct relay *
relay_new (uint16_t target)
{
  struct relay *r = g_new0 (struct relay, 1);
  GSocketAddress *a = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  GSocketAddress *effective = NULL;

  r->target = target;
  r->connections = g_ptr_array_new_with_free_func (g_object_unref);
  r->service = g_socket_service_new ();
  g_socket_listener_add_address (G_SOCKET_LISTENER (r->service), a,
                                 G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                 NULL, &effective, NULL);
  r->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (effective));
  g_object_unref (a);
  g_object_unref (effective);
  g_signal_connect (r->service, "incoming", G_CALLBACK (on_incoming), r);
  g_socket_service_start (r->service);
  return r;
}

void
relay_set_cut (struct relay *relay, bool cut)
{
  relay->is_cut = cut;
  if (!cut)
    return;
  for (guint i = 0; i < relay->connections->len; i++)
    {
      GSocketConnection *c = g_ptr_array_index (relay->connections, i);

      /* Shut the socket down at once; the splice then ends and frees both
         sides. */
      g_socket_shutdown (g_socket_connection_get_socket (c), TRUE, TRUE, NULL);
    }
}

void
relay_destroy (struct relay *relay)
{
  g_socket_service_stop (relay->service);
  g_socket_listener_close (G_SOCKET_LISTENER (relay->service));
  g_object_unref (relay->service);
}
