#include "node_state.h"

#include "event_log.h"
#include "workers.h"

#include <string.h>

/* The stream whose offsets are epochs: each is given once, and they rise. */
#define EPOCH_STREAM "epochs"
#define JOURNAL_PREFIX "keyed.jobs."
#define WRITER "cell"
/* An owner that the store has not confirmed for so long starts and holds
   nothing more.  Longer than a usual outage of the store. */
#define OWNER_SURE_MS 8000
/* By then the leases that an earlier owner gave, and gives no more, are over
   on clocks that may be slow. */
#define STOPPED_LEASE_MS 4400
/* The same where the earlier owner is only silent: it may be sure of itself,
   and extend leases, for so long. */
#define FOREIGN_LEASE_MS (OWNER_SURE_MS + STOPPED_LEASE_MS)
/* An answer "no such job" needs an ownership as fresh as this. */
#define KNOWS_ALL_MS 1800
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

struct local_ask
{
  enum front_verb verb;
  front_done done;
  void *data;
  int64_t begun_ms;
};

/* What an answer from outside goes with: the host may be gone by then. */
struct host_call
{
  struct node *node;
  uint32_t serial;
  char *service;
  char *worker;
  char *task;
  uint64_t run;
  int64_t sent_ms;
};

static struct host_call *
call_new (struct host *h, const char *worker, const char *task, uint64_t run,
          int64_t now_ms)
{
  struct host_call *call = g_new0 (struct host_call, 1);

  call->node = h->node;
  call->serial = h->serial;
  call->service = g_strdup (h->service);
  call->worker = g_strdup (worker);
  call->task = g_strdup (task);
  call->run = run;
  call->sent_ms = now_ms;
  return call;
}

static void
call_destroy (struct host_call *call)
{
  g_free (call->service);
  g_free (call->worker);
  g_free (call->task);
  g_free (call);
}

static struct host *
call_host (const struct host_call *call)
{
  struct host *h = g_hash_table_lookup (call->node->hosts, call->service);

  return h != NULL && h->serial == call->serial ? h : NULL;
}

static bool
is_fleet (const struct host *h)
{
  return strcmp (h->service, FLEET_SERVICE) == 0;
}

static char *
journal_stream (const struct host *h)
{
  if (is_fleet (h))
    return g_strdup (UPKEEP_STREAM);
  return g_strconcat (JOURNAL_PREFIX, h->service, NULL);
}

struct host *
host_new (struct node *n, const char *service, int64_t now_ms)
{
  struct host *h = g_new0 (struct host, 1);

  h->node = n;
  h->service = g_strdup (service);
  h->serial = ++n->serial;
  h->phase = HOST_WATCHING;
  h->heard_ms = now_ms;
  h->asks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return h;
}

static void
finish_ask (struct local_ask *ask, enum front_result result)
{
  struct front_answer answer = { .result = result };

  ask->done (ask->data, &answer);
}

/* Whoever waits for this owner's journal can't be told how it went. */
static void
abandon_asks (struct host *h)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *all = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, h->asks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, g_memdup2 (value, sizeof (struct local_ask)));
  g_hash_table_remove_all (h->asks);
  for (guint i = 0; i < all->len; i++)
    {
      finish_ask (g_ptr_array_index (all, i), FRONT_UNCLEAR);
      g_free (g_ptr_array_index (all, i));
    }
  g_ptr_array_unref (all);
}

void
host_destroy (gpointer host)
{
  struct host *h = host;

  abandon_asks (h);
  if (is_fleet (h) && h->phase == HOST_ACTIVE)
    fleet_end (h->node);
  g_hash_table_unref (h->asks);
  cell_destroy (h->cell);
  g_clear_pointer (&h->loaded, g_ptr_array_unref);
  g_clear_pointer (&h->yielded, g_ptr_array_unref);
  g_free (h->claimed_from);
  g_free (h->service);
  g_free (h);
}

bool
host_is_sure (const struct host *host, int64_t now_ms)
{
  return now_ms < host->confirmed_ms + OWNER_SURE_MS;
}

