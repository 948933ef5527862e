#ifndef NODE_PEER_CALLS_H
#define NODE_PEER_CALLS_H

#include "node_state.h"

/* HTTP requests between nodes: the path holds the subject, the query holds the
   service.  Shared by node_peer_calls.c, which sends them, and node_peers.c,
   which serves them; the calls themselves are declared in node_state.h. */

#define JOBS_PATH "/v1/jobs/"
#define QUEUES_PATH "/v1/queues/"
#define WORKERS_PATH "/v1/workers/"
#define CELLS_PATH "/v1/cells/"
#define LOAD_PATH "/v1/load/"
#define ACCOUNTS_PATH "/v1/accounts/"
#define SUCCESSOR_PATH "/v1/successor/"
/* Query parameter with the routes_version of a request. */
#define VERSION_PARAMETER "version"
/* The receiving node does not own the service's cell. */
#define STATUS_NOT_OWNER 421
/* Type of the records that an owner hands over. */
#define RECORDS_TYPE "a(say)"

const char *peer_path_of_verb (enum front_verb verb);
const char *peer_method_of_verb (enum front_verb verb);

#endif
