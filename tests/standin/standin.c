#include "standin.h"

#include <gio/gio.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_LIST_LAG_MS 500
#define DEFAULT_REBOOT_MS 1500

static int option_port;
static char *option_pools;
static int option_zones = 4;
static int option_per_rack = 4;
static int option_slots = 8;
static char *option_ready;
static gboolean option_silent;

static const GOptionEntry entries[] = {
  { "port", 0, 0, G_OPTION_ARG_INT, &option_port, "Port; 0 for a free one",
    "PORT" },
  { "pools", 0, 0, G_OPTION_ARG_STRING, &option_pools, "Pools and their VMs",
    "POOL:VMS,..." },
  { "zones", 0, 0, G_OPTION_ARG_INT, &option_zones, "Availability zones",
    "N" },
  { "per-rack", 0, 0, G_OPTION_ARG_INT, &option_per_rack, "VMs in a rack",
    "N" },
  { "slots", 0, 0, G_OPTION_ARG_INT, &option_slots, "Slots of a VM", "N" },
  { "ready", 0, 0, G_OPTION_ARG_STRING, &option_ready,
    "File to write the port to when ready", "FILE" },
  { "silent", 0, 0, G_OPTION_ARG_NONE, &option_silent,
    "VMs stand in the list only and take no work", NULL },
  { NULL, 0, 0, 0, NULL, NULL, NULL },
};

int64_t
standin_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
answer_text (SoupServerMessage *message, guint status, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, text, strlen (text));
}

void
break_connection (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);

  if (socket != NULL)
    g_socket_close (socket, NULL);
  soup_server_message_set_status (message, 500, NULL);
}

JsonNode *
body_json (SoupServerMessage *message)
{
  GBytes *body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  gsize size;
  const char *text = g_bytes_get_data (body, &size);
  JsonParser *parser = json_parser_new ();
  JsonNode *root = NULL;

  if (size > 0
      && json_parser_load_from_data (parser, text, (gssize)size, NULL))
    root = json_parser_steal_root (parser);
  g_object_unref (parser);
  g_bytes_unref (body);
  return root;
}

/* Faults. */

static void
set_fault (JsonObject *object, const char *name, JsonNode *value,
           gpointer data)
{
  struct faults *f = data;
  gint64 n = json_node_get_value_type (value) == G_TYPE_BOOLEAN
                 ? json_node_get_boolean (value)
                 : json_node_get_int (value);

  if (strcmp (name, "log_down") == 0)
    f->log_down = n != 0;
  else if (strcmp (name, "log_reply_lost") == 0)
    f->log_reply_lost = n != 0;
  else if (strcmp (name, "log_write_lost") == 0)
    f->log_write_lost = n != 0;
  else if (strcmp (name, "log_delay_ms") == 0)
    f->log_delay_ms = n;
  else if (strcmp (name, "log_rate") == 0)
    f->log_rate = n;
  else if (strcmp (name, "log_retention") == 0)
    f->log_retention = n;
  else if (strcmp (name, "list_down") == 0)
    f->list_down = n != 0;
  else if (strcmp (name, "list_lag_ms") == 0)
    f->list_lag_ms = n;
  else if (strcmp (name, "orders_down") == 0)
    f->orders_down = n != 0;
  else if (strcmp (name, "reboot_ms") == 0)
    f->reboot_ms = n;
  else if (strcmp (name, "never_return") == 0)
    f->never_return = n;
  else
    g_warning ("no fault is called %s", name);
}

static void
handle_faults (struct standin *s, SoupServerMessage *message)
{
  JsonNode *root = body_json (message);

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      answer_text (message, 400, "{}");
      return;
    }
  json_object_foreach_member (json_node_get_object (root), set_fault,
                              &s->faults);
  json_node_unref (root);
  if (s->faults.log_down)
    log_store_wake (s);
  answer_text (message, 200, "{}");
}

/* The record of starts. */

static void
handle_starts (struct standin *s, SoupServerMessage *message)
{
  GString *text = g_string_new ("[");

  for (guint i = 0; i < s->starts->len; i++)
    {
      const struct start *t = g_ptr_array_index (s->starts, i);

      g_string_append_printf (
          text,
          "%s{\"at_ms\":%" G_GINT64_FORMAT ",\"ended_ms\":%" G_GINT64_FORMAT
          ",\"vm\":\"%s\",\"vm_pool\":\"%s\",\"pool\":\"%s\","
          "\"task\":\"%s\",\"id\":\"%s\",\"target\":\"%s\","
          "\"vm_state\":\"%s\",\"leaving_ms\":%" G_GINT64_FORMAT
          ",\"end\":\"%s\"}",
          i == 0 ? "" : ",\n", (gint64)t->at_ms, (gint64)t->ended_ms, t->vm,
          t->vm_pool, t->pool, t->task, t->id, t->target, t->vm_state,
          (gint64)t->leaving_ms, t->end);
    }
  g_string_append (text, "]");
  answer_text (message, 200, text->str);
  g_string_free (text, TRUE);
}

/* Orders to VMs. */

static struct worker *
find_worker (const struct standin *s, const char *vm)
{
  for (guint i = 0; i < s->workers->len; i++)
    {
      struct worker *w = g_ptr_array_index (s->workers, i);

      if (strcmp (w->vm, vm) == 0)
        return w;
    }
  return NULL;
}

