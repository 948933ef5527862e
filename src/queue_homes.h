#ifndef QUEUE_HOMES_H
#define QUEUE_HOMES_H

#include "cell.h"
#include "routes.h"

#include <glib.h>
#include <stdbool.h>

/* The cells that a queue's jobs may be in.  Operators may send a queue to
   another service, also under another name; it stays the same queue for its
   callers, who know its host and path prefix only.  Its earlier jobs stay in
   the cell that accepted them.  Each service that a queue was sent to, with
   its name then, is one home of it.  A home is recorded in the store before
   the cell accepts a job of the queue, so that every node knows it. */

struct queue_homes;

struct queue_homes *queue_homes_new (void);
void queue_homes_destroy (struct queue_homes *homes);

/* Return the record of the home that Q gives its queue; the caller frees it.
 */
struct journal_entry *queue_home_entry (const struct queue_route *q);

/* Return whether KEY is that of a home's record. */
bool queue_homes_has_key (const char *key);

/* Load a home's record.  One that can't be read is ignored. */
void queue_homes_load (struct queue_homes *homes, const char *key,
                       GBytes *value);

/* Return whether the home that Q gives its queue is recorded. */
bool queue_homes_contains (const struct queue_homes *homes,
                           const struct queue_route *q);

/* Return the host and path prefix of Q's queue, by which callers know it; the
   caller frees it. */
char *queue_homes_text (const struct queue_route *q);

/* Return the services (const char *), each once, that Q's queue was sent to,
   but for Q's own; the caller unrefs the array. */
GPtrArray *queue_homes_former_services (const struct queue_homes *homes,
                                        const struct queue_route *q);

/* Return the names (const char *) under which QUEUE, as of queue_homes_text,
   was sent to SERVICE; the caller unrefs the array. */
GPtrArray *queue_homes_names (const struct queue_homes *homes,
                              const char *queue, const char *service);

#endif
