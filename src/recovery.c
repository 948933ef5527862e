#include "recovery.h"

#include <string.h>

/* Most incomplete checkpoints joined at once; the oldest is dropped first. */
#define CHECKPOINT_ASSEMBLIES_MAX 4

/* Most log entries buffered after a gap; the oldest are dropped first. */
#define BUFFERED_RECORDS_MAX 500000

/* Time after a start or resumption that the peers get to announce their
   offsets by heartbeats, before the largest one is relied on. */
#define PEER_HEARTBEAT_WAIT_MS 1200

/* A checkpoint is due after as many records as the offset of the last one,
   within these bounds: more often while the log is short. */
#define CHECKPOINT_MIN_RECORDS 64
#define CHECKPOINT_MAX_RECORDS 4096

/* Once the last checkpoint lies in the older half of what a trimmed log still
   holds, the next one is due after this many records. */
#define CHECKPOINT_TRIM_MIN_RECORDS 8

/* A checkpoint is due after this time if there is any new record. */
#define CHECKPOINT_INTERVAL_MS (10 * 60 * 1000)

/* Limit of the average rate at which checkpoints are appended, except for
   those that are due because the log is trimmed. */
#define CHECKPOINT_BYTES_PER_S 4096

/* Interval between the appends of a checkpoint's parts. */
#define CHECKPOINT_PART_INTERVAL_MS 100

/* A checkpoint that is not complete in the log after this time is abandoned,
   and the next one may begin. */
#define CHECKPOINT_TIMEOUT_MS 15000

/* A peer that does not answer is asked again after this time; after so many
   unanswered requests another peer is asked. */
#define FETCH_RETRY_MS 1000
#define FETCH_TRIES_MAX 3

/* A snapshot made for one peer also serves peers that begin within this time.
 */
#define SERVED_SNAPSHOT_MAX_AGE_MS 10000

struct recovery
{
  uint64_t
      log_first; /* oldest offset that the log holds, by its last answer */
  uint64_t log_head;
  bool has_gap; /* the log dropped records that were not applied; until a
                   snapshot is restored, entries are buffered */
  uint64_t buffered_from; /* every entry from this offset on is buffered */
  uint64_t buffered_to;
  GQueue *buffered;   /* struct log_entry * */
  GQueue *assemblies; /* struct parts * of incomplete checkpoints, oldest
                         first */

  uint64_t checkpoint_offset; /* of the latest complete checkpoint */
  uint64_t checkpoint_bytes;
  int64_t checkpoint_ms; /* when it was read completely */

  GBytes
      *published_bytes; /* the checkpoint that is being published, or NULL */
  struct part published_part; /* the part to append next */
  int64_t part_appended_ms;   /* when the last part was appended */
  int64_t publish_begun_ms;

  GBytes *served_bytes;    /* the snapshot that peers fetch, or NULL */
  struct part served_part; /* describes it */
  int64_t served_made_ms;

  char *fetch_source; /* peer that a snapshot is fetched from, or NULL */
  struct parts *fetched_parts;
  int64_t fetch_requested_ms;
  int fetch_tries;      /* without an answer */
  uint32_t next_source; /* index of the peer to consider first */

  uint64_t max_peer_offset; /* largest offset that any peer has applied */
  int64_t resumed_ms;       /* last start or resumption after a pause */
  bool has_caught_up;

  struct fleet *restored; /* for the core to take, or NULL */
};

static void
free_log_entry (gpointer p)
{
  struct log_entry *e = p;

  record_destroy (e->record);
  g_free (e);
}

static void
free_parts (gpointer p)
{
  parts_destroy (p);
}

struct recovery *
recovery_new (void)
{
  struct recovery *r = g_new0 (struct recovery, 1);

  r->buffered = g_queue_new ();
  r->assemblies = g_queue_new ();
  return r;
}

void
recovery_destroy (struct recovery *recovery)
{
  if (recovery == NULL)
    return;
  g_queue_free_full (recovery->buffered, free_log_entry);
  g_queue_free_full (recovery->assemblies, free_parts);
  parts_destroy (recovery->fetched_parts);
  if (recovery->published_bytes != NULL)
    g_bytes_unref (recovery->published_bytes);
  if (recovery->served_bytes != NULL)
    g_bytes_unref (recovery->served_bytes);
  fleet_destroy (recovery->restored);
  g_free (recovery->fetch_source);
  g_free (recovery);
}

