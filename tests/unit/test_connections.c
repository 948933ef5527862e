#include "connections.h"
#include "http.h"

#include <gio/gio.h>
#include <string.h>

/* The bounds of an HTTP edge, tried by real sockets on loopback. */

#define REQUEST_MS 400
#define IDLE_MS 900
#define MAX_OPEN 3
#define BODY_MAX 1000
#define PATIENCE_MS 10000
#define LARGE_ANSWER (64 * 1024 * 1024)
#define WHOLE "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"

static const char large_answer[LARGE_ANSWER];

struct edge
{
  SoupServer *server;
  struct connections *connections;
  struct counters *counters;
  uint16_t port;
  guint served;
  guint gone;
  SoupServerMessage *held; /* of /hold; paused for ever */
};

static void
on_headers (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct edge *e = data;

  http_collect_body (message, BODY_MAX, e->counters);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct edge *e = data;
  GBytes *body = http_take_body (message);

  if (body == NULL)
    {
      soup_server_message_set_status (message, 413, NULL);
      return;
    }
  e->served++;
  soup_server_message_set_status (message, 200, NULL);
  if (strcmp (path, "/hold") == 0)
    {
      soup_server_message_pause (message);
      e->held = message;
    }
  else if (strcmp (path, "/large") == 0)
    soup_server_message_set_response (
        message, "text/plain", SOUP_MEMORY_STATIC, large_answer, LARGE_ANSWER);
  else
    {
      gsize size;
      const char *bytes = g_bytes_get_data (body, &size);

      soup_server_message_set_response (message, "text/plain",
                                        SOUP_MEMORY_COPY, bytes, size);
    }
  g_bytes_unref (body);
}

static void
on_gone (void *data, SoupServerMessage *message)
{
  struct edge *e = data;

  e->gone++;
  g_assert_true (message == e->held);
  soup_server_message_set_status (message, 499, NULL);
  soup_server_message_unpause (message);
}

static const struct connections_functions edge_functions = { on_gone };

static uint16_t
free_port (void)
{
  GSocketListener *l = g_socket_listener_new ();
  uint16_t port = g_socket_listener_add_any_inet_port (l, NULL, NULL);

  g_socket_listener_close (l);
  g_object_unref (l);
  return port;
}

static void
edge_open (struct edge *e)
{
  struct connections_limits limits = { MAX_OPEN, IDLE_MS, REQUEST_MS };
  GError *error = NULL;

  memset (e, 0, sizeof *e);
  e->counters = counters_new ();
  e->server = soup_server_new (NULL, NULL);
  soup_server_add_early_handler (e->server, NULL, on_headers, e, NULL);
  soup_server_add_handler (e->server, NULL, on_request, e, NULL);
  e->port = free_port ();
  e->connections = connections_new (e->server, "127.0.0.1", e->port, &limits,
                                    &edge_functions, e, e->counters, &error);
  g_assert_no_error (error);
}

static void
edge_close (struct edge *e)
{
  connections_destroy (e->connections);
  soup_server_disconnect (e->server);
  g_object_unref (e->server);
  counters_destroy (e->counters);
}

static guint64
count (const struct edge *e, enum counter counter)
{
  return counters_get (e->counters, counter);
}

static void
work_ms (int64_t ms)
{
  int64_t end = g_get_monotonic_time () + ms * 1000;

  while (g_get_monotonic_time () < end)
    if (!g_main_context_iteration (NULL, FALSE))
      g_usleep (500);
}

static GSocket *
client_open (const struct edge *e)
{
  GSocketAddress *a
      = g_inet_socket_address_new_from_string ("127.0.0.1", e->port);
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  g_assert_true (g_socket_connect (s, a, NULL, NULL));
  g_socket_set_blocking (s, FALSE);
  g_object_unref (a);
  return s;
}

static void
client_close (GSocket *s)
{
  g_socket_close (s, NULL);
  g_object_unref (s);
}

static void
say (GSocket *s, const char *text)
{
  g_socket_send (s, text, strlen (text), NULL, NULL);
}

/* Read from S until it ends or WANTED stands in what came; return all. */
static char *
hear (GSocket *s, const char *wanted)
{
  GString *all = g_string_new (NULL);
  int64_t end = g_get_monotonic_time () + PATIENCE_MS * 1000;
  char piece[4096];
  gssize n = -1;

  while (g_get_monotonic_time () < end && n != 0
         && (wanted == NULL || strstr (all->str, wanted) == NULL))
    {
      work_ms (2);
      n = g_socket_receive (s, piece, sizeof piece, NULL, NULL);
      if (n > 0)
        g_string_append_len (all, piece, n);
    }
  return g_string_free (all, FALSE);
}

