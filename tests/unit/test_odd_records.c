#include "cell_state.h"
#include "cell_world.h"
#include "json_read.h"
#include "wire.h"

#include <string.h>

/* Entries and answers that another writer has left: each is read within its
   bounds or refused, and none hides the others. */

#define READ(f, text) f (text, strlen (text))

static int64_t
int_in (const char *text)
{
  json_t *o = READ (json_read_object, text);
  int64_t value;

  g_assert_nonnull (o);
  value = json_read_int (o, "a", -7);
  json_decref (o);
  return value;
}

/* Regression test: numbers of more than 64 bits were read as -1 or wrapped. */
static void
test_large_numbers (void)
{
  g_assert_cmpint (int_in ("{\"a\":9223372036854775807}"), ==, G_MAXINT64);
  g_assert_cmpint (int_in ("{\"a\":9223372036854775808}"), ==, G_MAXINT64);
  g_assert_cmpint (int_in ("{\"a\":18446744073709551615}"), ==, G_MAXINT64);
  g_assert_cmpint (int_in ("{\"a\":99999999999999999999}"), ==, G_MAXINT64);
  g_assert_cmpint (int_in ("{\"a\":-99999999999999999999}"), ==, -G_MAXINT64);
  g_assert_cmpint (int_in ("{\"a\":1e400}"), ==, G_MAXINT64);
  g_assert_cmpint (int_in ("{\"a\":-1e400}"), ==, G_MININT64);
  g_assert_cmpint (int_in ("{\"a\":9.3e18}"), ==, G_MAXINT64);
  g_assert_cmpint (int_in ("{\"a\":7.9}"), ==, 7);
  g_assert_cmpint (int_in ("{\"b\":\"99999999999999999999\",\"a\":3}"), ==, 3);
  g_assert_null (READ (json_read_object, "{\"a\":0xfffffffffffffffffff}"));
  g_assert_null (READ (json_read_object, "{\"a\":NaN}"));
}

/* Escapes that are none. */
static void
test_malformed_escapes (void)
{
  static const char *const texts[] = {
    "{\"a\":\"\\377\"}",   "{\"a\":\"\\ud83\"}",        "{\"a\":\"\\u\"}",
    "{\"a\":\"\\uzzzz\"}", "{\"a\":\"\\ud83d\\ude0\"}", "{\"a\":\"\\x\"}",
    "{\"a\":\"\\"
  };

  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    g_assert_null (READ (json_read_object, texts[i]));
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    g_assert_null (READ (json_read_list, texts[i]));
}

/* Regression test: a payload with such an escape was cut off or replaced, so
   that workers were given another payload than the caller had sent. */
static void
test_strings_that_are_no_text (void)
{
  static const char *const texts[]
      = { "{\"a\":\"x\\u0000y\"}",      "{\"a\":\"\\ud800x\"}",
          "{\"a\":\"\\udc00\"}",        "{\"a\":\"\\ud800\\ud800\"}",
          "{\"a\":\"\\ud800\\u0041\"}", "{\"a\":\"\xff\"}",
          "{\"a\":\"x\\\\\\u0000y\"}",  "{\"a\":\"\\\"\\u0000\"}",
          "{\"a\":\"\xed\xa0\x80\"}" };

  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      json_t *o = READ (json_read_list, texts[i]);

      g_assert_null (READ (json_read_object, texts[i]));
      g_assert_nonnull (o);
      g_assert_true (
          g_utf8_validate (json_read_string (o, "a", ""), -1, NULL));
      g_assert_nonnull (
          strstr (json_read_string (o, "a", ""), "\xef\xbf\xbd"));
      json_decref (o);
    }
}

static void
test_strings_that_are_text (void)
{
  static const char text[] = "{\"a\":\"\\ud83d\\ude00 \\\\u0000 \\\\\","
                             "\"b\":\"\\u00e9\"}";
  json_t *o = READ (json_read_object, text);

  g_assert_nonnull (o);
  g_assert_cmpstr (json_read_string (o, "a", ""), ==,
                   "\xf0\x9f\x98\x80 \\u0000 \\");
  json_decref (o);
  o = READ (json_read_list, text);
  g_assert_cmpstr (json_read_string (o, "a", ""), ==,
                   "\xf0\x9f\x98\x80 \\u0000 \\");
  json_decref (o);
}

/* Values that stand for every number of a message, one after the other. */
static const char *const odd_numbers[] = { "1e400",
                                           "-1e400",
                                           "99999999999999999999",
                                           "-99999999999999999999",
                                           "1e19",
                                           "-1e19",
                                           "4294967296",
                                           "-1",
                                           "1e-400",
                                           "null",
                                           "\"7\"",
                                           "[]",
                                           "{}",
                                           "true",
                                           "9223372036854775807",
                                           "-9223372036854775808" };

