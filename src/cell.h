#ifndef CELL_H
#define CELL_H

#include "account_report.h"
#include "accounts.h"
#include "job.h"
#include "sizing.h"
#include "worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A cell: the jobs and the workers of one service, which one node owns.  The
   cell decides what runs where.  It does no input or output itself: its
   functions are told what has happened and the current time, and what has to
   be done comes out as orders.  Times are milliseconds of a monotonic clock
   that also counts suspended time.

   The owner's epoch is its fencing token for appends to the journal.  That of
   its calls to a worker is the epoch with the count of the worker's restarts
   that it has learned of.  An accepted, cancelled or ended job is reported to
   others only after it has been journaled.  Starts are not journaled, since
   the workers report their runs. */

struct cell;

/* Memory that a task takes in its cell. */
#define CELL_TASK_BYTES 200

struct cell_options
{
  const char *service;
  const char *address;      /* of this node, for later owners */
  const char *listed_owner; /* address of the owner that the list of owners
                               showed at the takeover, or NULL */
  uint64_t epoch;
  bool workers_admit;    /* workers refuse starts that do not fit */
  int64_t hold_max_ms;   /* longest lease that workers accept */
  int64_t stop_grace_ms; /* longest time that a stop takes */
  int64_t early_ms;      /* an occurrence may start this early */
  int64_t keep_state_ms; /* how long the state of an ended job is kept */
  bool lists_machines;   /* ORDER_LIST_MACHINES is carried out */
  /* Tasks of accepted jobs that the cell may hold in memory; 0 for no limit.
     Half of them are for jobs of very many tasks, see cell_excess.c. */
  uint64_t max_tasks;
  /* How long an owner that the store does not confirm goes on starting tasks
     and extending leases. */
  int64_t unconfirmed_owner_ms;
  /* How much longer a task takes away from its preferred rack; 0 or 1 for no
     longer. */
  double far_rack_factor;
};

/* Answer to a call that submits or cancels a job. */
enum cell_answer
{
  CELL_STORED,       /* accepted or cancelled, and journaled */
  CELL_NO_JOB,       /* no such job */
  CELL_REFUSED,      /* not accepted; the job never runs */
  CELL_REFUSED_FULL, /* the same, as the cell holds too many tasks */
  CELL_REFUSED_RATE, /* the same, as its account is beyond its rate and the
                        cell is overloaded */
  CELL_UNCLEAR       /* the outcome of the append is unknown */
};

enum cell_order_kind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_HOLD, /* extend leases and get a report */
  ORDER_PACE,
  ORDER_APPEND,
  ORDER_STOP_OWNER,    /* tell an earlier owner that it has a successor */
  ORDER_LIST_MACHINES, /* list the machines, which name their workers */
  ORDER_ANSWER,
  ORDER_LOG_EVENT /* log a decision */
};

/* Start, stop or pace one run on a worker. */
struct run_order
{
  char *worker; /* worker's ID */
  char *address;
  char *task;
  uint64_t run;
  uint64_t fencing_token;
  int64_t deadline_ms; /* on the worker's clock */
  char *payload;       /* start only */
  char *checkpoint;    /* start only; "" for none */
  char *ticket;        /* start only; from the advice service, "" for none */
  uint32_t percent;    /* pace only: processor share */
};

/* Extend the leases of a worker's runs, and ask which runs it has and which
   have ended. */
struct hold_order
{
  char *worker;
  char *address;
  uint64_t fencing_token;
  int64_t deadline_ms; /* on the worker's clock; 0 to extend no lease */
  uint64_t last_seen;  /* the worker may forget ends up to this number */
  int64_t wait_ms;     /* how long the worker may wait for a run to end */
};

/* Ask the advice service which of the workers may run a step. */
struct advice_order
{
  char *step;         /* "JOB.OCCURRENCE.STEP" */
  char *queue;        /* its name, which tells how long an answer takes */
  GPtrArray *workers; /* char * */
};

/* One journal record. */
struct journal_entry
{
  char *key;
  GBytes *value; /* NULL to drop the key */
};

/* Return a new entry, which the caller frees; it holds a reference to VALUE,
   which may be NULL. */
struct journal_entry *journal_entry_new (const char *key, GBytes *value);
void journal_entry_free (gpointer entry);

struct append_order
{
  uint64_t sequence;
  GPtrArray *entries; /* struct journal_entry * */
};

struct owner_order
{
  char *address;
};

struct answer_order
{
  uint64_t token; /* of the call that is answered */
  enum cell_answer answer;
  int64_t retry_after_ms; /* CELL_REFUSED_RATE: before the caller retries */
};

/* Log a decision with its inputs. */
struct event_order
{
  const char *event;
  char *subject; /* a job, task or worker */
  char *detail;  /* inputs and outcome as "name=value" */
};

struct cell_order
{
  enum cell_order_kind kind;
  union
  {
    struct run_order run;
    struct hold_order hold;
    struct append_order append;
    struct owner_order owner;
    struct answer_order answer;
    struct event_order event;
  } u;
};

