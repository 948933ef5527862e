#ifndef WORKER_SCORE_H
#define WORKER_SCORE_H

#include <stdbool.h>
#include <stdint.h>

/* How a worker did of late: how long its runs took compared with others of
   their kind, and how many of them failed.  All zero before its first run. */

#define WORKER_SCORE_RUNS 16

struct worker_score
{
  uint16_t permille[WORKER_SCORE_RUNS]; /* run time by that of its kind */
  uint32_t permille_sum;
  uint32_t n_timed;
  uint32_t next_timed;
  uint32_t failures; /* a bit for each of the last ends */
  uint32_t n_ended;
};

/* Record that a run took RUN_MS where TYPICAL_MS is usual. */
void worker_score_add_time (struct worker_score *score, int64_t run_ms,
                            int64_t typical_ms);

/* Return the mean of the last run times by the usual ones in permille, or 0 if
   too few are known. */
uint32_t worker_score_slowness (const struct worker_score *score);

void worker_score_add_end (struct worker_score *score, bool has_failed);

/* Return how many of the last ends were failures. */
uint32_t worker_score_failures (const struct worker_score *score);

#endif
