#include "event_log.h"

#include "clock.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Token bucket of the line rate: refill rate, lines in a burst, and those of
   the burst that routine lines leave to others. */
#define LINES_PER_S 150
#define LINES_BURST 400
#define LINES_RESERVE 200
/* Size of the buffer above which no more lines are added. */
#define BUFFER_MAX_BYTES 262144

struct event_log_state
{
  const char *node;
  GString *buffer;
  double line_tokens;     /* lines that may be logged now */
  int64_t refilled_at_ms; /* when line_tokens was last refilled */
  uint64_t n_dropped;     /* lines dropped so far */
  uint64_t n_reported;    /* n_dropped as of the last line that reported it */
};

static struct event_log_state state;

void
event_log_set_up (const char *node)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  state.node = node;
  if (state.buffer == NULL)
    state.buffer = g_string_new (NULL);
  state.line_tokens = LINES_BURST;
  state.refilled_at_ms = g_get_monotonic_time () / 1000;
}

/* Refill the token bucket and take one token, unless that leaves less than
   RESERVE.  Return whether a line may be logged. */
static bool
take_line_token (double reserve)
{
  int64_t now_ms = g_get_monotonic_time () / 1000;

  state.line_tokens = MIN (state.line_tokens
                               + (double)(now_ms - state.refilled_at_ms)
                                     * LINES_PER_S / 1000,
                           LINES_BURST);
  state.refilled_at_ms = now_ms;
  if (state.line_tokens < 1 + reserve || state.buffer->len > BUFFER_MAX_BYTES)
    return false;
  state.line_tokens -= 1;
  return true;
}

/* Append TEXT to OUT as the inside of a JSON string, control characters as
   blanks. */
static void
append_json_text (GString *out, const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (*c == '"' || *c == '\\')
      g_string_append_printf (out, "\\%c", *c);
    else
      g_string_append_c (out, (unsigned char)*c < 0x20 ? ' ' : *c);
}

static void
log_line (const char *event, const char *subject, const char *format,
          va_list args)
{
  char *details = g_strdup_vprintf (format, args);

  g_string_append_printf (state.buffer,
                          "{\"t\":%" G_GINT64_FORMAT
                          ",\"node\":\"%s\",\"event\":\"%s\",\"subject\":\"",
                          clock_wall_ms (), state.node, event);
  append_json_text (state.buffer, subject);
  g_string_append (state.buffer, "\",\"detail\":\"");
  append_json_text (state.buffer, details);
  if (state.n_dropped > state.n_reported)
    {
      g_string_append_printf (state.buffer,
                              "\",\"dropped\":\"%" G_GUINT64_FORMAT,
                              state.n_dropped);
      state.n_reported = state.n_dropped;
    }
  g_string_append (state.buffer, "\"}\n");
  g_free (details);
}

static void
log_if_allowed (double reserve, const char *event, const char *subject,
                const char *format, va_list args)
{
  if (state.buffer == NULL)
    return;
  if (take_line_token (reserve))
    log_line (event, subject, format, args);
  else
    state.n_dropped++;
}

void
event_log (const char *event, const char *subject, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  log_if_allowed (0, event, subject, format, args);
  va_end (args);
}

void
event_log_routine (const char *event, const char *subject, const char *format,
                   ...)
{
  va_list args;

  va_start (args, format);
  log_if_allowed (LINES_RESERVE, event, subject, format, args);
  va_end (args);
}

bool
event_log_begins_series (int64_t *last_ms, int64_t now_ms)
{
  int64_t before_ms = *last_ms;

  *last_ms = now_ms;
  return before_ms == 0 || now_ms > before_ms + EVENT_SERIES_GAP_MS;
}

void
event_log_flush (void)
{
  gssize n;

  if (state.buffer == NULL || state.buffer->len == 0)
    return;
  n = write (STDOUT_FILENO, state.buffer->str, state.buffer->len);
  if (n > 0)
    g_string_erase (state.buffer, 0, n);
}

uint64_t
event_log_dropped (void)
{
  return state.n_dropped;
}
