#include "node_host.h"

#include "event_log.h"

#include <string.h>

/* How a cell gets a new owner: this node probes the owner, asks it to yield,
   fences it by a higher epoch and loads the journal. */

/* The stream whose offsets serve as epochs: they are unique and ascending. */
#define EPOCH_STREAM "epochs"
/* An owner that the store has not confirmed for this long starts no tasks and
   extends no leases.  Longer than a usual outage of the store. */
#define CONFIRMATION_MAX_AGE_MS 8000
/* Delay after a failed call of the takeover. */
#define RETRY_DELAY_MS 200
/* How often an owner without other appends confirms its epoch. */
#define CONFIRM_INTERVAL_MS 400
/* Interval between probes of the watched owner. */
#define PROBE_INTERVAL_MS 250
/* An owner whose last confirmation is older than this is replaced: three
   confirmations failed while the watching node reached the store. */
#define OWNER_STALE_MS 1300
/* Failed probes in a row before the owner is replaced. */
#define FAILED_PROBES_MAX 2
/* Time by which a node that fenced this one has announced itself as the
   owner. */
#define SUCCESSOR_TIMEOUT_MS 2000
/* The watching node replaces an owner only if it reaches the store itself: it
   has for STORE_STABLE_MS since the last outage, and the last answer is no
   older than STORE_SILENCE_MAX_MS. */
#define STORE_STABLE_MS 1500
#define STORE_SILENCE_MAX_MS 700
/* Greatest age of the list of owners by which a cell is watched: a poll for it
   is answered within 1.5 s, and one poll may fail. */
#define OWNER_VIEW_MAX_AGE_MS 4000
/* A claim that took longer is dropped: the owner may have changed
   meanwhile. */
#define CLAIM_TIMEOUT_MS 2000

bool
host_is_confirmed (const struct cell_host *host, int64_t now_ms)
{
  return now_ms < host->confirmed_ms + CONFIRMATION_MAX_AGE_MS;
}

static void
resume_watching (struct cell_host *h, int64_t now_ms)
{
  h->phase = HOST_WATCHING;
  h->is_call_pending = false;
  h->failed_probes = 0;
  h->owner_heard_ms = now_ms;
  h->next_call_ms = now_ms + PROBE_INTERVAL_MS;
}

static const char *
known_owner (const struct cell_host *h)
{
  const char *owner = owner_address (h->node, h->service);

  return owner != NULL ? owner : "none";
}

/* Return whether the known owner was announced after this node took the cell.
   No other record of it may come. */
static bool
knows_successor (const struct cell_host *h)
{
  const char *owner = known_owner (h);

  return strcmp (owner, h->node->address) != 0
         && (h->has_announced || strcmp (owner, h->owner_at_claim) != 0);
}

void
host_step_down (struct cell_host *h, int64_t now_ms)
{
  char value[2] = { OWNER_LOST, '\0' };

  meters_add (h->node->meters, METER_CELLS_LOST, 1);
  event_log ("cell-lost", h->service,
             "epoch=%" G_GUINT64_FORMAT " unconfirmed_ms=%" G_GINT64_FORMAT,
             h->epoch, now_ms - h->confirmed_ms);
  host_abandon_requests (h);
  if (host_is_fleet (h) && h->phase == HOST_ACTIVE)
    fleet_end (h->node);
  g_clear_pointer (&h->cell, cell_destroy);
  g_clear_pointer (&h->home_entries, g_ptr_array_unref);
  h->homes_version = 0;
  g_clear_pointer (&h->journal_entries, g_ptr_array_unref);
  h->epoch = 0;
  h->serial = ++h->node->last_serial; /* drop late replies */
  resume_watching (h, now_ms);
  if (!knows_successor (h))
    owner_record (h->node, h->service, value);
}

static void
begin_claim (struct cell_host *h, const char *cause, int64_t now_ms)
{
  event_log ("cell-claim", h->service,
             "cause=%s owner=%s owner_view_ms=%" G_GINT64_FORMAT
             " unheard_ms=%" G_GINT64_FORMAT,
             cause, known_owner (h),
             now_ms - h->node->owner_follower.confirmed_ms,
             now_ms - h->owner_heard_ms);
  g_free (h->owner_at_claim);
  h->owner_at_claim = g_strdup (known_owner (h));
  h->has_announced = false;
  g_clear_pointer (&h->handover_entries, g_ptr_array_unref);
  h->was_own = strcmp (cause, "own-before-restart") == 0;
  h->phase = HOST_CLAIMING;
  h->failed_calls = 0;
  h->next_call_ms = now_ms;
}

