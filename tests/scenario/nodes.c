#include "scenario.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define CALL_TIMEOUT_S 20
/* Each run takes its ports from a block of its own, so that concurrent runs
   don't compete for the same ports.  The block's first port stays bound as its
   lock: a port of a node that is down is not given to another run. */
#define FIRST_PORT 10000
#define PORT_BLOCKS 400
#define PORTS_PER_BLOCK 55

/* Bind PORT on loopback; return the socket, or NULL if PORT is in use. */
static GSocket *
bind_port (uint16_t port)
{
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);
  GSocketAddress *a
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  bool is_bound = g_socket_bind (s, a, FALSE, NULL);

  g_object_unref (a);
  if (!is_bound)
    g_clear_object (&s);
  return s;
}

/* Whether PORT is free on loopback now. */
static bool
is_port_free (uint16_t port)
{
  GSocket *s = bind_port (port);

  if (s == NULL)
    return false;
  g_object_unref (s);
  return true;
}

/* Lock a block of ports until this process ends; return its first port.  The
   process ID chooses the block that is tried first. */
static uint16_t
lock_port_block (void)
{
  for (int i = 0; i < PORT_BLOCKS; i++)
    {
      uint16_t first
          = (uint16_t)(FIRST_PORT
                       + (getpid () + i) % PORT_BLOCKS * PORTS_PER_BLOCK);

      if (bind_port (first) != NULL)
        return first;
    }
  g_error ("every block of ports is locked: end other scenario runs");
}

/* Return a free port below the system's range for outgoing connections, so
   that none of these takes it before the node has started.  A block's ports
   are returned in turn and not at once again: a node binds its ports one after
   the other. */
uint16_t
find_free_port (void)
{
  static uint16_t first;
  static uint16_t ports_tried;

  if (first == 0)
    first = lock_port_block ();
  for (;;)
    {
      uint16_t port
          = (uint16_t)(first + 1 + ports_tried % (PORTS_PER_BLOCK - 1));

      ports_tried++;
      if (is_port_free (port))
        return port;
    }
}

/* Calls. */

struct waiting_call
{
  GBytes *answer;
  bool done;
};

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  struct waiting_call *w = data;

  w->answer = soup_session_send_and_read_finish (SOUP_SESSION (source), result,
                                                 NULL);
  w->done = true;
}

char *
run_call (struct run *r, uint16_t port, const char *method, const char *path,
          const char *token, const char *body, guint *status)
{
  char *uri = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  SoupMessage *m = soup_message_new (method, uri);
  struct waiting_call w = { NULL, false };
  GCancellable *cancellable = g_cancellable_new ();
  int64_t deadline_ms = run_now_ms () + CALL_TIMEOUT_S * 1000;
  char *text = NULL;

  if (token != NULL)
    {
      char *bearer = g_strconcat ("Bearer ", token, NULL);

      soup_message_headers_append (soup_message_get_request_headers (m),
                                   "Authorization", bearer);
      g_free (bearer);
    }
  if (body != NULL)
    {
      GBytes *b = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (m, "application/json", b);
      g_bytes_unref (b);
    }
  soup_session_send_and_read_async (r->session, m, G_PRIORITY_DEFAULT,
                                    cancellable, on_answer, &w);
  while (!w.done)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (200);
      if (run_now_ms () > deadline_ms)
        g_cancellable_cancel (cancellable);
    }
  if (status != NULL)
    *status = w.answer == NULL ? 0 : soup_message_get_status (m);
  if (w.answer != NULL)
    {
      text = g_strndup (g_bytes_get_data (w.answer, NULL),
                        g_bytes_get_size (w.answer));
      g_bytes_unref (w.answer);
    }
  g_object_unref (cancellable);
  g_object_unref (m);
  g_free (uri);
  return text;
}

/* The platform. */

