#include "trace.h"

#include <math.h>
#include <string.h>

/* Generates traces from a seed: the deployments' pools and classes, and how
   their demand, run times and failures are drawn. */

#define TRACE_MS 180000
#define FIRST_BURST_MS 12000
#define BURST_INTERVAL_MS 22000
#define BURST_MIN_MS 3000
#define BURST_MAX_MS 6000
#define BURST_FACTOR 5.0       /* of the class's mean demand */
#define HEAVY_BURST_FACTOR 8.0 /* twice the capacity of the pool */
#define QUIET_FACTOR 0.05
#define DEMAND_PHASE_MS 9000 /* of mean and of low demand, in turn */
#define MEAN_LOAD 0.25
#define HEAVY_SUFFIX "-heavy"
#define RUN_SIGMA 0.7
#define STRAGGLER_SHARE 0.002
#define OVERSIZED_SHARE 0.002
#define SLOTS_PER_VM 8
#define VMS_PER_RACK 4
#define ZONES 4
#define MAX_GAP_MS 500.0
#define OVERSIZED_BYTES (64 * 1024 * 1024)

struct deployment_class
{
  const char *service; /* and the name of its pool */
  const char *class_name;
  uint32_t vms; /* of the pool; 0 if an earlier row counts them */
  double run_ms;
};

struct deployment
{
  const char *name;
  const char *zone_prefix;
  const char *teams[8];
  double team_shares[8]; /* of the demand, in proportion to their quotas */
  struct deployment_class classes[8];
};

static const struct deployment deployments[] = {
  { "kandy",
    "kandy",
    { "trade-unions", "estate-welfare", "credit-societies",
      "garment-factories", NULL },
    { 0.3, 0.3, 0.2, 0.2 },
    { { "search", "counter-lookup", 12, 80 },
      { "search", "batch-lookup", 0, 800 },
      { "reconcile", "overnight", 10, 5000 },
      { "claims", "file-claim", 10, 200 },
      { "archive", "fetch", 10, 400 },
      { "letters", "tracing-letter", 8, 300 },
      { NULL, NULL, 0, 0 } } },
  { "thessaly",
    "thessaly",
    { "agronomists", "tractor-terminals", "members", NULL },
    { 0.4, 0.4, 0.2 },
    { { "plans", "spreading-plan", 12, 600 },
      { "plans", "preview", 0, 400 },
      { "soil-watch", "soil-series", 10, 20000 },
      { "weather-watch", "weather-series", 10, 20000 },
      { "maps", "field-map", 10, 300 },
      { "member-accounts", "statement", 8, 500 },
      { NULL, NULL, 0, 0 } } },
};

struct generator
{
  const struct deployment *deployment;
  GRand *random;
  GArray *trace;
  uint64_t last_request;
  double burst_factor;
};

static double
draw_normal (GRand *r)
{
  double u = 1.0 - g_rand_double (r);

  return sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * g_rand_double (r));
}

/* Return a log-normal run time with median MEDIAN_MS; a share of
   STRAGGLER_SHARE are stragglers of 20 to 200 times the median. */
static int64_t
draw_run_ms (GRand *r, double median_ms)
{
  double run_ms = median_ms * exp (RUN_SIGMA * draw_normal (r));

  if (g_rand_double (r) < STRAGGLER_SHARE)
    run_ms = median_ms * 20.0 * pow (10.0, g_rand_double (r));
  return MAX ((int64_t)run_ms, 1);
}

static uint32_t
pool_vms (const struct deployment *s, const char *service)
{
  uint32_t vms = 0;

  for (const struct deployment_class *c = s->classes; c->service != NULL; c++)
    if (strcmp (c->service, service) == 0)
      vms += c->vms;
  return vms;
}

static void
add_vms (struct generator *m)
{
  uint32_t k = 0;

  for (const struct deployment_class *c = m->deployment->classes; c->service;
       c++)
    for (uint32_t i = 0; i < c->vms; i++, k++)
      {
        char *vm = g_strdup_printf ("%s-%02u", c->service, i);
        char *zone = g_strdup_printf ("%s-%u", m->deployment->zone_prefix,
                                      i % ZONES + 1);
        char *rack = g_strdup_printf ("rack-%u-%u", i % ZONES + 1,
                                      k / ZONES / VMS_PER_RACK + 1);
        struct trace_event e = { .kind = TRACE_VM,
                                 .vm = g_intern_string (vm),
                                 .pool = c->service,
                                 .zone = g_intern_string (zone),
                                 .rack = g_intern_string (rack),
                                 .slots = SLOTS_PER_VM };

        g_array_append_val (m->trace, e);
        g_free (vm);
        g_free (zone);
        g_free (rack);
      }
}

static const char *
draw_team (struct generator *m)
{
  double left = g_rand_double (m->random);
  guint i = 0;

  while ((left -= m->deployment->team_shares[i]) > 0
         && m->deployment->teams[i + 1] != NULL)
    i++;
  return m->deployment->teams[i];
}

static void
add_request (struct generator *m, const struct deployment_class *c,
             int64_t at_ms)
{
  GRand *r = m->random;
  struct trace_event e = { .kind = TRACE_REQUEST,
                           .at_ms = at_ms,
                           .request = ++m->last_request,
                           .service = c->service,
                           .class_name = c->class_name };

  e.team = draw_team (m);
  e.run_ms = draw_run_ms (r, c->run_ms);
  e.declared_run_ms = MAX (
      (int64_t)(e.run_ms * pow (10.0, g_rand_double_range (r, -1, 1))), 1);
  e.bytes = (uint64_t)g_rand_int_range (r, 200, 20000);
  e.declared_bytes
      = (uint64_t)(e.bytes * pow (10.0, g_rand_double_range (r, -1, 1)));
  if (g_rand_double (r) < OVERSIZED_SHARE)
    e.bytes = OVERSIZED_BYTES;
  g_array_append_val (m->trace, e);
}

