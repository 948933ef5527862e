#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "meters.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The HTTP listeners of a node.  Whatever clients send, the connections of all
   listeners stay within a bound of memory and each listener within a number of
   connections; docs/design/uncontrolled-clients.md explains the bounds.

   A request belongs to its handler until evhttp_send_reply.  Its body and its
   headers can be read only until the handler returns: they are dropped then,
   so that requests that wait for an answer hold little memory. */

struct http_server;
struct http_listener;

struct http_server_limits
{
  uint64_t memory_bytes;   /* that the connections may hold together */
  uint32_t source_percent; /* share of a listener's connections that one
                              address may have */
};

/* What one request may take. */
struct http_request_limits
{
  uint64_t header_bytes;
  uint64_t body_bytes;
  int64_t head_timeout_ms; /* from a head's first byte to its end */
  int64_t idle_timeout_ms; /* without a byte that is read or written */
};

struct http_listener_options
{
  const char *name; /* in the log; a literal */
  const char *ip;
  uint16_t port;
  uint32_t max_connections;
  struct http_request_limits request;
  void (*serve) (struct evhttp_request *request, void *data);
  void *data;
};

/* The event base must have so many priorities, set by
   event_base_priority_init before it has events: connections close before the
   loop goes on reading from the others that are ready. */
#define HTTP_SERVER_PRIORITIES 2

/* METERS must outlive the server; the caller frees it with
   http_server_destroy, after its listeners. */
struct http_server *http_server_new (struct event_base *base,
                                     struct meters *meters,
                                     const struct http_server_limits *limits);
void http_server_destroy (struct http_server *server);

/* Listen as OPTIONS tell.  Return NULL if the address can't be bound;
   otherwise the caller frees the listener with http_listener_destroy, which
   closes its connections. */
struct http_listener *
http_server_listen (struct http_server *server,
                    const struct http_listener_options *options);
void http_listener_destroy (struct http_listener *listener);

/* Change the limits of requests on connections that are accepted from now
   on. */
void http_listener_set_limits (struct http_listener *listener,
                               const struct http_request_limits *limits);

/* Return the memory that all connections hold, as far as it is accounted. */
uint64_t http_server_held_bytes (const struct http_server *server);

/* Return the port that LISTENER is bound to. */
uint16_t http_listener_port (const struct http_listener *listener);

#endif
