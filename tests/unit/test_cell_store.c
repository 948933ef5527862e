#include "cell_world.h"

/* A cell while the store loses answers, on virtual time: jobs are accepted in
   time, and refusals are true. */

#define SEEDS 20
#define JOBS 100
#define SUBMIT_INTERVAL_MS 50
/* Latency objective of a submission on the users' sheets. */
#define OBJECTIVE_MS 600
/* Time within which a node pursues a caller's request. */
#define PURSUIT_MS 2400

static gint
compare_ms (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

static guint
count_up_to (const GArray *sorted_ms, int64_t limit_ms)
{
  guint n = 0;

  while (n < sorted_ms->len
         && g_array_index (sorted_ms, int64_t, n) <= limit_ms)
    n++;
  return n;
}

static uint64_t
submit_job (struct world *w, int number)
{
  char *id = g_strdup_printf ("%016x", number);
  uint64_t token = world_submit (w, world_job (w, id, 1, 2));

  g_free (id);
  return token;
}

/* Submit JOBS jobs at intervals; a job whose outcome is unclear is submitted
   again, as a node does that pursues its request.  Set ANSWERS (JOBS elements)
   to the answers and return how long they took, sorted; the caller unrefs the
   array. */
static GArray *
submit_steadily (struct world *w, int *answers)
{
  GArray *waits_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  uint64_t tokens[JOBS];
  int64_t sent_ms[JOBS];

  for (int i = 0; i < JOBS; i++)
    answers[i] = -1;
  for (int64_t step_ms = 0;
       step_ms < JOBS * SUBMIT_INTERVAL_MS + 2 * PURSUIT_MS; step_ms += 10)
    {
      int k = (int)(step_ms / SUBMIT_INTERVAL_MS);

      if (k < JOBS && step_ms % SUBMIT_INTERVAL_MS == 0)
        {
          sent_ms[k] = w->now_ms;
          tokens[k] = submit_job (w, k);
        }
      world_run (w, 10);
      for (int i = 0; i < MIN (k + 1, JOBS); i++)
        {
          int64_t wait_ms = w->now_ms - sent_ms[i];

          if (answers[i] >= 0 || world_answer (w, tokens[i]) < 0)
            continue;
          if (world_answer (w, tokens[i]) == CELL_UNCLEAR
              && wait_ms < PURSUIT_MS)
            {
              tokens[i] = submit_job (w, i);
              continue;
            }
          answers[i] = world_answer (w, tokens[i]);
          g_array_append_val (waits_ms, wait_ms);
        }
    }
  g_array_sort (waits_ms, compare_ms);
  return waits_ms;
}

/* One answer in three of the store never arrives: 95 of 100 jobs are still
   accepted within their objective, and no caller is left without a clear
   answer within the time that its request is pursued. */
static void
test_lost_answers_hold_no_caller_up (void)
{
  guint accepted = 0;
  guint in_time = 0;

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *w = world_new (seed);
      int answers[JOBS];
      GArray *waits_ms;

      w->run_ms = 100;
      world_run (w, 2000);
      w->faults.append_mute = 35;
      waits_ms = submit_steadily (w, answers);
      g_assert_cmpuint (waits_ms->len, ==, JOBS);
      for (int i = 0; i < JOBS; i++)
        {
          g_assert_cmpint (answers[i], !=, CELL_UNCLEAR);
          accepted += answers[i] == CELL_STORED;
        }
      in_time += count_up_to (waits_ms, OBJECTIVE_MS);
      g_assert_cmpint (g_array_index (waits_ms, int64_t, JOBS - 1), <=,
                       PURSUIT_MS);
      world_assert_no_violations (w);
      g_array_unref (waits_ms);
      world_destroy (w);
    }
  g_test_message ("accepted %u, in time %u of %u", accepted, in_time,
                  SEEDS * JOBS);
  g_assert_cmpuint (accepted * 100, >=, SEEDS * JOBS * 95);
  g_assert_cmpuint (in_time * 100, >=, SEEDS * JOBS * 95);
}

/* Appends that the store carries out seconds after their calls have timed out
   put back nothing that a later append has changed, and a job that was refused
   never runs. */
static void
test_late_appends_change_nothing (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *w = world_new (seed);
      int answers[JOBS];
      GArray *waits_ms;

      w->run_ms = 100;
      world_run (w, 2000);
      w->faults.append_late = 30;
      w->faults.append_refused = 30;
      waits_ms = submit_steadily (w, answers);
      w->faults = (struct world_faults){ 0 };
      world_run (w, 10000);
      for (int i = 0; i < JOBS; i++)
        {
          char *id = g_strdup_printf ("%016x", i);

          if (answers[i] == CELL_STORED)
            g_assert_cmpint (world_state (w, id), ==, JOB_COMPLETED);
          if (answers[i] == CELL_REFUSED)
            g_assert_cmpint (world_state (w, id), ==, JOB_STATE_COUNT);
          g_free (id);
        }
      world_take_over (w, false, 0);
      world_run (w, 10000);
      for (int i = 0; i < JOBS; i++)
        {
          char *id = g_strdup_printf ("%016x", i);

          if (answers[i] == CELL_REFUSED)
            g_assert_cmpint (world_state (w, id), ==, JOB_STATE_COUNT);
          g_free (id);
        }
      world_assert_no_violations (w);
      g_array_unref (waits_ms);
      world_destroy (w);
    }
}

/* A job that is cancelled while the store is silent about its append may be
   stored: its submission is not refused, and it stays cancelled. */
static void
test_a_job_in_an_append_is_not_refused (void)
{
  struct world *w = world_new (5);
  uint64_t token;

  world_run (w, 2000);
  w->faults.append_mute = 100;
  token = world_submit (w, world_job (w, WORLD_JOB, 1, 2));
  world_run (w, 100);
  cell_cancel (w->cell, WORLD_JOB, 900001, w->now_ms);
  world_run (w, 2000);
  g_assert_cmpint (world_answer (w, token), !=, CELL_REFUSED);
  w->faults.append_mute = 0;
  world_run (w, 3000);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_CANCELLED);
  world_take_over (w, false, 0);
  world_run (w, 3000);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_CANCELLED);
  g_assert_cmpuint (w->starts, ==, 0);
  world_assert_no_violations (w);
  world_destroy (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cell-store/lost-answers",
                   test_lost_answers_hold_no_caller_up);
  g_test_add_func ("/cell-store/in-append",
                   test_a_job_in_an_append_is_not_refused);
  g_test_add_func ("/cell-store/late-appends",
                   test_late_appends_change_nothing);
  return g_test_run ();
}
