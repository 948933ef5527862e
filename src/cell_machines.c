#include "cell_state.h"

/* Workers whose machines are gone.  A worker that does not answer may be dead
   or only unreachable; in the second case its runs go on for as long as an
   earlier owner may extend their leases.  The platform's list of machines
   names the worker of each machine that is up, also of one that is cut off.  A
   worker that it does not name any more has ended, and its runs with it. */

/* Interval between two lists.  It doubles, up to the maximum, while they name
   all workers that are waited for, as they do those that are cut off. */
#define LIST_INTERVAL_MS 400
#define LIST_INTERVAL_MAX_MS 3200
/* Lists in a row that must lack a worker: one that is read page by page is not
   a snapshot. */
#define ABSENCES_MIN 2
/* How long after a takeover calls of the earlier owner are taken to be under
   way to a worker whose machine is gone.  Shorter than for one that may be up:
   its long-running tasks may not stand still for long. */
#define EARLIER_CALLS_MS 3000
/* Return whether something waits for the leases of W, which has not answered a
   hold. */
static bool
is_waited_for (const struct cell *c, const struct cell_worker *w)
{
  return !w->is_confirmed && w->silent_ms != 0
         && (w->tasks->len > 0
             || ((w->may_have_unseen_runs || w->other_runs != NULL)
                 && !cell_worker_leases_expired (c, w)));
}

void
cell_machines_note_silence (struct cell *c, struct cell_worker *w,
                            int64_t now_ms)
{
  w->silent_ms = now_ms;
  c->list_interval_ms = LIST_INTERVAL_MS;
  c->next_list_ms = MIN (c->next_list_ms, now_ms + LIST_INTERVAL_MS);
}

void
cell_machines_tick (struct cell *c, int64_t now_ms)
{
  if (!c->options.lists_machines || c->has_pending_list
      || now_ms < c->next_list_ms)
    return;
  for (guint i = 0; i < c->worker_list->len; i++)
    if (is_waited_for (c, g_ptr_array_index (c->worker_list, i)))
      {
        cell_add_order (c, ORDER_LIST_MACHINES);
        c->has_pending_list = true;
        return;
      }
}

/* Return from when on a list without W shows that nobody gets the calls that
   were sent to it: its next incarnation takes those that are under way. */
static int64_t
calls_over_ms (const struct cell *c, const struct cell_worker *w)
{
  int64_t earlier_ms
      = c->earlier_owners->len > 0 ? c->taken_over_ms + EARLIER_CALLS_MS : 0;

  return MAX (earlier_ms, w->last_start_ms + CALL_TRANSIT_MAX_MS);
}

static void
note_absence (struct cell *c, struct cell_worker *w, int64_t sent_ms,
              int64_t now_ms)
{
  if (++w->absences < ABSENCES_MIN)
    return;
  w->absent_ms = sent_ms;
  if (w->has_ended)
    return;
  cell_log_event (c, "worker-gone", w->entry->id,
                  "tasks=%u silent_ms=%" G_GINT64_FORMAT
                  " leases_ms=%" G_GINT64_FORMAT,
                  w->tasks->len, now_ms - w->silent_ms,
                  cell_worker_leases_until_ms (c, w) - now_ms);
  cell_worker_end_incarnation (w, now_ms);
}

void
cell_machines_listed (struct cell *cell, GHashTable *workers, int64_t sent_ms,
                      int64_t now_ms)
{
  bool has_absence = false;

  cell->has_pending_list = false;
  cell->next_list_ms = now_ms + cell->list_interval_ms;
  if (workers == NULL)
    return;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      struct cell_worker *w = g_ptr_array_index (cell->worker_list, i);

      if (!is_waited_for (cell, w) || sent_ms < w->silent_ms)
        continue;
      if (g_hash_table_contains (workers, w->entry->id))
        {
          w->absences = 0;
          continue;
        }
      has_absence = true;
      if (sent_ms >= calls_over_ms (cell, w))
        note_absence (cell, w, sent_ms, now_ms);
    }
  cell->list_interval_ms
      = has_absence ? LIST_INTERVAL_MS
                    : MIN (cell->list_interval_ms * 2, LIST_INTERVAL_MAX_MS);
}
