#include "connections.h"
#include "http.h"

#include <gio/gio.h>
#include <string.h>

/* Tests of the limits that connections.c and http.c enforce, with real sockets
   on the loopback interface. */

#define REQUEST_MS 400
#define IDLE_MS 900
#define MAX_OPEN 3
#define BODY_MAX_BYTES 1000
#define TIMEOUT_MS 10000
#define LARGE_ANSWER_BYTES (64 * 1024 * 1024)
#define VALID_REQUEST                                                         \
  "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"

static const char large_answer[LARGE_ANSWER_BYTES];

struct fixture
{
  SoupServer *server;
  struct connections *connections;
  struct counters *counters;
  uint16_t port;
  guint n_served;
  guint n_disconnected;
  SoupServerMessage *held_message; /* of /hold; never answered */
};

static void
on_headers (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct fixture *f = data;

  http_collect_body (message, BODY_MAX_BYTES, f->counters);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct fixture *f = data;
  GBytes *body = http_take_body (message);

  if (body == NULL)
    {
      soup_server_message_set_status (message, 413, NULL);
      return;
    }
  f->n_served++;
  soup_server_message_set_status (message, 200, NULL);
  if (strcmp (path, "/hold") == 0)
    {
      soup_server_message_pause (message);
      f->held_message = message;
    }
  else if (strcmp (path, "/large") == 0)
    soup_server_message_set_response (message, "text/plain",
                                      SOUP_MEMORY_STATIC, large_answer,
                                      LARGE_ANSWER_BYTES);
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
on_caller_disconnected (void *data, SoupServerMessage *message)
{
  struct fixture *f = data;

  f->n_disconnected++;
  g_assert_true (message == f->held_message);
  soup_server_message_set_status (message, 499, NULL);
  soup_server_message_unpause (message);
}

static const struct connections_functions server_functions
    = { on_caller_disconnected };

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
fixture_open (struct fixture *f)
{
  struct connections_limits limits = { MAX_OPEN, IDLE_MS, REQUEST_MS };
  GError *error = NULL;

  memset (f, 0, sizeof *f);
  f->counters = counters_new ();
  f->server = soup_server_new (NULL, NULL);
  soup_server_add_early_handler (f->server, NULL, on_headers, f, NULL);
  soup_server_add_handler (f->server, NULL, on_request, f, NULL);
  f->port = free_port ();
  f->connections = connections_new (f->server, "127.0.0.1", f->port, &limits,
                                    &server_functions, f, f->counters, &error);
  g_assert_no_error (error);
}

static void
fixture_close (struct fixture *f)
{
  connections_destroy (f->connections);
  soup_server_disconnect (f->server);
  g_object_unref (f->server);
  counters_destroy (f->counters);
}

static guint64
counter_value (const struct fixture *f, enum counter counter)
{
  return counters_get (f->counters, counter);
}

static void
run_main_loop_ms (int64_t ms)
{
  int64_t end = g_get_monotonic_time () + ms * 1000;

  while (g_get_monotonic_time () < end)
    if (!g_main_context_iteration (NULL, FALSE))
      g_usleep (500);
}

static GSocket *
client_open (const struct fixture *f)
{
  GSocketAddress *a
      = g_inet_socket_address_new_from_string ("127.0.0.1", f->port);
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
send_text (GSocket *s, const char *text)
{
  g_socket_send (s, text, strlen (text), NULL, NULL);
}

/* Read from S until the end of the stream or until the text read contains
   WANTED (NULL for none).  Return the text. */
static char *
receive_text (GSocket *s, const char *wanted)
{
  GString *all = g_string_new (NULL);
  int64_t end = g_get_monotonic_time () + TIMEOUT_MS * 1000;
  char buffer[4096];
  gssize n = -1;

  while (g_get_monotonic_time () < end && n != 0
         && (wanted == NULL || strstr (all->str, wanted) == NULL))
    {
      run_main_loop_ms (2);
      n = g_socket_receive (s, buffer, sizeof buffer, NULL, NULL);
      if (n > 0)
        g_string_append_len (all, buffer, n);
    }
  return g_string_free (all, FALSE);
}

static bool
receive_until (GSocket *s, const char *wanted)
{
  char *text = receive_text (s, wanted);
  bool found = strstr (text, wanted) != NULL;

  if (!found)
    g_test_message ("received only: %.300s", text);
  g_free (text);
  return found;
}

/* Return whether the server closes the connection within TIMEOUT_MS. */
static bool
is_closed_by_server (GSocket *s)
{
  int64_t end = g_get_monotonic_time () + TIMEOUT_MS * 1000;
  char buffer[4096];

  while (g_get_monotonic_time () < end)
    {
      GError *error = NULL;
      gssize n;

      run_main_loop_ms (5);
      n = g_socket_receive (s, buffer, sizeof buffer, NULL, &error);
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

/* Assert that a new caller is still served. */
static void
assert_serves_new_caller (struct fixture *f)
{
  GSocket *s = client_open (f);

  send_text (s, VALID_REQUEST);
  g_assert_true (receive_until (s, "\r\n\r\nhi"));
  client_close (s);
}

static void
test_half_headers (void)
{
  struct fixture f;
  GSocket *s;

  fixture_open (&f);
  s = client_open (&f);
  send_text (s, "POST /echo HTTP/1.1\r\nHost: a\r\n");
  g_assert_true (receive_until (s, "request-too-slow"));
  g_assert_true (is_closed_by_server (s));
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_SLOW_CLOSED), ==,
                    1);
  g_assert_cmpuint (counters_get_reason (f.counters, REASON_REQUEST_TOO_SLOW),
                    ==, 1);
  client_close (s);
  assert_serves_new_caller (&f);
  fixture_close (&f);
}

static void
send_slowly (GSocket *s, const char *text)
{
  int64_t started = g_get_monotonic_time ();

  for (const char *p = text; *p != '\0'; p++)
    {
      run_main_loop_ms (40);
      if (g_socket_send (s, p, 1, NULL, NULL) < 0)
        break;
      if (g_get_monotonic_time () - started > TIMEOUT_MS * 1000)
        break;
    }
}

static void
test_slow_headers (void)
{
  struct fixture f;
  GSocket *s;
  char *filler = g_strnfill (400, 'x');
  char *text = g_strconcat ("GET /", filler, NULL);

  fixture_open (&f);
  s = client_open (&f);
  send_slowly (s, text);
  g_assert_true (is_closed_by_server (s));
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_SLOW_CLOSED), ==,
                    1);
  g_assert_cmpuint (f.n_served, ==, 0);
  client_close (s);
  g_free (text);
  g_free (filler);
  fixture_close (&f);
}

