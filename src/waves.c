#include "waves.h"

#include "target.h"

#include <string.h>

/* Maximum number of candidates that one choice checks against the targets. */
#define CANDIDATES_MAX 16

/* How long a proposal without a verdict blocks the next one in its pool. */
#define VERDICT_WAIT_MS 3000

static bool
wave_covers (const struct fleet_wave *w, const struct fleet_vm *v)
{
  return w->pool[0] == '\0' || strcmp (w->pool, v->pool) == 0;
}

static bool
wave_needs (const struct fleet_wave *w, const struct fleet_vm *v)
{
  return wave_covers (w, v) && v->maintained_at_offset < w->accepted_at_offset;
}

/* A VM that a wave could take next. */
struct candidate
{
  const struct fleet_vm *vm;
  uint32_t running;
  uint32_t rack_out; /* VMs of its pool and rack out of service */
  uint32_t rack_vms; /* VMs of its pool and rack */
};

static void
count_rack (const struct fleet *f, struct candidate *c)
{
  const GPtrArray *vms = fleet_vms (f);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (strcmp (v->pool, c->vm->pool) != 0
          || strcmp (v->rack, c->vm->rack) != 0)
        continue;
      c->rack_vms++;
      c->rack_out += v->phase != VM_SERVING;
    }
}

/* Racks with the most VMs out of service come first, then the largest racks;
   within a rack the VM with the fewest runs in progress comes first. */
static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->rack_out != y->rack_out)
    return x->rack_out > y->rack_out ? -1 : 1;
  if (x->rack_vms != y->rack_vms)
    return x->rack_vms > y->rack_vms ? -1 : 1;
  if (strcmp (x->vm->rack, y->vm->rack) != 0)
    return strcmp (x->vm->rack, y->vm->rack);
  if (x->running != y->running)
    return x->running < y->running ? -1 : 1;
  return strcmp (x->vm->vm, y->vm->vm);
}

/* Whether a proposal on V's present state awaits its verdict. */
static bool
has_pending_proposal (const struct tracked_vm *s, const struct fleet_vm *v,
                      int64_t now_ms)
{
  return s->proposed_at_offset == v->changed_at_offset
         && now_ms - s->proposed_ms < VERDICT_WAIT_MS;
}

/* Return the VMs of POOL that are in service and that WAVE still has to
   maintain, best candidates first; NULL if a proposal on a VM of the pool
   awaits its verdict. */
static GArray *
gather_candidates (const struct fleet *f, const struct vm_tracker *vm_tracker,
                   const struct fleet_wave *wave, const char *pool,
                   int64_t now_ms)
{
  const GPtrArray *vms = fleet_vms (f);
  GArray *a = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);
      const struct tracked_vm *s = vm_tracker_find (vm_tracker, v->vm);
      struct candidate c = { v, 0, 0, 0 };

      if (s == NULL || v->phase != VM_SERVING || strcmp (v->pool, pool) != 0)
        continue;
      if (has_pending_proposal (s, v, now_ms))
        {
          g_array_unref (a);
          return NULL;
        }
      if (!wave_needs (wave, v) || s->state == VM_STATE_GONE)
        continue;
      c.running = s->running;
      count_rack (f, &c);
      g_array_append_val (a, c);
    }
  g_array_sort (a, compare_candidates);
  return a;
}

const struct fleet_vm *
waves_next_vm (const struct fleet *fleet, const struct vm_tracker *vm_tracker,
               const struct fleet_wave *wave, const char *pool,
               uint32_t needed_slots, int64_t now_ms)
{
  GArray *a = gather_candidates (fleet, vm_tracker, wave, pool, now_ms);
  const struct fleet_vm *chosen = NULL;

  if (a == NULL)
    return NULL;
  for (guint i = 0; i < MIN (a->len, CANDIDATES_MAX) && chosen == NULL; i++)
    {
      const struct candidate *c = &g_array_index (a, struct candidate, i);

      if (target_check_removal (fleet, c->vm, needed_slots, NULL)
          == TARGET_ALLOWS)
        chosen = c->vm;
    }
  g_array_unref (a);
  return chosen;
}

