#include "fleet.h"

#include "fleet_state.h"
#include "target.h"

#include <string.h>

static const char *const verdict_names[VERDICT_COUNT]
    = { "accepted", "repeated", "conflict", "illegal", "budget", "unknown" };

const char *
verdict_name (enum verdict verdict)
{
  return verdict_names[verdict];
}

static guint
key_hash (gconstpointer p)
{
  return (guint)((const struct key_id *)p)->low;
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  return key_id_equal (*(const struct key_id *)a, *(const struct key_id *)b);
}

static void
vm_free (gpointer p)
{
  struct fleet_vm *v = p;

  g_free (v->vm);
  g_free (v->address);
  g_free (v->zone);
  g_free (v->rack);
  g_free (v->pool);
  g_free (v->home_pool);
  g_free (v->next_pool);
  g_free (v->purpose);
  g_free (v);
}

static void
wave_free (gpointer p)
{
  struct fleet_wave *w = p;

  g_free (w->name);
  g_free (w->pool);
  g_free (w);
}

static void
node_free (gpointer p)
{
  struct fleet_node *n = p;

  g_free (n->node);
  g_free (n->zone);
  g_free (n);
}

static void
array_unref (gpointer p)
{
  g_array_unref (p);
}

struct fleet *
fleet_new (void)
{
  struct fleet *f = g_new0 (struct fleet, 1);

  f->vms = g_ptr_array_new_with_free_func (vm_free);
  f->vms_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  f->claims = g_hash_table_new_full (key_hash, key_equal, NULL, g_free);
  f->expiries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                       array_unref);
  f->waves = g_ptr_array_new_with_free_func (wave_free);
  f->nodes = g_ptr_array_new_with_free_func (node_free);
  f->node_counts = g_array_new (FALSE, FALSE, sizeof (struct node_count));
  return f;
}

void
fleet_destroy (struct fleet *fleet)
{
  if (fleet == NULL)
    return;
  config_destroy (fleet->config);
  g_hash_table_unref (fleet->vms_by_name);
  g_ptr_array_unref (fleet->vms);
  g_hash_table_unref (fleet->claims);
  g_hash_table_unref (fleet->expiries);
  g_ptr_array_unref (fleet->waves);
  g_ptr_array_unref (fleet->nodes);
  g_array_unref (fleet->node_counts);
  g_free (fleet);
}

/* Configuration. */

static enum verdict
apply_config (struct fleet *f, const struct record *r, uint64_t offset)
{
  struct config *c;

  if (r->u.config.base != f->config_version)
    return VERDICT_CONFLICT;
  c = config_from_text (r->u.config.text, -1, NULL);
  if (c == NULL)
    return VERDICT_ILLEGAL;
  config_destroy (f->config);
  f->config = c;
  f->config_version = offset;
  return VERDICT_ACCEPTED;
}

/* VMs. */

void
fleet_put_vm (struct fleet *fleet, struct fleet_vm *vm)
{
  g_ptr_array_add (fleet->vms, vm);
  g_hash_table_insert (fleet->vms_by_name, vm->vm, vm);
}

static enum verdict
apply_vm_add (struct fleet *f, const struct record *r, uint64_t offset,
              int64_t at_ms)
{
  const struct record_vm_add *a = &r->u.vm_add;
  struct fleet_vm *v;

  if (g_hash_table_contains (f->vms_by_name, a->vm))
    return VERDICT_REPEATED;
  v = g_new0 (struct fleet_vm, 1);
  v->vm = g_strdup (a->vm);
  v->address = g_strdup (a->address);
  v->port = a->port;
  v->zone = g_strdup (a->zone);
  v->rack = g_strdup (a->rack);
  v->pool = g_strdup (a->pool);
  v->home_pool = g_strdup (a->pool);
  v->next_pool = g_strdup ("");
  v->purpose = g_strdup ("added");
  v->slots = a->slots;
  v->phase = VM_SERVING;
  v->changed_at_offset = offset;
  v->changed_at_ms = at_ms;
  fleet_put_vm (f, v);
  return VERDICT_ACCEPTED;
}

/* Return the pool that S moves its VM to; "" for none. */
static const char *
next_pool_of (const struct record_vm_step *s)
{
  return s->next_pool != NULL ? s->next_pool : "";
}

/* Return whether step S is allowed in the phase of V.  A VM changes its pool
   only by the step after VM_RELEASED, and only to the pool it was drained for.
   A release is never reverted, as an order to the platform to move the VM may
   still take effect later. */
