#include "backend.h"

#include <gio/gio.h>
#include <string.h>

#define PIECE_BYTES 65536
#define IDLE_CONNECTION_S 30

struct backend
{
  SoupSession *session;
  uint32_t runs;
  bool destroying;
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
  uint64_t received;
  goffset length;
  int64_t started_ms;
  int64_t send_by_ms;
  bool sent;  /* the back end may have got it */
  bool begun; /* the answer's head has been passed on */
  bool timed_out;
  bool too_late; /* it was not sent in time, so it is not sent at all */
};

struct backend *
backend_new (const struct settings *settings)
{
  struct backend *b = g_new0 (struct backend, 1);

  b->session = soup_session_new_with_options (
      "max-conns", 100000, "max-conns-per-host",
      (int)settings->connections_per_worker, "idle-timeout", IDLE_CONNECTION_S,
      "proxy-resolver", NULL, NULL);
  /* Answers go through as they are. */
  soup_session_remove_feature_by_type (b->session, SOUP_TYPE_CONTENT_DECODER);
  return b;
}

void
backend_destroy (struct backend *backend)
{
  backend->destroying = true;
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
end (struct backend_run *r, enum run_result result)
{
  struct backend *b = r->backend;

  b->runs--;
  if (!b->destroying)
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

/* What an error at this point means for the run. */
static enum run_result
broken_result (const struct backend_run *r)
{
  if (r->too_late)
    return RUN_NOT_SENT;
  if (r->timed_out)
    return r->sent ? RUN_TIMED_OUT : RUN_NOT_STARTED;
  if (!r->sent)
    return RUN_NOT_STARTED;
  if (g_cancellable_is_cancelled (r->cancellable))
    return RUN_ABANDONED;
  return r->begun ? RUN_TRUNCATED : RUN_LOST;
}

static void
on_piece (GObject *source, GAsyncResult *result, gpointer data)
{
  struct backend_run *r = data;
  GError *error = NULL;
  GBytes *piece = g_input_stream_read_bytes_finish (G_INPUT_STREAM (source),
                                                    result, &error);
  gsize size;

  if (piece == NULL)
    {
      g_error_free (error);
      end (r, broken_result (r));
      return;
    }
  size = g_bytes_get_size (piece);
  r->received += size;
  if (size == 0)
    {
      bool whole = r->length < 0 || r->received == (uint64_t)r->length;

      end (r, whole ? RUN_ANSWERED : RUN_TRUNCATED);
    }
  else if (r->received > r->max_answer_bytes)
    end (r, RUN_TOO_LARGE);
  else if (!r->backend->destroying)
    r->functions->piece (r->data, piece);
  else
    end (r, RUN_ABANDONED);
  g_bytes_unref (piece);
}

void
backend_more (struct backend_run *run)
{
  g_input_stream_read_bytes_async (run->stream, PIECE_BYTES,
                                   G_PRIORITY_DEFAULT, run->cancellable,
                                   on_piece, run);
}

/* Whether the back end says that it did not start the task. */
static bool
says_not_started (SoupMessage *message)
{
  const char *started = soup_message_headers_get_one (
      soup_message_get_response_headers (message), "Task-Started");

  return started != NULL && strcmp (started, "no") == 0;
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  struct backend_run *r = data;
  GError *error = NULL;
  SoupMessageHeaders *headers;

  r->stream = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  if (r->stream == NULL)
    {
      g_error_free (error);
      end (r, broken_result (r));
      return;
    }
  headers = soup_message_get_response_headers (r->message);
  if (says_not_started (r->message))
    {
      end (r, RUN_NOT_STARTED);
      return;
    }
  if (soup_message_get_status (r->message) >= 500)
    {
      end (r, RUN_FAILED);
      return;
    }
  r->length = -1;
  if (soup_message_headers_get_encoding (headers)
      == SOUP_ENCODING_CONTENT_LENGTH)
    r->length = soup_message_headers_get_content_length (headers);
  if (r->length > 0 && (uint64_t)r->length > r->max_answer_bytes)
    {
      end (r, RUN_TOO_LARGE);
      return;
    }
  r->begun = true;
  r->functions->begin (r->data, soup_message_get_status (r->message), headers,
                       r->length);
  backend_more (r);
}

/* The connection stands and the request is about to go out: the last moment
   at which a process that was paused can see that it is too late. */
static void
on_starting (SoupMessage *message, gpointer data)
{
  struct backend_run *r = data;

  r->too_late = now_ms () > r->send_by_ms;
  r->sent = !r->too_late;
  if (r->too_late)
    g_cancellable_cancel (r->cancellable);
}

static gboolean
on_timeout (gpointer data)
{
  struct backend_run *r = data;

  r->timed_out = true;
  g_cancellable_cancel (r->cancellable);
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
  /* libsoup sends a POST on a kept connection only if it is told that the
     message is idempotent.  On a fresh one, "it broke" never hides a stale
     connection. */
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
  g_signal_connect (r->message, "starting", G_CALLBACK (on_starting), r);
  r->timer = g_timeout_source_new ((guint)MAX (order->timeout_ms, 1));
  g_source_set_callback (r->timer, on_timeout, r, NULL);
  g_source_attach (r->timer, g_main_context_get_thread_default ());
  backend->runs++;
  soup_session_send_async (backend->session, r->message, G_PRIORITY_DEFAULT,
                           r->cancellable, on_answer, r);
  return r;
}

void
backend_abandon (struct backend_run *run)
{
  g_cancellable_cancel (run->cancellable);
}
