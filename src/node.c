#include "node.h"

#include "clock.h"
#include "error.h"
#include "event_log.h"
#include "exit_status.h"
#include "ingress.h"
#include "node_advice.h"
#include "node_relay.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

/* Interval of the timer that does what is due. */
#define TICK_INTERVAL_MS 10
/* How long a stopping node goes on answering at least: the load balancer
   checks readiness every second and has to see twice that it is not ready. */
#define READINESS_NOTICE_MS 2600
/* Time before the deadline of a stop at which open requests are answered as
   they stand, and at which the event loop ends. */
#define STOP_CLOSE_MARGIN_MS 900
#define STOP_END_MARGIN_MS 400
/* Smallest change of (Unix time less steady clock) that counts as a jump of
   the time of day rather than as drift. */
#define CLOCK_JUMP_MIN_MS 300
/* A jump of the time of day is followed once it has lasted this long. */
#define CLOCK_JUMP_CONFIRM_MS 15000
/* A silence of the store that counts as an outage; it normally answers
   several calls a second. */
#define STORE_OUTAGE_MIN_MS 1500
/* Timeout of the first call to the store, and the longest one: it usually
   answers in about 4 ms; when it is slow, in about 300 ms. */
#define STORE_TIMEOUT_MS 300
#define STORE_TIMEOUT_MAX_MS 2400
/* How the connections from clients are shared out: the callers' listener gets
   most, the readiness check and the metrics have one client each.  No listener
   gets less than the minimum. */
#define CALLERS_PERCENT 54
#define PEERS_PERCENT 40
#define READINESS_PERCENT 3
#define METRICS_PERCENT 3
#define MIN_CONNECTIONS 8
/* Limits of a request for the counters, a GET without a body. */
#define METRICS_HEADER_BYTES 16384
#define METRICS_BODY_BYTES 4096
#define METRICS_HEAD_TIMEOUT_MS 3000
#define METRICS_IDLE_MS 15000
/* Time without a tick that is logged as a pause of the process. */
#define LOOP_PAUSE_MIN_MS 700

int64_t
node_now_ms (void)
{
  return clock_steady_ms ();
}

int64_t
node_wall_ms (const struct node *n)
{
  return node_now_ms () + n->wall_offset_ms;
}

/* Follow the time of day, but adopt a jump only after CLOCK_JUMP_CONFIRM_MS:
   it may jump back, and scheduled jobs would have started early. */
static void
update_wall_offset (struct node *n, int64_t now_ms)
{
  int64_t offset_ms = clock_wall_ms () - now_ms;

  if (n->wall_offset_ms == 0)
    n->wall_offset_ms = offset_ms;
  if (ABS (offset_ms - n->wall_offset_ms) < CLOCK_JUMP_MIN_MS)
    {
      n->wall_offset_ms = offset_ms;
      n->wall_candidate_since_ms = now_ms;
      return;
    }
  if (ABS (offset_ms - n->wall_candidate_ms) >= CLOCK_JUMP_MIN_MS)
    {
      n->wall_candidate_ms = offset_ms;
      n->wall_candidate_since_ms = now_ms;
      event_log ("clock-jump", "", "by_ms=%" G_GINT64_FORMAT,
                 offset_ms - n->wall_offset_ms);
    }
  if (now_ms > n->wall_candidate_since_ms + CLOCK_JUMP_CONFIRM_MS)
    n->wall_offset_ms = offset_ms;
}

static void
run_marked_hosts (evutil_socket_t fd, short events, void *data)
{
  struct node *n = data;
  GHashTableIter iter;
  gpointer value;
  int64_t now_ms = node_now_ms ();

  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct cell_host *)value)->must_run)
      host_run (value, now_ms);
  node_advice_run (n, now_ms);
}

