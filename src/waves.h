#ifndef WAVES_H
#define WAVES_H

#include "fleet.h"
#include "sights.h"

#include <stdint.h>

/* Maintenance waves: which VM goes next, how far a wave is, and why it does
   not go on. */

/* Return the VM of POOL that WAVE takes next, or NULL if none may go now.
   NEEDED_SLOTS must stay in service after the worst failure that a target
   names.  VMs go failure domain by failure domain, so that those out at once
   share one: the failure of another domain then costs no more than before. */
const struct fleet_vm *waves_choose (const struct fleet *fleet,
                                     const struct sights *sights,
                                     const struct fleet_wave *wave,
                                     const char *pool, uint32_t needed_slots,
                                     int64_t now_ms);

/* Count the VMs that WAVE covers, and in *DONE those already maintained. */
uint32_t waves_progress (const struct fleet *fleet,
                         const struct fleet_wave *wave, uint32_t *done);

/* Return why WAVE takes no further VM now, in plain words; "" if it does or is
   done.  The caller frees it. */
char *waves_pause (const struct fleet *fleet, const struct fleet_wave *wave);

/* Return the VMs that have drained for WAVE longer than its patience, by
   name; the caller frees it. */
char **waves_stragglers (const struct fleet *fleet,
                         const struct sights *sights,
                         const struct fleet_wave *wave, int64_t now_ms);

#endif
