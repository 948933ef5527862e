#include "callers.h"

#include "backend.h"
#include "connections.h"
#include "http.h"
#include "logging.h"

#include <libsoup/soup.h>
#include <string.h>
#include <xxhash.h>

#define BUSY_RETRY_AFTER_MS 500
#define KEY_MAX_BYTES 256
#define TIMEOUT_MAX_MS (24 * 3600 * 1000LL)
#define EXCHANGE_KEY "shed-exchange"
#define STATUS_CLIENT_CLOSED_REQUEST 499

struct callers
{
  struct task *task;
  struct task *core;
  const struct settings *settings;
  struct counters *counters;
  uint64_t incarnation;
  SoupServer *server;
  struct connections *connections;
  struct backend *backend;
  uint64_t last_number;  /* of a request or query, without the task bits */
  GHashTable *exchanges; /* number -> struct exchange * */
};

/* One HTTP request or query of a caller and its answer. */
struct exchange
{
  uint64_t number;
  struct callers *callers;
  SoupServerMessage *message; /* NULL once the caller has disconnected or
                                 been answered */
  GBytes *body;
  char *content_type;
  struct backend_run *run; /* NULL while nothing runs on a back end */
  uint32_t attempt;
  bool is_idempotent;
  bool has_begun;  /* the back end has sent the status and the headers */
  bool is_writing; /* a chunk of the answer is being written to the caller */
};

/* Disconnect X from the caller's message and drop the reference to it. */
static void
release_message (struct exchange *x)
{
  if (x->message == NULL)
    return;
  g_signal_handlers_disconnect_by_data (x->message, x);
  g_object_set_data (G_OBJECT (x->message), EXCHANGE_KEY, NULL);
  g_clear_object (&x->message);
}

static void
exchange_free (gpointer p)
{
  struct exchange *x = p;

  release_message (x);
  g_clear_pointer (&x->body, g_bytes_unref);
  g_free (x->content_type);
  g_free (x);
}

static struct exchange *
find_exchange (struct callers *c, uint64_t number)
{
  gint64 id = (gint64)number;

  return g_hash_table_lookup (c->exchanges, &id);
}

/* The whole answer has been sent, or the caller has disconnected.  A run on a
   back end is abandoned if the request is idempotent; any other is read to its
   end without a caller, so that its outcome is known. */
static void
on_message_finished (SoupServerMessage *message, gpointer data)
{
  struct exchange *x = data;
  struct message *m;

  release_message (x);
  m = message_new (MESSAGE_ABANDON);
  m->u.abandon.request = x->number;
  task_post (x->callers->core, m);
  if (x->run == NULL)
    g_hash_table_remove (x->callers->exchanges, &x->number);
  else if (x->is_idempotent)
    backend_abandon (x->run);
  else if (x->is_writing)
    backend_read_next (x->run);
}

/* The caller closed its connection while MESSAGE waited for its answer.
   libsoup doesn't watch the connection then, so connections.c reports it. */
static void
on_caller_disconnected (void *data, SoupServerMessage *message)
{
  struct exchange *x = g_object_get_data (G_OBJECT (message), EXCHANGE_KEY);
  bool has_begun;

  if (x == NULL)
    return;
  has_begun = x->has_begun;
  g_object_ref (message);
  on_message_finished (message, x);
  if (!has_begun)
    soup_server_message_set_status (message, STATUS_CLIENT_CLOSED_REQUEST,
                                    NULL);
  soup_server_message_unpause (message);
  g_object_unref (message);
}

static const struct connections_functions connections_functions
    = { on_caller_disconnected };

static struct exchange *
exchange_new (struct callers *c, SoupServerMessage *message)
{
  struct exchange *x = g_new0 (struct exchange, 1);

  x->number = ((uint64_t)CALLERS_TASK_NUMBER << CALLERS_NUMBER_SHIFT)
              | ++c->last_number;
  x->callers = c;
  x->message = g_object_ref (message);
  g_object_set_data (G_OBJECT (message), EXCHANGE_KEY, x);
  g_signal_connect (message, "finished", G_CALLBACK (on_message_finished), x);
  g_hash_table_insert (c->exchanges, &x->number, x);
  soup_server_message_pause (message);
  return x;
}

