#include "http_server_state.h"

#include "clock.h"
#include "event_log.h"

#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* Interval of the check for heads that take too long. */
#define CHECK_INTERVAL_MS 100
/* A longer time between two checks is a pause of the process, during which no
   client could finish its head. */
#define PAUSE_MIN_MS 500
/* How long a listener accepts nothing after the system had no descriptor or
   memory for a connection.  It would try again without a pause otherwise. */
#define ACCEPT_PAUSE_MS 100
/* Once memory is short, connections are closed until this share of the bound
   is in use, so that not every further byte closes one. */
#define SHED_TO_PERCENT 90

/* Sockets (struct evconnlistener *) and their listeners (struct http_listener
   *).  evhttp has its own argument for the callbacks of its sockets, so an
   error's callback finds its listener here. */
static GHashTable *accepting_listeners;

void
http_server_schedule_work (struct http_server *s)
{
  event_active (s->work, EV_TIMEOUT, 0);
  /* The work has the highest priority, so it is next once the loop looks for
     active events again.  Otherwise all connections that are ready now would
     be read from first: 800 of them took 125 MB where 40 MB were allowed. */
  event_base_loopcontinue (s->base);
}

uint64_t
http_server_held_bytes (const struct http_server *server)
{
  return server->held_bytes;
}

/* Log the first connection of a series that LISTENER closes for REASON; the
   meter counts them all. */
static void
count_closed (struct http_listener *l, enum meter reason, const char *name)
{
  meters_add (l->server->meters, reason, 1);
  if (event_log_begins_series (&l->last_closed_ms[reason], clock_steady_ms ()))
    event_log ("client-closed", l->options.name,
               "cause=%s connections=%u held_bytes=%" G_GUINT64_FORMAT, name,
               l->n_connections, l->server->held_bytes);
}

static void
add_source (struct http_listener *l, uint32_t source, int change)
{
  gpointer key = GUINT_TO_POINTER (source);
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (l->sources, key))
            + (guint)change;

  if (n == 0)
    g_hash_table_remove (l->sources, key);
  else
    g_hash_table_insert (l->sources, key, GUINT_TO_POINTER (n));
}

static void
remove_connection (gpointer data)
{
  struct http_connection *c = data;
  struct http_listener *l = c->listener;

  if (c->is_attached)
    add_source (l, c->source, -1);
  l->n_connections--;
  http_connection_destroy (c);
}

static void
on_connection_closed (struct evhttp_connection *evhttp, void *data)
{
  struct http_connection *c = data;

  g_hash_table_remove (c->listener->server->connections, c->stream);
}

/* Close the connection as libevent does after a timeout: without an answer,
   and leaving a request that has been passed on to its handler. */
static void
close_connection (struct http_connection *c)
{
  bufferevent_trigger_event (c->stream, BEV_EVENT_TIMEOUT | BEV_EVENT_READING,
                             0);
}

/* Collect the connections that may be closed: of LISTENER, or of all if it is
   NULL; and of SOURCE, or of all if it is NULL. */
static void
collect_loads (struct http_server *s, const struct http_listener *listener,
               const uint32_t *source, GPtrArray *connections, GArray *loads)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct http_connection *c = value;
      struct connection_load load
          = { .phase = c->phase,
              .bytes = c->held_bytes,
              .listener_bytes = c->listener->held_bytes,
              .changed_ms = c->changed_ms };

      if (!c->is_attached || (listener != NULL && c->listener != listener)
          || (source != NULL && c->source != *source))
        continue;
      g_ptr_array_add (connections, c);
      g_array_append_val (loads, load);
    }
}

typedef gssize (*choose_connection) (const struct connection_load *loads,
                                     gsize n, int64_t now_ms);

