#include "ledger_world.h"

#include <stdlib.h>
#include <string.h>

/* The ledger of accounts' caps: plain cases with one account and one resource,
   and seeded worlds with faults. */

#define SEEDS 500
/* A time at which the previous ledger has stopped. */
#define READY_MS (LEDGER_PREDECESSOR_MS + 1)

static const char *const names[] = { "s0", "s1", "s2", "s3" };

/* Configure the first CELLS services and the account "a" with a cap of CPU. */
static void
configure (struct ledger *l, int64_t version, int cells, uint64_t cap,
           int64_t now_ms)
{
  struct accounts *accounts = accounts_new ();
  GPtrArray *services = g_ptr_array_new (), *none = g_ptr_array_new ();

  accounts_add (accounts, "a")->cap.cpu_milli = cap;
  for (int i = 0; i < cells; i++)
    g_ptr_array_add (services, (gpointer)names[i]);
  ledger_configure (l, version, services, none, accounts, now_ms);
  g_ptr_array_unref (services);
  g_ptr_array_unref (none);
  accounts_destroy (accounts);
}

static struct ledger *
new_ledger (int cells, uint64_t cap)
{
  struct ledger *l = ledger_new (1, 0);

  configure (l, 1, cells, cap, 0);
  return l;
}

/* A cell's answer, of its epoch 1 and the version 1 unless stated. */
struct answer
{
  uint64_t epoch;
  int64_t version;
  uint64_t number;
  uint64_t held;
  uint64_t used;
  uint64_t wanted;
};

static bool
answer (struct ledger *l, int cell, struct answer a, int64_t now_ms)
{
  struct account_report *report = account_report_new ();
  struct account_row *row = account_report_add (report, "a");
  bool is_new;

  report->cell_epoch = a.epoch != 0 ? a.epoch : 1;
  report->config_version = a.version != 0 ? a.version : 1;
  report->number = a.number;
  row->held.cpu_milli = a.held;
  row->used.cpu_milli = a.used;
  row->wanted.cpu_milli = a.wanted;
  is_new = ledger_add_report (l, names[cell], report, now_ms, now_ms);
  account_report_destroy (report);
  return is_new;
}

/* Make the call to CELL that must be due.  Return what it allots, or -1 if it
   keeps the allotment. */
static int64_t
call (struct ledger *l, int cell, int64_t now_ms)
{
  struct allotment_call *c = ledger_next_call (l, names[cell], now_ms);
  int64_t limit = -1;

  g_assert_nonnull (c);
  if (c->allotments->len > 0)
    {
      const struct allotment *a = g_ptr_array_index (c->allotments, 0);

      limit = (int64_t)MIN (a->limit.cpu_milli, G_MAXINT64);
    }
  allotment_call_destroy (c);
  return limit;
}

/* Guards against a cell that is alone and stays below the cap, and against a
   raise before the answer to the lowering that makes room for it. */
static void
test_alone_gets_whole_cap (void)
{
  struct ledger *l = new_ledger (2, 100);

  answer (l, 0, (struct answer){ .number = 1, .held = 50 }, READY_MS);
  answer (l, 1, (struct answer){ .number = 1, .held = 50 }, READY_MS);
  answer (l, 0,
          (struct answer){ .number = 2, .held = 50, .used = 50, .wanted = 70 },
          READY_MS + 50);
  g_assert_cmpint (call (l, 1, READY_MS + 200), ==, 0);
  g_assert_cmpint (call (l, 0, READY_MS + 200), ==, 50);
  answer (l, 1, (struct answer){ .number = 2 }, READY_MS + 210);
  answer (l, 0,
          (struct answer){ .number = 3, .held = 50, .used = 50, .wanted = 70 },
          READY_MS + 210);
  /* Sooner than the regular call, as room was freed. */
  g_assert_cmpint (call (l, 0, READY_MS + 250), ==, 100);
  ledger_destroy (l);
}

/* Guards against a division that is not in proportion to the wants, and
   against headroom that is not spread evenly. */
