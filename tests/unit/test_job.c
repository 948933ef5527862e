#include "job.h"

#include "error.h"
#include "routes.h"

#include <string.h>

/* Tests of job specifications and their encoding, and of the choice of a
   queue. */

static struct job_spec *
make_two_step_job (void)
{
  struct job_spec *spec = job_spec_new ("00000000000000a1");
  uint32_t dependency = 0;

  for (int i = 0; i < 2; i++)
    {
      struct job_step *s = job_step_new ();

      s->count = 3;
      s->cpu_milli = 500;
      s->estimate_ms = 400 + i;
      g_ptr_array_add (spec->steps, s);
    }
  g_array_append_val (
      ((struct job_step *)g_ptr_array_index (spec->steps, 1))->depends_on,
      dependency);
  return spec;
}

static void
test_encoding_round_trip (void)
{
  struct job_spec *spec = make_two_step_job ();
  struct job_step *s = g_ptr_array_index (spec->steps, 1);
  GBytes *bytes;
  struct job_spec *copy;
  const struct job_step *t;

  s->is_long_running = true;
  s->max_unavailable_tasks = 2;
  g_free (s->preferred_rack);
  s->preferred_rack = g_strdup ("r1-2");
  spec->deadline_factor = 1.6;
  bytes = job_spec_to_bytes (spec);
  copy = job_spec_from_bytes (bytes);
  g_assert_nonnull (copy);
  g_assert_cmpstr (copy->id, ==, spec->id);
  g_assert_cmpfloat (copy->deadline_factor, ==, 1.6);
  t = g_ptr_array_index (copy->steps, 1);
  g_assert_true (t->is_long_running);
  g_assert_cmpuint (t->max_unavailable_tasks, ==, 2);
  g_assert_cmpstr (t->preferred_rack, ==, "r1-2");
  g_assert_cmpuint (t->depends_on->len, ==, 1);
  g_assert_cmpint (job_spec_critical_path_ms (copy), ==, 801);
  job_spec_destroy (copy);
  g_bytes_unref (bytes);
  job_spec_destroy (spec);
}

/* Guards against a new owner that does not know whose job it has loaded. */
static void
test_account_is_encoded (void)
{
  struct job_spec *spec = make_two_step_job ();
  GBytes *bytes;
  struct job_spec *copy;

  g_free (spec->account);
  spec->account = g_strdup ("a \"name\"");
  spec->priority = 7;
  bytes = job_spec_to_bytes (spec);
  copy = job_spec_from_bytes (bytes);
  g_assert_nonnull (copy);
  g_assert_cmpstr (copy->account, ==, "a \"name\"");
  g_assert_cmpstr (copy->id, ==, spec->id);
  g_assert_cmpuint (copy->priority, ==, 7);
  g_assert_cmpuint (copy->steps->len, ==, 2);
  job_spec_destroy (copy);
  g_bytes_unref (bytes);
  job_spec_destroy (spec);
}

/* Guards against journals and nodes of a release without accounts that this
   one can't read, and against jobs without an account that they can't read.
   The text is make_two_step_job with the queue "q" and the priority 2, as
   encoded by commit 6328d7b. */
static void
test_earlier_encoding_is_kept (void)
{
  static const char earlier[]
      = "MDAwMDAwMDAwMDAwMDBhMQBxAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
        "AAAAIAAAABAAAAAAAAAAAAAAAAAPA/AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAwAA"
        "APQBAAAAAAAAAAAAAJABAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAC"
        "EgHxgDAAAA9AEAAAAAAAAAAAAAkQEAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
        "AAAAAAAAAAAAAAAAAAAlJCMcOHgVFBMR";
  gsize size;
  guchar *data = g_base64_decode (earlier, &size);
  GBytes *bytes = g_bytes_new_take (data, size);
  struct job_spec *spec = job_spec_from_bytes (bytes);
  GBytes *again;

  g_assert_nonnull (spec);
  g_assert_cmpstr (spec->account, ==, "");
  g_assert_cmpstr (spec->queue, ==, "q");
  g_assert_cmpuint (spec->priority, ==, 2);
  g_assert_cmpint (job_spec_critical_path_ms (spec), ==, 801);
  again = job_spec_to_bytes (spec);
  g_assert_true (g_bytes_equal (bytes, again));
  g_bytes_unref (again);
  g_bytes_unref (bytes);
  job_spec_destroy (spec);
}

