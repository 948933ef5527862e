#ifndef SETTINGS_H
#define SETTINGS_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The settings of one node, read once at start from a JSON file. */

struct endpoint
{
  char *address; /* IP address, not a host name */
  uint16_t port;
};

struct settings_peer
{
  char *node;
  struct endpoint endpoint;
};

struct settings
{
  char *node; /* this node's name, unique in the fleet */
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
  uint32_t max_requests;           /* open requests at one time */
  uint64_t max_body_bytes;         /* of one request body */
  uint32_t max_connections;        /* from callers */
  int64_t header_timeout_ms;       /* for a caller to send a whole request */
  int64_t idle_timeout_ms;         /* between two requests */
  int64_t stop_patience_ms;        /* time to finish requests after SIGTERM */
  uint32_t connections_per_worker; /* from this node to each worker */
  bool log_json;
  bool log_debug;
};

/* Read the settings from ROOT.  Return NULL with ERROR set if any of them is
   invalid.  The caller owns the result. */
struct settings *settings_from_json (JsonNode *root, GError **error);

/* Read the settings from the file FILENAME, as settings_from_json does. */
struct settings *settings_read (const char *filename, GError **error);

void settings_destroy (struct settings *settings);

#endif