/* Restoring. */

/* Restore the complete snapshot PARTS, unless it is not newer than the fleet
   or would leave a gap before the buffered entries. */
static void
restore_snapshot (struct recovery *r, const struct turn *t,
                  const struct parts *parts)
{
  uint64_t offset = parts_offset (parts);
  struct fleet *f;

  if (offset <= fleet_offset (t->fleet)
      || (r->has_gap && offset + 1 < r->buffered_from))
    {
      counters_add (t->counters, COUNTER_SNAPSHOTS_OLDER, 1);
      return;
    }
  f = parts_restore (parts);
  if (f == NULL)
    {
      counters_add (t->counters, COUNTER_SNAPSHOTS_CORRUPT, 1);
      return;
    }
  fleet_destroy (r->restored);
  r->restored = f;
}

struct fleet *
recovery_take_restored (struct recovery *recovery, GQueue **buffered)
{
  struct fleet *f = g_steal_pointer (&recovery->restored);

  *buffered = NULL;
  if (f == NULL)
    return NULL;
  *buffered = recovery->buffered;
  recovery->buffered = g_queue_new ();
  recovery->has_gap = false;
  return f;
}

/* The log. */

static void
begin_buffering (struct recovery *r, const struct turn *t, uint64_t first)
{
  if (!r->has_gap)
    counters_add (t->counters, COUNTER_LOG_GAPS, 1);
  g_queue_free_full (r->buffered, free_log_entry);
  r->buffered = g_queue_new ();
  r->has_gap = true;
  r->has_caught_up = false;
  r->buffered_from = first;
  r->buffered_to = first - 1;
}

/* Begin to buffer entries if the log's oldest offset FIRST is after the next
   one to be read, so that records are missing. */
static void
check_gap (struct recovery *r, const struct turn *t, uint64_t first)
{
  uint64_t next = (r->has_gap ? r->buffered_to : fleet_offset (t->fleet)) + 1;

  if (first > next)
    begin_buffering (r, t, first);
}

static void
buffer_entry (struct recovery *r, struct log_entry *e)
{
  struct log_entry *copy;

  if (e->offset <= r->buffered_to)
    return;
  copy = g_memdup2 (e, sizeof *e);
  e->record = NULL;
  r->buffered_to = copy->offset;
  g_queue_push_tail (r->buffered, copy);
  if (g_queue_get_length (r->buffered) <= BUFFERED_RECORDS_MAX)
    return;
  copy = g_queue_pop_head (r->buffered);
  r->buffered_from = copy->offset + 1;
  free_log_entry (copy);
}

bool
recovery_buffer_records (struct recovery *recovery, const struct turn *turn,
                         struct message_records *message)
{
  check_gap (recovery, turn, message->first);
  if (!recovery->has_gap)
    return false;
  for (guint i = 0; i < message->entries->len; i++)
    {
      struct log_entry *e
          = &g_array_index (message->entries, struct log_entry, i);

      if (e->offset <= recovery->buffered_to)
        continue;
      if (e->record != NULL && e->record->kind == RECORD_CHECKPOINT)
        recovery_handle_checkpoint (recovery, turn, &e->record->u.checkpoint);
      buffer_entry (recovery, e);
    }
  return true;
}

static struct parts *
find_assembly (struct recovery *r, const struct part *part)
{
  struct parts *p;

  for (GList *i = r->assemblies->head; i != NULL; i = i->next)
    if (parts_includes (i->data, part))
      return i->data;
  p = parts_new (part);
  if (p == NULL || !parts_includes (p, part))
    {
      parts_destroy (p);
      return NULL;
    }
  g_queue_push_tail (r->assemblies, p);
  if (g_queue_get_length (r->assemblies) > CHECKPOINT_ASSEMBLIES_MAX)
    parts_destroy (g_queue_pop_head (r->assemblies));
  return p;
}

