#include "http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

/* Connections of one lane to one address. */
#define LANE_CONNECTIONS 3
/* Calls that wait for a connection of a lane; one more gets no answer. */
#define LANE_QUEUE 2000

struct pending_call
{
  struct lane *lane;
  struct connection *connection;
  char *method;
  char *path;
  char *names[HTTP_CALL_MAX_HEADERS];
  char *values[HTTP_CALL_MAX_HEADERS];
  char *content_type;
  uint8_t *body;
  gsize body_bytes;
  struct event *timer;
  http_done done;
  void *data;
};

struct connection
{
  struct evhttp_connection *evhttp;
  struct pending_call *call; /* on its way, or NULL */
};

struct lane
{
  struct http_client *client;
  char *ip;
  uint16_t port;
  struct connection connections[LANE_CONNECTIONS];
  GQueue waiting; /* struct pending_call * */
};

struct http_client
{
  struct event_base *base;
  GHashTable *lanes; /* "ADDRESS LANE" to struct lane * */
};

bool
http_split_address (const char *address, char **ip, uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  guint64 value;

  if (colon == NULL || colon == address
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &value, NULL))
    return false;
  *ip = g_strndup (address, (gsize)(colon - address));
  *port = (uint16_t)value;
  return true;
}

static void
call_destroy (struct pending_call *p)
{
  for (int i = 0; i < HTTP_CALL_MAX_HEADERS; i++)
    {
      g_free (p->names[i]);
      g_free (p->values[i]);
    }
  if (p->timer != NULL)
    event_free (p->timer);
  g_free (p->method);
  g_free (p->path);
  g_free (p->content_type);
  g_free (p->body);
  g_free (p);
}

static void
finish (struct pending_call *p, const struct http_reply *reply)
{
  p->done (p->data, reply);
  call_destroy (p);
}

static void send_next (struct lane *lane);

/* An idle connection may be as dead as the one that got no answer: all start
   anew with the next call. */
static void
drop_idle (struct lane *lane)
{
  for (int i = 0; i < LANE_CONNECTIONS; i++)
    if (lane->connections[i].call == NULL
        && lane->connections[i].evhttp != NULL)
      {
        evhttp_connection_free (lane->connections[i].evhttp);
        lane->connections[i].evhttp = NULL;
      }
}

static void
on_reply (struct evhttp_request *request, void *data)
{
  struct pending_call *p = data;
  struct lane *lane = p->lane;
  struct http_reply reply = { .sent = true };

  p->connection->call = NULL;
  if (request != NULL && evhttp_request_get_response_code (request) > 0)
    {
      struct evbuffer *in = evhttp_request_get_input_buffer (request);

      reply.status = evhttp_request_get_response_code (request);
      reply.body_bytes = evbuffer_get_length (in);
      reply.body = evbuffer_pullup (in, -1);
    }
  finish (p, &reply);
  send_next (lane);
}

