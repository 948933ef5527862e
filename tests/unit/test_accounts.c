#include "accounts.h"
#include "wire.h"

#include <string.h>

/* Client accounts of a configuration, and their keys. */

static const char configuration[]
    = "{\"version\":3,\"routes\":[{\"name\":\"q\",\"public\":true}],"
      "\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\",\"\"],"
      "\"weight\":7,\"cap\":{\"cpu\":1500,\"mem_mb\":64}},"
      "{\"name\":\"b\",\"api_keys\":[\"k2\",\"k3\"]},{\"api_keys\":[\"k4\"]}]"
      "}";

static const char *
name_of_key (const struct routes *r, const char *key)
{
  const struct client_account *a = accounts_authenticate (r->accounts, key);

  return a != NULL ? a->name : "";
}

/* Guards against a key that opens another account, none, or all. */
static void
test_keys (void)
{
  struct routes *r = wire_read_routes (configuration, strlen (configuration));

  g_assert_cmpstr (name_of_key (r, "k1"), ==, "a");
  g_assert_cmpstr (name_of_key (r, "k2"), ==, "a");
  g_assert_cmpstr (name_of_key (r, "k3"), ==, "b");
  g_assert_cmpstr (name_of_key (r, ""), ==, "");
  g_assert_cmpstr (name_of_key (r, "k"), ==, "");
  g_assert_cmpstr (name_of_key (r, "k11"), ==, "");
  g_assert_cmpstr (name_of_key (r, "k4"), ==, "");
  routes_destroy (r);
}

/* Guards against a cap or a weight that is read wrongly, and against keys
   that are asked for where no accounts are configured. */
static void
test_members (void)
{
  static const char none[] = "{\"version\":1,\"routes\":[{\"name\":\"q\"}]}";
  struct routes *r = wire_read_routes (configuration, strlen (configuration));
  const struct client_account *a = accounts_find (r->accounts, "a");

  g_assert_cmpuint (accounts_count (r->accounts), ==, 2);
  g_assert_cmpuint (a->weight, ==, 7);
  g_assert_cmpuint (a->cap.cpu_milli, ==, 1500);
  g_assert_cmpuint (a->cap.memory_mb, ==, 64);
  g_assert_cmpuint (a->cap.gpus, ==, 0);
  g_assert_true (
      ((struct queue_route *)g_ptr_array_index (r->queues, 0))->is_public);
  routes_destroy (r);
  r = wire_read_routes (none, strlen (none));
  g_assert_null (r->accounts);
  routes_destroy (r);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/accounts/keys", test_keys);
  g_test_add_func ("/accounts/members", test_members);
  return g_test_run ();
}
