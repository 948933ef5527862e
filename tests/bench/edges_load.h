#ifndef EDGES_LOAD_H
#define EDGES_LOAD_H

#include <glib.h>
#include <stdint.h>

/* A closed-loop HTTP load: each connection sends its next request once it has
   the whole answer to the previous one. */

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
  guint not_200; /* answers of any other status */
  guint broken;  /* connections that ended */
};

/* Run the load in the calling thread for its warm-up and measuring time.  The
   result covers requests sent after the warm-up. */
struct load_result load_run (const struct load_options *options);

#endif
