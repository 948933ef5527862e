#include <gio/gio.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <string.h>

/* Tests of the command line with valid and invalid input: exit status, output
   and the request that is sent.  An HTTP server in this process takes the part
   of the node. */

#define ARGUMENTS_MAX 12

static SoupServer *server;
static char *node;         /* ADDRESS:PORT of SERVER */
static char *binary;       /* path of the program */
static char *last_request; /* METHOD PATH?QUERY that SERVER got last */

static const char status_text[]
    = "{\"offset\":7,\"configuration\":3,\"node\":\"n1\",\"targets\":["
      "{\"target\":\"a/b\",\"state\":\"does not hold\",\"cause\":\"why\","
      "\"remedy\":\"what\"}],\"waves\":[{\"name\":\"w\",\"vms\":4,\"done\":1,"
      "\"paused_because\":\"\"}]}";

static void
send_answer (SoupServerMessage *message, guint status, const char *text)
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
    send_answer (message, 401,
                 "{\"problem\":\"no token\",\"remedy\":\"send it\"}");
  else if (strcmp (path, "/admin/v1/status") == 0
           || strcmp (path, "/admin/v1/maintenance") == 0)
    send_answer (message, 200, status_text);
  else if (strcmp (path, "/admin/v1/counters") == 0)
    send_answer (message, 200, "{\"requests\":1}");
  else if (strcmp (path, "/metrics") == 0)
    send_answer (message, 200, "requests 1\n");
  else
    send_answer (message, 400, "{\"reason\":\"bad-request\"}");
}

/* The exit status and the output of one run of the program. */
struct result
{
  int status;
  char *out;
  char *err;
};

static void
on_program_exit (GObject *source, GAsyncResult *async, gpointer data)
{
  struct result *r = data;

  g_subprocess_communicate_utf8_finish (G_SUBPROCESS (source), async, &r->out,
                                        &r->err, NULL);
  r->status = g_subprocess_get_exit_status (G_SUBPROCESS (source));
}

/* Run the program with the words of LINE as its arguments. */
static struct result
run_program (const char *line)
{
  struct result r = { -1, NULL, NULL };
  char **arguments = g_strsplit (line, " ", ARGUMENTS_MAX);
  GPtrArray *argv = g_ptr_array_new ();
  GError *error = NULL;
  GSubprocess *p;

  g_ptr_array_add (argv, binary);
  for (char **argument = arguments; *argument != NULL; argument++)
    if (**argument != '\0')
      g_ptr_array_add (argv, *argument);
  g_ptr_array_add (argv, NULL);
  p = g_subprocess_newv (
      (const char *const *)argv->pdata,
      G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE, &error);
  g_assert_no_error (error);
  g_subprocess_communicate_utf8_async (p, NULL, NULL, on_program_exit, &r);
  while (r.status < 0)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (p);
  g_ptr_array_unref (argv);
  g_strfreev (arguments);
  return r;
}

/* Run LINE and check that it exits with STATUS and prints PART on standard
   output or standard error. */
static void
assert_output (const char *line, int status, const char *part)
{
  struct result r = run_program (line);

  if (r.status != status
      || (strstr (r.out, part) == NULL && strstr (r.err, part) == NULL))
    g_test_message ("%s: exit %d\n%s%s", line, r.status, r.out, r.err);
  g_assert_cmpint (r.status, ==, status);
  g_assert_true (strstr (r.out, part) != NULL || strstr (r.err, part) != NULL);
  g_free (r.out);
  g_free (r.err);
}

/* Do the same with the options that name the node and its token. */
static void
assert_output_at_node (const char *line, int status, const char *part)
{
  char *full_line = g_strdup_printf ("--node %s --token good %s", node, line);

  assert_output (full_line, status, part);
  g_free (full_line);
}

static void
test_usage (void)
{
  assert_output ("--help", 0, "maintain --cancel NAME");
  assert_output ("--version", 0, "burdockshed ");
  assert_output ("", 2, "no command given");
  assert_output ("frob", 2, "no such command");
  assert_output ("--frob", 2, "unrecognized option");
  assert_output ("status", 2, "name a node");
  assert_output ("--node 127.0.0.1:1 status", 2, "give its token");
  assert_output ("--node nonsense --token t status", 2,
                 "not an address and a port");
  assert_output ("--node localhost:80 --token t status", 2,
                 "not an address and a port");
  assert_output ("--node 127.0.0.1 --token t status", 2,
                 "not an address and a port");
  assert_output ("serve", 2, "serve needs --settings FILE");
  assert_output ("check", 2, "check needs a FILE");
}