uint32_t
waves_progress (const struct fleet *fleet, const struct fleet_wave *wave,
                uint32_t *done)
{
  const GPtrArray *vms = fleet_vms (fleet);
  uint32_t all = 0;

  *done = 0;
  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (!wave_covers (wave, v))
        continue;
      all++;
      *done += v->maintained_at_offset >= wave->accepted_at_offset;
    }
  return all;
}

/* Whether a VM is draining or rebooting for WAVE. */
static bool
has_vm_in_progress (const struct fleet *f, const struct fleet_wave *wave)
{
  const GPtrArray *vms = fleet_vms (f);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if ((v->phase == VM_DRAINING || v->phase == VM_REBOOTING)
          && strcmp (v->purpose, wave->name) == 0)
        return true;
    }
  return false;
}

/* Return the VMs of POOL that are out of service, each with its phase, as a
   text that the caller frees; "none" if there is none. */
static char *
list_vms_out (const struct fleet *f, const char *pool)
{
  const GPtrArray *vms = fleet_vms (f);
  GString *names = g_string_new (NULL);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (strcmp (v->pool, pool) != 0 || v->phase == VM_SERVING)
        continue;
      g_string_append_printf (names, "%s%s (%s)", names->len > 0 ? ", " : "",
                              v->vm, vm_phase_name (v->phase));
    }
  if (names->len == 0)
    g_string_append (names, "none");
  return g_string_free (names, FALSE);
}

/* Return why V, which a wave still has to maintain, stays in service.  The
   caller frees the text. */
static char *
explain_refusal (const struct fleet *f, const struct fleet_vm *v)
{
  const struct config_class *k = NULL;
  enum target_refusal refusal = target_check_removal (f, v, 0, &k);
  char *out;
  char *text;

  switch (refusal)
    {
    case TARGET_BUDGET:
      out = list_vms_out (f, v->pool);
      text = g_strdup_printf (
          "%s/%s allows %u%% of pool %s out of service; out now: %s",
          k->service_name, k->name, k->max_unavailable_percent, v->pool, out);
      g_free (out);
      return text;
    case TARGET_FAILURE:
      return g_strdup_printf ("%s/%s would not survive the loss of a %s",
                              k->service_name, k->name,
                              survive_name (k->survive));
    case TARGET_ALLOWS:
    case TARGET_LOAD:
      break;
    }
  return g_strdup ("waiting for the load to fall");
}

char *
waves_pause_reason (const struct fleet *fleet, const struct fleet_wave *wave)
{
  const struct config *c = fleet_config (fleet);
  const GPtrArray *vms = fleet_vms (fleet);

  if (has_vm_in_progress (fleet, wave))
    return g_strdup ("");
  if (c != NULL && c->is_paused)
    return g_strdup ("the configuration says \"automation\": \"paused\"");
  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (v->phase == VM_SERVING && wave_needs (wave, v))
        return explain_refusal (fleet, v);
    }
  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (wave_needs (wave, v))
        return g_strdup_printf ("%s is %s: %s", v->vm,
                                vm_phase_name (v->phase), v->purpose);
    }
  return g_strdup ("");
}

char **
waves_stragglers (const struct fleet *fleet,
                  const struct vm_tracker *vm_tracker,
                  const struct fleet_wave *wave, int64_t now_ms)
{
  const GPtrArray *vms = fleet_vms (fleet);
  GPtrArray *names = g_ptr_array_new ();

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);
      const struct tracked_vm *s = vm_tracker_find (vm_tracker, v->vm);

      if (v->phase == VM_DRAINING && strcmp (v->purpose, wave->name) == 0
          && s != NULL && s->changed_at_offset == v->changed_at_offset
          && now_ms - s->change_seen_ms > wave->patience_ms)
        g_ptr_array_add (names, g_strdup (v->vm));
    }
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}
