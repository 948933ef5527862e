#ifndef NODE_STATE_H
#define NODE_STATE_H

#include "advice_desk.h"
#include "cell.h"
#include "front.h"
#include "http_client.h"
#include "http_server.h"
#include "ledger.h"
#include "meters.h"
#include "node_settings.h"
#include "order_window.h"
#include "queue_homes.h"
#include "store.h"
#include "upkeep.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/* The state of a node that schedules jobs, shared by the files that make it
   up.  All of it belongs to one task, which runs one event loop:
   node.c            start, stop, clocks, metrics
   node_directory.c  follows configuration, workers, waves and owners in the
                     store
   node_owner.c      which cells this node owns or watches
   node_host.c       executes a cell's orders and answers requests to it
   node_takeover.c   how a cell gets a new owner
   node_front.c      routes callers' requests to the owner, here or elsewhere
   node_queues.c     asks all cells that may have a queue's jobs
   node_peers.c      serves HTTP requests of other nodes
   node_peer_calls.c sends them
   node_fleet.c      maintenance waves and pool sizes
   node_relay.c      orders that other nodes send to workers
   node_ledger.c     the messages of the ledger of accounts' caps.
   Fields that end in `_ms` are times or durations of node_now_ms, unless they
   say otherwise. */

/* Follows one stream of the store: reads the newest record of each key, then
   the records appended since. */
struct stream_follower
{
  struct node *node;
  const char *stream;
  bool has_list;           /* the newest record of every key has been read */
  bool must_relist;        /* drop the list and read it from its start */
  char *page_after;        /* key before the next page of the list, or NULL */
  GHashTable *listed_keys; /* keys of the list being read */
  uint64_t next_offset;
  int64_t confirmed_ms;     /* last answer of the store for this stream */
  int64_t read_interval_ms; /* between an answer and the next read */
  int64_t poll_wait_ms;     /* how long the store may hold a read */
  bool is_call_pending;
  uint32_t failed_calls; /* in a row */
  int64_t next_call_ms;
  bool has_logged_unreadable;
  void (*on_record) (struct node *node, const char *key, GBytes *value);
  /* KEYS has every key that can be read, or is NULL if the list had to be cut
     short. */
  void (*on_list_end) (struct node *node, GHashTable *keys);
};

enum host_phase
{
  HOST_WATCHING,         /* probes the owner, takes over if it fails */
  HOST_REQUESTING_YIELD, /* has asked the owner to give the cell up */
  HOST_CLAIMING,         /* takes an epoch */
  HOST_FENCING,          /* makes the journal refuse the previous owner */
  HOST_LOADING,          /* reads the journal */
  HOST_ACTIVE            /* owns the cell */
};

/* This node's role in one cell, of a service or of the fleet, that it owns or
   is the next to own. */
struct cell_host
{
  struct node *node;
  char *service;
  uint32_t serial; /* unique in this process; changes when the cell is lost,
                      so that late replies are dropped */
  enum host_phase phase;
  uint64_t epoch;
  struct cell *cell;          /* NULL before the journal has been loaded, and
                                 for the fleet */
  GPtrArray *journal_entries; /* struct journal_entry *, while loading */
  bool is_call_pending;       /* a call of the takeover */
  uint32_t failed_calls; /* calls of the takeover to the store, in a row */
  int64_t next_call_ms;  /* no call of the takeover before then */
  int64_t confirmed_ms;  /* send time of the last append by which the store
                            confirmed the epoch */
  bool is_announced;     /* the store names this node as the owner */
  bool is_announcing;
  int64_t next_confirm_ms;
  uint64_t last_sequence;      /* of the last append that succeeded */
  int64_t owner_heard_ms;      /* last good answer of the watched owner */
  uint32_t failed_probes;      /* in a row */
  GPtrArray *handover_entries; /* struct journal_entry *, from the previous
                                  owner, or NULL */
  char *owner_at_claim;        /* the known owner when the claim began */
  bool has_announced;          /* itself as the owner since then */
  bool was_own;                /* it was this node, before its restart */
  GPtrArray *home_entries;     /* struct journal_entry *, being recorded */
  int64_t next_homes_ms;       /* no record of homes before then */
  int64_t homes_version;       /* of the routes whose homes are recorded */
  GHashTable *requests;        /* token to struct local_request * */
  int64_t advice_asked_ms;     /* when the cell last asked for advice */
  bool must_run;               /* run it before the event loop waits */
};

