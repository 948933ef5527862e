#ifndef CELL_STATE_H
#define CELL_STATE_H

#include "account_rate.h"
#include "cell.h"
#include "job_order.h"
#include "worker_score.h"

/* The state of a cell, shared by the files that implement it:
   cell.c          creation, timers, orders
   cell_jobs.c     jobs, their tasks and how they end
   cell_calls.c    callers' calls that submit or cancel a job
   cell_excess.c   which new jobs are refused or fail at once
   cell_progress.c jobs' progress in the journal
   cell_workers.c  workers' incarnations and holds
   cell_leases.c   leases, fencing tokens, and runs that may start late
   cell_reports.c  workers' reports
   cell_runs.c     orders about runs, and emptying a worker
   cell_run_times.c  learned run times
   cell_health.c   workers that fail or slow down what they start
   cell_place.c    which task starts on which worker, with the files that
                   cell_place.h names
   cell_copies.c   second runs of tasks
   cell_stragglers.c  runs that take much longer than others
   cell_load.c     how large the pool has to be
   cell_accounts.c what client accounts use and may use, see cell_accounts.h
   cell_machines.c  workers whose machines are gone
   cell_owners.c   earlier owners, and how long their leases last
   cell_journal.c  appends to the journal
   cell_journal_load.c  loading it. */

/* Lease given with each hold and start.  A shorter lease frees the work of a
   dead worker sooner, a longer one bridges a change of owner.  Below
   hold_max_ms. */
#define CELL_LEASE_MS 4000
/* Longest time for which the calls of one order are sent, by a relay and by
   this node. */
#define CALL_TRANSIT_MAX_MS 1200
/* A call without an answer may be carried out this much later, also by the
   worker's next incarnation. */
#define CALL_LATE_MAX_MS 6000
/* An order without an answer is not carried out later than this after it was
   given. */
#define ORDER_SETTLED_MS (CALL_TRANSIT_MAX_MS + CALL_LATE_MAX_MS)
/* Value of lease_remaining_ms where a worker's record does not tell how long
   its leases last. */
#define LEASE_UNKNOWN (-1)
/* Cooldown of a worker where a task has stalled, or that became suspect after
   failures.  Until it ends, the worker is used only if no other one fits, and
   a suspect one not at all. */
#define CELL_COOLDOWN_MS 2500
/* A long-running task that has been at work for so long shows that its worker
   is sound, as another task shows by its end. */
#define CELL_LASTING_PROOF_MS 1500
/* Run numbers reserved for each task and epoch; the next epoch's numbers
   begin above them.  An owner that has used them up needs a new epoch. */
#define CELL_RUNS_PER_EPOCH 4096

/* Amounts of resources remembered as too large for every worker. */
#define CELL_NO_ROOM_MAX 8
/* Priorities whose waiting work is counted apart. */
#define CELL_PRIORITIES 4

enum task_phase
{
  TASK_WAITING,
  TASK_STARTING, /* ordered, but not answered yet */
  TASK_RUNNING,
  TASK_STOPPING, /* may also be a start whose outcome is unknown */
  TASK_DONE
};

struct cell_task
{
  struct cell_task *copy;     /* a second run of it, or NULL */
  struct cell_task *original; /* the task whose second run this is, or NULL */
  struct cell_occurrence *occurrence;
  uint32_t step;
  uint32_t index; /* within the step */
  enum task_phase phase;
  uint32_t pace_percent; /* processor share ordered for a best-effort task */
  int64_t phase_ms;      /* when the phase began */
  uint32_t failures;
  uint32_t runs_given; /* run numbers used by this epoch */
  uint64_t run;
  struct cell_worker *worker; /* from STARTING to STOPPING */
  uint32_t start_attempts;    /* starts of the current run that were ordered */
  bool has_pending_start;     /* a start is not answered yet */
  bool has_pending_call;      /* a start or stop is not answered yet */
  bool is_stop_acknowledged;  /* by the worker */
  bool is_every_run_known;    /* no run of an earlier owner is unreported */
  /* A call to start the current run had no answer, and may be carried out
     until then; 0 for none. */
  int64_t late_start_until_ms;
  int64_t placed_ms; /* when the worker's known incarnation last showed that it
                        has the run; 0 for not yet */
  int64_t run_over_ms; /* when its last run was known to be over; 0 for none */
  int64_t retry_ms;    /* earliest time of the next start or stop */
  int64_t failed_ms;   /* when a failure was last counted here; 0 for never */
  uint32_t percent;
  uint32_t stalls;     /* times that it was stopped for lack of progress */
  int64_t progress_ms; /* when percent or checkpoint last changed */
  int64_t begun_ms;    /* when its run began; 0 if that is not known, or if the
                          run resumed from a checkpoint */
  int64_t reported_value; /* as in struct worker_run */
  int64_t adjusted_ms;    /* when the pace last changed, or when preemption for
                             the task was last tried */
  char *checkpoint;       /* newest, or NULL */
  int64_t checkpoint_ms;  /* when that was first reported; 0 for never */
  char *avoid_worker;     /* where it last failed or stalled, or NULL */
  int64_t rack_wait_ms;   /* since when it waits for its preferred rack; 0 if
                             it does not */
  bool has_moved;         /* it was stopped to resume on a faster worker */
};

