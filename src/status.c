#include "status.h"

#include "json_put.h"
#include "target.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Above this age of the fleet state the targets are reported as unknown. */
#define MAX_VIEW_AGE_MS 5000

enum target_state
{
  TARGET_HOLDS,
  TARGET_AT_RISK,
  TARGET_DOES_NOT_HOLD,
  TARGET_UNKNOWN
};

struct target_status
{
  enum target_state state;
  const char *cause;
  const char *remedy;
  struct target_capacity capacity;
  uint32_t slots_needed; /* for the present load */
};

static const char *const target_state_names[]
    = { "holds", "at risk", "does not hold", "unknown" };

static void
begin_array (JsonBuilder *b, const char *name)
{
  json_builder_set_member_name (b, name);
  json_builder_begin_array (b);
}

/* Return the JSON text that B has built, which the caller frees; frees B. */
static char *
builder_to_text (JsonBuilder *b)
{
  JsonNode *root = json_builder_get_root (b);
  char *text = json_to_string (root, FALSE);

  json_node_unref (root);
  g_object_unref (b);
  return text;
}

/* Return how many slots the running and waiting requests of POOL need, as far
   as this node, which may not be the pool's owner, knows them. */
static uint32_t
count_slots_needed (const struct status_input *in, const char *pool)
{
  uint32_t used;

  slot_table_pool_slots (broker_slot_table (in->broker), pool, &used);
  return used + broker_waiting (in->broker, pool);
}

static struct target_status
assess_target (const struct status_input *in, const struct config_class *k)
{
  const struct turn *t = in->turn;
  const struct config *c = fleet_config (t->fleet);
  const char *pool = c->services[k->service].pool_name;
  struct target_status g
      = { TARGET_HOLDS, "", "", target_assess (t->fleet, k, NULL), 0 };
  uint32_t left = target_slots_after_failure (&g.capacity);

  g.slots_needed = count_slots_needed (in, pool);
  if (t->view_age_ms > MAX_VIEW_AGE_MS)
    {
      g.state = TARGET_UNKNOWN;
      g.cause = "this node's fleet state is out of date: the platform's log "
                "does not answer";
      g.remedy = "check that the platform's log answers; ask another node";
    }
  else if (!target_budget_holds (&g.capacity))
    {
      g.state = TARGET_DOES_NOT_HOLD;
      g.cause = "more VMs are out of service than the budget allows";
      g.remedy = "bring VMs back, or cancel maintenance of the pool";
    }
  else if (left == 0)
    {
      g.state = TARGET_AT_RISK;
      g.cause = "no slot would be left after the failure that the class must "
                "survive";
      g.remedy = "add VMs in other failure domains to the pool";
    }
  else if (left < g.slots_needed)
    {
      g.state = TARGET_AT_RISK;
      g.cause = "the slots left after the failure that the class must survive "
                "would not be enough for the present load";
      g.remedy = "wait until VMs return or the load falls, or add VMs";
    }
  return g;
}

static void
put_target (JsonBuilder *b, const struct status_input *in,
            const struct config_class *k)
{
  struct target_status g = assess_target (in, k);
  char *name = g_strconcat (k->service_name, "/", k->name, NULL);
  uint32_t left = target_slots_after_failure (&g.capacity);

  json_builder_begin_object (b);
  json_put_string (b, "target", name);
  json_put_string (b, "state", target_state_names[g.state]);
  json_put_string (b, "cause", g.cause);
  json_put_string (b, "remedy", g.remedy);
  json_put_int (b, "start_within_ms", k->start_within_ms);
  json_put_string (b, "survive", survive_name (k->survive));
  json_put_int (b, "vms", g.capacity.vms);
  json_put_int (b, "vms_out", g.capacity.vms_out);
  json_put_int (b, "vms_out_allowed", g.capacity.vms_out_allowed);
  json_put_int (b, "slots", g.capacity.slots);
  json_put_string (b, "worst_failure", g.capacity.worst_domain);
  json_put_int (b, "slots_after_failure", left);
  json_put_int (b, "slots_needed_now", g.slots_needed);
  json_put_int (b, "slots_margin", (int64_t)left - (int64_t)g.slots_needed);
  json_builder_end_object (b);
  g_free (name);
}

