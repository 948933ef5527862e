#include "commands.h"

#include "config.h"
#include "config_check.h"
#include "config_decode.h"
#include "error.h"
#include "exit_status.h"
#include "fields.h"
#include "record.h"
#include "settings.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Maximum size of a file that is checked or sent. */
#define FILE_MAX_BYTES CONFIG_MAX_BYTES
/* Timeout of a call to a node. */
#define CALL_TIMEOUT_S 75
/* Interval between two requests of status --watch. */
#define WATCH_INTERVAL_US (1000 * 1000)

/* Calls to a node. */

struct node_answer
{
  guint status;
  char *text;
};

static int
print_error (GError *error)
{
  int status = error_exit_status (error);

  if (error == NULL)
    return status;
  fprintf (stderr, "burdockshed: %s\n", error->message);
  g_error_free (error);
  return status;
}

static bool
call_node (const struct command_options *o, const char *method,
           const char *path, const char *body, struct node_answer *answer,
           GError **error)
{
  SoupSession *session = soup_session_new_with_options (
      "timeout", CALL_TIMEOUT_S, "proxy-resolver", NULL, NULL);
  char *uri = g_strdup_printf ("http://%s%s", o->node, path);
  char *bearer = g_strconcat ("Bearer ", o->token, NULL);
  SoupMessage *m = soup_message_new (method, uri);
  GError *cause = NULL;
  GBytes *bytes = NULL;

  if (m == NULL)
    g_set_error (error, SHED_ERROR, ERROR_USAGE,
                 "\"%s\" is not a node; write --node ADDRESS:PORT", o->node);
  else
    {
      soup_message_headers_append (soup_message_get_request_headers (m),
                                   "Authorization", bearer);
      if (body != NULL)
        {
          GBytes *b = g_bytes_new (body, strlen (body));

          soup_message_set_request_body_from_bytes (m, "application/json", b);
          g_bytes_unref (b);
        }
      bytes = soup_session_send_and_read (session, m, NULL, &cause);
    }
  if (cause != NULL)
    {
      g_set_error (error, SHED_ERROR, ERROR_UNREACHABLE,
                   "node %s does not answer: %s; try another node", o->node,
                   cause->message);
      g_error_free (cause);
    }
  if (bytes != NULL)
    {
      const char *text = g_bytes_get_data (bytes, NULL);

      answer->status = soup_message_get_status (m);
      answer->text
          = g_strndup (text != NULL ? text : "", g_bytes_get_size (bytes));
      g_bytes_unref (bytes);
    }
  g_clear_object (&m);
  g_free (bearer);
  g_free (uri);
  g_object_unref (session);
  return bytes != NULL;
}

/* Return string member NAME of O, "" if absent. */
static const char *
get_string (JsonObject *o, const char *name)
{
  return json_object_get_string_member_with_default (o, name, "");
}

static int
answer_exit_status (const struct node_answer *a)
{
  if (a->status < 300)
    return EXIT_STATUS_DONE;
  if (a->status >= 500)
    return EXIT_STATUS_UNREACHABLE;
  return EXIT_STATUS_REFUSED;
}

/* Print the problem that answer A describes and return the exit status. */
static int
print_problem (const struct node_answer *a)
{
  JsonNode *root = json_from_string (a->text, NULL);

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      JsonObject *o = json_node_get_object (root);

      /* The callers' port answers with a reason instead of a problem. */
      const char *problem = get_string (o, "problem");

      fprintf (stderr, "burdockshed: %s\nwhat to do: %s\n",
               problem[0] != '\0' ? problem : get_string (o, "reason"),
               problem[0] != '\0' ? get_string (o, "remedy")
                                  : "name the node's admin address and port");
    }
  else
    fprintf (stderr, "burdockshed: the node answered %u\n", a->status);
  if (root != NULL)
    json_node_unref (root);
  return answer_exit_status (a);
}

