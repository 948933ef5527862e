#ifndef PLACE_H
#define PLACE_H

#include "fleet.h"
#include "message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The slot book: which VMs may take work, how many of each VM's slots are in
   use, and which VMs are set aside because they fail what they start. */

struct place;

struct place *place_new (uint64_t seed);
void place_destroy (struct place *place);

/* Take the VMs, pools and phases from FLEET. */
void place_sync (struct place *place, const struct fleet *fleet);

/* Note that the platform said VM is leaving (or is not any more). */
void place_set_leaving (struct place *place, const char *vm, bool leaving);

/* Return whether VM takes new work of POOL now. */
bool place_is_open (const struct place *place, const char *vm,
                    const char *pool);

/* Take a slot of POOL on any VM but AVOID ("" for none), if another has room:
   one of those with the most free slots.  A run that MAY_PROBE goes first to
   a VM that was set aside and is due to be tried again.  Return the VM's name,
   or NULL if there is no free slot.  The cost does not grow with the pool. */
const char *place_take (struct place *place, const char *pool,
                        const char *avoid, bool may_probe, int64_t now_ms);

/* Note that a slot of VM is in use, by word of another node. */
void place_hold (struct place *place, const char *vm);

/* Give a slot of VM back; the run on it ended with RESULT. */
void place_give (struct place *place, const char *vm, enum run_result result,
                 int64_t now_ms);

/* Return how many slots of VM are in use. */
uint32_t place_used (const struct place *place, const char *vm);

/* Count the slots of POOL on VMs open for work, and in *USED those in use. */
uint32_t place_slots (const struct place *place, const char *pool,
                      uint32_t *used);

/* Return whether VM is set aside for failing. */
bool place_is_ejected (const struct place *place, const char *vm,
                       int64_t now_ms);

#endif
