#include "cell_place.h"

#include <string.h>

/* Advice: which workers a queue's policy allows for a step.  The node asks for
   one question at a time (advice_desk.h), which is chosen when its turn comes:
   for the first step in the order of placement that has tasks to start and
   lacks tickets.  A call takes longer with each worker that it names, so that
   it names those that the step would be placed on first, and no more than it
   needs if the policy allows the usual share of them. */

/* Maximum number of workers in one question. */
#define ADVICE_MAX_WORKERS 30
/* Workers named in addition to the number that the step needs. */
#define ADVICE_SPARE_WORKERS 2
/* Steps, the first in the order of placement, for which advice is asked though
   no worker has room for them yet. */
#define ADVICE_AHEAD_STEPS 4
/* Such a step gets new tickets when its old ones are valid for less than
   this. */
#define ADVICE_REFRESH_MS 1000
/* Delay before a step that lacks nothing is looked at again. */
#define ADVICE_RECHECK_MS 100
/* How long a refusal counts.  The policy does not change, but a service that
   refuses all workers by mistake must not do so for good. */
#define ADVICE_REFUSAL_MS 60000
/* How long a second run of a task is wanted after it was last asked for. */
#define ADVICE_COPY_MS 1000
/* Workers asked for beyond which older answers count for half. */
#define ADVICE_SHARE_WINDOW 256

/* A worker that a question may name. */
struct advice_candidate
{
  const struct cell_worker *worker;
  bool has_room;
  int64_t cost;   /* as the place of the step's tasks */
  uint32_t slots; /* tasks of the step that fit: now if it has room, and else
                     once it is drained */
};

/* What a step has and lacks. */
struct advice_need
{
  GArray *candidates;    /* struct advice_candidate, without a ticket */
  uint32_t tasks;        /* to start */
  uint32_t slots_now;    /* on workers with a ticket and room */
  uint32_t slots_later;  /* on workers with a ticket, once they are drained */
  bool has_room_without; /* some candidate has room */
};

void
cell_want_advice (struct cell *c, const struct cell_occurrence *o)
{
  c->wants_advice = c->wants_advice || o->job->spec->advice.is_needed;
}

void
cell_want_advice_for_copy (struct cell *c, const struct cell_task *t,
                           int64_t now_ms)
{
  t->occurrence->copy_wanted_ms[t->step] = now_ms;
  cell_want_advice (c, t->occurrence);
}

static const struct step_ticket *
find_ticket (const struct cell_task *t, const struct cell_worker *w)
{
  GHashTable *tickets = t->occurrence->tickets[t->step];

  return tickets != NULL ? g_hash_table_lookup (tickets, w->entry->id) : NULL;
}

/* Return the task that stands for those of STEP that are to be started, or
   NULL if there is none. */
static const struct cell_task *
task_to_start (const struct cell_occurrence *o, uint32_t step, int64_t now_ms)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  const struct cell_task *first = &o->tasks[o->first_task[step]];

  if (!cell_step_is_ready (o, step))
    return NULL;
  if (s->is_gang)
    return o->waiting[step] == s->count ? first : NULL;
  for (uint32_t i = 0; i < s->count && o->waiting[step] > 0; i++)
    if (first[i].phase == TASK_WAITING)
      return &first[i];
  return o->copy_wanted_ms[step] != 0
                 && now_ms < o->copy_wanted_ms[step] + ADVICE_COPY_MS
             ? first
             : NULL;
}

static void
add_worker (struct advice_need *need, struct cell *c,
            const struct cell_task *t, const struct cell_worker *w,
            bool needs_avoided, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  const struct step_ticket *ticket = find_ticket (t, w);
  bool is_refused = ticket != NULL && ticket->ticket == NULL
                    && now_ms < ticket->expires_ms;
  bool has_room = cell_has_room (w, s)
                  && cell_may_run_on (c, t, w, needs_avoided, now_ms)
                  && !cell_is_reserved_for_other (w, t);
  struct advice_candidate candidate
      = { .worker = w,
          .has_room = has_room,
          .slots = has_room ? cell_slots_now (w, s)
                            : cell_slots_once_drained (w, s) };

  if (candidate.slots == 0 || is_refused || !cell_worker_is_in_service (w)
      || w->is_emptying || !cell_has_label (w, s)
      || (!has_room && cell_is_avoided (c, w) && !needs_avoided))
    return;
  if (has_room && cell_has_ticket (t, w, now_ms))
    {
      need->slots_now += candidate.slots;
      return;
    }
  if (ticket != NULL && ticket->ticket != NULL
      && now_ms < ticket->expires_ms - ADVICE_REFRESH_MS)
    {
      need->slots_later += candidate.slots;
      return;
    }
  candidate.cost = cell_placement_cost (c, t, w, now_ms);
  need->has_room_without = need->has_room_without || has_room;
  g_array_append_val (need->candidates, candidate);
}

