#include "advice.h"
#include "target.h"

#include <glib.h>
#include <string.h>

/* What a target asks of its pool, and what the fold lets out of service. */

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

struct world
{
  struct fleet *fleet;
  uint64_t offset;
};

static enum verdict
fold (struct world *w, struct record *r)
{
  enum verdict v = fleet_fold (w->fleet, r, ++w->offset, 0);

  record_destroy (r);
  return v;
}

static void
set_up (struct world *w, const char *survive, int percent)
{
  struct record *r = record_new (RECORD_CONFIG, "n", 1);

  w->fleet = fleet_new ();
  w->offset = 0;
  r->u.config.text = g_strdup_printf (CONFIG, survive, percent);
  g_assert_cmpint (fold (w, r), ==, VERDICT_ACCEPTED);
}

static void
add (struct world *w, const char *vm, const char *pool, const char *rack)
{
  struct record *r = record_new (RECORD_VM_ADD, "n", 1);

  r->u.vm_add.vm = g_strdup (vm);
  r->u.vm_add.address = g_strdup ("127.0.0.1");
  r->u.vm_add.port = 1;
  r->u.vm_add.zone = g_strdup ("z");
  r->u.vm_add.rack = g_strdup (rack);
  r->u.vm_add.pool = g_strdup (pool);
  r->u.vm_add.slots = 8;
  g_assert_cmpint (fold (w, r), ==, VERDICT_ACCEPTED);
}

static enum verdict
step (struct world *w, const char *vm, enum vm_phase phase, const char *pool,
      const char *next_pool)
{
  struct record *r = record_new (RECORD_VM_STEP, "n", 1);

  r->u.vm_step.vm = g_strdup (vm);
  r->u.vm_step.since = fleet_find_vm (w->fleet, vm)->changed;
  r->u.vm_step.phase = phase;
  r->u.vm_step.pool = g_strdup (pool);
  r->u.vm_step.next_pool = g_strdup (next_pool);
  r->u.vm_step.purpose = g_strdup ("test");
  return fold (w, r);
}

static void
add_six (struct world *w)
{
  add (w, "v1", "a", "r1");
  add (w, "v2", "a", "r1");
  add (w, "v3", "a", "r1");
  add (w, "v4", "a", "r1");
  add (w, "v5", "a", "r2");
  add (w, "v6", "a", "r2");
}

static void
test_the_worst_failure_is_named (void)
{
  struct world w;
  struct target_room room;

  set_up (&w, "rack", 50);
  add_six (&w);
  room = target_weigh (w.fleet, &fleet_config (w.fleet)->classes[0], NULL);
  g_assert_cmpuint (room.vms, ==, 6);
  g_assert_cmpuint (room.vms_out_most, ==, 3);
  g_assert_cmpuint (room.slots, ==, 48);
  g_assert_cmpuint (room.slots_lost, ==, 32);
  g_assert_cmpstr (room.domain, ==, "r1");
  g_assert_cmpuint (target_slots_after_failure (&room), ==, 16);
  fleet_destroy (w.fleet);
}

