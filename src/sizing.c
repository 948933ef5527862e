#include "sizing.h"

#include "demand.h"
#include "variant_bytes.h"

#include <string.h>

/* Share of a pool's processors that may be asked for before the pool counts as
   full.  Above it large tasks find no worker with enough free processors,
   although all workers together have enough. */
#define POOL_FULL_PERCENT 80
/* Minimum size of a pool. */
#define POOL_MIN_MACHINES 2
/* Machines kept beyond the need, so that a single further job finds room. */
#define POOL_SPARE_MACHINES 1
/* Delay before a pool that has more machines than it needs returns some.
   Moving a machine away and back costs as much as about 2.4 s of a machine in
   a pool. */
#define RETURN_DELAY_MS 2500
/* A pool gives busy machines up only if it has this many more than its share,
   as shares vary from round to round. */
#define RECLAIM_MIN_EXCESS 2

struct pool_state
{
  int64_t last_full_use_ms; /* when it last needed all of its machines */
};

struct sizing
{
  uint32_t max_per_round; /* machines to move in one plan */
  GHashTable *pools;      /* service to struct pool_state * */
  struct demand *demand;
};

#define LOAD_TYPE "(ttttuuttasas)"

struct pool_load *
pool_load_new (const char *service)
{
  struct pool_load *l = g_new0 (struct pool_load, 1);

  l->service = g_strdup (service);
  l->idle = g_ptr_array_new_with_free_func (g_free);
  l->reclaimable = g_ptr_array_new_with_free_func (g_free);
  return l;
}

void
pool_load_destroy (gpointer load)
{
  struct pool_load *l = load;

  if (l == NULL)
    return;
  g_free (l->service);
  g_ptr_array_unref (l->idle);
  g_ptr_array_unref (l->reclaimable);
  g_free (l);
}

static GVariant *
strings_to_variant (const GPtrArray *strings)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("as"));
  for (guint i = 0; i < strings->len; i++)
    g_variant_builder_add (&b, "s", g_ptr_array_index (strings, i));
  return g_variant_builder_end (&b);
}

/* Append the strings of ITER, which is freed, to STRINGS. */
static void
read_strings (GVariantIter *iter, GPtrArray *strings)
{
  const char *text;

  while (g_variant_iter_next (iter, "&s", &text))
    g_ptr_array_add (strings, g_strdup (text));
  g_variant_iter_free (iter);
}

GBytes *
pool_load_to_bytes (const struct pool_load *load)
{
  return variant_to_bytes (g_variant_new (
      "(ttttuutt@as@as)", load->cpu_per_worker_milli, load->cpu_used_milli,
      load->cpu_long_running_milli, load->cpu_wanted_milli, load->workers_min,
      load->workers_emptying, load->accepted_jobs, load->accepted_work_milli_s,
      strings_to_variant (load->idle),
      strings_to_variant (load->reclaimable)));
}

struct pool_load *
pool_load_from_bytes (const char *service, GBytes *bytes)
{
  GVariant *v = variant_from_bytes (bytes, LOAD_TYPE);
  struct pool_load *l;
  GVariantIter *idle, *reclaimable;

  if (v == NULL)
    return NULL;
  l = pool_load_new (service);
  g_variant_get (v, LOAD_TYPE, &l->cpu_per_worker_milli, &l->cpu_used_milli,
                 &l->cpu_long_running_milli, &l->cpu_wanted_milli,
                 &l->workers_min, &l->workers_emptying, &l->accepted_jobs,
                 &l->accepted_work_milli_s, &idle, &reclaimable);
  read_strings (idle, l->idle);
  read_strings (reclaimable, l->reclaimable);
  g_variant_unref (v);
  return l;
}

struct sizing *
sizing_new (uint32_t max_per_round)
{
  struct sizing *s = g_new0 (struct sizing, 1);

  s->max_per_round = max_per_round;
  s->demand = demand_new ();
  s->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return s;
}

void
sizing_destroy (struct sizing *sizing)
{
  if (sizing == NULL)
    return;
  g_hash_table_unref (sizing->pools);
  demand_destroy (sizing->demand);
  g_free (sizing);
}

/* One pool in one plan. */
struct pool
{
  const struct pool_load *load;
  uint32_t have; /* machines present or on their way */
  uint32_t need; /* machines that its load needs, or its share of them */
  uint64_t burst_milli;
  uint32_t floor;  /* of NEED: for long-running tasks */
  uint32_t share;  /* while machines are shared out */
  bool may_return; /* it has had more than it needs for RETURN_DELAY_MS */
};

static uint32_t
count_machines (const GPtrArray *machines, const char *service)
{
  uint32_t n = 0;

  for (guint i = 0; i < machines->len; i++)
    {
      const struct machine *m = g_ptr_array_index (machines, i);

      if (strcmp (m->service, service) == 0 && m->state != MACHINE_DOWN
          && m->state != MACHINE_IN_OTHER_STATE)
        n++;
    }
  return n;
}

