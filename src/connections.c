#include "connections.h"

#include "error.h"
#include "http.h"

#include <gio/gio.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define SCAN_INTERVAL_MS 250
#define LISTEN_BACKLOG 1024
/* Time for the caller to read an answer that was sent past libsoup, before
   both directions of the connection are shut down. */
#define LINGER_MS 1000
/* Time for libsoup to close a connection that was shut down, before this
   module closes it. */
#define CLOSE_AFTER_SHUTDOWN_MS 200
/* Each chunk of a request's body extends the request's deadline by the time
   that the chunk takes at this rate. */
#define BODY_MIN_BYTES_PER_S 16384
/* With this many connections refused or shut down but not yet closed, further
   ones above the limit are closed without an answer. */
#define UNCOUNTED_MAX 64
/* The states in struct tcp_info in which the other side has closed. */
#define TCP_STATE_CLOSE 7
#define TCP_STATE_CLOSE_WAIT 8
#define CONNECTION_KEY "shed-connection"

enum connection_state
{
  CONNECTION_IDLE,    /* no byte of the next request has arrived */
  CONNECTION_READING, /* part of a request has arrived */
  CONNECTION_SERVING, /* the whole request has arrived and is being answered */
  CONNECTION_CLOSING  /* answered early or shut down; closed at the deadline */
};

struct connection
{
  struct connections *owner;
  enum connection_state state;
  GSocket *socket;            /* weak reference; libsoup owns it */
  SoupServerMessage *message; /* being read or served; not owned */
  int64_t deadline_ms; /* for the current state, except CONNECTION_SERVING */
  bool has_served;     /* at least one request was read whole */
  uint64_t received_bytes_before; /* at the end of the last answer */
  uint64_t acked_bytes;           /* bytes sent and acknowledged by TCP */
  int64_t acked_ms;  /* when it last grew or nothing was pending */
  bool is_uncounted; /* refused or shut down: not counted towards the limit */
  bool is_shut_down;
};