/* What the advice service has answered about a worker. */
struct step_ticket
{
  char *ticket; /* NULL if the worker may not run the step */
  int64_t expires_ms;
};

/* One occurrence of a job: its steps, run once. */
struct cell_occurrence
{
  struct cell_job *job;
  uint32_t number;
  bool is_due; /* its tasks may start */
  uint32_t n_tasks;
  struct cell_task *tasks;
  uint32_t *first_task;    /* by step: index in tasks of its first task */
  uint32_t *unfinished;    /* by step: tasks not in TASK_DONE */
  uint32_t *waiting;       /* by step: tasks in TASK_WAITING */
  GHashTable **tickets;    /* by step: worker to struct step_ticket, or NULL */
  int64_t *next_advice_ms; /* by step: when it is looked at next for advice */
  int64_t *copy_wanted_ms; /* by step: when a second run of a task was last
                              wanted; 0 for never */
  uint32_t *refused_questions; /* by step: answers in a row that allowed none
                                  of the workers asked for */
  uint32_t unfinished_steps;
};

struct cell_job
{
  struct job_spec *spec;
  struct cell_account *account;
  GPtrArray *occurrences; /* struct cell_occurrence *, not done yet */
  uint32_t next_occurrence;
  uint32_t done_occurrences;
  enum job_state state;           /* current */
  enum job_state journaled_state; /* as last journaled; callers see this one */
  bool is_long_running;
  bool is_loaded; /* from an earlier owner's journal */
  bool is_stored; /* the journal has its specification */
  bool has_started;
  bool is_change_queued; /* in changed_jobs of the cell */
  bool is_in_append;     /* in the append in progress */
  bool is_spec_kept;     /* it has ended, but the journal still has its
                            specification */
  bool is_held_back;     /* a task has not fitted its account's allotment */
  int64_t added_ms;      /* accepted here, or the takeover */
  int64_t deadline_ms;   /* desired end, for the order of placement */
  int64_t earlier_ms;    /* waited under earlier owners; -1 until known */
  double total_work;     /* estimated, in thousandths of a core times s */
  struct job_order_entry order; /* its place in the order of placement */
  int64_t ended_ms;
  GArray *submit_tokens; /* uint64_t */
  GArray *cancel_tokens; /* uint64_t */
};

/* An end of a run that another call may start again: in the worker's next
   incarnation, which does not know that the run has ended.  It is not
   acknowledged before that has become impossible. */
struct unsettled_end
{
  uint64_t number;
  int64_t until_ms;
};