static uint32_t
machines_needed (const struct pool_load *l, uint64_t burst_milli)
{
  uint64_t usable_milli = l->cpu_per_worker_milli * POOL_FULL_PERCENT / 100;
  uint64_t asked_milli = MAX (l->cpu_used_milli + l->cpu_wanted_milli,
                              l->cpu_long_running_milli + burst_milli);

  uint64_t needed = usable_milli == 0
                        ? 0
                        : (asked_milli + usable_milli - 1) / usable_milli;

  needed = MAX (needed, l->workers_min) + l->workers_emptying
           + POOL_SPARE_MACHINES;
  return (uint32_t)MAX (needed, POOL_MIN_MACHINES);
}

/* Return how many of the pool's machines its long-running tasks need. */
static uint32_t
machines_for_long_running (const struct pool_load *l)
{
  uint64_t usable_milli = l->cpu_per_worker_milli * POOL_FULL_PERCENT / 100;
  uint64_t needed
      = usable_milli == 0
            ? 0
            : (l->cpu_long_running_milli + usable_milli - 1) / usable_milli;

  return (uint32_t)MAX (MAX (needed, l->workers_min), POOL_MIN_MACHINES);
}

/* If the pools need more than TOTAL machines, set the need of each to its
   max-min fair share: its floor, and of the rest as much as any other pool
   that needs as much. */
static void
share_out (GArray *pools, uint32_t total)
{
  uint32_t needed = 0, floors = 0, left;
  uint32_t n_open;

  for (guint i = 0; i < pools->len; i++)
    {
      struct pool *p = &g_array_index (pools, struct pool, i);

      needed += p->need;
      floors += p->floor;
    }
  if (needed <= total || floors >= total)
    return;
  left = total - floors;
  /* Each round gives one machine to every pool that still needs one. */
  for (guint i = 0; i < pools->len; i++)
    {
      struct pool *p = &g_array_index (pools, struct pool, i);

      p->share = p->floor;
    }
  do
    {
      n_open = 0;
      for (guint i = 0; i < pools->len && left > 0; i++)
        {
          struct pool *p = &g_array_index (pools, struct pool, i);

          if (p->share >= p->need)
            continue;
          p->share++;
          left--;
          n_open++;
        }
    }
  while (n_open > 0 && left > 0);
  for (guint i = 0; i < pools->len; i++)
    {
      struct pool *p = &g_array_index (pools, struct pool, i);

      p->need = p->share;
    }
}

static struct pool_state *
find_pool_state (struct sizing *s, const char *service, int64_t now_ms)
{
  struct pool_state *state = g_hash_table_lookup (s->pools, service);

  if (state == NULL)
    {
      state = g_new0 (struct pool_state, 1);
      state->last_full_use_ms = now_ms;
      g_hash_table_insert (s->pools, g_strdup (service), state);
    }
  return state;
}

static void
add_move (GArray *moves, GHashTable *reserved, const struct machine *m,
          const char *service, const struct pool *p)
{
  struct sizing_move move = { m, service, p->have, p->need, p->burst_milli };

  g_array_append_val (moves, move);
  g_hash_table_add (reserved, g_strdup (m->name));
}

/* Return a machine of SERVICE's pool that is up, not reserved, and whose
   worker is in IDLE; with IDLE NULL its worker does not matter.  Return NULL
   if there is none. */
static const struct machine *
find_movable_machine (const GPtrArray *machines, const char *service,
                      const GPtrArray *idle, GHashTable *reserved)
{
  for (guint i = 0; i < machines->len; i++)
    {
      const struct machine *m = g_ptr_array_index (machines, i);

      if (m->state != MACHINE_UP || strcmp (m->service, service) != 0
          || g_hash_table_contains (reserved, m->name))
        continue;
      if (idle == NULL
          || g_ptr_array_find_with_equal_func ((GPtrArray *)idle, m->worker,
                                               g_str_equal, NULL))
        return m;
    }
  return NULL;
}

/* Return an idle machine of the pool with the largest excess, whose HAVE is
   counted down, or NULL.  With MUST_RETURN, only pools that would return it
   now are asked. */
static const struct machine *
take_excess_machine (GArray *pools, const GPtrArray *machines,
                     bool must_return, GHashTable *reserved)
{
  struct pool *best = NULL;

  for (guint i = 0; i < pools->len; i++)
    {
      struct pool *p = &g_array_index (pools, struct pool, i);

      if (p->have > p->need && (p->may_return || !must_return)
          && (best == NULL || p->have - p->need > best->have - best->need)
          && find_movable_machine (machines, p->load->service, p->load->idle,
                                   reserved)
                 != NULL)
        best = p;
    }
  if (best == NULL)
    return NULL;
  best->have--;
  return find_movable_machine (machines, best->load->service, best->load->idle,
                               reserved);
}

