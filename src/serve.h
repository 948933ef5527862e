#ifndef SERVE_H
#define SERVE_H

#include "settings.h"

/* A node that serves callers: it starts the node's tasks and passes messages
   between them. */

/* Run a node with SETTINGS until SIGTERM or SIGINT, then stop gracefully.
   Return the exit status of the process. */
int serve_run (const struct settings *settings);

#endif