/* Outcome of an append to the journal. */
enum append_result
{
  APPEND_DONE,
  APPEND_REFUSED, /* certainly not done; it may be retried */
  APPEND_UNCLEAR, /* it may have been done, or be done later */
  APPEND_FENCED   /* another owner has a higher epoch */
};

/* Answer of a worker to a start or a stop. */
enum run_answer
{
  RUN_ACCEPTED,
  RUN_NO_ANSWER,
  RUN_FENCED,
  RUN_SUPERSEDED, /* a run numbered as high was stopped or ended there */
  RUN_EXPIRED,    /* its deadline has passed */
  RUN_NO_ROOM,
  RUN_NO_TICKET,
  RUN_UNHEALTHY,        /* the worker did nothing, or was not called */
  RUN_OTHER_INCARNATION /* another incarnation answers at the address */
};

/* How an order for a run has ended, which may have taken several calls. */
struct run_outcome
{
  enum run_answer answer; /* to the last call */
  bool may_arrive_later;  /* an earlier call had no answer: the worker may
                             still carry it out, whatever the last one says */
  int64_t clock_ms; /* the worker's clock at the last call; 0 if unknown */
  uint64_t fencing_token; /* of the calls */
};

/* Return a new cell, which the caller destroys; it copies OPTIONS.  It places
   no work before cell_activate. */
struct cell *cell_new (const struct cell_options *options, int64_t now_ms);
void cell_destroy (struct cell *cell);

/* Load one record of the journal; all are loaded before cell_set_accounts and
   cell_activate, and the accounts' record after those of the owners. */
void cell_load_record (struct cell *cell, const char *key, GBytes *value);

/* Load ENTRIES (struct journal_entry *), which cell_yield returned to an owner
   that has stopped; after the journal.  Return false, and load nothing, if
   they are out of date: another node has owned the cell since. */
bool cell_load_handover (struct cell *cell, const GPtrArray *entries);

/* Return the record of the owner at ADDRESS under EPOCH; the caller frees it.
   An owner journals it by the append that fences its predecessors, with the
   sequence number 1. */
struct journal_entry *cell_owner_entry (uint64_t epoch, const char *address);
#define CELL_OWNER_SEQUENCE 1

/* Begin to place work, after the whole journal has been loaded. */
void cell_activate (struct cell *cell, int64_t now_ms);

/* Submit the job SPEC, which the cell owns from now on.  Another submission of
   a known job ID adds no job.  The answer to the call carries TOKEN. */
void cell_submit (struct cell *cell, struct job_spec *spec, uint64_t token,
                  int64_t now_ms);

/* Cancel the job ID.  The answer to the call carries TOKEN. */
void cell_cancel (struct cell *cell, const char *id, uint64_t token,
                  int64_t now_ms);

/* Return whether the job ID has been accepted; if so, set *STATE. */
bool cell_job_state (const struct cell *cell, const char *id,
                     enum job_state *state);

/* Return whether the job ID has been accepted or is about to be. */
bool cell_has_job (const struct cell *cell, const char *id);

/* Return whether the cell has a job that has not ended. */
bool cell_has_open_jobs (const struct cell *cell);

/* Return how many accepted jobs of QUEUE have started no task yet. */
uint32_t cell_count_waiting_jobs (const struct cell *cell, const char *queue);

/* Add or update the worker that the list shows as ENTRY, which is copied. */
void cell_worker_listed (struct cell *cell, const struct worker_entry *entry,
                         int64_t now_ms);

/* Process that WORKER is no longer listed. */
void cell_worker_unlisted (struct cell *cell, const char *worker,
                           int64_t now_ms);

/* Process that the list shows a worker as ENTRY, under another service.  If it
   is a later incarnation than the cell's, the cell calls it no more: another
   cell does, and each would fence the other. */
void cell_worker_reassigned (struct cell *cell,
                             const struct worker_entry *entry, int64_t now_ms);

/* Process that the machine of an emptied WORKER was ordered away.  This ends
   its incarnation, unless it has work again. */
void cell_worker_ended (struct cell *cell, const char *worker, int64_t now_ms);

/* Stop the tasks of WORKER and start no others there, so that its machine can
   be taken away; no step gets more tasks unavailable at once than it allows.
   Return whether the worker is empty now.  The worker is used again unless
   this is called at least every CELL_EMPTYING_TIMEOUT_MS. */
#define CELL_EMPTYING_TIMEOUT_MS 2000
bool cell_empty_worker (struct cell *cell, const char *worker, int64_t now_ms);

/* Process the answer to a hold that was sent at SENT_MS.  REPLY is NULL if
   there was none.  IS_FENCED tells that the worker knows a higher epoch,
   IS_OTHER_INCARNATION that another incarnation answered. */
void cell_hold_answered (struct cell *cell, const char *worker,
                         const struct worker_report *reply, bool is_fenced,
                         bool is_other_incarnation, int64_t sent_ms,
                         int64_t now_ms);

