#ifndef NODE_HOST_H
#define NODE_HOST_H

#include "node_state.h"

/* Shared by node_host.c, which executes a cell's orders, and node_takeover.c,
   by which a cell gets a new owner. */

/* The writer's name in appends to a cell's journal, and in those to the
   fleet's journal and the status of waves.  A higher epoch of the same writer
   fences the lower ones. */
#define HOST_WRITER "cell"
#define FLEET_WRITER "fleet"

/* The context of a call to the store, a worker or another node.  It names the
   host instead of pointing to it, as the host may be gone by the answer. */
struct host_call
{
  struct node *node;
  uint32_t serial; /* of the host */
  char *service;
  char *worker; /* or NULL */
  char *task;   /* task, step or address of an earlier owner, or NULL */
  uint64_t run; /* the run's number; of an append, its sequence; of a call for
                   advice, the number of workers that it names */
  uint64_t fencing_token; /* of an order for a run */
  int64_t sent_ms;
};

struct host_call *host_call_new (struct cell_host *h, const char *worker,
                                 const char *task, uint64_t run,
                                 int64_t now_ms);
void host_call_destroy (struct host_call *call);

/* Return the host that made the call, or NULL if it is gone or has lost the
   cell since. */
struct cell_host *host_of_call (const struct host_call *call);

bool host_is_fleet (const struct cell_host *h);

/* Return the name of the cell's journal stream; the caller frees it. */
char *host_journal_stream (const struct cell_host *h);

/* Answer all open requests with FRONT_UNCLEAR: this node will not learn
   whether the journal has them. */
void host_abandon_requests (struct cell_host *h);

/* Do the next step of taking the cell over. */
void host_take_over (struct cell_host *h, int64_t now_ms);

/* Stop being the owner, as another node may have a higher epoch, and watch
   whichever node owns the cell now. */
void host_step_down (struct cell_host *h, int64_t now_ms);

/* Hand the cell over to this node under a new epoch, if the store answers. */
void host_renew_epoch (struct cell_host *h, int64_t now_ms);

/* If it is due, check with the store that this epoch has not been fenced. */
void host_confirm (struct cell_host *h, int64_t now_ms);

/* Write to the store who owns the cell; VALUE is as for owner_record. */
void host_announce (struct cell_host *h, const char *value, uint64_t sequence,
                    int64_t now_ms);

#endif