/* Find in *NEED, whose candidates the caller frees, what T's step lacks. */
static void
find_need (struct advice_need *need, struct cell *c, const struct cell_task *t,
           int64_t now_ms)
{
  bool needs_avoided = cell_needs_avoided (c, t);

  *need = (struct advice_need){
    .candidates = g_array_new (FALSE, FALSE, sizeof (struct advice_candidate)),
    .tasks = MAX (t->occurrence->waiting[t->step], 1)
  };
  for (guint i = 0; i < c->worker_list->len; i++)
    add_worker (need, c, t, g_ptr_array_index (c->worker_list, i),
                needs_avoided, now_ms);
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct advice_candidate *x = a, *y = b;

  if (x->has_room != y->has_room)
    return x->has_room ? -1 : 1;
  if (x->cost != y->cost)
    return x->cost < y->cost ? -1 : 1;
  return strcmp (x->worker->entry->id, y->worker->entry->id);
}

/* Return how many of the candidates of NEED, which are sorted, to name, so
   that TASKS fit on those that the policy is expected to allow. */
static guint
count_to_name (const struct cell *c, const struct cell_task *t,
               const struct advice_need *need, uint32_t tasks)
{
  guint needed = 0;
  uint32_t slots = 0;
  uint64_t named;

  while (needed < need->candidates->len && slots < tasks)
    slots
        += g_array_index (need->candidates, struct advice_candidate, needed++)
               .slots;
  named
      = (uint64_t)needed * (c->advised_workers + 4) / (c->allowed_workers + 2)
        + ADVICE_SPARE_WORKERS;
  named <<= MIN (t->occurrence->refused_questions[t->step], 8);
  return (guint)MIN (named, MIN (need->candidates->len, ADVICE_MAX_WORKERS));
}

static struct advice_order *
make_order (struct cell *c, const struct cell_task *t,
            struct advice_need *need)
{
  struct advice_order *order = g_new0 (struct advice_order, 1);
  const struct job_spec *spec = t->occurrence->job->spec;
  uint32_t covered
      = need->has_room_without ? need->slots_now : need->slots_later;
  guint n;

  g_array_sort (need->candidates, compare_candidates);
  n = count_to_name (c, t, need, need->tasks - MIN (covered, need->tasks));
  order->step
      = g_strdup_printf ("%s.%u.%u", spec->id, t->occurrence->number, t->step);
  order->queue = g_strdup (spec->queue);
  order->workers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < n; i++)
    g_ptr_array_add (
        order->workers,
        g_strdup (g_array_index (need->candidates, struct advice_candidate, i)
                      .worker->entry->id));
  return order;
}

/* Return a question for STEP if it has tasks that could start now with more
   tickets.  If it lacks only room, count it in *AHEAD; if it lacks tickets,
   too, and is the first such step, put its question in *LATER. */
static struct advice_order *
consider_step (struct cell *c, struct cell_occurrence *o, uint32_t step,
               uint32_t *ahead, struct advice_order **later, int64_t now_ms)
{
  const struct cell_task *t;
  struct advice_need need;
  struct advice_order *order = NULL;

  if (now_ms < o->next_advice_ms[step])
    return NULL;
  t = task_to_start (o, step, now_ms);
  if (t == NULL)
    return NULL;
  find_need (&need, c, t, now_ms);
  if (need.slots_now < need.tasks && need.has_room_without)
    order = make_order (c, t, &need);
  else
    o->next_advice_ms[step] = now_ms + ADVICE_RECHECK_MS;
  if (order == NULL && need.slots_now == 0 && (*ahead)++ < ADVICE_AHEAD_STEPS
      && *later == NULL && need.slots_later < need.tasks
      && need.candidates->len > 0)
    *later = make_order (c, t, &need);
  g_array_unref (need.candidates);
  return order;
}

