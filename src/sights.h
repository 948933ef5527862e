#ifndef SIGHTS_H
#define SIGHTS_H

#include "message.h"
#include "permission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What the platform's VM list has shown of each VM, and what this node's
   planner has proposed and ordered about it.  Kept per node; nothing of it is
   agreed, and nothing of it is needed after a restart. */

struct sight
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool; /* where the platform has it */
  uint32_t slots;
  uint32_t running;
  enum vm_state state;
  int64_t state_since_ms;
  int64_t idle_since_ms; /* clock time since which RUNNING was 0; -1 busy */
  bool listed;           /* in the last list */

  uint64_t changed;   /* the VM's last change in the log that was seen */
  int64_t changed_ms; /* clock time at which it was seen first */

  uint64_t proposed_at; /* the VM's last change when last proposed on */
  int64_t proposed_ms;

  uint64_t acted_at; /* the VM's last change when the platform was told */
  int64_t acted_ms;
  bool was_leaving;    /* when the platform was told */
  bool seen_rebooting; /* since the platform was told */

  struct closing closing; /* of its drain */
};

struct sights;

struct sights *sights_new (void);
void sights_destroy (struct sights *sights);

/* Take in the platform's VM list. */
void sights_list (struct sights *sights, const GArray *vms, int64_t now_ms);

/* Take in the STATE of VM and the tasks RUNNING on it, by another node's word
   of the list. */
void sights_note (struct sights *sights, const char *vm, enum vm_state state,
                  uint32_t running, int64_t now_ms);

/* Return whether a list has been read. */
bool sights_has_list (const struct sights *sights);

/* Return what was seen of VM, or NULL. */
struct sight *sights_find (const struct sights *sights, const char *vm);

/* Return all as struct sight *; the caller frees the list alone. */
GList *sights_all (const struct sights *sights);

/* Return the set of VMs, once seen, that the last list does not have as live;
   the caller unrefs it. */
GHashTable *sights_not_live (const struct sights *sights);

#endif
