#include "standin.h"

#include <string.h>

/* How long a half answer is left standing before its connection breaks. */
#define TRUNCATE_AFTER_MS 30

/* A task in progress on a VM. */
struct job
{
  struct worker *worker;
  SoupServerMessage *message; /* NULL once the node is gone */
  GSource *timer;
  struct start *start;
  gint64 answer_bytes;
  char *digest; /* of the request body */
  bool truncate;
  bool fail;
};

/* What a request body may ask of its run. */
struct wishes
{
  char *id;
  gint64 run_ms;
  gint64 answer_bytes;
  bool truncate;
  bool fail;
};

const char *
worker_state_name (enum worker_state state)
{
  static const char *const names[]
      = { "live", "leaving", "rebooting", "gone" };

  return names[state];
}

static void
job_free (gpointer p)
{
  struct job *j = p;

  g_source_destroy (j->timer);
  g_source_unref (j->timer);
  if (j->message != NULL)
    {
      g_signal_handlers_disconnect_by_data (j->message, j);
      g_object_unref (j->message);
    }
  g_free (j->digest);
  g_free (j);
}

static void
set_end (struct start *s, const char *end)
{
  g_free (s->end);
  s->end = g_strdup (end);
  s->ended_ms = standin_now_ms ();
}

static void
read_wishes (JsonNode *root, struct wishes *w)
{
  JsonObject *o;

  memset (w, 0, sizeof *w);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      w->id = g_strdup ("");
      return;
    }
  o = json_node_get_object (root);
  w->id = g_strdup (json_object_get_string_member_with_default (o, "id", ""));
  w->run_ms = json_object_get_int_member_with_default (o, "run_ms", 1);
  w->answer_bytes
      = json_object_get_int_member_with_default (o, "answer_bytes", 0);
  w->truncate
      = json_object_get_boolean_member_with_default (o, "truncate", FALSE);
  w->fail = json_object_get_boolean_member_with_default (o, "fail", FALSE);
}

/* The answer: a line that names the request and the body's digest, then as
   many bytes as asked for, each of which follows from its place. */
static GString *
make_answer (const struct job *j)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"id\":\"%s\",\"sha256\":\"%s\"}\n",
                          j->start->id, j->digest);
  for (gint64 i = 0; i < j->answer_bytes; i++)
    g_string_append_c (text, (char)('a' + i % 26));
  return text;
}

static gboolean
on_cut (gpointer data)
{
  SoupServerMessage *message = data;

  break_connection (message);
  g_object_unref (message);
  return G_SOURCE_REMOVE;
}

static void
answer_job (struct job *j)
{
  GString *text = make_answer (j);
  SoupServerMessage *m = j->message;
  SoupMessageHeaders *h = soup_server_message_get_response_headers (m);

  soup_server_message_set_status (m, 200, NULL);
  soup_message_headers_append (h, "Worker", j->worker->vm);
  if (!j->truncate)
    soup_server_message_set_response (m, "application/octet-stream",
                                      SOUP_MEMORY_COPY, text->str, text->len);
  else
    {
      /* Half of it goes out, and then the connection breaks. */
      soup_message_headers_set_content_length (h, (goffset)text->len);
      soup_message_body_append (soup_server_message_get_response_body (m),
                                SOUP_MEMORY_COPY, text->str, text->len / 2);
      g_timeout_add (TRUNCATE_AFTER_MS, on_cut, g_object_ref (m));
    }
  g_string_free (text, TRUE);
}

static void
finish_job (struct job *j)
{
  if (j->fail)
    answer_text (j->message, 500, "{\"error\":\"failed as asked\"}");
  else
    answer_job (j);
  set_end (j->start, j->fail ? "failed" : "answered");
  g_signal_handlers_disconnect_by_data (j->message, j);
  soup_server_message_unpause (j->message);
}

static gboolean
on_job_done (gpointer data)
{
  struct job *j = data;
  struct worker *w = j->worker;

  if (j->message != NULL)
    finish_job (j);
  else
    set_end (j->start, j->fail ? "failed" : "answered");
  w->running--;
  vm_list_note (w->standin);
  g_ptr_array_remove (w->jobs, j);
  return G_SOURCE_REMOVE;
}

/* The node went away; the task runs on. */
static void
on_node_gone (SoupServerMessage *message, gpointer data)
{
  struct job *j = data;

  g_signal_handlers_disconnect_by_data (j->message, j);
  g_clear_object (&j->message);
}

static const char *
header (SoupServerMessage *message, const char *name)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), name);

  return value == NULL ? "" : value;
}

static struct start *
record_start (struct worker *w, SoupServerMessage *message, const char *path,
              const char *id)
{
  struct start *s = g_new0 (struct start, 1);

  s->at_ms = standin_now_ms ();
  s->vm = g_strdup (w->vm);
  s->vm_pool = g_strdup (w->pool);
  s->pool = g_strdup (header (message, "Task-Pool"));
  s->task = g_strdup (header (message, "Task-Id"));
  s->id = g_strdup (id);
  s->target = g_strdup (g_str_has_prefix (path, "/run/") ? path + 5 : path);
  s->vm_state = g_strdup (worker_state_name (w->state));
  if (w->told_leaving_ms > 0)
    s->leaving_ms = s->at_ms - w->told_leaving_ms;
  s->end = g_strdup ("running");
  g_ptr_array_add (w->standin->starts, s);
  return s;
}

