#ifndef UPKEEP_H
#define UPKEEP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Plans maintenance waves: which machine goes down for upkeep next.  Machines
   whose workers are idle go first.  Of a pool's other machines only some are
   emptied at a time, so that their work finds room on the rest: a wave of many
   machines would otherwise close most of a pool's workers at once.  Pure: no
   input or output; times are milliseconds of a steady clock. */

enum machine_state
{
  MACHINE_UP,
  MACHINE_MOVING,
  MACHINE_IN_UPKEEP,
  MACHINE_DOWN,
  MACHINE_IN_OTHER_STATE /* one that this version does not know */
};

/* A machine as listed by the platform. */
struct machine
{
  char *name;
  char *service; /* service whose pool it is in */
  char *worker;  /* ID of the worker on it, or "" */
  enum machine_state state;
  bool is_idle; /* its worker has no run, as far as is known */
  /* An order for it may have been, or may be, carried out unknown to this
     node. */
  bool may_be_ordered;
};

/* Return an array of struct machine * that destroys them. */
GPtrArray *machines_new (void);
/* Append an empty machine, which MACHINES owns. */
struct machine *machines_add (GPtrArray *machines);
/* Return the machine called NAME, or NULL if it is not listed. */
const struct machine *machines_find (const GPtrArray *machines,
                                     const char *name);

/* A maintenance wave as operators request it. */
struct wave_request
{
  int64_t number;
  GPtrArray *machines;      /* char * */
  int64_t finish_within_ms; /* time allowed, counted from the request */
  uint32_t max_down;        /* maximum of the wave's machines down at once */
};

/* Return a request without machines, which the caller destroys. */
struct wave_request *wave_request_new (int64_t number);
void wave_request_destroy (gpointer request);

/* The maintenance waves and the progress of each. */
struct upkeep;

struct upkeep *upkeep_new (void);
void upkeep_destroy (struct upkeep *upkeep);

/* Add the wave of REQUEST, which the upkeep owns from now on.  If the wave is
   known, REQUEST replaces the earlier one and the wave's progress is kept. */
void upkeep_add_wave (struct upkeep *upkeep, struct wave_request *request);

/* Record that wave NUMBER is completed.  A wave that is not known is
   ignored. */
void upkeep_mark_wave_completed (struct upkeep *upkeep, int64_t number);

/* Record that the upkeep of MACHINE in wave WAVE has begun, whether this owner
   has ordered it or the journal says so, before or after the wave is added.
   The first time recorded is kept. */
void upkeep_mark_machine_begun (struct upkeep *upkeep, int64_t wave,
                                const char *machine, int64_t now_ms);

/* Kind of an action that a plan asks for. */
enum upkeep_action_kind
{
  UPKEEP_NOTHING,
  UPKEEP_EMPTY_WORKER, /* empty the machine's worker, then order its upkeep */
  UPKEEP_COMPLETE      /* write that the wave is completed */
};

struct upkeep_action
{
  enum upkeep_action_kind kind;
  int64_t wave;
  const struct machine *machine; /* NULL for UPKEEP_COMPLETE */
};

/* Append the actions to take now to ACTIONS (struct upkeep_action), which
   refer to MACHINES, the current list.  DOWN_MS is the longest time from the
   order of an upkeep until the list shows the machine up again. */
void upkeep_plan (struct upkeep *upkeep, const GPtrArray *machines,
                  int64_t down_ms, int64_t now_ms, GArray *actions);

/* Return whether any wave is not completed. */
bool upkeep_has_work (const struct upkeep *upkeep);

/* Return the names of the wave's machines whose upkeep has begun, as "A,B,C"
   in no particular order; the caller frees the string. */
char *upkeep_begun_names (const struct upkeep *upkeep, int64_t wave);

#endif
