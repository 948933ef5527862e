#ifndef REPLAY_H
#define REPLAY_H

#include "config.h"
#include "message.h"
#include "trace.h"

/* A trace run through the product's own core on a virtual clock, with fakes
   of the platform and of the workers behind it. */

/* What became of one request of the trace. */
struct fate
{
  const struct trace_event *event;
  uint32_t class_place; /* in the configuration */
  bool in_burst;        /* it came while its class was at its peak */
  bool beside_burst;    /* or while another class of its service was */
  bool cancelled;
  bool answered;
  bool ended;
  uint32_t starts;       /* runs that a worker began for it */
  uint32_t returns;      /* times its caller came back after a refusal */
  int64_t came_ms;       /* its caller's last coming */
  int64_t started_ms;    /* first run sent since then; -1 for none */
  int64_t runs_until_ms; /* end of its last run, if nothing ends it sooner */
  int64_t refused_ms;    /* -1 unless refused in the end */
  int64_t refused_after_ms; /* of waiting, the first time */
  enum reason reason;
  bool back_in_time; /* came back once at the time it was told */
  bool taken;        /* and was not refused again */
};

struct replay_options
{
  uint32_t n_nodes;
  uint32_t max_returns; /* of a refused caller */
  int32_t kill_node;    /* which node dies, -1 for none */
  int64_t kill_ms;
};

struct replay_result
{
  int64_t end_ms; /* of the replay */
  GArray *fates;  /* struct fate, in order of the trace's requests */
  uint64_t runs;
  uint64_t runs_over_slots;    /* sent to a VM that had no free slot */
  uint64_t runs_on_broken;     /* sent to a VM while it failed all */
  uint64_t runs_beside_broken; /* of the same pools in the same time */
  uint64_t peer_messages;
  uint64_t steps;
  int64_t waves_done_ms; /* log time at which the last wave was done */
};

/* Run TRACE under CONFIG, the text of a configuration whose teams' tokens are
   their names. */
struct replay_result *replay_run (const GArray *trace, const char *config,
                                  const struct replay_options *options);
void replay_result_destroy (struct replay_result *result);

/* Read the configuration file FILENAME and make each team's token its name. */
char *replay_config (const char *filename, GError **error);

/* Baselines and bounds, over the same slots; see docs/DECISIONS.md. */
enum baseline
{
  BASELINE_CLAIRVOYANT,  /* one queue, true run times, preemption */
  BASELINE_PARKING,      /* one queue by deadline; stragglers put aside */
  BASELINE_ONE_QUEUE,    /* one queue by deadline, no preemption */
  BASELINE_FIXED_SHARES, /* each node has its own share of the slots */
  BASELINE_TWO_CHOICES,  /* each node picks from two by gossiped load */
  BASELINE_COUNT
};

struct baseline_result
{
  GArray *waits_ms; /* double by request; -1 if it was not started in time */
  uint64_t over_slots;
};

struct baseline_result *baseline_run (const GArray *fates, uint32_t slots,
                                      const struct config *config,
                                      const char *pool,
                                      enum baseline baseline);
void baseline_result_destroy (struct baseline_result *result);
const char *baseline_name (enum baseline baseline);

#endif