struct cell_worker
{
  struct worker_entry *entry;
  bool is_listed;
  int64_t unlisted_ms;
  int64_t incarnation_start_ms; /* of the newest known incarnation; 0 for
                                   none */
  int64_t incarnation_known_ms; /* when that one became known */
  int64_t restarted_ms;         /* the same if it replaced a known one */
  bool has_ended;               /* no other one is known since it ended */
  bool is_confirmed; /* it has answered, and no call since then has shown that
                        it is unreachable or restarted */
  bool may_have_unseen_runs;   /* started by an earlier owner, and neither
                                  reported nor named in its record */
  uint64_t last_journaled_end; /* highest end number that the journal has */
  uint64_t last_processed_end; /* highest end number processed here */
  uint64_t acknowledged_end; /* highest one that the incarnation has been told
                                to forget, and has answered */
  GArray *unsettled_ends; /* struct unsettled_end; NULL before the first one */
  uint64_t pending_last_seen; /* last_seen of the last hold */
  bool is_change_queued;      /* in changed_workers of the cell */
  bool is_in_journal;         /* the journal has a record of it */
  bool may_receive_starts;    /* its record tells the next owner to ask it for
                                 runs that the record does not name */
  int64_t clock_ms;           /* the worker's clock, as last reported */
  int64_t clock_reported_ms;  /* when that report came; 0 for never in
                                 this incarnation */
  uint32_t restarts;          /* the cell's when its last one became known, or
                                 when the worker did */
  uint64_t hold_token;        /* fencing token of the last hold */
  bool has_taken_token;       /* it has answered a call under its present
                                 fencing token, so it refuses earlier calls */
  int64_t last_deadline_ms;   /* when a call with a deadline was last sent */
  int64_t lease_expiry_ms;    /* the leases given here, or known from an owner
                                 that yielded, have expired by then */
  bool may_have_earlier_leases; /* of unknown length, by earlier owners */
  int64_t lease_remaining_ms;   /* left when an earlier owner yielded, or
                                   LEASE_UNKNOWN */
  bool has_pending_hold;
  int64_t next_hold_ms;
  int64_t silent_ms; /* when a hold first got no answer; 0 if it answers, or
                        has not been asked */
  int64_t last_start_ms;    /* when a start there was last ordered */
  int64_t unanswered_ms;    /* when a start there was last left unanswered */
  uint32_t pending_starts;  /* that are not answered yet */
  int64_t pending_start_ms; /* since when there are some, or when the last
                               answer to one came */
  uint32_t absences; /* lists of machines in a row, since then, without it */
  int64_t absent_ms; /* when the last of these was asked for, once they show
                        that the worker has ended; 0 before that */
  int64_t blocked_until_ms; /* no start before this time */
  /* Until then a run that its task has given up may be there, though the
     worker has not reported it as unknown. */
  int64_t superfluous_until_ms;
  bool is_emptying;
  bool is_emptying_journaled; /* the next owner would go on emptying it */
  int64_t emptying_until_ms;  /* unless the request is repeated */
  int64_t emptying_since_ms;
  int64_t lease_ms;       /* length of each lease given */
  bool had_tasks;         /* when it last reported */
  uint32_t unknown_runs;  /* runs last reported that are not the cell's */
  uint32_t failed_streak; /* jobs failed in a row since a task was done */
  char failed_job[JOB_ID_LENGTH + 1];      /* the last one of these */
  char last_failed_job[JOB_ID_LENGTH + 1]; /* also if tasks were done since */
  bool is_failing; /* a much larger part of its runs fails than elsewhere */
  struct worker_score score;
  uint32_t slowness_permille; /* its run times by its peers'; 0 if unknown */
  int64_t timed_ms;           /* when the score last got a run time */
  int64_t stragglers_checked_ms;
  int64_t last_failure_ms;   /* when a task last failed or stalled */
  int64_t cooldown_until_ms; /* see CELL_COOLDOWN_MS */
  bool is_reserved;          /* in this placement, for reserved_job only */
  char reserved_job[JOB_ID_LENGTH + 1]; /* that it was last reserved for */
  GPtrArray *tasks; /* struct cell_task *, with a run here */
  struct worker_resources used;
  GPtrArray *other_runs; /* struct cell_other_run *, of accounts' jobs; NULL
                            before the first one */
};

/* The append in progress. */
struct cell_append
{
  GPtrArray *entries;     /* struct journal_entry *; NULL if there is none */
  GArray *jobs;           /* struct appended_job */
  GArray *workers;        /* struct appended_worker */
  bool has_accounts;      /* it holds the accounts' record */
  bool is_unclear;        /* an earlier attempt may still take effect */
  uint32_t pending_calls; /* orders that have not been answered */
  int64_t begun_ms;
  int64_t hedge_ms; /* when it is ordered again though a call is pending */
  int64_t retry_ms; /* earliest time of the next order without one */
};

/* What the append in progress says of a job. */
struct appended_job
{
  struct cell_job *job;
  enum job_state state;
  bool has_spec;
};

/* What the append in progress says of a worker. */
struct appended_worker
{
  struct cell_worker *worker;
  int64_t incarnation_start_ms;
  uint64_t last_processed_end;
  bool has_named_runs;
  bool is_emptying;
};

