#include "core.h"
#include "fleet.h"

#include <glib.h>
#include <string.h>

/* Maintenance waves on a simulated clock: the core of one node, a log, and a
   simple fake of the platform and its VMs. */

#define VMS 12
#define PER_RACK 4
#define REBOOT_MS 30000
#define BUDGET 3 /* 25% of 12 */
#define LIST_EVERY_MS 1500

#define CONFIG                                                                \
  "{\"automation\":\"%s\",\"teams\":[{\"name\":\"t\",\"token_sha256\":"       \
  "\"b45f6aab3f78ddf81953881d73f96fa19564b50ee1f733ea5f782d548a1f1189\","     \
  "\"quota_slots\":8}],"                                                      \
  "\"pools\":[{\"name\":\"a\"}],"                                             \
  "\"services\":[{\"name\":\"s\",\"pool\":\"a\"}],"                           \
  "\"classes\":[{\"name\":\"c\",\"service\":\"s\",\"start_within_ms\":1000,"  \
  "\"survive\":\"rack\",\"max_unavailable_percent\":25}]}"

struct fake_vm
{
  char name[8];
  enum vm_state state;
  int64_t back_ms; /* when it is live again; -1 if not scheduled */
  uint32_t running;
  int reboots;
};

struct simulation
{
  struct core *core;
  struct counters *counters;
  int64_t now_ms;
  int64_t listed_ms;
  uint64_t head;
  GPtrArray *log; /* struct record *, not yet delivered to the core */
  struct fake_vm vms[VMS];
  int n_lost_reboots; /* next reboots from which the VM does not return */
  char *reply;
};

static void handle_message (struct simulation *s, struct message *m);

static struct fake_vm *
find_vm (struct simulation *s, const char *name)
{
  for (int i = 0; i < VMS; i++)
    if (strcmp (s->vms[i].name, name) == 0)
      return &s->vms[i];
  g_assert_not_reached ();
}

static void
execute_order (struct simulation *s, const struct message_vm_order *order)
{
  struct fake_vm *v = find_vm (s, order->vm);

  if (order->action == PLATFORM_DRAIN && v->state == VM_STATE_LIVE)
    v->state = VM_STATE_LEAVING;
  if (order->action != PLATFORM_REBOOT || v->state == VM_STATE_REBOOTING)
    return;
  g_assert_cmpuint (v->running, ==, 0);
  v->reboots++;
  v->state = VM_STATE_REBOOTING;
  v->back_ms = s->n_lost_reboots > 0 ? -1 : s->now_ms + REBOOT_MS;
  if (s->n_lost_reboots > 0)
    s->n_lost_reboots--;
}

static void
handle_output (struct simulation *s, struct message *m)
{
  switch (m->kind)
    {
    case MESSAGE_APPEND:
      g_ptr_array_add (s->log, g_steal_pointer (&m->u.append.record));
      break;
    case MESSAGE_VM_ORDER:
      execute_order (s, &m->u.vm_order);
      break;
    case MESSAGE_REPLY:
      g_free (s->reply);
      s->reply = g_strdup (m->u.reply.text);
      break;
    default:
      break;
    }
  message_destroy (m);
}

static void
handle_message (struct simulation *s, struct message *m)
{
  GQueue out = G_QUEUE_INIT;
  struct message *next;

  core_handle (s->core, m, s->now_ms, &out);
  while ((next = g_queue_pop_head (&out)) != NULL)
    handle_output (s, next);
}

/* Deliver the records appended since the last call, and the log's head. */
static void
deliver_log (struct simulation *s)
{
  struct message *state = message_new (MESSAGE_LOG_STATE);

  if (s->log->len > 0)
    {
      struct message *m = message_new (MESSAGE_RECORDS);

      m->u.records.entries = log_entries_new ();
      for (guint i = 0; i < s->log->len; i++)
        {
          struct log_entry e
              = { ++s->head, s->now_ms, g_ptr_array_index (s->log, i) };

          g_array_append_val (m->u.records.entries, e);
        }
      g_ptr_array_set_size (s->log, 0);
      handle_message (s, m);
    }
  state->u.log_state.is_reachable = true;
  state->u.log_state.head = s->head;
  state->u.log_state.requested_ms = s->now_ms;
  handle_message (s, state);
}