void
node_note_store_answer (struct node *n, int64_t now_ms)
{
  if (n->store_heard_ms == 0)
    event_log ("store-reached", n->settings->store,
               "started_ms=%" G_GINT64_FORMAT, now_ms - n->started_ms);
  else if (now_ms > n->store_heard_ms + STORE_OUTAGE_MIN_MS)
    event_log ("store-back", n->settings->store, "silent_ms=%" G_GINT64_FORMAT,
               now_ms - n->store_heard_ms);
  if (now_ms > n->store_heard_ms + STORE_OUTAGE_MIN_MS)
    n->store_recovered_ms = now_ms;
  n->store_heard_ms = now_ms;
}

int64_t
node_store_timeout_ms (uint32_t failed)
{
  return MIN (STORE_TIMEOUT_MS << MIN (failed, 8), STORE_TIMEOUT_MAX_MS);
}

void
node_schedule_run (struct node *n, struct cell_host *host)
{
  host->must_run = true;
  event_active (n->run_event, EV_TIMEOUT, 0);
}

static void
begin_stop (struct node *n)
{
  n->is_stopping = true;
  n->stop_begun_ms = node_now_ms ();
  event_log ("stopping", n->address, "cells=%u requests=%u",
             g_hash_table_size (n->hosts), ingress_open_requests (n->ingress));
  owner_leave (n);
}

static void
check_stop (struct node *n, int64_t now_ms)
{
  int64_t since_ms = now_ms - n->stop_begun_ms;

  if (since_ms > n->settings->stop_ms - STOP_CLOSE_MARGIN_MS)
    front_close (n->front, now_ms);
  if ((since_ms > READINESS_NOTICE_MS && ingress_is_idle (n->ingress))
      || since_ms > n->settings->stop_ms - STOP_END_MARGIN_MS)
    event_base_loopbreak (n->base);
}

static void
on_tick (evutil_socket_t fd, short events, void *data)
{
  struct node *n = data;
  int64_t now_ms = node_now_ms ();
  int64_t late_ms;
  GHashTableIter iter;
  gpointer value;

  if (n->last_tick_ms != 0 && now_ms > n->last_tick_ms + LOOP_PAUSE_MIN_MS)
    event_log ("paused", n->address, "for_ms=%" G_GINT64_FORMAT,
               now_ms - n->last_tick_ms);
  owner_count_tick (n, now_ms);
  late_ms
      = n->last_tick_ms == 0 ? 0 : now_ms - n->last_tick_ms - TICK_INTERVAL_MS;
  n->last_tick_ms = now_ms;
  update_wall_offset (n, now_ms);
  directory_tick (n, now_ms);
  owner_tick (n, now_ms);
  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    host_run (value, now_ms);
  node_advice_run (n, now_ms);
  front_tick (n->front, now_ms);
  order_relay_tick (n->relay, late_ms, now_ms);
  if (n->routes != NULL && n->routes->version != n->applied_limits_version)
    {
      n->applied_limits_version = n->routes->version;
      ingress_apply_limits (n->ingress);
    }
  if (n->is_stopping)
    check_stop (n, now_ms);
  event_log_flush ();
}

static void
on_stop_signal (evutil_socket_t fd, short events, void *data)
{
  struct node *n = data;

  if (!n->is_stopping)
    begin_stop (n);
}

/* Reload the three durations that can change while a node runs; every other
   setting, such as the addresses, takes a restart. */
static void
on_reload_signal (evutil_socket_t fd, short events, void *data)
{
  struct node *n = data;
  GError *error = NULL;
  struct node_settings *s = node_settings_read (n->settings_file, &error);

  if (s == NULL)
    {
      event_log ("reload", n->settings_file, "outcome=kept-old cause=%s",
                 error->message);
      g_error_free (error);
      return;
    }
  n->settings->stop_ms = s->stop_ms;
  n->settings->keep_state_ms = s->keep_state_ms;
  n->settings->upkeep_ms = s->upkeep_ms;
  node_settings_destroy (s);
  event_log ("reload", n->settings_file, "outcome=taken");
}

