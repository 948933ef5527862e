#ifndef CLAIM_WORLD_H
#define CLAIM_WORLD_H

#include "fleet.h"
#include "members.h"
#include "requests.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <xxhash.h>

/* A few nodes that are asked to run one key, with a log, a network and a
   worker of a few lines.  What the nodes do is the product's own code. */

#define NODES_MAX 3
#define OUTBOX_MAX 8
#define LOG_MAX 24

enum mutation
{
  NO_MUTATION,
  LOSER_MAY_RUN,       /* a lost claim is taken for a won one */
  ANY_NODE_MAY_RUN,    /* one node's claim lets every node run the key */
  NO_CLAIM,            /* the class is run as if it were idempotent */
  ANY_OUTCOME,         /* an outcome settles whichever claim is in force */
  ANY_PRIOR,           /* a claim need not name what it follows */
  COPY_OF_FORGOTTEN,   /* a claim need not have seen what was forgotten */
  LOST_IS_NOT_STARTED, /* a run that broke off counts as not started */
  MUTATION_COUNT
};

enum action
{
  BEGIN,      /* the caller sends the key to this node */
  WRITE,      /* its oldest record is appended */
  WRITE_LOST, /* the same, and the reply is lost: a copy may follow */
  COPY,       /* the copy is appended */
  READ,       /* it reads and folds the next record */
  GRANT,      /* it is granted the slot it asked for */
  GRANT_LATE, /* an old grant comes again */
  ARRIVE,     /* what it dispatched reaches the worker, which starts it */
  TURN_AWAY,  /* the worker refuses what it dispatched */
  ANSWER,     /* the run ends with an answer */
  BREAK_OFF,  /* the connection breaks while it runs, or before */
  TIME_OUT,   /* its caller's time to start is over */
  CRASH,
  FORGET,  /* the log's time passes what keys are remembered for */
  OUTAGE,  /* the log stops answering, or answers again */
  RESTORE, /* it takes a snapshot in place of reading */
  ACTION_COUNT
};

/* How often each of these may happen in one run. */
struct budgets
{
  int lost;
  int late_grants;
  int break_offs;
  int turn_aways;
  int time_outs;
  int crashes;
  int forgets;
  int outages; /* on and off count as two */
  int restores;
};

enum flight
{
  NOTHING,
  SENT,    /* dispatched, on its way to the worker */
  RUNNING, /* at the worker */
  ENDED
};

/* A record and where it comes from. */
struct sheet
{
  struct record *record; /* owned by its node's list */
  int node;
  int number;
  int64_t at_ms;
};

struct holder
{
  bool alive;
  bool begun;
  bool timed_out;
  struct fleet *fleet;
  struct requests *requests;
  struct members *members;
  uint64_t history;
  int read;           /* records of the log */
  GPtrArray *records; /* all it made, struct record * */
  struct sheet outbox[OUTBOX_MAX];
  int outbox_n;
  struct sheet copy; /* record NULL if none */
  bool asked;
  uint32_t attempt; /* asked for */
  bool granted_once;
  struct peer_message *old_grant;
  enum flight flight;
  uint32_t run_attempt;
  int starts;
  bool said_not_run;
};

struct world
{
  const struct model *model;
  struct holder holders[NODES_MAX];
  struct sheet log[LOG_MAX];
  int log_n;
  uint64_t log_hash;
  int64_t log_ms;
  bool down;
  struct budgets left;
  int forgets;
  struct fleet *judge; /* folds the whole log at once */
  struct counters *counters;
  const char *broken; /* promise, or NULL */
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

/* Begin a world of MODEL. */
void world_init (struct world *w, const struct model *model);
void world_clear (struct world *w);

/* Return whether STEP can happen in W. */
bool world_may_step (const struct world *w, const struct step *step);

/* Do STEP, and check the promises; W->broken names the first that broke. */
void world_do_step (struct world *w, const struct step *step);

/* Return the name of the state of W. */
XXH128_hash_t world_name (const struct world *w);

/* Free what worlds keep for the next ones. */
void world_end_all (void);

const char *action_name (enum action action);
const char *node_name (int node);

#endif