struct cell
{
  struct cell_options options;
  char *service;
  char *address;
  char *listed_owner;        /* or NULL */
  GPtrArray *earlier_owners; /* struct earlier_owner *, see cell_owners.c */
  bool is_active;            /* the journal has been loaded */
  bool is_fenced; /* a higher epoch has been met, or the cell has yielded */
  int64_t taken_over_ms;
  struct cell_accounts *accounts;
  GHashTable *jobs;     /* ID to struct cell_job * */
  GPtrArray *open_jobs; /* struct cell_job *, not ended, in placement order */
  bool has_unsorted_jobs;    /* open_jobs has to be sorted first */
  int64_t last_order_ms;     /* when the jobs were last put in order */
  bool is_overloaded;        /* some job can't end in time */
  int64_t overloaded_ms;     /* when that was last so */
  int64_t overload_begun_ms; /* when is_overloaded last changed */
  double milli_per_mb; /* processors of all workers for each MB of memory */
  uint64_t finite_cpu_milli; /* capacity for jobs that are not long-running */
  /* Work of the open jobs by priority, as of last_order_ms, in thousandths of
     a core times ms; the last one holds all lower priorities. */
  double open_work[CELL_PRIORITIES];
  struct account_rates *account_rates;
  struct worker_resources largest_worker; /* listed so far, by resource */
  uint64_t sized_workers;                 /* entries of workers so far */
  GHashTable *queue_work;    /* queue's name to struct queue_work * */
  GHashTable *workers;       /* ID to struct cell_worker * */
  GPtrArray *worker_list;    /* the same workers */
  uint32_t restarts;         /* of workers, that this owner has learned of */
  GQueue orders;             /* struct cell_order * */
  bool needs_placement;      /* something changed since the last placement */
  uint32_t waiting_priority; /* highest priority of a ready task that the last
                                placement left waiting; UINT32_MAX for none */
  bool has_pending_list;     /* of the machines */
  int64_t next_list_ms;
  int64_t list_interval_ms;
  bool wants_advice;            /* some step may lack advice */
  GPtrArray *advised;           /* char *, the workers of the question under
                                   way; or NULL */
  uint32_t advised_workers;     /* that were asked for, and of these ... */
  uint32_t allowed_workers;     /* ... those that the policy allowed */
  bool needs_epoch;             /* a task has no run number left */
  bool avoids_suspects;         /* few enough workers are suspect */
  bool has_avoided;             /* and some worker is */
  int64_t last_preemption_ms;   /* for a task that is not long-running */
  uint32_t reserved_priorities; /* in this placement, as bits */
  uint32_t reservation_tries;   /* the same, also those without success */
  int64_t last_placement_ms;
  int64_t last_workers_tick_ms;
  /* Resources of tasks that no worker had room for in this placement. */
  struct worker_resources no_room[CELL_NO_ROOM_MAX];
  uint32_t n_no_room;
  bool is_placing;
  uint32_t starts_left;    /* in this placement */
  bool is_every_run_known; /* no worker may have unseen runs */
  int64_t unseen_runs_logged_ms;
  int64_t unplaced_logged_ms;
  uint64_t held_tasks[2]; /* of ordinary and of wide jobs, see cell_excess.c */
  uint64_t accepted_jobs; /* accepted; neither long-running nor repeated */
  uint64_t accepted_work_milli_s; /* estimated work of these jobs */
  int64_t last_shortage_ms; /* when a long-running task last found no worker */
  bool may_start;           /* this node is sure enough of its ownership */
  int64_t confirmed_ms; /* until then no other node has owned the cell under a
                           higher epoch */
  int64_t wall_ms;
  GPtrArray *changed_jobs; /* for the next append */
  GPtrArray *changed_workers;
  GPtrArray *dropped_keys; /* char *, for the next append to drop */
  bool is_append_urgent;   /* a caller or a start waits for the next append */
  struct cell_append append;
  uint64_t sequence;
  int64_t last_append_ms;
  int64_t append_failing_since_ms; /* 0 while appends succeed */
  int64_t append_latency_ms;       /* moving average */
  int64_t last_purge_ms;
  int64_t ticked_ms;       /* time of the last tick */
  uint32_t peers_slowness; /* median of the workers' scores; 0 if unknown */
  int64_t compared_ms;     /* when workers were last compared */
  struct run_times *run_times; /* learned, see cell_run_times.c */
  GHashTable *rack_queues; /* rack to struct rack_queue *, see cell_racks.c */
};

/* cell.c */
struct cell_order *cell_add_order (struct cell *c, enum cell_order_kind kind);
/* Order EVENT to be logged with its SUBJECT and the "name=value" text of
   FORMAT. */
void cell_log_event (struct cell *c, const char *event, const char *subject,
                     const char *format, ...) G_GNUC_PRINTF (4, 5);
/* Answer all calls in TOKENS (uint64_t) and empty it. */
void cell_answer (struct cell *c, GArray *tokens, enum cell_answer answer);

/* cell_jobs.c */
void cell_job_destroy (gpointer p);
/* Add the job SPEC, which the cell owns from now on; with IS_LOADED from the
   journal. */
struct cell_job *cell_job_add (struct cell *c, struct job_spec *spec,
                               bool is_loaded, int64_t now_ms);
/* Return whether N occurrences of JOB can be open, those that earlier owners
   started included.  What an owner adds by this rule its successors load. */
bool cell_job_can_have_open (const struct cell_job *job, uint64_t n);
struct cell_occurrence *cell_job_add_occurrence (struct cell *c,
                                                 struct cell_job *job,
                                                 uint32_t number,
                                                 int64_t now_ms);
/* Return how many tasks of a job with SPEC are held at most while it is
   open. */
uint64_t cell_max_open_tasks (const struct job_spec *spec);
/* Return the open occurrence NUMBER of JOB, or NULL. */
struct cell_occurrence *cell_job_find_occurrence (struct cell_job *job,
                                                  uint32_t number);
