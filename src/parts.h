#ifndef PARTS_H
#define PARTS_H

#include "snapshot.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Splits a snapshot into parts, and joins them again.  Parts may arrive in any
   order, more than once, or not at all. */

/* Size of every part but the last, which may be smaller. */
#define PART_MAX_BYTES (192 * 1024)

/* One part of the snapshot of a fleet at OFFSET. */
struct part
{
  uint64_t offset; /* last offset of the log that the snapshot includes */
  struct digest digest;
  uint32_t index;
  uint32_t count;
  GBytes *data;
};

struct parts;

/* Begin to join the snapshot that PART belongs to, without adding PART.  The
   caller destroys the result.  Return NULL if PART's count is 0 or too large
   for a snapshot. */
struct parts *parts_new (const struct part *part);
void parts_destroy (struct parts *parts);

/* Return whether PART belongs to this snapshot. */
bool parts_includes (const struct parts *parts, const struct part *part);

/* Add PART, which must belong to this snapshot.  Return whether all parts are
   there now. */
bool parts_add (struct parts *parts, const struct part *part);

/* Return the index of the first missing part; the count if none is. */
uint32_t parts_first_missing (const struct parts *parts);

/* Return the offset of the snapshot, and the bytes received so far. */
uint64_t parts_offset (const struct parts *parts);
uint64_t parts_bytes (const struct parts *parts);

/* Return the fleet that a complete snapshot holds, which the caller destroys;
   NULL if the snapshot is corrupt. */
struct fleet *parts_restore (const struct parts *parts);

/* Return the number of parts of a snapshot of SIZE bytes. */
uint32_t parts_count_for_size (uint64_t size);

/* Return part INDEX of SNAPSHOT, which the caller unrefs. */
GBytes *parts_extract (GBytes *snapshot, uint32_t index);

#endif
