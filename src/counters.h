#ifndef COUNTERS_H
#define COUNTERS_H

#include "reason.h"

#include <glib.h>
#include <stdint.h>

/* The node's own counters.  Every task may add to them; adding is atomic and
   costs no lock.  One object serves one node. */

enum counter
{
  COUNTER_REQUESTS,
  COUNTER_ANSWERED,
  COUNTER_DISPATCHED,
  COUNTER_RETRIES,
  COUNTER_CLAIMS_APPENDED,
  COUNTER_CLAIMS_WON,
  COUNTER_CLAIMS_LOST,
  COUNTER_CHECKPOINTS_PUBLISHED,
  COUNTER_CHECKPOINT_BYTES_APPENDED,
  COUNTER_SNAPSHOTS_RESTORED,
  COUNTER_SNAPSHOTS_CORRUPT, /* another digest than was announced */
  COUNTER_SNAPSHOTS_OLDER,   /* would take the fleet back, or leave a gap */
  COUNTER_SNAPSHOT_BYTES_SENT,
  COUNTER_SNAPSHOT_BYTES_RECEIVED,
  COUNTER_SNAPSHOT_BYTES_DUPLICATE, /* received and not needed */
  COUNTER_LOG_GAPS,                 /* the log no longer held what was next */
  COUNTER_OUTCOMES_UNLOGGED,        /* at a stop that could not wait longer */
  COUNTER_RESUMED,                  /* gone on after a pause of the process */
  COUNTER_LOG_APPENDS,
  COUNTER_LOG_APPEND_FAILURES,
  COUNTER_LOG_APPEND_UNCLEAR,
  COUNTER_LOG_APPENDS_THROTTLED, /* above the log's rate */
  COUNTER_LOG_RESENT,            /* records, after an unclear append */
  COUNTER_LOG_RECORDS_READ,
  COUNTER_LOG_READ_FAILURES,
  COUNTER_LOG_BYTES_READ,
  COUNTER_LOG_BYTES_APPENDED,
  COUNTER_RECORDS_REFUSED,
  COUNTER_RECORDS_MALFORMED,
  COUNTER_VM_LIST_READS,
  COUNTER_VM_LIST_FAILURES,
  COUNTER_VM_LIST_BYTES,
  COUNTER_VM_MOVES,
  COUNTER_VM_DRAINS,
  COUNTER_VM_REBOOTS,
  COUNTER_PLATFORM_FAILURES,
  COUNTER_PEER_SENT,
  COUNTER_PEER_SENT_BYTES,
  COUNTER_PEER_RECEIVED,
  COUNTER_PEER_RECEIVED_BYTES,
  COUNTER_PEER_DROPPED,
  COUNTER_PEER_MALFORMED,
  COUNTER_PEER_OTHER_VERSION,
  COUNTER_PEER_UNKNOWN_SENDER,
  COUNTER_MEMBERS_SUSPECTED,
  COUNTER_MEMBERS_RETURNED,
  COUNTER_OWNER_CHANGES,
  COUNTER_GRANTS,
  COUNTER_GRANTS_STALE,
  COUNTER_LATE_ANSWERS,
  COUNTER_ADMIN_UNAUTHORIZED,
  COUNTER_CONNECTIONS_ACCEPTED,
  COUNTER_CONNECTIONS_REFUSED,
  COUNTER_CONNECTIONS_IDLE_CLOSED,
  COUNTER_CONNECTIONS_SLOW_CLOSED,
  COUNTER_CONNECTIONS_STALLED,
  COUNTER_CONNECTIONS_BROKEN,
  COUNTER_CALLERS_GONE,
  COUNTER_COUNT
};

/* Figures that go up and down: what control costs this node. */
enum gauge
{
  GAUGE_CPU_CORE_US, /* processor time of each task, in microseconds */
  GAUGE_CPU_CALLERS_US,
  GAUGE_CPU_ADMIN_US,
  GAUGE_CPU_LOG_US,
  GAUGE_CPU_PEERS_US,
  GAUGE_TABLE_VMS, /* entries of each table */
  GAUGE_TABLE_KEYS,
  GAUGE_TABLE_WAVES,
  GAUGE_TABLE_NODES,
  GAUGE_TABLE_MEMBERS,
  GAUGE_TABLE_REQUESTS,
  GAUGE_COUNT
};

/* Which way a message between nodes goes. */
enum direction
{
  DIRECTION_SENT,
  DIRECTION_RECEIVED,
  DIRECTION_COUNT
};

#define COUNTERS_PEER_KINDS 32
#define COUNTERS_RECORD_KINDS 32

struct counters;

struct counters *counters_new (void);
void counters_destroy (struct counters *counters);

/* Return the name of COUNTER as it is printed. */
const char *counter_name (enum counter counter);

/* Add AMOUNT to COUNTER. */
void counters_add (struct counters *counters, enum counter counter,
                   uint64_t amount);

/* Count one refusal, failure or unknown outcome for REASON. */
void counters_add_reason (struct counters *counters, enum reason reason);

/* Count one retry because of REASON. */
void counters_add_retry (struct counters *counters, enum reason reason);

/* Set GAUGE to VALUE. */
void counters_set_gauge (struct counters *counters, enum gauge gauge,
                         uint64_t value);

/* Count one message between nodes, of the kind numbered KIND and named NAME
   (which lives as long as the program), of SIZE bytes. */
void counters_add_peer (struct counters *counters, enum direction direction,
                        unsigned kind, const char *name, uint64_t size);

uint64_t counters_get (const struct counters *counters, enum counter counter);
/* Count one record handed to the log, of the kind numbered KIND and named NAME
   (which lives as long as the program), of SIZE bytes. */
void counters_add_record (struct counters *counters, unsigned kind,
                          const char *name, uint64_t size);

uint64_t counters_get_gauge (const struct counters *counters,
                             enum gauge gauge);
uint64_t counters_get_reason (const struct counters *counters,
                              enum reason reason);

/* Write every counter as `name{label="value"} number` lines to OUT. */
void counters_render (const struct counters *counters, GString *out);

/* Write every counter as one JSON object to OUT, with refusals and retries as
   objects by reason. */
void counters_render_json (const struct counters *counters, GString *out);

#endif
