#include "plan.h"

#include <string.h>

#define PROPOSE_AGAIN_MS 3000
#define LIST_LAG_MS 2000
#define REBOOT_BLIND_MS 15000
#define GONE_CONFIRM_MS 2000
#define MEMBER_LAPSE_MS 10000
#define ADDS_PER_STEP 1000

/* What the planner has seen and done about one VM. */
struct sight
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool;
  uint32_t slots;
  uint32_t running;
  enum vm_state state;
  int64_t state_since_ms;
  int64_t idle_since_ms; /* clock time since which RUNNING was 0; -1 busy */
  uint64_t proposed_at;  /* the VM's last change when last proposed on */
  int64_t proposed_ms;
  uint64_t acted_at; /* the VM's last change when the platform was told */
  int64_t acted_ms;
  uint64_t read_at;    /* the VM's last change that all nodes have read */
  int64_t read_ms;     /* since when */
  bool seen_rebooting; /* since the platform was told */
  bool listed;         /* in the last list */
};

struct plan
{
  GHashTable *sights; /* vm -> struct sight * */
  bool has_list;
};

static void
sight_free (gpointer p)
{
  struct sight *s = p;

  g_free (s->vm);
  g_free (s->address);
  g_free (s->zone);
  g_free (s->rack);
  g_free (s->pool);
  g_free (s);
}

struct plan *
plan_new (void)
{
  struct plan *p = g_new0 (struct plan, 1);

  p->sights
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sight_free);
  return p;
}

void
plan_destroy (struct plan *plan)
{
  if (plan == NULL)
    return;
  g_hash_table_unref (plan->sights);
  g_free (plan);
}

/* Taking in the list. */

static struct sight *
sight_of (struct plan *p, const struct listed_vm *v, int64_t now_ms)
{
  struct sight *s = g_hash_table_lookup (p->sights, v->vm);

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
  g_hash_table_insert (p->sights, s->vm, s);
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
see (struct plan *p, const struct listed_vm *v, int64_t now_ms)
{
  struct sight *s = sight_of (p, v, now_ms);

  set_state (s, v->state, now_ms);
  s->listed = true;
  set_running (s, v->running, now_ms);
}

void
plan_note (struct plan *plan, const char *vm, enum vm_state state,
           uint32_t running, int64_t now_ms)
{
  struct sight *s = g_hash_table_lookup (plan->sights, vm);

  if (s == NULL)
    return;
  set_state (s, state, now_ms);
  set_running (s, running, now_ms);
}

void
plan_list (struct plan *plan, const GArray *vms, int64_t now_ms)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, plan->sights);
  while (g_hash_table_iter_next (&i, NULL, &p))
    ((struct sight *)p)->listed = false;
  for (guint k = 0; k < vms->len; k++)
    see (plan, &g_array_index (vms, struct listed_vm, k), now_ms);
  g_hash_table_iter_init (&i, plan->sights);
  while (g_hash_table_iter_next (&i, NULL, &p))
    if (!((struct sight *)p)->listed)
      set_state (p, VM_STATE_GONE, now_ms);
  plan->has_list = true;
}

/* Proposing. */

static bool
is_mine (const struct turn *t, const char *pool)
{
  return strcmp (members_owner (t->members, pool), t->node) == 0;
}

static void
propose_add (struct turn *t, struct sight *s)
{
  struct record *r = record_new (RECORD_VM_ADD, t->node, t->incarnation);

  r->u.vm_add.vm = g_strdup (s->vm);
  r->u.vm_add.address = g_strdup (s->address);
  r->u.vm_add.port = s->port;
  r->u.vm_add.zone = g_strdup (s->zone);
  r->u.vm_add.rack = g_strdup (s->rack);
  r->u.vm_add.pool = g_strdup (s->pool);
  r->u.vm_add.slots = s->slots;
  s->proposed_ms = t->now_ms;
  turn_append (t, r);
}

static void
propose_step (struct turn *t, struct sight *s, const struct fleet_vm *v,
              enum vm_phase phase, const char *purpose)
{
  struct record *r;

