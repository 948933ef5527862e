#include "callers.h"

#include <gio/gio.h>
#include <string.h>
#include <sys/resource.h>

/* Runs the callers task with a test core that refuses every request, and
   checks what reaches the core from valid, invalid and mutated HTTP. */

#define TIMEOUT_US (10 * 1000 * 1000)
#define FUZZ_ROUNDS 2000
#define MAX_MEMORY_GROWTH_KB (64 * 1024)
#define VALID_REQUEST                                                         \
  "POST /v1/services/search/counter-lookup HTTP/1.1\r\nHost: a\r\n"           \
  "Authorization: Bearer token\r\nIdempotency-Key: k\r\n"                     \
  "Request-Timeout-Ms: 500\r\nContent-Length: 2\r\n\r\nhi"

struct fixture
{
  struct settings settings;
  struct counters *counters;
  struct task *core;
  struct callers *callers;
  GMutex lock;
  struct message *last; /* the last request or query that reached the core */
  guint requests;
  guint queries;
  bool is_holding; /* the core answers nothing */
  guint abandoned;
};

static void
core_do_nothing (void *data)
{
}

static void
core_refuse (struct fixture *f, uint64_t number)
{
  struct message *m = message_new (MESSAGE_REFUSE);

  m->u.refuse.request = number;
  m->u.refuse.reason = REASON_QUEUE_FULL;
  m->u.refuse.retry_after_ms = 1500;
  task_post (callers_task (f->callers), m);
}

static void
core_handle (void *data, struct message *m)
{
  struct fixture *f = data;

  g_mutex_lock (&f->lock);
  if (m->kind == MESSAGE_ABANDON)
    f->abandoned++;
  else if (m->kind == MESSAGE_REQUEST || m->kind == MESSAGE_QUERY)
    {
      bool is_request = m->kind == MESSAGE_REQUEST;

      f->requests += is_request;
      f->queries += !is_request;
      if (!f->is_holding)
        core_refuse (f, is_request ? m->u.request.request : m->u.query.query);
      message_destroy (f->last);
      f->last = g_steal_pointer (&m);
    }
  g_mutex_unlock (&f->lock);
  if (m != NULL)
    message_destroy (m);
}

static const struct task_functions core_functions
    = { core_do_nothing, core_handle, core_do_nothing };

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
try_connect (const struct fixture *f)
{
  GSocketAddress *a = g_inet_socket_address_new_from_string (
      "127.0.0.1", f->settings.callers.port);
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  if (!g_socket_connect (s, a, NULL, NULL))
    g_clear_object (&s);
  else
    g_socket_set_timeout (s, TIMEOUT_US / (1000 * 1000));
  g_object_unref (a);
  return s;
}

/* Connect; retries until the task listens. */
static GSocket *
client_open (const struct fixture *f)
{
  gint64 end = g_get_monotonic_time () + TIMEOUT_US;
  GSocket *s = NULL;

  while (s == NULL && g_get_monotonic_time () < end)
    {
      s = try_connect (f);
      if (s == NULL)
        g_usleep (5000);
    }
  g_assert_nonnull (s);
  return s;
}

static void
fixture_open (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  g_mutex_init (&f->lock);
  f->settings.node = (char *)"n1";
  f->settings.callers.address = (char *)"127.0.0.1";
  f->settings.callers.port = free_port ();
  f->settings.max_body_bytes = 1000;
  f->settings.max_connections = 512;
  f->settings.header_timeout_ms = 300;
  f->settings.idle_timeout_ms = 5000;
  f->settings.connections_per_worker = 2;
  f->counters = counters_new ();
  f->core = task_new ("core", &core_functions, f);
  f->callers = callers_new (&f->settings, 1, f->counters, f->core);
  task_start (f->core);
  task_start (callers_task (f->callers));
}

static void
fixture_close (struct fixture *f)
{
  callers_destroy (f->callers);
  task_destroy (f->core);
  message_destroy (f->last);
  counters_destroy (f->counters);
  g_mutex_clear (&f->lock);
}

static void
client_close (GSocket *s)
{
  g_socket_close (s, NULL);
  g_object_unref (s);
}

/* Read from S until PART or the end of the stream arrives.  Return whether
   PART did. */
static bool
receive_until (GSocket *s, const char *part)
{
  GString *all = g_string_new (NULL);
  char buffer[4096];
  gssize n = 1;
  bool found = false;

  while (n > 0 && !found)
    {
      n = g_socket_receive (s, buffer, sizeof buffer, NULL, NULL);
      if (n > 0)
        g_string_append_len (all, buffer, n);
      found = strstr (all->str, part) != NULL;
    }
  if (!found)
    g_test_message ("received only: %s", all->str);
  g_string_free (all, TRUE);
  return found;
}

/* Send TEXT on a new connection and assert that the answer contains PART. */
static void
assert_answer (struct fixture *f, const char *text, const char *part)
{
  GSocket *s = client_open (f);

  g_socket_send (s, text, strlen (text), NULL, NULL);
  g_assert_true (receive_until (s, part));
  client_close (s);
}

