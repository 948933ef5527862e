#ifndef FLEET_H
#define FLEET_H

#include "config.h"
#include "record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The state of the fleet: a pure fold of the control stream in offset order.
   Every node that has folded the same offset holds the same state, so racing
   writers get one verdict everywhere. */

/* What the fold said of a record. */
enum verdict
{
  VERDICT_ACCEPTED,
  VERDICT_REPEATED, /* already in effect; nothing changed */
  VERDICT_CONFLICT, /* its condition no longer holds */
  VERDICT_ILLEGAL,  /* such a step is never allowed */
  VERDICT_BUDGET,   /* a pool's availability budget forbids it */
  VERDICT_UNKNOWN,  /* it names something that is not there */
  VERDICT_COUNT
};

/* A VM as the log has it. */
struct fleet_vm
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool;
  char *home_pool; /* where it was added */
  char *next_pool; /* where it goes once released; "" if it stays */
  char *purpose;   /* of its last step */
  uint32_t slots;
  enum vm_phase phase;
  uint64_t changed;      /* offset of its last change */
  int64_t changed_at_ms; /* log time of its last change */
  uint64_t maintained;   /* offset of its last return from a reboot */
};

/* What is remembered of an idempotency key. */
struct fleet_claim
{
  struct key_id key;
  uint64_t body_hash;
  uint64_t incarnation; /* of the claiming node */
  uint64_t request;
  uint64_t claimed;    /* offset of the claim */
  uint64_t changed;    /* offset of its last change */
  int64_t remember_ms; /* from its last change */
  int64_t expires_ms;  /* log time */
  const char *node;    /* interned */
  bool settled;        /* the outcome below is known */
  enum outcome outcome;
  enum reason reason;
  uint32_t status;
};

/* A maintenance intention. */
struct fleet_wave
{
  char *name;
  char *pool; /* "" for all */
  int64_t finish_within_ms;
  int64_t patience_ms;
  uint64_t accepted;      /* offset */
  int64_t accepted_at_ms; /* log time */
};

/* A node that has joined and not left. */
struct fleet_node
{
  char *node;
  char *zone;
  uint64_t incarnation;
  uint64_t joined; /* offset */
};

struct fleet;

struct fleet *fleet_new (void);
void fleet_destroy (struct fleet *fleet);

/* Fold RECORD, which stands at OFFSET and was written at log time AT_MS.
   Offsets are folded in order, each once. */
enum verdict fleet_fold (struct fleet *fleet, const struct record *record,
                         uint64_t offset, int64_t at_ms);

/* Note that OFFSET was read and held nothing to fold. */
void fleet_skip (struct fleet *fleet, uint64_t offset);

/* Return the offset up to which the log has been folded; 0 for none. */
uint64_t fleet_offset (const struct fleet *fleet);

/* Return the log time of the last record folded. */
int64_t fleet_time_ms (const struct fleet *fleet);

/* Return the configuration in force, or NULL. */
const struct config *fleet_config (const struct fleet *fleet);

/* Return the offset of the configuration in force; 0 for none. */
uint64_t fleet_config_version (const struct fleet *fleet);

/* Return the VM named VM, or NULL. */
const struct fleet_vm *fleet_find_vm (const struct fleet *fleet,
                                      const char *vm);

/* Return all VMs as struct fleet_vm *, in the order they were added. */
const GPtrArray *fleet_vms (const struct fleet *fleet);

/* Return what is remembered of KEY, or NULL. */
const struct fleet_claim *fleet_find_claim (const struct fleet *fleet,
                                            struct key_id key);
uint32_t fleet_claim_count (const struct fleet *fleet);

/* Return the intentions in force as struct fleet_wave *. */
const GPtrArray *fleet_waves (const struct fleet *fleet);

/* Return the nodes that have joined as struct fleet_node *. */
const GPtrArray *fleet_nodes (const struct fleet *fleet);

/* Return whether NODE in INCARNATION has joined. */
bool fleet_has_joined (const struct fleet *fleet, const char *node,
                       uint64_t incarnation);

/* Return a lower bound on how many nodes were joined at each offset from
   SINCE on. */
uint32_t fleet_min_nodes_since (const struct fleet *fleet, uint64_t since);

/* Return how many VMs of POOL there are, and in *OUT how many of them are in
   no state to serve. */
uint32_t fleet_pool_size (const struct fleet *fleet, const char *pool,
                          uint32_t *out);

/* Return how many VMs of POOL may be out of service at once by the strictest
   class that it serves. */
uint32_t fleet_pool_budget (const struct fleet *fleet, const char *pool);

/* Return how many VMs POOL keeps if those on their way out of it go. */
uint32_t fleet_pool_staying (const struct fleet *fleet, const char *pool);

const char *verdict_name (enum verdict verdict);

#endif
