#include "config_draft.h"

#include <string.h>

static void
entry_destroy (gpointer p)
{
  struct config_entry *e = p;

  for (int i = 0; i < CONFIG_MEMBERS; i++)
    g_free (e->values[i].text);
  g_ptr_array_unref (e->keys);
  g_free (e->place);
  g_free (e);
}

struct config_draft *
config_draft_new (const struct config_words *words)
{
  struct config_draft *d = g_new0 (struct config_draft, 1);

  d->words = words;
  d->version = -1;
  for (int i = 0; i < CONFIG_SECTIONS; i++)
    d->sections[i] = g_ptr_array_new_with_free_func (entry_destroy);
  return d;
}

void
config_draft_destroy (struct config_draft *draft)
{
  if (draft == NULL)
    return;
  for (int i = 0; i < CONFIG_SECTIONS; i++)
    g_ptr_array_unref (draft->sections[i]);
  g_free (draft);
}

struct config_entry *
config_draft_add (struct config_draft *draft, enum config_section section,
                  char *place)
{
  struct config_entry *e = g_new0 (struct config_entry, 1);

  e->words = draft->words;
  e->place = place;
  e->keys = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (draft->sections[section], e);
  return e;
}

const struct config_entry *
config_draft_find (const struct config_draft *draft,
                   enum config_section section, const char *name)
{
  const GPtrArray *entries = draft->sections[section];

  for (guint i = 0; i < entries->len; i++)
    {
      const struct config_entry *e = g_ptr_array_index (entries, i);

      if (g_strcmp0 (e->values[CONFIG_NAME].text, name) == 0)
        return e;
    }
  return NULL;
}

static void
finding_destroy (gpointer p)
{
  struct config_finding *f = p;

  g_free (f->place);
  g_free (f->text);
  g_free (f);
}

GPtrArray *
config_findings_new (void)
{
  return g_ptr_array_new_with_free_func (finding_destroy);
}

/* Return TEXT, in which '?' now stands for control characters, so that a name
   from the file can't break its line or control a terminal. */
static char *
replace_control_characters (char *text)
{
  for (char *c = text; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
  return text;
}

static void
add_finding (GPtrArray *findings, enum config_severity severity, char *place,
             char *text)
{
  struct config_finding *f = g_new0 (struct config_finding, 1);

  f->severity = severity;
  f->place = replace_control_characters (place);
  f->text = replace_control_characters (text);
  g_ptr_array_add (findings, f);
}

void
config_findings_add (GPtrArray *findings, enum config_severity severity,
                     const char *place, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  add_finding (findings, severity, g_strdup (place),
               g_strdup_vprintf (format, args));
  va_end (args);
}

void
config_findings_add_at (GPtrArray *findings, enum config_severity severity,
                        const struct config_entry *entry,
                        enum config_member member, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  add_finding (
      findings, severity,
      g_strdup_printf ("%s.%s", entry->place, entry->words->members[member]),
      g_strdup_vprintf (format, args));
  va_end (args);
}

guint
config_findings_count (const GPtrArray *findings,
                       enum config_severity severity)
{
  guint n = 0;

  for (guint i = 0; i < findings->len; i++)
    {
      const struct config_finding *f = g_ptr_array_index (findings, i);

      n += f->severity == severity;
    }
  return n;
}

char *
config_findings_to_text (const GPtrArray *findings)
{
  static const char *const names[] = { "error", "warning", "change" };
  GString *text = g_string_new (NULL);

  for (int severity = CONFIG_ERROR; severity <= CONFIG_CHANGE; severity++)
    for (guint i = 0; i < findings->len; i++)
      {
        const struct config_finding *f = g_ptr_array_index (findings, i);

        if ((int)f->severity == severity)
          g_string_append_printf (text, "%s: %s: %s\n", names[severity],
                                  f->place, f->text);
      }
  return g_string_free (text, FALSE);
}
