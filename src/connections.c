#include "connections.h"

#include "error.h"
#include "http.h"

#include <gio/gio.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define SCAN_EVERY_MS 250
#define LISTEN_BACKLOG 1024
#define LINGER_MS 1000
#define SHUT_MS 200
#define BODY_MIN_BYTES_PER_S 16384
/* Connections that are about to end and still get an answer. */
#define ENDING_MAX 64
/* States of TCP in which the other side has closed. */
#define TCP_STATE_CLOSE 7
#define TCP_STATE_CLOSE_WAIT 8
#define CONNECTION_KEY "shed-connection"

enum connection_state
{
  CONNECTION_IDLE,    /* no byte of the next request has come */
  CONNECTION_READING, /* part of a request has come */
  CONNECTION_SERVING, /* the request is whole; its answer is on the way */
  CONNECTION_CLOSING  /* answered early; closed at the deadline */
};

struct connection
{
  struct connections *owner;
  enum connection_state state;
  GSocket *socket;            /* watched weakly; libsoup owns it */
  SoupServerMessage *message; /* being read or served; not owned */
  int64_t deadline_ms;        /* INT64_MAX for none */
  bool served;                /* at least one request */
  uint64_t received_mark;     /* bytes received before the next request */
  uint64_t acked;             /* bytes of answers that the caller has taken */
  int64_t acked_ms;           /* when that number last grew */
  bool ending; /* refused or shut: not counted against the limit */
  bool is_shut;
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
  uint32_t ending;
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

/* Count C no longer against the limit: it is about to end. */
static void
count_out (struct connection *c)
{
  if (!c->ending)
    c->owner->ending++;
  c->ending = true;
}

/* Make libsoup see the end of the connection, which it then closes.  It does
   not close one that waits for a further request (libsoup 3.2.3), so the next
   scan closes what is still open. */
static void
shut (struct connection *c)
{
  g_socket_shutdown (c->socket, TRUE, TRUE, NULL);
  count_out (c);
  c->state = CONNECTION_CLOSING;
  c->is_shut = true;
  c->deadline_ms = now_ms () + SHUT_MS;
}

/* Send TEXT as a whole answer past libsoup.  It fits the send buffer of a
   connection that has nothing else on its way. */
static void
answer_raw (struct connection *c, guint status, const char *content_type,
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
refuse_raw (struct connection *c, enum reason reason)
{
  char *text = http_problem_text (reason, 0);

  counters_add_reason (c->owner->counters, reason);
  answer_raw (c, reason_status (reason), HTTP_PROBLEM_TYPE, text);
  g_free (text);
}

/* Closing what is late. */

static bool
is_closed_by_caller (const struct tcp_info *info)
{
  return info->tcpi_state == TCP_STATE_CLOSE_WAIT
         || info->tcpi_state == TCP_STATE_CLOSE;
}

static void
scan_idle (struct connection *c, const struct tcp_info *info, int64_t now)
{
  /* First, as the kernel counts the end of the stream as a byte. */
  if (is_closed_by_caller (info))
    shut (c);
  else if (info->tcpi_bytes_received > c->received_mark)
    {
      c->state = CONNECTION_READING;
      c->deadline_ms = now + c->owner->limits.request_ms;
    }
  else if (now >= c->deadline_ms)
    {
      counters_add (c->owner->counters, COUNTER_CONNECTIONS_IDLE_CLOSED, 1);
      shut (c);
    }
}

static void
scan_reading (struct connection *c, int64_t now)
{
  if (now < c->deadline_ms)
    return;
  counters_add (c->owner->counters, COUNTER_CONNECTIONS_SLOW_CLOSED, 1);
  refuse_raw (c, REASON_TOO_SLOW);
}

static void
scan_serving (struct connection *c, const struct tcp_info *info, int64_t now)
{
  struct connections *owner = c->owner;
  bool all_taken = info->tcpi_unacked == 0 && info->tcpi_notsent_bytes == 0;

  if (is_closed_by_caller (info))
    {
      counters_add (owner->counters, COUNTER_CALLERS_GONE, 1);
      shut (c);
      if (c->message != NULL && owner->functions != NULL)
        owner->functions->gone (owner->data, c->message);
      return;
    }
  if (all_taken || info->tcpi_bytes_acked != c->acked)
    {
      c->acked = info->tcpi_bytes_acked;
      c->acked_ms = now;
    }
  else if (now - c->acked_ms >= owner->limits.request_ms)
    {
      counters_add (owner->counters, COUNTER_CONNECTIONS_STALLED, 1);
      shut (c);
    }
}

static void
forget (struct connection *c)
{
  struct connections *owner = c->owner;

  if (c->state == CONNECTION_READING)
    counters_add (owner->counters, COUNTER_CONNECTIONS_BROKEN, 1);
  if (c->ending)
    owner->ending--;
  g_hash_table_remove (owner->all, c);
}

static void
on_socket_gone (gpointer data, GObject *socket)
{
  forget (data);
}

/* Forget C before its socket is gone. */
static void
detach (struct connection *c)
{
  g_object_weak_unref (G_OBJECT (c->socket), on_socket_gone, c);
  g_object_set_data (G_OBJECT (c->socket), CONNECTION_KEY, NULL);
  forget (c);
}

static void
close_late (struct connection *c)
{
  if (!c->is_shut)
    {
      shut (c);
      return;
    }
  g_socket_close (c->socket, NULL);
  detach (c);
}

static void
scan_one (struct connection *c, int64_t now)
{
  struct tcp_info info;

  if (g_socket_is_closed (c->socket))
    {
      detach (c);
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
        close_late (c);
      break;
    }
}

static void
scan (struct connections *cs)
{
  GList *all = g_hash_table_get_keys (cs->all);
  int64_t now = now_ms ();

  /* Closing one may end another only through the main loop, so each of these
     still lives. */
  for (GList *i = all; i != NULL; i = i->next)
    scan_one (i->data, now);
  g_list_free (all);
}

static gboolean
on_scan (gpointer data)
{
  scan (data);
  return G_SOURCE_CONTINUE;
}

/* Following each request. */

static struct connection *
connection_of (SoupServerMessage *message)
{
  GSocket *s = soup_server_message_get_socket (message);

  return s == NULL ? NULL : g_object_get_data (G_OBJECT (s), CONNECTION_KEY);
}

static void
on_got_headers (SoupServerMessage *message, gpointer data)
{
  struct connection *c = connection_of (message);

  if (c == NULL || c->state == CONNECTION_CLOSING)
    return;
  c->state = CONNECTION_READING;
  c->deadline_ms = now_ms () + c->owner->limits.request_ms;
}

static void
on_got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct connection *c = connection_of (message);

  if (c != NULL && c->state == CONNECTION_READING)
    c->deadline_ms
        += (int64_t)g_bytes_get_size (chunk) * 1000 / BODY_MIN_BYTES_PER_S;
}

static void
on_read (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  struct connection *c = connection_of (message);

  if (c == NULL || c->state == CONNECTION_CLOSING)
    return;
  c->state = CONNECTION_SERVING;
  c->acked_ms = now_ms ();
  c->served = true;
}

/* The answer is out, or the connection broke. */
static void
on_ended (SoupServer *server, SoupServerMessage *message, gpointer data)
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
    c->received_mark = info.tcpi_bytes_received;
}