static enum evhttp_cmd_type
command (const char *method)
{
  if (strcmp (method, "POST") == 0)
    return EVHTTP_REQ_POST;
  if (strcmp (method, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

static void
put_headers (struct evkeyvalq *out, const struct lane *lane,
             const struct pending_call *p)
{
  char host[64];

  g_snprintf (host, sizeof host, "%s:%u", lane->ip, lane->port);
  evhttp_add_header (out, "Host", host);
  if (p->content_type != NULL)
    evhttp_add_header (out, "Content-Type", p->content_type);
  for (int i = 0; i < HTTP_CALL_MAX_HEADERS && p->names[i] != NULL; i++)
    evhttp_add_header (out, p->names[i], p->values[i]);
}

static void
transmit (struct connection *c, struct pending_call *p)
{
  struct evhttp_request *request;
  struct lane *lane = p->lane;

  if (c->evhttp == NULL)
    c->evhttp = evhttp_connection_base_new (lane->client->base, NULL, lane->ip,
                                            lane->port);
  c->call = p;
  p->connection = c;
  request = evhttp_request_new (on_reply, p);
  put_headers (evhttp_request_get_output_headers (request), lane, p);
  if (p->body_bytes > 0)
    evbuffer_add (evhttp_request_get_output_buffer (request), p->body,
                  p->body_bytes);
  /* On failure the callback has been, or will be, called. */
  if (evhttp_make_request (c->evhttp, request, command (p->method), p->path)
      != 0)
    g_debug ("no connection to %s:%u could be begun", lane->ip, lane->port);
}

static void
send_next (struct lane *lane)
{
  for (int i = 0; i < LANE_CONNECTIONS; i++)
    {
      struct pending_call *p;

      if (lane->connections[i].call != NULL)
        continue;
      p = g_queue_pop_head (&lane->waiting);
      if (p == NULL)
        return;
      transmit (&lane->connections[i], p);
    }
}

/* The time of a call is over.  Freeing its connection cancels it without a
   callback. */
static void
on_timeout (evutil_socket_t fd, short events, void *data)
{
  struct pending_call *p = data;
  struct lane *lane = p->lane;
  struct http_reply reply = { .sent = p->connection != NULL };

  if (p->connection != NULL)
    {
      p->connection->call = NULL;
      evhttp_connection_free (p->connection->evhttp);
      p->connection->evhttp = NULL;
      drop_idle (lane);
    }
  else
    g_queue_remove (&lane->waiting, p);
  finish (p, &reply);
  send_next (lane);
}

static void
lane_destroy (gpointer data)
{
  struct lane *lane = data;
  struct pending_call *p;

  for (int i = 0; i < LANE_CONNECTIONS; i++)
    {
      if (lane->connections[i].evhttp != NULL)
        evhttp_connection_free (lane->connections[i].evhttp);
      if (lane->connections[i].call != NULL)
        call_destroy (lane->connections[i].call);
    }
  while ((p = g_queue_pop_head (&lane->waiting)) != NULL)
    call_destroy (p);
  g_free (lane->ip);
  g_free (lane);
}

struct http_client *
http_client_new (struct event_base *base)
{
  struct http_client *c = g_new0 (struct http_client, 1);

  c->base = base;
  c->lanes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lane_destroy);
  return c;
}

void
http_client_destroy (struct http_client *client)
{
  if (client == NULL)
    return;
  g_hash_table_unref (client->lanes);
  g_free (client);
}

static struct lane *
find_lane (struct http_client *c, const char *address, enum http_lane lane)
{
  char *key = g_strdup_printf ("%s %d", address, (int)lane);
  struct lane *l = g_hash_table_lookup (c->lanes, key);

  if (l != NULL)
    {
      g_free (key);
      return l;
    }
  l = g_new0 (struct lane, 1);
  l->client = c;
  g_queue_init (&l->waiting);
  if (!http_split_address (address, &l->ip, &l->port))
    l->ip = g_strdup ("0.0.0.0"); /* answers nobody */
  g_hash_table_insert (c->lanes, key, l);
  return l;
}

/* The lane is free to send; done outside the caller's stack. */
static void
on_begin (evutil_socket_t fd, short events, void *data)
{
  send_next (data);
}

static struct pending_call *
copy_call (const struct http_call *call, http_done done, void *data)
{
  struct pending_call *p = g_new0 (struct pending_call, 1);

  p->method = g_strdup (call->method);
  p->path = g_strdup (call->path);
  p->content_type = g_strdup (call->content_type);
  for (int i = 0; i < HTTP_CALL_MAX_HEADERS && call->headers[i].name != NULL;
       i++)
    {
      p->names[i] = g_strdup (call->headers[i].name);
      p->values[i] = g_strdup (call->headers[i].value);
    }
  if (call->body_bytes > 0)
    p->body = g_memdup2 (call->body, call->body_bytes);
  p->body_bytes = call->body_bytes;
  p->done = done;
  p->data = data;
  return p;
}

void
http_client_send (struct http_client *client, const char *address,
                  const struct http_call *call, http_done done, void *data)
{
  struct lane *lane = find_lane (client, address, call->lane);
  struct pending_call *p = copy_call (call, done, data);
  int64_t wait_ms = g_queue_get_length (&lane->waiting) < LANE_QUEUE
                        ? call->timeout_ms
                        : 0;
  struct timeval timeout = { wait_ms / 1000, wait_ms % 1000 * 1000 };
  struct timeval now = { 0, 0 };

  p->lane = lane;
  p->timer = evtimer_new (client->base, on_timeout, p);
  evtimer_add (p->timer, &timeout);
  g_queue_push_tail (&lane->waiting, p);
  event_base_once (client->base, -1, EV_TIMEOUT, on_begin, lane, &now);
}
