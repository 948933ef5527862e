#include "counters.h"

#include <stdatomic.h>

/* The messages between nodes of one kind. */
struct peer_counter
{
  _Atomic (const char *) name; /* NULL until one is counted */
  _Atomic uint64_t messages[DIRECTION_COUNT];
  _Atomic uint64_t bytes[DIRECTION_COUNT];
};

/* The records of one kind that were to be appended to the log. */
struct record_counter
{
  _Atomic (const char *) name; /* NULL until one is counted */
  _Atomic uint64_t records;
  _Atomic uint64_t bytes;
};

struct counters
{
  _Atomic uint64_t values[COUNTER_COUNT];
  _Atomic uint64_t reasons[REASON_COUNT];
  _Atomic uint64_t retries[REASON_COUNT];
  _Atomic uint64_t gauges[GAUGE_COUNT];
  struct peer_counter peers[COUNTERS_PEER_KINDS];
  struct record_counter records[COUNTERS_RECORD_KINDS];
};

static const char *const gauge_names[GAUGE_COUNT] = {
  [GAUGE_CPU_CORE_US] = "task_cpu_us{task=\"core\"}",
  [GAUGE_CPU_CALLERS_US] = "task_cpu_us{task=\"callers\"}",
  [GAUGE_CPU_ADMIN_US] = "task_cpu_us{task=\"admin\"}",
  [GAUGE_CPU_LOG_US] = "task_cpu_us{task=\"log\"}",
  [GAUGE_CPU_PEERS_US] = "task_cpu_us{task=\"peers\"}",
  [GAUGE_TABLE_VMS] = "table_entries{table=\"vms\"}",
  [GAUGE_TABLE_KEYS] = "table_entries{table=\"keys\"}",
  [GAUGE_TABLE_WAVES] = "table_entries{table=\"waves\"}",
  [GAUGE_TABLE_NODES] = "table_entries{table=\"nodes\"}",
  [GAUGE_TABLE_MEMBERS] = "table_entries{table=\"members\"}",
  [GAUGE_TABLE_REQUESTS] = "table_entries{table=\"requests\"}",
};

static const char *const direction_names[DIRECTION_COUNT]
    = { "sent", "received" };