struct connections
{
  SoupServer *server;
  struct connections_limits limits;
  const struct connections_functions *functions;
  void *data;
  struct counters *counters;
  GSource *scan;
  GHashTable *all; /* set of struct connection * */
  uint32_t n_uncounted;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static bool
read_tcp_info (const struct connection *c, struct tcp_info *info)
{
  socklen_t size = sizeof *info;

  return getsockopt (g_socket_get_fd (c->socket), IPPROTO_TCP, TCP_INFO, info,
                     &size)
         == 0;
}

/* Stop counting C towards the limit, as it is about to be closed. */
static void
exclude_from_limit (struct connection *c)
{
  if (!c->is_uncounted)
    c->owner->n_uncounted++;
  c->is_uncounted = true;
}

/* Shut the socket of C down, so that libsoup reads the end of the stream and
   closes the connection.  libsoup 3.2.3 doesn't close one that waits for a
   further request, so a later scan closes what is still open. */
static void
shut_down (struct connection *c)
{
  g_socket_shutdown (c->socket, TRUE, TRUE, NULL);
  exclude_from_limit (c);
  c->state = CONNECTION_CLOSING;
  c->is_shut_down = true;
  c->deadline_ms = now_ms () + CLOSE_AFTER_SHUTDOWN_MS;
}

/* Send TEXT as a whole answer by the socket of C, past libsoup.  It fits into
   the send buffer, as no other answer is being sent on the connection. */
static void
send_raw_answer (struct connection *c, guint status, const char *content_type,
                 const char *text)
{
  char *answer = g_strdup_printf (
      "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %" G_GSIZE_FORMAT
      "\r\nConnection: close\r\n\r\n%s",
      status, soup_status_get_phrase (status), content_type, strlen (text),
      text);

  g_socket_send (c->socket, answer, strlen (answer), NULL, NULL);
  g_socket_shutdown (c->socket, FALSE, TRUE, NULL);
  c->state = CONNECTION_CLOSING;
  c->deadline_ms = now_ms () + LINGER_MS;
  g_free (answer);
}

static void
send_raw_problem (struct connection *c, enum reason reason)
{
  char *text = http_problem_text (reason, 0);

  counters_add_reason (c->owner->counters, reason);
  send_raw_answer (c, reason_status (reason), HTTP_PROBLEM_TYPE, text);
  g_free (text);
}

/* Closing connections whose deadline has passed. */

static bool
is_closed_by_caller (const struct tcp_info *info)
{
  return info->tcpi_state == TCP_STATE_CLOSE_WAIT
         || info->tcpi_state == TCP_STATE_CLOSE;
}

static void
scan_idle (struct connection *c, const struct tcp_info *info, int64_t now)
{
  /* Checked first, because the kernel counts the end of the stream as a
     received byte. */
  if (is_closed_by_caller (info))
    shut_down (c);
  else if (info->tcpi_bytes_received > c->received_bytes_before)
    {
      c->state = CONNECTION_READING;
      c->deadline_ms = now + c->owner->limits.request_ms;
    }
  else if (now >= c->deadline_ms)
    {
      counters_add (c->owner->counters, COUNTER_CONNECTIONS_IDLE_CLOSED, 1);
      shut_down (c);
    }
}

static void
scan_reading (struct connection *c, int64_t now)
{
  if (now < c->deadline_ms)
    return;
  counters_add (c->owner->counters, COUNTER_CONNECTIONS_SLOW_CLOSED, 1);
  send_raw_problem (c, REASON_REQUEST_TOO_SLOW);
}

static void
scan_serving (struct connection *c, const struct tcp_info *info, int64_t now)
{
  struct connections *owner = c->owner;
  bool is_all_acked = info->tcpi_unacked == 0 && info->tcpi_notsent_bytes == 0;

  if (is_closed_by_caller (info))
    {
      counters_add (owner->counters, COUNTER_CALLERS_GONE, 1);
      shut_down (c);
      if (c->message != NULL && owner->functions != NULL)
        owner->functions->caller_disconnected (owner->data, c->message);
      return;
    }
  if (is_all_acked || info->tcpi_bytes_acked != c->acked_bytes)
    {
      c->acked_bytes = info->tcpi_bytes_acked;
      c->acked_ms = now;
    }
  else if (now - c->acked_ms >= owner->limits.request_ms)
    {
      counters_add (owner->counters, COUNTER_CONNECTIONS_STALLED, 1);
      shut_down (c);
    }
}

static void
connection_free (struct connection *c)
{
  struct connections *owner = c->owner;

  if (c->state == CONNECTION_READING)
    counters_add (owner->counters, COUNTER_CONNECTIONS_BROKEN, 1);
  if (c->is_uncounted)
    owner->n_uncounted--;
  g_hash_table_remove (owner->all, c);
}

static void
on_socket_finalized (gpointer data, GObject *socket)
{
  connection_free (data);
}

/* Stop tracking C while its socket still exists, and free C. */
static void
untrack_connection (struct connection *c)
{
  g_object_weak_unref (G_OBJECT (c->socket), on_socket_finalized, c);
  g_object_set_data (G_OBJECT (c->socket), CONNECTION_KEY, NULL);
  connection_free (c);
}

static void
close_expired (struct connection *c)
{
  if (!c->is_shut_down)
    {
      shut_down (c);
      return;
    }
  g_socket_close (c->socket, NULL);
  untrack_connection (c);
}

static void
scan_connection (struct connection *c, int64_t now)
{
  struct tcp_info info;

  if (g_socket_is_closed (c->socket))
    {
      untrack_connection (c);
      return;
    }
  if (!read_tcp_info (c, &info))
    return;
  switch (c->state)
    {
    case CONNECTION_IDLE:
      scan_idle (c, &info, now);
      break;
    case CONNECTION_READING:
      scan_reading (c, now);
      break;
    case CONNECTION_SERVING:
      scan_serving (c, &info, now);
      break;
    case CONNECTION_CLOSING:
      if (now >= c->deadline_ms)
        close_expired (c);
      break;
    }
}

static void
scan (struct connections *cs)
{
  GList *all = g_hash_table_get_keys (cs->all);
  int64_t now = now_ms ();

  /* Closing one connection can free another only through the main loop, so all
     of these remain valid. */
  for (GList *i = all; i != NULL; i = i->next)
    scan_connection (i->data, now);
  g_list_free (all);
}

static gboolean
on_scan (gpointer data)
{
  scan (data);
  return G_SOURCE_CONTINUE;
}

/* Tracking the state of each request. */

static struct connection *
connection_of (SoupServerMessage *message)
{
  GSocket *s = soup_server_message_get_socket (message);

  return s == NULL ? NULL : g_object_get_data (G_OBJECT (s), CONNECTION_KEY);
}

static void
on_request_headers (SoupServerMessage *message, gpointer data)
{
  struct connection *c = connection_of (message);

  if (c == NULL || c->state == CONNECTION_CLOSING)
    return;
  c->state = CONNECTION_READING;
  c->deadline_ms = now_ms () + c->owner->limits.request_ms;
}

static void
on_request_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct connection *c = connection_of (message);

