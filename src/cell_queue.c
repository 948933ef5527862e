#include "cell_state.h"

#include <string.h>

/* The order in which waiting jobs get capacity.  Pattern: more work than the
   pool can start, at the beginning of a burst or after an outage.  By deadline
   alone, each job would wait until it is just late, and hardly any would end
   in time.  So the jobs that are to end in time are chosen by the rule of
   Moore and Hodgson, which keeps the most: by deadline, and whenever one would
   be late, the largest so far steps back.  A job that has stepped back has its
   turn before it is hopelessly late. */

/* Interval between two choices. */
#define CHOICE_INTERVAL_MS 50
/* A job counts as hopelessly late once this many times the time from its
   acceptance to its deadline has passed. */
#define HOPELESS_FACTOR 3
/* A late job has its last chance to end before that when the time left is at
   most this share of its remaining critical path. */
#define LAST_CHANCE_PERCENT 170
/* Share of the usable processors for last chances, so that most of them remain
   for jobs that can end in time, and the time over which it may be saved up.
 */
#define LAST_CHANCE_SHARE_PERCENT 40
#define LAST_CHANCE_SAVED_MS 500
/* Share of the workers' processors that waiting tasks find in practice: the
   rest is too small for the next task. */
#define USABLE_PERCENT 85
/* Longest age of a job that an earlier owner accepted; more than that comes
   from a clock that has jumped. */
#define AGE_MAX_MS 60000

/* A job that may still end in time. */
struct candidate
{
  struct cell_job *job;
  int64_t latest_start_ms; /* of the tasks that could start now */
  uint64_t work;           /* of these tasks, thousandths of a core times ms */
};

static int64_t
path_from_step_ms (const struct cell_occurrence *o, uint32_t step,
                   int64_t *path_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  int64_t before_ms = 0;

  if (path_ms[step] >= 0)
    return path_ms[step];
  for (guint i = 0; i < s->depends_on->len; i++)
    before_ms
        = MAX (before_ms,
               path_from_step_ms (
                   o, g_array_index (s->depends_on, uint32_t, i), path_ms));
  /* Of a step whose tasks all run, half is left on average. */
  path_ms[step] = before_ms
                  + (o->unfinished[step] == 0 ? 0
                     : o->waiting[step] > 0   ? s->estimate_ms
                                              : s->estimate_ms / 2);
  return path_ms[step];
}

/* Return the estimated time until the occurrence ends if its tasks start
   without delay. */
static int64_t
remaining_path_ms (const struct cell_occurrence *o)
{
  int64_t path_ms[JOB_MAX_STEPS];
  int64_t longest_ms = 0;

  for (guint i = 0; i < o->job->spec->steps->len; i++)
    path_ms[i] = -1;
  for (guint i = 0; i < o->job->spec->steps->len; i++)
    longest_ms = MAX (longest_ms, path_from_step_ms (o, i, path_ms));
  return longest_ms;
}

/* Return the estimated work of the tasks that could start now. */
static uint64_t
startable_work (const struct cell_occurrence *o)
{
  uint64_t work = 0;

  for (guint i = 0; i < o->job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (o->job->spec->steps, i);

      if (o->waiting[i] > 0 && cell_step_is_ready (o, i))
        work += (uint64_t)o->waiting[i] * s->cpu_milli
                * (uint64_t)MAX (s->estimate_ms, 1);
    }
  return work;
}

/* Return the processors, in thousandths of a core, that finite tasks can
   use. */
static uint64_t
usable_milli (const struct cell *c)
{
  uint64_t total = 0;
  uint64_t long_running = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (!w->is_confirmed || !w->is_listed || w->entry->draining
          || w->is_emptying)
        continue;
      total += w->entry->capacity.cpu_milli;
      for (guint k = 0; k < w->tasks->len; k++)
        {
          const struct job_step *s
              = cell_task_step (g_ptr_array_index (w->tasks, k));

          if (s->is_long_running && !s->is_best_effort)
            long_running += s->cpu_milli;
        }
    }
  total = total * USABLE_PERCENT / 100;
  return total > long_running ? total - long_running : 1;
}

/* The deadline of a job from the journal was set as if it had been accepted at
   the takeover; count the time since it was. */
static void
correct_loaded_deadline (const struct cell *c, struct cell_job *job)
{
  int64_t age_ms = c->wall_ms - job->spec->accepted_ms;

  job->is_deadline_corrected = true;
  if (!job->is_loaded || job->spec->accepted_ms <= 0 || age_ms <= 0
      || age_ms > AGE_MAX_MS)
    return;
  job->deadline_ms -= age_ms;
  job->added_ms -= age_ms;
}

static bool
has_deadline (const struct cell_job *job)
{
  return !job->is_long_running && job->spec->occurrences == 0
         && job->occurrences->len == 1;
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  return x->latest_start_ms < y->latest_start_ms   ? -1
         : x->latest_start_ms > y->latest_start_ms ? 1
                                                   : 0;
}

