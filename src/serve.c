#include "serve.h"

#include "admin.h"
#include "callers.h"
#include "clock.h"
#include "core.h"
#include "counters.h"
#include "exit_status.h"
#include "log_task.h"
#include "logging.h"
#include "peers.h"
#include "task.h"

#include <gio/gio.h>
#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdbool.h>
#include <sys/resource.h>

/* How long a stopping node keeps its listener open, so that the load balancer
   notices that the node is not ready. */
#define STOP_NOTICE_MS 1500
/* Open files that a node may need for back ends, peers and the platform. */
#define FILES_BESIDES_CONNECTIONS 512

struct node
{
  const struct settings *settings;
  struct counters *counters;
  struct clock *clock;
  struct core *core;
  struct task *core_task;
  GSource *tick; /* timer of the core */
  struct callers *callers;
  struct admin *admin;
  struct log_task *log;
  struct peers *peers;
  GMainLoop *loop; /* of the main thread */
  bool stopping;
};

/* Pass M to the task that gave its request or query the NUMBER: callers or
   admin. */
static void
reply_to_requester (struct node *n, uint64_t number, struct message *m)
{
  if (number >> CALLERS_NUMBER_SHIFT == CALLERS_TASK_NUMBER)
    task_post (callers_task (n->callers), m);
  else
    task_post (admin_task (n->admin), m);
}

static gboolean
quit_main_loop (gpointer data)
{
  g_main_loop_quit (((struct node *)data)->loop);
  return G_SOURCE_REMOVE;
}

/* Pass message M from the core to the task that handles it. */
static void
route_core_message (struct node *n, struct message *m)
{
  switch (m->kind)
    {
    case MESSAGE_RUN:
      reply_to_requester (n, m->u.run.request, m);
      break;
    case MESSAGE_REFUSE:
      reply_to_requester (n, m->u.refuse.request, m);
      break;
    case MESSAGE_REPLY:
      reply_to_requester (n, m->u.reply.query, m);
      break;
    case MESSAGE_APPEND:
    case MESSAGE_APPEND_CANCEL:
    case MESSAGE_VM_ORDER:
    case MESSAGE_READ_LOG:
    case MESSAGE_READ_VM_LIST:
      task_post (log_task_task (n->log), m);
      break;
    case MESSAGE_SEND_TO_PEER:
      task_post (peers_task (n->peers), m);
      break;
    case MESSAGE_STOPPED:
      g_timeout_add (STOP_NOTICE_MS, quit_main_loop, n);
      message_destroy (m);
      break;
    default:
      message_destroy (m);
      break;
    }
}

static void
core_handle_message (void *data, struct message *m)
{
  struct node *n = data;
  GQueue out = G_QUEUE_INIT;
  struct message *next;

  core_handle (n->core, m, clock_now_ms (n->clock), &out);
  while ((next = g_queue_pop_head (&out)) != NULL)
    route_core_message (n, next);
}

/* Update the gauges of the processor time that each task has used. */
static void
update_cpu_gauges (struct node *n)
{
  struct counters *c = n->counters;

  counters_set_gauge (c, GAUGE_CPU_CORE_US, task_cpu_us (n->core_task));
  counters_set_gauge (c, GAUGE_CPU_CALLERS_US,
                      task_cpu_us (callers_task (n->callers)));
  counters_set_gauge (c, GAUGE_CPU_ADMIN_US,
                      task_cpu_us (admin_task (n->admin)));
  counters_set_gauge (c, GAUGE_CPU_LOG_US,
                      task_cpu_us (log_task_task (n->log)));
  counters_set_gauge (c, GAUGE_CPU_PEERS_US,
                      task_cpu_us (peers_task (n->peers)));
}

static gboolean
on_tick (gpointer data)
{
  update_cpu_gauges (data);
  core_handle_message (data, message_new (MESSAGE_TICK));
  return G_SOURCE_CONTINUE;
}

static void
core_task_start (void *data)
{
  struct node *n = data;

  n->tick = g_timeout_source_new (CORE_TICK_MS);
  g_source_set_callback (n->tick, on_tick, n, NULL);
  g_source_attach (n->tick, g_main_context_get_thread_default ());
}

static void
core_task_stop (void *data)
{
  struct node *n = data;

  g_source_destroy (n->tick);
  g_source_unref (n->tick);
}

static const struct task_functions core_functions
    = { core_task_start, core_handle_message, core_task_stop };

