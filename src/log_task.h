#ifndef LOG_TASK_H
#define LOG_TASK_H

#include "counters.h"
#include "settings.h"
#include "task.h"

/* The task that talks to the platform: it reads the log and the VM list,
   appends records in batches, and sends orders for VMs. */

struct log_task;

/* Create the task; it posts what it reads to CORE.  SETTINGS, COUNTERS and
   CORE have to outlive it. */
struct log_task *log_task_new (const struct settings *settings,
                               struct counters *counters, struct task *core);

/* Return the struct task, to start it and to post messages to it. */
struct task *log_task_task (struct log_task *log_task);

/* Destroy the task, and the records that are not appended yet. */
void log_task_destroy (struct log_task *log_task);

#endif