static void
test_slow_body (void)
{
  struct fixture f;
  GSocket *s;
  char *filler = g_strnfill (400, 'x');

  fixture_open (&f);
  s = client_open (&f);
  send_text (s,
             "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n");
  send_slowly (s, filler);
  g_assert_true (is_closed_by_server (s));
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_SLOW_CLOSED), ==,
                    1);
  g_assert_cmpuint (f.n_served, ==, 0);
  client_close (s);
  g_free (filler);
  fixture_close (&f);
}

static void
test_half_body_then_disconnect (void)
{
  struct fixture f;
  GSocket *s;

  fixture_open (&f);
  s = client_open (&f);
  send_text (
      s, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nabc");
  run_main_loop_ms (50);
  client_close (s);
  run_main_loop_ms (600);
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_BROKEN), ==, 1);
  g_assert_cmpuint (connections_count_open (f.connections), ==, 0);
  g_assert_cmpuint (f.n_served, ==, 0);
  fixture_close (&f);
}

static void
test_idle (void)
{
  struct fixture f;
  GSocket *s;

  fixture_open (&f);
  s = client_open (&f);
  /* A pause longer than REQUEST_MS but shorter than IDLE_MS is allowed. */
  run_main_loop_ms (REQUEST_MS + 200);
  send_text (s, VALID_REQUEST);
  g_assert_true (receive_until (s, "\r\n\r\nhi"));
  run_main_loop_ms (REQUEST_MS + 200);
  send_text (s, VALID_REQUEST);
  g_assert_true (receive_until (s, "\r\n\r\nhi"));
  g_assert_true (is_closed_by_server (s));
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_IDLE_CLOSED), ==,
                    1);
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_SLOW_CLOSED), ==,
                    0);
  client_close (s);
  fixture_close (&f);
}

/* A second request on a connection is timed from its own first byte. */
static void
test_slow_second_request (void)
{
  struct fixture f;
  GSocket *s;

  fixture_open (&f);
  s = client_open (&f);
  send_text (s, VALID_REQUEST);
  g_assert_true (receive_until (s, "\r\n\r\nhi"));
  send_text (s, "POST /echo HTTP/1.1\r\nHost: a");
  g_assert_true (receive_until (s, "request-too-slow"));
  g_assert_cmpuint (f.n_served, ==, 1);
  client_close (s);
  fixture_close (&f);
}