/* Process how the start of RUN of TASK on WORKER has ended. */
void cell_start_answered (struct cell *cell, const char *worker,
                          const char *task, uint64_t run,
                          const struct run_outcome *outcome, int64_t now_ms);
/* Process the answer of WORKER to a stop of RUN of TASK. */
void cell_stop_answered (struct cell *cell, const char *worker,
                         const char *task, uint64_t run,
                         const struct run_outcome *outcome, int64_t now_ms);

/* Return the question to the advice service that matters most now, which the
   caller destroys, or NULL if there is none.  One is under way at a time: the
   next one is chosen after its answer. */
struct advice_order *cell_next_advice (struct cell *cell, int64_t now_ms);
/* Destroy ORDER, which may be NULL. */
void advice_order_destroy (struct advice_order *order);

/* Process the answer of the advice service for STEP: TICKETS (struct
   worker_ticket) are valid for VALID_MS.  NULL if there was no answer. */
void cell_advice_answered (struct cell *cell, const char *step,
                           const GArray *tickets, int64_t valid_ms,
                           int64_t now_ms);

/* Process the outcome of the order of the append SEQUENCE that was sent at
   SENT_MS.  An append may be ordered again before its first order is
   answered. */
void cell_append_answered (struct cell *cell, uint64_t sequence,
                           enum append_result result, int64_t sent_ms,
                           int64_t now_ms);

/* Process the answer of the earlier owner at ADDRESS to ORDER_STOP_OWNER;
   HAS_STOPPED is false if there was none. */
void cell_owner_answered (struct cell *cell, const char *address,
                          bool has_stopped, int64_t now_ms);

/* Process the answer to ORDER_LIST_MACHINES, which was sent at SENT_MS:
   WORKERS has the ID of each worker that a machine names which is not down.
   NULL if the list could not be read. */
void cell_machines_listed (struct cell *cell, GHashTable *workers,
                           int64_t sent_ms, int64_t now_ms);

/* Process that the store has confirmed the epoch by a call sent at SENT_MS:
   until then no other node has owned the cell under a higher one.  An append
   that is done confirms it too, as of its first order. */
void cell_confirmed (struct cell *cell, int64_t sent_ms);

/* Return the time until which the store has confirmed the epoch. */
int64_t cell_confirmed_ms (const struct cell *cell);

/* Stop owning the cell.  Return records of the workers for the next owner
   (struct journal_entry *), which are newer than those in the journal, and the
   owner's own; the caller frees the array. */
GPtrArray *cell_yield (struct cell *cell, int64_t now_ms);

/* Tell the cell the accounts in force and with them the rates up to which
   their jobs are owed service; it copies what it needs.  NULL: there are
   none. */
void cell_set_accounts (struct cell *cell, const struct accounts *accounts,
                        int64_t now_ms);

/* Apply CALL if it names the cell's latest report, and return the next report,
   which the caller destroys. */
struct account_report *
cell_exchange_allotments (struct cell *cell, const struct allotment_call *call,
                          int64_t now_ms);

/* Return whether no record that a next owner may load has an allotment under a
   lower cap than the one in force.  Under such a record the next owner could
   keep the allotment when the cap is lowered again, though other cells have
   been given the room under the higher cap.  Until then the ledger must give
   none of it. */
bool cell_has_journaled_caps (const struct cell *cell);

/* Do what is due.  WALL_MS is the best known Unix time.  MAY_START tells
   whether this node is still sure enough of its ownership to start tasks and
   extend leases. */
void cell_tick (struct cell *cell, int64_t wall_ms, bool may_start,
                int64_t now_ms);

/* Return the next order, which the caller frees, or NULL. */
struct cell_order *cell_next_order (struct cell *cell);
void cell_order_destroy (struct cell_order *order);

/* Return whether the cell has met a higher epoch than its own, or has
   yielded. */
bool cell_is_fenced (const struct cell *cell);

/* Return whether a task has had so many runs that it needs another epoch to
   start again.  The owner then yields to itself. */
bool cell_needs_epoch (const struct cell *cell);

const char *cell_service (const struct cell *cell);
uint64_t cell_epoch (const struct cell *cell);

/* Totals for metrics.  Only workers that are listed, answer and are not
   draining are counted, with their processors. */
struct cell_stats
{
  uint32_t jobs_open;
  uint32_t tasks_running;
  uint32_t tasks_waiting;
  uint32_t workers;
  uint64_t cpu_total_milli;
  uint64_t cpu_used_milli;
  uint64_t cpu_wanted_milli; /* of waiting tasks */
};

void cell_get_stats (const struct cell *cell, struct cell_stats *figures);

/* Append the metrics of at most CELL_METRICS_ACCOUNTS accounts to OUT, as
   `name{label="value"} number` lines; none if no accounts are configured. */
#define CELL_METRICS_ACCOUNTS 256
void cell_render_accounts (struct cell *cell, GString *out);

/* Return the load of the cell's pool, for sizing; the caller destroys it. */
struct pool_load *cell_get_pool_load (const struct cell *cell);

#endif
