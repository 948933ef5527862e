#ifndef LEDGER_WORLD_H
#define LEDGER_WORLD_H

#include "ledger.h"

#include <stdbool.h>
#include <stdint.h>

/* Ledgers and cells on virtual time, under a schedule of faults from a seed.
   Ledgers are real; a cell is a model of its owners, tasks and workers.
   ledger_cells.c   cells: starts, reports, new owners
   ledger_world.c   ledgers, messages and faults. */

enum
{
  CELLS = 4, /* the last one is configured later than the others */
  ACCOUNTS = 2,
  WORKERS = 3,
  TASKS = 16, /* of a cell; the accounts have them in turn */
  RESOURCES = 3,
  VERSIONS = 64
};

struct task
{
  uint32_t generation; /* a task that has ended is replaced by a new one */
  uint64_t size[RESOURCES];
  bool is_running;
  bool has_ended;
  int worker;
  int64_t end_ms;
};

enum view
{
  VIEW_WAITING,
  VIEW_UNSEEN, /* waiting, and may run on a worker not reached yet */
  VIEW_ASSIGNED,
  VIEW_ENDED
};

/* A record of the journal. */
struct journaled
{
  uint64_t epoch; /* of the owner that wrote it; 0 for no record */
  uint64_t allotted[ACCOUNTS][RESOURCES];
  uint64_t caps[ACCOUNTS][RESOURCES]; /* by world_cap */
};

struct owner
{
  uint64_t epoch;
  uint64_t report;
  uint64_t ledger_epoch; /* the highest seen */
  int64_t version;
  bool is_dead;
  bool has_no_journal; /* it neither journals nor loads its allotments */
  int64_t paused_until_ms;
  int64_t reach_ms[WORKERS]; /* when it reaches the worker */
  bool has_reached[WORKERS];
  uint64_t allotted[ACCOUNTS][RESOURCES];
  struct journaled committed; /* its last record, if the journal has it */
  struct journaled in_append; /* the one that the journal may have */
  int64_t append_ms;          /* when the outcome of the append is known */
  enum view views[TASKS];
  uint32_t generations[TASKS]; /* of the tasks that it knows */
  int workers[TASKS];
};

struct cell_model
{
  GPtrArray *owners; /* struct owner *, the newest last */
  struct journaled journal;
  uint64_t tokens[WORKERS];
  struct task tasks[TASKS];
  bool has_demand[ACCOUNTS];
};

struct ledger_model
{
  struct ledger *ledger;
  int64_t version;
  bool is_dead;
  int64_t paused_until_ms;
  int64_t confirmed_ms;
  int64_t pending_ms[CELLS]; /* send time of the call under way, or 0 */
};

/* Kinds of faults; each seed has some of them. */
enum fault
{
  FAULT_OWNERS = 1, /* cells get new owners */
  FAULT_OWNER_PAUSES = 2,
  FAULT_LEDGERS = 4, /* new ledgers begin */
  FAULT_LEDGER_PAUSES = 8,
  FAULT_VERSIONS = 16,  /* the configuration changes */
  FAULT_LOSSES = 32,    /* messages are lost or duplicated */
  FAULT_DELAYS = 64,    /* messages are late */
  FAULT_APPENDS = 128,  /* outcomes of appends are late */
  FAULT_RELEASES = 256, /* owners of a release without journaled allotments */
  FAULT_ALL = 511
};

enum message_kind
{
  MESSAGE_CALL,
  MESSAGE_REPORT,
  MESSAGE_START
};

struct message
{
  enum message_kind kind;
  int64_t due_ms;
  int64_t requested_ms;
  struct ledger_model *ledger;
  int cell;
  struct owner *owner;
  const struct allotment_call *call; /* owned by the world, as the report */
  const struct account_report *report;
  int task;
  uint32_t generation;
  int worker;
};

struct world
{
  uint32_t seed;
  GRand *rand;
  int faults; /* enum fault, or 0 once they have ended */
  int64_t now_ms;
  uint64_t last_epoch;
  struct cell_model cells[CELLS];
  GPtrArray *ledgers;  /* struct ledger_model *, the newest last */
  GPtrArray *messages; /* struct message *, under way */
  GPtrArray *calls;    /* struct allotment_call *, all */
  GPtrArray *reports;  /* struct account_report *, all */
  uint64_t caps[VERSIONS][ACCOUNTS][RESOURCES]; /* by version; 0: no limit */
  int cell_counts[VERSIONS];
  int64_t version; /* the newest published */
  uint32_t starts;
};

/* Run the schedule of SEED.  Ends the program if an account ever starts
   something beyond the highest cap in force, or if a cell that is alone does
   not get the whole cap once the faults have ended.  Returns the number of
   starts. */
uint32_t ledger_world_run (uint32_t seed);

/* ledger_world.c */
extern const char *const world_accounts[ACCOUNTS];
int world_pick (struct world *w, int below);
bool world_chance (struct world *w, int one_in);
uint64_t world_cap (const struct world *w, int64_t version, int account,
                    int r);
/* Send a copy of M, which may be lost or, unless it is a start, duplicated. */
void world_send (struct world *w, struct message m);

/* ledger_cells.c */
struct owner *cell_newest_owner (const struct cell_model *c);
void cell_add_owner (struct world *w, struct cell_model *c);
/* Fill the cell with tasks. */
void cell_add_tasks (struct world *w, struct cell_model *c);
/* The cell's side of the protocol: apply CALL if it is in order, and return
   the next report. */
struct account_report *cell_exchange (const struct world *w,
                                      const struct cell_model *c,
                                      struct owner *o,
                                      const struct allotment_call *call);
void cell_owner_tick (struct world *w, int cell, struct owner *o);
/* A start arrives at its worker. */
void cell_deliver_start (struct world *w, const struct message *m);
/* End the runs that are due. */
void cell_end_runs (struct world *w, struct cell_model *c);
/* Return whether the first cell's allotment of the first account is large
   enough for each waiting task for which the cap is. */
bool cell_is_served (const struct world *w);

#endif
