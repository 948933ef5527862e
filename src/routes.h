#ifndef ROUTES_H
#define ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The queues that operators have published, and the choice of one for a
   request.  A version in force is never replaced by an older one. */

struct queue_route
{
  char *name;
  char *host;
  char *path_prefix;
  char *service;
  int64_t timeout_ms;
  int64_t target_ms;
  uint32_t priority;
  uint32_t max_attempts;
  double stretch;
  bool advice_needed;
  int64_t advice_valid_ms;
};

struct service_entry
{
  char *name;
  bool admits;  /* its workers refuse what does not fit */
  bool standby; /* its machines are off and can be lent */
};

struct routes
{
  int64_t version;
  GPtrArray *queues;   /* struct queue_route * */
  GPtrArray *services; /* struct service_entry *, by name */
  uint64_t max_header_bytes;
  uint64_t max_body_bytes;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
};

struct routes *routes_new (void);
void routes_destroy (struct routes *routes);

/* Add an empty queue or service and return it. */
struct queue_route *routes_add_queue (struct routes *routes);
struct service_entry *routes_add_service (struct routes *routes);

/* Bring the services in order.  Called once all are added. */
void routes_close (struct routes *routes);

/* Return the queue with the longest prefix of PATH under HOST (a port in HOST
   is passed over), or NULL. */
const struct queue_route *routes_find (const struct routes *routes,
                                       const char *host, const char *path);

/* Return the place of the service named NAME, or -1. */
int routes_find_service (const struct routes *routes, const char *name);

#endif
