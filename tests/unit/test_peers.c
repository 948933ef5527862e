#include "peers.h"

#include "peer_message.h"

#include <gio/gio.h>
#include <string.h>
#include <zmq.h>

/* Of all bytes sent to a node's peer port, only whole messages of its own
   version, authenticated with the common key, reach the core. */

#define KEY "the-key-of-all-nodes"
#define MAC_BYTES 32
#define TIMEOUT_US (10 * 1000 * 1000)

struct fixture
{
  struct settings settings;
  struct counters *counters;
  struct task *core;
  struct peers *peers;
  gint n_received; /* peer messages that reached the core */
  void *context;
  void *socket;
};

static void
core_do_nothing (void *data)
{
}

static void
core_handle (void *data, struct message *m)
{
  struct fixture *f = data;

  if (m->kind == MESSAGE_PEER)
    g_atomic_int_inc (&f->n_received);
  message_destroy (m);
}

static const struct task_functions core_functions
    = { core_do_nothing, core_handle, core_do_nothing };

static uint16_t
free_port (void)
{
  GSocketListener *l = g_socket_listener_new ();
  uint16_t port = g_socket_listener_add_any_inet_port (l, NULL, NULL);

  g_socket_listener_close (l);
  g_object_unref (l);
  return port;
}

static void *
connect_to (struct fixture *f)
{
  void *s = zmq_socket (f->context, ZMQ_PUSH);
  char *uri = g_strdup_printf ("tcp://127.0.0.1:%u", f->settings.peer.port);
  int linger = 0;

  zmq_setsockopt (s, ZMQ_LINGER, &linger, sizeof linger);
  g_assert_cmpint (zmq_connect (s, uri), ==, 0);
  g_free (uri);
  return s;
}

static void
fixture_open (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  f->settings.peer.address = (char *)"127.0.0.1";
  f->settings.peer.port = free_port ();
  f->settings.peer_key = (char *)KEY;
  f->counters = counters_new ();
  f->core = task_new ("core", &core_functions, f);
  f->peers = peers_new (&f->settings, f->counters, f->core);
  task_start (f->core);
  task_start (peers_task (f->peers));
  f->context = zmq_ctx_new ();
  f->socket = connect_to (f);
}

static void
fixture_close (struct fixture *f)
{
  zmq_close (f->socket);
  zmq_ctx_term (f->context);
  peers_destroy (f->peers);
  task_destroy (f->core);
  counters_destroy (f->counters);
}

static void
send_frame (struct fixture *f, const void *data, gsize size)
{
  g_assert_cmpint (zmq_send (f->socket, data, size, 0), ==, (int)size);
}

/* Send PAYLOAD, preceded by its HMAC under KEY. */
static void
send_signed (struct fixture *f, const char *key, const guint8 *payload,
             gsize size)
{
  GHmac *h = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  guint8 *frame = g_malloc (MAC_BYTES + size);
  gsize n = MAC_BYTES;

  g_hmac_update (h, payload, (gssize)size);
  g_hmac_get_digest (h, frame, &n);
  memcpy (frame + MAC_BYTES, payload, size);
  send_frame (f, frame, MAC_BYTES + size);
  g_free (frame);
  g_hmac_unref (h);
}

/* Return the bytes of a message that is valid but for its version, VERSION. */
static GByteArray *
message_bytes_of_version (guint8 version)
{
  struct peer_message *p = peer_message_new (PEER_SLOT_CANCEL);
  GBytes *bytes;
  GByteArray *b = g_byte_array_new ();
  gsize size;
  const guint8 *data;

  p->from = g_strdup ("n2");
  bytes = peer_message_to_bytes (p);
  data = g_bytes_get_data (bytes, &size);
  g_byte_array_append (b, data, (guint)size);
  b->data[0] = version;
  g_bytes_unref (bytes);
  peer_message_destroy (p);
  return b;
}

static void
send_valid (struct fixture *f)
{
  GByteArray *b = message_bytes_of_version (PEER_MESSAGE_VERSION);

  send_signed (f, KEY, b->data, b->len);
  g_byte_array_unref (b);
}

static void
await_received (struct fixture *f, gint wanted)
{
  gint64 end = g_get_monotonic_time () + TIMEOUT_US;

  while (g_atomic_int_get (&f->n_received) < wanted
         && g_get_monotonic_time () < end)
    g_usleep (1000);
  g_assert_cmpint (g_atomic_int_get (&f->n_received), ==, wanted);
}

static void
assert_counter (struct fixture *f, enum counter counter, guint64 wanted)
{
  g_assert_cmpuint (counters_get (f->counters, counter), ==, wanted);
}