static gboolean
on_stop_timeout (gpointer data)
{
  struct node *n = data;

  g_warning ("requests are still in progress after %" G_GINT64_FORMAT
             " ms; stopping without waiting for them",
             (gint64)n->settings->stop_patience_ms);
  g_main_loop_quit (n->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
on_signal (gpointer data)
{
  struct node *n = data;

  if (n->stopping)
    return G_SOURCE_CONTINUE;
  n->stopping = true;
  logging_state (n->settings->node, "stopping", "node %s is stopping",
                 n->settings->node);
  task_post (n->core_task, message_new (MESSAGE_STOP));
  g_timeout_add ((guint)n->settings->stop_patience_ms + STOP_NOTICE_MS,
                 on_stop_timeout, n);
  return G_SOURCE_CONTINUE;
}

/* Register the libraries' GObject types before any thread starts: two threads
   that use them for the first time at once can deadlock. */
static void
register_types (void)
{
  const GType types[] = {
    SOUP_TYPE_SERVER,           SOUP_TYPE_SESSION,
    SOUP_TYPE_MESSAGE,          SOUP_TYPE_SERVER_MESSAGE,
    G_TYPE_INET_SOCKET_ADDRESS, G_TYPE_SOCKET,
    G_TYPE_SOCKET_CLIENT,       G_TYPE_SOCKET_SERVICE,
    G_TYPE_SOCKET_CONNECTION,   G_TYPE_TCP_CONNECTION,
    G_TYPE_CANCELLABLE,         G_TYPE_TASK,
    JSON_TYPE_PARSER,           JSON_TYPE_BUILDER,
    JSON_TYPE_GENERATOR,
  };

  for (gsize i = 0; i < G_N_ELEMENTS (types); i++)
    g_type_class_unref (g_type_class_ref (types[i]));
  g_object_unref (soup_server_new (NULL, NULL));
  g_object_unref (soup_session_new ());
}

static void
node_start (struct node *n)
{
  const struct settings *s = n->settings;
  struct core_options options = {
    .node = s->node,
    .zone = s->zone,
    .incarnation = (uint64_t)clock_wall_ms (),
    .max_requests = s->max_requests,
    .seed = (uint64_t)clock_wall_ms (),
  };

  n->counters = counters_new ();
  n->clock = clock_new_monotonic ();
  n->core = core_new (&options, n->counters);
  n->core_task = task_new ("core", &core_functions, n);
  n->callers = callers_new (s, options.incarnation, n->counters, n->core_task);
  n->admin = admin_new (s, n->counters, n->core_task);
  n->log = log_task_new (s, n->counters, n->core_task);
  n->peers = peers_new (s, n->counters, n->core_task);
  task_start (n->core_task);
  task_start (peers_task (n->peers));
  task_start (log_task_task (n->log));
  task_start (admin_task (n->admin));
  task_start (callers_task (n->callers));
}

static void
node_stop (struct node *n)
{
  /* The core and the other tasks post messages to each other, so all have to
     stop before any is destroyed. */
  task_stop (n->core_task);
  task_stop (callers_task (n->callers));
  task_stop (admin_task (n->admin));
  task_stop (log_task_task (n->log));
  task_stop (peers_task (n->peers));
  callers_destroy (n->callers);
  admin_destroy (n->admin);
  log_task_destroy (n->log);
  peers_destroy (n->peers);
  task_destroy (n->core_task);
  core_destroy (n->core);
  clock_destroy (n->clock);
  counters_destroy (n->counters);
}

/* Raise the limit of open files to the hard limit, as each caller's connection
   needs a file; warn if that is not enough. */
static void
raise_file_limit (const struct settings *settings)
{
  struct rlimit limit;
  rlim_t needed = settings->max_connections + FILES_BESIDES_CONNECTIONS;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < needed)
    g_warning ("the limit of open files is %" G_GUINT64_FORMAT
               ", but max_connections and %d more are needed; raise it or "
               "lower max_connections",
               (guint64)limit.rlim_cur, FILES_BESIDES_CONNECTIONS);
}

int
serve_run (const struct settings *settings)
{
  struct node n = { .settings = settings };

  signal (SIGPIPE, SIG_IGN);
  raise_file_limit (settings);
  n.loop = g_main_loop_new (NULL, FALSE);
  register_types ();
  node_start (&n);
  g_unix_signal_add (SIGTERM, on_signal, &n);
  g_unix_signal_add (SIGINT, on_signal, &n);
  logging_state (settings->node, "serving",
                 "node %s serves callers on %s port %u", settings->node,
                 settings->callers.address, settings->callers.port);
  g_main_loop_run (n.loop);
  node_stop (&n);
  g_main_loop_unref (n.loop);
  logging_state (settings->node, "stopped", "node %s has stopped",
                 settings->node);
  return EXIT_STATUS_DONE;
}
