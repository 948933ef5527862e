#include "node_peer_calls.h"

#include "event_log.h"
#include "node_relay.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

/* Serves the requests of other nodes; node_peer_calls.c sends them. */

/* Maximum size of a request; a job of some 1000 tasks takes 100 KB. */
#define BODY_MAX_BYTES (4 * 1024 * 1024)
/* Limits of other nodes' requests: the path holds a queue's escaped host and
   prefix.  Nodes send a head at once, and keep connections open between the
   requests that callers bring. */
#define HEADER_MAX_BYTES 32768
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 50000

/* The context of a request from another node. */
struct peer_request
{
  struct node *node;
  struct evhttp_request *request;
  enum front_verb verb;
};

static int
status_of_result (enum front_result result)
{
  switch (result)
    {
    case FRONT_DONE:
      return 200;
    case FRONT_NOT_FOUND:
      return 410;
    case FRONT_UNAVAILABLE:
      return 503;
    case FRONT_TOO_MANY:
      return 429;
    case FRONT_UNCLEAR:
      return 504;
    }
  return 503;
}

/* Return the number that stands for ANSWER to VERB. */
static uint32_t
number_of_answer (enum front_verb verb, const struct front_answer *answer)
{
  if (answer->result == FRONT_TOO_MANY)
    return (uint32_t)answer->retry_after_ms;
  return verb == FRONT_GET_STATE ? (uint32_t)answer->state : answer->number;
}

/* Answer with one number: the job's state, the count of jobs, 1 if the worker
   is empty, or the retry delay in ms of a job that is refused for its
   account's rate. */
static void
send_answer (void *data, const struct front_answer *answer)
{
  struct peer_request *context = data;
  struct evbuffer *body = evbuffer_new ();
  uint32_t number = number_of_answer (context->verb, answer);

  evbuffer_add_printf (body, "%u", number);
  evhttp_send_reply (context->request, status_of_result (answer->result),
                     "answered", body);
  evbuffer_free (body);
  context->node->open_peer_requests--;
  g_free (context);
}

static void
send_records (struct evhttp_request *request, int status,
              const GPtrArray *records)
{
  struct evbuffer *body = evbuffer_new ();
  GVariantBuilder b;
  GVariant *v;

  g_variant_builder_init (&b, G_VARIANT_TYPE (RECORDS_TYPE));
  for (guint i = 0; i < records->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (records, i);

      g_variant_builder_add (
          &b, "(s@ay)", e->key,
          g_variant_new_from_bytes (G_VARIANT_TYPE ("ay"), e->value, TRUE));
    }
  v = g_variant_ref_sink (g_variant_builder_end (&b));
  evbuffer_add (body, g_variant_get_data (v), g_variant_get_size (v));
  evhttp_send_reply (request, status, "yielded", body);
  evbuffer_free (body);
  g_variant_unref (v);
}

/* Yield a cell that is owned here, or send the entries that were kept when it
   was released. */
static void
serve_yield (struct node *n, struct cell_host *h, const char *service,
             struct evhttp_request *request)
{
  GPtrArray *records
      = g_hash_table_lookup (n->ownership.released_entries, service);

  if (h != NULL && h->phase == HOST_ACTIVE)
    {
      records = host_yield (h, node_now_ms ());
      send_records (request, 200, records);
      g_ptr_array_unref (records);
    }
  else if (records != NULL)
    send_records (
        request,
        g_hash_table_add (n->ownership.sent_released, g_strdup (service))
            ? 200
            : STATUS_ALREADY_YIELDED,
        records);
  else
    evhttp_send_reply (request, STATUS_NOT_OWNER, "not the owner", NULL);
}

/* Answer a probe; see peer_probe. */
static void
serve_probe (const struct cell_host *h, struct evhttp_request *request)
{
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add_printf (body, "%" G_GINT64_FORMAT " %d",
                       node_now_ms () - h->confirmed_ms,
                       owner_is_reserve (h->node));
  evhttp_send_reply (request, 200, "owner", body);
  evbuffer_free (body);
}