  if (c != NULL && c->state == CONNECTION_READING)
    c->deadline_ms
        += (int64_t)g_bytes_get_size (chunk) * 1000 / BODY_MIN_BYTES_PER_S;
}

static void
on_request_read (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  struct connection *c = connection_of (message);

  if (c == NULL || c->state == CONNECTION_CLOSING)
    return;
  c->state = CONNECTION_SERVING;
  c->acked_ms = now_ms ();
  c->has_served = true;
}

/* The answer has been sent, or the connection broke. */
static void
on_request_ended (SoupServer *server, SoupServerMessage *message,
                  gpointer data)
{
  struct connection *c = connection_of (message);
  struct tcp_info info;

  if (c == NULL || c->message != message)
    return;
  c->message = NULL;
  if (c->state != CONNECTION_SERVING)
    return;
  c->state = CONNECTION_IDLE;
  c->deadline_ms = now_ms () + c->owner->limits.idle_ms;
  if (read_tcp_info (c, &info))
    c->received_bytes_before = info.tcpi_bytes_received;
}

/* Accepting connections, and the module's life cycle. */

/* Shut down one connection that waits for its next request.  Return false if
   there is none. */
static bool
shut_down_one_idle (struct connections *cs)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, cs->all);
  while (g_hash_table_iter_next (&i, &p, NULL))
    {
      struct connection *c = p;
      struct tcp_info info;

      if (c->state != CONNECTION_IDLE || !read_tcp_info (c, &info))
        continue;
      if (!is_closed_by_caller (&info))
        {
          if (info.tcpi_bytes_received > c->received_bytes_before)
            continue;
          counters_add (cs->counters, COUNTER_CONNECTIONS_IDLE_CLOSED, 1);
        }
      shut_down (c);
      return true;
    }
  return false;
}

/* Stop tracking the connections whose socket has been closed since the last
   scan. */
static void
untrack_closed (struct connections *cs)
{
  GList *all = g_hash_table_get_keys (cs->all);

  for (GList *i = all; i != NULL; i = i->next)
    {
      struct connection *c = i->data;

      if (g_socket_is_closed (c->socket))
        untrack_connection (c);
    }
  g_list_free (all);
}

static uint32_t
n_counted (const struct connections *cs)
{
  return g_hash_table_size (cs->all) - cs->n_uncounted;
}

static struct connection *
connection_new (struct connections *cs, GSocket *socket)
{
  struct connection *c = g_new0 (struct connection, 1);
  bool is_full = false;

  if (n_counted (cs) >= cs->limits.max)
    {
      untrack_closed (cs);
      is_full = n_counted (cs) >= cs->limits.max && !shut_down_one_idle (cs);
    }

  counters_add (cs->counters, COUNTER_CONNECTIONS_ACCEPTED, 1);
  c->owner = cs;
  c->socket = socket;
  g_hash_table_add (cs->all, c);
  g_object_weak_ref (G_OBJECT (socket), on_socket_finalized, c);
  g_object_set_data (G_OBJECT (socket), CONNECTION_KEY, c);
  if (!is_full)
    return c;
  counters_add (cs->counters, COUNTER_CONNECTIONS_REFUSED, 1);
  if (cs->n_uncounted < UNCOUNTED_MAX)
    send_raw_problem (c, REASON_OVERLOADED);
  else
    shut_down (c);
  exclude_from_limit (c);
  return c;
}

/* libsoup emits this on a new connection at once, and on a kept one when the
   first byte of the next request has arrived. */
