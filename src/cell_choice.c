#include "cell_place.h"

#include <string.h>

/* Choice: which candidate a task gets, and which tasks make room for it. */

/* Penalties of a worker as the place of a task, added to its processor use in
   permille. */
#define COST_COOLDOWN 100000
#define COST_FAILED_THERE 50000
#define COST_OTHER_RACK 4000
/* Only if no other worker has room: even an idle one is cheaper. */
#define COST_SLOW_WORKER 8000
#define COST_SAME_WORKER 1200
#define COST_SAME_RACK 250
/* Idle workers are kept idle, so that their machines can be lent. */
#define COST_IDLE_WORKER 1500

int64_t
cell_placement_cost (const struct cell *c, const struct cell_task *t,
                     const struct cell_worker *w, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  int64_t cost = (int64_t)w->used.cpu_milli * 1000
                 / MAX (w->entry->capacity.cpu_milli, 1);

  if (w->tasks->len == 0)
    cost += COST_IDLE_WORKER;
  if (now_ms < w->cooldown_until_ms
      || (s->is_long_running && cell_is_avoided (c, w)))
    cost += COST_COOLDOWN;
  if (cell_worker_is_slow (w) && !cell_worker_needs_speed_probe (w, now_ms))
    cost += COST_SLOW_WORKER;
  if (g_strcmp0 (t->avoid_worker, w->entry->id) == 0)
    cost += COST_FAILED_THERE;
  if (s->preferred_rack[0] != '\0'
      && strcmp (s->preferred_rack, w->entry->rack) != 0)
    cost += COST_OTHER_RACK;
  if (s->is_long_running)
    cost += (int64_t)cell_count_on_worker (w, t) * COST_SAME_WORKER
            + (int64_t)cell_count_on_rack (c, w, t) * COST_SAME_RACK;
  return cost;
}

/* Return whether some worker of C may have room for a task of S.  Room only
   shrinks during a placement, so what was too large stays so.  Without this, a
   full cell of 200 workers with 900 waiting jobs takes 0.6 ms a placement. */
static bool
may_have_room (const struct cell *c, const struct job_step *s)
{
  for (uint32_t i = 0; i < c->n_no_room; i++)
    {
      const struct worker_resources *r = &c->no_room[i];

      if (s->cpu_milli >= r->cpu_milli && s->memory_mb >= r->memory_mb
          && s->gpus >= r->gpus)
        return false;
    }
  return true;
}

static void
note_no_room (struct cell *c, const struct job_step *s)
{
  if (s->is_best_effort)
    return;
  c->no_room[c->n_no_room % CELL_NO_ROOM_MAX]
      = (struct worker_resources){ s->cpu_milli, s->memory_mb, s->gpus };
  c->n_no_room = MIN (c->n_no_room + 1, CELL_NO_ROOM_MAX);
}

struct cell_worker *
cell_choose_worker (struct cell *c, const struct cell_task *t,
                    const char *rack, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);
  struct cell_worker *best = NULL;
  int64_t best_cost = 0;
  bool has_room = false;
  bool needs_avoided;

  if (c->is_placing && !s->is_best_effort && !may_have_room (c, s))
    return NULL;
  needs_avoided = cell_needs_avoided (c, t);
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);
      int64_t cost;

      if (w == t->worker
          || (rack != NULL && strcmp (w->entry->rack, rack) != 0)
          || !cell_has_room (w, s) || !cell_accepts_starts (c, w, now_ms))
        continue;
      has_room = true;
      if (cell_is_reserved_for_other (w, t)
          || !cell_may_run_on (c, t, w, needs_avoided, now_ms)
          || !cell_has_ticket (t, w, now_ms))
        continue;
      cost = cell_placement_cost (c, t, w, now_ms);
      if (best == NULL || cost < best_cost)
        {
          best = w;
          best_cost = cost;
        }
    }
  if (!has_room && rack == NULL && c->is_placing)
    note_no_room (c, s);
  return best;
}

bool
cell_has_worker_for (struct cell *c, const struct cell_task *t, int64_t now_ms)
{
  const struct cell_worker *w = cell_choose_worker (c, t, NULL, now_ms);

  if (w != NULL && !cell_is_avoided (c, w))
    return true;
  c->last_shortage_ms = now_ms;
  return false;
}

void
cell_preempt_for (struct cell *c, struct cell_task *t, int64_t now_ms)
{
  struct cell_worker *best = NULL;
  const struct job_step *s = cell_task_step (t);
  uint32_t freed = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (cell_may_run_on (c, t, w, false, now_ms)
          && now_ms >= w->cooldown_until_ms && !cell_is_avoided (c, w)
          && (best == NULL
              || cell_count_on_rack (c, w, t)
                     < cell_count_on_rack (c, best, t)))
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
