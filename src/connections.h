#ifndef CONNECTIONS_H
#define CONNECTIONS_H

#include "counters.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* The connections of one HTTP server.  libsoup bounds neither their number nor
   the time that a caller takes.  This module therefore tracks each connection
   from its acceptance on, refuses those above the limit, and closes those that
   are idle, send a request too slowly, stop reading an answer, or have been
   closed by the caller. */

struct connections;

struct connections_limits
{
  uint32_t max; /* connections open at once */
  /* Longest time without a request, from accepting or the last answer on. */
  int64_t idle_ms;
  /* Longest time to send a request, apart from what connections.c grants for
     its body, and to read nothing of an answer. */
  int64_t request_ms;
};

struct connections_functions
{
  /* The caller closed its connection while MESSAGE was being served. */
  void (*caller_disconnected) (void *data, SoupServerMessage *message);
};

/* Make SERVER listen on ADDRESS and PORT, and enforce LIMITS on its
   connections from the thread-default main context of the caller.  FUNCTIONS,
   which are called with DATA, may be NULL.  Return NULL with ERROR set if it
   can't listen there. */
struct connections *
connections_new (SoupServer *server, const char *address, uint16_t port,
                 const struct connections_limits *limits,
                 const struct connections_functions *functions, void *data,
                 struct counters *counters, GError **error);

/* Stop tracking the connections and free CONNECTIONS.  The connections
   themselves stay open until SERVER closes them. */
void connections_destroy (struct connections *connections);

/* Return how many connections count towards the limit. */
uint32_t connections_count_open (const struct connections *connections);

/* Answer MESSAGE with TEXT at once, without waiting for the rest of its body,
   and close its connection within a few seconds. */
void connections_answer_early (SoupServerMessage *message, guint status,
                               const char *content_type, const char *text);

/* Close the connection of MESSAGE without sending anything more. */
void connections_abort (SoupServerMessage *message);

#endif
