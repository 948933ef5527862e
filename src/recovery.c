#include "recovery.h"

#include <string.h>

#define ASSEMBLIES_MAX 4
#define HELD_MAX 500000
#define PEER_SETTLE_MS 1200

/* Checkpoints: often while the log is short, then by records written, by the
   time since the last, and by what the log still holds. */
#define CHECKPOINT_MIN_RECORDS 64
#define CHECKPOINT_MAX_RECORDS 4096
#define CHECKPOINT_WINDOW_MIN_RECORDS 8
#define CHECKPOINT_PERIOD_MS (10 * 60 * 1000)
#define CHECKPOINT_BYTES_PER_S 4096
#define CHECKPOINT_PART_EVERY_MS 100
#define CHECKPOINT_GIVE_UP_MS 15000

/* Transfers between peers. */
#define ASK_AGAIN_MS 1000
#define ASK_TRIES 3
#define SERVED_FOR_MS 10000

struct recovery
{
  uint64_t first; /* of the log, by its last answer */
  uint64_t head;
  bool behind;        /* the log dropped records that were not folded */
  uint64_t held_from; /* every record from this offset on is held */
  uint64_t held_to;
  GQueue *held;      /* struct log_entry * */
  GQueue *assembled; /* struct parts *, oldest first, of checkpoints */

  uint64_t checkpoint; /* offset of the latest whole one */
  uint64_t checkpoint_bytes;
  int64_t checkpoint_ms; /* when it was seen whole */

  GBytes *published; /* the checkpoint that is being published, or NULL */
  struct part publishing;
  int64_t part_ms;    /* when the last part was appended */
  int64_t publish_ms; /* when it was begun */

  GBytes *served; /* the snapshot that peers fetch, or NULL */
  struct part serving;
  int64_t served_ms;

  char *source; /* peer that is being asked, or NULL */
  struct parts *fetched;
  int64_t asked_ms;
  int tries;
  uint32_t turn_of; /* which of the peers that qualify to ask next */

  uint64_t highest; /* offset that any peer has folded */
  int64_t resumed_ms;
  bool caught_up;

  struct fleet *restored; /* for the core to take */
};

static void
entry_free (gpointer p)
{
  struct log_entry *e = p;

  record_destroy (e->record);
  g_free (e);
}

static void
parts_free (gpointer p)
{
  parts_destroy (p);
}

struct recovery *
recovery_new (void)
{
  struct recovery *r = g_new0 (struct recovery, 1);

  r->held = g_queue_new ();
  r->assembled = g_queue_new ();
  return r;
}

void
recovery_destroy (struct recovery *recovery)
{
  if (recovery == NULL)
    return;
  g_queue_free_full (recovery->held, entry_free);
  g_queue_free_full (recovery->assembled, parts_free);
  parts_destroy (recovery->fetched);
  if (recovery->published != NULL)
    g_bytes_unref (recovery->published);
  if (recovery->served != NULL)
    g_bytes_unref (recovery->served);
  fleet_destroy (recovery->restored);
  g_free (recovery->source);
  g_free (recovery);
}

/* Restoring. */

/* Restore the whole snapshot PARTS, unless it would take the fleet back or
   leave a gap before what is held. */
