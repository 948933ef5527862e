#include "backend.h"

#include <libsoup/soup.h>
#include <string.h>

/* Connections to a back end are reused for idempotent runs only, and a run
   ends even while nobody reads its answer. */

#define RUNS 20

struct fixture
{
  SoupServer *server;
  struct backend *backend;
  GHashTable *source_ports; /* source ports of the requests */
  uint16_t port;
  bool has_ended;
  bool stops_reading; /* don't read on after the first chunk */
  int n_chunks;
  enum run_result result;
};

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct fixture *f = data;
  GInetSocketAddress *a = G_INET_SOCKET_ADDRESS (
      soup_server_message_get_remote_address (message));

  g_hash_table_add (f->source_ports,
                    GUINT_TO_POINTER (g_inet_socket_address_get_port (a)));
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_STATIC,
                                    "hi", 2);
}

static struct backend_run *run;

static void
on_begin (void *data, guint status, SoupMessageHeaders *headers,
          goffset length)
{
}

static void
on_chunk (void *data, GBytes *chunk)
{
  struct fixture *f = data;

  f->n_chunks++;
  if (!f->stops_reading)
    backend_read_next (run);
}

static void
on_end (void *data, enum run_result result, guint status, int64_t run_ms)
{
  struct fixture *f = data;

  f->result = result;
  f->has_ended = true;
}

static const struct backend_functions functions
    = { on_begin, on_chunk, on_end };

static void
run_once (struct fixture *f, bool idempotent)
{
  struct message_run order = { .address = (char *)"127.0.0.1",
                               .port = f->port,
                               .pool = (char *)"p",
                               .service = (char *)"s",
                               .class_name = (char *)"c",
                               .idempotent = idempotent,
                               .timeout_ms = 10000,
                               .send_by_ms = INT64_MAX,
                               .max_answer_bytes = 1000 };
  GBytes *body = g_bytes_new_static ("x", 1);

  f->has_ended = false;
  run = backend_start (f->backend, &order, "task", "text/plain", body,
                       &functions, f);
  while (!f->has_ended)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (f->result, ==, RUN_ANSWERED);
  g_bytes_unref (body);
}

/* Return how many connections RUNS consecutive runs use. */
static guint
count_connections (bool idempotent)
{
  struct settings settings = { .connections_per_worker = 8 };
  struct fixture f = { .server = soup_server_new (NULL, NULL) };
  GSList *uris;
  guint n;

  f.source_ports = g_hash_table_new (NULL, NULL);
  f.backend = backend_new (&settings);
  soup_server_add_handler (f.server, NULL, on_request, &f, NULL);
  g_assert_true (soup_server_listen_local (
      f.server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (f.server);
  f.port = (uint16_t)g_uri_get_port (uris->data);
  for (int i = 0; i < RUNS; i++)
    run_once (&f, idempotent);
  n = g_hash_table_size (f.source_ports);
  backend_destroy (f.backend);
  g_object_unref (f.server);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  g_hash_table_unref (f.source_ports);
  return n;
}

static void
test_idempotent (void)
{
  g_assert_cmpuint (count_connections (true), ==, 1);
}

/* Each run that is not idempotent uses a new connection. */
static void
test_not_idempotent (void)
{
  g_assert_cmpuint (count_connections (false), ==, RUNS);
}

/* A run that is abandoned or times out while no read of its answer is in
   progress must end with the result WANTED, so that its slot is released. */
static void
check_end_between_chunks (int64_t timeout_ms, bool abandon,
                          enum run_result wanted)
{
  struct settings settings = { .connections_per_worker = 8 };
  struct fixture f
      = { .server = soup_server_new (NULL, NULL), .stops_reading = true };
  struct message_run order = { .address = (char *)"127.0.0.1",
                               .pool = (char *)"p",
                               .service = (char *)"s",
                               .class_name = (char *)"c",
                               .idempotent = true,
                               .timeout_ms = timeout_ms,
                               .send_by_ms = INT64_MAX,
                               .max_answer_bytes = 1000 };
  GBytes *body = g_bytes_new_static ("x", 1);
  GSList *uris;

  f.source_ports = g_hash_table_new (NULL, NULL);
  f.backend = backend_new (&settings);
  soup_server_add_handler (f.server, NULL, on_request, &f, NULL);
  g_assert_true (soup_server_listen_local (
      f.server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (f.server);
  order.port = (uint16_t)g_uri_get_port (uris->data);
  run = backend_start (f.backend, &order, "task", "text/plain", body,
                       &functions, &f);
  while (f.n_chunks == 0)
    g_main_context_iteration (NULL, TRUE);
  if (abandon)
    backend_abandon (run);
  for (int i = 0; i < 5000 && !f.has_ended; i++)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  g_assert_true (f.has_ended);
  g_assert_cmpint (f.result, ==, wanted);
  backend_destroy (f.backend);
  g_object_unref (f.server);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  g_hash_table_unref (f.source_ports);
  g_bytes_unref (body);
}

static void
test_abandoned_between_chunks (void)
{
  check_end_between_chunks (60000, true, RUN_ABANDONED);
}

static void
test_timed_out_between_chunks (void)
{
  check_end_between_chunks (500, false, RUN_TIMED_OUT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backend-reuse/idempotent", test_idempotent);
  g_test_add_func ("/backend-reuse/not-idempotent", test_not_idempotent);
  g_test_add_func ("/backend-reuse/abandoned-between-chunks",
                   test_abandoned_between_chunks);
  g_test_add_func ("/backend-reuse/timed-out-between-chunks",
                   test_timed_out_between_chunks);
  return g_test_run ();
}