/* Call a node, print its answer unchanged, and return the exit status. */
static int
call_and_print (const struct command_options *o, const char *method,
                const char *path, const char *body)
{
  struct node_answer a = { 0, NULL };
  GError *error = NULL;
  int status;

  if (!call_node (o, method, path, body, &a, &error))
    return print_error (error);
  if (a.status < 300)
    {
      printf ("%s\n", g_strchomp (a.text));
      status = EXIT_STATUS_DONE;
    }
  else
    status = print_problem (&a);
  g_free (a.text);
  return status;
}

/* check */

/* Return whether ROOT is an object with a member NAME, by which check_root
   tells the kinds of files apart. */
static bool
has_member (JsonNode *root, const char *name)
{
  return JSON_NODE_HOLDS_OBJECT (root)
         && json_object_has_member (json_node_get_object (root), name);
}

static bool
check_maintain (JsonNode *root, GError **error)
{
  struct record_maintain m = { 0 };
  bool is_valid = record_read_maintain (root, &m, error);

  g_free (m.name);
  g_free (m.pool);
  return is_valid;
}

/* Check a file's ROOT, and set *KIND to what it is, as the start of the
   message
   "... in order". */
static bool
check_root (JsonNode *root, const char **kind, GError **error)
{
  if (has_member (root, "callers") || has_member (root, "peers"))
    {
      struct settings *s = settings_from_json (root, error);

      *kind = "the settings are";
      settings_destroy (s);
      return s != NULL;
    }
  if (has_member (root, "finish_within_ms"))
    {
      *kind = "the maintenance intention is";
      return check_maintain (root, error);
    }
  struct config *c = config_from_json (root, error);

  *kind = "the configuration is";
  config_destroy (c);
  return c != NULL;
}

/* Compare DRAFT with the file FILENAME, the version in force, whose own errors
   are not reported.  Return false with ERROR set if that can't be read. */
static bool
check_changes (const struct config_draft *draft, const char *filename,
               GPtrArray *findings, GError **error)
{
  gsize length = 0;
  char *text = fields_read_file (filename, FILE_MAX_BYTES, &length, error);
  GPtrArray *old_findings;
  struct config_draft *old;

  if (text == NULL)
    return false;
  old_findings = config_findings_new ();
  old = config_decode (text, length, old_findings);
  if (old != NULL && old->version >= 0)
    config_check_changes (old, draft, findings);
  else if (old != NULL)
    g_set_error (error, SHED_ERROR, ERROR_INVALID,
                 "%s has no version, so it can't be the one in force; name "
                 "the file that was sent last",
                 filename);
  else
    {
      char *cause = config_findings_to_text (old_findings);

      g_set_error (error, SHED_ERROR, ERROR_INVALID, "%s: %s", filename,
                   g_strchomp (cause));
      g_free (cause);
    }
  config_draft_destroy (old);
  g_ptr_array_unref (old_findings);
  g_free (text);
  return *error == NULL;
}

/* Print FINDINGS and their numbers, and return the exit status. */
static int
print_findings (const struct command_options *o, const GPtrArray *findings)
{
  char *text = config_findings_to_text (findings);
  guint n_errors = config_findings_count (findings, CONFIG_ERROR);
  guint n_warnings = config_findings_count (findings, CONFIG_WARNING);

  printf ("%s", text);
  g_free (text);
  if (n_errors + n_warnings == 0)
    printf ("%s: the configuration is in order\n", o->subject);
  else
    printf ("%s: %u errors, %u warnings\n", o->subject, n_errors, n_warnings);
  if (n_errors > 0)
    return EXIT_STATUS_REFUSED;
  return o->is_strict && n_warnings > 0 ? EXIT_STATUS_WARNINGS
                                        : EXIT_STATUS_DONE;
}

