#include "target.h"

#include <string.h>

/* The failure domain of V at the size that SURVIVE names. */
static const char *
domain_of (const struct fleet_vm *v, enum survive survive)
{
  switch (survive)
    {
    case SURVIVE_VM:
      return v->vm;
    case SURVIVE_RACK:
      return v->rack;
    case SURVIVE_ZONE:
      return v->zone;
    case SURVIVE_NONE:
      break;
    }
  return "";
}

static const char *
pool_of (const struct config *c, const struct config_class *k)
{
  return c->services[k->service].pool_name;
}

/* Add SLOTS to those that a failure of DOMAIN takes, which LOST has by domain,
   and keep the domain that takes the most in R. */
static void
add_domain_loss (GHashTable *lost, const char *domain, uint32_t slots,
                 struct target_capacity *r)
{
  uint32_t n = GPOINTER_TO_UINT (g_hash_table_lookup (lost, domain)) + slots;

  g_hash_table_insert (lost, (char *)domain, GUINT_TO_POINTER (n));
  if (n <= r->slots_lost)
    return;
  r->slots_lost = n;
  r->worst_domain = domain;
}

/* Assess POOL against the target of class K, as if VM WITHOUT (NULL for none)
   were out of service and, if ALL_IN_SERVICE, all others were in service. */
static struct target_capacity
assess_pool (const struct fleet *f, const char *pool,
             const struct config_class *k, const char *without,
             bool all_in_service)
{
  struct target_capacity r = { 0, 0, 0, 0, 0, "" };
  GHashTable *lost = g_hash_table_new (g_str_hash, g_str_equal);
  const GPtrArray *vms = fleet_vms (f);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (strcmp (v->pool, pool) != 0)
        continue;
      r.vms++;
      if ((v->phase != VM_SERVING && !all_in_service)
          || (without != NULL && strcmp (without, v->vm) == 0))
        {
          r.vms_out++;
          continue;
        }
      r.slots += v->slots;
      if (k->survive != SURVIVE_NONE)
        add_domain_loss (lost, domain_of (v, k->survive), v->slots, &r);
    }
  r.vms_out_allowed = r.vms * k->max_unavailable_percent / 100;
  g_hash_table_unref (lost);
  return r;
}

struct target_capacity
target_assess (const struct fleet *fleet, const struct config_class *k,
               const char *without)
{
  return assess_pool (fleet, pool_of (fleet_config (fleet), k), k, without,
                      false);
}

uint32_t
target_slots_after_failure (const struct target_capacity *capacity)
{
  return capacity->slots - capacity->slots_lost;
}

bool
target_budget_holds (const struct target_capacity *capacity)
{
  return capacity->vms > 0 && capacity->vms_out <= capacity->vms_out_allowed;
}

static enum target_refusal
check_class (const struct fleet *f, const struct config_class *k,
             const struct fleet_vm *v, uint32_t needed_slots)
{
  struct target_capacity r = target_assess (f, k, v->vm);
  struct target_capacity full = assess_pool (f, v->pool, k, NULL, true);
  uint32_t left = target_slots_after_failure (&r);
  uint32_t left_if_full = target_slots_after_failure (&full);

  if (!target_budget_holds (&r))
    return TARGET_BUDGET;
  if (k->survive != SURVIVE_NONE && left == 0 && left_if_full > 0)
    return TARGET_FAILURE;
  if (left < needed_slots && left_if_full >= needed_slots)
    return TARGET_LOAD;
  return TARGET_ALLOWS;
}

enum target_refusal
target_check_removal (const struct fleet *fleet, const struct fleet_vm *vm,
                      uint32_t needed_slots, const struct config_class **k)
{
  const struct config *c = fleet_config (fleet);

  for (guint i = 0; c != NULL && i < c->n_classes; i++)
    {
      enum target_refusal refusal;

      if (strcmp (pool_of (c, &c->classes[i]), vm->pool) != 0)
        continue;
      refusal = check_class (fleet, &c->classes[i], vm, needed_slots);
      if (refusal == TARGET_ALLOWS)
        continue;
      if (k != NULL)
        *k = &c->classes[i];
      return refusal;
    }
  return TARGET_ALLOWS;
}

/* Return the number of failure domains of the size SURVIVE that hold VMs of
   POOL (NULL for all pools). */
static guint
count_domains (const struct fleet *f, const char *pool, enum survive survive)
{
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  const GPtrArray *vms = fleet_vms (f);
  guint n;

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if (pool == NULL || strcmp (v->pool, pool) == 0)
        g_hash_table_add (domains, (char *)domain_of (v, survive));
    }
  n = g_hash_table_size (domains);
  g_hash_table_unref (domains);
  return n;
}

enum target_reach
target_reach (const struct fleet *fleet, const struct config *config,
              const struct config_class *k, enum survive *nearest)
{
  const char *pool = pool_of (config, k);
  bool is_own_enough = k->survive == SURVIVE_NONE
                       || count_domains (fleet, pool, k->survive) >= 2;

  *nearest = k->survive;
  if (is_own_enough)
    return TARGET_REACHABLE;
  if (count_domains (fleet, NULL, k->survive) >= 2)
    return TARGET_REACHABLE_BY_MOVES;
  while (*nearest != SURVIVE_NONE && count_domains (fleet, NULL, *nearest) < 2)
    (*nearest)--;
  return TARGET_UNREACHABLE;
}

uint32_t
target_percent_needed (const struct fleet *fleet, const struct config *config,
                       const struct config_class *k)
{
  uint32_t vms = fleet_pool_size (fleet, pool_of (config, k), NULL);

  if (vms == 0 || vms * k->max_unavailable_percent >= 100)
    return 0;
  return (100 + vms - 1) / vms;
}
