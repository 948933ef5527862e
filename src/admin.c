#include "admin.h"

#include "callers.h"
#include "config.h"
#include "connections.h"
#include "http.h"
#include "logging.h"

#include <libsoup/soup.h>
#include <string.h>

#define WAIT_ALL_MAX_MS 60000
/* For operators; the limit for callers is a setting. */
#define MAX_CONNECTIONS 64

struct admin
{
  struct task *task;
  struct task *core;
  const struct settings *settings;
  struct counters *counters;
  SoupServer *server;
  struct connections *connections;
  uint64_t last_number;        /* of a query, without the task bits */
  GHashTable *pending_queries; /* query number -> SoupServerMessage * */
};

/* One route of the API and the query that it sends to the core. */
struct route
{
  const char *method;
  const char *name;
  enum query_kind kind;
  bool needs_subject; /* a further path part that names what is meant */
};

static const struct route routes[] = {
  { "GET", "configuration", QUERY_CONFIGURATION, false },
  { "POST", "configuration", QUERY_PUBLISH, false },
  { "PUT", "configuration", QUERY_PUBLISH, false },
  { "GET", "maintenance", QUERY_MAINTENANCE, false },
  { "POST", "maintenance", QUERY_MAINTAIN, false },
  { "DELETE", "maintenance", QUERY_MAINTAIN_CANCEL, true },
  { "GET", "status", QUERY_STATUS, false },
  { "GET", "explain", QUERY_EXPLAIN, true },
};

static char *
problem_text (guint status, const char *what, const char *remedy)
{
  return g_strdup_printf ("{\"type\":\"about:blank\",\"title\":\"%s\","
                          "\"status\":%u,\"problem\":\"%s\","
                          "\"remedy\":\"%s\"}",
                          soup_status_get_phrase (status), status, what,
                          remedy);
}

static void
answer_problem (SoupServerMessage *message, guint status, const char *what,
                const char *remedy)
{
  char *text = problem_text (status, what, remedy);

  http_answer_json (message, status, text);
  g_free (text);
}

static char *
body_text (GBytes *body)
{
  gsize size;
  const char *bytes = g_bytes_get_data (body, &size);

  return g_strndup (bytes != NULL ? bytes : "", size);
}

static const char *
query_parameter (GHashTable *query, const char *name)
{
  const char *value = query == NULL ? NULL : g_hash_table_lookup (query, name);

  return value == NULL ? "" : value;
}

/* Return whether NAME is absent from QUERY or is a number from 0 to MAX. */
static bool
is_number_or_absent (GHashTable *query, const char *name, gint64 max)
{
  const char *text = query_parameter (query, name);

  return text[0] == '\0'
         || g_ascii_string_to_signed (text, 10, 0, max, NULL, NULL);
}

static bool
has_valid_parameters (GHashTable *query)
{
  return is_number_or_absent (query, "base", G_MAXINT64)
         && is_number_or_absent (query, "wait_ms", WAIT_ALL_MAX_MS);
}

static void
read_publish_parameters (struct message_query *q, GHashTable *query)
{
  guint64 base = 0;
  gint64 wait_ms = 0;

  q->accepts_any_base = !g_ascii_string_to_unsigned (
      query_parameter (query, "base"), 10, 0, G_MAXINT64, &base, NULL);
  q->base = base;
  g_ascii_string_to_signed (query_parameter (query, "wait_ms"), 10, 0,
                            WAIT_ALL_MAX_MS, &wait_ms, NULL);
  q->wait_all_ms = wait_ms;
}

static void
query_core (struct admin *a, SoupServerMessage *message, enum query_kind kind,
            const char *subject, GHashTable *query, GBytes *body)
{
  struct message *m = message_new (MESSAGE_QUERY);
  gint64 number;

  m->u.query.query = ((uint64_t)ADMIN_TASK_NUMBER << CALLERS_NUMBER_SHIFT)
                     | ++a->last_number;
  m->u.query.kind = kind;
  m->u.query.subject = g_strdup (subject);
  m->u.query.token = g_strdup ("");
  m->u.query.text = body_text (body);
  read_publish_parameters (&m->u.query, query);
  number = (gint64)m->u.query.query;
  g_hash_table_insert (a->pending_queries, g_memdup2 (&number, sizeof number),
                       g_object_ref (message));
  soup_server_message_pause (message);
  task_post (a->core, m);
}

static void
answer_counters (struct admin *a, SoupServerMessage *message)
{
  GString *text = g_string_new (NULL);

  counters_render_json (a->counters, text);
  http_answer_json (message, 200, text->str);
  g_string_free (text, TRUE);
}

static void
answer_metrics (struct admin *a, SoupServerMessage *message)
{
  GString *text = g_string_new (NULL);

  counters_render (a->counters, text);
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "text/plain; charset=utf-8",
                                    SOUP_MEMORY_COPY, text->str, text->len);
  g_string_free (text, TRUE);
}

static const struct route *
find_route (const char *method, const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (routes[i].name, name) == 0
        && strcmp (routes[i].method, method) == 0)
      return &routes[i];
  return NULL;
}

static bool
is_under_admin (char **path)
{
  return g_strv_length (path) >= 3 && strcmp (path[0], "admin") == 0
         && strcmp (path[1], "v1") == 0;
}

/* Return whether NAME is that of a route or "counters". */
static bool
is_known_name (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (routes[i].name, name) == 0)
      return true;
  return strcmp (name, "counters") == 0;
}

