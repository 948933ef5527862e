#include "plan.h"

#include "moves.h"
#include "permission.h"
#include "target.h"
#include "waves.h"

#include <string.h>

/* Maximum age of this node's view of the log at which it still proposes. */
#define VIEW_MAX_AGE_MS 2000

/* Retry delay of a proposal that has changed nothing in the log. */
#define PROPOSE_RETRY_MS 3000

/* Retry delay of an order to the platform that has shown no effect. */
#define ORDER_RETRY_MS 5000

/* Assumed upper bound on the lag of the platform's VM list. */
#define LIST_LAG_MS 5000

/* How long a VM must be listed as not live, or be missing from the list,
   before it is taken as down. */
#define NOT_LIVE_CONFIRM_MS 2000

/* Minimum timeout of a reboot, after which the VM is taken as down; a wave
   with more patience extends it. */
#define REBOOT_TIMEOUT_MIN_MS 60000

/* Maximum number of VMs that one step proposes to add. */
#define ADDS_PER_STEP_MAX 1000

/* How long the peak load of a pool is remembered. */
#define PEAK_RETENTION_MS 10000

/* Moves between pools are planned by one node, the planner of this name, which
   compares the loads of all pools.  The name is no pool's: pool names have no
   slash. */
#define MOVES_PLANNER_KEY "/moves"

/* The highest recent load of a pool; see PEAK_RETENTION_MS. */
struct peak_load
{
  uint32_t slots; /* in use or waited for */
  int64_t at_ms;
};

struct plan
{
  struct vm_tracker *vm_tracker;
  struct moves *moves;
  GHashTable *peaks;        /* pool -> struct peak_load * */
  GHashTable *planned_here; /* pool -> whether this node plans it, per step */
};

struct plan *
plan_new (void)
{
  struct plan *p = g_new0 (struct plan, 1);

  p->vm_tracker = vm_tracker_new ();
  p->moves = moves_new ();
  p->peaks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->planned_here
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return p;
}

void
plan_destroy (struct plan *plan)
{
  if (plan == NULL)
    return;
  vm_tracker_destroy (plan->vm_tracker);
  moves_destroy (plan->moves);
  g_hash_table_unref (plan->peaks);
  g_hash_table_unref (plan->planned_here);
  g_free (plan);
}

void
plan_note_vm (struct plan *plan, const char *vm, enum vm_state state,
              uint32_t running, int64_t now_ms)
{
  vm_tracker_note_vm (plan->vm_tracker, vm, state, running, now_ms);
}

void
plan_update_list (struct plan *plan, const GArray *vms, int64_t now_ms)
{
  vm_tracker_update_list (plan->vm_tracker, vms, now_ms);
}

/* Proposing. */

/* Whether this node plans for NAME, a pool or MOVES_PLANNER_KEY.  The answer
   is kept for the rest of the step. */
static bool
is_planner_of (struct plan *p, const struct turn *t, const char *name)
{
  gpointer known;
  bool is_planner;

  if (g_hash_table_lookup_extended (p->planned_here, name, NULL, &known))
    return GPOINTER_TO_INT (known);
  is_planner
      = strcmp (members_planner (t->members, name, t->now_ms), t->node) == 0;
  g_hash_table_insert (p->planned_here, g_strdup (name),
                       GINT_TO_POINTER (is_planner));
  return is_planner;
}

static void
propose_add (struct turn *t, struct tracked_vm *s)
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

/* Propose that V enters PHASE in POOL; NEXT_POOL is where it moves after a
   drain, "" if it stays.  Do nothing if a proposal on V's present state was
   made less than PROPOSE_RETRY_MS ago. */
static void
propose (struct turn *t, struct tracked_vm *s, const struct fleet_vm *v,
         enum vm_phase phase, const char *pool, const char *next_pool,
         const char *purpose)
{
  struct record *r;

  if (s->proposed_at_offset == v->changed_at_offset
      && t->now_ms - s->proposed_ms < PROPOSE_RETRY_MS)
    return;
  r = record_new (RECORD_VM_STEP, t->node, t->incarnation);
  r->u.vm_step.vm = g_strdup (v->vm);
  r->u.vm_step.since = v->changed_at_offset;
  r->u.vm_step.phase = phase;
  r->u.vm_step.pool = g_strdup (pool);
  r->u.vm_step.next_pool = g_strdup (next_pool);
  r->u.vm_step.purpose = g_strdup (purpose);
  s->proposed_at_offset = v->changed_at_offset;
  s->proposed_ms = t->now_ms;
  turn_append (t, r);
}

