#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Structured logs on standard output: one JSON object a line, with the Unix
   time, the node, the event, its subject (a request, task, worker, cell) and
   "name=value" inputs.  Lines above the rate, or that a full pipe does not
   take, are dropped and counted; writing never blocks. */

/* Set up the log for NODE, which has to live as long as the log is used. */
void event_log_set_up (const char *node);

void event_log (const char *event, const char *subject, const char *format,
                ...) G_GNUC_PRINTF (3, 4);

/* Write out what is buffered, as far as the pipe takes it. */
void event_log_flush (void);

/* Return how many lines were dropped so far. */
uint64_t event_log_dropped (void);

#endif
