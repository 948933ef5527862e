#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include "fleet.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A fleet as bytes: what checkpoints in the log and transfers between nodes
   carry.  Two fleets in the same state give the same digest. */

/* The most that the state of a fleet may take, uncompressed. */
#define SNAPSHOT_MAX_BYTES (256U * 1024 * 1024)

struct digest
{
  uint64_t high;
  uint64_t low;
};

/* Return the state of FLEET, compressed, and its digest in *DIGEST.  The
   caller unrefs it. */
GBytes *snapshot_write (const struct fleet *fleet, struct digest *digest);

/* Return the fleet that BYTES hold, which the caller destroys; NULL if they
   are corrupt or their state has another digest than DIGEST. */
struct fleet *snapshot_read (GBytes *bytes, struct digest digest);

/* Return the digest of FLEET's state. */
struct digest snapshot_digest (const struct fleet *fleet);

bool digest_equal (struct digest a, struct digest b);

#endif
