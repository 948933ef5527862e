#ifndef VM_TRACKER_H
#define VM_TRACKER_H

#include "message.h"
#include "permission.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What this node knows of each VM beyond the log: its entry in the platform's
   VM list, and what this node's planner has proposed for it or ordered from
   the platform.  It is local to the node and not needed after a restart. */

struct tracked_vm
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool; /* by the platform */
  uint32_t slots;
  uint32_t running; /* tasks on it */
  enum vm_state state;
  int64_t state_since_ms; /* clock time from which STATE has been seen */
  int64_t idle_since_ms;  /* clock time from which RUNNING has been seen to be
                             0; -1 if it is not 0 */
  bool listed;            /* whether it is in the last list */

  /* The VM's last change in the log that the planner has seen. */
  uint64_t changed_at_offset; /* its offset */
  int64_t change_seen_ms;     /* clock time at which it was seen first */

  /* The last record proposed for the VM. */
  uint64_t proposed_at_offset; /* offset of the VM's last change then */
  int64_t proposed_ms;         /* clock time; 0 for never */

  /* The last order about the VM to the platform. */
  uint64_t ordered_at_offset; /* offset of the VM's last change then */
  int64_t ordered_ms;         /* clock time */
  bool was_leaving;           /* whether the VM was leaving then */
  bool seen_rebooting;        /* whether it was seen rebooting or gone since */

  struct revocation revocation; /* of the permission to start work on it */
};

struct vm_tracker;

struct vm_tracker *vm_tracker_new (void);
void vm_tracker_destroy (struct vm_tracker *vm_tracker);

/* Store the platform's VM list VMS (struct listed_vm), read at NOW_MS.  Known
   VMs that it lacks become gone. */
void vm_tracker_update_list (struct vm_tracker *vm_tracker, const GArray *vms,
                             int64_t now_ms);

/* Store the STATE of VM and the number of tasks RUNNING on it, as reported by
   another node that has read the list.  A VM not known here is ignored. */
void vm_tracker_note_vm (struct vm_tracker *vm_tracker, const char *vm,
                         enum vm_state state, uint32_t running,
                         int64_t now_ms);

/* Return whether this node has read a list. */
bool vm_tracker_has_list (const struct vm_tracker *vm_tracker);

/* Return what is known of VM, or NULL if it was never in a list. */
struct tracked_vm *vm_tracker_find (const struct vm_tracker *vm_tracker,
                                    const char *vm);

/* Return all VMs as struct tracked_vm *.  The caller frees the list, but not
   the elements. */
GList *vm_tracker_all (const struct vm_tracker *vm_tracker);

/* Return the set of the names (char *) of the known VMs that are not live now.
   The caller unrefs it. */
GHashTable *vm_tracker_not_live (const struct vm_tracker *vm_tracker);

#endif
