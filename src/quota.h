#ifndef QUOTA_H
#define QUOTA_H

#include "config.h"

#include <stdbool.h>
#include <stdint.h>

/* Who uses the slots of one pool.  Each team is entitled to the part of the
   pool that its quota is of all quotas.  What a team leaves unused is lent,
   and comes back as the runs that borrowed it end. */

/* One team's use of the pool. */
struct quota_team
{
  char *name;
  uint32_t quota_slots;
  uint32_t used;
  uint32_t waiting;
};

struct quota;

struct quota *quota_new (void);
void quota_destroy (struct quota *quota);

/* Take the teams' quotas from CONFIG, which may be NULL. */
void quota_sync (struct quota *quota, const struct config *config);

/* Return the team named NAME, adding it if it is new.  It stays where it is
   until QUOTA is destroyed. */
struct quota_team *quota_team (struct quota *quota, const char *name);

/* Return the slots of SLOTS that TEAM is entitled to, in thousandths. */
int64_t quota_entitled_milli (const struct quota *quota,
                              const struct quota_team *team, uint32_t slots);

/* Return whether TEAM may have one more of SLOTS within its quota. */
bool quota_is_within (const struct quota *quota, const struct quota_team *team,
                      uint32_t slots);

/* Return whether any team but TEAM uses or waits for slots. */
bool quota_is_contended (const struct quota *quota,
                         const struct quota_team *team);

#endif
