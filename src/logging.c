#include "logging.h"

#include "exit_status.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct logging_options
{
  bool json;
  bool debug;
};

static struct logging_options logging_options;

static const char *
level_name (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_ERROR)
    return "error";
  if (level & G_LOG_LEVEL_CRITICAL)
    return "critical";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  return "info";
}

static char *
field_text (const GLogField *field)
{
  if (field->length < 0)
    return g_utf8_make_valid (field->value, -1);
  return g_utf8_make_valid (field->value, field->length);
}

static bool
is_logged_field (const char *key)
{
  return strcmp (key, "PRIORITY") != 0 && strncmp (key, "CODE_", 5) != 0;
}

static char *
render_json (const char *level, const char *time, const GLogField *fields,
             gsize n)
{
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "time");
  json_builder_add_string_value (b, time);
  json_builder_set_member_name (b, "level");
  json_builder_add_string_value (b, level);
  for (gsize i = 0; i < n; i++)
    {
      char *name;
      char *value;

      if (!is_logged_field (fields[i].key))
        continue;
      name = g_ascii_strdown (fields[i].key, -1);
      value = field_text (&fields[i]);
      json_builder_set_member_name (b, name);
      json_builder_add_string_value (b, value);
      g_free (name);
      g_free (value);
    }
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (b);
  return text;
}

static char *
render_text (const char *level, const char *time, const GLogField *fields,
             gsize n)
{
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      {
        char *message = field_text (&fields[i]);
        char *text = g_strdup_printf ("%s %s %s", time, level, message);

        g_free (message);
        return text;
      }
  return g_strdup_printf ("%s %s", time, level);
}

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer data)
{
  GDateTime *now;
  char *time;
  char *line;

  if ((level & G_LOG_LEVEL_DEBUG) && !logging_options.debug)
    return G_LOG_WRITER_HANDLED;
  now = g_date_time_new_now_utc ();
  time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%SZ");
  if (logging_options.json)
    line = render_json (level_name (level), time, fields, n);
  else
    line = render_text (level_name (level), time, fields, n);
  fprintf (stderr, "%s\n", line);
  g_free (line);
  g_free (time);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

void
logging_set_up (bool json, bool debug)
{
  logging_options.json = json;
  logging_options.debug = debug;
  g_log_set_writer_func (write_log, NULL, NULL);
}

void
logging_state (const char *node, const char *event, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "NODE", node, "EVENT",
                    event, "MESSAGE", "%s", text);
  g_free (text);
}

void
logging_fatal (const char *message)
{
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_CRITICAL, "MESSAGE", "%s",
                    message);
  _exit (EXIT_STATUS_UNREACHABLE);
}
