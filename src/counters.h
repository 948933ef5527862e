#ifndef COUNTERS_H
#define COUNTERS_H

#include "reason.h"

#include <glib.h>
#include <stdint.h>

/* Counters and gauges of one node.  Every task may change them; changes are
   atomic and take no lock. */

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
  COUNTER_SNAPSHOTS_CORRUPT, /* digest differs from the announced one */
  COUNTER_SNAPSHOTS_OLDER,   /* would revert the fleet state or leave a gap */
  COUNTER_SNAPSHOT_BYTES_SENT,
  COUNTER_SNAPSHOT_BYTES_RECEIVED,
  COUNTER_SNAPSHOT_BYTES_DUPLICATE, /* received, but not needed */
  COUNTER_LOG_GAPS, /* the log no longer held the next record */
  COUNTER_OUTCOMES_UNLOGGED_AT_STOP, /* not in the log when the stop timed out
                                      */
  COUNTER_RESUMED_AFTER_PAUSE,       /* resumed after a pause of the process */
  COUNTER_LOG_APPENDS,
  COUNTER_LOG_APPEND_FAILURES,
  COUNTER_LOG_APPEND_UNCLEAR,
  COUNTER_LOG_APPENDS_THROTTLED, /* above the log's maximum rate */
  COUNTER_LOG_RECORDS_RESENT,    /* records, after an unclear append */
  COUNTER_LOG_RECORDS_READ,
  COUNTER_LOG_READ_FAILURES,
  COUNTER_LOG_BYTES_READ,
  COUNTER_LOG_BYTES_APPENDED,
  COUNTER_RECORDS_REFUSED, /* read, but not accepted by the fleet state */
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
  COUNTER_SLOT_GRANTS,
  COUNTER_SLOT_GRANTS_STALE, /* for a VM on which no run may start any more */
  COUNTER_LATE_ANSWERS,      /* of runs that had been given up */
  COUNTER_ADMIN_UNAUTHORIZED,
  COUNTER_CONNECTIONS_ACCEPTED,
  COUNTER_CONNECTIONS_REFUSED,
  COUNTER_CONNECTIONS_IDLE_CLOSED,
  COUNTER_CONNECTIONS_SLOW_CLOSED, /* no whole request within the timeout */
  COUNTER_CONNECTIONS_STALLED,     /* the caller did not read its answer */
  COUNTER_CONNECTIONS_BROKEN,      /* ended before a whole request was read */
  COUNTER_CALLERS_GONE, /* disconnected while their request was open */
  COUNTER_COUNT
};

/* Gauges: what the control work costs this node. */
enum gauge
{
  GAUGE_CPU_CORE_US, /* processor time of each task */
  GAUGE_CPU_CALLERS_US,
  GAUGE_CPU_ADMIN_US,
  GAUGE_CPU_LOG_US,
  GAUGE_CPU_PEERS_US,
  GAUGE_TABLE_VMS, /* number of entries of each table */
  GAUGE_TABLE_KEYS,
  GAUGE_TABLE_WAVES,
  GAUGE_TABLE_NODES,
  GAUGE_TABLE_MEMBERS,
  GAUGE_TABLE_REQUESTS,
  GAUGE_COUNT
};

/* The direction of a message between nodes. */
enum direction
{
  DIRECTION_SENT,
  DIRECTION_RECEIVED,
  DIRECTION_COUNT
};

/* Numbers of kinds that are counted; higher kinds are ignored. */
#define COUNTERS_PEER_KINDS 32
#define COUNTERS_RECORD_KINDS 32

struct counters;

struct counters *counters_new (void);
void counters_destroy (struct counters *counters);

/* Return the name under which COUNTER is printed; static. */
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

/* Count one message between nodes of SIZE bytes, whose kind has the number
   KIND and the NAME, a static string. */
void counters_add_peer_message (struct counters *counters,
                                enum direction direction, unsigned kind,
                                const char *name, uint64_t size);

uint64_t counters_get (const struct counters *counters, enum counter counter);

/* Count one record of SIZE bytes that is to be appended to the log, whose kind
   has the number KIND and the NAME, a static string. */
void counters_add_record (struct counters *counters, unsigned kind,
                          const char *name, uint64_t size);

uint64_t counters_get_gauge (const struct counters *counters,
                             enum gauge gauge);
uint64_t counters_get_reason (const struct counters *counters,
                              enum reason reason);

/* Append every counter and gauge to OUT, as `name{label="value"} number`
   lines. */
void counters_render (const struct counters *counters, GString *out);

/* Append every counter to OUT, as one JSON object in which refusals and
   retries are objects by reason. */
void counters_render_json (const struct counters *counters, GString *out);

#endif
