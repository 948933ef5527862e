#include "vm_tracker.h"

#include <string.h>

struct vm_tracker
{
  GHashTable *known; /* name -> struct tracked_vm * */
  bool has_list;     /* whether this node has read a list */
};

static void
tracked_vm_free (gpointer p)
{
  struct tracked_vm *s = p;

  g_free (s->vm);
  g_free (s->address);
  g_free (s->zone);
  g_free (s->rack);
  g_free (s->pool);
  g_free (s);
}

struct vm_tracker *
vm_tracker_new (void)
{
  struct vm_tracker *s = g_new0 (struct vm_tracker, 1);

  s->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tracked_vm_free);
  return s;
}

void
vm_tracker_destroy (struct vm_tracker *vm_tracker)
{
  if (vm_tracker == NULL)
    return;
  g_hash_table_unref (vm_tracker->known);
  g_free (vm_tracker);
}

static struct tracked_vm *
find_or_add (struct vm_tracker *vm_tracker, const struct listed_vm *v,
             int64_t now_ms)
{
  struct tracked_vm *s = g_hash_table_lookup (vm_tracker->known, v->vm);

  if (s != NULL)
    return s;
  s = g_new0 (struct tracked_vm, 1);
  s->vm = g_strdup (v->vm);
  s->address = g_strdup (v->address);
  s->port = v->port;
  s->zone = g_strdup (v->zone);
  s->rack = g_strdup (v->rack);
  s->pool = g_strdup (v->pool);
  s->slots = v->slots;
  s->state_since_ms = now_ms;
  s->idle_since_ms = -1;
  g_hash_table_insert (vm_tracker->known, s->vm, s);
  return s;
}

static void
set_state (struct tracked_vm *s, enum vm_state state, int64_t now_ms)
{
  if (s->state != state)
    s->state_since_ms = now_ms;
  s->state = state;
  if (state == VM_STATE_REBOOTING || state == VM_STATE_GONE)
    s->seen_rebooting = true;
}

static void
set_running (struct tracked_vm *s, uint32_t running, int64_t now_ms)
{
  s->running = running;
  if (running > 0)
    s->idle_since_ms = -1;
  else if (s->idle_since_ms < 0)
    s->idle_since_ms = now_ms;
}

static void
store_listed (struct vm_tracker *vm_tracker, const struct listed_vm *v,
              int64_t now_ms)
{
  struct tracked_vm *s = find_or_add (vm_tracker, v, now_ms);

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
vm_tracker_note_vm (struct vm_tracker *vm_tracker, const char *vm,
                    enum vm_state state, uint32_t running, int64_t now_ms)
{
  struct tracked_vm *s = vm_tracker_find (vm_tracker, vm);

  if (s == NULL)
    return;
  set_state (s, state, now_ms);
  set_running (s, running, now_ms);
}

void
vm_tracker_update_list (struct vm_tracker *vm_tracker, const GArray *vms,
                        int64_t now_ms)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, vm_tracker->known);
  while (g_hash_table_iter_next (&i, NULL, &p))
    ((struct tracked_vm *)p)->listed = false;
  for (guint k = 0; k < vms->len; k++)
    store_listed (vm_tracker, &g_array_index (vms, struct listed_vm, k),
                  now_ms);
  g_hash_table_iter_init (&i, vm_tracker->known);
  while (g_hash_table_iter_next (&i, NULL, &p))
    if (!((struct tracked_vm *)p)->listed)
      set_state (p, VM_STATE_GONE, now_ms);
  vm_tracker->has_list = true;
}

bool
vm_tracker_has_list (const struct vm_tracker *vm_tracker)
{
  return vm_tracker->has_list;
}

struct tracked_vm *
vm_tracker_find (const struct vm_tracker *vm_tracker, const char *vm)
{
  return g_hash_table_lookup (vm_tracker->known, vm);
}

GList *
vm_tracker_all (const struct vm_tracker *vm_tracker)
{
  return g_hash_table_get_values (vm_tracker->known);
}

GHashTable *
vm_tracker_not_live (const struct vm_tracker *vm_tracker)
{
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, vm_tracker->known);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct tracked_vm *s = p;

      if (s->state != VM_STATE_LIVE)
        g_hash_table_add (names, g_strdup (s->vm));
    }
  return names;
}
