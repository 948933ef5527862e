#ifndef PERMISSION_H
#define PERMISSION_H

#include "turn.h"

#include <stdbool.h>
#include <stdint.h>

/* Permission of a node to start work on VMs, and when the permissions of the
   nodes that have not read an offset are revoked.  docs/FLEET.md has the
   argument for both parts.

   A node's permission lasts PERMISSION_MS from a time at which it knows that
   its view of the log was current enough: either it asked the log for its head
   and had applied all records up to it, or a majority of the joined nodes,
   itself among them, had read no further than itself.  That time is always
   when the node sent its question, by its own clock, so a late answer grants
   nothing.

   A node that has not joined, because it started while the log was
   unreachable, needs a majority without itself.

   Revocation: once so many nodes have read an offset that the rest are no
   majority, the permission of each of the rest, joined or not, expires within
   PERMISSION_MS, unless it reads the offset too. */

/* Duration of a permission. */
#define PERMISSION_MS 2500

/* Added to PERMISSION_MS before a permission of another node is taken as
   expired, as the clocks of nodes run at different rates. */
#define PERMISSION_MARGIN_MS 500

/* Return the clock time until which this node may start work; -1 if it may
   not.  FRESH_MS is when it last asked the log for its head and then had read
   up to it; -1 for never. */
int64_t permission_until (const struct turn *turn, int64_t fresh_ms);

/* Return whether a quorum has read up to OFFSET: so many joined nodes that the
   rest are no majority by the membership that any of them knows. */
bool permission_read_by_quorum (const struct turn *turn, uint64_t offset);

/* Progress of a revocation, by the clock of the node that waits for it.
   Initialize with offset 0. */
struct revocation
{
  uint64_t offset;
  int64_t quorum_read_ms; /* since when a quorum has read OFFSET; -1 if none */
};

/* Return whether no node can start work any more on a view older than OFFSET:
   a quorum has read that far, and since then the permissions of the others
   have expired, as has anything that a node sent before.  Call it regularly
   with the same REVOCATION, which times the wait. */
bool permission_is_revoked (const struct turn *turn,
                            struct revocation *revocation, uint64_t offset);

/* Return whether this node may start work of POOL on VM now.  VM is NULL if
   the fleet has no such VM; then the answer is no. */
bool permission_may_start (const struct turn *turn, const struct fleet_vm *vm,
                           const char *pool);

#endif