static void
on_yielded (void *data, const struct http_reply *reply)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();
  /* An answer of 421 comes from a process that has been restarted and has no
     record of the cell. */
  bool has_stopped = reply->status != 0;
  bool has_yielded
      = reply->status == 200 || reply->status == STATUS_ALREADY_YIELDED;

  if (h != NULL && h->phase == HOST_REQUESTING_YIELD)
    {
      h->is_call_pending = false;
      begin_claim (h,
                   has_yielded   ? "owner-yielded"
                   : has_stopped ? "not-the-owner"
                                 : "owner-silent",
                   now_ms);
      /* With STATUS_ALREADY_YIELDED the entries may be out of date: the node
         that got them may have been the owner since. */
      if (reply->status == 200)
        h->handover_entries = peer_read_records (reply);
    }
  host_call_destroy (call);
}

static void
request_yield (struct cell_host *h, const char *address, int64_t now_ms)
{
  h->phase = HOST_REQUESTING_YIELD;
  h->is_call_pending = true;
  peer_request_yield (h->node, address, h->service, on_yielded,
                      host_call_new (h, NULL, NULL, 0, now_ms));
}

static GPtrArray *
collect_handover_entries (struct cell_host *h)
{
  return h->cell != NULL ? cell_yield (h->cell, node_now_ms ())
                         : g_ptr_array_new_with_free_func (journal_entry_free);
}

void
host_stop_below (struct cell_host *host, uint64_t epoch, int64_t now_ms)
{
  if (host->epoch != 0 && host->epoch < epoch)
    host_step_down (host, now_ms);
}

GPtrArray *
host_yield (struct cell_host *host, int64_t now_ms)
{
  GPtrArray *records = collect_handover_entries (host);

  host_step_down (host, now_ms);
  return records;
}

/* Return whether this node itself reaches the store reliably. */
static bool
is_store_stable (const struct cell_host *h, int64_t now_ms)
{
  return now_ms >= h->node->store_recovered_ms + STORE_STABLE_MS
         && now_ms < h->node->store_heard_ms + STORE_SILENCE_MAX_MS;
}

void
host_renew_epoch (struct cell_host *h, int64_t now_ms)
{
  GPtrArray *records;

  if (!is_store_stable (h, now_ms))
    return;
  records = host_yield (h, now_ms);
  begin_claim (h, "run-numbers", now_ms);
  h->handover_entries = records;
}

/* Read the answer to peer_probe: return how long ago the owner was confirmed,
   in ms, and set IS_RESERVE. */
static int64_t
read_confirmation_age (const struct http_reply *reply, bool *is_reserve)
{
  char *text = reply->body_bytes > 0
                   ? g_strndup ((const char *)reply->body, reply->body_bytes)
                   : g_strdup ("0");
  char *rest = NULL;
  int64_t age_ms = g_ascii_strtoll (text, &rest, 10);

  *is_reserve = g_ascii_strtoll (rest, NULL, 10) == 1;
  g_free (text);
  return age_ms;
}

static void
handle_probe_reply (struct cell_host *h, const struct http_reply *reply,
                    int64_t now_ms)
{
  bool is_owner = reply->status == 200;
  bool is_silent = reply->status == 0;
  bool is_reserve = false;

  h->is_call_pending = false;
  h->next_call_ms = now_ms + PROBE_INTERVAL_MS;
  if (is_owner && read_confirmation_age (reply, &is_reserve) < OWNER_STALE_MS)
    {
      if (is_reserve && !owner_is_reserve (h->node)
          && is_store_stable (h, now_ms))
        {
          event_log ("cell-relieve", h->service, "owner=%s cause=reserve",
                     known_owner (h));
          request_yield (h, known_owner (h), now_ms);
          return;
        }
      h->failed_probes = 0;
      h->owner_heard_ms = now_ms;
      return;
    }
  if ((is_owner || is_silent)
      && (++h->failed_probes < FAILED_PROBES_MAX
          || !is_store_stable (h, now_ms)))
    return;
  if (!owner_may_take_over (h->node, now_ms - h->owner_heard_ms))
    return;
  if (is_silent)
    begin_claim (h, "owner-silent", now_ms);
  else
    request_yield (h, known_owner (h), now_ms);
}

static void
on_probed (void *data, const struct http_reply *reply)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);

  if (h != NULL && h->phase == HOST_WATCHING)
    handle_probe_reply (h, reply, node_now_ms ());
  host_call_destroy (call);
}

