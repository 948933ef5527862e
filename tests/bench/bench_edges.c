#include "edges_load.h"

#include <gio/gio.h>
#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>

/* Measures the latency and throughput cost of a node between callers and a
   back end.  The same load runs against the back end directly, through a
   plain libsoup proxy ("pass-through"), and through a node.  This process
   also serves the platform that the node needs: a log and a list of one
   VM. */

#define BACK_END_CONNECTIONS 64
#define BACKLOG 1024
#define WARM_UP_MS 500
#define MEASURE_MS 2000
#define WAITING_REQUESTS 1000
#define READY_WAIT_MS 10000
#define TOKEN "trade-unions-example-token"
#define BODY "{\"id\":\"b\"}"
#define ANSWER "{\"found\":\"a clerk's answer of some length, as text\"}"

static const guint connection_counts[] = { 1, 16, 64, 256, 1000 };

/* The back end: answers at once, but leaves requests to /hold unanswered. */

static void
on_back_end_request (SoupServer *server, SoupServerMessage *message,
                     const char *path, GHashTable *query, gpointer data)
{
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_STATIC, ANSWER,
                                    strlen (ANSWER));
  if (g_str_has_suffix (path, "/hold"))
    soup_server_message_pause (message);
}

/* The pass-through proxy, the baseline for the node. */

struct pass_through
{
  SoupSession *session;
  char *uri;
};

static void
on_pass_through_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  SoupServerMessage *message = data;
  GBytes *answer = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                      result, NULL);

  soup_server_message_set_status (message, answer != NULL ? 200 : 502, NULL);
  if (answer != NULL)
    {
      gsize size;
      const char *bytes = g_bytes_get_data (answer, &size);

      soup_server_message_set_response (message, "application/json",
                                        SOUP_MEMORY_COPY, bytes, size);
      g_bytes_unref (answer);
    }
  soup_server_message_unpause (message);
  g_object_unref (message);
}

static void
on_pass_through_request (SoupServer *server, SoupServerMessage *message,
                         const char *path, GHashTable *query, gpointer data)
{
  const struct pass_through *p = data;
  SoupMessage *m = soup_message_new ("POST", p->uri);
  GBytes *body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));

  soup_message_set_request_body_from_bytes (m, "application/json", body);
  /* libsoup reuses connections only for requests marked idempotent. */
  soup_message_add_flags (m, SOUP_MESSAGE_IDEMPOTENT);
  soup_server_message_pause (message);
  soup_session_send_and_read_async (p->session, m, G_PRIORITY_DEFAULT, NULL,
                                    on_pass_through_answer,
                                    g_object_ref (message));
  g_bytes_unref (body);
  g_object_unref (m);
}

/* Serve CALLBACK on PORT until the process is killed.  The back end and the
   proxy each run as a process of their own. */
static int
serve_role (uint16_t port, SoupServerCallback callback, gpointer data)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  GSocketAddress *a
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  soup_server_add_handler (server, NULL, callback, data, NULL);
  g_socket_set_listen_backlog (s, BACKLOG);
  if (!g_socket_bind (s, a, TRUE, NULL) || !g_socket_listen (s, NULL)
      || !soup_server_listen_socket (server, s, 0, NULL))
    g_error ("the bench can't listen on port %u", port);
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}

static int
serve_pass_through (uint16_t port, uint16_t target)
{
  struct pass_through p;

  p.session = soup_session_new_with_options (
      "max-conns", 10000, "max-conns-per-host", BACK_END_CONNECTIONS,
      "proxy-resolver", NULL, NULL);
  p.uri = g_strdup_printf ("http://127.0.0.1:%u/run/search/lookup", target);
  return serve_role (port, on_pass_through_request, &p);
}

/* The platform. */

struct bench
{
  char *self;
  char *directory;
  GPtrArray *records; /* JSON texts; offsets count from 1 */
  GPtrArray *readers; /* SoupServerMessage * that wait for a record */
  uint16_t platform_port;
  uint16_t back_end_port;
  uint16_t pass_port;
  uint16_t callers_port;
  uint16_t admin_port;
  GPtrArray *processes;
  GSubprocess *node;
};

static void
answer_log (const struct bench *b, SoupServerMessage *message, guint64 after)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"first\":1,\"head\":%u,\"records\":[",
                   b->records->len);
  for (guint i = (guint)after; i < b->records->len; i++)
    g_string_append_printf (text, "%s{\"offset\":%u,\"at_ms\":%u,\"data\":%s}",
                            i > after ? "," : "", i + 1, i + 1,
                            (char *)g_ptr_array_index (b->records, i));
  g_string_append (text, "]}");
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, text->str, text->len);
  g_string_free (text, TRUE);
}

