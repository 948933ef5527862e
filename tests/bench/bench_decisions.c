#include "../unit/broker_fixture.h"

#include "fit.h"
#include "plan.h"

#include <stdio.h>

/* Measures the processor time of one decision: placing a task, admitting a
   request, applying a log record and computing a plan. */

#define PLACEMENTS 200000
#define ADMISSIONS 20000
#define RECORDS 200000
#define PLANS 20

static double
now_us (void)
{
  return (double)g_get_monotonic_time ();
}

/* Time to acquire and release one slot while half of the slots of VMS VMs are
   in use. */
static double
placement_us (uint32_t vms)
{
  struct fixture f;
  struct slot_table *p = slot_table_new (1);
  double started_us;
  double took_us;

  fixture_open (&f);
  fixture_add_vms (&f, "search", vms, 8);
  slot_table_sync (p, f.fleet);
  for (uint32_t i = 0; i < vms * 4; i++)
    slot_table_acquire (p, "search", "", true, 0);
  started_us = now_us ();
  for (int i = 0; i < PLACEMENTS; i++)
    slot_table_release (p, slot_table_acquire (p, "search", "", true, i),
                        RUN_ANSWERED, i);
  took_us = (now_us () - started_us) / PLACEMENTS;
  slot_table_destroy (p);
  fixture_close (&f);
  return took_us;
}

/* Time to queue, grant and complete one request while requests of TEAMS other
   teams wait. */
static double
admission_us (uint32_t teams)
{
  struct fixture f;
  double started_us;
  double took_us;

  fixture_open (&f);
  fixture_add_vms (&f, "search", 12, 8);
  broker_sync (f.broker, &f.turn);
  for (uint32_t i = 1; i <= 96 + teams; i++)
    {
      char *team = g_strdup_printf ("team-%u", i % teams);

      fixture_ask (&f, i, "counter-lookup", team, 2000);
      g_free (team);
    }
  fixture_next_grant (&f);
  started_us = now_us ();
  for (uint32_t i = 1; i <= ADMISSIONS; i++)
    {
      struct message *m;

      fixture_ask (&f, 96 + teams + i, "counter-lookup", "team-1", 2000);
      fixture_return (&f, i, RUN_ANSWERED);
      broker_step (f.broker, &f.turn);
      while ((m = g_queue_pop_head (&f.out)) != NULL)
        message_destroy (m);
    }
  took_us = (now_us () - started_us) / ADMISSIONS;
  fixture_close (&f);
  return took_us;
}

static double
apply_us (void)
{
  struct fleet *fleet = fleet_new ();
  struct record **records = g_new0 (struct record *, RECORDS);
  double started_us;
  double took_us;

  for (uint64_t i = 0; i < RECORDS; i++)
    {
      records[i] = record_new (RECORD_CLAIM, "n1", 1);
      records[i]->u.claim.key = (struct key_id){ .high = i, .low = ~i };
      records[i]->u.claim.request = i + 1;
      records[i]->u.claim.remember_ms = 3600000;
    }
  started_us = now_us ();
  for (uint64_t i = 0; i < RECORDS; i++)
    fleet_apply (fleet, records[i], i + 1, 1);
  took_us = (now_us () - started_us) / RECORDS;
  for (uint64_t i = 0; i < RECORDS; i++)
    record_destroy (records[i]);
  g_free (records);
  fleet_destroy (fleet);
  return took_us;
}

static GArray *
make_vm_list (uint32_t vms)
{
  GArray *list = listed_vms_new ();

  for (uint32_t i = 0; i < vms; i++)
    {
      struct listed_vm l = { .vm = g_strdup_printf ("search-%u", i),
                             .address = g_strdup ("127.0.0.1"),
                             .port = 1,
                             .zone = g_strdup ("z"),
                             .rack = g_strdup ("r"),
                             .pool = g_strdup ("search"),
                             .slots = 8,
                             .state = VM_STATE_LIVE };

      g_array_append_val (list, l);
    }
  return list;
}

static double
plan_us (uint32_t vms)
{
  struct fixture f;
  struct plan *plan = plan_new ();
  struct requests *requests = requests_new (1);
  GArray *loads = peer_loads_new ();
  GArray *list = make_vm_list (vms);
  double started_us;
  double took_us;

  fixture_open (&f);
  fixture_add_vms (&f, "search", vms, 8);
  plan_update_list (plan, list, 1);
  started_us = now_us ();
  for (int i = 0; i < PLANS; i++)
    {
      struct message *m;

      f.turn.now_ms += 200;
      plan_step (plan, &f.turn, requests, loads);
      while ((m = g_queue_pop_head (&f.out)) != NULL)
        message_destroy (m);
    }
  took_us = (now_us () - started_us) / PLANS;
  g_array_unref (list);
  g_array_unref (loads);
  requests_destroy (requests);
  plan_destroy (plan);
  fixture_close (&f);
  return took_us;
}

static void
report (const char *name, double (*measure) (uint32_t), const uint32_t *sizes,
        size_t n)
{
  struct point points[8];

  for (size_t i = 0; i < n; i++)
    points[i] = (struct point){ sizes[i], measure (sizes[i]) };
  fit_print (name, "us", points, n);
}

int
main (void)
{
  double one_apply_us = apply_us ();

  static const uint32_t pools[] = { 10, 50, 240, 1000 };
  static const uint32_t teams[] = { 3, 9, 24, 72 };
  static const uint32_t vms[] = { 50, 500, 2000, 5500 };

  report ("placement by workers per pool", placement_us, pools, 4);
  report ("queue, grant and complete, by waiting teams", admission_us, teams,
          4);
  report ("plan by number of VMs", plan_us, vms, 4);
  printf ("applying a claim: %.2f us, %.0f records per second\n", one_apply_us,
          1e6 / one_apply_us);
  return 0;
}
