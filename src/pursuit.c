#include "pursuit.h"

#include <glib.h>

/* Delay before the second attempt at the same owner; it doubles with each
   further one, up to the maximum. */
#define BACKOFF_MS 60
#define BACKOFF_MAX_MS 480
/* Share of the timeout after which a request is given up while this node does
   not hear from the store: it would not learn of a new owner. */
#define NO_STORE_PERCENT 30

struct pursuit
{
  int64_t deadline_ms;
  int64_t no_store_deadline_ms;
  uint32_t attempts;
  bool is_in_progress; /* attempt number ATTEMPTS has not ended */
  bool is_unclear;
  char *owner;      /* that was tried last, or NULL */
  uint32_t tries;   /* attempts at OWNER in a row */
  int64_t retry_ms; /* earliest time of the next attempt at OWNER */
};

struct pursuit *
pursuit_new (int64_t timeout_ms, int64_t now_ms)
{
  struct pursuit *p = g_new0 (struct pursuit, 1);

  p->deadline_ms = now_ms + timeout_ms;
  p->no_store_deadline_ms = now_ms + timeout_ms * NO_STORE_PERCENT / 100;
  return p;
}

void
pursuit_destroy (struct pursuit *pursuit)
{
  if (pursuit == NULL)
    return;
  g_free (pursuit->owner);
  g_free (pursuit);
}

enum pursuit_step
pursuit_next (const struct pursuit *pursuit, const char *owner,
              bool hears_store, int64_t now_ms)
{
  bool is_new_owner = owner != NULL && g_strcmp0 (owner, pursuit->owner) != 0;

  if (now_ms >= pursuit->deadline_ms)
    return PURSUIT_GIVE_UP;
  if (is_new_owner)
    return PURSUIT_SEND;
  if (pursuit->is_in_progress)
    return PURSUIT_WAIT;
  if (!hears_store && now_ms >= pursuit->no_store_deadline_ms)
    return PURSUIT_GIVE_UP;
  if (owner == NULL || now_ms < pursuit->retry_ms)
    return PURSUIT_WAIT;
  return PURSUIT_SEND;
}

uint32_t
pursuit_begin_attempt (struct pursuit *pursuit, const char *owner,
                       int64_t now_ms)
{
  if (pursuit->is_in_progress)
    pursuit_end_attempt (pursuit, pursuit->attempts, ATTEMPT_UNCLEAR, now_ms);
  if (g_strcmp0 (owner, pursuit->owner) != 0)
    {
      g_free (pursuit->owner);
      pursuit->owner = g_strdup (owner);
      pursuit->tries = 0;
    }
  pursuit->tries++;
  pursuit->is_in_progress = true;
  return ++pursuit->attempts;
}

void
pursuit_end_attempt (struct pursuit *pursuit, uint32_t number,
                     enum attempt_outcome outcome, int64_t now_ms)
{
  uint32_t doublings = MIN (pursuit->tries > 0 ? pursuit->tries - 1 : 0, 3);

  if (outcome == ATTEMPT_UNCLEAR)
    pursuit->is_unclear = true;
  if (number != pursuit->attempts)
    return;
  pursuit->is_in_progress = false;
  pursuit->retry_ms = now_ms + MIN (BACKOFF_MS << doublings, BACKOFF_MAX_MS);
}

bool
pursuit_is_unclear (const struct pursuit *pursuit)
{
  return pursuit->is_unclear || pursuit->is_in_progress;
}

uint32_t
pursuit_attempts (const struct pursuit *pursuit)
{
  return pursuit->attempts;
}

int64_t
pursuit_left_ms (const struct pursuit *pursuit, int64_t now_ms)
{
  return pursuit->deadline_ms - now_ms;
}
