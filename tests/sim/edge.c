#include "parts.h"

#include "callers.h"

#include <string.h>

/* The callers and operators, and the edge of each node: its HTTP servers and
   its connections to back ends. */

#define MAX_ATTEMPTS 6
#define MAX_CALL_INTERVAL_MS 180
#define REQUEST_BITS ((uint64_t)CALLERS_TASK_NUMBER << CALLERS_NUMBER_SHIFT)

static struct attempt *
find_attempt (const struct world *w, int node, uint64_t request)
{
  for (guint i = w->attempts->len; i > 0; i--)
    {
      struct attempt *a = g_ptr_array_index (w->attempts, i - 1);

      if (a->node == node && a->request == request
          && a->incarnation == w->nodes[node].incarnation)
        return a;
    }
  return NULL;
}

/* Callers. */

struct call *
edge_new_call (struct world *w, const char *key, bool idempotent)
{
  struct call *c = g_new0 (struct call, 1);

  c->key = g_strdup (key);
  c->idempotent = idempotent;
  g_ptr_array_add (w->calls, c);
  w->counts.requests++;
  return c;
}

static struct message *
make_request (const struct call *c, uint64_t request, int64_t timeout_ms)
{
  struct message *m = message_new (MESSAGE_REQUEST);

  m->u.request.request = request;
  m->u.request.service = g_strdup (c->idempotent ? "search" : "letters");
  m->u.request.class_name = g_strdup (c->idempotent ? "lookup" : "letter");
  m->u.request.token = g_strdup (TOKEN);
  m->u.request.key = g_strdup (c->idempotent ? "" : c->key);
  m->u.request.body_hash = g_str_hash (c->key);
  m->u.request.body_bytes = 100;
  m->u.request.timeout_ms = timeout_ms;
  return m;
}

void
edge_send_call (struct world *w, struct call *call, int node)
{
  struct sim_node *n = &w->nodes[node];
  /* A quarter of the callers have long timeouts, so that requests that a node
     dispatches late still run. */
  int64_t timeout_ms
      = draw (w, 0, 3) == 0 ? draw (w, 4000, 20000) : draw (w, 300, 4000);
  struct attempt *a;

  call->attempts++;
  if (n->core == NULL)
    {
      /* The load balancer finds the node closed and tries another. */
      if (!w->is_settling && call->attempts < MAX_ATTEMPTS)
        edge_send_call (w, call, (int)draw (w, 0, w->options.n_nodes - 1));
      return;
    }
  a = g_new0 (struct attempt, 1);
  a->call = call;
  a->node = node;
  a->sent_ms = w->now_ms;
  a->incarnation = n->incarnation;
  a->request = REQUEST_BITS | ++n->last_request;
  g_ptr_array_add (w->attempts, a);
  w->counts.attempts++;
  deliver (w, node, CHANNEL_FROM_EDGE,
           make_request (call, a->request, timeout_ms), draw (w, 0, 3));
  event_add (w, EVENT_CALLER_TIMEOUT, -1, timeout_ms + 500)->attempt = a;
}

static void
retry_call (struct world *w, struct call *c)
{
  if (c->is_done || c->attempts >= MAX_ATTEMPTS)
    return;
  edge_send_call (w, c, (int)draw (w, 0, w->options.n_nodes - 1));
}

/* Send the request of a new caller and schedule the next one. */
void
edge_start_next_call (struct world *w)
{
  char *key = g_strdup_printf ("key-%u", w->calls->len);
  struct call *c;

  if (!w->is_settling)
    {
      c = edge_new_call (w, key, chance (w, 40));
      edge_send_call (w, c, (int)draw (w, 0, w->options.n_nodes - 1));
      if (w->active_faults[FAULT_CALLERS_RACE] > 0)
        retry_call (w, c);
      event_add (w, EVENT_CALL, -1, draw (w, 5, MAX_CALL_INTERVAL_MS));
    }
  g_free (key);
}

static void
abandon (struct world *w, const struct attempt *a)
{
  struct message *m = message_new (MESSAGE_ABANDON);

  m->u.abandon.request = a->request;
  deliver (w, a->node, CHANNEL_FROM_EDGE, m, draw (w, 0, 3));
}

static void
report_run (struct world *w, const struct attempt *a, uint32_t run_attempt,
            enum run_result result)
{
  struct message *m = message_new (MESSAGE_RUN_ENDED);

  m->u.run_ended.request = a->request;
  m->u.run_ended.attempt = run_attempt;
  m->u.run_ended.result = result;
  m->u.run_ended.run_ms = 50;
  deliver (w, a->node, CHANNEL_FROM_EDGE, m, draw (w, 0, 3));
}

static bool
is_node_running (const struct world *w, const struct attempt *a)
{
  const struct sim_node *n = &w->nodes[a->node];

  return n->core != NULL && n->incarnation == a->incarnation;
}