/* Let libsoup send the answer that MESSAGE holds, and free X. */
static void
complete_exchange (struct exchange *x)
{
  SoupServerMessage *message = x->message;

  if (message != NULL)
    {
      g_signal_handlers_disconnect_by_data (message, x);
      soup_server_message_unpause (message);
    }
  g_hash_table_remove (x->callers->exchanges, &x->number);
}

/* Runs on back ends. */

static bool
is_hop_by_hop (const char *name)
{
  static const char *const names[]
      = { "Connection", "Keep-Alive",        "Proxy-Authenticate",
          "TE",         "Transfer-Encoding", "Trailer",
          "Upgrade",    "Content-Length",    NULL };

  for (int i = 0; names[i] != NULL; i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

static void
copy_header (const char *name, const char *value, gpointer data)
{
  if (!is_hop_by_hop (name))
    soup_message_headers_append (data, name, value);
}

static void
on_wrote_chunk (SoupServerMessage *message, gpointer data)
{
  struct exchange *x = data;

  if (!x->is_writing)
    return;
  x->is_writing = false;
  backend_read_next (x->run);
}

static void
on_run_begin (void *data, guint status, SoupMessageHeaders *headers,
              goffset length)
{
  struct exchange *x = data;
  SoupMessageHeaders *h;

  x->has_begun = true;
  if (x->message == NULL)
    return;
  h = soup_server_message_get_response_headers (x->message);
  soup_server_message_set_status (x->message, status, NULL);
  soup_message_headers_foreach (headers, copy_header, h);
  if (length >= 0)
    soup_message_headers_set_content_length (h, length);
  else
    soup_message_headers_set_encoding (h, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (
      soup_server_message_get_response_body (x->message), FALSE);
  g_signal_connect (x->message, "wrote-chunk", G_CALLBACK (on_wrote_chunk), x);
}

static void
on_run_chunk (void *data, GBytes *chunk)
{
  struct exchange *x = data;

  if (x->message == NULL)
    {
      backend_read_next (x->run);
      return;
    }
  x->is_writing = true;
  soup_message_body_append_bytes (
      soup_server_message_get_response_body (x->message), chunk);
  soup_server_message_unpause (x->message);
}

/* Close the caller's connection when part of the answer has been sent and the
   rest is not available: the caller must see an error, not a short answer. */
static void
abort_answer (struct exchange *x)
{
  SoupServerMessage *message = x->message;

  if (message != NULL)
    {
      g_signal_handlers_disconnect_by_data (message, x);
      connections_abort (message);
      soup_server_message_unpause (message);
    }
  g_hash_table_remove (x->callers->exchanges, &x->number);
}

static void
on_run_end (void *data, enum run_result result, guint status, int64_t run_ms)
{
  struct exchange *x = data;
  struct message *m = message_new (MESSAGE_RUN_ENDED);

  m->u.run_ended.request = x->number;
  m->u.run_ended.attempt = x->attempt;
  m->u.run_ended.result = result;
  m->u.run_ended.status = result == RUN_ANSWERED ? status : 0;
  m->u.run_ended.run_ms = run_ms;
  task_post (x->callers->core, m);
  x->run = NULL;
  if (x->has_begun && result == RUN_ANSWERED)
    {
      if (x->message != NULL)
        soup_message_body_complete (
            soup_server_message_get_response_body (x->message));
      complete_exchange (x);
    }
  else if (x->has_begun)
    abort_answer (x);
  else if (x->message == NULL)
    g_hash_table_remove (x->callers->exchanges, &x->number);
}

static const struct backend_functions run_functions
    = { on_run_begin, on_run_chunk, on_run_end };

static void
report_not_sent (struct callers *c, const struct message_run *order)
{
  struct message *m = message_new (MESSAGE_RUN_ENDED);

  m->u.run_ended.request = order->request;
  m->u.run_ended.attempt = order->attempt;
  m->u.run_ended.result = RUN_NOT_SENT;
  task_post (c->core, m);
}

static void
start_run (struct callers *c, const struct message_run *order)
{
  struct exchange *x = find_exchange (c, order->request);
  char *task;

  if (x == NULL || x->message == NULL || x->run != NULL)
    {
      report_not_sent (c, order);
      return;
    }
  x->attempt = order->attempt;
  x->is_idempotent = order->idempotent;
  task = g_strdup_printf ("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT "-%u",
                          c->settings->node, (guint64)c->incarnation,
                          (guint64)order->request, order->attempt);
  x->run = backend_start (c->backend, order, task, x->content_type, x->body,
                          &run_functions, x);
  g_free (task);
}

static void
refuse_request (struct callers *c, const struct message_refuse *m)
{
  struct exchange *x = find_exchange (c, m->request);

  if (x == NULL || x->run != NULL || x->has_begun)
    return;
  if (x->message != NULL)
    http_answer_problem (x->message, m->reason, m->retry_after_ms);
  complete_exchange (x);
}

static void
reply_to_query (struct callers *c, const struct message_reply *m)
{
  struct exchange *x = find_exchange (c, m->query);

  if (x == NULL)
    return;
  if (x->message != NULL)
    http_answer_json (x->message, m->status, m->text);
  complete_exchange (x);
}

/* Reading and routing requests. */

static void
refuse_without_core (struct callers *c, SoupServerMessage *message,
                     enum reason reason)
{
  counters_add_reason (c->counters, reason);
  http_answer_problem (message, reason, 0);
}

static const char *
request_header (SoupServerMessage *message, const char *name)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), name);

  return value == NULL ? "" : value;
}

