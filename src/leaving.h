#ifndef LEAVING_H
#define LEAVING_H

#include "turn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Which VMs must get no new work because the platform's VM list has them as
   leaving, rebooting or gone.  Each node has a list of its own and gets those
   of the others in heartbeats, with their ages.  A VM is in the set if any
   fresh list has it.  Lists that are not fresh count only while no node has a
   fresh one, so that a node that can no longer read the platform's list
   neither keeps nor spreads outdated entries. */

/* Maximum age of a fresh list. */
#define LEAVING_MAX_LIST_AGE_MS 3000

struct leaving;

struct leaving *leaving_new (void);
void leaving_destroy (struct leaving *leaving);

/* Replace this node's own list by one requested at ASKED_MS.  NAMES is the set
   (of char *, copied) of VMs that it has as leaving, rebooting or gone. */
void leaving_set_own (struct leaving *leaving, GHashTable *names,
                      int64_t asked_ms);

/* Return the age of this node's own list, or -1 if it has none. */
int64_t leaving_list_age_ms (const struct leaving *leaving, int64_t now_ms);

/* Return the VMs of this node's own list for a heartbeat, terminated by NULL.
   The caller frees them with g_strfreev. */
char **leaving_own_names (const struct leaving *leaving);

/* Compute the set anew from this node's own list and those that MEMBERS have
   sent.  Return whether it changed. */
bool leaving_update (struct leaving *leaving, const struct members *members,
                     int64_t now_ms);

/* Return the names (char *) of the VMs that must get no new work, as of the
   last update.  LEAVING owns the set; the next update replaces it. */
GHashTable *leaving_names (const struct leaving *leaving);

#endif