static guint64
query_number (SoupServerMessage *message, const char *name)
{
  const char *query = g_uri_get_query (soup_server_message_get_uri (message));
  GHashTable *t
      = query == NULL ? NULL : g_uri_parse_params (query, -1, "&", 0, NULL);
  const char *value = t == NULL ? NULL : g_hash_table_lookup (t, name);
  guint64 number = value == NULL ? 0 : g_ascii_strtoull (value, NULL, 10);

  if (t != NULL)
    g_hash_table_unref (t);
  return number;
}

struct delayed_read
{
  struct bench *bench;
  SoupServerMessage *message;
};

static gboolean
on_read_timeout (gpointer data)
{
  struct delayed_read *w = data;

  answer_log (w->bench, w->message, query_number (w->message, "after"));
  soup_server_message_unpause (w->message);
  g_object_unref (w->message);
  g_free (w);
  return G_SOURCE_REMOVE;
}

static void
append_records (struct bench *b, SoupServerMessage *message)
{
  GBytes *body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  gsize size;
  const char *text = g_bytes_get_data (body, &size);
  char *copy = g_strndup (text, size);
  JsonNode *root = json_from_string (copy, NULL);
  JsonArray *records
      = json_object_get_array_member (json_node_get_object (root), "records");

  for (guint i = 0; i < json_array_get_length (records); i++)
    g_ptr_array_add (
        b->records,
        json_to_string (json_array_get_element (records, i), FALSE));
  json_node_unref (root);
  g_free (copy);
  g_bytes_unref (body);
  soup_server_message_set_status (message, 200, NULL);
}

static void
read_log (struct bench *b, SoupServerMessage *message)
{
  guint64 after = query_number (message, "after");
  struct delayed_read *w;

  if (after < b->records->len)
    {
      answer_log (b, message, after);
      return;
    }
  w = g_new0 (struct delayed_read, 1);
  w->bench = b;
  w->message = g_object_ref (message);
  soup_server_message_pause (message);
  g_timeout_add (MIN ((guint)query_number (message, "wait_ms"), 200),
                 on_read_timeout, w);
}

static void
on_platform_request (SoupServer *server, SoupServerMessage *message,
                     const char *path, GHashTable *query, gpointer data)
{
  struct bench *b = data;
  char *vms;

  if (strcmp (path, "/vms") == 0)
    {
      vms = g_strdup_printf (
          "{\"vms\":[{\"vm\":\"vm-1\",\"address\":\"127.0.0.1\",\"port\":%u,"
          "\"zone\":\"z\",\"rack\":\"r\",\"pool\":\"search\",\"slots\":64,"
          "\"running\":0,\"state\":\"live\"}]}",
          b->back_end_port);
      soup_server_message_set_status (message, 200, NULL);
      soup_server_message_set_response (message, "application/json",
                                        SOUP_MEMORY_TAKE, vms, strlen (vms));
    }
  else if (strcmp (soup_server_message_get_method (message), "POST") == 0)
    append_records (b, message);
  else
    read_log (b, message);
}

/* Processes. */

static uint16_t
free_port (void)
{
  GSocketListener *l = g_socket_listener_new ();
  uint16_t port = g_socket_listener_add_any_inet_port (l, NULL, NULL);

  g_socket_listener_close (l);
  g_object_unref (l);
  return port;
}

static GSubprocess *
spawn (struct bench *b, const char *const *argv)
{
  GError *error = NULL;
  GSubprocess *p = g_subprocess_newv (argv, G_SUBPROCESS_FLAGS_NONE, &error);

  if (p == NULL)
    g_error ("%s", error->message);
  g_ptr_array_add (b->processes, p);
  return p;
}

static void
spawn_role (struct bench *b, const char *role, uint16_t port, uint16_t target)
{
  char *port_text = g_strdup_printf ("%u", port);
  char *target_text = g_strdup_printf ("%u", target);
  const char *argv[] = { b->self, role, port_text, target_text, NULL };

  spawn (b, argv);
  g_free (port_text);
  g_free (target_text);
}

static char *
write_file (const struct bench *b, const char *name, char *text)
{
  char *path = g_build_filename (b->directory, name, NULL);

  if (!g_file_set_contents (path, text, -1, NULL))
    g_error ("can't write %s", path);
  g_free (text);
  return path;
}