void cell_job_load (struct cell *c, struct job_spec *spec);
/* Load the job ID, of which the journal has a record that can't be read: it
   fails, since running it again might run a task twice. */
void cell_job_load_unreadable (struct cell *c, const char *id);
const struct job_step *cell_task_step (const struct cell_task *t);
/* Return the task that counts the failures of T: the first one of a gang. */
struct cell_task *cell_task_failure_counter (const struct cell_task *t);
char *cell_task_name (const struct cell_task *t);
struct cell_task *cell_find_task (struct cell *c, const char *name);
/* Return the task of a run that a worker or an earlier owner names; add its
   occurrence if only that owner knew of it. */
struct cell_task *cell_find_started_task (struct cell *c, const char *name,
                                          int64_t now_ms);
void cell_task_set_phase (struct cell_task *t, enum task_phase phase,
                          int64_t now_ms);
/* Forget what is known of T's current run. */
void cell_task_clear_run (struct cell_task *t);
/* Process that T's run is over or lost since OVER_MS.  T gets the run of its
   copy, if it has one, and else goes back to TASK_WAITING.  A successor that
   took over before may have started it again, so that it waits for the store
   to confirm this owner.  A T that is itself a copy is freed. */
void cell_task_reset (struct cell *c, struct cell_task *t, int64_t over_ms,
                      int64_t now_ms);
/* Process END of one of T's runs, which W has reported. */
void cell_task_ended (struct cell *c, struct cell_task *t,
                      struct cell_worker *w, const struct worker_end *end,
                      int64_t now_ms);
/* End JOB in STATE, unless it has ended: stop its tasks and journal it. */
void cell_job_end (struct cell *c, struct cell_job *job, enum job_state state,
                   int64_t now_ms);
/* Let the occurrences of JOB start that are due, and add missing ones. */
void cell_job_add_due_occurrences (struct cell *c, struct cell_job *job,
                                   int64_t now_ms);
/* Return how many tasks of STEP of JOB have been started and are not done. */
uint32_t cell_job_count_started (const struct cell_job *job, guint step);
/* Return whether a task of JOB is on a worker. */
bool cell_job_has_assigned_task (const struct cell_job *job);
/* Forget jobs that ended more than keep_state_ms ago. */
void cell_jobs_purge_ended (struct cell *c, int64_t now_ms);

/* cell_copies.c */
/* Return whether T may have a second run. */
bool cell_may_copy (const struct cell_task *t);
/* Return T or its copy, whichever has RUN on WORKER, or NULL. */
struct cell_task *cell_task_find_run (struct cell_task *t, const char *worker,
                                      uint64_t run);
/* Return a new copy of T, which has none, without a worker. */
struct cell_task *cell_copy_new (struct cell_task *t, int64_t now_ms);
/* Free T's copy, if it has one; its run is over. */
void cell_copy_drop (struct cell_task *t);
/* Exchange the runs of T and its copy; both have one. */
void cell_copy_swap (struct cell_task *t);
/* Give the run of T's copy to T, whose own is over. */
void cell_copy_promote (struct cell_task *t);
/* Take RUN on W, which an earlier owner started, as T's second run. */
void cell_copy_adopt (struct cell_task *t, struct cell_worker *w, uint64_t run,
                      int64_t now_ms);
/* Load RUN on W, which is named in W's record, as T's second run.  Return
   false if T has two already: W may then have it as if it were not named. */
bool cell_copy_load (struct cell_task *t, struct cell_worker *w, uint64_t run,
                     int64_t now_ms);
/* Stop the runs of T that have been started. */
void cell_task_stop_runs (struct cell *c, struct cell_task *t, int64_t now_ms);
/* Of two runs of T that earlier owners started, and both workers have
   reported, keep the one with more progress and stop the other. */
void cell_copy_settle (struct cell *c, struct cell_task *t, int64_t now_ms);

/* cell_progress.c */
GBytes *cell_job_progress (const struct cell_job *job);
void cell_job_load_progress (struct cell *c, const char *id, GBytes *bytes);

/* cell_workers.c */
void cell_worker_destroy (gpointer p);
struct cell_worker *cell_worker_add (struct cell *c, const char *id);
void cell_workers_tick (struct cell *c, int64_t now_ms);
/* Process that W has started or restarted; its next report decides which runs
   are lost. */
void cell_worker_begin_incarnation (struct cell *c, struct cell_worker *w,
                                    int64_t incarnation_start_ms,
                                    int64_t now_ms);
/* Process that W's incarnation has certainly ended. */
void cell_worker_end_incarnation (struct cell_worker *w, int64_t now_ms);
/* Return whether a hold of W is due now, so that it acknowledges ends soon
   after a report. */