static void
propose_phase (struct turn *t, struct tracked_vm *s, const struct fleet_vm *v,
               enum vm_phase phase, const char *purpose)
{
  propose (t, s, v, phase, v->pool, "", purpose);
}

/* Order ACTION on V from the platform.  An order on V's present state is
   repeated only after ORDER_RETRY_MS. */
static void
order_platform (struct turn *t, struct tracked_vm *s, const struct fleet_vm *v,
                enum platform_action action, const char *pool)
{
  struct message *m;

  if (s->ordered_at_offset == v->changed_at_offset
      && t->now_ms - s->ordered_ms < ORDER_RETRY_MS)
    return;
  m = message_new (MESSAGE_VM_ORDER);
  m->u.vm_order.action = action;
  m->u.vm_order.vm = g_strdup (v->vm);
  m->u.vm_order.pool = g_strdup (pool);
  if (action == PLATFORM_ASSIGN
      && s->ordered_at_offset != v->changed_at_offset)
    counters_add (t->counters, COUNTER_VM_MOVES, 1);
  s->ordered_at_offset = v->changed_at_offset;
  s->ordered_ms = t->now_ms;
  s->was_leaving = s->state == VM_STATE_LEAVING;
  s->seen_rebooting = false;
  turn_emit (t, m);
}

/* Draining and rebooting VMs. */

/* Whether this node or another live one has runs in progress on VM. */
static bool
has_runs (const struct turn *t, const struct requests *requests,
          const char *vm)
{
  const GPtrArray *others = members_others (t->members);

  if (requests_count_on_vm (requests, vm) > 0)
    return true;
  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m = g_ptr_array_index (others, i);

      if (m->alive && m->busy != NULL
          && g_strv_contains ((const char *const *)m->busy, vm))
        return true;
    }
  return false;
}

/* Whether a platform list that is newer than the drain order shows V without
   runs.  The order was given once no node could start work on V any more, so
   such a list can be relied on.  If V was already leaving when the order was
   given, the state shows no change that dates the list; V must then have been
   shown idle for LIST_LAG_MS since the order. */
static bool
is_shown_empty (const struct turn *t, const struct tracked_vm *s,
                const struct fleet_vm *v)
{
  if (s->ordered_at_offset != v->changed_at_offset || s->running > 0
      || s->state == VM_STATE_LIVE)
    return false;
  if (!s->was_leaving && s->state_since_ms >= s->ordered_ms)
    return true;
  return s->idle_since_ms >= 0
         && t->now_ms - MAX (s->idle_since_ms, s->ordered_ms) >= LIST_LAG_MS;
}

static void
step_draining (struct turn *t, const struct requests *requests,
               struct tracked_vm *s, const struct fleet_vm *v)
{
  bool is_moving = v->next_pool[0] != '\0';

  if (!permission_is_revoked (t, &s->revocation, v->changed_at_offset))
    return;
  if (s->ordered_at_offset != v->changed_at_offset
      || s->state == VM_STATE_LIVE)
    order_platform (t, s, v, PLATFORM_DRAIN, v->pool);
  if (!has_runs (t, requests, v->vm) && is_shown_empty (t, s, v))
    propose_phase (t, s, v, is_moving ? VM_RELEASED : VM_REBOOTING,
                   v->purpose);
}

/* A release is final: the VM goes to its next pool and to no other. */
static void
step_released (struct turn *t, struct tracked_vm *s, const struct fleet_vm *v)
{
  bool has_arrived
      = strcmp (s->pool, v->next_pool) == 0 && s->state == VM_STATE_LIVE;

  if (has_arrived)
    propose (t, s, v, VM_SERVING, v->next_pool, "", v->purpose);
  else
    order_platform (t, s, v, PLATFORM_ASSIGN, v->next_pool);
}

static void
step_rebooting (struct turn *t, struct tracked_vm *s, const struct fleet_vm *v,
                int64_t patience_ms)
{
  bool is_ordered = s->ordered_at_offset == v->changed_at_offset;

  if (s->state == VM_STATE_LIVE && is_ordered
      && (s->seen_rebooting || s->was_leaving))
    {
      propose_phase (t, s, v, VM_SERVING, v->purpose);
      return;
    }
  if (!is_ordered || s->state == VM_STATE_LIVE || s->state == VM_STATE_LEAVING)
    {
      order_platform (t, s, v, PLATFORM_REBOOT, v->pool);
      return;
    }
  if (t->now_ms - s->ordered_ms >= MAX (patience_ms, REBOOT_TIMEOUT_MIN_MS))
    propose_phase (t, s, v, VM_DOWN, "did not come back from its reboot");
}

