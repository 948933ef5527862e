#include "config.h"

#include "error.h"
#include "fields.h"

#include <string.h>

/* Maximum numbers of elements in a configuration. */
#define MAX_TEAMS 1024
#define MAX_POOLS 256
#define MAX_SERVICES 256
#define MAX_CLASSES 1024
#define DAY_MS (24 * 3600 * 1000LL)

static const char *const automation_names[] = { "running", "paused", NULL };

static const char *const survive_names[]
    = { "none", "vm", "rack", "zone", NULL };

const char *
survive_name (enum survive survive)
{
  return survive_names[survive];
}

static void
read_team (struct fields *f, void *out)
{
  struct config_team *team = out;

  team->name = fields_name (f, "name");
  team->token_sha256 = fields_string (f, "token_sha256", NULL);
  if (strlen (team->token_sha256) != 64)
    fields_mark_invalid (
        f, "token_sha256",
        "write the 64 hexadecimal digits of the token's SHA-256");
  team->quota_slots = (uint32_t)fields_int (f, "quota_slots", 1, 1000000, 0);
}

static void
read_pool (struct fields *f, void *out)
{
  struct config_pool *pool = out;

  pool->name = fields_name (f, "name");
  pool->is_spare = fields_bool (f, "spare", false);
  pool->min_vms = (uint32_t)fields_int (f, "min_vms", 0, 100000, 1);
}

static void
read_service (struct fields *f, void *out)
{
  struct config_service *service = out;

  service->name = fields_name (f, "name");
  service->pool_name = fields_name (f, "pool");
}

static void
read_class (struct fields *f, void *out)
{
  struct config_class *c = out;

  c->name = fields_name (f, "name");
  c->service_name = fields_name (f, "service");
  c->start_within_ms = fields_int (f, "start_within_ms", 1, DAY_MS, 0);
  c->survive = fields_choice (f, "survive", survive_names, SURVIVE_VM);
  c->max_unavailable_percent
      = (uint32_t)fields_int (f, "max_unavailable_percent", 0, 100, 25);
  c->idempotent = fields_bool (f, "idempotent", false);
  c->max_request_bytes
      = (uint64_t)fields_int (f, "max_request_bytes", 1, 1 << 30, 1024 * 1024);
  c->max_answer_bytes = (uint64_t)fields_int (f, "max_answer_bytes", 1,
                                              1 << 30, 64 * 1024 * 1024);
  c->remember_key_ms
      = fields_int (f, "remember_key_ms", 1000, 30 * DAY_MS, DAY_MS);
  c->expected_run_ms = fields_int (f, "expected_run_ms", 1, DAY_MS, 1000);
}

/* Read array member NAME of F, which has at most MAX elements, by
   READ_ELEMENT. Return an array of structures of SIZE bytes, which the caller
   frees, and their COUNT. */
static void *
read_array (struct fields *f, const char *name, guint max, gsize size,
            guint *count, void (*read_element) (struct fields *, void *),
            GError **error)
{
  char *elements;

  *count = fields_count (f, name, max);
  elements = g_malloc0_n (*count + 1, size);
  for (guint i = 0; i < *count; i++)
    {
      char *path;
      JsonNode *node = fields_element (f, name, i, &path);
      struct fields *element = fields_open (node, path);

      read_element (element, elements + i * size);
      fields_close (element, *error == NULL ? error : NULL);
      g_free (path);
    }
  return elements;
}

