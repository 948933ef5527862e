#include "cell_state.h"

#include <string.h>

/* Placement: which waiting task starts on which worker. */

/* Interval between two placements while nothing has changed. */
#define IDLE_PLACE_INTERVAL_MS 50
/* A long-running task that has waited so long for capacity preempts other
   tasks. */
#define PREEMPT_DELAY_MS 400
/* Minimum interval between two preemptions for the same task. */
#define PREEMPT_INTERVAL_MS 500
/* Shortest interval between two requests for advice on a step, also if the
   next one is for other workers, and the retry delay after one without an
   answer. */
#define ADVICE_RETRY_DELAY_MS 700
/* Maximum number of workers in one request for advice; each one
   lengthens the answer of the advice service. */
#define ADVICE_MAX_WORKERS 30
/* Tickets are not used within this margin before they expire. */
#define TICKET_MARGIN_MS 300
/* Minimum interval between two "cell-unsettled" events. */
#define UNSEEN_RUNS_LOG_INTERVAL_MS 1000
/* A worker may be missing from the list for so long and still get tasks: its
   entry may be late while the store recovers. */
#define UNLISTED_GRACE_MS 2500

/* Suspect workers are avoided only while they are at most this share of all;
   above it, the jobs are more likely at fault than the workers. */
#define SUSPECT_MAX_PERCENT 34

/* Penalties of a worker as the place of a task, added to its processor use in
   permille. */
#define COST_COOLDOWN 100000
#define COST_FAILED_THERE 50000
#define COST_OTHER_RACK 4000
#define COST_SAME_WORKER 1200
#define COST_SAME_RACK 250
/* Idle workers are kept idle, so that their machines can be lent. */
#define COST_IDLE_WORKER 1500

static gint
compare_placement_order (gconstpointer a, gconstpointer b)
{
  const struct cell_job *x = *(struct cell_job *const *)a;
  const struct cell_job *y = *(struct cell_job *const *)b;

  if (x->is_long_running != y->is_long_running)
    return x->is_long_running ? -1 : 1;
  if (x->spec->priority != y->spec->priority)
    return x->spec->priority < y->spec->priority ? -1 : 1;
  if (x->deadline_ms != y->deadline_ms)
    return x->deadline_ms < y->deadline_ms ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

/* Return whether W may have runs that are not in its tasks. */
static bool
may_have_other_runs (const struct cell_worker *w, int64_t now_ms)
{
  return w->unknown_runs > 0 || now_ms < w->superfluous_until_ms;
}

static bool
accepts_starts (const struct cell *c, const struct cell_worker *w,
                int64_t now_ms)
{
  /* The resources that other runs use are not known; a worker with admission
     control checks for itself. */
  if (!c->options.workers_admit && may_have_other_runs (w, now_ms))
    return false;
  return w->is_confirmed && w->may_receive_starts && !w->entry->draining
         && cell_worker_is_incarnation_listed (w)
         && (w->is_listed || now_ms < w->unlisted_ms + UNLISTED_GRACE_MS)
         && now_ms >= w->blocked_until_ms && !w->is_emptying
         && w->clock_reported_ms != 0;
}

static bool
has_room (const struct cell_worker *w, const struct job_step *s)
{
  const struct worker_resources *room = &w->entry->capacity;

  return (s->is_best_effort
          || w->used.cpu_milli + s->cpu_milli <= room->cpu_milli)
         && w->used.memory_mb + s->memory_mb <= room->memory_mb
         && w->used.gpus + s->gpus <= room->gpus;
}

static uint32_t
count_on_worker (const struct cell_worker *w, const struct cell_task *t)
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

static uint32_t
count_on_rack (const struct cell *c, const struct cell_worker *w,
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

static bool
has_ticket (const struct cell_task *t, const struct cell_worker *w,
            int64_t now_ms)
{
  GHashTable *tickets = t->occurrence->tickets[t->step];
  struct step_ticket *ticket;

  if (!t->occurrence->job->spec->advice.is_needed)
    return true;
  if (tickets == NULL)
    return false;
  ticket = g_hash_table_lookup (tickets, w->entry->id);
  return ticket != NULL && now_ms < ticket->expires_ms - TICKET_MARGIN_MS;
}

static bool
is_avoided (const struct cell *c, const struct cell_worker *w)
{
  return c->avoids_suspects && cell_worker_is_suspect (w);
}

/* A suspect worker gets one task at a time as a probe, beside long-running
   ones that have lasted, and only one that has not failed yet: otherwise it
   would use up the attempts of as many tasks as it has capacity for. */
static bool
may_probe (const struct cell_task *t, const struct cell_worker *w,
           int64_t now_ms)
{
  for (guint i = 0; i < w->tasks->len; i++)
    if (!cell_task_has_lasted (g_ptr_array_index (w->tasks, i), now_ms))
      return false;
  return now_ms >= w->cooldown_until_ms && t->failures == 0;
}

static bool
may_run_on (const struct cell *c, const struct cell_task *t,
            const struct cell_worker *w, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);

  if (!accepts_starts (c, w, now_ms)
      || (s->label[0] != '\0' && !worker_entry_has_label (w->entry, s->label)))
    return false;
  if (is_avoided (c, w) && !may_probe (t, w, now_ms))
    return false;
  return s->max_per_worker == 0
         || (count_on_worker (w, t) < s->max_per_worker
             && !may_have_other_runs (w, now_ms));
}

static int64_t
placement_cost (const struct cell *c, const struct cell_task *t,
                const struct cell_worker *w, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  int64_t cost = (int64_t)w->used.cpu_milli * 1000
                 / MAX (w->entry->capacity.cpu_milli, 1);

  if (w->tasks->len == 0)
    cost += COST_IDLE_WORKER;
  if (now_ms < w->cooldown_until_ms
      || (s->is_long_running && is_avoided (c, w)))
    cost += COST_COOLDOWN;
  if (g_strcmp0 (t->avoid_worker, w->entry->id) == 0)
    cost += COST_FAILED_THERE;
  if (s->preferred_rack[0] != '\0'
      && strcmp (s->preferred_rack, w->entry->rack) != 0)
    cost += COST_OTHER_RACK;
  if (s->is_long_running)
    cost += (int64_t)count_on_worker (w, t) * COST_SAME_WORKER
            + (int64_t)count_on_rack (c, w, t) * COST_SAME_RACK;
  return cost;
}

static struct cell_worker *
choose_worker (const struct cell *c, const struct cell_task *t,
               const char *rack, int64_t now_ms)
{
  struct cell_worker *best = NULL;
  int64_t best_cost = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);
      int64_t cost;

      if ((rack != NULL && strcmp (w->entry->rack, rack) != 0)
          || !has_room (w, cell_task_step (t)) || !may_run_on (c, t, w, now_ms)
          || !has_ticket (t, w, now_ms))
        continue;
      cost = placement_cost (c, t, w, now_ms);
      if (best == NULL || cost < best_cost)
        {
          best = w;
          best_cost = cost;
        }
    }
  return best;
}

