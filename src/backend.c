#include "backend.h"

#include <gio/gio.h>
#include <string.h>

#define CHUNK_MAX_BYTES 65536
#define IDLE_CONNECTION_TIMEOUT_S 30

struct backend
{
  SoupSession *session;
  uint32_t runs; /* in progress */
  bool is_destroying;
};

struct backend_run
{
  struct backend *backend;
  const struct backend_functions *functions;
  void *data;
  SoupMessage *message;
  GCancellable *cancellable;
  GInputStream *stream;
  GSource *timer;
  uint64_t max_answer_bytes;
  uint64_t received_bytes;
  goffset length_bytes; /* of the answer; -1 if not known */
  int64_t started_ms;
  int64_t send_by_ms;    /* not sent at all after this time */
  bool may_have_arrived; /* the back end may have received the request */
  bool is_reading;       /* a read of the next chunk is in progress */
  bool has_begun;        /* the begin callback has been called */
  bool is_timed_out;
  bool is_too_late; /* send_by_ms passed before it could be sent */
};

struct backend *
backend_new (const struct settings *settings)
{
  struct backend *b = g_new0 (struct backend, 1);

  b->session = soup_session_new_with_options (
      "max-conns", 100000, "max-conns-per-host",
      (int)settings->connections_per_worker, "idle-timeout",
      IDLE_CONNECTION_TIMEOUT_S, "proxy-resolver", NULL, NULL);
  /* Pass answers on as they are, without decompressing them. */
  soup_session_remove_feature_by_type (b->session, SOUP_TYPE_CONTENT_DECODER);
  return b;
}

void
backend_destroy (struct backend *backend)
{
  backend->is_destroying = true;
  soup_session_abort (backend->session);
  while (backend->runs > 0)
    g_main_context_iteration (g_main_context_get_thread_default (), TRUE);
  g_object_unref (backend->session);
  g_free (backend);
}

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
end_run (struct backend_run *r, enum run_result result)
{
  struct backend *b = r->backend;

  b->runs--;
  if (!b->is_destroying)
    r->functions->end (r->data, result, soup_message_get_status (r->message),
                       now_ms () - r->started_ms);
  g_source_destroy (r->timer);
  g_source_unref (r->timer);
  g_signal_handlers_disconnect_by_data (r->message, r);
  g_clear_object (&r->stream);
  g_object_unref (r->message);
  g_object_unref (r->cancellable);
  g_free (r);
}

/* Return the result of R, whose request or read has just failed. */
static enum run_result
result_of_error (const struct backend_run *r)
{
  if (r->is_too_late)
    return RUN_NOT_SENT;
  if (r->is_timed_out)
    return r->may_have_arrived ? RUN_TIMED_OUT : RUN_NOT_STARTED;
  if (!r->may_have_arrived)
    return RUN_NOT_STARTED;
  if (g_cancellable_is_cancelled (r->cancellable))
    return RUN_ABANDONED;
  return r->has_begun ? RUN_TRUNCATED : RUN_LOST;
}

static void
on_chunk (GObject *source, GAsyncResult *result, gpointer data)
{
  struct backend_run *r = data;
  GError *error = NULL;
  GBytes *chunk = g_input_stream_read_bytes_finish (G_INPUT_STREAM (source),
                                                    result, &error);
  gsize size;

  r->is_reading = false;
  if (chunk == NULL)
    {
      g_error_free (error);
      end_run (r, result_of_error (r));
      return;
    }
  size = g_bytes_get_size (chunk);
  r->received_bytes += size;
  if (size == 0)
    {
      bool is_complete = r->length_bytes < 0
                         || r->received_bytes == (uint64_t)r->length_bytes;

      end_run (r, is_complete ? RUN_ANSWERED : RUN_TRUNCATED);
    }
  else if (r->received_bytes > r->max_answer_bytes)
    end_run (r, RUN_TOO_LARGE);
  else if (!r->backend->is_destroying)
    r->functions->chunk (r->data, chunk);
  else
    end_run (r, RUN_ABANDONED);
  g_bytes_unref (chunk);
}

void
backend_read_next (struct backend_run *run)
{
  if (run->is_reading)
    return;
  run->is_reading = true;
  g_input_stream_read_bytes_async (run->stream, CHUNK_MAX_BYTES,
                                   G_PRIORITY_DEFAULT, run->cancellable,
                                   on_chunk, run);
}

/* Return whether the back end reports, by the header Task-Started, that it did
   not start the task. */
static bool
is_marked_not_started (SoupMessage *message)
{
  const char *started = soup_message_headers_get_one (
      soup_message_get_response_headers (message), "Task-Started");

  return started != NULL && strcmp (started, "no") == 0;
}

