#include "node_state.h"

#include "event_log.h"
#include "pursuit.h"

#include <string.h>

/* Timeout of one attempt at another node. */
#define ATTEMPT_TIMEOUT_MS 900
/* Share of the caller's timeout within which its request is pursued: what is
   left is for the answer's way back. */
#define CALLER_TIME_PERCENT 80
/* The same for requests of the owner of the fleet, which sends them anew each
   round. */
#define FLEET_TIME_PERCENT 25
/* A node that has had no answer from the store for longer would not learn of a
   cell's new owner. */
#define STORE_HEARD_MAX_MS 1500
/* Retry delay that a caller is told, and how many times it at most. */
#define RETRY_AFTER_MS 1000
#define RETRY_AFTER_STEPS 2
/* The routes, and the homes of queues, count as fresh if the store has
   confirmed them within this time. */
#define ROUTES_MAX_AGE_MS 2200
/* A node that has had no answer from the store for longer is not ready. */
#define STORE_SILENCE_MAX_MS 4000

/* A request that has not been answered yet, or whose attempts have not all
   ended. */
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
  struct pursuit *pursuit;
  uint32_t open_attempts;
  bool is_finished; /* DONE has been called */
};

/* The context of one attempt. */
struct attempt
{
  struct pending_request *pending;
  uint32_t number;
};

