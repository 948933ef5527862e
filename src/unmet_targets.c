#include "unmet_targets.h"

#include "json_put.h"
#include "target.h"

#include <json-glib/json-glib.h>

/* Append an unmet target of class K; NEAREST is freed. */
static void
put_target (JsonBuilder *b, const struct config_class *k, const char *problem,
            char *nearest)
{
  char *name = g_strconcat (k->service_name, "/", k->name, NULL);

  json_builder_begin_object (b);
  json_put_string (b, "target", name);
  json_put_string (b, "problem", problem);
  json_put_string (b, "nearest", nearest);
  json_builder_end_object (b);
  g_free (name);
  g_free (nearest);
}

static void
put_survival (JsonBuilder *b, const struct fleet *fleet,
              const struct config *config, const struct config_class *k)
{
  enum survive nearest;

  switch (target_reach (fleet, config, k, &nearest))
    {
    case TARGET_REACHABLE:
      break;
    case TARGET_REACHABLE_BY_MOVES:
      put_target (
          b, k,
          "all VMs of its pool are in one failure domain of the size that it "
          "is to survive",
          g_strdup_printf ("\"survive\": \"%s\" holds once VMs of other "
                           "domains are moved into the pool",
                           survive_name (k->survive)));
      break;
    case TARGET_UNREACHABLE:
      put_target (
          b, k,
          "all VMs of the fleet are in one failure domain of the size that "
          "it is to survive, so no arrangement of them can meet it",
          g_strdup_printf ("\"survive\": \"%s\"", survive_name (nearest)));
      break;
    }
}

static void
put_maintenance (JsonBuilder *b, const struct fleet *fleet,
                 const struct config *config, const struct config_class *k)
{
  uint32_t percent = target_percent_needed (fleet, config, k);

  if (percent > 0)
    put_target (
        b, k,
        "its maintenance budget is less than one VM of its pool, so no VM "
        "can be maintained",
        g_strdup_printf ("\"max_unavailable_percent\": %u", percent));
}

char *
unmet_targets_render (const struct fleet *fleet, const struct config *config)
{
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_array (b);
  for (guint i = 0; i < config->n_classes; i++)
    {
      const struct config_class *k = &config->classes[i];
      const char *pool = config->services[k->service].pool_name;

      if (fleet_pool_size (fleet, pool, NULL) == 0)
        continue;
      put_survival (b, fleet, config, k);
      put_maintenance (b, fleet, config, k);
    }
  json_builder_end_array (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (b);
  return text;
}
