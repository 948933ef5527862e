#ifndef STATUS_H
#define STATUS_H

#include "broker.h"
#include "plan.h"
#include "requests.h"
#include "turn.h"

/* Renders the status for operators: each target as "holds", "at risk", "does
   not hold" or "unknown" with the cause and the remedy; the maintenance waves;
   the pools; the nodes. */

struct status_input
{
  const struct turn *turn;
  const struct plan *plan;
  struct broker *broker;
  const struct requests *requests;
};

/* Return the status as JSON, which the caller frees. */
char *status_render (const struct status_input *input);

/* Return the maintenance waves and their progress as JSON, which the caller
   frees. */
char *status_render_waves (const struct status_input *input);

/* Return as JSON, which the caller frees, the state of SUBJECT (a VM, a
   "service/class" target or a key) and the reason for it.  Return NULL if
   nothing has that name. */
char *status_explain (const struct status_input *input, const char *subject);

/* Return as JSON, which the caller frees, the claim and the outcome of KEY of
   the team with TOKEN.  Return NULL if there is no such team or claim. */
char *status_render_key (const struct turn *turn, const char *token,
                         const char *key);

/* Return the claim of KEY of the team with index TEAM, whatever its class, or
   NULL; the claim belongs to FLEET.  FLEET must have a configuration. */
const struct fleet_claim *status_find_key (const struct fleet *fleet,
                                           uint32_t team, const char *key);

#endif