static void
begin_job (struct worker *w, SoupServerMessage *message, const char *path,
           const struct wishes *wishes)
{
  struct job *j = g_new0 (struct job, 1);
  GBytes *body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  int64_t run_ms = MAX (wishes->run_ms, 1) + w->slow_ms;

  j->worker = w;
  j->message = g_object_ref (message);
  j->start = record_start (w, message, path, wishes->id);
  j->answer_bytes = wishes->answer_bytes;
  j->truncate = wishes->truncate;
  j->fail = wishes->fail || w->is_failing_all_runs;
  j->digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, body);
  g_bytes_unref (body);
  j->timer = g_timeout_source_new (w->is_failing_all_runs ? 1 : (guint)run_ms);
  g_source_set_callback (j->timer, on_job_done, j, NULL);
  g_source_attach (j->timer, NULL);
  g_signal_connect (message, "finished", G_CALLBACK (on_node_gone), j);
  g_ptr_array_add (w->jobs, j);
  w->running++;
  vm_list_note (w->standin);
  soup_server_message_pause (message);
}

static void
on_run (SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
{
  struct worker *w = data;
  JsonNode *root;
  struct wishes wishes;

  if (w->running >= w->slots)
    {
      soup_message_headers_append (
          soup_server_message_get_response_headers (message), "Task-Started",
          "no");
      answer_text (message, 503, "{\"error\":\"no slot\"}");
      return;
    }
  root = body_json (message);
  read_wishes (root, &wishes);
  begin_job (w, message, path, &wishes);
  g_free (wishes.id);
  if (root != NULL)
    json_node_unref (root);
}

static void
listen (struct worker *w)
{
  GSocketAddress *a
      = g_inet_socket_address_new_from_string ("127.0.0.1", w->port);
  GError *error = NULL;
  GSList *uris;

  w->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (w->server, NULL, on_run, w, NULL);
  if (!soup_server_listen (w->server, a, 0, &error))
    g_error ("worker %s: %s", w->vm, error->message);
  g_object_unref (a);
  uris = soup_server_get_uris (w->server);
  w->port = (uint16_t)g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

struct worker *
worker_new (struct standin *s, const char *vm, const char *pool,
            const char *zone, const char *rack, uint32_t slots)
{
  struct worker *w = g_new0 (struct worker, 1);

  w->standin = s;
  w->vm = g_strdup (vm);
  w->pool = g_strdup (pool);
  w->zone = g_strdup (zone);
  w->rack = g_strdup (rack);
  w->slots = slots;
  w->jobs = g_ptr_array_new_with_free_func (job_free);
  if (s->silent)
    w->port = 1;
  else
    listen (w);
  return w;
}

static void
cut_jobs (struct worker *w)
{
  for (guint i = 0; i < w->jobs->len; i++)
    {
      struct job *j = g_ptr_array_index (w->jobs, i);

      set_end (j->start, "cut");
      if (j->message != NULL)
        break_connection (j->message);
    }
  g_ptr_array_set_size (w->jobs, 0);
  w->running = 0;
}

static void
go_dark (struct worker *w, enum worker_state state)
{
  cut_jobs (w);
  w->told_leaving_ms = 0;
  if (w->server != NULL)
    soup_server_disconnect (w->server);
  g_clear_object (&w->server);
  w->state = state;
  vm_list_note (w->standin);
}

void
worker_destroy (gpointer p)
{
  struct worker *w = p;

  cut_jobs (w);
  g_clear_object (&w->server);
  g_ptr_array_unref (w->jobs);
  g_free (w->vm);
  g_free (w->pool);
  g_free (w->zone);
  g_free (w->rack);
  g_free (w);
}

void
worker_drain (struct worker *w)
{
  if (w->state == WORKER_LIVE)
    w->state = WORKER_LEAVING;
  vm_list_note (w->standin);
}

void
worker_return (struct worker *w)
{
  if (w->server == NULL)
    listen (w);
  w->state = WORKER_LIVE;
  w->told_leaving_ms = 0;
  vm_list_note (w->standin);
}

static gboolean
on_rebooted (gpointer data)
{
  worker_return (data);
  return G_SOURCE_REMOVE;
}

void
worker_reboot (struct worker *w)
{
  struct faults *f = &w->standin->faults;

  if (w->state == WORKER_REBOOTING)
    return;
  go_dark (w, WORKER_REBOOTING);
  if (f->never_return > 0)
    f->never_return--;
  else
    g_timeout_add ((guint)f->reboot_ms, on_rebooted, w);
}

void
worker_kill (struct worker *w)
{
  go_dark (w, WORKER_GONE);
}
