#ifndef CONFIG_H
#define CONFIG_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The configuration that operators publish: services, classes with their
   targets, teams with quotas, and pools.  It is the same on all nodes. */

/* The largest failure that a class's target survives. */
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
  char *token_sha256; /* hexadecimal */
  uint32_t quota_slots;
};

struct config_pool
{
  char *name;
  bool spare;       /* lends VMs to the others */
  uint32_t min_vms; /* never fewer by a move */
};

struct config_service
{
  char *name;
  char *pool_name;
  uint32_t pool; /* place in pools */
};

struct config_class
{
  char *name;
  char *service_name;
  uint32_t service; /* place in services */
  int64_t start_within_ms;
  enum survive survive;
  uint32_t max_unavailable_percent; /* of the pool's VMs, for any cause */
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
  bool paused; /* "automation": "paused": begin no drain and no move */
  char *text;  /* canonical JSON it was read from */
};

#define CONFIG_MAX_BYTES (1024 * 1024)

/* Read a configuration.  Return NULL with ERROR set if any member is wrong or
   names something that is not there. */
struct config *config_from_json (JsonNode *root, GError **error);

/* Read a configuration from TEXT. */
struct config *config_from_text (const char *text, gssize length,
                                 GError **error);

void config_destroy (struct config *config);

/* Return the place of the named thing, or -1. */
int config_find_service (const struct config *config, const char *name);
int config_find_pool (const struct config *config, const char *name);
int config_find_class (const struct config *config, uint32_t service,
                       const char *name);

/* Return the place of the team whose token is TOKEN, or -1.  The time it
   takes does not depend on how much of the token is right. */
int config_find_team_by_token (const struct config *config, const char *token);

/* Return the word for SURVIVE. */
const char *survive_name (enum survive survive);

#endif
