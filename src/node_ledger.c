#include "node_state.h"

#include "event_log.h"

#include <string.h>

/* The messages of the ledger of accounts' caps, which the fleet's owner keeps.
   The ledger decides what to send and when; see ledger.h. */

/* A cell that has not reported for this long is logged. */
#define SILENCE_LOGGED_MS 2000

/* The context of a call to a cell's owner. */
struct ledger_call
{
  struct node *node;
  uint64_t epoch; /* of the ledger */
  char *service;
  int64_t sent_ms;
};

void
node_ledger_begin (struct node *n, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;

  node_ledger_end (n);
  f->ledger = ledger_new (f->epoch, now_ms);
  f->ledger_version = 0;
  f->may_raise = false;
  f->silent_cells
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
node_ledger_end (struct node *n)
{
  g_clear_pointer (&n->fleet.ledger, ledger_destroy);
  g_clear_pointer (&n->fleet.silent_cells, g_hash_table_unref);
}

struct account_report *
host_exchange_allotments (struct cell_host *host, struct allotment_call *call,
                          int64_t now_ms)
{
  int64_t version = host->node->routes->version;
  struct account_report *report;

  if (call->config_version != version)
    g_ptr_array_set_size (call->allotments, 0);
  report = cell_exchange_allotments (host->cell, call, now_ms);
  report->config_version = cell_has_journaled_caps (host->cell)
                               ? version
                               : CONFIG_VERSION_PENDING;
  node_schedule_run (host->node, host);
  return report;
}

/* Log whether the ledger may raise, if that has changed. */
static void
log_may_raise (struct node *n, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;
  const char *awaited = ledger_awaited_cell (f->ledger, now_ms);

  if (f->may_raise == (awaited == NULL))
    return;
  f->may_raise = awaited == NULL;
  event_log (f->may_raise ? "ledger-may-raise" : "ledger-waits",
             awaited != NULL ? awaited : "",
             "epoch=%" G_GUINT64_FORMAT " cells=%u version=%" G_GINT64_FORMAT,
             f->epoch, ledger_count_cells (f->ledger), f->ledger_version);
}

/* Log the cells that have become silent or have reported again. */
static void
log_silent_cells (struct node *n, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;

  for (guint i = 0; i < ledger_count_cells (f->ledger); i++)
    {
      const char *service = ledger_cell_at (f->ledger, i);
      int64_t silent_ms = now_ms - ledger_cell_heard_ms (f->ledger, i);
      const char *owner = owner_address (n, service);

      if (silent_ms < SILENCE_LOGGED_MS)
        {
          if (g_hash_table_remove (f->silent_cells, service))
            event_log ("cell-reports-again", service, "owner=%s",
                       owner != NULL ? owner : "none");
        }
      else if (g_hash_table_add (f->silent_cells, g_strdup (service)))
        event_log ("cell-unreported", service,
                   "silent_ms=%" G_GINT64_FORMAT
                   " owner=%s outcome=last-report-counts",
                   silent_ms, owner != NULL ? owner : "none");
    }
}

/* Return the services that are not configured but have an owner (char *, of
   the table of owners). */
static GPtrArray *
list_former_services (struct node *n)
{
  GPtrArray *former = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer service, owner;

  g_hash_table_iter_init (&iter, n->ownership.owners);
  while (g_hash_table_iter_next (&iter, &service, &owner))
    if (strcmp (service, FLEET_SERVICE) != 0 && owner_is_address (owner)
        && routes_find_service (n->routes, service) < 0)
      g_ptr_array_add (former, service);
  return former;
}

static void
configure (struct node *n, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;
  GPtrArray *services, *former;

  if (f->ledger_version == n->routes->version)
    return;
  services = g_ptr_array_new ();
  former = list_former_services (n);
  for (guint i = 0; i < n->routes->services->len; i++)
    {
      const struct service_entry *s
          = g_ptr_array_index (n->routes->services, i);

      if (!s->is_standby)
        g_ptr_array_add (services, s->name);
    }
  if (f->ledger_version == 0)
    event_log ("ledger-begun", "",
               "epoch=%" G_GUINT64_FORMAT " cells=%u former=%u accounts=%u",
               f->epoch, services->len, former->len,
               accounts_count (n->routes->accounts));
  f->ledger_version = n->routes->version;
  ledger_configure (f->ledger, f->ledger_version, services, former,
                    n->routes->accounts, now_ms);
  g_ptr_array_unref (services);
  g_ptr_array_unref (former);
}

static void
on_answered (void *data, const struct http_reply *reply)
{
  struct ledger_call *call = data;
  struct fleet_state *f = &call->node->fleet;
  int64_t now_ms = node_now_ms ();

  if (f->ledger != NULL && f->epoch == call->epoch)
    {
      struct account_report *report = NULL;

      if (reply->status == 200)
        {
          GBytes *bytes = g_bytes_new (reply->body, reply->body_bytes);

          report = account_report_from_bytes (bytes);
          g_bytes_unref (bytes);
        }
      if (report != NULL)
        ledger_add_report (f->ledger, call->service, report, call->sent_ms,
                           now_ms);
      else
        ledger_call_unanswered (f->ledger, call->service);
      account_report_destroy (report);
    }
  g_free (call->service);
  g_free (call);
}

/* Send CALL to OWNER. */
static void
send_call (struct node *n, const char *owner, const char *service,
           const struct allotment_call *call, int64_t now_ms)
{
  struct ledger_call *context = g_new0 (struct ledger_call, 1);

  context->node = n;
  context->epoch = n->fleet.epoch;
  context->service = g_strdup (service);
  context->sent_ms = now_ms;
  peer_send_allotments (n, owner, service, call, on_answered, context);
}

/* Make the call to the cell of SERVICE if it is due and its owner is known. */
static void
call_cell (struct node *n, const char *service, int64_t now_ms)
{
  struct cell_host *h = g_hash_table_lookup (n->hosts, service);
  bool is_here = h != NULL && h->phase == HOST_ACTIVE && h->cell != NULL;
  const char *owner = owner_address (n, service);
  bool is_elsewhere
      = owner_is_address (owner) && strcmp (owner, n->address) != 0;
  struct allotment_call *call;

  if (!is_here && !is_elsewhere)
    return;
  call = ledger_next_call (n->fleet.ledger, service, now_ms);
  if (call == NULL)
    return;
  if (is_here)
    {
      struct account_report *report
          = host_exchange_allotments (h, call, now_ms);

      ledger_add_report (n->fleet.ledger, service, report, now_ms, now_ms);
      account_report_destroy (report);
    }
  else
    send_call (n, owner, service, call, now_ms);
  allotment_call_destroy (call);
}

void
node_ledger_tick (struct node *n, int64_t now_ms)
{
  struct fleet_state *f = &n->fleet;

  if (f->ledger == NULL || n->routes == NULL || n->routes->accounts == NULL
      || !fleet_is_confirmed (n, now_ms))
    return;
  configure (n, now_ms);
  /* From the last one, as the report of a cell that has left the configuration
     may remove it. */
  for (guint i = ledger_count_cells (f->ledger); i > 0; i--)
    call_cell (n, ledger_cell_at (f->ledger, i - 1), now_ms);
  log_may_raise (n, now_ms);
  log_silent_cells (n, now_ms);
}
