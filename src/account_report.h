#ifndef ACCOUNT_REPORT_H
#define ACCOUNT_REPORT_H

#include "accounts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Messages between the ledger, which divides the accounts' caps among the
   cells, and the cells. */

/* A struct account_amount in records and messages. */
#define ACCOUNT_AMOUNT_TYPE "(ttt)"

/* An amount without a limit. */
#define AMOUNT_UNLIMITED                                                      \
  ((struct account_amount){ G_MAXUINT64, G_MAXUINT64, G_MAXUINT64 })

/* Stands for the version of a configuration of which the cell's journal lacks
   higher caps, see cell_has_journaled_caps. */
#define CONFIG_VERSION_PENDING (-1)

/* What one cell says of one account. */
struct account_row
{
  char *account;
  struct account_amount held; /* the larger of its allotment, its use, and what
                                 a next owner may load as its allotment */
  struct account_amount used; /* by runs in progress or possibly in progress */
  struct account_amount wanted; /* by waiting tasks that could start */
};

/* A cell's report.  A cell numbers its reports from 1 in each epoch. */
struct account_report
{
  uint64_t cell_epoch;
  uint64_t number;
  int64_t config_version; /* of the configuration whose caps the cell uses, or
                             CONFIG_VERSION_PENDING */
  GPtrArray *rows;        /* struct account_row * */
};

/* The part of an account's cap that a cell may use. */
struct allotment
{
  char *account;
  struct account_amount limit;
};

/* A call of the ledger to a cell.  The cell applies the allotments only if
   CELL_EPOCH and REPORT name its latest report and LEDGER_EPOCH is not below
   the highest that it has seen.  The cell's node passes on only allotments of
   its own version of the configuration. */
struct allotment_call
{
  uint64_t ledger_epoch;
  uint64_t cell_epoch; /* 0 before the ledger has had a report */
  uint64_t report;
  int64_t config_version;
  GPtrArray *allotments; /* struct allotment *; an account that is not named
                            keeps its allotment */
};

struct account_report *account_report_new (void);
void account_report_destroy (gpointer report);
/* Add an empty row for ACCOUNT and return it. */
struct account_row *account_report_add (struct account_report *report,
                                        const char *account);
GBytes *account_report_to_bytes (const struct account_report *report);
/* Return the report in BYTES, which the caller destroys, or NULL if they are
   malformed. */
struct account_report *account_report_from_bytes (GBytes *bytes);

struct allotment_call *allotment_call_new (void);
void allotment_call_destroy (gpointer call);
void allotment_call_add (struct allotment_call *call, const char *account,
                         struct account_amount limit);
GBytes *allotment_call_to_bytes (const struct allotment_call *call);
/* Return the call in BYTES, which the caller destroys, or NULL if they are
   malformed. */
struct allotment_call *allotment_call_from_bytes (GBytes *bytes);

#endif
