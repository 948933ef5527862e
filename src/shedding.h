#ifndef SHEDDING_H
#define SHEDDING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Decides which client's connection is closed when memory or descriptors are
   short.  Reads no clock and does no I/O. */

enum connection_phase
{
  CONNECTION_IDLE,    /* no byte of a request has arrived */
  CONNECTION_READING, /* part of a request has arrived */
  CONNECTION_SERVING, /* the request has been passed on, without an answer */
  CONNECTION_WRITING  /* the answer is being sent */
};

struct connection_load
{
  enum connection_phase phase;
  uint64_t bytes;          /* memory that the connection holds */
  uint64_t listener_bytes; /* that all connections of its listener hold */
  int64_t changed_ms;      /* IDLE and READING: begin of the phase; WRITING:
                              when the client last took part of the answer */
};

/* Returned if no connection may be closed. */
#define SHEDDING_NONE (-1)

/* Return the index in LOADS of the connection to close while connections hold
   too much memory: first one whose client does not read, then one whose
   request is not whole, of the listener that holds most, then any other.  A
   connection whose request has been passed on is never closed: its client
   could not tell whether the request was carried out. */
gssize shedding_choose_for_memory (const struct connection_load *loads,
                                   gsize n, int64_t now_ms);

/* Return the index in LOADS of the connection to close so that a new one finds
   room: first one whose client does not read, then the one that has been idle
   longest, then the oldest incomplete request, then the slowest reader. */
gssize shedding_choose_for_room (const struct connection_load *loads, gsize n,
                                 int64_t now_ms);

#endif
