#include "worker_score.h"

#include <glib.h>

/* One in thirty tasks runs seven times as long as others.  A single run counts
   as at most this, so that two such tasks do not make a worker look slow. */
#define PERMILLE_MAX 6000
/* Timed runs that a worker needs before it is judged. */
#define MIN_TIMED 4

void
worker_score_add_time (struct worker_score *score, int64_t run_ms,
                       int64_t typical_ms)
{
  int64_t permille = MAX (run_ms, 0) * 1000 / MAX (typical_ms, 1);
  uint16_t *slot = &score->permille[score->next_timed];

  score->permille_sum -= *slot;
  *slot = (uint16_t)MIN (permille, PERMILLE_MAX);
  score->permille_sum += *slot;
  score->next_timed = (score->next_timed + 1) % WORKER_SCORE_RUNS;
  score->n_timed = MIN (score->n_timed + 1, WORKER_SCORE_RUNS);
}

uint32_t
worker_score_slowness (const struct worker_score *score)
{
  return score->n_timed < MIN_TIMED ? 0 : score->permille_sum / score->n_timed;
}

void
worker_score_add_end (struct worker_score *score, bool has_failed)
{
  score->failures = ((score->failures << 1) | has_failed)
                    & ((1U << WORKER_SCORE_RUNS) - 1);
  score->n_ended = MIN (score->n_ended + 1, WORKER_SCORE_RUNS);
}

uint32_t
worker_score_failures (const struct worker_score *score)
{
  return (uint32_t)__builtin_popcount (score->failures);
}