/* Takeover. */

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
static void
lose (struct host *h, int64_t now_ms)
{
  char value[2] = "";

  meters_add (h->node->meters, METER_CELLS_LOST, 1);
  event_log ("cell-lost", h->service, "epoch=%" G_GUINT64_FORMAT, h->epoch);
  abandon_asks (h);
  if (is_fleet (h) && h->phase == HOST_ACTIVE)
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
  struct host *h = call_host (call);
  int64_t now_ms = node_now_ms ();
  /* 421 comes from a process that was started since, and knows nothing. */
  bool has_stopped = reply->status != 0;

  if (h != NULL && h->phase == HOST_YIELDING)
    {
      h->call_out = false;
      claim (h,
             reply->status == 200 ? "owner-yielded"
             : has_stopped        ? "not-the-owner"
                                  : "owner-silent",
             has_stopped ? STOPPED_LEASE_MS : FOREIGN_LEASE_MS, now_ms);
      if (reply->status == 200)
        h->yielded = peer_read_records (reply);
    }
  call_destroy (call);
}

static void
ask_yield (struct host *h, const char *address, int64_t now_ms)
{
  h->phase = HOST_YIELDING;
  h->call_out = true;
  peer_ask_yield (h->node, address, h->service, on_yielded,
                  call_new (h, NULL, NULL, 0, now_ms));
}

static GPtrArray *
handover_records (struct host *h)
{
  return h->cell != NULL ? cell_yield (h->cell)
                         : g_ptr_array_new_with_free_func (journal_entry_free);
}

GPtrArray *
host_yield (struct host *host, int64_t now_ms)
{
  GPtrArray *records = handover_records (host);

  lose (host, now_ms);
  return records;
}

/* Whether this node's own view of the store is sound. */
static bool
store_is_steady (const struct host *h, int64_t now_ms)
{
  return now_ms >= h->node->store_back_ms + STORE_STEADY_MS
         && now_ms < h->node->store_heard_ms + STORE_HEARD_MS;
}

/* The owner's answer is how long ago it was confirmed, in ms. */
static void
on_probed (void *data, const struct http_reply *reply)
{
  struct host_call *call = data;
  struct host *h = call_host (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL && h->phase == HOST_WATCHING)
    {
      char *text
          = reply->body_bytes > 0
                ? g_strndup ((const char *)reply->body, reply->body_bytes)
                : g_strdup ("0");
      int64_t doubt_ms = g_ascii_strtoll (text, NULL, 10);

      g_free (text);
      h->call_out = false;
      h->retry_ms = now_ms + WATCH_GAP_MS;
      if (reply->status == 200 && doubt_ms < DOUBT_MS)
        {
          h->unheard = 0;
          h->heard_ms = now_ms;
        }
      else if (reply->status != 0 && reply->status != 200)
        ask_yield (h, known_owner (h), now_ms);
      else if (++h->unheard < UNHEARD_MAX || !store_is_steady (h, now_ms))
        ;
      else if (reply->status == 200)
        ask_yield (h, known_owner (h), now_ms);
      else
        claim (h, "owner-silent", FOREIGN_LEASE_MS, now_ms);
    }
  call_destroy (call);
}

static void
watch (struct host *h, int64_t now_ms)
{
  const char *owner = owner_address (h->node, h->service);

  if (owner == NULL)
    claim (h, "no-owner", STOPPED_LEASE_MS, now_ms);
  else if (owner[0] == OWNER_RELEASED)
    ask_yield (h, owner + 1, now_ms);
  else if (owner[0] == OWNER_LOST)
    {
      if (h->node->owners.confirmed_ms > h->heard_ms + SUCCESSOR_MS)
        claim (h, "no-successor", FOREIGN_LEASE_MS, now_ms);
    }
  else if (strcmp (owner, h->node->address) == 0)
    claim (h, "own-before-restart", STOPPED_LEASE_MS, now_ms);
  else
    {
      h->call_out = true;
      peer_probe (h->node, owner, h->service, on_probed,
                  call_new (h, NULL, NULL, 0, now_ms));
    }
}

/* Tell all nodes who owns the cell now. */
static void
on_announced (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = call_host (call);

  if (a->result != STORE_DONE)
    event_log ("owner-unwritten", call->service, "result=%d", (int)a->result);
  if (h != NULL)
    {
      h->announce_out = false;
      h->announced = a->result == STORE_DONE || a->result == STORE_SEQUENCE;
      if (a->result == STORE_FENCED)
        lose (h, node_now_ms ());
    }
  call_destroy (call);
}

static void
announce (struct host *h, const char *value, uint64_t sequence, int64_t now_ms)
{
  struct store_writer writer = { h->service, h->epoch, sequence };
  GPtrArray *entries = g_ptr_array_new_with_free_func (journal_entry_free);
  GBytes *bytes = g_bytes_new (value, strlen (value));

  h->announce_out = true;
  g_ptr_array_add (entries, journal_entry_new (h->service, bytes));
  store_append (h->node->store, OWNERS_STREAM, &writer, entries, on_announced,
                call_new (h, NULL, NULL, 0, now_ms));
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
  announce (host, value, 2, node_now_ms ());
  g_free (value);
  return records;
}

