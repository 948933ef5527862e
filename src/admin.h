#ifndef ADMIN_H
#define ADMIN_H

#include "counters.h"
#include "settings.h"
#include "task.h"

/* The task that serves the operators' HTTP API, /admin/v1/ and /metrics, on an
   address of its own.  Every request must carry the admin token. */

/* The task's number in its query numbers; see CALLERS_NUMBER_SHIFT. */
#define ADMIN_TASK_NUMBER 2

struct admin;

/* Create the task, not yet started.  SETTINGS, COUNTERS and CORE must outlive
   it. */
struct admin *admin_new (const struct settings *settings,
                         struct counters *counters, struct task *core);

/* Return the task, for starting it and for posting messages to it.  ADMIN owns
   it. */
struct task *admin_task (struct admin *admin);

/* Stop the task and free ADMIN. */
void admin_destroy (struct admin *admin);

#endif
