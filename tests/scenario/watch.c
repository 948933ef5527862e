#include "scenario.h"

/* Asks every running node ten times a second which configuration version is
   in force, and checks the answers: the version of a node may never decrease,
   and a version that one node has named must be in force at every node within
   IN_FORCE_WITHIN_MS. */

#define ASK_INTERVAL_MS 100
#define IN_FORCE_WITHIN_MS 3000

/* A version, and when the first node named it. */
struct seen_version
{
  int64_t version;
  int64_t first_ms;
};

/* One question in progress. */
struct question
{
  struct run *run;
  SoupMessage *message;
  int node;
  int64_t asked_ms;
};

static int64_t
parse_version (GBytes *answer)
{
  gsize size;
  const char *data = g_bytes_get_data (answer, &size);
  char *text = g_strndup (data == NULL ? "" : data, size);
  JsonNode *root = json_from_string (text, NULL);
  int64_t version = -1;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    version = json_object_get_int_member_with_default (
        json_node_get_object (root), "version", -1);
  if (root != NULL)
    json_node_unref (root);
  g_free (text);
  return version;
}

static void
note_seen_version (struct watch *w, int64_t version)
{
  struct seen_version s = { version, run_now_ms () };

  for (guint i = 0; i < w->seen_versions->len; i++)
    if (g_array_index (w->seen_versions, struct seen_version, i).version
        == version)
      return;
  g_array_append_val (w->seen_versions, s);
}

/* Whether any node had named a newer version than VERSION more than
   IN_FORCE_WITHIN_MS before ASKED_MS. */
static bool
is_stale (const struct watch *w, int64_t version, int64_t asked_ms)
{
  for (guint i = 0; i < w->seen_versions->len; i++)
    {
      const struct seen_version *s
          = &g_array_index (w->seen_versions, struct seen_version, i);

      if (s->version > version && s->first_ms + IN_FORCE_WITHIN_MS < asked_ms)
        return true;
    }
  return false;
}

static void
note_answer (struct watch *w, const struct question *q, int64_t version)
{
  w->answers++;
  w->went_back += version < w->last_versions[q->node];
  w->stale += is_stale (w, version, q->asked_ms);
  w->last_versions[q->node] = version;
  note_seen_version (w, version);
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  struct question *q = data;
  GBytes *answer = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                      result, NULL);

  q->run->watch.is_asking[q->node] = false;
  /* Any other status means that the node doesn't know the version now, which
     is no violation. */
  if (answer != NULL && soup_message_get_status (q->message) == 200)
    note_answer (&q->run->watch, q, parse_version (answer));
  if (answer != NULL)
    g_bytes_unref (answer);
  g_object_unref (q->message);
  g_free (q);
}

static void
send_question (struct run *r, int node)
{
  struct question *q = g_new0 (struct question, 1);
  char *uri = g_strdup_printf ("http://127.0.0.1:%u/admin/v1/configuration",
                               r->nodes[node].admin_port);

  q->run = r;
  q->node = node;
  q->asked_ms = run_now_ms ();
  q->message = soup_message_new ("GET", uri);
  soup_message_headers_append (soup_message_get_request_headers (q->message),
                               "Authorization", "Bearer " ADMIN_TOKEN);
  r->watch.is_asking[node] = true;
  soup_session_send_and_read_async (r->session, q->message, G_PRIORITY_DEFAULT,
                                    NULL, on_answer, q);
  g_free (uri);
}

static gboolean
on_tick (gpointer data)
{
  struct run *r = data;

  for (int i = 0; i < r->n_nodes; i++)
    if (r->nodes[i].process != NULL && !r->nodes[i].is_frozen
        && !r->watch.is_asking[i])
      send_question (r, i);
  return G_SOURCE_CONTINUE;
}

void
watch_start (struct run *r)
{
  r->watch.seen_versions
      = g_array_new (FALSE, FALSE, sizeof (struct seen_version));
  g_timeout_add (ASK_INTERVAL_MS, on_tick, r);
}

int64_t
watch_spread (const struct run *r)
{
  int64_t low = INT64_MAX;
  int64_t high = 0;

  for (int i = 0; i < r->n_nodes; i++)
    {
      if (r->nodes[i].process == NULL)
        continue;
      low = MIN (low, r->watch.last_versions[i]);
      high = MAX (high, r->watch.last_versions[i]);
    }
  return high - MIN (low, high);
}
