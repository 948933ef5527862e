#include "http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* The listeners with clients on loopback: what ordinary clients must get
   whatever is bounded, and what others must not bring about. */

#define HEADER_BYTES 16384
#define BODY_BYTES 262144
#define RUN_MAX_MS 20000

struct fixture
{
  struct event_base *base;
  struct meters *meters;
  struct http_server *server;
  struct http_listener *listener;
  bool must_hold; /* requests are kept instead of answered */
  struct evhttp_request *held;
  gsize last_body_bytes;
  guint served;
};

static void
on_request (struct evhttp_request *request, void *data)
{
  struct fixture *f = data;

  f->served++;
  f->last_body_bytes
      = evbuffer_get_length (evhttp_request_get_input_buffer (request));
  if (f->must_hold && f->held == NULL)
    f->held = request;
  else
    evhttp_send_reply (request, 200, "OK", NULL);
}

static void
set_up (struct fixture *f, uint64_t memory_bytes, uint32_t max_connections)
{
  const struct http_server_limits limits
      = { .memory_bytes = memory_bytes, .source_percent = 100 };
  const struct http_listener_options options
      = { .name = "test",
          .ip = "127.0.0.1",
          .max_connections = max_connections,
          .request = { HEADER_BYTES, BODY_BYTES, 3000, 15000 },
          .serve = on_request,
          .data = f };

  memset (f, 0, sizeof *f);
  f->base = event_base_new ();
  event_base_priority_init (f->base, HTTP_SERVER_PRIORITIES);
  f->meters = meters_new ();
  f->server = http_server_new (f->base, f->meters, &limits);
  f->listener = http_server_listen (f->server, &options);
  g_assert_nonnull (f->listener);
}

static void
tear_down (struct fixture *f)
{
  http_listener_destroy (f->listener);
  g_assert_cmpuint (http_server_held_bytes (f->server), ==, 0);
  http_server_destroy (f->server);
  meters_destroy (f->meters);
  event_base_free (f->base);
}

static int
connect_client (struct fixture *f)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (http_listener_port (f->listener)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (
      connect (fd, (struct sockaddr *)(void *)&address, sizeof address), ==,
      0);
  evutil_make_socket_nonblocking (fd);
  event_base_loop (f->base, EVLOOP_NONBLOCK);
  return fd;
}

/* Send TEXT and read until N answers have come.  Return how many came before
   the connection was closed. */
static guint
exchange (struct fixture *f, int fd, const char *text, gsize size, guint n)
{
  int64_t end_us = g_get_monotonic_time () + RUN_MAX_MS * 1000;
  static const char answer[] = "HTTP/1.1 200";
  GString *answers = g_string_new (NULL);
  guint count = 0;

  while (count < n && g_get_monotonic_time () < end_us)
    {
      char piece[4096];
      ssize_t sent = size > 0 ? send (fd, text, size, MSG_NOSIGNAL) : 0;
      ssize_t got;

      if (sent > 0)
        {
          text += sent;
          size -= (gsize)sent;
        }
      event_base_loop (f->base, EVLOOP_NONBLOCK);
      got = recv (fd, piece, sizeof piece, 0);
      if (got == 0 || (got < 0 && errno != EAGAIN))
        break;
      if (got > 0)
        g_string_append_len (answers, piece, got);
      for (const char *at; (at = strstr (answers->str, answer)) != NULL;
           count++)
        g_string_erase (answers, 0,
                        at - answers->str + (gssize)strlen (answer));
    }
  g_string_free (answers, TRUE);
  return count;
}

/* Requests within the limits must be served: the longest head, the largest
   body behind it, and many sent ahead by a client that reads. */
