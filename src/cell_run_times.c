#include "cell_state.h"

#include "run_times.h"

#include <string.h>

/* Run times of the cell's tasks, learned from the ends that this owner sees.
   Nothing of it is journaled: a new owner learns again. */

/* Length of a key; longer names are cut off. */
#define KEY_BYTES 256

/* Return the key under which run times of S, a step of SPEC, are learned; TEXT
   has room for KEY_BYTES. */
static const char *
step_key (const struct job_spec *spec, const struct job_step *s, char *text)
{
  guint step = 0;

  if (s->image[0] != '\0')
    return s->image;
  while (step < spec->steps->len
         && g_ptr_array_index (spec->steps, step) != (gpointer)s)
    step++;
  g_snprintf (text, KEY_BYTES, "%s step %u", spec->queue, step);
  return text;
}

static const char *
task_key (const struct cell_task *t, char *text)
{
  return step_key (t->occurrence->job->spec, cell_task_step (t), text);
}

int64_t
cell_learned_run_ms (const struct cell *c, const struct job_spec *spec,
                     const struct job_step *s, uint32_t percent)
{
  char text[KEY_BYTES];

  return run_times_quantile_ms (c->run_times, step_key (spec, s, text),
                                percent, c->ticked_ms);
}

int64_t
cell_expected_run_ms (const struct cell *c, const struct job_spec *spec,
                      const struct job_step *s)
{
  int64_t learned_ms = cell_learned_run_ms (c, spec, s, 50);

  return learned_ms >= 0 ? learned_ms : s->estimate_ms;
}

int64_t
cell_expected_path_ms (const struct cell *c, const struct job_spec *spec)
{
  int64_t task_ms[JOB_MAX_STEPS];

  for (guint i = 0; i < spec->steps->len; i++)
    task_ms[i]
        = cell_expected_run_ms (c, spec, g_ptr_array_index (spec->steps, i));
  return job_spec_longest_path_ms (spec, task_ms);
}

void
cell_learn_from_end (struct cell *c, struct cell_worker *w,
                     const struct cell_task *t, const struct worker_end *end,
                     int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  const struct job_spec *spec = t->occurrence->job->spec;
  char text[KEY_BYTES];
  int64_t typical_ms, run_ms;

  if (end->result != END_DONE || t->begun_ms == 0 || s->is_long_running
      || s->is_best_effort)
    return;
  /* What it takes in the rack of its data. */
  run_ms
      = (int64_t)((double)(now_ms - t->begun_ms) / cell_rack_factor (c, s, w));
  typical_ms = cell_learned_run_ms (c, spec, s, 50);
  if (typical_ms >= 0)
    cell_worker_time_run (c, w, run_ms, typical_ms, now_ms);
  if (!cell_worker_is_suspect (w) && !cell_worker_is_slow (w))
    run_times_add (c->run_times, task_key (t, text), run_ms, now_ms);
}

void
cell_learn_from_copy (struct cell *c, const struct cell_task *t, bool has_won,
                      int64_t now_ms)
{
  char text[KEY_BYTES];

  run_times_add_copy (c->run_times, task_key (t, text), has_won, now_ms);
}

bool
cell_copies_pay (const struct cell *c, const struct cell_task *t,
                 int64_t now_ms)
{
  char text[KEY_BYTES];

  return run_times_copies_pay (c->run_times, task_key (t, text), now_ms);
}
