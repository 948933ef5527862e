#include "parts.h"

#include <string.h>

/* The invariants that must hold after each step, checked against what the VMs
   started and against the log. */

#define SEARCH_MAX_UNAVAILABLE_PERCENT 34
#define LETTERS_MAX_UNAVAILABLE_PERCENT 50
#define MAX_OUTCOME_WAIT_MS 5000

/* Return the configuration, which the caller frees; NUMBER makes it differ
   from others.  If it is FOR_CORES, some mutations change it. */
char *
invariants_make_config (const struct world *w, int number, bool for_cores)
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
      token, 1000 + number, all ? 100 : SEARCH_MAX_UNAVAILABLE_PERCENT,
      all ? 100 : LETTERS_MAX_UNAVAILABLE_PERCENT,
      m == MUTATION_NO_CLAIM ? "true" : "false");

  g_free (token);
  return text;
}

/* Check that VM may start a task of A's call for POOL, as it now does. */
void
invariants_check_start (struct world *w, int vm, const char *pool,
                        struct attempt *a)
{
  const struct sim_vm *v = &w->vms[vm];
  const struct fleet_vm *f = fleet_find_vm (w->reference_fleet, v->name);
  int64_t leaving_ms
      = v->leaving_reported_ms < 0 ? 0 : w->now_ms - v->leaving_reported_ms;

  w->counts.starts++;
  a->starts++;
  a->call->starts++;
  if (!a->call->idempotent && a->call->starts > 1)
    report_violation (w, "at most once: %s started %d times", a->call->key,
                      a->call->starts);
  if (a->was_told_not_run)
    report_violation (
        w, "not run: %s started after its caller was told that it would not",
        a->call->key);
  if (v->state == VM_STATE_LEAVING && leaving_ms > LEAVING_GRACE_MS)
    report_violation (
        w,
        "leaving: %s started a task %ld ms after it was reported as leaving",
        v->name, (long)leaving_ms);
  if (f != NULL && strcmp (f->pool, pool) != 0)
    report_violation (w, "one pool: %s is in %s and started a task of %s",
                      v->name, f->pool, pool);
  if (f != NULL && f->phase == VM_RELEASED)
    report_violation (w, "one pool: %s is released and started a task of %s",
                      v->name, pool);
}

/* Check REASON, with which A's caller is told that its request ended. */
void
invariants_check_refusal (struct world *w, struct attempt *a,
                          enum reason reason)
{
  switch (reason_outcome (reason))
    {
    case OUTCOME_NOT_RUN:
      w->counts.not_run++;
      a->was_told_not_run = true;
      if (a->starts > 0)
        report_violation (w, "not run: %s had started; reason %s",
                          a->call->key, reason_name (reason));
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
  const char *pool = fleet_find_vm (w->reference_fleet, vm)->pool;
  uint32_t vms_out;
  uint32_t size = fleet_pool_size (w->reference_fleet, pool, &vms_out);
  uint32_t percent = strcmp (pool, "search") == 0
                         ? SEARCH_MAX_UNAVAILABLE_PERCENT
                         : LETTERS_MAX_UNAVAILABLE_PERCENT;

  w->counts.drains++;
  if (vms_out > size * percent / 100)
    report_violation (
        w, "budget: %u of %u VMs of %s are out of service at a planned drain",
        vms_out, size, pool);
}

/* Check record R, which the reference fleet applied at OFFSET with VERDICT. */
void
invariants_check_record (struct world *w, const struct record *r,
                         enum verdict verdict, uint64_t offset)
{
  gint64 base = (gint64)r->u.config.base;

  if (verdict != VERDICT_ACCEPTED)
    return;
  if (r->kind == RECORD_VM_STEP && r->u.vm_step.phase == VM_DRAINING)
    check_budget (w, r->u.vm_step.vm);
  if (r->kind == RECORD_CONFIG
      && !g_hash_table_add (w->replaced_versions,
                            g_memdup2 (&base, sizeof base)))
    report_violation (
        w, "configuration: version %ld was replaced twice, last at %lu",
        (long)base, (unsigned long)offset);
}

/* Check the fleet state of NODE after it handled a message. */
void
invariants_check_node (struct world *w, int node)
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
  if (offset < n->checked_offset)
    report_violation (
        w, "configuration: the offset of %s decreased from %lu to %lu",
        n->name, (unsigned long)n->checked_offset, (unsigned long)offset);
  if (offset > 0
      && version != g_array_index (w->versions, uint64_t, offset - 1))
    report_violation (
        w, "configuration: %s has version %lu in force at offset %lu", n->name,
        (unsigned long)version, (unsigned long)offset);
  n->checked_offset = offset;
  n->checked_version = version;
}

/* Check that VM is idle before it is rebooted, or assigned to another pool, by
   order of a node. */
void
invariants_check_planned_stop (struct world *w, int vm)
{
  if (w->vms[vm].running > 0)
    report_violation (
        w, "planned stop: %s is rebooted or assigned with %u tasks running",
        w->vms[vm].name, w->vms[vm].running);
}

/* Check the end state, after all faults have ended and the world has
   settled. */
void
invariants_check_settled (struct world *w)
{
  for (int i = 0; i < w->options.n_nodes; i++)
    {
      const struct sim_node *n = &w->nodes[i];

      if (n->core == NULL)
        report_violation (w, "settled: %s is not running", n->name);
      else if (fleet_config_version (core_fleet (n->core))
               != fleet_config_version (w->reference_fleet))
        report_violation (
            w, "configuration: %s does not have the version in force",
            n->name);
    }
  for (guint i = 0; i < w->attempts->len; i++)
    {
      const struct attempt *a = g_ptr_array_index (w->attempts, i);

      if (!a->is_over && w->now_ms - a->sent_ms > MAX_OUTCOME_WAIT_MS)
        report_violation (w, "settled: %s has no outcome", a->call->key);
    }
}
