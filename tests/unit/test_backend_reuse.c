#include "backend.h"

#include <libsoup/soup.h>
#include <string.h>

/* Connections to a back end are kept and used again where that is safe. */

#define RUNS 20

struct world
{
  SoupServer *server;
  struct backend *backend;
  GHashTable *callers; /* ports that requests came from */
  uint16_t port;
  bool ended;
  enum run_result result;
};

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct world *w = data;
  GInetSocketAddress *a = G_INET_SOCKET_ADDRESS (
      soup_server_message_get_remote_address (message));

  g_hash_table_add (w->callers,
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
on_piece (void *data, GBytes *piece)
{
  backend_more (run);
}

static void
on_end (void *data, enum run_result result, guint status, int64_t run_ms)
{
  struct world *w = data;

  w->result = result;
  w->ended = true;
}

static const struct backend_functions functions
    = { on_begin, on_piece, on_end };

static void
run_once (struct world *w, bool idempotent)
{
  struct message_run order = { .address = (char *)"127.0.0.1",
                               .port = w->port,
                               .pool = (char *)"p",
                               .service = (char *)"s",
                               .class_name = (char *)"c",
                               .idempotent = idempotent,
                               .timeout_ms = 10000,
                               .send_by_ms = INT64_MAX,
                               .max_answer_bytes = 1000 };
  GBytes *body = g_bytes_new_static ("x", 1);

  w->ended = false;
  run = backend_start (w->backend, &order, "task", "text/plain", body,
                       &functions, w);
  while (!w->ended)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (w->result, ==, RUN_ANSWERED);
  g_bytes_unref (body);
}

/* Return how many connections RUNS runs in a row take. */
static guint
connections_of (bool idempotent)
{
  struct settings settings = { .connections_per_worker = 8 };
  struct world w = { .server = soup_server_new (NULL, NULL) };
  GSList *uris;
  guint n;

  w.callers = g_hash_table_new (NULL, NULL);
  w.backend = backend_new (&settings);
  soup_server_add_handler (w.server, NULL, on_request, &w, NULL);
  g_assert_true (soup_server_listen_local (
      w.server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (w.server);
  w.port = (uint16_t)g_uri_get_port (uris->data);
  for (int i = 0; i < RUNS; i++)
    run_once (&w, idempotent);
  n = g_hash_table_size (w.callers);
  backend_destroy (w.backend);
  g_object_unref (w.server);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  g_hash_table_unref (w.callers);
  return n;
}

static void
test_idempotent (void)
{
  g_assert_cmpuint (connections_of (true), ==, 1);
}

/* One that may run only once goes out on a connection of its own. */
static void
test_not_idempotent (void)
{
  g_assert_cmpuint (connections_of (false), ==, RUNS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backend-reuse/idempotent", test_idempotent);
  g_test_add_func ("/backend-reuse/not-idempotent", test_not_idempotent);
  return g_test_run ();
}