static void
handle_complete_checkpoint (struct recovery *r, const struct turn *t,
                            struct parts *parts)
{
  if (parts_offset (parts) > r->checkpoint_offset)
    {
      r->checkpoint_offset = parts_offset (parts);
      r->checkpoint_bytes = parts_bytes (parts);
      r->checkpoint_ms = t->now_ms;
    }
  if (r->has_gap)
    restore_snapshot (r, t, parts);
  g_queue_remove (r->assemblies, parts);
  parts_destroy (parts);
}

void
recovery_handle_checkpoint (struct recovery *recovery, const struct turn *turn,
                            const struct record_checkpoint *checkpoint)
{
  gsize size;
  struct part part = {
    .offset = checkpoint->at,
    .digest = { checkpoint->digest_high, checkpoint->digest_low },
    .index = checkpoint->index,
    .count = checkpoint->count,
  };
  struct parts *p = find_assembly (recovery, &part);
  guchar *data;

  if (p == NULL)
    return;
  data = g_base64_decode (checkpoint->data, &size);
  part.data = g_bytes_new_take (data, size);
  if (parts_add (p, &part))
    handle_complete_checkpoint (recovery, turn, p);
  g_bytes_unref (part.data);
}

void
recovery_handle_log_state (struct recovery *recovery, const struct turn *turn,
                           const struct message_log_state *state)
{
  int64_t asked_ms
      = state->requested_ms != 0 ? state->requested_ms : turn->now_ms;

  if (!state->is_reachable)
    return;
  recovery->log_first = state->first;
  recovery->log_head = state->head;
  check_gap (recovery, turn, state->first);
  if (!recovery->has_gap && fleet_offset (turn->fleet) >= state->head
      && asked_ms >= recovery->resumed_ms)
    recovery->has_caught_up = true;
}

/* Peers. */

void
recovery_note_peer_offset (struct recovery *recovery, uint64_t offset)
{
  recovery->max_peer_offset = MAX (recovery->max_peer_offset, offset);
}

static void
send_part (struct turn *t, const char *to, GBytes *bytes,
           const struct part *part, uint32_t index)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SNAPSHOT_PART);

  p->u.snapshot_part.offset = part->offset;
  p->u.snapshot_part.digest_high = part->digest.high;
  p->u.snapshot_part.digest_low = part->digest.low;
  p->u.snapshot_part.index = index;
  p->u.snapshot_part.count = part->count;
  p->u.snapshot_part.data = parts_extract (bytes, index);
  counters_add (t->counters, COUNTER_SNAPSHOT_BYTES_SENT,
                g_bytes_get_size (p->u.snapshot_part.data));
  turn_send (t, to, p);
}

/* Make a snapshot of the fleet as it is; describe it in *PART. */
static GBytes *
make_snapshot (const struct turn *t, struct part *part)
{
  GBytes *bytes = snapshot_write (t->fleet, &part->digest);

  part->offset = fleet_offset (t->fleet);
  part->index = 0;
  part->count = parts_count_for_size (g_bytes_get_size (bytes));
  return bytes;
}

/* Answer a peer that asks for a part.  One snapshot serves all peers that
   begin within SERVED_SNAPSHOT_MAX_AGE_MS. */
static void
serve_snapshot_request (struct recovery *r, struct turn *t,
                        const struct peer_message *m)
{
  const struct peer_snapshot_ask *a = &m->u.snapshot_ask;

  if (r->has_gap || fleet_offset (t->fleet) == 0)
    return;
  if (r->served_bytes == NULL
      || (a->offset == 0
          && t->now_ms - r->served_made_ms > SERVED_SNAPSHOT_MAX_AGE_MS))
    {
      if (r->served_bytes != NULL)
        g_bytes_unref (r->served_bytes);
      r->served_bytes = make_snapshot (t, &r->served_part);
      r->served_made_ms = t->now_ms;
    }
  /* The snapshot that the peer has begun to fetch is no longer here.  With the
     first part of this one it begins again. */
  if (a->offset != 0 && a->offset != r->served_part.offset)
    send_part (t, m->from, r->served_bytes, &r->served_part, 0);
  else if (a->index < r->served_part.count)
    send_part (t, m->from, r->served_bytes, &r->served_part, a->index);
}

