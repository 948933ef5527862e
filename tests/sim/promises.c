#include "parts.h"

#include <string.h>

/* What must hold after each step, judged from what the VMs started and from
   the log. */

#define SEARCH_PERCENT 34
#define LETTERS_PERCENT 50
#define OUTCOME_WITHIN_MS 5000

/* The configuration; NUMBER makes it unlike others.  The cores are given a
   false one where a mutation says so. */
char *
promises_config (const struct world *w, int number, bool for_cores)
{
  enum world_mutation m = for_cores ? w->options.mutation : MUTATION_NONE;
  bool all = m == MUTATION_NO_BUDGET;
  char *token = g_compute_checksum_for_string (G_CHECKSUM_SHA256, TOKEN, -1);
  char *text = g_strdup_printf (
      "{\"teams\":[{\"name\":\"team\",\"token_sha256\":\"%s\","
      "\"quota_slots\":%d}],"
      "\"pools\":[{\"name\":\"search\",\"spare\":false,\"min_vms\":2},"
      "{\"name\":\"letters\",\"spare\":true,\"min_vms\":1}],"
      "\"services\":[{\"name\":\"search\",\"pool\":\"search\"},"
      "{\"name\":\"letters\",\"pool\":\"letters\"}],"
      "\"classes\":[{\"name\":\"lookup\",\"service\":\"search\","
      "\"start_within_ms\":2000,\"survive\":\"vm\","
      "\"max_unavailable_percent\":%d,\"idempotent\":true,"
      "\"max_request_bytes\":65536,\"expected_run_ms\":80},"
      "{\"name\":\"letter\",\"service\":\"letters\","
      "\"start_within_ms\":4000,\"survive\":\"vm\","
      "\"max_unavailable_percent\":%d,\"idempotent\":%s,"
      "\"max_request_bytes\":65536,\"remember_key_ms\":86400000,"
      "\"expected_run_ms\":300}]}",
      token, 1000 + number, all ? 100 : SEARCH_PERCENT,
      all ? 100 : LETTERS_PERCENT, m == MUTATION_NO_CLAIM ? "true" : "false");

  g_free (token);
  return text;
}

/* A VM started a task of A's call for POOL. */
void
promises_start (struct world *w, int vm, const char *pool, struct attempt *a)
{
  const struct sim_vm *v = &w->vms[vm];
  const struct fleet_vm *f = fleet_find_vm (w->truth, v->name);
  int64_t leaving_ms
      = v->said_leaving_ms < 0 ? 0 : w->now_ms - v->said_leaving_ms;

  w->counts.starts++;
  a->starts++;
  a->call->starts++;
  if (!a->call->idempotent && a->call->starts > 1)
    violate (w, "at most once: %s started %d times", a->call->key,
             a->call->starts);
  if (a->told_not_run)
    violate (w, "not run is true: %s started after its caller was told so",
             a->call->key);
  if (v->state == VM_STATE_LEAVING && leaving_ms > LEAVING_GRACE_MS)
    violate (w, "leaving: %s started a task %ld ms after it began to leave",
             v->name, (long)leaving_ms);
  if (f != NULL && strcmp (f->pool, pool) != 0)
    violate (w, "one pool: %s is in %s and started a task of %s", v->name,
             f->pool, pool);
  if (f != NULL && f->phase == VM_RELEASED)
    violate (w, "one pool: %s is released and started a task of %s", v->name,
             pool);
}

/* A's caller hears that its request ended for REASON. */
void
promises_told (struct world *w, struct attempt *a, enum reason reason)
{
  switch (reason_outcome (reason))
    {
    case OUTCOME_NOT_RUN:
      w->counts.not_run++;
      a->told_not_run = true;
      if (a->starts > 0)
        violate (w, "not run is true: %s had started; reason %s", a->call->key,
                 reason_name (reason));
      break;
    case OUTCOME_FAILED:
      w->counts.failed++;
      break;
    case OUTCOME_UNKNOWN:
      w->counts.unknown++;
      break;
    case OUTCOME_ANSWERED:
      break;
    }
}

static void
check_budget (struct world *w, const char *vm)
{
  const char *pool = fleet_find_vm (w->truth, vm)->pool;
  uint32_t away;
  uint32_t size = fleet_pool_size (w->truth, pool, &away);
  uint32_t percent
      = strcmp (pool, "search") == 0 ? SEARCH_PERCENT : LETTERS_PERCENT;

  w->counts.drains++;
  if (away > size * percent / 100)
    violate (w, "budget: %u of %u VMs of %s are away for a planned drain",
             away, size, pool);
}

/* The log's own fold took a record. */
void
promises_fold (struct world *w, const struct record *r, enum verdict verdict,
               uint64_t offset)
{
  gint64 base = (gint64)r->u.config.base;

  if (verdict != VERDICT_ACCEPTED)
    return;
  if (r->kind == RECORD_VM_STEP && r->u.vm_step.phase == VM_DRAINING)
    check_budget (w, r->u.vm_step.vm);
  if (r->kind == RECORD_CONFIG
      && !g_hash_table_add (w->bases, g_memdup2 (&base, sizeof base)))
    violate (w, "configuration: version %ld was replaced twice, last at %lu",
             (long)base, (unsigned long)offset);
}

/* NODE has taken a step. */
void
promises_node (struct world *w, int node)
{
  struct sim_node *n = &w->nodes[node];
  const struct fleet *f;
  uint64_t offset;
  uint64_t version;

  if (n->core == NULL)
    return;
  f = core_fleet (n->core);
  offset = fleet_offset (f);
  version = fleet_config_version (f);
  if (offset < n->seen_offset)
    violate (w, "configuration: the offset of %s went back from %lu to %lu",
             n->name, (unsigned long)n->seen_offset, (unsigned long)offset);
  if (offset > 0
      && version != g_array_index (w->versions, uint64_t, offset - 1))
    violate (w, "configuration: %s has version %lu in force at offset %lu",
             n->name, (unsigned long)version, (unsigned long)offset);
  n->seen_offset = offset;
  n->seen_version = version;
}

/* VM is about to be rebooted, or given to another pool, by our order. */
void
promises_reboot (struct world *w, int vm)
{
  if (w->vms[vm].running > 0)
    violate (w, "planned stop: %s is taken with %u tasks in progress",
             w->vms[vm].name, w->vms[vm].running);
}

/* All faults are over and time has passed. */
void
promises_settled (struct world *w)
{
  for (int i = 0; i < w->options.n_nodes; i++)
    {
      const struct sim_node *n = &w->nodes[i];

      if (n->core == NULL)
        violate (w, "settled: %s does not run", n->name);
      else if (fleet_config_version (core_fleet (n->core))
               != fleet_config_version (w->truth))
        violate (w, "configuration: %s has not got the version in force",
                 n->name);
    }
  for (guint i = 0; i < w->attempts->len; i++)
    {
      const struct attempt *a = g_ptr_array_index (w->attempts, i);

      if (!a->over && w->now_ms - a->sent_ms > OUTCOME_WITHIN_MS)
        violate (w, "settled: %s has no outcome", a->call->key);
    }
}