static const char *const counter_names[COUNTER_COUNT] = {
  [COUNTER_REQUESTS] = "requests",
  [COUNTER_ANSWERED] = "requests_answered",
  [COUNTER_DISPATCHED] = "requests_dispatched",
  [COUNTER_RETRIES] = "retries",
  [COUNTER_CLAIMS_APPENDED] = "claims_appended",
  [COUNTER_CLAIMS_WON] = "claims_won",
  [COUNTER_CLAIMS_LOST] = "claims_lost",
  [COUNTER_CHECKPOINTS_PUBLISHED] = "checkpoints_published",
  [COUNTER_CHECKPOINT_BYTES_APPENDED] = "checkpoint_bytes_appended",
  [COUNTER_SNAPSHOTS_RESTORED] = "snapshots_restored",
  [COUNTER_SNAPSHOTS_CORRUPT] = "snapshots_corrupt",
  [COUNTER_SNAPSHOTS_OLDER] = "snapshots_older",
  [COUNTER_SNAPSHOT_BYTES_SENT] = "snapshot_bytes_sent",
  [COUNTER_SNAPSHOT_BYTES_RECEIVED] = "snapshot_bytes_received",
  [COUNTER_SNAPSHOT_BYTES_DUPLICATE] = "snapshot_bytes_duplicate",
  [COUNTER_LOG_GAPS] = "log_gaps",
  [COUNTER_OUTCOMES_UNLOGGED_AT_STOP] = "outcomes_unlogged_at_stop",
  [COUNTER_RESUMED_AFTER_PAUSE] = "resumed_after_pause",
  [COUNTER_LOG_APPENDS] = "log_appends",
  [COUNTER_LOG_APPEND_FAILURES] = "log_append_failures",
  [COUNTER_LOG_APPEND_UNCLEAR] = "log_append_unclear",
  [COUNTER_LOG_APPENDS_THROTTLED] = "log_appends_throttled",
  [COUNTER_LOG_RECORDS_RESENT] = "log_records_resent",
  [COUNTER_LOG_RECORDS_READ] = "log_records_read",
  [COUNTER_LOG_READ_FAILURES] = "log_read_failures",
  [COUNTER_LOG_BYTES_READ] = "log_bytes_read",
  [COUNTER_LOG_BYTES_APPENDED] = "log_bytes_appended",
  [COUNTER_RECORDS_REFUSED] = "records_refused",
  [COUNTER_RECORDS_MALFORMED] = "records_malformed",
  [COUNTER_VM_LIST_READS] = "vm_list_reads",
  [COUNTER_VM_LIST_FAILURES] = "vm_list_failures",
  [COUNTER_VM_LIST_BYTES] = "vm_list_bytes_read",
  [COUNTER_VM_MOVES] = "vm_moves",
  [COUNTER_VM_DRAINS] = "vm_drains",
  [COUNTER_VM_REBOOTS] = "vm_reboots",
  [COUNTER_PLATFORM_FAILURES] = "platform_failures",
  [COUNTER_PEER_SENT] = "peer_messages_sent",
  [COUNTER_PEER_SENT_BYTES] = "peer_bytes_sent",
  [COUNTER_PEER_RECEIVED] = "peer_messages_received",
  [COUNTER_PEER_RECEIVED_BYTES] = "peer_bytes_received",
  [COUNTER_PEER_DROPPED] = "peer_messages_dropped",
  [COUNTER_PEER_MALFORMED] = "peer_messages_malformed",
  [COUNTER_PEER_OTHER_VERSION] = "peer_messages_other_version",
  [COUNTER_PEER_UNKNOWN_SENDER] = "peer_messages_unknown_sender",
  [COUNTER_MEMBERS_SUSPECTED] = "members_suspected",
  [COUNTER_MEMBERS_RETURNED] = "members_returned",
  [COUNTER_OWNER_CHANGES] = "owner_changes",
  [COUNTER_SLOT_GRANTS] = "slot_grants",
  [COUNTER_SLOT_GRANTS_STALE] = "slot_grants_stale",
  [COUNTER_LATE_ANSWERS] = "late_answers",
  [COUNTER_ADMIN_UNAUTHORIZED] = "admin_unauthorized",
  [COUNTER_CONNECTIONS_ACCEPTED] = "connections_accepted",
  [COUNTER_CONNECTIONS_REFUSED] = "connections_refused",
  [COUNTER_CONNECTIONS_IDLE_CLOSED] = "connections_idle_closed",
  [COUNTER_CONNECTIONS_SLOW_CLOSED] = "connections_slow_closed",
  [COUNTER_CONNECTIONS_STALLED] = "connections_stalled",
  [COUNTER_CONNECTIONS_BROKEN] = "connections_broken",
  [COUNTER_CALLERS_GONE] = "callers_gone",
};

const char *
counter_name (enum counter counter)
{
  return counter_names[counter];
}

struct counters *
counters_new (void)
{
  return g_new0 (struct counters, 1);
}

void
counters_destroy (struct counters *counters)
{
  g_free (counters);
}

void
counters_add (struct counters *counters, enum counter counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&counters->values[counter], amount,
                             memory_order_relaxed);
}

void
counters_add_reason (struct counters *counters, enum reason reason)
{
  atomic_fetch_add_explicit (&counters->reasons[reason], 1,
                             memory_order_relaxed);
}

void
counters_add_retry (struct counters *counters, enum reason reason)
{
  counters_add (counters, COUNTER_RETRIES, 1);
  atomic_fetch_add_explicit (&counters->retries[reason], 1,
                             memory_order_relaxed);
}

uint64_t
counters_get (const struct counters *counters, enum counter counter)
{
  return atomic_load_explicit (&counters->values[counter],
                               memory_order_relaxed);
}

uint64_t
counters_get_reason (const struct counters *counters, enum reason reason)
{
  return atomic_load_explicit (&counters->reasons[reason],
                               memory_order_relaxed);
}

void
counters_set_gauge (struct counters *counters, enum gauge gauge,
                    uint64_t value)
{
  atomic_store_explicit (&counters->gauges[gauge], value,
                         memory_order_relaxed);
}

uint64_t
counters_get_gauge (const struct counters *counters, enum gauge gauge)
{
  return atomic_load_explicit (&counters->gauges[gauge], memory_order_relaxed);
}

void
counters_add_peer_message (struct counters *counters, enum direction direction,
                           unsigned kind, const char *name, uint64_t size)
{
  struct peer_counter *p;

  if (kind >= COUNTERS_PEER_KINDS)
    return;
  p = &counters->peers[kind];
  atomic_store_explicit (&p->name, name, memory_order_relaxed);
  atomic_fetch_add_explicit (&p->messages[direction], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&p->bytes[direction], size, memory_order_relaxed);
}

