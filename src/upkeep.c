#include "upkeep.h"

#include <string.h>

struct wave
{
  struct wave_request *request;
  bool is_requested; /* otherwise only machines that have begun are known */
  bool is_completed;
  GHashTable *begun; /* machine's name to int64_t *: begin of its upkeep */
};

struct upkeep
{
  GPtrArray *waves; /* struct wave *, in order of arrival */
};

static void
machine_destroy (gpointer p)
{
  struct machine *m = p;

  g_free (m->name);
  g_free (m->service);
  g_free (m->worker);
  g_free (m);
}

GPtrArray *
machines_new (void)
{
  return g_ptr_array_new_with_free_func (machine_destroy);
}

struct machine *
machines_add (GPtrArray *machines)
{
  struct machine *m = g_new0 (struct machine, 1);

  g_ptr_array_add (machines, m);
  return m;
}

const struct machine *
machines_find (const GPtrArray *machines, const char *name)
{
  for (guint i = 0; i < machines->len; i++)
    {
      const struct machine *m = g_ptr_array_index (machines, i);

      if (strcmp (m->name, name) == 0)
        return m;
    }
  return NULL;
}

struct wave_request *
wave_request_new (int64_t number)
{
  struct wave_request *r = g_new0 (struct wave_request, 1);

  r->number = number;
  r->machines = g_ptr_array_new_with_free_func (g_free);
  r->max_down = 1;
  return r;
}

void
wave_request_destroy (gpointer request)
{
  struct wave_request *r = request;

  if (r == NULL)
    return;
  g_ptr_array_unref (r->machines);
  g_free (r);
}

static void
wave_destroy (gpointer p)
{
  struct wave *w = p;

  wave_request_destroy (w->request);
  g_hash_table_unref (w->begun);
  g_free (w);
}

struct upkeep *
upkeep_new (void)
{
  struct upkeep *u = g_new0 (struct upkeep, 1);

  u->waves = g_ptr_array_new_with_free_func (wave_destroy);
  return u;
}

void
upkeep_destroy (struct upkeep *upkeep)
{
  if (upkeep == NULL)
    return;
  g_ptr_array_unref (upkeep->waves);
  g_free (upkeep);
}

static struct wave *
find_wave (const struct upkeep *u, int64_t number)
{
  for (guint i = 0; i < u->waves->len; i++)
    {
      struct wave *w = g_ptr_array_index (u->waves, i);

      if (w->request->number == number)
        return w;
    }
  return NULL;
}

static struct wave *
find_or_add_wave (struct upkeep *u, int64_t number)
{
  struct wave *w = find_wave (u, number);

  if (w != NULL)
    return w;
  w = g_new0 (struct wave, 1);
  w->request = wave_request_new (number);
  w->begun = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (u->waves, w);
  return w;
}

void
upkeep_add_wave (struct upkeep *upkeep, struct wave_request *request)
{
  struct wave *w = find_or_add_wave (upkeep, request->number);

  wave_request_destroy (w->request);
  w->request = request;
  w->is_requested = true;
}

void
upkeep_mark_wave_completed (struct upkeep *upkeep, int64_t number)
{
  struct wave *w = find_wave (upkeep, number);

  if (w != NULL)
    w->is_completed = true;
}

void
upkeep_mark_machine_begun (struct upkeep *upkeep, int64_t wave,
                           const char *machine, int64_t now_ms)
{
  struct wave *w = find_or_add_wave (upkeep, wave);

  if (!g_hash_table_contains (w->begun, machine))
    g_hash_table_insert (w->begun, g_strdup (machine),
                         g_memdup2 (&now_ms, sizeof now_ms));
}

static void
add_action (GArray *actions, enum upkeep_action_kind kind, int64_t wave,
            const struct machine *machine)
{
  struct upkeep_action action = { kind, wave, machine };

  g_array_append_val (actions, action);
}

/* Return whether M may be down: the list shows it in upkeep, its upkeep began
   less than DOWN_MS ago and the list may be older than the order, or an order
   may be on its way.  An order for an upkeep that has begun does nothing. */
static bool
may_be_down (const struct wave *w, const struct machine *m, int64_t down_ms,
             int64_t now_ms)
{
  const int64_t *begun_ms = g_hash_table_lookup (w->begun, m->name);

  if (m->state == MACHINE_IN_UPKEEP)
    return true;
  return begun_ms != NULL ? now_ms < *begun_ms + down_ms : m->may_be_ordered;
}

