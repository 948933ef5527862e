#ifndef PARTS_H
#define PARTS_H

#include "fleet.h"
#include "peer_message.h"
#include "world.h"

/* The parts of the world, for its own files only. */

#define MAX_NODES 8
#define N_VMS 10
#define SLOTS 2
#define LEAVING_GRACE_MS 3000
#define TOKEN "team-token"

enum event_kind
{
  /* At a node; they wait while it is frozen and vanish if it is killed. */
  EVENT_TICK,
  EVENT_DELIVER, /* MESSAGE reaches the core */
  EVENT_EDGE,    /* MESSAGE from the core reaches the edge */
  EVENT_ANSWER,  /* a back end's answer reaches the edge */
  EVENT_RUN_TIMEOUT,
  EVENT_FLUSH, /* the log task may append */
  EVENT_APPENDED,
  EVENT_LOG_READ,
  EVENT_LIST_READ,
  EVENT_PEER, /* BYTES from a peer; any incarnation takes them */
  /* Elsewhere. */
  EVENT_WRITE,  /* TEXTS reach the log */
  EVENT_ARRIVE, /* a request reaches a VM */
  EVENT_JOB_END,
  EVENT_ORDER, /* MESSAGE to the platform */
  EVENT_VM_BACK,
  EVENT_CALL,
  EVENT_CALLER_TIMEOUT,
  EVENT_FAULT,
  EVENT_HEAL
};

/* First in, first out holds within a channel only. */
enum channel
{
  CHANNEL_TIMERS,
  CHANNEL_FROM_LOG,
  CHANNEL_FROM_EDGE,
  CHANNEL_TO_EDGE,
  CHANNEL_PEERS,
  CHANNEL_COUNT
};

/* How an append ends for the one who sent it. */
enum append_fate
{
  FATE_DONE,
  FATE_UNCLEAR
};

struct job;
struct attempt;

struct event
{
  int64_t at_ms;
  uint64_t order; /* of creation, between events of one moment */
  enum event_kind kind;
  int node;             /* -1 for none */
  uint64_t incarnation; /* 0 for any */
  enum channel channel;
  struct message *message;
  GBytes *bytes;
  GPtrArray *texts;
  struct attempt *attempt;
  struct job *job;
  int64_t number;
  int from;
};

/* A record on its way to the log. */
struct outgoing
{
  char *uid;
  char *text;
  bool sent;
};

struct sim_node
{
  char *name;
  struct core *core; /* NULL while it does not run */
  struct counters *counters;
  uint64_t incarnation;
  int64_t booted_ms;
  int64_t clock_base_ms;
  bool frozen;
  int64_t frozen_ms; /* since when */
  GQueue held;       /* struct event *, while frozen */
  int64_t last_ms[CHANNEL_COUNT];
  int64_t last_peer_ms[MAX_NODES]; /* of messages to each peer */
  uint64_t last_request;
  GPtrArray *outgoing;
  bool appending;
  bool flush_due;
  uint64_t read_after;
  uint64_t seen_offset; /* the largest offset and version judged */
  uint64_t seen_version;
};

struct sim_vm
{
  char *name;
  const char *zone;
  char *rack;
  char *pool;
  uint32_t running;
  enum vm_state state;
  int64_t said_leaving_ms; /* first told to a node; -1 if not */
  bool is_failing_all_runs;
  uint64_t boot; /* counts returns, so that old timers are void */
};

/* What the platform's list said at a moment. */
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
  bool done;
};

/* One sending of a call to a node, and the edge's part of it. */
struct attempt
{
  struct call *call;
  int node;
  uint64_t incarnation;
  uint64_t request;
  int64_t sent_ms;
  bool over;        /* the caller has heard, or has gone */
  bool caller_gone; /* as the edge sees it */
  bool run_active;
  uint32_t run_attempt;
  int starts;
  bool told_not_run;
};

/* A task on a VM. */
struct job
{
  struct attempt *attempt;
  uint32_t run_attempt;
  int vm;
  uint64_t boot;
  bool fails;
  bool done;
};

