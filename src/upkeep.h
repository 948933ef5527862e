#ifndef UPKEEP_H
#define UPKEEP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Maintenance waves: which machine goes down for upkeep next.  Pure; times
   are those of a steady clock. */

enum machine_state
{
  MACHINE_UP,
  MACHINE_MOVING,
  MACHINE_IN_UPKEEP,
  MACHINE_DOWN
};

/* A machine as the platform lists it. */
struct machine
{
  char *name;
  char *service; /* whose pool it is in */
  char *worker;  /* ID of its worker, or "" */
  enum machine_state state;
};

/* Return an array of struct machine * that destroys them. */
GPtrArray *machines_new (void);
struct machine *machines_add (GPtrArray *machines);
const struct machine *machines_find (const GPtrArray *machines,
                                     const char *name);

/* What operators ask for. */
struct wave_request
{
  int64_t number;
  GPtrArray *machines;  /* char * */
  int64_t finish_by_ms; /* from when it was asked */
  uint32_t cap;         /* machines of the wave down at once */
};

struct wave_request *wave_request_new (int64_t number);
void wave_request_destroy (gpointer request);

struct upkeep;

struct upkeep *upkeep_new (void);
void upkeep_destroy (struct upkeep *upkeep);

/* Add a wave, which the upkeep owns from now on; one known is kept. */
void upkeep_add_wave (struct upkeep *upkeep, struct wave_request *request,
                      int64_t now_ms);

/* The store says that the wave is completed. */
void upkeep_wave_completed (struct upkeep *upkeep, int64_t number);

/* The upkeep of MACHINE has been begun, as this owner or the journal knows. */
void upkeep_machine_begun (struct upkeep *upkeep, int64_t wave,
                           const char *machine, int64_t now_ms);

/* What to do next. */
enum upkeep_step_kind
{
  UPKEEP_NOTHING,
  UPKEEP_EMPTY,   /* have the machine's worker emptied */
  UPKEEP_COMPLETE /* write that the wave is completed */
};

struct upkeep_step
{
  enum upkeep_step_kind kind;
  int64_t wave;
  const struct machine *machine;
};

/* Fill STEPS (struct upkeep_step) with what is to be done, given MACHINES as
   listed now.  DOWN_MS is how long an upkeep takes at most. */
void upkeep_plan (struct upkeep *upkeep, const GPtrArray *machines,
                  int64_t down_ms, int64_t now_ms, GArray *steps);

/* Return whether some wave is not completed. */
bool upkeep_has_work (const struct upkeep *upkeep);

/* Return the names of the wave's machines begun so far, as "A,B,C". */
char *upkeep_begun_text (const struct upkeep *upkeep, int64_t wave);

#endif
