#ifndef LOGGING_H
#define LOGGING_H

#include <glib.h>
#include <stdbool.h>

/* Logs on standard error, by GLib's structured logging: one line of text or
   JSON for each change of state. */

/* Set up the logs: JSON or text, with or without debug messages.  Call it
   once, before any thread starts. */
void logging_set_up (bool json, bool debug);

/* Log EVENT, a change of NODE's state, with a message by FORMAT.  In JSON,
   NODE and EVENT are fields of their own. */
void logging_state (const char *node, const char *event, const char *format,
                    ...) G_GNUC_PRINTF (3, 4);

/* Log MESSAGE, which names the remedy, and exit with
   EXIT_STATUS_UNREACHABLE.  For errors with which the node cannot start. */
void logging_fatal (const char *message) G_GNUC_NORETURN;

#endif