struct world
{
  struct world_options options;
  uint64_t random;
  int64_t now_ms;
  uint64_t orders;
  GSequence *events;
  struct sim_node nodes[MAX_NODES];
  /* The log. */
  GPtrArray *entries; /* char *, the record at offset index + 1 */
  GArray *times;      /* int64_t, log time of each */
  GArray *versions;   /* uint64_t, configuration in force after each */
  struct fleet *truth;
  struct sim_vm vms[N_VMS];
  GQueue *snapshots;
  GPtrArray *calls;
  GPtrArray *attempts;
  GPtrArray *jobs;
  GHashTable *bases; /* set of versions that were replaced by a publication */
  /* Faults in force. */
  int on[WORLD_FAULT_COUNT]; /* how many are on, for those of the world */
  int log_cut[MAX_NODES];
  int peer_cut[MAX_NODES];
  int edge_late[MAX_NODES];
  bool healing;
  int waves;
  int until_call_ms;
  struct world_counts counts;
  char *violation;
};

/* world.c */
int64_t draw (struct world *w, int64_t low, int64_t high);
bool chance (struct world *w, int percent);
struct event *event_add (struct world *w, enum event_kind kind, int node,
                         int64_t delay_ms);
/* Put MESSAGE on its way to the core of NODE. */
void deliver (struct world *w, int node, enum channel channel,
              struct message *message, int64_t delay_ms);
void violate (struct world *w, const char *format, ...) G_GNUC_PRINTF (2, 3);
void node_boot (struct world *w, int node);
void node_end (struct world *w, int node);
int64_t node_clock_ms (const struct world *w, int node);

/* log.c */
void log_write_now (struct world *w, const char *text);
void log_append (struct world *w, int node, const struct record *record);
void log_cancel (struct world *w, int node, const char *uid);
void log_flush (struct world *w, int node);
void log_write (struct world *w, const struct event *e);
void log_appended (struct world *w, const struct event *e);
void log_read (struct world *w, int node);

/* Return whether a mutation keeps the nodes' permission to start work from
   lapsing. */
bool world_permission_is_off (const struct world *w);
void outgoing_free (gpointer p);

/* vms.c */
void vms_init (struct world *w);
void vms_free (struct world *w);
void vms_note (struct world *w);
void vms_read (struct world *w, int node);
void vms_order (struct world *w, const struct message_platform *order);
void vms_arrive (struct world *w, const struct event *e);
void vms_job_end (struct world *w, struct job *job);
void vms_fail (struct world *w, int vm, int64_t for_ms);
void vms_back (struct world *w, int vm, uint64_t boot);
void vms_leave (struct world *w, int vm);
int vms_find (const struct world *w, const char *name);

/* edge.c */
void edge_call (struct world *w, struct call *call, int node);
void edge_take (struct world *w, int node, struct message *message);
/* A run ended at the VM's side; its node hears of it some time later. */
void edge_ended (struct world *w, struct attempt *a, uint32_t run_attempt,
                 enum run_result result);
void edge_answer (struct world *w, struct attempt *a, uint32_t run_attempt,
                  enum run_result result);
void edge_run_timeout (struct world *w, struct attempt *a, uint32_t attempt);
void edge_caller_timeout (struct world *w, struct attempt *a);
void edge_node_gone (struct world *w, int node);
struct call *edge_new_call (struct world *w, const char *key, bool idempotent);
/* An operator's order to NODE. */
void edge_order (struct world *w, int node, enum query_kind kind, char *text,
                 uint64_t base);
void edge_next (struct world *w);

/* faults.c */
void faults_begin (struct world *w);
void faults_end (struct world *w, enum world_fault fault, int node);
void faults_heal_all (struct world *w);

/* promises.c */
char *promises_config (const struct world *w, int number, bool for_cores);
void promises_start (struct world *w, int vm, const char *pool,
                     struct attempt *a);
void promises_told (struct world *w, struct attempt *a, enum reason reason);
void promises_fold (struct world *w, const struct record *r,
                    enum verdict verdict, uint64_t offset);
void promises_node (struct world *w, int node);
void promises_reboot (struct world *w, int vm);
void promises_settled (struct world *w);

#endif