/* Membership of the group whose members share out the cells. */
struct owner_state
{
  int64_t generation;
  int64_t generation_changed_ms;
  int64_t next_join_ms;
  bool is_joining;
  bool has_left;
  int64_t return_ms;       /* when to join again, if it left as it was slow */
  int64_t keep_until_ms;   /* it does not leave as slow before then */
  int64_t window_begin_ms; /* of the ticks counted to notice that */
  uint32_t window_ticks;
  uint32_t window_late_ticks;
  GArray *parts;      /* uint32_t, this node's */
  GHashTable *owners; /* service to "IP:PORT", see owner_record */
  /* Service to GPtrArray of struct journal_entry *, for the next owner. */
  GHashTable *released_entries;
  /* Services whose released_entries have been sent to a node. */
  GHashTable *sent_released;
};

/* One record that the owner of the fleet has yet to append. */
struct fleet_write
{
  char *stream;
  char *key;
  char *value;
  GPtrArray *orders; /* struct fleet_call *, sent once it is written, or
                        NULL */
};

struct fleet_state
{
  uint64_t epoch;              /* 0 while another node owns the fleet */
  struct ledger *ledger;       /* NULL while another node owns the fleet */
  int64_t ledger_version;      /* of the routes that the ledger knows, or 0 */
  bool may_raise;              /* the ledger may, as last logged */
  GHashTable *silent_cells;    /* services whose silence has been logged */
  int64_t orders_allowed_ms;   /* no orders before then; 0 for none */
  struct order_log *order_log; /* of machines */
  int64_t next_write_ms;
  struct upkeep *upkeep;
  GPtrArray *ready_calls; /* struct fleet_call *, whose orders the
                             journal has yet to name */
  GQueue writes;          /* struct fleet_write * */
  bool is_writing;
  uint32_t failed_writes; /* in a row */
  uint64_t sequences[2];  /* next, of the status and the upkeep stream */
  bool is_round_running;
  int64_t next_round_ms;
  uint32_t orders_pending; /* from the request to empty the worker until the
                              answer to the order */
  GPtrArray *machines;
  struct sizing *sizing;
  GPtrArray *loads; /* struct pool_load *, of this round */
  uint32_t loads_pending;
  GHashTable *announced_states; /* "WAVE" or "WAVE completed": states that
                                   were queued to be written */
  GHashTable *read_waves;       /* wave's key to GBytes *: record last read */
};

struct node
{
  struct node_settings *settings;
  const char *settings_file;
  struct event_base *base;
  struct http_client *client;
  struct store *store;
  struct meters *meters;
  struct routes *routes;
  struct queue_homes *homes;     /* of all queues */
  GHashTable *workers;           /* ID to struct worker_entry * */
  GHashTable *malformed_workers; /* keys of entries that name no worker */
  GHashTable *wave_requests;     /* wave's key to GBytes * */
  GHashTable *completed_waves;   /* waves' keys */
  struct stream_follower config_follower;
  struct stream_follower worker_follower;
  struct stream_follower status_follower;
  struct stream_follower owner_follower;
  struct owner_state ownership;
  GHashTable *hosts; /* service to struct cell_host * */
  uint32_t last_serial;
  uint64_t last_token;
  struct fleet_state fleet;
  struct front *front;
  struct order_relay *relay;
  struct advice_desk *advice;
  struct ingress *ingress;
  struct http_server *http_server;
  uint64_t max_connections; /* of all clients together */
  struct http_listener *peer_listener;
  struct http_listener *metrics_listener;
  uint32_t open_peer_requests; /* passed to a cell and not answered */
  char *address;               /* "IP:PORT" for the other nodes */
  struct event *tick_timer;
  struct event *run_event; /* runs the hosts that must run */
  bool is_stopping;
  int64_t stop_begun_ms;
  int64_t store_heard_ms;     /* last answer of the store */
  int64_t store_recovered_ms; /* first answer after an outage of the store */
  int64_t wall_offset_ms;     /* Unix time less the steady clock */
  int64_t wall_candidate_ms;  /* offset after a jump, not yet adopted */
  int64_t wall_candidate_since_ms;
  int64_t started_ms;
  int64_t last_tick_ms;
  int64_t applied_limits_version; /* of the routes whose limits the ingress
                                     has */
};

