#include "cell_state.h"

#include <string.h>

/* A task that lasts and finds no room takes that of others after this. */
#define PREEMPT_AFTER_MS 400
/* Between two preemptions for one cell. */
#define PREEMPT_GAP_MS 500
/* Advice is asked again after this if it named no worker, or none answered. */
#define ADVICE_RETRY_MS 700
/* Workers named in one call for advice; each costs the service time. */
#define ADVICE_WORKERS 30
/* A ticket is used no later than this before its end. */
#define TICKET_SPARE_MS 300
/* A pool is too small for so long after a task that lasts found no place. */
#define SHORT_MS 1000
#define UNSETTLED_NOTE_GAP_MS 1000
/* An entry may be missing so long while the store comes back. */
#define UNLISTED_GRACE_MS 2500

/* Suspect workers are spared as long as they are no more than this share of
   all; beyond, it is rather the jobs that fail. */
#define SUSPECT_MAX_PERCENT 34

/* What a worse choice costs, in the units of a worker's use in permille. */
#define COST_SHUNNED 100000
#define COST_AVOIDED 50000
#define COST_FAR 4000
#define COST_SAME_WORKER 1200
#define COST_SAME_RACK 250
/* A worker without work is kept so: its machine can be lent. */
#define COST_EMPTY 1500

static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  const struct cell_job *x = *(struct cell_job *const *)a;
  const struct cell_job *y = *(struct cell_job *const *)b;

  if (x->lasts != y->lasts)
    return x->lasts ? -1 : 1;
  if (x->spec->priority != y->spec->priority)
    return x->spec->priority < y->spec->priority ? -1 : 1;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

static bool
takes_work (const struct cell *c, const struct cell_worker *w, int64_t now_ms)
{
  /* What other runs take is not known; a worker that admits checks itself. */
  if (!c->options.workers_admit && w->strangers > 0)
    return false;
  return w->confirmed && w->may_start && !w->entry->draining
         && (w->listed || now_ms < w->unlisted_ms + UNLISTED_GRACE_MS)
         && now_ms >= w->blocked_ms && !w->leaving && w->clock_heard_ms != 0;
}

static bool
has_room (const struct cell_worker *w, const struct job_step *s)
{
  const struct worker_room *room = &w->entry->room;

  return (s->fills || w->used.cpu_milli + s->cpu_milli <= room->cpu_milli)
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
      const struct cell_task *other = &o->tasks[o->first[t->step] + i];

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

  if (!t->occurrence->job->spec->advice.needed)
    return true;
  if (tickets == NULL)
    return false;
  ticket = g_hash_table_lookup (tickets, w->entry->id);
  return ticket != NULL && now_ms < ticket->until_ms - TICKET_SPARE_MS;
}

/* A suspect worker is tried with one task that has not failed yet: it would
   use up the attempts of all that it can hold. */
static bool
may_probe (const struct cell_task *t, const struct cell_worker *w,
           int64_t now_ms)
{
  return now_ms >= w->shunned_ms && w->tasks->len == 0 && t->failures == 0
         && !cell_task_step (t)->lasts;
}

static bool
may_run_on (const struct cell *c, const struct cell_task *t,
            const struct cell_worker *w, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);

  if (!takes_work (c, w, now_ms)
      || (s->label[0] != '\0' && !worker_entry_has_label (w->entry, s->label)))
    return false;
  if (c->spares_suspects && cell_worker_is_suspect (w)
      && !may_probe (t, w, now_ms))
    return false;
  return s->per_worker == 0 || count_on_worker (w, t) < s->per_worker;
}

static int64_t
cost_of (const struct cell *c, const struct cell_task *t,
         const struct cell_worker *w, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  int64_t cost
      = (int64_t)w->used.cpu_milli * 1000 / MAX (w->entry->room.cpu_milli, 1);

  if (w->tasks->len == 0)
    cost += COST_EMPTY;
  if (now_ms < w->shunned_ms)
    cost += COST_SHUNNED;
  if (g_strcmp0 (t->avoid_worker, w->entry->id) == 0)
    cost += COST_AVOIDED;
  if (s->near_rack[0] != '\0' && strcmp (s->near_rack, w->entry->rack) != 0)
    cost += COST_FAR;
  if (s->lasts)
    cost += (int64_t)count_on_worker (w, t) * COST_SAME_WORKER
            + (int64_t)count_on_rack (c, w, t) * COST_SAME_RACK;
  return cost;
}

static struct cell_worker *
choose (const struct cell *c, const struct cell_task *t, const char *rack,
        int64_t now_ms)
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
      cost = cost_of (c, t, w, now_ms);
      if (best == NULL || cost < best_cost)
        {
          best = w;
          best_cost = cost;
        }
    }
  return best;
}

bool
cell_has_place (struct cell *c, const struct cell_task *t, int64_t now_ms)
{
  if (choose (c, t, NULL, now_ms) != NULL)
    return true;
  c->short_ms = now_ms;
  return false;
}

static uint64_t
next_run (const struct cell *c, uint32_t count)
{
  return (c->options.epoch - 1) * CELL_RUNS_PER_EPOCH + count;
}

