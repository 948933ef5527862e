#ifndef CELL_ACCOUNTS_H
#define CELL_ACCOUNTS_H

#include "account_report.h"
#include "cell_state.h"

/* Client accounts in a cell: what each uses, what the ledger allows it here,
   and its share of a full cell.  The files:
   cell_accounts.c        configuration, allotments, shares
   cell_account_use.c     what the accounts use
   cell_account_journal.c the allotments in the journal
   cell_account_figures.c the load of the pool, and metrics. */

/* What a record of the journal holds of an account. */
struct journaled_allotment
{
  bool is_named;
  struct account_amount allotment;
  struct account_amount cap; /* that was known with the allotment */
};

struct cell_account
{
  char *name; /* "" stands for all jobs without an account */
  bool is_configured;
  int64_t unconfigured_ms; /* since when it is not; G_MININT64 if it was
                              removed from the configuration */
  uint32_t weight;
  struct account_amount cap; /* the last one known; AMOUNT_UNLIMITED: none */
  struct account_amount allotment;
  struct journaled_allotment committed; /* in this owner's last record that is
                                           certainly in the journal */
  struct journaled_allotment in_append; /* in the append in progress, which the
                                           journal may have */
  struct account_amount assigned;       /* of tasks on workers */
  struct account_amount others; /* of runs in the workers' other_runs */
  struct account_amount unseen; /* bound of unseen runs of earlier owners */
  struct account_amount wanted; /* of ready waiting tasks, as last summed */
  struct account_amount budget; /* left for tasks in a count of the load */
  bool may_start_one;           /* in that count, beyond the budget */
  uint32_t waiting_tasks;       /* as last summed */
  bool is_over_share;
  bool is_held_back;        /* a task did not fit the allotment */
  bool is_held_back_now;    /* the same, in the placement in progress */
  uint64_t jobs_held_back;  /* jobs of which a task ever did not fit */
  uint64_t jobs_impossible; /* failed, as they can never fit the cap */
  int64_t last_fits_log_ms; /* when "account-fits" was last logged */
  char held_back_job[JOB_ID_LENGTH + 1]; /* the first one since then */
};

/* A run on a worker that is no task's current one. */
struct cell_other_run
{
  char *task;
  uint64_t run;
  struct cell_account *account;
  struct account_amount amount;
  int64_t until_ms;
};

struct cell_accounts
{
  bool is_on; /* accounts are configured */
  GHashTable *by_name;
  GPtrArray *list; /* struct cell_account *, in the order of their appearance
                    */
  double mean_weight;
  uint64_t ledger_epoch;   /* highest seen */
  uint64_t report;         /* number of the latest report */
  bool is_change_queued;   /* the allotments differ from the record */
  bool is_report_outdated; /* a cap was lowered since, so that an allotment
                              based on it may exceed the new cap */
  int64_t shortage_ms;     /* when a task last found no worker; 0: never */
  int64_t next_shares_ms;
};

/* cell_accounts.c */
struct cell_accounts *cell_accounts_new (void);
void cell_accounts_destroy (struct cell_accounts *accounts);

/* Return the account NAME, added if it is new.  It is valid as long as the
   cell, also when the configuration no longer names it. */
struct cell_account *cell_account_get (struct cell *c, const char *name,
                                       int64_t now_ms);
/* Return whether A needs an allotment. */
bool cell_account_is_limited (const struct cell *c,
                              const struct cell_account *a);
/* Return what the cell may use of A. */
struct account_amount cell_account_limit (const struct cell_account *a);
/* Return whether A was removed from the configuration and uses nothing, so
   that it may start one task or gang. */
bool cell_account_may_start_one (const struct cell_account *a, int64_t now_ms);
/* Return whether tasks of A run or wait, the latter as last summed. */
bool cell_account_has_work (const struct cell_account *a);
/* Sum for each account what its waiting tasks need that could start. */
void cell_accounts_sum_wanted (struct cell *c);

/* Begin a placement: bound the unseen runs and, if it is due, decide which
   accounts are over their share. */
void cell_accounts_begin_placement (struct cell *c, int64_t now_ms);
void cell_accounts_end_placement (struct cell *c, int64_t now_ms);
/* Note that a task found no worker: the cell is contended. */
void cell_accounts_note_shortage (struct cell *c);
/* Return whether the allotment of JOB's account has room for COUNT more tasks
   of STEP. */
