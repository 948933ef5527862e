#ifndef NODE_STATE_H
#define NODE_STATE_H

#include "cell.h"
#include "front.h"
#include "http_client.h"
#include "meters.h"
#include "node_settings.h"
#include "store.h"
#include "upkeep.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/* The state of a node that schedules jobs, shared by the files that make it
   up.  All of it belongs to one task, which runs one event loop:
   node.c            start, stop, time
   node_directory.c  configuration, workers and waves, followed in the store
   node_owner.c      which cells this node owns
   node_host.c       a cell's orders carried out, and what it is asked
   node_takeover.c   how a cell changes hands
   node_front.c      callers' asks, here or at the owner's node
   node_peers.c      the other nodes' asks
   node_fleet.c      maintenance waves. */

/* One stream of the store that is followed. */
struct follower
{
  struct node *node;
  const char *stream;
  bool has_list; /* the newest of all keys has been read */
  bool list_again;
  char *after;        /* page of the list being read, or NULL */
  GHashTable *listed; /* keys of the list being read */
  uint64_t next;      /* offset */
  int64_t confirmed_ms;
  int64_t gap_ms; /* between two reads */
  int64_t wait_ms;
  bool call_out;
  int64_t due_ms;
  void (*on_record) (struct node *node, const char *key, GBytes *value);
  void (*on_list_end) (struct node *node, GHashTable *keys);
};

enum host_phase
{
  HOST_WATCHING, /* another node owns it as long as it answers */
  HOST_YIELDING, /* asks the owner, which is in doubt, to give it up */
  HOST_CLAIMING, /* takes an epoch */
  HOST_FENCING,  /* makes the journal refuse the earlier owner */
  HOST_LOADING,
  HOST_ACTIVE
};

/* What this node owns, or would own next: a service's cell, or the fleet. */
struct host
{
  struct node *node;
  char *service;
  uint32_t serial; /* unlike that of every other host of this process */
  enum host_phase phase;
  uint64_t epoch;
  struct cell *cell; /* NULL before the epoch is known */
  GPtrArray *loaded; /* struct store_record *, of the journal */
  bool call_out;
  int64_t retry_ms;
  int64_t confirmed_ms; /* when it was last sure to be the owner */
  bool announced;       /* all nodes can read who the owner is */
  bool announce_out;
  bool confirm_out;
  int64_t confirm_due_ms;
  uint64_t sequence;        /* of the last append that was done */
  int64_t heard_ms;         /* when the owner that is watched last answered */
  uint32_t unheard;         /* calls to it in a row without a good answer */
  GPtrArray *yielded;       /* struct journal_entry *, from the owner before */
  int64_t foreign_lease_ms; /* see struct cell_options */
  char *claimed_from;       /* the owner's address when the claim began */
  GHashTable *asks;         /* token to struct local_ask */
  bool dirty;               /* to be run before the loop waits */
};

struct owner_state
{
  int64_t generation;
  int64_t changed_ms; /* when the generation last did */
  int64_t due_ms;
  bool call_out;
  bool left;
  GArray *parts;        /* uint32_t, this node's */
  GHashTable *owners;   /* service to "IP:PORT" */
  GHashTable *released; /* service to GPtrArray of struct journal_entry * */
  GHashTable *given;    /* services whose records have been asked for */
};

struct fleet_write
{
  char *stream;
  char *key;
  char *value;
  GPtrArray *orders; /* struct fleet_call *, to be sent then, or NULL */
};

struct fleet_state
{
  uint64_t epoch;        /* 0 while another node has the duty */
  int64_t free_ms;       /* orders for any machine from then on */
  GHashTable *held_back; /* machine to int64_t *: orders for it from then on */
  GHashTable *ordered;   /* machine to int64_t *: when this holder last did */
  int64_t retry_ms;
  struct upkeep *upkeep;
  GPtrArray *ready; /* struct fleet_call *, to be ordered */
  GQueue writes;    /* struct fleet_write * */
  bool write_out;
  uint64_t sequences[2]; /* of the status and the upkeep stream */
  bool round_out;
  int64_t round_ms;
  uint32_t orders_out;
  GPtrArray *machines;
  struct sizing *sizing;
  GPtrArray *loads; /* struct pool_load *, of this round */
  uint32_t loads_out;
  GHashTable *announced; /* waves whose status has been written */
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
  GHashTable *workers; /* ID to struct worker_entry * */
  GHashTable *waves;   /* number as text to GBytes * */
  GHashTable *waves_done;
  struct follower config;
  struct follower worker_list;
  struct follower status;
  struct follower owners;
  struct owner_state owner;
  GHashTable *hosts; /* service to struct host * */
  uint32_t serial;
  uint64_t token;
  struct fleet_state fleet;
  struct front *front;
  struct ingress *ingress;
  struct evhttp *peer_server;
  struct evhttp *metrics_server;
  char *address; /* for the other nodes */
  struct event *tick;
  struct event *soon; /* run the dirty hosts */
  bool stopping;
  int64_t stop_begun_ms;
  int64_t store_heard_ms; /* last answer of the store */
  int64_t store_back_ms;  /* when it answered again after a silence */
  int64_t wall_offset_ms; /* Unix time less the steady clock */
  int64_t wall_other_ms;  /* another offset that may be the right one */
  int64_t wall_other_since_ms;
  int64_t started_ms;
  int64_t ticked_ms;
  int64_t limits_version;
};

