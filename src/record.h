#ifndef RECORD_H
#define RECORD_H

#include "reason.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The records of the control stream in the platform's log.  Every record
   carries the condition under which it takes effect.  fleet.h applies them. */

enum record_kind
{
  RECORD_CONFIG,
  RECORD_VM_ADD,
  RECORD_VM_STEP,
  RECORD_CLAIM,
  RECORD_OUTCOME,
  RECORD_MAINTAIN,
  RECORD_MAINTAIN_CANCEL,
  RECORD_NODE_JOIN,
  RECORD_NODE_LEAVE,
  RECORD_CHECKPOINT, /* a part of a snapshot; see parts.h */
  RECORD_KIND_COUNT
};

/* The phase of a VM in its pool. */
enum vm_phase
{
  VM_SERVING,
  VM_DRAINING,  /* gets no new work; work in progress continues */
  VM_RELEASED,  /* runs nothing, and no node may start work on it */
  VM_REBOOTING, /* being maintained */
  VM_DOWN,      /* failed or not there any more, by the VM list */
  VM_PHASE_COUNT
};

/* The identifier of a key: a hash of team, service, class and Idempotency-Key.
 */
struct key_id
{
  uint64_t high;
  uint64_t low;
};

struct record_config
{
  uint64_t base; /* offset of the configuration that this one replaces */
  char *text;    /* JSON */
};

struct record_vm_add
{
  char *vm;
  char *address;
  uint16_t port;
  char *zone;
  char *rack;
  char *pool;
  uint32_t slots;
};

struct record_vm_step
{
  char *vm;
  uint64_t since; /* offset of the VM's last change before this step */
  enum vm_phase phase;
  char *pool;      /* the pool it is in after this step */
  char *next_pool; /* pool to move to once drained; "" to stay */
  char *purpose;   /* name of the wave, or another reason for the step */
};

struct record_claim
{
  struct key_id key;
  uint64_t body_hash;
  uint64_t request;    /* the claiming node's number of the request */
  uint64_t prior;      /* offset of the key's last change; 0 for none */
  uint64_t seen;       /* offset that the claiming node had applied */
  int64_t remember_ms; /* retention time after the key's last change */
};

struct record_outcome
{
  struct key_id key;
  uint64_t claim; /* offset of the claim */
  enum outcome outcome;
  enum reason reason;
  uint32_t status; /* HTTP status of the answer */
};

struct record_maintain
{
  char *name;
  char *pool;               /* "" for all pools */
  int64_t finish_within_ms; /* from acceptance */
  int64_t patience_ms;      /* allowed for work in progress on a draining VM */
};

struct record_maintain_cancel
{
  char *name;
};

struct record_node
{
  char *zone;
};

struct record_checkpoint
{
  uint64_t at; /* last offset that the snapshot includes */
  uint64_t digest_high;
  uint64_t digest_low;
  uint32_t index;
  uint32_t count;
  char *data; /* base64 */
};

struct record
{
  enum record_kind kind;
  char *uid;            /* unique */
  char *node;           /* node that appended it */
  uint64_t incarnation; /* of NODE */
  union
  {
    struct record_config config;
    struct record_vm_add vm_add;
    struct record_vm_step vm_step;
    struct record_claim claim;
    struct record_outcome outcome;
    struct record_maintain maintain;
    struct record_maintain_cancel maintain_cancel;
    struct record_node node_join;
    struct record_node node_leave;
    struct record_checkpoint checkpoint;
  } u;
};

/* Maximum size of a record as text. */
#define RECORD_MAX_BYTES (2 * 1024 * 1024)

/* Create an empty record of KIND by NODE, with a new uid.  The caller destroys
   it. */
struct record *record_new (enum record_kind kind, const char *node,
                           uint64_t incarnation);
void record_destroy (struct record *record);

/* Return RECORD as one line of JSON, which the caller frees. */
char *record_to_text (const struct record *record);

/* Read the record that TEXT of LENGTH bytes (-1 if it ends in NUL) holds,
   which the caller destroys.  Return NULL with ERROR set if it is malformed.
 */
struct record *record_from_text (const char *text, gssize length,
                                 GError **error);

/* Read the maintenance order at ROOT into OUT, whose strings the caller frees.
   Return false with ERROR set if a member is wrong. */
bool record_read_maintain (JsonNode *root, struct record_maintain *out,
                           GError **error);

/* Return the identifier of KEY of TEAM for class CLASS_NAME of SERVICE. */
struct key_id key_id_make (const char *team, const char *service,
                           const char *class_name, const char *key);
bool key_id_equal (struct key_id a, struct key_id b);

/* Return the name of KIND or PHASE in the text of a record. */
const char *record_kind_name (enum record_kind kind);
const char *vm_phase_name (enum vm_phase phase);

#endif
