#include "task.h"

#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

/* Maximum number of messages handled in one dispatch; the context's other
   sources run between dispatches. */
#define MAX_MESSAGES_PER_DISPATCH 64

struct task
{
  char *name;
  const struct task_functions *functions;
  void *data;
  GThread *thread;
  GMainContext *context;
  GMainLoop *loop;
  GAsyncQueue *messages; /* struct message *, posted and not yet handled */
  clockid_t cpu_clock;
  _Atomic bool is_running; /* the thread runs, so cpu_clock is valid */
};

struct message_source
{
  GSource source;
  struct task *task;
};

static gboolean
has_messages (const struct message_source *s)
{
  return g_async_queue_length (s->task->messages) > 0;
}

static gboolean
message_source_prepare (GSource *source, gint *timeout)
{
  *timeout = -1;
  return has_messages ((struct message_source *)source);
}

static gboolean
message_source_check (GSource *source)
{
  return has_messages ((struct message_source *)source);
}

static gboolean
message_source_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct task *t = ((struct message_source *)source)->task;

  for (int i = 0; i < MAX_MESSAGES_PER_DISPATCH; i++)
    {
      struct message *m = g_async_queue_try_pop (t->messages);

      if (m == NULL)
        break;
      t->functions->handle (t->data, m);
    }
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs message_source_functions = { message_source_prepare,
                                                 message_source_check,
                                                 message_source_dispatch,
                                                 NULL,
                                                 NULL,
                                                 NULL };

static void
destroy_message (gpointer p)
{
  message_destroy (p);
}

struct task *
task_new (const char *name, const struct task_functions *functions, void *data)
{
  struct task *t = g_new0 (struct task, 1);

  t->name = g_strdup (name);
  t->functions = functions;
  t->data = data;
  t->context = g_main_context_new ();
  t->loop = g_main_loop_new (t->context, FALSE);
  t->messages = g_async_queue_new_full (destroy_message);
  return t;
}

static gpointer
run_thread (gpointer data)
{
  struct task *t = data;
  GSource *source;

  pthread_getcpuclockid (pthread_self (), &t->cpu_clock);
  atomic_store (&t->is_running, true);
  g_main_context_push_thread_default (t->context);
  source = g_source_new (&message_source_functions,
                         sizeof (struct message_source));
  ((struct message_source *)source)->task = t;
  g_source_attach (source, t->context);
  t->functions->start (t->data);
  g_main_loop_run (t->loop);
  t->functions->stop (t->data);
  g_source_destroy (source);
  g_source_unref (source);
  g_main_context_pop_thread_default (t->context);
  atomic_store (&t->is_running, false);
  return NULL;
}

void
task_start (struct task *task)
{
  task->thread = g_thread_new (task->name, run_thread, task);
}

void
task_post (struct task *task, struct message *message)
{
  g_async_queue_push (task->messages, message);
  g_main_context_wakeup (task->context);
}

uint64_t
task_cpu_us (const struct task *task)
{
  struct timespec used;

  if (!atomic_load (&task->is_running)
      || clock_gettime (task->cpu_clock, &used) != 0)
    return 0;
  return (uint64_t)used.tv_sec * 1000000 + (uint64_t)used.tv_nsec / 1000;
}

static gboolean
quit_loop (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

void
task_stop (struct task *task)
{
  GSource *source;

  if (task->thread == NULL)
    return;
  /* g_main_loop_quit has no effect before the loop runs, so an idle source
     of the task's context calls it. */
  source = g_idle_source_new ();
  g_source_set_callback (source, quit_loop, task->loop, NULL);
  g_source_attach (source, task->context);
  g_source_unref (source);
  g_thread_join (task->thread);
  task->thread = NULL;
}

void
task_destroy (struct task *task)
{
  if (task == NULL)
    return;
  task_stop (task);
  g_async_queue_unref (task->messages);
  g_main_loop_unref (task->loop);
  g_main_context_unref (task->context);
  g_free (task->name);
  g_free (task);
}
