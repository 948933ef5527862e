#include "node_state.h"

#include "event_log.h"

#include <string.h>

/* Delay between two attempts to reach an owner. */
#define RETRY_DELAY_MS 60
/* Timeout of one attempt at another node. */
#define ATTEMPT_TIMEOUT_MS 900
/* A request that no owner answers fails after this share of the caller's
   timeout, so that the caller has time to retry. */
#define RETRY_TIME_PERCENT 25
/* Retry delay that a caller is told. */
#define RETRY_AFTER_MS 1000
/* The routes count as fresh if the store has confirmed them within this
   time. */
#define ROUTES_MAX_AGE_MS 2200
/* A node that has had no answer from the store for longer is not ready. */
#define STORE_SILENCE_MAX_MS 4000

/* A request that has not been answered yet. */
struct pending_request
{
  struct front *front;
  struct front_request request;
  char *service;
  char *subject;
  GBytes *encoded; /* FRONT_SUBMIT: the job */
  front_done done;
  void *data;
  int64_t begun_ms;
  int64_t deadline_ms;
  int64_t retry_ms;
  bool is_in_progress;
  bool is_unclear; /* an earlier attempt may have been executed */
  uint32_t attempts;
};

struct front
{
  struct node *node;
  GPtrArray *pending; /* struct pending_request * */
};

struct front *
front_new (struct node *n)
{
  struct front *f = g_new0 (struct front, 1);

  f->node = n;
  f->pending = g_ptr_array_new ();
  return f;
}

static void
pending_destroy (struct pending_request *p)
{
  g_free (p->service);
  g_free (p->subject);
  if (p->encoded != NULL)
    g_bytes_unref (p->encoded);
  g_free (p);
}

void
front_destroy (struct front *front)
{
  if (front == NULL)
    return;
  for (guint i = 0; i < front->pending->len; i++)
    pending_destroy (g_ptr_array_index (front->pending, i));
  g_ptr_array_unref (front->pending);
  g_free (front);
}

const struct routes *
front_routes (const struct front *front)
{
  return front->node->routes;
}

bool
front_routes_are_fresh (const struct front *front)
{
  return node_now_ms ()
         < front->node->config_follower.confirmed_ms + ROUTES_MAX_AGE_MS;
}

bool
front_is_ready (const struct front *front)
{
  const struct node *n = front->node;

  return !n->is_stopping && n->routes != NULL && n->owner_follower.has_list
         && node_now_ms () < n->store_heard_ms + STORE_SILENCE_MAX_MS;
}

bool
front_is_stopping (const struct front *front)
{
  return front->node->is_stopping;
}

void
front_fill_spec (struct job_spec *spec, const struct queue_route *queue)
{
  g_free (spec->queue);
  spec->queue = g_strdup (queue->name);
  g_free (spec->service);
  spec->service = g_strdup (queue->service);
  spec->priority = queue->priority;
  spec->max_attempts = queue->max_attempts;
  spec->deadline_factor = queue->deadline_factor;
  spec->target_ms = queue->target_ms;
  spec->advice.is_needed = queue->advice_needed;
  spec->advice.valid_ms = queue->advice_valid_ms;
}

static void
finish_request (struct pending_request *p, const struct front_answer *answer)
{
  struct front_answer final = *answer;

  if (final.result == FRONT_UNAVAILABLE && p->is_unclear)
    final.result = FRONT_UNCLEAR;
  if (final.result == FRONT_UNAVAILABLE)
    final.retry_after_ms = RETRY_AFTER_MS;
  g_ptr_array_remove_fast (p->front->pending, p);
  p->done (p->data, &final);
  pending_destroy (p);
}

static void
fail_request (struct pending_request *p, int64_t now_ms)
{
  struct front_answer answer = { .result = FRONT_UNAVAILABLE };

  meters_add (p->front->node->meters, METER_JOBS_REFUSED_NO_OWNER, 1);
  event_log (
      "ask-given-up", p->subject,
      "verb=%d service=%s tries=%u unclear=%d waited_ms=%" G_GINT64_FORMAT,
      (int)p->request.verb, p->service, p->attempts, p->is_unclear,
      now_ms - p->begun_ms);
  finish_request (p, &answer);
}