static void
put_wave (JsonBuilder *b, const struct status_input *in,
          const struct fleet_wave *w)
{
  uint32_t done;
  uint32_t all = plan_wave_progress (in->turn->fleet, w, &done);
  char *pause = plan_wave_pause_reason (in->plan, in->turn->fleet, w);
  char **stragglers
      = plan_wave_stragglers (in->plan, in->turn->fleet, w, in->turn->now_ms);

  json_builder_begin_object (b);
  json_put_string (b, "name", w->name);
  json_put_string (b, "pool", w->pool);
  json_put_int (b, "vms", all);
  json_put_int (b, "done", done);
  json_put_string (b, "state", done >= all ? "done" : "going");
  json_put_string (b, "paused_because", pause);
  begin_array (b, "stragglers");
  for (char **vm = stragglers; *vm != NULL; vm++)
    json_builder_add_string_value (b, *vm);
  json_builder_end_array (b);
  json_builder_end_object (b);
  g_free (pause);
  g_strfreev (stragglers);
}

static void
put_pool (JsonBuilder *b, const struct status_input *in, const char *pool)
{
  uint32_t vms_out;
  uint32_t vms = fleet_pool_size (in->turn->fleet, pool, &vms_out);

  json_builder_begin_object (b);
  json_put_string (b, "pool", pool);
  json_put_int (b, "vms", vms);
  json_put_int (b, "vms_out", vms_out);
  json_put_int (b, "vms_out_allowed",
                fleet_pool_budget (in->turn->fleet, pool));
  json_put_string (b, "owner", members_owner (in->turn->members, pool));
  json_builder_end_object (b);
}

static void
put_member (JsonBuilder *b, const struct member *m)
{
  json_builder_begin_object (b);
  json_put_string (b, "node", m->node);
  json_put_string (b, "zone", m->zone);
  json_put_bool (b, "alive", m->alive);
  json_put_int (b, "offset", (int64_t)m->offset);
  json_put_int (b, "configuration", (int64_t)m->config_version);
  json_builder_end_object (b);
}

static void
put_node (JsonBuilder *b, const struct status_input *in)
{
  const struct turn *t = in->turn;
  const struct config *c = fleet_config (t->fleet);

  json_put_string (b, "node", t->node);
  json_put_int (b, "offset", (int64_t)fleet_offset (t->fleet));
  json_put_int (b, "configuration", (int64_t)fleet_config_version (t->fleet));
  json_put_int (b, "view_age_ms", t->view_age_ms);
  json_put_bool (b, "log_reachable", t->log_reachable);
  json_put_bool (b, "may_start_work", t->now_ms <= t->may_start_until_ms);
  json_put_string (b, "automation",
                   c == NULL || !c->is_paused ? "running" : "paused");
  json_put_int (b, "requests", requests_count (in->requests));
  json_put_int (b, "requests_running", requests_count_running (in->requests));
}

static void
put_waves (JsonBuilder *b, const struct status_input *in)
{
  const GPtrArray *waves = fleet_waves (in->turn->fleet);

  begin_array (b, "waves");
  for (guint i = 0; i < waves->len; i++)
    put_wave (b, in, g_ptr_array_index (waves, i));
  json_builder_end_array (b);
}

char *
status_render_waves (const struct status_input *input)
{
  const struct fleet *fleet = input->turn->fleet;
  JsonBuilder *b = json_builder_new ();

  json_builder_begin_object (b);
  json_put_int (b, "offset", (int64_t)fleet_offset (fleet));
  json_put_int (b, "configuration", (int64_t)fleet_config_version (fleet));
  json_put_string (b, "node", input->turn->node);
  put_waves (b, input);
  json_builder_end_object (b);
  return builder_to_text (b);
}

char *
status_render (const struct status_input *input)
{
  const struct turn *t = input->turn;
  const struct config *c = fleet_config (t->fleet);
  const GPtrArray *others = members_others (t->members);
  JsonBuilder *b = json_builder_new ();

  json_builder_begin_object (b);
  put_node (b, input);
  begin_array (b, "targets");
  for (guint i = 0; c != NULL && i < c->n_classes; i++)
    put_target (b, input, &c->classes[i]);
  json_builder_end_array (b);
  put_waves (b, input);
  begin_array (b, "pools");
  for (guint i = 0; c != NULL && i < c->n_pools; i++)
    put_pool (b, input, c->pools[i].name);
  json_builder_end_array (b);
  begin_array (b, "nodes");
  for (guint i = 0; i < others->len; i++)
    put_member (b, g_ptr_array_index (others, i));
  json_builder_end_array (b);
  json_builder_end_object (b);
  return builder_to_text (b);
}

/* Keys of requests. */

const struct fleet_claim *
status_find_key (const struct fleet *fleet, uint32_t team, const char *key)
{
  const struct config *c = fleet_config (fleet);

  for (guint i = 0; i < c->n_classes; i++)
    {
      const struct config_class *k = &c->classes[i];
      struct key_id id
          = key_id_make (c->teams[team].name, k->service_name, k->name, key);
      const struct fleet_claim *claim = fleet_find_claim (fleet, id);

      if (claim != NULL)
        return claim;
    }
  return NULL;
}

