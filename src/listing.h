#ifndef LISTING_H
#define LISTING_H

#include "turn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Whose turn it is to read the platform's VM list.  The list is long, so the
   nodes read it in turns, one at a time, and each tells the others what has
   changed.  A node that hears of no read reads it itself. */

/* The list is read by some node this long after the last read. */
#define LISTING_EVERY_MS 1500

struct listing;

struct listing *listing_new (void);
void listing_destroy (struct listing *listing);

/* Return whether this node is to read the list now; if so, the next call
   says no until a read was heard of or has taken too long. */
bool listing_is_due (struct listing *listing, const struct turn *turn);

/* Note that NODE has read the list at NOW_MS. */
void listing_note_read (struct listing *listing, const char *node,
                        int64_t now_ms);

/* Take in the list VMS that this node has read, and tell the others what has
   changed since the list that this node knew. */
void listing_tell (struct listing *listing, struct turn *turn,
                   const GArray *vms);

/* Take in what another node has told. */
void listing_hear (struct listing *listing, const struct peer_vm_news *news);

#endif
