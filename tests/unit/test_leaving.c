#include "leaving.h"

#include <glib.h>

/* A VM that any fresh list calls leaving gets no new work; words of old lists
   neither stay nor spread. */

static void
own_list (struct leaving *l, const char *name, int64_t asked_ms)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  if (name != NULL)
    g_hash_table_add (names, (char *)name);
  leaving_list (l, names, asked_ms);
  g_hash_table_unref (names);
}

/* n1 says at NOW_MS that its list of age LIST_AGE_MS has NAME as leaving. */
static void
hear (struct members *m, const char *name, int64_t list_age_ms, int64_t now_ms)
{
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);

  p->from = g_strdup ("n1");
  p->incarnation = 1;
  p->u.heartbeat.zone = g_strdup ("z");
  p->u.heartbeat.list_age_ms = list_age_ms;
  p->u.heartbeat.leaving = g_new0 (char *, 2);
  p->u.heartbeat.leaving[0] = g_strdup (name);
  members_hear (m, p, now_ms);
  peer_message_destroy (p);
}

static bool
is_leaving (struct leaving *l, const struct members *m, const char *vm,
            int64_t now_ms)
{
  leaving_weigh (l, m, now_ms);
  return g_hash_table_contains (leaving_names (l), vm);
}

static void
test_a_peers_fresh_word_counts (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  own_list (l, NULL, 1000); /* and from then on cut off from the platform */
  hear (m, "vm-1", 100, 5000);
  g_assert_true (is_leaving (l, m, "vm-1", 5000));
  /* It has come back, says the peer's next list. */
  hear (m, NULL, 100, 6000);
  g_assert_false (is_leaving (l, m, "vm-1", 6000));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_an_old_list_of_its_own_is_overruled (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  own_list (l, "vm-1", 1000);
  hear (m, NULL, 100, 2000);
  g_assert_true (is_leaving (l, m, "vm-1", 2000)); /* both fresh */
  hear (m, NULL, 100, 9000);
  g_assert_false (is_leaving (l, m, "vm-1", 9000));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_an_old_word_of_a_peer_is_overruled (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  own_list (l, NULL, 9000);
  hear (m, "vm-1", 8000, 9100); /* a peer cut off from the platform */
  g_assert_false (is_leaving (l, m, "vm-1", 9100));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_the_last_word_stays_while_the_platform_is_out_for_all (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  own_list (l, NULL, 1000);
  hear (m, "vm-1", 100, 1500);
  g_assert_true (is_leaving (l, m, "vm-1", 1500));
  hear (m, "vm-1", 60000, 61500);
  g_assert_true (is_leaving (l, m, "vm-1", 61500));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_it_says_when_something_changed (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  own_list (l, "vm-1", 1000);
  g_assert_true (leaving_weigh (l, m, 1000));
  g_assert_false (leaving_weigh (l, m, 1100));
  own_list (l, "vm-2", 2000);
  g_assert_true (leaving_weigh (l, m, 2000));
  leaving_destroy (l);
  members_destroy (m);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/leaving/peer", test_a_peers_fresh_word_counts);
  g_test_add_func ("/leaving/own-old",
                   test_an_old_list_of_its_own_is_overruled);
  g_test_add_func ("/leaving/peer-old",
                   test_an_old_word_of_a_peer_is_overruled);
  g_test_add_func ("/leaving/outage-for-all",
                   test_the_last_word_stays_while_the_platform_is_out_for_all);
  g_test_add_func ("/leaving/changed", test_it_says_when_something_changed);
  return g_test_run ();
}
