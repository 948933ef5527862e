#include "node_host.h"

#include "event_log.h"

#include <string.h>

/* Requests about a queue's jobs, which may be in the cell of any service that
   the queue was sent to; see queue_homes.h.  The request goes to one cell
   after the other. */

/* Delay after a failed append of homes. */
#define RETRY_DELAY_MS 300

/* A request about a queue that has former homes. */
struct queue_request
{
  struct front *front;
  struct front_request request; /* as the caller sent it */
  char *subject;
  GPtrArray *services; /* char *, cells to ask in turn */
  guint next;
  int64_t deadline_ms;
  int64_t routes_version;     /* of the configuration that it came under */
  bool has_fresh_view;        /* that one and the homes were fresh then */
  struct front_answer answer; /* so far */
  front_done done;
  void *data;
};

static void
queue_request_destroy (struct queue_request *r)
{
  g_ptr_array_unref (r->services);
  job_spec_destroy (r->request.spec);
  g_free (r->subject);
  g_free (r);
}

static void
finish (struct queue_request *r)
{
  if (r->services->len > 1)
    event_log ("queue-moved", r->subject,
               "cells=%u asked=%u version=%" G_GINT64_FORMAT, r->services->len,
               r->next, r->routes_version);
  /* The queue may have been sent elsewhere, and another cell have the job. */
  if (r->answer.result == FRONT_NOT_FOUND && !r->has_fresh_view)
    r->answer = (struct front_answer){ .result = FRONT_UNAVAILABLE,
                                       .retry_after_ms
                                       = front_retry_after_ms (r->subject) };
  r->done (r->data, &r->answer);
  queue_request_destroy (r);
}

static void ask_next (struct queue_request *r);

/* Combine the answers of two cells, one of which may have the job: what is
   done counts most, and what is known least if the other is not. */
static void
combine (struct front_answer *a, const struct front_answer *b)
{
  if (a->result == FRONT_DONE)
    return;
  if (b->result == FRONT_DONE || a->result == FRONT_NOT_FOUND
      || b->result == FRONT_UNCLEAR)
    *a = *b;
}

/* Add the answers of two cells that each count jobs. */
static void
add_count (struct front_answer *a, const struct front_answer *b)
{
  uint32_t sum = a->number + b->number;

  if (b->result != FRONT_DONE)
    *a = *b;
  a->number = sum;
}

static void
on_cell_answered (void *data, const struct front_answer *answer)
{
  struct queue_request *r = data;

  if (r->request.verb == FRONT_COUNT_WAITING)
    add_count (&r->answer, answer);
  else
    combine (&r->answer, answer);
  if (r->answer.result == FRONT_DONE
          ? r->request.verb == FRONT_COUNT_WAITING
          : r->request.verb != FRONT_SUBMIT
                || r->answer.result == FRONT_NOT_FOUND)
    ask_next (r);
  else
    finish (r);
}

/* Ask the next cell.  A job is submitted to the last one, and only if none of
   the others has it or can accept it any more. */
static void
ask_next (struct queue_request *r)
{
  struct front_request request = r->request;
  bool is_last = r->next + 1 == r->services->len;

  if (r->next == r->services->len)
    {
      finish (r);
      return;
    }
  request.service = g_ptr_array_index (r->services, r->next);
  request.subject = r->subject;
  request.timeout_ms = MAX (r->deadline_ms - node_now_ms (), 1);
  r->next++;
  if (request.verb == FRONT_SUBMIT && is_last)
    {
      r->request.spec = NULL;
      front_request (r->front, &request, r->done, r->data);
      queue_request_destroy (r);
      return;
    }
  if (request.verb == FRONT_SUBMIT)
    {
      request.verb = FRONT_GET_STATE;
      request.routes_version = front_routes (r->front)->version;
      request.spec = NULL;
    }
  front_request (r->front, &request, on_cell_answered, r);
}

static void
add_cell (struct queue_request *r, const char *service)
{
  g_ptr_array_add (r->services, g_strdup (service));
}

/* Add the former homes of Q's queue.  A service that is not configured any
   more has no cell. */
static void
add_former_cells (struct queue_request *r, const struct queue_route *q,
                  const struct queue_homes *homes)
{
  GPtrArray *services = queue_homes_former_services (homes, q);

  for (guint i = 0; i < services->len; i++)
    if (routes_find_service (front_routes (r->front),
                             g_ptr_array_index (services, i))
        >= 0)
      add_cell (r, g_ptr_array_index (services, i));
  g_ptr_array_unref (services);
}

