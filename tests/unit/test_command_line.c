#include <gio/gio.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <string.h>

/* The command line as a new user would type it, wrong input included.  A
   small server in this process stands for a node. */

#define ARGUMENTS_MAX 12

static SoupServer *server;
static char *node; /* ADDRESS:PORT of SERVER */
static char *binary;
static char *last_request; /* METHOD PATH?QUERY */

static const char status_text[]
    = "{\"offset\":7,\"configuration\":3,\"node\":\"n1\",\"targets\":["
      "{\"target\":\"a/b\",\"state\":\"does not hold\",\"cause\":\"why\","
      "\"remedy\":\"what\"}],\"waves\":[{\"name\":\"w\",\"vms\":4,\"done\":1,"
      "\"paused_because\":\"\"}]}";

static void
answer (SoupServerMessage *message, guint status, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, text, strlen (text));
}

static void
on_request (SoupServer *s, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  GUri *uri = soup_server_message_get_uri (message);
  const char *token = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "Authorization");

  g_free (last_request);
  last_request = g_strdup_printf (
      "%s %s?%s", soup_server_message_get_method (message),
      g_uri_get_path (uri),
      g_uri_get_query (uri) != NULL ? g_uri_get_query (uri) : "");
  if (g_strcmp0 (token, "Bearer good") != 0)
    answer (message, 401, "{\"problem\":\"no token\",\"remedy\":\"send it\"}");
  else if (strcmp (path, "/admin/v1/status") == 0
           || strcmp (path, "/admin/v1/maintenance") == 0)
    answer (message, 200, status_text);
  else if (strcmp (path, "/admin/v1/counters") == 0)
    answer (message, 200, "{\"requests\":1}");
  else if (strcmp (path, "/metrics") == 0)
    answer (message, 200, "requests 1\n");
  else
    answer (message, 400, "{\"reason\":\"bad-request\"}");
}

struct result
{
  int status;
  char *out;
  char *err;
};

static void
on_exit_seen (GObject *source, GAsyncResult *async, gpointer data)
{
  struct result *r = data;

  g_subprocess_communicate_utf8_finish (G_SUBPROCESS (source), async, &r->out,
                                        &r->err, NULL);
  r->status = g_subprocess_get_exit_status (G_SUBPROCESS (source));
}

/* Run the program with the words of LINE. */
static struct result
run (const char *line)
{
  struct result r = { -1, NULL, NULL };
  char **words = g_strsplit (line, " ", ARGUMENTS_MAX);
  GPtrArray *argv = g_ptr_array_new ();
  GError *error = NULL;
  GSubprocess *p;

  g_ptr_array_add (argv, binary);
  for (char **w = words; *w != NULL; w++)
    if (**w != '\0')
      g_ptr_array_add (argv, *w);
  g_ptr_array_add (argv, NULL);
  p = g_subprocess_newv (
      (const char *const *)argv->pdata,
      G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE, &error);
  g_assert_no_error (error);
  g_subprocess_communicate_utf8_async (p, NULL, NULL, on_exit_seen, &r);
  while (r.status < 0)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (p);
  g_ptr_array_unref (argv);
  g_strfreev (words);
  return r;
}

/* Run LINE and expect STATUS, and PART in what it prints anywhere. */
static void
expect (const char *line, int status, const char *part)
{
  struct result r = run (line);

  if (r.status != status
      || (strstr (r.out, part) == NULL && strstr (r.err, part) == NULL))
    g_test_message ("%s: exit %d\n%s%s", line, r.status, r.out, r.err);
  g_assert_cmpint (r.status, ==, status);
  g_assert_true (strstr (r.out, part) != NULL || strstr (r.err, part) != NULL);
  g_free (r.out);
  g_free (r.err);
}

static void
expect_at_node (const char *line, int status, const char *part)
{
  char *whole = g_strdup_printf ("--node %s --token good %s", node, line);

  expect (whole, status, part);
  g_free (whole);
}

static void
test_usage (void)
{
  expect ("--help", 0, "maintain --cancel NAME");
  expect ("--version", 0, "burdockshed ");
  expect ("", 2, "no command given");
  expect ("frob", 2, "no such command");
  expect ("--frob", 2, "unrecognized option");
  expect ("status", 2, "name a node");
  expect ("--node 127.0.0.1:1 status", 2, "give its token");
  expect ("--node nonsense --token t status", 2, "not an address and a port");
  expect ("--node localhost:80 --token t status", 2,
          "not an address and a port");
  expect ("--node 127.0.0.1 --token t status", 2, "not an address and a port");
  expect ("serve", 2, "serve needs --settings FILE");
  expect ("check", 2, "check needs a FILE");
}