static void
test_arguments (void)
{
  assert_output_at_node ("publish", 2, "publish needs a FILE");
  assert_output_at_node ("maintain", 2, "maintain needs a FILE");
  assert_output_at_node ("maintain --cancel", 2, "maintain needs a FILE");
  assert_output_at_node ("explain", 2, "explain needs");
  assert_output_at_node ("status extra", 2, "takes no FILE");
  assert_output_at_node ("status extra more", 2, "Too many arguments");
  assert_output_at_node ("publish f --wait-ms abc", 2, "write a number");
  assert_output_at_node ("publish f --wait-ms -1", 2, "write a number");
  assert_output_at_node ("publish f --wait-ms 99999999999", 2,
                         "write a number");
  assert_output_at_node ("publish f --base x", 2, "write a version");
  assert_output_at_node ("publish /nonexistent", 2,
                         "name a file that can be read");
}

static void
test_check (void)
{
  assert_output ("check examples/kandy/settings.json", 0,
                 "the settings are in");
  assert_output ("check examples/kandy/configuration.json", 0, "is in order");
  assert_output ("check examples/thessaly/configuration.json", 0,
                 "is in order");
  assert_output ("check examples/kandy/maintenance.json", 0, "is in order");
  assert_output ("check /dev/null", 1, "is empty");
  assert_output ("check README.md", 1, "is not JSON");
  assert_output ("check /nonexistent", 2, "name a file that can be read");
}

/* Write TEXT to a new file and return its path, which the caller frees. */
static char *
write_file (const char *text)
{
  char *path = g_build_filename (g_get_tmp_dir (), "shed-check-XXXXXX", NULL);
  int fd = g_mkstemp (path);

  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Run check with FORMAT, in which the first %s is FILE and the second one
   OLD. */
static void
assert_check (const char *format, const char *file, const char *old,
              int status, const char *part)
{
  GString *line = g_string_new (format);

  g_string_replace (line, "%s", file, 1);
  g_string_replace (line, "%s", old, 1);
  assert_output (line->str, status, part);
  g_string_free (line, TRUE);
}

/* Guards against a script that sends a configuration of the job path with
   errors, or one that takes a wrong command line for an error in the file. */
static void
test_check_of_the_job_path (void)
{
  static const char start[]
      = "{\"version\":%d,\"routes\":[],\"services\":[%s]}";
  char *old_text = g_strdup_printf (start, 1, "");
  char *new_text = g_strdup_printf (start, 2, "{\"name\":\"x\"}");
  char *old = write_file (old_text);
  char *new = write_file (new_text);
  char *malformed = write_file ("{\"tenants\":[SECRET]}");

  assert_check ("check %s", old, "", 0, "the configuration is in order");
  assert_check ("check --strict %s", old, "", 0, "is in order");
  assert_check ("check %s", new, "", 0, "warning: services[0]: no entry");
  assert_check ("check --strict %s", new, "", 4, "0 errors, 1 warnings");
  assert_check ("check %s --against %s", new, old, 0,
                "change: services \"x\": added\n");
  assert_check ("check --strict %s --against %s", old, new, 1,
                "error: version: 1 is not above 2");
  assert_check ("check %s --task 500,1024,0", new, "", 0, "1 warnings");
  assert_check ("check %s --task 500,1024", new, "", 2, "three whole numbers");
  assert_check ("check %s --against %s", new, "/nonexistent", 2,
                "name a file that can be read");
  assert_check ("check %s --against %s", new, malformed, 1, "is not JSON");
  assert_check ("check %s --against %s", new,
                "examples/kandy/configuration.json", 1, "has no version");
  assert_check ("check %s --against %s", "README.md", new, 1, "is not JSON");
  assert_check ("check %s --strict", "examples/kandy/configuration.json", "",
                2, "leave them out");
  g_unlink (malformed);
  g_unlink (new);
  g_unlink (old);
  g_free (malformed);
  g_free (new);
  g_free (old);
  g_free (new_text);
  g_free (old_text);
}

/* Guards against a message on malformed text that quotes a key or token. */
static void
test_check_prints_no_key (void)
{
  static const char *const texts[]
      = { "{\"tenants\":[\"a\" SECRET]}", "{\"tenants\":[SECRET]}",
          "{\"teams\":[\"SECRET\" 1]}", "{\"teams\":[SECRET]}" };

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      char *malformed = write_file (texts[i]);
      char *line = g_strconcat ("check ", malformed, NULL);
      struct result r = run_program (line);
      char *output = g_strconcat (r.out, r.err, NULL);

      g_assert_cmpint (r.status, ==, 1);
      g_assert_nonnull (strstr (output, "is not JSON"));
      g_assert_nonnull (strstr (output, "line 1, column "));
      g_assert_null (strstr (output, "SECRET"));
      g_unlink (malformed);
      g_free (output);
      g_free (line);
      g_free (malformed);
      g_free (r.out);
      g_free (r.err);
    }
}