static void
restore (struct recovery *r, const struct turn *t, const struct parts *parts)
{
  uint64_t offset = parts_offset (parts);
  struct fleet *f;

  if (offset <= fleet_offset (t->fleet)
      || (r->behind && offset + 1 < r->held_from))
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
recovery_take (struct recovery *recovery, GQueue **held)
{
  struct fleet *f = g_steal_pointer (&recovery->restored);

  *held = NULL;
  if (f == NULL)
    return NULL;
  *held = recovery->held;
  recovery->held = g_queue_new ();
  recovery->behind = false;
  return f;
}

/* The log. */

static void
begin_holding (struct recovery *r, const struct turn *t, uint64_t first)
{
  if (!r->behind)
    counters_add (t->counters, COUNTER_LOG_GAPS, 1);
  g_queue_free_full (r->held, entry_free);
  r->held = g_queue_new ();
  r->behind = true;
  r->caught_up = false;
  r->held_from = first;
  r->held_to = first - 1;
}

/* Notice if the log's oldest offset FIRST is beyond what comes next. */
static void
check_gap (struct recovery *r, const struct turn *t, uint64_t first)
{
  uint64_t next = (r->behind ? r->held_to : fleet_offset (t->fleet)) + 1;

  if (first > next)
    begin_holding (r, t, first);
}

static void
hold (struct recovery *r, struct log_entry *e)
{
  struct log_entry *copy;

  if (e->offset <= r->held_to)
    return;
  copy = g_memdup2 (e, sizeof *e);
  e->record = NULL;
  r->held_to = copy->offset;
  g_queue_push_tail (r->held, copy);
  if (g_queue_get_length (r->held) <= HELD_MAX)
    return;
  copy = g_queue_pop_head (r->held);
  r->held_from = copy->offset + 1;
  entry_free (copy);
}

bool
recovery_hold (struct recovery *recovery, const struct turn *turn,
               struct message_records *message)
{
  check_gap (recovery, turn, message->first);
  if (!recovery->behind)
    return false;
  for (guint i = 0; i < message->entries->len; i++)
    {
      struct log_entry *e
          = &g_array_index (message->entries, struct log_entry, i);

      if (e->offset <= recovery->held_to)
        continue;
      if (e->record != NULL && e->record->kind == RECORD_CHECKPOINT)
        recovery_note (recovery, turn, &e->record->u.checkpoint);
      hold (recovery, e);
    }
  return true;
}

static struct parts *
find_assembly (struct recovery *r, const struct part *part)
{
  struct parts *p;

  for (GList *i = r->assembled->head; i != NULL; i = i->next)
    if (parts_includes (i->data, part))
      return i->data;
  p = parts_new (part);
  if (p == NULL || !parts_includes (p, part))
    {
      parts_destroy (p);
      return NULL;
    }
  g_queue_push_tail (r->assembled, p);
  if (g_queue_get_length (r->assembled) > ASSEMBLIES_MAX)
    parts_destroy (g_queue_pop_head (r->assembled));
  return p;
}

static void
checkpoint_is_whole (struct recovery *r, const struct turn *t,
                     struct parts *parts)
{
  if (parts_offset (parts) > r->checkpoint)
    {
      r->checkpoint = parts_offset (parts);
      r->checkpoint_bytes = parts_bytes (parts);
      r->checkpoint_ms = t->now_ms;
    }
  if (r->behind)
    restore (r, t, parts);
  g_queue_remove (r->assembled, parts);
  parts_destroy (parts);
}

void
recovery_note (struct recovery *recovery, const struct turn *turn,
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
    checkpoint_is_whole (recovery, turn, p);
  g_bytes_unref (part.data);
}

void
recovery_log_state (struct recovery *recovery, const struct turn *turn,
                    const struct message_log_state *state)
{
  int64_t asked_ms = state->asked_ms != 0 ? state->asked_ms : turn->now_ms;

  if (!state->reachable)
    return;
  recovery->first = state->first;
  recovery->head = state->head;
  check_gap (recovery, turn, state->first);
  if (!recovery->behind && fleet_offset (turn->fleet) >= state->head
      && asked_ms >= recovery->resumed_ms)
    recovery->caught_up = true;
}

/* Peers. */

void
recovery_hear (struct recovery *recovery, uint64_t offset)
{
  recovery->highest = MAX (recovery->highest, offset);
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

/* A peer asks.  One snapshot serves all who ask within some seconds. */
static void
serve_ask (struct recovery *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_snapshot_ask *a = &m->u.snapshot_ask;

  if (r->behind || fleet_offset (t->fleet) == 0)
    return;
  if (r->served == NULL
      || (a->offset == 0 && t->now_ms - r->served_ms > SERVED_FOR_MS))
    {
      if (r->served != NULL)
        g_bytes_unref (r->served);
      r->served = make_snapshot (t, &r->serving);
      r->served_ms = t->now_ms;
    }
  /* A part of another snapshot is of no use: that peer begins again. */
  if (a->offset != 0 && a->offset != r->serving.offset)
    send_part (t, m->from, r->served, &r->serving, 0);
  else if (a->index < r->serving.count)
    send_part (t, m->from, r->served, &r->serving, a->index);
}

static void
ask (struct recovery *r, struct turn *t)
{
  struct peer_message *p = turn_new_peer_message (t, PEER_SNAPSHOT_ASK);

  if (r->fetched != NULL)
    {
      p->u.snapshot_ask.offset = parts_offset (r->fetched);
      p->u.snapshot_ask.index = parts_first_missing (r->fetched);
    }
  r->asked_ms = t->now_ms;
  r->tries++;
  turn_send (t, r->source, p);
}

static void
stop_fetching (struct recovery *r)
{
  g_clear_pointer (&r->source, g_free);
  g_clear_pointer (&r->fetched, parts_destroy);
  r->tries = 0;
}

/* Take in a part.  Only the peer that was asked is listened to. */
static void
take_part (struct recovery *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_snapshot_part *p = &m->u.snapshot_part;
  struct part part = {
    p->offset, { p->digest_high, p->digest_low }, p->index, p->count, p->data
  };
  gsize size = g_bytes_get_size (p->data);

  counters_add (t->counters, COUNTER_SNAPSHOT_BYTES_RECEIVED, size);
  if (r->source == NULL || strcmp (r->source, m->from) != 0)
    {
      counters_add (t->counters, COUNTER_SNAPSHOT_BYTES_DUPLICATE, size);
      return;
    }
  if (r->fetched != NULL && !parts_includes (r->fetched, &part))
    g_clear_pointer (&r->fetched, parts_destroy);
  if (r->fetched == NULL)
    r->fetched = parts_new (&part);
  if (r->fetched == NULL || !parts_includes (r->fetched, &part))
    {
      stop_fetching (r);
      return;
    }
  r->tries = 0;
  if (!parts_add (r->fetched, &part))
    {
      ask (r, t);
      return;
    }
  restore (r, t, r->fetched);
  stop_fetching (r);
}

void
recovery_handle (struct recovery *recovery, struct turn *turn,
                 const struct peer_message *message)
{
  if (message->kind == PEER_SNAPSHOT_ASK)
    serve_ask (recovery, turn, message);
  else if (message->kind == PEER_SNAPSHOT_PART)
    take_part (recovery, turn, message);
}

/* Choose a peer whose snapshot would help; each heartbeat has announced how
   far its node is, so one peer alone is asked for the bytes. */
static void
choose_source (struct recovery *r, const struct turn *t)
{
  const GPtrArray *others = members_others (t->members);
  uint64_t need = fleet_offset (t->fleet) + 1;

  if (r->behind)
    need = MAX (need, r->held_from - 1);
  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m
          = g_ptr_array_index (others, (r->turn_of + i) % others->len);

      if (!m->alive || m->offset < need)
        continue;
      r->source = g_strdup (m->node);
      r->turn_of += i + 1;
      return;
    }
}

static void
step_fetch (struct recovery *r, struct turn *t)
{
  bool need = r->behind || (!t->log_reachable && !r->caught_up);

  if (!need)
    {
      stop_fetching (r);
      return;
    }
  if (r->source != NULL && t->now_ms - r->asked_ms < ASK_AGAIN_MS)
    return;
  if (r->tries >= ASK_TRIES)
    stop_fetching (r);
  if (r->source == NULL)
    choose_source (r, t);
  if (r->source != NULL)
    ask (r, t);
}

/* Publishing checkpoints. */

/* Whether the log may soon drop what the last checkpoint builds on. */
static bool
window_is_half_gone (const struct recovery *r)
{
  return r->first > 1
         && r->checkpoint < r->first + (r->head - MIN (r->head, r->first)) / 2;
}

static bool
checkpoint_is_due (const struct recovery *r, const struct turn *t)
{
  uint64_t since = fleet_offset (t->fleet) - r->checkpoint;
  uint64_t interval = MAX (CHECKPOINT_MIN_RECORDS,
                           MIN (r->checkpoint, CHECKPOINT_MAX_RECORDS));
  int64_t age_ms = t->now_ms - r->checkpoint_ms;
  int64_t paid_ms
      = (int64_t)(r->checkpoint_bytes * 1000 / CHECKPOINT_BYTES_PER_S);

  if (fleet_config (t->fleet) == NULL)
    return false;
  if (window_is_half_gone (r) && since >= CHECKPOINT_WINDOW_MIN_RECORDS)
    return true;
  if (since >= interval && age_ms >= paid_ms)
    return true;
  return since > 0 && age_ms >= MAX (CHECKPOINT_PERIOD_MS, paid_ms);
}

static void
append_part (struct recovery *r, struct turn *t)
{
  struct record *rec = record_new (RECORD_CHECKPOINT, t->node, t->incarnation);
  struct record_checkpoint *c = &rec->u.checkpoint;
  GBytes *cut = parts_extract (r->published, r->publishing.index);
  gsize size;
  const guchar *data = g_bytes_get_data (cut, &size);

  c->at = r->publishing.offset;
  c->digest_high = r->publishing.digest.high;
  c->digest_low = r->publishing.digest.low;
  c->index = r->publishing.index;
  c->count = r->publishing.count;
  c->data = g_base64_encode (data, size);
  counters_add (t->counters, COUNTER_CHECKPOINT_BYTES_APPENDED,
                strlen (c->data));
  turn_append (t, rec);
  g_bytes_unref (cut);
  r->publishing.index++;
  r->part_ms = t->now_ms;
}

static void
stop_publishing (struct recovery *r)
{
  g_bytes_unref (r->published);
  r->published = NULL;
}

static void
begin_publishing (struct recovery *r, struct turn *t)
{
  if (!r->caught_up || !t->log_reachable || t->stopping
      || strcmp (members_owner (t->members, "checkpoint"), t->node) != 0
      || (r->publish_ms != 0
          && t->now_ms - r->publish_ms < CHECKPOINT_GIVE_UP_MS
          && r->checkpoint < r->publishing.offset)
      || !checkpoint_is_due (r, t))
    return;
  r->published = make_snapshot (t, &r->publishing);
  r->publish_ms = t->now_ms;
  counters_add (t->counters, COUNTER_CHECKPOINTS_PUBLISHED, 1);
}

static void
step_publish (struct recovery *r, struct turn *t)
{
  if (r->published == NULL)
    begin_publishing (r, t);
  if (r->published == NULL
      || t->now_ms - r->part_ms < CHECKPOINT_PART_EVERY_MS)
    return;
  append_part (r, t);
  if (r->publishing.index == r->publishing.count)
    stop_publishing (r);
}

/* Time passing. */

void
recovery_resumed (struct recovery *recovery, int64_t now_ms)
{
  recovery->resumed_ms = now_ms;
  recovery->caught_up = false;
}

void
recovery_step (struct recovery *recovery, struct turn *turn)
{
  if (recovery->resumed_ms == 0)
    recovery->resumed_ms = turn->now_ms;
  step_fetch (recovery, turn);
  step_publish (recovery, turn);
  if (recovery->served != NULL
      && turn->now_ms - recovery->served_ms > 3 * SERVED_FOR_MS)
    g_clear_pointer (&recovery->served, g_bytes_unref);
  /* Without the log, the peers' word is what there is. */
  if (!turn->log_reachable && !recovery->behind
      && turn->now_ms - recovery->resumed_ms >= PEER_SETTLE_MS
      && fleet_offset (turn->fleet) >= recovery->highest)
    recovery->caught_up = true;
}

bool
recovery_caught_up (const struct recovery *recovery)
{
  return recovery->caught_up;
}

uint64_t
recovery_checkpoint (const struct recovery *recovery)
{
  return recovery->checkpoint;
}
