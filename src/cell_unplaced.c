#include "cell_place.h"

/* Logs why a task whose turn has come is not started. */

/* A task that has waited for so long is logged, at most one of a cell in each
   such interval. */
#define UNPLACED_LOG_MS 2000

/* The first obstacle to a task on a worker. */
enum obstacle
{
  OBSTACLE_NOT_READY, /* the worker takes no starts */
  OBSTACLE_LABEL,
  OBSTACLE_ROOM,
  OBSTACLE_RESERVED,
  OBSTACLE_BACKOFF, /* of the task, after a failure */
  OBSTACLE_AVOIDED, /* suspect or very slow */
  OBSTACLE_LIMIT,   /* of tasks of the step on one worker */
  OBSTACLE_TICKET,
  OBSTACLE_COUNT /* there is none */
};

static enum obstacle
find_obstacle (const struct cell *c, const struct cell_task *t,
               const struct cell_worker *w, bool needs_avoided, int64_t now_ms)
{
  const struct job_step *s = cell_task_step (t);

  if (!cell_accepts_starts (c, w, now_ms))
    return OBSTACLE_NOT_READY;
  if (!cell_has_label (w, s))
    return OBSTACLE_LABEL;
  if (!cell_has_room (w, s))
    return OBSTACLE_ROOM;
  if (cell_is_reserved_for_other (w, t))
    return OBSTACLE_RESERVED;
  if (!cell_has_backed_off (c, t, w, needs_avoided, now_ms))
    return OBSTACLE_BACKOFF;
  if (!cell_may_run_on (c, t, w, needs_avoided, now_ms))
    return cell_is_avoided (c, w) ? OBSTACLE_AVOIDED : OBSTACLE_LIMIT;
  if (!cell_has_ticket (t, w, now_ms))
    return OBSTACLE_TICKET;
  return OBSTACLE_COUNT;
}

void
cell_log_unplaced (struct cell *c, const struct cell_task *t, int64_t now_ms)
{
  uint32_t n[OBSTACLE_COUNT + 1] = { 0 };
  bool needs_avoided;
  char *name;

  if (now_ms < t->phase_ms + UNPLACED_LOG_MS
      || now_ms < c->unplaced_logged_ms + UNPLACED_LOG_MS)
    return;
  c->unplaced_logged_ms = now_ms;
  needs_avoided = cell_needs_avoided (c, t);
  for (guint i = 0; i < c->worker_list->len; i++)
    n[find_obstacle (c, t, g_ptr_array_index (c->worker_list, i),
                     needs_avoided, now_ms)]++;
  name = cell_task_name (t);
  cell_log_event (c, "task-unplaced", name,
                  "waited_ms=%" G_GINT64_FORMAT
                  " failures=%u workers=%u not_ready=%u label=%u room=%u"
                  " reserved=%u backoff=%u avoided=%u limit=%u ticket=%u",
                  now_ms - t->phase_ms, t->failures, c->worker_list->len,
                  n[OBSTACLE_NOT_READY], n[OBSTACLE_LABEL], n[OBSTACLE_ROOM],
                  n[OBSTACLE_RESERVED], n[OBSTACLE_BACKOFF],
                  n[OBSTACLE_AVOIDED], n[OBSTACLE_LIMIT], n[OBSTACLE_TICKET]);
  g_free (name);
}