static void
query_route (struct admin *a, SoupServerMessage *message,
             const struct route *r, GHashTable *query, GBytes *body)
{
  char *prefix = g_strdup_printf ("/admin/v1/%s/", r->name);
  const char *subject = http_path_after (message, prefix);

  if (r->needs_subject && subject == NULL)
    answer_problem (message, 400, "the path names nothing",
                    "add a name, as in /admin/v1/explain/SUBJECT");
  else if (has_valid_parameters (query))
    query_core (a, message, r->kind, subject != NULL ? subject : "", query,
                body);
  else
    answer_problem (message, 400, "base or wait_ms is not a number in range",
                    "write base=VERSION, and wait_ms from 0 to 60000");
  g_free (prefix);
}

static void
answer_request (struct admin *a, SoupServerMessage *message, char **path,
                GHashTable *query, GBytes *body)
{
  const char *method = soup_server_message_get_method (message);
  bool get = strcmp (method, "GET") == 0;
  const struct route *r
      = is_under_admin (path) ? find_route (method, path[2]) : NULL;

  if (r != NULL)
    query_route (a, message, r, query, body);
  else if (get && is_under_admin (path) && strcmp (path[2], "counters") == 0)
    answer_counters (a, message);
  else if (get && path[0] != NULL && strcmp (path[0], "metrics") == 0)
    answer_metrics (a, message);
  else if (is_under_admin (path) && is_known_name (path[2]))
    answer_problem (message, 405, "the page does not take this method",
                    "see the API page for the methods of each");
  else
    answer_problem (
        message, 404, "no such page",
        "use /admin/v1/configuration, maintenance, status, counters or "
        "explain/SUBJECT, or /metrics");
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct admin *a = data;
  GBytes *body;
  char **parts;

  /* on_request_headers has answered an unauthorized request already. */
  if (soup_server_message_get_status (message) != 0)
    return;
  body = http_take_body (message);
  if (body == NULL) /* refused while it was being received */
    {
      soup_server_message_set_status (message, 413, NULL);
      return;
    }
  parts = http_split_path (message);
  answer_request (a, message, parts, query, body);
  g_strfreev (parts);
  g_bytes_unref (body);
}

/* Refuse MESSAGE, which lacks the admin token, before any of its body is
   collected. */
static void
refuse_unauthorized (struct admin *a, SoupServerMessage *message)
{
  static const char what[] = "the token is missing or wrong";
  static const char remedy[]
      = "send Authorization: Bearer with the node's admin_token";

  counters_add (a->counters, COUNTER_ADMIN_UNAUTHORIZED, 1);
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  answer_problem (message, SOUP_STATUS_UNAUTHORIZED, what, remedy);
  if (http_has_body (message))
    {
      char *text = problem_text (SOUP_STATUS_UNAUTHORIZED, what, remedy);

      connections_answer_early (message, SOUP_STATUS_UNAUTHORIZED,
                                HTTP_PROBLEM_TYPE, text);
      g_free (text);
    }
}

static void
on_request_headers (SoupServer *server, SoupServerMessage *message,
                    const char *path, GHashTable *query, gpointer data)
{
  struct admin *a = data;

  if (http_secrets_equal (http_bearer_token (message),
                          a->settings->admin_token))
    http_collect_body (message, CONFIG_MAX_BYTES, a->counters);
  else
    refuse_unauthorized (a, message);
}

static void
start (void *data)
{
  struct admin *a = data;
  struct connections_limits limits = {
    .max = MAX_CONNECTIONS,
    .idle_ms = a->settings->idle_timeout_ms,
    .request_ms = a->settings->header_timeout_ms,
  };
  GError *error = NULL;

  a->server = soup_server_new ("server-header", "burdockshed", NULL);
  soup_server_add_early_handler (a->server, NULL, on_request_headers, a, NULL);
  soup_server_add_handler (a->server, NULL, on_request, a, NULL);
  a->connections = connections_new (a->server, a->settings->admin.address,
                                    a->settings->admin.port, &limits, NULL,
                                    NULL, a->counters, &error);
  if (a->connections == NULL)
    logging_fatal (error->message);
}

static void
handle (void *data, struct message *m)
{
  struct admin *a = data;

  if (m->kind == MESSAGE_REPLY)
    {
      gint64 number = (gint64)m->u.reply.query;
      SoupServerMessage *message
          = g_hash_table_lookup (a->pending_queries, &number);

      if (message != NULL)
        {
          http_answer_json (message, m->u.reply.status, m->u.reply.text);
          soup_server_message_unpause (message);
          g_hash_table_remove (a->pending_queries, &number);
        }
    }
  message_destroy (m);
}

static void
stop (void *data)
{
  struct admin *a = data;

  soup_server_disconnect (a->server);
  g_hash_table_remove_all (a->pending_queries);
  connections_destroy (a->connections);
  g_object_unref (a->server);
}

static const struct task_functions functions = { start, handle, stop };

struct admin *
admin_new (const struct settings *settings, struct counters *counters,
           struct task *core)
{
  struct admin *a = g_new0 (struct admin, 1);

  a->settings = settings;
  a->counters = counters;
  a->core = core;
  a->pending_queries = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, g_object_unref);
  a->task = task_new ("admin", &functions, a);
  return a;
}

struct task *
admin_task (struct admin *admin)
{
  return admin->task;
}

void
admin_destroy (struct admin *admin)
{
  task_destroy (admin->task);
  g_hash_table_unref (admin->pending_queries);
  g_free (admin);
}
