#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include "accounts.h"
#include "config_draft.h"

/* The check of a configuration of the job path before it is sent.  It works on
   what is written only and does no I/O.  A finding never holds a key. */

/* Add to FINDINGS what is wrong with DRAFT beyond the types of its members:
   errors, entries that can never match, and limits that contradict each other.
   TASK is the largest task that callers send, or NULL if it is not known. */
void config_check_draft (const struct config_draft *draft,
                         const struct account_amount *task,
                         GPtrArray *findings);

/* Add to FINDINGS what differs between OLD, the version in force, and
   DRAFT. */
void config_check_changes (const struct config_draft *old,
                           const struct config_draft *draft,
                           GPtrArray *findings);

#endif