/* Return a text in which NUMBER stands for each '#' of FORMAT. */
static char *
with_number (const char *format, const char *number)
{
  char **parts = g_strsplit (format, "#", -1);
  char *text = g_strjoinv (number, parts);

  g_strfreev (parts);
  return text;
}

/* Regression test: sums with such a number overflowed. */
static void
test_numbers_of_jobs (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (odd_numbers); i++)
    {
      char *text = with_number (
          "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"estimate_ms\":#,"
          "\"target_ms\":#,\"cpu\":#}],\"repeat_count\":2,"
          "\"start_at_ms\":#,\"interval_ms\":#}",
          odd_numbers[i]);
      struct job_spec *spec = job_spec_new ("00000000000000a1");
      int64_t path_ms;

      g_assert_true (wire_read_job (text, strlen (text), spec, NULL));
      path_ms = job_spec_critical_path_ms (spec);
      g_assert_cmpint (path_ms, >=, 0);
      g_assert_cmpint (path_ms, <=, JOB_MAX_DURATION_MS);
      g_assert_cmpint (spec->interval_ms, >=, 0);
      g_assert_cmpint (spec->interval_ms, <=, JOB_MAX_DURATION_MS);
      g_assert_cmpint (spec->first_occurrence_ms, >=, 0);
      g_assert_cmpint (spec->first_occurrence_ms, <=, JOB_MAX_TIME_MS);
      job_spec_destroy (spec);
      g_free (text);
    }
}

static void
test_numbers_of_routes (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (odd_numbers); i++)
    {
      char *text = with_number (
          "{\"version\":3,\"routes\":[{\"name\":\"q\",\"timeout_ms\":#,"
          "\"target_duration_ms\":#,\"stretch\":#,\"max_attempts\":#,"
          "\"priority\":#,\"advice\":{\"valid_ms\":#}}],\"limits\":{"
          "\"max_body_bytes\":#,\"idle_timeout_ms\":#}}",
          odd_numbers[i]);
      struct routes *r = READ (wire_read_routes, text);
      const struct queue_route *q = g_ptr_array_index (r->queues, 0);

      g_assert_cmpfloat (q->deadline_factor, >=, 0);
      g_assert_cmpfloat (q->deadline_factor, <=, JOB_MAX_DEADLINE_FACTOR);
      g_assert_cmpint (q->target_ms, >=, 0);
      g_assert_cmpint (q->target_ms, <=, JOB_MAX_DURATION_MS);
      g_assert_cmpint (q->advice_valid_ms, <=, JOB_MAX_DURATION_MS);
      g_assert_cmpuint (q->max_attempts, >=, 1);
      g_assert_cmpuint (r->max_body_bytes, <=, G_MAXINT64);
      g_assert_cmpint (r->idle_timeout_ms, <=, JOB_MAX_DURATION_MS);
      routes_destroy (r);
      g_free (text);
    }
}

static void
test_numbers_of_reports (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (odd_numbers); i++)
    {
      char *text = with_number (
          "{\"clock_ms\":5,\"born\":#,\"running\":[[\"t\",#,\"\",#,#]],"
          "\"ended\":[[1,\"t\",#,\"done\",\"\"]]}",
          odd_numbers[i]);
      char *end = with_number ("{\"clock_ms\":5,\"running\":[],"
                               "\"ended\":[[#,\"t\",1,\"done\",\"\"]]}",
                               odd_numbers[i]);
      char *clock = with_number (
          "{\"clock_ms\":#,\"running\":[],\"ended\":[]}", odd_numbers[i]);
      struct worker_report *r = READ (wire_read_report, text);
      const struct worker_run *run;

      g_assert_nonnull (r);
      run = &g_array_index (r->runs, struct worker_run, 0);
      g_assert_cmpuint (run->run, <=, G_MAXINT64);
      g_assert_cmpuint (run->percent, <=, 100);
      g_assert_cmpint (run->reported_value, >=, 0);
      g_assert_cmpint (run->reported_value, <=, G_MAXINT32);
      g_assert_cmpint (r->incarnation_start_ms, >=, 0);
      g_assert_cmpint (r->incarnation_start_ms, <=, JOB_MAX_TIME_MS);
      worker_report_destroy (r);
      r = READ (wire_read_report, end);
      if (r != NULL)
        g_assert_cmpuint (g_array_index (r->ends, struct worker_end, 0).number
                              - 1,
                          <, G_MAXINT64);
      worker_report_destroy (r);
      r = READ (wire_read_report, clock);
      if (r != NULL)
        g_assert_cmpint (r->clock_ms, <=, JOB_MAX_TIME_MS);
      worker_report_destroy (r);
      g_free (clock);
      g_free (end);
      g_free (text);
    }
}

