#ifndef FLEET_STATE_H
#define FLEET_STATE_H

#include "fleet.h"

/* What a fleet is made of, for the parts of the fold and for snapshots of it
   alone. */

/* From OFFSET on, until the next entry's, at least N nodes were joined. */
struct node_count
{
  uint64_t offset;
  uint32_t n;
};

struct fleet
{
  uint64_t offset;
  int64_t time_ms;
  struct config *config;
  uint64_t config_version;
  GPtrArray *vms;
  GHashTable *vms_by_name; /* borrows from vms */
  GHashTable *claims;      /* struct key_id * inside its claim -> claim */
  GHashTable *expiries;    /* bucket number -> GArray of struct key_id */
  int64_t next_bucket;     /* the first not yet swept; 0 before any */
  uint64_t forgotten;      /* highest offset of a claim that was forgotten */
  GPtrArray *waves;
  GPtrArray *nodes;
  GArray *node_counts; /* struct node_count, both members rising */
};

/* Add CLAIM, which the fleet owns from now on, in place of any earlier one of
   its key. */
void fleet_put_claim (struct fleet *fleet, struct fleet_claim *claim);

/* Add VM, which the fleet owns from now on. */
void fleet_put_vm (struct fleet *fleet, struct fleet_vm *vm);

/* Parts of the fold.  Each takes a record of its kind at OFFSET. */
enum verdict fleet_fold_claim (struct fleet *fleet,
                               const struct record *record, uint64_t offset);
enum verdict fleet_fold_outcome (struct fleet *fleet,
                                 const struct record *record, uint64_t offset);
enum verdict fleet_fold_join (struct fleet *fleet, const struct record *record,
                              uint64_t offset);
enum verdict fleet_fold_leave (struct fleet *fleet,
                               const struct record *record, uint64_t offset);

/* Forget the keys whose time is over. */
void fleet_sweep_keys (struct fleet *fleet);

#endif
