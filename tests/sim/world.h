#ifndef WORLD_H
#define WORLD_H

#include "core.h"

#include <stdbool.h>
#include <stdint.h>

/* A small world for the pure core: several nodes, the platform's log, VM list
   and VMs, the links between nodes, callers and operators, all on one virtual
   clock.  A seed decides every delay, loss and fault, so a run that fails can
   be run again.  After each step the promises are judged by what the VMs
   started and by the log, never by what a node says of itself. */

/* What may go wrong.  A run draws from the set it is given. */
enum world_fault
{
  FAULT_KILL,           /* a node ends at once and comes back empty */
  FAULT_KILL_ALL,       /* all nodes at once */
  FAULT_FREEZE,         /* a node stands still and goes on later */
  FAULT_STOP,           /* a node is told to stop, and comes back */
  FAULT_EDGE_DELAY,     /* what the core says reaches its edge late */
  FAULT_LOG_DOWN,       /* the log answers nobody */
  FAULT_LOG_CUT,        /* one node can't reach the platform */
  FAULT_REPLY_LOST,     /* appends are written, their replies are lost */
  FAULT_WRITE_LOST,     /* appends are lost on the way */
  FAULT_COPY_DELAYED,   /* an append is written seconds later as well */
  FAULT_PEER_CUT,       /* one node hears no peer, and none hears it */
  FAULT_PEER_DROP,      /* some messages between nodes are lost */
  FAULT_PEER_DELAY,     /* messages between nodes are late */
  FAULT_CALLERS_RACE,   /* callers send one key to two nodes at once */
  FAULT_OPERATORS_RACE, /* two operators publish over the same version */
  FAULT_MAINTENANCE,    /* an operator orders maintenance of a pool */
  FAULT_VM_LEAVES,      /* the platform says that a VM is leaving */
  FAULT_VM_FAILS,       /* a VM is gone, and returns */
  FAULT_RACK_FAILS,     /* two VMs of one pool are gone, and return */
  FAULT_WORKER_ERRORS,  /* a VM fails all it starts */
  WORLD_FAULT_COUNT
};

/* A guard of the product that is switched off to show that its proof can
   fail. */
enum world_mutation
{
  MUTATION_NONE,
  MUTATION_NO_CLAIM,        /* non-idempotent work runs without a claim */
  MUTATION_EVERY_CLAIM,     /* every claim wins, not only the first */
  MUTATION_LIE,             /* outcomes that are unknown are told as not run */
  MUTATION_DEAF_TO_LEAVING, /* nobody hears that a VM is leaving */
  MUTATION_NO_BUDGET,       /* the pools' budgets are not known */
  MUTATION_NO_VERSION,      /* a publication replaces whatever is in force */
  MUTATION_LATE_SENDS,      /* edges send however late the order comes, and
                               their nodes do not say that a run is under way */
  MUTATION_NO_PAUSE,        /* cores see no gap while their node is frozen, and
                               their permission does not lapse */
  MUTATION_NO_ACK,          /* all are taken to have read the log to its end,
                               and no permission lapses */
  WORLD_MUTATION_COUNT
};

struct world_options
{
  uint64_t seed;
  uint32_t faults; /* bits by enum world_fault */
  enum world_mutation mutation;
  int n_nodes;
  int64_t faults_for_ms; /* then all heals, and the world settles */
  bool trace;            /* print each step */
};

/* What happened in a run. */
struct world_counts
{
  uint64_t steps;
  uint64_t faults;
  uint64_t requests;
  uint64_t attempts;
  uint64_t starts;
  uint64_t answered;
  uint64_t not_run;
  uint64_t failed;
  uint64_t unknown;
  uint64_t drains;
  uint64_t publications;
};

struct world;

struct world *world_new (const struct world_options *options);
void world_destroy (struct world *world);

/* Run the whole schedule of the seed.  Return whether every promise held. */
bool world_run (struct world *world);

/* Return the first promise that did not hold, in words, or NULL. */
const char *world_violation (const struct world *world);

const struct world_counts *world_counts (const struct world *world);

/* Directed runs: let time pass, and cause what a test needs. */
void world_advance (struct world *world, int64_t step_ms);
void world_kill (struct world *world, int node);
void world_restart (struct world *world, int node);
void world_freeze (struct world *world, int node);
void world_thaw (struct world *world, int node);

/* Switch FAULT on or off now; NODE is used where one node is concerned. */
void world_set_fault (struct world *world, enum world_fault fault, int node,
                      bool on);

/* Send one request with KEY to NODE; the caller tries again elsewhere. */
void world_send (struct world *world, int node, const char *key,
                 bool idempotent);

/* Return the core of NODE, or NULL while it does not run. */
const struct core *world_core (const struct world *world, int node);

/* Return the log's own fold of all that was written. */
const struct fleet *world_truth (const struct world *world);

const char *world_fault_name (enum world_fault fault);
const char *world_mutation_name (enum world_mutation mutation);

#endif