/* Make sure that no other has fenced this epoch. */
static void
on_confirmed (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = call_host (call);
  int64_t now_ms = node_now_ms ();

  if (h != NULL)
    {
      h->confirm_out = false;
      h->confirm_due_ms = now_ms + RETRY_MS;
      if (a->result == STORE_FENCED)
        lose (h, now_ms);
      else if (a->result == STORE_DONE || a->result == STORE_SEQUENCE)
        {
          node_note_store (h->node, now_ms);
          h->confirmed_ms = MAX (h->confirmed_ms, call->sent_ms);
        }
    }
  call_destroy (call);
}

/* An append of nothing sets the epoch, or shows that it still holds. */
static void
append_nothing (struct host *h, store_append_done done, int64_t now_ms)
{
  struct store_writer writer = { WRITER, h->epoch, h->sequence };
  char *stream = journal_stream (h);

  store_append (h->node->store, stream, &writer, NULL, done,
                call_new (h, NULL, NULL, 0, now_ms));
  g_free (stream);
}

static void
confirm (struct host *h, int64_t now_ms)
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
  struct host *h = call_host (call);
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
  call_destroy (call);
}

static void
on_fenced (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = call_host (call);
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
        lose (h, now_ms);
    }
  call_destroy (call);
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
  if (is_fleet (h))
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
  struct host *h = call_host (call);
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
  call_destroy (call);
}

static void
load_page (struct host *h, int64_t now_ms)
{
  const struct journal_entry *last
      = h->loaded->len > 0 ? g_ptr_array_index (h->loaded, h->loaded->len - 1)
                           : NULL;
  char *stream = journal_stream (h);

  store_newest (h->node->store, stream, last != NULL ? last->key : NULL,
                on_journal_page, call_new (h, NULL, NULL, 0, now_ms));
  g_free (stream);
}

static void
take_over (struct host *h, int64_t now_ms)
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
                         call_new (h, NULL, NULL, 0, now_ms));
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

/* Orders of the cell. */

static void
count_start (struct node *n, enum run_answer answer)
{
  switch (answer)
    {
    case RUN_ACCEPTED:
      break;
    case RUN_NO_ANSWER:
      meters_add (n->meters, METER_STARTS_NO_ANSWER, 1);
      break;
    case RUN_NO_ROOM:
      meters_add (n->meters, METER_STARTS_NO_ROOM, 1);
      break;
    default:
      meters_add (n->meters, METER_STARTS_REFUSED, 1);
      break;
    }
}

static const char *
run_answer_name (enum run_answer answer)
{
  static const char *const names[]
      = { "accepted", "no-answer", "fenced",    "old", "late",
          "no-room",  "no-ticket", "unhealthy", "gone" };

  return names[answer];
}

static void
on_started (void *data, enum run_answer answer)
{
  struct host_call *call = data;
  struct host *h = call_host (call);
  int64_t now_ms = node_now_ms ();

  count_start (call->node, answer);
  meters_time (call->node->meters, HISTOGRAM_START, now_ms - call->sent_ms);
  event_log ("task-start", call->task,
             "run=%" G_GUINT64_FORMAT
             " worker=%s outcome=%s ms=%" G_GINT64_FORMAT,
             call->run, call->worker, run_answer_name (answer),
             now_ms - call->sent_ms);
  if (h != NULL && h->cell != NULL)
    {
      cell_start_answered (h->cell, call->worker, call->task, call->run,
                           answer, now_ms);
      node_run_soon (h->node, h);
    }
  call_destroy (call);
}

static void
on_stopped (void *data, enum run_answer answer)
{
  struct host_call *call = data;
  struct host *h = call_host (call);

  event_log ("task-stop", call->task,
             "run=%" G_GUINT64_FORMAT " worker=%s outcome=%s", call->run,
             call->worker, run_answer_name (answer));
  if (h != NULL && h->cell != NULL)
    {
      cell_stop_answered (h->cell, call->worker, call->task, call->run, answer,
                          node_now_ms ());
      node_run_soon (h->node, h);
    }
  call_destroy (call);
}

static void
on_paced (void *data, enum run_answer answer)
{
  struct host_call *call = data;

  event_log ("task-pace", call->task, "worker=%s outcome=%s", call->worker,
             run_answer_name (answer));
  call_destroy (call);
}

