#ifndef FRONT_H
#define FRONT_H

#include "job.h"
#include "routes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What callers ask of jobs, at whichever node: it is answered by the owner of
   the service's cell, here or at another node. */

struct front;

enum front_verb
{
  FRONT_SUBMIT,
  FRONT_STATE,
  FRONT_CANCEL,
  FRONT_WAITING, /* how many jobs of a queue have not begun */
  FRONT_RELEASE, /* have a worker emptied */
  FRONT_ENDED    /* a worker's life is over */
};

struct front_ask
{
  enum front_verb verb;
  const char *service;
  const char *subject;   /* a job's ID, a queue's name or a worker's ID */
  struct job_spec *spec; /* of a submission; the front owns it */
  GBytes *encoded;       /* the same, set by the front */
  int64_t patience_ms;   /* the asker waits so long */
};

enum front_result
{
  FRONT_DONE,
  FRONT_UNKNOWN, /* no such job */
  FRONT_LATER,   /* it has certainly not been done; ask again */
  FRONT_UNCLEAR  /* it may have been done */
};

struct front_answer
{
  enum front_result result;
  enum job_state state; /* FRONT_STATE */
  uint32_t number;      /* FRONT_WAITING: jobs; FRONT_RELEASE: 1 if empty */
  int64_t retry_after_ms;
};

typedef void (*front_done) (void *data, const struct front_answer *answer);

/* Ask; DONE is called once, perhaps before this returns. */
void front_ask (struct front *front, const struct front_ask *ask,
                front_done done, void *data);

/* Return the routes in force, or NULL before the first configuration. */
const struct routes *front_routes (const struct front *front);

/* Return whether the routes are known to be the newest. */
bool front_routes_are_fresh (const struct front *front);

/* Return whether this node should be given new connections. */
bool front_is_ready (const struct front *front);

/* Return whether the node is about to end, so that connections should not be
   kept. */
bool front_is_stopping (const struct front *front);

/* Put the queue's terms into SPEC. */
void front_fill_spec (struct job_spec *spec, const struct queue_route *queue);

#endif