static void
request_next_part (struct recovery *r, struct turn *t)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SNAPSHOT_ASK);

  if (r->fetched_parts != NULL)
    {
      p->u.snapshot_ask.offset = parts_offset (r->fetched_parts);
      p->u.snapshot_ask.index = parts_first_missing (r->fetched_parts);
    }
  r->fetch_requested_ms = t->now_ms;
  r->fetch_tries++;
  turn_send (t, r->fetch_source, p);
}

static void
stop_fetching (struct recovery *r)
{
  g_clear_pointer (&r->fetch_source, g_free);
  g_clear_pointer (&r->fetched_parts, parts_destroy);
  r->fetch_tries = 0;
}

/* Add a received part and ask for the next.  Parts from other peers than the
   one that was asked are dropped. */
static void
handle_part (struct recovery *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_snapshot_part *p = &m->u.snapshot_part;
  struct part part = {
    p->offset, { p->digest_high, p->digest_low }, p->index, p->count, p->data
  };
  gsize size = g_bytes_get_size (p->data);

  counters_add (t->counters, COUNTER_SNAPSHOT_BYTES_RECEIVED, size);
  if (r->fetch_source == NULL || strcmp (r->fetch_source, m->from) != 0)
    {
      counters_add (t->counters, COUNTER_SNAPSHOT_BYTES_DUPLICATE, size);
      return;
    }
  if (r->fetched_parts != NULL && !parts_includes (r->fetched_parts, &part))
    g_clear_pointer (&r->fetched_parts, parts_destroy);
  if (r->fetched_parts == NULL)
    r->fetched_parts = parts_new (&part);
  if (r->fetched_parts == NULL || !parts_includes (r->fetched_parts, &part))
    {
      stop_fetching (r);
      return;
    }
  r->fetch_tries = 0;
  if (!parts_add (r->fetched_parts, &part))
    {
      request_next_part (r, t);
      return;
    }
  restore_snapshot (r, t, r->fetched_parts);
  stop_fetching (r);
}

void
recovery_handle_snapshot_message (struct recovery *recovery, struct turn *turn,
                                  const struct peer_message *message)
{
  if (message->kind == PEER_SNAPSHOT_ASK)
    serve_snapshot_request (recovery, turn, message);
  else if (message->kind == PEER_SNAPSHOT_PART)
    handle_part (recovery, turn, message);
}

/* Choose a live peer whose snapshot is new enough.  Heartbeats have announced
   the applied offset of each peer, so only one peer needs to be asked and no
   snapshot is sent twice. */
static void
choose_source (struct recovery *r, const struct turn *t)
{
  const GPtrArray *others = members_others (t->members);
  uint64_t min_offset = fleet_offset (t->fleet) + 1;

  if (r->has_gap)
    min_offset = MAX (min_offset, r->buffered_from - 1);
  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m
          = g_ptr_array_index (others, (r->next_source + i) % others->len);

      if (!m->alive || m->offset < min_offset)
        continue;
      r->fetch_source = g_strdup (m->node);
      r->next_source += i + 1;
      return;
    }
}

static void
step_fetching (struct recovery *r, struct turn *t)
{
  bool must_fetch = r->has_gap || (!t->log_reachable && !r->has_caught_up);

  if (!must_fetch)
    {
      stop_fetching (r);
      return;
    }
  if (r->fetch_source != NULL
      && t->now_ms - r->fetch_requested_ms < FETCH_RETRY_MS)
    return;
  if (r->fetch_tries >= FETCH_TRIES_MAX)
    stop_fetching (r);
  if (r->fetch_source == NULL)
    choose_source (r, t);
  if (r->fetch_source != NULL)
    request_next_part (r, t);
}

/* Publishing checkpoints. */

/* Whether the log has dropped records, and the last checkpoint lies in the
   older half of those it still holds, so that the records after the checkpoint
   may soon be dropped as well. */
static bool
is_checkpoint_near_log_start (const struct recovery *r)
{
  return r->log_first > 1
         && r->checkpoint_offset
                < r->log_first
                      + (r->log_head - MIN (r->log_head, r->log_first)) / 2;
}

