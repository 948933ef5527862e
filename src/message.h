#ifndef MESSAGE_H
#define MESSAGE_H

#include "reason.h"
#include "record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The messages that tasks exchange.  Posting a message passes its ownership to
   the receiving task; the last owner destroys it.  Peer messages, the only
   ones that leave the process, are in peer_message.h. */

struct peer_message;

/* How one run of a request on a back end ended. */
enum run_result
{
  RUN_ANSWERED,    /* the complete answer reached the caller */
  RUN_NOT_STARTED, /* the back end certainly did not start it */
  RUN_NOT_SENT,    /* this node did not send it to the back end */
  RUN_FAILED,      /* the back end answered with a 5xx status */
  RUN_LOST,        /* the connection broke; it may have started */
  RUN_TRUNCATED,   /* the answer broke off after its first byte */
  RUN_TOO_LARGE,   /* the answer exceeded the class's max_answer_bytes */
  RUN_TIMED_OUT,   /* it did not end within the caller's timeout */
  RUN_ABANDONED,   /* the caller disconnected while it ran */
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
  MESSAGE_TICK, /* a timer, every CORE_TICK_MS */
  MESSAGE_QUERY,
  MESSAGE_STOP, /* stop gracefully; answered by MESSAGE_STOPPED */
  /* From the core. */
  MESSAGE_RUN,
  MESSAGE_REFUSE,
  MESSAGE_APPEND,
  MESSAGE_APPEND_CANCEL,
  MESSAGE_SEND_TO_PEER,
  MESSAGE_READ_LOG, /* read the log at once */
  MESSAGE_VM_ORDER,
  MESSAGE_READ_VM_LIST, /* read the VM list */
  MESSAGE_REPLY,
  MESSAGE_STOPPED
};

/* A caller's request, as the callers task read it.  Its body stays in that
   task. */
struct message_request
{
  uint64_t request; /* number, unique in this process */
  char *service;
  char *class_name;
  char *token; /* the team's token, "" for none */
  char *key;   /* Idempotency-Key, "" for none */
  uint64_t body_hash;
  uint64_t body_bytes;
  int64_t timeout_ms; /* 0 if the caller gave none */
};

/* The caller of REQUEST disconnected. */
struct message_abandon
{
  uint64_t request;
};

/* The run ATTEMPT of REQUEST has ended. */
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

/* Records read from the log, in the order of their offsets. */
struct message_records
{
  GArray *entries; /* struct log_entry */
  uint64_t first;  /* oldest offset still kept; 0 if not known */
};

/* The outcome of a read of the log. */
struct message_log_state
{
  bool is_reachable;
  uint64_t head;        /* offset of the last record; 0 for none */
  uint64_t first;       /* oldest offset still kept */
  int64_t requested_ms; /* clock time at which the read began; 0 for now */
};

enum vm_state
{
  VM_STATE_LIVE,
  VM_STATE_LEAVING,
  VM_STATE_REBOOTING,
  VM_STATE_GONE
};

/* A VM as listed by the platform. */
struct listed_vm
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool;
  uint32_t slots;
  uint32_t running; /* running tasks as last reported; may be out of date */
  enum vm_state state;
};

/* The VM list as read from the platform. */
struct message_vm_list
{
  GArray *vms;          /* struct listed_vm */
  int64_t requested_ms; /* clock time at which the list was requested */
};

/* A message that another node has sent. */
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

/* A query to the core, which answers with a MESSAGE_REPLY that has the same
   number. */
struct message_query
{
  uint64_t query; /* number, unique in this process */
  enum query_kind kind;
  char *subject;         /* key, name, target or VM; "" for none */
  char *token;           /* of the caller's team; "" for none */
  char *text;            /* JSON body; "" for none */
  uint64_t base;         /* version that a publication replaces */
  bool accepts_any_base; /* no base was given; replace any version */
  int64_t wait_all_ms;   /* time to wait until the publication is in force on
                            all live nodes; 0: answer when it is accepted */
};

struct message_reply
{
  uint64_t query;
  uint32_t status; /* HTTP status */
  char *text;      /* JSON */
};

/* Timeout for sending a run to its back end; after it the run is not sent. */
#define MESSAGE_RUN_SEND_TIMEOUT_MS 1000

/* Run REQUEST on a back end.  The callers task, which gets this message, has
   the body. */
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
  int64_t timeout_ms; /* what is left of the caller's timeout */
  int64_t send_by_ms; /* clock time after which it must not be sent */
  uint64_t max_answer_bytes;
};

/* Refuse REQUEST: answer its caller with REASON.  The core is done with it. */
struct message_refuse
{
  uint64_t request;
  enum reason reason;
  int64_t retry_after_ms;
};

/* Append RECORD to the log. */
struct message_append
{
  struct record *record;
};

/* Don't append the record UID, unless it has been sent already. */
struct message_append_cancel
{
  char *uid;
};

/* Send PEER to one or all of the other nodes. */
struct message_send_to_peer
{
  char *to; /* name of the receiving node; "" for all peers */
  struct peer_message *peer;
};

enum platform_action
{
  PLATFORM_DRAIN,
  PLATFORM_REBOOT,
  PLATFORM_ASSIGN,
  PLATFORM_RESUME
};

/* Order the platform to carry out ACTION on VM. */
struct message_vm_order
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
    struct message_send_to_peer send_to_peer;
    struct message_vm_order vm_order;
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

/* Return whether RUN may still be sent to its back end at NOW_MS.  The callers
   task checks this immediately before it sends, as the process may have been
   paused since the core checked the VM. */
bool message_run_may_be_sent (const struct message_run *run, int64_t now_ms);

/* Return the name of RESULT as it is written in text; static. */
const char *run_result_name (enum run_result result);

#endif
