#include "peers.h"

#include "peer_message.h"

#include <gio/gio.h>
#include <string.h>
#include <zmq.h>

/* What a node makes of bytes that come to its peer port: only whole messages
   of its own version, under the common key, reach the core. */

#define KEY "the-key-of-all-nodes"
#define MAC_BYTES 32
#define PATIENCE_US (10 * 1000 * 1000)

struct world
{
  struct settings settings;
  struct counters *counters;
  struct task *core;
  struct peers *peers;
  gint heard; /* peer messages that reached the core */
  void *context;
  void *socket;
};

static void
core_start (void *data)
{
}

static void
core_handle (void *data, struct message *m)
{
  struct world *w = data;

  if (m->kind == MESSAGE_PEER)
    g_atomic_int_inc (&w->heard);
  message_destroy (m);
}

static const struct task_functions core_functions
    = { core_start, core_handle, core_start };

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
connect_to (struct world *w)
{
  void *s = zmq_socket (w->context, ZMQ_PUSH);
  char *uri = g_strdup_printf ("tcp://127.0.0.1:%u", w->settings.peer.port);
  int linger = 0;

  zmq_setsockopt (s, ZMQ_LINGER, &linger, sizeof linger);
  g_assert_cmpint (zmq_connect (s, uri), ==, 0);
  g_free (uri);
  return s;
}

static void
world_open (struct world *w)
{
  memset (w, 0, sizeof *w);
  w->settings.peer.address = (char *)"127.0.0.1";
  w->settings.peer.port = free_port ();
  w->settings.peer_key = (char *)KEY;
  w->counters = counters_new ();
  w->core = task_new ("core", &core_functions, w);
  w->peers = peers_new (&w->settings, w->counters, w->core);
  task_start (w->core);
  task_start (peers_task (w->peers));
  w->context = zmq_ctx_new ();
  w->socket = connect_to (w);
}

static void
world_close (struct world *w)
{
  zmq_close (w->socket);
  zmq_ctx_term (w->context);
  peers_destroy (w->peers);
  task_destroy (w->core);
  counters_destroy (w->counters);
}

static void
send_frame (struct world *w, const void *data, gsize size)
{
  g_assert_cmpint (zmq_send (w->socket, data, size, 0), ==, (int)size);
}

/* Send PAYLOAD behind its code under KEY. */
static void
send_signed (struct world *w, const char *key, const guint8 *payload,
             gsize size)
{
  GHmac *h = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  guint8 *frame = g_malloc (MAC_BYTES + size);
  gsize n = MAC_BYTES;

  g_hmac_update (h, payload, (gssize)size);
  g_hmac_get_digest (h, frame, &n);
  memcpy (frame + MAC_BYTES, payload, size);
  send_frame (w, frame, MAC_BYTES + size);
  g_free (frame);
  g_hmac_unref (h);
}

/* Return the bytes of a message in order, as of VERSION. */
static GByteArray *
message_bytes (guint8 version)
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
send_good (struct world *w)
{
  GByteArray *b = message_bytes (PEER_MESSAGE_VERSION);

  send_signed (w, KEY, b->data, b->len);
  g_byte_array_unref (b);
}

static void
await_heard (struct world *w, gint wanted)
{
  gint64 end = g_get_monotonic_time () + PATIENCE_US;

  while (g_atomic_int_get (&w->heard) < wanted
         && g_get_monotonic_time () < end)
    g_usleep (1000);
  g_assert_cmpint (g_atomic_int_get (&w->heard), ==, wanted);
}

static void
assert_count (struct world *w, enum counter counter, guint64 wanted)
{
  g_assert_cmpuint (counters_get (w->counters, counter), ==, wanted);
}

static void
test_good (void)
{
  struct world w;

  world_open (&w);
  send_good (&w);
  await_heard (&w, 1);
  assert_count (&w, COUNTER_PEER_RECEIVED, 1);
  world_close (&w);
}

static void
test_wrong_key (void)
{
  struct world w;
  GByteArray *b = message_bytes (PEER_MESSAGE_VERSION);

  world_open (&w);
  send_signed (&w, "some-other-key-0123", b->data, b->len);
  send_good (&w);
  await_heard (&w, 1);
  assert_count (&w, COUNTER_PEER_UNKNOWN_SENDER, 1);
  g_byte_array_unref (b);
  world_close (&w);
}

static void
test_other_version (void)
{
  struct world w;
  GByteArray *b = message_bytes (PEER_MESSAGE_VERSION + 1);

  world_open (&w);
  send_signed (&w, KEY, b->data, b->len);
  send_good (&w);
  await_heard (&w, 1);
  assert_count (&w, COUNTER_PEER_OTHER_VERSION, 1);
  assert_count (&w, COUNTER_PEER_UNKNOWN_SENDER, 0);
  g_byte_array_unref (b);
  world_close (&w);
}

/* Under the right key, but cut short. */
static void
test_truncated (void)
{
  struct world w;
  GByteArray *b = message_bytes (PEER_MESSAGE_VERSION);

  world_open (&w);
  for (guint n = 1; n < b->len; n++)
    send_signed (&w, KEY, b->data, n);
  send_good (&w);
  await_heard (&w, 1);
  assert_count (&w, COUNTER_PEER_MALFORMED, b->len - 1);
  g_byte_array_unref (b);
  world_close (&w);
}

static void
test_garbage (void)
{
  struct world w;
  GRand *r = g_rand_new_with_seed (5);
  guint8 noise[500];

  world_open (&w);
  for (int i = 0; i < 1000; i++)
    {
      for (gsize k = 0; k < sizeof noise; k++)
        noise[k] = (guint8)g_rand_int_range (r, 0, 256);
      send_frame (&w, noise, (gsize)g_rand_int_range (r, 0, sizeof noise));
    }
  send_good (&w);
  await_heard (&w, 1);
  assert_count (&w, COUNTER_PEER_UNKNOWN_SENDER, 1000);
  g_rand_free (r);
  world_close (&w);
}

/* A frame above the limit ends its connection; the next one serves. */
static void
test_oversized (void)
{
  struct world w;
  gsize size = PEER_MESSAGE_MAX_BYTES + 1;
  guint8 *frame = g_malloc0 (size);

  world_open (&w);
  send_frame (&w, frame, size);
  g_usleep (200 * 1000);
  assert_count (&w, COUNTER_PEER_RECEIVED, 0);
  zmq_close (w.socket);
  w.socket = connect_to (&w);
  send_good (&w);
  await_heard (&w, 1);
  g_free (frame);
  world_close (&w);
}

/* Bytes that are not ZeroMQ's disturb no peer. */
static void
test_raw_bytes (void)
{
  struct world w;
  GSocketAddress *a;

  world_open (&w);
  send_good (&w);
  await_heard (&w, 1); /* so it listens by now */
  a = g_inet_socket_address_new_from_string ("127.0.0.1",
                                             w.settings.peer.port);
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
  send_good (&w);
  await_heard (&w, 2);
  assert_count (&w, COUNTER_PEER_RECEIVED, 2);
  g_object_unref (a);
  world_close (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peers/good", test_good);
  g_test_add_func ("/peers/wrong-key", test_wrong_key);
  g_test_add_func ("/peers/other-version", test_other_version);
  g_test_add_func ("/peers/truncated", test_truncated);
  g_test_add_func ("/peers/garbage", test_garbage);
  g_test_add_func ("/peers/oversized", test_oversized);
  g_test_add_func ("/peers/raw-bytes", test_raw_bytes);
  return g_test_run ();
}
