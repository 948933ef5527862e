#include "http_head.h"

#include <string.h>

gsize
http_head_scan (struct http_head *head, const char *data, gsize size)
{
  gsize scanned = 0;

  while (scanned < size && !head->is_complete)
    {
      const char *rest = data + scanned;
      const char *end = memchr (rest, '\n', size - scanned);
      gsize bytes = end != NULL ? (gsize)(end - rest) : size - scanned;

      if (bytes > 0)
        {
          head->line_bytes += bytes;
          head->ends_in_return = rest[bytes - 1] == '\r';
        }
      scanned += bytes;
      if (end == NULL)
        break;
      scanned++;
      head->lines++;
      head->is_complete = head->line_bytes == 0
                          || (head->line_bytes == 1 && head->ends_in_return);
      head->line_bytes = 0;
      head->ends_in_return = false;
    }
  return scanned;
}