void
edge_caller_timeout (struct world *w, struct attempt *a)
{
  if (a->is_over)
    return;
  a->is_over = true;
  a->is_caller_gone = true;
  if (is_node_running (w, a))
    {
      abandon (w, a);
      if (a->is_run_active && a->call->idempotent)
        {
          a->is_run_active = false;
          report_run (w, a, a->run_attempt, RUN_ABANDONED);
        }
    }
  retry_call (w, a->call);
}

/* When a node ends, its callers' connections break and the callers retry. */
void
edge_handle_node_end (struct world *w, int node)
{
  for (guint i = 0; i < w->attempts->len; i++)
    {
      struct attempt *a = g_ptr_array_index (w->attempts, i);

      if (a->node != node || a->incarnation != w->nodes[node].incarnation
          || a->is_over)
        continue;
      a->is_over = true;
      a->is_caller_gone = true;
      if (!w->is_settling)
        retry_call (w, a->call);
    }
}

/* The edge of a node. */

static void
handle_run (struct world *w, int node, struct message *m)
{
  const struct message_run *run = &m->u.run;
  struct attempt *a = find_attempt (w, node, run->request);
  struct event *e;

  if (a == NULL)
    return;
  if (a->is_caller_gone || a->is_run_active
      || (w->options.mutation != MUTATION_LATE_SENDS
          && !message_run_may_be_sent (run, node_clock_ms (w, node))))
    {
      report_run (w, a, run->attempt, RUN_NOT_SENT);
      return;
    }
  a->is_run_active = true;
  a->run_attempt = run->attempt;
  e = event_add (w, EVENT_RUN_TIMEOUT, node, MAX (run->timeout_ms, 1));
  e->attempt = a;
  e->number = run->attempt;
  e = event_add (w, EVENT_RUN_ARRIVES, -1, draw (w, 1, 5));
  e->attempt = a;
  e->message = message_new (MESSAGE_RUN);
  e->message->u.run = *run;
  e->message->u.run.vm = g_strdup (run->vm);
  e->message->u.run.pool = g_strdup (run->pool);
  e->message->u.run.address = NULL;
  e->message->u.run.service = NULL;
  e->message->u.run.class_name = NULL;
}

static void
handle_refusal (struct world *w, int node, const struct message_refuse *m)
{
  struct attempt *a = find_attempt (w, node, m->request);
  enum reason reason = m->reason;

  if (a == NULL || a->is_run_active || a->is_over)
    return;
  if (w->options.mutation == MUTATION_LIE
      && reason_outcome (reason) == OUTCOME_UNKNOWN)
    reason = REASON_TOO_LATE;
  a->is_over = true;
  invariants_check_refusal (w, a, reason);
  if (reason_outcome (reason) == OUTCOME_NOT_RUN || a->call->idempotent)
    retry_call (w, a->call);
}

/* Count the accepted publications. */
static void
handle_reply (struct world *w, const struct message_reply *m)
{
  if (m->status == 200 && strstr (m->text, "\"version\":") != NULL)
    w->counts.publications++;
}

void
edge_handle_message (struct world *w, int node, struct message *message)
{
  if (message->kind == MESSAGE_RUN)
    handle_run (w, node, message);
  else if (message->kind == MESSAGE_REFUSE)
    handle_refusal (w, node, &message->u.refuse);
  else
    handle_reply (w, &message->u.reply);
}

void
edge_schedule_run_end (struct world *w, struct attempt *a,
                       uint32_t run_attempt, enum run_result result)
{
  struct event *e;

  if (!is_node_running (w, a))
    return;
  e = event_add (w, EVENT_RUN_END, a->node, draw (w, 1, 5));
  e->attempt = a;
  e->number = run_attempt;
  e->from = (int)result;
}

void
edge_handle_run_end (struct world *w, struct attempt *a, uint32_t run_attempt,
                     enum run_result result)
{
  if (!a->is_run_active || a->run_attempt != run_attempt)
    return;
  a->is_run_active = false;
  report_run (w, a, run_attempt, result);
  if (result != RUN_ANSWERED || a->is_over)
    return;
  a->is_over = true;
  if (!a->call->is_done)
    w->counts.answered++;
  a->call->is_done = true;
}

void
edge_run_timeout (struct world *w, struct attempt *a, uint32_t attempt)
{
  edge_handle_run_end (w, a, attempt, RUN_TIMED_OUT);
}

void
edge_send_order (struct world *w, int node, enum query_kind kind, char *text,
                 uint64_t base)
{
  struct message *m = message_new (MESSAGE_QUERY);

  m->u.query.query = ++w->last_number;
  m->u.query.kind = kind;
  m->u.query.subject = g_strdup ("");
  m->u.query.token = g_strdup ("");
  m->u.query.text = text;
  m->u.query.base = base;
  deliver (w, node, CHANNEL_FROM_EDGE, m, draw (w, 0, 20));
}
