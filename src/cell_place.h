#ifndef CELL_PLACE_H
#define CELL_PLACE_H

#include "cell_state.h"

/* Placement, shared by the files that implement it:
   cell_candidates.c  which workers may run a task
   cell_advice.c      which workers a queue's policy allows
   cell_order.c       which job goes first
   cell_racks.c       whether a task waits for the rack of its data
   cell_choice.c      which candidate a task gets
   cell_reserve.c     workers that are kept for a wide step
   cell_preempt.c     stops for an urgent task of the highest priority
   cell_unplaced.c    why a task is not started
   cell_place.c       starts of tasks and gangs. */

/* cell_candidates.c */
/* Return whether W has room for a task of S beside what is assigned to it. */
bool cell_has_room (const struct cell_worker *w, const struct job_step *s);
/* Return whether W has the label that tasks of S need, if they need one. */
bool cell_has_label (const struct cell_worker *w, const struct job_step *s);
/* Return how many tasks of T's step are on W. */
uint32_t cell_count_on_worker (const struct cell_worker *w,
                               const struct cell_task *t);
/* Return how many tasks of T's step are on workers of W's rack. */
uint32_t cell_count_on_rack (const struct cell *c, const struct cell_worker *w,
                             const struct cell_task *t);
/* Return whether W may run T by the advice received, if its queue needs
   advice. */
bool cell_has_ticket (const struct cell_task *t, const struct cell_worker *w,
                      int64_t now_ms);
/* Return whether W is suspect or very slow, and few enough workers are. */
bool cell_is_avoided (const struct cell *c, const struct cell_worker *w);
/* Return whether W takes starts at all. */
bool cell_accepts_starts (const struct cell *c, const struct cell_worker *w,
                          int64_t now_ms);
/* Return how many tasks of S fit on W now; at most all tasks of S. */
uint32_t cell_slots_now (const struct cell_worker *w,
                         const struct job_step *s);
/* Return how many tasks of S fit on W once its tasks that have an end are
   over; at most all tasks of S. */
uint32_t cell_slots_once_drained (const struct cell_worker *w,
                                  const struct job_step *s);
/* Return whether W may run T later, room aside: it is neither avoided nor
   being emptied, has the label, and the policy has not refused it. */
bool cell_may_run_later (const struct cell *c, const struct cell_task *t,
                         const struct cell_worker *w);
/* Return whether T, or its whole gang, can't run without workers that are
   avoided: no other ones, or too few, may ever run it. */
bool cell_needs_avoided (const struct cell *c, const struct cell_task *t);
/* Return whether T has waited long enough since it last failed to be tried on
   W.  NEEDS_AVOIDED as for cell_may_run_on. */
bool cell_has_backed_off (const struct cell *c, const struct cell_task *t,
                          const struct cell_worker *w, bool needs_avoided,
                          int64_t now_ms);
/* Return whether W may run T, room and advice aside.  With NEEDS_AVOIDED, T
   can't run without workers that are avoided. */
bool cell_may_run_on (const struct cell *c, const struct cell_task *t,
                      const struct cell_worker *w, bool needs_avoided,
                      int64_t now_ms);
/* Decide whether suspect and very slow workers are avoided in the next
   placement. */
void cell_update_suspect_policy (struct cell *c, int64_t now_ms);

/* cell_advice.c */
/* Note that a step of O waits, which may be for advice. */
void cell_want_advice (struct cell *c, const struct cell_occurrence *o);
/* Note that a second run of T is wanted, on a worker that needs a ticket. */
void cell_want_advice_for_copy (struct cell *c, const struct cell_task *t,
                                int64_t now_ms);

/* cell_order.c */
/* Sort the open jobs, those to place first at the front. */
void cell_order_jobs (struct cell *c, int64_t now_ms);
/* Return whether the cell has been overloaded for longer than its pool takes
   to grow. */
bool cell_is_overload_lasting (const struct cell *c, int64_t now_ms);

/* Where the tasks of a gang may start. */
enum gang_racks
{
  GANG_IN_PREFERRED_RACK,
  GANG_IN_ONE_RACK,
  GANG_IN_ANY_RACKS
};

/* cell_racks.c */
/* Return where the gang that begins with FIRST, which could not be placed, may
   start now: away from its preferred rack, or in several, only if that rack,
   or each one, has lost so many workers that the gang can't fit there later.
 */
enum gang_racks cell_gang_racks (const struct cell *c, struct cell_task *first,
                                 int64_t now_ms);
/* Return whether T waits for room in its preferred rack rather than run on W
   now; it then counts as waiting there for the rest of this placement. */
bool cell_waits_for_rack (struct cell *c, struct cell_task *t,
                          const struct cell_worker *w, int64_t now_ms);

/* cell_place.c */
/* Return whether T has no runs of earlier owners that this one does not know.
 */
bool cell_is_every_run_known (const struct cell *c, const struct cell_task *t);

/* cell_choice.c */
/* Return the penalty of W as the place of T: the lowest is chosen. */
int64_t cell_placement_cost (const struct cell *c, const struct cell_task *t,
                             const struct cell_worker *w, int64_t now_ms);
/* Return the best worker that can start T now, other than the one it is on, or
   NULL; only one of RACK unless that is NULL. */
struct cell_worker *cell_choose_worker (struct cell *c,
                                        const struct cell_task *t,
                                        const char *rack, int64_t now_ms);
/* Stop other tasks to make room for T, which is long-running, on the worker
   whose rack holds the fewest tasks of T's step.  Long-running tasks and gangs
   are not preempted. */
void cell_preempt_for (struct cell *c, struct cell_task *t, int64_t now_ms);

/* cell_reserve.c */
/* Drop all reservations; each placement makes them anew. */
void cell_clear_reservations (struct cell *c);
/* Return whether W is reserved for another job than T's. */
bool cell_is_reserved_for_other (const struct cell_worker *w,
                                 const struct cell_task *t);
/* Reserve workers for T, or its whole gang, which fits nowhere: they get no
   tasks of later jobs.  Only for the first such job of each priority that has
   waited for more than half of its slack. */
void cell_reserve_for (struct cell *c, const struct cell_task *t,
                       int64_t now_ms);

/* cell_preempt.c */
/* Stop tasks of lower priority that resume from a checkpoint, if T, which fits
   nowhere and has priority 0, would miss its job's deadline otherwise.
   Long-running tasks, gangs and tasks in their last quarter are not stopped,
   and no more work is thrown away than T needs. */
void cell_preempt_lower_priority (struct cell *c, struct cell_task *t,
                                  int64_t now_ms);

/* cell_unplaced.c */
/* Log what keeps each worker from T, if T has waited for long. */
void cell_log_unplaced (struct cell *c, const struct cell_task *t,
                        int64_t now_ms);

#endif
