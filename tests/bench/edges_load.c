#include "edges_load.h"

#include <errno.h>
#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define MAX_ANSWER_BYTES 8192
#define MAX_EVENTS 256
#define MAX_SAMPLES 2000000

struct client
{
  GSocket *socket;
  gint64 sent_us;
  gsize received_bytes;
  char answer[MAX_ANSWER_BYTES + 1];
};

struct run
{
  const struct load_options *options;
  struct client *clients;
  int epoll;
  gint64 measure_from_us;
  gint64 end_us;
  GArray *samples; /* gint64 microseconds */
  guint not_200;   /* answers that are not 200 */
  guint broken;    /* connections that ended */
};

static gint64
now_us (void)
{
  return g_get_monotonic_time ();
}

static void
send_request (struct run *r, struct client *c)
{
  const char *text = r->options->request;

  c->received_bytes = 0;
  c->sent_us = now_us ();
  g_socket_send (c->socket, text, strlen (text), NULL, NULL);
}

/* Return the length of C's answer, headers and body, or 0 while the headers
   are incomplete. */
static gsize
answer_length (const struct client *c)
{
  const char *end = strstr (c->answer, "\r\n\r\n");
  const char *length;

  if (end == NULL)
    return 0;
  length = strcasestr (c->answer, "content-length:");
  if (length == NULL || length > end)
    return (gsize)(end - c->answer) + 4;
  return (gsize)(end - c->answer) + 4
         + (gsize)atol (length + strlen ("content-length:"));
}

static void
record_answer (struct run *r, struct client *c)
{
  gint64 latency_us = now_us () - c->sent_us;

  if (strncmp (c->answer, "HTTP/1.1 200", 12) != 0)
    r->not_200++;
  else if (c->sent_us >= r->measure_from_us && r->samples->len < MAX_SAMPLES)
    g_array_append_val (r->samples, latency_us);
}

static void
read_answer (struct run *r, struct client *c)
{
  gssize n
      = g_socket_receive (c->socket, c->answer + c->received_bytes,
                          MAX_ANSWER_BYTES - c->received_bytes, NULL, NULL);
  gsize length;

  if (n <= 0)
    {
      r->broken++;
      epoll_ctl (r->epoll, EPOLL_CTL_DEL, g_socket_get_fd (c->socket), NULL);
      return;
    }
  c->received_bytes += (gsize)n;
  c->answer[c->received_bytes] = '\0';
  length = answer_length (c);
  if (length == 0 || c->received_bytes < length)
    return;
  record_answer (r, c);
  send_request (r, c);
}

static void
open_client (struct run *r, struct client *c)
{
  GSocketAddress *a
      = g_inet_socket_address_new_from_string ("127.0.0.1", r->options->port);
  struct epoll_event e = { .events = EPOLLIN, .data.ptr = c };

  c->socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                            G_SOCKET_PROTOCOL_TCP, NULL);
  if (!g_socket_connect (c->socket, a, NULL, NULL))
    g_error ("the bench can't connect to port %u", r->options->port);
  g_socket_set_blocking (c->socket, FALSE);
  epoll_ctl (r->epoll, EPOLL_CTL_ADD, g_socket_get_fd (c->socket), &e);
  g_object_unref (a);
}

static int
compare_samples (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return (x > y) - (x < y);
}

static gint64
percentile (const GArray *samples, double share)
{
  if (samples->len == 0)
    return 0;
  return g_array_index (samples, gint64,
                        (guint)((double)(samples->len - 1) * share));
}

static void
run_events (struct run *r)
{
  struct epoll_event events[MAX_EVENTS];

  while (now_us () < r->end_us)
    {
      int n = epoll_wait (r->epoll, events, MAX_EVENTS, 50);

      for (int i = 0; i < n; i++)
        read_answer (r, events[i].data.ptr);
    }
}

struct load_result
load_run (const struct load_options *options)
{
  struct run r = { .options = options };
  struct load_result result = { 0 };

  r.epoll = epoll_create1 (0);
  r.clients = g_new0 (struct client, options->connections);
  r.samples = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < options->connections; i++)
    open_client (&r, &r.clients[i]);
  r.measure_from_us = now_us () + options->warm_up_ms * 1000;
  r.end_us = r.measure_from_us + options->measure_ms * 1000;
  for (guint i = 0; i < options->connections; i++)
    send_request (&r, &r.clients[i]);
  run_events (&r);
  for (guint i = 0; i < options->connections; i++)
    {
      g_socket_close (r.clients[i].socket, NULL);
      g_object_unref (r.clients[i].socket);
    }
  g_array_sort (r.samples, compare_samples);
  result.per_second
      = (double)r.samples->len * 1000 / (double)options->measure_ms;
  result.p50_us = percentile (r.samples, 0.5);
  result.p99_us = percentile (r.samples, 0.99);
  result.not_200 = r.not_200;
  result.broken = r.broken;
  g_array_unref (r.samples);
  g_free (r.clients);
  close (r.epoll);
  return result;
}
