#include "node_host.h"

#include "event_log.h"

#include <string.h>

/* How a cell changes hands: its owner is watched, asked to yield, fenced by a
   higher epoch, and its journal loaded. */

/* The stream whose offsets are epochs: each is given once, and they rise. */
#define EPOCH_STREAM "epochs"
/* An owner that the store has not confirmed for so long starts and holds
   nothing more.  Longer than a usual outage of the store. */
#define OWNER_SURE_MS 8000
/* By then the leases that an earlier owner gave, and gives no more, are over
   on clocks that may be slow. */
#define STOPPED_LEASE_MS 4400
/* The same where the earlier owner is only silent: it may be sure of itself,
   and extend leases, for so long. */
#define FOREIGN_LEASE_MS (OWNER_SURE_MS + STOPPED_LEASE_MS)
/* After a call of the takeover that failed. */
#define RETRY_MS 200
/* An owner without other appends makes sure of its epoch so often. */
#define CONFIRM_GAP_MS 400
/* Between two questions to the owner that is watched. */
#define WATCH_GAP_MS 250
/* An owner that has not been confirmed for so long is followed: three confirms
   went unanswered while the watcher hears from the store. */
#define DOUBT_MS 1300
/* Questions in a row without a good answer before the owner is followed. */
#define UNHEARD_MAX 2
/* Whoever fenced this node has written by then that it is the owner. */
#define SUCCESSOR_MS 2000
/* The watcher's own view of the store has to be sound for so long before it
   counts the owner's doubt against it. */
#define STORE_STEADY_MS 1500
#define STORE_HEARD_MS 700
/* A claim that took longer is begun again: much may have changed. */
#define CLAIM_MAX_MS 2000

bool
host_is_sure (const struct host *host, int64_t now_ms)
{
  return now_ms < host->confirmed_ms + OWNER_SURE_MS;
}

static void
watch_again (struct host *h, int64_t now_ms)
{
  h->phase = HOST_WATCHING;
  h->call_out = false;
  h->unheard = 0;
  h->heard_ms = now_ms;
  h->retry_ms = now_ms + WATCH_GAP_MS;
}

/* Another node has a higher epoch: watch it, whoever it is. */
void
host_lose (struct host *h, int64_t now_ms)
{
  char value[2] = "";

  meters_add (h->node->meters, METER_CELLS_LOST, 1);
  event_log ("cell-lost", h->service, "epoch=%" G_GUINT64_FORMAT, h->epoch);
  host_abandon_asks (h);
  if (host_is_fleet (h) && h->phase == HOST_ACTIVE)
    fleet_end (h->node);
  g_clear_pointer (&h->cell, cell_destroy);
  g_clear_pointer (&h->loaded, g_ptr_array_unref);
  h->epoch = 0;
  h->serial = ++h->node->serial; /* answers on their way are void */
  h->confirm_out = false;
  watch_again (h, now_ms);
  value[0] = OWNER_LOST;
  owner_note (h->node, h->service, value);
}

static const char *
known_owner (const struct host *h)
{
  const char *owner = owner_address (h->node, h->service);

  return owner != NULL ? owner : "none";
}

static void
claim (struct host *h, const char *cause, int64_t foreign_lease_ms,
       int64_t now_ms)
{
  event_log ("cell-claim", h->service,
             "cause=%s owner=%s unheard_ms=%" G_GINT64_FORMAT, cause,
             known_owner (h), now_ms - h->heard_ms);
  g_free (h->claimed_from);
  h->claimed_from = g_strdup (known_owner (h));
  g_clear_pointer (&h->yielded, g_ptr_array_unref);
  h->foreign_lease_ms = foreign_lease_ms;
  h->phase = HOST_CLAIMING;
  h->retry_ms = now_ms;
}

static void
on_yielded (void *data, const struct http_reply *reply)
{
  struct host_call *call = data;
  struct host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();
  /* 421 comes from a process that was started since, and knows nothing. */
  bool has_stopped = reply->status != 0;
  bool has_yielded
      = reply->status == 200 || reply->status == STATUS_YIELDED_BEFORE;

  if (h != NULL && h->phase == HOST_YIELDING)
    {
      h->call_out = false;
      claim (h,
             has_yielded   ? "owner-yielded"
             : has_stopped ? "not-the-owner"
                           : "owner-silent",
             has_stopped ? STOPPED_LEASE_MS : FOREIGN_LEASE_MS, now_ms);
      /* Another node that asked before may have been the owner since. */
      if (reply->status == 200)
        h->yielded = peer_read_records (reply);
    }
  host_call_destroy (call);
}