bool
cell_has_worker_for (struct cell *c, const struct cell_task *t, int64_t now_ms)
{
  const struct cell_worker *w = choose_worker (c, t, NULL, now_ms);

  if (w != NULL && !is_avoided (c, w))
    return true;
  c->last_shortage_ms = now_ms;
  return false;
}

static uint64_t
run_number (const struct cell *c, uint32_t count)
{
  return (c->options.epoch - 1) * CELL_RUNS_PER_EPOCH + count;
}

/* Return whether the epoch has a run number left for T.  If not, T waits for
   the next epoch, whose numbers are higher. */
static bool
has_run_number (struct cell *c, const struct cell_task *t)
{
  char *name;

  if (t->runs_given < CELL_RUNS_PER_EPOCH)
    return true;
  if (!c->needs_epoch)
    {
      name = cell_task_name (t);
      cell_log_event (c, "run-numbers-used", name, "epoch=%" G_GUINT64_FORMAT,
                      c->options.epoch);
      g_free (name);
    }
  c->needs_epoch = true;
  return false;
}

static void
assign_and_start (struct cell *c, struct cell_task *t, struct cell_worker *w,
                  uint64_t run, int64_t now_ms)
{
  t->run = run;
  t->is_every_run_known = true;
  t->start_attempts = 0;
  t->percent = 0;
  t->progress_ms = now_ms;
  t->pace_percent = 100;
  t->is_stop_acknowledged = false;
  cell_worker_assign_task (w, t);
  cell_task_set_phase (t, TASK_STARTING, now_ms);
  cell_send_start (c, t, now_ms);
}

/* Stop other tasks to make room for T, which is long-running, on the worker
   whose rack holds the fewest tasks of T's step.  Long-running tasks and gangs
   are not preempted. */
static void
preempt_for (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  struct cell_worker *best = NULL;
  const struct job_step *s = cell_task_step (t);
  uint32_t freed = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (may_run_on (c, t, w, now_ms) && now_ms >= w->cooldown_until_ms
          && !is_avoided (c, w)
          && (best == NULL
              || count_on_rack (c, w, t) < count_on_rack (c, best, t)))
        best = w;
    }
  if (best == NULL)
    return;
  for (guint i = best->tasks->len; i > 0 && freed < s->cpu_milli; i--)
    {
      struct cell_task *other = g_ptr_array_index (best->tasks, i - 1);
      const struct job_step *o = cell_task_step (other);

      if (other->phase == TASK_STOPPING)
        freed += o->cpu_milli;
      if (other->phase != TASK_RUNNING || o->is_long_running || o->is_gang)
        continue;
      freed += o->cpu_milli;
      cell_stop_task (c, other, now_ms);
    }
}

