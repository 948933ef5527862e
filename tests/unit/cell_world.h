#ifndef CELL_WORLD_H
#define CELL_WORLD_H

#include "cell.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A world for a cell on virtual time: workers with fences, leases and lists
   of ends, a journal with epochs, and owners that follow each other.  It
   checks at each start that no task runs twice, none runs after an end "done"
   that was taken note of, and none more often than it may fail. */

#define WORLD_WORKERS 6
/* The job that most tests submit. */
#define WORLD_JOB "00000000000000a1"

struct world_run
{
  char *task;
  uint64_t run;
  int64_t begun_ms;
  int64_t ends_ms;
  int64_t stop_ms; /* when it ends as stopped; 0 if not asked to */
};

struct world_worker
{
  char *id;
  bool alive;
  bool reachable;
  bool fails_all; /* whatever it starts fails at once */
  int64_t born_ms;
  uint64_t fence;
  int64_t deadline_ms; /* of all its leases */
  uint64_t last_number;
  uint64_t noted;  /* ends that an owner has taken note of */
  GPtrArray *runs; /* struct world_run * */
  GArray *ends;    /* struct worker_end */
};

/* What goes wrong, in percent. */
struct world_faults
{
  int start_lost;  /* carried out, not answered */
  int start_late;  /* not answered, carried out some seconds later */
  int append_lost; /* done, not answered */
  int append_refused;
  int task_fails;
};

struct world
{
  int64_t now_ms;
  uint64_t epoch;
  struct cell *cell;   /* the owner */
  struct cell *zombie; /* an earlier owner that does not know yet, or NULL */
  int64_t zombie_until_ms;
  struct world_worker workers[WORLD_WORKERS];
  GHashTable *journal; /* key to GBytes * */
  uint64_t journal_epoch;
  uint64_t journal_sequence;
  bool store_away;
  struct world_faults faults;
  GRand *rand;
  GPtrArray *late;        /* struct late_start * */
  GPtrArray *holds;       /* struct late_hold * */
  GPtrArray *appends;     /* struct late_append * */
  GHashTable *done_noted; /* tasks whose end "done" was taken note of */
  GHashTable *failures;   /* task to count of noted failed ends */
  uint32_t max_attempts;
  int64_t run_ms;      /* of a task */
  int64_t startup_ms;  /* of a task that lasts, before it is at work */
  GHashTable *answers; /* token to enum cell_answer */
  GString *broken;     /* what rule was broken, one a line */
  uint32_t starts;
};

struct world *world_new (uint32_t seed);
void world_destroy (struct world *w);

/* Let FOR_MS pass. */
void world_run (struct world *w, int64_t for_ms);

/* A new owner with a higher epoch takes over.  The one before dies, or, with
   YIELDS, hands over; with ZOMBIE_MS it goes on for so long. */
void world_take_over (struct world *w, bool yields, int64_t zombie_ms);

/* Return a job of STEPS steps after each other with COUNT tasks each. */
struct job_spec *world_job (const struct world *w, const char *id, guint steps,
                            uint32_t count);

/* Submit the job and return its token. */
uint64_t world_submit (struct world *w, struct job_spec *spec);

/* Return the answer to TOKEN, or -1. */
int world_answer (const struct world *w, uint64_t token);

/* Return the job's state as a caller sees it; JOB_STATE_COUNT if unknown. */
enum job_state world_state (const struct world *w, const char *id);

struct world_worker *world_find_run (struct world *w, const char *task);

/* The worker crashes, and is there again with nothing if REBORN. */
void world_crash (struct world *w, struct world_worker *worker, bool reborn);

/* Return WORLD_JOB as one step of COUNT tasks that last, each on a worker of
   its own. */
struct job_spec *world_lasting_job (const struct world *w, uint32_t count,
                                    uint32_t may_miss);

/* Submit JOBS jobs with the IDs 0, 1, ... of one step of TASKS tasks. */
void world_submit_many (struct world *w, guint jobs, uint32_t tasks);

/* Return how many of the first COUNT tasks of WORLD_JOB run. */
guint world_count_running (struct world *w, uint32_t count);

/* Return how many of the jobs with the IDs 0 to JOBS - 1 are in STATE. */
guint world_count_state (struct world *w, guint jobs, enum job_state state);

void world_assert_unbroken (const struct world *w);

#endif