static void
test_arguments (void)
{
  expect_at_node ("publish", 2, "publish needs a FILE");
  expect_at_node ("maintain", 2, "maintain needs a FILE");
  expect_at_node ("maintain --cancel", 2, "maintain needs a FILE");
  expect_at_node ("explain", 2, "explain needs");
  expect_at_node ("status extra", 2, "takes no FILE");
  expect_at_node ("status extra more", 2, "Too many arguments");
  expect_at_node ("publish f --wait-ms abc", 2, "write a number");
  expect_at_node ("publish f --wait-ms -1", 2, "write a number");
  expect_at_node ("publish f --wait-ms 99999999999", 2, "write a number");
  expect_at_node ("publish f --base x", 2, "write a version");
  expect_at_node ("publish /nonexistent", 2, "name a file that can be read");
}

static void
test_check (void)
{
  expect ("check examples/kandy/settings.json", 0, "the settings are in");
  expect ("check examples/kandy/configuration.json", 0, "is in order");
  expect ("check examples/thessaly/configuration.json", 0, "is in order");
  expect ("check examples/kandy/maintenance.json", 0, "is in order");
  expect ("check /dev/null", 1, "is empty");
  expect ("check README.md", 1, "is not JSON");
  expect ("check /nonexistent", 2, "name a file that can be read");
}

static void
test_node_answers (void)
{
  expect_at_node ("status", 1, "does not hold\n    cause: why");
  expect_at_node ("status --json", 0, "{\"offset\":7");
  expect_at_node ("maintain --list", 0, "wave w: 1 of 4 VMs done");
  expect_at_node ("maintain --list --json", 0, "{\"offset\":7");
  expect_at_node ("counters", 0, "requests 1");
  expect_at_node ("counters --json", 0, "{\"requests\":1}");
  g_assert_cmpstr (last_request, ==, "GET /admin/v1/counters?");
  expect_at_node ("explain a/b", 1, "bad-request");
  g_assert_cmpstr (last_request, ==, "GET /admin/v1/explain/a/b?");
  /* What a name holds stays in the path, which libsoup decodes here. */
  expect_at_node ("maintain --cancel a/b?x", 1, "admin address");
  g_assert_cmpstr (last_request, ==, "DELETE /admin/v1/maintenance/a/b?x?");
  /* libsoup itself refuses such a path, without a body. */
  expect_at_node ("maintain --cancel a/../b", 1, "the node answered 400");
}

/* maintain --list shows intentions only. */
static void
test_list_is_short (void)
{
  char *line
      = g_strdup_printf ("--node %s --token good maintain --list", node);
  struct result r = run (line);

  g_assert_null (strstr (r.out, "does not hold"));
  g_free (line);
  g_free (r.out);
  g_free (r.err);
}

static void
test_wrong_token_and_no_node (void)
{
  char *line = g_strdup_printf ("--node %s --token bad status", node);

  expect (line, 1, "what to do: send it");
  expect ("--node 127.0.0.1:1 --token good status", 3, "try another node");
  g_free (line);
}

/* A node whose port is taken says so and ends as unreachable. */
static void
test_port_taken (void)
{
  char *path = g_build_filename (g_get_tmp_dir (), "shed-port-XXXXXX", NULL);
  int fd = g_mkstemp (path);
  char *text = g_strdup_printf (
      "{\"node\":\"n1\",\"zone\":\"z\",\"log_format\":\"json\","
      "\"callers\":{\"address\":\"127.0.0.1\",\"port\":%s},"
      "\"admin\":{\"address\":\"127.0.0.1\",\"port\":%s},"
      "\"peer\":{\"address\":\"127.0.0.1\",\"port\":%s},"
      "\"platform\":{\"address\":\"127.0.0.1\",\"port\":1},"
      "\"admin_token\":\"0123456789abcdef\","
      "\"peer_key\":\"0123456789abcdef\"}",
      strchr (node, ':') + 1, strchr (node, ':') + 1, strchr (node, ':') + 1);
  char *line = g_strdup_printf ("serve --settings %s", path);

  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  expect (line, 3, "choose a free port");
  g_unlink (path);
  g_free (line);
  g_free (text);
  g_free (path);
}

static void
set_up (void)
{
  char *self = g_file_read_link ("/proc/self/exe", NULL);
  char *directory = g_path_get_dirname (self);
  GSList *uris;

  binary = g_build_filename (directory, "..", "burdockshed", NULL);
  g_unsetenv ("BURDOCKSHED_NODE");
  g_unsetenv ("BURDOCKSHED_TOKEN");
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, on_request, NULL, NULL);
  g_assert_true (soup_server_listen_local (
      server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (server);
  node = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  g_free (directory);
  g_free (self);
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  set_up ();
  g_test_add_func ("/command-line/usage", test_usage);
  g_test_add_func ("/command-line/arguments", test_arguments);
  g_test_add_func ("/command-line/check", test_check);
  g_test_add_func ("/command-line/node-answers", test_node_answers);
  g_test_add_func ("/command-line/list-is-short", test_list_is_short);
  g_test_add_func ("/command-line/wrong-token-and-no-node",
                   test_wrong_token_and_no_node);
  g_test_add_func ("/command-line/port-taken", test_port_taken);
  status = g_test_run ();
  g_object_unref (server);
  g_free (node);
  g_free (binary);
  g_free (last_request);
  return status;
}