static void
test_failures_spend_the_budget (void)
{
  struct world w;

  set_up (&w, "none", 34); /* two of six */
  add_six (&w);
  g_assert_cmpint (step (&w, "v1", VM_DOWN, "a", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (step (&w, "v2", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  g_assert_cmpint (step (&w, "v3", VM_DRAINING, "a", ""), ==, VERDICT_BUDGET);
  g_assert_cmpint (step (&w, "v1", VM_SERVING, "a", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (step (&w, "v3", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (w.fleet);
}

static void
test_the_last_of_a_failure_domain_stays (void)
{
  struct world w;

  /* With both VMs of r2 out, the loss of r1 would leave nothing. */
  set_up (&w, "rack", 50);
  add_six (&w);
  g_assert_cmpint (step (&w, "v5", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  g_assert_cmpint (step (&w, "v6", VM_DRAINING, "a", ""), ==, VERDICT_BUDGET);
  g_assert_cmpint (step (&w, "v1", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (w.fleet);
}

static void
test_load_keeps_a_vm_in_service (void)
{
  struct world w;
  const struct config_class *k = NULL;
  const struct fleet_vm *v;

  set_up (&w, "vm", 50);
  add_six (&w);
  v = fleet_find_vm (w.fleet, "v1");
  /* Without it and the worst other, four VMs of eight slots are left. */
  g_assert_cmpint (target_allows_out (w.fleet, v, 32, NULL), ==,
                   TARGET_ALLOWS);
  g_assert_cmpint (target_allows_out (w.fleet, v, 33, &k), ==, TARGET_LOAD);
  g_assert_cmpstr (k->name, ==, "c");
  /* A load that the whole pool could not carry is not held against it. */
  g_assert_cmpint (target_allows_out (w.fleet, v, 41, NULL), ==,
                   TARGET_ALLOWS);
  fleet_destroy (w.fleet);
}

static void
test_a_pool_keeps_its_least (void)
{
  struct world w;

  set_up (&w, "none", 100);
  add (&w, "v1", "a", "r1");
  add (&w, "v2", "a", "r1");
  add (&w, "v3", "a", "r2");
  add (&w, "v4", "a", "r2");
  g_assert_cmpint (step (&w, "v1", VM_DRAINING, "a", "b"), ==,
                   VERDICT_ACCEPTED);
  /* Three stay, which is its least. */
  g_assert_cmpint (step (&w, "v2", VM_DRAINING, "a", "b"), ==, VERDICT_BUDGET);
  /* To be maintained it may drain, as it comes back. */
  g_assert_cmpint (step (&w, "v2", VM_DRAINING, "a", ""), ==,
                   VERDICT_ACCEPTED);
  fleet_destroy (w.fleet);
}

static void
test_the_steps_of_a_move (void)
{
  struct world w;

  set_up (&w, "none", 100);
  add_six (&w);
  g_assert_cmpint (step (&w, "v1", VM_SERVING, "b", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&w, "v1", VM_DRAINING, "a", "nowhere"), ==,
                   VERDICT_UNKNOWN);
  g_assert_cmpint (step (&w, "v1", VM_DRAINING, "a", "a"), ==,
                   VERDICT_ILLEGAL);
  g_assert_cmpint (step (&w, "v1", VM_DRAINING, "a", "b"), ==,
                   VERDICT_ACCEPTED);
  /* What was drained to move is not rebooted, and the reverse. */
  g_assert_cmpint (step (&w, "v1", VM_REBOOTING, "a", ""), ==,
                   VERDICT_ILLEGAL);
  g_assert_cmpint (step (&w, "v1", VM_SERVING, "b", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&w, "v1", VM_RELEASED, "a", ""), ==,
                   VERDICT_ACCEPTED);
  /* A release is not taken back. */
  g_assert_cmpint (step (&w, "v1", VM_SERVING, "a", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&w, "v1", VM_DOWN, "a", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&w, "v1", VM_SERVING, "b", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpstr (fleet_find_vm (w.fleet, "v1")->pool, ==, "b");
  g_assert_cmpstr (fleet_find_vm (w.fleet, "v1")->home_pool, ==, "a");
  g_assert_cmpstr (fleet_find_vm (w.fleet, "v1")->next_pool, ==, "");
  fleet_destroy (w.fleet);
}

static void
test_a_move_of_a_vm_that_went_down_is_off (void)
{
  struct world w;

  set_up (&w, "none", 100);
  add_six (&w);
  step (&w, "v1", VM_DRAINING, "a", "b");
  g_assert_cmpint (step (&w, "v1", VM_DOWN, "a", ""), ==, VERDICT_ACCEPTED);
  g_assert_cmpint (step (&w, "v1", VM_SERVING, "b", ""), ==, VERDICT_ILLEGAL);
  g_assert_cmpint (step (&w, "v1", VM_SERVING, "a", ""), ==, VERDICT_ACCEPTED);
  fleet_destroy (w.fleet);
}

static void
test_what_can_be_reached (void)
{
  struct world w;
  const struct config *c;
  enum survive nearest;

  set_up (&w, "zone", 10);
  add_six (&w);
  c = fleet_config (w.fleet);
  /* All VMs are in one zone, in two racks. */
  g_assert_cmpint (target_reach (w.fleet, c, &c->classes[0], &nearest), ==,
                   TARGET_UNREACHABLE);
  g_assert_cmpint (nearest, ==, SURVIVE_RACK);
  g_assert_cmpuint (target_percent_needed (w.fleet, c, &c->classes[0]), ==,
                    17);
  fleet_destroy (w.fleet);

  set_up (&w, "rack", 50);
  add (&w, "v1", "a", "r1");
  add (&w, "v2", "a", "r1");
  add (&w, "v3", "b", "r2");
  c = fleet_config (w.fleet);
  g_assert_cmpint (target_reach (w.fleet, c, &c->classes[0], &nearest), ==,
                   TARGET_BY_MOVING);
  g_assert_cmpuint (target_percent_needed (w.fleet, c, &c->classes[0]), ==, 0);
  fleet_destroy (w.fleet);
}

static void
test_who_publishes_is_told (void)
{
  struct world w;
  char *text;

  set_up (&w, "zone", 10);
  text = advice_render (w.fleet, fleet_config (w.fleet));
  g_assert_cmpstr (text, ==, "[]"); /* there are no VMs yet */
  g_free (text);
  add_six (&w);
  text = advice_render (w.fleet, fleet_config (w.fleet));
  g_assert_nonnull (strstr (text, "s/c"));
  g_assert_nonnull (strstr (text, "no arrangement"));
  g_assert_nonnull (strstr (text, "\\\"survive\\\": \\\"rack\\\""));
  g_assert_nonnull (strstr (text, "max_unavailable_percent\\\": 17"));
  g_free (text);
  fleet_destroy (w.fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/target/worst-failure", test_the_worst_failure_is_named);
  g_test_add_func ("/target/failures-count", test_failures_spend_the_budget);
  g_test_add_func ("/target/last-of-domain",
                   test_the_last_of_a_failure_domain_stays);
  g_test_add_func ("/target/load", test_load_keeps_a_vm_in_service);
  g_test_add_func ("/target/least", test_a_pool_keeps_its_least);
  g_test_add_func ("/target/steps-of-a-move", test_the_steps_of_a_move);
  g_test_add_func ("/target/move-off",
                   test_a_move_of_a_vm_that_went_down_is_off);
  g_test_add_func ("/target/reach", test_what_can_be_reached);
  g_test_add_func ("/target/advice", test_who_publishes_is_told);
  return g_test_run ();
}
