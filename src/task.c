#include "task.h"

#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#define MESSAGES_PER_TURN 64

struct task
{
  char *name;
  const struct task_functions *functions;
  void *data;
  GThread *thread;
  GMainContext *context;
  GMainLoop *loop;
  GAsyncQueue *mail;
  clockid_t cpu_clock;
  _Atomic bool runs; /* the clock above is set */
};

struct mail_source
{
  GSource source;
  struct task *task;
};

static gboolean
mail_is_ready (const struct mail_source *s)
{
  return g_async_queue_length (s->task->mail) > 0;
}

static gboolean
mail_prepare (GSource *source, gint *timeout)
{
  *timeout = -1;
  return mail_is_ready ((struct mail_source *)source);
}

static gboolean
mail_check (GSource *source)
{
  return mail_is_ready ((struct mail_source *)source);
}

static gboolean
mail_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct task *t = ((struct mail_source *)source)->task;

  for (int i = 0; i < MESSAGES_PER_TURN; i++)
    {
      struct message *m = g_async_queue_try_pop (t->mail);

      if (m == NULL)
        break;
      t->functions->handle (t->data, m);
    }
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs mail_functions
    = { mail_prepare, mail_check, mail_dispatch, NULL, NULL, NULL };

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
  t->mail = g_async_queue_new_full (destroy_message);
  return t;
}

static gpointer
run (gpointer data)
{
  struct task *t = data;
  GSource *source;

  pthread_getcpuclockid (pthread_self (), &t->cpu_clock);
  atomic_store (&t->runs, true);
  g_main_context_push_thread_default (t->context);
  source = g_source_new (&mail_functions, sizeof (struct mail_source));
  ((struct mail_source *)source)->task = t;
  g_source_attach (source, t->context);
  t->functions->start (t->data);
  g_main_loop_run (t->loop);
  t->functions->stop (t->data);
  g_source_destroy (source);
  g_source_unref (source);
  g_main_context_pop_thread_default (t->context);
  atomic_store (&t->runs, false);
  return NULL;
}

void
task_start (struct task *task)
{
  task->thread = g_thread_new (task->name, run, task);
}

void
task_post (struct task *task, struct message *message)
{
  g_async_queue_push (task->mail, message);
  g_main_context_wakeup (task->context);
}

uint64_t
task_cpu_us (const struct task *task)
{
  struct timespec used;

  if (!atomic_load (&task->runs)
      || clock_gettime (task->cpu_clock, &used) != 0)
    return 0;
  return (uint64_t)used.tv_sec * 1000000 + (uint64_t)used.tv_nsec / 1000;
}

static gboolean
quit (gpointer data)
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
  /* As a source, so that it works also before the loop runs. */
  source = g_idle_source_new ();
  g_source_set_callback (source, quit, task->loop, NULL);
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
  g_async_queue_unref (task->mail);
  g_main_loop_unref (task->loop);
  g_main_context_unref (task->context);
  g_free (task->name);
  g_free (task);
}
