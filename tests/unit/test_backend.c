#include "backend.h"

#include <gio/gio.h>
#include <glib.h>

/* A run whose send deadline has passed must not reach the back end, and must
   end as one that was not sent. */

struct run_record
{
  GMainLoop *loop;
  int requests; /* that reached the back end */
  enum run_result result;
};

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  ((struct run_record *)data)->requests++;
  soup_server_message_set_status (message, 200, NULL);
}

static void
on_begin (void *data, guint status, SoupMessageHeaders *headers,
          goffset length)
{
}

static void
on_chunk (void *data, GBytes *chunk)
{
}

static void
on_end (void *data, enum run_result result, guint status, int64_t run_ms)
{
  struct run_record *s = data;

  s->result = result;
  g_main_loop_quit (s->loop);
}

static struct run_record
run_with (int64_t send_by_ms)
{
  static const struct backend_functions functions
      = { on_begin, on_chunk, on_end };
  struct settings settings = { .connections_per_worker = 4 };
  struct run_record s = { g_main_loop_new (NULL, FALSE), 0, RUN_RESULT_COUNT };
  SoupServer *server = soup_server_new (NULL, NULL);
  struct message_run order = { .request = 1,
                               .attempt = 1,
                               .vm = "vm-1",
                               .address = "127.0.0.1",
                               .pool = "p",
                               .service = "s",
                               .class_name = "c",
                               .timeout_ms = 5000,
                               .send_by_ms = send_by_ms,
                               .max_answer_bytes = 1000 };
  struct backend *b = backend_new (&settings);
  GBytes *body = g_bytes_new_static ("x", 1);
  GSList *uris;

  soup_server_add_handler (server, NULL, on_request, &s, NULL);
  g_assert_true (soup_server_listen_local (
      server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (server);
  order.port = (uint16_t)g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  backend_start (b, &order, "t", "text/plain", body, &functions, &s);
  g_main_loop_run (s.loop);
  backend_destroy (b);
  g_bytes_unref (body);
  g_object_unref (server);
  g_main_loop_unref (s.loop);
  return s;
}

static void
test_in_time (void)
{
  struct run_record s = run_with (g_get_monotonic_time () / 1000 + 5000);

  g_assert_cmpint (s.requests, ==, 1);
  g_assert_cmpint (s.result, ==, RUN_ANSWERED);
}

static void
test_too_late (void)
{
  struct run_record s = run_with (g_get_monotonic_time () / 1000 - 1);

  g_assert_cmpint (s.requests, ==, 0);
  g_assert_cmpint (s.result, ==, RUN_NOT_SENT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backend/in-time", test_in_time);
  g_test_add_func ("/backend/too-late", test_too_late);
  return g_test_run ();
}
