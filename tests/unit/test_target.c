#include "target.h"
#include "unmet_targets.h"

#include <glib.h>
#include <string.h>

/* Availability targets, and the VM steps that the fleet accepts under them. */

#define CONFIG                                                                \
  "{\"teams\":[{\"name\":\"t\",\"token_sha256\":"                             \
  "\"b45f6aab3f78ddf81953881d73f96fa19564b50ee1f733ea5f782d548a1f1189\","     \
  "\"quota_slots\":8}],"                                                      \
  "\"pools\":[{\"name\":\"a\",\"min_vms\":3},{\"name\":\"b\"}],"              \
  "\"services\":[{\"name\":\"s\",\"pool\":\"a\"},"                            \
  "{\"name\":\"u\",\"pool\":\"b\"}],"                                         \
  "\"classes\":[{\"name\":\"c\",\"service\":\"s\",\"start_within_ms\":1000,"  \
  "\"survive\":\"%s\",\"max_unavailable_percent\":%d},"                       \
  "{\"name\":\"d\",\"service\":\"u\",\"start_within_ms\":1000,"               \
  "\"survive\":\"none\"}]}"

struct fixture
{
  struct fleet *fleet;
  uint64_t offset;
};

static enum verdict
fold (struct fixture *f, struct record *r)
{
  enum verdict v = fleet_apply (f->fleet, r, ++f->offset, 0);

  record_destroy (r);
  return v;
}

static void
set_up (struct fixture *f, const char *survive, int percent)
{
  struct record *r = record_new (RECORD_CONFIG, "n", 1);

  f->fleet = fleet_new ();
  f->offset = 0;
  r->u.config.text = g_strdup_printf (CONFIG, survive, percent);
  g_assert_cmpint (fold (f, r), ==, VERDICT_ACCEPTED);
}

static void
add (struct fixture *f, const char *vm, const char *pool, const char *rack)
{
  struct record *r = record_new (RECORD_VM_ADD, "n", 1);

  r->u.vm_add.vm = g_strdup (vm);
  r->u.vm_add.address = g_strdup ("127.0.0.1");
  r->u.vm_add.port = 1;
  r->u.vm_add.zone = g_strdup ("z");
  r->u.vm_add.rack = g_strdup (rack);
  r->u.vm_add.pool = g_strdup (pool);
  r->u.vm_add.slots = 8;
  g_assert_cmpint (fold (f, r), ==, VERDICT_ACCEPTED);
}

static enum verdict
step (struct fixture *f, const char *vm, enum vm_phase phase, const char *pool,
      const char *next_pool)
{
  struct record *r = record_new (RECORD_VM_STEP, "n", 1);

  r->u.vm_step.vm = g_strdup (vm);
  r->u.vm_step.since = fleet_find_vm (f->fleet, vm)->changed_at_offset;
  r->u.vm_step.phase = phase;
  r->u.vm_step.pool = g_strdup (pool);
  r->u.vm_step.next_pool = g_strdup (next_pool);
  r->u.vm_step.purpose = g_strdup ("test");
  return fold (f, r);
}

static void
add_six (struct fixture *f)
{
  add (f, "v1", "a", "r1");
  add (f, "v2", "a", "r1");
  add (f, "v3", "a", "r1");
  add (f, "v4", "a", "r1");
  add (f, "v5", "a", "r2");
  add (f, "v6", "a", "r2");
}

static void
test_worst_failure_domain (void)
{
  struct fixture f;
  struct target_capacity capacity;

  set_up (&f, "rack", 50);
  add_six (&f);
  capacity
      = target_assess (f.fleet, &fleet_config (f.fleet)->classes[0], NULL);
  g_assert_cmpuint (capacity.vms, ==, 6);
  g_assert_cmpuint (capacity.vms_out_allowed, ==, 3);
  g_assert_cmpuint (capacity.slots, ==, 48);
  g_assert_cmpuint (capacity.slots_lost, ==, 32);
  g_assert_cmpstr (capacity.worst_domain, ==, "r1");
  g_assert_cmpuint (target_slots_after_failure (&capacity), ==, 16);
  fleet_destroy (f.fleet);
}

