#ifndef CORE_H
#define CORE_H

#include "counters.h"
#include "message.h"

#include <glib.h>
#include <stdint.h>

/* The decision logic of one node as a deterministic state machine: a message
   and the current time go in, messages come out.  It does no I/O and reads no
   clock, so replay and the tests on virtual time run the code of the
   product. */

/* Interval at which the core must get a MESSAGE_TICK. */
#define CORE_TICK_MS 50

struct core_options
{
  const char *node;
  const char *zone;
  uint64_t incarnation; /* larger than any earlier one of this node */
  uint32_t max_requests;
  uint64_t seed;
};

struct core;

/* Create the core of a node.  OPTIONS is copied; COUNTERS must outlive the
   core. */
struct core *core_new (const struct core_options *options,
                       struct counters *counters);
void core_destroy (struct core *core);

/* Handle MESSAGE, which the core destroys, at NOW_MS.  Append the resulting
   messages (struct message *) to OUT; the caller owns them. */
void core_handle (struct core *core, struct message *message, int64_t now_ms,
                  GQueue *out);

/* Return this node's copy of the fleet state.  It is valid until the next call
   of core_handle. */
const struct fleet *core_fleet (const struct core *core);

#endif