/* Check TEXT, a configuration of the job path.  Return the exit status. */
static int
check_job_path (const struct command_options *o, const char *text,
                gsize length)
{
  GPtrArray *findings = config_findings_new ();
  struct config_draft *draft = config_decode (text, length, findings);
  GError *error = NULL;
  int status;

  if (draft != NULL)
    config_check_draft (draft, o->has_task ? &o->task : NULL, findings);
  if (draft != NULL && o->against != NULL
      && !check_changes (draft, o->against, findings, &error))
    status = print_error (error);
  else
    status = print_findings (o, findings);
  config_draft_destroy (draft);
  g_ptr_array_unref (findings);
  return status;
}

/* Check TEXT, a file of another kind.  Return the exit status. */
static int
check_other (const struct command_options *o, const char *text, gsize length)
{
  GError *error = NULL;
  const char *kind = "";
  JsonNode *root = fields_parse (text, (gssize)length, o->subject, &error);

  if (root == NULL)
    return print_error (error);
  if (o->against != NULL || o->is_strict || o->has_task)
    g_set_error (&error, SHED_ERROR, ERROR_USAGE,
                 "--against, --strict and --task are for a configuration of "
                 "the job path; leave them out");
  else
    check_root (root, &kind, &error);
  json_node_unref (root);
  if (error != NULL)
    {
      g_prefix_error (&error, "%s: ", o->subject);
      return print_error (error);
    }
  printf ("%s: %s in order\n", o->subject, kind);
  return EXIT_STATUS_DONE;
}

int
command_check (const struct command_options *options)
{
  GError *error = NULL;
  gsize length = 0;
  char *text
      = fields_read_file (options->subject, FILE_MAX_BYTES, &length, &error);
  int status;

  if (text == NULL)
    return print_error (error);
  status = config_decode_recognizes (text, length)
               ? check_job_path (options, text, length)
               : check_other (options, text, length);
  g_free (text);
  return status;
}

/* Printing answers as text. */

/* Print TARGETS and return the exit status that reflects whether all hold. */
static int
print_targets (JsonArray *targets)
{
  int status = EXIT_STATUS_DONE;

  for (guint i = 0; i < json_array_get_length (targets); i++)
    {
      JsonObject *t = json_array_get_object_element (targets, i);
      const char *state = get_string (t, "state");

      printf ("%-36s %s\n", get_string (t, "target"), state);
      if (strcmp (state, "holds") == 0)
        continue;
      printf ("    cause: %s\n    remedy: %s\n", get_string (t, "cause"),
              get_string (t, "remedy"));
      if (strcmp (state, "does not hold") == 0)
        status = EXIT_STATUS_REFUSED;
    }
  return status;
}

static void
print_waves (JsonArray *waves)
{
  for (guint i = 0; i < json_array_get_length (waves); i++)
    {
      JsonObject *w = json_array_get_object_element (waves, i);
      const char *pause = get_string (w, "paused_because");

      printf ("wave %s: %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
              " VMs done%s%s\n",
              get_string (w, "name"), json_object_get_int_member (w, "done"),
              json_object_get_int_member (w, "vms"),
              pause[0] != '\0' ? ", paused: " : "", pause);
    }
}

/* Print which state the answer O is based on, and which node gave it. */
static void
print_state_version (JsonObject *o)
{
  printf ("offset %" G_GINT64_FORMAT ", configuration %" G_GINT64_FORMAT
          ", by node %s\n",
          json_object_get_int_member (o, "offset"),
          json_object_get_int_member (o, "configuration"),
          get_string (o, "node"));
}

static int
print_status (JsonObject *o)
{
  int status;

  print_state_version (o);
  status = print_targets (json_object_get_array_member (o, "targets"));
  print_waves (json_object_get_array_member (o, "waves"));
  return status;
}

static int
print_list (JsonObject *o)
{
  JsonArray *waves = json_object_get_array_member (o, "waves");

  print_state_version (o);
  if (json_array_get_length (waves) == 0)
    printf ("no maintenance intention is in force\n");
  print_waves (waves);
  return EXIT_STATUS_DONE;
}

