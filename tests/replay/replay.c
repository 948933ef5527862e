#include "replay.h"

#include "core.h"
#include "peer_message.h"
#include "platform_fake.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* The simulated nodes, callers and links, and the virtual clock. */

#define PEER_DELAY_MS 1
#define TRACE_START_MS 3000  /* time for the nodes to start and join */
#define AFTER_TRACE_MS 70000 /* time to run on after the last event */
#define TICK_MS CORE_TICK_MS

struct node
{
  char *name;
  struct core *core;
  struct counters *counters;
  bool is_dead;
};

/* A message, an event of the trace or a retry that is due at AT_MS. */
struct scheduled_event
{
  int64_t at_ms;
  uint64_t order;
  uint32_t node;
  struct message *message; /* to NODE, or NULL */
  const struct trace_event *event;
  uint64_t retry; /* index of the request to retry, plus 1; 0 for none */
};

struct world
{
  const struct replay_options *options;
  struct node *nodes;
  GSequence *events;
  uint64_t order;
  int64_t now_ms;
  int64_t start_ms; /* the trace's time 0 */
  GRand *random;
  struct platform_fake *platform;
  struct replay_result *result;
  GArray *attempts; /* index of the request, by attempt number - 1 */
  GArray *attempt_nodes;
};

static gint
compare_scheduled (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct scheduled_event *x = a;
  const struct scheduled_event *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

static struct scheduled_event *
schedule (struct world *w, int64_t at_ms)
{
  struct scheduled_event *d = g_new0 (struct scheduled_event, 1);

  d->at_ms = at_ms;
  d->order = w->order++;
  g_sequence_insert_sorted (w->events, d, compare_scheduled, NULL);
  return d;
}

static void
deliver (struct world *w, uint32_t node, struct message *m, int64_t at_ms)
{
  struct scheduled_event *d = schedule (w, at_ms);

  d->node = node;
  d->message = m;
}

/* The platform_fake_deliver callback. */
static void
deliver_from_platform (void *data, uint32_t node, struct message *m,
                       int64_t at_ms)
{
  deliver (data, node, m, at_ms);
}

static struct replayed_request *
find_request (struct world *w, uint64_t request)
{
  guint request_index;

  if (request == 0 || request > w->attempts->len)
    return NULL;
  request_index = g_array_index (w->attempts, guint, request - 1);
  return &g_array_index (w->result->requests, struct replayed_request,
                         request_index);
}

/* Callers. */

static void
send_request (struct world *w, guint request_index)
{
  struct replayed_request *f = &g_array_index (
      w->result->requests, struct replayed_request, request_index);
  struct message *m = message_new (MESSAGE_REQUEST);
  uint32_t node;

  do
    node = (uint32_t)g_rand_int_range (w->random, 0,
                                       (gint32)w->options->n_nodes);
  while (w->nodes[node].is_dead);
  g_array_append_val (w->attempts, request_index);
  g_array_append_val (w->attempt_nodes, node);
  m->u.request.request = w->attempts->len;
  m->u.request.service = g_strdup (f->event->service);
  m->u.request.class_name = g_strdup (f->event->class_name);
  m->u.request.token = g_strdup (f->event->team);
  m->u.request.key
      = g_strdup_printf ("k%" G_GUINT64_FORMAT, (guint64)f->event->request);
  m->u.request.body_bytes = f->event->bytes;
  f->sent_ms = w->now_ms;
  f->started_ms = -1;
  f->refused_ms = -1;
  deliver (w, node, m, w->now_ms);
}

static bool
is_permanent (enum reason reason)
{
  return reason == REASON_BODY_TOO_LARGE || reason == REASON_NEVER_FITS
         || reason_outcome (reason) != OUTCOME_NOT_RUN;
}

static void
handle_refusal (struct world *w, const struct message_refuse *m)
{
  struct replayed_request *f = find_request (w, m->request);

  if (f == NULL)
    return;
  if (f->retries == 0)
    f->first_refusal_after_ms = w->now_ms - f->sent_ms;
  if (f->retries == 1)
    f->is_retry_accepted = false;
  f->reason = m->reason;
  f->refused_ms = w->now_ms;
  if (f->cancelled || is_permanent (m->reason)
      || f->retries >= w->options->max_retries)
    {
      f->ended = true;
      return;
    }
  f->retries++;
  if (f->retries == 1)
    {
      f->has_retried = true;
      f->is_retry_accepted = true;
    }
  schedule (w, w->now_ms + MAX (m->retry_after_ms, 1))->retry
      = (uint64_t)(f - (struct replayed_request *)w->result->requests->data)
        + 1;
}

/* Output of a core. */

static void
send_peer (struct world *w, uint32_t from,
           const struct message_send_to_peer *s)
{
  for (uint32_t i = 0; i < w->options->n_nodes; i++)
    {
      struct message *m;
      GBytes *bytes;

      if (i == from || w->nodes[i].is_dead
          || (s->to[0] != '\0' && strcmp (s->to, w->nodes[i].name) != 0))
        continue;
      bytes = peer_message_to_bytes (s->peer);
      m = message_new (MESSAGE_PEER);
      peer_message_from_bytes (bytes, &m->u.peer.peer);
      g_bytes_unref (bytes);
      deliver (w, i, m, w->now_ms + PEER_DELAY_MS);
      w->result->peer_messages++;
    }
}

static void
start_run (struct world *w, uint32_t node, const struct message_run *r)
{
  struct replayed_request *f = find_request (w, r->request);

  if (f->started_ms < 0)
    f->started_ms = w->now_ms;
  w->result->runs++;
  f->run_end_ms = w->now_ms + MIN (f->event->run_ms, r->timeout_ms);
  f->starts += platform_fake_start_run (w->platform, node, r, f->event->run_ms,
                                        w->now_ms);
}

static void
handle_output (struct world *w, uint32_t node, struct message *m)
{
  switch (m->kind)
    {
    case MESSAGE_RUN:
      start_run (w, node, &m->u.run);
      break;
    case MESSAGE_REFUSE:
      handle_refusal (w, &m->u.refuse);
      break;
    case MESSAGE_SEND_TO_PEER:
      send_peer (w, node, &m->u.send_to_peer);
      break;
    case MESSAGE_APPEND:
    case MESSAGE_APPEND_CANCEL:
    case MESSAGE_VM_ORDER:
      platform_fake_handle_message (w->platform, m, w->now_ms);
      break;
    default:
      break;
    }
}

static void
handle_run_ended (struct world *w, const struct message_run_ended *m)
{
  struct replayed_request *f = find_request (w, m->request);

  if (m->result == RUN_ANSWERED || m->result == RUN_TIMED_OUT)
    f->ended = true;
  f->answered |= m->result == RUN_ANSWERED;
}

static bool
was_run_lost (const struct world *w, const struct message_run_ended *m)
{
  return m->result != RUN_LOST
         && platform_fake_was_run_lost (w->platform, m->request, m->attempt);
}

static void
handle_message (struct world *w, uint32_t node, struct message *m)
{
  struct node *n = &w->nodes[node];
  GQueue out = G_QUEUE_INIT;
  struct message *next;

  if (n->is_dead)
    {
      message_destroy (m);
      return;
    }
  if (m->kind == MESSAGE_RUN_ENDED && was_run_lost (w, &m->u.run_ended))
    {
      message_destroy (m);
      return;
    }
  if (m->kind == MESSAGE_RUN_ENDED)
    handle_run_ended (w, &m->u.run_ended);
  w->result->steps++;
  core_handle (n->core, m, w->now_ms, &out);
  while ((next = g_queue_pop_head (&out)) != NULL)
    {
      handle_output (w, node, next);
      message_destroy (next);
    }
}

static void
tick_nodes (struct world *w)
{
  for (uint32_t i = 0; i < w->options->n_nodes; i++)
    handle_message (w, i, message_new (MESSAGE_TICK));
}

/* The trace. */

static void
cancel_request (struct world *w, uint64_t request)
{
  for (guint i = w->attempts->len; i > 0; i--)
    {
      struct replayed_request *f = find_request (w, i);
      struct message *m;

      if (f->event->request != request)
        continue;
      if (f->ended || f->cancelled)
        return;
      f->cancelled = true;
      m = message_new (MESSAGE_ABANDON);
      m->u.abandon.request = i;
      deliver (w, g_array_index (w->attempt_nodes, uint32_t, i - 1), m,
               w->now_ms);
      return;
    }
}

static void
apply_trace_event (struct world *w, const struct trace_event *e)
{
  switch (e->kind)
    {
    case TRACE_REQUEST:
      send_request (w, (guint)(e->request - 1));
      break;
    case TRACE_CANCEL:
      cancel_request (w, e->request);
      break;
    case TRACE_VM:
    case TRACE_VM_FAILS:
    case TRACE_VM_BREAKS:
    case TRACE_DRAIN:
    case TRACE_MAINTAIN:
    case TRACE_OUTAGE:
      platform_fake_apply_event (w->platform, e, w->now_ms);
      break;
    case TRACE_BURST:
    case TRACE_KIND_COUNT:
      break;
    }
}

static void
kill_node (struct world *w)
{
  struct node *n;

  if (w->options->kill_node < 0
      || w->now_ms - w->start_ms < w->options->kill_ms)
    return;
  n = &w->nodes[w->options->kill_node];
  if (n->is_dead)
    return;
  n->is_dead = true;
  for (guint i = 0; i < w->attempts->len; i++)
    {
      struct replayed_request *f = find_request (w, i + 1);

      if (!f->ended
          && g_array_index (w->attempt_nodes, uint32_t, i)
                 == (uint32_t)w->options->kill_node)
        f->ended = f->cancelled = true;
    }
}

static void
handle_scheduled (struct world *w, struct scheduled_event *d)
{
  w->now_ms = d->at_ms;
  if (d->message != NULL)
    handle_message (w, d->node, d->message);
  else if (d->event != NULL)
    apply_trace_event (w, d->event);
  else if (d->retry != 0)
    {
      struct replayed_request *f = &g_array_index (
          w->result->requests, struct replayed_request, d->retry - 1);

      if (!f->ended && !f->cancelled)
        send_request (w, (guint)(d->retry - 1));
    }
}

static bool
run_scheduled (struct world *w, int64_t until_ms)
{
  for (;;)
    {
      GSequenceIter *i = g_sequence_get_begin_iter (w->events);
      struct scheduled_event *d;

      if (g_sequence_iter_is_end (i))
        return false;
      d = g_sequence_get (i);
      if (d->at_ms > until_ms)
        return true;
      g_sequence_remove (i);
      handle_scheduled (w, d);
      g_free (d);
    }
}

static void
mark_requests_in_bursts (const GArray *trace, GArray *requests)
{
  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *b
          = &g_array_index (trace, struct trace_event, i);

      if (b->kind != TRACE_BURST)
        continue;
      for (guint k = 0; k < requests->len; k++)
        {
          struct replayed_request *f
              = &g_array_index (requests, struct replayed_request, k);

          if (f->event->service != b->service || f->event->at_ms < b->at_ms
              || f->event->at_ms >= b->at_ms + b->for_ms)
            continue;
          if (f->event->class_name != b->class_name)
            f->in_sibling_burst = true;
          else
            f->in_burst = true;
        }
    }
}

