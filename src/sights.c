#include "sights.h"

#include <string.h>

struct sights
{
  GHashTable *known; /* name -> struct sight * */
  bool has_list;     /* whether this node has read a list */
};

static void
tracked_vm_free (gpointer p)
{
  struct sight *s = p;

  g_free (s->vm);
  g_free (s->address);
  g_free (s->zone);
  g_free (s->rack);
  g_free (s->pool);
  g_free (s);
}

struct sights *
sights_new (void)
{
  struct sights *s = g_new0 (struct sights, 1);

  s->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tracked_vm_free);
  return s;
}

void
sights_destroy (struct sights *sights)
{
  if (sights == NULL)
    return;
  g_hash_table_unref (sights->known);
  g_free (sights);
}

static struct sight *
find_or_add (struct sights *sights, const struct listed_vm *v, int64_t now_ms)
{
  struct sight *s = g_hash_table_lookup (sights->known, v->vm);

  if (s != NULL)
    return s;
  s = g_new0 (struct sight, 1);
  s->vm = g_strdup (v->vm);
  s->address = g_strdup (v->address);
  s->port = v->port;
  s->zone = g_strdup (v->zone);
  s->rack = g_strdup (v->rack);
  s->pool = g_strdup (v->pool);
  s->slots = v->slots;
  s->state_since_ms = now_ms;
  s->idle_since_ms = -1;
  g_hash_table_insert (sights->known, s->vm, s);
  return s;
}

static void
set_state (struct sight *s, enum vm_state state, int64_t now_ms)
{
  if (s->state != state)
    s->state_since_ms = now_ms;
  s->state = state;
  if (state == VM_STATE_REBOOTING || state == VM_STATE_GONE)
    s->seen_rebooting = true;
}

static void
set_running (struct sight *s, uint32_t running, int64_t now_ms)
{
  s->running = running;
  if (running > 0)
    s->idle_since_ms = -1;
  else if (s->idle_since_ms < 0)
    s->idle_since_ms = now_ms;
}

static void
store_listed (struct sights *sights, const struct listed_vm *v, int64_t now_ms)
{
  struct sight *s = find_or_add (sights, v, now_ms);

  set_state (s, v->state, now_ms);
  s->listed = true;
  set_running (s, v->running, now_ms);
  if (strcmp (s->pool, v->pool) != 0)
    {
      g_free (s->pool);
      s->pool = g_strdup (v->pool);
    }
}

void
sights_note (struct sights *sights, const char *vm, enum vm_state state,
             uint32_t running, int64_t now_ms)
{
  struct sight *s = sights_find (sights, vm);

  if (s == NULL)
    return;
  set_state (s, state, now_ms);
  set_running (s, running, now_ms);
}

void
sights_list (struct sights *sights, const GArray *vms, int64_t now_ms)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, sights->known);
  while (g_hash_table_iter_next (&i, NULL, &p))
    ((struct sight *)p)->listed = false;
  for (guint k = 0; k < vms->len; k++)
    store_listed (sights, &g_array_index (vms, struct listed_vm, k), now_ms);
  g_hash_table_iter_init (&i, sights->known);
  while (g_hash_table_iter_next (&i, NULL, &p))
    if (!((struct sight *)p)->listed)
      set_state (p, VM_STATE_GONE, now_ms);
  sights->has_list = true;
}

bool
sights_has_list (const struct sights *sights)
{
  return sights->has_list;
}

struct sight *
sights_find (const struct sights *sights, const char *vm)
{
  return g_hash_table_lookup (sights->known, vm);
}

GList *
sights_all (const struct sights *sights)
{
  return g_hash_table_get_values (sights->known);
}

GHashTable *
sights_not_live (const struct sights *sights)
{
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, sights->known);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct sight *s = p;

      if (s->state != VM_STATE_LIVE)
        g_hash_table_add (names, g_strdup (s->vm));
    }
  return names;
}