/* Let the largest job step back among the candidates up to LAST that have not
   started; return its work. */
static uint64_t
step_largest_back (GArray *candidates, guint last)
{
  struct candidate *largest = NULL;

  for (guint i = 0; i <= last; i++)
    {
      struct candidate *k = &g_array_index (candidates, struct candidate, i);

      if (k->job->turn == TURN_IN_TIME && !k->job->has_started
          && (largest == NULL || k->work > largest->work))
        largest = k;
    }
  if (largest == NULL)
    return 0;
  largest->job->turn = TURN_STEPPED_BACK;
  return largest->work;
}

static void
choose_in_time (const struct cell *c, GArray *candidates, int64_t now_ms)
{
  uint64_t capacity = usable_milli (c);
  uint64_t work_ahead = 0;

  g_array_sort (candidates, compare_candidates);
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *k
          = &g_array_index (candidates, struct candidate, i);

      if (work_ahead / capacity > (uint64_t)(k->latest_start_ms - now_ms))
        work_ahead -= MIN (step_largest_back (candidates, i), work_ahead);
      if (k->job->turn == TURN_IN_TIME)
        work_ahead += k->work;
    }
}

/* Return the turn of JOB, whose startable tasks have WORK, after its latest
   start has passed. */
static enum job_turn
turn_of_late_job (struct cell *c, const struct cell_job *job, int64_t path_ms,
                  uint64_t work, int64_t now_ms)
{
  int64_t left_ms = job->added_ms
                    + (job->deadline_ms - job->added_ms) * HOPELESS_FACTOR
                    - now_ms;

  if (left_ms <= 0)
    return TURN_HOPELESS;
  if (job->turn == TURN_LAST_CHANCE)
    return TURN_LAST_CHANCE;
  if (left_ms * 100 > path_ms * LAST_CHANCE_PERCENT
      || c->last_chance_work < work)
    return TURN_STEPPED_BACK;
  c->last_chance_work -= work;
  return TURN_LAST_CHANCE;
}

/* Add the share of the last FOR_MS to the work that last chances may have. */
static void
save_up_last_chances (struct cell *c, int64_t for_ms)
{
  uint64_t share = usable_milli (c) * LAST_CHANCE_SHARE_PERCENT / 100;

  c->last_chance_work = MIN (c->last_chance_work + share * (uint64_t)for_ms,
                             share * LAST_CHANCE_SAVED_MS);
}

/* Set the turn of each open job. */
static void
choose_turns (struct cell *c, int64_t now_ms)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (guint i = 0; i < c->open_jobs->len; i++)
    {
      struct cell_job *job = g_ptr_array_index (c->open_jobs, i);
      struct candidate k = { .job = job };
      int64_t path_ms;

      if (!job->is_deadline_corrected)
        correct_loaded_deadline (c, job);
      k.work = has_deadline (job)
                   ? startable_work (g_ptr_array_index (job->occurrences, 0))
                   : 0;
      if (k.work == 0)
        {
          job->turn = TURN_IN_TIME;
          continue;
        }
      path_ms = remaining_path_ms (g_ptr_array_index (job->occurrences, 0));
      k.latest_start_ms = job->deadline_ms - path_ms;
      if (k.latest_start_ms < now_ms)
        {
          job->turn = turn_of_late_job (c, job, path_ms, k.work, now_ms);
          continue;
        }
      job->turn = TURN_IN_TIME;
      g_array_append_val (candidates, k);
    }
  choose_in_time (c, candidates, now_ms);
  g_array_unref (candidates);
}

static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  const struct cell_job *x = *(struct cell_job *const *)a;
  const struct cell_job *y = *(struct cell_job *const *)b;

  if (x->is_long_running != y->is_long_running)
    return x->is_long_running ? -1 : 1;
  if (x->spec->priority != y->spec->priority)
    return x->spec->priority < y->spec->priority ? -1 : 1;
  if (x->turn != y->turn)
    return x->turn < y->turn ? -1 : 1;
  if (x->deadline_ms != y->deadline_ms)
    return x->deadline_ms < y->deadline_ms ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

void
cell_queue_sort (struct cell *c, int64_t now_ms)
{
  if (now_ms >= c->turns_chosen_ms + CHOICE_INTERVAL_MS)
    {
      save_up_last_chances (
          c, MIN (now_ms - c->turns_chosen_ms, LAST_CHANCE_SAVED_MS));
      c->turns_chosen_ms = now_ms;
      choose_turns (c, now_ms);
      c->has_unsorted_jobs = true;
    }
  if (c->has_unsorted_jobs)
    g_ptr_array_sort (c->open_jobs, compare_jobs);
  c->has_unsorted_jobs = false;
}
