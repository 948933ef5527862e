#ifndef SLOT_TABLE_H
#define SLOT_TABLE_H

#include "fleet.h"
#include "message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The slot table of the VMs: which VMs accept work, how many slots of each
   are in use, and which VMs are ejected.  A VM that fails several runs in a
   row is ejected: it gets only occasional probes until one succeeds. */

struct slot_table;

/* Create an empty table; SEED seeds the choice among equally free VMs. */
struct slot_table *slot_table_new (uint64_t seed);
void slot_table_destroy (struct slot_table *table);

/* Update the VMs, their pools, slots and phases from FLEET. */
void slot_table_sync (struct slot_table *table, const struct fleet *fleet);

/* Set whether the platform lists VM as LEAVING; then it accepts no work. */
void slot_table_set_leaving (struct slot_table *table, const char *vm,
                             bool leaving);

/* Return whether VM is in service in POOL, so accepts work of it. */
bool slot_table_accepts_work (const struct slot_table *table, const char *vm,
                              const char *pool);

/* Acquire a slot of POOL on one of the VMs with the most free slots, chosen at
   random; on AVOID ("" for none) only if no other VM has one.  A run that
   MAY_PROBE goes first to a failing VM that is due for a probe.  Return the
   VM's name, owned by TABLE, or NULL if there is no free slot.  The cost does
   not grow with the number of VMs in the pool. */
const char *slot_table_acquire (struct slot_table *table, const char *pool,
                                const char *avoid, bool may_probe,
                                int64_t now_ms);

/* Count a slot of VM as in use, which another node says it holds. */
void slot_table_count_used (struct slot_table *table, const char *vm);

/* Release a slot of VM, on which the run ended with RESULT.  Failures count
   towards the ejection of VM, and a success ends it. */
void slot_table_release (struct slot_table *table, const char *vm,
                         enum run_result result, int64_t now_ms);

/* Return how many slots of VM are in use. */
uint32_t slot_table_vm_used (const struct slot_table *table, const char *vm);

/* Return the number of slots of POOL on VMs in service, and in *USED (unless
   USED is NULL) how many of them are in use. */
uint32_t slot_table_pool_slots (const struct slot_table *table,
                                const char *pool, uint32_t *used);

/* Return whether VM is ejected. */
bool slot_table_is_ejected (const struct slot_table *table, const char *vm,
                            int64_t now_ms);

#endif
