#include "node_settings.h"

#include "fields.h"
#include "http_client.h"

#define SETTINGS_MAX_BYTES (64 * 1024)
#define HOUR_MS 3600000

static char *
read_address (struct fields *f, const char *name, const char *fallback)
{
  char *address = fields_string (f, name, fallback);
  char *ip = NULL;
  uint16_t port;

  if (address[0] != '\0' && !http_split_address (address, &ip, &port))
    fields_mark_invalid (f, name, "write IP:PORT, such as 10.0.0.1:8080");
  g_free (ip);
  return address;
}

struct node_settings *
node_settings_from_json (JsonNode *root, GError **error)
{
  struct fields *f = fields_open (root, "");
  struct node_settings *s = g_new0 (struct node_settings, 1);

  s->node = fields_name (f, "node");
  s->zone = fields_name (f, "zone");
  s->callers = read_address (f, "callers", NULL);
  s->readiness = read_address (f, "readiness", NULL);
  s->ip = fields_string (f, "ip", NULL);
  s->peer_port = (uint16_t)fields_int (f, "peer_port", 1, 65535, 0);
  s->metrics_port = (uint16_t)fields_int (f, "metrics_port", 1, 65535, 9464);
  s->store = read_address (f, "store", NULL);
  s->machines = read_address (f, "machines", "");
  s->advice = read_address (f, "advice", "");
  s->stream_parts = (uint32_t)fields_int (f, "stream_parts", 1, 4096, 0);
  s->member_ttl_min_ms = fields_int (f, "member_ttl_min_ms", 0, HOUR_MS, -1);
  s->stop_ms = (int64_t)(fields_double (f, "stop_s", 1, 3600, 0) * 1000);
  s->worker_lease_max_ms
      = fields_int (f, "worker_lease_max_ms", 1, HOUR_MS, 0);
  s->stop_grace_ms = fields_int (f, "stop_grace_ms", 0, HOUR_MS, -1);
  s->early_ms = fields_int (f, "early_ms", 0, HOUR_MS, -1);
  s->keep_state_ms
      = (int64_t)(fields_double (f, "keep_state_s", 0, 86400, -1) * 1000);
  s->holder_lease_ms = fields_int (f, "holder_lease_ms", 0, HOUR_MS, -1);
  s->upkeep_ms = (int64_t)(fields_double (f, "upkeep_s", 0, 3600, 0) * 1000);
  s->strict_revoke = fields_bool (f, "strict_revoke", false);
  s->revoke_ms = fields_int (f, "revoke_ms", 0, HOUR_MS, 5000);
  s->machine_orders_per_s
      = fields_double (f, "machine_orders_per_s", 1, 1000000, 24);
  s->far_rack_factor = fields_double (f, "far_rack_factor", 1, 1000, 1);
  s->memory_mb = (uint32_t)fields_int (f, "memory_mb", 16, 1 << 30, 160);
  s->max_descriptors
      = (uint32_t)fields_int (f, "max_descriptors", 64, 1 << 30, 4096);
  s->processor_share = fields_double (f, "processor_share", 0, 1024, 1);
  s->connections_percent
      = (uint32_t)fields_int (f, "connections_percent", 1, 90, 50);
  s->source_percent = (uint32_t)fields_int (f, "source_percent", 1, 100, 75);
  s->buffer_percent = (uint32_t)fields_int (f, "buffer_percent", 1, 90, 25);
  s->request_percent = (uint32_t)fields_int (f, "request_percent", 1, 90, 20);
  s->job_percent = (uint32_t)fields_int (f, "job_percent", 1, 90, 30);
  s->max_open_requests
      = (uint32_t)fields_int (f, "max_open_requests", 1, 1 << 30, 4096);
  if (fields_close (f, error))
    return s;
  node_settings_destroy (s);
  return NULL;
}

struct node_settings *
node_settings_read (const char *filename, GError **error)
{
  JsonNode *root = fields_parse_file (filename, SETTINGS_MAX_BYTES, error);
  struct node_settings *s;

  if (root == NULL)
    return NULL;
  s = node_settings_from_json (root, error);
  json_node_unref (root);
  return s;
}

void
node_settings_destroy (struct node_settings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->node);
  g_free (settings->zone);
  g_free (settings->callers);
  g_free (settings->readiness);
  g_free (settings->ip);
  g_free (settings->store);
  g_free (settings->machines);
  g_free (settings->advice);
  g_free (settings);
}
