#include "replay.h"

#include "core.h"
#include "peer_message.h"
#include "platform_fake.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* The nodes, the callers and the virtual clock. */

#define PEER_DELAY_MS 1
#define SETTLE_MS 3000
#define AFTER_MS 70000
#define TICK_MS CORE_TICK_MS

struct node
{
  char *name;
  struct core *core;
  struct counters *counters;
  bool dead;
};

/* Something that happens at a moment. */
struct due
{
  int64_t at_ms;
  uint64_t order;
  uint32_t node;
  struct message *message; /* to NODE, or NULL */
  const struct trace_event *event;
  uint64_t back; /* place in fates, plus 1, of a caller who comes back */
};

struct world
{
  const struct replay_options *options;
  struct node *nodes;
  GSequence *due;
  uint64_t order;
  int64_t now_ms;
  int64_t start_ms; /* the trace's time 0 */
  GRand *random;
  struct platform_fake *platform;
  struct replay_result *result;
  GArray *callers; /* request number - 1 -> place in fates */
  GArray *callers_node;
};

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct due *x = a;
  const struct due *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

static struct due *
push (struct world *w, int64_t at_ms)
{
  struct due *d = g_new0 (struct due, 1);

  d->at_ms = at_ms;
  d->order = w->order++;
  g_sequence_insert_sorted (w->due, d, compare_due, NULL);
  return d;
}

static void
deliver (struct world *w, uint32_t node, struct message *m, int64_t at_ms)
{
  struct due *d = push (w, at_ms);

  d->node = node;
  d->message = m;
}

/* The platform's fake says what it has for a node. */
static void
from_platform (void *data, uint32_t node, struct message *m, int64_t at_ms)
{
  deliver (data, node, m, at_ms);
}

static struct fate *
fate_of (struct world *w, uint64_t request)
{
  guint place;

  if (request == 0 || request > w->callers->len)
    return NULL;
  place = g_array_index (w->callers, guint, request - 1);
  return &g_array_index (w->result->fates, struct fate, place);
}

/* Callers. */