static char *
settings_text (const struct bench *b)
{
  return g_strdup_printf (
      "{\"node\":\"n1\",\"zone\":\"z\",\"callers\":{\"address\":"
      "\"127.0.0.1\",\"port\":%u},\"admin\":{\"address\":\"127.0.0.1\","
      "\"port\":%u},\"peer\":{\"address\":\"127.0.0.1\",\"port\":%u},"
      "\"platform\":{\"address\":\"127.0.0.1\",\"port\":%u},"
      "\"admin_token\":\"bench-admin-token\",\"peer_key\":"
      "\"bench-peer-key-0123456789\",\"limits\":{"
      "\"connections_per_worker\":%d},\"peers\":[]}",
      b->callers_port, b->admin_port, free_port (), b->platform_port,
      BACK_END_CONNECTIONS);
}

static char *
configuration_text (void)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, TOKEN, -1);
  char *text = g_strdup_printf (
      "{\"teams\":[{\"name\":\"t\",\"token_sha256\":\"%s\",\"quota_slots\":"
      "4096}],\"pools\":[{\"name\":\"search\",\"spare\":true,\"min_vms\":1}],"
      "\"services\":[{\"name\":\"search\",\"pool\":\"search\"}],\"classes\":["
      "{\"name\":\"lookup\",\"service\":\"search\",\"start_within_ms\":60000,"
      "\"survive\":\"none\",\"max_unavailable_percent\":25,\"idempotent\":"
      "true,\"max_request_bytes\":65536,\"expected_run_ms\":80},{\"name\":"
      "\"hold\",\"service\":\"search\",\"start_within_ms\":60000,\"survive\":"
      "\"none\",\"max_unavailable_percent\":25,\"idempotent\":true,"
      "\"max_request_bytes\":65536,\"expected_run_ms\":80}]}",
      hash);

  g_free (hash);
  return text;
}

static void
run_main_loop_ms (gint64 ms)
{
  gint64 end = g_get_monotonic_time () + ms * 1000;

  while (g_get_monotonic_time () < end)
    if (!g_main_context_iteration (NULL, FALSE))
      g_usleep (200);
}

static void
on_published (GObject *source, GAsyncResult *result, gpointer data)
{
  g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL);
  *(bool *)data = true;
}

static void
publish (struct bench *b, const char *binary)
{
  char *file = write_file (b, "configuration.json", configuration_text ());
  char *node = g_strdup_printf ("127.0.0.1:%u", b->admin_port);
  const char *argv[]
      = { binary,    "--node", node,        "--token", "bench-admin-token",
          "publish", file,     "--wait-ms", "5000",    NULL };
  GSubprocess *p = spawn (b, argv);
  bool done = false;

  g_subprocess_wait_async (p, NULL, on_published, &done);
  while (!done)
    run_main_loop_ms (10);
  if (g_subprocess_get_exit_status (p) != 0)
    g_error ("the configuration could not be published");
  g_free (node);
  g_free (file);
}

static void
start_all (struct bench *b, const char *binary)
{
  SoupServer *platform = soup_server_new (NULL, NULL);
  GSocketAddress *a;
  char *settings;

  b->platform_port = free_port ();
  b->back_end_port = free_port ();
  b->pass_port = free_port ();
  b->callers_port = free_port ();
  b->admin_port = free_port ();
  a = g_inet_socket_address_new_from_string ("127.0.0.1", b->platform_port);
  soup_server_add_handler (platform, NULL, on_platform_request, b, NULL);
  if (!soup_server_listen (platform, a, 0, NULL))
    g_error ("the bench's platform can't listen");
  spawn_role (b, "back-end", b->back_end_port, 0);
  spawn_role (b, "pass-through", b->pass_port, b->back_end_port);
  settings = write_file (b, "settings.json", settings_text (b));
  const char *argv[] = { binary, "serve", "--settings", settings, NULL };
  b->node = spawn (b, argv);
  run_main_loop_ms (1500);
  publish (b, binary);
  run_main_loop_ms (2500); /* time for the VM to join the fleet */
}

/* Measuring. */

struct load_thread
{
  struct load_options options;
  struct load_result result;
  gint done;
};

static gpointer
run_load_thread (gpointer data)
{
  struct load_thread *j = data;

  j->result = load_run (&j->options);
  g_atomic_int_set (&j->done, 1);
  return NULL;
}

/* Run a load in a thread of its own while this thread serves the platform. */
static struct load_result
measure (uint16_t port, guint connections, const char *request)
{
  struct load_thread j = { .options = { .port = port,
                                        .connections = connections,
                                        .request = request,
                                        .warm_up_ms = WARM_UP_MS,
                                        .measure_ms = MEASURE_MS } };
  GThread *t = g_thread_new ("load", run_load_thread, &j);

  while (g_atomic_int_get (&j.done) == 0)
    run_main_loop_ms (5);
  g_thread_join (t);
  return j.result;
}

