#include "ledger.h"

#include "ledger_account.h"

#include <string.h>

/* Interval between calls to a cell. */
#define CALL_INTERVAL_MS 200
/* Least interval between calls to a cell that wants more than it holds. */
#define URGENT_INTERVAL_MS 50
/* A cell that has left the configuration and has been silent for this long is
   not waited for: nobody takes it over, and the leases of its runs have
   expired.  What it held last still counts. */
#define LEFT_CELL_SILENT_MS 30000
/* The same for one that has not reported to this ledger at all: the service's
   last owner is unlikely to run still. */
#define FORMER_CELL_SILENT_MS 3000
/* Interval between calls to such a cell. */
#define LEFT_CELL_INTERVAL_MS 2000

struct ledger_cell
{
  char *service;
  bool is_configured;
  uint64_t epoch; /* of the latest report; 0 before the first */
  uint64_t report;
  int64_t config_version; /* of the cell, at the latest report */
  int64_t requested_ms;   /* when the latest report was */
  int64_t heard_ms;
  int64_t called_ms;
  int64_t next_call_ms;
  bool is_call_pending;
};

struct ledger
{
  uint64_t epoch;
  int64_t begun_ms;
  int64_t config_version;
  GPtrArray *cells;    /* struct ledger_cell * */
  GPtrArray *accounts; /* struct ledger_account * */
  GHashTable *by_name; /* account's name to the same */
};

static void
ledger_cell_destroy (gpointer p)
{
  struct ledger_cell *c = p;

  g_free (c->service);
  g_free (c);
}

struct ledger *
ledger_new (uint64_t epoch, int64_t now_ms)
{
  struct ledger *l = g_new0 (struct ledger, 1);

  l->epoch = epoch;
  l->begun_ms = now_ms;
  l->cells = g_ptr_array_new_with_free_func (ledger_cell_destroy);
  l->accounts = g_ptr_array_new_with_free_func (ledger_account_destroy);
  l->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return l;
}

void
ledger_destroy (struct ledger *ledger)
{
  if (ledger == NULL)
    return;
  g_hash_table_unref (ledger->by_name);
  g_ptr_array_unref (ledger->accounts);
  g_ptr_array_unref (ledger->cells);
  g_free (ledger);
}

static struct ledger_cell *
cell_at (const struct ledger *l, guint index)
{
  return g_ptr_array_index (l->cells, index);
}

static struct ledger_account *
account_at (const struct ledger *l, guint index)
{
  return g_ptr_array_index (l->accounts, index);
}

/* Return the index of the cell of SERVICE, or -1. */
static int
find_cell (const struct ledger *l, const char *service)
{
  for (guint i = 0; i < l->cells->len; i++)
    if (strcmp (cell_at (l, i)->service, service) == 0)
      return (int)i;
  return -1;
}

guint
ledger_count_cells (const struct ledger *ledger)
{
  return ledger->cells->len;
}

const char *
ledger_cell_at (const struct ledger *ledger, guint index)
{
  return cell_at (ledger, index)->service;
}

int64_t
ledger_cell_heard_ms (const struct ledger *ledger, guint index)
{
  return cell_at (ledger, index)->heard_ms;
}

/* Return whether C has left the configuration and is not waited for. */
static bool
is_given_up (const struct ledger_cell *c, int64_t now_ms)
{
  return !c->is_configured
         && now_ms > c->heard_ms
                         + (c->epoch == 0 ? FORMER_CELL_SILENT_MS
                                          : LEFT_CELL_SILENT_MS);
}

const char *
ledger_awaited_cell (const struct ledger *ledger, int64_t now_ms)
{
  for (guint i = 0; i < ledger->cells->len; i++)
    {
      const struct ledger_cell *c = cell_at (ledger, i);

      if (is_given_up (c, now_ms))
        continue;
      if (c->epoch == 0
          || c->requested_ms <= ledger->begun_ms + LEDGER_PREDECESSOR_MS
          || c->config_version != ledger->config_version)
        return c->service;
    }
  return NULL;
}

/* Configuration. */

static void
add_cell (struct ledger *l, const char *service, bool is_configured,
          int64_t now_ms)
{
  struct ledger_cell *c = g_new0 (struct ledger_cell, 1);

  c->service = g_strdup (service);
  c->is_configured = is_configured;
  c->heard_ms = now_ms;
  c->called_ms = now_ms - CALL_INTERVAL_MS;
  c->next_call_ms = now_ms;
  g_ptr_array_add (l->cells, c);
  for (guint i = 0; i < l->accounts->len; i++)
    g_array_set_size (account_at (l, i)->shares, l->cells->len);
}