static void
ask_yield (struct host *h, const char *address, int64_t now_ms)
{
  h->phase = HOST_YIELDING;
  h->call_out = true;
  peer_ask_yield (h->node, address, h->service, on_yielded,
                  host_call_new (h, NULL, NULL, 0, now_ms));
}

static GPtrArray *
handover_records (struct host *h)
{
  return h->cell != NULL ? cell_yield (h->cell, node_now_ms ())
                         : g_ptr_array_new_with_free_func (journal_entry_free);
}

GPtrArray *
host_yield (struct host *host, int64_t now_ms)
{
  GPtrArray *records = handover_records (host);

  host_lose (host, now_ms);
  return records;
}

/* Whether this node's own view of the store is sound. */
static bool
store_is_steady (const struct host *h, int64_t now_ms)
{
  return now_ms >= h->node->store_back_ms + STORE_STEADY_MS
         && now_ms < h->node->store_heard_ms + STORE_HEARD_MS;
}

/* The owner's answer is how long ago it was confirmed, in ms, and 1 if it is
   of the reserve. */
static int64_t
read_doubt (const struct http_reply *reply, bool *is_reserve)
{
  char *text = reply->body_bytes > 0
                   ? g_strndup ((const char *)reply->body, reply->body_bytes)
                   : g_strdup ("0");
  char *rest = NULL;
  int64_t doubt_ms = g_ascii_strtoll (text, &rest, 10);

  *is_reserve = g_ascii_strtoll (rest, NULL, 10) == 1;
  g_free (text);
  return doubt_ms;
}

static void
take_probe (struct host *h, const struct http_reply *reply, int64_t now_ms)
{
  bool is_owner = reply->status == 200;
  bool is_silent = reply->status == 0;
  bool is_reserve = false;

  h->call_out = false;
  h->retry_ms = now_ms + WATCH_GAP_MS;
  if (is_owner && read_doubt (reply, &is_reserve) < DOUBT_MS)
    {
      if (is_reserve && !owner_is_reserve (h->node)
          && store_is_steady (h, now_ms))
        {
          event_log ("cell-relieve", h->service, "owner=%s cause=reserve",
                     known_owner (h));
          ask_yield (h, known_owner (h), now_ms);
          return;
        }
      h->unheard = 0;
      h->heard_ms = now_ms;
      return;
    }
  if ((is_owner || is_silent)
      && (++h->unheard < UNHEARD_MAX || !store_is_steady (h, now_ms)))
    return;
  if (!owner_may_follow (h->node, now_ms - h->heard_ms))
    return;
  if (is_silent)
    claim (h, "owner-silent", FOREIGN_LEASE_MS, now_ms);
  else
    ask_yield (h, known_owner (h), now_ms);
}

static void
on_probed (void *data, const struct http_reply *reply)
{
  struct host_call *call = data;
  struct host *h = host_of_call (call);

  if (h != NULL && h->phase == HOST_WATCHING)
    take_probe (h, reply, node_now_ms ());
  host_call_destroy (call);
}

static void
watch (struct host *h, int64_t now_ms)
{
  const char *owner = owner_address (h->node, h->service);

  bool may_follow = owner_may_follow (h->node, now_ms - h->heard_ms);

  if (owner != NULL && owner[0] != OWNER_RELEASED && owner[0] != OWNER_LOST
      && strcmp (owner, h->node->address) != 0)
    {
      h->call_out = true;
      peer_probe (h->node, owner, h->service, on_probed,
                  host_call_new (h, NULL, NULL, 0, now_ms));
    }
  else if (!may_follow)
    h->retry_ms = now_ms + WATCH_GAP_MS;
  else if (owner == NULL)
    claim (h, "no-owner", STOPPED_LEASE_MS, now_ms);
  else if (owner[0] == OWNER_RELEASED)
    ask_yield (h, owner + 1, now_ms);
  else if (owner[0] == OWNER_LOST)
    {
      if (h->node->owners.confirmed_ms > h->heard_ms + SUCCESSOR_MS)
        claim (h, "no-successor", FOREIGN_LEASE_MS, now_ms);
    }
  else
    claim (h, "own-before-restart", STOPPED_LEASE_MS, now_ms);
}

