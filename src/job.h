#ifndef JOB_H
#define JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a caller asks to have run: steps of tasks with sizes and an order, and
   the encoding of jobs for the journal and between nodes. */

#define JOB_ID_LENGTH 16
#define JOB_MAX_STEPS 256
#define JOB_MAX_TASKS 100000
#define JOB_MAX_OCCURRENCES 1000000

struct job_step
{
  uint32_t count;         /* of tasks */
  uint32_t cpu_milli;     /* thousandths of a core, for each task */
  uint32_t memory_mb;     /* for each task */
  uint32_t gpus;          /* for each task */
  int64_t estimate_ms;    /* the caller's guess of one task's run time */
  GArray *after;          /* uint32_t: steps that have to be done first */
  bool is_gang;           /* all tasks run together or not at all */
  bool one_rack;          /* slow when spread over racks */
  bool checkpoints;       /* a task can go on from a saved point */
  bool duplicates;        /* copies may run in parallel */
  bool lasts;             /* runs until the job is cancelled */
  bool fills;             /* uses only processor time that others leave */
  char *label;            /* a label that the worker must have, or "" */
  char *near_rack;        /* the rack of the data, or "" */
  char *image;            /* what runs; tasks of one image behave alike */
  uint32_t per_worker;    /* most tasks on one worker; 0 for no limit */
  int64_t tail_target_ms; /* of the response times that it serves; 0 none */
  uint32_t may_miss;      /* tasks that planned work may take away at once */
};

/* How long the advice service needs; all zero where it need not be asked. */
struct job_advice
{
  bool needed;
  int64_t valid_ms;
};

struct job_spec
{
  char id[JOB_ID_LENGTH + 1];
  char *queue;          /* name of the route that took it */
  char *service;        /* whose workers run it */
  char *payload;        /* handed to each task as it is */
  int64_t accepted_ms;  /* Unix time */
  int64_t first_ms;     /* Unix time of the first occurrence; 0 for now */
  int64_t interval_ms;  /* between two occurrences */
  uint32_t occurrences; /* 0 for a job that runs once, at once */
  uint32_t priority;    /* 0 comes first */
  uint32_t max_attempts;
  double stretch; /* of the longest chain of work, for its deadline */
  int64_t target_ms;
  struct job_advice advice;
  GPtrArray *steps; /* struct job_step * */
};

/* How a job stands, as its caller is told. */
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

/* Return whether ID has the form of a job's ID. */
bool job_id_is_valid (const char *id);

/* Check counts, sizes and the order among steps.  Return false with ERROR set
   if the job could never be run as it is written. */
bool job_spec_check (const struct job_spec *spec, GError **error);

/* Return the estimated length of the longest chain of steps, in ms. */
int64_t job_spec_chain_ms (const struct job_spec *spec);

/* Return the work of all steps that end, as estimated, in thousandths of a
   core for a second. */
uint64_t job_spec_work_milli_s (const struct job_spec *spec);

/* Return whether some step lasts until the job is cancelled. */
bool job_spec_lasts (const struct job_spec *spec);

GBytes *job_spec_to_bytes (const struct job_spec *spec);

/* Return the job that BYTES hold, or NULL if they are malformed. */
struct job_spec *job_spec_from_bytes (GBytes *bytes);

const char *job_state_name (enum job_state state);

/* The name of one task: job, occurrence, step and place in the step. */
struct task_name
{
  char job[JOB_ID_LENGTH + 1];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
};

/* Parse TEXT, "JOB.OCCURRENCE.STEP.INDEX". */
bool task_name_parse (const char *text, struct task_name *name);

#endif