static void
assign (struct cell *c, struct cell_task *t, struct cell_worker *w,
        uint64_t run, int64_t now_ms)
{
  t->run = run;
  t->start_tries = 0;
  t->percent = 0;
  t->moved_ms = now_ms;
  t->pace = 100;
  t->stop_heard = false;
  cell_worker_put_task (w, t);
  cell_task_set_phase (t, TASK_STARTING, now_ms);
  cell_order_start (c, t, now_ms);
}

/* Make room for T, which lasts, on the worker where least is thrown away. */
static void
preempt_for (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  struct cell_worker *best = NULL;
  const struct job_step *s = cell_task_step (t);
  uint32_t freed = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (may_run_on (c, t, w, now_ms) && now_ms >= w->shunned_ms
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
      if (other->phase != TASK_RUNNING || o->lasts || o->is_gang)
        continue;
      freed += o->cpu_milli;
      cell_stop_task (c, other, now_ms);
    }
}

static void
ask_advice (struct cell *c, struct cell_occurrence *o, uint32_t step,
            int64_t now_ms)
{
  struct cell_task *t = &o->tasks[o->first[step]];
  struct cell_order *order;

  if (!o->job->spec->advice.needed || now_ms < o->advice_ms[step])
    return;
  o->advice_ms[step]
      = now_ms + MAX (ADVICE_RETRY_MS, o->job->spec->advice.valid_ms / 2);
  order = cell_add_order (c, ORDER_ADVISE);
  order->u.advise.step
      = g_strdup_printf ("%s.%u.%u", o->job->spec->id, o->number, step);
  order->u.advise.workers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < c->worker_list->len
                    && order->u.advise.workers->len < ADVICE_WORKERS;
       i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (may_run_on (c, t, w, now_ms))
        g_ptr_array_add (order->u.advise.workers, g_strdup (w->entry->id));
    }
}

static void
destroy_ticket (gpointer p)
{
  struct step_ticket *t = p;

  g_free (t->ticket);
  g_free (t);
}

void
cell_advised (struct cell *cell, const char *step, const GArray *tickets,
              int64_t valid_ms, int64_t now_ms)
{
  char *name = g_strconcat (step, ".0", NULL);
  struct cell_task *t = cell_find_task (cell, name);
  GHashTable **table;

  g_free (name);
  if (t == NULL)
    return;
  if (tickets == NULL)
    {
      t->occurrence->advice_ms[t->step] = now_ms + ADVICE_RETRY_MS;
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
      struct step_ticket *one = g_new0 (struct step_ticket, 1);

      one->ticket = g_strdup (w->ticket);
      one->until_ms = now_ms + valid_ms;
      g_hash_table_replace (*table, g_strdup (w->worker), one);
    }
  cell->place_needed = true;
}

/* Place all tasks of a gang, on one rack if it wants one, or none. */
static bool
try_gang (struct cell *c, struct cell_occurrence *o, uint32_t step,
          const char *rack, int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  uint32_t placed;
  uint64_t run;
  bool whole;

  for (placed = 0; placed < s->count; placed++)
    {
      struct cell_task *t = &o->tasks[o->first[step] + placed];
      struct cell_worker *w = choose (c, t, rack, now_ms);

      if (w == NULL)
        break;
      cell_worker_put_task (w, t);
    }
  whole = placed == s->count;
  run = next_run (c, ++o->tasks[o->first[step]].runs);
  for (uint32_t i = 0; i < placed; i++)
    {
      struct cell_task *t = &o->tasks[o->first[step] + i];
      struct cell_worker *w = t->worker;

      cell_worker_take_task (w, t);
      t->runs = o->tasks[o->first[step]].runs;
      if (whole)
        assign (c, t, w, run, now_ms);
    }
  return whole;
}

static void
place_gang (struct cell *c, struct cell_occurrence *o, uint32_t step,
            int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  struct cell_task *first = &o->tasks[o->first[step]];

  if (o->waiting[step] < s->count || now_ms < first->retry_ms
      || !(c->is_settled || o->tasks[o->first[step]].is_known))
    return;
  if (!s->one_rack)
    {
      try_gang (c, o, step, NULL, now_ms);
      return;
    }
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (s->near_rack[0] == '\0'
          || strcmp (s->near_rack, w->entry->rack) == 0)
        if (try_gang (c, o, step, w->entry->rack, now_ms))
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
      struct cell_task *t = &o->tasks[o->first[step] + i];
      struct cell_worker *w;

      if (t->phase != TASK_WAITING || now_ms < t->retry_ms
          || !(c->is_settled || t->is_known))
        continue;
      w = choose (c, t, NULL, now_ms);
      if (w != NULL)
        {
          assign (c, t, w, next_run (c, ++t->runs), now_ms);
          continue;
        }
      if (s->lasts)
        c->short_ms = now_ms;
      if (s->lasts && !s->fills && now_ms > t->phase_ms + PREEMPT_AFTER_MS
          && now_ms >= t->paced_ms + PREEMPT_GAP_MS)
        {
          t->paced_ms = now_ms;
          preempt_for (c, t, now_ms);
        }
      break; /* the other tasks of the step are as large */
    }
}

