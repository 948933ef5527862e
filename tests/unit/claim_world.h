#ifndef CLAIM_WORLD_H
#define CLAIM_WORLD_H

#include "fleet.h"
#include "members.h"
#include "requests.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <xxhash.h>

/* A model of a few nodes that are asked to run one key.  The nodes run the
   product's own code; the log, the network and the worker are simulated. */

#define NODES_MAX 3
#define OUTBOX_MAX 8
#define LOG_MAX 24

/* Faults that are put into the code's guards. */
enum mutation
{
  NO_MUTATION,
  LOST_CLAIM_MAY_RUN,  /* a lost claim is treated as won */
  ANY_NODE_MAY_RUN,    /* one node's claim lets every node run the key */
  NO_CLAIM,            /* the class is run as if it were idempotent */
  ANY_OUTCOME,         /* an outcome ends whichever claim is in force */
  ANY_PRIOR,           /* a claim need not name the change it follows */
  COPY_OF_EXPIRED,     /* a claim need not have seen the expired claims */
  LOST_IS_NOT_STARTED, /* a run whose connection broke counts as not started */
  MUTATION_COUNT
};

enum action
{
  BEGIN,       /* the caller sends the key to this node */
  WRITE,       /* the node's oldest unwritten record is appended */
  WRITE_LOST,  /* the same, but the reply is lost: a copy may follow */
  COPY,        /* the copy is appended */
  READ,        /* the node reads and applies the next record */
  GRANT,       /* the node is granted the slot that it requested */
  GRANT_AGAIN, /* an earlier grant arrives again */
  ARRIVE,      /* a dispatched request reaches the worker, which starts it */
  REFUSE_RUN,  /* the worker refuses a dispatched request */
  ANSWER,      /* the run ends with an answer */
  LOSE_CONNECTION, /* the connection breaks before the end of the run */
  TIME_OUT,        /* the time to start the request has passed */
  CRASH,
  EXPIRE_KEYS, /* the log time passes the retention time of all keys */
  OUTAGE,      /* the log becomes unreachable, or reachable again */
  RESTORE,     /* the node restores a snapshot in place of reading */
  ACTION_COUNT
};

/* The most times that each of these may happen on one path. */
struct budgets
{
  int lost_replies;
  int repeated_grants;
  int lost_connections;
  int refused_runs;
  int time_outs;
  int crashes;
  int key_expiries;
  int outages; /* begin and end count as two */
  int restores;
};

enum run_stage
{
  STAGE_NONE,
  STAGE_SENT,    /* dispatched, on its way to the worker */
  STAGE_RUNNING, /* at the worker */
  STAGE_ENDED
};

/* A record, and its source. */
struct model_record
{
  struct record *record; /* owned by RECORDS of its node */
  int node;
  int number;    /* index among the records of its node */
  int64_t at_ms; /* log time, once it is in the log */
};

struct model_node
{
  bool is_alive;
  bool has_begun;
  bool has_timed_out;
  struct fleet *fleet;
  struct requests *requests;
  struct members *members;
  uint64_t history_hash; /* of all inputs so far */
  int read_count;        /* number of records read from the log */
  GPtrArray *records;    /* all that the node has made, struct record * */
  struct model_record outbox[OUTBOX_MAX]; /* not yet in the log */
  int outbox_n;
  struct model_record copy; /* to append again; RECORD is NULL if none */
  bool slot_requested;
  uint32_t attempt; /* of the last slot request */
  bool granted_once;
  struct peer_message *old_grant; /* the last grant, to arrive again */
  enum run_stage run_stage;
  uint32_t run_attempt;
  int starts;            /* of runs */
  bool reported_not_run; /* to the caller */
};

struct world
{
  const struct model *model;
  struct model_node nodes[NODES_MAX];
  struct model_record log[LOG_MAX];
  int log_n;
  uint64_t log_hash;
  int64_t log_ms;
  bool log_down;
  struct budgets remaining;
  int key_expiries;              /* number of expiries so far */
  struct fleet *reference_fleet; /* applies each record when it is appended */
  struct counters *counters;
  const char *violation; /* the violated invariant, or NULL */
};

struct step
{
  enum action action;
  int node;
};

struct model
{
  const char *name;
  int nodes;
  struct budgets budgets;
  enum mutation mutation;
};

/* Set W to the initial state of MODEL, which must outlive it. */
void world_init (struct world *w, const struct model *model);
void world_clear (struct world *w);

/* Return whether STEP can happen in W. */
bool world_may_step (const struct world *w, const struct step *step);

/* Do STEP, and check the invariants.  W->violation is set if one is violated.
 */
void world_do_step (struct world *w, const struct step *step);

/* Return a hash that identifies the state of W. */
XXH128_hash_t world_hash (const struct world *w);

/* Free the parsed configurations that are kept for the next worlds. */
void world_free_spare_configs (void);

const char *action_name (enum action action);
const char *node_name (int node);

#endif