bool cell_worker_must_be_heard (struct cell_worker *w, int64_t now_ms);
/* Return whether the cell calls W: the list does not show it under another
   service. */
bool cell_worker_may_call (const struct cell_worker *w);
/* Return whether the list shows W's incarnation.  Until then it may be in
   another service, which has to process its runs and ends alone. */
bool cell_worker_is_incarnation_listed (const struct cell_worker *w);
/* Return whether this owner had no successor when it learned of W's last
   restart. */
bool cell_worker_is_restart_confirmed (const struct cell *c,
                                       const struct cell_worker *w);
/* Return whether W counts for the cell's capacity: it has reported, is listed
   and does not drain. */
bool cell_worker_is_in_service (const struct cell_worker *w);
/* Return whether a task of S fits into ROOM beside USED.  A best-effort task
   needs no processors. */
bool cell_step_fits (const struct job_step *s,
                     const struct worker_resources *used,
                     const struct worker_resources *room);
/* Take from AMOUNT what a task of S uses, at most all of it. */
void cell_step_subtract (const struct job_step *s,
                         struct worker_resources *amount);
void cell_worker_assign_task (struct cell_worker *w, struct cell_task *t);
void cell_worker_unassign_task (struct cell_worker *w, struct cell_task *t);
/* Return a worker that may run tasks of an earlier owner on leases that have
   not expired and has not reported its runs, or NULL if there is none. */
const struct cell_worker *
cell_find_worker_with_unseen_runs (const struct cell *c);

/* cell_leases.c */
/* Return the fencing token of the cell's calls to W. */
uint64_t cell_worker_token (const struct cell *c, const struct cell_worker *w);
/* Return when the leases of the runs that are placed on W have expired, unless
   a successor extends them. */
int64_t cell_worker_leases_until_ms (const struct cell *c,
                                     const struct cell_worker *w);
/* The same for all its runs. */
int64_t cell_worker_runs_until_ms (const struct cell *c,
                                   const struct cell_worker *w);
/* Return whether the store has confirmed this owner since the leases of the
   placed runs have expired, so that no successor can have extended them. */
bool cell_worker_leases_expired (const struct cell *c,
                                 const struct cell_worker *w);
/* Return when the longest lease has expired that a call sent by SENT_MS may
   give, though it had no answer. */
int64_t cell_late_lease_until_ms (const struct cell *c, int64_t sent_ms);
/* Return the deadline, on W's clock, of a lease given now, and update
   lease_expiry_ms.  The clock must be known. */
int64_t cell_lease_deadline (struct cell_worker *w, int64_t now_ms);
/* Return whether CLOCK_MS, in an answer that came now, is surely the clock of
   W's known incarnation. */
bool cell_clock_is_known (const struct cell_worker *w, int64_t clock_ms,
                          int64_t now_ms);
/* Process that W has replaced its known incarnation. */
void cell_leases_begin_incarnation (struct cell *c, struct cell_worker *w,
                                    int64_t now_ms);
/* Return until when calls of earlier owners may be carried out; 0 if there are
   no earlier owners. */
int64_t cell_earlier_calls_until_ms (const struct cell *c);
/* Set W's leases of earlier owners, by its record, at the takeover. */
void cell_leases_activate (const struct cell *c, struct cell_worker *w,
                           int64_t now_ms);
/* Process that W has answered a call under its present fencing token. */
void cell_leases_token_taken (const struct cell *c, struct cell_worker *w,
                              int64_t now_ms);
/* Return whether a call to start T's current run may be carried out after
   AT_MS. */
bool cell_run_may_start_late (const struct cell_task *t, int64_t at_ms);
/* Return whether the known incarnation of T's worker has its run, and no other
   one can get it. */
bool cell_run_is_placed (const struct cell_task *t);
/* Return when the lease of T's run has expired, whichever incarnation of its
   worker carries out the calls that had no answer. */
int64_t cell_run_until_ms (const struct cell *c, const struct cell_task *t);
/* Note that END of T's run, on W, must not be acknowledged while another call
   may start the run again. */
void cell_note_unsettled_end (struct cell_worker *w, const struct cell_task *t,
                              const struct worker_end *end, int64_t now_ms);
/* Return the highest end of W that may be acknowledged now, END at most. */
uint64_t cell_settled_end (struct cell_worker *w, uint64_t end,
                           int64_t now_ms);
/* Return whether T's run, on a worker that does not answer, is over. */
bool cell_run_is_over (const struct cell *c, const struct cell_task *t);

/* cell_health.c */
/* Count a failure against W, where a task of JOB has failed or stalled. */
void cell_worker_count_failure (struct cell *c, struct cell_worker *w,
                                const char *job, int64_t now_ms);
