#include "scenario.h"

/* Asks every running node ten times a second which configuration is in force,
   and judges the answers: a version may never go back at a node, and has to be
   in force at every node within some seconds of its first sight anywhere. */

#define ASK_EVERY_MS 100
#define IN_FORCE_WITHIN_MS 3000

/* A version, and when any node first named it. */
struct sighting
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
version_in (GBytes *answer)
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
note_sighting (struct watch *w, int64_t version)
{
  struct sighting s = { version, run_now_ms () };

  for (guint i = 0; i < w->sightings->len; i++)
    if (g_array_index (w->sightings, struct sighting, i).version == version)
      return;
  g_array_append_val (w->sightings, s);
}

/* Whether a newer version than VERSION was in sight long before ASKED_MS. */
static bool
is_stale (const struct watch *w, int64_t version, int64_t asked_ms)
{
  for (guint i = 0; i < w->sightings->len; i++)
    {
      const struct sighting *s
          = &g_array_index (w->sightings, struct sighting, i);

      if (s->version > version && s->first_ms + IN_FORCE_WITHIN_MS < asked_ms)
        return true;
    }
  return false;
}

static void
note_version (struct watch *w, const struct question *q, int64_t version)
{
  w->answers++;
  w->back += version < w->versions[q->node];
  w->stale += is_stale (w, version, q->asked_ms);
  w->versions[q->node] = version;
  note_sighting (w, version);
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  struct question *q = data;
  GBytes *answer = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                      result, NULL);

  q->run->watch.asking[q->node] = false;
  /* A node that says that it does not know says nothing wrong. */
  if (answer != NULL && soup_message_get_status (q->message) == 200)
    note_version (&q->run->watch, q, version_in (answer));
  if (answer != NULL)
    g_bytes_unref (answer);
  g_object_unref (q->message);
  g_free (q);
}

static void
ask (struct run *r, int node)
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
  r->watch.asking[node] = true;
  soup_session_send_and_read_async (r->session, q->message, G_PRIORITY_DEFAULT,
                                    NULL, on_answer, q);
  g_free (uri);
}

static gboolean
on_tick (gpointer data)
{
  struct run *r = data;

  for (int i = 0; i < r->n_nodes; i++)
    if (r->nodes[i].process != NULL && !r->nodes[i].frozen
        && !r->watch.asking[i])
      ask (r, i);
  return G_SOURCE_CONTINUE;
}

void
watch_start (struct run *r)
{
  r->watch.sightings = g_array_new (FALSE, FALSE, sizeof (struct sighting));
  g_timeout_add (ASK_EVERY_MS, on_tick, r);
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
      low = MIN (low, r->watch.versions[i]);
      high = MAX (high, r->watch.versions[i]);
    }
  return high - MIN (low, high);
}
