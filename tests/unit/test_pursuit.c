#include "pursuit.h"

#include <glib.h>
#include <string.h>

/* Requests that meet a change of the cell's owner, on virtual time.  The owner
   "a" stops answering at 0; its successor "b" is known from a given time on.
   A request is sent in steps of a tick, and an attempt at an owner that does
   not answer ends after ATTEMPT_MS. */

#define TICK_MS 20
#define ATTEMPT_MS 900
#define CALLER_TIMEOUT_MS 3000

/* What the owners do with a request, and what this node knows of them. */
struct change
{
  int64_t successor_known_ms; /* before, "a" is the known owner */
  int64_t owner_unknown_ms;   /* from then on no owner is known until then */
  bool hears_store;
  bool is_old_owner_silent; /* else it answers that it is not the owner */
};

struct outcome
{
  bool is_accepted;
  bool is_unclear; /* before its last attempt */
  int64_t at_ms;   /* after the request was sent */
  uint32_t attempts;
};

static const char *
known_owner (const struct change *c, int64_t now_ms)
{
  if (now_ms >= c->successor_known_ms)
    return "b";
  return now_ms >= c->owner_unknown_ms ? NULL : "a";
}

static struct outcome
play (const struct change *c, int64_t begin_ms, int64_t timeout_ms)
{
  struct pursuit *p = pursuit_new (timeout_ms, begin_ms);
  struct outcome o = { 0 };
  int64_t attempt_end_ms = 0;
  uint32_t open = 0;

  for (int64_t now_ms = begin_ms;; now_ms += TICK_MS)
    {
      const char *owner = known_owner (c, now_ms);
      enum pursuit_step step;

      if (open != 0 && now_ms >= attempt_end_ms)
        {
          pursuit_end_attempt (p, open,
                               c->is_old_owner_silent ? ATTEMPT_UNCLEAR
                                                      : ATTEMPT_NOT_DONE,
                               now_ms);
          open = 0;
        }
      step = pursuit_next (p, owner, c->hears_store, now_ms);
      o.at_ms = now_ms - begin_ms;
      o.is_unclear = pursuit_is_unclear (p);
      if (step == PURSUIT_SEND)
        {
          open = pursuit_begin_attempt (p, owner, now_ms);
          attempt_end_ms
              = now_ms + (c->is_old_owner_silent ? ATTEMPT_MS : TICK_MS);
          o.is_accepted = strcmp (owner, "b") == 0;
        }
      if (o.is_accepted || step == PURSUIT_GIVE_UP)
        break;
    }
  o.attempts = pursuit_attempts (p);
  pursuit_destroy (p);
  return o;
}

/* Requests sent at any time while the owner is frozen and its successor takes
   over within 2 s are all accepted, without a retry by the caller, within a
   tick of the moment at which the successor is known. */
static void
test_requests_survive_a_frozen_owner (void)
{
  struct change c = { .successor_known_ms = 2000,
                      .owner_unknown_ms = G_MAXINT64,
                      .hears_store = true,
                      .is_old_owner_silent = true };

  for (int64_t begin_ms = 0; begin_ms <= 3000; begin_ms += 50)
    {
      struct outcome o = play (&c, begin_ms, CALLER_TIMEOUT_MS * 8 / 10);

      g_assert_true (o.is_accepted);
      g_assert_cmpint (begin_ms + o.at_ms, <=,
                       MAX (begin_ms, c.successor_known_ms) + TICK_MS);
      g_assert_cmpuint (o.attempts, <=, 4);
    }
}

/* The same while the owner is stopping and nobody owns the cell: nothing is
   sent, and nothing becomes unclear. */
static void
test_requests_survive_a_released_cell (void)
{
  struct change c = { .successor_known_ms = 600,
                      .owner_unknown_ms = 0,
                      .hears_store = true };
  struct outcome o = play (&c, 0, CALLER_TIMEOUT_MS * 8 / 10);

  g_assert_true (o.is_accepted);
  g_assert_false (o.is_unclear);
  g_assert_cmpuint (o.attempts, ==, 1);
}

/* Without the store this node would not learn of a successor: the request is
   given up early, so that the caller can try another node. */
static void
test_a_node_without_the_store_gives_up_early (void)
{
  struct change c = { .successor_known_ms = G_MAXINT64,
                      .owner_unknown_ms = 0,
                      .hears_store = false };
  struct outcome o = play (&c, 0, CALLER_TIMEOUT_MS * 8 / 10);

  g_assert_false (o.is_accepted);
  g_assert_cmpint (o.at_ms, <=, CALLER_TIMEOUT_MS * 3 / 10);
  g_assert_false (o.is_unclear);
}

/* A request that an owner may have carried out is never reported as not done;
   one that was only turned away is. */
static void
test_only_answered_attempts_count_as_not_done (void)
{
  struct change c = { .successor_known_ms = G_MAXINT64,
                      .owner_unknown_ms = G_MAXINT64,
                      .hears_store = true };
  struct outcome o = play (&c, 0, CALLER_TIMEOUT_MS * 8 / 10);

  g_assert_false (o.is_accepted);
  g_assert_false (o.is_unclear);
  g_assert_cmpuint (o.attempts, <=, 12);
  c.is_old_owner_silent = true;
  o = play (&c, 0, CALLER_TIMEOUT_MS * 8 / 10);
  g_assert_true (o.is_unclear);
}

/* When the time is over while the owner has the request, it may still be
   carried out. */
static void
test_an_attempt_in_progress_is_unclear (void)
{
  struct pursuit *p = pursuit_new (200, 0);
  uint32_t first = pursuit_begin_attempt (p, "a", 0);

  g_assert_cmpint (pursuit_next (p, "a", true, 200), ==, PURSUIT_GIVE_UP);
  g_assert_true (pursuit_is_unclear (p));
  pursuit_end_attempt (p, first, ATTEMPT_NOT_DONE, 210);
  g_assert_false (pursuit_is_unclear (p));
  pursuit_destroy (p);
}

/* An attempt that a later one has replaced may still be carried out. */
static void
test_a_replaced_attempt_is_unclear (void)
{
  struct pursuit *p = pursuit_new (2400, 0);
  uint32_t first = pursuit_begin_attempt (p, "a", 0);
  uint32_t second = pursuit_begin_attempt (p, "b", 100);

  g_assert_true (pursuit_is_unclear (p));
  pursuit_end_attempt (p, first, ATTEMPT_NOT_DONE, 150);
  g_assert_cmpint (pursuit_next (p, "b", true, 200), ==, PURSUIT_WAIT);
  pursuit_end_attempt (p, second, ATTEMPT_NOT_DONE, 300);
  g_assert_cmpint (pursuit_next (p, "b", true, 1000), ==, PURSUIT_SEND);
  pursuit_destroy (p);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pursuit/frozen-owner",
                   test_requests_survive_a_frozen_owner);
  g_test_add_func ("/pursuit/released-cell",
                   test_requests_survive_a_released_cell);
  g_test_add_func ("/pursuit/without-the-store",
                   test_a_node_without_the_store_gives_up_early);
  g_test_add_func ("/pursuit/not-done",
                   test_only_answered_attempts_count_as_not_done);
  g_test_add_func ("/pursuit/attempt-in-progress",
                   test_an_attempt_in_progress_is_unclear);
  g_test_add_func ("/pursuit/replaced-attempt",
                   test_a_replaced_attempt_is_unclear);
  return g_test_run ();
}