static char *
render_claim (const struct turn *t, const struct fleet_claim *claim,
              const char *key)
{
  JsonBuilder *b = json_builder_new ();
  bool alive = members_is_alive (t->members, claim->node, claim->incarnation);

  json_builder_begin_object (b);
  json_put_string (b, "key", key);
  json_put_string (b, "outcome",
                   claim->has_outcome ? outcome_name (claim->outcome)
                                      : "unknown");
  json_put_bool (b, "in_progress", !claim->has_outcome && alive);
  json_put_string (b, "reason", reason_name (claim->reason));
  json_put_int (b, "status", claim->status);
  json_put_string (b, "node", claim->node);
  json_put_int (b, "claimed_at_offset", (int64_t)claim->claimed_at_offset);
  json_put_int (b, "changed_at_offset", (int64_t)claim->changed_at_offset);
  json_put_int (b, "offset", (int64_t)fleet_offset (t->fleet));
  json_builder_end_object (b);
  return builder_to_text (b);
}

char *
status_render_key (const struct turn *turn, const char *token, const char *key)
{
  const struct config *c = fleet_config (turn->fleet);
  const struct fleet_claim *claim;
  int team;

  if (c == NULL)
    return NULL;
  team = config_find_team_by_token (c, token);
  if (team < 0)
    return NULL;
  claim = status_find_key (turn->fleet, (uint32_t)team, key);
  return claim == NULL ? NULL : render_claim (turn, claim, key);
}

/* Explanations of VMs, targets and keys. */

static char *
explain_vm (const struct status_input *in, const struct fleet_vm *v)
{
  static const char *const states[]
      = { "live", "leaving", "rebooting", "gone" };
  struct slot_table *slot_table = broker_slot_table (in->broker);
  JsonBuilder *b = json_builder_new ();

  json_builder_begin_object (b);
  json_put_string (b, "vm", v->vm);
  json_put_string (b, "pool", v->pool);
  json_put_string (b, "home_pool", v->home_pool);
  json_put_string (b, "next_pool", v->next_pool);
  json_put_string (b, "phase", vm_phase_name (v->phase));
  json_put_string (b, "because", v->purpose);
  json_put_int (b, "since_offset", (int64_t)v->changed_at_offset);
  json_put_int (b, "since_ms", v->changed_at_ms);
  json_put_int (b, "maintained_at_offset", (int64_t)v->maintained_at_offset);
  json_put_string (b, "platform_says",
                   states[plan_vm_state (in->plan, v->vm)]);
  json_put_string (b, "zone", v->zone);
  json_put_string (b, "rack", v->rack);
  json_put_int (b, "slots", v->slots);
  json_put_int (b, "slots_used_by_this_owner",
                slot_table_vm_used (slot_table, v->vm));
  json_put_bool (b, "set_aside_for_failing",
                 slot_table_is_ejected (slot_table, v->vm, in->turn->now_ms));
  json_put_int (b, "offset", (int64_t)fleet_offset (in->turn->fleet));
  json_builder_end_object (b);
  return builder_to_text (b);
}

static char *
explain_target (const struct status_input *in, const char *subject)
{
  const struct config *c = fleet_config (in->turn->fleet);

  for (guint i = 0; c != NULL && i < c->n_classes; i++)
    {
      char *name = g_strconcat (c->classes[i].service_name, "/",
                                c->classes[i].name, NULL);
      bool is_match = strcmp (name, subject) == 0;
      JsonBuilder *b;

      g_free (name);
      if (!is_match)
        continue;
      b = json_builder_new ();
      put_target (b, in, &c->classes[i]);
      return builder_to_text (b);
    }
  return NULL;
}

static char *
explain_key (const struct status_input *in, const char *subject)
{
  const struct config *c = fleet_config (in->turn->fleet);

  for (guint i = 0; c != NULL && i < c->n_teams; i++)
    {
      const struct fleet_claim *claim
          = status_find_key (in->turn->fleet, i, subject);

      if (claim != NULL)
        return render_claim (in->turn, claim, subject);
    }
  return NULL;
}

char *
status_explain (const struct status_input *input, const char *subject)
{
  const struct fleet_vm *v = fleet_find_vm (input->turn->fleet, subject);
  char *text;

  if (v != NULL)
    return explain_vm (input, v);
  text = explain_target (input, subject);
  return text != NULL ? text : explain_key (input, subject);
}
