#include "cell_place.h"

#include <string.h>

/* Candidates: which workers may run a task. */

/* Tickets are not used within this margin before they expire. */
#define TICKET_MARGIN_MS 300
/* A worker may be missing from the list for so long and still get tasks: its
   entry may be late while the store recovers. */
#define UNLISTED_GRACE_MS 2500
/* A worker that owes the answer to a start for so long gets no other until it
   has answered, as each one would have to be waited for. */
#define START_ANSWER_MAX_MS 100
/* Suspect and very slow workers are avoided only while they are at most this
   share of all; above it, the jobs are more likely at fault than the workers.
 */
#define SUSPECT_MAX_PERCENT 34
/* Backoff of a task that has failed before its next attempt on a doubtful
   worker, so that trouble of a few seconds does not use up all attempts.  It
   is longer on a worker that is avoided if the task can do without, or if the
   attempt is its last one. */
#define ATTEMPT_BACKOFF_MS 2500
#define AVOIDED_BACKOFF_MS 7500
/* Longest time that a task waits for others to show that the avoided workers
   which it needs are sound. */
#define SLOW_START_MAX_MS 7500

/* Return whether W may have runs that are not in its tasks. */
static bool
cell_may_have_other_runs (const struct cell_worker *w, int64_t now_ms)
{
  return w->unknown_runs > 0 || now_ms < w->superfluous_until_ms;
}

bool
cell_accepts_starts (const struct cell *c, const struct cell_worker *w,
                     int64_t now_ms)
{
  /* The resources that other runs use are not known; a worker with admission
     control checks for itself. */
  if (!c->options.workers_admit && cell_may_have_other_runs (w, now_ms))
    return false;
  return w->is_confirmed && w->may_receive_starts && !w->entry->draining
         && cell_worker_is_incarnation_listed (w)
         && (w->is_listed || now_ms < w->unlisted_ms + UNLISTED_GRACE_MS)
         && now_ms >= w->blocked_until_ms && !w->is_emptying
         && w->clock_reported_ms > w->unanswered_ms
         && (w->pending_starts == 0
             || now_ms < MAX (w->pending_start_ms, w->clock_reported_ms)
                             + START_ANSWER_MAX_MS)
         && w->clock_reported_ms != 0;
}

bool
cell_has_room (const struct cell_worker *w, const struct job_step *s)
{
  return cell_step_fits (s, &w->used, &w->entry->capacity);
}

bool
cell_has_label (const struct cell_worker *w, const struct job_step *s)
{
  return s->label[0] == '\0' || worker_entry_has_label (w->entry, s->label);
}

uint32_t
cell_count_on_worker (const struct cell_worker *w, const struct cell_task *t)
{
  uint32_t n = 0;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const struct cell_task *other = g_ptr_array_index (w->tasks, i);

      if (other->occurrence == t->occurrence && other->step == t->step)
        n++;
    }
  return n;
}

uint32_t
cell_count_on_rack (const struct cell *c, const struct cell_worker *w,
                    const struct cell_task *t)
{
  const struct cell_occurrence *o = t->occurrence;
  uint32_t n = 0;

  for (uint32_t i = 0; i < cell_task_step (t)->count; i++)
    {
      const struct cell_task *other = &o->tasks[o->first_task[t->step] + i];

      if (other->worker != NULL
          && strcmp (other->worker->entry->rack, w->entry->rack) == 0)
        n++;
    }
  return n;
}

bool
cell_has_ticket (const struct cell_task *t, const struct cell_worker *w,
                 int64_t now_ms)
{
  GHashTable *tickets = t->occurrence->tickets[t->step];
  struct step_ticket *ticket;

  if (!t->occurrence->job->spec->advice.is_needed)
    return true;
  if (tickets == NULL)
    return false;
  ticket = g_hash_table_lookup (tickets, w->entry->id);
  return ticket != NULL && ticket->ticket != NULL
         && now_ms < ticket->expires_ms - TICKET_MARGIN_MS;
}

bool
cell_is_avoided (const struct cell *c, const struct cell_worker *w)
{
  return c->avoids_suspects
         && (cell_worker_is_suspect (w) || cell_worker_is_very_slow (w));
}

/* Return how many tasks of S fit into FREE; at most all tasks of S. */
static uint32_t
slots_in (const struct worker_resources *free, const struct job_step *s)
{
  uint32_t slots = s->count;

  if (s->cpu_milli > 0 && !s->is_best_effort)
    slots = MIN (slots, free->cpu_milli / s->cpu_milli);
  if (s->memory_mb > 0)
    slots = MIN (slots, free->memory_mb / s->memory_mb);
  if (s->gpus > 0)
    slots = MIN (slots, free->gpus / s->gpus);
  if (s->max_per_worker > 0)
    slots = MIN (slots, s->max_per_worker);
  return slots;
}

uint32_t
cell_slots_now (const struct cell_worker *w, const struct job_step *s)
{
  struct worker_resources free = w->entry->capacity;

  free.cpu_milli -= MIN (w->used.cpu_milli, free.cpu_milli);
  free.memory_mb -= MIN (w->used.memory_mb, free.memory_mb);
  free.gpus -= MIN (w->used.gpus, free.gpus);
  return slots_in (&free, s);
}

