#include "settings.h"

#include "fields.h"

#include <gio/gio.h>

/* Maximum size of a settings file. */
#define SETTINGS_MAX_BYTES (1024 * 1024)
/* Maximum number of peers. */
#define SETTINGS_MAX_PEERS 1024

static void
read_endpoint (struct fields *parent, const char *name, struct endpoint *out,
               GError **error)
{
  char *path;
  JsonNode *node = fields_object (parent, name, &path);
  struct fields *f = fields_open (node, path);

  out->address = fields_string (f, "address", NULL);
  out->port = (uint16_t)fields_int (f, "port", 1, 65535, 0);
  if (!g_hostname_is_ip_address (out->address))
    fields_mark_invalid (f, "address",
                         "write an IP address, such as 127.0.0.1");
  fields_close (f, *error == NULL ? error : NULL);
  g_free (path);
}

static void
read_peers (struct fields *f, struct settings *s, GError **error)
{
  s->n_peers = fields_count (f, "peers", SETTINGS_MAX_PEERS);
  s->peers = g_new0 (struct settings_peer, s->n_peers + 1);
  for (guint i = 0; i < s->n_peers; i++)
    {
      char *path;
      JsonNode *node = fields_element (f, "peers", i, &path);
      struct fields *p = fields_open (node, path);

      s->peers[i].node = fields_name (p, "node");
      s->peers[i].endpoint.address = fields_string (p, "address", NULL);
      s->peers[i].endpoint.port
          = (uint16_t)fields_int (p, "port", 1, 65535, 0);
      if (!g_hostname_is_ip_address (s->peers[i].endpoint.address))
        fields_mark_invalid (p, "address",
                             "write an IP address, such as 127.0.0.1");
      fields_close (p, *error == NULL ? error : NULL);
      g_free (path);
    }
}

static void
read_limits (struct fields *f, struct settings *s, GError **error)
{
  char *path;
  JsonNode *node = fields_object (f, "limits", &path);
  JsonNode *empty = NULL;
  struct fields *l;

  if (node == NULL)
    {
      empty = json_node_init_object (json_node_alloc (), NULL);
      json_node_take_object (empty, json_object_new ());
    }
  l = fields_open (node != NULL ? node : empty, path);
  s->max_requests = (uint32_t)fields_int (l, "max_requests", 1, 1000000, 4096);
  s->max_body_bytes = (uint64_t)fields_int (l, "max_body_bytes", 1, 1 << 30,
                                            8 * 1024 * 1024);
  s->max_connections
      = (uint32_t)fields_int (l, "max_connections", 1, 100000, 2048);
  s->header_timeout_ms
      = fields_int (l, "header_timeout_ms", 100, 600000, 10000);
  s->idle_timeout_ms = fields_int (l, "idle_timeout_ms", 100, 3600000, 60000);
  s->stop_patience_ms = fields_int (l, "stop_patience_ms", 0, 3600000, 60000);
  s->connections_per_worker
      = (uint32_t)fields_int (l, "connections_per_worker", 1, 64, 8);
  fields_close (l, *error == NULL ? error : NULL);
  if (empty != NULL)
    json_node_free (empty);
  g_free (path);
}

struct settings *
settings_from_json (JsonNode *root, GError **error)
{
  static const char *const formats[] = { "text", "json", NULL };
  static const char *const levels[] = { "info", "debug", NULL };
  struct settings *s = g_new0 (struct settings, 1);
  struct fields *f = fields_open (root, "");
  GError *inner = NULL;

  s->node = fields_name (f, "node");
  s->zone = fields_name (f, "zone");
  read_endpoint (f, "callers", &s->callers, &inner);
  read_endpoint (f, "admin", &s->admin, &inner);
  read_endpoint (f, "peer", &s->peer, &inner);
  read_endpoint (f, "platform", &s->platform, &inner);
  s->admin_token = fields_string (f, "admin_token", NULL);
  s->platform_token = fields_string (f, "platform_token", "");
  s->peer_key = fields_string (f, "peer_key", NULL);
  if (inner == NULL && strlen (s->admin_token) < 16)
    fields_mark_invalid (f, "admin_token", "write at least 16 characters");
  if (inner == NULL && strlen (s->peer_key) < 16)
    fields_mark_invalid (f, "peer_key", "write at least 16 characters");
  read_peers (f, s, &inner);
  read_limits (f, s, &inner);
  s->log_json = fields_choice (f, "log_format", formats, 0) == 1;
  s->log_debug = fields_choice (f, "log_level", levels, 0) == 1;
  if (!fields_close (f, inner == NULL ? &inner : NULL) || inner != NULL)
    {
      g_propagate_error (error, inner);
      settings_destroy (s);
      return NULL;
    }
  return s;
}

struct settings *
settings_read (const char *filename, GError **error)
{
  JsonNode *root = fields_parse_file (filename, SETTINGS_MAX_BYTES, error);
  struct settings *s;

  if (root == NULL)
    return NULL;
  s = settings_from_json (root, error);
  json_node_unref (root);
  if (s == NULL)
    g_prefix_error (error, "%s: ", filename);
  return s;
}

void
settings_destroy (struct settings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->node);
  g_free (settings->zone);
  g_free (settings->callers.address);
  g_free (settings->admin.address);
  g_free (settings->peer.address);
  g_free (settings->platform.address);
  g_free (settings->admin_token);
  g_free (settings->platform_token);
  g_free (settings->peer_key);
  for (guint i = 0; i < settings->n_peers; i++)
    {
      g_free (settings->peers[i].node);
      g_free (settings->peers[i].endpoint.address);
    }
  g_free (settings->peers);
  g_free (settings);
}
