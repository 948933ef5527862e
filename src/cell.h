#ifndef CELL_H
#define CELL_H

#include "job.h"
#include "sizing.h"
#include "worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A cell: the jobs and the workers of one service, in the hands of one owner.
   The cell decides what runs where; it is pure.  What has happened goes in
   with the present moment, and what is to be done comes out as orders.  Times
   are milliseconds of a steady clock that counts suspended time too.

   The owner's epoch fences all that it does: appends to the journal and
   calls to workers.  A job, a cancel and an end are said to others only after
   the journal has them; starts are not journaled, the workers know them. */

struct cell;

struct cell_options
{
  const char *service;
  uint64_t epoch;
  bool workers_admit;       /* workers refuse what does not fit */
  int64_t hold_max_ms;      /* the longest lease that workers give */
  int64_t stop_grace_ms;    /* the longest that a stop takes */
  int64_t early_ms;         /* an occurrence may start so much early */
  int64_t keep_state_ms;    /* an ended job's state is kept so long */
  int64_t foreign_lease_ms; /* an earlier owner's leases are over by then,
                               counted from the takeover */
};

/* What the caller of a job is told. */
enum cell_answer
{
  CELL_STORED,    /* accepted, cancelled: the journal has it */
  CELL_NO_JOB,    /* not known here */
  CELL_NOT_TAKEN, /* not accepted; it never runs */
  CELL_UNCLEAR    /* the journal may or may not have it */
};

enum cell_order_kind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_HOLD,
  ORDER_PACE,
  ORDER_ADVISE,
  ORDER_APPEND,
  ORDER_ANSWER,
  ORDER_NOTE /* a decision to log */
};

/* Start, stop or pace one run on a worker. */
struct run_order
{
  char *worker; /* worker's ID */
  char *address;
  char *task;
  uint64_t run;
  int64_t deadline_ms; /* on the worker's clock */
  char *payload;       /* start only */
  char *checkpoint;    /* start only; "" for none */
  char *ticket;        /* start only; "" for none */
  uint32_t percent;    /* pace only */
};

/* Extend the leases of a worker's runs and ask what runs and has ended. */
struct hold_order
{
  char *worker;
  char *address;
  int64_t deadline_ms; /* on the worker's clock; 0 for none */
  uint64_t last_seen;  /* ends up to here may be forgotten */
  int64_t wait_ms;     /* for an end */
};

struct advise_order
{
  char *step;         /* "JOB.OCCURRENCE.STEP" */
  GPtrArray *workers; /* char * */
};

/* One journal record; no value drops the key. */
struct journal_entry
{
  char *key;
  GBytes *value; /* NULL to drop */
};

struct journal_entry *journal_entry_new (const char *key, GBytes *value);
void journal_entry_free (gpointer entry);

struct append_order
{
  uint64_t sequence;
  GPtrArray *entries; /* struct journal_entry * */
};

struct answer_order
{
  uint64_t token; /* as the call gave it */
  enum cell_answer answer;
};

/* A decision, with what it rests on. */
struct note_order
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
    struct advise_order advise;
    struct append_order append;
    struct answer_order answer;
    struct note_order note;
  } u;
};

/* How an append to the journal went. */
enum append_result
{
  APPEND_DONE,
  APPEND_REFUSED, /* certainly not done; it may be tried again */
  APPEND_UNCLEAR, /* it may be done now or later */
  APPEND_FENCED   /* another owner has a higher epoch */
};

/* How a worker answered a start or a stop. */
enum run_answer
{
  RUN_ACCEPTED,
  RUN_NO_ANSWER,
  RUN_FENCED,
  RUN_OLD,  /* a run as high has been stopped or has ended there */
  RUN_LATE, /* its deadline is over */
  RUN_NO_ROOM,
  RUN_NO_TICKET,
  RUN_UNHEALTHY, /* the worker did nothing */
  RUN_GONE       /* another incarnation is at the address */
};

struct cell *cell_new (const struct cell_options *options, int64_t now_ms);
void cell_destroy (struct cell *cell);