/* node.c */

/* Return the steady clock, which counts suspended time too, in ms. */
int64_t node_now_ms (void);
/* Return Unix time in ms.  A jump of the time of day is not followed at
   once. */
int64_t node_wall_ms (const struct node *n);
/* Note that the store has answered. */
void node_note_store_answer (struct node *n, int64_t now_ms);
/* Return the timeout of a call to the store after FAILED earlier ones in a
   row: short at first, as the answer may be lost, longer while the store is
   slow. */
int64_t node_store_timeout_ms (uint32_t failed);
/* Timeout of a call that is repeated before it times out. */
#define STORE_HEDGED_TIMEOUT_MS 1200
/* Run HOST before the event loop waits again. */
void node_schedule_run (struct node *n, struct cell_host *host);

/* node_directory.c */
void directory_start (struct node *n);
void directory_tick (struct node *n, int64_t now_ms);
void directory_clear (struct node *n);

/* node_owner.c */
/* Reserved name, in place of a service, of the cell whose owner manages the
   machines of all services. */
#define FLEET_SERVICE "fleet"
/* The group of the nodes in the reserve. */
#define RESERVE_GROUP "burdockshed-reserve"
#define OWNERS_STREAM "keyed.cells"
void owner_start (struct node *n);
void owner_tick (struct node *n, int64_t now_ms);
/* Release all cells and leave the group. */
void owner_leave (struct node *n);
/* Count a tick of the event loop.  If ticks are so late that this node can't
   serve its cells, release them to other nodes for a while. */
void owner_count_tick (struct node *n, int64_t now_ms);
void owner_clear (struct node *n);
/* Watch the cells of this node's parts, and stop watching all others. */
void owner_update_hosts (struct node *n, int64_t now_ms);
/* Return the owner of SERVICE's cell in the form that owner_record takes, or
   NULL if it is not known. */
const char *owner_address (const struct node *n, const char *service);
/* Return whether OWNER, as of owner_address, is the address of a node that
   owns the cell, be it this one. */
bool owner_is_address (const char *owner);
/* Return whether this node is in the reserve: it has too few cores to own a
   cell while another node can. */
bool owner_is_reserve (const struct node *n);
/* Return whether this node may take over a cell whose owner has not answered
   for UNHEARD_MS. */
bool owner_may_take_over (const struct node *n, int64_t unheard_ms);
/* Record who owns the cell of SERVICE: VALUE is "IP:PORT", "-IP:PORT" of an
   owner that has released it, or "?" if this node has lost it to an unknown
   node. */
#define OWNER_RELEASED '-'
#define OWNER_LOST '?'
void owner_record (struct node *n, const char *service, const char *value);

/* node_host.c */
/* Return a host that watches the cell of SERVICE. */
struct cell_host *host_new (struct node *n, const char *service,
                            int64_t now_ms);
void host_destroy (gpointer host);
/* Do what is due: the next step of the takeover, or the cell's orders. */
void host_run (struct cell_host *host, int64_t now_ms);
/* Pass a request to the cell, which has to be active here; DONE is called
   once, perhaps before this returns. */
void host_handle_request (struct cell_host *host,
                          const struct front_request *request, front_done done,
                          void *data, int64_t now_ms);
/* Return whether the store has confirmed the ownership recently enough to
   start tasks and extend leases. */
bool host_is_confirmed (const struct cell_host *host, int64_t now_ms);
/* Stop being the owner at another node's request.  Return the journal entries
   that the next owner needs, which the caller unrefs. */
GPtrArray *host_yield (struct cell_host *host, int64_t now_ms);
/* Stop acting as the owner, or claiming to be, under an epoch below EPOCH. */
void host_stop_below (struct cell_host *host, uint64_t epoch, int64_t now_ms);
/* Release the cell to whichever node takes it next.  Return the journal
   entries that the next owner needs, which the caller unrefs, or NULL if this
   node was not the owner. */
GPtrArray *host_release (struct cell_host *host);

/* node_front.c */
struct front *front_new (struct node *n);
void front_destroy (struct front *front);
void front_tick (struct front *front, int64_t now_ms);
/* Answer all open requests now, and any later one at once: the node is about
   to end.  One that may have reached an owner is answered as unclear. */