static void
test_valid (void)
{
  struct fixture f;

  fixture_open (&f);
  send_valid (&f);
  await_received (&f, 1);
  assert_counter (&f, COUNTER_PEER_RECEIVED, 1);
  fixture_close (&f);
}

static void
test_wrong_key (void)
{
  struct fixture f;
  GByteArray *b = message_bytes_of_version (PEER_MESSAGE_VERSION);

  fixture_open (&f);
  send_signed (&f, "some-other-key-0123", b->data, b->len);
  send_valid (&f);
  await_received (&f, 1);
  assert_counter (&f, COUNTER_PEER_UNKNOWN_SENDER, 1);
  g_byte_array_unref (b);
  fixture_close (&f);
}

static void
test_other_version (void)
{
  struct fixture f;
  GByteArray *b = message_bytes_of_version (PEER_MESSAGE_VERSION + 1);

  fixture_open (&f);
  send_signed (&f, KEY, b->data, b->len);
  send_valid (&f);
  await_received (&f, 1);
  assert_counter (&f, COUNTER_PEER_OTHER_VERSION, 1);
  assert_counter (&f, COUNTER_PEER_UNKNOWN_SENDER, 0);
  g_byte_array_unref (b);
  fixture_close (&f);
}

/* Truncated messages, authenticated with the right key, are malformed. */
static void
test_truncated (void)
{
  struct fixture f;
  GByteArray *b = message_bytes_of_version (PEER_MESSAGE_VERSION);

  fixture_open (&f);
  for (guint n = 1; n < b->len; n++)
    send_signed (&f, KEY, b->data, n);
  send_valid (&f);
  await_received (&f, 1);
  assert_counter (&f, COUNTER_PEER_MALFORMED, b->len - 1);
  g_byte_array_unref (b);
  fixture_close (&f);
}

static void
test_garbage (void)
{
  struct fixture f;
  GRand *r = g_rand_new_with_seed (5);
  guint8 random_bytes[500];

  fixture_open (&f);
  for (int i = 0; i < 1000; i++)
    {
      for (gsize k = 0; k < sizeof random_bytes; k++)
        random_bytes[k] = (guint8)g_rand_int_range (r, 0, 256);
      send_frame (&f, random_bytes,
                  (gsize)g_rand_int_range (r, 0, sizeof random_bytes));
    }
  send_valid (&f);
  await_received (&f, 1);
  assert_counter (&f, COUNTER_PEER_UNKNOWN_SENDER, 1000);
  g_rand_free (r);
  fixture_close (&f);
}

/* A frame above the limit closes its connection; a new connection works. */
static void
test_oversized (void)
{
  struct fixture f;
  gsize size = PEER_MESSAGE_MAX_BYTES + 1;
  guint8 *frame = g_malloc0 (size);

  fixture_open (&f);
  send_frame (&f, frame, size);
  g_usleep (200 * 1000);
  assert_counter (&f, COUNTER_PEER_RECEIVED, 0);
  zmq_close (f.socket);
  f.socket = connect_to (&f);
  send_valid (&f);
  await_received (&f, 1);
  g_free (frame);
  fixture_close (&f);
}

/* Connections that don't speak ZeroMQ don't disturb the peers. */
static void
test_raw_bytes (void)
{
  struct fixture f;
  GSocketAddress *a;

  fixture_open (&f);
  send_valid (&f);
  await_received (&f, 1); /* so that it is known to listen */
  a = g_inet_socket_address_new_from_string ("127.0.0.1",
                                             f.settings.peer.port);
  for (int i = 0; i < 50; i++)
    {
      GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, NULL);
      static const char text[] = "GET / HTTP/1.1\r\n\r\n";

      g_assert_true (g_socket_connect (s, a, NULL, NULL));
      g_socket_send (s, text, sizeof text, NULL, NULL);
      g_socket_close (s, NULL);
      g_object_unref (s);
    }
  send_valid (&f);
  await_received (&f, 2);
  assert_counter (&f, COUNTER_PEER_RECEIVED, 2);
  g_object_unref (a);
  fixture_close (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peers/valid", test_valid);
  g_test_add_func ("/peers/wrong-key", test_wrong_key);
  g_test_add_func ("/peers/other-version", test_other_version);
  g_test_add_func ("/peers/truncated", test_truncated);
  g_test_add_func ("/peers/garbage", test_garbage);
  g_test_add_func ("/peers/oversized", test_oversized);
  g_test_add_func ("/peers/raw-bytes", test_raw_bytes);
  return g_test_run ();
}
