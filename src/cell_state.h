#ifndef CELL_STATE_H
#define CELL_STATE_H

#include "cell.h"

/* The state of a cell, shared by the files that make it up:
   cell.c          creation, time, orders
   cell_jobs.c     jobs, their tasks and how they end
   cell_workers.c  leases, and what workers report
   cell_runs.c     orders about runs, and emptying a worker
   cell_place.c    which task starts where
   cell_journal.c  what is written before it is said. */

/* A lease is extended to this; shorter frees the work of a dead worker
   sooner, longer bridges a change of owner.  Below hold_max_ms. */
#define CELL_LEASE_MS 4000
/* A worker's record does not tell how long its leases last. */
#define LEASE_UNKNOWN (-1)
/* A worker where a task stood still is used only if no other fits, and a
   suspect one not at all, for so long. */
#define CELL_SHUN_MS 2500
/* Runs that one epoch may give a task before the numbers of the next. */
#define CELL_RUNS_PER_EPOCH 4096

enum task_phase
{
  TASK_WAITING,
  TASK_STARTING, /* ordered; the answer is out */
  TASK_RUNNING,
  TASK_STOPPING, /* ends, or may never have begun */
  TASK_DONE
};

struct cell_task
{
  struct cell_occurrence *occurrence;
  uint32_t step;
  uint32_t index;
  enum task_phase phase;
  int64_t phase_ms; /* since when */
  uint32_t failures;
  uint32_t runs; /* given by this epoch */
  uint64_t run;
  struct cell_worker *worker; /* from STARTING to STOPPING */
  uint32_t start_tries;       /* without an answer */
  bool call_out;              /* a start or stop is on its way */
  bool stop_heard;            /* the worker acknowledged the stop */
  bool is_known;              /* no earlier owner's run can be unseen */
  int64_t retry_ms;           /* not started or called again before */
  uint32_t percent;
  int64_t moved_ms; /* when percent last changed */
  int64_t figure;
  uint32_t pace;      /* ordered share of a task that fills */
  int64_t paced_ms;   /* when it was last changed */
  char *checkpoint;   /* newest, or NULL */
  char *avoid_worker; /* where it last failed, or NULL */
};

struct step_ticket
{
  char *ticket;
  int64_t until_ms;
};

/* One running of a job's steps. */
struct cell_occurrence
{
  struct cell_job *job;
  uint32_t number;
  uint32_t n_tasks;
  struct cell_task *tasks;
  uint32_t *first;      /* place of a step's first task */
  uint32_t *undone;     /* tasks of a step that are not done */
  uint32_t *waiting;    /* tasks of a step in TASK_WAITING */
  GHashTable **tickets; /* by step: worker to struct step_ticket, or NULL */
  int64_t *advice_ms;   /* by step: when advice may be asked next */
  uint32_t steps_undone;
};

struct cell_job
{
  struct job_spec *spec;
  GPtrArray *occurrences; /* struct cell_occurrence *, not done yet */
  uint32_t next_occurrence;
  uint32_t done_occurrences;
  enum job_state state; /* as it is */
  enum job_state shown; /* as the journal has it */
  bool lasts;
  bool loaded; /* from an earlier owner's journal */
  bool stored;
  bool started;
  bool queued; /* in the journal's list of changes */
  int64_t taken_ms;
  int64_t due_ms; /* goal for its end, for the order of placing */
  int64_t ended_ms;
  GArray *submit_tokens; /* uint64_t */
  GArray *cancel_tokens; /* uint64_t */
};

struct cell_worker
{
  struct worker_entry *entry;
  bool listed;
  int64_t unlisted_ms;
  int64_t born_ms;    /* of the life that was heard last; 0 for none */
  bool confirmed;     /* has answered since it last failed to */
  bool inherited;     /* an earlier owner's runs may be there unseen */
  uint64_t last_seen; /* ends that the journal has */
  uint64_t ends_taken;
  bool queued;      /* in the journal's list of changes */
  bool in_journal;  /* the journal has a record of it */
  bool may_start;   /* that record says that runs may be there unseen */
  int64_t clock_ms; /* the worker's clock, as last heard */
  int64_t clock_heard_ms;
  int64_t lease_over_ms; /* by then every run has ended, if not extended */
  int64_t lease_left_ms; /* of an owner that yielded, then; or LEASE_UNKNOWN */
  bool hold_out;
  int64_t next_hold_ms;
  int64_t blocked_ms; /* no start before */
  bool leaving;       /* to be emptied */
  bool leaving_saved; /* the journal says so: the next owner knows */
  int64_t leaving_ms; /* not longer than until then */
  int64_t leaving_since_ms;
  int64_t lease_ms;       /* given with each hold and start */
  uint32_t strangers;     /* runs last reported that are not the cell's */
  uint32_t failed_streak; /* jobs failed in a row since a task was done */
  char failed_job[JOB_ID_LENGTH + 1]; /* the last one of these */
  int64_t shunned_ms;                 /* see CELL_SHUN_MS */
  GPtrArray *tasks;                   /* struct cell_task *, with a run here */
  struct worker_room used;
};

/* The append that is on its way. */
struct cell_flight
{
  GPtrArray *entries; /* struct journal_entry *; NULL for none */
  GArray *jobs;       /* struct flight_job */
  GArray *workers;    /* struct flight_worker */
  bool unclear;       /* an earlier try may be done yet */
  bool call_out;
  int64_t begun_ms;
  int64_t retry_ms;
};

struct flight_job
{
  struct cell_job *job;
  enum job_state state;
  bool with_spec;
};

struct flight_worker
{
  struct cell_worker *worker;
  uint64_t ends_taken;
  bool silent;
  bool leaving;
};