static const struct machine *
find_machine_of_worker (const GPtrArray *machines, const char *worker)
{
  for (guint i = 0; i < machines->len; i++)
    {
      const struct machine *m = g_ptr_array_index (machines, i);

      if (strcmp (m->worker, worker) == 0)
        return m;
    }
  return NULL;
}

/* Return a busy machine of the pool that has most machines beyond its share,
   whose HAVE is counted down, or NULL.  Its finite tasks are waited for. */
static const struct machine *
reclaim_machine (GArray *pools, const GPtrArray *machines,
                 GHashTable *reserved)
{
  struct pool *best = NULL;

  for (guint i = 0; i < pools->len; i++)
    {
      struct pool *p = &g_array_index (pools, struct pool, i);

      if (p->have >= p->need + RECLAIM_MIN_EXCESS
          && (best == NULL || p->have - p->need > best->have - best->need))
        best = p;
    }
  for (guint i = 0; best != NULL && i < best->load->reclaimable->len; i++)
    {
      const struct machine *m = find_machine_of_worker (
          machines, g_ptr_array_index (best->load->reclaimable, i));

      if (m == NULL || m->state != MACHINE_UP
          || strcmp (m->service, best->load->service) != 0
          || g_hash_table_contains (reserved, m->name))
        continue;
      best->have--;
      return m;
    }
  return NULL;
}

/* Return a machine for a pool that needs one, or NULL if no pool can give one:
   rather one that would return to the standby pool now than one of that pool,
   as this takes one order in place of two; a busy one last. */
static const struct machine *
take_donated_machine (GArray *pools, const GPtrArray *machines,
                      const char *standby, GHashTable *reserved)
{
  const struct machine *m
      = take_excess_machine (pools, machines, true, reserved);

  if (m == NULL && standby != NULL)
    m = find_movable_machine (machines, standby, NULL, reserved);
  if (m == NULL)
    m = take_excess_machine (pools, machines, false, reserved);
  if (m == NULL)
    m = reclaim_machine (pools, machines, reserved);
  return m;
}

static void
grow_pool (const struct sizing *s, GArray *pools, struct pool *p,
           const GPtrArray *machines, const char *standby,
           GHashTable *reserved, GArray *moves)
{
  while (moves->len < s->max_per_round && p->have < p->need)
    {
      const struct machine *m
          = take_donated_machine (pools, machines, standby, reserved);

      if (m == NULL)
        return;
      add_move (moves, reserved, m, p->load->service, p);
      p->have++;
    }
}

static void
return_excess (const struct sizing *s, struct pool *p,
               const GPtrArray *machines, const char *standby,
               GHashTable *reserved, GArray *moves)
{
  while (moves->len < s->max_per_round && p->have > p->need)
    {
      const struct machine *m = find_movable_machine (
          machines, p->load->service, p->load->idle, reserved);

      if (m == NULL)
        return;
      add_move (moves, reserved, m, standby, p);
      p->have--;
    }
}

void
sizing_plan (struct sizing *sizing, const GPtrArray *machines,
             const GPtrArray *loads, const char *standby, GHashTable *reserved,
             int64_t now_ms, GArray *moves)
{
  GArray *pools = g_array_new (FALSE, FALSE, sizeof (struct pool));
  uint32_t total = standby != NULL ? count_machines (machines, standby) : 0;

  for (guint i = 0; i < loads->len; i++)
    {
      const struct pool_load *l = g_ptr_array_index (loads, i);

      demand_record (sizing->demand, l->service, l->accepted_jobs,
                     l->accepted_work_milli_s, l->cpu_per_worker_milli,
                     now_ms);
    }
  for (guint i = 0; i < loads->len; i++)
    {
      struct pool p = { .load = g_ptr_array_index (loads, i) };

      p.have = count_machines (machines, p.load->service);
      p.burst_milli = demand_burst_milli (sizing->demand, p.load->service);
      p.need = machines_needed (p.load, p.burst_milli);
      p.floor = MIN (machines_for_long_running (p.load), p.need);
      total += p.have;
      if (p.need >= p.have)
        find_pool_state (sizing, p.load->service, now_ms)->last_full_use_ms
            = now_ms;
      p.may_return = now_ms > find_pool_state (sizing, p.load->service, now_ms)
                                      ->last_full_use_ms
                                  + RETURN_DELAY_MS;
      g_array_append_val (pools, p);
    }
  share_out (pools, total);
  for (guint i = 0; i < pools->len; i++)
    grow_pool (sizing, pools, &g_array_index (pools, struct pool, i), machines,
               standby, reserved, moves);
  for (guint i = 0; i < pools->len && standby != NULL; i++)
    {
      struct pool *p = &g_array_index (pools, struct pool, i);

      if (p->may_return)
        return_excess (sizing, p, machines, standby, reserved, moves);
    }
  g_array_unref (pools);
}
