#include "node_peer_calls.h"

#include <string.h>

/* Sends requests to other nodes and reads their answers. */

/* Timeout of calls about a cell.  Short, as a watching node takes over if its
   probes fail. */
#define PROBE_TIMEOUT_MS 500
/* Longest retry delay that an owner may tell. */
#define RETRY_AFTER_MAX_MS 60000

bool
peer_read_answer (enum front_verb verb, const struct http_reply *reply,
                  struct front_answer *answer)
{
  /* The body is NULL if the other node did not answer. */
  char *text = reply->body_bytes > 0
                   ? g_strndup ((const char *)reply->body, reply->body_bytes)
                   : g_strdup ("0");
  uint32_t number = (uint32_t)g_ascii_strtoull (text, NULL, 10);

  g_free (text);
  *answer = (struct front_answer){ .number = number };
  if (verb == FRONT_GET_STATE)
    answer->state = MIN (number, JOB_STATE_COUNT - 1);
  switch (reply->status)
    {
    case 200:
      answer->result = FRONT_DONE;
      return true;
    case 410:
      answer->result = FRONT_NOT_FOUND;
      return true;
    case 503:
      answer->result = FRONT_UNAVAILABLE;
      return true;
    case 429:
      answer->result = FRONT_TOO_MANY;
      answer->retry_after_ms = MIN (number, RETRY_AFTER_MAX_MS);
      return true;
    case 504:
      answer->result = FRONT_UNCLEAR;
      return true;
    default:
      return false;
    }
}

const char *
peer_path_of_verb (enum front_verb verb)
{
  switch (verb)
    {
    case FRONT_SUBMIT:
    case FRONT_GET_STATE:
    case FRONT_CANCEL:
      return JOBS_PATH;
    case FRONT_COUNT_WAITING:
      return QUEUES_PATH;
    case FRONT_EMPTY_WORKER:
    case FRONT_WORKER_ENDED:
      return WORKERS_PATH;
    }
  return JOBS_PATH;
}

const char *
peer_method_of_verb (enum front_verb verb)
{
  switch (verb)
    {
    case FRONT_SUBMIT:
    case FRONT_EMPTY_WORKER:
      return "POST";
    case FRONT_CANCEL:
    case FRONT_WORKER_ENDED:
      return "DELETE";
    case FRONT_GET_STATE:
    case FRONT_COUNT_WAITING:
      return "GET";
    }
  return "GET";
}

void
peer_send (struct node *n, const char *address,
           const struct front_request *request, int64_t timeout_ms,
           http_reply_callback done, void *data)
{
  char *subject = g_uri_escape_string (request->subject, NULL, FALSE);
  char *service = g_uri_escape_string (request->service, NULL, FALSE);
  char *path = g_strdup_printf ("%s%s?service=%s&" VERSION_PARAMETER
                                "=%" G_GINT64_FORMAT,
                                peer_path_of_verb (request->verb), subject,
                                service, request->routes_version);
  struct http_call call = { .method = peer_method_of_verb (request->verb),
                            .path = path,
                            .timeout_ms = timeout_ms,
                            .lane = LANE_SHORT_CALLS };

  if (request->verb == FRONT_SUBMIT)
    {
      call.content_type = "application/octet-stream";
      call.body = g_bytes_get_data (request->encoded, &call.body_bytes);
    }
  else if (request->verb == FRONT_EMPTY_WORKER)
    {
      call.body = "-";
      call.body_bytes = 1;
    }
  http_client_send (n->client, address, &call, done, data);
  g_free (path);
  g_free (service);
  g_free (subject);
}

/* Send a call about the cell of SERVICE.  BODY is that of a POST, or NULL for
   one that says nothing. */
static void
send_cell_call_with (struct node *n, const char *address, const char *method,
                     const char *prefix, const char *service, GBytes *body,
                     http_reply_callback done, void *data)
{
  char *name = g_uri_escape_string (service, NULL, FALSE);
  char *path = g_strconcat (prefix, name, "?service=", name, NULL);
  struct http_call call = { .method = method,
                            .path = path,
                            .timeout_ms = PROBE_TIMEOUT_MS,
                            .lane = LANE_LONG_POLLS };

  if (body != NULL)
    {
      call.content_type = "application/octet-stream";
      call.body = g_bytes_get_data (body, &call.body_bytes);
    }
  else if (strcmp (method, "POST") == 0)
    {
      call.body = "-";
      call.body_bytes = 1;
    }
  http_client_send (n->client, address, &call, done, data);
  g_free (path);
  g_free (name);
}

static void
send_cell_call (struct node *n, const char *address, const char *method,
                const char *prefix, const char *service,
                http_reply_callback done, void *data)
{
  send_cell_call_with (n, address, method, prefix, service, NULL, done, data);
}

void
peer_send_allotments (struct node *n, const char *address, const char *service,
                      const struct allotment_call *call,
                      http_reply_callback done, void *data)
{
  GBytes *body = allotment_call_to_bytes (call);

  send_cell_call_with (n, address, "POST", ACCOUNTS_PATH, service, body, done,
                       data);
  g_bytes_unref (body);
}

void
peer_probe (struct node *n, const char *address, const char *service,
            http_reply_callback done, void *data)
{
  send_cell_call (n, address, "GET", CELLS_PATH, service, done, data);
}

void
peer_request_yield (struct node *n, const char *address, const char *service,
                    http_reply_callback done, void *data)
{
  send_cell_call (n, address, "POST", CELLS_PATH, service, done, data);
}

void
peer_request_load (struct node *n, const char *address, const char *service,
                   http_reply_callback done, void *data)
{
  send_cell_call (n, address, "GET", LOAD_PATH, service, done, data);
}

void
peer_stop_owner (struct node *n, const char *address, const char *service,
                 uint64_t epoch, http_reply_callback done, void *data)
{
  char *path
      = g_strdup_printf (SUCCESSOR_PATH "%" G_GUINT64_FORMAT "/", epoch);

  send_cell_call (n, address, "POST", path, service, done, data);
  g_free (path);
}

GPtrArray *
peer_read_records (const struct http_reply *reply)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (journal_entry_free);
  GBytes *bytes = g_bytes_new (reply->body, reply->body_bytes);
  GVariant *v = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (RECORDS_TYPE), bytes, FALSE));
  GVariantIter iter;
  const char *key;
  GVariant *value;

  g_variant_iter_init (&iter, v);
  while (g_variant_iter_next (&iter, "(&s@ay)", &key, &value))
    {
      GBytes *data = g_variant_get_data_as_bytes (value);

      g_ptr_array_add (records, journal_entry_new (key, data));
      g_bytes_unref (data);
      g_variant_unref (value);
    }
  g_variant_unref (v);
  g_bytes_unref (bytes);
  return records;
}