/* A VM that is back from an outage serves the pool that it has in the log,
   whichever pool the platform lists it in. */
static void
step_down (struct turn *t, struct tracked_vm *s, const struct fleet_vm *v)
{
  if (s->state != VM_STATE_LIVE)
    return;
  if (strcmp (s->pool, v->pool) == 0)
    propose_phase (t, s, v, VM_SERVING, "back in the VM list");
  else
    order_platform (t, s, v, PLATFORM_ASSIGN, v->pool);
}

static const struct fleet_wave *
find_wave (const struct fleet *f, const char *name)
{
  const GPtrArray *waves = fleet_waves (f);

  for (guint i = 0; i < waves->len; i++)
    {
      const struct fleet_wave *w = g_ptr_array_index (waves, i);

      if (strcmp (w->name, name) == 0)
        return w;
    }
  return NULL;
}

static void
step_vm (struct turn *t, const struct requests *requests, struct tracked_vm *s,
         const struct fleet_vm *v)
{
  const struct fleet_wave *w = find_wave (t->fleet, v->purpose);
  bool has_lasted = t->now_ms - s->state_since_ms >= NOT_LIVE_CONFIRM_MS;

  if (has_lasted && v->phase == VM_SERVING && s->state != VM_STATE_LIVE)
    {
      propose_phase (t, s, v, VM_DOWN, "not live in the VM list");
      return;
    }
  if (has_lasted && v->phase == VM_DRAINING && s->state == VM_STATE_GONE)
    {
      propose_phase (t, s, v, VM_DOWN, "gone from the VM list");
      return;
    }
  switch (v->phase)
    {
    case VM_DRAINING:
      step_draining (t, requests, s, v);
      break;
    case VM_RELEASED:
      step_released (t, s, v);
      break;
    case VM_REBOOTING:
      step_rebooting (t, s, v, w != NULL ? w->patience_ms : 0);
      break;
    case VM_DOWN:
      step_down (t, s, v);
      break;
    case VM_SERVING:
    case VM_PHASE_COUNT:
      break;
    }
}

static void
step_vms (struct plan *p, struct turn *t, const struct requests *requests)
{
  GList *all = vm_tracker_all (p->vm_tracker);

  for (GList *i = all; i != NULL; i = i->next)
    {
      struct tracked_vm *s = i->data;
      const struct fleet_vm *v = fleet_find_vm (t->fleet, s->vm);

      if (v == NULL)
        continue;
      if (s->changed_at_offset != v->changed_at_offset)
        {
          s->changed_at_offset = v->changed_at_offset;
          s->change_seen_ms = t->now_ms;
        }
      if (is_planner_of (p, t, v->pool))
        step_vm (t, requests, s, v);
    }
  g_list_free (all);
}

void
plan_add_listed (struct plan *plan, struct turn *turn)
{
  GList *all = vm_tracker_all (plan->vm_tracker);
  int adds = 0;

  if (fleet_config (turn->fleet) != NULL && turn->log_reachable)
    for (GList *i = all; i != NULL && adds < ADDS_PER_STEP_MAX; i = i->next)
      {
        struct tracked_vm *s = i->data;

        if (!s->listed || fleet_find_vm (turn->fleet, s->vm) != NULL
            || (s->proposed_ms != 0
                && turn->now_ms - s->proposed_ms <= PROPOSE_RETRY_MS))
          continue;
        propose_add (turn, s);
        adds++;
      }
  g_list_free (all);
}

/* Peak loads. */

static void
update_peak (struct plan *p, const struct peer_load *l, int64_t now_ms)
{
  struct peak_load *k = g_hash_table_lookup (p->peaks, l->pool);
  uint32_t slots = l->used + l->waiting;

  if (k == NULL)
    {
      k = g_new0 (struct peak_load, 1);
      g_hash_table_insert (p->peaks, g_strdup (l->pool), k);
    }
  if (slots < k->slots && now_ms - k->at_ms < PEAK_RETENTION_MS)
    return;
  k->slots = slots;
  k->at_ms = now_ms;
}

