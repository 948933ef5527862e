#include "callers.h"

#include <gio/gio.h>
#include <string.h>
#include <sys/resource.h>

/* The callers' edge as a task of its own, before a core that refuses every
   request: what reaches the core from right, wrong and mutated HTTP. */

#define PATIENCE_US (10 * 1000 * 1000)
#define FUZZ_ROUNDS 2000
#define GROWTH_MAX_KB (64 * 1024)
#define WHOLE                                                                 \
  "POST /v1/services/search/counter-lookup HTTP/1.1\r\nHost: a\r\n"           \
  "Authorization: Bearer token\r\nIdempotency-Key: k\r\n"                     \
  "Request-Timeout-Ms: 500\r\nContent-Length: 2\r\n\r\nhi"

struct world
{
  struct settings settings;
  struct counters *counters;
  struct task *core;
  struct callers *callers;
  GMutex lock;
  struct message *last; /* the last request or query that reached the core */
  guint requests;
  guint queries;
  bool hold; /* answer nothing */
  guint abandoned;
};

static void
core_start (void *data)
{
}

static void
refuse (struct world *w, uint64_t number)
{
  struct message *m = message_new (MESSAGE_REFUSE);

  m->u.refuse.request = number;
  m->u.refuse.reason = REASON_QUEUE_FULL;
  m->u.refuse.retry_after_ms = 1500;
  task_post (callers_task (w->callers), m);
}

static void
core_handle (void *data, struct message *m)
{
  struct world *w = data;

  g_mutex_lock (&w->lock);
  if (m->kind == MESSAGE_ABANDON)
    w->abandoned++;
  else if (m->kind == MESSAGE_REQUEST || m->kind == MESSAGE_QUERY)
    {
      bool is_request = m->kind == MESSAGE_REQUEST;

      w->requests += is_request;
      w->queries += !is_request;
      if (!w->hold)
        refuse (w, is_request ? m->u.request.request : m->u.query.query);
      message_destroy (w->last);
      w->last = g_steal_pointer (&m);
    }
  g_mutex_unlock (&w->lock);
  if (m != NULL)
    message_destroy (m);
}

static const struct task_functions core_functions
    = { core_start, core_handle, core_start };

static uint16_t
free_port (void)
{
  GSocketListener *l = g_socket_listener_new ();
  uint16_t port = g_socket_listener_add_any_inet_port (l, NULL, NULL);

  g_socket_listener_close (l);
  g_object_unref (l);
  return port;
}

static GSocket *
try_connect (const struct world *w)
{
  GSocketAddress *a = g_inet_socket_address_new_from_string (
      "127.0.0.1", w->settings.callers.port);
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  if (!g_socket_connect (s, a, NULL, NULL))
    g_clear_object (&s);
  else
    g_socket_set_timeout (s, PATIENCE_US / (1000 * 1000));
  g_object_unref (a);
  return s;
}

/* Connect, also while the task has not yet begun to listen. */
static GSocket *
client_open (const struct world *w)
{
  gint64 end = g_get_monotonic_time () + PATIENCE_US;
  GSocket *s = NULL;

  while (s == NULL && g_get_monotonic_time () < end)
    {
      s = try_connect (w);
      if (s == NULL)
        g_usleep (5000);
    }
  g_assert_nonnull (s);
  return s;
}

static void
world_open (struct world *w)
{
  memset (w, 0, sizeof *w);
  g_mutex_init (&w->lock);
  w->settings.node = (char *)"n1";
  w->settings.callers.address = (char *)"127.0.0.1";
  w->settings.callers.port = free_port ();
  w->settings.max_body_bytes = 1000;
  w->settings.max_connections = 512;
  w->settings.header_timeout_ms = 300;
  w->settings.idle_timeout_ms = 5000;
  w->settings.connections_per_worker = 2;
  w->counters = counters_new ();
  w->core = task_new ("core", &core_functions, w);
  w->callers = callers_new (&w->settings, 1, w->counters, w->core);
  task_start (w->core);
  task_start (callers_task (w->callers));
}