static bool
heard (GSocket *s, const char *wanted)
{
  char *text = hear (s, wanted);
  bool found = strstr (text, wanted) != NULL;

  if (!found)
    g_test_message ("heard only: %.300s", text);
  g_free (text);
  return found;
}

/* Whether the edge ends the connection within PATIENCE_MS. */
static bool
is_ended (GSocket *s)
{
  int64_t end = g_get_monotonic_time () + PATIENCE_MS * 1000;
  char piece[4096];

  while (g_get_monotonic_time () < end)
    {
      GError *error = NULL;
      gssize n;

      work_ms (5);
      n = g_socket_receive (s, piece, sizeof piece, NULL, &error);
      if (n == 0)
        return true;
      if (n < 0
          && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_error_free (error);
          return true;
        }
      g_clear_error (&error);
    }
  return false;
}

/* A fresh caller is served, whatever was done to the edge before. */
static void
assert_serves (struct edge *e)
{
  GSocket *s = client_open (e);

  say (s, WHOLE);
  g_assert_true (heard (s, "\r\n\r\nhi"));
  client_close (s);
}

static void
test_half_headers (void)
{
  struct edge e;
  GSocket *s;

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /echo HTTP/1.1\r\nHost: a\r\n");
  g_assert_true (heard (s, "request-too-slow"));
  g_assert_true (is_ended (s));
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_SLOW_CLOSED), ==, 1);
  g_assert_cmpuint (counters_get_reason (e.counters, REASON_TOO_SLOW), ==, 1);
  client_close (s);
  assert_serves (&e);
  edge_close (&e);
}

static void
drip (GSocket *s, const char *text)
{
  int64_t started = g_get_monotonic_time ();

  for (const char *p = text; *p != '\0'; p++)
    {
      work_ms (40);
      if (g_socket_send (s, p, 1, NULL, NULL) < 0)
        break;
      if (g_get_monotonic_time () - started > PATIENCE_MS * 1000)
        break;
    }
}

static void
test_slow_headers (void)
{
  struct edge e;
  GSocket *s;
  char *filler = g_strnfill (400, 'x');
  char *text = g_strconcat ("GET /", filler, NULL);

  edge_open (&e);
  s = client_open (&e);
  drip (s, text);
  g_assert_true (is_ended (s));
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_SLOW_CLOSED), ==, 1);
  g_assert_cmpuint (e.served, ==, 0);
  client_close (s);
  g_free (text);
  g_free (filler);
  edge_close (&e);
}

static void
test_slow_body (void)
{
  struct edge e;
  GSocket *s;
  char *filler = g_strnfill (400, 'x');

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n");
  drip (s, filler);
  g_assert_true (is_ended (s));
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_SLOW_CLOSED), ==, 1);
  g_assert_cmpuint (e.served, ==, 0);
  client_close (s);
  g_free (filler);
  edge_close (&e);
}

static void
test_half_body_then_gone (void)
{
  struct edge e;
  GSocket *s;

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nabc");
  work_ms (50);
  client_close (s);
  work_ms (600);
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_BROKEN), ==, 1);
  g_assert_cmpuint (connections_open (e.connections), ==, 0);
  g_assert_cmpuint (e.served, ==, 0);
  edge_close (&e);
}

static void
test_idle (void)
{
  struct edge e;
  GSocket *s;

  edge_open (&e);
  s = client_open (&e);
  /* Longer than a request may take, shorter than idle: still served. */
  work_ms (REQUEST_MS + 200);
  say (s, WHOLE);
  g_assert_true (heard (s, "\r\n\r\nhi"));
  work_ms (REQUEST_MS + 200);
  say (s, WHOLE);
  g_assert_true (heard (s, "\r\n\r\nhi"));
  g_assert_true (is_ended (s));
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_IDLE_CLOSED), ==, 1);
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_SLOW_CLOSED), ==, 0);
  client_close (s);
  edge_close (&e);
}

