#ifndef TARGET_H
#define TARGET_H

#include "fleet.h"

#include <stdbool.h>
#include <stdint.h>

/* The availability target of a class, compared with the VMs and slots of its
   pool.  The results depend on the fleet state alone, so every node with the
   same state gets the same figures. */

struct target_capacity
{
  uint32_t vms;             /* in the pool, in any phase */
  uint32_t vms_out;         /* of these, out of service for any cause */
  uint32_t vms_out_allowed; /* maximum of vms_out that the budget allows */
  uint32_t slots;           /* on VMs in service */
  uint32_t slots_lost;      /* in the worst failure of the size to survive */
  const char *worst_domain; /* VM, rack or zone of that failure; "" for none */
};

/* Assess the pool of class K of the configuration in force against K's target.
   If WITHOUT is not NULL, do so as if that VM were out of service. */
struct target_capacity target_assess (const struct fleet *fleet,
                                      const struct config_class *k,
                                      const char *without);

/* Return the number of slots left in service after the worst failure. */
uint32_t target_slots_after_failure (const struct target_capacity *capacity);

/* Return whether no more VMs are out of service than the budget allows.  False
   for a pool without VMs. */
bool target_budget_holds (const struct target_capacity *capacity);

/* Why a VM may not be taken out of service. */
enum target_refusal
{
  TARGET_ALLOWS,
  TARGET_BUDGET,  /* more VMs would be out than a class allows */
  TARGET_FAILURE, /* the worst failure would leave no slot */
  TARGET_LOAD     /* the worst failure would leave too few for the load */
};

/* Check whether the targets of all classes of VM's pool allow taking VM out of
   service while the load needs NEEDED_SLOTS slots.  If not, return the reason
   and, unless K is NULL, the class that refuses in *K.  A class does not
   refuse for TARGET_FAILURE or TARGET_LOAD if the pool would fall short even
   with all its VMs in service, as keeping VM would not help. */
enum target_refusal target_check_removal (const struct fleet *fleet,
                                          const struct fleet_vm *vm,
                                          uint32_t needed_slots,
                                          const struct config_class **k);

/* Whether the VMs of the fleet are spread over enough failure domains for a
   target. */
enum target_reach
{
  TARGET_REACHABLE,          /* with the pool's present VMs */
  TARGET_REACHABLE_BY_MOVES, /* after moving other VMs of the fleet to the pool
                              */
  TARGET_UNREACHABLE         /* not with any arrangement of the fleet's VMs */
};

/* Return whether class K of CONFIG can survive the failure that it names with
   the VMs of FLEET, and in *NEAREST the largest failure up to that size which
   it can survive. */
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
