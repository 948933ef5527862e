#include "node_state.h"

#include "event_log.h"

#include <string.h>

/* Between two tries to reach an owner. */
#define RETRY_MS 60
/* An owner that does not answer for so long is tried anew. */
#define TRY_MS 900
/* An ask that no owner answers is given up after this share of the caller's
   patience, so that the caller can come back in time. */
#define GIVE_UP_PERCENT 25
/* What a caller that has to come back is told. */
#define RETRY_AFTER_MS 1000
/* The view of the routes is fresh if the store confirmed it so lately. */
#define ROUTES_FRESH_MS 2200
/* A node that has not heard from the store for so long is not ready. */
#define STORE_LOST_MS 4000

struct pending_ask
{
  struct front *front;
  struct front_ask ask;
  char *service;
  char *subject;
  GBytes *encoded; /* of a submission */
  front_done done;
  void *data;
  int64_t begun_ms;
  int64_t give_up_ms;
  int64_t retry_ms;
  bool out;
  bool unclear; /* an earlier try may have been carried out */
  uint32_t tries;
};

struct front
{
  struct node *node;
  GPtrArray *pending; /* struct pending_ask * */
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
pending_destroy (struct pending_ask *p)
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
  return node_now_ms () < front->node->config.confirmed_ms + ROUTES_FRESH_MS;
}

bool
front_is_ready (const struct front *front)
{
  const struct node *n = front->node;

  return !n->stopping && n->routes != NULL && n->owners.has_list
         && node_now_ms () < n->store_heard_ms + STORE_LOST_MS;
}

bool
front_is_stopping (const struct front *front)
{
  return front->node->stopping;
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
  spec->stretch = queue->stretch;
  spec->target_ms = queue->target_ms;
  spec->advice.needed = queue->advice_needed;
  spec->advice.valid_ms = queue->advice_valid_ms;
}

static void
finish (struct pending_ask *p, const struct front_answer *answer)
{
  struct front_answer given = *answer;

  if (given.result == FRONT_LATER && p->unclear)
    given.result = FRONT_UNCLEAR;
  if (given.result == FRONT_LATER)
    given.retry_after_ms = RETRY_AFTER_MS;
  g_ptr_array_remove_fast (p->front->pending, p);
  p->done (p->data, &given);
  pending_destroy (p);
}

static void
give_up (struct pending_ask *p, int64_t now_ms)
{
  struct front_answer answer = { .result = FRONT_LATER };

  meters_add (p->front->node->meters, METER_JOBS_REFUSED_OWNER, 1);
  event_log (
      "ask-given-up", p->subject,
      "verb=%d service=%s tries=%u unclear=%d waited_ms=%" G_GINT64_FORMAT,
      (int)p->ask.verb, p->service, p->tries, p->unclear,
      now_ms - p->begun_ms);
  finish (p, &answer);
}

static void
try_later (struct pending_ask *p, int64_t now_ms)
{
  p->out = false;
  p->retry_ms = now_ms + RETRY_MS;
  meters_add (p->front->node->meters, METER_FORWARDS_RETRIED, 1);
}

/* An owner here or elsewhere has answered. */
static void
take_answer (struct pending_ask *p, const struct front_answer *answer)
{
  int64_t now_ms = node_now_ms ();

  p->out = false;
  if (answer->result == FRONT_LATER && now_ms < p->give_up_ms
      && p->ask.verb != FRONT_SUBMIT)
    try_later (p, now_ms);
  else
    finish (p, answer);
}

static void
on_local (void *data, const struct front_answer *answer)
{
  take_answer (data, answer);
}

static void
on_peer (void *data, const struct http_reply *reply)
{
  struct pending_ask *p = data;
  struct front_answer answer;
  int64_t now_ms = node_now_ms ();

  p->out = false;
  if (reply->status == 0 && reply->sent && p->ask.verb == FRONT_SUBMIT)
    p->unclear = true;
  if (peer_read_answer (p->ask.verb, reply, &answer))
    {
      take_answer (p, &answer);
      return;
    }
  if (now_ms >= p->give_up_ms)
    give_up (p, now_ms);
  else
    try_later (p, now_ms);
}

static void
try_ask (struct pending_ask *p, int64_t now_ms)
{
  struct node *n = p->front->node;
  struct host *h = g_hash_table_lookup (n->hosts, p->service);
  const char *owner = owner_address (n, p->service);
  struct front_ask ask = p->ask;

  if (h != NULL && h->phase == HOST_ACTIVE && !n->stopping)
    {
      if (ask.verb == FRONT_SUBMIT)
        ask.spec = job_spec_from_bytes (p->encoded);
      p->out = true;
      p->tries++;
      host_ask (h, &ask, on_local, p, now_ms);
      return;
    }
  if (owner == NULL || owner[0] == OWNER_RELEASED || owner[0] == OWNER_LOST
      || strcmp (owner, n->address) == 0)
    {
      try_later (p, now_ms);
      return;
    }
  p->out = true;
  p->tries++;
  meters_add (n->meters, METER_FORWARDS, 1);
  peer_send (n, owner, &ask, MIN (TRY_MS, MAX (p->give_up_ms - now_ms, 100)),
             on_peer, p);
}

void
front_ask (struct front *front, const struct front_ask *ask, front_done done,
           void *data)
{
  struct pending_ask *p = g_new0 (struct pending_ask, 1);
  int64_t now_ms = node_now_ms ();

  p->front = front;
  p->ask = *ask;
  p->service = g_strdup (ask->service);
  p->subject = g_strdup (ask->subject);
  p->ask.service = p->service;
  p->ask.subject = p->subject;
  p->done = done;
  p->data = data;
  p->begun_ms = now_ms;
  p->give_up_ms = now_ms + ask->patience_ms * GIVE_UP_PERCENT / 100;
  if (ask->spec != NULL)
    {
      p->encoded = job_spec_to_bytes (ask->spec);
      job_spec_destroy (ask->spec);
      p->ask.spec = NULL;
    }
  p->ask.encoded = p->encoded;
  g_ptr_array_add (front->pending, p);
  try_ask (p, now_ms);
}

void
front_tick (struct front *front, int64_t now_ms)
{
  for (guint i = front->pending->len; i > 0; i--)
    {
      struct pending_ask *p;

      if (i > front->pending->len)
        continue;
      p = g_ptr_array_index (front->pending, i - 1);
      if (p->out)
        continue;
      if (now_ms >= p->give_up_ms)
        give_up (p, now_ms);
      else if (now_ms >= p->retry_ms)
        try_ask (p, now_ms);
    }
}