struct front
{
  struct node *node;
  GPtrArray *pending; /* struct pending_request * */
  bool is_closed;
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
  pursuit_destroy (p->pursuit);
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

const struct queue_homes *
front_homes (const struct front *front)
{
  const struct node *n = front->node;

  return n->owner_follower.has_list ? n->homes : NULL;
}

bool
front_routes_are_fresh (const struct front *front)
{
  return node_now_ms ()
         < front->node->config_follower.confirmed_ms + ROUTES_MAX_AGE_MS;
}

bool
front_keys_are_valid (const struct front *front)
{
  const struct node *n = front->node;

  return !n->settings->strict_revoke
         || node_now_ms ()
                < n->config_follower.confirmed_ms + n->settings->revoke_ms;
}

bool
front_homes_are_fresh (const struct front *front)
{
  return node_now_ms ()
         < front->node->owner_follower.confirmed_ms + ROUTES_MAX_AGE_MS;
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
front_fill_spec (struct job_spec *spec, const struct queue_route *queue,
                 const struct client_account *account)
{
  g_free (spec->account);
  spec->account = g_strdup (account != NULL ? account->name : "");
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

int64_t
front_retry_after_ms (const char *subject)
{
  return RETRY_AFTER_MS * (1 + g_str_hash (subject) % RETRY_AFTER_STEPS);
}

static bool
changes_state (enum front_verb verb)
{
  switch (verb)
    {
    case FRONT_SUBMIT:
    case FRONT_CANCEL:
    case FRONT_EMPTY_WORKER:
    case FRONT_WORKER_ENDED:
      return true;
    case FRONT_GET_STATE:
    case FRONT_COUNT_WAITING:
      return false;
    }
  return true;
}

static void
finish_request (struct pending_request *p, const struct front_answer *answer)
{
  struct front_answer final = *answer;

  if ((final.result == FRONT_UNAVAILABLE || final.result == FRONT_TOO_MANY)
      && pursuit_is_unclear (p->pursuit) && changes_state (p->request.verb))
    final.result = FRONT_UNCLEAR;
  if (final.result == FRONT_UNAVAILABLE)
    final.retry_after_ms = front_retry_after_ms (p->subject);
  p->is_finished = true;
  g_ptr_array_remove_fast (p->front->pending, p);
  p->done (p->data, &final);
  if (p->open_attempts == 0)
    pending_destroy (p);
}

static void
give_up (struct pending_request *p, int64_t now_ms)
{
  struct front_answer answer = { .result = FRONT_UNAVAILABLE };

  meters_add (p->front->node->meters, METER_JOBS_REFUSED_NO_OWNER, 1);
  event_log (
      "ask-given-up", p->subject,
      "verb=%d service=%s tries=%u unclear=%d waited_ms=%" G_GINT64_FORMAT,
      (int)p->request.verb, p->service, pursuit_attempts (p->pursuit),
      pursuit_is_unclear (p->pursuit), now_ms - p->begun_ms);
  finish_request (p, &answer);
}

/* A job that the owner refuses is answered at once: the caller is told when to
   come back.  Other requests are tried again. */
static bool
is_final (const struct pending_request *p, const struct front_answer *answer)
{
  switch (answer->result)
    {
    case FRONT_DONE:
    case FRONT_NOT_FOUND:
      return true;
    case FRONT_UNAVAILABLE:
    case FRONT_TOO_MANY:
      return p->request.verb == FRONT_SUBMIT
             && !pursuit_is_unclear (p->pursuit);
    case FRONT_UNCLEAR:
      return false;
    }
  return false;
}

static struct attempt *
attempt_new (struct pending_request *p, const char *owner, int64_t now_ms)
{
  struct attempt *a = g_new0 (struct attempt, 1);

  a->pending = p;
  a->number = pursuit_begin_attempt (p->pursuit, owner, now_ms);
  p->open_attempts++;
  return a;
}

/* End ATTEMPT, whose answer is ANSWER, or NULL if it has none and the request
   was not carried out unless IS_UNCLEAR.  Of several attempts the first that
   has a final answer counts. */
static void
end_attempt (struct attempt *attempt, const struct front_answer *answer,
             bool is_unclear)
{
  struct pending_request *p = attempt->pending;

  p->open_attempts--;
  if (!p->is_finished)
    {
      is_unclear
          = is_unclear || (answer != NULL && answer->result == FRONT_UNCLEAR);
      pursuit_end_attempt (p->pursuit, attempt->number,
                           is_unclear ? ATTEMPT_UNCLEAR : ATTEMPT_NOT_DONE,
                           node_now_ms ());
      if (answer != NULL && is_final (p, answer))
        finish_request (p, answer);
      else
        meters_add (p->front->node->meters, METER_FORWARDS_RETRIED, 1);
    }
  else if (p->open_attempts == 0)
    pending_destroy (p);
  g_free (attempt);
}

static void
on_local_answer (void *data, const struct front_answer *answer)
{
  end_attempt (data, answer, false);
}

static void
on_peer_answer (void *data, const struct http_reply *reply)
{
  struct attempt *a = data;
  enum front_verb verb = a->pending->request.verb;
  struct front_answer answer;

  if (peer_read_answer (verb, reply, &answer))
    end_attempt (a, &answer, false);
  else
    end_attempt (a, NULL, reply->status == 0 && reply->may_have_arrived);
}

/* Return the host of the request's cell if this node owns that, or NULL. */
static struct cell_host *
find_active_host (const struct pending_request *p)
{
  struct node *n = p->front->node;
  struct cell_host *h = g_hash_table_lookup (n->hosts, p->service);

  return h != NULL && h->phase == HOST_ACTIVE && !n->is_stopping ? h : NULL;
}

/* Return the address of the node that owns the request's cell, or NULL if no
   owner is known. */
static const char *
find_owner (const struct pending_request *p)
{
  const struct node *n = p->front->node;
  const char *owner = owner_address (n, p->service);

  if (find_active_host (p) != NULL)
    return n->address;
  if (!owner_is_address (owner) || strcmp (owner, n->address) == 0)
    return NULL;
  return owner;
}

static void
send_attempt (struct pending_request *p, const char *owner, int64_t now_ms)
{
  struct node *n = p->front->node;
  struct cell_host *h = find_active_host (p);
  struct attempt *a = attempt_new (p, owner, now_ms);
  struct front_request request = p->request;

  if (h != NULL)
    {
      if (request.verb == FRONT_SUBMIT)
        {
          request.spec = job_spec_from_bytes (p->encoded);
          if (!host_accepts_job (h, request.spec))
            {
              job_spec_destroy (request.spec);
              end_attempt (a, NULL, false);
              return;
            }
        }
      host_handle_request (h, &request, on_local_answer, a, now_ms);
      return;
    }
  meters_add (n->meters, METER_FORWARDS, 1);
  peer_send (n, owner, &request,
             MIN (ATTEMPT_TIMEOUT_MS,
                  MAX (pursuit_left_ms (p->pursuit, now_ms), 100)),
             on_peer_answer, a);
}

/* Do what is due for P. */
static void
pursue (struct pending_request *p, int64_t now_ms)
{
  const char *owner = find_owner (p);
  bool hears_store
      = now_ms < p->front->node->store_heard_ms + STORE_HEARD_MAX_MS;

  switch (pursuit_next (p->pursuit, owner, hears_store, now_ms))
    {
    case PURSUIT_SEND:
      send_attempt (p, owner, now_ms);
      break;
    case PURSUIT_GIVE_UP:
      give_up (p, now_ms);
      break;
    case PURSUIT_WAIT:
      break;
    }
}

static int64_t
time_percent (enum front_verb verb)
{
  switch (verb)
    {
    case FRONT_SUBMIT:
    case FRONT_GET_STATE:
    case FRONT_CANCEL:
    case FRONT_COUNT_WAITING:
      return CALLER_TIME_PERCENT;
    case FRONT_EMPTY_WORKER:
    case FRONT_WORKER_ENDED:
      return FLEET_TIME_PERCENT;
    }
  return FLEET_TIME_PERCENT;
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
  p->pursuit = pursuit_new (
      request->timeout_ms * time_percent (request->verb) / 100, now_ms);
  if (request->spec != NULL)
    {
      p->encoded = job_spec_to_bytes (request->spec);
      job_spec_destroy (request->spec);
      p->request.spec = NULL;
    }
  p->request.encoded = p->encoded;
  g_ptr_array_add (front->pending, p);
  if (front->is_closed)
    give_up (p, now_ms);
  else
    pursue (p, now_ms);
}

void
front_close (struct front *front, int64_t now_ms)
{
  if (front->is_closed)
    return;
  front->is_closed = true;
  event_log ("front-closed", front->node->address, "requests=%u",
             front->pending->len);
  /* The answer to one request may begin another, which is given up at once. */
  while (front->pending->len > 0)
    give_up (g_ptr_array_index (front->pending, front->pending->len - 1),
             now_ms);
}

void
front_tick (struct front *front, int64_t now_ms)
{
  /* An answer that comes at once removes its request, and only that one. */
  for (guint i = front->pending->len; i > 0; i--)
    if (i <= front->pending->len)
      pursue (g_ptr_array_index (front->pending, i - 1), now_ms);
}