/* Answer with BYTES, which are unreffed here. */
static void
send_bytes (struct evhttp_request *request, const char *reason, GBytes *bytes)
{
  struct evbuffer *body = evbuffer_new ();
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);

  evbuffer_add (body, data, size);
  evhttp_send_reply (request, 200, reason, body);
  evbuffer_free (body);
  g_bytes_unref (bytes);
}

static void
serve_load (const struct cell_host *h, struct evhttp_request *request)
{
  struct pool_load *load = cell_get_pool_load (h->cell);

  send_bytes (request, "load", pool_load_to_bytes (load));
  pool_load_destroy (load);
}

/* Return the body of REQUEST, which the caller unrefs, or NULL if it has none
   or is too long. */
static GBytes *
read_body (struct evhttp_request *request)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  gsize size = evbuffer_get_length (in);

  if (size == 0 || size > BODY_MAX_BYTES)
    return NULL;
  return g_bytes_new (evbuffer_pullup (in, -1), size);
}

/* Answer a call of the ledger with the cell's report. */
static void
serve_allotments (struct cell_host *h, struct evhttp_request *request)
{
  GBytes *bytes = read_body (request);
  struct allotment_call *call
      = bytes != NULL ? allotment_call_from_bytes (bytes) : NULL;

  if (call == NULL)
    evhttp_send_reply (request, 400, "malformed allotments", NULL);
  else
    {
      struct account_report *report
          = host_exchange_allotments (h, call, node_now_ms ());

      send_bytes (request, "report", account_report_to_bytes (report));
      account_report_destroy (report);
    }
  allotment_call_destroy (call);
  if (bytes != NULL)
    g_bytes_unref (bytes);
}

static bool
parse_verb (const char *path, enum evhttp_cmd_type method,
            enum front_verb *verb, const char **subject)
{
  static const enum front_verb all[]
      = { FRONT_SUBMIT,        FRONT_GET_STATE,    FRONT_CANCEL,
          FRONT_COUNT_WAITING, FRONT_EMPTY_WORKER, FRONT_WORKER_ENDED };
  const char *name = method == EVHTTP_REQ_POST     ? "POST"
                     : method == EVHTTP_REQ_DELETE ? "DELETE"
                                                   : "GET";

  for (gsize i = 0; i < G_N_ELEMENTS (all); i++)
    if (g_str_has_prefix (path, peer_path_of_verb (all[i]))
        && strcmp (name, peer_method_of_verb (all[i])) == 0)
      {
        *verb = all[i];
        *subject = path + strlen (peer_path_of_verb (all[i]));
        return true;
      }
  return false;
}

static struct job_spec *
read_spec (struct evhttp_request *request)
{
  GBytes *bytes = read_body (request);
  struct job_spec *spec;

  if (bytes == NULL)
    return NULL;
  spec = job_spec_from_bytes (bytes);
  g_bytes_unref (bytes);
  return spec;
}

/* Stop H, which may be NULL, if its epoch is below the one in PATH. */
static void
serve_successor (struct cell_host *h, const char *path,
                 struct evhttp_request *request)
{
  uint64_t epoch = g_ascii_strtoull (path + strlen (SUCCESSOR_PATH), NULL, 10);

  if (h != NULL)
    host_stop_below (h, epoch, node_now_ms ());
  evhttp_send_reply (request, 200, "stopped", NULL);
}

/* Serve a probe, yield, load or allotment call for the cell of OWNED, which is
   NULL if this node does not own it.  Return false if it is another call. */
static bool
serve_cell_call (struct node *n, struct evhttp_request *request,
                 const char *path, const char *service,
                 struct cell_host *owned)
{
  bool is_post = evhttp_request_get_command (request) == EVHTTP_REQ_POST;

