#include "leaving.h"

#include <glib.h>

/* A VM in any fresh list is in the set; stale lists are ignored as long as
   there is a fresh one. */

static void
set_own_list (struct leaving *l, const char *name, int64_t asked_ms)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  if (name != NULL)
    g_hash_table_add (names, (char *)name);
  leaving_set_own (l, names, asked_ms);
  g_hash_table_unref (names);
}

/* Deliver a heartbeat of n1 at NOW_MS, whose list of age LIST_AGE_MS has NAME
   (NULL for none) as leaving. */
static void
receive_list (struct members *m, const char *name, int64_t list_age_ms,
              int64_t now_ms)
{
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);

  p->from = g_strdup ("n1");
  p->incarnation = 1;
  p->u.heartbeat.zone = g_strdup ("z");
  p->u.heartbeat.list_age_ms = list_age_ms;
  p->u.heartbeat.leaving = g_new0 (char *, 2);
  p->u.heartbeat.leaving[0] = g_strdup (name);
  members_handle_heartbeat (m, p, now_ms);
  peer_message_destroy (p);
}

static bool
is_leaving (struct leaving *l, const struct members *m, const char *vm,
            int64_t now_ms)
{
  leaving_update (l, m, now_ms);
  return g_hash_table_contains (leaving_names (l), vm);
}

static void
test_fresh_peer_list_counts (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  set_own_list (l, NULL, 1000); /* can read no list after this one */
  receive_list (m, "vm-1", 100, 5000);
  g_assert_true (is_leaving (l, m, "vm-1", 5000));
  /* The peer's next list no longer has the VM. */
  receive_list (m, NULL, 100, 6000);
  g_assert_false (is_leaving (l, m, "vm-1", 6000));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_stale_own_list_is_ignored (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  set_own_list (l, "vm-1", 1000);
  receive_list (m, NULL, 100, 2000);
  g_assert_true (is_leaving (l, m, "vm-1", 2000)); /* both fresh */
  receive_list (m, NULL, 100, 9000);
  g_assert_false (is_leaving (l, m, "vm-1", 9000));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_stale_peer_list_is_ignored (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  set_own_list (l, NULL, 9000);
  receive_list (m, "vm-1", 8000, 9100); /* n1 can read no list any more */
  g_assert_false (is_leaving (l, m, "vm-1", 9100));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_stale_lists_count_while_none_is_fresh (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  set_own_list (l, NULL, 1000);
  receive_list (m, "vm-1", 100, 1500);
  g_assert_true (is_leaving (l, m, "vm-1", 1500));
  receive_list (m, "vm-1", 60000, 61500);
  g_assert_true (is_leaving (l, m, "vm-1", 61500));
  leaving_destroy (l);
  members_destroy (m);
}

static void
test_update_returns_whether_set_changed (void)
{
  struct leaving *l = leaving_new ();
  struct members *m = members_new ("n0", "z", 1);

  set_own_list (l, "vm-1", 1000);
  g_assert_true (leaving_update (l, m, 1000));
  g_assert_false (leaving_update (l, m, 1100));
  set_own_list (l, "vm-2", 2000);
  g_assert_true (leaving_update (l, m, 2000));
  leaving_destroy (l);
  members_destroy (m);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/leaving/fresh-peer-list", test_fresh_peer_list_counts);
  g_test_add_func ("/leaving/stale-own-list", test_stale_own_list_is_ignored);
  g_test_add_func ("/leaving/stale-peer-list",
                   test_stale_peer_list_is_ignored);
  g_test_add_func ("/leaving/all-lists-stale",
                   test_stale_lists_count_while_none_is_fresh);
  g_test_add_func ("/leaving/changed",
                   test_update_returns_whether_set_changed);
  return g_test_run ();
}