static void
on_held (void *data, const struct worker_held *held)
{
  struct host_call *call = data;
  struct host *h = call_host (call);

  if (held->report == NULL)
    meters_add (call->node->meters, METER_HOLDS_NO_ANSWER, 1);
  if (h != NULL && h->cell != NULL)
    {
      cell_hold_answered (h->cell, call->worker, held->report, held->fenced,
                          held->gone, call->sent_ms, node_now_ms ());
      node_run_soon (h->node, h);
    }
  call_destroy (call);
}

static void
on_advice (void *data, const GArray *tickets, int64_t valid_ms)
{
  struct host_call *call = data;
  struct host *h = call_host (call);

  event_log ("advice", call->task, "workers=%d",
             tickets != NULL ? (int)tickets->len : -1);
  if (h != NULL && h->cell != NULL)
    {
      cell_advised (h->cell, call->task, tickets, valid_ms, node_now_ms ());
      node_run_soon (h->node, h);
    }
  call_destroy (call);
}

static enum append_result
append_result_of (struct node *n, enum store_result result)
{
  switch (result)
    {
    case STORE_DONE:
      return APPEND_DONE;
    case STORE_FENCED:
    case STORE_SEQUENCE:
      meters_add (n->meters, METER_APPENDS_FENCED, 1);
      return APPEND_FENCED;
    case STORE_REFUSED:
    case STORE_TRIMMED:
      meters_add (n->meters, METER_APPENDS_REFUSED, 1);
      return APPEND_REFUSED;
    case STORE_UNCLEAR:
      meters_add (n->meters, METER_APPENDS_UNCLEAR, 1);
      return APPEND_UNCLEAR;
    }
  return APPEND_UNCLEAR;
}

static void
on_appended (void *data, const struct store_appended *a)
{
  struct host_call *call = data;
  struct host *h = call_host (call);
  int64_t now_ms = node_now_ms ();
  enum append_result result = append_result_of (call->node, a->result);

  meters_time (call->node->meters, HISTOGRAM_APPEND, now_ms - call->sent_ms);
  if (result == APPEND_DONE)
    node_note_store (call->node, now_ms);
  else
    event_log ("append-failed", call->service,
               "sequence=%" G_GUINT64_FORMAT " result=%d ms=%" G_GINT64_FORMAT,
               call->run, (int)result, now_ms - call->sent_ms);
  if (h != NULL && h->cell != NULL)
    {
      if (result == APPEND_DONE)
        {
          h->confirmed_ms = MAX (h->confirmed_ms, call->sent_ms);
          h->sequence = call->run;
        }
      cell_append_answered (h->cell, result, now_ms);
      node_run_soon (h->node, h);
    }
  call_destroy (call);
}

/* Whether a job that the cell does not have is nowhere: another owner may have
   accepted it, if this one has not been confirmed for long. */
static bool
knows_all (const struct host *h, int64_t now_ms)
{
  return now_ms < h->confirmed_ms + KNOWS_ALL_MS;
}

static void
answer_ask (struct host *h, const struct answer_order *order)
{
  struct local_ask *ask = g_hash_table_lookup (h->asks, &order->token);
  struct local_ask copy;
  gint64 token = (gint64)order->token;

  if (ask == NULL)
    return;
  copy = *ask;
  g_hash_table_remove (h->asks, &token);
  switch (order->answer)
    {
    case CELL_STORED:
      meters_add (h->node->meters,
                  copy.verb == FRONT_SUBMIT ? METER_JOBS_ACCEPTED
                                            : METER_JOBS_CANCELLED,
                  1);
      finish_ask (&copy, FRONT_DONE);
      break;
    case CELL_NO_JOB:
      finish_ask (&copy,
                  knows_all (h, node_now_ms ()) ? FRONT_UNKNOWN : FRONT_LATER);
      break;
    case CELL_NOT_TAKEN:
      meters_add (h->node->meters, METER_JOBS_REFUSED_STORE, 1);
      finish_ask (&copy, FRONT_LATER);
      break;
    case CELL_UNCLEAR:
      meters_add (h->node->meters, METER_JOBS_UNCLEAR, 1);
      finish_ask (&copy, FRONT_UNCLEAR);
      break;
    }
}

static void
send_append (struct host *h, const struct append_order *o, int64_t now_ms)
{
  struct store_writer writer = { WRITER, h->epoch, o->sequence };
  char *stream = journal_stream (h);

  meters_add (h->node->meters, METER_APPENDS, 1);
  store_append (h->node->store, stream, &writer, o->entries, on_appended,
                call_new (h, NULL, NULL, o->sequence, now_ms));
  g_free (stream);
}

