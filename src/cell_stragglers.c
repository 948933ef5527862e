#include "cell_accounts.h"
#include "cell_place.h"

/* Stragglers: runs that take much longer than others of their step. */

/* A run is a straggler beyond this many tenths of the learned 95% quantile,
   and this long beyond the median: shorter delays are not worth a second
   start. */
#define STRAGGLER_TENTHS 15
#define STRAGGLER_MARGIN_MS 500
/* Minimum interval between two checks of a worker's runs. */
#define CHECK_INTERVAL_MS 200

/* How long runs of a step take, in ms. */
struct usual_times
{
  int64_t median_ms;
  int64_t limit_ms; /* longer runs are stragglers */
};

static bool
get_usual_times (const struct cell *c, const struct cell_task *t,
                 struct usual_times *u)
{
  const struct job_spec *spec = t->occurrence->job->spec;
  const struct job_step *s = cell_task_step (t);

  u->median_ms = cell_learned_run_ms (c, spec, s, 50);
  if (u->median_ms < 0)
    return false;
  u->limit_ms
      = MAX (cell_learned_run_ms (c, spec, s, 95) * STRAGGLER_TENTHS / 10,
             u->median_ms + STRAGGLER_MARGIN_MS);
  u->limit_ms
      = (int64_t)((double)u->limit_ms * cell_rack_factor (c, s, t->worker));
  return true;
}

/* Return whether nothing waits that T's job does not go before, so that T may
   take room on a second worker. */
static bool
may_use_spare_room (const struct cell *c, const struct cell_task *t)
{
  return c->may_start
         && t->occurrence->job->spec->priority < c->waiting_priority;
}

/* Return a worker other than T's that is as fast as its peers and can start T
   now, or NULL. */
static struct cell_worker *
find_spare_worker (struct cell *c, const struct cell_task *t, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  struct cell_worker *w = cell_choose_worker (c, t, NULL, now_ms);

  if (w == NULL || cell_is_avoided (c, w) || cell_worker_is_slow (w)
      || cell_rack_factor (c, s, w) > cell_rack_factor (c, s, t->worker))
    return NULL;
  return w;
}

/* Return whether T, a straggler on a slow worker, ends sooner if it resumes
   from its checkpoint on another one.  By its progress, the worker has to be
   the reason: a task that would be a straggler on any worker stays. */
static bool
is_worth_moving (const struct cell *c, const struct cell_task *t,
                 const struct usual_times *u, int64_t now_ms)
{
  uint32_t slowness = t->worker->slowness_permille;
  int64_t elapsed_ms = now_ms - t->begun_ms;
  int64_t total_ms, left_ms;

  if (t->percent == 0 || slowness == 0)
    return false;
  total_ms = elapsed_ms * 100 / t->percent;
  left_ms = total_ms - elapsed_ms;
  return total_ms * 1000 / slowness <= u->limit_ms
         && left_ms > left_ms * 1000 / slowness + c->options.stop_grace_ms;
}

/* Stop T, a straggler, if it has a checkpoint and runs on a slow worker.  Once
   is enough: the next worker was chosen as one that is not slow. */
static void
move_straggler (struct cell *c, struct cell_task *t,
                const struct usual_times *u, int64_t now_ms)
{
  struct cell_worker *w = t->worker;
  char *name;

  if (t->has_moved || t->checkpoint == NULL || !cell_worker_is_slow (w)
      || !is_worth_moving (c, t, u, now_ms) || !may_use_spare_room (c, t)
      || find_spare_worker (c, t, now_ms) == NULL)
    return;
  name = cell_task_name (t);
  cell_log_event (
      c, "task-moved", name,
      "worker=%s slowness=%u percent=%u elapsed_ms=%" G_GINT64_FORMAT
      " limit_ms=%" G_GINT64_FORMAT,
      w->entry->id, w->slowness_permille, t->percent, now_ms - t->begun_ms,
      u->limit_ms);
  g_free (name);
  t->has_moved = true;
  g_free (t->avoid_worker);
  t->avoid_worker = g_strdup (w->entry->id);
  cell_stop_task (c, t, now_ms);
}

/* Start a second run of T, a straggler, unless a failure of that would already
   use up T's attempts. */
static void
copy_straggler (struct cell *c, struct cell_task *t,
                const struct usual_times *u, int64_t now_ms)
{
  struct cell_worker *w;
  char *name;

  if (t->original != NULL || t->copy != NULL
      || t->failures + 1 >= t->occurrence->job->spec->max_attempts
      || !cell_is_every_run_known (c, t) || !may_use_spare_room (c, t)
      || !cell_copies_pay (c, t, now_ms)
      || !cell_account_has_room (c, t->occurrence->job, t->step, 1, now_ms))
    return;
  cell_want_advice_for_copy (c, t, now_ms);
  w = find_spare_worker (c, t, now_ms);
  if (w == NULL)
    return;
  name = cell_task_name (t);
  cell_log_event (c, "task-copied", name,
                  "worker=%s second=%s percent=%u elapsed_ms=%" G_GINT64_FORMAT
                  " limit_ms=%" G_GINT64_FORMAT,
                  t->worker->entry->id, w->entry->id, t->percent,
                  now_ms - t->phase_ms, u->limit_ms);
  g_free (name);
  cell_start_copy (c, t, w, now_ms);
}

static void
check_run (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  struct usual_times u;

  if (t->phase != TASK_RUNNING || now_ms < t->phase_ms + STRAGGLER_MARGIN_MS
      || s->is_long_running || s->is_gang || s->is_best_effort
      || !get_usual_times (c, t, &u) || now_ms <= t->phase_ms + u.limit_ms)
    return;
  if (cell_may_copy (t))
    copy_straggler (c, t, &u, now_ms);
  else if (!s->allows_duplicates && s->has_checkpoints && t->begun_ms != 0)
    move_straggler (c, t, &u, now_ms);
}

void
cell_check_stragglers (struct cell *c, struct cell_worker *w, int64_t now_ms)
{
  if (now_ms < w->stragglers_checked_ms + CHECK_INTERVAL_MS)
    return;
  w->stragglers_checked_ms = now_ms;
  for (guint i = 0; i < w->tasks->len; i++)
    check_run (c, g_ptr_array_index (w->tasks, i), now_ms);
}
