#ifndef PARTS_H
#define PARTS_H

#include "fleet.h"
#include "peer_message.h"
#include "world.h"

/* Internals of the simulated world, for the files of this directory only. */

#define MAX_NODES 8
#define N_VMS 10
#define SLOTS_PER_VM 2
#define LEAVING_GRACE_MS 3000
#define TOKEN "team-token"

enum event_kind
{
  /* Events of one node.  They wait while it is frozen, and are dropped if it
     is killed. */
  EVENT_TICK,
  EVENT_DELIVER, /* MESSAGE reaches the core */
  EVENT_EDGE,    /* MESSAGE from the core reaches the edge */
  EVENT_RUN_END, /* the end of a run reaches the edge */
  EVENT_RUN_TIMEOUT,
  EVENT_FLUSH, /* the log task sends its append */
  EVENT_APPEND_REPLY,
  EVENT_LOG_READ,
  EVENT_LIST_READ,
  EVENT_PEER, /* BYTES from a peer, for any incarnation */
  /* Other events. */
  EVENT_WRITE,       /* TEXTS reach the log */
  EVENT_RUN_ARRIVES, /* a run reaches a VM */
  EVENT_TASK_END,
  EVENT_ORDER, /* MESSAGE to the platform */
  EVENT_VM_RETURNS,
  EVENT_CALL,
  EVENT_CALLER_TIMEOUT,
  EVENT_FAULT,
  EVENT_FAULT_END
};

/* Events of a node keep their order only within one channel. */
enum channel
{
  CHANNEL_TIMERS,
  CHANNEL_FROM_LOG,
  CHANNEL_FROM_EDGE,
  CHANNEL_TO_EDGE,
  CHANNEL_PEERS,
  CHANNEL_COUNT
};

/* The result of an append as its sender sees it. */
enum append_result
{
  APPEND_RESULT_DONE,
  APPEND_RESULT_UNCLEAR
};

struct vm_task;
struct attempt;

struct event
{
  int64_t at_ms;
  uint64_t order; /* of creation, for events of one time */
  enum event_kind kind;
  int node;             /* -1 for none */
  uint64_t incarnation; /* 0 for any */
  enum channel channel;
  struct message *message;
  GBytes *bytes;
  GPtrArray *texts;
  struct attempt *attempt;
  struct vm_task *vm_task;
  int64_t number; /* attempt of a run, append_result, fault, or boot count */
  int from;       /* a node, a VM, or the run_result of a run's end */
};

/* A record that is not yet confirmed to be in the log. */
struct outgoing_record
{
  char *uid;
  char *text;
  bool is_sent;
};

struct sim_node
{
  char *name;
  struct core *core; /* NULL while it is not running */
  struct counters *counters;
  uint64_t incarnation;
  int64_t started_ms;
  int64_t clock_base_ms;
  bool is_frozen;
  int64_t frozen_ms;               /* since when */
  GQueue held_events;              /* struct event *, while frozen */
  int64_t last_ms[CHANNEL_COUNT];  /* time of a channel's last event */
  int64_t last_peer_ms[MAX_NODES]; /* delivery time of the last message to a
                                      peer */
  uint64_t last_request;
  GPtrArray *outgoing;
  bool is_appending;
  bool is_flush_scheduled;
  uint64_t read_offset;    /* of the last record read from the log */
  uint64_t checked_offset; /* of the fleet state at the last check */
  uint64_t checked_version;
};

struct sim_vm
{
  char *name;
  const char *zone;
  char *rack;
  char *pool;
  uint32_t running;
  enum vm_state state;
  int64_t leaving_reported_ms; /* first reported to a node; -1 if not */
  bool is_failing_all_runs;
  uint64_t boot_count; /* incremented when the VM goes down, so that
                          earlier timers are ignored */
};

/* The state of the VMs at a time, as the platform's list shows it later. */
struct snapshot
{
  int64_t at_ms;
  enum vm_state states[N_VMS];
  uint32_t running[N_VMS];
};

/* A caller's request over all its attempts. */
struct call
{
  char *key;
  bool idempotent;
  int attempts;
  int starts;
  bool is_done;
};

/* One attempt to send a call to a node, with the edge's state for it. */
struct attempt
{
  struct call *call;
  int node;
  uint64_t incarnation;
  uint64_t request;
  int64_t sent_ms;
  bool is_over;        /* the caller has its result or has disconnected */
  bool is_caller_gone; /* the edge has noticed that */
  bool is_run_active;
  uint32_t run_attempt;
  int starts;
  bool was_told_not_run;
};

/* A task on a VM. */
struct vm_task
{
  struct attempt *attempt;
  uint32_t run_attempt;
  int vm;
  uint64_t boot_count;
  bool will_fail;
  bool is_done;
};

