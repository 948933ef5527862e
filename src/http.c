#include "http.h"

#include "connections.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define BODY_KEY "shed-body"
#define PATH_PARTS_MAX 16

struct body
{
  GByteArray *bytes;
  uint64_t max_bytes;
  struct counters *counters;
  bool drops_chunks; /* the body was refused or taken */
};

void
http_answer_json (SoupServerMessage *message, guint status, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (
      message, status >= 400 ? HTTP_PROBLEM_TYPE : "application/json",
      SOUP_MEMORY_COPY, text, strlen (text));
}

static void
put_string (JsonBuilder *b, const char *name, const char *value)
{
  json_builder_set_member_name (b, name);
  json_builder_add_string_value (b, value);
}

char *
http_problem_text (enum reason reason, int64_t retry_after_ms)
{
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (b);
  put_string (b, "type", "about:blank");
  put_string (b, "title", reason_name (reason));
  json_builder_set_member_name (b, "status");
  json_builder_add_int_value (b, reason_status (reason));
  put_string (b, "outcome", outcome_name (reason_outcome (reason)));
  put_string (b, "reason", reason_name (reason));
  put_string (b, "remedy", reason_remedy (reason));
  json_builder_set_member_name (b, "retry_after_ms");
  json_builder_add_int_value (b, retry_after_ms);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (b);
  return text;
}

void
http_answer_problem (SoupServerMessage *message, enum reason reason,
                     int64_t retry_after_ms)
{
  char *text = http_problem_text (reason, retry_after_ms);
  SoupMessageHeaders *h = soup_server_message_get_response_headers (message);
  char seconds[24];

  soup_server_message_set_status (message, reason_status (reason), NULL);
  soup_server_message_set_response (message, HTTP_PROBLEM_TYPE,
                                    SOUP_MEMORY_TAKE, text, strlen (text));
  if (retry_after_ms <= 0)
    return;
  g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
              (gint64)(retry_after_ms + 999) / 1000);
  soup_message_headers_replace (h, "Retry-After", seconds);
}

const char *
http_bearer_token (SoupServerMessage *message)
{
  const char *value = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "Authorization");

  if (value == NULL || g_ascii_strncasecmp (value, "Bearer ", 7) != 0)
    return "";
  return value + 7;
}

bool
http_secrets_equal (const char *a, const char *b)
{
  size_t n = strlen (a);
  unsigned differ = n != strlen (b);

  for (size_t i = 0; i < n && b[i] != '\0'; i++)
    differ |= (unsigned)(a[i] ^ b[i]);
  return differ == 0;
}

static void
body_free (gpointer p)
{
  struct body *b = p;

  if (b->bytes != NULL)
    g_byte_array_unref (b->bytes);
  g_free (b);
}

static void
refuse_large_body (SoupServerMessage *message, struct body *b)
{
  char *text = http_problem_text (REASON_BODY_TOO_LARGE, 0);

  b->drops_chunks = true;
  g_byte_array_set_size (b->bytes, 0);
  counters_add_reason (b->counters, REASON_BODY_TOO_LARGE);
  connections_answer_early (message, reason_status (REASON_BODY_TOO_LARGE),
                            HTTP_PROBLEM_TYPE, text);
  g_free (text);
}

static void
on_body_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct body *b = data;
  gsize size;
  const guint8 *bytes = g_bytes_get_data (chunk, &size);

  if (b->drops_chunks)
    return;
  if (b->bytes->len + size > b->max_bytes)
    refuse_large_body (message, b);
  else
    g_byte_array_append (b->bytes, bytes, (guint)size);
}

bool
http_has_body (SoupServerMessage *message)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (message);

  return soup_message_headers_get_encoding (h) == SOUP_ENCODING_CHUNKED
         || soup_message_headers_get_content_length (h) > 0;
}

void
http_collect_body (SoupServerMessage *message, uint64_t max_bytes,
                   struct counters *counters)
{
  struct body *b = g_new0 (struct body, 1);
  goffset length = soup_message_headers_get_content_length (
      soup_server_message_get_request_headers (message));

  b->bytes = g_byte_array_new ();
  b->max_bytes = max_bytes;
  b->counters = counters;
  g_object_set_data_full (G_OBJECT (message), BODY_KEY, b, body_free);
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  if (length > 0 && (uint64_t)length > max_bytes)
    refuse_large_body (message, b);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_body_chunk), b);
}

GBytes *
http_take_body (SoupServerMessage *message)
{
  struct body *b = g_object_get_data (G_OBJECT (message), BODY_KEY);
  GByteArray *bytes;

  if (b == NULL || b->drops_chunks || b->bytes == NULL)
    return NULL;
  bytes = b->bytes;
  b->bytes = NULL;
  b->drops_chunks = true;
  return g_byte_array_free_to_bytes (bytes);
}

char **
http_split_path (SoupServerMessage *message)
{
  const char *path = g_uri_get_path (soup_server_message_get_uri (message));
  char **parts = g_strsplit (path, "/", PATH_PARTS_MAX);
  GPtrArray *non_empty = g_ptr_array_new ();

  for (char **p = parts; *p != NULL; p++)
    if (**p != '\0')
      g_ptr_array_add (non_empty, g_strdup (*p));
  g_strfreev (parts);
  g_ptr_array_add (non_empty, NULL);
  return (char **)g_ptr_array_free (non_empty, FALSE);
}

const char *
http_path_after (SoupServerMessage *message, const char *prefix)
{
  const char *path = g_uri_get_path (soup_server_message_get_uri (message));

  if (!g_str_has_prefix (path, prefix) || path[strlen (prefix)] == '\0')
    return NULL;
  return path + strlen (prefix);
}