  if (s->proposed_at == v->changed
      && t->now_ms - s->proposed_ms < PROPOSE_AGAIN_MS)
    return;
  r = record_new (RECORD_VM_STEP, t->node, t->incarnation);
  r->u.vm_step.vm = g_strdup (v->vm);
  r->u.vm_step.since = v->changed;
  r->u.vm_step.phase = phase;
  r->u.vm_step.pool = g_strdup (v->pool);
  r->u.vm_step.purpose = g_strdup (purpose);
  s->proposed_at = v->changed;
  s->proposed_ms = t->now_ms;
  turn_append (t, r);
}

static void
tell_platform (struct turn *t, struct sight *s, const struct fleet_vm *v,
               enum platform_action action)
{
  struct message *m;

  if (s->acted_at == v->changed)
    return;
  m = message_new (MESSAGE_PLATFORM);
  m->u.platform.action = action;
  m->u.platform.vm = g_strdup (v->vm);
  m->u.platform.pool = g_strdup (v->pool);
  s->acted_at = v->changed;
  s->acted_ms = t->now_ms;
  s->seen_rebooting = false;
  turn_put (t, m);
}

/* Whether every node that could still start work has read offset OFFSET, or
   has been silent for so long that it may start nothing. */
static bool
all_have_read (const struct turn *t, uint64_t offset)
{
  const GPtrArray *others = members_others (t->members);

  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m = g_ptr_array_index (others, i);

      if (m->offset >= offset)
        continue;
      if (m->alive || t->now_ms - m->heard_ms < MEMBER_LAPSE_MS)
        return false;
    }
  return true;
}

/* Since when no node may send work to V any more: the last that was let go
   before all had read of V's change is sent shortly after, or not at all.
   Return whether that moment has come, and is LIST_LAG_MS past. */
static bool
is_closed (const struct turn *t, struct sight *s, const struct fleet_vm *v)
{
  if (!all_have_read (t, v->changed))
    return false;
  if (s->read_at != v->changed)
    s->read_ms = t->now_ms;
  s->read_at = v->changed;
  return t->now_ms - s->read_ms >= MESSAGE_SEND_WITHIN_MS + LIST_LAG_MS;
}

static bool
is_empty (const struct turn *t, struct sight *s, const struct fleet_vm *v)
{
  /* Only what was seen since the platform calls it leaving counts. */
  return is_closed (t, s, v) && s->state == VM_STATE_LEAVING
         && s->acted_at == v->changed
         && t->now_ms - s->state_since_ms >= LIST_LAG_MS
         && s->idle_since_ms >= 0
         && t->now_ms - s->idle_since_ms >= LIST_LAG_MS;
}

static bool
has_returned (const struct turn *t, const struct sight *s,
              const struct fleet_vm *v)
{
  if (s->state != VM_STATE_LIVE || s->acted_at != v->changed)
    return false;
  return s->seen_rebooting || t->now_ms - s->acted_ms > REBOOT_BLIND_MS;
}

static void
step_vm (struct turn *t, struct sight *s, const struct fleet_vm *v)
{
  bool gone = s->state == VM_STATE_GONE
              && t->now_ms - s->state_since_ms >= GONE_CONFIRM_MS;

  if (gone && v->phase != VM_DOWN && v->phase != VM_REBOOTING)
    {
      propose_step (t, s, v, VM_DOWN, "gone from the VM list");
      return;
    }
  switch (v->phase)
    {
    case VM_DRAINING:
      tell_platform (t, s, v, PLATFORM_DRAIN);
      if (is_empty (t, s, v))
        propose_step (t, s, v, VM_REBOOTING, v->purpose);
      break;
    case VM_REBOOTING:
      tell_platform (t, s, v, PLATFORM_REBOOT);
      if (has_returned (t, s, v))
        propose_step (t, s, v, VM_SERVING, v->purpose);
      break;
    case VM_DOWN:
      if (s->state == VM_STATE_LIVE)
        propose_step (t, s, v, VM_SERVING, "back in the VM list");
      break;
    case VM_SERVING:
    case VM_RELEASED:
    case VM_PHASE_COUNT:
      break;
    }
}

static bool
wave_covers (const struct fleet_wave *w, const struct fleet_vm *v)
{
  return w->pool[0] == '\0' || strcmp (w->pool, v->pool) == 0;
}

