#ifndef WORLD_H
#define WORLD_H

#include "core.h"

#include <stdbool.h>
#include <stdint.h>

/* A simulated world for the core: several nodes, the platform's log, VM list
   and VMs, the links between nodes, callers and operators, all on one virtual
   clock.  A seed determines every delay, loss and fault, so a failing run can
   be repeated.  After each step the invariants are checked against what the
   VMs started and against the log, never against what a node reports.

   The edge of a node is its HTTP servers for callers and operators and its
   connections to back ends. */

/* Faults to inject.  A run draws them from the set in its options. */
enum world_fault
{
  FAULT_KILL,           /* a node is killed and restarts without state */
  FAULT_KILL_ALL,       /* all nodes at once */
  FAULT_FREEZE,         /* a node is paused and resumes later */
  FAULT_STOP,           /* a node is stopped gracefully and restarts */
  FAULT_EDGE_DELAY,     /* messages from the core reach its edge late */
  FAULT_LOG_DOWN,       /* the log answers no node */
  FAULT_LOG_CUT,        /* one node can't reach the log and the platform */
  FAULT_REPLY_LOST,     /* appends are written, but their replies are lost */
  FAULT_WRITE_LOST,     /* appends are lost before they reach the log */
  FAULT_COPY_DELAYED,   /* an append is written a second time, up to 9 s
                           later */
  FAULT_PEER_CUT,       /* one node and its peers can't reach each other */
  FAULT_PEER_DROP,      /* some messages between nodes are lost */
  FAULT_PEER_DELAY,     /* messages between nodes are delayed */
  FAULT_CALLERS_RACE,   /* callers send one key to two nodes at once */
  FAULT_OPERATORS_RACE, /* two operators publish based on one version */
  FAULT_MAINTENANCE,    /* an operator orders maintenance of a pool */
  FAULT_VM_LEAVES,      /* the platform reports a VM as leaving */
  FAULT_VM_FAILS,       /* a VM fails and returns */
  FAULT_RACK_FAILS,     /* two VMs of one pool fail and return */
  FAULT_WORKER_ERRORS,  /* a VM fails all its runs */
  WORLD_FAULT_COUNT
};

/* A safeguard of the product that is disabled to show that the checks detect
   its absence. */
enum world_mutation
{
  MUTATION_NONE,
  MUTATION_NO_CLAIM,        /* non-idempotent work runs without a claim */
  MUTATION_EVERY_CLAIM,     /* every claim wins, not only the first */
  MUTATION_LIE,             /* unknown outcomes are reported as not run */
  MUTATION_DEAF_TO_LEAVING, /* no node learns that a VM is leaving */
  MUTATION_NO_BUDGET,       /* the nodes allow all VMs of a pool to be out */
  MUTATION_NO_VERSION,      /* a publication replaces whatever is in force */
  MUTATION_LATE_SENDS,      /* edges send a run however late the core's message
                               arrives, and heartbeats hide running runs */
  MUTATION_NO_PAUSE,        /* cores see no gap in time while their node is
                               frozen, and permissions do not expire */
  MUTATION_NO_ACK,          /* every node appears to have read the log to its
                               end, and permissions do not expire */
  WORLD_MUTATION_COUNT
};

struct world_options
{
  uint64_t seed;
  uint32_t faults; /* bits by enum world_fault */
  enum world_mutation mutation;
  int n_nodes;
  int64_t faults_for_ms; /* then all faults end and the world settles */
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

/* Run the whole schedule of the seed.  Return whether all invariants held. */
bool world_run (struct world *world);

/* Return a description of the first violated invariant, or NULL.  It belongs
   to WORLD. */
const char *world_violation (const struct world *world);

const struct world_counts *world_counts (const struct world *world);

/* For runs directed by a test: advance the clock and cause faults. */
void world_advance (struct world *world, int64_t step_ms);
void world_kill (struct world *world, int node);
void world_restart (struct world *world, int node);
void world_freeze (struct world *world, int node);
void world_unfreeze (struct world *world, int node);

/* Begin or end FAULT now; NODE is used by faults that affect one node. */
void world_set_fault (struct world *world, enum world_fault fault, int node,
                      bool on);

/* Send one request with KEY to NODE; its caller retries at other nodes. */
void world_send_request (struct world *world, int node, const char *key,
                         bool idempotent);

/* Return the core of NODE, or NULL while it is not running. */
const struct core *world_core (const struct world *world, int node);

/* Return the fleet state that results from applying all records of the log. */
const struct fleet *world_reference_fleet (const struct world *world);

const char *world_fault_name (enum world_fault fault);
const char *world_mutation_name (enum world_mutation mutation);

#endif
