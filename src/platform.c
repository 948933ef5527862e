#include "platform.h"

#include "fields.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

/* Timeout of a call; a read of the log that waits has its wait besides. */
#define CALL_TIMEOUT_MS 3000
/* Maximum sizes of an answer, of its log entries, and of its VM list. */
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)
#define MAX_ENTRIES 100000
#define MAX_VMS 100000

struct platform
{
  char *base_url; /* http://ADDRESS:PORT */
  char *authorization;
  struct counters *counters;
  SoupSession *session;
  GCancellable *cancellable;
  uint32_t n_calls; /* number of calls in progress */
};

/* An HTTP call in progress. */
struct call
{
  struct platform *platform;
  SoupMessage *message;
  GSource *timer;            /* call timeout */
  GCancellable *cancellable; /* of this call alone */
  gulong cancel_handler; /* handler that cancels the call with the platform */
  bool may_have_been_sent; /* if so, an error leaves the outcome unclear */
  void (*finish) (struct call *call, GBytes *answer, guint status);
  union
  {
    platform_append_done append;
    platform_read_done read;
    platform_vm_list_done list;
    platform_order_done order;
  } done;
  void *data;
};

struct platform *
platform_new (const struct endpoint *endpoint, const char *token,
              struct counters *counters)
{
  struct platform *p = g_new0 (struct platform, 1);

  p->base_url = g_strdup_printf (strchr (endpoint->address, ':') != NULL
                                     ? "http://[%s]:%u"
                                     : "http://%s:%u",
                                 endpoint->address, endpoint->port);
  if (token[0] != '\0')
    p->authorization = g_strconcat ("Bearer ", token, NULL);
  p->counters = counters;
  p->session = soup_session_new_with_options ("max-conns-per-host", 6,
                                              "proxy-resolver", NULL, NULL);
  p->cancellable = g_cancellable_new ();
  return p;
}

void
platform_destroy (struct platform *platform)
{
  if (platform == NULL)
    return;
  g_cancellable_cancel (platform->cancellable);
  soup_session_abort (platform->session);
  while (platform->n_calls > 0)
    g_main_context_iteration (g_main_context_get_thread_default (), TRUE);
  g_object_unref (platform->session);
  g_object_unref (platform->cancellable);
  g_free (platform->base_url);
  g_free (platform->authorization);
  g_free (platform);
}

/* Calls. */

static void
on_starting (SoupMessage *message, gpointer data)
{
  struct call *c = data;

  c->may_have_been_sent = true;
}

static gboolean
on_timeout (gpointer data)
{
  struct call *c = data;

  g_cancellable_cancel (c->cancellable);
  return G_SOURCE_REMOVE;
}

static void
cancel_one_call (GCancellable *platform_cancellable, gpointer data)
{
  g_cancellable_cancel (data);
}

static void
call_free (struct call *c)
{
  g_source_destroy (c->timer);
  g_source_unref (c->timer);
  g_signal_handlers_disconnect_by_data (c->message, c);
  g_object_unref (c->message);
  g_object_unref (c->cancellable);
  g_free (c);
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *c = data;
  GBytes *answer = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                      result, NULL);

  g_cancellable_disconnect (c->platform->cancellable, c->cancel_handler);
  c->platform->n_calls--;
  if (!g_cancellable_is_cancelled (c->platform->cancellable))
    c->finish (c, answer, soup_message_get_status (c->message));
  if (answer != NULL)
    g_bytes_unref (answer);
  call_free (c);
}

static struct call *
call_new (struct platform *p, const char *method, const char *path,
          void (*finish) (struct call *, GBytes *, guint), void *data)
{
  struct call *c = g_new0 (struct call, 1);
  char *uri = g_strconcat (p->base_url, path, NULL);

  c->platform = p;
  c->message = soup_message_new (method, uri);
  c->finish = finish;
  c->data = data;
  c->cancellable = g_cancellable_new ();
  if (p->authorization != NULL)
    soup_message_headers_append (soup_message_get_request_headers (c->message),
                                 "Authorization", p->authorization);
  g_signal_connect (c->message, "starting", G_CALLBACK (on_starting), c);
  g_free (uri);
  return c;
}