  if (g_str_has_prefix (path, CELLS_PATH) && is_post)
    serve_yield (n, owned, service, request);
  else if (owned != NULL && g_str_has_prefix (path, CELLS_PATH))
    serve_probe (owned, request);
  else if (owned != NULL && owned->cell != NULL
           && g_str_has_prefix (path, LOAD_PATH))
    serve_load (owned, request);
  else if (owned != NULL && owned->cell != NULL && is_post
           && g_str_has_prefix (path, ACCOUNTS_PATH))
    serve_allotments (owned, request);
  else
    return false;
  return true;
}

static void
serve_request (struct node *n, struct evhttp_request *request,
               const char *path, const char *service, int64_t routes_version)
{
  struct front_request received
      = { .service = service, .routes_version = routes_version };
  struct cell_host *h = g_hash_table_lookup (n->hosts, service);
  struct peer_request *context;

  if (g_str_has_prefix (path, SUCCESSOR_PATH))
    {
      serve_successor (h, path, request);
      return;
    }
  if (g_str_has_prefix (path, RELAY_PATH))
    {
      order_relay_serve (n, request);
      return;
    }
  if (h != NULL && (h->phase != HOST_ACTIVE || n->is_stopping))
    h = NULL;
  if (serve_cell_call (n, request, path, service, h))
    return;
  if (h == NULL || h->cell == NULL || routes_version > n->routes->version)
    {
      evhttp_send_reply (request, STATUS_NOT_OWNER, "not the owner", NULL);
      return;
    }
  if (!parse_verb (path, evhttp_request_get_command (request), &received.verb,
                   &received.subject))
    {
      evhttp_send_reply (request, 400, "unknown call", NULL);
      return;
    }
  /* As of any refusal with this status, nothing was carried out. */
  if (n->open_peer_requests >= n->settings->max_open_requests)
    {
      meters_add (n->meters, METER_REQUESTS_REFUSED_OPEN, 1);
      evhttp_send_reply (request, 503, "too many requests", NULL);
      return;
    }
  if (received.verb == FRONT_SUBMIT)
    {
      received.spec = read_spec (request);
      if (received.spec == NULL
          || strcmp (received.spec->id, received.subject) != 0)
        {
          job_spec_destroy (received.spec);
          evhttp_send_reply (request, 400, "malformed job", NULL);
          return;
        }
      if (!host_accepts_job (h, received.spec))
        {
          job_spec_destroy (received.spec);
          evhttp_send_reply (request, STATUS_NOT_OWNER, "not the queue's home",
                             NULL);
          return;
        }
    }
  context = g_new0 (struct peer_request, 1);
  context->node = n;
  context->request = request;
  context->verb = received.verb;
  n->open_peer_requests++;
  host_handle_request (h, &received, send_answer, context, node_now_ms ());
}

static void
on_request (struct evhttp_request *request, void *data)
{
  struct node *n = data;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  char *path = g_uri_unescape_string (evhttp_uri_get_path (uri), NULL);
  struct evkeyvalq query;
  const char *service, *version;

  memset (&query, 0, sizeof query);
  if (evhttp_uri_get_query (uri) != NULL)
    evhttp_parse_query_str (evhttp_uri_get_query (uri), &query);
  service = evhttp_find_header (&query, "service");
  version = evhttp_find_header (&query, VERSION_PARAMETER);
  if (path == NULL || service == NULL)
    evhttp_send_reply (request, 400, "no service", NULL);
  else
    serve_request (n, request, path, service,
                   version != NULL ? g_ascii_strtoll (version, NULL, 10) : 0);
  evhttp_clear_headers (&query);
  g_free (path);
}

struct http_listener *
peers_listen (struct node *n, uint32_t max_connections)
{
  const struct http_listener_options options
      = { .name = "peers",
          .ip = n->settings->ip,
          .port = n->settings->peer_port,
          .max_connections = max_connections,
          .request = { .header_bytes = HEADER_MAX_BYTES,
                       .body_bytes = BODY_MAX_BYTES,
                       .head_timeout_ms = HEAD_TIMEOUT_MS,
                       .idle_timeout_ms = IDLE_TIMEOUT_MS },
          .serve = on_request,
          .data = n };

  return http_server_listen (n->http_server, &options);
}