static void
deliver_list (struct simulation *s)
{
  struct message *m = message_new (MESSAGE_VM_LIST);

  m->u.vm_list.vms = listed_vms_new ();
  m->u.vm_list.requested_ms = s->now_ms;
  for (int i = 0; i < VMS; i++)
    {
      struct listed_vm l = { .vm = g_strdup (s->vms[i].name),
                             .address = g_strdup ("127.0.0.1"),
                             .port = 1,
                             .zone = g_strdup ("z"),
                             .rack = g_strdup_printf ("r%d", i / PER_RACK),
                             .pool = g_strdup ("a"),
                             .slots = 8,
                             .running = s->vms[i].running,
                             .state = s->vms[i].state };

      g_array_append_val (m->u.vm_list.vms, l);
    }
  handle_message (s, m);
  s->listed_ms = s->now_ms;
}

static uint32_t
count_out (struct simulation *s)
{
  uint32_t out;

  fleet_pool_size (core_fleet (s->core), "a", &out);
  return out;
}

/* Run the core for TIME_MS.  Fail if more than MAX_OUT VMs are out of service
   at any tick. */
static void
run_for (struct simulation *s, int64_t time_ms, uint32_t max_out)
{
  for (int64_t end_ms = s->now_ms + time_ms; s->now_ms < end_ms;)
    {
      s->now_ms += CORE_TICK_MS;
      for (int i = 0; i < VMS; i++)
        if (s->vms[i].back_ms >= 0 && s->now_ms >= s->vms[i].back_ms)
          {
            s->vms[i].state = VM_STATE_LIVE;
            s->vms[i].back_ms = -1;
          }
      deliver_log (s);
      if (s->now_ms - s->listed_ms >= LIST_EVERY_MS)
        deliver_list (s);
      handle_message (s, message_new (MESSAGE_TICK));
      g_assert_cmpuint (count_out (s), <=, max_out);
    }
}

static void
publish (struct simulation *s, const char *automation)
{
  struct record *r = record_new (RECORD_CONFIG, "n0", 1);

  r->u.config.base = fleet_config_version (core_fleet (s->core));
  r->u.config.text = g_strdup_printf (CONFIG, automation);
  g_ptr_array_add (s->log, r);
}

static void
maintain (struct simulation *s, const char *name)
{
  struct record *r = record_new (RECORD_MAINTAIN, "n0", 1);

  r->u.maintain.name = g_strdup (name);
  r->u.maintain.pool = g_strdup ("a");
  r->u.maintain.finish_within_ms = 3600000;
  r->u.maintain.patience_ms = 20000;
  g_ptr_array_add (s->log, r);
}

static void
set_up (struct simulation *s)
{
  struct core_options options = {
    .node = "n0", .zone = "z", .incarnation = 1, .max_requests = 10, .seed = 1
  };

  memset (s, 0, sizeof *s);
  s->counters = counters_new ();
  s->core = core_new (&options, s->counters);
  s->log = g_ptr_array_new ();
  s->now_ms = 10000;
  for (int i = 0; i < VMS; i++)
    {
      g_snprintf (s->vms[i].name, sizeof s->vms[i].name, "v%02d", i);
      s->vms[i].back_ms = -1;
    }
  publish (s, "running");
  run_for (s, 5000, 0);
  g_assert_cmpuint (fleet_vms (core_fleet (s->core))->len, ==, VMS);
}

static void
tear_down (struct simulation *s)
{
  core_destroy (s->core);
  counters_destroy (s->counters);
  g_ptr_array_unref (s->log);
  g_free (s->reply);
}

static int
count_maintained (const struct simulation *s)
{
  int n = 0;

  for (int i = 0; i < VMS; i++)
    n += s->vms[i].reboots > 0 && s->vms[i].state == VM_STATE_LIVE;
  return n;
}

static const char *
status (struct simulation *s)
{
  struct message *m = message_new (MESSAGE_QUERY);

  m->u.query.kind = QUERY_STATUS;
  m->u.query.subject = g_strdup ("");
  m->u.query.token = g_strdup ("");
  m->u.query.text = g_strdup ("");
  handle_message (s, m);
  return s->reply;
}

/* Run the core until all VMs have been maintained and are in service, for at
   most FOR_MS.  Return how long it took. */
static int64_t
run_until_maintained (struct simulation *s, int64_t for_ms, uint32_t max_out)
{
  int64_t began_ms = s->now_ms;

  while ((count_maintained (s) < VMS || count_out (s) > 0)
         && s->now_ms - began_ms < for_ms)
    run_for (s, 200, max_out);
  return s->now_ms - began_ms;
}

static void
test_wave_takes_little_longer_than_the_budget_allows (void)
{
  struct simulation s;
  int64_t bound_ms = VMS / BUDGET * REBOOT_MS;
  int64_t took_ms;

  set_up (&s);
  maintain (&s, "w1");
  took_ms = run_until_maintained (&s, 600000, BUDGET);
  g_test_message ("%d ms, lower bound %d ms, ratio %.3f", (int)took_ms,
                  (int)bound_ms, (double)took_ms / (double)bound_ms);
  g_assert_cmpint (count_maintained (&s), ==, VMS);
  g_assert_cmpint (took_ms * 100, <=, bound_ms * 125);
  for (int i = 0; i < VMS; i++)
    g_assert_cmpint (s.vms[i].reboots, ==, 1);
  tear_down (&s);
}

