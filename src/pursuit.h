#ifndef PURSUIT_H
#define PURSUIT_H

#include <stdbool.h>
#include <stdint.h>

/* Decides how one request is carried through a change of the cell's owner:
   when it is sent, to which owner, and when it is given up.  Pattern: the
   owner is frozen, killed or stopping, and its successor takes over within
   seconds; a job's ID makes sending it again safe, so the caller gets an
   answer without retrying.  No I/O; times are milliseconds of a monotonic
   clock. */

struct pursuit;

enum pursuit_step
{
  PURSUIT_SEND,   /* send the request to the known owner now */
  PURSUIT_WAIT,   /* nothing is due */
  PURSUIT_GIVE_UP /* answer the caller that no owner took the request */
};

/* How one attempt ended. */
enum attempt_outcome
{
  ATTEMPT_NOT_DONE, /* the request was certainly not carried out */
  ATTEMPT_UNCLEAR   /* it may have been carried out, or be later */
};

/* Return a pursuit that ends TIMEOUT_MS after NOW_MS. */
struct pursuit *pursuit_new (int64_t timeout_ms, int64_t now_ms);
void pursuit_destroy (struct pursuit *pursuit);

/* Return what is due.  OWNER is the known owner's address, or NULL.
   HEARS_STORE tells whether this node hears from the store, and so would learn
   of a new owner. */
enum pursuit_step pursuit_next (const struct pursuit *pursuit,
                                const char *owner, bool hears_store,
                                int64_t now_ms);

/* Begin an attempt at OWNER; return its number.  It replaces an attempt that
   is in progress, which counts as unclear. */
uint32_t pursuit_begin_attempt (struct pursuit *pursuit, const char *owner,
                                int64_t now_ms);

/* Process that attempt NUMBER has ended without an answer for the caller. */
void pursuit_end_attempt (struct pursuit *pursuit, uint32_t number,
                          enum attempt_outcome outcome, int64_t now_ms);

/* Return whether an attempt may have been carried out, or may be now, so that
   the request must not be reported as not done. */
bool pursuit_is_unclear (const struct pursuit *pursuit);

/* Return how many attempts have begun. */
uint32_t pursuit_attempts (const struct pursuit *pursuit);

/* Return the time left for an attempt. */
int64_t pursuit_left_ms (const struct pursuit *pursuit, int64_t now_ms);

#endif
