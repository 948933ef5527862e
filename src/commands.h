#ifndef COMMANDS_H
#define COMMANDS_H

#include "accounts.h"

#include <stdbool.h>

/* The operators' commands.  Each sends a request to one node, prints the
   answer and returns the exit status of the process; only check works without
   a node. */

struct command_options
{
  const char *node;    /* ADDRESS:PORT of the node's admin interface */
  const char *token;   /* the node's admin_token */
  const char *subject; /* the FILE, NAME or SUBJECT argument; NULL for none */
  bool json;           /* print JSON */
  bool watch;          /* print the status again every second */
  bool list;           /* maintain --list */
  bool cancel;         /* maintain --cancel */
  const char *base;    /* version that a publication replaces; NULL for any */
  int wait_ms;         /* how long publish waits until all live nodes use it */

  /* Of check, for a configuration of the job path. */
  const char *against; /* file with the version in force; NULL for none */
  bool is_strict;      /* exit with EXIT_STATUS_WARNINGS for warnings */
  bool has_task;
  struct account_amount task; /* the largest task that callers send */
};

/* Check whether the file in OPTIONS holds valid settings, a valid
   configuration or a valid maintenance intention. */
int command_check (const struct command_options *options);

int command_publish (const struct command_options *options);
int command_maintain (const struct command_options *options);
int command_status (const struct command_options *options);
int command_counters (const struct command_options *options);
int command_explain (const struct command_options *options);

#endif