/* Return the IDs of at most ADVICE_MAX_WORKERS workers that may run T, from
   place *NEXT of the list on, and set *NEXT to where the next request begins:
   0 if the list has been gone through. */
static GPtrArray *
choose_workers_to_ask (const struct cell *c, const struct cell_task *t,
                       guint *next, int64_t now_ms)
{
  GPtrArray *ids = g_ptr_array_new_with_free_func (g_free);
  guint i;

  for (i = *next; i < c->worker_list->len && ids->len < ADVICE_MAX_WORKERS;
       i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (may_run_on (c, t, w, now_ms))
        g_ptr_array_add (ids, g_strdup (w->entry->id));
    }
  *next = i < c->worker_list->len ? i : 0;
  return ids;
}

/* Ask for advice on STEP, each time for other workers until all have been
   asked for: the policy may allow only some of the last. */
static void
ask_advice (struct cell *c, struct cell_occurrence *o, uint32_t step,
            int64_t now_ms)
{
  struct cell_task *t = &o->tasks[o->first_task[step]];
  guint *next = &o->next_advice_worker[step];
  GPtrArray *ids;
  struct cell_order *order;

  if (!o->job->spec->advice.is_needed || now_ms < o->next_advice_ms[step])
    return;
  ids = choose_workers_to_ask (c, t, next, now_ms);
  if (ids->len == 0)
    {
      g_ptr_array_unref (ids);
      return;
    }
  o->next_advice_ms[step]
      = now_ms
        + (*next > 0 ? ADVICE_RETRY_DELAY_MS
                     : MAX (ADVICE_RETRY_DELAY_MS,
                            o->job->spec->advice.valid_ms / 2));
  order = cell_add_order (c, ORDER_ASK_ADVICE);
  order->u.advice.step
      = g_strdup_printf ("%s.%u.%u", o->job->spec->id, o->number, step);
  order->u.advice.workers = ids;
}

static void
destroy_ticket (gpointer p)
{
  struct step_ticket *t = p;

  g_free (t->ticket);
  g_free (t);
}

void
cell_advice_answered (struct cell *cell, const char *step,
                      const GArray *tickets, int64_t valid_ms, int64_t now_ms)
{
  char *name = g_strconcat (step, ".0", NULL);
  struct cell_task *t = cell_find_task (cell, name);
  GHashTable **table;

  g_free (name);
  if (t == NULL)
    return;
  if (tickets == NULL)
    {
      t->occurrence->next_advice_ms[t->step] = now_ms + ADVICE_RETRY_DELAY_MS;
      return;
    }
  table = &t->occurrence->tickets[t->step];
  if (*table == NULL)
    *table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    destroy_ticket);
  for (guint i = 0; i < tickets->len; i++)
    {
      const struct worker_ticket *w
          = &g_array_index (tickets, struct worker_ticket, i);
      struct step_ticket *new_ticket = g_new0 (struct step_ticket, 1);

      new_ticket->ticket = g_strdup (w->ticket);
      new_ticket->expires_ms = now_ms + valid_ms;
      g_hash_table_replace (*table, g_strdup (w->worker), new_ticket);
    }
  cell->needs_placement = true;
}

/* Start all tasks of a gang, or none of them if not all fit; only on workers
   of RACK unless that is NULL. */
static bool
try_place_gang (struct cell *c, struct cell_occurrence *o, uint32_t step,
                const char *rack, int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  struct cell_task *first = &o->tasks[o->first_task[step]];
  uint32_t placed;
  uint64_t run = 0;
  bool fits;

  for (placed = 0; placed < s->count; placed++)
    {
      struct cell_task *t = &o->tasks[o->first_task[step] + placed];
      struct cell_worker *w = choose_worker (c, t, rack, now_ms);

      if (w == NULL)
        break;
      cell_worker_assign_task (w, t);
    }
  fits = placed == s->count;
  if (fits)
    run = run_number (c, ++first->runs_given);
  for (uint32_t i = 0; i < placed; i++)
    {
      struct cell_task *t = &o->tasks[o->first_task[step] + i];
      struct cell_worker *w = t->worker;

      cell_worker_unassign_task (w, t);
      if (!fits)
        continue;
      t->runs_given = first->runs_given;
      assign_and_start (c, t, w, run, now_ms);
    }
  return fits;
}

/* Return whether T's last run was over before the store last confirmed this
   owner, so that no successor can have started T again. */
static bool
is_last_run_over (const struct cell *c, const struct cell_task *t)
{
  return c->confirmed_ms > t->run_over_ms;
}

/* Return whether no run of T can be going on, be it under an earlier owner or
   a successor. */