uint32_t
cell_slots_once_drained (const struct cell_worker *w, const struct job_step *s)
{
  struct worker_resources free = w->entry->capacity;

  for (guint i = 0; i < w->tasks->len; i++)
    {
      const struct job_step *o
          = cell_task_step (g_ptr_array_index (w->tasks, i));

      if (o->is_long_running)
        cell_step_subtract (o, &free);
    }
  return slots_in (&free, s);
}

/* Return whether the policy of T's queue may allow W: it has not refused it.
   It does not change, so that answers which have expired count, too. */
static bool
may_get_ticket (const struct cell_task *t, const struct cell_worker *w)
{
  GHashTable *tickets = t->occurrence->tickets[t->step];
  const struct step_ticket *ticket;

  if (!t->occurrence->job->spec->advice.is_needed || tickets == NULL)
    return true;
  ticket = g_hash_table_lookup (tickets, w->entry->id);
  return ticket == NULL || ticket->ticket != NULL;
}

bool
cell_may_run_later (const struct cell *c, const struct cell_task *t,
                    const struct cell_worker *w)
{
  return !w->is_emptying && !cell_is_avoided (c, w)
         && cell_has_label (w, cell_task_step (t)) && may_get_ticket (t, w);
}

bool
cell_needs_avoided (const struct cell *c, const struct cell_task *t)
{
  const struct job_step *s = cell_task_step (t);
  uint32_t needed = s->is_gang ? s->count : 1;
  uint32_t slots = 0;

  if (!c->has_avoided)
    return false;
  for (guint i = 0; i < c->worker_list->len && slots < needed; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (cell_worker_is_in_service (w) && cell_may_run_later (c, t, w))
        slots += cell_slots_once_drained (w, s);
    }
  return slots < needed;
}

bool
cell_has_backed_off (const struct cell *c, const struct cell_task *t,
                     const struct cell_worker *w, bool needs_avoided,
                     int64_t now_ms)
{
  const struct cell_task *counter = cell_task_failure_counter (t);
  bool is_last
      = counter->failures + 1 >= t->occurrence->job->spec->max_attempts;
  bool is_long = cell_is_avoided (c, w) && (is_last || !needs_avoided);

  if (counter->failures == 0 || !cell_worker_is_doubtful (w))
    return true;
  return now_ms >= counter->failed_ms
                       + (is_long ? AVOIDED_BACKOFF_MS : ATTEMPT_BACKOFF_MS);
}

static bool
is_of_same_gang (const struct cell_task *a, const struct cell_task *b)
{
  return a->occurrence == b->occurrence && a->step == b->step
         && cell_task_step (a)->is_gang;
}

/* An avoided worker gets one task at a time as a probe, beside long-running
   ones that have lasted: otherwise it would use up an attempt of as many tasks
   as it has capacity for. */
static bool
may_probe (const struct cell_task *t, const struct cell_worker *w,
           int64_t now_ms)
{
  for (guint i = 0; i < w->tasks->len; i++)
    if (!cell_task_has_lasted (g_ptr_array_index (w->tasks, i), now_ms))
      return false;
  return now_ms >= w->cooldown_until_ms;
}

/* Return whether T, which runs on W, has run for long enough to show that W is
   sound. */
static bool
has_shown_soundness (const struct cell_task *t, int64_t now_ms)
{
  if (cell_task_step (t)->is_long_running)
    return cell_task_has_lasted (t, now_ms);
  return t->phase == TASK_RUNNING
         && now_ms >= t->phase_ms + CELL_LASTING_PROOF_MS;
}

/* Slow start on an avoided worker that T can't do without: while nothing has
   been done there since a failure, the tasks that show nothing yet are one at
   most, or as many as those that have shown since then that it is sound.  The
   wait is limited, so that jobs end even if the worker never recovers. */
static bool
may_slow_start (const struct cell_task *t, const struct cell_worker *w,
                int64_t now_ms)
{
  uint32_t unproven = 0, proven = 0;

  if (w->failed_streak == 0 || now_ms >= t->phase_ms + SLOW_START_MAX_MS)
    return true;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const struct cell_task *other = g_ptr_array_index (w->tasks, i);

      if (is_of_same_gang (other, t))
        continue;
      if (!has_shown_soundness (other, now_ms))
        unproven++;
      else if (other->phase_ms > w->last_failure_ms)
        proven++;
    }
  return now_ms >= w->cooldown_until_ms && unproven < MAX (proven, 1);
}

bool
cell_may_run_on (const struct cell *c, const struct cell_task *t,
                 const struct cell_worker *w, bool needs_avoided,
                 int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);

  if (!cell_accepts_starts (c, w, now_ms) || !cell_has_label (w, s)
      || !cell_has_backed_off (c, t, w, needs_avoided, now_ms))
    return false;
  if (cell_is_avoided (c, w)
      && !(needs_avoided ? may_slow_start (t, w, now_ms)
                         : may_probe (t, w, now_ms)))
    return false;
  return s->max_per_worker == 0
         || (cell_count_on_worker (w, t) < s->max_per_worker
             && !cell_may_have_other_runs (w, now_ms));
}

void
cell_update_suspect_policy (struct cell *c, int64_t now_ms)
{
  uint32_t suspects = 0;

  cell_compare_workers (c, now_ms);
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (cell_worker_is_suspect (w) || cell_worker_is_very_slow (w))
        suspects++;
    }
  c->avoids_suspects
      = suspects * 100 <= c->worker_list->len * SUSPECT_MAX_PERCENT;
  c->has_avoided = c->avoids_suspects && suspects > 0;
}