void
platform_start (struct run *r, char **words)
{
  GPtrArray *argv = g_ptr_array_new ();
  char *ready = g_build_filename (r->directory, "platform.port", NULL);
  char *port = NULL;
  GError *error = NULL;

  g_ptr_array_add (argv, r->standin);
  g_ptr_array_add (argv, "--ready");
  g_ptr_array_add (argv, ready);
  for (char **w = words; *w != NULL; w++)
    {
      char *option = g_strconcat ("--", *w, NULL);

      g_ptr_array_add (argv, option);
    }
  g_ptr_array_add (argv, NULL);
  r->platform = g_subprocess_newv ((const char *const *)argv->pdata,
                                   G_SUBPROCESS_FLAGS_NONE, &error);
  if (r->platform == NULL)
    run_abort (r, "%s", error->message);
  health_watch_process (r, NULL, r->platform);
  for (int i = 0; i < 500 && port == NULL; i++)
    {
      run_wait_ms (r, 20);
      g_file_get_contents (ready, &port, NULL, NULL);
    }
  if (port == NULL)
    run_abort (r, "the platform stand-in did not start");
  r->platform_port = (uint16_t)atoi (port);
  g_free (port);
  g_free (ready);
  g_ptr_array_unref (argv);
}

/* Nodes. */

struct node *
nodes_find (struct run *r, const char *name)
{
  for (int i = 0; i < r->n_nodes; i++)
    if (strcmp (r->nodes[i].name, name) == 0)
      return &r->nodes[i];
  run_abort (r, "no node is called %s", name);
  return NULL;
}

static char *
settings_path (const struct run *r, const struct node *n)
{
  char *file = g_strconcat (n->name, ".json", NULL);
  char *path = g_build_filename (r->directory, file, NULL);

  g_free (file);
  return path;
}

static void
write_settings (struct run *r, struct node *n)
{
  GString *text = g_string_new (NULL);
  char *path = settings_path (r, n);
  const char *separator = "";

  g_string_printf (text,
                   "{\"node\":\"%s\",\"zone\":\"zone-%d\",\n"
                   " \"callers\":{\"address\":\"127.0.0.1\",\"port\":%u},\n"
                   " \"admin\":{\"address\":\"127.0.0.1\",\"port\":%u},\n"
                   " \"peer\":{\"address\":\"127.0.0.1\",\"port\":%u},\n"
                   " \"platform\":{\"address\":\"127.0.0.1\",\"port\":%u},\n"
                   " \"admin_token\":\"%s\",\"peer_key\":\"%s\",\n"
                   " \"peers\":[",
                   n->name, (int)(n - r->nodes) % 4 + 1, n->callers_port,
                   n->admin_port, n->peer_port, n->platform_relay->port,
                   ADMIN_TOKEN, PEER_KEY);
  for (int i = 0; i < r->n_nodes; i++)
    {
      if (&r->nodes[i] == n)
        continue;
      g_string_append_printf (text,
                              "%s\n  {\"node\":\"%s\",\"address\":"
                              "\"127.0.0.1\",\"port\":%u}",
                              separator, r->nodes[i].name,
                              n->peer_relays[i]->port);
      separator = ",";
    }
  g_string_append (text, "]}\n");
  g_file_set_contents (path, text->str, -1, NULL);
  g_string_free (text, TRUE);
  g_free (path);
}

void
nodes_prepare (struct run *r, int count)
{
  r->n_nodes = count;
  for (int i = 0; i < count; i++)
    {
      struct node *n = &r->nodes[i];

      n->name = g_strdup_printf ("n%d", i + 1);
      n->callers_port = find_free_port ();
      n->admin_port = find_free_port ();
      n->peer_port = find_free_port ();
      n->platform_relay = relay_new (r->platform_port);
    }
  for (int i = 0; i < count; i++)
    {
      for (int k = 0; k < count; k++)
        if (k != i)
          r->nodes[i].peer_relays[k] = relay_new (r->nodes[k].peer_port);
      write_settings (r, &r->nodes[i]);
    }
}

