#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include "message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Messages between nodes.  On the wire each is one GVariant behind a version
   byte; reading checks the version, every length and every type. */

#define PEER_MESSAGE_VERSION 1
#define PEER_MESSAGE_MAX_BYTES (1024 * 1024)

enum peer_kind
{
  PEER_HEARTBEAT,
  PEER_SLOT_ASK,
  PEER_SLOT_GRANT,
  PEER_SLOT_REFUSE,
  PEER_SLOT_RETURN,
  PEER_SLOT_HOLD,
  PEER_SLOT_CANCEL,
  PEER_SNAPSHOT_ASK,
  PEER_SNAPSHOT_PART,
  PEER_VM_NEWS,
  PEER_KEY_CANCEL,
  PEER_KEY_CANCELLED,
  PEER_KIND_COUNT
};

/* "The last heartbeat of yours that I have taken in bore this stamp." */
struct peer_echo
{
  char *node;
  uint64_t incarnation;
  int64_t stamp_ms; /* by the clock of NODE */
};

/* What the owner of a pool knows of its load. */
struct peer_load
{
  char *pool;
  uint32_t waiting; /* requests */
  uint32_t used;    /* slots */
  uint32_t slots;   /* on VMs open for work */
};

struct peer_heartbeat
{
  char *zone;
  uint64_t offset;         /* folded */
  uint64_t config_version; /* in force */
  int64_t view_age_ms;     /* since its view was at the log's head */
  bool stopping;
  int64_t stamp_ms;    /* when it was sent, by the sender's clock */
  int64_t list_age_ms; /* since it asked for its VM list; -1 for none */
  char **leaving;      /* VMs that its list says are leaving */
  char **busy;         /* closed VMs on which it still has runs */
  GArray *echoes;      /* struct peer_echo; NULL for none */
  GArray *loads;       /* struct peer_load; NULL for none */
};

struct peer_slot_ask
{
  uint64_t request;
  uint32_t attempt;
  char *pool;
  char *class_name;
  char *team;
  char *avoid;     /* VM that failed it last; "" for none */
  int64_t wait_ms; /* how long it may still wait to start */
  int64_t run_ms;  /* expected */
};

struct peer_slot_grant
{
  uint64_t request;
  uint32_t attempt;
  char *vm;
  int64_t valid_ms; /* to start within */
};

struct peer_slot_refuse
{
  uint64_t request;
  uint32_t attempt;
  enum reason reason;
  int64_t retry_after_ms;
};

struct peer_slot_return
{
  uint64_t request;
  uint32_t attempt;
  char *vm;
  enum run_result result;
  int64_t run_ms;
};

/* "I still use this slot": renews the slot's lease, and tells a new owner. */
struct peer_slot_hold
{
  uint64_t request;
  uint32_t attempt;
  char *vm;
  char *pool;
};

struct peer_slot_cancel
{
  uint64_t request;
  uint32_t attempt;
};

/* Asks for one part of the peer's snapshot. */
struct peer_snapshot_ask
{
  uint64_t offset; /* of the snapshot that was begun; 0 for the latest */
  uint32_t index;
};

struct peer_snapshot_part
{
  uint64_t offset;
  uint64_t digest_high;
  uint64_t digest_low;
  uint32_t index;
  uint32_t count;
  GBytes *data;
};

/* The state of one VM by the platform's list. */
struct peer_vm_state
{
  char *vm;
  enum vm_state state;
  uint32_t running; /* tasks on it */
};

/* "I have read the VM list, and this has changed." */
struct peer_vm_news
{
  GArray *states; /* struct peer_vm_state */
};

/* "Cancel the request with this key if it waits at your node." */
struct peer_key_cancel
{
  uint64_t query; /* of the asking node */
  struct key_id key;
};

struct peer_key_cancelled
{
  uint64_t query;
  bool cancelled; /* it waited, and will never run */
};

struct peer_message
{
  enum peer_kind kind;
  char *from; /* node */
  uint64_t incarnation;
  union
  {
    struct peer_heartbeat heartbeat;
    struct peer_slot_ask slot_ask;
    struct peer_slot_grant slot_grant;
    struct peer_slot_refuse slot_refuse;
    struct peer_slot_return slot_return;
    struct peer_slot_hold slot_hold;
    struct peer_slot_cancel slot_cancel;
    struct peer_snapshot_ask snapshot_ask;
    struct peer_snapshot_part snapshot_part;
    struct peer_vm_news vm_news;
    struct peer_key_cancel key_cancel;
    struct peer_key_cancelled key_cancelled;
  } u;
};

/* What reading a peer's bytes came to. */
enum peer_read
{
  PEER_READ_GOOD,
  PEER_READ_OTHER_VERSION,
  PEER_READ_MALFORMED
};

/* Return the word for KIND in counters. */
const char *peer_kind_name (enum peer_kind kind);

/* Create empty arrays of struct peer_echo and struct peer_load that free
   their elements. */
GArray *peer_echoes_new (void);
GArray *peer_loads_new (void);

struct peer_message *peer_message_new (enum peer_kind kind);
void peer_message_destroy (struct peer_message *message);

/* Create an empty array of struct peer_vm_state that frees its elements. */
GArray *peer_vm_states_new (void);

/* Return MESSAGE as bytes, which the caller unrefs. */
GBytes *peer_message_to_bytes (const struct peer_message *message);

/* Read BYTES into *MESSAGE, which the caller destroys.  Nothing is read from
   a message of another version or one that is malformed. */
enum peer_read peer_message_from_bytes (GBytes *bytes,
                                        struct peer_message **message);

#endif