static GArray *
replayed_requests_new (const GArray *trace, const struct config *config)
{
  GArray *requests
      = g_array_new (FALSE, TRUE, sizeof (struct replayed_request));

  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *e
          = &g_array_index (trace, struct trace_event, i);
      int service;

      if (e->kind != TRACE_REQUEST)
        continue;
      if (requests->len < e->request)
        g_array_set_size (requests, (guint)e->request);
      service = config_find_service (config, e->service);
      g_array_index (requests, struct replayed_request, e->request - 1)
          = (struct replayed_request){
              .event = e,
              .class_index = (uint32_t)config_find_class (
                  config, (uint32_t)service, e->class_name),
              .started_ms = -1,
              .refused_ms = -1,
            };
    }
  mark_requests_in_bursts (trace, requests);
  return requests;
}

static void
world_init (struct world *w, const GArray *trace, const char *text)
{
  const struct replay_options *o = w->options;

  w->random = g_rand_new_with_seed (7);
  w->events = g_sequence_new (NULL);
  w->attempts = g_array_new (FALSE, FALSE, sizeof (guint));
  w->attempt_nodes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  w->nodes = g_new0 (struct node, o->n_nodes);
  w->start_ms = TRACE_START_MS;
  w->platform = platform_fake_new (o->n_nodes, deliver_from_platform, w);
  for (uint32_t i = 0; i < o->n_nodes; i++)
    {
      struct node *n = &w->nodes[i];
      struct core_options c = { .zone = "zone-1",
                                .incarnation = 100 + i,
                                .max_requests = 100000,
                                .seed = i + 1 };

      n->name = g_strdup_printf ("n%u", i + 1);
      n->counters = counters_new ();
      c.node = n->name;
      n->core = core_new (&c, n->counters);
    }
  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *e
          = &g_array_index (trace, struct trace_event, i);

      if (e->kind == TRACE_VM)
        platform_fake_apply_event (w->platform, e, 0);
      else
        schedule (w, w->start_ms + e->at_ms)->event = e;
    }
  platform_fake_publish (w->platform, text, 0);
}