static bool
step_is_legal (const struct fleet_vm *v, const struct record_vm_step *s)
{
  bool same_pool = strcmp (v->pool, s->pool) == 0;
  bool moves = v->next_pool[0] != '\0';

  if (s->phase == VM_DOWN)
    return same_pool && v->phase != VM_DOWN && v->phase != VM_RELEASED;
  switch (v->phase)
    {
    case VM_SERVING:
      return same_pool && s->phase == VM_DRAINING;
    case VM_DRAINING:
      return same_pool
             && (s->phase == VM_SERVING
                 || s->phase == (moves ? VM_RELEASED : VM_REBOOTING));
    case VM_RELEASED:
      return s->phase == VM_SERVING && strcmp (v->next_pool, s->pool) == 0;
    case VM_REBOOTING:
    case VM_DOWN:
      return same_pool && s->phase == VM_SERVING;
    case VM_PHASE_COUNT:
      break;
    }
  return false;
}

uint32_t
fleet_pool_size (const struct fleet *fleet, const char *pool, uint32_t *out)
{
  uint32_t n = 0;
  uint32_t n_out = 0;

  for (guint i = 0; i < fleet->vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (fleet->vms, i);

      if (strcmp (v->pool, pool) != 0)
        continue;
      n++;
      n_out += v->phase != VM_SERVING;
    }
  if (out != NULL)
    *out = n_out;
  return n;
}

uint32_t
fleet_pool_budget (const struct fleet *fleet, const char *pool)
{
  const struct config *c = fleet->config;
  uint32_t percent = 100;
  uint32_t n = fleet_pool_size (fleet, pool, NULL);

  if (c == NULL)
    return 0;
  for (guint i = 0; i < c->n_classes; i++)
    {
      const struct config_class *k = &c->classes[i];
      const struct config_service *s = &c->services[k->service];

      if (strcmp (s->pool_name, pool) == 0)
        percent = MIN (percent, k->max_unavailable_percent);
    }
  return n * percent / 100;
}

uint32_t
fleet_pool_staying (const struct fleet *fleet, const char *pool)
{
  uint32_t n = 0;

  for (guint i = 0; i < fleet->vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (fleet->vms, i);

      n += strcmp (v->pool, pool) == 0 && v->next_pool[0] == '\0';
    }
  return n;
}

/* Return the verdict on draining V in order to move it to NEXT_POOL ("" for no
   move). */
static enum verdict
check_move (const struct fleet *f, const struct fleet_vm *v,
            const char *next_pool)
{
  int from;

  if (next_pool[0] == '\0')
    return VERDICT_ACCEPTED;
  if (f->config == NULL || config_find_pool (f->config, next_pool) < 0)
    return VERDICT_UNKNOWN;
  if (strcmp (v->pool, next_pool) == 0)
    return VERDICT_ILLEGAL;
  from = config_find_pool (f->config, v->pool);
  if (from >= 0
      && fleet_pool_staying (f, v->pool) < f->config->pools[from].min_vms + 1)
    return VERDICT_BUDGET;
  return VERDICT_ACCEPTED;
}

static void
update_vm (struct fleet_vm *v, const struct record_vm_step *s, uint64_t offset,
           int64_t at_ms)
{
  if (v->phase == VM_REBOOTING && s->phase == VM_SERVING)
    v->maintained_at_offset = offset;
  if (strcmp (v->pool, s->pool) != 0)
    {
      g_free (v->pool);
      v->pool = g_strdup (s->pool);
    }
  if (s->phase != VM_RELEASED)
    {
      g_free (v->next_pool);
      v->next_pool
          = g_strdup (s->phase == VM_DRAINING ? next_pool_of (s) : "");
    }
  g_free (v->purpose);
  v->purpose = g_strdup (s->purpose);
  v->phase = s->phase;
  v->changed_at_offset = offset;
  v->changed_at_ms = at_ms;
}

static enum verdict
apply_vm_step (struct fleet *f, const struct record *r, uint64_t offset,
               int64_t at_ms)
{
  const struct record_vm_step *s = &r->u.vm_step;
  struct fleet_vm *v = g_hash_table_lookup (f->vms_by_name, s->vm);

  if (v == NULL)
    return VERDICT_UNKNOWN;
  if (v->changed_at_offset != s->since)
    return VERDICT_CONFLICT;
  if (!step_is_legal (v, s))
    return VERDICT_ILLEGAL;
  if (s->phase == VM_DRAINING)
    {
      enum verdict move = check_move (f, v, next_pool_of (s));

      if (move != VERDICT_ACCEPTED)
        return move;
      if (target_check_removal (f, v, 0, NULL) != TARGET_ALLOWS)
        return VERDICT_BUDGET;
    }
  update_vm (v, s, offset, at_ms);
  return VERDICT_ACCEPTED;
}

