#ifndef ACCOUNT_JOBS_H
#define ACCOUNT_JOBS_H

#include "cell_world.h"

/* Jobs of client accounts in a cell's world.  A task of world_job uses 1000
   thousandths of a core and 500 MB. */

/* A weight, which is also the rate of jobs, that no test reaches. */
#define NO_RATE 1000

/* Return what N tasks use. */
struct account_amount tasks (uint32_t n);

struct job_spec *job_of (const struct world *w, const char *id, uint32_t count,
                         const char *account);

/* Return how many tasks of ACCOUNT really run. */
guint count_real (const struct world *w, const char *account);

/* Return how many tasks of the first account the owner last reported to hold.
 */
guint held_tasks (const struct world *w);

#endif
