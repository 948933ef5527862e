#ifndef PLAN_H
#define PLAN_H

#include "requests.h"
#include "sights.h"
#include "turn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The planner: proposes records for the pools that this node owns.  Adds the
   VMs that the platform lists, notes failures and returns, and carries VMs
   through maintenance and moves within the pools' availability budgets.  It
   only proposes; the fold decides, so two planners at once break no rule. */

struct plan;

struct plan *plan_new (void);
void plan_destroy (struct plan *plan);

/* Take in the platform's VM list. */
void plan_list (struct plan *plan, const GArray *vms, int64_t now_ms);

/* Take in the STATE of VM and the tasks RUNNING on it, by another node's word
   of the list. */
void plan_note (struct plan *plan, const char *vm, enum vm_state state,
                uint32_t running, int64_t now_ms);

/* Propose to add the VMs of the list just read that the log does not have. */
void plan_add_listed (struct plan *plan, struct turn *turn);

/* Propose what is due.  LOADS (struct peer_load) is the load of the pools
   that this node owns. */
void plan_step (struct plan *plan, struct turn *turn,
                const struct requests *requests, const GArray *loads);

/* Return the state of VM in the platform's list; VM_STATE_GONE if absent. */
enum vm_state plan_vm_state (const struct plan *plan, const char *vm);

/* Return the set of VMs, once seen, that the last list does not have as live;
   the caller unrefs it. */
GHashTable *plan_not_live (const struct plan *plan);

/* Return whether a list has been read. */
bool plan_has_list (const struct plan *plan);

/* Count the VMs that WAVE covers, and in *DONE those already maintained. */
uint32_t plan_wave_progress (const struct fleet *fleet,
                             const struct fleet_wave *wave, uint32_t *done);

/* Return why WAVE makes no progress now, in plain words; "" if it does.  The
   caller frees it. */
char *plan_wave_pause (const struct plan *plan, const struct fleet *fleet,
                       const struct fleet_wave *wave);

/* Return the VMs of WAVE whose work in progress has outlasted its patience,
   by name; the caller frees it. */
char **plan_wave_stragglers (const struct plan *plan,
                             const struct fleet *fleet,
                             const struct fleet_wave *wave, int64_t now_ms);

#endif