/* Maintenance waves. */

static int
find_wave (const struct fleet *f, const char *name)
{
  for (guint i = 0; i < f->waves->len; i++)
    {
      const struct fleet_wave *w = g_ptr_array_index (f->waves, i);

      if (strcmp (w->name, name) == 0)
        return (int)i;
    }
  return -1;
}

static enum verdict
apply_maintain (struct fleet *f, const struct record *r, uint64_t offset,
                int64_t at_ms)
{
  const struct record_maintain *m = &r->u.maintain;
  struct fleet_wave *w;

  if (find_wave (f, m->name) >= 0)
    return VERDICT_CONFLICT;
  if (m->pool[0] != '\0'
      && (f->config == NULL || config_find_pool (f->config, m->pool) < 0))
    return VERDICT_UNKNOWN;
  w = g_new0 (struct fleet_wave, 1);
  w->name = g_strdup (m->name);
  w->pool = g_strdup (m->pool);
  w->finish_within_ms = m->finish_within_ms;
  w->patience_ms = m->patience_ms;
  w->accepted_at_offset = offset;
  w->accepted_at_ms = at_ms;
  g_ptr_array_add (f->waves, w);
  return VERDICT_ACCEPTED;
}

static enum verdict
apply_maintain_cancel (struct fleet *f, const struct record *r)
{
  int i = find_wave (f, r->u.maintain_cancel.name);

  if (i < 0)
    return VERDICT_UNKNOWN;
  g_ptr_array_remove_index (f->waves, (guint)i);
  return VERDICT_ACCEPTED;
}

enum verdict
fleet_apply (struct fleet *fleet, const struct record *record, uint64_t offset,
             int64_t at_ms)
{
  g_return_val_if_fail (offset > fleet->offset, VERDICT_ILLEGAL);
  fleet->offset = offset;
  fleet->time_ms = MAX (fleet->time_ms, at_ms);
  fleet_expire_keys (fleet);
  switch (record->kind)
    {
    case RECORD_CONFIG:
      return apply_config (fleet, record, offset);
    case RECORD_VM_ADD:
      return apply_vm_add (fleet, record, offset, at_ms);
    case RECORD_VM_STEP:
      return apply_vm_step (fleet, record, offset, at_ms);
    case RECORD_CLAIM:
      return fleet_apply_claim (fleet, record, offset);
    case RECORD_OUTCOME:
      return fleet_apply_outcome (fleet, record, offset);
    case RECORD_MAINTAIN:
      return apply_maintain (fleet, record, offset, at_ms);
    case RECORD_MAINTAIN_CANCEL:
      return apply_maintain_cancel (fleet, record);
    case RECORD_NODE_JOIN:
      return fleet_apply_join (fleet, record, offset);
    case RECORD_NODE_LEAVE:
      return fleet_apply_leave (fleet, record, offset);
    case RECORD_CHECKPOINT:
      return VERDICT_ACCEPTED; /* doesn't change the fleet; recovery reads it
                                */
    case RECORD_KIND_COUNT:
      break;
    }
  return VERDICT_ILLEGAL;
}

void
fleet_skip (struct fleet *fleet, uint64_t offset)
{
  fleet->offset = MAX (fleet->offset, offset);
}

uint64_t
fleet_offset (const struct fleet *fleet)
{
  return fleet->offset;
}

int64_t
fleet_time_ms (const struct fleet *fleet)
{
  return fleet->time_ms;
}

const struct config *
fleet_config (const struct fleet *fleet)
{
  return fleet->config;
}

uint64_t
fleet_config_version (const struct fleet *fleet)
{
  return fleet->config_version;
}

const struct fleet_vm *
fleet_find_vm (const struct fleet *fleet, const char *vm)
{
  return g_hash_table_lookup (fleet->vms_by_name, vm);
}

const GPtrArray *
fleet_vms (const struct fleet *fleet)
{
  return fleet->vms;
}

const GPtrArray *
fleet_waves (const struct fleet *fleet)
{
  return fleet->waves;
}

const GPtrArray *
fleet_nodes (const struct fleet *fleet)
{
  return fleet->nodes;
}
