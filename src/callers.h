#ifndef CALLERS_H
#define CALLERS_H

#include "counters.h"
#include "settings.h"
#include "task.h"

#include <stdint.h>

/* The task that serves the callers' HTTP API.  It reads each request, asks the
   core whether to run it, runs admitted requests on back ends and streams the
   answers back to the callers. */

/* A request or query number holds the number of the task that issued it from
   this bit up, and a counter of that task below. */
#define CALLERS_NUMBER_SHIFT 48
#define CALLERS_TASK_NUMBER 1

struct callers;

/* Create the task, not yet started.  SETTINGS, COUNTERS and CORE must outlive
   it.  INCARNATION is this node's; it makes Task-Id values unique. */
struct callers *callers_new (const struct settings *settings,
                             uint64_t incarnation, struct counters *counters,
                             struct task *core);

/* Return the task, for starting it and for posting messages to it.  CALLERS
   owns it. */
struct task *callers_task (struct callers *callers);

/* Stop the task and free CALLERS. */
void callers_destroy (struct callers *callers);

#endif
