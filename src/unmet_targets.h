#ifndef UNMET_TARGETS_H
#define UNMET_TARGETS_H

#include "fleet.h"

/* Reports the targets of a configuration that the fleet's VMs do not meet,
   each with the nearest target that they can meet, to the operator who
   publishes the configuration. */

/* Return a JSON array with one object for each target of CONFIG that the VMs
   of FLEET in their present pools do not meet; the caller frees it.  Classes
   whose pool has no VMs are left out: nothing is known of the pool yet. */
char *unmet_targets_render (const struct fleet *fleet,
                            const struct config *config);

#endif
