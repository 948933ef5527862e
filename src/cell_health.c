#include "cell_state.h"

#include <stdlib.h>
#include <string.h>

/* Workers that fail or slow down what they start.  Nothing of it is journaled:
   a new owner finds out again. */

/* A worker is suspect once this many different jobs have failed there in a
   row.  One job alone may be one that fails on every worker. */
#define SUSPECT_FAILED_STREAK 3
/* It also is if so many of its last WORKER_SCORE_RUNS ends were failures, and
   its part of failures is this many times that of the other workers.  A worker
   that fails one half reaches this in nine of ten windows; one that fails one
   in ten, as its peers do, in three of a thousand. */
#define SUSPECT_FAILURES 6
#define SUSPECT_FAILURE_FACTOR 3
/* Added to the other workers' failures: they may have fewer by chance. */
#define SUSPECT_PEER_MARGIN 4
/* A worker is slow, or very slow, if its run times are this many permille of
   its peers'. */
#define SLOW_PERMILLE 2000
#define VERY_SLOW_PERMILLE 4000
/* How often workers are compared with each other. */
#define COMPARE_INTERVAL_MS 500
/* A slow worker that has timed no run for so long is used like any other for
   one task, to see whether it still is slow. */
#define SLOW_PROBE_INTERVAL_MS 5000

bool
cell_task_has_lasted (const struct cell_task *t, int64_t now_ms)
{
  return cell_task_step (t)->is_long_running && t->phase == TASK_RUNNING
         && t->percent == 100 && now_ms >= t->phase_ms + CELL_LASTING_PROOF_MS;
}

/* Compare W's part of failures with that of all other workers. */
static void
update_failing (struct cell *c, struct cell_worker *w)
{
  uint32_t failures = worker_score_failures (&w->score);
  uint32_t others_failures = 0, others_ended = 0;

  w->is_failing = false;
  if (failures < SUSPECT_FAILURES)
    return;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *other = g_ptr_array_index (c->worker_list, i);

      if (other == w)
        continue;
      others_failures += worker_score_failures (&other->score);
      others_ended += other->score.n_ended;
    }
  w->is_failing
      = failures * others_ended > SUSPECT_FAILURE_FACTOR
                                      * (others_failures + SUSPECT_PEER_MARGIN)
                                      * w->score.n_ended;
}

/* Return whether a failure of JOB counts for W's part of failures: that of a
   job which has also failed there last does not. */
static bool
is_of_other_job (const struct cell_worker *w, const char *job)
{
  return strcmp (job, w->last_failed_job) != 0;
}

void
cell_worker_count_failure (struct cell *c, struct cell_worker *w,
                           const char *job, int64_t now_ms)
{
  if (strcmp (job, w->failed_job) != 0)
    w->failed_streak++;
  g_strlcpy (w->failed_job, job, sizeof w->failed_job);
  if (is_of_other_job (w, job))
    worker_score_add_end (&w->score, true);
  g_strlcpy (w->last_failed_job, job, sizeof w->last_failed_job);
  update_failing (c, w);
  w->last_failure_ms = now_ms;
  if (!cell_worker_is_suspect (w))
    return;
  if (now_ms >= w->cooldown_until_ms)
    cell_log_event (c, "worker-shunned", w->entry->id,
                    "failed_in_a_row=%u failed_of_last=%u/%u for_ms=%d",
                    w->failed_streak, worker_score_failures (&w->score),
                    w->score.n_ended, CELL_COOLDOWN_MS);
  w->cooldown_until_ms = now_ms + CELL_COOLDOWN_MS;
}

void
cell_worker_clear_streak (struct cell_worker *w)
{
  w->failed_streak = 0;
  w->failed_job[0] = '\0';
}

void
cell_worker_count_done (struct cell *c, struct cell_worker *w)
{
  cell_worker_clear_streak (w);
  worker_score_add_end (&w->score, false);
  update_failing (c, w);
}

void
cell_worker_forget_score (struct cell_worker *w)
{
  w->failed_streak = 0;
  w->is_failing = false;
  w->score = (struct worker_score){ 0 };
  w->slowness_permille = 0;
}

bool
cell_worker_is_doubtful (const struct cell_worker *w)
{
  return w->failed_streak > 0 || w->is_failing;
}

bool
cell_worker_is_suspect (const struct cell_worker *w)
{
  return w->failed_streak >= SUSPECT_FAILED_STREAK || w->is_failing;
}

/* Compare W's run times with its peers'. */
static void
update_slowness (struct cell *c, struct cell_worker *w)
{
  bool was_slow = cell_worker_is_slow (w);

  w->slowness_permille
      = c->peers_slowness == 0
            ? 0
            : worker_score_slowness (&w->score) * 1000 / c->peers_slowness;
  if (cell_worker_is_slow (w) != was_slow)
    cell_log_event (c, was_slow ? "worker-not-slow" : "worker-slow",
                    w->entry->id, "slowness=%u peers=%u timed=%u",
                    worker_score_slowness (&w->score), c->peers_slowness,
                    w->score.n_timed);
}

void
cell_worker_time_run (struct cell *c, struct cell_worker *w, int64_t run_ms,
                      int64_t typical_ms, int64_t now_ms)
{
  worker_score_add_time (&w->score, run_ms, typical_ms);
  w->timed_ms = now_ms;
  update_slowness (c, w);
}

static int
compare_slowness (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

void
cell_compare_workers (struct cell *c, int64_t now_ms)
{
  guint n = c->worker_list->len;
  uint32_t *known;
  guint n_known = 0;

  if (now_ms < c->compared_ms + COMPARE_INTERVAL_MS)
    return;
  c->compared_ms = now_ms;
  known = g_new (uint32_t, n + 1);
  for (guint i = 0; i < n; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);
      uint32_t slowness = worker_score_slowness (&w->score);

      if (slowness > 0)
        known[n_known++] = slowness;
    }
  qsort (known, n_known, sizeof known[0], compare_slowness);
  c->peers_slowness = n_known > 0 ? known[(n_known - 1) / 2] : 0;
  g_free (known);
  for (guint i = 0; i < n; i++)
    update_slowness (c, g_ptr_array_index (c->worker_list, i));
}

bool
cell_worker_is_slow (const struct cell_worker *w)
{
  return w->slowness_permille >= SLOW_PERMILLE;
}

bool
cell_worker_is_very_slow (const struct cell_worker *w)
{
  return w->slowness_permille >= VERY_SLOW_PERMILLE;
}

bool
cell_worker_needs_speed_probe (const struct cell_worker *w, int64_t now_ms)
{
  return w->tasks->len == 0 && now_ms >= w->timed_ms + SLOW_PROBE_INTERVAL_MS;
}
