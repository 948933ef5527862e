#ifndef TASK_H
#define TASK_H

#include "message.h"

#include <glib.h>

/* A task: one thread with its own GMainContext.  It owns its sockets and its
   state; other threads reach it only by messages. */

struct task;

struct task_functions
{
  /* Called in the task's thread before the first message. */
  void (*start) (void *data);
  /* Called in the task's thread for each message; takes ownership of it. */
  void (*handle) (void *data, struct message *message);
  /* Called in the task's thread after the last message. */
  void (*stop) (void *data);
};

/* Create a task named NAME that calls FUNCTIONS with DATA; task_start starts
   it.  Both have to outlive the task; NAME is copied. */
struct task *task_new (const char *name,
                       const struct task_functions *functions, void *data);

/* Start the task's thread. */
void task_start (struct task *task);

/* Queue MESSAGE for TASK, which takes ownership of it.  Any thread may call
   this. */
void task_post (struct task *task, struct message *message);

/* Return the processor time that the task's thread has used, in microseconds;
   0 while it does not run. */
uint64_t task_cpu_us (const struct task *task);

/* Stop the thread and wait for it to end.  Messages may still be posted; they
   are not handled, and task_destroy destroys them. */
void task_stop (struct task *task);

/* Destroy the task; stop it first if it still runs. */
void task_destroy (struct task *task);

#endif