static void
assert_invalid (struct job_spec *spec)
{
  GError *error = NULL;

  g_assert_false (job_spec_check (spec, &error));
  g_assert_error (error, SHED_ERROR, ERROR_INVALID);
  g_error_free (error);
  job_spec_destroy (spec);
}

static void
test_invalid_jobs_are_refused (void)
{
  struct job_spec *spec = make_two_step_job ();
  uint32_t dependency = 1;

  g_array_append_val (
      ((struct job_step *)g_ptr_array_index (spec->steps, 0))->depends_on,
      dependency);
  assert_invalid (spec); /* the steps depend on each other */
  spec = make_two_step_job ();
  ((struct job_step *)g_ptr_array_index (spec->steps, 0))->count = 0;
  assert_invalid (spec);
  spec = make_two_step_job ();
  dependency = 7;
  g_array_append_val (
      ((struct job_step *)g_ptr_array_index (spec->steps, 0))->depends_on,
      dependency);
  assert_invalid (spec);
  assert_invalid (job_spec_new ("00000000000000a1")); /* no steps */
}

static void
test_malformed_bytes_are_refused (void)
{
  GBytes *bytes = g_bytes_new_static ("no job at all", 13);

  g_assert_null (job_spec_from_bytes (bytes));
  g_bytes_unref (bytes);
}

static void
test_ids_and_task_names (void)
{
  struct task_name name;

  g_assert_true (job_id_is_valid ("5c0e7a21d94b36f8"));
  g_assert_false (job_id_is_valid ("5c0e7a21d94b36f"));
  g_assert_false (job_id_is_valid ("5c0e7a21d94b36fg"));
  g_assert_true (task_name_parse ("5c0e7a21d94b36f8.2.1.17", &name));
  g_assert_cmpstr (name.job, ==, "5c0e7a21d94b36f8");
  g_assert_cmpuint (name.occurrence, ==, 2);
  g_assert_cmpuint (name.step, ==, 1);
  g_assert_cmpuint (name.index, ==, 17);
  g_assert_false (task_name_parse ("5c0e7a21d94b36f8.2.1", &name));
  g_assert_false (task_name_parse ("5c0e7a21d94b36f8.2.1.1x", &name));
}

static void
add_queue (struct routes *r, const char *name, const char *host,
           const char *prefix)
{
  struct queue_route *q = routes_add_queue (r);

  q->name = g_strdup (name);
  q->host = g_strdup (host);
  q->path_prefix = g_strdup (prefix);
  q->service = g_strdup ("search");
}

static void
test_longest_prefix_of_host_wins (void)
{
  struct routes *r = routes_new ();

  add_queue (r, "short", "a.example", "/q/");
  add_queue (r, "long", "a.example", "/q/urgent/");
  add_queue (r, "other", "b.example", "/q/");
  g_assert_cmpstr (routes_find_queue (r, "a.example:80", "/q/urgent/x")->name,
                   ==, "long");
  g_assert_cmpstr (routes_find_queue (r, "A.example", "/q/x")->name, ==,
                   "short");
  g_assert_cmpstr (routes_find_queue (r, "b.example", "/q/urgent/x")->name, ==,
                   "other");
  g_assert_null (routes_find_queue (r, "c.example", "/q/x"));
  g_assert_null (routes_find_queue (r, "a.example", "/p/x"));
  routes_destroy (r);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/job/encoding", test_encoding_round_trip);
  g_test_add_func ("/job/account", test_account_is_encoded);
  g_test_add_func ("/job/earlier-encoding", test_earlier_encoding_is_kept);
  g_test_add_func ("/job/refused", test_invalid_jobs_are_refused);
  g_test_add_func ("/job/garbage", test_malformed_bytes_are_refused);
  g_test_add_func ("/job/names", test_ids_and_task_names);
  g_test_add_func ("/routes/longest", test_longest_prefix_of_host_wins);
  return g_test_run ();
}
