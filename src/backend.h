#ifndef BACKEND_H
#define BACKEND_H

#include "message.h"
#include "settings.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

/* Runs requests on back ends over HTTP and streams their answers chunk by
   chunk to the code that started the run.  A struct backend
   belongs to one task.  Connections are kept alive and reused, but only for
   idempotent requests. */

struct backend;
struct backend_run;

/* Callbacks of a run.  A destroyed backend calls none of them. */
struct backend_functions
{
  /* The status and the headers of the answer have arrived.  LENGTH is that of
     the body in bytes, or -1 if the back end did not give it. */
  void (*begin) (void *data, guint status, SoupMessageHeaders *headers,
                 goffset length);
  /* The next chunk of the answer has arrived.  No more is read until
     backend_read_next is called. */
  void (*chunk) (void *data, GBytes *chunk);
  /* The run has ended after RUN_MS and is freed after this call.  STATUS is
     the HTTP status of the answer, or 0 if none arrived. */
  void (*end) (void *data, enum run_result result, guint status,
               int64_t run_ms);
};

struct backend *backend_new (const struct settings *settings);

/* Abandon every run in progress without calling its callbacks, close the
   connections and free BACKEND. */
void backend_destroy (struct backend *backend);

/* Send BODY, of type CONTENT_TYPE, to the back end that ORDER names.  TASK
   goes out as Task-Id and must be unique to this attempt.  The returned run is
   valid until FUNCTIONS->end has been called with DATA. */
struct backend_run *
backend_start (struct backend *backend, const struct message_run *order,
               const char *task, const char *content_type, GBytes *body,
               const struct backend_functions *functions, void *data);

/* Read the next chunk of the answer; FUNCTIONS->chunk or ->end will be called.
   Does nothing while a read is in progress. */
void backend_read_next (struct backend_run *run);

/* Cancel RUN.  It ends with RUN_ABANDONED, or with RUN_NOT_STARTED if it had
   not been sent. */
void backend_abandon (struct backend_run *run);

#endif