/* Opening and ending. */

/* Close one connection that waits for its next request, if there is one. */
static bool
make_room (struct connections *cs)
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
          if (info.tcpi_bytes_received > c->received_mark)
            continue;
          counters_add (cs->counters, COUNTER_CONNECTIONS_IDLE_CLOSED, 1);
        }
      shut (c);
      return true;
    }
  return false;
}

/* Forget the connections that have been closed since the last scan. */
static void
sweep (struct connections *cs)
{
  GList *all = g_hash_table_get_keys (cs->all);

  for (GList *i = all; i != NULL; i = i->next)
    {
      struct connection *c = i->data;

      if (g_socket_is_closed (c->socket))
        detach (c);
    }
  g_list_free (all);
}

static uint32_t
counted (const struct connections *cs)
{
  return g_hash_table_size (cs->all) - cs->ending;
}

static struct connection *
connection_new (struct connections *cs, GSocket *socket)
{
  struct connection *c = g_new0 (struct connection, 1);
  bool full = false;

  if (counted (cs) >= cs->limits.max)
    {
      sweep (cs);
      full = counted (cs) >= cs->limits.max && !make_room (cs);
    }

  counters_add (cs->counters, COUNTER_CONNECTIONS_ACCEPTED, 1);
  c->owner = cs;
  c->socket = socket;
  g_hash_table_add (cs->all, c);
  g_object_weak_ref (G_OBJECT (socket), on_socket_gone, c);
  g_object_set_data (G_OBJECT (socket), CONNECTION_KEY, c);
  if (!full)
    return c;
  counters_add (cs->counters, COUNTER_CONNECTIONS_REFUSED, 1);
  if (cs->ending < ENDING_MAX)
    refuse_raw (c, REASON_OVERLOADED);
  else
    shut (c);
  count_out (c);
  return c;
}