static void
send_call (struct call *c, int64_t timeout_ms)
{
  struct platform *p = c->platform;

  c->timer = g_timeout_source_new ((guint)timeout_ms);
  g_source_set_callback (c->timer, on_timeout, c, NULL);
  g_source_attach (c->timer, g_main_context_get_thread_default ());
  c->cancel_handler
      = g_cancellable_connect (p->cancellable, G_CALLBACK (cancel_one_call),
                               g_object_ref (c->cancellable), g_object_unref);
  p->n_calls++;
  soup_session_send_and_read_async (p->session, c->message, G_PRIORITY_DEFAULT,
                                    c->cancellable, on_answer, c);
}

/* Appending. */

static void
finish_append (struct call *c, GBytes *answer, guint status)
{
  enum append_result result = APPEND_UNCLEAR;

  if (answer != NULL && status == 200)
    result = APPEND_DONE;
  else if (status == 429)
    result = APPEND_THROTTLED;
  else if (!c->may_have_been_sent || (status >= 400 && status < 500))
    result = APPEND_NOT_DONE;
  c->done.append (result, c->data);
}

void
platform_append (struct platform *platform, const GPtrArray *texts,
                 platform_append_done done, void *data)
{
  struct call *c = call_new (platform, "POST", "/log", finish_append, data);
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;
  GBytes *body;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "records");
  json_builder_begin_array (b);
  for (guint i = 0; i < texts->len; i++)
    json_builder_add_string_value (b, g_ptr_array_index (texts, i));
  json_builder_end_array (b);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  counters_add (platform->counters, COUNTER_LOG_BYTES_APPENDED, strlen (text));
  body = g_bytes_new_take (text, strlen (text));
  soup_message_set_request_body_from_bytes (c->message, "application/json",
                                            body);
  g_bytes_unref (body);
  json_node_unref (root);
  g_object_unref (b);
  c->done.append = done;
  send_call (c, CALL_TIMEOUT_MS);
}

/* Reading. */

static void
read_entry (struct fields *f, struct log_entry *e)
{
  char *text;

  e->offset = (uint64_t)fields_int (f, "offset", 1, INT64_MAX, 0);
  e->at_ms = fields_int (f, "at_ms", 0, INT64_MAX, -1);
  text = fields_string (f, "data", NULL);
  if (strlen (text) <= RECORD_MAX_BYTES)
    e->record = record_from_text (text, -1, NULL);
  g_free (text);
}

static bool
read_entries (JsonNode *root, struct platform_read_result *r)
{
  struct fields *f = fields_open (root, "");
  bool is_valid = true;
  guint n;

  r->first = (uint64_t)fields_int (f, "first", 0, INT64_MAX, -1);
  r->head = (uint64_t)fields_int (f, "head", 0, INT64_MAX, -1);
  n = fields_count (f, "records", MAX_ENTRIES);
  for (guint i = 0; i < n; i++)
    {
      struct fields *element
          = fields_open (fields_element (f, "records", i, NULL), "records");
      struct log_entry e = { 0, 0, NULL };

      read_entry (element, &e);
      g_array_append_val (r->entries, e);
      is_valid = fields_close (element, NULL) && is_valid;
    }
  return fields_close (f, NULL) && is_valid;
}

static JsonNode *
parse_answer (GBytes *answer, guint status)
{
  gsize size;
  const char *text;

  if (answer == NULL || status != 200)
    return NULL;
  text = g_bytes_get_data (answer, &size);
  if (size > ANSWER_MAX_BYTES)
    return NULL;
  return fields_parse (text, (gssize)size, "the platform's answer", NULL);
}

