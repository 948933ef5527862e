#ifndef LEAVING_H
#define LEAVING_H

#include "turn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Which VMs must get no new work because the platform says that they are
   leaving, rebooting or gone.  A node reads the VM list itself and hears what
   the lists of the others say; each word has the age of the list behind it.
   One fresh list that says so is enough.  A list that is not fresh counts
   only while nobody has a fresh one, so that a node whose own list stopped
   long ago neither keeps nor spreads what is over. */

#define LEAVING_FRESH_MS 3000

struct leaving;

struct leaving *leaving_new (void);
void leaving_destroy (struct leaving *leaving);

/* Take in this node's own list, asked for at ASKED_MS: NAMES is the set of
   VMs that are in no state to take work. */
void leaving_list (struct leaving *leaving, GHashTable *names,
                   int64_t asked_ms);

/* Return the age of this node's own list, or -1 if it has none. */
int64_t leaving_list_age_ms (const struct leaving *leaving, int64_t now_ms);

/* Return what this node's own list says, as the word of a heartbeat; the
   caller frees it. */
char **leaving_own (const struct leaving *leaving);

/* Weigh the own list and the members' words anew.  Return whether the set
   changed. */
bool leaving_weigh (struct leaving *leaving, const struct members *members,
                    int64_t now_ms);

/* Return the set of VM names that must get no new work. */
GHashTable *leaving_names (const struct leaving *leaving);

#endif
