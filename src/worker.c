#include "worker.h"

#include <string.h>

struct worker_entry *
worker_entry_new (const char *id)
{
  struct worker_entry *e = g_new0 (struct worker_entry, 1);

  e->id = g_strdup (id);
  e->address = g_strdup ("");
  e->service = g_strdup ("");
  e->rack = g_strdup ("");
  e->labels = g_ptr_array_new_with_free_func (g_free);
  return e;
}

struct worker_entry *
worker_entry_copy (const struct worker_entry *entry)
{
  struct worker_entry *e = g_memdup2 (entry, sizeof *entry);

  e->id = g_strdup (entry->id);
  e->address = g_strdup (entry->address);
  e->service = g_strdup (entry->service);
  e->rack = g_strdup (entry->rack);
  e->labels = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < entry->labels->len; i++)
    g_ptr_array_add (e->labels,
                     g_strdup (g_ptr_array_index (entry->labels, i)));
  return e;
}

void
worker_entry_destroy (gpointer entry)
{
  struct worker_entry *e = entry;

  if (e == NULL)
    return;
  g_free (e->id);
  g_free (e->address);
  g_free (e->service);
  g_free (e->rack);
  g_ptr_array_unref (e->labels);
  g_free (e);
}

bool
worker_entry_has_label (const struct worker_entry *entry, const char *label)
{
  for (guint i = 0; i < entry->labels->len; i++)
    if (strcmp (g_ptr_array_index (entry->labels, i), label) == 0)
      return true;
  return false;
}

static void
clear_worker_run (gpointer p)
{
  struct worker_run *r = p;

  g_free (r->task);
  g_free (r->checkpoint);
}

static void
clear_worker_end (gpointer p)
{
  struct worker_end *e = p;

  g_free (e->task);
  g_free (e->checkpoint);
}

struct worker_report *
worker_report_new (void)
{
  struct worker_report *r = g_new0 (struct worker_report, 1);

  r->runs = g_array_new (FALSE, TRUE, sizeof (struct worker_run));
  g_array_set_clear_func (r->runs, clear_worker_run);
  r->ends = g_array_new (FALSE, TRUE, sizeof (struct worker_end));
  g_array_set_clear_func (r->ends, clear_worker_end);
  return r;
}

void
worker_report_destroy (struct worker_report *report)
{
  if (report == NULL)
    return;
  g_array_unref (report->runs);
  g_array_unref (report->ends);
  g_free (report);
}

static void
clear_worker_ticket (gpointer p)
{
  struct worker_ticket *t = p;

  g_free (t->worker);
  g_free (t->ticket);
}

GArray *
worker_tickets_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct worker_ticket));

  g_array_set_clear_func (a, clear_worker_ticket);
  return a;
}
