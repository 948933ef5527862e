#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

/* The settings of a node that schedules jobs: a JSON file that
   deploy/settings.template renders. */

struct node_settings
{
  char *node;
  char *zone;
  char *callers;   /* "IP:PORT" for callers */
  char *readiness; /* "IP:PORT" for the balancer's question */
  char *ip;
  uint16_t peer_port;    /* for other nodes */
  uint16_t metrics_port; /* for counters */
  char *store;           /* "IP:PORT" of the platform's store */
  char *machines;        /* "IP:PORT" of the machines' interface */
  char *advice;          /* "IP:PORT" of the advice service, or "" */
  uint32_t stream_parts; /* parts of a stream that a group shares */
  int64_t member_ttl_min_ms;
  int64_t stop_ms; /* from SIGTERM to the end of the process */
  int64_t worker_lease_max_ms;
  int64_t stop_grace_ms;   /* the longest that stopping a task takes */
  int64_t early_ms;        /* an occurrence may start so much early */
  int64_t keep_state_ms;   /* an ended job's state is kept */
  int64_t holder_lease_ms; /* between orders of two holders for a machine */
  int64_t upkeep_ms;       /* a machine is down for upkeep */
  double machine_orders_per_s; /* that the platform accepts */
  double processor_share;      /* cores that the node may use */
};

/* Read the settings at ROOT.  Return NULL with ERROR set if any is wrong. */
struct node_settings *node_settings_from_json (JsonNode *root, GError **error);

/* Read the settings file FILENAME. */
struct node_settings *node_settings_read (const char *filename,
                                          GError **error);

void node_settings_destroy (struct node_settings *settings);

#endif