/* Return the connection that CHOOSE chooses, or NULL; see collect_loads. */
static struct http_connection *
find_victim (struct http_server *s, const struct http_listener *listener,
             const uint32_t *source, choose_connection choose)
{
  GPtrArray *connections = g_ptr_array_new ();
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (struct connection_load));
  gssize chosen;
  struct http_connection *victim;

  collect_loads (s, listener, source, connections, loads);
  chosen = choose ((const struct connection_load *)(void *)loads->data,
                   loads->len, clock_steady_ms ());
  victim = chosen == SHEDDING_NONE
               ? NULL
               : g_ptr_array_index (connections, (guint)chosen);
  g_array_unref (loads);
  g_ptr_array_unref (connections);
  return victim;
}

/* Close a connection of LISTENER, and of SOURCE unless that is NULL, so that a
   new one finds room.  Return false if there is none that may be closed. */
static bool
make_room (struct http_listener *l, const uint32_t *source, enum meter reason,
           const char *name)
{
  struct http_connection *victim
      = find_victim (l->server, l, source, shedding_choose_for_room);

  if (victim == NULL)
    return false;
  count_closed (l, reason, name);
  close_connection (victim);
  return true;
}

/* Called by evhttp for each connection that it accepts, before it hands its
   socket over. */
static struct bufferevent *
new_stream (struct event_base *base, void *data)
{
  struct http_listener *l = data;
  bool is_full = l->n_connections >= l->options.max_connections
                 && !make_room (l, NULL, METER_CLIENTS_CLOSED_CONNECTIONS,
                                "connections");
  struct http_connection *c = http_connection_new (l, base);

  if (is_full)
    {
      c->must_close = true;
      l->is_full = true;
      evconnlistener_disable (l->accepting);
    }
  l->n_connections++;
  g_hash_table_insert (l->server->connections, c->stream, c);
  http_server_schedule_work (l->server);
  return c->stream;
}

static uint32_t
source_of (evutil_socket_t fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  if (getpeername (fd, (struct sockaddr *)(void *)&address, &size) != 0)
    return 0;
  return ntohl (address.sin_addr.s_addr);
}

static uint32_t
source_connections (const struct http_listener *l, uint32_t source)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (l->sources, GUINT_TO_POINTER (source)));
}

/* Take on a connection whose socket evhttp has set, or drop it if evhttp could
   not.  Close it, or another one of its source, if that has too many. */
static void
attach (struct http_connection *c)
{
  struct http_listener *l = c->listener;
  const uint32_t most = MAX (
      l->options.max_connections * l->server->limits.source_percent / 100, 1);
  evutil_socket_t fd = bufferevent_getfd (c->stream);
  bufferevent_event_cb on_event;
  void *owner;

  /* evhttp passes its connection as the argument of the callbacks.  There is
     no other way to it before the connection's first request. */
  bufferevent_getcb (c->stream, NULL, NULL, &on_event, &owner);
  if (fd < 0 || on_event == NULL)
    {
      g_hash_table_remove (l->server->connections, c->stream);
      return;
    }
  evhttp_connection_set_closecb (owner, on_connection_closed, c);
  c->source = source_of (fd);
  if (!c->must_close && source_connections (l, c->source) >= most)
    c->must_close
        = !make_room (l, &c->source, METER_CLIENTS_CLOSED_SOURCE, "source");
  c->is_attached = true;
  add_source (l, c->source, 1);
  if (!c->must_close)
    return;
  count_closed (l, METER_CLIENTS_REFUSED, "refused");
  close_connection (c);
}

static void
attach_new_connections (struct http_server *s)
{
  GPtrArray *new_ones = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((struct http_connection *)value)->is_attached)
      g_ptr_array_add (new_ones, value);
  for (guint i = 0; i < new_ones->len; i++)
    attach (g_ptr_array_index (new_ones, i));
  g_ptr_array_unref (new_ones);
}

static void
shed_memory (struct http_server *s)
{
  const uint64_t target = s->limits.memory_bytes / 100 * SHED_TO_PERCENT;

  if (s->held_bytes <= s->limits.memory_bytes)
    return;
  while (s->held_bytes > target)
    {
      struct http_connection *victim
          = find_victim (s, NULL, NULL, shedding_choose_for_memory);
      uint64_t before = s->held_bytes;

      if (victim == NULL)
        return;
      count_closed (victim->listener, METER_CLIENTS_CLOSED_MEMORY, "memory");
      close_connection (victim);
      if (s->held_bytes >= before)
        return;
    }
}

