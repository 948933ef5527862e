#include "job.h"

#include "error.h"
#include "variant_bytes.h"

#include <stdio.h>
#include <string.h>

#define STEP_TYPE "(uuuuxaubbbbbbsssuxu)"
#define SPEC_TYPE "(ssssxxxuuudxbxa" STEP_TYPE ")"
/* A job of a client account.  Jobs without one keep the type that earlier
   releases read. */
#define ACCOUNT_SPEC_TYPE "(s" SPEC_TYPE ")"

struct job_step *
job_step_new (void)
{
  struct job_step *s = g_new0 (struct job_step, 1);

  s->depends_on = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  s->label = g_strdup ("");
  s->preferred_rack = g_strdup ("");
  s->image = g_strdup ("");
  return s;
}

void
job_step_destroy (gpointer step)
{
  struct job_step *s = step;

  if (s == NULL)
    return;
  g_array_unref (s->depends_on);
  g_free (s->label);
  g_free (s->preferred_rack);
  g_free (s->image);
  g_free (s);
}

struct job_spec *
job_spec_new (const char *id)
{
  struct job_spec *s = g_new0 (struct job_spec, 1);

  g_strlcpy (s->id, id, sizeof s->id);
  s->queue = g_strdup ("");
  s->service = g_strdup ("");
  s->account = g_strdup ("");
  s->payload = g_strdup ("");
  s->max_attempts = 1;
  s->deadline_factor = 1;
  s->steps = g_ptr_array_new_with_free_func (job_step_destroy);
  return s;
}

void
job_spec_destroy (struct job_spec *spec)
{
  if (spec == NULL)
    return;
  g_free (spec->queue);
  g_free (spec->service);
  g_free (spec->account);
  g_free (spec->payload);
  g_ptr_array_unref (spec->steps);
  g_free (spec);
}

bool
job_id_is_valid (const char *id)
{
  if (strlen (id) != JOB_ID_LENGTH)
    return false;
  for (const char *c = id; *c != '\0'; c++)
    if (!g_ascii_isxdigit (*c))
      return false;
  return true;
}

static bool
step_is_valid (const struct job_spec *spec, guint step, GError **error)
{
  const struct job_step *s = g_ptr_array_index (spec->steps, step);

  if (s->count == 0 || s->count > JOB_MAX_TASKS)
    {
      g_set_error (error, SHED_ERROR, ERROR_INVALID,
                   "step %u has %u tasks; write 1 to %u", step, s->count,
                   JOB_MAX_TASKS);
      return false;
    }
  for (guint i = 0; i < s->depends_on->len; i++)
    if (g_array_index (s->depends_on, uint32_t, i) >= spec->steps->len)
      {
        g_set_error (error, SHED_ERROR, ERROR_INVALID,
                     "step %u depends on a step that does not exist; name "
                     "steps of this job only",
                     step);
        return false;
      }
  return true;
}

/* Values that stand for a step without a computed length. */
#define PATH_NOT_COMPUTED (-1)
#define PATH_IN_PROGRESS (-2)

/* Return the length in ms of the longest path that ends with STEP, or -1 if
   STEP depends on itself.  TASK_MS is as in job_spec_longest_path_ms; PATH_MS
   holds the lengths computed so far. */
static int64_t
path_to_step_ms (const struct job_spec *spec, guint step,
                 const int64_t *task_ms, int64_t *path_ms)
{
  const struct job_step *s = g_ptr_array_index (spec->steps, step);
  int64_t longest_ms = 0;

  if (path_ms[step] >= 0)
    return path_ms[step];
  if (path_ms[step] == PATH_IN_PROGRESS)
    return -1;
  path_ms[step] = PATH_IN_PROGRESS;
  for (guint i = 0; i < s->depends_on->len; i++)
    {
      uint32_t dependency = g_array_index (s->depends_on, uint32_t, i);
      int64_t length_ms = path_to_step_ms (spec, dependency, task_ms, path_ms);

      if (length_ms < 0)
        return -1;
      longest_ms = MAX (longest_ms, length_ms);
    }
  path_ms[step]
      = longest_ms + MAX (task_ms != NULL ? task_ms[step] : s->estimate_ms, 0);
  return path_ms[step];
}

/* Return the length of the critical path in ms, or -1 if the steps form a
   cycle. */
static int64_t
critical_path_ms (const struct job_spec *spec, const int64_t *task_ms)
{
  int64_t path_ms[JOB_MAX_STEPS];
  int64_t longest_ms = 0;

  for (guint i = 0; i < spec->steps->len; i++)
    path_ms[i] = PATH_NOT_COMPUTED;
  for (guint i = 0; i < spec->steps->len; i++)
    {
      int64_t length_ms = path_to_step_ms (spec, i, task_ms, path_ms);

      if (length_ms < 0)
        return -1;
      longest_ms = MAX (longest_ms, length_ms);
    }
  return longest_ms;
}