/* Count a task that W has done. */
void cell_worker_count_done (struct cell *c, struct cell_worker *w);
/* Forget the failures in a row on W, where something has worked. */
void cell_worker_clear_streak (struct cell_worker *w);
/* Forget how W did: it is another incarnation. */
void cell_worker_forget_score (struct cell_worker *w);
/* Return whether W seems to fail what it starts; it then gets one task at a
   time until one is done, or has lasted, and much fewer fail. */
bool cell_worker_is_suspect (const struct cell_worker *w);
/* Return whether nothing shows that W is sound: it has done no task since one
   failed there, or fails much more of them than other workers. */
bool cell_worker_is_doubtful (const struct cell_worker *w);
/* Return whether T, which is long-running, has been at work for
   CELL_LASTING_PROOF_MS. */
bool cell_task_has_lasted (const struct cell_task *t, int64_t now_ms);
/* Count a run on W that took RUN_MS where TYPICAL_MS is usual. */
void cell_worker_time_run (struct cell *c, struct cell_worker *w,
                           int64_t run_ms, int64_t typical_ms, int64_t now_ms);
/* Compare the workers' speeds with each other. */
void cell_compare_workers (struct cell *c, int64_t now_ms);
/* Return whether W takes more than twice, or four times, as long as its peers.
 */
bool cell_worker_is_slow (const struct cell_worker *w);
bool cell_worker_is_very_slow (const struct cell_worker *w);
/* Return whether W, which is slow, has to show whether it still is. */
bool cell_worker_needs_speed_probe (const struct cell_worker *w,
                                    int64_t now_ms);

/* cell_runs.c */
/* Repeat unanswered stops, and stop stalled tasks so that they restart. */
void cell_run_timers (struct cell *c, struct cell_worker *w, int64_t now_ms);
/* Slow best-effort tasks on W while the tail latency of serving tasks there is
   near its target, and speed them up again below that. */
void cell_pace_best_effort (struct cell *c, struct cell_worker *w,
                            int64_t now_ms);
void cell_stop_task (struct cell *c, struct cell_task *t, int64_t now_ms);
/* If T is being stopped, have that ordered again: its worker may know of no
   stop. */
void cell_repeat_stop (struct cell_task *t, int64_t now_ms);
/* The same if T's run is reported by a hold that was sent at SENT_MS, though
   its stop should be over. */
void cell_check_stop (const struct cell *c, struct cell_task *t,
                      int64_t sent_ms, int64_t now_ms);
/* Keep T's run, which has ended, on its worker while a call to start it may
   still be carried out. */
void cell_keep_ended_run (struct cell_task *t, int64_t now_ms);
/* Stop the current run of T, which an earlier run has done.  T gives up the
   run's room, but until the run is over its worker gets no start of a step
   that limits its tasks on a worker, and none at all if it does not check its
   room itself. */
void cell_stop_superfluous_run (struct cell *c, const struct cell_task *t,
                                int64_t now_ms);
void cell_send_stop (struct cell *c, const struct cell_worker *w,
                     const char *task, uint64_t run);
void cell_send_start (struct cell *c, struct cell_task *t, int64_t now_ms);
/* Return how many tasks of T's step, other than T, are unavailable. */
uint32_t cell_step_count_unavailable (const struct cell_task *t);

/* cell_machines.c */
/* Process that W has not answered a hold. */
void cell_machines_note_silence (struct cell *c, struct cell_worker *w,
                                 int64_t now_ms);
/* Ask which machines are up while the leases of a silent worker are waited
   for. */
void cell_machines_tick (struct cell *c, int64_t now_ms);

/* cell_owners.c */
GPtrArray *cell_owners_new (void);
/* Load the record of an earlier owner. */
void cell_owner_load (struct cell *c, const char *key, GBytes *value);
void cell_owners_activate (struct cell *c, int64_t now_ms);
/* Ask earlier owners to stop, and drop the records of those whose leases have
   expired. */
void cell_owners_tick (struct cell *c, int64_t now_ms);
/* Return the epoch of the latest earlier owner; 0 for no earlier owner. */
uint64_t cell_owners_newest_epoch (const struct cell *c);
/* Return when the leases of all earlier owners have expired; 0 for no earlier
   owners. */
int64_t cell_owners_leases_until_ms (const struct cell *c);

/* cell_racks.c */
GHashTable *cell_rack_queues_new (void);
/* Return how many times as long a task of S takes on W as in its preferred
   rack. */
double cell_rack_factor (const struct cell *c, const struct job_step *s,
                         const struct cell_worker *w);

/* cell_excess.c */
/* Return whether the new job SPEC is beyond its account's rate. */
bool cell_is_excess (struct cell *c, const struct job_spec *spec,
                     int64_t now_ms);