/* Tell all nodes who owns the cell now. */
static void
on_announced (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = host_of_call (call);

  if (a->result != STORE_DONE)
    event_log ("owner-unwritten", call->service, "result=%d", (int)a->result);
  if (h != NULL)
    {
      h->announce_out = false;
      h->announced = a->result == STORE_DONE || a->result == STORE_SEQUENCE;
      if (a->result == STORE_FENCED)
        host_lose (h, node_now_ms ());
    }
  host_call_destroy (call);
}

void
host_announce (struct host *h, const char *value, uint64_t sequence,
               int64_t now_ms)
{
  struct store_writer writer = { h->service, h->epoch, sequence };
  GPtrArray *entries = g_ptr_array_new_with_free_func (journal_entry_free);
  GBytes *bytes = g_bytes_new (value, strlen (value));

  h->announce_out = true;
  g_ptr_array_add (entries, journal_entry_new (h->service, bytes));
  store_append (h->node->store, OWNERS_STREAM, &writer, entries, on_announced,
                host_call_new (h, NULL, NULL, 0, now_ms));
  owner_note (h->node, h->service, value);
  g_bytes_unref (bytes);
  g_ptr_array_unref (entries);
}

GPtrArray *
host_release (struct host *host)
{
  char *value;
  GPtrArray *records;

  if (host->phase != HOST_ACTIVE)
    return NULL;
  value = g_strdup_printf ("%c%s", OWNER_RELEASED, host->node->address);
  records = handover_records (host);
  host_announce (host, value, 2, node_now_ms ());
  g_free (value);
  return records;
}

/* Make sure that no other has fenced this epoch. */
static void
on_confirmed (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      h->confirm_out = false;
      h->confirm_due_ms = now_ms + RETRY_MS;
      if (a->result == STORE_FENCED)
        host_lose (h, now_ms);
      else if (a->result == STORE_DONE || a->result == STORE_SEQUENCE)
        {
          node_note_store (h->node, now_ms);
          h->confirmed_ms = MAX (h->confirmed_ms, call->sent_ms);
        }
    }
  host_call_destroy (call);
}

/* An append of nothing sets the epoch, or shows that it still holds. */
static void
append_nothing (struct host *h, store_append_done done, int64_t now_ms)
{
  struct store_writer writer = { HOST_WRITER, h->epoch, h->sequence };
  char *stream = host_journal_stream (h);

  store_append (h->node->store, stream, &writer, NULL, done,
                host_call_new (h, NULL, NULL, 0, now_ms));
  g_free (stream);
}

void
host_confirm (struct host *h, int64_t now_ms)
{
  if (h->confirm_out || now_ms < h->confirmed_ms + CONFIRM_GAP_MS
      || now_ms < h->confirm_due_ms)
    return;
  h->confirm_out = true;
  append_nothing (h, on_confirmed, now_ms);
}

/* Whether another node was written as the owner since the claim began. */
static bool
has_new_owner (const struct host *h)
{
  const char *owner = known_owner (h);

  return owner[0] != OWNER_RELEASED && strcmp (h->claimed_from, owner) != 0;
}

static void
on_epoch (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      h->call_out = false;
      h->retry_ms = now_ms + RETRY_MS;
      if (now_ms > call->sent_ms + CLAIM_MAX_MS || has_new_owner (h))
        watch_again (h, now_ms);
      else if (a->result == STORE_DONE)
        {
          h->epoch = a->offset + 1;
          h->phase = HOST_FENCING;
          h->sequence = 0;
          h->retry_ms = now_ms;
        }
    }
  host_call_destroy (call);
}

static void
on_fenced (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      h->call_out = false;
      h->retry_ms = now_ms + RETRY_MS;
      if (a->result == STORE_DONE || a->result == STORE_SEQUENCE)
        {
          h->phase = HOST_LOADING;
          h->retry_ms = now_ms;
          h->confirmed_ms = call->sent_ms;
          h->loaded = g_ptr_array_new_with_free_func (
              (GDestroyNotify)journal_entry_free);
        }
      else if (a->result == STORE_FENCED)
        host_lose (h, now_ms);
    }
  host_call_destroy (call);
}