/* A second request on a connection is timed from its own first byte. */
static void
test_slow_second_request (void)
{
  struct edge e;
  GSocket *s;

  edge_open (&e);
  s = client_open (&e);
  say (s, WHOLE);
  g_assert_true (heard (s, "\r\n\r\nhi"));
  say (s, "POST /echo HTTP/1.1\r\nHost: a");
  g_assert_true (heard (s, "request-too-slow"));
  g_assert_cmpuint (e.served, ==, 1);
  client_close (s);
  edge_close (&e);
}

static void
test_too_many (void)
{
  struct edge e;
  GSocket *busy[MAX_OPEN];
  GSocket *s;

  edge_open (&e);
  for (int i = 0; i < MAX_OPEN; i++)
    {
      busy[i] = client_open (&e);
      say (busy[i], "POST /hold HTTP/1.1\r\nHost: a\r\n\r\n");
      work_ms (20);
    }
  g_assert_cmpuint (connections_open (e.connections), ==, MAX_OPEN);
  s = client_open (&e);
  g_assert_true (heard (s, "overloaded"));
  g_assert_true (is_ended (s));
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_REFUSED), ==, 1);
  g_assert_cmpuint (e.served, ==, MAX_OPEN);
  client_close (s);
  for (int i = 0; i < MAX_OPEN; i++)
    client_close (busy[i]);
  edge_close (&e);
}

/* Connections that only stand by don't keep a caller out. */
static void
test_idle_make_room (void)
{
  struct edge e;
  GSocket *idle[MAX_OPEN];

  edge_open (&e);
  for (int i = 0; i < MAX_OPEN; i++)
    idle[i] = client_open (&e);
  work_ms (50);
  assert_serves (&e);
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_IDLE_CLOSED), >=, 1);
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_REFUSED), ==, 0);
  for (int i = 0; i < MAX_OPEN; i++)
    client_close (idle[i]);
  edge_close (&e);
}

/* A body that is announced too large is refused before any of it is sent. */
static void
test_large_length (void)
{
  struct edge e;
  GSocket *s;

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /echo HTTP/1.1\r\nHost: a\r\n"
          "Content-Length: 99999999999\r\n\r\n");
  g_assert_true (heard (s, "body-too-large"));
  g_assert_true (is_ended (s));
  g_assert_cmpuint (counters_get_reason (e.counters, REASON_BODY_TOO_LARGE),
                    ==, 1);
  g_assert_cmpuint (e.served, ==, 0);
  client_close (s);
  assert_serves (&e);
  edge_close (&e);
}

static void
test_large_chunks (void)
{
  struct edge e;
  GSocket *s;
  char *filler = g_strnfill (0x800, 'x');

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /echo HTTP/1.1\r\nHost: a\r\n"
          "Transfer-Encoding: chunked\r\n\r\n800\r\n");
  say (s, filler);
  g_assert_true (heard (s, "body-too-large"));
  g_assert_cmpuint (counters_get_reason (e.counters, REASON_BODY_TOO_LARGE),
                    ==, 1);
  g_assert_cmpuint (e.served, ==, 0);
  client_close (s);
  g_free (filler);
  edge_close (&e);
}

/* libsoup's own bound: headers above 100 KB end the connection. */
static void
test_large_headers (void)
{
  struct edge e;
  GSocket *s;
  char *filler = g_strnfill (1000, 'x');

  edge_open (&e);
  s = client_open (&e);
  say (s, "GET /echo HTTP/1.1\r\nHost: a\r\nX: ");
  for (int i = 0; i < 1000; i++)
    {
      if (g_socket_send (s, filler, 1000, NULL, NULL) < 0)
        break;
      work_ms (1);
    }
  g_assert_true (is_ended (s));
  g_assert_cmpuint (e.served, ==, 0);
  client_close (s);
  assert_serves (&e);
  g_free (filler);
  edge_close (&e);
}

static void
test_pipelined (void)
{
  struct edge e;
  GSocket *s;

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst"
          "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nsecond"
          "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nthird");
  char *text = hear (s, "third");
  g_assert_nonnull (strstr (text, "first"));
  g_assert_true (strstr (text, "first") < strstr (text, "second"));
  g_assert_true (strstr (text, "second") < strstr (text, "third"));
  g_assert_cmpuint (e.served, ==, 3);
  g_free (text);
  client_close (s);
  edge_close (&e);
}

