#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include "message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Messages between nodes.  On the wire each is one GVariant that starts with a
   version byte; reading checks the version, every length and every type. */

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

/* The stamp of the last heartbeat from NODE that the sender has processed. */
struct peer_echo
{
  char *node;
  uint64_t incarnation;
  int64_t stamp_ms; /* by the clock of NODE */
};

/* The load of a pool, as its owner knows it. */
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
  uint64_t offset;         /* applied offset of the log */
  uint64_t config_version; /* in force */
  int64_t view_age_ms;     /* since its fleet state was at the log's head */
  bool stopping;
  int64_t stamp_ms;    /* when it was sent, by the sender's clock */
  int64_t list_age_ms; /* since it requested its VM list; -1 for none */
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
  char *avoid_vm;  /* VM on which it failed last; "" for none */
  int64_t wait_ms; /* for how much longer it may wait to start */
  int64_t run_ms;  /* expected duration of the run */
};

struct peer_slot_grant
{
  uint64_t request;
  uint32_t attempt;
  char *vm;
  int64_t valid_ms; /* the run must start within this time */
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

/* Renews the lease of a slot that is still in use, and tells a new owner of
   the pool that it is. */
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

/* Requests one part of the peer's snapshot. */
struct peer_snapshot_ask
{
  uint64_t offset; /* of the snapshot whose parts are being read;
                      0 for the latest */
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

/* The state of one VM in the platform's list. */
struct peer_vm_state
{
  char *vm;
  enum vm_state state;
  uint32_t running; /* tasks on it */
};

/* The changes that the sender found when it read the VM list. */
struct peer_vm_news
{
  GArray *states; /* struct peer_vm_state */
};

/* Asks a node to cancel the request with this key if it waits there. */
struct peer_key_cancel
{
  uint64_t query; /* query number at the requesting node */
  struct key_id key;
};

struct peer_key_cancelled
{
  uint64_t query;
  bool cancelled; /* it was waiting and will never run */
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

/* The result of reading a peer's bytes. */
enum peer_read
{
  PEER_READ_OK,
  PEER_READ_OTHER_VERSION,
  PEER_READ_MALFORMED
};

/* Return the name of KIND in counters. */
const char *peer_kind_name (enum peer_kind kind);

/* Create empty arrays of struct peer_echo and struct peer_load that free
   their elements. */
GArray *peer_echoes_new (void);
GArray *peer_loads_new (void);

/* Create a message of KIND whose other fields are 0. */
struct peer_message *peer_message_new (enum peer_kind kind);
/* Free MESSAGE, which may be NULL, and all that it owns. */
void peer_message_destroy (struct peer_message *message);

/* Create an empty array of struct peer_vm_state that frees its elements. */
GArray *peer_vm_states_new (void);

/* Return MESSAGE as bytes, which the caller unrefs. */
GBytes *peer_message_to_bytes (const struct peer_message *message);

/* Read BYTES into *MESSAGE, which the caller destroys.  *MESSAGE is NULL
   after any result but PEER_READ_OK. */
enum peer_read peer_message_from_bytes (GBytes *bytes,
                                        struct peer_message **message);

#endif
