#ifndef REPLAY_H
#define REPLAY_H

#include "config.h"
#include "message.h"
#include "trace.h"

/* Replays a trace through the product's core on a virtual clock, with a fake
   platform and fake workers. */

/* One request of the trace and its result over all attempts of its caller. */
struct replayed_request
{
  const struct trace_event *event;
  uint32_t class_index;  /* among the configuration's classes */
  bool in_burst;         /* arrived during a burst of its class */
  bool in_sibling_burst; /* of another class of its service */
  bool cancelled;
  bool answered;
  bool ended;
  uint32_t starts;    /* runs that a worker started for it */
  uint32_t retries;   /* by its caller, after a refusal */
  int64_t sent_ms;    /* its caller's last attempt */
  int64_t started_ms; /* its first run since SENT_MS; -1 for none */
  int64_t run_end_ms; /* end of its last run, if nothing ends it sooner */
  int64_t refused_ms; /* -1 unless the last attempt was refused */
  int64_t first_refusal_after_ms; /* wait until the first refusal */
  enum reason reason;
  bool has_retried;       /* its caller retried after retry_after_ms */
  bool is_retry_accepted; /* and the first retry was not refused */
};

struct replay_options
{
  uint32_t n_nodes;
  uint32_t max_retries; /* of a caller after refusals */
  int32_t kill_node;    /* index of the node to kill, -1 for none */
  int64_t kill_ms;
};

struct replay_result
{
  int64_t end_ms;   /* of the replay */
  GArray *requests; /* struct replayed_request by number in the trace */
  uint64_t runs;
  uint64_t runs_over_slots;         /* sent to a VM that had no free slot */
  uint64_t runs_on_failing_vms;     /* while all runs of the VM fail */
  uint64_t runs_beside_failing_vms; /* meanwhile on other VMs of the pool */
  uint64_t peer_messages;
  uint64_t steps;
  int64_t waves_done_ms; /* log time at which the last VM returned */
};

/* Replay TRACE under CONFIG, the text of a configuration in which each team's
   token is its name.  The caller destroys the result. */
struct replay_result *replay_run (const GArray *trace, const char *config,
                                  const struct replay_options *options);
void replay_result_destroy (struct replay_result *result);

/* Read the configuration file FILENAME and replace each team's token by its
   name.  Return the text, which the caller frees, or NULL with ERROR set. */
char *replay_config (const char *filename, GError **error);

/* Scheduling policies to compare with, over the same slots; see
   docs/DECISIONS.md. */
enum baseline
{
  BASELINE_CLAIRVOYANT,  /* one queue, known run times, preemption */
  BASELINE_PARKING,      /* one queue by deadline; runs that exceed their
                            estimate are preempted and run last */
  BASELINE_ONE_QUEUE,    /* one queue by deadline, no preemption */
  BASELINE_FIXED_SHARES, /* the slots are split evenly between the nodes */
  BASELINE_TWO_CHOICES,  /* each node picks the less loaded of two random
                            VMs, by gossiped load */
  BASELINE_COUNT
};

struct baseline_result
{
  GArray *waits_ms; /* double by request; -1 if it was not started by its
                        deadline */
  uint64_t over_slots;
};

/* Run the REQUESTS of POOL on SLOTS slots under BASELINE.  The caller destroys
   the result. */
struct baseline_result *baseline_run (const GArray *requests, uint32_t slots,
                                      const struct config *config,
                                      const char *pool,
                                      enum baseline baseline);
void baseline_result_destroy (struct baseline_result *result);
const char *baseline_name (enum baseline baseline);

#endif