static void
test_within_limits (void)
{
  struct fixture f;
  GString *text = g_string_new ("POST / HTTP/1.1\r\nHost: a\r\n");
  int fd;

  set_up (&f, 4 * 1024 * 1024, 8);
  fd = connect_client (&f);
  g_string_append_printf (text, "Content-Length: %d\r\nX: ", BODY_BYTES);
  while (text->len < HEADER_BYTES - 10)
    g_string_append_c (text, 'x');
  g_string_append (text, "\r\n\r\n");
  for (int i = 0; i < BODY_BYTES; i++)
    g_string_append_c (text, 'b');
  g_assert_cmpuint (exchange (&f, fd, text->str, text->len, 1), ==, 1);
  g_assert_cmpuint (f.last_body_bytes, ==, BODY_BYTES);
  g_string_truncate (text, 0);
  for (int i = 0; i < 5000; i++)
    g_string_append (text, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  g_assert_cmpuint (exchange (&f, fd, text->str, text->len, 5000), ==, 5000);
  close (fd);
  g_string_free (text, TRUE);
  tear_down (&f);
}

/* A body that is many times longer than the longest head must arrive whole,
   also if one read brings more than the head. */
static void
test_short_heads (void)
{
  const struct http_request_limits limits = { 512, BODY_BYTES, 3000, 15000 };
  struct fixture f;
  GString *text = g_string_new ("POST / HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 262144\r\n\r\n");
  gsize head_bytes = text->len;
  int fd;

  set_up (&f, 4 * 1024 * 1024, 8);
  http_listener_set_limits (f.listener, &limits);
  fd = connect_client (&f);
  g_string_set_size (text, head_bytes + BODY_BYTES);
  memset (text->str + head_bytes, 'b', BODY_BYTES);
  for (int i = 0; i < 3; i++)
    g_assert_cmpuint (exchange (&f, fd, text->str, text->len, 1), ==, 1);
  g_assert_cmpuint (f.last_body_bytes, ==, BODY_BYTES);
  close (fd);
  g_string_free (text, TRUE);
  tear_down (&f);
}

/* Clients that never finish their bodies take all the memory that connections
   may hold.  A request that was passed on before must keep its connection and
   get its answer. */
static void
test_answer_under_pressure (void)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  struct fixture f;
  GString *text = g_string_new ("POST / HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 262144\r\n\r\n");
  int caller, crowd[16];

  set_up (&f, 1024 * 1024, 32);
  f.must_hold = true;
  caller = connect_client (&f);
  g_assert_cmpint (send (caller, request, sizeof request - 1, 0), >, 0);
  while (f.held == NULL)
    event_base_loop (f.base, EVLOOP_ONCE);
  g_string_set_size (text, 200000);
  memset (text->str + 60, 'b', text->len - 60);
  for (int i = 0; i < 16; i++)
    {
      const char *at = text->str;
      gsize left = text->len;

      crowd[i] = connect_client (&f);
      for (int turn = 0; turn < 200 && left > 0; turn++)
        {
          ssize_t sent = send (crowd[i], at, left, MSG_NOSIGNAL);

          at += MAX (sent, 0);
          left -= (gsize)MAX (sent, 0);
          event_base_loop (f.base, EVLOOP_NONBLOCK);
        }
      g_assert_cmpuint (http_server_held_bytes (f.server), <=, 1024 * 1024);
    }
  g_assert_cmpuint (meters_get (f.meters, METER_CLIENTS_CLOSED_MEMORY), >, 0);
  evhttp_send_reply (f.held, 200, "OK", NULL);
  g_assert_cmpuint (exchange (&f, caller, "", 0, 1), ==, 1);
  for (int i = 0; i < 16; i++)
    close (crowd[i]);
  close (caller);
  g_string_free (text, TRUE);
  tear_down (&f);
}

/* Idle connections fill the listener: a new client is served all the same,
   and no more connections than allowed are open. */
static void
test_room_for_new_client (void)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  struct fixture f;
  int fds[20];

  set_up (&f, 4 * 1024 * 1024, 4);
  for (int i = 0; i < 20; i++)
    fds[i] = connect_client (&f);
  g_assert_cmpuint (exchange (&f, fds[19], request, sizeof request - 1, 1), ==,
                    1);
  g_assert_cmpuint (meters_get (f.meters, METER_CLIENTS_CLOSED_CONNECTIONS),
                    ==, 16);
  for (int i = 0; i < 20; i++)
    close (fds[i]);
  tear_down (&f);
}

/* Without a free descriptor the listener must not try to accept in each turn
   of the loop, and must serve again once there is one. */
static void
test_no_descriptors (void)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  struct fixture f;
  struct rlimit limit, low;
  int64_t end_us;
  guint turns = 0;
  int fd, probe;

  set_up (&f, 4 * 1024 * 1024, 64);
  fd = socket (AF_INET, SOCK_STREAM, 0);
  probe = dup (fd);
  close (probe);
  close (fd);
  getrlimit (RLIMIT_NOFILE, &limit);
  low = limit;
  low.rlim_cur = (rlim_t)probe; /* room for the client's own descriptor */
  setrlimit (RLIMIT_NOFILE, &low);
  fd = connect_client (&f);
  end_us = g_get_monotonic_time () + 300000;
  while (g_get_monotonic_time () < end_us && turns < 10000)
    {
      event_base_loop (f.base, EVLOOP_ONCE);
      turns++;
    }
  g_assert_cmpuint (turns, <, 1000);
  setrlimit (RLIMIT_NOFILE, &limit);
  g_assert_cmpuint (exchange (&f, fd, request, sizeof request - 1, 1), ==, 1);
  close (fd);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http_server/within_limits", test_within_limits);
  g_test_add_func ("/http_server/short_heads", test_short_heads);
  g_test_add_func ("/http_server/under_pressure", test_answer_under_pressure);
  g_test_add_func ("/http_server/new_client", test_room_for_new_client);
  g_test_add_func ("/http_server/no_descriptors", test_no_descriptors);
  return g_test_run ();
}
