#include "cell_state.h"

/* Run times of the cell's tasks. */

int64_t
cell_expected_run_ms (const struct cell *c, const struct cell_job *job,
                      const struct job_step *s)
{
  return s->estimate_ms;
}
