#include "http_server_state.h"

#include "clock.h"

#include <string.h>

/* Memory of a connection without data: libevent's connection, buffers and
   request take 2.5 KB, the descriptor's event and this module's part 0.5 KB;
   rounded up. */
#define CONNECTION_BYTES 4096
/* Memory of one parsed header beyond its text: libevent's entry and the
   overhead of its three allocations. */
#define HEADER_BYTES 112
/* Room in the input beyond the longest head, so that libevent sees that a head
   is too long. */
#define HEAD_MARGIN_BYTES 1024

/* Account for what C holds. */
static void
update_held (struct http_connection *c)
{
  struct http_listener *l = c->listener;
  uint64_t before = c->held_bytes;

  c->held_bytes = CONNECTION_BYTES + c->input_bytes + c->output_bytes
                  + c->parsed_bytes + c->serving_bytes
                  + (uint64_t)c->head.lines * HEADER_BYTES;
  l->held_bytes += c->held_bytes - before;
  l->server->held_bytes += c->held_bytes - before;
  if (c->held_bytes > before
      && l->server->held_bytes > l->server->limits.memory_bytes)
    http_server_schedule_work (l->server);
}

void
http_connection_set_input_room (struct http_connection *c, bool is_wide)
{
  uint64_t room = c->limits.header_bytes + HEAD_MARGIN_BYTES
                  + (is_wide ? c->limits.body_bytes : 0);

  c->has_wide_input = is_wide;
  c->wants_wide_input = false;
  bufferevent_setwatermark (c->stream, EV_READ, 0, room);
}

/* Scan the last SIZE bytes of the input for the end of a head. */
static void
scan_input (struct http_connection *c, struct evbuffer *input, gsize size)
{
  struct evbuffer_ptr start;
  struct evbuffer_iovec parts[8];

  while (size > 0 && !c->head.is_complete)
    {
      int n;

      evbuffer_ptr_set (input, &start, evbuffer_get_length (input) - size,
                        EVBUFFER_PTR_SET);
      n = evbuffer_peek (input, (ev_ssize_t)size, &start, parts,
                         G_N_ELEMENTS (parts));
      for (int i = 0; i < MIN (n, (int)G_N_ELEMENTS (parts)) && size > 0; i++)
        {
          gsize bytes = MIN (parts[i].iov_len, size);

          http_head_scan (&c->head, parts[i].iov_base, bytes);
          size -= bytes;
        }
      if (n <= 0)
        return;
    }
}

static void
on_input_change (struct evbuffer *input, const struct evbuffer_cb_info *info,
                 void *data)
{
  struct http_connection *c = data;

  c->input_bytes = evbuffer_get_length (input);
  if (c->phase == CONNECTION_IDLE && info->n_added > 0)
    {
      c->phase = CONNECTION_READING;
      c->changed_ms = clock_steady_ms ();
    }
  if (c->phase == CONNECTION_READING)
    {
      c->parsed_bytes += info->n_deleted;
      scan_input (c, input, info->n_added);
      /* The head has been parsed and the input fills up: a body follows.
         Requests without one are passed on once their head is parsed. */
      if (!c->has_wide_input && c->head.is_complete && c->parsed_bytes > 0
          && info->n_added > 0
          && c->input_bytes >= c->limits.header_bytes + HEAD_MARGIN_BYTES)
        {
          c->wants_wide_input = true;
          http_server_schedule_work (c->listener->server);
        }
    }
  update_held (c);
}

static void
on_output_change (struct evbuffer *output, const struct evbuffer_cb_info *info,
                  void *data)
{
  struct http_connection *c = data;

  c->output_bytes = evbuffer_get_length (output);
  if (c->phase == CONNECTION_SERVING && info->n_added > 0)
    {
      c->phase = CONNECTION_WRITING;
      c->serving_bytes = 0;
    }
  if (c->phase == CONNECTION_WRITING)
    c->changed_ms = clock_steady_ms ();
  update_held (c);
}

void
http_connection_begin_request (struct http_connection *c)
{
  struct evbuffer *input = bufferevent_get_input (c->stream);

  memset (&c->head, 0, sizeof c->head);
  c->parsed_bytes = 0;
  c->serving_bytes = 0;
  c->input_bytes = evbuffer_get_length (input);
  c->phase = c->input_bytes > 0 ? CONNECTION_READING : CONNECTION_IDLE;
  c->changed_ms = clock_steady_ms ();
  scan_input (c, input, c->input_bytes);
  update_held (c);
}

void
http_connection_begin_serving (struct http_connection *c,
                               const char *request_uri)
{
  c->phase = CONNECTION_SERVING;
  c->changed_ms = clock_steady_ms ();
  /* The handler's caller drops headers and body. */
  memset (&c->head, 0, sizeof c->head);
  c->parsed_bytes = 0;
  /* The URI is kept as a text and in parts. */
  c->serving_bytes = request_uri != NULL ? 2 * strlen (request_uri) : 0;
  http_connection_set_input_room (c, false);
  update_held (c);
}

struct http_connection *
http_connection_new (struct http_listener *listener, struct event_base *base)
{
  struct http_connection *c = g_new0 (struct http_connection, 1);

  c->listener = listener;
  c->limits = listener->options.request;
  c->stream = bufferevent_socket_new (base, -1, 0);
  bufferevent_incref (c->stream);
  c->input_watch = evbuffer_add_cb (bufferevent_get_input (c->stream),
                                    on_input_change, c);
  c->output_watch = evbuffer_add_cb (bufferevent_get_output (c->stream),
                                     on_output_change, c);
  c->changed_ms = clock_steady_ms ();
  http_connection_set_input_room (c, false);
  update_held (c);
  return c;
}

void
http_connection_destroy (struct http_connection *connection)
{
  struct http_listener *l = connection->listener;

  evbuffer_remove_cb_entry (bufferevent_get_input (connection->stream),
                            connection->input_watch);
  evbuffer_remove_cb_entry (bufferevent_get_output (connection->stream),
                            connection->output_watch);
  l->held_bytes -= connection->held_bytes;
  l->server->held_bytes -= connection->held_bytes;
  bufferevent_decref (connection->stream);
  g_free (connection);
}
