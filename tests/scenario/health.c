#include "scenario.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Health checks of a run: no process exits unasked, no node logs a sanitizer
   report or a critical line, and the run ends within its time limit. */

#define MAX_CHILDREN 256

static volatile pid_t children[MAX_CHILDREN];
static volatile int n_children;
static const char *volatile current_line = "";

/* Texts that must not occur in a node's log. */
static const char *const error_patterns[]
    = { "ERROR: AddressSanitizer", "runtime error:", " critical ",
        "\"level\":\"critical\"" };

static void
on_alarm (int signal_number)
{
  static const char text[] = "\nthe run takes too long; it is at: ";
  ssize_t written = write (STDOUT_FILENO, text, sizeof text - 1);

  written += write (STDOUT_FILENO, current_line, strlen (current_line));
  written += write (STDOUT_FILENO, "\n", 1);
  for (int i = 0; i < n_children; i++)
    if (children[i] != 0)
      kill (children[i], SIGKILL);
  _exit (written > 0 ? 1 : 3);
}

void
health_set_time_limit (guint within_s)
{
  signal (SIGALRM, on_alarm);
  alarm (within_s);
}

void
health_set_current_line (const char *line)
{
  current_line = line;
}

/* Remove PID, which has exited and was waited for: the system may give its
   process ID to another process, which on_alarm must not kill. */
static void
remove_child (pid_t pid)
{
  for (int i = 0; i < n_children; i++)
    if (children[i] == pid)
      children[i] = 0;
}

struct watched_process
{
  struct run *run;
  struct node *node;
  pid_t pid;
};

static void
on_exited (GObject *source, GAsyncResult *result, gpointer data)
{
  struct watched_process *w = data;
  GSubprocess *p = G_SUBPROCESS (source);

  g_subprocess_wait_finish (p, result, NULL);
  remove_child (w->pid);
  if (w->node != NULL && w->node->process == p && !w->node->is_stopping)
    {
      printf ("  %s ended by itself\n", w->node->name);
      w->run->has_failed = true;
    }
  g_free (w);
}

void
health_watch_process (struct run *r, struct node *n, GSubprocess *process)
{
  struct watched_process *w = g_new0 (struct watched_process, 1);
  const char *pid = g_subprocess_get_identifier (process);

  w->run = r;
  w->node = n;
  w->pid = pid == NULL ? 0 : (pid_t)g_ascii_strtoll (pid, NULL, 10);
  if (n_children < MAX_CHILDREN)
    children[n_children++] = w->pid;
  g_subprocess_wait_async (process, NULL, on_exited, w);
}

static bool
log_is_clean (const char *path)
{
  char *text = NULL;
  bool clean = true;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return true;
  for (gsize i = 0; clean && i < G_N_ELEMENTS (error_patterns); i++)
    clean = strstr (text, error_patterns[i]) == NULL;
  g_free (text);
  return clean;
}

void
health_check_logs (struct run *r)
{
  GDir *dir = g_dir_open (r->directory, 0, NULL);
  const char *file;

  while (dir != NULL && (file = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (r->directory, file, NULL);

      if (g_str_has_suffix (file, ".log") && !log_is_clean (path))
        {
          printf ("  %s holds a report of an error\n", path);
          r->has_failed = true;
        }
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
}

void
health_remove_directory (struct run *r)
{
  GDir *dir;
  const char *file;

  if (r->has_failed)
    {
      fprintf (stderr, "the logs of the nodes are in %s\n", r->directory);
      return;
    }
  dir = g_dir_open (r->directory, 0, NULL);
  while (dir != NULL && (file = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (r->directory, file, NULL);

      g_unlink (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (r->directory);
}