void front_close (struct front *front, int64_t now_ms);
/* Return the homes of all queues, or NULL before they have been read. */
const struct queue_homes *front_homes (const struct front *front);
/* Return whether the store has recently confirmed that they are all. */
bool front_homes_are_fresh (const struct front *front);

/* node_queues.c */
/* Return whether HOST's cell has the job of SPEC or may accept it. */
bool host_accepts_job (const struct cell_host *host,
                       const struct job_spec *spec);
/* Return how many jobs of QUEUE, as of queue_homes_text, wait in HOST's cell.
 */
uint32_t host_count_waiting_jobs (const struct cell_host *host,
                                  const char *queue);
/* Record that HOST's cell is a home of the queues that the configuration sends
   to it, if that is not recorded. */
void host_record_homes (struct cell_host *host, int64_t now_ms);

/* node_peers.c */
/* Listen for other nodes' requests.  Return NULL if the node's address is in
   use. */
struct http_listener *peers_listen (struct node *n, uint32_t max_connections);
/* Forward a request to the owner at ADDRESS; see peer_read_answer. */
void peer_send (struct node *n, const char *address,
                const struct front_request *request, int64_t timeout_ms,
                http_reply_callback done, void *data);
/* Ask ADDRESS whether it owns the cell of SERVICE.  The answer is 200 with
   "AGE_MS IS_RESERVE": the time since the store last confirmed the owner, and
   1 if it is in the reserve, else 0. */
void peer_probe (struct node *n, const char *address, const char *service,
                 http_reply_callback done, void *data);
/* Ask ADDRESS to give the cell of SERVICE up.  The answer is 200 with records
   for peer_read_records, or STATUS_ALREADY_YIELDED if they have been sent to a
   node before. */
#define STATUS_ALREADY_YIELDED 206
void peer_request_yield (struct node *n, const char *address,
                         const char *service, http_reply_callback done,
                         void *data);
/* Ask ADDRESS for the load of SERVICE's pool.  The answer is 200 with an
   encoded struct pool_load. */
void peer_request_load (struct node *n, const char *address,
                        const char *service, http_reply_callback done,
                        void *data);
/* Tell ADDRESS that this node owns the cell of SERVICE under EPOCH.  The
   answer is 200 once the other node does not act under a lower epoch. */
void peer_stop_owner (struct node *n, const char *address, const char *service,
                      uint64_t epoch, http_reply_callback done, void *data);
/* Send CALL of the ledger to ADDRESS, which owns the cell of SERVICE.  The
   answer is 200 with an encoded struct account_report. */
void peer_send_allotments (struct node *n, const char *address,
                           const char *service,
                           const struct allotment_call *call,
                           http_reply_callback done, void *data);
/* Return the struct journal_entry * in the answer to peer_request_yield; the
   caller unrefs the array. */
GPtrArray *peer_read_records (const struct http_reply *reply);
/* Read the answer to peer_send.  Return false if the other node did not answer
   or is not the owner. */
bool peer_read_answer (enum front_verb verb, const struct http_reply *reply,
                       struct front_answer *answer);

/* node_fleet.c */
#define UPKEEP_STREAM "keyed.upkeep"
/* Become the owner of the fleet under EPOCH.  RECORDS (struct journal_entry *)
   name the machines whose upkeep has begun and those that the previous owner
   ordered last; WAS_OWN tells that this was this node, before its restart. */
void fleet_begin (struct node *n, uint64_t epoch, const GPtrArray *records,
                  bool was_own, int64_t now_ms);
void fleet_end (struct node *n);
void fleet_tick (struct node *n, int64_t now_ms);
/* Return whether the store has confirmed recently that this node owns the
   fleet. */
bool fleet_is_confirmed (const struct node *n, int64_t now_ms);

/* node_ledger.c */
/* Begin and end the ledger with the ownership of the fleet. */
void node_ledger_begin (struct node *n, int64_t now_ms);
void node_ledger_end (struct node *n);
/* Send the calls that are due, if the store has confirmed the ownership
   recently and the configuration has accounts. */
void node_ledger_tick (struct node *n, int64_t now_ms);
/* Let HOST's cell, which has to be active here, answer CALL.  Its allotments
   are left out if they are of another version of the configuration.  The
   caller destroys the report. */
struct account_report *host_exchange_allotments (struct cell_host *host,
                                                 struct allotment_call *call,
                                                 int64_t now_ms);

#endif
