#include "cell_accounts.h"

#include "account_use.h"
#include "variant_bytes.h"

#include <string.h>

/* The allotments in the journal, so that a new owner starts work within them
   while the ledger is silent.

   The ledger counts for a cell what its journal names, as a next owner would
   use it: the cell reports it as held until a lower allotment is journaled.  A
   raise counts by the ledger's call until the report that includes it.

   The record names the epoch of its writer, and counts only for that owner's
   direct successor.  An owner in between may be of a release that does not
   know the record: what that one held was counted without it. */

/* The writer's epoch, and name, allotment and cap of each account. */
#define AMOUNT_TYPE ACCOUNT_AMOUNT_TYPE
#define ROWS_TYPE "a(s" AMOUNT_TYPE AMOUNT_TYPE ")"
#define RECORD_TYPE "(t" ROWS_TYPE ")"
/* The same rows for g_variant_get and g_variant_builder_add. */
#define ROW_FORMAT "(&s" AMOUNT_TYPE AMOUNT_TYPE ")"
#define ROW_BUILD_FORMAT "(s" AMOUNT_TYPE AMOUNT_TYPE ")"

/* Return what a record made now holds of A. */
static struct journaled_allotment
current_row (const struct cell *c, const struct cell_account *a)
{
  if (!cell_account_is_limited (c, a) || !a->is_configured)
    return (struct journaled_allotment){ 0 };
  return (struct journaled_allotment){ true, a->allotment, a->cap };
}

static bool
row_equals (const struct journaled_allotment *a,
            const struct journaled_allotment *b)
{
  return a->is_named == b->is_named
         && amount_equals (a->allotment, b->allotment)
         && amount_equals (a->cap, b->cap);
}

void
cell_accounts_note_change (struct cell *c)
{
  struct cell_accounts *s = c->accounts;

  s->is_change_queued = false;
  for (guint i = 0; i < s->list->len && !s->is_change_queued; i++)
    {
      const struct cell_account *a = g_ptr_array_index (s->list, i);
      struct journaled_allotment now = current_row (c, a);

      s->is_change_queued = !row_equals (
          &now, c->append.has_accounts ? &a->in_append : &a->committed);
    }
}

struct journal_entry *
cell_accounts_begin_append (struct cell *c)
{
  struct cell_accounts *s = c->accounts;
  struct journal_entry *e;
  GVariantBuilder rows;
  GBytes *value;

  g_variant_builder_init (&rows, G_VARIANT_TYPE (ROWS_TYPE));
  for (guint i = 0; i < s->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (s->list, i);

      a->in_append = current_row (c, a);
      if (a->in_append.is_named)
        g_variant_builder_add (&rows, ROW_BUILD_FORMAT, a->name,
                               a->allotment.cpu_milli, a->allotment.memory_mb,
                               a->allotment.gpus, a->cap.cpu_milli,
                               a->cap.memory_mb, a->cap.gpus);
    }
  s->is_change_queued = false;
  value = variant_to_bytes (
      g_variant_new (RECORD_TYPE, c->options.epoch, &rows));
  e = journal_entry_new (CELL_ACCOUNTS_KEY, value);
  g_bytes_unref (value);
  return e;
}

void
cell_accounts_commit (struct cell *c)
{
  for (guint i = 0; i < c->accounts->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (c->accounts->list, i);

      a->committed = a->in_append;
    }
}

void
cell_accounts_end_append (struct cell *c)
{
  for (guint i = 0; i < c->accounts->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (c->accounts->list, i);

      a->in_append = (struct journaled_allotment){ 0 };
    }
  c->append.has_accounts = false;
  cell_accounts_note_change (c);
}

struct account_amount
cell_account_journaled (const struct cell_account *a)
{
  return amount_max (a->committed.allotment, a->in_append.allotment);
}

/* Return whether ROW has a part of a cap lower than CAP. */
static bool
has_lower_cap (const struct journaled_allotment *row,
               struct account_amount cap)
{
  return (row->allotment.cpu_milli > 0 && row->cap.cpu_milli < cap.cpu_milli)
         || (row->allotment.memory_mb > 0
             && row->cap.memory_mb < cap.memory_mb)
         || (row->allotment.gpus > 0 && row->cap.gpus < cap.gpus);
}

bool
cell_has_journaled_caps (const struct cell *cell)
{
  for (guint i = 0; i < cell->accounts->list->len; i++)
    {
      const struct cell_account *a
          = g_ptr_array_index (cell->accounts->list, i);

      if (a->is_configured
          && (has_lower_cap (&a->committed, a->cap)
              || has_lower_cap (&a->in_append, a->cap)))
        return false;
    }
  return true;
}

/* Undo an earlier record: the journal lists the newest last. */
static void
forget_loaded (struct cell *c)
{
  for (guint i = 0; i < c->accounts->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (c->accounts->list, i);

      a->is_configured = false;
      a->allotment = (struct account_amount){ 0 };
      a->cap = AMOUNT_UNLIMITED;
    }
}

static void
load_rows (struct cell *c, GVariantIter *rows)
{
  struct account_amount allotment, cap;
  const char *name;

  while (g_variant_iter_next (rows, ROW_FORMAT, &name, &allotment.cpu_milli,
                              &allotment.memory_mb, &allotment.gpus,
                              &cap.cpu_milli, &cap.memory_mb, &cap.gpus))
    {
      struct cell_account *a;

      if (name[0] == '\0')
        continue;
      a = cell_account_get (c, name, c->taken_over_ms);
      a->is_configured = true;
      a->cap = cap;
      a->allotment = amount_min (allotment, cap);
    }
}

void
cell_accounts_load (struct cell *c, GBytes *value)
{
  GVariant *v = variant_from_bytes (value, RECORD_TYPE);
  uint64_t newest = cell_owners_newest_epoch (c), epoch;
  GVariantIter *rows;

  forget_loaded (c);
  if (v == NULL)
    {
      cell_log_event (c, "journal-malformed", CELL_ACCOUNTS_KEY,
                      "outcome=no-allotments");
      return;
    }
  g_variant_get (v, RECORD_TYPE, &epoch, &rows);
  if (epoch == newest)
    load_rows (c, rows);
  cell_log_event (
      c, epoch == newest ? "allotments-loaded" : "allotments-outdated",
      CELL_ACCOUNTS_KEY,
      "accounts=%" G_GSIZE_FORMAT " epoch=%" G_GUINT64_FORMAT
      " newest_owner=%" G_GUINT64_FORMAT,
      g_variant_iter_n_children (rows), epoch, newest);
  g_variant_iter_free (rows);
  g_variant_unref (v);
}
