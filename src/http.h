#ifndef HTTP_H
#define HTTP_H

#include "counters.h"
#include "reason.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* Helpers that the HTTP servers for callers (callers.h) and for operators
   (admin.h) share. */

/* Answer MESSAGE with STATUS and the JSON TEXT.  Its type is
   application/problem+json if STATUS is 400 or above. */
void http_answer_json (SoupServerMessage *message, guint status,
                       const char *text);

#define HTTP_PROBLEM_TYPE "application/problem+json"

/* Return the JSON text of a problem for REASON, which the caller frees.
   RETRY_AFTER_MS is written even if it is 0. */
char *http_problem_text (enum reason reason, int64_t retry_after_ms);

/* Answer MESSAGE with the status and the application/problem+json of REASON,
   and with a Retry-After if RETRY_AFTER_MS is above 0. */
void http_answer_problem (SoupServerMessage *message, enum reason reason,
                          int64_t retry_after_ms);

/* Return the bearer token of MESSAGE, or "" if it has none.  MESSAGE owns
   it. */
const char *http_bearer_token (SoupServerMessage *message);

/* Return whether two secrets are equal, in a time that depends only on their
   lengths. */
bool http_secrets_equal (const char *a, const char *b);

/* Collect the request body of MESSAGE as it arrives.  A body above MAX_BYTES
   is refused as soon as its Content-Length or the bytes received exceed the
   limit.  To be called when the headers have arrived. */
void http_collect_body (SoupServerMessage *message, uint64_t max_bytes,
                        struct counters *counters);

/* Return whether a body follows the headers of MESSAGE. */
bool http_has_body (SoupServerMessage *message);

/* Return the collected body, which the caller unrefs, or NULL if it was
   refused or has been taken already. */
GBytes *http_take_body (SoupServerMessage *message);

/* Return the URI path of MESSAGE, which libsoup has decoded, split at '/' and
   without empty parts.  Free with g_strfreev. */
char **http_split_path (SoupServerMessage *message);

/* Return the part of the decoded path of MESSAGE that follows PREFIX,
   including further slashes, or NULL if there is none.  MESSAGE owns it. */
const char *http_path_after (SoupServerMessage *message, const char *prefix);

#endif
