#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The settings of a node that schedules jobs, read from a JSON file that is
   rendered from deploy/settings.template. */

struct node_settings
{
  char *node;
  char *zone;
  char *callers;         /* "IP:PORT" that callers connect to */
  char *readiness;       /* "IP:PORT" of the load balancer's readiness check */
  char *ip;              /* of peer_port and metrics_port */
  uint16_t peer_port;    /* for the other nodes */
  uint16_t metrics_port; /* for GET of the counters */
  char *store;           /* "IP:PORT" of the platform's store */
  char *machines;        /* "IP:PORT" of the machine interface, or "" */
  char *advice;          /* "IP:PORT" of the advice service, or "" */
  uint32_t stream_parts; /* parts of a stream, shared out in a group */
  int64_t member_ttl_min_ms; /* shortest time to live that the store takes */
  int64_t stop_ms; /* from SIGTERM to the end of the process, at most */
  int64_t worker_lease_max_ms; /* longest lease that workers give */
  int64_t stop_grace_ms;       /* longest time that stopping a task takes */
  int64_t early_ms;            /* how early an occurrence may start */
  int64_t keep_state_ms;       /* how long an ended job's state is kept */
  int64_t holder_lease_ms;     /* between orders of two holders for a
                                  machine */
  int64_t upkeep_ms;           /* how long a machine is down for upkeep */
  bool strict_revoke; /* refuse keys of a configuration that has not been
                         confirmed for revoke_ms */
  int64_t revoke_ms;
  double machine_orders_per_s; /* most that the platform accepts */
  double far_rack_factor;      /* how much longer a task takes away from the
                                  rack of its data */
  uint32_t memory_mb;          /* memory that the process may use */
  uint32_t max_descriptors;    /* descriptors that it may have open */
  double processor_share;      /* cores that the node may use */
  /* Bounds of what clients' connections and requests take; see
     docs/design/uncontrolled-clients.md. */
  uint32_t connections_percent; /* of max_descriptors */
  uint32_t source_percent;      /* of a listener's connections */
  uint32_t buffer_percent;      /* of memory_mb, for connections */
  uint32_t request_percent;     /* of memory_mb, for open requests */
  uint32_t job_percent;         /* of memory_mb, for accepted jobs' tasks */
  uint32_t max_open_requests;   /* of callers */
};

/* Read the settings at ROOT.  Return NULL with ERROR set if any is missing or
   invalid; otherwise the caller owns the result. */
struct node_settings *node_settings_from_json (JsonNode *root, GError **error);

/* The same for the file FILENAME. */
struct node_settings *node_settings_read (const char *filename,
                                          GError **error);

void node_settings_destroy (struct node_settings *settings);

#endif