/* Share of a pool's machines that are emptied at a time, and how many may be
   in a small pool. */
#define EMPTYING_MAX_PERCENT 25
#define EMPTYING_MAX_SMALL_POOL 2

static bool
has_idle_worker (const struct machine *m)
{
  return m->is_idle || m->worker[0] == '\0';
}

/* Return how many machines of SERVICE's pool may be emptied at a time. */
static uint32_t
max_emptying (const GPtrArray *machines, const char *service)
{
  uint32_t n_up = 0;

  for (guint i = 0; i < machines->len; i++)
    {
      const struct machine *m = g_ptr_array_index (machines, i);

      if (m->state == MACHINE_UP && strcmp (m->service, service) == 0)
        n_up++;
    }
  return MAX (n_up * EMPTYING_MAX_PERCENT / 100, EMPTYING_MAX_SMALL_POOL);
}

/* Take one of the places left in SERVICE's pool for machines that are emptied;
   PLACES holds them by service.  Return false if none is left. */
static bool
take_emptying_place (GHashTable *places, const GPtrArray *machines,
                     const char *service)
{
  guint left = g_hash_table_contains (places, service)
                   ? GPOINTER_TO_UINT (g_hash_table_lookup (places, service))
                   : max_emptying (machines, service);

  if (left == 0)
    return false;
  g_hash_table_insert (places, (gpointer)service, GUINT_TO_POINTER (left - 1));
  return true;
}

static void
plan_wave (const struct wave *w, const GPtrArray *machines, int64_t down_ms,
           int64_t now_ms, GArray *actions)
{
  uint32_t n_down = 0;
  uint32_t n_not_begun = 0;
  GHashTable *places = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < w->request->machines->len; i++)
    {
      const struct machine *m = machines_find (
          machines, g_ptr_array_index (w->request->machines, i));

      if (m == NULL)
        continue;
      if (may_be_down (w, m, down_ms, now_ms))
        n_down++;
      if (!g_hash_table_contains (w->begun, m->name))
        n_not_begun++;
    }
  if (n_not_begun == 0 && n_down == 0)
    add_action (actions, UPKEEP_COMPLETE, w->request->number, NULL);
  for (int must_be_idle = 1; must_be_idle >= 0; must_be_idle--)
    for (guint i = 0; i < w->request->machines->len; i++)
      {
        const struct machine *m = machines_find (
            machines, g_ptr_array_index (w->request->machines, i));
        bool is_counted;

        if (m == NULL || m->state != MACHINE_UP
            || g_hash_table_contains (w->begun, m->name)
            || has_idle_worker (m) != must_be_idle)
          continue;
        is_counted = may_be_down (w, m, down_ms, now_ms);
        if ((!is_counted && n_down >= w->request->max_down)
            || (!must_be_idle
                && !take_emptying_place (places, machines, m->service)))
          continue;
        add_action (actions, UPKEEP_EMPTY_WORKER, w->request->number, m);
        n_down += !is_counted;
      }
  g_hash_table_unref (places);
}

void
upkeep_plan (struct upkeep *upkeep, const GPtrArray *machines, int64_t down_ms,
             int64_t now_ms, GArray *actions)
{
  for (guint i = 0; i < upkeep->waves->len; i++)
    {
      const struct wave *w = g_ptr_array_index (upkeep->waves, i);

      if (w->is_requested && !w->is_completed)
        plan_wave (w, machines, down_ms, now_ms, actions);
    }
}

bool
upkeep_has_work (const struct upkeep *upkeep)
{
  for (guint i = 0; i < upkeep->waves->len; i++)
    {
      const struct wave *w = g_ptr_array_index (upkeep->waves, i);

      if (w->is_requested && !w->is_completed)
        return true;
    }
  return false;
}

char *
upkeep_begun_names (const struct upkeep *upkeep, int64_t wave)
{
  const struct wave *w = find_wave (upkeep, wave);
  GString *s = g_string_new (NULL);
  GHashTableIter iter;
  gpointer key;

  if (w == NULL)
    return g_string_free (s, FALSE);
  g_hash_table_iter_init (&iter, w->begun);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_string_append_printf (s, "%s%s", s->len > 0 ? "," : "",
                            (const char *)key);
  return g_string_free (s, FALSE);
}
