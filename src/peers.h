#ifndef PEERS_H
#define PEERS_H

#include "counters.h"
#include "settings.h"
#include "task.h"

/* The task that exchanges messages with the other nodes over ZeroMQ.  Every
   message carries an HMAC-SHA256 made with the key that all nodes share; a
   message without a valid one is dropped. */

struct peers;

/* Create the task, not yet started.  SETTINGS, COUNTERS and CORE must outlive
   it. */
struct peers *peers_new (const struct settings *settings,
                         struct counters *counters, struct task *core);

/* Return the task, for starting it and for posting messages to it.  PEERS owns
   it. */
struct task *peers_task (struct peers *peers);

/* Stop the task and free PEERS. */
void peers_destroy (struct peers *peers);

#endif
