#ifndef HTTP_SERVER_STATE_H
#define HTTP_SERVER_STATE_H

#include "http_head.h"
#include "http_server.h"
#include "shedding.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

/* The state shared by the files of the HTTP listeners:
   http_server.c      listeners, and which connections close
   http_connection.c  what one connection holds and may read. */

struct http_server
{
  struct event_base *base;
  struct meters *meters;
  struct http_server_limits limits;
  GPtrArray *listeners;
  GHashTable
      *connections; /* struct bufferevent * to struct http_connection * */
  uint64_t held_bytes;
  struct event *work; /* do_work, before the loop waits again */
  struct event *check_timer;
  int64_t last_check_ms;
};

struct http_listener
{
  struct http_server *server;
  struct http_listener_options options;
  struct evhttp *evhttp;
  struct evconnlistener *accepting;
  struct event *resume_timer;
  GHashTable *sources; /* address (uint32_t) to its number of connections */
  uint32_t n_connections;
  bool is_full; /* accepts nothing until do_work */
  uint64_t held_bytes;
  int64_t last_closed_ms[METER_COUNT]; /* by reason; 0 for never */
};

struct http_connection
{
  struct http_listener *listener;
  struct bufferevent *stream; /* holds a reference */
  struct evbuffer_cb_entry *input_watch;
  struct evbuffer_cb_entry *output_watch;
  struct http_request_limits limits; /* in force when it was accepted */
  bool is_attached;                  /* evhttp has its socket */
  bool must_close;                   /* it found no room */
  bool has_wide_input;               /* a body needs more room than a head */
  bool wants_wide_input;
  uint32_t source; /* the client's IPv4 address */
  enum connection_phase phase;
  int64_t changed_ms; /* see struct connection_load */
  struct http_head head;
  uint64_t input_bytes;  /* not parsed yet */
  uint64_t parsed_bytes; /* of the request that is being read */
  uint64_t output_bytes;
  uint64_t serving_bytes; /* of the request that has been passed on */
  uint64_t held_bytes;
};

/* Run the server's deferred work before the event loop waits: connections
   can't be closed in the callbacks of libevent's buffers. */
void http_server_schedule_work (struct http_server *server);

/* Return a connection of LISTENER, with a stream whose socket evhttp sets. */
struct http_connection *http_connection_new (struct http_listener *listener,
                                             struct event_base *base);
/* Free CONNECTION and no longer account for it. */
void http_connection_destroy (struct http_connection *connection);

/* Set how far the input may be filled: for a head, or for a body too. */
void http_connection_set_input_room (struct http_connection *connection,
                                     bool is_wide);

/* REQUEST_URI, which may be NULL, has been read and is passed on. */
void http_connection_begin_serving (struct http_connection *connection,
                                    const char *request_uri);

/* The answer has been sent; the next request may be read. */
void http_connection_begin_request (struct http_connection *connection);

#endif