static uint32_t
find_peak_slots (const struct plan *p, const char *pool)
{
  const struct peak_load *k = g_hash_table_lookup (p->peaks, pool);

  return k == NULL ? 0 : k->slots;
}

/* Waves. */

static void
step_wave (struct plan *p, struct turn *t, const struct fleet_wave *w,
           const char *pool)
{
  int64_t elapsed_ms = fleet_time_ms (t->fleet) - w->accepted_at_ms;
  /* In the second half of its time a wave no longer waits for the load to
     fall. */
  bool is_late = elapsed_ms > w->finish_within_ms / 2;
  const struct fleet_vm *v
      = waves_next_vm (t->fleet, p->vm_tracker, w, pool,
                       is_late ? 0 : find_peak_slots (p, pool), t->now_ms);

  /* Only one VM of a pool is proposed at a time, so that the next choice takes
     the verdict on this one into account. */
  if (v != NULL)
    propose_phase (t, vm_tracker_find (p->vm_tracker, v->vm), v, VM_DRAINING,
                   w->name);
}

static void
step_waves (struct plan *p, struct turn *t, const char *pool)
{
  const GPtrArray *waves = fleet_waves (t->fleet);

  if (!is_planner_of (p, t, pool))
    return;
  for (guint i = 0; i < waves->len; i++)
    {
      const struct fleet_wave *w = g_ptr_array_index (waves, i);

      if (w->pool[0] == '\0' || strcmp (w->pool, pool) == 0)
        step_wave (p, t, w, pool);
    }
}

/* Moves. */

/* Return the last load that the owner of POOL reported, or NULL if none is
   known.  OWN has the loads of the pools that this node owns. */
static const struct peer_load *
find_load (const struct turn *t, const GArray *own, const char *pool)
{
  const char *owner = members_owner (t->members, pool);
  const struct member *m = members_find (t->members, owner);
  const GArray *loads = strcmp (owner, t->node) == 0 ? own
                        : m != NULL                  ? m->loads
                                                     : NULL;

  for (guint i = 0; loads != NULL && i < loads->len; i++)
    {
      const struct peer_load *l = &g_array_index (loads, struct peer_load, i);

      if (strcmp (l->pool, pool) == 0)
        return l;
    }
  return NULL;
}

/* The mean of the expected run times of POOL's classes; 0 without classes. */
static int64_t
mean_expected_run_ms (const struct config *c, const char *pool)
{
  int64_t sum_ms = 0;
  guint n = 0;

  for (guint i = 0; i < c->n_classes; i++)
    {
      const struct config_class *k = &c->classes[i];

      if (strcmp (c->services[k->service].pool_name, pool) != 0)
        continue;
      sum_ms += k->expected_run_ms;
      n++;
    }
  return n == 0 ? 0 : sum_ms / n;
}

static void
count_pool_vms (const struct fleet *f, struct move_load *l)
{
  const GPtrArray *vms = fleet_vms (f);

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);

      l->vms_incoming += strcmp (v->next_pool, l->pool) == 0;
      if (strcmp (v->pool, l->pool) != 0)
        continue;
      l->vms_outgoing += v->next_pool[0] != '\0';
      l->vms_borrowed += strcmp (v->home_pool, l->pool) != 0;
      l->vm_slots = MAX (l->vm_slots, v->slots);
    }
}

/* Fill LOADS, one for each pool of C.  Return false if the load of some pool
   is not known. */
static bool
gather_loads (const struct turn *t, const struct config *c, const GArray *own,
              struct move_load *loads)
{
  for (guint i = 0; i < c->n_pools; i++)
    {
      struct move_load *l = &loads[i];
      const struct peer_load *reported = find_load (t, own, c->pools[i].name);

      if (reported == NULL)
        return false;
      *l = (struct move_load){ .pool = c->pools[i].name,
                               .waiting = reported->waiting,
                               .used = reported->used,
                               .slots = reported->slots,
                               .is_spare = c->pools[i].is_spare };
      l->run_ms = mean_expected_run_ms (c, l->pool);
      count_pool_vms (t->fleet, l);
      l->may_shrink
          = fleet_pool_staying (t->fleet, l->pool) > c->pools[i].min_vms;
    }
  return true;
}

/* Choose the VM that M moves, or NULL: a live VM of M's lender whose departure
   the lender's targets allow, and that has not been lent to it recently.  VMs
   that were lent to the lender are preferred, then those with the fewest runs
   in progress. */