static void
schedule_retry (struct pending_request *p, int64_t now_ms)
{
  p->is_in_progress = false;
  p->retry_ms = now_ms + RETRY_DELAY_MS;
  meters_add (p->front->node->meters, METER_FORWARDS_RETRIED, 1);
}

/* Finish or retry after an answer of the owner, here or at another node. */
static void
handle_answer (struct pending_request *p, const struct front_answer *answer)
{
  int64_t now_ms = node_now_ms ();

  p->is_in_progress = false;
  if (answer->result == FRONT_UNAVAILABLE && now_ms < p->deadline_ms
      && p->request.verb != FRONT_SUBMIT)
    schedule_retry (p, now_ms);
  else
    finish_request (p, answer);
}

static void
on_local_answer (void *data, const struct front_answer *answer)
{
  handle_answer (data, answer);
}

static void
on_peer_answer (void *data, const struct http_reply *reply)
{
  struct pending_request *p = data;
  struct front_answer answer;
  int64_t now_ms = node_now_ms ();

  p->is_in_progress = false;
  if (reply->status == 0 && reply->may_have_arrived
      && p->request.verb == FRONT_SUBMIT)
    p->is_unclear = true;
  if (peer_read_answer (p->request.verb, reply, &answer))
    {
      handle_answer (p, &answer);
      return;
    }
  if (now_ms >= p->deadline_ms)
    fail_request (p, now_ms);
  else
    schedule_retry (p, now_ms);
}

static void
try_request (struct pending_request *p, int64_t now_ms)
{
  struct node *n = p->front->node;
  struct cell_host *h = g_hash_table_lookup (n->hosts, p->service);
  const char *owner = owner_address (n, p->service);
  struct front_request request = p->request;

  if (h != NULL && h->phase == HOST_ACTIVE && !n->is_stopping)
    {
      if (request.verb == FRONT_SUBMIT)
        request.spec = job_spec_from_bytes (p->encoded);
      p->is_in_progress = true;
      p->attempts++;
      host_handle_request (h, &request, on_local_answer, p, now_ms);
      return;
    }
  if (owner == NULL || owner[0] == OWNER_RELEASED || owner[0] == OWNER_LOST
      || strcmp (owner, n->address) == 0)
    {
      schedule_retry (p, now_ms);
      return;
    }
  p->is_in_progress = true;
  p->attempts++;
  meters_add (n->meters, METER_FORWARDS, 1);
  peer_send (n, owner, &request,
             MIN (ATTEMPT_TIMEOUT_MS, MAX (p->deadline_ms - now_ms, 100)),
             on_peer_answer, p);
}

void
front_request (struct front *front, const struct front_request *request,
               front_done done, void *data)
{
  struct pending_request *p = g_new0 (struct pending_request, 1);
  int64_t now_ms = node_now_ms ();

  p->front = front;
  p->request = *request;
  p->service = g_strdup (request->service);
  p->subject = g_strdup (request->subject);
  p->request.service = p->service;
  p->request.subject = p->subject;
  p->done = done;
  p->data = data;
  p->begun_ms = now_ms;
  p->deadline_ms = now_ms + request->timeout_ms * RETRY_TIME_PERCENT / 100;
  if (request->spec != NULL)
    {
      p->encoded = job_spec_to_bytes (request->spec);
      job_spec_destroy (request->spec);
      p->request.spec = NULL;
    }
  p->request.encoded = p->encoded;
  g_ptr_array_add (front->pending, p);
  try_request (p, now_ms);
}

void
front_tick (struct front *front, int64_t now_ms)
{
  for (guint i = front->pending->len; i > 0; i--)
    {
      struct pending_request *p;

      if (i > front->pending->len)
        continue;
      p = g_ptr_array_index (front->pending, i - 1);
      if (p->is_in_progress)
        continue;
      if (now_ms >= p->deadline_ms)
        fail_request (p, now_ms);
      else if (now_ms >= p->retry_ms)
        try_request (p, now_ms);
    }
}