static char *
request_text (const char *path)
{
  return g_strdup_printf ("POST %s HTTP/1.1\r\nHost: bench\r\n"
                          "Authorization: Bearer " TOKEN "\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %d\r\n\r\n" BODY,
                          path, (int)strlen (BODY));
}

static void
print_row (const char *name, guint connections, const struct load_result *r)
{
  printf ("%-13s %5u %9.0f %9.2f %9.2f %6u %6u\n", name, connections,
          r->per_second, (double)r->p50_us / 1000, (double)r->p99_us / 1000,
          r->not_200, r->broken);
}

static void
compare_paths (const struct bench *b, guint connections)
{
  char *direct_request = request_text ("/run/search/lookup");
  char *node_request = request_text ("/v1/services/search/lookup");
  struct load_result direct
      = measure (b->back_end_port, connections, direct_request);
  struct load_result pass_through
      = measure (b->pass_port, connections, direct_request);
  struct load_result node
      = measure (b->callers_port, connections, node_request);

  print_row ("back end", connections, &direct);
  print_row ("pass-through", connections, &pass_through);
  print_row ("node", connections, &node);
  printf ("  node has %.0f%% of the pass-through's throughput; adds %.2f ms "
          "at p50, the pass-through %.2f ms: %.1f times\n",
          100 * node.per_second / pass_through.per_second,
          (double)(node.p50_us - direct.p50_us) / 1000,
          (double)(pass_through.p50_us - direct.p50_us) / 1000,
          (double)(node.p50_us - direct.p50_us)
              / (double)MAX (pass_through.p50_us - direct.p50_us, 1));
  fflush (stdout);
  g_free (direct_request);
  g_free (node_request);
}

static long
resident_kb (GSubprocess *p)
{
  char *path
      = g_strdup_printf ("/proc/%s/status", g_subprocess_get_identifier (p));
  char *text = NULL;
  long kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    kb = atol (strstr (text, "VmRSS:") + strlen ("VmRSS:"));
  g_free (text);
  g_free (path);
  return kb;
}

/* Print the node's memory per request in progress.  The bodies are a few
   bytes, so this is the fixed cost of a request. */
static void
measure_memory (struct bench *b)
{
  char *request = request_text ("/v1/services/search/hold");
  GSocketAddress *a
      = g_inet_socket_address_new_from_string ("127.0.0.1", b->callers_port);
  long before = resident_kb (b->node);
  GSocket *sockets[WAITING_REQUESTS];
  long after;

  for (int i = 0; i < WAITING_REQUESTS; i++)
    {
      sockets[i] = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, NULL);
      if (!g_socket_connect (sockets[i], a, NULL, NULL))
        g_error ("the bench can't connect to the node");
      g_socket_send (sockets[i], request, strlen (request), NULL, NULL);
    }
  run_main_loop_ms (1500);
  after = resident_kb (b->node);
  printf ("memory: %ld KB before, %ld KB with %d requests held: %.1f KB "
          "each\n",
          before, after, WAITING_REQUESTS,
          (double)(after - before) / WAITING_REQUESTS);
  for (int i = 0; i < WAITING_REQUESTS; i++)
    g_object_unref (sockets[i]);
  g_object_unref (a);
  g_free (request);
}

static void
raise_file_limit (void)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static int
bench (char *self, const char *binary)
{
  struct bench b = { .self = self };

  b.directory = g_dir_make_tmp ("bench-edges-XXXXXX", NULL);
  b.records = g_ptr_array_new_with_free_func (g_free);
  b.processes = g_ptr_array_new_with_free_func (g_object_unref);
  start_all (&b, binary);
  printf ("%-13s %5s %9s %9s %9s %6s %6s\n", "through", "conns", "per s",
          "p50 ms", "p99 ms", "not200", "broken");
  for (gsize i = 0; i < G_N_ELEMENTS (connection_counts); i++)
    compare_paths (&b, connection_counts[i]);
  run_main_loop_ms (1500);
  measure_memory (&b);
  for (guint i = 0; i < b.processes->len; i++)
    g_subprocess_force_exit (g_ptr_array_index (b.processes, i));
  return 0;
}

int
main (int argc, char **argv)
{
  /* Die with the parent, so that no back end or proxy outlives the bench. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  raise_file_limit ();
  if (argc == 4 && strcmp (argv[1], "back-end") == 0)
    return serve_role ((uint16_t)atoi (argv[2]), on_back_end_request, NULL);
  if (argc == 4 && strcmp (argv[1], "pass-through") == 0)
    return serve_pass_through ((uint16_t)atoi (argv[2]),
                               (uint16_t)atoi (argv[3]));
  if (argc == 2)
    return bench (argv[0], argv[1]);
  fprintf (stderr, "usage: bench_edges BURDOCKSHED\n");
  return 2;
}
