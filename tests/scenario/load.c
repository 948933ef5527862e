#include "scenario.h"

#include <string.h>

#define MAX_ATTEMPTS 12
#define MIN_RETRY_DELAY_MS 150
#define MAX_RETRY_DELAY_MS 3000
#define TICK_MS 5

/* One attempt in progress. */
struct attempt
{
  struct load *load;
  struct request *request;
  SoupMessage *message;
  GCancellable *cancellable;
  GSource *timer;
  char *body;
};

static void begin_attempt (struct load *l, struct request *s, char *body);

struct load *
load_find (struct run *r, const char *name)
{
  for (guint i = 0; i < r->loads->len; i++)
    {
      struct load *l = g_ptr_array_index (r->loads, i);

      if (strcmp (l->name, name) == 0)
        return l;
    }
  run_abort (r, "no load is called %s", name);
  return NULL;
}

/* Stands in for the platform's load balancer: returns the next node, in turn,
   that runs and isn't stopping. */
static const struct node *
choose_node (const struct load *l)
{
  struct run *r = l->run;

  if (l->node_index >= 0)
    return &r->nodes[l->node_index];
  for (int i = 0; i < r->n_nodes; i++)
    {
      const struct node *n = &r->nodes[r->next_node++ % r->n_nodes];

      if (n->process != NULL && !n->is_stopping)
        return n;
    }
  return &r->nodes[0];
}

static char *
make_body (const struct load *l, const char *id)
{
  int run_ms = l->run_ms;
  char *pad;
  char *body;

  if (l->straggler_percent > 0
      && l->started_requests % 100 < (uint64_t)l->straggler_percent)
    run_ms = l->straggler_ms;
  pad = g_strnfill ((gsize)l->body_bytes, 'x');
  body = g_strdup_printf ("{\"id\":\"%s\",\"run_ms\":%d,\"answer_bytes\":%d,"
                          "\"pad\":\"%s\"}",
                          id, run_ms, l->answer_bytes, pad);
  g_free (pad);
  return body;
}

/* Return BODY with the option that makes the worker break off its answer. */
static char *
make_truncating_body (const char *body)
{
  return g_strdup_printf ("{\"truncate\":true,%s", body + 1);
}

/* Whether TEXT is the complete answer to the body that attempt A sent. */
static bool
is_right_answer (const struct attempt *a, const char *text, gsize size)
{
  char *digest
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, a->body, -1);
  char *head = g_strdup_printf ("{\"id\":\"%s\",\"sha256\":\"%s\"}\n",
                                a->request->id, digest);
  gsize n = strlen (head);
  bool right = size == n + (gsize)a->load->answer_bytes
               && memcmp (text, head, n) == 0;

  for (gsize i = n; right && i < size; i++)
    right = text[i] == (char)('a' + (i - n) % 26);
  g_free (head);
  g_free (digest);
  return right;
}

static void
attempt_free (struct attempt *a)
{
  g_source_destroy (a->timer);
  g_source_unref (a->timer);
  g_object_unref (a->cancellable);
  g_object_unref (a->message);
  g_free (a);
}

struct pending_retry
{
  struct load *load;
  struct request *request;
  char *body;
};

static gboolean
on_retry_timer (gpointer data)
{
  struct pending_retry *g = data;

  begin_attempt (g->load, g->request, g->body);
  g_free (g);
  return G_SOURCE_REMOVE;
}

/* Start another attempt after RETRY_DELAY_MS if IS_RETRY_ALLOWED and the
   load's options allow it; otherwise end this line of attempts.  Takes over
   A's body. */