static void
finish_read (struct call *c, GBytes *answer, guint status)
{
  struct platform_read_result r = { NULL, 0, 0 };
  JsonNode *root = parse_answer (answer, status);

  if (root != NULL)
    {
      r.entries = log_entries_new ();
      counters_add (c->platform->counters, COUNTER_LOG_BYTES_READ,
                    g_bytes_get_size (answer));
      if (!read_entries (root, &r))
        g_clear_pointer (&r.entries, g_array_unref);
      json_node_unref (root);
    }
  c->done.read (&r, c->data);
}

void
platform_read_log (struct platform *platform, uint64_t after, int64_t wait_ms,
                   platform_read_done done, void *data)
{
  char *path = g_strdup_printf ("/log?after=%" G_GUINT64_FORMAT
                                "&wait_ms=%" G_GINT64_FORMAT,
                                (guint64)after, (gint64)wait_ms);
  struct call *c = call_new (platform, "GET", path, finish_read, data);

  g_free (path);
  c->done.read = done;
  send_call (c, CALL_TIMEOUT_MS + wait_ms);
}

/* The VM list. */

static void
read_vm (struct fields *f, struct listed_vm *v)
{
  static const char *const states[]
      = { "live", "leaving", "rebooting", "gone", NULL };

  v->vm = fields_name (f, "vm");
  v->address = fields_string (f, "address", NULL);
  v->port = (uint16_t)fields_int (f, "port", 1, 65535, 0);
  v->zone = fields_name (f, "zone");
  v->rack = fields_name (f, "rack");
  v->pool = fields_name (f, "pool");
  v->slots = (uint32_t)fields_int (f, "slots", 1, 4096, 0);
  v->running = (uint32_t)fields_int (f, "running", 0, 100000, 0);
  v->state = (enum vm_state)fields_choice (f, "state", states, VM_STATE_GONE);
}

static bool
read_vms (JsonNode *root, GArray *vms)
{
  struct fields *f = fields_open (root, "");
  guint n = fields_count (f, "vms", MAX_VMS);
  bool is_valid = true;

  for (guint i = 0; i < n; i++)
    {
      struct fields *element
          = fields_open (fields_element (f, "vms", i, NULL), "vms");
      struct listed_vm v = { 0 };

      read_vm (element, &v);
      g_array_append_val (vms, v);
      is_valid = fields_close (element, NULL) && is_valid;
    }
  return fields_close (f, NULL) && is_valid;
}

static void
finish_list (struct call *c, GBytes *answer, guint status)
{
  JsonNode *root = parse_answer (answer, status);
  GArray *vms = NULL;

  if (root != NULL)
    {
      vms = listed_vms_new ();
      counters_add (c->platform->counters, COUNTER_VM_LIST_BYTES,
                    g_bytes_get_size (answer));
      if (!read_vms (root, vms))
        g_clear_pointer (&vms, g_array_unref);
      json_node_unref (root);
    }
  c->done.list (vms, c->data);
}

void
platform_read_vm_list (struct platform *platform, platform_vm_list_done done,
                       void *data)
{
  struct call *c = call_new (platform, "GET", "/vms", finish_list, data);

  c->done.list = done;
  send_call (c, CALL_TIMEOUT_MS);
}

/* Orders for VMs. */

static void
finish_order (struct call *c, GBytes *answer, guint status)
{
  c->done.order (answer != NULL && status == 200, c->data);
}

static const char *
action_name (enum platform_action action)
{
  switch (action)
    {
    case PLATFORM_DRAIN:
      return "drain";
    case PLATFORM_REBOOT:
      return "reboot";
    case PLATFORM_ASSIGN:
      return "assign";
    case PLATFORM_RESUME:
      return "resume";
    }
  g_return_val_if_reached ("drain");
}

void
platform_send_order (struct platform *platform,
                     const struct message_vm_order *order,
                     platform_order_done done, void *data)
{
  char *path = g_strdup_printf ("/vms/%s/%s?pool=%s", order->vm,
                                action_name (order->action),
                                order->pool != NULL ? order->pool : "");
  struct call *c = call_new (platform, "POST", path, finish_order, data);

  g_free (path);
  c->done.order = done;
  send_call (c, CALL_TIMEOUT_MS);
}