static void
test_division (void)
{
  struct ledger *l = new_ledger (2, 100);

  answer (l, 0, (struct answer){ .number = 1, .used = 20, .wanted = 120 },
          READY_MS);
  answer (l, 1, (struct answer){ .number = 1, .wanted = 40 }, READY_MS);
  g_assert_cmpint (call (l, 0, READY_MS), ==, 80);
  g_assert_cmpint (call (l, 1, READY_MS), ==, 20);
  answer (l, 0, (struct answer){ .number = 2, .held = 80, .used = 20 },
          READY_MS + 200);
  answer (l, 1, (struct answer){ .number = 2, .held = 20, .wanted = 40 },
          READY_MS + 200);
  g_assert_cmpint (call (l, 0, READY_MS + 200), ==, 40);
  answer (l, 0, (struct answer){ .number = 3, .held = 40, .used = 20 },
          READY_MS + 210);
  g_assert_cmpint (call (l, 1, READY_MS + 250), ==, 60);
  ledger_destroy (l);
}

/* Guards against a call that got no answer, but may still be applied, being
   counted as undone. */
static void
test_unanswered_call_counts (void)
{
  struct ledger *l = new_ledger (2, 100);

  answer (l, 0, (struct answer){ .number = 1, .wanted = 100 }, READY_MS);
  answer (l, 1, (struct answer){ .number = 1 }, READY_MS);
  g_assert_cmpint (call (l, 0, READY_MS), ==, 100);
  ledger_call_unanswered (l, names[0]);
  answer (l, 1, (struct answer){ .number = 2, .wanted = 100 }, READY_MS + 500);
  g_assert_cmpint (call (l, 1, READY_MS + 500), <=, 0);
  /* A report that was made before that call says nothing of it. */
  g_assert_false (
      answer (l, 0, (struct answer){ .number = 1 }, READY_MS + 500));
  answer (l, 0, (struct answer){ .number = 2 }, READY_MS + 600);
  answer (l, 1, (struct answer){ .number = 3, .wanted = 100 }, READY_MS + 600);
  g_assert_cmpint (call (l, 1, READY_MS + 700), ==, 100);
  ledger_destroy (l);
}

/* Guards against raises while the previous ledger may act, or before every
   cell has reported since. */
static void
test_new_ledger_waits (void)
{
  struct ledger *l = new_ledger (2, 100);

  answer (l, 0, (struct answer){ .number = 1, .wanted = 9 }, READY_MS - 1);
  answer (l, 1, (struct answer){ .number = 1, .wanted = 9 }, READY_MS);
  g_assert_cmpstr (ledger_awaited_cell (l, READY_MS), ==, names[0]);
  g_assert_cmpint (call (l, 1, READY_MS), ==, -1);
  answer (l, 0, (struct answer){ .number = 2, .wanted = 9 }, READY_MS + 1);
  g_assert_null (ledger_awaited_cell (l, READY_MS + 1));
  g_assert_cmpint (call (l, 0, READY_MS + 1), >, 9);
  ledger_destroy (l);
}

/* Guards against counting what a cell's former owner held next to the use that
   its successor reports, and against late reports of the former owner. */
static void
test_new_cell_owner (void)
{
  struct ledger *l = new_ledger (2, 100);

  answer (l, 0, (struct answer){ .number = 7, .held = 80, .used = 80 },
          READY_MS);
  answer (l, 1, (struct answer){ .number = 1, .wanted = 100 }, READY_MS);
  g_assert_cmpint (call (l, 1, READY_MS), ==, 20);
  answer (l, 0,
          (struct answer){ .epoch = 2, .number = 1, .held = 30, .used = 30 },
          READY_MS + 200);
  g_assert_false (answer (l, 0, (struct answer){ .number = 8, .held = 80 },
                          READY_MS + 200));
  answer (l, 1, (struct answer){ .number = 2, .held = 20, .wanted = 100 },
          READY_MS + 200);
  g_assert_cmpint (call (l, 1, READY_MS + 200), ==, 70);
  ledger_destroy (l);
}