static void
world_close (struct world *w)
{
  callers_destroy (w->callers);
  task_destroy (w->core);
  message_destroy (w->last);
  counters_destroy (w->counters);
  g_mutex_clear (&w->lock);
}

static void
client_close (GSocket *s)
{
  g_socket_close (s, NULL);
  g_object_unref (s);
}

/* Read from S until PART has come, or the end. */
static bool
heard (GSocket *s, const char *part)
{
  GString *all = g_string_new (NULL);
  char piece[4096];
  gssize n = 1;
  bool found = false;

  while (n > 0 && !found)
    {
      n = g_socket_receive (s, piece, sizeof piece, NULL, NULL);
      if (n > 0)
        g_string_append_len (all, piece, n);
      found = strstr (all->str, part) != NULL;
    }
  if (!found)
    g_test_message ("heard only: %s", all->str);
  g_string_free (all, TRUE);
  return found;
}

/* Send TEXT on a fresh connection and expect PART in the answer. */
static void
expect (struct world *w, const char *text, const char *part)
{
  GSocket *s = client_open (w);

  g_socket_send (s, text, strlen (text), NULL, NULL);
  g_assert_true (heard (s, part));
  client_close (s);
}

static void
test_request_reaches_core (void)
{
  struct world w;
  const struct message_request *r;

  world_open (&w);
  expect (&w, WHOLE, "\"reason\":\"queue-full\"");
  g_mutex_lock (&w.lock);
  g_assert_cmpint (w.last->kind, ==, MESSAGE_REQUEST);
  r = &w.last->u.request;
  g_assert_cmpstr (r->service, ==, "search");
  g_assert_cmpstr (r->class_name, ==, "counter-lookup");
  g_assert_cmpstr (r->token, ==, "token");
  g_assert_cmpstr (r->key, ==, "k");
  g_assert_cmpint (r->timeout_ms, ==, 500);
  g_assert_cmpuint (r->body_bytes, ==, 2);
  g_mutex_unlock (&w.lock);
  expect (&w, WHOLE, "Retry-After: 2");
  world_close (&w);
}

static void
test_bad_requests (void)
{
  static const char *const texts[] = {
    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /v1/services/a/b HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /v1/services/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "POST /v1/services/a/b/c HTTP/1.1\r\nHost: a\r\nContent-Length: "
    "0\r\n\r\n",
    "PUT /v1/requests/k HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "GET /v1/requests/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: "
    "x\r\nContent-Length: 0\r\n\r\n",
    "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: "
    "0\r\nContent-Length: 0\r\n\r\n",
    "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: "
    "-5\r\nContent-Length: 0\r\n\r\n",
    "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: "
    "99999999999999999999\r\nContent-Length: 0\r\n\r\n",
  };
  struct world w;

  world_open (&w);
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    expect (&w, texts[i], "\"reason\":\"bad-request\"");
  g_assert_cmpuint (counters_get_reason (w.counters, REASON_BAD_REQUEST), ==,
                    G_N_ELEMENTS (texts));
  g_assert_cmpuint (w.requests + w.queries, ==, 0);
  world_close (&w);
}

static void
test_long_key (void)
{
  struct world w;
  char *key = g_strnfill (257, 'k');
  char *text = g_strdup_printf (
      "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nIdempotency-Key: "
      "%s\r\nContent-Length: 0\r\n\r\n",
      key);

  world_open (&w);
  expect (&w, text, "\"reason\":\"bad-request\"");
  g_assert_cmpuint (w.requests, ==, 0);
  g_free (text);
  g_free (key);
  world_close (&w);
}

/* A key is decoded once, slashes and all. */
static void
test_key_in_path (void)
{
  struct world w;

  world_open (&w);
  expect (&w, "GET /v1/requests/a%2Fb%2541%20c HTTP/1.1\r\nHost: a\r\n\r\n",
          "queue-full");
  g_mutex_lock (&w.lock);
  g_assert_cmpint (w.last->kind, ==, MESSAGE_QUERY);
  g_assert_cmpstr (w.last->u.query.subject, ==, "a/b%41 c");
  g_mutex_unlock (&w.lock);
  world_close (&w);
}