static bool
wave_wants (const struct fleet_wave *w, const struct fleet_vm *v)
{
  return wave_covers (w, v) && v->maintained < w->accepted;
}

/* Begin the maintenance of as many VMs of POOL as its budget has room for. */
static void
step_wave (struct plan *p, struct turn *t, const struct fleet_wave *w,
           const char *pool)
{
  const GPtrArray *vms = fleet_vms (t->fleet);
  uint32_t away;
  uint32_t budget = fleet_pool_budget (t->fleet, pool);

  fleet_pool_size (t->fleet, pool, &away);
  for (guint i = 0; i < vms->len && away < budget; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);
      struct sight *s = g_hash_table_lookup (p->sights, v->vm);

      if (s == NULL || v->phase != VM_SERVING || strcmp (v->pool, pool) != 0
          || !wave_wants (w, v))
        continue;
      propose_step (t, s, v, VM_DRAINING, w->name);
      away++;
    }
}

static void
step_pool (struct plan *p, struct turn *t, const char *pool)
{
  const GPtrArray *waves = fleet_waves (t->fleet);

  if (!is_mine (t, pool))
    return;
  for (guint i = 0; i < waves->len; i++)
    {
      const struct fleet_wave *w = g_ptr_array_index (waves, i);

      if (w->pool[0] == '\0' || strcmp (w->pool, pool) == 0)
        step_wave (p, t, w, pool);
    }
}

static void
step_sights (struct plan *p, struct turn *t)
{
  GHashTableIter i;
  gpointer q;

  g_hash_table_iter_init (&i, p->sights);
  while (g_hash_table_iter_next (&i, NULL, &q))
    {
      struct sight *s = q;
      const struct fleet_vm *v = fleet_find_vm (t->fleet, s->vm);

      if (v != NULL && is_mine (t, v->pool))
        step_vm (t, s, v);
    }
}

void
plan_add_listed (struct plan *plan, struct turn *turn)
{
  GHashTableIter i;
  gpointer q;
  int adds = 0;

  if (fleet_config (turn->fleet) == NULL || !turn->log_reachable)
    return;
  g_hash_table_iter_init (&i, plan->sights);
  while (adds < ADDS_PER_STEP && g_hash_table_iter_next (&i, NULL, &q))
    {
      struct sight *s = q;

      if (!s->listed || fleet_find_vm (turn->fleet, s->vm) != NULL
          || (s->proposed_ms != 0
              && turn->now_ms - s->proposed_ms <= PROPOSE_AGAIN_MS))
        continue;
      propose_add (turn, s);
      adds++;
    }
}

void
plan_step (struct plan *plan, struct turn *turn)
{
  const struct config *c = fleet_config (turn->fleet);

  /* A planner with an old view proposes nothing. */
  if (c == NULL || !plan->has_list || !turn->log_reachable)
    return;
  step_sights (plan, turn);
  for (guint i = 0; i < c->n_pools; i++)
    step_pool (plan, turn, c->pools[i].name);
}

enum vm_state
plan_vm_state (const struct plan *plan, const char *vm)
{
  const struct sight *s = g_hash_table_lookup (plan->sights, vm);

  return s == NULL ? VM_STATE_GONE : s->state;
}

bool
plan_has_list (const struct plan *plan)
{
  return plan->has_list;
}

uint32_t
plan_wave_progress (const struct fleet *fleet, const struct fleet_wave *wave,
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
      *done += v->maintained >= wave->accepted;
    }
  return all;
}

/* Whether WAVE has a VM of POOL in its hands. */
static bool
wave_is_busy (const struct fleet *fleet, const struct fleet_wave *wave)
{
  const GPtrArray *vms = fleet_vms (fleet);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      if ((v->phase == VM_DRAINING || v->phase == VM_REBOOTING)
          && strcmp (v->purpose, wave->name) == 0)
        return true;
    }
  return false;
}

const char *
plan_wave_pause (const struct plan *plan, const struct fleet *fleet,
                 const struct fleet_wave *wave)
{
  uint32_t done;
  uint32_t all = plan_wave_progress (fleet, wave, &done);

  if (done >= all || wave_is_busy (fleet, wave))
    return "";
  if (!plan->has_list)
    return "the platform's VM list has not been read yet";
  return "the availability budget is spent by VMs that are down or drained";
}