/* Guards against parts of a small cap that are all smaller than a task: cells
   that want 60 each of a cap of 100 would get 25 each and never start. */
static void
test_small_cap_goes_in_turn (void)
{
  struct ledger *l = new_ledger (4, 100);
  uint64_t allotted[4] = { 0 };
  bool has_started = false;

  for (int round = 0; round < 10 && !has_started; round++)
    for (int k = 0; k < 4; k++)
      {
        int64_t now_ms = READY_MS + round * 200;
        int64_t limit = call (l, k, now_ms);

        if (limit >= 0)
          allotted[k] = (uint64_t)limit;
        has_started = has_started || allotted[k] >= 60;
        answer (l, k,
                (struct answer){ .number = (uint64_t)round + 1,
                                 .held = allotted[k],
                                 .wanted = 60 },
                now_ms);
      }
  g_assert_true (has_started);
  ledger_destroy (l);
}

/* Guards against a division by caps that a cell does not have in force: a cell
   that still uses the higher cap must be lowered first. */
static void
test_cap_changes (void)
{
  struct ledger *l = new_ledger (2, 100);

  answer (l, 0, (struct answer){ .number = 1, .held = 50, .wanted = 90 },
          READY_MS);
  answer (l, 1, (struct answer){ .number = 1, .held = 50, .used = 50 },
          READY_MS);
  configure (l, 2, 2, 60, READY_MS);
  answer (l, 0, (struct answer){ .version = 2, .number = 2, .wanted = 90 },
          READY_MS + 200);
  g_assert_cmpint (call (l, 0, READY_MS + 200), ==, -1);
  answer (l, 0, (struct answer){ .version = 2, .number = 3, .wanted = 90 },
          READY_MS + 210);
  answer (l, 1,
          (struct answer){ .version = 2, .number = 2, .held = 50, .used = 50 },
          READY_MS + 210);
  g_assert_cmpint (call (l, 0, READY_MS + 400), ==, 10);
  configure (l, 3, 2, 200, READY_MS + 400);
  answer (
      l, 0,
      (struct answer){ .version = 3, .number = 4, .held = 10, .wanted = 90 },
      READY_MS + 410);
  answer (l, 1,
          (struct answer){ .version = 3, .number = 3, .held = 50, .used = 50 },
          READY_MS + 410);
  /* Its want and half of what nobody wants. */
  g_assert_cmpint (call (l, 0, READY_MS + 600), ==, 90 + 30);
  ledger_destroy (l);
}

/* Guards against forgetting a cell that still runs something, against raises
   before a new cell has been asked, and against waiting for one that left
   before it could answer. */
static void
test_services_come_and_go (void)
{
  struct ledger *l = new_ledger (2, 100);

  answer (l, 0, (struct answer){ .number = 1, .wanted = 200 }, READY_MS);
  answer (l, 1, (struct answer){ .number = 1, .held = 40, .used = 40 },
          READY_MS);
  configure (l, 2, 1, 100, READY_MS);
  answer (l, 0, (struct answer){ .version = 2, .number = 2, .wanted = 200 },
          READY_MS + 100);
  answer (l, 1,
          (struct answer){ .version = 2, .number = 2, .held = 40, .used = 40 },
          READY_MS + 100);
  g_assert_cmpuint (ledger_count_cells (l), ==, 2);
  g_assert_cmpint (call (l, 0, READY_MS + 200), ==, 60);
  answer (l, 1, (struct answer){ .version = 2, .number = 3 }, READY_MS + 300);
  g_assert_cmpuint (ledger_count_cells (l), ==, 1);
  configure (l, 3, 3, 100, READY_MS + 300);
  answer (l, 0, (struct answer){ .version = 3, .number = 3, .wanted = 200 },
          READY_MS + 400);
  g_assert_cmpint (call (l, 0, READY_MS + 600), ==, -1);
  g_assert_cmpstr (ledger_awaited_cell (l, READY_MS + 600), ==, names[1]);
  configure (l, 4, 1, 100, READY_MS + 600);
  g_assert_cmpuint (ledger_count_cells (l), ==, 1);
  ledger_destroy (l);
}

