#ifndef MESSAGE_H
#define MESSAGE_H

#include "reason.h"
#include "record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The messages that tasks exchange.  A message is owned by whoever holds it
   and destroyed by the last to take it.  Peer messages, the only ones that
   leave the process, are in peer_message.h. */

struct peer_message;

/* How one run of a request on a back end ended. */
enum run_result
{
  RUN_ANSWERED,    /* a whole answer reached the caller */
  RUN_NOT_STARTED, /* the back end certainly never started it */
  RUN_NOT_SENT,    /* this node never sent it to the back end */
  RUN_FAILED,      /* the back end answered that it failed (status 5xx) */
  RUN_LOST,        /* the connection broke; it may have started */
  RUN_TRUNCATED,   /* the answer broke off after its first byte */
  RUN_TOO_LARGE,   /* the answer outgrew the class's limit */
  RUN_TIMED_OUT,   /* it did not end within the caller's time */
  RUN_ABANDONED,   /* the caller went away while it ran */
  RUN_RESULT_COUNT
};

enum message_kind
{
  /* To the core. */
  MESSAGE_REQUEST,
  MESSAGE_ABANDON,
  MESSAGE_RUN_ENDED,
  MESSAGE_RECORDS,
  MESSAGE_LOG_STATE,
  MESSAGE_VM_LIST,
  MESSAGE_PEER,
  MESSAGE_TICK,
  MESSAGE_QUERY,
  MESSAGE_STOP,
  /* From the core. */
  MESSAGE_RUN,
  MESSAGE_REFUSE,
  MESSAGE_APPEND,
  MESSAGE_APPEND_CANCEL,
  MESSAGE_SEND,
  MESSAGE_READ_NOW,
  MESSAGE_PLATFORM,
  MESSAGE_READ_LIST, /* read the VM list now */
  MESSAGE_REPLY,
  MESSAGE_STOPPED
};

/* A caller's request, as its edge read it.  The body stays at the edge. */
struct message_request
{
  uint64_t request; /* number, unlike every other of this process */
  char *service;
  char *class_name;
  char *token; /* the team's, "" for none */
  char *key;   /* Idempotency-Key, "" for none */
  uint64_t body_hash;
  uint64_t body_bytes;
  int64_t timeout_ms; /* 0 for none given */
};

/* The caller of REQUEST went away. */
struct message_abandon
{
  uint64_t request;
};

struct message_run_ended
{
  uint64_t request;
  uint32_t attempt;
  enum run_result result;
  uint32_t status; /* HTTP status of the answer; 0 for none */
  int64_t run_ms;
};

/* One record as read from the log; RECORD is NULL if it was malformed. */
struct log_entry
{
  uint64_t offset;
  int64_t at_ms; /* log time */
  struct record *record;
};

struct message_records
{
  GArray *entries; /* struct log_entry */
  uint64_t first;  /* the oldest offset still kept; 0 if not known */
};

struct message_log_state
{
  bool reachable;
  uint64_t head;    /* offset after the last record */
  uint64_t first;   /* the oldest offset still kept */
  int64_t asked_ms; /* clock time at which the read began; 0 for just now */
};

enum vm_state
{
  VM_STATE_LIVE,
  VM_STATE_LEAVING,
  VM_STATE_REBOOTING,
  VM_STATE_GONE
};

/* A VM as the platform's list has it. */
struct listed_vm
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool;
  uint32_t slots;
  uint32_t running; /* tasks, as last reported; lags */
  enum vm_state state;
};

struct message_vm_list
{
  GArray *vms;      /* struct listed_vm */
  int64_t asked_ms; /* clock time at which the platform was asked */
};

struct message_peer
{
  struct peer_message *peer;
};

enum query_kind
{
  QUERY_CONFIGURATION,
  QUERY_PUBLISH,
  QUERY_MAINTENANCE,
  QUERY_MAINTAIN,
  QUERY_MAINTAIN_CANCEL,
  QUERY_STATUS,
  QUERY_EXPLAIN,
  QUERY_KEY,    /* a caller asks for the outcome of a key */
  QUERY_CANCEL, /* a caller cancels a key */
  QUERY_READY
};

/* A question to the core; it answers with MESSAGE_REPLY of the same number. */
struct message_query
{
  uint64_t query;
  enum query_kind kind;
  char *subject;       /* key, name, target or VM; "" for none */
  char *token;         /* of the caller's team; "" for none */
  char *text;          /* JSON body; "" for none */
  uint64_t base;       /* version that a publication replaces */
  bool any_base;       /* whether no base was given */
  int64_t wait_all_ms; /* 0: answer as soon as it is accepted */
};

struct message_reply
{
  uint64_t query;
  uint32_t status; /* HTTP status */
  char *text;      /* JSON */
};

/* A run is sent to its back end within this time, or not at all. */
#define MESSAGE_SEND_WITHIN_MS 1000

/* Run REQUEST on a back end; its edge has the body. */
struct message_run
{
  uint64_t request;
  uint32_t attempt;
  char *vm;
  char *address;
  uint16_t port;
  char *pool;
  char *service;
  char *class_name;
  bool idempotent;
  int64_t timeout_ms; /* until the caller's time is over */
  int64_t send_by_ms; /* clock time after which it may not be sent */
  uint64_t max_answer_bytes;
};

/* Answer REQUEST with a problem; it is over. */
struct message_refuse
{
  uint64_t request;
  enum reason reason;
  int64_t retry_after_ms;
};

struct message_append
{
  struct record *record;
};

struct message_append_cancel
{
  char *uid;
};

struct message_send
{
  char *to; /* node; "" for all peers */
  struct peer_message *peer;
};

enum platform_action
{
  PLATFORM_DRAIN,
  PLATFORM_REBOOT,
  PLATFORM_ASSIGN,
  PLATFORM_RESUME
};

struct message_platform
{
  enum platform_action action;
  char *vm;
  char *pool; /* for PLATFORM_ASSIGN */
};

struct message
{
  enum message_kind kind;
  union
  {
    struct message_request request;
    struct message_abandon abandon;
    struct message_run_ended run_ended;
    struct message_records records;
    struct message_log_state log_state;
    struct message_vm_list vm_list;
    struct message_peer peer;
    struct message_query query;
    struct message_reply reply;
    struct message_run run;
    struct message_refuse refuse;
    struct message_append append;
    struct message_append_cancel append_cancel;
    struct message_send send;
    struct message_platform platform;
  } u;
};

/* Create an empty message of KIND. */
struct message *message_new (enum message_kind kind);

/* Destroy MESSAGE and all it owns. */
void message_destroy (struct message *message);

/* Create an empty array of struct listed_vm that frees its elements. */
GArray *listed_vms_new (void);

/* Create an empty array of struct log_entry that frees its elements. */
GArray *log_entries_new (void);

/* Return whether RUN may still be sent to its back end at NOW_MS.  The edge
   asks at the last moment, as the process may have been paused since the core
   looked at the VM. */
bool message_run_may_be_sent (const struct message_run *run, int64_t now_ms);

const char *run_result_name (enum run_result result);

#endif