static const char *
parameter (GHashTable *query, const char *name)
{
  const char *value = query == NULL ? NULL : g_hash_table_lookup (query, name);

  return value == NULL ? "" : value;
}

static bool
order (struct worker *w, const char *what, GHashTable *query)
{
  if (strcmp (what, "drain") == 0)
    worker_drain (w);
  else if (strcmp (what, "reboot") == 0)
    worker_reboot (w);
  else if (strcmp (what, "resume") == 0 || strcmp (what, "return") == 0)
    worker_return (w);
  else if (strcmp (what, "kill") == 0)
    worker_kill (w);
  else if (strcmp (what, "assign") == 0)
    {
      g_free (w->pool);
      w->pool = g_strdup (parameter (query, "pool"));
      worker_return (w);
    }
  else if (strcmp (what, "fail") == 0)
    w->is_failing_all_runs = strcmp (parameter (query, "on"), "0") != 0;
  else if (strcmp (what, "slow") == 0)
    w->slow_ms = g_ascii_strtoll (parameter (query, "ms"), NULL, 10);
  else
    return false;
  return true;
}

static void
handle_order (struct standin *s, SoupServerMessage *message, const char *path,
              GHashTable *query)
{
  char **parts = g_strsplit (path, "/", 5); /* "", vms, VM, ORDER */
  struct worker *w
      = g_strv_length (parts) == 4 ? find_worker (s, parts[2]) : NULL;

  if (s->faults.orders_down)
    answer_text (message, 503, "{}");
  else if (w == NULL || !order (w, parts[3], query))
    answer_text (message, 404, "{}");
  else
    answer_text (message, 200, "{}");
  g_strfreev (parts);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct standin *s = data;

  if (strcmp (path, "/log") == 0)
    log_store_handle (s, message, query);
  else if (strcmp (path, "/vms") == 0)
    vm_list_handle (s, message);
  else if (strcmp (path, "/faults") == 0)
    handle_faults (s, message);
  else if (strcmp (path, "/starts") == 0)
    handle_starts (s, message);
  else
    handle_order (s, message, path, query);
}

/* Setting up. */

static void
add_pool (struct standin *s, const char *text)
{
  char **parts = g_strsplit (text, ":", 2);
  int vms = parts[1] == NULL ? 0 : atoi (parts[1]);

  for (int i = 0; i < vms; i++)
    {
      guint n = s->workers->len;
      int rack = (int)n / option_per_rack;
      char *vm = g_strdup_printf ("vm-%03u", n + 1);
      char *rack_name = g_strdup_printf ("rack-%d", rack + 1);
      char *zone = g_strdup_printf ("zone-%d", rack % option_zones + 1);

      g_ptr_array_add (s->workers,
                       worker_new (s, vm, parts[0], zone, rack_name,
                                   (uint32_t)option_slots));
      g_free (vm);
      g_free (rack_name);
      g_free (zone);
    }
  g_strfreev (parts);
}

static void
add_pools (struct standin *s)
{
  char **pools = g_strsplit (option_pools, ",", -1);

  for (char **p = pools; *p != NULL; p++)
    add_pool (s, *p);
  g_strfreev (pools);
  vm_list_note (s);
}

static void
write_ready (int port)
{
  char *text = g_strdup_printf ("%d\n", port);

  if (option_ready != NULL
      && !g_file_set_contents (option_ready, text, -1, NULL))
    g_error ("can't write %s", option_ready);
  g_free (text);
}

static void
serve (struct standin *s)
{
  GSocketAddress *a = g_inet_socket_address_new_from_string (
      "127.0.0.1", (guint)option_port);
  GError *error = NULL;
  GSList *uris;

  s->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (s->server, NULL, on_request, s, NULL);
  if (!soup_server_listen (s->server, a, 0, &error))
    g_error ("%s", error->message);
  g_object_unref (a);
  uris = soup_server_get_uris (s->server);
  write_ready (g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

static gboolean
on_signal (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

static void
parse_options (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new ("- platform stand-in");
  GError *error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || option_pools == NULL)
    {
      fprintf (stderr, "standin: %s\n",
               error != NULL ? error->message : "--pools is needed");
      exit (2);
    }
  g_option_context_free (context);
}

int
main (int argc, char **argv)
{
  struct standin s = { 0 };

  parse_options (argc, argv);
  signal (SIGPIPE, SIG_IGN);
  s.loop = g_main_loop_new (NULL, FALSE);
  s.faults.list_lag_ms = DEFAULT_LIST_LAG_MS;
  s.faults.reboot_ms = DEFAULT_REBOOT_MS;
  s.log = log_store_new ();
  s.lists = g_queue_new ();
  s.starts = g_ptr_array_new ();
  s.workers = g_ptr_array_new_with_free_func (worker_destroy);
  s.silent = option_silent;
  add_pools (&s);
  serve (&s);
  g_unix_signal_add (SIGTERM, on_signal, s.loop);
  g_unix_signal_add (SIGINT, on_signal, s.loop);
  g_main_loop_run (s.loop);
  return 0;
}