static void
retry_or_finish (struct attempt *a, bool is_retry_allowed,
                 int64_t retry_delay_ms)
{
  struct load *l = a->load;
  struct pending_retry *g;

  if (!is_retry_allowed || !l->may_retry
      || a->request->attempts >= MAX_ATTEMPTS)
    {
      l->pending_attempts--;
      g_free (a->body);
      return;
    }
  if (a->request->retry_body != NULL)
    {
      g_free (a->body);
      a->body = g_steal_pointer (&a->request->retry_body);
    }
  g = g_new0 (struct pending_retry, 1);
  g->load = l;
  g->request = a->request;
  g->body = a->body;
  g_timeout_add (
      (guint)CLAMP (retry_delay_ms, MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
      on_retry_timer, g);
}

static void
handle_error_answer (struct attempt *a, const char *text)
{
  JsonNode *root = json_from_string (text, NULL);
  JsonObject *o;
  const char *outcome;
  int64_t retry_delay_ms;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      a->request->has_only_not_run = false;
      retry_or_finish (a, true, 0);
      return;
    }
  o = json_node_get_object (root);
  outcome = json_object_get_string_member_with_default (o, "outcome", "");
  retry_delay_ms
      = json_object_get_int_member_with_default (o, "retry_after_ms", 0);
  g_free (a->request->last_reason);
  a->request->last_reason = g_strdup (
      json_object_get_string_member_with_default (o, "reason", ""));
  if (strcmp (outcome, "not-run") != 0)
    a->request->has_only_not_run = false;
  a->request->is_unknown = strcmp (outcome, "unknown") == 0;
  a->request->is_failed = strcmp (outcome, "failed") == 0;
  /* An unknown or failed outcome is retried only without a key: a keyed
     request may run only once. */
  retry_or_finish (a, strcmp (outcome, "not-run") == 0 || !a->load->has_keys,
                   retry_delay_ms);
  json_node_unref (root);
}

static void
handle_answer (struct attempt *a, GBytes *answer)
{
  gsize size;
  const char *bytes = g_bytes_get_data (answer, &size);
  char *text = g_strndup (bytes == NULL ? "" : bytes, size);
  guint status = soup_message_get_status (a->message);

  if (status == 200)
    {
      a->request->is_answered = true;
      a->request->has_only_not_run = false;
      a->request->is_unknown = false;
      a->request->is_failed = false;
      a->request->answered_ms = run_now_ms ();
      a->request->has_wrong_answer |= !is_right_answer (a, text, size);
      retry_or_finish (a, false, 0);
    }
  else
    handle_error_answer (a, text);
  g_free (text);
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  struct attempt *a = data;
  GBytes *answer = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                      result, NULL);

  if (answer != NULL)
    handle_answer (a, answer);
  else
    {
      /* The connection broke without an answer: the request may have run. */
      a->request->has_only_not_run = false;
      retry_or_finish (a, true, 0);
    }
  if (answer != NULL)
    g_bytes_unref (answer);
  attempt_free (a);
}

static gboolean
on_timeout (gpointer data)
{
  g_cancellable_cancel (((struct attempt *)data)->cancellable);
  return G_SOURCE_REMOVE;
}

static void
set_headers (SoupMessage *m, const struct load *l, const struct request *s)
{
  SoupMessageHeaders *h = soup_message_get_request_headers (m);
  char *bearer = g_strconcat ("Bearer ", l->token, NULL);
  char *timeout = g_strdup_printf ("%d", l->timeout_ms);

  soup_message_headers_append (h, "Authorization", bearer);
  soup_message_headers_append (h, "Request-Timeout-Ms", timeout);
  if (l->has_keys)
    soup_message_headers_append (h, "Idempotency-Key", s->id);
  g_free (timeout);
  g_free (bearer);
}

static void
begin_attempt (struct load *l, struct request *s, char *body)
{
  struct attempt *a = g_new0 (struct attempt, 1);
  char *uri = g_strdup_printf ("http://127.0.0.1:%u/v1/services/%s/%s",
                               choose_node (l)->callers_port, l->service,
                               l->class_name);
  GBytes *bytes = g_bytes_new (body, strlen (body));

  a->load = l;
  a->request = s;
  a->body = body;
  a->message = soup_message_new ("POST", uri);
  a->cancellable = g_cancellable_new ();
  s->attempts++;
  set_headers (a->message, l, s);
  soup_message_set_request_body_from_bytes (a->message, "application/json",
                                            bytes);
  a->timer = g_timeout_source_new ((guint)l->timeout_ms + 2000);
  g_source_set_callback (a->timer, on_timeout, a, NULL);
  g_source_attach (a->timer, NULL);
  soup_session_send_and_read_async (l->run->session, a->message,
                                    G_PRIORITY_DEFAULT, a->cancellable,
                                    on_answer, a);
  g_bytes_unref (bytes);
  g_free (uri);
}

