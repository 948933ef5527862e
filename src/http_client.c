#include "http_client.h"

#include "clock.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

/* Maximum number of connections of one lane to one address.  The owner of the
   fleet has a long poll to the store for each of four streams; with three
   connections one waited for the others, up to its timeout. */
static const int lane_connections[LANE_COUNT] = {
  [LANE_SHORT_CALLS] = 3, [LANE_LONG_POLLS] = 4, [LANE_HEDGED_CALLS] = 12
};
#define LANE_MAX_CONNECTIONS 12
/* Maximum number of calls that wait for a connection of a lane; a further call
   times out at once. */
#define LANE_MAX_WAITING 2000

struct pending_call
{
  struct lane *lane;
  struct connection *connection; /* NULL while the call waits for one */
  int64_t expires_ms;
  char *method;
  char *path;
  char *names[HTTP_CALL_MAX_HEADERS];
  char *values[HTTP_CALL_MAX_HEADERS];
  char *content_type;
  uint8_t *body;
  gsize body_bytes;
  struct event *timer;
  http_reply_callback done;
  void *data;
};

struct connection
{
  struct evhttp_connection *evhttp; /* NULL if not open */
  struct pending_call *call;        /* in progress, or NULL */
};

struct lane
{
  struct http_client *client;
  char *ip; /* NULL if the address is none: all calls fail */
  uint16_t port;
  struct connection connections[LANE_MAX_CONNECTIONS];
  int n_connections; /* that may be used */
  GQueue waiting;    /* struct pending_call * */
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
  char host[INET_ADDRSTRLEN];
  struct in_addr parsed;
  guint64 value;

  if (colon == NULL || colon - address >= INET_ADDRSTRLEN
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &value, NULL))
    return false;
  g_strlcpy (host, address, (gsize)(colon - address) + 1);
  if (inet_pton (AF_INET, host, &parsed) != 1)
    return false;
  *ip = g_strdup (host);
  *port = (uint16_t)value;
  return true;
}

static void
pending_call_destroy (struct pending_call *p)
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
finish_call (struct pending_call *p, const struct http_reply *reply)
{
  p->done (p->data, reply);
  pending_call_destroy (p);
}

static void send_waiting (struct lane *lane);

/* Close the idle connections of LANE after a timeout: they may be as dead as
   the one that got no answer.  The next calls open new ones. */
static void
close_idle_connections (struct lane *lane)
{
  for (int i = 0; i < lane->n_connections; i++)
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
  struct http_reply reply = { .may_have_arrived = true };

  p->connection->call = NULL;
  if (request != NULL && evhttp_request_get_response_code (request) > 0)
    {
      struct evbuffer *in = evhttp_request_get_input_buffer (request);

      reply.status = evhttp_request_get_response_code (request);
      reply.body_bytes = evbuffer_get_length (in);
      reply.body = evbuffer_pullup (in, -1);
    }
  finish_call (p, &reply);
  send_waiting (lane);
}

static enum evhttp_cmd_type
evhttp_method (const char *method)
{
  if (strcmp (method, "POST") == 0)
    return EVHTTP_REQ_POST;
  if (strcmp (method, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

static void
add_headers (struct evkeyvalq *out, const struct lane *lane,
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
send_on_connection (struct connection *c, struct pending_call *p)
{
  struct evhttp_request *request;
  struct lane *lane = p->lane;

  if (c->evhttp == NULL)
    c->evhttp = evhttp_connection_base_new (lane->client->base, NULL, lane->ip,
                                            lane->port);
  c->call = p;
  p->connection = c;
  request = evhttp_request_new (on_reply, p);
  add_headers (evhttp_request_get_output_headers (request), lane, p);
  if (p->body_bytes > 0)
    evbuffer_add (evhttp_request_get_output_buffer (request), p->body,
                  p->body_bytes);
  /* If this fails, libevent has called on_reply already or will call it. */
  if (evhttp_make_request (c->evhttp, request, evhttp_method (p->method),
                           p->path)
      != 0)
    g_debug ("could not start a connection to %s:%u", lane->ip, lane->port);
}

static void
send_waiting (struct lane *lane)
{
  static const struct http_reply expired = { .may_have_arrived = false };

  for (int i = 0; i < lane->n_connections; i++)
    {
      struct pending_call *p;

      if (lane->connections[i].call != NULL)
        continue;
      /* After a pause of the process the timers of waiting calls may be
         overdue: what a call asks for may not be allowed any more. */
      while ((p = g_queue_pop_head (&lane->waiting)) != NULL
             && (lane->ip == NULL || clock_steady_ms () >= p->expires_ms))
        finish_call (p, &expired);
      if (p == NULL)
        return;
      send_on_connection (&lane->connections[i], p);
    }
}

/* The call has timed out.  Freeing its connection cancels it without a call to
   on_reply. */
static void
on_timeout (evutil_socket_t fd, short events, void *data)
{
  struct pending_call *p = data;
  struct lane *lane = p->lane;
  struct http_reply reply = { .may_have_arrived = p->connection != NULL };

  if (p->connection != NULL)
    {
      p->connection->call = NULL;
      evhttp_connection_free (p->connection->evhttp);
      p->connection->evhttp = NULL;
      close_idle_connections (lane);
    }
  else
    g_queue_remove (&lane->waiting, p);
  finish_call (p, &reply);
  send_waiting (lane);
}

static void
lane_destroy (gpointer data)
{
  struct lane *lane = data;
  struct pending_call *p;

  for (int i = 0; i < lane->n_connections; i++)
    {
      if (lane->connections[i].evhttp != NULL)
        evhttp_connection_free (lane->connections[i].evhttp);
      if (lane->connections[i].call != NULL)
        pending_call_destroy (lane->connections[i].call);
    }
  while ((p = g_queue_pop_head (&lane->waiting)) != NULL)
    pending_call_destroy (p);
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
  l->n_connections = lane_connections[lane];
  g_queue_init (&l->waiting);
  http_split_address (address, &l->ip, &l->port);
  g_hash_table_insert (c->lanes, key, l);
  return l;
}

/* Runs from the event loop, so that a callback is never called before
   http_client_send returns. */
static void
on_send_due (evutil_socket_t fd, short events, void *data)
{
  send_waiting (data);
}

static struct pending_call *
copy_call (const struct http_call *call, http_reply_callback done, void *data)
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
                  const struct http_call *call, http_reply_callback done,
                  void *data)
{
  struct lane *lane = find_lane (client, address, call->lane);
  struct pending_call *p = copy_call (call, done, data);
  int64_t wait_ms = g_queue_get_length (&lane->waiting) < LANE_MAX_WAITING
                        ? call->timeout_ms
                        : 0;
  struct timeval timeout = { wait_ms / 1000, wait_ms % 1000 * 1000 };
  struct timeval now = { 0, 0 };

  p->lane = lane;
  p->expires_ms = clock_steady_ms () + wait_ms;
  p->timer = evtimer_new (client->base, on_timeout, p);
  evtimer_add (p->timer, &timeout);
  g_queue_push_tail (&lane->waiting, p);
  event_base_once (client->base, -1, EV_TIMEOUT, on_send_due, lane, &now);
}