static void
test_too_many (void)
{
  struct fixture f;
  GSocket *active[MAX_OPEN];
  GSocket *s;

  fixture_open (&f);
  for (int i = 0; i < MAX_OPEN; i++)
    {
      active[i] = client_open (&f);
      send_text (active[i], "POST /hold HTTP/1.1\r\nHost: a\r\n\r\n");
      run_main_loop_ms (20);
    }
  g_assert_cmpuint (connections_count_open (f.connections), ==, MAX_OPEN);
  s = client_open (&f);
  g_assert_true (receive_until (s, "overloaded"));
  g_assert_true (is_closed_by_server (s));
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_REFUSED), ==, 1);
  g_assert_cmpuint (f.n_served, ==, MAX_OPEN);
  client_close (s);
  for (int i = 0; i < MAX_OPEN; i++)
    client_close (active[i]);
  fixture_close (&f);
}

/* At the limit, an idle connection is closed to admit a new caller. */
static void
test_idle_closed_at_limit (void)
{
  struct fixture f;
  GSocket *idle[MAX_OPEN];

  fixture_open (&f);
  for (int i = 0; i < MAX_OPEN; i++)
    idle[i] = client_open (&f);
  run_main_loop_ms (50);
  assert_serves_new_caller (&f);
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_IDLE_CLOSED), >=,
                    1);
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_REFUSED), ==, 0);
  for (int i = 0; i < MAX_OPEN; i++)
    client_close (idle[i]);
  fixture_close (&f);
}

/* A Content-Length above the limit is refused before any body is sent. */
static void
test_large_length (void)
{
  struct fixture f;
  GSocket *s;

  fixture_open (&f);
  s = client_open (&f);
  send_text (s, "POST /echo HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 99999999999\r\n\r\n");
  g_assert_true (receive_until (s, "body-too-large"));
  g_assert_true (is_closed_by_server (s));
  g_assert_cmpuint (counters_get_reason (f.counters, REASON_BODY_TOO_LARGE),
                    ==, 1);
  g_assert_cmpuint (f.n_served, ==, 0);
  client_close (s);
  assert_serves_new_caller (&f);
  fixture_close (&f);
}

static void
test_large_chunks (void)
{
  struct fixture f;
  GSocket *s;
  char *filler = g_strnfill (0x800, 'x');

  fixture_open (&f);
  s = client_open (&f);
  send_text (s, "POST /echo HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n800\r\n");
  send_text (s, filler);
  g_assert_true (receive_until (s, "body-too-large"));
  g_assert_cmpuint (counters_get_reason (f.counters, REASON_BODY_TOO_LARGE),
                    ==, 1);
  g_assert_cmpuint (f.n_served, ==, 0);
  client_close (s);
  g_free (filler);
  fixture_close (&f);
}

/* libsoup itself closes the connection when the headers exceed 100 KB. */
static void
test_large_headers (void)
{
  struct fixture f;
  GSocket *s;
  char *filler = g_strnfill (1000, 'x');

  fixture_open (&f);
  s = client_open (&f);
  send_text (s, "GET /echo HTTP/1.1\r\nHost: a\r\nX: ");
  for (int i = 0; i < 1000; i++)
    {
      if (g_socket_send (s, filler, 1000, NULL, NULL) < 0)
        break;
      run_main_loop_ms (1);
    }
  g_assert_true (is_closed_by_server (s));
  g_assert_cmpuint (f.n_served, ==, 0);
  client_close (s);
  assert_serves_new_caller (&f);
  g_free (filler);
  fixture_close (&f);
}

static void
test_pipelined (void)
{
  struct fixture f;
  GSocket *s;

  fixture_open (&f);
  s = client_open (&f);
  send_text (
      s, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst"
         "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nsecond"
         "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nthird");
  char *text = receive_text (s, "third");
  g_assert_nonnull (strstr (text, "first"));
  g_assert_true (strstr (text, "first") < strstr (text, "second"));
  g_assert_true (strstr (text, "second") < strstr (text, "third"));
  g_assert_cmpuint (f.n_served, ==, 3);
  g_free (text);
  client_close (s);
  fixture_close (&f);
}