/* Set ERROR to an ERROR_INVALID with a message by FORMAT; return false. */
static bool set_invalid (GError **error, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static bool
set_invalid (GError **error, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_set_error_literal (error, SHED_ERROR, ERROR_INVALID, text);
  g_free (text);
  return false;
}

static bool
resolve_services (struct config *c, GError **error)
{
  for (guint i = 0; i < c->n_services; i++)
    {
      int pool = config_find_pool (c, c->services[i].pool_name);

      if (pool < 0)
        return set_invalid (
            error,
            "services[%u].pool names \"%s\", which is not a pool; "
            "name one that is listed under pools",
            i, c->services[i].pool_name);
      c->services[i].pool = (uint32_t)pool;
      if (config_find_service (c, c->services[i].name) != (int)i)
        return set_invalid (
            error,
            "services[%u].name \"%s\" is listed twice; list each "
            "service once",
            i, c->services[i].name);
    }
  return true;
}

static bool
resolve_classes (struct config *c, GError **error)
{
  for (guint i = 0; i < c->n_classes; i++)
    {
      struct config_class *k = &c->classes[i];
      int service = config_find_service (c, k->service_name);

      if (service < 0)
        return set_invalid (error,
                            "classes[%u].service names \"%s\", which is not a "
                            "service; name one that is listed under services",
                            i, k->service_name);
      k->service = (uint32_t)service;
      if (config_find_class (c, k->service, k->name) != (int)i)
        return set_invalid (
            error,
            "classes[%u].name \"%s\" is listed twice in its service; "
            "list each class once",
            i, k->name);
    }
  return true;
}

static bool
check_pools (const struct config *c, GError **error)
{
  guint n_spare = 0;

  for (guint i = 0; i < c->n_pools; i++)
    {
      n_spare += c->pools[i].is_spare;
      if (config_find_pool (c, c->pools[i].name) != (int)i)
        return set_invalid (
            error,
            "pools[%u].name \"%s\" is listed twice; list each pool "
            "once",
            i, c->pools[i].name);
    }
  if (n_spare > 1)
    return set_invalid (error, "%u pools are spare; mark at most one as spare",
                        n_spare);
  return true;
}

static bool
check_and_resolve (struct config *c, GError **error)
{
  if (c->n_pools == 0 || c->n_services == 0 || c->n_classes == 0
      || c->n_teams == 0)
    return set_invalid (error,
                        "write at least one team, pool, service and class");
  return check_pools (c, error) && resolve_services (c, error)
         && resolve_classes (c, error);
}

struct config *
config_from_json (JsonNode *root, GError **error)
{
  struct config *c = g_new0 (struct config, 1);
  struct fields *f = fields_open (root, "");
  GError *inner = NULL;

  c->teams = read_array (f, "teams", MAX_TEAMS, sizeof *c->teams, &c->n_teams,
                         read_team, &inner);
  c->pools = read_array (f, "pools", MAX_POOLS, sizeof *c->pools, &c->n_pools,
                         read_pool, &inner);
  c->services = read_array (f, "services", MAX_SERVICES, sizeof *c->services,
                            &c->n_services, read_service, &inner);
  c->classes = read_array (f, "classes", MAX_CLASSES, sizeof *c->classes,
                           &c->n_classes, read_class, &inner);
  c->is_paused = fields_choice (f, "automation", automation_names, 0) == 1;
  fields_close (f, inner == NULL ? &inner : NULL);
  if (inner == NULL)
    check_and_resolve (c, &inner);
  if (inner != NULL)
    {
      g_propagate_error (error, inner);
      config_destroy (c);
      return NULL;
    }
  c->text = json_to_string (root, FALSE);
  return c;
}

struct config *
config_from_text (const char *text, gssize length, GError **error)
{
  JsonNode *root = fields_parse (text, length, "the configuration", error);
  struct config *c;

  if (root == NULL)
    return NULL;
  c = config_from_json (root, error);
  json_node_unref (root);
  return c;
}

void
config_destroy (struct config *config)
{
  if (config == NULL)
    return;
  for (guint i = 0; i < config->n_teams; i++)
    {
      g_free (config->teams[i].name);
      g_free (config->teams[i].token_sha256);
    }
  for (guint i = 0; i < config->n_pools; i++)
    g_free (config->pools[i].name);
  for (guint i = 0; i < config->n_services; i++)
    {
      g_free (config->services[i].name);
      g_free (config->services[i].pool_name);
    }
  for (guint i = 0; i < config->n_classes; i++)
    {
      g_free (config->classes[i].name);
      g_free (config->classes[i].service_name);
    }
  g_free (config->teams);
  g_free (config->pools);
  g_free (config->services);
  g_free (config->classes);
  g_free (config->text);
  g_free (config);
}

int
config_find_service (const struct config *config, const char *name)
{
  for (guint i = 0; i < config->n_services; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return (int)i;
  return -1;
}

int
config_find_pool (const struct config *config, const char *name)
{
  for (guint i = 0; i < config->n_pools; i++)
    if (strcmp (config->pools[i].name, name) == 0)
      return (int)i;
  return -1;
}

int
config_find_class (const struct config *config, uint32_t service,
                   const char *name)
{
  for (guint i = 0; i < config->n_classes; i++)
    if (config->classes[i].service == service
        && strcmp (config->classes[i].name, name) == 0)
      return (int)i;
  return -1;
}

/* Compare two SHA-256 digests in constant time. */
static bool
digests_are_equal (const char *a, const char *b)
{
  unsigned difference = 0;

  for (int i = 0; i < 64; i++)
    difference |= (unsigned)(g_ascii_tolower (a[i]) ^ g_ascii_tolower (b[i]));
  return difference == 0;
}

int
config_find_team_by_token (const struct config *config, const char *token)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);
  int found = -1;

  for (guint i = 0; i < config->n_teams; i++)
    if (digests_are_equal (config->teams[i].token_sha256, digest))
      found = (int)i;
  g_free (digest);
  return found;
}
