#ifndef ADVICE_H
#define ADVICE_H

#include "fleet.h"

/* Which targets of a configuration the fleet's VMs can't meet, with the
   nearest target that they can: told to the operator who publishes it. */

/* Return a JSON array, one object for each target of CONFIG that the VMs of
   FLEET do not meet as they stand; the caller frees it.  A pool without VMs
   is left out: nothing is known of it yet. */
char *advice_render (const struct fleet *fleet, const struct config *config);

#endif