void
front_queue_request (struct front *front, const struct queue_route *q,
                     const struct front_request *request, front_done done,
                     void *data)
{
  const struct queue_homes *homes = front_homes (front);
  bool is_count = request->verb == FRONT_COUNT_WAITING;
  struct queue_request *r = g_new0 (struct queue_request, 1);

  r->front = front;
  r->request = *request;
  r->routes_version = front_routes (front)->version;
  r->has_fresh_view
      = front_routes_are_fresh (front) && front_homes_are_fresh (front);
  /* The names of the queue may differ from home to home. */
  r->subject = is_count ? queue_homes_text (q) : g_strdup (request->subject);
  r->services = g_ptr_array_new_with_free_func (g_free);
  r->deadline_ms = node_now_ms () + request->timeout_ms;
  r->answer.result = is_count ? FRONT_DONE : FRONT_NOT_FOUND;
  r->done = done;
  r->data = data;
  if (homes == NULL)
    {
      r->answer = (struct front_answer){ .result = FRONT_UNAVAILABLE,
                                         .retry_after_ms
                                         = front_retry_after_ms (r->subject) };
      finish (r);
      return;
    }
  /* The job of most other requests is in the newest home. */
  if (request->verb != FRONT_SUBMIT)
    add_cell (r, q->service);
  add_former_cells (r, q, homes);
  if (request->verb == FRONT_SUBMIT)
    add_cell (r, q->service);
  ask_next (r);
}

/* The cell's side. */

/* Return whether the configuration sends the queue called NAME to H's service
   and every node will know of that. */
static bool
has_recorded_queue (const struct cell_host *h, const char *name)
{
  const struct node *n = h->node;

  for (guint i = 0; i < n->routes->queues->len; i++)
    {
      const struct queue_route *q = g_ptr_array_index (n->routes->queues, i);

      if (strcmp (q->name, name) == 0 && strcmp (q->service, h->service) == 0
          && queue_homes_contains (n->homes, q))
        return true;
    }
  return false;
}

bool
host_accepts_job (const struct cell_host *host, const struct job_spec *spec)
{
  return cell_has_job (host->cell, spec->id)
         || has_recorded_queue (host, spec->queue);
}

uint32_t
host_count_waiting_jobs (const struct cell_host *host, const char *queue)
{
  GPtrArray *names
      = queue_homes_names (host->node->homes, queue, host->service);
  uint32_t n = 0;

  for (guint i = 0; i < names->len; i++)
    n += cell_count_waiting_jobs (host->cell, g_ptr_array_index (names, i));
  g_ptr_array_unref (names);
  return n;
}

static void
on_homes_recorded (void *data, const struct store_append_reply *a)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);

  if (h != NULL && h->home_entries != NULL)
    {
      for (guint i = 0; a->result == STORE_DONE && i < h->home_entries->len;
           i++)
        {
          const struct journal_entry *e
              = g_ptr_array_index (h->home_entries, i);

          queue_homes_load (h->node->homes, e->key, e->value);
        }
      g_clear_pointer (&h->home_entries, g_ptr_array_unref);
      h->next_homes_ms
          = node_now_ms () + (a->result == STORE_DONE ? 0 : RETRY_DELAY_MS);
    }
  host_call_destroy (call);
}

void
host_record_homes (struct cell_host *host, int64_t now_ms)
{
  struct node *n = host->node;
  GPtrArray *entries;

  if (host->home_entries != NULL || now_ms < host->next_homes_ms
      || host->homes_version == n->routes->version)
    return;
  entries = g_ptr_array_new_with_free_func (journal_entry_free);
  for (guint i = 0; i < n->routes->queues->len; i++)
    {
      const struct queue_route *q = g_ptr_array_index (n->routes->queues, i);

      if (strcmp (q->service, host->service) == 0
          && !queue_homes_contains (n->homes, q))
        g_ptr_array_add (entries, queue_home_entry (q));
    }
  if (entries->len == 0)
    {
      host->homes_version = n->routes->version;
      g_ptr_array_unref (entries);
      return;
    }
  event_log ("queue-homes", host->service,
             "version=%" G_GINT64_FORMAT " added=%u", n->routes->version,
             entries->len);
  host->home_entries = entries;
  store_append (n->store, OWNERS_STREAM, NULL, entries,
                STORE_HEDGED_TIMEOUT_MS, on_homes_recorded,
                host_call_new (host, NULL, NULL, 0, now_ms));
}