static void
test_garbage (void)
{
  struct edge e;
  GRand *r = g_rand_new_with_seed (3);

  edge_open (&e);
  for (int round = 0; round < 200; round++)
    {
      GSocket *s = client_open (&e);
      char noise[300];

      for (gsize i = 0; i < sizeof noise; i++)
        noise[i] = (char)g_rand_int_range (r, 0, 256);
      g_socket_send (s, noise, sizeof noise, NULL, NULL);
      say (s, "\r\n\r\n");
      work_ms (2);
      client_close (s);
    }
  work_ms (50);
  g_assert_cmpuint (e.served, ==, 0);
  assert_serves (&e);
  g_rand_free (r);
  edge_close (&e);
}

static void
test_gone_while_served (void)
{
  struct edge e;
  GSocket *s;

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  work_ms (50);
  g_assert_cmpuint (e.served, ==, 1);
  client_close (s);
  work_ms (600);
  g_assert_cmpuint (e.gone, ==, 1);
  g_assert_cmpuint (count (&e, COUNTER_CALLERS_GONE), ==, 1);
  g_assert_cmpuint (connections_open (e.connections), ==, 0);
  edge_close (&e);
}

static void
test_stalled_reader (void)
{
  struct edge e;
  GSocket *s;
  int64_t end = g_get_monotonic_time () + PATIENCE_MS * 1000;

  edge_open (&e);
  s = client_open (&e);
  say (s, "POST /large HTTP/1.1\r\nHost: a\r\n\r\n");
  while (connections_open (e.connections) == 0)
    work_ms (5);
  while (connections_open (e.connections) > 0 && g_get_monotonic_time () < end)
    work_ms (20);
  g_assert_cmpuint (connections_open (e.connections), ==, 0);
  g_assert_cmpuint (count (&e, COUNTER_CONNECTIONS_STALLED), ==, 1);
  client_close (s);
  assert_serves (&e);
  edge_close (&e);
}

static guint
open_files (void)
{
  GDir *d = g_dir_open ("/proc/self/fd", 0, NULL);
  guint n = 0;

  while (g_dir_read_name (d) != NULL)
    n++;
  g_dir_close (d);
  return n;
}

/* A kept connection that its caller closes between two requests is closed
   here too; libsoup 3.2.3 by itself keeps its descriptor for ever. */
static void
test_kept_then_closed (void)
{
  struct edge e;
  guint before;

  edge_open (&e);
  assert_serves (&e);
  work_ms (1000);
  before = open_files ();
  for (int i = 0; i < 20; i++)
    {
      assert_serves (&e);
      work_ms (50);
    }
  work_ms (1000);
  g_assert_cmpuint (open_files (), <=, before);
  g_assert_cmpuint (connections_open (e.connections), ==, 0);
  edge_close (&e);
}

/* One that the edge closes for idleness gives its descriptor back as well. */
static void
test_idle_then_closed (void)
{
  struct edge e;
  guint before;
  GSocket *s;

  edge_open (&e);
  before = open_files ();
  s = client_open (&e);
  say (s, WHOLE);
  g_assert_true (heard (s, "\r\n\r\nhi"));
  work_ms (IDLE_MS + 1200);
  client_close (s);
  g_assert_cmpuint (open_files (), <=, before);
  g_assert_cmpuint (connections_open (e.connections), ==, 0);
  edge_close (&e);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/connections/half-headers", test_half_headers);
  g_test_add_func ("/connections/slow-headers", test_slow_headers);
  g_test_add_func ("/connections/slow-body", test_slow_body);
  g_test_add_func ("/connections/half-body-then-gone",
                   test_half_body_then_gone);
  g_test_add_func ("/connections/idle", test_idle);
  g_test_add_func ("/connections/kept-then-closed", test_kept_then_closed);
  g_test_add_func ("/connections/idle-then-closed", test_idle_then_closed);
  g_test_add_func ("/connections/slow-second-request",
                   test_slow_second_request);
  g_test_add_func ("/connections/too-many", test_too_many);
  g_test_add_func ("/connections/idle-make-room", test_idle_make_room);
  g_test_add_func ("/connections/large-length", test_large_length);
  g_test_add_func ("/connections/large-chunks", test_large_chunks);
  g_test_add_func ("/connections/large-headers", test_large_headers);
  g_test_add_func ("/connections/pipelined", test_pipelined);
  g_test_add_func ("/connections/garbage", test_garbage);
  g_test_add_func ("/connections/gone-while-served", test_gone_while_served);
  g_test_add_func ("/connections/stalled-reader", test_stalled_reader);
  return g_test_run ();
}