/* Read the header Request-Timeout-Ms into *TIMEOUT_MS; 0 if it is not given.
   Return false if it is not a number from 1 to TIMEOUT_MAX_MS. */
static bool
read_timeout (SoupServerMessage *message, int64_t *timeout_ms)
{
  const char *text = request_header (message, "Request-Timeout-Ms");
  gint64 value = 0;

  *timeout_ms = 0;
  if (text[0] == '\0')
    return true;
  if (!g_ascii_string_to_signed (text, 10, 1, TIMEOUT_MAX_MS, &value, NULL))
    return false;
  *timeout_ms = value;
  return true;
}

static void
submit_request (struct callers *c, SoupServerMessage *message, char **path)
{
  const char *key = request_header (message, "Idempotency-Key");
  int64_t timeout_ms;
  GBytes *body = http_take_body (message);
  struct exchange *x;
  struct message *m;

  if (body == NULL)
    {
      /* It was refused, and counted, while it was being received. */
      soup_server_message_set_status (
          message, reason_status (REASON_BODY_TOO_LARGE), NULL);
      return;
    }
  if (!read_timeout (message, &timeout_ms) || strlen (key) > KEY_MAX_BYTES)
    {
      g_bytes_unref (body);
      refuse_without_core (c, message, REASON_BAD_REQUEST);
      return;
    }
  x = exchange_new (c, message);
  x->body = body;
  x->content_type = g_strdup (request_header (message, "Content-Type"));
  if (x->content_type[0] == '\0')
    {
      g_free (x->content_type);
      x->content_type = g_strdup ("application/octet-stream");
    }
  m = message_new (MESSAGE_REQUEST);
  m->u.request.request = x->number;
  m->u.request.service = g_strdup (path[2]);
  m->u.request.class_name = g_strdup (path[3]);
  m->u.request.token = g_strdup (http_bearer_token (message));
  m->u.request.key = g_strdup (key);
  m->u.request.body_bytes = g_bytes_get_size (body);
  m->u.request.body_hash
      = XXH3_64bits (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  m->u.request.timeout_ms = timeout_ms;
  task_post (c->core, m);
}

static void
query_core (struct callers *c, SoupServerMessage *message,
            enum query_kind kind, const char *subject)
{
  struct exchange *x = exchange_new (c, message);
  struct message *m = message_new (MESSAGE_QUERY);

  m->u.query.query = x->number;
  m->u.query.kind = kind;
  m->u.query.subject = g_strdup (subject);
  m->u.query.token = g_strdup (http_bearer_token (message));
  m->u.query.text = g_strdup ("");
  task_post (c->core, m);
}

static bool
path_matches (char **path, guint n, const char *a, const char *b)
{
  return g_strv_length (path) == n && strcmp (path[0], a) == 0
         && (b == NULL || strcmp (path[1], b) == 0);
}

static bool
is_get (SoupServerMessage *message)
{
  const char *method = soup_server_message_get_method (message);

  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
}

static void
route_key_request (struct callers *c, SoupServerMessage *message,
                   const char *key)
{
  const char *method = soup_server_message_get_method (message);

  if (strlen (key) <= KEY_MAX_BYTES && strcmp (method, "GET") == 0)
    query_core (c, message, QUERY_KEY, key);
  else if (strlen (key) <= KEY_MAX_BYTES && strcmp (method, "DELETE") == 0)
    query_core (c, message, QUERY_CANCEL, key);
  else
    refuse_without_core (c, message, REASON_BAD_REQUEST);
}

static void
route_request (struct callers *c, SoupServerMessage *message, char **path)
{
  const char *method = soup_server_message_get_method (message);
  const char *key = http_path_after (message, "/v1/requests/");

  if (path_matches (path, 4, "v1", "services") && strcmp (method, "POST") == 0)
    submit_request (c, message, path);
  else if (key != NULL)
    route_key_request (c, message, key);
  else if (path_matches (path, 1, "healthz", NULL) && is_get (message))
    http_answer_json (message, 200, "{\"alive\":true}");
  else if (path_matches (path, 1, "readyz", NULL) && is_get (message))
    query_core (c, message, QUERY_READY, "");
  else
    refuse_without_core (c, message, REASON_BAD_REQUEST);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  char **parts = http_split_path (message);

  route_request (data, message, parts);
  g_strfreev (parts);
}

static void
on_request_headers (SoupServer *server, SoupServerMessage *message,
                    const char *path, GHashTable *query, gpointer data)
{
  struct callers *c = data;

  http_collect_body (message, c->settings->max_body_bytes, c->counters);
}

/* The task. */

static void
start (void *data)
{
  struct callers *c = data;
  struct connections_limits limits = {
    .max = c->settings->max_connections,
    .idle_ms = c->settings->idle_timeout_ms,
    .request_ms = c->settings->header_timeout_ms,
  };
  GError *error = NULL;

  c->backend = backend_new (c->settings);
  c->server = soup_server_new ("server-header", "burdockshed", NULL);
  soup_server_add_early_handler (c->server, NULL, on_request_headers, c, NULL);
  soup_server_add_handler (c->server, NULL, on_request, c, NULL);
  c->connections = connections_new (
      c->server, c->settings->callers.address, c->settings->callers.port,
      &limits, &connections_functions, c, c->counters, &error);
  if (c->connections == NULL)
    logging_fatal (error->message);
}

static void
handle (void *data, struct message *m)
{
  struct callers *c = data;

  switch (m->kind)
    {
    case MESSAGE_RUN:
      start_run (c, &m->u.run);
      break;
    case MESSAGE_REFUSE:
      refuse_request (c, &m->u.refuse);
      break;
    case MESSAGE_REPLY:
      reply_to_query (c, &m->u.reply);
      break;
    default:
      break;
    }
  message_destroy (m);
}

static void
stop (void *data)
{
  struct callers *c = data;

  backend_destroy (c->backend);
  soup_server_disconnect (c->server);
  g_hash_table_remove_all (c->exchanges);
  connections_destroy (c->connections);
  g_object_unref (c->server);
}

static const struct task_functions functions = { start, handle, stop };

struct callers *
callers_new (const struct settings *settings, uint64_t incarnation,
             struct counters *counters, struct task *core)
{
  struct callers *c = g_new0 (struct callers, 1);

  c->settings = settings;
  c->incarnation = incarnation;
  c->counters = counters;
  c->core = core;
  c->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        exchange_free);
  c->task = task_new ("callers", &functions, c);
  return c;
}

struct task *
callers_task (struct callers *callers)
{
  return callers->task;
}

void
callers_destroy (struct callers *callers)
{
  task_destroy (callers->task);
  g_hash_table_unref (callers->exchanges);
  g_free (callers);
}