static void
test_overlapping_waves_maintain_a_vm_once (void)
{
  struct simulation s;

  set_up (&s);
  maintain (&s, "w1");
  maintain (&s, "w2");
  run_until_maintained (&s, 600000, BUDGET);
  run_for (&s, 60000, BUDGET);
  for (int i = 0; i < VMS; i++)
    g_assert_cmpint (s.vms[i].reboots, ==, 1);
  tear_down (&s);
}

static void
test_failures_pause_a_wave (void)
{
  struct simulation s;
  int done;

  set_up (&s);
  maintain (&s, "w1");
  run_for (&s, 40000, BUDGET);
  done = count_maintained (&s);
  g_assert_cmpint (done, >, 0);
  /* A rack fails: four VMs, more than the budget by themselves. */
  for (int i = VMS - PER_RACK; i < VMS; i++)
    {
      s.vms[i].state = VM_STATE_GONE;
      s.vms[i].back_ms = -1;
    }
  run_for (&s, 80000, BUDGET + PER_RACK);
  g_assert_cmpuint (count_out (&s), ==, PER_RACK);
  g_assert_nonnull (strstr (status (&s), "allows 25% of pool a"));
  g_assert_nonnull (strstr (status (&s), "v11 (down)"));
  done = count_maintained (&s);
  run_for (&s, 60000, PER_RACK);
  g_assert_cmpint (count_maintained (&s), ==, done);
  for (int i = VMS - PER_RACK; i < VMS; i++)
    s.vms[i].back_ms = s.now_ms;
  run_until_maintained (&s, 600000, PER_RACK);
  g_assert_cmpint (count_maintained (&s), ==, VMS);
  tear_down (&s);
}

static void
test_vm_that_never_returns_counts_as_out (void)
{
  struct simulation s;

  set_up (&s);
  s.n_lost_reboots = 1;
  maintain (&s, "w1");
  run_until_maintained (&s, 600000, BUDGET);
  g_assert_cmpint (count_maintained (&s), ==, VMS - 1);
  g_assert_cmpuint (count_out (&s), ==, 1);
  g_assert_nonnull (strstr (status (&s), "did not come back"));
  tear_down (&s);
}

static void
test_straggler_is_reported_and_not_interrupted (void)
{
  struct simulation s;

  set_up (&s);
  for (int i = 0; i < VMS; i++)
    s.vms[i].running = 1;
  maintain (&s, "w1");
  run_for (&s, 15000, BUDGET);
  g_assert_nonnull (strstr (status (&s), "\"stragglers\":[]"));
  run_for (&s, 60000, BUDGET);
  g_assert_null (strstr (status (&s), "\"stragglers\":[]"));
  for (int i = 0; i < VMS; i++)
    {
      g_assert_cmpint (s.vms[i].reboots, ==, 0);
      s.vms[i].running = 0;
    }
  run_until_maintained (&s, 600000, BUDGET);
  g_assert_cmpint (count_maintained (&s), ==, VMS);
  tear_down (&s);
}

static void
test_paused_automation_begins_no_drain (void)
{
  struct simulation s;

  set_up (&s);
  publish (&s, "paused");
  run_for (&s, 1000, 0);
  maintain (&s, "w1");
  run_for (&s, 60000, 0);
  g_assert_nonnull (strstr (status (&s), "\"automation\":\"paused\""));
  publish (&s, "running");
  run_for (&s, 10000, BUDGET);
  g_assert_cmpuint (count_out (&s), ==, BUDGET);
  /* Drains in progress are finished; no new ones begin. */
  publish (&s, "paused");
  run_for (&s, 60000, BUDGET);
  g_assert_cmpuint (count_out (&s), ==, 0);
  g_assert_cmpint (count_maintained (&s), ==, BUDGET);
  tear_down (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wave/length",
                   test_wave_takes_little_longer_than_the_budget_allows);
  g_test_add_func ("/wave/overlap", test_overlapping_waves_maintain_a_vm_once);
  g_test_add_func ("/wave/failures", test_failures_pause_a_wave);
  g_test_add_func ("/wave/never-returns",
                   test_vm_that_never_returns_counts_as_out);
  g_test_add_func ("/wave/straggler",
                   test_straggler_is_reported_and_not_interrupted);
  g_test_add_func ("/wave/paused", test_paused_automation_begins_no_drain);
  return g_test_run ();
}
