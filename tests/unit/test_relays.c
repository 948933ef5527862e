#include "relay_message.h"
#include "relays.h"

/* Which orders go through relays, and through which. */

static struct relays *
relays_of (int n)
{
  struct relays *r = relays_new ();
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);

  for (int i = 0; i < n; i++)
    g_ptr_array_add (addresses, g_strdup_printf ("10.0.0.%d:7060", i));
  relays_set (r, addresses);
  g_ptr_array_unref (addresses);
  return r;
}

/* Return how many of 1000 orders to 100 workers in one second are relayed. */
static int
count_relayed (struct relays *r, int64_t from_ms)
{
  int n = 0;

  for (int i = 0; i < 1000; i++)
    {
      char worker[16];

      g_snprintf (worker, sizeof worker, "w%d", i % 100);
      n += relays_choose (r, worker, from_ms + i) != NULL;
    }
  return n;
}

/* Load: a burst of starts that the owner's processor can't send.  Guards
   against relays, which cost processor time, while the owner keeps up, and
   against an owner that goes on sending all itself. */
static void
test_only_a_late_node_uses_relays (void)
{
  struct relays *r = relays_of (4);

  g_assert_cmpint (count_relayed (r, 10000), ==, 0);
  relays_note_lateness (r, RELAY_MIN_LATE_MS - 1, 20000);
  g_assert_cmpint (count_relayed (r, 20000), ==, 0);
  relays_note_lateness (r, RELAY_MIN_LATE_MS, 30000);
  g_assert_cmpint (count_relayed (r, 30000), >=, 650);
  g_assert_cmpint (count_relayed (r, 32000), ==, 0);
  relays_destroy (r);
}

/* Guards against a worker that gets connections from many relays, and against
   one relay that gets all workers. */
static void
test_a_worker_keeps_its_relay (void)
{
  struct relays *r = relays_of (4);
  GHashTable *first = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);

  relays_note_lateness (r, 100, 1000);
  count_relayed (r, 1000); /* what the node sends itself comes first */
  relays_note_lateness (r, 100, 1999);
  for (int i = 0; i < 400; i++)
    {
      const char *worker = g_intern_string (i % 2 ? "a" : "b");
      const char *relay = relays_choose (r, worker, 1999);

      if (relay == NULL)
        continue;
      if (!g_hash_table_contains (first, worker))
        g_hash_table_insert (first, (gpointer)worker, (gpointer)relay);
      g_assert_cmpstr (g_hash_table_lookup (first, worker), ==, relay);
    }
  for (int i = 0; i < 100; i++)
    {
      char worker[16];
      const char *relay;

      g_snprintf (worker, sizeof worker, "w%d", i);
      relay = relays_choose (r, worker, 1999);
      if (relay != NULL)
        g_hash_table_add (used, (gpointer)relay);
    }
  g_assert_cmpuint (g_hash_table_size (used), ==, 4);
  g_hash_table_unref (first);
  g_hash_table_unref (used);
  relays_destroy (r);
}

/* Guards against orders that go on to a relay that does not answer. */
static void
test_a_failed_relay_is_left_out (void)
{
  struct relays *r = relays_of (1);

  relays_note_lateness (r, 100, 1000);
  g_assert_true (relays_note_failure (r, "10.0.0.0:7060", 1000));
  g_assert_false (relays_note_failure (r, "10.0.0.0:7060", 1001));
  g_assert_cmpint (count_relayed (r, 1000), ==, 0);
  relays_note_lateness (r, 100, 1000 + 2 * RELAY_PENALTY_MS);
  g_assert_cmpint (count_relayed (r, 1000 + 2 * RELAY_PENALTY_MS), >, 0);
  relays_destroy (r);
}

/* Guards against a batch that loses or mixes orders, and against one that is
   cut off but taken for whole. */
static void
test_batches (void)
{
  struct run_order run = { .worker = "w1",
                           .address = "10.0.0.9:80",
                           .task = "00000000000000a1.0.1.2",
                           .fencing_token = 7,
                           .run = 4097,
                           .deadline_ms = 481000,
                           .payload = "text",
                           .checkpoint = "c",
                           .ticket = "t" };
  struct run_order stop
      = { .worker = "w2", .address = "", .task = "x", .fencing_token = 8 };
  GPtrArray *orders = g_ptr_array_new_with_free_func (relayed_order_destroy);
  GPtrArray *read;
  const struct relayed_order *o;
  GBytes *bytes, *cut;

  g_ptr_array_add (orders, relayed_order_new (ORDER_START, &run));
  g_ptr_array_add (orders, relayed_order_new (ORDER_STOP, &stop));
  bytes = relay_orders_to_bytes (orders);
  read = relay_orders_from_bytes (bytes);
  g_assert_cmpuint (read->len, ==, 2);
  o = g_ptr_array_index (read, 0);
  g_assert_cmpint (o->kind, ==, ORDER_START);
  g_assert_cmpuint (o->run.fencing_token, ==, 7);
  g_assert_cmpstr (o->run.task, ==, run.task);
  g_assert_cmpuint (o->run.run, ==, 4097);
  g_assert_cmpint (o->run.deadline_ms, ==, 481000);
  g_assert_cmpstr (o->run.payload, ==, "text");
  g_assert_cmpstr (o->run.checkpoint, ==, "c");
  g_assert_cmpstr (o->run.ticket, ==, "t");
  o = g_ptr_array_index (read, 1);
  g_assert_cmpint (o->kind, ==, ORDER_STOP);
  g_assert_cmpstr (o->run.payload, ==, "");
  cut = g_bytes_new_from_bytes (bytes, 0, g_bytes_get_size (bytes) - 3);
  g_assert_null (relay_orders_from_bytes (cut));
  g_bytes_unref (cut);
  g_bytes_unref (bytes);
  g_ptr_array_unref (read);
  g_ptr_array_unref (orders);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/relays/late", test_only_a_late_node_uses_relays);
  g_test_add_func ("/relays/worker", test_a_worker_keeps_its_relay);
  g_test_add_func ("/relays/failed", test_a_failed_relay_is_left_out);
  g_test_add_func ("/relays/batches", test_batches);
  return g_test_run ();
}
