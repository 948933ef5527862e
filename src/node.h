#ifndef NODE_H
#define NODE_H

/* A node that schedules jobs on the users' platform. */

/* Run a node with the settings in SETTINGS_FILE until SIGTERM or SIGINT.
   Return the process exit status. */
int node_run (const char *settings_file);

#endif