/* libsoup begins to read a request: on a fresh connection at once, and on a
   kept one when its first byte has come. */
static void
on_started (SoupServer *server, SoupServerMessage *message, gpointer data)
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
  c->state = c->served ? CONNECTION_READING : CONNECTION_IDLE;
  c->deadline_ms
      = now_ms ()
        + (c->served ? c->owner->limits.request_ms : c->owner->limits.idle_ms);
  g_signal_connect (message, "got-headers", G_CALLBACK (on_got_headers), NULL);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_got_chunk), NULL);
}

/* Open a listening socket; libsoup's own has room for few that connect at
   once. */
static GSocket *
open_socket (GSocketAddress *address, GError **error)
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
  bool good;

  g_return_val_if_fail (a != NULL, false);
  s = open_socket (a, &cause);
  good = s != NULL && soup_server_listen_socket (server, s, 0, &cause);
  g_clear_object (&s);
  g_object_unref (a);
  if (!good)
    {
      g_set_error (error, SHED_ERROR, ERROR_UNREACHABLE,
                   "can't listen on %s port %u: %s; choose a free port",
                   address, port, cause->message);
      g_error_free (cause);
    }
  return good;
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
  cs->scan = g_timeout_source_new (SCAN_EVERY_MS);
  g_source_set_callback (cs->scan, on_scan, cs, NULL);
  g_source_attach (cs->scan, g_main_context_get_thread_default ());
  g_signal_connect (server, "request-started", G_CALLBACK (on_started), cs);
  g_signal_connect (server, "request-read", G_CALLBACK (on_read), cs);
  g_signal_connect (server, "request-finished", G_CALLBACK (on_ended), cs);
  g_signal_connect (server, "request-aborted", G_CALLBACK (on_ended), cs);
  return cs;
}

void
connections_destroy (struct connections *connections)
{
  GList *all = g_hash_table_get_keys (connections->all);

  g_signal_handlers_disconnect_by_data (connections->server, connections);
  for (GList *i = all; i != NULL; i = i->next)
    detach (i->data);
  g_list_free (all);
  g_source_destroy (connections->scan);
  g_source_unref (connections->scan);
  g_hash_table_unref (connections->all);
  g_free (connections);
}

uint32_t
connections_open (const struct connections *connections)
{
  return counted (connections);
}

void
connections_answer_early (SoupServerMessage *message, guint status,
                          const char *content_type, const char *text)
{
  struct connection *c = connection_of (message);

  if (c != NULL && c->state != CONNECTION_CLOSING)
    answer_raw (c, status, content_type, text);
}

void
connections_cut (SoupServerMessage *message)
{
  struct connection *c = connection_of (message);

  if (c != NULL && !g_socket_is_closed (c->socket))
    shut (c);
}
