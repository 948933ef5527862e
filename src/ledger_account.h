#ifndef LEDGER_ACCOUNT_H
#define LEDGER_ACCOUNT_H

#include "accounts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One account in the ledger: what its cells hold, use and want, and how its
   cap is divided among them.  Cells go by their index in the ledger. */

enum resource
{
  RESOURCE_CPU,
  RESOURCE_MEMORY,
  RESOURCE_GPUS,
  RESOURCE_COUNT
};

/* One account in one cell. */
struct account_share
{
  uint64_t held[RESOURCE_COUNT];
  uint64_t used[RESOURCE_COUNT];
  uint64_t wanted[RESOURCE_COUNT];
  uint64_t unanswered[RESOURCE_COUNT]; /* the largest allotment sent since the
                                          last report */
  uint64_t target[RESOURCE_COUNT];
  bool has_headroom; /* the cell gets a part of what nobody wants */
};

struct ledger_account
{
  char *name;
  uint64_t cap[RESOURCE_COUNT];
  GArray *shares; /* struct account_share, by the index of the cell */
  uint64_t used_sum[RESOURCE_COUNT];
  int64_t progress_ms; /* when the use last rose, or nothing was scarce */
  guint turn;          /* index of the cell that is first to get the rest */
  int64_t turn_begun_ms;
  uint64_t turn_used[RESOURCE_COUNT]; /* by that cell, at the begin */
  bool is_configured;
};

struct ledger_account *ledger_account_new (const char *name, guint cells,
                                           int64_t now_ms);
void ledger_account_destroy (gpointer account);

/* Set the cap.  0 is no limit, that is the largest number, and is divided like
   any other cap, so that a cell can scale its part when a limit is set. */
void ledger_account_set_cap (struct ledger_account *account,
                             struct account_amount cap);

struct account_share *ledger_account_share (const struct ledger_account *a,
                                            guint cell);

/* Remove the cell of INDEX; the following ones move up. */
void ledger_account_remove_cell (struct ledger_account *account, guint index);

/* Set the targets of all cells. */
void ledger_account_divide (struct ledger_account *account, int64_t now_ms);

/* Set LIMIT to what may be allotted to CELL now.  Return false if the cell
   certainly has that allotment. */
bool ledger_account_limit (const struct ledger_account *account, guint cell,
                           uint64_t *limit);

/* Return whether CELL wants more than it holds and there is room to raise
   it. */
bool ledger_account_can_raise (const struct ledger_account *account,
                               guint cell);

/* Return whether SHARE is all zero but for its target. */
bool account_share_is_idle (const struct account_share *share);

/* Return what counts for the cell: the maximum of what it holds and what it
   may have been given since. */
uint64_t account_share_counted (const struct account_share *share,
                                enum resource r);

/* Return AMOUNT in ARRAY, of RESOURCE_COUNT elements, and back. */
void account_amount_to_array (struct account_amount amount, uint64_t *array);
struct account_amount account_amount_from_array (const uint64_t *array);

#endif