static void
serve_metrics (struct evhttp_request *request, void *data)
{
  struct node *n = data;
  GString *text = g_string_new (NULL);
  struct evbuffer *body = evbuffer_new ();
  GHashTableIter iter;
  gpointer value;

  meters_render (n->meters, text);
  g_string_append_printf (text, "log_lines_dropped %" G_GUINT64_FORMAT "\n",
                          event_log_dropped ());
  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cell_host *h = value;
      struct cell_stats stats;

      if (h->cell == NULL)
        continue;
      cell_get_stats (h->cell, &stats);
      g_string_append_printf (text,
                              "cell_jobs_open{service=\"%s\"} %u\n"
                              "cell_tasks_running{service=\"%s\"} %u\n"
                              "cell_tasks_waiting{service=\"%s\"} %u\n"
                              "cell_workers{service=\"%s\"} %u\n",
                              h->service, stats.jobs_open, h->service,
                              stats.tasks_running, h->service,
                              stats.tasks_waiting, h->service, stats.workers);
      cell_render_accounts (h->cell, text);
    }
  evbuffer_add (body, text->str, text->len);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain");
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
  g_string_free (text, TRUE);
}

/* Return the number of descriptors that the process may have open.  Raises the
   soft limit of the system to the setting if it can. */
static uint32_t
descriptor_limit (const struct node_settings *s)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return s->max_descriptors;
  if (limit.rlim_cur < s->max_descriptors)
    {
      limit.rlim_cur = MIN ((rlim_t)s->max_descriptors, limit.rlim_max);
      setrlimit (RLIMIT_NOFILE, &limit);
      getrlimit (RLIMIT_NOFILE, &limit);
    }
  return (uint32_t)MIN ((rlim_t)s->max_descriptors, limit.rlim_cur);
}

/* Return PERCENT of the connections that clients may have. */
static uint32_t
connection_share (const struct node *n, uint32_t percent)
{
  return (uint32_t)MAX (n->max_connections * percent / 100, MIN_CONNECTIONS);
}

/* Return PERCENT of the memory that the process may use, in bytes. */
static uint64_t
memory_share (const struct node_settings *s, uint32_t percent)
{
  return (uint64_t)s->memory_mb * 1024 * 1024 * percent / 100;
}

static void
start_http_server (struct node *n)
{
  const struct http_server_limits limits
      = { .memory_bytes
          = memory_share (n->settings, n->settings->buffer_percent),
          .source_percent = n->settings->source_percent };

  n->http_server = http_server_new (n->base, n->meters, &limits);
}

static bool
start_ingress (struct node *n, GError **error)
{
  const struct node_settings *s = n->settings;
  const struct ingress_options options
      = { .callers = s->callers,
          .readiness = s->readiness,
          .max_caller_connections = connection_share (n, CALLERS_PERCENT),
          .max_readiness_connections = connection_share (n, READINESS_PERCENT),
          .max_open_requests = s->max_open_requests,
          .max_request_bytes = memory_share (s, s->request_percent) };

  n->ingress
      = ingress_new (n->http_server, n->front, n->meters, &options, error);
  return n->ingress != NULL;
}

static void
listen_metrics (struct node *n)
{
  const struct http_listener_options options
      = { .name = "metrics",
          .ip = n->settings->ip,
          .port = n->settings->metrics_port,
          .max_connections = connection_share (n, METRICS_PERCENT),
          .request = { .header_bytes = METRICS_HEADER_BYTES,
                       .body_bytes = METRICS_BODY_BYTES,
                       .head_timeout_ms = METRICS_HEAD_TIMEOUT_MS,
                       .idle_timeout_ms = METRICS_IDLE_MS },
          .serve = serve_metrics,
          .data = n };

  n->metrics_listener = http_server_listen (n->http_server, &options);
  if (n->metrics_listener == NULL)
    event_log ("metrics-off", n->address, "port=%u cause=taken",
               n->settings->metrics_port);
}

