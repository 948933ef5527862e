#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Event log on standard output: one JSON object per line, with the Unix time
   in milliseconds, the node, the event, its subject (a request, task, worker,
   cell) and "name=value" details.  Lines above the maximum rate, and lines
   that do not fit the buffer while the pipe is full, are dropped and counted.
   Writing never blocks. */

/* Set up the log for NODE, which is not copied and has to outlive the log. */
void event_log_set_up (const char *node);

/* Buffer a line for EVENT of SUBJECT with details by FORMAT, "name=value"
   pairs as a rule.  Has no effect before event_log_set_up. */
void event_log (const char *event, const char *subject, const char *format,
                ...) G_GNUC_PRINTF (3, 4);

/* The same for what each request or task causes: such lines leave half of a
   burst to others, so that a busy node does not drop its changes of state. */
void event_log_routine (const char *event, const char *subject,
                        const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Note an occurrence at NOW_MS of what may occur often.  *LAST_MS, 0 at first,
   is when it occurred last.  Return whether it begins a series, of which only
   the first is logged: it had not occurred for EVENT_SERIES_GAP_MS. */
bool event_log_begins_series (int64_t *last_ms, int64_t now_ms);
#define EVENT_SERIES_GAP_MS 60000

/* Write the buffered lines, as far as the pipe accepts them without
   blocking. */
void event_log_flush (void);

/* Return the number of lines dropped so far. */
uint64_t event_log_dropped (void);

#endif