/* Parse the JSON TEXT of an answer and print it by PRINT.  Return the exit
   status. */
static int
print_json_text (const char *text, int (*print) (JsonObject *))
{
  JsonNode *root = json_from_string (text, NULL);
  int status = EXIT_STATUS_UNREACHABLE;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    status = print (json_node_get_object (root));
  else
    fprintf (stderr, "burdockshed: the node's answer is not JSON; is the "
                     "address that of its admin interface?\n");
  if (root != NULL)
    json_node_unref (root);
  return status;
}

/* Get PATH and print the answer by PRINT, or unchanged for --json.  Return the
   exit status. */
static int
get_and_print (const struct command_options *options, const char *path,
               int (*print) (JsonObject *))
{
  struct node_answer a = { 0, NULL };
  GError *error = NULL;
  int status = EXIT_STATUS_DONE;

  if (!call_node (options, "GET", path, NULL, &a, &error))
    return print_error (error);
  if (a.status >= 300)
    status = print_problem (&a);
  else if (options->json)
    printf ("%s\n", a.text);
  else
    status = print_json_text (a.text, print);
  g_free (a.text);
  return status;
}

/* publish and maintain */

/* Return the JSON in the file FILENAME, or NULL with ERROR set. */
static char *
read_json_file (const char *filename, GError **error)
{
  JsonNode *root = fields_parse_file (filename, FILE_MAX_BYTES, error);
  char *text;

  if (root == NULL)
    return NULL;
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  return text;
}

int
command_publish (const struct command_options *options)
{
  GError *error = NULL;
  char *text = read_json_file (options->subject, &error);
  char *path;
  int status;

  if (text == NULL)
    return print_error (error);
  path = g_strdup_printf ("/admin/v1/configuration?wait_ms=%d%s%s",
                          options->wait_ms,
                          options->base != NULL ? "&base=" : "",
                          options->base != NULL ? options->base : "");
  status = call_and_print (options, "POST", path, text);
  g_free (path);
  g_free (text);
  return status;
}

int
command_maintain (const struct command_options *options)
{
  GError *error = NULL;
  char *text;
  char *path;
  int status;

  if (options->list)
    return get_and_print (options, "/admin/v1/maintenance", print_list);
  if (options->cancel)
    {
      char *name = g_uri_escape_string (options->subject, NULL, FALSE);

      path = g_strconcat ("/admin/v1/maintenance/", name, NULL);
      status = call_and_print (options, "DELETE", path, NULL);
      g_free (path);
      g_free (name);
      return status;
    }
  text = read_json_file (options->subject, &error);
  if (text == NULL)
    return print_error (error);
  status = call_and_print (options, "POST", "/admin/v1/maintenance", text);
  g_free (text);
  return status;
}

/* status, counters and explain */

int
command_status (const struct command_options *options)
{
  int status = get_and_print (options, "/admin/v1/status", print_status);

  while (options->watch)
    {
      fflush (stdout);
      g_usleep (WATCH_INTERVAL_US);
      /* On a terminal, clear the screen, so that each status replaces the one
         before. */
      if (isatty (STDOUT_FILENO))
        printf ("\033[H\033[2J");
      else
        printf ("\n");
      status = get_and_print (options, "/admin/v1/status", print_status);
    }
  return status;
}

int
command_counters (const struct command_options *options)
{
  return call_and_print (
      options, "GET", options->json ? "/admin/v1/counters" : "/metrics", NULL);
}

int
command_explain (const struct command_options *options)
{
  char *subject = g_uri_escape_string (options->subject, "/", FALSE);
  char *path = g_strconcat ("/admin/v1/explain/", subject, NULL);
  int status = call_and_print (options, "GET", path, NULL);

  g_free (subject);
  g_free (path);
  return status;
}
