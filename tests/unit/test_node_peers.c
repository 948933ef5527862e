#include "node_state.h"

#include <string.h>

/* Reading the answers of other nodes: whole, missing and malformed. */

static struct http_reply
reply_of (int status, const char *body)
{
  return (struct http_reply){ .status = status,
                              .may_have_arrived = true,
                              .body = (const uint8_t *)body,
                              .body_bytes = body != NULL ? strlen (body) : 0 };
}

static void
test_complete_answers (void)
{
  struct http_reply reply = reply_of (200, "2");
  struct front_answer answer;

  g_assert_true (peer_read_answer (FRONT_GET_STATE, &reply, &answer));
  g_assert_cmpint (answer.result, ==, FRONT_DONE);
  g_assert_cmpint (answer.state, ==, JOB_COMPLETED);
  reply = reply_of (200, "17");
  g_assert_true (peer_read_answer (FRONT_COUNT_WAITING, &reply, &answer));
  g_assert_cmpuint (answer.number, ==, 17);
  reply = reply_of (410, "0");
  g_assert_true (peer_read_answer (FRONT_GET_STATE, &reply, &answer));
  g_assert_cmpint (answer.result, ==, FRONT_NOT_FOUND);
  reply = reply_of (504, "0");
  g_assert_true (peer_read_answer (FRONT_SUBMIT, &reply, &answer));
  g_assert_cmpint (answer.result, ==, FRONT_UNCLEAR);
}

/* A refusal for an account's rate keeps its retry delay; a malformed one must
   not keep a caller away for long. */
static void
test_refusals_for_rate (void)
{
  struct http_reply reply = reply_of (429, "2345");
  struct front_answer answer;

  g_assert_true (peer_read_answer (FRONT_SUBMIT, &reply, &answer));
  g_assert_cmpint (answer.result, ==, FRONT_TOO_MANY);
  g_assert_cmpint (answer.retry_after_ms, ==, 2345);
  reply = reply_of (429, "4000000000");
  g_assert_true (peer_read_answer (FRONT_SUBMIT, &reply, &answer));
  g_assert_cmpint (answer.retry_after_ms, <=, 60000);
}

/* A reply without a body, as when a node does not answer, must not end the
   process, as it once did: its body is NULL. */
static void
test_missing_answers (void)
{
  struct http_reply reply = reply_of (0, NULL);
  struct front_answer answer;

  g_assert_false (peer_read_answer (FRONT_SUBMIT, &reply, &answer));
  reply = reply_of (421, NULL);
  g_assert_false (peer_read_answer (FRONT_GET_STATE, &reply, &answer));
}

/* Malformed bytes must give well-formed entries or none. */
static void
test_malformed_records (void)
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
  g_test_add_func ("/node-peers/complete-answers", test_complete_answers);
  g_test_add_func ("/node-peers/refusals", test_refusals_for_rate);
  g_test_add_func ("/node-peers/missing-answers", test_missing_answers);
  g_test_add_func ("/node-peers/malformed-records", test_malformed_records);
  return g_test_run ();
}