static void
remove_cell (struct ledger *l, guint index)
{
  g_ptr_array_remove_index (l->cells, index);
  for (guint i = 0; i < l->accounts->len; i++)
    ledger_account_remove_cell (account_at (l, i), index);
}

/* Add the cells of SERVICES that are new, and note whether they are
   configured. */
static void
note_cells (struct ledger *l, const GPtrArray *services, bool is_configured,
            int64_t now_ms)
{
  for (guint i = 0; i < services->len; i++)
    {
      const char *service = g_ptr_array_index (services, i);
      int index = find_cell (l, service);

      if (index < 0)
        add_cell (l, service, is_configured, now_ms);
      else
        cell_at (l, (guint)index)->is_configured = is_configured;
    }
}

/* Forget the cells that have left the configuration and never reported, but
   for those of FORMER. */
static void
forget_unreported (struct ledger *l, const GPtrArray *former)
{
  for (guint i = l->cells->len; i > 0; i--)
    {
      const struct ledger_cell *c = cell_at (l, i - 1);

      if (!c->is_configured && c->epoch == 0
          && !g_ptr_array_find_with_equal_func ((GPtrArray *)former,
                                                c->service, g_str_equal, NULL))
        remove_cell (l, i - 1);
    }
}

static void
update_headroom (struct ledger *l)
{
  for (guint i = 0; i < l->accounts->len; i++)
    for (guint k = 0; k < l->cells->len; k++)
      ledger_account_share (account_at (l, i), k)->has_headroom
          = cell_at (l, k)->is_configured;
}

/* Accounts that are not configured are dropped: when they come again, no
   allotment changes before each cell has reported under that version. */
static void
configure_accounts (struct ledger *l, const struct accounts *accounts,
                    int64_t now_ms)
{
  uint32_t count = accounts != NULL ? accounts_count (accounts) : 0;

  for (guint i = 0; i < l->accounts->len; i++)
    account_at (l, i)->is_configured = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct client_account *a = accounts_at (accounts, i);
      struct ledger_account *known;

      if (!g_hash_table_contains (l->by_name, a->name))
        {
          struct ledger_account *added
              = ledger_account_new (a->name, l->cells->len, now_ms);

          g_ptr_array_add (l->accounts, added);
          g_hash_table_insert (l->by_name, added->name, added);
        }
      known = g_hash_table_lookup (l->by_name, a->name);
      known->is_configured = true;
      ledger_account_set_cap (known, a->cap);
    }
  for (guint i = l->accounts->len; i > 0; i--)
    if (!account_at (l, i - 1)->is_configured)
      {
        g_hash_table_remove (l->by_name, account_at (l, i - 1)->name);
        g_ptr_array_remove_index (l->accounts, i - 1);
      }
}

static void
hasten (struct ledger_cell *c)
{
  c->next_call_ms = MIN (c->next_call_ms, c->called_ms + URGENT_INTERVAL_MS);
}

void
ledger_configure (struct ledger *ledger, int64_t version,
                  const GPtrArray *services, const GPtrArray *former,
                  const struct accounts *accounts, int64_t now_ms)
{
  ledger->config_version = version;
  for (guint i = 0; i < ledger->cells->len; i++)
    cell_at (ledger, i)->is_configured = false;
  note_cells (ledger, former, false, now_ms);
  note_cells (ledger, services, true, now_ms);
  forget_unreported (ledger, former);
  configure_accounts (ledger, accounts, now_ms);
  update_headroom (ledger);
  for (guint i = 0; i < ledger->accounts->len; i++)
    ledger_account_divide (account_at (ledger, i), now_ms);
  for (guint i = 0; i < ledger->cells->len; i++)
    hasten (cell_at (ledger, i));
}

/* Calls. */

/* Add the allotments of all accounts to CALL and count them. */
static void
add_allotments (struct ledger *l, guint cell, struct allotment_call *call)
{
  for (guint i = 0; i < l->accounts->len; i++)
    {
      const struct ledger_account *a = account_at (l, i);
      struct account_share *s = ledger_account_share (a, cell);
      uint64_t limit[RESOURCE_COUNT];

      if (!ledger_account_limit (a, cell, limit))
        continue;
      for (int r = 0; r < RESOURCE_COUNT; r++)
        s->unanswered[r] = MAX (s->unanswered[r], limit[r]);
      allotment_call_add (call, a->name, account_amount_from_array (limit));
    }
}