void
counters_add_record (struct counters *counters, unsigned kind,
                     const char *name, uint64_t size)
{
  struct record_counter *r;

  if (kind >= COUNTERS_RECORD_KINDS)
    return;
  r = &counters->records[kind];
  atomic_store_explicit (&r->name, name, memory_order_relaxed);
  atomic_fetch_add_explicit (&r->records, 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&r->bytes, size, memory_order_relaxed);
}

static void
render_record (const struct record_counter *r, GString *out)
{
  const char *name = atomic_load_explicit (&r->name, memory_order_relaxed);

  if (name == NULL)
    return;
  g_string_append_printf (
      out,
      "log_records_appended{kind=\"%s\"} %" G_GUINT64_FORMAT
      "\nlog_record_bytes_appended{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
      name, (guint64)atomic_load_explicit (&r->records, memory_order_relaxed),
      name, (guint64)atomic_load_explicit (&r->bytes, memory_order_relaxed));
}

static void
render_peer (const struct peer_counter *p, GString *out)
{
  const char *name = atomic_load_explicit (&p->name, memory_order_relaxed);

  if (name == NULL)
    return;
  for (int d = 0; d < DIRECTION_COUNT; d++)
    g_string_append_printf (
        out,
        "control_messages{kind=\"%s\",direction=\"%s\"} %" G_GUINT64_FORMAT
        "\ncontrol_bytes{kind=\"%s\",direction=\"%s\"} %" G_GUINT64_FORMAT
        "\n",
        name, direction_names[d],
        (guint64)atomic_load_explicit (&p->messages[d], memory_order_relaxed),
        name, direction_names[d],
        (guint64)atomic_load_explicit (&p->bytes[d], memory_order_relaxed));
}

static void
render_control_costs (const struct counters *counters, GString *out)
{
  for (int i = 0; i < GAUGE_COUNT; i++)
    g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n", gauge_names[i],
                            (guint64)counters_get_gauge (counters, i));
  for (int i = 0; i < COUNTERS_RECORD_KINDS; i++)
    render_record (&counters->records[i], out);
  for (int i = 0; i < COUNTERS_PEER_KINDS; i++)
    render_peer (&counters->peers[i], out);
}

void
counters_render (const struct counters *counters, GString *out)
{
  for (int i = 0; i < COUNTER_COUNT; i++)
    g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n",
                            counter_names[i],
                            (guint64)counters_get (counters, i));
  for (int i = 1; i < REASON_COUNT; i++)
    g_string_append_printf (
        out, "refusals{reason=\"%s\",outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
        reason_name (i), outcome_name (reason_outcome (i)),
        (guint64)counters_get_reason (counters, i));
  for (int i = 1; i < REASON_COUNT; i++)
    g_string_append_printf (
        out, "retries{reason=\"%s\"} %" G_GUINT64_FORMAT "\n", reason_name (i),
        (guint64)atomic_load_explicit (&counters->retries[i],
                                       memory_order_relaxed));
  render_control_costs (counters, out);
}

static uint64_t
get_retries (const struct counters *counters, enum reason reason)
{
  return atomic_load_explicit (&counters->retries[reason],
                               memory_order_relaxed);
}

static void
render_reasons (const struct counters *counters, GString *out,
                const char *name,
                uint64_t (*get_count) (const struct counters *, enum reason))
{
  g_string_append_printf (out, ",\"%s\":{", name);
  for (int i = 1; i < REASON_COUNT; i++)
    g_string_append_printf (out, "%s\"%s\":%" G_GUINT64_FORMAT,
                            i > 1 ? "," : "", reason_name (i),
                            (guint64)get_count (counters, i));
  g_string_append_c (out, '}');
}

void
counters_render_json (const struct counters *counters, GString *out)
{
  for (int i = 0; i < COUNTER_COUNT; i++)
    g_string_append_printf (out, "%s\"%s\":%" G_GUINT64_FORMAT,
                            i > 0 ? "," : "{", counter_names[i],
                            (guint64)counters_get (counters, i));
  render_reasons (counters, out, "refusals_by_reason", counters_get_reason);
  render_reasons (counters, out, "retries_by_reason", get_retries);
  g_string_append_c (out, '}');
}
