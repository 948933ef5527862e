#ifndef HTTP_H
#define HTTP_H

#include "counters.h"
#include "reason.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* Small helpers that the callers' and the operators' edges share. */

/* Answer MESSAGE with JSON TEXT, which is a problem if STATUS says so. */
void http_answer_json (SoupServerMessage *message, guint status,
                       const char *text);

#define HTTP_PROBLEM_TYPE "application/problem+json"

/* Return the text of a problem for REASON, which the caller frees. */
char *http_problem_text (enum reason reason, int64_t retry_after_ms);

/* Answer MESSAGE with an application/problem+json for REASON. */
void http_answer_problem (SoupServerMessage *message, enum reason reason,
                          int64_t retry_after_ms);

/* Return the bearer token of MESSAGE, or "". */
const char *http_bearer (SoupServerMessage *message);

/* Compare two secrets in a time that depends on their lengths only. */
bool http_same_secret (const char *a, const char *b);

/* Take the request body of MESSAGE in as it arrives.  One above MAX_BYTES is
   refused at once, by its Content-Length or when it outgrows the limit.
   Called when the headers have arrived. */
void http_collect_body (SoupServerMessage *message, uint64_t max_bytes,
                        struct counters *counters);

/* Whether a body follows the headers of MESSAGE. */
bool http_has_body (SoupServerMessage *message);

/* Return the body that was collected, or NULL if it was refused. */
GBytes *http_take_body (SoupServerMessage *message);

/* Return the URI path of MESSAGE, which libsoup has decoded, split at '/' and
   without empty parts.  Free with g_strfreev. */
char **http_path (SoupServerMessage *message);

/* Return the part of the decoded path of MESSAGE that follows PREFIX, slashes
   and all, or NULL if there is none. */
const char *http_path_after (SoupServerMessage *message, const char *prefix);

#endif