static bool
node_start (struct node *n, GError **error)
{
  struct timeval tick = { 0, TICK_INTERVAL_MS * 1000 };

  n->started_ms = node_now_ms ();
  n->base = event_base_new ();
  event_base_priority_init (n->base, HTTP_SERVER_PRIORITIES);
  n->client = http_client_new (n->base);
  n->store = store_new (n->client, n->settings->store);
  n->meters = meters_new ();
  n->address
      = g_strdup_printf ("%s:%u", n->settings->ip, n->settings->peer_port);
  g_queue_init (&n->fleet.writes);
  directory_start (n);
  owner_start (n);
  n->front = front_new (n);
  n->relay = order_relay_new (n);
  n->advice = advice_desk_new ();
  n->max_connections = (uint64_t)descriptor_limit (n->settings)
                       * n->settings->connections_percent / 100;
  start_http_server (n);
  n->peer_listener = peers_listen (n, connection_share (n, PEERS_PERCENT));
  if (n->peer_listener == NULL)
    {
      g_set_error (error, SHED_ERROR, ERROR_UNREACHABLE,
                   "can't listen at %s; free the port or change peer_port",
                   n->address);
      return false;
    }
  if (!start_ingress (n, error))
    return false;
  listen_metrics (n);
  n->run_event = event_new (n->base, -1, 0, run_marked_hosts, n);
  n->tick_timer = event_new (n->base, -1, EV_PERSIST, on_tick, n);
  event_add (n->tick_timer, &tick);
  event_active (n->tick_timer, EV_TIMEOUT, 0);
  return true;
}

static void
node_finish (struct node *n)
{
  g_hash_table_remove_all (n->hosts);
  if (n->tick_timer != NULL)
    event_free (n->tick_timer);
  if (n->run_event != NULL)
    event_free (n->run_event);
  ingress_destroy (n->ingress);
  http_listener_destroy (n->peer_listener);
  http_listener_destroy (n->metrics_listener);
  http_server_destroy (n->http_server);
  http_client_destroy (n->client);
  front_destroy (n->front);
  order_relay_destroy (n->relay);
  advice_desk_destroy (n->advice);
  store_destroy (n->store);
  owner_clear (n);
  directory_clear (n);
  routes_destroy (n->routes);
  meters_destroy (n->meters);
  node_settings_destroy (n->settings);
  event_base_free (n->base);
  g_free (n->address);
}

/* Block or unblock the signals that the node handles. */
static void
block_signals (bool block)
{
  sigset_t handled;

  sigemptyset (&handled);
  sigaddset (&handled, SIGTERM);
  sigaddset (&handled, SIGINT);
  sigaddset (&handled, SIGHUP);
  sigprocmask (block ? SIG_BLOCK : SIG_UNBLOCK, &handled, NULL);
}

int
node_run (const char *settings_file)
{
  struct node n = { .settings_file = settings_file };
  GError *error = NULL;
  struct event *stop, *interrupt, *reload;

  /* SIGTERM during the start waits until its handler is installed: it is a
     planned stop, too. */
  block_signals (true);
  signal (SIGPIPE, SIG_IGN);
  n.settings = node_settings_read (settings_file, &error);
  if (n.settings == NULL)
    {
      fprintf (stderr, "burdockshed: %s\n", error->message);
      g_error_free (error);
      return EXIT_STATUS_USAGE;
    }
  event_log_set_up (n.settings->node);
  if (!node_start (&n, &error))
    {
      event_log ("start-failed", n.address, "cause=%s", error->message);
      event_log_flush ();
      g_error_free (error);
      node_finish (&n);
      return EXIT_STATUS_UNREACHABLE;
    }
  stop = evsignal_new (n.base, SIGTERM, on_stop_signal, &n);
  interrupt = evsignal_new (n.base, SIGINT, on_stop_signal, &n);
  reload = evsignal_new (n.base, SIGHUP, on_reload_signal, &n);
  event_add (stop, NULL);
  event_add (interrupt, NULL);
  event_add (reload, NULL);
  block_signals (false);
  event_log ("serving", n.address, "callers=%s store=%s version=%s",
             n.settings->callers, n.settings->store, BURDOCKSHED_VERSION);
  event_base_dispatch (n.base);
  event_log ("stopped", n.address, "requests_open=%u",
             ingress_open_requests (n.ingress));
  event_log_flush ();
  event_free (stop);
  event_free (interrupt);
  event_free (reload);
  node_finish (&n);
  return EXIT_STATUS_DONE;
}
