#ifndef CONNECTIONS_H
#define CONNECTIONS_H

#include "counters.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* The connections of one HTTP edge.  libsoup bounds neither their number nor
   the time that a caller takes, so this module follows each from the moment
   libsoup accepts it, and closes those that are idle, slow, stalled or gone,
   or too many. */

struct connections;

struct connections_limits
{
  uint32_t max;       /* open at once */
  int64_t idle_ms;    /* between two requests */
  int64_t request_ms; /* to send a request, or to take more of an answer */
};

struct connections_functions
{
  /* The caller whose MESSAGE is being served has closed its connection. */
  void (*gone) (void *data, SoupServerMessage *message);
};

/* Serve on ADDRESS and PORT what SERVER handles.  Return NULL with ERROR set
   if it can't listen there. */
struct connections *
connections_new (SoupServer *server, const char *address, uint16_t port,
                 const struct connections_limits *limits,
                 const struct connections_functions *functions, void *data,
                 struct counters *counters, GError **error);

/* Follow them no more; SERVER closes them. */
void connections_destroy (struct connections *connections);

/* Return how many are open. */
uint32_t connections_open (const struct connections *connections);

/* Answer MESSAGE with TEXT now, before the rest of its body has come, and
   close its connection soon after. */
void connections_answer_early (SoupServerMessage *message, guint status,
                               const char *content_type, const char *text);

/* Close the connection of MESSAGE without another byte. */
void connections_cut (SoupServerMessage *message);

#endif
