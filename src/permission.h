#ifndef PERMISSION_H
#define PERMISSION_H

#include "turn.h"

#include <stdbool.h>
#include <stdint.h>

/* Whether a node may start work on VMs, and when no node but those that have
   read an offset may.  docs/FLEET.md has the argument for both halves.

   A node's permission lasts PERMISSION_MS from a moment at which it knows
   that its view was current enough: either it asked the log and had folded
   all that the log then held, or a majority of the joined nodes, itself
   among them, had read no further than itself.  The moment is always that of
   its own question, by its own clock, so a late answer grants nothing.

   A node that has not joined, as it began while the log was out, needs a
   majority without itself.

   The other half: once so many nodes have read an offset that the rest are
   no majority, the permission of each of the rest, joined or not, is over
   PERMISSION_MS later, unless it reads the offset too. */

#define PERMISSION_MS 2500

/* What is waited for in addition, for clocks that run at other rates. */
#define PERMISSION_MARGIN_MS 500

/* Return the clock time up to which this node may start work, given that it
   last asked the log for its head at FRESH_MS (-1 for never) and had read all
   of it; -1 if it may not. */
int64_t permission_until (const struct turn *turn, int64_t fresh_ms);

/* Return whether so many joined nodes have read up to OFFSET that the rest
   are no majority. */
bool permission_read_by_most (const struct turn *turn, uint64_t offset);

/* For how long a change has been read, by the clock of the node that waits
   for it.  Start with the offset 0. */
struct closing
{
  uint64_t offset;
  int64_t read_by_most_ms; /* since when; -1 for not yet */
};

/* Return whether no node can start work any more against what the log said up
   to OFFSET: most have read that far, and the permission of the others, and
   what any had sent before, has lapsed since. */
bool permission_is_closed (const struct turn *turn, struct closing *closing,
                           uint64_t offset);

/* Return whether this node may start work of POOL on VM (NULL if the fleet
   has no such VM) now. */
bool permission_to_start (const struct turn *turn, const struct fleet_vm *vm,
                          const char *pool);

#endif