/* Take in one record of the journal, before cell_activate. */
void cell_load (struct cell *cell, const char *key, GBytes *value);

/* Begin to place work; all of the journal has been loaded. */
void cell_activate (struct cell *cell, int64_t now_ms);

/* Accept SPEC, which the cell owns from now on; TOKEN comes back with the
   answer. */
void cell_submit (struct cell *cell, struct job_spec *spec, uint64_t token,
                  int64_t now_ms);

/* Cancel a job; TOKEN comes back with the answer. */
void cell_cancel (struct cell *cell, const char *id, uint64_t token,
                  int64_t now_ms);

/* Return whether the job is known, and how it stands. */
bool cell_state (const struct cell *cell, const char *id,
                 enum job_state *state);

/* Return how many accepted jobs of QUEUE have no task started yet. */
uint32_t cell_waiting (const struct cell *cell, const char *queue);

/* A worker is listed as ENTRY says. */
void cell_worker_listed (struct cell *cell, const struct worker_entry *entry,
                         int64_t now_ms);

/* A worker is no longer listed. */
void cell_worker_unlisted (struct cell *cell, const char *worker,
                           int64_t now_ms);

/* The machine of an emptied worker was ordered away: its life is over, unless
   it has work again. */
void cell_worker_ended (struct cell *cell, const char *worker, int64_t now_ms);

/* Empty a worker of work, without leaving more tasks of a step missing than
   the step allows.  Return whether it is empty now.  Ask again at least every
   RELEASE_MS, or the worker is used again. */
#define CELL_RELEASE_MS 2000
bool cell_release_worker (struct cell *cell, const char *worker,
                          int64_t now_ms);

/* A hold sent at SENT_MS was answered; REPLY is NULL if it was not, and GONE
   tells that another incarnation answered. */
void cell_hold_answered (struct cell *cell, const char *worker,
                         const struct worker_report *reply, bool fenced,
                         bool gone, int64_t sent_ms, int64_t now_ms);

void cell_start_answered (struct cell *cell, const char *worker,
                          const char *task, uint64_t run,
                          enum run_answer answer, int64_t now_ms);
void cell_stop_answered (struct cell *cell, const char *worker,
                         const char *task, uint64_t run,
                         enum run_answer answer, int64_t now_ms);

/* The advice service named WORKERS (struct worker_ticket) for STEP, or did
   not answer if it is NULL. */
void cell_advised (struct cell *cell, const char *step, const GArray *tickets,
                   int64_t valid_ms, int64_t now_ms);

void cell_append_answered (struct cell *cell, enum append_result result,
                           int64_t now_ms);

/* Stop being the owner, and return what the next one has to know of the
   workers, as journal records (struct journal_entry *) that are newer than
   those of the journal. */
GPtrArray *cell_yield (struct cell *cell, int64_t now_ms);

/* Do what is due.  WALL_MS is Unix time as far as it can be trusted, and
   MAY_START tells whether the owner is still sure enough to be it. */
void cell_tick (struct cell *cell, int64_t wall_ms, bool may_start,
                int64_t now_ms);

/* Return the next order, which the caller frees, or NULL. */
struct cell_order *cell_next_order (struct cell *cell);
void cell_order_destroy (struct cell_order *order);

/* Return whether a higher epoch than the cell's has been met. */
bool cell_is_fenced (const struct cell *cell);

const char *cell_service (const struct cell *cell);
uint64_t cell_epoch (const struct cell *cell);

/* Figures for metrics and sizing. */
struct cell_figures
{
  uint32_t jobs_open;
  uint32_t tasks_running;
  uint32_t tasks_waiting;
  uint32_t workers;
  uint64_t cpu_total_milli;
  uint64_t cpu_used_milli;
  uint64_t cpu_wanted_milli; /* of tasks that could start now */
};

void cell_get_figures (const struct cell *cell, struct cell_figures *figures);

/* Return the load of the cell's pool, which the caller destroys. */
struct pool_load *cell_get_load (const struct cell *cell);

#endif