/* A caller that leaves while it waits frees its place. */
static void
test_caller_leaves (void)
{
  struct world w;
  GSocket *s;
  gint64 end = g_get_monotonic_time () + PATIENCE_US;
  guint abandoned = 0;

  world_open (&w);
  w.hold = true;
  s = client_open (&w);
  g_socket_send (s, WHOLE, strlen (WHOLE), NULL, NULL);
  g_usleep (100 * 1000);
  client_close (s);
  while (abandoned == 0 && g_get_monotonic_time () < end)
    {
      g_usleep (10 * 1000);
      g_mutex_lock (&w.lock);
      abandoned = w.abandoned;
      g_mutex_unlock (&w.lock);
    }
  g_assert_cmpuint (abandoned, ==, 1);
  g_assert_cmpuint (counters_get (w.counters, COUNTER_CALLERS_GONE), ==, 1);
  world_close (&w);
}

static GByteArray *
mutate (GRand *dice)
{
  static const char *const pieces[] = { "\r\n",
                                        "\r",
                                        "\n",
                                        ":",
                                        " ",
                                        "%",
                                        "%00",
                                        "/",
                                        "HTTP/9.9",
                                        "Content-Length: 5\r\n",
                                        "Transfer-Encoding: chunked\r\n",
                                        "Expect: 100-continue\r\n",
                                        "\xff",
                                        "Connection: close\r\n" };
  GByteArray *b = g_byte_array_new ();
  gint times = g_rand_int_range (dice, 1, 5);

  g_byte_array_append (b, (const guint8 *)WHOLE, strlen (WHOLE));
  for (gint i = 0; i < times && b->len > 0; i++)
    {
      guint at = (guint)g_rand_int_range (dice, 0, (gint32)b->len);
      const char *piece
          = pieces[g_rand_int_range (dice, 0, G_N_ELEMENTS (pieces))];
      GByteArray *next = g_byte_array_new ();
      guint skip = (guint)g_rand_int_range (dice, 0, 8);

      g_byte_array_append (next, b->data, at);
      g_byte_array_append (next, (const guint8 *)piece, (guint)strlen (piece));
      if (at + skip < b->len)
        g_byte_array_append (next, b->data + at + skip, b->len - at - skip);
      g_byte_array_unref (b);
      b = next;
    }
  return b;
}

static long
peak_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/* Whatever is sent, the next caller is served, and memory stays bounded. */
static void
test_fuzz (void)
{
  struct world w;
  GRand *dice = g_rand_new_with_seed (51);
  long before_kb;

  world_open (&w);
  expect (&w, WHOLE, "queue-full");
  before_kb = peak_kb ();
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      GByteArray *b = mutate (dice);
      GSocket *s = client_open (&w);
      char answer[4096];
      GError *error = NULL;

      g_socket_send (s, (const char *)b->data, b->len, NULL, NULL);
      g_socket_shutdown (s, FALSE, TRUE, NULL);
      /* The edge answers or ends each at once, whatever came. */
      g_socket_receive (s, answer, sizeof answer, NULL, &error);
      g_assert_false (
          g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT));
      g_clear_error (&error);
      client_close (s);
      g_byte_array_unref (b);
      if (i % 500 == 0)
        expect (&w, WHOLE, "queue-full");
    }
  expect (&w, WHOLE, "queue-full");
  g_assert_cmpint (peak_kb () - before_kb, <, GROWTH_MAX_KB);
  g_rand_free (dice);
  world_close (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/callers/request-reaches-core", test_request_reaches_core);
  g_test_add_func ("/callers/bad-requests", test_bad_requests);
  g_test_add_func ("/callers/long-key", test_long_key);
  g_test_add_func ("/callers/key-in-path", test_key_in_path);
  g_test_add_func ("/callers/caller-leaves", test_caller_leaves);
  g_test_add_func ("/callers/fuzz", test_fuzz);
  return g_test_run ();
}
