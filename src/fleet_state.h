#ifndef FLEET_STATE_H
#define FLEET_STATE_H

#include "fleet.h"

/* The internals of struct fleet, for the files that apply records and for
   snapshots.  Other modules use fleet.h. */

/* At every offset from OFFSET on, at least N nodes were joined. */
struct node_count
{
  uint64_t offset;
  uint32_t n;
};

struct fleet
{
  uint64_t offset; /* of the last entry applied or skipped */
  int64_t time_ms; /* latest log time of the records applied */
  struct config *config;
  uint64_t config_version;
  GPtrArray *vms;
  GHashTable *vms_by_name; /* name -> struct fleet_vm *, owned by VMS */
  GHashTable *claims;      /* struct key_id *, in the claim -> struct
                              fleet_claim * */
  GHashTable *expiries;    /* bucket number -> GArray of struct key_id */
  int64_t next_bucket;     /* first bucket not yet expired; 0 for none yet */
  uint64_t max_expired_claim_offset; /* highest offset of a claim removed on
                                        expiry */
  GPtrArray *waves;
  GPtrArray *nodes;
  GArray *node_counts; /* struct node_count, both members increasing */
};

/* Add CLAIM, which FLEET owns from now on.  It replaces an earlier claim of
   the same key. */
void fleet_put_claim (struct fleet *fleet, struct fleet_claim *claim);

/* Add VM, which FLEET owns from now on. */
void fleet_put_vm (struct fleet *fleet, struct fleet_vm *vm);

/* Apply RECORD of the kind in the function's name, which stands at OFFSET. */
enum verdict fleet_apply_claim (struct fleet *fleet,
                                const struct record *record, uint64_t offset);
enum verdict fleet_apply_outcome (struct fleet *fleet,
                                  const struct record *record,
                                  uint64_t offset);
enum verdict fleet_apply_join (struct fleet *fleet,
                               const struct record *record, uint64_t offset);
enum verdict fleet_apply_leave (struct fleet *fleet,
                                const struct record *record, uint64_t offset);

/* Remove the claims that have expired by the log time, in whole buckets. */
void fleet_expire_keys (struct fleet *fleet);

#endif