static bool
is_duration (int64_t value_ms)
{
  return value_ms >= -JOB_MAX_DURATION_MS && value_ms <= JOB_MAX_DURATION_MS;
}

static bool
is_time (int64_t value_ms)
{
  return value_ms >= -JOB_MAX_TIME_MS && value_ms <= JOB_MAX_TIME_MS;
}

static bool
times_are_valid (const struct job_spec *spec, GError **error)
{
  bool is_valid
      = is_time (spec->accepted_ms) && is_time (spec->first_occurrence_ms)
        && is_duration (spec->interval_ms) && is_duration (spec->target_ms)
        && is_duration (spec->advice.valid_ms) && spec->deadline_factor >= 0
        && spec->deadline_factor <= JOB_MAX_DEADLINE_FACTOR;

  for (guint i = 0; i < spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (spec->steps, i);

      is_valid = is_valid && is_duration (s->estimate_ms)
                 && is_duration (s->tail_latency_target_ms);
    }
  if (!is_valid)
    g_set_error (error, SHED_ERROR, ERROR_INVALID,
                 "a time of the job is out of range; write durations of at "
                 "most %" G_GINT64_FORMAT " ms",
                 JOB_MAX_DURATION_MS);
  return is_valid;
}

bool
job_spec_check (const struct job_spec *spec, GError **error)
{
  uint64_t n_tasks = 0;

  if (spec->steps->len == 0 || spec->steps->len > JOB_MAX_STEPS)
    {
      g_set_error (error, SHED_ERROR, ERROR_INVALID,
                   "the job has %u steps; write 1 to %u", spec->steps->len,
                   JOB_MAX_STEPS);
      return false;
    }
  for (guint i = 0; i < spec->steps->len; i++)
    {
      if (!step_is_valid (spec, i, error))
        return false;
      n_tasks
          += ((struct job_step *)g_ptr_array_index (spec->steps, i))->count;
    }
  if (n_tasks > JOB_MAX_TASKS || spec->occurrences > JOB_MAX_OCCURRENCES)
    {
      g_set_error (error, SHED_ERROR, ERROR_INVALID,
                   "the job has too many tasks or occurrences; send at most "
                   "%u tasks",
                   JOB_MAX_TASKS);
      return false;
    }
  if (!times_are_valid (spec, error))
    return false;
  if (critical_path_ms (spec, NULL) < 0)
    {
      g_set_error (
          error, SHED_ERROR, ERROR_INVALID,
          "the dependencies among the steps form a cycle; remove one");
      return false;
    }
  return true;
}

int64_t
job_spec_critical_path_ms (const struct job_spec *spec)
{
  return MAX (critical_path_ms (spec, NULL), 0);
}

int64_t
job_spec_longest_path_ms (const struct job_spec *spec, const int64_t *task_ms)
{
  return MAX (critical_path_ms (spec, task_ms), 0);
}

uint64_t
job_spec_work_milli_s (const struct job_spec *spec)
{
  uint64_t work_milli_s = 0;

  for (guint i = 0; i < spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (spec->steps, i);

      if (!s->is_long_running && !s->is_best_effort)
        work_milli_s += (uint64_t)s->count * s->cpu_milli
                        * (uint64_t)MAX (s->estimate_ms, 0) / 1000;
    }
  return work_milli_s;
}

bool
job_spec_is_long_running (const struct job_spec *spec)
{
  for (guint i = 0; i < spec->steps->len; i++)
    if (((struct job_step *)g_ptr_array_index (spec->steps, i))
            ->is_long_running)
      return true;
  return false;
}

static GVariant *
step_to_variant (const struct job_step *s)
{
  GVariantBuilder after;

  g_variant_builder_init (&after, G_VARIANT_TYPE ("au"));
  for (guint i = 0; i < s->depends_on->len; i++)
    g_variant_builder_add (&after, "u",
                           g_array_index (s->depends_on, uint32_t, i));
  return g_variant_new (
      STEP_TYPE, s->count, s->cpu_milli, s->memory_mb, s->gpus, s->estimate_ms,
      &after, s->is_gang, s->prefers_same_rack, s->has_checkpoints,
      s->allows_duplicates, s->is_long_running, s->is_best_effort, s->label,
      s->preferred_rack, s->image, s->max_per_worker,
      s->tail_latency_target_ms, s->max_unavailable_tasks);
}