static bool
is_every_run_over (const struct cell *c, const struct cell_task *t)
{
  return is_last_run_over (c, t)
         && (c->is_every_run_known || t->is_every_run_known);
}

static bool
is_every_gang_run_over (const struct cell *c, const struct cell_task *first,
                        uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!is_every_run_over (c, &first[i]))
      return false;
  return true;
}

static void
place_gang (struct cell *c, struct cell_occurrence *o, uint32_t step,
            int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  struct cell_task *first = &o->tasks[o->first_task[step]];

  if (o->waiting[step] < s->count || now_ms < first->retry_ms
      || !is_every_gang_run_over (c, first, s->count)
      || !has_run_number (c, first))
    return;
  if (!s->prefers_same_rack)
    {
      try_place_gang (c, o, step, NULL, now_ms);
      return;
    }
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (s->preferred_rack[0] == '\0'
          || strcmp (s->preferred_rack, w->entry->rack) == 0)
        if (try_place_gang (c, o, step, w->entry->rack, now_ms))
          return;
    }
}

static void
place_step (struct cell *c, struct cell_occurrence *o, uint32_t step,
            int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);

  ask_advice (c, o, step, now_ms);
  if (s->is_gang)
    {
      place_gang (c, o, step, now_ms);
      return;
    }
  for (uint32_t i = 0; i < s->count && o->waiting[step] > 0; i++)
    {
      struct cell_task *t = &o->tasks[o->first_task[step] + i];
      struct cell_worker *w;

      if (t->phase != TASK_WAITING || now_ms < t->retry_ms
          || !is_every_run_over (c, t) || !has_run_number (c, t))
        continue;
      w = choose_worker (c, t, NULL, now_ms);
      if (w != NULL)
        {
          assign_and_start (c, t, w, run_number (c, ++t->runs_given), now_ms);
          continue;
        }
      if (s->is_long_running)
        c->last_shortage_ms = now_ms;
      if (s->is_long_running && !s->is_best_effort
          && now_ms > t->phase_ms + PREEMPT_DELAY_MS
          && now_ms >= t->adjusted_ms + PREEMPT_INTERVAL_MS)
        {
          t->adjusted_ms = now_ms;
          preempt_for (c, t, now_ms);
        }
      break; /* the other tasks of the step need as much */
    }
}

bool
cell_step_is_ready (const struct cell_occurrence *o, uint32_t step)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);

  if (!o->is_due)
    return false;
  for (guint i = 0; i < s->depends_on->len; i++)
    if (o->unfinished[g_array_index (s->depends_on, uint32_t, i)] > 0)
      return false;
  return true;
}

static void
place_job (struct cell *c, struct cell_job *job, int64_t now_ms)
{
  if (job->spec->occurrences > 0)
    cell_job_add_due_occurrences (c, job, now_ms);
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct cell_occurrence *o = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < job->spec->steps->len; k++)
        if (o->waiting[k] > 0 && cell_step_is_ready (o, k))
          place_step (c, o, k, now_ms);
    }
}

/* Check whether a worker may still run tasks of an earlier owner that it has
   not reported to this one; tasks that might be among these are not started
   meanwhile. */
static void
update_known_runs (struct cell *c, int64_t now_ms)
{
  const struct cell_worker *w = cell_find_worker_with_unseen_runs (c);

  c->is_every_run_known = w == NULL;
  if (w == NULL
      || now_ms < c->unseen_runs_logged_ms + UNSEEN_RUNS_LOG_INTERVAL_MS)
    return;
  c->unseen_runs_logged_ms = now_ms;
  cell_log_event (c, "cell-unsettled", c->service,
                  "worker=%s for_ms=%" G_GINT64_FORMAT, w->entry->id,
                  now_ms - c->taken_over_ms);
}

static void
update_suspect_policy (struct cell *c)
{
  uint32_t suspects = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    if (cell_worker_is_suspect (g_ptr_array_index (c->worker_list, i)))
      suspects++;
  c->avoids_suspects
      = suspects * 100 <= c->worker_list->len * SUSPECT_MAX_PERCENT;
}

void
cell_place (struct cell *c, int64_t now_ms)
{
  /* Retry delays and cooldowns expire without any event. */
  if (!c->needs_placement
      && now_ms < c->last_placement_ms + IDLE_PLACE_INTERVAL_MS)
    return;
  c->needs_placement = false;
  c->last_placement_ms = now_ms;
  update_known_runs (c, now_ms);
  update_suspect_policy (c);
  if (c->has_unsorted_jobs)
    g_ptr_array_sort (c->open_jobs, compare_placement_order);
  c->has_unsorted_jobs = false;
  for (guint i = 0; i < c->open_jobs->len; i++)
    {
      struct cell_job *job = g_ptr_array_index (c->open_jobs, i);

      if (job->is_stored)
        place_job (c, job, now_ms);
    }
}