static void
world_clear (struct world *w)
{
  GSequenceIter *i;

  while (!g_sequence_iter_is_end (i = g_sequence_get_begin_iter (w->events)))
    {
      struct scheduled_event *d = g_sequence_get (i);

      if (d->message != NULL)
        message_destroy (d->message);
      g_free (d);
      g_sequence_remove (i);
    }
  g_sequence_free (w->events);
  for (uint32_t n = 0; n < w->options->n_nodes; n++)
    {
      core_destroy (w->nodes[n].core);
      counters_destroy (w->nodes[n].counters);
      g_free (w->nodes[n].name);
    }
  g_free (w->nodes);
  g_array_unref (w->attempts);
  g_array_unref (w->attempt_nodes);
  g_rand_free (w->random);
  platform_fake_destroy (w->platform);
}

struct replay_result *
replay_run (const GArray *trace, const char *text,
            const struct replay_options *options)
{
  struct config *config = config_from_text (text, -1, NULL);
  struct replay_result *r = g_new0 (struct replay_result, 1);
  struct world w = { .options = options, .result = r };
  const struct trace_event *last
      = &g_array_index (trace, struct trace_event, trace->len - 1);
  int64_t end_ms = TRACE_START_MS + last->at_ms + AFTER_TRACE_MS;

  g_assert (config != NULL);
  r->end_ms = end_ms;
  r->requests = replayed_requests_new (trace, config);
  config_destroy (config);
  world_init (&w, trace, text);
  for (int64_t at_ms = 0; at_ms <= end_ms; at_ms += TICK_MS)
    {
      run_scheduled (&w, at_ms);
      w.now_ms = at_ms;
      kill_node (&w);
      platform_fake_step (w.platform, at_ms);
      tick_nodes (&w);
    }
  platform_fake_report (w.platform, r);
  world_clear (&w);
  return r;
}

void
replay_result_destroy (struct replay_result *result)
{
  if (result == NULL)
    return;
  g_array_unref (result->requests);
  g_free (result);
}

char *
replay_config (const char *filename, GError **error)
{
  JsonParser *parser = json_parser_new ();
  JsonArray *teams;
  char *text = NULL;

  if (json_parser_load_from_file (parser, filename, error))
    {
      JsonNode *root = json_parser_get_root (parser);

      teams = json_object_get_array_member (json_node_get_object (root),
                                            "teams");
      for (guint i = 0; i < json_array_get_length (teams); i++)
        {
          JsonObject *t = json_array_get_object_element (teams, i);
          char *sum = g_compute_checksum_for_string (
              G_CHECKSUM_SHA256, json_object_get_string_member (t, "name"),
              -1);

          json_object_set_string_member (t, "token_sha256", sum);
          g_free (sum);
        }
      text = json_to_string (root, FALSE);
    }
  g_object_unref (parser);
  return text;
}