struct cell
{
  struct cell_options options;
  char *service;
  bool active;
  bool fenced;
  int64_t taken_over_ms;
  GHashTable *jobs; /* ID to struct cell_job * */
  GPtrArray *open;  /* struct cell_job *, not ended, in order of placing */
  bool open_unsorted;
  GHashTable *workers;    /* ID to struct cell_worker * */
  GPtrArray *worker_list; /* the same */
  GQueue orders;          /* struct cell_order * */
  bool place_needed;
  bool spares_suspects; /* few enough workers are suspect */
  int64_t placed_ms;
  bool is_settled; /* every worker of an earlier owner has answered */
  int64_t unsettled_noted_ms;
  uint64_t jobs_taken;         /* that end and are not scheduled */
  uint64_t work_taken_milli_s; /* of these */
  int64_t short_ms;            /* when a task that lasts last found no place */
  bool may_start;
  int64_t wall_ms;
  GPtrArray *changed_jobs; /* for the next append */
  GPtrArray *changed_workers;
  GPtrArray *dropped_keys; /* char *, to leave the journal */
  bool urgent;             /* somebody waits for the next append */
  struct cell_flight flight;
  uint64_t sequence;
  int64_t flushed_ms;
  int64_t away_ms; /* since when appends fail; 0 while they are done */
  int64_t swept_ms;
};

/* cell.c */
struct cell_order *cell_add_order (struct cell *c, enum cell_order_kind kind);
void cell_note (struct cell *c, const char *event, const char *subject,
                const char *format, ...) G_GNUC_PRINTF (4, 5);
void cell_answer (struct cell *c, GArray *tokens, enum cell_answer answer);

/* cell_jobs.c */
void cell_job_destroy (gpointer p);
void cell_job_load (struct cell *c, struct job_spec *spec);
const struct job_step *cell_task_step (const struct cell_task *t);
char *cell_task_name (const struct cell_task *t);
struct cell_task *cell_find_task (struct cell *c, const char *name);
void cell_task_set_phase (struct cell_task *t, enum task_phase phase,
                          int64_t now_ms);
/* The task's run is over or lost; it waits for its next start. */
void cell_task_free (struct cell *c, struct cell_task *t, int64_t now_ms);
void cell_task_ended (struct cell *c, struct cell_task *t,
                      struct cell_worker *w, const struct worker_end *end,
                      int64_t now_ms);
void cell_job_end (struct cell *c, struct cell_job *job, enum job_state state,
                   int64_t now_ms);
/* Add the occurrences that are due. */
void cell_job_open_due (struct cell *c, struct cell_job *job, int64_t now_ms);
GBytes *cell_job_progress (const struct cell_job *job);
void cell_job_load_progress (struct cell *c, const char *id, GBytes *bytes);
void cell_jobs_sweep (struct cell *c, int64_t now_ms);

/* cell_workers.c */
void cell_worker_destroy (gpointer p);
struct cell_worker *cell_worker_add (struct cell *c, const char *id);
/* A task of JOB has failed on W, or stands still there. */
void cell_worker_blame (struct cell *c, struct cell_worker *w, const char *job,
                        int64_t now_ms);
/* Whether W seems to fail what it starts: it gets one task at a time until
   one is done. */
bool cell_worker_is_suspect (const struct cell_worker *w);
void cell_workers_tick (struct cell *c, int64_t now_ms);
void cell_worker_put_task (struct cell_worker *w, struct cell_task *t);
void cell_worker_take_task (struct cell_worker *w, struct cell_task *t);
/* Return a worker that an earlier owner may have given work, and that has not
   told what it runs; NULL if there is none. */
const struct cell_worker *cell_unsettled_worker (const struct cell *c,
                                                 int64_t now_ms);
/* Return the deadline of a lease given now, and note when it is surely over.
 */
int64_t cell_lease_deadline (struct cell_worker *w, int64_t now_ms);

/* cell_runs.c */
/* Repeat stops, and start stalled tasks anew. */
void cell_run_timers (struct cell *c, struct cell_worker *w, int64_t now_ms);
/* Slow tasks that fill beside serving ones whose tail grows. */
void cell_pace_fillers (struct cell *c, struct cell_worker *w, int64_t now_ms);
void cell_stop_task (struct cell *c, struct cell_task *t, int64_t now_ms);
void cell_order_stop (struct cell *c, const struct cell_worker *w,
                      const char *task, uint64_t run);
void cell_order_start (struct cell *c, struct cell_task *t, int64_t now_ms);
/* Return how many tasks of T's step other than T are not at work. */
uint32_t cell_step_missing (const struct cell_task *t);

/* cell_place.c */
void cell_place (struct cell *c, int64_t now_ms);
/* Return whether T could be started on a worker now; note it if not. */
bool cell_has_place (struct cell *c, const struct cell_task *t,
                     int64_t now_ms);

/* cell_journal.c */
void cell_journal_job (struct cell *c, struct cell_job *job, bool urgent);
void cell_journal_worker (struct cell *c, struct cell_worker *w);
/* Return the journal's record of W as it is now, with its ends up to ENDS.
   With NAMES_RUNS it holds all the runs that may be there, so that the reader
   has to wait for these only.  Nobody but the reader extends its leases, and
   they are over within LEASE_LEFT_MS, unless that is LEASE_UNKNOWN. */
struct journal_entry *cell_worker_entry (const struct cell_worker *w,
                                         uint64_t ends, bool names_runs,
                                         int64_t lease_left_ms);
/* Have KEY, which the journal owns from now on, dropped. */
void cell_journal_drop (struct cell *c, char *key);
void cell_journal_tick (struct cell *c, int64_t now_ms);
/* Whether appends have failed for a while. */
bool cell_store_is_away (const struct cell *c, int64_t now_ms);
void cell_journal_clear (struct cell *c);

#endif
