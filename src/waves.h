#ifndef WAVES_H
#define WAVES_H

#include "fleet.h"
#include "vm_tracker.h"

#include <stdint.h>

/* Maintenance waves: the choice of the next VM, the progress of a wave, and
   the reason if it makes none. */

/* Return the VM of POOL that WAVE drains next, or NULL if none may be drained
   now.  NEEDED_SLOTS slots must stay in service after the worst failure that a
   target names.  VMs are chosen failure domain by failure domain, so that
   those out of service at the same time share one: the failure of another
   domain then costs no more slots than before. */
const struct fleet_vm *waves_next_vm (const struct fleet *fleet,
                                      const struct vm_tracker *vm_tracker,
                                      const struct fleet_wave *wave,
                                      const char *pool, uint32_t needed_slots,
                                      int64_t now_ms);

/* Return the number of VMs that WAVE covers, and in *DONE how many of them
   have been maintained. */
uint32_t waves_progress (const struct fleet *fleet,
                         const struct fleet_wave *wave, uint32_t *done);

/* Return a text for operators on why WAVE drains no further VM now; "" if it
   does or is done.  The caller frees it. */
char *waves_pause_reason (const struct fleet *fleet,
                          const struct fleet_wave *wave);

/* Return the names of the VMs that have drained for WAVE for longer than its
   patience, as a NULL-terminated array that the caller frees with
   g_strfreev(). */
char **waves_stragglers (const struct fleet *fleet,
                         const struct vm_tracker *vm_tracker,
                         const struct fleet_wave *wave, int64_t now_ms);

#endif