static void
load_kind (struct host *h, char kind)
{
  for (guint i = 0; i < h->loaded->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (h->loaded, i);

      if (e->key[0] == kind && e->value != NULL)
        cell_load (h->cell, e->key, e->value);
    }
}

static void
list_workers (struct host *h, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, h->node->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct worker_entry *e = value;

      if (strcmp (e->service, h->service) == 0)
        cell_worker_listed (h->cell, e, now_ms);
    }
}

static bool
workers_admit (const struct node *n, const char *service)
{
  int place = routes_find_service (n->routes, service);

  return place >= 0
         && ((const struct service_entry *)g_ptr_array_index (
                 n->routes->services, place))
                ->admits;
}

static void
activate_cell (struct host *h, int64_t now_ms)
{
  const struct node_settings *s = h->node->settings;
  struct cell_options options = {
    .service = h->service,
    .epoch = h->epoch,
    .workers_admit = workers_admit (h->node, h->service),
    .hold_max_ms = s->worker_lease_max_ms,
    .stop_grace_ms = s->stop_grace_ms,
    .early_ms = s->early_ms,
    .keep_state_ms = s->keep_state_ms,
    .foreign_lease_ms = h->foreign_lease_ms,
  };

  h->cell = cell_new (&options, now_ms);
  load_kind (h, 'j');
  load_kind (h, 'p');
  load_kind (h, 'w');
  for (guint i = 0; h->yielded != NULL && i < h->yielded->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (h->yielded, i);

      cell_load (h->cell, e->key, e->value);
    }
  list_workers (h, now_ms);
  cell_activate (h->cell, now_ms);
}

static void
activate (struct host *h, int64_t now_ms)
{
  if (host_is_fleet (h))
    fleet_begin (h->node, h->epoch, h->loaded, now_ms);
  else
    activate_cell (h, now_ms);
  g_clear_pointer (&h->loaded, g_ptr_array_unref);
  g_clear_pointer (&h->yielded, g_ptr_array_unref);
  g_hash_table_remove (h->node->owner.released, h->service);
  h->phase = HOST_ACTIVE;
  h->announced = false;
  h->announce_out = false;
  meters_add (h->node->meters, METER_TAKEOVERS, 1);
  node_run_soon (h->node, h);
}

static void
on_journal_page (void *data, const struct store_page *page)
{
  struct host_call *call = data;
  struct host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      h->call_out = false;
      h->retry_ms = now_ms + RETRY_MS;
      if (page->result == STORE_DONE)
        {
          for (guint i = 0; i < page->records->len; i++)
            {
              const struct store_record *r
                  = g_ptr_array_index (page->records, i);

              g_ptr_array_add (h->loaded,
                               journal_entry_new (r->key, r->value));
            }
          h->retry_ms = now_ms;
          if (!page->more || page->records->len == 0)
            activate (h, now_ms);
        }
    }
  host_call_destroy (call);
}

static void
load_page (struct host *h, int64_t now_ms)
{
  const struct journal_entry *last
      = h->loaded->len > 0 ? g_ptr_array_index (h->loaded, h->loaded->len - 1)
                           : NULL;
  char *stream = host_journal_stream (h);

  store_newest (h->node->store, stream, last != NULL ? last->key : NULL,
                on_journal_page, host_call_new (h, NULL, NULL, 0, now_ms));
  g_free (stream);
}

void
host_take_over (struct host *h, int64_t now_ms)
{
  if (h->call_out || now_ms < h->retry_ms)
    return;
  switch (h->phase)
    {
    case HOST_WATCHING:
      watch (h, now_ms);
      break;
    case HOST_CLAIMING:
      h->call_out = true;
      store_append_text (h->node->store, EPOCH_STREAM, h->service, on_epoch,
                         host_call_new (h, NULL, NULL, 0, now_ms));
      break;
    case HOST_FENCING:
      h->call_out = true;
      append_nothing (h, on_fenced, now_ms);
      break;
    case HOST_LOADING:
      h->call_out = true;
      load_page (h, now_ms);
      break;
    case HOST_YIELDING:
    case HOST_ACTIVE:
      break;
    }
}