static bool
is_ready (const struct cell_occurrence *o, uint32_t step)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);

  for (guint i = 0; i < s->after->len; i++)
    if (o->undone[g_array_index (s->after, uint32_t, i)] > 0)
      return false;
  return true;
}

static void
place_job (struct cell *c, struct cell_job *job, int64_t now_ms)
{
  if (job->spec->occurrences > 0)
    cell_job_open_due (c, job, now_ms);
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct cell_occurrence *o = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < job->spec->steps->len; k++)
        if (o->waiting[k] > 0 && is_ready (o, k))
          place_step (c, o, k, now_ms);
    }
}

/* A task of an earlier owner's job may run on a worker that has not answered
   this one yet. */
static void
note_settled (struct cell *c, int64_t now_ms)
{
  const struct cell_worker *w = cell_unsettled_worker (c, now_ms);

  c->is_settled = w == NULL;
  if (w == NULL || now_ms < c->unsettled_noted_ms + UNSETTLED_NOTE_GAP_MS)
    return;
  c->unsettled_noted_ms = now_ms;
  cell_note (c, "cell-unsettled", c->service,
             "worker=%s for_ms=%" G_GINT64_FORMAT, w->entry->id,
             now_ms - c->taken_over_ms);
}

static void
count_suspects (struct cell *c)
{
  uint32_t suspects = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    if (cell_worker_is_suspect (g_ptr_array_index (c->worker_list, i)))
      suspects++;
  c->spares_suspects
      = suspects * 100 <= c->worker_list->len * SUSPECT_MAX_PERCENT;
}

void
cell_place (struct cell *c, int64_t now_ms)
{
  /* Even without news, pauses end. */
  if (!c->place_needed && now_ms < c->placed_ms + 50)
    return;
  c->place_needed = false;
  c->placed_ms = now_ms;
  note_settled (c, now_ms);
  count_suspects (c);
  if (c->open_unsorted)
    g_ptr_array_sort (c->open, compare_jobs);
  c->open_unsorted = false;
  for (guint i = 0; i < c->open->len; i++)
    {
      struct cell_job *job = g_ptr_array_index (c->open, i);

      if (job->stored)
        place_job (c, job, now_ms);
    }
}

static uint64_t
cpu_wanted (const struct cell_job *job)
{
  uint64_t wanted = 0;

  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct cell_occurrence *o
          = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < job->spec->steps->len; k++)
        {
          const struct job_step *s = g_ptr_array_index (job->spec->steps, k);

          if (o->waiting[k] > 0 && !s->fills && is_ready (o, k))
            wanted += (uint64_t)o->waiting[k] * s->cpu_milli;
        }
    }
  return wanted;
}

/* Workers that the widest step of JOB that lasts is to be spread over. */
static uint32_t
workers_for_spread (const struct cell_job *job)
{
  uint32_t most = 0;

  for (guint i = 0; i < job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);

      if (s->lasts && s->per_worker > 0)
        most = MAX (most, (s->count + s->per_worker - 1) / s->per_worker);
    }
  return most;
}

/* The processors of all tasks of JOB that last. */
static uint64_t
lasting_cpu (const struct cell_job *job)
{
  uint64_t cpu = 0;

  for (guint i = 0; job->lasts && i < job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);

      if (s->lasts && !s->fills)
        cpu += (uint64_t)s->count * s->cpu_milli;
    }
  return cpu;
}

struct pool_load *
cell_get_load (const struct cell *cell)
{
  struct pool_load *l = pool_load_new (cell->service);
  uint64_t lasting_milli = 0;
  uint32_t listed = 0;

  l->jobs_taken = cell->jobs_taken;
  l->work_taken_milli_s = cell->work_taken_milli_s;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (cell->worker_list, i);

      l->cpu_used_milli += w->used.cpu_milli;
      if (!w->confirmed || !w->listed || w->entry->draining)
        continue;
      listed++;
      l->cpu_per_worker_milli
          = MAX (l->cpu_per_worker_milli, w->entry->room.cpu_milli);
      if (w->tasks->len == 0)
        g_ptr_array_add (l->idle, g_strdup (w->entry->id));
    }
  for (guint i = 0; i < cell->open->len; i++)
    {
      const struct cell_job *job = g_ptr_array_index (cell->open, i);
      uint64_t wanted_milli = cpu_wanted (job);

      l->cpu_wanted_milli += wanted_milli;
      if (job->lasts)
        lasting_milli += wanted_milli;
      l->workers_min = MAX (l->workers_min, workers_for_spread (job));
      l->cpu_lasting_milli += lasting_cpu (job);
    }
  /* Whatever the sum says, a task that lasts has found no place. */
  if (cell->short_ms != 0 && cell->placed_ms < cell->short_ms + SHORT_MS
      && l->cpu_per_worker_milli > 0)
    l->workers_min
        = MAX (l->workers_min,
               listed + (uint32_t)(lasting_milli / l->cpu_per_worker_milli));
  return l;
}
