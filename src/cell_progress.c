#include "cell_state.h"

#include "variant_bytes.h"

/* A job's progress in the journal: its state, the number of its next
   occurrence, the count of those done and, for each open one, its number, a
   bit for each task that is done and the failures of each task. */
#define PROGRESS_TYPE "(yuua(uayay))"

static GVariant *
occurrence_progress (const struct cell_occurrence *o)
{
  gsize size = (o->n_tasks + 7) / 8;
  uint8_t *done = g_malloc0 (size);
  uint8_t *failures = g_malloc0 (o->n_tasks);
  bool any_failed = false;
  GVariant *v;

  for (uint32_t i = 0; i < o->n_tasks; i++)
    {
      if (o->tasks[i].phase == TASK_DONE)
        done[i / 8] |= (uint8_t)(1U << (i % 8));
      failures[i] = (uint8_t)MIN (o->tasks[i].failures, 255);
      any_failed = any_failed || failures[i] != 0;
    }
  v = g_variant_new (
      "(u@ay@ay)", o->number,
      g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, done, size, 1),
      g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, failures,
                                 any_failed ? o->n_tasks : 0, 1));
  g_free (done);
  g_free (failures);
  return v;
}

GBytes *
cell_job_progress (const struct cell_job *job)
{
  GVariantBuilder open;

  g_variant_builder_init (&open, G_VARIANT_TYPE ("a(uayay)"));
  if (job->state < JOB_COMPLETED)
    for (guint i = 0; i < job->occurrences->len; i++)
      g_variant_builder_add_value (
          &open,
          occurrence_progress (g_ptr_array_index (job->occurrences, i)));
  return variant_to_bytes (g_variant_new (PROGRESS_TYPE, (guchar)job->state,
                                          job->next_occurrence,
                                          job->done_occurrences, &open));
}

static void
load_occurrence (struct cell *c, struct cell_job *job, GVariant *v)
{
  struct cell_occurrence *o;
  GVariant *done_bits, *failure_counts;
  uint32_t number;
  gsize n_done, n_failures;
  const uint8_t *done, *failures;

  g_variant_get (v, "(u@ay@ay)", &number, &done_bits, &failure_counts);
  done = g_variant_get_fixed_array (done_bits, &n_done, 1);
  failures = g_variant_get_fixed_array (failure_counts, &n_failures, 1);
  o = cell_job_find_occurrence (job, number);
  if (o == NULL)
    o = cell_job_add_occurrence (c, job, number, c->taken_over_ms);
  for (uint32_t i = 0; i < o->n_tasks; i++)
    {
      if (i < n_failures)
        o->tasks[i].failures = failures[i];
      if (i / 8 >= n_done || !(done[i / 8] & (1U << (i % 8)))
          || o->tasks[i].phase == TASK_DONE)
        continue;
      cell_task_set_phase (&o->tasks[i], TASK_DONE, c->taken_over_ms);
      if (--o->unfinished[o->tasks[i].step] == 0)
        o->unfinished_steps--;
      job->has_started = true;
    }
  g_variant_unref (done_bits);
  g_variant_unref (failure_counts);
}

/* Return whether JOB can have the progress V: each occurrence takes memory for
   all its tasks. */
static bool
can_have_progress (const struct cell_job *job, GVariant *v)
{
  uint32_t total = MAX (job->spec->occurrences, 1);
  uint32_t next, done, number;
  GVariantIter *open;
  bool is_possible;

  g_variant_get (v, PROGRESS_TYPE, NULL, &next, &done, &open);
  is_possible
      = next <= total && done <= total
        && cell_job_can_have_open (job, g_variant_iter_n_children (open));
  while (g_variant_iter_next (open, "(u@ay@ay)", &number, NULL, NULL))
    is_possible = is_possible && number < total;
  g_variant_iter_free (open);
  return is_possible;
}

static void
load_occurrences (struct cell *c, struct cell_job *job, GVariantIter *open)
{
  GVariant *progress;

  while ((progress = g_variant_iter_next_value (open)) != NULL)
    {
      load_occurrence (c, job, progress);
      g_variant_unref (progress);
    }
}

void
cell_job_load_progress (struct cell *c, const char *id, GBytes *bytes)
{
  struct cell_job *job = g_hash_table_lookup (c->jobs, id);
  GVariant *v = variant_from_bytes (bytes, PROGRESS_TYPE);
  guchar state_number;
  uint32_t next, done;
  GVariantIter *open;
  enum job_state state;

  if (v == NULL
      || (job != NULL && job->state < JOB_COMPLETED
          && !can_have_progress (job, v)))
    {
      g_clear_pointer (&v, g_variant_unref);
      cell_job_load_unreadable (c, id);
      return;
    }
  if (job != NULL && job->state >= JOB_COMPLETED)
    {
      g_variant_unref (v); /* its specification could not be read */
      return;
    }
  g_variant_get (v, PROGRESS_TYPE, &state_number, &next, &done, &open);
  state = state_number < JOB_STATE_COUNT ? (enum job_state)state_number
                                         : JOB_PENDING;
  /* Of a job that has ended the journal keeps the state, but not the
     specification. */
  if (job == NULL && state >= JOB_COMPLETED)
    job = cell_job_add (c, job_spec_new (id), true, c->taken_over_ms);
  if (job != NULL)
    {
      job->next_occurrence = next;
      job->done_occurrences = done;
      load_occurrences (c, job, open);
      job->state = state;
      job->journaled_state = state;
      if (state >= JOB_COMPLETED)
        {
          job->is_spec_kept = job->spec->steps->len > 0;
          g_ptr_array_remove (c->open_jobs, job);
          job->ended_ms = c->taken_over_ms;
        }
    }
  g_variant_iter_free (open);
  g_variant_unref (v);
}