void
node_start (struct run *r, struct node *n)
{
  char *path = settings_path (r, n);
  char *log = g_strconcat (path, ".log", NULL);
  GSubprocessLauncher *launcher;
  GError *error = NULL;

  if (n->process != NULL)
    run_abort (r, "%s runs already", n->name);
  launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_set_stderr_file_path (launcher, log);
  n->process = g_subprocess_launcher_spawn (launcher, &error, r->binary,
                                            "serve", "--settings", path, NULL);
  if (n->process == NULL)
    run_abort (r, "%s", error->message);
  health_watch_process (r, n, n->process);
  n->is_stopping = false;
  n->is_frozen = false;
  g_object_unref (launcher);
  g_free (log);
  g_free (path);
}

void
node_send_signal (struct run *r, struct node *n, int signal_number)
{
  if (n->process == NULL)
    run_abort (r, "%s does not run", n->name);
  g_subprocess_send_signal (n->process, signal_number);
  n->is_stopping = true;
  if (signal_number == SIGKILL)
    {
      g_subprocess_wait (n->process, NULL, NULL);
      g_clear_object (&n->process);
    }
}

static void
on_exited (GObject *source, GAsyncResult *result, gpointer data)
{
  g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL);
  *(bool *)data = true;
}

void
node_await_exit (struct run *r, struct node *n, int64_t within_ms)
{
  int64_t deadline_ms = run_now_ms () + within_ms;
  bool *done;

  if (n->process == NULL)
    return;
  done = g_new0 (bool, 1);
  g_subprocess_wait_async (n->process, NULL, on_exited, done);
  while (!*done && run_now_ms () < deadline_ms)
    run_wait_ms (r, 20);
  if (!*done)
    run_abort (r, "%s did not stop", n->name);
  g_clear_object (&n->process);
  g_free (done);
}

bool
node_is_ready (struct run *r, const struct node *n)
{
  guint status = 0;
  char *text
      = run_call (r, n->callers_port, "GET", "/readyz", NULL, NULL, &status);

  g_free (text);
  return status == 200;
}

void
nodes_await_ready (struct run *r, int64_t within_ms)
{
  int64_t deadline_ms = run_now_ms () + within_ms;

  for (int i = 0; i < r->n_nodes; i++)
    {
      const struct node *n = &r->nodes[i];

      if (n->process == NULL || n->is_frozen || n->is_stopping)
        continue;
      while (!node_is_ready (r, n))
        {
          if (run_now_ms () > deadline_ms)
            run_abort (r, "%s is not ready in time", n->name);
          run_wait_ms (r, 50);
        }
    }
}

void
nodes_set_links_cut (struct run *r, struct node *n, const char *what, bool cut)
{
  if (strcmp (what, "platform") == 0 || strcmp (what, "all") == 0)
    relay_set_cut (n->platform_relay, cut);
  if (strcmp (what, "peers") != 0 && strcmp (what, "all") != 0)
    return;
  for (int i = 0; i < r->n_nodes; i++)
    {
      if (&r->nodes[i] == n)
        continue;
      relay_set_cut (n->peer_relays[i], cut);
      relay_set_cut (r->nodes[i].peer_relays[n - r->nodes], cut);
    }
}

/* Kill *CHILD and wait for its exit.  GLib sends the signal from another
   thread, so the child would survive if this process exited at once. */
static void
kill_child (GSubprocess **child)
{
  if (*child == NULL)
    return;
  g_subprocess_force_exit (*child);
  g_subprocess_wait (*child, NULL, NULL);
  g_clear_object (child);
}

void
run_kill_children (struct run *r)
{
  for (int i = 0; i < r->n_nodes; i++)
    {
      r->nodes[i].is_stopping = true;
      kill_child (&r->nodes[i].process);
    }
  kill_child (&r->platform);
}