static struct job_step *
step_from_variant (GVariant *v)
{
  struct job_step *s = g_new0 (struct job_step, 1);
  GVariantIter *after;
  gboolean is_gang, same_rack, checkpointing, duplicable, long_running,
      best_effort;
  uint32_t dependency;

  s->depends_on = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_variant_get (v, STEP_TYPE, &s->count, &s->cpu_milli, &s->memory_mb,
                 &s->gpus, &s->estimate_ms, &after, &is_gang, &same_rack,
                 &checkpointing, &duplicable, &long_running, &best_effort,
                 &s->label, &s->preferred_rack, &s->image, &s->max_per_worker,
                 &s->tail_latency_target_ms, &s->max_unavailable_tasks);
  s->is_gang = is_gang;
  s->prefers_same_rack = same_rack;
  s->has_checkpoints = checkpointing;
  s->allows_duplicates = duplicable;
  s->is_long_running = long_running;
  s->is_best_effort = best_effort;
  while (g_variant_iter_next (after, "u", &dependency))
    g_array_append_val (s->depends_on, dependency);
  g_variant_iter_free (after);
  return s;
}

GBytes *
job_spec_to_bytes (const struct job_spec *spec)
{
  GVariantBuilder steps;
  GVariant *v;

  g_variant_builder_init (&steps, G_VARIANT_TYPE ("a" STEP_TYPE));
  for (guint i = 0; i < spec->steps->len; i++)
    g_variant_builder_add_value (
        &steps, step_to_variant (g_ptr_array_index (spec->steps, i)));
  v = g_variant_new (SPEC_TYPE, spec->id, spec->queue, spec->service,
                     spec->payload, spec->accepted_ms,
                     spec->first_occurrence_ms, spec->interval_ms,
                     spec->occurrences, spec->priority, spec->max_attempts,
                     spec->deadline_factor, spec->target_ms,
                     spec->advice.is_needed, spec->advice.valid_ms, &steps);
  if (spec->account[0] != '\0')
    v = g_variant_new ("(s@" SPEC_TYPE ")", spec->account, v);
  return variant_to_bytes (v);
}

static struct job_spec *
spec_from_variant (GVariant *v)
{
  struct job_spec *s = g_new0 (struct job_spec, 1);
  const char *id;
  GVariantIter *steps;
  GVariant *step;
  gboolean needs_advice;

  g_variant_get (v, "(&ssssxxxuuudxbxa" STEP_TYPE ")", &id, &s->queue,
                 &s->service, &s->payload, &s->accepted_ms,
                 &s->first_occurrence_ms, &s->interval_ms, &s->occurrences,
                 &s->priority, &s->max_attempts, &s->deadline_factor,
                 &s->target_ms, &needs_advice, &s->advice.valid_ms, &steps);
  g_strlcpy (s->id, id, sizeof s->id);
  s->advice.is_needed = needs_advice;
  s->steps = g_ptr_array_new_with_free_func (job_step_destroy);
  while ((step = g_variant_iter_next_value (steps)) != NULL)
    {
      g_ptr_array_add (s->steps, step_from_variant (step));
      g_variant_unref (step);
    }
  g_variant_iter_free (steps);
  return s;
}

/* Return the job that BYTES hold in the form TYPE, or NULL. */
static struct job_spec *
spec_from_bytes_of_type (GBytes *bytes, const char *type)
{
  bool has_account = strcmp (type, ACCOUNT_SPEC_TYPE) == 0;
  /* Bytes of the other form may read as a long list of steps. */
  GVariant *v = variant_from_bytes (bytes, type);
  GVariant *inner;
  struct job_spec *s;

  if (v == NULL)
    return NULL;
  inner = has_account ? g_variant_get_child_value (v, 1) : g_variant_ref (v);
  s = spec_from_variant (inner);
  if (has_account)
    g_variant_get_child (v, 0, "s", &s->account);
  else
    s->account = g_strdup ("");
  g_variant_unref (inner);
  g_variant_unref (v);
  if (job_id_is_valid (s->id) && job_spec_check (s, NULL))
    return s;
  job_spec_destroy (s);
  return NULL;
}

struct job_spec *
job_spec_from_bytes (GBytes *bytes)
{
  struct job_spec *s = spec_from_bytes_of_type (bytes, SPEC_TYPE);

  return s != NULL ? s : spec_from_bytes_of_type (bytes, ACCOUNT_SPEC_TYPE);
}

const char *
job_state_name (enum job_state state)
{
  switch (state)
    {
    case JOB_PENDING:
      return "pending";
    case JOB_RUNNING:
      return "running";
    case JOB_COMPLETED:
      return "completed";
    case JOB_FAILED:
      return "failed";
    case JOB_CANCELLED:
      return "cancelled";
    case JOB_STATE_COUNT:
      break;
    }
  return "unknown";
}

bool
task_name_parse (const char *text, struct task_name *name)
{
  char trailing = '\0';

  if (strlen (text) <= JOB_ID_LENGTH || text[JOB_ID_LENGTH] != '.')
    return false;
  memcpy (name->job, text, JOB_ID_LENGTH);
  name->job[JOB_ID_LENGTH] = '\0';
  return sscanf (text + JOB_ID_LENGTH, ".%u.%u.%u%c", &name->occurrence,
                 &name->step, &name->index, &trailing)
         == 3;
}
