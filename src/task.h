#ifndef TASK_H
#define TASK_H

#include "message.h"

#include <glib.h>

/* A task: one thread with a main context of its own, which owns its sockets
   and state and hears from others by messages only. */

struct task;

struct task_functions
{
  /* Called in the task's thread before the first message. */
  void (*start) (void *data);
  /* Called for each message, which it owns. */
  void (*handle) (void *data, struct message *message);
  /* Called in the task's thread after the last message. */
  void (*stop) (void *data);
};

/* Create a task named NAME; it does not run yet. */
struct task *task_new (const char *name,
                       const struct task_functions *functions, void *data);

/* Start the task's thread. */
void task_start (struct task *task);

/* Hand MESSAGE to TASK, which owns it from now on.  Any thread may call. */
void task_post (struct task *task, struct message *message);

/* Return the processor time that the thread has used, in microseconds. */
uint64_t task_cpu_us (const struct task *task);

/* Stop the thread and wait for it; messages may still be posted, and are
   dropped. */
void task_stop (struct task *task);

/* Destroy the task, stopped first if it still runs. */
void task_destroy (struct task *task);

#endif
