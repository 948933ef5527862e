#ifndef ROUTES_H
#define ROUTES_H

#include "accounts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The queues and services that operators have published, and the choice of a
   queue for a request.  A version in force is never replaced by an older
   one. */

struct queue_route
{
  char *name;
  char *host;
  char *path_prefix;
  char *service; /* whose workers run the queue's jobs */
  int64_t timeout_ms;
  int64_t target_ms; /* added to the stretched chain, for the deadline */
  uint32_t priority; /* 0 comes first */
  uint32_t max_attempts;
  double deadline_factor; /* factor on the longest chain of steps */
  bool is_public;         /* its callers need no key */
  bool advice_needed;
  int64_t advice_decision_ms; /* the advice service takes this long for an
                                 answer ... */
  int64_t advice_each_ms;     /* ... and this for each worker named */
  int64_t advice_valid_ms;    /* how long an answer is valid */
};

struct service_entry
{
  char *name;
  bool has_admission_control; /* its workers refuse runs that don't fit */
  bool is_standby;            /* its machines are off; other pools take them */
};

struct routes
{
  int64_t version;
  GPtrArray *queues;         /* struct queue_route * */
  GPtrArray *services;       /* struct service_entry *, by name */
  struct accounts *accounts; /* or NULL if callers need no keys */
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

/* Sort the services by name.  Call it once all are added. */
void routes_sort_services (struct routes *routes);

/* Return the queue of HOST whose prefix is the longest that PATH begins with,
   or NULL.  HOST is compared without its port and without regard to case. */
const struct queue_route *routes_find_queue (const struct routes *routes,
                                             const char *host,
                                             const char *path);

/* Return the queue named NAME, or NULL. */
const struct queue_route *routes_queue_by_name (const struct routes *routes,
                                                const char *name);

/* Return the index of the service named NAME, or -1. */
int routes_find_service (const struct routes *routes, const char *name);

#endif