/* Do what can't be done in the callbacks of libevent's buffers, as it may
   close connections. */
static void
do_work (evutil_socket_t fd, short events, void *data)
{
  struct http_server *s = data;
  GHashTableIter iter;
  gpointer value;

  attach_new_connections (s);
  shed_memory (s);
  g_hash_table_iter_init (&iter, s->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct http_connection *)value)->wants_wide_input)
      http_connection_set_input_room (value, true);
  for (guint i = 0; i < s->listeners->len; i++)
    {
      struct http_listener *l = g_ptr_array_index (s->listeners, i);

      if (l->is_full && !event_pending (l->resume_timer, EV_TIMEOUT, NULL))
        evconnlistener_enable (l->accepting);
      l->is_full = false;
    }
}

/* Close connections whose head takes too long. */
static void
on_check (evutil_socket_t fd, short events, void *data)
{
  struct http_server *s = data;
  int64_t at_ms = clock_steady_ms ();
  int64_t paused_ms = at_ms - s->last_check_ms;
  GPtrArray *late = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  s->last_check_ms = at_ms;
  g_hash_table_iter_init (&iter, s->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct http_connection *c = value;

      if (paused_ms > PAUSE_MIN_MS)
        c->changed_ms += paused_ms;
      if (c->is_attached && c->phase == CONNECTION_READING
          && !c->head.is_complete
          && at_ms > c->changed_ms + c->limits.head_timeout_ms)
        g_ptr_array_add (late, c);
    }
  for (guint i = 0; i < late->len; i++)
    {
      struct http_connection *c = g_ptr_array_index (late, i);

      count_closed (c->listener, METER_CLIENTS_CLOSED_SLOW_HEAD, "slow-head");
      close_connection (c);
    }
  g_ptr_array_unref (late);
}

static void
on_answer_sent (struct evhttp_request *request, void *data)
{
  http_connection_begin_request (data);
}

/* Drop what the handler has read, except for the headers that decide whether
   the connection stays open after the answer. */
static void
drop_request_data (struct evhttp_request *request)
{
  static const char *const kept[] = { "Connection", "Proxy-Connection" };
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  char *values[G_N_ELEMENTS (kept)];

  for (gsize i = 0; i < G_N_ELEMENTS (kept); i++)
    values[i] = g_strdup (evhttp_find_header (headers, kept[i]));
  evhttp_clear_headers (headers);
  for (gsize i = 0; i < G_N_ELEMENTS (kept); i++)
    {
      if (values[i] != NULL)
        evhttp_add_header (headers, kept[i], values[i]);
      g_free (values[i]);
    }
  evbuffer_drain (body, evbuffer_get_length (body));
}

static void
on_request (struct evhttp_request *request, void *data)
{
  struct http_listener *l = data;
  struct bufferevent *stream = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (request));
  struct http_connection *c
      = g_hash_table_lookup (l->server->connections, stream);
  const char *uri = evhttp_request_get_uri (request);

  if (c != NULL)
    {
      http_connection_begin_serving (c, uri);
      evhttp_request_set_on_complete_cb (request, on_answer_sent, c);
    }
  l->options.serve (request, l->options.data);
  drop_request_data (request);
}

static void
on_resume (evutil_socket_t fd, short events, void *data)
{
  evconnlistener_enable (((struct http_listener *)data)->accepting);
}

/* The system had no descriptor or memory for a connection: make room, and
   accept no more for a while. */
static void
on_accept_error (struct evconnlistener *accepting, void *data)
{
  struct http_listener *l
      = g_hash_table_lookup (accepting_listeners, accepting);
  struct timeval pause = { 0, ACCEPT_PAUSE_MS * 1000 };

  evconnlistener_disable (accepting);
  evtimer_add (l->resume_timer, &pause);
  if (!make_room (l, NULL, METER_CLIENTS_CLOSED_CONNECTIONS, "descriptors"))
    count_closed (l, METER_CLIENTS_REFUSED, "descriptors");
}

