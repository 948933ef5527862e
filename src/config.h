#ifndef CONFIG_H
#define CONFIG_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The configuration that operators publish: services, classes with their
   targets, teams with quotas, and pools.  It is the same on all nodes. */

/* The largest failure domain whose loss a class's target has to survive. */
enum survive
{
  SURVIVE_NONE,
  SURVIVE_VM,
  SURVIVE_RACK,
  SURVIVE_ZONE
};

struct config_team
{
  char *name;
  char *token_sha256; /* 64 hexadecimal digits */
  uint32_t quota_slots;
};

struct config_pool
{
  char *name;
  bool is_spare;    /* the spare pool, which lends VMs to the others */
  uint32_t min_vms; /* moves leave at least this many VMs in the pool */
};

struct config_service
{
  char *name;
  char *pool_name;
  uint32_t pool; /* index in config.pools */
};

struct config_class
{
  char *name;
  char *service_name;
  uint32_t service; /* index in config.services */
  int64_t start_within_ms;
  enum survive survive;
  uint32_t max_unavailable_percent; /* of the pool's VMs, whatever the cause */
  bool idempotent;
  uint64_t max_request_bytes;
  uint64_t max_answer_bytes;
  int64_t remember_key_ms;
  int64_t expected_run_ms;
};

struct config
{
  struct config_team *teams;
  guint n_teams;
  struct config_pool *pools;
  guint n_pools;
  struct config_service *services;
  guint n_services;
  struct config_class *classes;
  guint n_classes;
  bool is_paused; /* "automation": "paused": start no drain and no move */
  char *text;     /* the configuration as JSON */
};

/* Maximum size of a configuration file. */
#define CONFIG_MAX_BYTES (1024 * 1024)

/* Read a configuration from ROOT.  Return NULL with ERROR set if a member is
   invalid or names an undefined pool or service.  The caller owns the
   result. */
struct config *config_from_json (JsonNode *root, GError **error);

/* Read a configuration from the JSON TEXT of LENGTH bytes (-1: up to the zero
   byte), as config_from_json does. */
struct config *config_from_text (const char *text, gssize length,
                                 GError **error);

void config_destroy (struct config *config);

/* Return the index of the service, pool or class called NAME, or -1. */
int config_find_service (const struct config *config, const char *name);
int config_find_pool (const struct config *config, const char *name);
int config_find_class (const struct config *config, uint32_t service,
                       const char *name);

/* Return the index of the team whose token is TOKEN, or -1.  The time
   taken does not depend on how much of TOKEN is correct, so it does not help
   to guess one. */
int config_find_team_by_token (const struct config *config, const char *token);

/* Return the name of SURVIVE, as written in a configuration; static. */
const char *survive_name (enum survive survive);

#endif