/* Probe the known owner.  If there is none to probe, claim the cell; from an
   owner that has released it, first get the entries that it kept. */
static void
check_owner (struct cell_host *h, int64_t now_ms)
{
  const char *owner = owner_address (h->node, h->service);
  bool is_recent
      = now_ms < h->node->owner_follower.confirmed_ms + OWNER_VIEW_MAX_AGE_MS;
  bool may_take_over
      = is_recent && owner_may_take_over (h->node, now_ms - h->owner_heard_ms);

  if (is_recent && owner_is_address (owner)
      && strcmp (owner, h->node->address) != 0)
    {
      h->is_call_pending = true;
      peer_probe (h->node, owner, h->service, on_probed,
                  host_call_new (h, NULL, NULL, 0, now_ms));
    }
  else if (!may_take_over)
    h->next_call_ms = now_ms + PROBE_INTERVAL_MS;
  else if (owner == NULL)
    begin_claim (h, "no-owner", now_ms);
  else if (owner[0] == OWNER_RELEASED)
    request_yield (h, owner + 1, now_ms);
  else if (owner[0] == OWNER_LOST)
    {
      if (h->node->owner_follower.confirmed_ms
          > h->owner_heard_ms + SUCCESSOR_TIMEOUT_MS)
        begin_claim (h, "no-successor", now_ms);
    }
  else
    begin_claim (h, "own-before-restart", now_ms);
}

static void
on_announced (void *data, const struct store_append_reply *a)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);

  if (a->result != STORE_DONE)
    event_log ("owner-unwritten", call->service, "result=%s status=%d",
               store_result_name (a->result), a->status);
  if (h != NULL)
    {
      h->is_announcing = false;
      h->failed_calls = a->result == STORE_DONE ? 0 : h->failed_calls + 1;
      h->is_announced
          = a->result == STORE_DONE || a->result == STORE_WRONG_SEQUENCE;
      if (a->result == STORE_FENCED)
        host_step_down (h, node_now_ms ());
    }
  host_call_destroy (call);
}

void
host_announce (struct cell_host *h, const char *value, uint64_t sequence,
               int64_t now_ms)
{
  struct store_writer writer = { h->service, h->epoch, sequence };
  GPtrArray *entries = g_ptr_array_new_with_free_func (journal_entry_free);
  GBytes *bytes = g_bytes_new (value, strlen (value));

  h->is_announcing = true;
  h->has_announced = true;
  g_ptr_array_add (entries, journal_entry_new (h->service, bytes));
  store_append (h->node->store, OWNERS_STREAM, &writer, entries,
                node_store_timeout_ms (h->failed_calls), on_announced,
                host_call_new (h, NULL, NULL, 0, now_ms));
  owner_record (h->node, h->service, value);
  g_bytes_unref (bytes);
  g_ptr_array_unref (entries);
}

GPtrArray *
host_release (struct cell_host *host)
{
  char *value;
  GPtrArray *records;

  if (host->phase != HOST_ACTIVE)
    return NULL;
  value = g_strdup_printf ("%c%s", OWNER_RELEASED, host->node->address);
  records = collect_handover_entries (host);
  host_announce (host, value, 2, node_now_ms ());
  g_free (value);
  return records;
}

static void
on_confirmed (void *data, const struct store_append_reply *a)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      if (a->result == STORE_FENCED)
        host_step_down (h, now_ms);
      else if (a->result == STORE_DONE || a->result == STORE_WRONG_SEQUENCE)
        {
          node_note_store_answer (h->node, now_ms);
          h->confirmed_ms = MAX (h->confirmed_ms, call->sent_ms);
          if (h->cell != NULL)
            cell_confirmed (h->cell, call->sent_ms);
        }
    }
  host_call_destroy (call);
}

/* Append ENTRIES under this epoch.  NULL appends nothing: it confirms that no
   higher epoch has fenced this one. */
static void
append_as_owner (struct cell_host *h, const GPtrArray *entries,
                 int64_t timeout_ms, store_append_done done, int64_t now_ms)
{
  struct store_writer writer
      = { host_is_fleet (h) ? FLEET_WRITER : HOST_WRITER, h->epoch,
          h->last_sequence };
  char *stream = host_journal_stream (h);

  store_append (h->node->store, stream, &writer, entries, timeout_ms, done,
                host_call_new (h, NULL, NULL, 0, now_ms));
  g_free (stream);
}