void
http_listener_set_limits (struct http_listener *listener,
                          const struct http_request_limits *limits)
{
  struct timeval idle = { limits->idle_timeout_ms / 1000,
                          limits->idle_timeout_ms % 1000 * 1000 };

  listener->options.request = *limits;
  evhttp_set_max_headers_size (listener->evhttp,
                               (ev_ssize_t)limits->header_bytes);
  evhttp_set_max_body_size (listener->evhttp, (ev_ssize_t)limits->body_bytes);
  evhttp_set_timeout_tv (listener->evhttp, &idle);
}

struct http_listener *
http_server_listen (struct http_server *server,
                    const struct http_listener_options *options)
{
  struct evhttp *evhttp = evhttp_new (server->base);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (evhttp, options->ip, options->port);
  struct http_listener *l;

  if (bound == NULL)
    {
      evhttp_free (evhttp);
      return NULL;
    }
  l = g_new0 (struct http_listener, 1);
  l->server = server;
  l->options = *options;
  l->options.ip = NULL; /* belongs to the caller */
  l->evhttp = evhttp;
  l->accepting = evhttp_bound_socket_get_listener (bound);
  l->resume_timer = evtimer_new (server->base, on_resume, l);
  l->sources = g_hash_table_new (NULL, NULL);
  if (accepting_listeners == NULL)
    accepting_listeners = g_hash_table_new (NULL, NULL);
  g_hash_table_insert (accepting_listeners, l->accepting, l);
  evconnlistener_set_error_cb (l->accepting, on_accept_error);
  evhttp_set_allowed_methods (evhttp, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                          | EVHTTP_REQ_DELETE);
  evhttp_set_bevcb (evhttp, new_stream, l);
  evhttp_set_gencb (evhttp, on_request, l);
  http_listener_set_limits (l, &options->request);
  g_ptr_array_add (server->listeners, l);
  return l;
}

uint16_t
http_listener_port (const struct http_listener *listener)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  getsockname (evconnlistener_get_fd (listener->accepting),
               (struct sockaddr *)(void *)&address, &size);
  return ntohs (address.sin_port);
}

static gboolean
belongs_to (gpointer key, gpointer value, gpointer data)
{
  return ((struct http_connection *)value)->listener == data;
}

void
http_listener_destroy (struct http_listener *listener)
{
  struct http_server *s;

  if (listener == NULL)
    return;
  s = listener->server;
  g_ptr_array_remove_fast (s->listeners, listener);
  g_hash_table_remove (accepting_listeners, listener->accepting);
  evhttp_free (listener->evhttp);
  /* Those whose socket evhttp had not set yet. */
  g_hash_table_foreach_remove (s->connections, belongs_to, listener);
  event_free (listener->resume_timer);
  g_hash_table_unref (listener->sources);
  g_free (listener);
}

struct http_server *
http_server_new (struct event_base *base, struct meters *meters,
                 const struct http_server_limits *limits)
{
  struct http_server *s = g_new0 (struct http_server, 1);
  struct timeval interval = { 0, CHECK_INTERVAL_MS * 1000 };

  s->base = base;
  s->meters = meters;
  s->limits = *limits;
  s->listeners = g_ptr_array_new ();
  s->connections = g_hash_table_new_full (NULL, NULL, NULL, remove_connection);
  s->work = event_new (base, -1, 0, do_work, s);
  event_priority_set (s->work, 0);
  s->check_timer = event_new (base, -1, EV_PERSIST, on_check, s);
  s->last_check_ms = clock_steady_ms ();
  event_add (s->check_timer, &interval);
  return s;
}

void
http_server_destroy (struct http_server *server)
{
  if (server == NULL)
    return;
  event_free (server->work);
  event_free (server->check_timer);
  g_hash_table_unref (server->connections);
  g_ptr_array_unref (server->listeners);
  g_free (server);
}
