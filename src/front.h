#ifndef FRONT_H
#define FRONT_H

#include "job.h"
#include "routes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The front end of a node: takes requests about jobs, queues and workers at
   any node, and has the owner of the service's cell answer them, here or at
   another node. */

struct front;

enum front_verb
{
  FRONT_SUBMIT,
  FRONT_GET_STATE,
  FRONT_CANCEL,
  FRONT_COUNT_WAITING, /* count the jobs of a queue without a started task */
  FRONT_EMPTY_WORKER,  /* stop its runs and keep it empty */
  FRONT_WORKER_ENDED   /* its machine went down, so its runs ended */
};

struct front_request
{
  enum front_verb verb;
  const char *service;
  /* A job's ID, a worker's ID or a queue's host and path prefix. */
  const char *subject;
  struct job_spec *spec; /* FRONT_SUBMIT: the job, owned by the callee */
  GBytes *encoded;       /* FRONT_SUBMIT: the encoded job, set by the front */
  int64_t timeout_ms;    /* how long the caller waits for the answer */
  /* FRONT_GET_STATE: only an owner that has this version of the configuration
     or a later one answers, as it accepts no more jobs by an earlier one; 0
     for any. */
  int64_t routes_version;
};

enum front_result
{
  FRONT_DONE,
  FRONT_NOT_FOUND,   /* no such job */
  FRONT_UNAVAILABLE, /* certainly not done; may be asked again */
  FRONT_TOO_MANY,    /* the same, as the caller's account is beyond its rate */
  FRONT_UNCLEAR      /* may have been done, or be done later */
};

struct front_answer
{
  enum front_result result;
  enum job_state state; /* FRONT_GET_STATE */
  uint32_t
      number; /* FRONT_COUNT_WAITING: jobs; FRONT_EMPTY_WORKER: 1 if empty */
  /* FRONT_UNAVAILABLE and FRONT_TOO_MANY: before the caller retries. */
  int64_t retry_after_ms;
};

typedef void (*front_done) (void *data, const struct front_answer *answer);

/* Send REQUEST to the owner, retrying within its time limit.  DONE is called
   once, perhaps before this returns.  The front copies REQUEST and takes its
   spec. */
void front_request (struct front *front, const struct front_request *request,
                    front_done done, void *data);

/* Send REQUEST about the jobs of Q's queue to the owners of all cells that may
   have them, as front_request does.  A job is submitted to Q's service, unless
   another cell has it.  The subject of FRONT_COUNT_WAITING is set from Q. */
void front_queue_request (struct front *front, const struct queue_route *q,
                          const struct front_request *request, front_done done,
                          void *data);

/* Return the routes in force, or NULL before the first configuration. */
const struct routes *front_routes (const struct front *front);

/* Return whether the store has recently confirmed the routes as the newest. */
bool front_routes_are_fresh (const struct front *front);

/* Return whether keys of the routes in force still authenticate callers: where
   revocation is strict, only while the routes have been confirmed recently. */
bool front_keys_are_valid (const struct front *front);

/* Return the retry delay of a caller whose request about SUBJECT is answered
   503: one or two seconds, so that refused callers do not return together. */
int64_t front_retry_after_ms (const char *subject);

/* Return whether the load balancer should send this node new connections. */
bool front_is_ready (const struct front *front);

/* Return whether the node is stopping, so that connections should be closed
   after the answer. */
bool front_is_stopping (const struct front *front);

/* Copy the queue's name, service, priority, limits and target into SPEC, and
   the name of ACCOUNT, which may be NULL. */
void front_fill_spec (struct job_spec *spec, const struct queue_route *queue,
                      const struct client_account *account);

#endif