/* Guards against sums that overflow where there is no limit, or where a cell
   reports nonsense. */
static void
test_no_limit (void)
{
  struct ledger *l = new_ledger (2, 0);

  answer (l, 0, (struct answer){ .number = 1, .used = 5, .wanted = 900 },
          READY_MS);
  answer (l, 1, (struct answer){ .number = 1, .used = 5, .wanted = 900 },
          READY_MS);
  g_assert_cmpint (call (l, 0, READY_MS), >, G_MAXINT64 / 2);
  answer (l, 1,
          (struct answer){
              .number = 2, .held = G_MAXUINT64, .wanted = G_MAXUINT64 },
          READY_MS);
  answer (l, 0, (struct answer){ .number = 2, .used = 5, .wanted = 900 },
          READY_MS);
  g_assert_cmpint (call (l, 0, READY_MS + 200), ==, 0);
  ledger_destroy (l);
}

/* Guards against messages that lose a field, and against malformed ones that
   are taken. */
static void
test_messages (void)
{
  struct allotment_call *sent = allotment_call_new (), *read;
  GBytes *bytes, *part;

  sent->ledger_epoch = 5;
  sent->cell_epoch = 6;
  sent->report = 7;
  sent->config_version = 8;
  allotment_call_add (sent, "a", (struct account_amount){ 1, 2, 3 });
  bytes = allotment_call_to_bytes (sent);
  read = allotment_call_from_bytes (bytes);
  g_assert_cmpuint (read->ledger_epoch, ==, 5);
  g_assert_cmpuint (read->cell_epoch, ==, 6);
  g_assert_cmpuint (read->report, ==, 7);
  g_assert_cmpint (read->config_version, ==, 8);
  g_assert_cmpuint (read->allotments->len, ==, 1);
  part = g_bytes_new_from_bytes (bytes, 0, g_bytes_get_size (bytes) - 1);
  g_assert_null (allotment_call_from_bytes (part));
  g_assert_null (account_report_from_bytes (part));
  g_bytes_unref (part);
  g_bytes_unref (bytes);
  allotment_call_destroy (read);
  allotment_call_destroy (sent);
}

/* Guards against starts beyond the cap while ledgers and cell owners pause,
   die and are replaced and messages are lost, late and duplicated, and against
   caps that are no longer reached afterwards. */
static void
test_seeds (void)
{
  uint32_t starts = 0;

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    starts += ledger_world_run (seed);
  g_test_message ("%u starts", starts);
  g_assert_cmpuint (starts, >, SEEDS);
}

int
main (int argc, char **argv)
{
  if (argc == 4 && strcmp (argv[1], "--seeds") == 0)
    {
      uint32_t last = (uint32_t)strtoul (argv[3], NULL, 10);

      for (uint32_t s = (uint32_t)strtoul (argv[2], NULL, 10); s <= last; s++)
        ledger_world_run (s);
      return 0;
    }
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger/alone-gets-whole-cap", test_alone_gets_whole_cap);
  g_test_add_func ("/ledger/division", test_division);
  g_test_add_func ("/ledger/unanswered-call-counts",
                   test_unanswered_call_counts);
  g_test_add_func ("/ledger/new-ledger-waits", test_new_ledger_waits);
  g_test_add_func ("/ledger/new-cell-owner", test_new_cell_owner);
  g_test_add_func ("/ledger/small-cap-goes-in-turn",
                   test_small_cap_goes_in_turn);
  g_test_add_func ("/ledger/cap-changes", test_cap_changes);
  g_test_add_func ("/ledger/services-come-and-go", test_services_come_and_go);
  g_test_add_func ("/ledger/no-limit", test_no_limit);
  g_test_add_func ("/ledger/messages", test_messages);
  g_test_add_func ("/ledger/seeds", test_seeds);
  return g_test_run ();
}