static void
test_garbage (void)
{
  struct fixture f;
  GRand *r = g_rand_new_with_seed (3);

  fixture_open (&f);
  for (int round = 0; round < 200; round++)
    {
      GSocket *s = client_open (&f);
      char random_bytes[300];

      for (gsize i = 0; i < sizeof random_bytes; i++)
        random_bytes[i] = (char)g_rand_int_range (r, 0, 256);
      g_socket_send (s, random_bytes, sizeof random_bytes, NULL, NULL);
      send_text (s, "\r\n\r\n");
      run_main_loop_ms (2);
      client_close (s);
    }
  run_main_loop_ms (50);
  g_assert_cmpuint (f.n_served, ==, 0);
  assert_serves_new_caller (&f);
  g_rand_free (r);
  fixture_close (&f);
}

static void
test_disconnect_while_served (void)
{
  struct fixture f;
  GSocket *s;

  fixture_open (&f);
  s = client_open (&f);
  send_text (s, "POST /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  run_main_loop_ms (50);
  g_assert_cmpuint (f.n_served, ==, 1);
  client_close (s);
  run_main_loop_ms (600);
  g_assert_cmpuint (f.n_disconnected, ==, 1);
  g_assert_cmpuint (counter_value (&f, COUNTER_CALLERS_GONE), ==, 1);
  g_assert_cmpuint (connections_count_open (f.connections), ==, 0);
  fixture_close (&f);
}

static void
test_stalled_reader (void)
{
  struct fixture f;
  GSocket *s;
  int64_t end = g_get_monotonic_time () + TIMEOUT_MS * 1000;

  fixture_open (&f);
  s = client_open (&f);
  send_text (s, "POST /large HTTP/1.1\r\nHost: a\r\n\r\n");
  while (connections_count_open (f.connections) == 0)
    run_main_loop_ms (5);
  while (connections_count_open (f.connections) > 0
         && g_get_monotonic_time () < end)
    run_main_loop_ms (20);
  g_assert_cmpuint (connections_count_open (f.connections), ==, 0);
  g_assert_cmpuint (counter_value (&f, COUNTER_CONNECTIONS_STALLED), ==, 1);
  client_close (s);
  assert_serves_new_caller (&f);
  fixture_close (&f);
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

/* A kept connection that its caller closes between two requests is closed by
   the server too; libsoup 3.2.3 alone never closes its descriptor. */
static void
test_kept_then_closed (void)
{
  struct fixture f;
  guint before;

  fixture_open (&f);
  assert_serves_new_caller (&f);
  run_main_loop_ms (1000);
  before = open_files ();
  for (int i = 0; i < 20; i++)
    {
      assert_serves_new_caller (&f);
      run_main_loop_ms (50);
    }
  run_main_loop_ms (1000);
  g_assert_cmpuint (open_files (), <=, before);
  g_assert_cmpuint (connections_count_open (f.connections), ==, 0);
  fixture_close (&f);
}

/* The descriptor of a connection that was closed for idleness is released. */
static void
test_idle_then_closed (void)
{
  struct fixture f;
  guint before;
  GSocket *s;

  fixture_open (&f);
  before = open_files ();
  s = client_open (&f);
  send_text (s, VALID_REQUEST);
  g_assert_true (receive_until (s, "\r\n\r\nhi"));
  run_main_loop_ms (IDLE_MS + 1200);
  client_close (s);
  g_assert_cmpuint (open_files (), <=, before);
  g_assert_cmpuint (connections_count_open (f.connections), ==, 0);
  fixture_close (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/connections/half-headers", test_half_headers);
  g_test_add_func ("/connections/slow-headers", test_slow_headers);
  g_test_add_func ("/connections/slow-body", test_slow_body);
  g_test_add_func ("/connections/half-body-then-disconnect",
                   test_half_body_then_disconnect);
  g_test_add_func ("/connections/idle", test_idle);
  g_test_add_func ("/connections/kept-then-closed", test_kept_then_closed);
  g_test_add_func ("/connections/idle-then-closed", test_idle_then_closed);
  g_test_add_func ("/connections/slow-second-request",
                   test_slow_second_request);
  g_test_add_func ("/connections/too-many", test_too_many);
  g_test_add_func ("/connections/idle-closed-at-limit",
                   test_idle_closed_at_limit);
  g_test_add_func ("/connections/large-length", test_large_length);
  g_test_add_func ("/connections/large-chunks", test_large_chunks);
  g_test_add_func ("/connections/large-headers", test_large_headers);
  g_test_add_func ("/connections/pipelined", test_pipelined);
  g_test_add_func ("/connections/garbage", test_garbage);
  g_test_add_func ("/connections/disconnect-while-served",
                   test_disconnect_while_served);
  g_test_add_func ("/connections/stalled-reader", test_stalled_reader);
  return g_test_run ();
}
