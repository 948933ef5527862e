#ifndef JOB_H
#define JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Job specifications as callers submit them: steps of tasks with their
   resources and dependencies, and their encoding for the journal and for
   messages between nodes. */

#define JOB_ID_LENGTH 16
#define JOB_MAX_STEPS 256
#define JOB_MAX_TASKS 100000
#define JOB_MAX_OCCURRENCES 1000000
/* Maximum of a duration, 100 years, and of a Unix time, the year 2970: the
   sums that are formed of them fit into 64 bits. */
#define JOB_MAX_DURATION_MS ((int64_t)36525 * 86400 * 1000)
#define JOB_MAX_TIME_MS (10 * JOB_MAX_DURATION_MS)
#define JOB_MAX_DEADLINE_FACTOR 1000

struct job_step
{
  uint32_t count;         /* number of tasks */
  uint32_t cpu_milli;     /* thousandths of a core, for each task */
  uint32_t memory_mb;     /* for each task */
  uint32_t gpus;          /* for each task */
  int64_t estimate_ms;    /* the caller's estimate of one task's run time */
  GArray *depends_on;     /* uint32_t: steps that must be done first */
  bool is_gang;           /* all tasks run together or not at all */
  bool prefers_same_rack; /* tasks run slower when spread over racks */
  bool has_checkpoints;   /* a task can resume from its checkpoint */
  bool allows_duplicates; /* copies of a task may run in parallel */
  bool is_long_running;   /* runs until the job is cancelled */
  bool is_best_effort;    /* uses only processor time that others leave */
  char *label;            /* a label that the worker must have, or "" */
  char *preferred_rack;   /* the rack that holds the data, or "" */
  char *image;            /* what runs; tasks of one image behave alike */
  /* Maximum of the step's tasks on one worker; 0: no limit. */
  uint32_t max_per_worker;
  /* Tail latency that a task serving requests is to keep; 0: no target. */
  int64_t tail_latency_target_ms;
  /* Maximum of the step's tasks that planned work, such as an upkeep, may
     leave missing at once; 0: no limit. */
  uint32_t max_unavailable_tasks;
};

/* Whether the advice service must be asked before tasks are placed, and for
   how long its answer is valid.  All zero if it need not be asked. */
struct job_advice
{
  bool is_needed;
  int64_t valid_ms;
};

struct job_spec
{
  char id[JOB_ID_LENGTH + 1];
  char *queue;         /* name of the queue that accepted it */
  char *service;       /* service whose workers run it */
  char *account;       /* name of the client account, or "" */
  char *payload;       /* passed unchanged to each task */
  int64_t accepted_ms; /* Unix time */
  /* Unix time of the first occurrence; 0: at once. */
  int64_t first_occurrence_ms;
  int64_t interval_ms;  /* between the starts of two occurrences */
  uint32_t occurrences; /* 0: the job runs once, at once */
  uint32_t priority;    /* 0 is the highest */
  uint32_t max_attempts;
  double deadline_factor; /* deadline as a multiple of the critical path */
  int64_t target_ms;      /* time allowed on top of that multiple */
  struct job_advice advice;
  GPtrArray *steps; /* struct job_step * */
};

/* State of a job as reported to its caller. */
enum job_state
{
  JOB_PENDING,
  JOB_RUNNING,
  JOB_COMPLETED,
  JOB_FAILED,
  JOB_CANCELLED,
  JOB_STATE_COUNT
};

struct job_step *job_step_new (void);
void job_step_destroy (gpointer step);

struct job_spec *job_spec_new (const char *id);
void job_spec_destroy (struct job_spec *spec);

/* Return whether ID consists of JOB_ID_LENGTH hexadecimal digits. */
bool job_id_is_valid (const char *id);

/* Check the counts of steps, tasks and occurrences, the bounds of times, and
   that the dependencies among steps exist and form no cycle.  Return false
   with ERROR set if SPEC is invalid. */
bool job_spec_check (const struct job_spec *spec, GError **error);

/* Return the estimated length of the critical path in ms: the longest chain of
   dependent steps, each counted with the estimate of one task.  Return 0 if
   the steps form a cycle. */
int64_t job_spec_critical_path_ms (const struct job_spec *spec);
/* Return the same where a task of step I takes TASK_MS[I], not its estimate.
 */
int64_t job_spec_longest_path_ms (const struct job_spec *spec,
                                  const int64_t *task_ms);

/* Return the estimated processor time of all steps in millicore-seconds.
   Long-running and best-effort steps are left out. */
uint64_t job_spec_work_milli_s (const struct job_spec *spec);

/* Return whether some step runs until the job is cancelled. */
bool job_spec_is_long_running (const struct job_spec *spec);

/* Return SPEC encoded; the caller unrefs it. */
GBytes *job_spec_to_bytes (const struct job_spec *spec);

/* Decode BYTES.  Return the job, which the caller destroys, or NULL if BYTES
   are malformed or hold an invalid job. */
struct job_spec *job_spec_from_bytes (GBytes *bytes);

const char *job_state_name (enum job_state state);

/* The name of one task: its job's ID, the numbers of its occurrence and step,
   and its index in the step. */
struct task_name
{
  char job[JOB_ID_LENGTH + 1];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
};

/* Parse TEXT, "JOB.OCCURRENCE.STEP.INDEX", into *NAME.  Return false if TEXT
   has another form; *NAME may be partly written then. */
bool task_name_parse (const char *text, struct task_name *name);

#endif