bool cell_account_has_room (const struct cell *c, const struct cell_job *job,
                            uint32_t step, uint32_t count, int64_t now_ms);
/* The same; log the first time that it has not. */
bool cell_account_allows (struct cell *c, struct cell_job *job, uint32_t step,
                          uint32_t count, int64_t now_ms);
/* Fail JOB if a waiting task, or a waiting gang, exceeds its account's cap.
   Return whether it did. */
bool cell_account_fail_impossible (struct cell *c, struct cell_job *job,
                                   int64_t now_ms);
/* Return whether JOB's account uses more than its share of a contended cell.
   Of two jobs of one priority, one of an account that does not goes first. */
bool cell_account_is_over_share (const struct cell *c,
                                 const struct cell_job *job);

/* cell_account_use.c */
struct account_amount cell_step_amount (const struct job_step *s);
/* Return W's capacity. */
struct account_amount cell_worker_amount (const struct cell_worker *w);
/* Return what A uses, or may use. */
struct account_amount cell_account_use (const struct cell_account *a);
/* Bound the unseen runs of each account anew. */
void cell_accounts_bound_unseen (struct cell *c);
/* Count the resources of T, which has been assigned to a worker or taken from
   one. */
void cell_account_add_task (const struct cell_task *t);
void cell_account_remove_task (const struct cell_task *t);

/* Count RUN of TASK on W until it is certainly over: the cell has given it up,
   or it is not the current one.  A report that answers a hold sent before
   UNTIL_MS does not prove that it is over. */
void cell_account_add_other_run (struct cell *c, struct cell_worker *w,
                                 const char *task, uint64_t run,
                                 int64_t until_ms);
/* Forget the other runs on W, which does not answer, that are over by now;
   return whether there were any. */
bool cell_account_drop_other_runs (const struct cell *c,
                                   struct cell_worker *w);
/* Return from when on a report can prove that T's run is over, FROM_MS at the
   earliest.  A start without an answer may be carried out late. */
int64_t cell_run_unproved_until_ms (const struct cell *c,
                                    const struct cell_task *t,
                                    int64_t from_ms);
/* Process that RUN of TASK on W has ended. */
void cell_account_other_run_ended (struct cell_worker *w, const char *task,
                                   uint64_t run);
/* Process a conclusive REPORT of W, to a hold sent at SENT_MS. */
void cell_account_check_other_runs (struct cell_worker *w,
                                    const struct worker_report *report,
                                    int64_t sent_ms);
/* Process that all runs on W are over. */
void cell_account_clear_other_runs (struct cell_worker *w);
/* Add the runs that W may have beside those of its tasks to RUNS, "a(st)": the
   name of the task and the run. */
void cell_account_name_other_runs (const struct cell_worker *w,
                                   GVariantBuilder *runs);
/* Process that T's gang has ended with T's run: count the other members' runs
   until their workers report their ends. */
void cell_account_give_up_gang (struct cell *c, const struct cell_task *t,
                                int64_t now_ms);
/* Return whether a next owner would need the specification of JOB, which has
   ended, to count its runs. */
bool cell_account_needs_spec (const struct cell *c,
                              const struct cell_job *job);

/* cell_account_journal.c */
/* Load the record of the accounts' allotments, which replaces one loaded
   before.  It counts only if the latest of the earlier owners, all of which
   have been loaded, has written it. */
void cell_accounts_load (struct cell *c, GBytes *value);
/* Process that allotments, caps or the configured accounts may have changed:
   have the next append hold them if they differ from the record. */
void cell_accounts_note_change (struct cell *c);
/* Return the record as it is now, for an append; the caller frees it. */
struct journal_entry *cell_accounts_begin_append (struct cell *c);
/* Process that the append with the record is in the journal. */
void cell_accounts_commit (struct cell *c);
/* Process that no append with the record is in progress any more. */
void cell_accounts_end_append (struct cell *c);
/* Return the most that a next owner may load as the allotment of A. */
struct account_amount cell_account_journaled (const struct cell_account *a);

/* cell_account_figures.c */
/* Begin a count of the waiting tasks that the allotments allow beside what is
   used. */
void cell_accounts_begin_count (const struct cell *c);
/* Return how many of COUNT waiting tasks of STEP of JOB the allotment allows
   beside those counted before. */
uint32_t cell_account_count_allowed (const struct cell *c,
                                     const struct cell_job *job, uint32_t step,
                                     uint32_t count);

#endif
