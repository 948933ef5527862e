#ifndef QUOTA_H
#define QUOTA_H

#include "config.h"

#include <stdbool.h>
#include <stdint.h>

/* Shares of the teams in the slots of one pool.  A team is entitled to the
   fraction of the slots that its quota is of the sum of all quotas.  Other
   teams may use the slots that it leaves unused; it gets them back as their
   runs end. */

/* One team's quota and use of the pool. */
struct quota_team
{
  char *name;
  uint32_t quota_slots;
  uint32_t used;    /* slots; kept by the caller */
  uint32_t waiting; /* requests; kept by the caller */
};

struct quota;

struct quota *quota_new (void);
void quota_destroy (struct quota *quota);

/* Set the teams' quotas from CONFIG.  A team that is not in it, or every team
   if CONFIG is NULL, gets quota 0. */
void quota_sync (struct quota *quota, const struct config *config);

/* Return the team named NAME, adding it with quota 0 if it is new.  The
   pointer is valid until QUOTA is destroyed. */
struct quota_team *quota_team (struct quota *quota, const char *name);

/* Return how many of SLOTS slots TEAM is entitled to, in thousandths. */
int64_t quota_entitled_milli (const struct quota *quota,
                              const struct quota_team *team, uint32_t slots);

/* Return whether TEAM, with one slot more than now, is within its quota of
   SLOTS slots. */
bool quota_is_within (const struct quota *quota, const struct quota_team *team,
                      uint32_t slots);

/* Return whether any team but TEAM uses or waits for slots. */
bool quota_is_contended (const struct quota *quota,
                         const struct quota_team *team);

#endif
