#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include "fleet.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Serializes the state of a fleet for checkpoints in the log and for transfers
   between nodes.  Two fleets in the same state have the same digest. */

/* Maximum size of a fleet's state before compression. */
#define SNAPSHOT_MAX_BYTES (256U * 1024 * 1024)

struct digest
{
  uint64_t high;
  uint64_t low;
};

/* Return the compressed state of FLEET, which the caller unrefs, and set
 *DIGEST to the digest of the uncompressed state. */
GBytes *snapshot_write (const struct fleet *fleet, struct digest *digest);

/* Return the fleet that BYTES hold, which the caller destroys; NULL if BYTES
   are corrupt or the digest of their state is not DIGEST. */
struct fleet *snapshot_read (GBytes *bytes, struct digest digest);

/* Return the digest of FLEET's state. */
struct digest snapshot_digest (const struct fleet *fleet);

bool digest_equal (struct digest a, struct digest b);

#endif