static void
test_request_reaches_core (void)
{
  struct fixture f;
  const struct message_request *r;

  fixture_open (&f);
  assert_answer (&f, VALID_REQUEST, "\"reason\":\"queue-full\"");
  g_mutex_lock (&f.lock);
  g_assert_cmpint (f.last->kind, ==, MESSAGE_REQUEST);
  r = &f.last->u.request;
  g_assert_cmpstr (r->service, ==, "search");
  g_assert_cmpstr (r->class_name, ==, "counter-lookup");
  g_assert_cmpstr (r->token, ==, "token");
  g_assert_cmpstr (r->key, ==, "k");
  g_assert_cmpint (r->timeout_ms, ==, 500);
  g_assert_cmpuint (r->body_bytes, ==, 2);
  g_mutex_unlock (&f.lock);
  assert_answer (&f, VALID_REQUEST, "Retry-After: 2");
  fixture_close (&f);
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
  struct fixture f;

  fixture_open (&f);
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_answer (&f, texts[i], "\"reason\":\"bad-request\"");
  g_assert_cmpuint (counters_get_reason (f.counters, REASON_BAD_REQUEST), ==,
                    G_N_ELEMENTS (texts));
  g_assert_cmpuint (f.requests + f.queries, ==, 0);
  fixture_close (&f);
}

static void
test_long_key (void)
{
  struct fixture f;
  char *key = g_strnfill (257, 'k');
  char *text = g_strdup_printf (
      "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nIdempotency-Key: "
      "%s\r\nContent-Length: 0\r\n\r\n",
      key);

  fixture_open (&f);
  assert_answer (&f, text, "\"reason\":\"bad-request\"");
  g_assert_cmpuint (f.requests, ==, 0);
  g_free (text);
  g_free (key);
  fixture_close (&f);
}

/* A key in a path is percent-decoded once and may contain slashes. */
static void
test_key_in_path (void)
{
  struct fixture f;

  fixture_open (&f);
  assert_answer (&f,
                 "GET /v1/requests/a%2Fb%2541%20c HTTP/1.1\r\nHost: a\r\n\r\n",
                 "queue-full");
  g_mutex_lock (&f.lock);
  g_assert_cmpint (f.last->kind, ==, MESSAGE_QUERY);
  g_assert_cmpstr (f.last->u.query.subject, ==, "a/b%41 c");
  g_mutex_unlock (&f.lock);
  fixture_close (&f);
}

/* The request of a caller that disconnects while it waits is abandoned. */
static void
test_caller_disconnects (void)
{
  struct fixture f;
  GSocket *s;
  gint64 end = g_get_monotonic_time () + TIMEOUT_US;
  guint abandoned = 0;

  fixture_open (&f);
  f.is_holding = true;
  s = client_open (&f);
  g_socket_send (s, VALID_REQUEST, strlen (VALID_REQUEST), NULL, NULL);
  g_usleep (100 * 1000);
  client_close (s);
  while (abandoned == 0 && g_get_monotonic_time () < end)
    {
      g_usleep (10 * 1000);
      g_mutex_lock (&f.lock);
      abandoned = f.abandoned;
      g_mutex_unlock (&f.lock);
    }
  g_assert_cmpuint (abandoned, ==, 1);
  g_assert_cmpuint (counters_get (f.counters, COUNTER_CALLERS_GONE), ==, 1);
  fixture_close (&f);
}

static GByteArray *
mutate (GRand *random)
{
  static const char *const insertions[] = { "\r\n",
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
  gint n_mutations = g_rand_int_range (random, 1, 5);

  g_byte_array_append (b, (const guint8 *)VALID_REQUEST,
                       strlen (VALID_REQUEST));
  for (gint i = 0; i < n_mutations && b->len > 0; i++)
    {
      guint at = (guint)g_rand_int_range (random, 0, (gint32)b->len);
      const char *insertion = insertions[g_rand_int_range (
          random, 0, G_N_ELEMENTS (insertions))];
      GByteArray *mutated = g_byte_array_new ();
      guint n_removed = (guint)g_rand_int_range (random, 0, 8);

      g_byte_array_append (mutated, b->data, at);
      g_byte_array_append (mutated, (const guint8 *)insertion,
                           (guint)strlen (insertion));
      if (at + n_removed < b->len)
        g_byte_array_append (mutated, b->data + at + n_removed,
                             b->len - at - n_removed);
      g_byte_array_unref (b);
      b = mutated;
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

/* No mutated request keeps the next caller from being served or makes memory
   grow without bound. */
static void
test_fuzz (void)
{
  struct fixture f;
  GRand *random = g_rand_new_with_seed (51);
  long before_kb;

  fixture_open (&f);
  assert_answer (&f, VALID_REQUEST, "queue-full");
  before_kb = peak_kb ();
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      GByteArray *b = mutate (random);
      GSocket *s = client_open (&f);
      char answer[4096];
      GError *error = NULL;

      g_socket_send (s, (const char *)b->data, b->len, NULL, NULL);
      g_socket_shutdown (s, FALSE, TRUE, NULL);
      /* Any input is answered, or its connection closed, without a timeout. */
      g_socket_receive (s, answer, sizeof answer, NULL, &error);
      g_assert_false (
          g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT));
      g_clear_error (&error);
      client_close (s);
      g_byte_array_unref (b);
      if (i % 500 == 0)
        assert_answer (&f, VALID_REQUEST, "queue-full");
    }
  assert_answer (&f, VALID_REQUEST, "queue-full");
  g_assert_cmpint (peak_kb () - before_kb, <, MAX_MEMORY_GROWTH_KB);
  g_rand_free (random);
  fixture_close (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/callers/request-reaches-core", test_request_reaches_core);
  g_test_add_func ("/callers/bad-requests", test_bad_requests);
  g_test_add_func ("/callers/long-key", test_long_key);
  g_test_add_func ("/callers/key-in-path", test_key_in_path);
  g_test_add_func ("/callers/caller-disconnects", test_caller_disconnects);
  g_test_add_func ("/callers/fuzz", test_fuzz);
  return g_test_run ();
}
