#ifndef FLEET_H
#define FLEET_H

#include "config.h"
#include "record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The state of the fleet, built by applying the records of the control stream
   in offset order.  The result depends on the records alone: all nodes that
   have applied the same offset hold the same state, and give each of two
   conflicting records the same verdict. */

/* The result of applying a record.  Only an accepted one changes the state,
   apart from the offset, the log time and the claims that expire by it. */
enum verdict
{
  VERDICT_ACCEPTED,
  VERDICT_REPEATED, /* the record is already in effect */
  VERDICT_CONFLICT, /* its condition no longer holds */
  VERDICT_ILLEGAL,  /* it is malformed, or a change that is never allowed */
  VERDICT_BUDGET,   /* too few VMs would stay in service or in the pool */
  VERDICT_UNKNOWN,  /* it names something that does not exist */
  VERDICT_COUNT
};

/* A VM, by the records of the log. */
struct fleet_vm
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool;
  char *home_pool; /* the pool that it was added to */
  char *next_pool; /* the pool that it moves to once released; "" for none */
  char *purpose;   /* of its last step: the name of a wave, or a reason */
  uint32_t slots;
  enum vm_phase phase;
  uint64_t changed_at_offset;    /* offset of its last change */
  int64_t changed_at_ms;         /* log time of its last change */
  uint64_t maintained_at_offset; /* offset of its last return from a reboot */
};

/* The claim of an idempotency key by a request, and the outcome. */
struct fleet_claim
{
  struct key_id key;
  uint64_t body_hash;
  uint64_t incarnation;       /* of the claiming node */
  uint64_t request;           /* the claiming node's number of the request */
  uint64_t claimed_at_offset; /* offset of its record */
  uint64_t changed_at_offset; /* offset of its last change */
  int64_t remember_ms;        /* retention time after its last change */
  int64_t expires_ms;         /* log time */
  const char *node;           /* the claiming node; an interned string */
  bool has_outcome;           /* whether OUTCOME is known */
  enum outcome outcome;
  enum reason reason;
  uint32_t status;
};

/* A maintenance wave: an order to reboot every VM of a pool once. */
struct fleet_wave
{
  char *name;
  char *pool;                  /* "" for all pools */
  int64_t finish_within_ms;    /* after it was accepted */
  int64_t patience_ms;         /* allowed for work in progress on a VM */
  uint64_t accepted_at_offset; /* offset of its record */
  int64_t accepted_at_ms;      /* log time */
};

/* A node that has joined and not left. */
struct fleet_node
{
  char *node;
  char *zone;
  uint64_t incarnation;
  uint64_t joined_at_offset; /* offset of its record */
};

struct fleet;

struct fleet *fleet_new (void);
void fleet_destroy (struct fleet *fleet);

/* Apply RECORD, which stands at OFFSET of the log and was written at log time
   AT_MS.  Each offset must be larger than the one applied before. */
enum verdict fleet_apply (struct fleet *fleet, const struct record *record,
                          uint64_t offset, int64_t at_ms);

/* Note that the entry at OFFSET was read and holds no valid record. */
void fleet_skip (struct fleet *fleet, uint64_t offset);

/* Return the offset of the last entry applied or skipped; 0 for none. */
uint64_t fleet_offset (const struct fleet *fleet);

/* Return the latest log time of the records applied. */
int64_t fleet_time_ms (const struct fleet *fleet);

/* Return the configuration in force, which FLEET owns, or NULL. */
const struct config *fleet_config (const struct fleet *fleet);

/* Return the offset of the configuration in force; 0 for none. */
uint64_t fleet_config_version (const struct fleet *fleet);

/* Return the VM named VM, or NULL. */
const struct fleet_vm *fleet_find_vm (const struct fleet *fleet,
                                      const char *vm);

/* Return all VMs as struct fleet_vm *, in the order they were added. */
const GPtrArray *fleet_vms (const struct fleet *fleet);

/* Return the claim of KEY, or NULL if there is none or it has expired. */
const struct fleet_claim *fleet_find_claim (const struct fleet *fleet,
                                            struct key_id key);

/* Return how many claims are held; some may have expired. */
uint32_t fleet_claim_count (const struct fleet *fleet);

/* Return the maintenance waves in force as struct fleet_wave *, oldest
   first. */
const GPtrArray *fleet_waves (const struct fleet *fleet);

/* Return the nodes that have joined and not left as struct fleet_node *. */
const GPtrArray *fleet_nodes (const struct fleet *fleet);

/* Return whether NODE in INCARNATION has joined and not left. */
bool fleet_has_joined (const struct fleet *fleet, const char *node,
                       uint64_t incarnation);

/* Return a number such that at every offset from SINCE on, at least so many
   nodes were joined. */
uint32_t fleet_min_nodes_since (const struct fleet *fleet, uint64_t since);

/* Return the number of VMs in POOL.  If OUT is not NULL, set *OUT to the
   number of them that are not in phase VM_SERVING. */
uint32_t fleet_pool_size (const struct fleet *fleet, const char *pool,
                          uint32_t *out);

/* Return how many VMs of POOL may be out of service at once, by the smallest
   max_unavailable_percent of the classes that it serves; 0 without a
   configuration. */
uint32_t fleet_pool_budget (const struct fleet *fleet, const char *pool);

/* Return the number of VMs in POOL that are not moving to another pool. */
uint32_t fleet_pool_staying (const struct fleet *fleet, const char *pool);

const char *verdict_name (enum verdict verdict);

#endif
