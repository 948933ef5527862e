#ifndef LOGGING_H
#define LOGGING_H

#include <glib.h>
#include <stdbool.h>

/* Logs on standard error, by GLib's structured logging: text or JSON lines,
   one for each change of state. */

/* Set the form of the logs.  Called once, before any thread starts. */
void logging_set_up (bool json, bool debug);

/* Log that EVENT, a change of NODE's state, has happened.  Both go out as
   fields of their own; the rest is the message in plain words. */
void logging_state (const char *node, const char *event, const char *format,
                    ...) G_GNUC_PRINTF (3, 4);

/* Log MESSAGE, which says what to do, and end the process with the status for
   "unreachable".  For what makes it useless to start. */
void logging_fatal (const char *message) G_GNUC_NORETURN;

#endif