static void
test_numbers_of_waves (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (odd_numbers); i++)
    {
      char *text = with_number (
          "{\"wave\":1,\"machines\":[],\"finish_by_s\":#,\"cap\":#}",
          odd_numbers[i]);
      struct wave_request *w = READ (wire_read_wave, text);

      g_assert_cmpint (w->finish_within_ms, >=, 0);
      g_assert_cmpint (w->finish_within_ms, <=, JOB_MAX_DURATION_MS);
      g_assert_cmpuint (w->max_down, >=, 1);
      wave_request_destroy (w);
      g_free (text);
    }
}

/* Regression test: entries like these were listed as workers, with another
   capacity or with an address that can't be called. */
static void
test_odd_workers (void)
{
  static const char format[]
      = "{\"backend\":\"x\",\"address\":%s,\"state\":\"ready\",\"capacity\":"
        "%s,\"labels\":%s,\"born\":%s}";
  static const char *const members[][4] = {
    { "\"10.0.0.1:99999\"", "{}", "[]", "1" },
    { "\"10.0.0.1:0\"", "{}", "[]", "1" },
    { "\"10.0.0.1:-1\"", "{}", "[]", "1" },
    { "\"10.0.0.1:4294967297\"", "{}", "[]", "1" },
    { "\"10.0.0.1\"", "{}", "[]", "1" },
    { "\"worker.example:80\"", "{}", "[]", "1" },
    { "\"\"", "{}", "[]", "1" },
    { "7", "{}", "[]", "1" },
    { "\"10.0.0.1:80\"", "{\"cpu\":99999999999999999999}", "[]", "1" },
    { "\"10.0.0.1:80\"", "{\"cpu\":1e400}", "[]", "1" },
    { "\"10.0.0.1:80\"", "{\"cpu\":-1}", "[]", "1" },
    { "\"10.0.0.1:80\"", "{\"mem_mb\":4294967296}", "[]", "1" },
    { "\"10.0.0.1:80\"", "{\"gpu\":\"1\"}", "[]", "1" },
    { "\"10.0.0.1:80\"", "[]", "[]", "1" },
    { "\"10.0.0.1:80\"", "null", "[]", "1" },
    { "\"10.0.0.1:80\"", "{}", "{}", "1" },
    { "\"10.0.0.1:80\"", "{}", "[\"a\",7]", "1" },
    { "\"10.0.0.1:80\"", "{}", "[]", "-1" },
    { "\"10.0.0.1:80\"", "{}", "[]", "1e400" },
    { "\"10.0.0.1:80\"", "{}", "[]", "\"1\"" },
    { "\"10.0.0.1:80\"", "{}", "[]", "[[[1]]]" },
    { "\"10.0.0.1:80\"", "{}", "[\"\\u0000\"]", "1" },
  };
  struct worker_entry *e;
  char *text;

  for (gsize i = 0; i < G_N_ELEMENTS (members); i++)
    {
      text = g_strdup_printf (format, members[i][0], members[i][1],
                              members[i][2], members[i][3]);
      g_test_message ("%s", text);
      g_assert_null (wire_read_worker ("i-1", text, strlen (text)));
      g_free (text);
    }
  text = g_strdup_printf (format, "\"10.0.0.1:80\"", "{}", "[]", "1");
  e = wire_read_worker ("i-1", text, strlen (text));
  g_assert_nonnull (e);
  worker_entry_destroy (e);
  g_free (text);
}

/* A specification from the journal may have times that no caller may send. */
static void
test_times_in_the_journal (void)
{
  struct job_spec *spec = job_spec_new ("00000000000000a1");
  GBytes *bytes;

  g_ptr_array_add (spec->steps, job_step_new ());
  ((struct job_step *)g_ptr_array_index (spec->steps, 0))->count = 1;
  spec->interval_ms = G_MAXINT64;
  bytes = job_spec_to_bytes (spec);
  g_assert_null (job_spec_from_bytes (bytes));
  g_bytes_unref (bytes);
  spec->interval_ms = 0;
  spec->deadline_factor = 1e300;
  bytes = job_spec_to_bytes (spec);
  g_assert_null (job_spec_from_bytes (bytes));
  g_bytes_unref (bytes);
  job_spec_destroy (spec);
}

/* Regression test: a record of one job under another one's key replaced that
   job while the cell still used it. */