static struct advice_order *
consider_job (struct cell *c, struct cell_job *job, uint32_t *ahead,
              struct advice_order **later, int64_t now_ms)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    for (uint32_t k = 0; k < job->spec->steps->len; k++)
      {
        struct advice_order *order
            = consider_step (c, g_ptr_array_index (job->occurrences, i), k,
                             ahead, later, now_ms);

        if (order != NULL)
          return order;
      }
  return NULL;
}

struct advice_order *
cell_next_advice (struct cell *cell, int64_t now_ms)
{
  struct advice_order *order = NULL;
  struct advice_order *later = NULL;
  uint32_t ahead = 0;

  if (!cell->wants_advice || !cell->may_start || cell->is_fenced)
    return NULL;
  for (guint i = 0; i < cell->open_jobs->len && order == NULL; i++)
    {
      struct cell_job *job = g_ptr_array_index (cell->open_jobs, i);

      if (job->is_stored && job->spec->advice.is_needed)
        order = consider_job (cell, job, &ahead, &later, now_ms);
    }
  if (order != NULL)
    advice_order_destroy (later);
  else
    order = later;
  if (order == NULL)
    {
      cell->wants_advice = false; /* until the next placement */
      return NULL;
    }
  g_clear_pointer (&cell->advised, g_ptr_array_unref);
  cell->advised = g_ptr_array_ref (order->workers);
  return order;
}

void
advice_order_destroy (struct advice_order *order)
{
  if (order == NULL)
    return;
  g_free (order->step);
  g_free (order->queue);
  g_ptr_array_unref (order->workers);
  g_free (order);
}

static void
destroy_ticket (gpointer p)
{
  struct step_ticket *t = p;

  g_free (t->ticket);
  g_free (t);
}

static void
add_ticket (GHashTable *table, const char *worker, const char *ticket,
            int64_t expires_ms)
{
  struct step_ticket *t = g_new0 (struct step_ticket, 1);

  t->ticket = g_strdup (ticket);
  t->expires_ms = expires_ms;
  g_hash_table_replace (table, g_strdup (worker), t);
}

/* Count how many of the workers that were asked for are allowed. */
static void
learn_share (struct cell *c, guint asked, guint allowed)
{
  c->advised_workers += asked;
  c->allowed_workers += MIN (allowed, asked);
  if (c->advised_workers <= ADVICE_SHARE_WINDOW)
    return;
  c->advised_workers /= 2;
  c->allowed_workers /= 2;
}

static void
take_tickets (struct cell *c, struct cell_occurrence *o, uint32_t step,
              const GPtrArray *asked, const GArray *tickets, int64_t valid_ms,
              int64_t now_ms)
{
  GHashTable **table = &o->tickets[step];

  if (*table == NULL)
    *table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    destroy_ticket);
  for (guint i = 0; i < asked->len; i++)
    add_ticket (*table, g_ptr_array_index (asked, i), NULL,
                now_ms + ADVICE_REFUSAL_MS);
  for (guint i = 0; i < tickets->len; i++)
    {
      const struct worker_ticket *w
          = &g_array_index (tickets, struct worker_ticket, i);

      add_ticket (*table, w->worker, w->ticket, now_ms + valid_ms);
    }
  o->refused_questions[step]
      = tickets->len > 0 ? 0 : o->refused_questions[step] + 1;
  o->next_advice_ms[step] = 0;
  learn_share (c, asked->len, tickets->len);
}

void
cell_advice_answered (struct cell *cell, const char *step,
                      const GArray *tickets, int64_t valid_ms, int64_t now_ms)
{
  char *name = g_strconcat (step, ".0", NULL);
  const struct cell_task *t = cell_find_task (cell, name);
  GPtrArray *asked = g_steal_pointer (&cell->advised);

  g_free (name);
  if (t != NULL && asked != NULL && tickets != NULL)
    take_tickets (cell, t->occurrence, t->step, asked, tickets, valid_ms,
                  now_ms);
  cell->wants_advice = true;
  cell->needs_placement = true;
  if (asked != NULL)
    g_ptr_array_unref (asked);
}