static void
begin_request (struct load *l)
{
  struct request *s = g_new0 (struct request, 1);
  char *body;

  s->id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, l->name,
                           (guint64)++l->started_requests);
  s->sent_ms = run_now_ms ();
  s->has_only_not_run = true;
  s->has_key = l->has_keys;
  g_ptr_array_add (l->requests, s);
  l->pending_attempts++;
  body = make_body (l, s->id);
  if (l->truncate_percent > 0
      && l->started_requests % 100 < (uint64_t)l->truncate_percent)
    {
      s->retry_body = body;
      body = make_truncating_body (body);
    }
  begin_attempt (l, s, body);
  if (!l->sends_twice)
    return;
  l->pending_attempts++;
  body = make_body (l, s->id);
  if (l->has_other_second_body)
    {
      char *other = g_strconcat (body, " ", NULL);

      g_free (body);
      body = other;
    }
  begin_attempt (l, s, body);
}

static gboolean
on_tick (gpointer data)
{
  struct load *l = data;
  int64_t now_ms = run_now_ms ();
  uint64_t due = (uint64_t)((MIN (now_ms, l->until_ms) - l->started_ms)
                            * l->rate_per_s / 1000);

  while (l->started_requests < due)
    begin_request (l);
  return now_ms < l->until_ms ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static void
set_option (struct run *r, struct load *l, const char *name, const char *value)
{
  if (strcmp (name, "service") == 0)
    l->service = g_strdup (value);
  else if (strcmp (name, "class") == 0)
    l->class_name = g_strdup (value);
  else if (strcmp (name, "token") == 0)
    l->token = g_strdup (value);
  else if (strcmp (name, "keyed") == 0)
    l->has_keys = atoi (value) != 0;
  else if (strcmp (name, "retry") == 0)
    l->may_retry = atoi (value) != 0;
  else if (strcmp (name, "rate") == 0)
    l->rate_per_s = atoi (value);
  else if (strcmp (name, "run_ms") == 0)
    l->run_ms = atoi (value);
  else if (strcmp (name, "straggler_percent") == 0)
    l->straggler_percent = atoi (value);
  else if (strcmp (name, "straggler_ms") == 0)
    l->straggler_ms = atoi (value);
  else if (strcmp (name, "answer_bytes") == 0)
    l->answer_bytes = atoi (value);
  else if (strcmp (name, "body_bytes") == 0)
    l->body_bytes = atoi (value);
  else if (strcmp (name, "truncate_percent") == 0)
    l->truncate_percent = atoi (value);
  else if (strcmp (name, "race") == 0)
    l->sends_twice = atoi (value) != 0;
  else if (strcmp (name, "other_body") == 0)
    l->has_other_second_body = atoi (value) != 0;
  else if (strcmp (name, "timeout_ms") == 0)
    l->timeout_ms = atoi (value);
  else if (strcmp (name, "for_ms") == 0)
    l->until_ms = l->started_ms + atoi (value);
  else if (strcmp (name, "node") == 0)
    l->node_index = (int)(nodes_find (r, value) - r->nodes);
  else
    run_abort (r, "a load has no option %s", name);
}

struct load *
load_start (struct run *r, char **words)
{
  struct load *l = g_new0 (struct load, 1);

  l->run = r;
  l->name = g_strdup (words[0]);
  l->requests = g_ptr_array_new ();
  l->started_ms = run_now_ms ();
  l->until_ms = l->started_ms + 1000;
  l->rate_per_s = 10;
  l->run_ms = 10;
  l->timeout_ms = 10000;
  l->may_retry = true;
  l->node_index = -1;
  for (char **w = words + 1; *w != NULL; w++)
    {
      char **pair = g_strsplit (*w, "=", 2);

      if (pair[1] == NULL)
        run_abort (r, "write NAME=VALUE in place of %s", *w);
      set_option (r, l, pair[0], pair[1]);
      g_strfreev (pair);
    }
  if (l->service == NULL || l->class_name == NULL || l->token == NULL)
    run_abort (r, "a load needs service, class and token");
  g_ptr_array_add (r->loads, l);
  g_timeout_add (TICK_MS, on_tick, l);
  return l;
}

static bool
has_all_ended (const struct run *r)
{
  for (guint i = 0; i < r->loads->len; i++)
    {
      const struct load *l = g_ptr_array_index (r->loads, i);

      if (l->pending_attempts > 0 || run_now_ms () < l->until_ms + 2 * TICK_MS)
        return false;
    }
  return true;
}

void
load_await_all (struct run *r, int64_t within_ms)
{
  int64_t deadline_ms = run_now_ms () + within_ms;

  while (!has_all_ended (r) && run_now_ms () < deadline_ms)
    run_wait_ms (r, 20);
  if (!has_all_ended (r))
    run_abort (r,
               "some requests have no outcome after %" G_GINT64_FORMAT " ms",
               (gint64)within_ms);
}
