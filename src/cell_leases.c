#include "cell_state.h"

/* Leases, and the calls that give them.

   A worker that starts again under its ID begins a new incarnation, whose
   clock starts anew and which knows no fencing token.  Calls name the worker
   by its ID only, so that the new incarnation carries out those that were
   meant for the former one.  A start then begins a run there, and a deadline
   on the former clock gives the longest lease from the moment at which the
   call is carried out, not from when it was sent.

   The fencing token counts the incarnations that this owner has learned of.
   Once a call under the new token has been answered, the incarnation refuses
   all earlier calls.  Until then, and where the owner does not know of a
   restart, CALL_LATE_MAX_MS bounds when a call without an answer may be
   carried out.  A run that its worker's known incarnation has shown to have
   (it is placed) ends with that incarnation, so that only the leases of other
   runs have to be waited for as long. */

/* How much a worker's clock may run slow, in permille. */
#define CLOCK_DRIFT_PERMILLE 25
/* Added to the expiry of a lease for the transit time of the call. */
#define LEASE_MARGIN_MS 150
/* How much the clock in an answer may be behind the expected one, besides its
   drift: the time that the answer, and the report before, were under way. */
#define CLOCK_TOLERANCE_MS 1000
/* The fencing token is the owner's epoch with this many bits for the count of
   incarnations, so that each successor's is higher. */
#define TOKEN_RESTART_BITS 20
#define TOKEN_RESTARTS_MAX ((UINT64_C (1) << TOKEN_RESTART_BITS) - 1)

uint64_t
cell_worker_token (const struct cell *c, const struct cell_worker *w)
{
  return (c->options.epoch << TOKEN_RESTART_BITS)
         + MIN (w->restarts, TOKEN_RESTARTS_MAX);
}

/* Return when a lease of LEASE_MS given now has expired, by a worker's clock
   whose last report came SINCE_REPORT_MS ago and that has run slow since. */
static int64_t
lease_end_ms (int64_t lease_ms, int64_t since_report_ms, int64_t now_ms)
{
  return now_ms + lease_ms
         + (lease_ms + since_report_ms) * CLOCK_DRIFT_PERMILLE / 1000
         + LEASE_MARGIN_MS;
}

static int64_t
longest_lease_until_ms (const struct cell *c, int64_t given_ms)
{
  return lease_end_ms (c->options.hold_max_ms, 0, given_ms);
}

int64_t
cell_late_lease_until_ms (const struct cell *c, int64_t sent_ms)
{
  return longest_lease_until_ms (c, sent_ms + ORDER_SETTLED_MS);
}

/* Return an estimate of the worker's clock now. */
static int64_t
estimate_clock (const struct cell_worker *w, int64_t now_ms)
{
  return w->clock_ms + (now_ms - w->clock_reported_ms);
}

bool
cell_clock_is_known (const struct cell_worker *w, int64_t clock_ms,
                     int64_t now_ms)
{
  int64_t since_report_ms = now_ms - w->clock_reported_ms;
  int64_t tolerance_ms
      = CLOCK_TOLERANCE_MS + since_report_ms * CLOCK_DRIFT_PERMILLE / 1000;

  /* A later incarnation is behind by at least the age of this one at its last
     report. */
  return w->clock_reported_ms - w->incarnation_known_ms > 2 * tolerance_ms
         && clock_ms > estimate_clock (w, now_ms) - tolerance_ms;
}

int64_t
cell_lease_deadline (struct cell_worker *w, int64_t now_ms)
{
  w->last_deadline_ms = now_ms;
  w->lease_expiry_ms = MAX (
      w->lease_expiry_ms,
      lease_end_ms (w->lease_ms, now_ms - w->clock_reported_ms, now_ms));
  return estimate_clock (w, now_ms) + w->lease_ms;
}

void
cell_leases_begin_incarnation (struct cell *c, struct cell_worker *w,
                               int64_t now_ms)
{
  w->restarts = ++c->restarts;
  w->has_taken_token = false;
  if (now_ms
      < MAX (w->lease_expiry_ms, w->last_deadline_ms + ORDER_SETTLED_MS))
    w->lease_expiry_ms
        = MAX (w->lease_expiry_ms, cell_late_lease_until_ms (c, now_ms));
}

void
cell_leases_token_taken (const struct cell *c, struct cell_worker *w,
                         int64_t now_ms)
{
  if (w->has_taken_token)
    return;
  w->has_taken_token = true;
  if (w->may_have_earlier_leases)
    w->lease_expiry_ms
        = MAX (w->lease_expiry_ms, cell_owners_leases_until_ms (c));
  w->may_have_earlier_leases = false;
  w->lease_expiry_ms
      = MIN (w->lease_expiry_ms, longest_lease_until_ms (c, now_ms));
}