static void
carry_out (struct host *h, const struct cell_order *o, int64_t now_ms)
{
  struct node *n = h->node;
  const struct run_order *r = &o->u.run;

  switch (o->kind)
    {
    case ORDER_START:
      meters_add (n->meters, METER_STARTS, 1);
      worker_start (n->client, r, h->epoch, on_started,
                    call_new (h, r->worker, r->task, r->run, now_ms));
      break;
    case ORDER_STOP:
      meters_add (n->meters, METER_STOPS, 1);
      worker_stop (n->client, r, h->epoch, on_stopped,
                   call_new (h, r->worker, r->task, r->run, now_ms));
      break;
    case ORDER_PACE:
      meters_add (n->meters, METER_PACES, 1);
      worker_pace (n->client, r, h->epoch, on_paced,
                   call_new (h, r->worker, r->task, r->run, now_ms));
      break;
    case ORDER_HOLD:
      meters_add (n->meters, METER_HOLDS, 1);
      worker_hold (n->client, &o->u.hold, h->epoch, on_held,
                   call_new (h, o->u.hold.worker, NULL, 0, now_ms));
      break;
    case ORDER_ADVISE:
      meters_add (n->meters, METER_ADVICE_CALLS, 1);
      advice_ask (n->client, n->settings->advice, &o->u.advise, on_advice,
                  call_new (h, NULL, o->u.advise.step, 0, now_ms));
      break;
    case ORDER_APPEND:
      send_append (h, &o->u.append, now_ms);
      break;
    case ORDER_ANSWER:
      answer_ask (h, &o->u.answer);
      break;
    case ORDER_NOTE:
      event_log (o->u.note.event, o->u.note.subject, "%s", o->u.note.detail);
      break;
    }
}

void
host_run (struct host *host, int64_t now_ms)
{
  struct cell_order *o;

  host->dirty = false;
  if (host->phase != HOST_ACTIVE)
    {
      take_over (host, now_ms);
      return;
    }
  confirm (host, now_ms);
  if (!host->announced && !host->announce_out)
    announce (host, host->node->address, 1, now_ms);
  if (is_fleet (host))
    {
      fleet_tick (host->node, now_ms);
      return;
    }
  cell_tick (host->cell, node_wall_ms (host->node),
             host_is_sure (host, now_ms) && !host->node->stopping, now_ms);
  while ((o = cell_next_order (host->cell)) != NULL)
    {
      carry_out (host, o, now_ms);
      cell_order_destroy (o);
    }
  if (cell_is_fenced (host->cell))
    lose (host, now_ms);
}

void
host_tick (struct host *host, int64_t now_ms)
{
  host_run (host, now_ms);
}

/* Asks. */

static void
keep_ask (struct host *h, uint64_t token, const struct front_ask *ask,
          front_done done, void *data, int64_t now_ms)
{
  struct local_ask *kept = g_new0 (struct local_ask, 1);

  kept->verb = ask->verb;
  kept->done = done;
  kept->data = data;
  kept->begun_ms = now_ms;
  g_hash_table_insert (h->asks, g_memdup2 (&token, sizeof token), kept);
}

static void
ask_state (struct host *h, const struct front_ask *ask, front_done done,
           void *data, int64_t now_ms)
{
  struct front_answer answer = { .result = FRONT_DONE };

  if (!cell_state (h->cell, ask->subject, &answer.state))
    answer.result = knows_all (h, now_ms) ? FRONT_UNKNOWN : FRONT_LATER;
  done (data, &answer);
}

void
host_ask (struct host *host, const struct front_ask *ask, front_done done,
          void *data, int64_t now_ms)
{
  uint64_t token = ++host->node->token;
  struct front_answer answer = { .result = FRONT_DONE };

  switch (ask->verb)
    {
    case FRONT_SUBMIT:
      keep_ask (host, token, ask, done, data, now_ms);
      cell_submit (host->cell, ask->spec, token, now_ms);
      break;
    case FRONT_CANCEL:
      keep_ask (host, token, ask, done, data, now_ms);
      cell_cancel (host->cell, ask->subject, token, now_ms);
      break;
    case FRONT_STATE:
      ask_state (host, ask, done, data, now_ms);
      break;
    case FRONT_WAITING:
      answer.number = cell_waiting (host->cell, ask->subject);
      done (data, &answer);
      break;
    case FRONT_RELEASE:
      answer.number = cell_release_worker (host->cell, ask->subject, now_ms);
      done (data, &answer);
      break;
    case FRONT_ENDED:
      cell_worker_ended (host->cell, ask->subject, now_ms);
      done (data, &answer);
      break;
    }
  node_run_soon (host->node, host);
}