static void
test_failures_count_towards_the_budget (void)
{
  struct fixture f;

  set_up (&f, "none", 34); /* two of six */
  add_six (&f);
  g_assert_cmpint (step (&f, "v1", VM_DOWN, "a", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (step (&f, "v2", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  g_assert_cmpint (step (&f, "v3", VM_DRAINING, "a", ""), ==, VERDICT_BUDGET);
  g_assert_cmpint (step (&f, "v1", VM_SERVING, "a", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (step (&f, "v3", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (f.fleet);
}

static void
test_last_vm_of_a_second_failure_domain_stays (void)
{
  struct fixture f;

  /* With both VMs of r2 out, the loss of r1 would leave no slot. */
  set_up (&f, "rack", 50);
  add_six (&f);
  g_assert_cmpint (step (&f, "v5", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  g_assert_cmpint (step (&f, "v6", VM_DRAINING, "a", ""), ==, VERDICT_BUDGET);
  g_assert_cmpint (step (&f, "v1", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (f.fleet);
}

static void
test_load_keeps_a_vm_in_service (void)
{
  struct fixture f;
  const struct config_class *k = NULL;
  const struct fleet_vm *v;

  set_up (&f, "vm", 50);
  add_six (&f);
  v = fleet_find_vm (f.fleet, "v1");
  /* Without v1 and one more VM, four VMs of eight slots are left. */
  g_assert_cmpint (target_check_removal (f.fleet, v, 32, NULL), ==,
                   TARGET_ALLOWS);
  g_assert_cmpint (target_check_removal (f.fleet, v, 33, &k), ==, TARGET_LOAD);
  g_assert_cmpstr (k->name, ==, "c");
  /* The pool could not carry this load with all its VMs either. */
  g_assert_cmpint (target_check_removal (f.fleet, v, 41, NULL), ==,
                   TARGET_ALLOWS);
  fleet_destroy (f.fleet);
}

static void
test_pool_keeps_its_min_vms (void)
{
  struct fixture f;

  set_up (&f, "none", 100);
  add (&f, "v1", "a", "r1");
  add (&f, "v2", "a", "r1");
  add (&f, "v3", "a", "r2");
  add (&f, "v4", "a", "r2");
  g_assert_cmpint (step (&f, "v1", VM_DRAINING, "a", "b"), ==,
                   VERDICT_ACCEPTED);
  /* Three VMs stay, which is the pool's min_vms. */
  g_assert_cmpint (step (&f, "v2", VM_DRAINING, "a", "b"), ==, VERDICT_BUDGET);
  /* A drain for maintenance is allowed, as the VM comes back. */
  g_assert_cmpint (step (&f, "v2", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (f.fleet);
}

static void
test_phases_of_a_move (void)
{
  struct fixture f;

  set_up (&f, "none", 100);
  add_six (&f);
  g_assert_cmpint (step (&f, "v1", VM_SERVING, "b", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&f, "v1", VM_DRAINING, "a", "nowhere"), ==,
                   VERDICT_UNKNOWN);
  g_assert_cmpint (step (&f, "v1", VM_DRAINING, "a", "a"), ==,
                   VERDICT_ILLEGAL);
  g_assert_cmpint (step (&f, "v1", VM_DRAINING, "a", "b"), ==,
                   VERDICT_ACCEPTED);
  /* A VM that drains for a move is not rebooted, nor put back in service. */
  g_assert_cmpint (step (&f, "v1", VM_REBOOTING, "a", ""), ==,
                   VERDICT_ILLEGAL);
  g_assert_cmpint (step (&f, "v1", VM_SERVING, "b", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&f, "v1", VM_RELEASED, "a", ""), ==,
                   VERDICT_ACCEPTED);
  /* A release is final. */
  g_assert_cmpint (step (&f, "v1", VM_SERVING, "a", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&f, "v1", VM_DOWN, "a", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&f, "v1", VM_SERVING, "b", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpstr (fleet_find_vm (f.fleet, "v1")->pool, ==, "b");
  g_assert_cmpstr (fleet_find_vm (f.fleet, "v1")->home_pool, ==, "a");
  g_assert_cmpstr (fleet_find_vm (f.fleet, "v1")->next_pool, ==, "");
  fleet_destroy (f.fleet);
}

static void
test_outage_cancels_a_move (void)
{
  struct fixture f;

  set_up (&f, "none", 100);
  add_six (&f);
  step (&f, "v1", VM_DRAINING, "a", "b");
  g_assert_cmpint (step (&f, "v1", VM_DOWN, "a", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (step (&f, "v1", VM_SERVING, "b", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&f, "v1", VM_SERVING, "a", ""), ==, VERDICT_ACCEPTED);
  fleet_destroy (f.fleet);
}

static void
test_which_targets_are_reachable (void)
{
  struct fixture f;
  const struct config *c;
  enum survive nearest;

  set_up (&f, "zone", 10);
  add_six (&f);
  c = fleet_config (f.fleet);
  /* All VMs are in one zone, in two racks. */
  g_assert_cmpint (target_reach (f.fleet, c, &c->classes[0], &nearest), ==,
                   TARGET_UNREACHABLE);
  g_assert_cmpint (nearest, ==, SURVIVE_RACK);
  g_assert_cmpuint (target_percent_needed (f.fleet, c, &c->classes[0]), ==,
                    17);
  fleet_destroy (f.fleet);

  set_up (&f, "rack", 50);
  add (&f, "v1", "a", "r1");
  add (&f, "v2", "a", "r1");
  add (&f, "v3", "b", "r2");
  c = fleet_config (f.fleet);
  g_assert_cmpint (target_reach (f.fleet, c, &c->classes[0], &nearest), ==,
                   TARGET_REACHABLE_BY_MOVES);
  g_assert_cmpuint (target_percent_needed (f.fleet, c, &c->classes[0]), ==, 0);
  fleet_destroy (f.fleet);
}

static void
test_unreachable_target_is_reported (void)
{
  struct fixture f;
  char *text;

  set_up (&f, "zone", 10);
  text = unmet_targets_render (f.fleet, fleet_config (f.fleet));
  g_assert_cmpstr (text, ==, "[]"); /* there are no VMs yet */
  g_free (text);
  add_six (&f);
  text = unmet_targets_render (f.fleet, fleet_config (f.fleet));
  g_assert_nonnull (strstr (text, "s/c"));
  g_assert_nonnull (strstr (text, "no arrangement"));
  g_assert_nonnull (strstr (text, "\\\"survive\\\": \\\"rack\\\""));
  g_assert_nonnull (strstr (text, "max_unavailable_percent\\\": 17"));
  g_free (text);
  fleet_destroy (f.fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/target/worst-failure", test_worst_failure_domain);
  g_test_add_func ("/target/failures-in-budget",
                   test_failures_count_towards_the_budget);
  g_test_add_func ("/target/last-of-domain",
                   test_last_vm_of_a_second_failure_domain_stays);
  g_test_add_func ("/target/load", test_load_keeps_a_vm_in_service);
  g_test_add_func ("/target/min-vms", test_pool_keeps_its_min_vms);
  g_test_add_func ("/target/phases-of-a-move", test_phases_of_a_move);
  g_test_add_func ("/target/outage-cancels-move", test_outage_cancels_a_move);
  g_test_add_func ("/target/reachable", test_which_targets_are_reachable);
  g_test_add_func ("/target/unreachable-reported",
                   test_unreachable_target_is_reported);
  return g_test_run ();
}