static void
on_request_started (SoupServer *server, SoupServerMessage *message,
                    gpointer data)
{
  GSocket *socket = soup_server_message_get_socket (message);
  struct connection *c = connection_of (message);

  if (socket == NULL)
    return;
  if (c == NULL)
    c = connection_new (data, socket);
  c->message = message;
  if (c->state == CONNECTION_CLOSING)
    return;
  c->state = c->has_served ? CONNECTION_READING : CONNECTION_IDLE;
  c->deadline_ms = now_ms ()
                   + (c->has_served ? c->owner->limits.request_ms
                                    : c->owner->limits.idle_ms);
  g_signal_connect (message, "got-headers", G_CALLBACK (on_request_headers),
                    NULL);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_request_chunk), NULL);
}

/* Open a listening socket with a backlog of LISTEN_BACKLOG; the backlog of
   libsoup's own socket is too short for many simultaneous connects. */
static GSocket *
open_listening_socket (GSocketAddress *address, GError **error)
{
  GSocket *s
      = g_socket_new (g_socket_address_get_family (address),
                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);

  if (s == NULL)
    return NULL;
  g_socket_set_listen_backlog (s, LISTEN_BACKLOG);
  if (!g_socket_bind (s, address, TRUE, error) || !g_socket_listen (s, error))
    g_clear_object (&s);
  return s;
}

static bool
listen_on (SoupServer *server, const char *address, uint16_t port,
           GError **error)
{
  GSocketAddress *a = g_inet_socket_address_new_from_string (address, port);
  GError *cause = NULL;
  GSocket *s;
  bool is_listening;

  g_return_val_if_fail (a != NULL, false);
  s = open_listening_socket (a, &cause);
  is_listening = s != NULL && soup_server_listen_socket (server, s, 0, &cause);
  g_clear_object (&s);
  g_object_unref (a);
  if (!is_listening)
    {
      g_set_error (error, SHED_ERROR, ERROR_UNREACHABLE,
                   "can't listen on %s port %u: %s; choose a free port",
                   address, port, cause->message);
      g_error_free (cause);
    }
  return is_listening;
}

struct connections *
connections_new (SoupServer *server, const char *address, uint16_t port,
                 const struct connections_limits *limits,
                 const struct connections_functions *functions, void *data,
                 struct counters *counters, GError **error)
{
  struct connections *cs;

  if (!listen_on (server, address, port, error))
    return NULL;
  cs = g_new0 (struct connections, 1);
  cs->server = server;
  cs->limits = *limits;
  cs->functions = functions;
  cs->data = data;
  cs->counters = counters;
  cs->all = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  cs->scan = g_timeout_source_new (SCAN_INTERVAL_MS);
  g_source_set_callback (cs->scan, on_scan, cs, NULL);
  g_source_attach (cs->scan, g_main_context_get_thread_default ());
  g_signal_connect (server, "request-started", G_CALLBACK (on_request_started),
                    cs);
  g_signal_connect (server, "request-read", G_CALLBACK (on_request_read), cs);
  g_signal_connect (server, "request-finished", G_CALLBACK (on_request_ended),
                    cs);
  g_signal_connect (server, "request-aborted", G_CALLBACK (on_request_ended),
                    cs);
  return cs;
}

void
connections_destroy (struct connections *connections)
{
  GList *all = g_hash_table_get_keys (connections->all);

  g_signal_handlers_disconnect_by_data (connections->server, connections);
  for (GList *i = all; i != NULL; i = i->next)
    untrack_connection (i->data);
  g_list_free (all);
  g_source_destroy (connections->scan);
  g_source_unref (connections->scan);
  g_hash_table_unref (connections->all);
  g_free (connections);
}

uint32_t
connections_count_open (const struct connections *connections)
{
  return n_counted (connections);
}

void
connections_answer_early (SoupServerMessage *message, guint status,
                          const char *content_type, const char *text)
{
  struct connection *c = connection_of (message);

  if (c != NULL && c->state != CONNECTION_CLOSING)
    send_raw_answer (c, status, content_type, text);
}

void
connections_abort (SoupServerMessage *message)
{
  struct connection *c = connection_of (message);

  if (c != NULL && !g_socket_is_closed (c->socket))
    shut_down (c);
}