int64_t
cell_worker_leases_until_ms (const struct cell *c, const struct cell_worker *w)
{
  return w->may_have_earlier_leases
             ? MAX (w->lease_expiry_ms, cell_owners_leases_until_ms (c))
             : w->lease_expiry_ms;
}

bool
cell_worker_leases_expired (const struct cell *c, const struct cell_worker *w)
{
  return c->confirmed_ms > cell_worker_leases_until_ms (c, w);
}

/* Runs. */

bool
cell_run_may_start_late (const struct cell_task *t, int64_t at_ms)
{
  return t->has_pending_start || at_ms < t->late_start_until_ms;
}

bool
cell_run_is_placed (const struct cell_task *t)
{
  return t->placed_ms != 0 && !cell_run_may_start_late (t, t->placed_ms);
}

int64_t
cell_run_until_ms (const struct cell *c, const struct cell_task *t)
{
  const struct cell_worker *w = t->worker;
  int64_t until_ms = cell_worker_leases_until_ms (c, w);

  if (cell_run_is_placed (t))
    return until_ms;
  until_ms = MAX (until_ms, cell_late_lease_until_ms (c, w->last_deadline_ms));
  return MAX (until_ms, longest_lease_until_ms (c, t->late_start_until_ms));
}

bool
cell_run_is_over (const struct cell *c, const struct cell_task *t)
{
  const struct cell_worker *w = t->worker;

  if (w->is_confirmed || !cell_worker_leases_expired (c, w))
    return false;
  if (cell_run_is_placed (t))
    return true;
  /* No incarnation has been there to take the calls. */
  if (w->has_ended && !cell_run_may_start_late (t, w->absent_ms))
    return true;
  return c->confirmed_ms > cell_run_until_ms (c, t);
}

int64_t
cell_worker_runs_until_ms (const struct cell *c, const struct cell_worker *w)
{
  int64_t until_ms = cell_worker_leases_until_ms (c, w);

  for (guint i = 0; i < w->tasks->len; i++)
    until_ms = MAX (until_ms,
                    cell_run_until_ms (c, g_ptr_array_index (w->tasks, i)));
  return until_ms;
}

/* Ends. */

static void
add_unsettled_end (struct cell_worker *w, uint64_t number, int64_t until_ms)
{
  struct unsettled_end e = { number, until_ms };

  if (w->unsettled_ends == NULL)
    w->unsettled_ends
        = g_array_new (FALSE, FALSE, sizeof (struct unsettled_end));
  g_array_append_val (w->unsettled_ends, e);
}

void
cell_note_unsettled_end (struct cell_worker *w, const struct cell_task *t,
                         const struct worker_end *end, int64_t now_ms)
{
  if (cell_run_may_start_late (t, now_ms))
    add_unsettled_end (w, end->number,
                       t->has_pending_start ? now_ms + ORDER_SETTLED_MS
                                            : t->late_start_until_ms);
}

uint64_t
cell_settled_end (struct cell_worker *w, uint64_t end, int64_t now_ms)
{
  for (guint i = w->unsettled_ends != NULL ? w->unsettled_ends->len : 0; i > 0;
       i--)
    {
      const struct unsettled_end *e
          = &g_array_index (w->unsettled_ends, struct unsettled_end, i - 1);

      if (now_ms >= e->until_ms)
        g_array_remove_index (w->unsettled_ends, i - 1);
      else
        end = MIN (end, e->number - 1);
    }
  return end;
}

/* The takeover. */

int64_t
cell_earlier_calls_until_ms (const struct cell *c)
{
  return c->earlier_owners->len == 0 ? 0 : c->taken_over_ms + ORDER_SETTLED_MS;
}

void
cell_leases_activate (const struct cell *c, struct cell_worker *w,
                      int64_t now_ms)
{
  int64_t late_ms = cell_earlier_calls_until_ms (c);

  w->may_have_earlier_leases = w->lease_remaining_ms == LEASE_UNKNOWN;
  w->lease_expiry_ms = now_ms + MAX (w->lease_remaining_ms, 0);
  /* It has restarted since the earlier owner's record. */
  if (w->restarts > 0)
    w->lease_expiry_ms
        = MAX (w->lease_expiry_ms, cell_late_lease_until_ms (c, now_ms));
  /* The earlier owner may not have acknowledged these, as starts of the same
     runs were under way. */
  if (w->last_journaled_end > 0)
    add_unsettled_end (w, 1, late_ms);
}
