#include "moves.h"

#include <glib.h>

/* A move is made where it pays, and only there. */

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
  loads[LETTERS].spare = true;
}

/* Note LOADS every 200 ms from *NOW_MS on for FOR_MS; return whether a move
   was chosen, and the first in *MOVE. */
static bool
watch (struct moves *m, const struct move_load *loads, int64_t *now_ms,
       int64_t for_ms, struct move *move)
{
  for (int64_t end_ms = *now_ms + for_ms; *now_ms < end_ms; *now_ms += 200)
    {
      moves_note (m, loads, POOLS, *now_ms);
      if (moves_choose (m, loads, POOLS, *now_ms, move))
        return true;
    }
  return false;
}

static void
test_a_lasting_queue_borrows_from_the_spare_pool (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  g_assert_false (watch (m, loads, &now_ms, 20000, &move));
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 1000; /* 12.5 s of work for its slots */
  g_assert_true (watch (m, loads, &now_ms, 5000, &move));
  g_assert_cmpstr (move.from, ==, "letters");
  g_assert_cmpstr (move.to, ==, "search");
  moves_destroy (m);
}

static void
test_a_queue_shorter_than_a_move_does_not_borrow (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 700; /* 8.75 s */
  g_assert_false (watch (m, loads, &now_ms, 60000, &move));
  moves_destroy (m);
}

static void
test_a_spike_does_not_borrow (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  watch (m, loads, &now_ms, 10000, &move);
  for (int i = 0; i < 20; i++)
    {
      loads[SEARCH].used = 80;
      loads[SEARCH].waiting = 2000;
      g_assert_false (watch (m, loads, &now_ms, MOVES_NEED_MS - 400, &move));
      loads[SEARCH].waiting = 0;
      g_assert_false (watch (m, loads, &now_ms, 1000, &move));
    }
  moves_destroy (m);
}

static void
test_what_is_coming_counts (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 900; /* 11.25 s for 80 slots, 10.2 for 88 */
  loads[SEARCH].coming = 2;    /* and 9.4 for 96 */
  g_assert_false (watch (m, loads, &now_ms, 60000, &move));
  moves_destroy (m);
}

static void
test_a_busy_spare_pool_lends_nothing_and_a_neighbour_does (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].used = 80;
  loads[SEARCH].waiting = 2000;
  loads[LETTERS].used = 70;
  g_assert_true (watch (m, loads, &now_ms, 20000, &move));
  g_assert_cmpstr (move.from, ==, "archive");
  loads[ARCHIVE].used = 40;
  g_assert_false (watch (m, loads, &now_ms, 20000, &move));
  loads[ARCHIVE].used = 0;
  loads[ARCHIVE].may_shrink = false;
  g_assert_false (watch (m, loads, &now_ms, 20000, &move));
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
  loads[LETTERS].going = 1;
  loads[ARCHIVE].used = 80;
  g_assert_false (watch (m, loads, &now_ms, 20000, &move));
  moves_destroy (m);
}

static void
test_a_lent_vm_is_given_back_late (void)
{
  struct moves *m = moves_new ();
  struct move_load loads[POOLS];
  struct move move;
  int64_t now_ms = 1000;

  set_up (loads);
  loads[SEARCH].lent = 1;
  g_assert_false (watch (m, loads, &now_ms, MOVES_GIVE_BACK_MS - 1000, &move));
  g_assert_true (watch (m, loads, &now_ms, 2000, &move));
  g_assert_true (move.gives_back);
  g_assert_cmpstr (move.from, ==, "search");
  moves_destroy (m);
}

/* Each queue in its turn rises for some seconds: with give-back late, bursts
   that come again within minutes cost no moves to and fro. */
static void
test_bursts_in_turn_cost_no_moves (void)
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
      moves += watch (m, loads, &now_ms, 5000, &move);
      burst->used = 4;
      burst->waiting = 0;
      moves += watch (m, loads, &now_ms, 15000, &move);
    }
  g_assert_cmpint (moves, ==, 0);
  moves_destroy (m);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/moves/borrow",
                   test_a_lasting_queue_borrows_from_the_spare_pool);
  g_test_add_func ("/moves/short-queue",
                   test_a_queue_shorter_than_a_move_does_not_borrow);
  g_test_add_func ("/moves/spike", test_a_spike_does_not_borrow);
  g_test_add_func ("/moves/coming", test_what_is_coming_counts);
  g_test_add_func ("/moves/neighbour",
                   test_a_busy_spare_pool_lends_nothing_and_a_neighbour_does);
  g_test_add_func ("/moves/one-at-a-time",
                   test_one_vm_at_a_time_leaves_a_pool);
  g_test_add_func ("/moves/give-back", test_a_lent_vm_is_given_back_late);
  g_test_add_func ("/moves/bursts-in-turn", test_bursts_in_turn_cost_no_moves);
  return g_test_run ();
}