static void
on_answer_headers (GObject *source, GAsyncResult *result, gpointer data)
{
  struct backend_run *r = data;
  GError *error = NULL;
  SoupMessageHeaders *headers;

  r->stream = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  if (r->stream == NULL)
    {
      g_error_free (error);
      end_run (r, result_of_error (r));
      return;
    }
  headers = soup_message_get_response_headers (r->message);
  if (is_marked_not_started (r->message))
    {
      end_run (r, RUN_NOT_STARTED);
      return;
    }
  if (soup_message_get_status (r->message) >= 500)
    {
      end_run (r, RUN_FAILED);
      return;
    }
  r->length_bytes = -1;
  if (soup_message_headers_get_encoding (headers)
      == SOUP_ENCODING_CONTENT_LENGTH)
    r->length_bytes = soup_message_headers_get_content_length (headers);
  if (r->length_bytes > 0 && (uint64_t)r->length_bytes > r->max_answer_bytes)
    {
      end_run (r, RUN_TOO_LARGE);
      return;
    }
  r->has_begun = true;
  r->functions->begin (r->data, soup_message_get_status (r->message), headers,
                       r->length_bytes);
  backend_read_next (r);
}

/* The connection is established and libsoup is about to send the request.  The
   deadline is checked here, as late as possible, because the process may have
   been paused since the core decided to send it. */
static void
on_message_starting (SoupMessage *message, gpointer data)
{
  struct backend_run *r = data;

  r->is_too_late = now_ms () > r->send_by_ms;
  r->may_have_arrived = !r->is_too_late;
  if (r->is_too_late)
    g_cancellable_cancel (r->cancellable);
}

/* Cancel R.  Between two chunks no operation is in progress that could fail,
   so start a read: it fails at once, which ends the run. */
static void
cancel_run (struct backend_run *r)
{
  g_cancellable_cancel (r->cancellable);
  if (r->has_begun)
    backend_read_next (r);
}

static gboolean
on_timeout (gpointer data)
{
  struct backend_run *r = data;

  r->is_timed_out = true;
  cancel_run (r);
  return G_SOURCE_REMOVE;
}

static SoupMessage *
make_message (const struct message_run *order, const char *task,
              const char *content_type, GBytes *body)
{
  bool v6 = strchr (order->address, ':') != NULL;
  char *uri = g_strdup_printf (
      v6 ? "http://[%s]:%u/run/%s/%s" : "http://%s:%u/run/%s/%s",
      order->address, order->port, order->service, order->class_name);
  SoupMessage *m = soup_message_new ("POST", uri);
  SoupMessageHeaders *h = soup_message_get_request_headers (m);

  soup_message_headers_append (h, "Task-Id", task);
  soup_message_headers_append (h, "Task-Pool", order->pool);
  soup_message_set_request_body_from_bytes (m, content_type, body);
  soup_message_add_flags (m, SOUP_MESSAGE_NO_REDIRECT);
  /* libsoup reuses a kept connection for a POST only if the message is flagged
     as idempotent.  Other requests get a new connection, so that a connection
     error is never that of a stale connection. */
  soup_message_add_flags (m, order->idempotent ? SOUP_MESSAGE_IDEMPOTENT
                                               : SOUP_MESSAGE_NEW_CONNECTION);
  g_free (uri);
  return m;
}

struct backend_run *
backend_start (struct backend *backend, const struct message_run *order,
               const char *task, const char *content_type, GBytes *body,
               const struct backend_functions *functions, void *data)
{
  struct backend_run *r = g_new0 (struct backend_run, 1);

  r->backend = backend;
  r->functions = functions;
  r->data = data;
  r->max_answer_bytes = order->max_answer_bytes;
  r->started_ms = now_ms ();
  r->send_by_ms = order->send_by_ms;
  r->cancellable = g_cancellable_new ();
  r->message = make_message (order, task, content_type, body);
  g_signal_connect (r->message, "starting", G_CALLBACK (on_message_starting),
                    r);
  r->timer = g_timeout_source_new ((guint)MAX (order->timeout_ms, 1));
  g_source_set_callback (r->timer, on_timeout, r, NULL);
  g_source_attach (r->timer, g_main_context_get_thread_default ());
  backend->runs++;
  soup_session_send_async (backend->session, r->message, G_PRIORITY_DEFAULT,
                           r->cancellable, on_answer_headers, r);
  return r;
}

void
backend_abandon (struct backend_run *run)
{
  cancel_run (run);
}