static const struct fleet_vm *
choose_moving_vm (struct plan *p, struct turn *t, const struct move *m,
                  uint32_t needed_slots)
{
  const GPtrArray *vms = fleet_vms (t->fleet);
  const struct fleet_vm *best = NULL;
  bool best_is_lent = false;
  uint32_t best_running = UINT32_MAX;

  for (guint i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (vms, i);
      const struct tracked_vm *s = vm_tracker_find (p->vm_tracker, v->vm);
      bool is_lent = strcmp (v->home_pool, v->pool) != 0;

      if (strcmp (v->pool, m->from) != 0 || v->phase != VM_SERVING || s == NULL
          || s->state != VM_STATE_LIVE
          || (is_lent && t->now_ms - s->change_seen_ms < MOVES_MIN_STAY_MS))
        continue;
      if ((m->returns_home && !is_lent) || is_lent < best_is_lent
          || (is_lent == best_is_lent && s->running >= best_running))
        continue;
      if (target_check_removal (t->fleet, v, needed_slots, NULL)
          != TARGET_ALLOWS)
        continue;
      best = v;
      best_is_lent = is_lent;
      best_running = s->running;
    }
  return best;
}

static void
step_moves (struct plan *p, struct turn *t, const struct config *c,
            const GArray *own)
{
  struct move_load *loads;
  struct move m;

  if (!is_planner_of (p, t, MOVES_PLANNER_KEY))
    return;
  loads = g_new0 (struct move_load, c->n_pools);
  if (gather_loads (t, c, own, loads))
    {
      moves_record_loads (p->moves, loads, c->n_pools, t->now_ms);
      if (moves_choose (p->moves, loads, c->n_pools, t->now_ms, &m))
        {
          const struct fleet_vm *v
              = choose_moving_vm (p, t, &m, find_peak_slots (p, m.from));

          if (v != NULL)
            propose (t, vm_tracker_find (p->vm_tracker, v->vm), v, VM_DRAINING,
                     v->pool, m.returns_home ? v->home_pool : m.to,
                     m.returns_home ? "given back" : "lent");
        }
    }
  g_free (loads);
}

void
plan_step (struct plan *plan, struct turn *turn,
           const struct requests *requests, const GArray *loads)
{
  const struct config *c = fleet_config (turn->fleet);

  /* A planner proposes nothing on a stale view. */
  if (c == NULL || !vm_tracker_has_list (plan->vm_tracker)
      || !turn->log_reachable || turn->resuming
      || turn->view_age_ms > VIEW_MAX_AGE_MS)
    return;
  g_hash_table_remove_all (plan->planned_here);
  for (guint i = 0; i < loads->len; i++)
    update_peak (plan, &g_array_index (loads, struct peer_load, i),
                 turn->now_ms);
  step_vms (plan, turn, requests);
  /* While automation is paused, drains and moves in progress are finished but
     no new ones begin.  None begin either while no majority of the nodes is
     alive to this node, as it does not know the load of the others. */
  if (c->is_paused
      || members_alive_count (turn->members) * 2
             <= fleet_nodes (turn->fleet)->len)
    return;
  for (guint i = 0; i < c->n_pools; i++)
    step_waves (plan, turn, c->pools[i].name);
  step_moves (plan, turn, c, loads);
}

enum vm_state
plan_vm_state (const struct plan *plan, const char *vm)
{
  const struct tracked_vm *s = vm_tracker_find (plan->vm_tracker, vm);

  return s == NULL ? VM_STATE_GONE : s->state;
}

GHashTable *
plan_not_live (const struct plan *plan)
{
  return vm_tracker_not_live (plan->vm_tracker);
}

bool
plan_has_list (const struct plan *plan)
{
  return vm_tracker_has_list (plan->vm_tracker);
}

uint32_t
plan_wave_progress (const struct fleet *fleet, const struct fleet_wave *wave,
                    uint32_t *done)
{
  return waves_progress (fleet, wave, done);
}

char *
plan_wave_pause_reason (const struct plan *plan, const struct fleet *fleet,
                        const struct fleet_wave *wave)
{
  if (!vm_tracker_has_list (plan->vm_tracker))
    return g_strdup ("the platform's VM list has not been read yet");
  return waves_pause_reason (fleet, wave);
}

char **
plan_wave_stragglers (const struct plan *plan, const struct fleet *fleet,
                      const struct fleet_wave *wave, int64_t now_ms)
{
  return waves_stragglers (fleet, plan->vm_tracker, wave, now_ms);
}
