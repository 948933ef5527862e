#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Finds the end of an HTTP request's head in bytes that arrive in pieces, and
   counts its lines. */

struct http_head
{
  uint32_t lines;      /* whole lines, the empty one at the end among them */
  uint64_t line_bytes; /* of the line that is not whole */
  bool ends_in_return; /* its last byte is a carriage return */
  bool is_complete;
};

/* Scan SIZE bytes of DATA that follow those scanned before, up to the end of
   the head.  Return how many of them belong to the head. */
gsize http_head_scan (struct http_head *head, const char *data, gsize size);

#endif
