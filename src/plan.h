#ifndef PLAN_H
#define PLAN_H

#include "requests.h"
#include "turn.h"
#include "vm_tracker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The planner of the VMs: proposes records for the pools that this node plans
   for.  It adds the VMs that the platform lists, records when VMs go down and
   come back, and takes VMs through maintenance and moves within the pools'
   availability budgets.  It only proposes; whether a proposal takes effect is
   decided when it is applied from the log, so budgets and rules hold even if
   two nodes plan for the same pool at once. */

struct plan;

struct plan *plan_new (void);
void plan_destroy (struct plan *plan);

/* Record the platform's VM list VMS (struct listed_vm), read at NOW_MS. */
void plan_update_list (struct plan *plan, const GArray *vms, int64_t now_ms);

/* Record the STATE of VM and the number of tasks RUNNING on it, which another
   node reported from its VM list. */
void plan_note_vm (struct plan *plan, const char *vm, enum vm_state state,
                   uint32_t running, int64_t now_ms);

/* Propose to add the VMs of the last list that the log does not have. */
void plan_add_listed (struct plan *plan, struct turn *turn);

/* Make the proposals and give the platform the orders that are due.  LOADS
   (struct peer_load) has the load of the pools that this node owns. */
void plan_step (struct plan *plan, struct turn *turn,
                const struct requests *requests, const GArray *loads);

/* Return the state of VM in the platform's list; VM_STATE_GONE if absent. */
enum vm_state plan_vm_state (const struct plan *plan, const char *vm);

/* Return the set of VMs that were listed once and are not live in the last
   list; the caller unrefs it. */
GHashTable *plan_not_live (const struct plan *plan);

/* Return whether a VM list has been read. */
bool plan_has_list (const struct plan *plan);

/* Return the number of VMs that WAVE covers, and in *DONE how many of them
   have been maintained. */
uint32_t plan_wave_progress (const struct fleet *fleet,
                             const struct fleet_wave *wave, uint32_t *done);

/* Return a text for operators on why WAVE makes no progress now; "" if it
   does.  The caller frees it. */
char *plan_wave_pause_reason (const struct plan *plan,
                              const struct fleet *fleet,
                              const struct fleet_wave *wave);

/* Return the names of the VMs that have drained for WAVE for longer than its
   patience, as a NULL-terminated array that the caller frees with
   g_strfreev(). */
char **plan_wave_stragglers (const struct plan *plan,
                             const struct fleet *fleet,
                             const struct fleet_wave *wave, int64_t now_ms);

#endif
