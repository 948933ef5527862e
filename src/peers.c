#include "peers.h"

#include "logging.h"
#include "peer_message.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#define MAC_BYTES 32 /* of HMAC-SHA256 */
#define SEND_QUEUE_MESSAGES 10000
#define RECONNECT_MAX_MS 1000
/* Messages received before other sources of the main loop get a turn. */
#define RECEIVE_PER_DISPATCH 64

struct peer
{
  char *node;
  void *socket;
};

struct peers
{
  struct task *task;
  struct task *core;
  const struct settings *settings;
  struct counters *counters;
  void *context;
  void *receiver;       /* ZMQ_PULL socket */
  struct peer *senders; /* one for each of the settings' peers */
  GSource *source;
};

struct socket_source
{
  GSource source;
  struct peers *peers;
  gpointer tag;
};

/* Authentication. */

static void
make_mac (const struct peers *p, const void *data, gsize size,
          guint8 mac[MAC_BYTES])
{
  GHmac *h
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)p->settings->peer_key,
                    strlen (p->settings->peer_key));
  gsize n = MAC_BYTES;

  g_hmac_update (h, data, (gssize)size);
  g_hmac_get_digest (h, mac, &n);
  g_hmac_unref (h);
}

static bool
is_mac_valid (const struct peers *p, const guint8 *data, gsize size,
              const guint8 *mac)
{
  guint8 own[MAC_BYTES];
  unsigned differ = 0;

  make_mac (p, data, size, own);
  for (int i = 0; i < MAC_BYTES; i++)
    differ |= (unsigned)(own[i] ^ mac[i]);
  return differ == 0;
}

/* Receiving. */

static void
handle_frame (struct peers *p, const guint8 *data, gsize size)
{
  GBytes *bytes;
  struct peer_message *peer = NULL;
  struct message *m;

  counters_add (p->counters, COUNTER_PEER_RECEIVED, 1);
  counters_add (p->counters, COUNTER_PEER_RECEIVED_BYTES, size);
  if (size <= MAC_BYTES || size > PEER_MESSAGE_MAX_BYTES
      || !is_mac_valid (p, data + MAC_BYTES, size - MAC_BYTES, data))
    {
      counters_add (p->counters, COUNTER_PEER_UNKNOWN_SENDER, 1);
      return;
    }
  bytes = g_bytes_new (data + MAC_BYTES, size - MAC_BYTES);
  switch (peer_message_from_bytes (bytes, &peer))
    {
    case PEER_READ_OK:
      counters_add_peer_message (p->counters, DIRECTION_RECEIVED, peer->kind,
                                 peer_kind_name (peer->kind), size);
      m = message_new (MESSAGE_PEER);
      m->u.peer.peer = peer;
      task_post (p->core, m);
      break;
    case PEER_READ_OTHER_VERSION:
      counters_add (p->counters, COUNTER_PEER_OTHER_VERSION, 1);
      break;
    case PEER_READ_MALFORMED:
      counters_add (p->counters, COUNTER_PEER_MALFORMED, 1);
      break;
    }
  g_bytes_unref (bytes);
}

static bool
receive_one (struct peers *p)
{
  zmq_msg_t msg;

  zmq_msg_init (&msg);
  if (zmq_msg_recv (&msg, p->receiver, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&msg);
      return false;
    }
  handle_frame (p, zmq_msg_data (&msg), zmq_msg_size (&msg));
  zmq_msg_close (&msg);
  return true;
}

static bool
has_input (const struct peers *p)
{
  int events = 0;
  size_t size = sizeof events;

  zmq_getsockopt (p->receiver, ZMQ_EVENTS, &events, &size);
  return (events & ZMQ_POLLIN) != 0;
}

static gboolean
socket_prepare (GSource *source, gint *timeout)
{
  *timeout = -1;
  return has_input (((struct socket_source *)source)->peers);
}

static gboolean
socket_check (GSource *source)
{
  return has_input (((struct socket_source *)source)->peers);
}

static gboolean
socket_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct peers *p = ((struct socket_source *)source)->peers;

  for (int i = 0; i < RECEIVE_PER_DISPATCH && receive_one (p); i++)
    ;
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs socket_functions
    = { socket_prepare, socket_check, socket_dispatch, NULL, NULL, NULL };

/* Sending. */

static void
send_frame (struct peers *p, const struct peer *peer, enum peer_kind kind,
            const guint8 *data, gsize size)
{
  if (zmq_send (peer->socket, data, size, ZMQ_DONTWAIT) < 0)
    {
      counters_add (p->counters, COUNTER_PEER_DROPPED, 1);
      return;
    }
  counters_add_peer_message (p->counters, DIRECTION_SENT, kind,
                             peer_kind_name (kind), size);
  counters_add (p->counters, COUNTER_PEER_SENT, 1);
  counters_add (p->counters, COUNTER_PEER_SENT_BYTES, size);
}

