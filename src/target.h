#ifndef TARGET_H
#define TARGET_H

#include "fleet.h"

#include <stdbool.h>
#include <stdint.h>

/* What a class's target asks of its pool, in VMs and slots.  Pure: the same
   fleet gives the same figures on every node. */

struct target_room
{
  uint32_t vms;          /* in the pool, not on their way out of it */
  uint32_t vms_out;      /* of these, in no state to serve, for any cause */
  uint32_t vms_out_most; /* that the budget allows */
  uint32_t slots;        /* on VMs in service */
  uint32_t slots_lost;   /* by the worst failure that the target names */
  const char *domain;    /* which failure that is; "" for none */
};

/* Weigh class K of the configuration in force.  If WITHOUT is not NULL, as if
   that VM were out of service. */
struct target_room target_weigh (const struct fleet *fleet,
                                 const struct config_class *k,
                                 const char *without);

/* Return the slots left in service after the worst failure. */
uint32_t target_slots_after_failure (const struct target_room *room);

/* Return whether class K's budget holds with VM WITHOUT (or NULL) out. */
bool target_budget_holds (const struct target_room *room);

/* What taking a VM out of service would break. */
enum target_refusal
{
  TARGET_ALLOWS,
  TARGET_BUDGET,  /* more VMs would be out than a class allows */
  TARGET_FAILURE, /* the worst failure would then leave no slot */
  TARGET_LOAD     /* the worst failure would then leave too few for the load */
};

/* Return whether every class of VM's pool allows that VM goes out of service
   while NEEDED_SLOTS slots carry the load, and in *K the class that does not.
   A pool that could not meet its target with all its VMs in service is not
   held against the VM. */
enum target_refusal target_allows_out (const struct fleet *fleet,
                                       const struct fleet_vm *vm,
                                       uint32_t needed_slots,
                                       const struct config_class **k);

/* Whether a target could be met by some choice of VMs for its pool. */
enum target_reach
{
  TARGET_REACHABLE,  /* as the pool is now */
  TARGET_BY_MOVING,  /* by other VMs of the fleet, not by the pool's own */
  TARGET_UNREACHABLE /* by no arrangement of the fleet's VMs */
};

/* Return whether class K of CONFIG can survive what it names with the VMs of
   FLEET, and in *NEAREST the largest failure that it can survive. */
enum target_reach target_reach (const struct fleet *fleet,
                                const struct config *config,
                                const struct config_class *k,
                                enum survive *nearest);

/* Return the smallest max_unavailable_percent with which one VM of K's pool
   can be maintained at a time, or 0 if K's own is enough. */
uint32_t target_percent_needed (const struct fleet *fleet,
                                const struct config *config,
                                const struct config_class *k);

#endif
