#include "moves.h"

#include <glib.h>

/* The choice of moves: a VM moves only if that is worth the cost of a move. */

enum
{
  SEARCH,
  ARCHIVE,
  LETTERS,
  POOLS
};

static void
set_up (struct move_load *loads)
{
  static const char *const names[POOLS] = { "search", "archive", "letters" };

  for (int i = 0; i < POOLS; i++)
    loads[i] = (struct move_load){ .pool = names[i],
                                   .slots = 80,
                                   .vm_slots = 8,
                                   .run_ms = 1000,
                                   .may_shrink = true };
  loads[LETTERS].is_spare = true;
}

/* Record LOADS every 200 ms from *NOW_MS on, for FOR_MS or until a move is
   chosen.  Return whether one was, and the move in *MOVE. */
static bool
record_until_move (struct moves *m, const struct move_load *loads,
                   int64_t *now_ms, int64_t for_ms, struct move *move)
{
  for (int64_t end_ms = *now_ms + for_ms; *now_ms < end_ms; *now_ms += 200)
    {
      moves_record_loads (m, loads, POOLS, *now_ms);
      if (moves_choose (m, loads, POOLS, *now_ms, move))
        return true;
    }
  return false;
}

static void
test_long_queue_borrows_from_the_spare_pool (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  g_assert_false (record_until_move (m, loads, &now_ms, 20000, &move));
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 1000; /* 12.5 s of work for its slots */
  g_assert_true (record_until_move (m, loads, &now_ms, 5000, &move));
  g_assert_cmpstr (move.from, ==, "letters");
  g_assert_cmpstr (move.to, ==, "search");
  moves_destroy (m);
}

static void
test_queue_shorter_than_a_move_does_not_borrow (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 700; /* 8.75 s */
  g_assert_false (record_until_move (m, loads, &now_ms, 60000, &move));
  moves_destroy (m);
}

static void
test_short_burst_does_not_borrow (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  record_until_move (m, loads, &now_ms, 10000, &move);
  for (int i = 0; i < 20; i++)
    {
      loads[SEARCH].used = 80;
      loads[SEARCH].waiting = 2000;
      g_assert_false (
          record_until_move (m, loads, &now_ms, MOVES_NEED_MS - 400, &move));
      loads[SEARCH].waiting = 0;
      g_assert_false (record_until_move (m, loads, &now_ms, 1000, &move));
    }
  moves_destroy (m);
}

static void
test_incoming_vms_count (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 900;    /* 11.25 s for 80 slots, 10.2 for 88 */
  loads[SEARCH].vms_incoming = 2; /* and 9.4 for 96 */
  g_assert_false (record_until_move (m, loads, &now_ms, 60000, &move));
  moves_destroy (m);
}

static void
test_idle_pool_lends_if_the_spare_pool_is_busy (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 2000;
  loads[LETTERS].used = 70;
  g_assert_true (record_until_move (m, loads, &now_ms, 20000, &move));
  g_assert_cmpstr (move.from, ==, "archive");
  loads[ARCHIVE].used = 40;
  g_assert_false (record_until_move (m, loads, &now_ms, 20000, &move));
  loads[ARCHIVE].used = 0;
  loads[ARCHIVE].may_shrink = false;
  g_assert_false (record_until_move (m, loads, &now_ms, 20000, &move));
  moves_destroy (m);
}

static void
test_one_vm_at_a_time_leaves_a_pool (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 5000;
  loads[LETTERS].vms_outgoing = 1;
  loads[ARCHIVE].used = 80;
  g_assert_false (record_until_move (m, loads, &now_ms, 20000, &move));
  moves_destroy (m);
}

static void
test_borrowed_vm_returns_after_a_long_idle_time (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].vms_borrowed = 1;
  g_assert_false (record_until_move (m, loads, &now_ms,
                                     MOVES_RETURN_AFTER_MS - 1000, &move));
  g_assert_true (record_until_move (m, loads, &now_ms, 2000, &move));
  g_assert_true (move.returns_home);
  g_assert_cmpstr (move.from, ==, "search");
  moves_destroy (m);
}

/* Guards against VMs that move to and fro when each pool in turn has a burst
   of some seconds and the bursts come again within minutes. */
static void
test_alternating_bursts_cause_no_moves (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;
  int moves = 0;

  set_up (loads);
  for (int round = 0; round < 60; round++)
    {
      struct move_load *burst = &loads[round % POOLS];

      burst->used = 80;
      burst->waiting = 400; /* 5 s of work */
      moves += record_until_move (m, loads, &now_ms, 5000, &move);
      burst->used = 4;
      burst->waiting = 0;
      moves += record_until_move (m, loads, &now_ms, 15000, &move);
    }
  g_assert_cmpint (moves, ==, 0);
  moves_destroy (m);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/moves/borrow",
                   test_long_queue_borrows_from_the_spare_pool);
  g_test_add_func ("/moves/short-queue",
                   test_queue_shorter_than_a_move_does_not_borrow);
  g_test_add_func ("/moves/short-burst", test_short_burst_does_not_borrow);
  g_test_add_func ("/moves/incoming", test_incoming_vms_count);
  g_test_add_func ("/moves/busy-spare-pool",
                   test_idle_pool_lends_if_the_spare_pool_is_busy);
  g_test_add_func ("/moves/one-at-a-time",
                   test_one_vm_at_a_time_leaves_a_pool);
  g_test_add_func ("/moves/return",
                   test_borrowed_vm_returns_after_a_long_idle_time);
  g_test_add_func ("/moves/alternating-bursts",
                   test_alternating_bursts_cause_no_moves);
  return g_test_run ();
}
