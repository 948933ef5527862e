#ifndef COMMANDS_H
#define COMMANDS_H

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
};

/* Check whether the file FILENAME holds valid settings, a valid configuration
   or a valid maintenance intention. */
int command_check (const char *filename);

int command_publish (const struct command_options *options);
int command_maintain (const struct command_options *options);
int command_status (const struct command_options *options);
int command_counters (const struct command_options *options);
int command_explain (const struct command_options *options);

#endif