static void
send_message (struct peers *p, const struct message_send_to_peer *m)
{
  GBytes *bytes = peer_message_to_bytes (m->peer);
  gsize size;
  const guint8 *data = g_bytes_get_data (bytes, &size);
  guint8 *frame = g_malloc (MAC_BYTES + size);
  bool found = false;

  make_mac (p, data, size, frame);
  memcpy (frame + MAC_BYTES, data, size);
  for (guint i = 0; i < p->settings->n_peers; i++)
    {
      if (m->to[0] != '\0' && strcmp (m->to, p->senders[i].node) != 0)
        continue;
      found = true;
      send_frame (p, &p->senders[i], m->peer->kind, frame, MAC_BYTES + size);
    }
  if (!found && m->to[0] != '\0')
    counters_add (p->counters, COUNTER_PEER_DROPPED, 1);
  g_free (frame);
  g_bytes_unref (bytes);
}

/* The task. */

static char *
make_uri (const char *address, uint16_t port)
{
  bool v6 = strchr (address, ':') != NULL;

  return g_strdup_printf (v6 ? "tcp://[%s]:%u" : "tcp://%s:%u", address, port);
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void *
connect_peer (struct peers *p, const struct settings_peer *peer)
{
  void *s = zmq_socket (p->context, ZMQ_PUSH);
  char *uri = make_uri (peer->endpoint.address, peer->endpoint.port);

  set_int (s, ZMQ_LINGER, 100);
  set_int (s, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
  set_int (s, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  /* Queue nothing for a peer that is not connected: a message that can't be
     sent now is dropped, because nodes repeat their messages. */
  set_int (s, ZMQ_IMMEDIATE, 1);
  zmq_connect (s, uri);
  g_free (uri);
  return s;
}

static void
bind_receiver (struct peers *p)
{
  char *uri = make_uri (p->settings->peer.address, p->settings->peer.port);

  p->receiver = zmq_socket (p->context, ZMQ_PULL);
  set_int (p->receiver, ZMQ_LINGER, 0);
  zmq_setsockopt (p->receiver, ZMQ_MAXMSGSIZE,
                  &(int64_t){ PEER_MESSAGE_MAX_BYTES }, sizeof (int64_t));
  if (zmq_bind (p->receiver, uri) != 0)
    {
      char *text
          = g_strdup_printf ("can't listen on %s: %s; choose a free port", uri,
                             zmq_strerror (errno));

      logging_fatal (text);
    }
  g_free (uri);
}

static void
start (void *data)
{
  struct peers *p = data;
  struct socket_source *source;
  int fd = -1;
  size_t size = sizeof fd;

  p->context = zmq_ctx_new ();
  bind_receiver (p);
  p->senders = g_new0 (struct peer, p->settings->n_peers + 1);
  for (guint i = 0; i < p->settings->n_peers; i++)
    {
      p->senders[i].node = p->settings->peers[i].node;
      p->senders[i].socket = connect_peer (p, &p->settings->peers[i]);
    }
  zmq_getsockopt (p->receiver, ZMQ_FD, &fd, &size);
  p->source = g_source_new (&socket_functions, sizeof *source);
  source = (struct socket_source *)p->source;
  source->peers = p;
  source->tag = g_source_add_unix_fd (p->source, fd, G_IO_IN);
  g_source_attach (p->source, g_main_context_get_thread_default ());
}

static void
handle (void *data, struct message *m)
{
  if (m->kind == MESSAGE_SEND_TO_PEER)
    send_message (data, &m->u.send_to_peer);
  message_destroy (m);
}

static void
stop (void *data)
{
  struct peers *p = data;

  g_source_destroy (p->source);
  g_source_unref (p->source);
  for (guint i = 0; i < p->settings->n_peers; i++)
    zmq_close (p->senders[i].socket);
  zmq_close (p->receiver);
  zmq_ctx_term (p->context);
  g_free (p->senders);
}

static const struct task_functions functions = { start, handle, stop };

struct peers *
peers_new (const struct settings *settings, struct counters *counters,
           struct task *core)
{
  struct peers *p = g_new0 (struct peers, 1);

  p->settings = settings;
  p->counters = counters;
  p->core = core;
  p->task = task_new ("peers", &functions, p);
  return p;
}

struct task *
peers_task (struct peers *peers)
{
  return peers->task;
}

void
peers_destroy (struct peers *peers)
{
  task_destroy (peers->task);
  g_free (peers);
}
