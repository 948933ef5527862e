#ifndef PARTS_H
#define PARTS_H

#include "snapshot.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A snapshot cut into parts, and put together again from parts that arrive in
   any order, twice, or not at all. */

/* Bytes of one part. */
#define PART_BYTES (192 * 1024)

/* One part of the snapshot of a fleet at OFFSET. */
struct part
{
  uint64_t offset; /* up to which the fleet has folded the log */
  struct digest digest;
  uint32_t index;
  uint32_t count;
  GBytes *data;
};

struct parts;

/* Begin to put together the snapshot that PART belongs to; NULL if its count
   can't be right. */
struct parts *parts_new (const struct part *part);
void parts_destroy (struct parts *parts);

/* Return whether PART belongs to this snapshot. */
bool parts_match (const struct parts *parts, const struct part *part);

/* Take in PART, which belongs here.  Return whether the snapshot is whole. */
bool parts_add (struct parts *parts, const struct part *part);

/* Return the index of the first part that is missing. */
uint32_t parts_missing (const struct parts *parts);

/* Return the offset of the snapshot, and the bytes it has so far. */
uint64_t parts_offset (const struct parts *parts);
uint64_t parts_bytes (const struct parts *parts);

/* Return the fleet of a whole snapshot, which the caller destroys; NULL if it
   is corrupt. */
struct fleet *parts_restore (const struct parts *parts);

/* Return how many parts a snapshot of SIZE bytes is cut into. */
uint32_t parts_count (uint64_t size);

/* Return part INDEX of SNAPSHOT, which the caller unrefs. */
GBytes *parts_cut (GBytes *snapshot, uint32_t index);

#endif