/* Return whether an excess job SPEC is refused, as the cell is overloaded. */
bool cell_refuses_excess (const struct cell *c, const struct job_spec *spec);
/* Answer the call with TOKEN that its excess job SPEC is refused. */
void cell_refuse_excess (struct cell *c, const struct job_spec *spec,
                         uint64_t token, int64_t now_ms);

/* Return whether the cell holds too many tasks to accept the new job SPEC. */
bool cell_is_full (const struct cell *c, const struct job_spec *spec);
/* Count the tasks of the new job SPEC as held. */
void cell_hold_tasks (struct cell *c, const struct job_spec *spec);
/* Count all tasks that are held anew: jobs have been forgotten, or loaded. */
void cell_count_held_tasks (struct cell *c);

/* Note the SIZE of a worker that is listed. */
void cell_note_worker_size (struct cell *c,
                            const struct worker_resources *size);
/* End JOB, which is new, as failed if no worker can ever hold one of its
   tasks; return whether it was. */
bool cell_fail_if_impossible (struct cell *c, struct cell_job *job,
                              int64_t now_ms);

/* cell_order.c */
/* Set the place of JOB, which is new, in the order of placement, and count it
   in the mean work of its queue. */
void cell_order_add_job (struct cell *c, struct cell_job *job);

/* cell_place.c */
void cell_place (struct cell *c, int64_t now_ms);
/* Start a second run of T on W. */
void cell_start_copy (struct cell *c, struct cell_task *t,
                      struct cell_worker *w, int64_t now_ms);
/* Return whether O is due and all steps that STEP depends on are done. */
bool cell_step_is_ready (const struct cell_occurrence *o, uint32_t step);
/* Return whether some worker could start T now; record a shortage if none
   can. */
bool cell_has_worker_for (struct cell *c, const struct cell_task *t,
                          int64_t now_ms);

/* cell_run_times.c */
/* Return how long one task of S, a step of SPEC, is expected to run, in ms. */
int64_t cell_expected_run_ms (const struct cell *c,
                              const struct job_spec *spec,
                              const struct job_step *s);
/* Return the learned quantile PERCENT of the run times of S, a step of SPEC,
   in ms, or -1 if too few are known. */
int64_t cell_learned_run_ms (const struct cell *c, const struct job_spec *spec,
                             const struct job_step *s, uint32_t percent);
/* Return the length in ms of SPEC's critical path by the expected run times.
 */
int64_t cell_expected_path_ms (const struct cell *c,
                               const struct job_spec *spec);
/* Learn from END of T's current run, on W.  Runs that resumed
   from a checkpoint show nothing, and those on suspect or slow workers nothing
   of their step. */
void cell_learn_from_end (struct cell *c, struct cell_worker *w,
                          const struct cell_task *t,
                          const struct worker_end *end, int64_t now_ms);

/* Learn whether the second of two runs of T was done first. */
void cell_learn_from_copy (struct cell *c, const struct cell_task *t,
                           bool has_won, int64_t now_ms);
/* Return whether second runs of tasks like T end first often enough. */
bool cell_copies_pay (const struct cell *c, const struct cell_task *t,
                      int64_t now_ms);

/* cell_stragglers.c */
/* Deal with runs on W, which has just reported them, that take much longer
   than others of their step. */
void cell_check_stragglers (struct cell *c, struct cell_worker *w,
                            int64_t now_ms);

/* A worker's record in the journal: its address, incarnation and last
   journaled end, whether its runs are named, whether it is being emptied, how
   long its leases last, and the named runs. */
#define CELL_WORKER_RECORD_TYPE "(sxtbbxa(st))"
/* The key of the accounts' record, see cell_account_journal.c. */
#define CELL_ACCOUNTS_KEY "a:"

/* cell_journal.c */
/* Have the next append hold the change of JOB or W; an urgent one is sent
   sooner. */
void cell_journal_job (struct cell *c, struct cell_job *job, bool is_urgent);
void cell_journal_worker (struct cell *c, struct cell_worker *w);
/* Return the journal's record of W as it is now, with ENDS as its highest
   journaled end number; the caller frees it.  With NAMES_RUNS the record lists
   every run that may be there, so that the reader has to wait for these only.
   Nobody but the reader extends the leases, and they expire within
   LEASE_REMAINING_MS, unless that is LEASE_UNKNOWN. */
struct journal_entry *cell_worker_entry (const struct cell_worker *w,
                                         uint64_t ends, bool names_runs,
                                         int64_t lease_remaining_ms);
/* Have the next append drop KEY, which the cell owns from now on. */
void cell_journal_drop (struct cell *c, char *key);
void cell_journal_tick (struct cell *c, int64_t now_ms);
/* Return whether appends have failed for a while. */
bool cell_store_is_unreachable (const struct cell *c, int64_t now_ms);
void cell_journal_clear (struct cell *c);

#endif
