#ifndef LISTING_H
#define LISTING_H

#include "turn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Which node is to read the platform's VM list, and which changes it sends to
   the others.  The list is long, so the nodes read it one at a time in the
   order of their names, and each sends the changes to all.  A node that gets
   no notice of a read in time reads the list itself. */

/* Time from a read of the list to the next one by some node. */
#define LISTING_INTERVAL_MS 1500

struct listing;

struct listing *listing_new (void);
void listing_destroy (struct listing *listing);

/* Return whether this node is to read the list now.  Having returned true, it
   returns false until listing_publish_changes is called or the read has timed
   out. */
bool listing_is_due (struct listing *listing, const struct turn *turn);

/* Note at NOW_MS that NODE has read the list. */
void listing_note_read (struct listing *listing, const char *node,
                        int64_t now_ms);

/* Take the list VMS (struct listed_vm) that this node has read, and send all
   other nodes the changes against the states that this node knew before. */
void listing_publish_changes (struct listing *listing, struct turn *turn,
                              const GArray *vms);

/* Store CHANGES, which another node has sent. */
void listing_note_changes (struct listing *listing,
                           const struct peer_vm_news *changes);

#endif