struct allotment_call *
ledger_next_call (struct ledger *ledger, const char *service, int64_t now_ms)
{
  int index = find_cell (ledger, service);
  struct ledger_cell *c;
  struct allotment_call *call;

  if (index < 0)
    return NULL;
  c = cell_at (ledger, (guint)index);
  if (c->is_call_pending || now_ms < c->next_call_ms)
    return NULL;
  call = allotment_call_new ();
  call->ledger_epoch = ledger->epoch;
  call->cell_epoch = c->epoch;
  call->report = c->report;
  call->config_version = ledger->config_version;
  if (ledger_awaited_cell (ledger, now_ms) == NULL)
    add_allotments (ledger, (guint)index, call);
  c->is_call_pending = true;
  c->called_ms = now_ms;
  c->next_call_ms
      = now_ms
        + (is_given_up (c, now_ms) ? LEFT_CELL_INTERVAL_MS : CALL_INTERVAL_MS);
  return call;
}

void
ledger_call_unanswered (struct ledger *ledger, const char *service)
{
  int index = find_cell (ledger, service);

  if (index >= 0)
    cell_at (ledger, (guint)index)->is_call_pending = false;
}

/* Reports. */

/* Replace what is known of CELL by REPORT.  Calls sent before it count no
   longer: they name older reports.  Add to FREED the accounts of which less
   counts than before. */
static void
load_rows (struct ledger *l, guint cell, const struct account_report *report,
           GHashTable *freed)
{
  GArray *before = g_array_new (FALSE, FALSE, sizeof (struct account_share));

  for (guint i = 0; i < l->accounts->len; i++)
    {
      struct account_share *s = ledger_account_share (account_at (l, i), cell);

      g_array_append_val (before, *s);
      *s = (struct account_share){ .has_headroom = s->has_headroom };
    }
  for (guint i = 0; i < report->rows->len; i++)
    {
      const struct account_row *row = g_ptr_array_index (report->rows, i);
      const struct ledger_account *a
          = g_hash_table_lookup (l->by_name, row->account);

      if (a == NULL)
        continue;
      account_amount_to_array (row->held,
                               ledger_account_share (a, cell)->held);
      account_amount_to_array (row->used,
                               ledger_account_share (a, cell)->used);
      account_amount_to_array (row->wanted,
                               ledger_account_share (a, cell)->wanted);
    }
  for (guint i = 0; i < l->accounts->len; i++)
    for (int r = 0; r < RESOURCE_COUNT; r++)
      if (account_share_counted (
              &g_array_index (before, struct account_share, i), r)
          > account_share_counted (
              ledger_account_share (account_at (l, i), cell), r))
        g_hash_table_add (freed, account_at (l, i));
  g_array_unref (before);
}

/* Return whether the cell, which has left the configuration, is idle. */
static bool
is_idle (const struct ledger *l, guint cell)
{
  for (guint i = 0; i < l->accounts->len; i++)
    if (!account_share_is_idle (
            ledger_account_share (account_at (l, i), cell)))
      return false;
  return true;
}

bool
ledger_add_report (struct ledger *ledger, const char *service,
                   const struct account_report *report, int64_t requested_ms,
                   int64_t now_ms)
{
  int index = find_cell (ledger, service);
  struct ledger_cell *c;
  GHashTable *freed;

  if (index < 0)
    return false;
  c = cell_at (ledger, (guint)index);
  if (requested_ms >= c->called_ms)
    c->is_call_pending = false;
  if (report->cell_epoch < c->epoch
      || (report->cell_epoch == c->epoch && report->number <= c->report))
    return false;
  c->epoch = report->cell_epoch;
  c->report = report->number;
  c->config_version = report->config_version;
  c->requested_ms = requested_ms;
  c->heard_ms = now_ms;
  freed = g_hash_table_new (NULL, NULL);
  load_rows (ledger, (guint)index, report, freed);
  for (guint i = 0; i < ledger->accounts->len; i++)
    {
      struct ledger_account *a = account_at (ledger, i);

      ledger_account_divide (a, now_ms);
      for (guint k = 0; k < ledger->cells->len; k++)
        if ((k == (guint)index || g_hash_table_contains (freed, a))
            && ledger_account_can_raise (a, k))
          hasten (cell_at (ledger, k));
    }
  g_hash_table_unref (freed);
  if (!c->is_configured && is_idle (ledger, (guint)index))
    remove_cell (ledger, (guint)index);
  return true;
}