static void
come (struct world *w, guint place)
{
  struct fate *f = &g_array_index (w->result->fates, struct fate, place);
  struct message *m = message_new (MESSAGE_REQUEST);
  uint32_t node;

  do
    node = (uint32_t)g_rand_int_range (w->random, 0,
                                       (gint32)w->options->n_nodes);
  while (w->nodes[node].dead);
  g_array_append_val (w->callers, place);
  g_array_append_val (w->callers_node, node);
  m->u.request.request = w->callers->len;
  m->u.request.service = g_strdup (f->event->service);
  m->u.request.class_name = g_strdup (f->event->class_name);
  m->u.request.token = g_strdup (f->event->team);
  m->u.request.key
      = g_strdup_printf ("k%" G_GUINT64_FORMAT, (guint64)f->event->request);
  m->u.request.body_bytes = f->event->bytes;
  f->came_ms = w->now_ms;
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
note_refusal (struct world *w, const struct message_refuse *m)
{
  struct fate *f = fate_of (w, m->request);

  if (f == NULL)
    return;
  if (f->returns == 0)
    f->refused_after_ms = w->now_ms - f->came_ms;
  if (f->returns == 1)
    f->taken = false;
  f->reason = m->reason;
  f->refused_ms = w->now_ms;
  if (f->cancelled || is_permanent (m->reason)
      || f->returns >= w->options->max_returns)
    {
      f->ended = true;
      return;
    }
  f->returns++;
  if (f->returns == 1)
    {
      f->back_in_time = true;
      f->taken = true;
    }
  push (w, w->now_ms + MAX (m->retry_after_ms, 1))->back
      = (uint64_t)(f - (struct fate *)w->result->fates->data) + 1;
}

/* What a core puts out. */

static void
send_peer (struct world *w, uint32_t from, const struct message_send *s)
{
  for (uint32_t i = 0; i < w->options->n_nodes; i++)
    {
      struct message *m;
      GBytes *bytes;

      if (i == from || w->nodes[i].dead
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
run (struct world *w, uint32_t node, const struct message_run *r)
{
  struct fate *f = fate_of (w, r->request);

  if (f->started_ms < 0)
    f->started_ms = w->now_ms;
  w->result->runs++;
  f->runs_until_ms = w->now_ms + MIN (f->event->run_ms, r->timeout_ms);
  f->starts
      += platform_fake_run (w->platform, node, r, f->event->run_ms, w->now_ms);
}

static void
take (struct world *w, uint32_t node, struct message *m)
{
  switch (m->kind)
    {
    case MESSAGE_RUN:
      run (w, node, &m->u.run);
      break;
    case MESSAGE_REFUSE:
      note_refusal (w, &m->u.refuse);
      break;
    case MESSAGE_SEND:
      send_peer (w, node, &m->u.send);
      break;
    case MESSAGE_APPEND:
    case MESSAGE_APPEND_CANCEL:
    case MESSAGE_PLATFORM:
      platform_fake_take (w->platform, m, w->now_ms);
      break;
    default:
      break;
    }
}

static void
note_run_ended (struct world *w, const struct message_run_ended *m)
{
  struct fate *f = fate_of (w, m->request);

  if (m->result == RUN_ANSWERED || m->result == RUN_TIMED_OUT)
    f->ended = true;
  f->answered |= m->result == RUN_ANSWERED;
}

static bool
is_void (const struct world *w, const struct message_run_ended *m)
{
  return m->result != RUN_LOST
         && platform_fake_was_lost (w->platform, m->request, m->attempt);
}

static void
feed (struct world *w, uint32_t node, struct message *m)
{
  struct node *n = &w->nodes[node];
  GQueue out = G_QUEUE_INIT;
  struct message *next;

  if (n->dead)
    {
      message_destroy (m);
      return;
    }
  if (m->kind == MESSAGE_RUN_ENDED && is_void (w, &m->u.run_ended))
    {
      message_destroy (m);
      return;
    }
  if (m->kind == MESSAGE_RUN_ENDED)
    note_run_ended (w, &m->u.run_ended);
  w->result->steps++;
  core_handle (n->core, m, w->now_ms, &out);
  while ((next = g_queue_pop_head (&out)) != NULL)
    {
      take (w, node, next);
      message_destroy (next);
    }
}

static void
tick (struct world *w)
{
  for (uint32_t i = 0; i < w->options->n_nodes; i++)
    feed (w, i, message_new (MESSAGE_TICK));
}

/* The trace. */

static void
cancel (struct world *w, uint64_t request)
{
  for (guint i = w->callers->len; i > 0; i--)
    {
      struct fate *f = fate_of (w, i);
      struct message *m;

      if (f->event->request != request)
        continue;
      if (f->ended || f->cancelled)
        return;
      f->cancelled = true;
      m = message_new (MESSAGE_ABANDON);
      m->u.abandon.request = i;
      deliver (w, g_array_index (w->callers_node, uint32_t, i - 1), m,
               w->now_ms);
      return;
    }
}

static void
meet (struct world *w, const struct trace_event *e)
{
  switch (e->kind)
    {
    case TRACE_REQUEST:
      come (w, (guint)(e->request - 1));
      break;
    case TRACE_CANCEL:
      cancel (w, e->request);
      break;
    case TRACE_VM:
    case TRACE_VM_FAILS:
    case TRACE_VM_BREAKS:
    case TRACE_DRAIN:
    case TRACE_MAINTAIN:
    case TRACE_OUTAGE:
      platform_fake_meet (w->platform, e, w->now_ms);
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
  if (n->dead)
    return;
  n->dead = true;
  for (guint i = 0; i < w->callers->len; i++)
    {
      struct fate *f = fate_of (w, i + 1);

      if (!f->ended
          && g_array_index (w->callers_node, uint32_t, i)
                 == (uint32_t)w->options->kill_node)
        f->ended = f->cancelled = true;
    }
}

static void
happen (struct world *w, struct due *d)
{
  w->now_ms = d->at_ms;
  if (d->message != NULL)
    feed (w, d->node, d->message);
  else if (d->event != NULL)
    meet (w, d->event);
  else if (d->back != 0)
    {
      struct fate *f
          = &g_array_index (w->result->fates, struct fate, d->back - 1);

      if (!f->ended && !f->cancelled)
        come (w, (guint)(d->back - 1));
    }
}

static bool
run_due (struct world *w, int64_t until_ms)
{
  for (;;)
    {
      GSequenceIter *i = g_sequence_get_begin_iter (w->due);
      struct due *d;

      if (g_sequence_iter_is_end (i))
        return false;
      d = g_sequence_get (i);
      if (d->at_ms > until_ms)
        return true;
      g_sequence_remove (i);
      happen (w, d);
      g_free (d);
    }
}

static void
mark_bursts (const GArray *trace, GArray *fates)
{
  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *b
          = &g_array_index (trace, struct trace_event, i);

      if (b->kind != TRACE_BURST)
        continue;
      for (guint k = 0; k < fates->len; k++)
        {
          struct fate *f = &g_array_index (fates, struct fate, k);

          if (f->event->service != b->service || f->event->at_ms < b->at_ms
              || f->event->at_ms >= b->at_ms + b->for_ms)
            continue;
          if (f->event->class_name != b->class_name)
            f->beside_burst = true;
          else
            f->in_burst = true;
        }
    }
}

static GArray *
fates_new (const GArray *trace, const struct config *config)
{
  GArray *fates = g_array_new (FALSE, TRUE, sizeof (struct fate));

  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *e
          = &g_array_index (trace, struct trace_event, i);
      int service;

      if (e->kind != TRACE_REQUEST)
        continue;
      if (fates->len < e->request)
        g_array_set_size (fates, (guint)e->request);
      service = config_find_service (config, e->service);
      g_array_index (fates, struct fate, e->request - 1) = (struct fate){
        .event = e,
        .class_place = (uint32_t)config_find_class (config, (uint32_t)service,
                                                    e->class_name),
        .started_ms = -1,
        .refused_ms = -1,
      };
    }
  mark_bursts (trace, fates);
  return fates;
}

static void
open_world (struct world *w, const GArray *trace, const char *text)
{
  const struct replay_options *o = w->options;

  w->random = g_rand_new_with_seed (7);
  w->due = g_sequence_new (NULL);
  w->callers = g_array_new (FALSE, FALSE, sizeof (guint));
  w->callers_node = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  w->nodes = g_new0 (struct node, o->n_nodes);
  w->start_ms = SETTLE_MS;
  w->platform = platform_fake_new (o->n_nodes, from_platform, w);
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
        platform_fake_meet (w->platform, e, 0);
      else
        push (w, w->start_ms + e->at_ms)->event = e;
    }
  platform_fake_publish (w->platform, text, 0);
}

static void
close_world (struct world *w)
{
  GSequenceIter *i;

  while (!g_sequence_iter_is_end (i = g_sequence_get_begin_iter (w->due)))
    {
      struct due *d = g_sequence_get (i);

      if (d->message != NULL)
        message_destroy (d->message);
      g_free (d);
      g_sequence_remove (i);
    }
  g_sequence_free (w->due);
  for (uint32_t n = 0; n < w->options->n_nodes; n++)
    {
      core_destroy (w->nodes[n].core);
      counters_destroy (w->nodes[n].counters);
      g_free (w->nodes[n].name);
    }
  g_free (w->nodes);
  g_array_unref (w->callers);
  g_array_unref (w->callers_node);
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
  int64_t end_ms = SETTLE_MS + last->at_ms + AFTER_MS;

  g_assert (config != NULL);
  r->end_ms = end_ms;
  r->fates = fates_new (trace, config);
  config_destroy (config);
  open_world (&w, trace, text);
  for (int64_t at_ms = 0; at_ms <= end_ms; at_ms += TICK_MS)
    {
      run_due (&w, at_ms);
      w.now_ms = at_ms;
      kill_node (&w);
      platform_fake_step (w.platform, at_ms);
      tick (&w);
    }
  platform_fake_report (w.platform, r);
  close_world (&w);
  return r;
}

void
replay_result_destroy (struct replay_result *result)
{
  if (result == NULL)
    return;
  g_array_unref (result->fates);
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