void
host_confirm (struct cell_host *h, int64_t now_ms)
{
  if (now_ms < h->confirmed_ms + CONFIRM_INTERVAL_MS
      || now_ms < h->next_confirm_ms)
    return;
  /* The next confirmation does not wait for this one's answer, which may be
     lost. */
  h->next_confirm_ms = now_ms + CONFIRM_INTERVAL_MS;
  append_as_owner (h, NULL, STORE_HEDGED_TIMEOUT_MS, on_confirmed, now_ms);
}

/* Return whether another node has been announced as the owner since the claim
   began. */
static bool
has_owner_changed (const struct cell_host *h)
{
  const char *owner = known_owner (h);

  return owner[0] != OWNER_RELEASED && strcmp (h->owner_at_claim, owner) != 0;
}

/* End a call of the takeover to the store.  A call whose answer may have been
   lost is repeated at once, any other after a delay. */
static void
finish_store_call (struct cell_host *h, enum store_result result,
                   int64_t now_ms)
{
  h->is_call_pending = false;
  h->failed_calls = result == STORE_DONE ? 0 : h->failed_calls + 1;
  h->next_call_ms = now_ms + (result == STORE_UNCLEAR ? 0 : RETRY_DELAY_MS);
}

static void
on_epoch_taken (void *data, const struct store_append_reply *a)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      finish_store_call (h, a->result, now_ms);
      if (now_ms > call->sent_ms + CLAIM_TIMEOUT_MS || has_owner_changed (h))
        resume_watching (h, now_ms);
      else if (a->result == STORE_DONE)
        {
          h->epoch = a->offset + 1;
          h->phase = HOST_FENCING;
          /* Once it is fenced; later calls may be answered as repetitions. */
          h->confirmed_ms = now_ms;
          h->last_sequence = 0;
          h->next_call_ms = now_ms;
        }
    }
  host_call_destroy (call);
}

static void
on_fenced (void *data, const struct store_append_reply *a)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      finish_store_call (h, a->result, now_ms);
      /* Without entries the fence is set by any answer under the epoch. */
      if (a->result == STORE_DONE
          || (a->result == STORE_WRONG_SEQUENCE && host_is_fleet (h)))
        {
          h->phase = HOST_LOADING;
          h->next_call_ms = now_ms;
          h->journal_entries = g_ptr_array_new_with_free_func (
              (GDestroyNotify)journal_entry_free);
        }
      else if (a->result == STORE_FENCED || a->result == STORE_WRONG_SEQUENCE)
        host_step_down (h, now_ms);
    }
  host_call_destroy (call);
}

/* Fence all lower epochs.  The same append makes this node known to later
   owners of the cell. */
static void
append_owner_record (struct cell_host *h, int64_t now_ms)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (journal_entry_free);

  if (!host_is_fleet (h))
    {
      g_ptr_array_add (entries, cell_owner_entry (h->epoch, h->node->address));
      h->last_sequence = CELL_OWNER_SEQUENCE;
    }
  append_as_owner (h, entries, node_store_timeout_ms (h->failed_calls),
                   on_fenced, now_ms);
  g_ptr_array_unref (entries);
}

static void
load_entries (struct cell_host *h, char kind)
{
  for (guint i = 0; i < h->journal_entries->len; i++)
    {
      const struct journal_entry *e
          = g_ptr_array_index (h->journal_entries, i);

      if (e->key[0] == kind && e->value != NULL)
        cell_load_record (h->cell, e->key, e->value);
    }
}

static void
add_listed_workers (struct cell_host *h, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, h->node->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct worker_entry *e = value;

      if (strcmp (e->service, h->service) == 0)
        cell_worker_listed (h->cell, e, now_ms);
      else
        cell_worker_reassigned (h->cell, e, now_ms);
    }
}

static bool
uses_admission_control (const struct node *n, const char *service)
{
  int place = routes_find_service (n->routes, service);

  return place >= 0
         && ((const struct service_entry *)g_ptr_array_index (
                 n->routes->services, place))
                ->has_admission_control;
}

/* Return the address of the owner that was listed when the claim began, or
   NULL. */
static const char *
listed_owner (const struct cell_host *h)
{
  const char *owner = h->owner_at_claim;

  if (owner[0] == OWNER_RELEASED)
    owner++;
  return strchr (owner, ':') != NULL ? owner : NULL;
}

/* Return how many tasks a cell may hold: this node may come to own the cells
   of all services. */