static void
test_journal_of_another_job (void)
{
  static const char *const keys[] = { "j:00000000000000a2",
                                      "j:00000000000000a1x",
                                      "j:",
                                      "p:",
                                      "p:00000000000000a1x",
                                      "p:00000000000000A1 ",
                                      "p:x",
                                      "o:",
                                      "o:x",
                                      "o:99999999999999999999",
                                      "w:",
                                      "w:\n",
                                      "a:",
                                      "a:x",
                                      "x",
                                      "" };
  struct world *w = world_new (1);
  GBytes *spec, *completed, *nothing;
  GVariant *progress = g_variant_ref_sink (
      g_variant_new_parsed ("(byte 2, uint32 0, uint32 1, @a(uayay) [])"));

  world_run (w, 1000);
  world_submit (w, world_job (w, WORLD_JOB, 2, 4));
  world_run (w, 300);
  spec = g_bytes_ref (g_hash_table_lookup (w->journal, "j:" WORLD_JOB));
  completed = g_variant_get_data_as_bytes (progress);
  nothing = g_bytes_new (NULL, 0);
  for (gsize i = 0; i < G_N_ELEMENTS (keys); i++)
    g_hash_table_replace (w->journal, g_strdup (keys[i]),
                          g_bytes_ref (keys[i][0] == 'j'   ? spec
                                       : keys[i][0] == 'p' ? completed
                                                           : nothing));
  world_take_over (w, false, 0);
  world_run (w, 25000); /* the leases of an unknown owner have expired */
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_COMPLETED);
  g_assert_cmpint (world_state (w, "00000000000000a2"), ==, JOB_FAILED);
  world_assert_no_violations (w);
  g_bytes_unref (spec);
  g_bytes_unref (completed);
  g_bytes_unref (nothing);
  g_variant_unref (progress);
  world_destroy (w);
}

/* Regression test: the tasks of each occurrence that a record named took
   memory, 2.5 GB here. */
static void
test_progress_that_cannot_be (void)
{
  struct world *w = world_new (1);
  GVariantBuilder open;
  GVariant *progress;

  world_run (w, 1000);
  world_submit (w, world_job (w, WORLD_JOB, 1, 1000));
  world_run (w, 300);
  g_variant_builder_init (&open, G_VARIANT_TYPE ("a(uayay)"));
  for (guint i = 0; i < 20000; i++)
    g_variant_builder_add_parsed (&open, "(%u, @ay [], @ay [])", i);
  progress
      = g_variant_ref_sink (g_variant_new ("(yuua(uayay))", 1, 0, 0, &open));
  g_hash_table_replace (w->journal, g_strdup ("p:" WORLD_JOB),
                        g_variant_get_data_as_bytes (progress));
  g_variant_unref (progress);
  world_take_over (w, false, 0);
  world_run (w, 2000);
  g_assert_cmpint (world_state (w, WORLD_JOB), ==, JOB_FAILED);
  world_destroy (w);
}

/* Return the open tasks of a job of COUNT tasks that is due each ms. */
static uint32_t
open_tasks (uint32_t count)
{
  struct world *w = world_new (1);
  struct job_spec *spec = world_job (w, WORLD_JOB, 1, count);
  const struct cell_job *job;
  uint32_t n_tasks = 0;

  spec->occurrences = JOB_MAX_OCCURRENCES;
  spec->interval_ms = 1;
  world_run (w, 1000);
  world_submit (w, spec);
  world_run (w, 300);
  job = g_hash_table_lookup (w->cell->jobs, WORLD_JOB);
  for (guint i = 0; i < job->occurrences->len; i++)
    n_tasks += ((const struct cell_occurrence *)g_ptr_array_index (
                    job->occurrences, i))
                   ->n_tasks;
  world_destroy (w);
  return n_tasks;
}

/* Regression test: 64 occurrences of 100,000 tasks took 0.8 GB of memory. */
static void
test_tasks_of_many_occurrences (void)
{
  g_assert_cmpuint (open_tasks (JOB_MAX_TASKS), ==, JOB_MAX_TASKS);
  g_assert_cmpuint (open_tasks (30000), ==, 90000);
  g_assert_cmpuint (open_tasks (10), ==, 640);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/odd-records/large-numbers", test_large_numbers);
  g_test_add_func ("/odd-records/no-text", test_strings_that_are_no_text);
  g_test_add_func ("/odd-records/escapes", test_malformed_escapes);
  g_test_add_func ("/odd-records/text", test_strings_that_are_text);
  g_test_add_func ("/odd-records/jobs", test_numbers_of_jobs);
  g_test_add_func ("/odd-records/routes", test_numbers_of_routes);
  g_test_add_func ("/odd-records/reports", test_numbers_of_reports);
  g_test_add_func ("/odd-records/waves", test_numbers_of_waves);
  g_test_add_func ("/odd-records/workers", test_odd_workers);
  g_test_add_func ("/odd-records/journal-times", test_times_in_the_journal);
  g_test_add_func ("/odd-records/journal-keys", test_journal_of_another_job);
  g_test_add_func ("/odd-records/journal-progress",
                   test_progress_that_cannot_be);
  g_test_add_func ("/odd-records/occurrences", test_tasks_of_many_occurrences);
  return g_test_run ();
}
