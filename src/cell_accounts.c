#include "cell.h"

/* Placeholder for the cell's side of the accounts' caps: it starts whatever it
   is asked to and reports no use. */

void
cell_set_accounts (struct cell *cell, const struct accounts *accounts,
                   int64_t now_ms)
{
}

struct account_report *
cell_exchange_allotments (struct cell *cell, const struct allotment_call *call,
                          int64_t now_ms)
{
  struct account_report *report = account_report_new ();

  report->cell_epoch = cell_epoch (cell);
  report->number = call->report + 1;
  return report;
}