static uint64_t
max_tasks (const struct node *n)
{
  uint64_t bytes = (uint64_t)n->settings->memory_mb * 1024 * 1024
                   * n->settings->job_percent / 100;

  return bytes / CELL_TASK_BYTES / MAX (n->routes->services->len, 1);
}

static void
activate_cell (struct cell_host *h, int64_t now_ms)
{
  const struct node_settings *s = h->node->settings;
  struct cell_options options = {
    .service = h->service,
    .address = h->node->address,
    .listed_owner = listed_owner (h),
    .epoch = h->epoch,
    .workers_admit = uses_admission_control (h->node, h->service),
    .hold_max_ms = s->worker_lease_max_ms,
    .stop_grace_ms = s->stop_grace_ms,
    .early_ms = s->early_ms,
    .keep_state_ms = s->keep_state_ms,
    .lists_machines = s->machines[0] != '\0',
    .max_tasks = max_tasks (h->node),
    .unconfirmed_owner_ms = CONFIRMATION_MAX_AGE_MS,
    .far_rack_factor = s->far_rack_factor,
  };

  h->cell = cell_new (&options, now_ms);
  load_entries (h, 'j');
  load_entries (h, 'p');
  load_entries (h, 'w');
  load_entries (h, 'o');
  load_entries (h, 'a');
  if (h->handover_entries != NULL
      && !cell_load_handover (h->cell, h->handover_entries))
    event_log ("handover-out-of-date", h->service,
               "epoch=%" G_GUINT64_FORMAT " owner=%s", h->epoch,
               h->owner_at_claim);
  add_listed_workers (h, now_ms);
  cell_confirmed (h->cell, h->confirmed_ms);
  cell_set_accounts (h->cell, h->node->routes->accounts, now_ms);
  cell_activate (h->cell, now_ms);
}

static void
activate (struct cell_host *h, int64_t now_ms)
{
  if (host_is_fleet (h))
    fleet_begin (h->node, h->epoch, h->journal_entries, h->was_own, now_ms);
  else
    activate_cell (h, now_ms);
  g_clear_pointer (&h->journal_entries, g_ptr_array_unref);
  g_clear_pointer (&h->handover_entries, g_ptr_array_unref);
  g_hash_table_remove (h->node->ownership.released_entries, h->service);
  h->phase = HOST_ACTIVE;
  h->is_announced = false;
  h->is_announcing = false;
  meters_add (h->node->meters, METER_TAKEOVERS, 1);
  node_schedule_run (h->node, h);
}

static void
on_journal_page (void *data, const struct store_page *page)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      finish_store_call (h, page->result, now_ms);
      if (page->result == STORE_DONE)
        {
          for (guint i = 0; i < page->records->len; i++)
            {
              const struct store_record *r
                  = g_ptr_array_index (page->records, i);

              g_ptr_array_add (h->journal_entries,
                               journal_entry_new (r->key, r->value));
            }
          h->next_call_ms = now_ms;
          if (!page->has_more || page->records->len == 0)
            activate (h, now_ms);
        }
    }
  host_call_destroy (call);
}

static void
read_journal_page (struct cell_host *h, int64_t now_ms)
{
  const struct journal_entry *last
      = h->journal_entries->len > 0 ? g_ptr_array_index (
            h->journal_entries, h->journal_entries->len - 1)
                                    : NULL;
  char *stream = host_journal_stream (h);

  store_read_newest (h->node->store, stream, last != NULL ? last->key : NULL,
                     node_store_timeout_ms (h->failed_calls), on_journal_page,
                     host_call_new (h, NULL, NULL, 0, now_ms));
  g_free (stream);
}

void
host_take_over (struct cell_host *h, int64_t now_ms)
{
  if (h->is_call_pending || now_ms < h->next_call_ms)
    return;
  switch (h->phase)
    {
    case HOST_WATCHING:
      check_owner (h, now_ms);
      break;
    case HOST_CLAIMING:
      h->is_call_pending = true;
      store_append_text (h->node->store, EPOCH_STREAM, h->service,
                         node_store_timeout_ms (h->failed_calls),
                         on_epoch_taken,
                         host_call_new (h, NULL, NULL, 0, now_ms));
      break;
    case HOST_FENCING:
      h->is_call_pending = true;
      append_owner_record (h, now_ms);
      break;
    case HOST_LOADING:
      h->is_call_pending = true;
      read_journal_page (h, now_ms);
      break;
    case HOST_REQUESTING_YIELD:
    case HOST_ACTIVE:
      break;
    }
}