/* Guards against a file that another parser than the nodes' accepts and that
   is then checked as another kind. */
static void
test_check_of_text_that_nodes_refuse (void)
{
  char *file = write_file ("{\"version\":1,\"routes\":[\"a\x01\"]}");

  assert_check ("check %s --strict", file, "", 1,
                "error: file: line 1, column 25: it is not JSON");
  g_unlink (file);
  g_free (file);
}

static void
test_node_answers (void)
{
  assert_output_at_node ("status", 1, "does not hold\n    cause: why");
  assert_output_at_node ("status --json", 0, "{\"offset\":7");
  assert_output_at_node ("maintain --list", 0, "wave w: 1 of 4 VMs done");
  assert_output_at_node ("maintain --list --json", 0, "{\"offset\":7");
  assert_output_at_node ("counters", 0, "requests 1");
  assert_output_at_node ("counters --json", 0, "{\"requests\":1}");
  g_assert_cmpstr (last_request, ==, "GET /admin/v1/counters?");
  assert_output_at_node ("explain a/b", 1, "bad-request");
  g_assert_cmpstr (last_request, ==, "GET /admin/v1/explain/a/b?");
  /* The name is escaped, so '?' in it stays part of the path, which libsoup
     has decoded here. */
  assert_output_at_node ("maintain --cancel a/b?x", 1, "admin address");
  g_assert_cmpstr (last_request, ==, "DELETE /admin/v1/maintenance/a/b?x?");
  /* libsoup's server refuses this path itself, with an empty body. */
  assert_output_at_node ("maintain --cancel a/../b", 1,
                         "the node answered 400");
}

/* maintain --list prints the intentions and not the targets. */
static void
test_list_prints_intentions_only (void)
{
  char *line
      = g_strdup_printf ("--node %s --token good maintain --list", node);
  struct result r = run_program (line);

  g_assert_null (strstr (r.out, "does not hold"));
  g_free (line);
  g_free (r.out);
  g_free (r.err);
}

static void
test_wrong_token_and_unreachable_node (void)
{
  char *line = g_strdup_printf ("--node %s --token bad status", node);

  assert_output (line, 1, "what to do: send it");
  assert_output ("--node 127.0.0.1:1 --token good status", 3,
                 "try another node");
  g_free (line);
}

/* A node whose port is in use names the remedy and exits as unreachable. */
static void
test_port_in_use (void)
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
  assert_output (line, 3, "choose a free port");
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
  g_test_add_func ("/command-line/check-of-the-job-path",
                   test_check_of_the_job_path);
  g_test_add_func ("/command-line/check-prints-no-key",
                   test_check_prints_no_key);
  g_test_add_func ("/command-line/check-of-text-that-nodes-refuse",
                   test_check_of_text_that_nodes_refuse);
  g_test_add_func ("/command-line/node-answers", test_node_answers);
  g_test_add_func ("/command-line/list-prints-intentions-only",
                   test_list_prints_intentions_only);
  g_test_add_func ("/command-line/wrong-token-and-unreachable-node",
                   test_wrong_token_and_unreachable_node);
  g_test_add_func ("/command-line/port-in-use", test_port_in_use);
  status = g_test_run ();
  g_object_unref (server);
  g_free (node);
  g_free (binary);
  g_free (last_request);
  return status;
}