static bool
checkpoint_is_due (const struct recovery *r, const struct turn *t)
{
  uint64_t since = fleet_offset (t->fleet) - r->checkpoint_offset;
  uint64_t interval = MAX (CHECKPOINT_MIN_RECORDS,
                           MIN (r->checkpoint_offset, CHECKPOINT_MAX_RECORDS));
  int64_t age_ms = t->now_ms - r->checkpoint_ms;
  int64_t min_age_ms
      = (int64_t)(r->checkpoint_bytes * 1000 / CHECKPOINT_BYTES_PER_S);

  if (fleet_config (t->fleet) == NULL)
    return false;
  if (is_checkpoint_near_log_start (r) && since >= CHECKPOINT_TRIM_MIN_RECORDS)
    return true;
  if (since >= interval && age_ms >= min_age_ms)
    return true;
  return since > 0 && age_ms >= MAX (CHECKPOINT_INTERVAL_MS, min_age_ms);
}

static void
append_part (struct recovery *r, struct turn *t)
{
  struct record *rec = record_new (RECORD_CHECKPOINT, t->node, t->incarnation);
  struct record_checkpoint *c = &rec->u.checkpoint;
  GBytes *cut = parts_extract (r->published_bytes, r->published_part.index);
  gsize size;
  const guchar *data = g_bytes_get_data (cut, &size);

  c->at = r->published_part.offset;
  c->digest_high = r->published_part.digest.high;
  c->digest_low = r->published_part.digest.low;
  c->index = r->published_part.index;
  c->count = r->published_part.count;
  c->data = g_base64_encode (data, size);
  counters_add (t->counters, COUNTER_CHECKPOINT_BYTES_APPENDED,
                strlen (c->data));
  turn_append (t, rec);
  g_bytes_unref (cut);
  r->published_part.index++;
  r->part_appended_ms = t->now_ms;
}

static void
stop_publishing (struct recovery *r)
{
  g_bytes_unref (r->published_bytes);
  r->published_bytes = NULL;
}

static void
begin_publishing (struct recovery *r, struct turn *t)
{
  if (!r->has_caught_up || !t->log_reachable || t->stopping
      || strcmp (members_owner (t->members, "checkpoint"), t->node) != 0
      || (r->publish_begun_ms != 0
          && t->now_ms - r->publish_begun_ms < CHECKPOINT_TIMEOUT_MS
          && r->checkpoint_offset < r->published_part.offset)
      || !checkpoint_is_due (r, t))
    return;
  r->published_bytes = make_snapshot (t, &r->published_part);
  r->publish_begun_ms = t->now_ms;
  counters_add (t->counters, COUNTER_CHECKPOINTS_PUBLISHED, 1);
}

static void
step_publishing (struct recovery *r, struct turn *t)
{
  if (r->published_bytes == NULL)
    begin_publishing (r, t);
  if (r->published_bytes == NULL
      || t->now_ms - r->part_appended_ms < CHECKPOINT_PART_INTERVAL_MS)
    return;
  append_part (r, t);
  if (r->published_part.index == r->published_part.count)
    stop_publishing (r);
}

/* Periodic work. */

void
recovery_mark_resumed (struct recovery *recovery, int64_t now_ms)
{
  recovery->resumed_ms = now_ms;
  recovery->has_caught_up = false;
}

void
recovery_step (struct recovery *recovery, struct turn *turn)
{
  if (recovery->resumed_ms == 0)
    recovery->resumed_ms = turn->now_ms;
  step_fetching (recovery, turn);
  step_publishing (recovery, turn);
  if (recovery->served_bytes != NULL
      && turn->now_ms - recovery->served_made_ms
             > 3 * SERVED_SNAPSHOT_MAX_AGE_MS)
    g_clear_pointer (&recovery->served_bytes, g_bytes_unref);
  /* Without the log, only the offsets that peers announce show whether the
     fleet is current. */
  if (!turn->log_reachable && !recovery->has_gap
      && turn->now_ms - recovery->resumed_ms >= PEER_HEARTBEAT_WAIT_MS
      && fleet_offset (turn->fleet) >= recovery->max_peer_offset)
    recovery->has_caught_up = true;
}

bool
recovery_has_caught_up (const struct recovery *recovery)
{
  return recovery->has_caught_up;
}

uint64_t
recovery_checkpoint_offset (const struct recovery *recovery)
{
  return recovery->checkpoint_offset;
}
