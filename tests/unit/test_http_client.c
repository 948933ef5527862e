#include "http_client.h"

#include <dlfcn.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* The HTTP client in a process that is paused: what it sends afterwards; and
   its calls to addresses that are none. */

#define CALL_TIMEOUT_MS 100
#define PAUSE_MS 300

struct fixture
{
  struct event_base *base;
  struct evhttp *server;
  struct http_client *client;
  char *address;
  guint served;
  bool is_silent; /* the server answers nothing */
  guint finished;
  struct http_reply reply; /* the last one */
};

static void
on_served (struct evhttp_request *request, void *data)
{
  struct fixture *f = data;

  f->served++;
  if (!f->is_silent)
    evhttp_send_reply (request, 200, "OK", NULL);
}

static void
on_reply (void *data, const struct http_reply *reply)
{
  struct fixture *f = data;

  f->finished++;
  f->reply = *reply;
}

static void
set_up (struct fixture *f)
{
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  f->base = event_base_new ();
  f->server = evhttp_new (f->base);
  evhttp_set_gencb (f->server, on_served, f);
  bound = evhttp_bind_socket_with_handle (f->server, "127.0.0.1", 0);
  g_assert_nonnull (bound);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &size);
  f->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  f->client = http_client_new (f->base);
}

static void
tear_down (struct fixture *f)
{
  http_client_destroy (f->client);
  evhttp_free (f->server);
  event_base_free (f->base);
  g_free (f->address);
}

static void
send_call (struct fixture *f)
{
  struct http_call call
      = { .method = "GET", .path = "/", .timeout_ms = CALL_TIMEOUT_MS };

  http_client_send (f->client, f->address, &call, on_reply, f);
}

static void
run_for_ms (struct fixture *f, int64_t for_ms)
{
  struct timeval delay = { for_ms / 1000, for_ms % 1000 * 1000 };

  event_base_loopexit (f->base, &delay);
  event_base_dispatch (f->base);
}

/* A call that was made just before a pause longer than its timeout is not sent
   after it, on a new connection or on one that is open, and counts as
   certainly not sent. */
static void
test_a_call_is_not_sent_after_a_pause (void)
{
  struct fixture f = { 0 };

  set_up (&f);
  for (guint i = 0; i < 2; i++)
    {
      guint served = f.served;

      send_call (&f);
      g_usleep (PAUSE_MS * 1000);
      run_for_ms (&f, 200);
      g_assert_cmpuint (f.served, ==, served);
      g_assert_cmpint (f.reply.status, ==, 0);
      g_assert_false (f.reply.may_have_arrived);
      /* Open a connection for the second round. */
      send_call (&f);
      run_for_ms (&f, 80);
      g_assert_cmpuint (f.served, ==, served + 1);
      g_assert_cmpint (f.reply.status, ==, 200);
    }
  g_assert_cmpuint (f.finished, ==, 4);
  tear_down (&f);
}

/* Guards against a long poll that waits for another one to end: the owner of
   the fleet follows four streams of the store, and its view of owners and
   homes became too old to deny a job. */
static void
test_four_long_polls_go_on_at_a_time (void)
{
  struct fixture f = { .is_silent = true };
  const struct http_call call = {
    .method = "GET", .path = "/", .timeout_ms = 60000, .lane = LANE_LONG_POLLS
  };

  set_up (&f);
  for (int i = 0; i < 4; i++)
    http_client_send (f.client, f.address, &call, on_reply, &f);
  for (int i = 0; i < 200 && f.served < 4; i++)
    run_for_ms (&f, 20);
  g_assert_cmpuint (f.served, ==, 4);
  g_assert_cmpuint (f.finished, ==, 0);
  tear_down (&f);
}

static guint lookups;

/* Stands for the C library's function, which waits for a name server. */
int
getaddrinfo (const char *node, const char *service,
             const struct addrinfo *hints, struct addrinfo **result)
{
  int (*next) (const char *, const char *, const struct addrinfo *,
               struct addrinfo **)
      = dlsym (RTLD_NEXT, "getaddrinfo");

  if (g_hostname_is_ip_address (node))
    return next (node, service, hints, result);
  lookups++;
  return EAI_NONAME;
}

/* Regression test: a name as the address of a worker or an owner was looked
   up, and the event loop waited for the name server. */
static void
test_names_are_not_looked_up (void)
{
  static const char *const addresses[] = { "",
                                           ":80",
                                           "10.0.0.1",
                                           "worker.example:80",
                                           "worker:80",
                                           "10.0.0.1:99999",
                                           "10.0.0.1:0",
                                           "10.0.0.1:-1",
                                           "10.0.0.1:4294967297",
                                           "10.0.0.1:80 ",
                                           "10.0.0.1.7:80",
                                           "10.0.0.1\r\nX: y:80",
                                           "1.2.3:80",
                                           "[::1]:80" };
  struct fixture f = { 0 };
  char *long_address = g_strnfill (100000, 'x');

  set_up (&f);
  g_free (f.address);
  for (gsize i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      f.address = (char *)addresses[i];
      send_call (&f);
    }
  f.address = long_address;
  send_call (&f);
  run_for_ms (&f, 50);
  g_assert_cmpuint (f.finished, ==, G_N_ELEMENTS (addresses) + 1);
  g_assert_cmpuint (lookups, ==, 0);
  g_assert_cmpint (f.reply.status, ==, 0);
  g_assert_false (f.reply.may_have_arrived);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-client/pause",
                   test_a_call_is_not_sent_after_a_pause);
  g_test_add_func ("/http-client/names", test_names_are_not_looked_up);
  g_test_add_func ("/http-client/long-polls",
                   test_four_long_polls_go_on_at_a_time);
  return g_test_run ();
}
