#ifndef EDGES_LOAD_H
#define EDGES_LOAD_H

#include <glib.h>
#include <stdint.h>

/* A closed loop of HTTP requests: each connection sends the next request when
   it has the whole answer to the one before. */

struct load_options
{
  uint16_t port;
  guint connections;
  const char *request; /* the whole text, headers and body */
  gint64 warm_up_ms;
  gint64 measure_ms;
};

struct load_result
{
  double per_second; /* answers of status 200 */
  gint64 p50_us;
  gint64 p99_us;
  guint wrong;  /* other answers */
  guint broken; /* connections that ended */
};

struct load_result load_run (const struct load_options *options);

#endif
