#ifndef STATUS_H
#define STATUS_H

#include "broker.h"
#include "plan.h"
#include "requests.h"
#include "turn.h"

/* What operators read back: each target with holds, at risk, does not hold or
   unknown, the cause and the remedy; waves; pools; nodes. */

struct status_input
{
  const struct turn *turn;
  const struct plan *plan;
  struct broker *broker;
  const struct requests *requests;
};

/* Return the status as JSON, which the caller frees. */
char *status_render (const struct status_input *input);

/* Return the maintenance intentions and their progress as JSON, which the
   caller frees. */
char *status_render_waves (const struct status_input *input);

/* Return why SUBJECT (a key, "service/class" target, VM or wave) is as it is,
   as JSON, or NULL if nothing has that name. */
char *status_explain (const struct status_input *input, const char *subject);

/* Return what is known of KEY of the team with TOKEN as JSON, or NULL. */
char *status_key (const struct turn *turn, const char *token, const char *key);

/* Find the claim of KEY of team number TEAM in any class. */
const struct fleet_claim *status_find_key (const struct fleet *fleet,
                                           uint32_t team, const char *key);

#endif