/* Return the demand of a class at AT_MS as a multiple of its mean. */
static double
demand_factor (const struct generator *m, int64_t at_ms, int64_t burst_ms,
               int64_t burst_for_ms)
{
  if (at_ms >= burst_ms && at_ms < burst_ms + burst_for_ms)
    return m->burst_factor;
  return at_ms / DEMAND_PHASE_MS % 2 == 0 ? 1.0 : QUIET_FACTOR;
}

static void
add_class_requests (struct generator *m, guint class_index)
{
  const struct deployment_class *c = &m->deployment->classes[class_index];
  uint32_t slots = pool_vms (m->deployment, c->service) * SLOTS_PER_VM;
  double mean_run_ms
      = c->run_ms * (exp (RUN_SIGMA * RUN_SIGMA / 2) + STRAGGLER_SHARE * 78.0);
  double per_ms = MEAN_LOAD * slots / mean_run_ms;
  int64_t burst_ms = FIRST_BURST_MS + (int64_t)class_index * BURST_INTERVAL_MS
                     + g_rand_int_range (m->random, -2000, 2000);
  int64_t burst_for_ms
      = g_rand_int_range (m->random, BURST_MIN_MS, BURST_MAX_MS);
  struct trace_event burst = { .kind = TRACE_BURST,
                               .at_ms = burst_ms,
                               .for_ms = burst_for_ms,
                               .service = c->service,
                               .class_name = c->class_name };
  double at_ms = 0;

  g_array_append_val (m->trace, burst);
  while (at_ms < TRACE_MS)
    {
      double rate
          = per_ms * demand_factor (m, (int64_t)at_ms, burst_ms, burst_for_ms);
      double gap_ms = -log (1.0 - g_rand_double (m->random)) / rate;

      /* Draw again after MAX_GAP_MS: the rate may have changed since. */
      at_ms += MIN (gap_ms, MAX_GAP_MS);
      if (gap_ms < MAX_GAP_MS && at_ms < TRACE_MS)
        add_request (m, c, (int64_t)at_ms);
    }
}

/* About half of the requests of the last 1500 ms, the second half of a burst,
   are cancelled at once. */
static void
add_cancel_wave (struct generator *m, int64_t at_ms)
{
  guint n = m->trace->len;

  for (guint i = 0; i < n; i++)
    {
      const struct trace_event *e
          = &g_array_index (m->trace, struct trace_event, i);
      struct trace_event cancel = { .kind = TRACE_CANCEL, .at_ms = at_ms };

      if (e->kind != TRACE_REQUEST || e->at_ms > at_ms
          || e->at_ms < at_ms - 1500 || g_rand_boolean (m->random))
        continue;
      cancel.request = e->request;
      g_array_append_val (m->trace, cancel);
    }
}

static void
add_vm_event (struct generator *m, enum trace_kind kind, const char *pool,
              guint number, int64_t at_ms, int64_t for_ms)
{
  char *vm = g_strdup_printf ("%s-%02u", pool, number);
  struct trace_event e = {
    .kind = kind, .at_ms = at_ms, .for_ms = for_ms, .vm = g_intern_string (vm)
  };

  g_array_append_val (m->trace, e);
  g_free (vm);
}

static void
add_failures (struct generator *m)
{
  const char *first = m->deployment->classes[0].service;
  const char *fourth = m->deployment->classes[3].service;
  const char *fifth = m->deployment->classes[4].service;
  struct trace_event wave
      = { .kind = TRACE_MAINTAIN, .at_ms = 60000, .pool = fifth };
  struct trace_event outage
      = { .kind = TRACE_OUTAGE, .at_ms = 155000, .for_ms = 10000 };

  add_vm_event (m, TRACE_VM_BREAKS, first,
                (guint)g_rand_int_range (m->random, 0, 12), 30000, 30000);
  add_vm_event (m, TRACE_VM_FAILS, fourth, 1, 50000, 15000);
  add_vm_event (m, TRACE_DRAIN, first, 3, 90000, 12000);
  g_array_append_val (m->trace, wave);
  /* Two VMs of one rack fail together during the maintenance wave. */
  add_vm_event (m, TRACE_VM_FAILS, fifth, 4, 70000, 12000);
  add_vm_event (m, TRACE_VM_FAILS, fifth, 8, 70000, 12000);
  g_array_append_val (m->trace, outage);
}

GArray *
generate_trace (const char *deployment, uint32_t seed)
{
  struct generator m = { .random = g_rand_new_with_seed (seed) };
  bool is_heavy = g_str_has_suffix (deployment, HEAVY_SUFFIX);

  m.burst_factor = is_heavy ? HEAVY_BURST_FACTOR : BURST_FACTOR;
  for (guint i = 0; i < G_N_ELEMENTS (deployments); i++)
    if (g_str_has_prefix (deployment, deployments[i].name))
      m.deployment = &deployments[i];
  if (m.deployment == NULL)
    {
      g_rand_free (m.random);
      return NULL;
    }
  m.trace = trace_new ();
  add_vms (&m);
  for (guint i = 0; m.deployment->classes[i].service != NULL; i++)
    add_class_requests (&m, i);
  add_cancel_wave (&m, FIRST_BURST_MS + BURST_INTERVAL_MS * 4 + 1500);
  add_failures (&m);
  trace_sort (m.trace);
  g_rand_free (m.random);
  return m.trace;
}
