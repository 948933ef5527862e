#ifndef LEDGER_H
#define LEDGER_H

#include "account_report.h"
#include "accounts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The ledger divides the accounts' caps among the cells; see
   docs/design/account-caps.md.  It does no input or output: it is told the
   configuration, the cells' reports and the time, and produces calls.

   For each cell it counts the maximum of what the cell last reported as held
   and of the allotments sent since that are unanswered.  The sum over all
   cells never rises above the cap by a call. */

struct ledger;

/* Time from the begin of a ledger after which the previous ledger makes no
   calls any more: it makes them for 2.4 s after the store last confirmed it,
   and clocks may differ in rate. */
#define LEDGER_PREDECESSOR_MS 2600

/* Return a new ledger under EPOCH, which the caller destroys. */
struct ledger *ledger_new (uint64_t epoch, int64_t now_ms);
void ledger_destroy (struct ledger *ledger);

/* Apply version VERSION of the configuration: SERVICES (char *) have cells.
   FORMER (char *) are services without one that may still have an owner.  A
   cell that is not among SERVICES is forgotten once it holds and wants
   nothing, or if it has never reported and is not among FORMER. */
void ledger_configure (struct ledger *ledger, int64_t version,
                       const GPtrArray *services, const GPtrArray *former,
                       const struct accounts *accounts, int64_t now_ms);

/* Return the call to the cell of SERVICE that is due, which the caller
   destroys, or NULL if none is due or one is under way. */
struct allotment_call *ledger_next_call (struct ledger *ledger,
                                         const char *service, int64_t now_ms);

/* Note that the call under way to the cell of SERVICE got no answer.  What it
   allots still counts. */
void ledger_call_unanswered (struct ledger *ledger, const char *service);

/* Take REPORT, the answer to the call that was sent to the cell of SERVICE at
   REQUESTED_MS.  Return false if a newer one is known. */
bool ledger_add_report (struct ledger *ledger, const char *service,
                        const struct account_report *report,
                        int64_t requested_ms, int64_t now_ms);

/* Return the service of a cell whose report the ledger needs before it changes
   any allotment, or NULL if it may raise.  It needs from each cell a report
   that was requested after the previous ledger has stopped, and under the
   ledger's version of the configuration. */
const char *ledger_awaited_cell (const struct ledger *ledger, int64_t now_ms);

/* The cells, in the order in which they became known. */
guint ledger_count_cells (const struct ledger *ledger);
const char *ledger_cell_at (const struct ledger *ledger, guint index);
/* Return when the cell last reported, or became known if it never has. */
int64_t ledger_cell_heard_ms (const struct ledger *ledger, guint index);

#endif
