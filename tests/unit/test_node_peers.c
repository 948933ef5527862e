#include "node_state.h"

#include <string.h>

/* Answers of other nodes, whole and missing. */

static struct http_reply
reply_of (int status, const char *body)
{
  return (struct http_reply){ .status = status,
                              .sent = true,
                              .body = (const uint8_t *)body,
                              .body_bytes = body != NULL ? strlen (body) : 0 };
}

static void
test_answers (void)
{
  struct http_reply reply = reply_of (200, "2");
  struct front_answer answer;

  g_assert_true (peer_read_answer (FRONT_STATE, &reply, &answer));
  g_assert_cmpint (answer.result, ==, FRONT_DONE);
  g_assert_cmpint (answer.state, ==, JOB_COMPLETED);
  reply = reply_of (200, "17");
  g_assert_true (peer_read_answer (FRONT_WAITING, &reply, &answer));
  g_assert_cmpuint (answer.number, ==, 17);
  reply = reply_of (410, "0");
  g_assert_true (peer_read_answer (FRONT_STATE, &reply, &answer));
  g_assert_cmpint (answer.result, ==, FRONT_UNKNOWN);
  reply = reply_of (504, "0");
  g_assert_true (peer_read_answer (FRONT_SUBMIT, &reply, &answer));
  g_assert_cmpint (answer.result, ==, FRONT_UNCLEAR);
}

/* A node that does not answer gives no body: that ended a process once. */
static void
test_no_answer (void)
{
  struct http_reply reply = reply_of (0, NULL);
  struct front_answer answer;

  g_assert_false (peer_read_answer (FRONT_SUBMIT, &reply, &answer));
  reply = reply_of (421, NULL);
  g_assert_false (peer_read_answer (FRONT_STATE, &reply, &answer));
}

static void
test_records_of_garbage (void)
{
  struct http_reply reply = reply_of (200, "garbage");
  GPtrArray *records = peer_read_records (&reply);

  for (guint i = 0; i < records->len; i++)
    g_assert_nonnull (
        ((struct journal_entry *)g_ptr_array_index (records, i))->key);
  g_ptr_array_unref (records);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peers/answers", test_answers);
  g_test_add_func ("/peers/no-answer", test_no_answer);
  g_test_add_func ("/peers/garbage", test_records_of_garbage);
  return g_test_run ();
}
