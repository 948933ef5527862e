#ifndef NODE_HOST_H
#define NODE_HOST_H

#include "node_state.h"

/* What the two halves of a host share: node_host.c, which carries out a cell's
   orders, and node_takeover.c, by which a cell changes hands. */

/* The writer of a journal, whose epochs fence each other. */
#define HOST_WRITER "cell"

/* What an answer from outside goes with: the host may be gone by then. */
struct host_call
{
  struct node *node;
  uint32_t serial;
  char *service;
  char *worker;
  char *task;
  uint64_t run;
  int64_t sent_ms;
};

struct host_call *host_call_new (struct host *h, const char *worker,
                                 const char *task, uint64_t run,
                                 int64_t now_ms);
void host_call_destroy (struct host_call *call);

/* Return the host that made the call, or NULL if it is not the owner now. */
struct host *host_of_call (const struct host_call *call);

bool host_is_fleet (const struct host *h);
char *host_journal_stream (const struct host *h);

/* Whoever waits for this owner's journal can't be told how it went. */
void host_abandon_asks (struct host *h);

/* Do the next step on the way to owning the cell. */
void host_take_over (struct host *h, int64_t now_ms);

/* Another node has a higher epoch: watch it, whoever it is. */
void host_lose (struct host *h, int64_t now_ms);

/* Make sure that no other has fenced this epoch. */
void host_confirm (struct host *h, int64_t now_ms);

/* Tell all nodes who owns the cell now. */
void host_announce (struct host *h, const char *value, uint64_t sequence,
                    int64_t now_ms);

#endif
