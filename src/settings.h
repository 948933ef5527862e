#ifndef SETTINGS_H
#define SETTINGS_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The settings of one node: a JSON file, read once at start. */

struct endpoint
{
  char *address; /* IP number */
  uint16_t port;
};

struct settings_peer
{
  char *node;
  struct endpoint endpoint;
};

struct settings
{
  char *node; /* this node's name, unlike every other's */
  char *zone; /* its availability zone */
  struct endpoint callers;
  struct endpoint admin;
  struct endpoint peer;
  struct endpoint platform;
  char *admin_token;
  char *platform_token;
  char *peer_key; /* shared by all nodes; authenticates peer messages */
  struct settings_peer *peers;
  guint n_peers;
  uint32_t max_requests;           /* held at once */
  uint64_t max_body_bytes;         /* one request body */
  uint32_t max_connections;        /* of callers */
  int64_t header_timeout_ms;       /* to send a whole request */
  int64_t idle_timeout_ms;         /* between two requests */
  int64_t stop_patience_ms;        /* for requests in progress at SIGTERM */
  uint32_t connections_per_worker; /* from this node */
  bool log_json;
  bool log_debug;
};

/* Read the settings at ROOT.  Return NULL with ERROR set if any is wrong. */
struct settings *settings_from_json (JsonNode *root, GError **error);

/* Read the settings file FILENAME. */
struct settings *settings_read (const char *filename, GError **error);

void settings_destroy (struct settings *settings);

#endif