/* node.c */
int64_t node_now_ms (void);
int64_t node_wall_ms (const struct node *n);
/* The store has answered. */
void node_note_store (struct node *n, int64_t now_ms);
void node_run_soon (struct node *n, struct host *host);

/* node_directory.c */
void directory_start (struct node *n);
void directory_tick (struct node *n, int64_t now_ms);
void directory_clear (struct node *n);

/* node_owner.c */
#define FLEET_SERVICE "fleet" /* no service: the machines of all of them */
#define OWNERS_STREAM "keyed.cells"
void owner_start (struct node *n);
void owner_tick (struct node *n, int64_t now_ms);
void owner_leave (struct node *n);
void owner_clear (struct node *n);
/* Watch or own what this node's parts stand for. */
void owner_apply (struct node *n, int64_t now_ms);
/* Return the address of the service's owner, or NULL if it is not known. */
const char *owner_address (const struct node *n, const char *service);
/* Whether this node is too small to own a cell while another can. */
bool owner_is_reserve (const struct node *n);
/* Whether this node may take a cell whose owner has not been heard for so
   long. */
bool owner_may_follow (const struct node *n, int64_t unheard_ms);
/* Note who owns SERVICE: VALUE is "IP:PORT", "-IP:PORT" of an owner that has
   given it up, or "?" where this node has lost it to an unknown one. */
#define OWNER_RELEASED '-'
#define OWNER_LOST '?'
void owner_note (struct node *n, const char *service, const char *value);

/* node_host.c */
struct host *host_new (struct node *n, const char *service, int64_t now_ms);
void host_destroy (gpointer host);
void host_run (struct host *host, int64_t now_ms);
/* Ask a cell that is active here; DONE is called once. */
void host_ask (struct host *host, const struct front_ask *ask, front_done done,
               void *data, int64_t now_ms);
bool host_is_sure (const struct host *host, int64_t now_ms);
/* Stop being the owner; return what the next one has to know. */
GPtrArray *host_yield (struct host *host, int64_t now_ms);
/* Give the cell up in favour of whoever is next; return what that one has to
   know, or NULL if this node did not own it. */
GPtrArray *host_release (struct host *host);

/* node_front.c */
struct front *front_new (struct node *n);
void front_destroy (struct front *front);
void front_tick (struct front *front, int64_t now_ms);

/* node_peers.c */
struct evhttp *peers_listen (struct node *n);
void peer_send (struct node *n, const char *address,
                const struct front_ask *ask, int64_t timeout_ms,
                http_done done, void *data);
/* Ask ADDRESS whether it owns SERVICE; 200 with its doubt in ms, see below. */
void peer_probe (struct node *n, const char *address, const char *service,
                 http_done done, void *data);
/* Ask ADDRESS to give SERVICE up; 200 with records for peer_read_records, or
   STATUS_YIELDED_BEFORE where another node has asked for them. */
#define STATUS_YIELDED_BEFORE 206
void peer_ask_yield (struct node *n, const char *address, const char *service,
                     http_done done, void *data);
/* Ask ADDRESS for the load of SERVICE's pool: 200 with a struct pool_load. */
void peer_ask_load (struct node *n, const char *address, const char *service,
                    http_done done, void *data);
GPtrArray *peer_read_records (const struct http_reply *reply);
/* Read the answer of another node.  Return false if it is not the owner. */
bool peer_read_answer (enum front_verb verb, const struct http_reply *reply,
                       struct front_answer *answer);

/* node_fleet.c */
#define UPKEEP_STREAM "keyed.upkeep"
/* Take the duty under EPOCH; RECORDS (struct journal_entry *) tell which
   machines' upkeep has been begun, and which machines were ordered lately. */
void fleet_begin (struct node *n, uint64_t epoch, const GPtrArray *records,
                  int64_t now_ms);
void fleet_end (struct node *n);
void fleet_tick (struct node *n, int64_t now_ms);

#endif