struct world
{
  struct world_options options;
  uint64_t random;
  int64_t now_ms;
  uint64_t last_number;
  GSequence *events;
  struct sim_node nodes[MAX_NODES];
  /* The log. */
  GPtrArray *entries;   /* char *, the record at offset index + 1 */
  GArray *log_times_ms; /* int64_t, log time of each */
  GArray *versions;     /* uint64_t, configuration in force after each */
  struct fleet *reference_fleet;
  struct sim_vm vms[N_VMS];
  GQueue *snapshots;
  GPtrArray *calls;
  GPtrArray *attempts;
  GPtrArray *vm_tasks;
  GHashTable *replaced_versions; /* set of versions that were replaced by a
                                    publication */
  /* Active faults. */
  int active_faults[WORLD_FAULT_COUNT]; /* how many of each, if it affects
                                           the whole world */
  int n_log_cuts[MAX_NODES]; /* active faults by node; likewise below */
  int n_peer_cuts[MAX_NODES];
  int n_edge_delays[MAX_NODES];
  bool is_settling;
  int n_waves;
  int until_call_ms;
  struct world_counts counts;
  char *violation;
};

/* world.c */
/* Return a random number from LOW to HIGH, both included. */
int64_t draw (struct world *w, int64_t low, int64_t high);
/* Return true with a probability of PERCENT. */
bool chance (struct world *w, int percent);
/* Add an event for NODE, or -1, that is due after DELAY_MS. */
struct event *event_add (struct world *w, enum event_kind kind, int node,
                         int64_t delay_ms);
/* Deliver MESSAGE to the core of NODE after DELAY_MS; takes ownership of
   MESSAGE. */
void deliver (struct world *w, int node, enum channel channel,
              struct message *message, int64_t delay_ms);
/* Record a violated invariant; only the first one is kept. */
void report_violation (struct world *w, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void node_start (struct world *w, int node);
void node_end (struct world *w, int node);
int64_t node_clock_ms (const struct world *w, int node);

/* log.c */
/* Write TEXT to the log and apply it to the reference fleet. */
void log_write_now (struct world *w, const char *text);
void log_append (struct world *w, int node, const struct record *record);
void log_cancel (struct world *w, int node, const char *uid);
void log_flush (struct world *w, int node);
void log_write (struct world *w, const struct event *e);
void log_handle_append_reply (struct world *w, const struct event *e);
void log_read (struct world *w, int node);

/* Return whether a mutation keeps the nodes' permission to start work from
   expiring. */
bool world_permission_never_expires (const struct world *w);
void outgoing_record_free (gpointer p);

/* vms.c */
void vms_init (struct world *w);
void vms_free (struct world *w);
void vms_take_snapshot (struct world *w);
void vms_read_list (struct world *w, int node);
void vms_handle_order (struct world *w, const struct message_vm_order *order);
void vms_handle_run (struct world *w, const struct event *e);
void vms_end_task (struct world *w, struct vm_task *vm_task);
void vms_fail (struct world *w, int vm, int64_t for_ms);
void vms_return_to_service (struct world *w, int vm, uint64_t boot_count);
void vms_start_leaving (struct world *w, int vm);
int vms_find (const struct world *w, const char *name);

/* edge.c */
void edge_send_call (struct world *w, struct call *call, int node);
void edge_handle_message (struct world *w, int node, struct message *message);
/* A run has ended at its VM: schedule that the edge of its node learns it. */
void edge_schedule_run_end (struct world *w, struct attempt *a,
                            uint32_t run_attempt, enum run_result result);
void edge_handle_run_end (struct world *w, struct attempt *a,
                          uint32_t run_attempt, enum run_result result);
void edge_run_timeout (struct world *w, struct attempt *a, uint32_t attempt);
void edge_caller_timeout (struct world *w, struct attempt *a);
void edge_handle_node_end (struct world *w, int node);
struct call *edge_new_call (struct world *w, const char *key, bool idempotent);
/* Send an operator's order to NODE; takes ownership of TEXT. */
void edge_send_order (struct world *w, int node, enum query_kind kind,
                      char *text, uint64_t base);
void edge_start_next_call (struct world *w);

/* faults.c */
void faults_begin_next (struct world *w);
void faults_end (struct world *w, enum world_fault fault, int node);
void faults_end_all (struct world *w);

/* invariants.c */
char *invariants_make_config (const struct world *w, int number,
                              bool for_cores);
void invariants_check_start (struct world *w, int vm, const char *pool,
                             struct attempt *a);
void invariants_check_refusal (struct world *w, struct attempt *a,
                               enum reason reason);
void invariants_check_record (struct world *w, const struct record *r,
                              enum verdict verdict, uint64_t offset);
void invariants_check_node (struct world *w, int node);
void invariants_check_planned_stop (struct world *w, int vm);
void invariants_check_settled (struct world *w);

#endif
