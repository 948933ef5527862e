#include "trace.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <string.h>

static const char *const kind_names[TRACE_KIND_COUNT] = {
  [TRACE_VM] = "vm",
  [TRACE_REQUEST] = "request",
  [TRACE_CANCEL] = "cancel",
  [TRACE_VM_FAILS] = "vm-fails",
  [TRACE_VM_BREAKS] = "vm-breaks",
  [TRACE_DRAIN] = "drain",
  [TRACE_MAINTAIN] = "maintain",
  [TRACE_OUTAGE] = "outage",
  [TRACE_BURST] = "burst",
};

GArray *
trace_new (void)
{
  return g_array_new (FALSE, TRUE, sizeof (struct trace_event));
}

static gint
compare_events (gconstpointer a, gconstpointer b)
{
  const struct trace_event *x = a;
  const struct trace_event *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  if (x->kind != y->kind)
    return x->kind < y->kind ? -1 : 1;
  return x->request < y->request ? -1 : x->request > y->request;
}

void
trace_sort (GArray *trace)
{
  g_array_sort (trace, compare_events);
}

static void
put_text (GString *s, const char *name, const char *value)
{
  if (value != NULL)
    g_string_append_printf (s, ",\"%s\":\"%s\"", name, value);
}

static void
put_number (GString *s, const char *name, int64_t value)
{
  if (value != 0)
    g_string_append_printf (s, ",\"%s\":%" G_GINT64_FORMAT, name,
                            (gint64)value);
}

void
trace_write (const GArray *trace, FILE *file)
{
  GString *s = g_string_new ("");

  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *e
          = &g_array_index (trace, struct trace_event, i);

      g_string_printf (s, "{\"at_ms\":%" G_GINT64_FORMAT ",\"event\":\"%s\"",
                       (gint64)e->at_ms, kind_names[e->kind]);
      put_number (s, "request", (int64_t)e->request);
      put_text (s, "service", e->service);
      put_text (s, "class", e->class_name);
      put_text (s, "team", e->team);
      put_number (s, "declared_run_ms", e->declared_run_ms);
      put_number (s, "run_ms", e->run_ms);
      put_number (s, "declared_bytes", (int64_t)e->declared_bytes);
      put_number (s, "bytes", (int64_t)e->bytes);
      put_text (s, "vm", e->vm);
      put_text (s, "pool", e->pool);
      put_text (s, "zone", e->zone);
      put_text (s, "rack", e->rack);
      put_number (s, "slots", e->slots);
      put_number (s, "for_ms", e->for_ms);
      fprintf (file, "%s}\n", s->str);
    }
  g_string_free (s, TRUE);
}

static const char *
get_text (JsonObject *o, const char *name)
{
  return g_intern_string (
      json_object_get_string_member_with_default (o, name, NULL));
}

static int64_t
get_number (JsonObject *o, const char *name)
{
  return json_object_get_int_member_with_default (o, name, 0);
}

static bool
read_event (JsonObject *o, struct trace_event *e)
{
  const char *kind = get_text (o, "event");
  int k = 0;

  while (k < TRACE_KIND_COUNT && g_strcmp0 (kind, kind_names[k]) != 0)
    k++;
  if (k == TRACE_KIND_COUNT)
    return false;
  e->kind = (enum trace_kind)k;
  e->at_ms = get_number (o, "at_ms");
  e->for_ms = get_number (o, "for_ms");
  e->vm = get_text (o, "vm");
  e->pool = get_text (o, "pool");
  e->zone = get_text (o, "zone");
  e->rack = get_text (o, "rack");
  e->service = get_text (o, "service");
  e->class_name = get_text (o, "class");
  e->team = get_text (o, "team");
  e->request = (uint64_t)get_number (o, "request");
  e->declared_run_ms = get_number (o, "declared_run_ms");
  e->run_ms = get_number (o, "run_ms");
  e->declared_bytes = (uint64_t)get_number (o, "declared_bytes");
  e->bytes = (uint64_t)get_number (o, "bytes");
  e->slots = (uint32_t)get_number (o, "slots");
  return true;
}

static bool
read_line (const char *line, JsonParser *parser, struct trace_event *e)
{
  JsonNode *root;

  if (!json_parser_load_from_data (parser, line, -1, NULL))
    return false;
  root = json_parser_get_root (parser);
  return root != NULL && JSON_NODE_HOLDS_OBJECT (root)
         && read_event (json_node_get_object (root), e);
}

GArray *
trace_read (const char *filename, GError **error)
{
  JsonParser *parser;
  GArray *trace;
  char *text;
  char **lines;
  bool is_valid = true;

  if (!g_file_get_contents (filename, &text, NULL, error))
    return NULL;
  parser = json_parser_new ();
  trace = trace_new ();
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; is_valid && lines[i] != NULL; i++)
    {
      struct trace_event e = { 0 };

      if (lines[i][0] == '\0')
        continue;
      is_valid = read_line (lines[i], parser, &e);
      if (is_valid)
        g_array_append_val (trace, e);
      else
        g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA,
                     "%s:%u: not a trace event; see docs/TRACES.md", filename,
                     i + 1);
    }
  g_strfreev (lines);
  g_free (text);
  g_object_unref (parser);
  if (!is_valid)
    g_clear_pointer (&trace, g_array_unref);
  else
    trace_sort (trace);
  return trace;
}
