#include "event_log.h"

#include "clock.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Lines a second in the long run, and in a burst. */
#define LINES_PER_S 150
#define LINES_BURST 400
#define BUFFER_MAX_BYTES 262144

struct event_log_state
{
  const char *node;
  GString *buffer;
  double allowance; /* lines */
  int64_t refilled_ms;
  uint64_t dropped;
  uint64_t reported;
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
  state.allowance = LINES_BURST;
  state.refilled_ms = g_get_monotonic_time () / 1000;
}

static bool
take_allowance (void)
{
  int64_t now_ms = g_get_monotonic_time () / 1000;

  state.allowance
      = MIN (state.allowance
                 + (double)(now_ms - state.refilled_ms) * LINES_PER_S / 1000,
             LINES_BURST);
  state.refilled_ms = now_ms;
  if (state.allowance < 1 || state.buffer->len > BUFFER_MAX_BYTES)
    return false;
  state.allowance -= 1;
  return true;
}

static void
put_text (GString *out, const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (*c == '"' || *c == '\\')
      g_string_append_printf (out, "\\%c", *c);
    else
      g_string_append_c (out, (unsigned char)*c < 0x20 ? ' ' : *c);
}

void
event_log (const char *event, const char *subject, const char *format, ...)
{
  va_list args;
  char *detail;

  if (state.buffer == NULL)
    return;
  if (!take_allowance ())
    {
      state.dropped++;
      return;
    }
  va_start (args, format);
  detail = g_strdup_vprintf (format, args);
  va_end (args);
  g_string_append_printf (state.buffer,
                          "{\"t\":%" G_GINT64_FORMAT
                          ",\"node\":\"%s\",\"event\":\"%s\",\"subject\":\"",
                          clock_wall_ms (), state.node, event);
  put_text (state.buffer, subject);
  g_string_append (state.buffer, "\",\"detail\":\"");
  put_text (state.buffer, detail);
  if (state.dropped > state.reported)
    {
      g_string_append_printf (
          state.buffer, "\",\"dropped\":\"%" G_GUINT64_FORMAT, state.dropped);
      state.reported = state.dropped;
    }
  g_string_append (state.buffer, "\"}\n");
  g_free (detail);
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
  return state.dropped;
}
