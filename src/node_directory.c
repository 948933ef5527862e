#include "node_state.h"

#include "event_log.h"
#include "wire.h"

#include <string.h>

/* Timeout of the long poll of the configuration; each answer also confirms
   that the routes are the newest. */
#define CONFIG_POLL_MS 1500
/* Timeout of the long poll of the workers, and the interval between reads.
   Each worker renews its record every 1.5 s; the interval lets one read return
   several records. */
#define WORKERS_POLL_MS 1500
#define WORKERS_INTERVAL_MS 250
/* Timeout of the long poll of the waves' states. */
#define STATUS_POLL_MS 5000
/* Timeout of the long poll of the owners; the store answers at once when one
   changes. */
#define OWNERS_POLL_MS 1500
/* Delay after a failed call. */
#define RETRY_DELAY_MS 250

static void read_stream (struct stream_follower *f);

/* The list has been read; IS_WHOLE: with every key that can be read. */
static void
finish_list (struct stream_follower *f, bool is_whole)
{
  f->has_list = true;
  g_clear_pointer (&f->page_after, g_free);
  if (f->on_list_end != NULL)
    f->on_list_end (f->node, is_whole ? f->listed_keys : NULL);
  g_hash_table_remove_all (f->listed_keys);
}

static void
handle_list_page (struct stream_follower *f, const struct store_page *page)
{
  /* Start the stream at the first page's offset: records that are appended
     while the other pages are read come again. */
  if (f->page_after == NULL)
    f->next_offset = page->next_offset;
  for (guint i = 0; i < page->records->len; i++)
    {
      const struct store_record *r = g_ptr_array_index (page->records, i);

      g_hash_table_add (f->listed_keys, g_strdup (r->key));
      f->on_record (f->node, r->key, r->value);
    }
  if (!page->has_more)
    finish_list (f, true);
  else if (page->last_key == NULL
           || g_strcmp0 (page->last_key, f->page_after) == 0)
    {
      event_log ("list-cut", f->stream, "after=%s",
                 f->page_after != NULL ? f->page_after : "");
      finish_list (f, false);
    }
  else
    {
      g_free (f->page_after);
      f->page_after = g_strdup (page->last_key);
    }
}

static void
note_unreadable (struct stream_follower *f, const struct store_page *page)
{
  if (page->n_unreadable == 0)
    return;
  meters_add (f->node->meters, METER_RECORDS_UNREADABLE, page->n_unreadable);
  if (!f->has_logged_unreadable)
    event_log ("records-unreadable", f->stream,
               "records=%u outcome=left-out from=%" G_GUINT64_FORMAT,
               page->n_unreadable, f->next_offset);
  f->has_logged_unreadable = true;
}

/* The stream can't be read on from next_offset: list it again. */
static void
begin_list_again (struct stream_follower *f, const struct store_page *page)
{
  if (f->has_list || f->failed_calls == 1)
    event_log (page->result == STORE_TRIMMED ? "stream-trimmed"
                                             : "stream-malformed",
               f->stream, "from=%" G_GUINT64_FORMAT " outcome=list-again",
               f->next_offset);
  f->has_list = false;
}

static void
on_page (void *data, const struct store_page *page)
{
  struct stream_follower *f = data;
  int64_t now_ms = node_now_ms ();

  f->is_call_pending = false;
  f->failed_calls = page->result == STORE_DONE ? 0 : f->failed_calls + 1;
  f->next_call_ms = now_ms + RETRY_DELAY_MS;
  if (page->result == STORE_DONE)
    node_note_store_answer (f->node, now_ms);
  if (page->result == STORE_TRIMMED || page->result == STORE_MALFORMED)
    begin_list_again (f, page);
  if (page->result == STORE_TRIMMED)
    f->next_call_ms = now_ms;
  if (page->result != STORE_DONE || f->must_relist)
    return;
  note_unreadable (f, page);
  if (!f->has_list)
    {
      handle_list_page (f, page);
      f->next_call_ms = now_ms;
      f->confirmed_ms = now_ms;
      return;
    }
  f->next_offset = page->next_offset;
  f->confirmed_ms = now_ms;
  for (guint i = 0; i < page->records->len; i++)
    {
      const struct store_record *r = g_ptr_array_index (page->records, i);

      f->on_record (f->node, r->key, r->value);
    }
  f->next_call_ms = now_ms + f->read_interval_ms;
}

static void
read_stream (struct stream_follower *f)
{
  f->is_call_pending = true;
  if (f->must_relist)
    {
      f->must_relist = false;
      g_clear_pointer (&f->page_after, g_free);
      g_hash_table_remove_all (f->listed_keys);
    }
  if (f->has_list)
    store_read (f->node->store, f->stream, f->next_offset, f->poll_wait_ms,
                on_page, f);
  else
    store_read_newest (f->node->store, f->stream, f->page_after,
                       node_store_timeout_ms (f->failed_calls), on_page, f);
}

/* Configuration and waves. */

/* Tell the cells that are owned here the accounts in force. */
static void
update_accounts (struct node *n, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cell_host *h = value;

      if (h->cell == NULL)
        continue;
      cell_set_accounts (h->cell, n->routes->accounts, now_ms);
      node_schedule_run (n, h);
    }
}

static void
apply_routes (struct node *n, GBytes *value)
{
  gsize size;
  const void *text = g_bytes_get_data (value, &size);
  struct routes *r = wire_read_routes (text, size);

  if (r == NULL)
    {
      event_log ("configuration-malformed", "", "bytes=%zu outcome=kept-old",
                 size);
      return;
    }
  if (n->routes != NULL && r->version <= n->routes->version)
    {
      routes_destroy (r);
      return;
    }
  event_log ("configuration", "",
             "version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
             " queues=%u services=%u",
             r->version, n->routes != NULL ? n->routes->version : 0,
             r->queues->len, r->services->len);
  routes_destroy (n->routes);
  n->routes = r;
  update_accounts (n, node_now_ms ());
  owner_update_hosts (n, node_now_ms ());
}

static void
on_operator_record (struct node *n, const char *key, GBytes *value)
{
  if (value == NULL)
    return;
  switch (wire_operator_key_kind (key))
    {
    case OPERATOR_ROUTES:
      apply_routes (n, value);
      break;
    case OPERATOR_WAVE:
      g_hash_table_replace (n->wave_requests, g_strdup (key),
                            g_bytes_ref (value));
      break;
    case OPERATOR_OTHER:
      break;
    }
}

static void
on_status_record (struct node *n, const char *key, GBytes *value)
{
  gsize size;
  const void *text;

  if (value == NULL || wire_wave_number (key) < 0)
    return;
  text = g_bytes_get_data (value, &size);
  if (wire_wave_is_completed (text, size))
    g_hash_table_add (n->completed_waves, g_strdup (key));
}

/* Workers. */

static struct cell_host *
host_with_cell (struct node *n, const char *service)
{
  struct cell_host *h = g_hash_table_lookup (n->hosts, service);

  return h != NULL && h->cell != NULL ? h : NULL;
}

/* Remove the worker ID from its service.  IS_REASSIGNED tells that the list
   shows it under another one. */
static void
remove_worker (struct node *n, const char *id)
{
  const struct worker_entry *e = g_hash_table_lookup (n->workers, id);
  struct cell_host *h;

  if (e == NULL)
    return;
  h = host_with_cell (n, e->service);
  if (h != NULL)
    {
      cell_worker_unlisted (h->cell, id, node_now_ms ());
      node_schedule_run (n, h);
    }
  g_hash_table_remove (n->workers, id);
}

/* Tell the cells of other services that E does not belong to them, or no
   longer. */
static void
tell_other_cells (struct node *n, const struct worker_entry *e)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cell_host *h = value;

      if (h->cell == NULL || strcmp (h->service, e->service) == 0)
        continue;
      cell_worker_reassigned (h->cell, e, node_now_ms ());
      node_schedule_run (n, h);
    }
}

/* Count an entry that names no worker, and log it once. */
static void
note_worker_entry (struct node *n, const char *key, bool is_malformed)
{
  if (!is_malformed)
    {
      g_hash_table_remove (n->malformed_workers, key);
      return;
    }
  meters_add (n->meters, METER_WORKER_ENTRIES_MALFORMED, 1);
  if (g_hash_table_add (n->malformed_workers, g_strdup (key)))
    event_log ("worker-malformed", key, "outcome=not-used");
}

static void
on_worker_record (struct node *n, const char *key, GBytes *value)
{
  gsize size = 0;
  const void *text = value != NULL ? g_bytes_get_data (value, &size) : NULL;
  struct worker_entry *e
      = value != NULL ? wire_read_worker (key, text, size) : NULL;
  struct cell_host *h;

  note_worker_entry (n, key, value != NULL && e == NULL);
  if (e == NULL)
    {
      remove_worker (n, key);
      return;
    }
  tell_other_cells (n, e);
  h = host_with_cell (n, e->service);
  if (h != NULL)
    {
      cell_worker_listed (h->cell, e, node_now_ms ());
      node_schedule_run (n, h);
    }
  g_hash_table_replace (n->workers, e->id, e);
}

static void
on_worker_list_end (struct node *n, GHashTable *keys)
{
  GPtrArray *gone = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, n->workers);
  while (keys != NULL && g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (keys, id))
      g_ptr_array_add (gone, g_strdup (id));
  for (guint i = 0; i < gone->len; i++)
    remove_worker (n, g_ptr_array_index (gone, i));
  g_ptr_array_unref (gone);
}

static void
on_owner_record (struct node *n, const char *key, GBytes *value)
{
  gsize size;
  const char *text = value != NULL ? g_bytes_get_data (value, &size) : NULL;
  char *copy;

  if (queue_homes_has_key (key))
    {
      if (value != NULL)
        queue_homes_load (n->homes, key, value);
      return;
    }
  copy = text != NULL ? g_strndup (text, size) : NULL;
  if (copy != NULL)
    owner_record (n, key, copy);
  g_free (copy);
}

static void
on_owner_list_end (struct node *n, GHashTable *keys)
{
  owner_update_hosts (n, node_now_ms ());
}

static void
follower_start (struct stream_follower *f, struct node *n, const char *stream,
                int64_t poll_wait_ms, int64_t read_interval_ms)
{
  f->node = n;
  f->stream = stream;
  f->poll_wait_ms = poll_wait_ms;
  f->read_interval_ms = read_interval_ms;
  f->listed_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
directory_start (struct node *n)
{
  n->homes = queue_homes_new ();
  n->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      worker_entry_destroy);
  n->malformed_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  n->wave_requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  n->completed_waves
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  follower_start (&n->config_follower, n, STREAM_OPERATORS, CONFIG_POLL_MS, 0);
  n->config_follower.on_record = on_operator_record;
  follower_start (&n->worker_follower, n, STREAM_WORKERS, WORKERS_POLL_MS,
                  WORKERS_INTERVAL_MS);
  n->worker_follower.on_record = on_worker_record;
  n->worker_follower.on_list_end = on_worker_list_end;
  follower_start (&n->status_follower, n, STREAM_STATUS, STATUS_POLL_MS, 0);
  n->status_follower.on_record = on_status_record;
  follower_start (&n->owner_follower, n, OWNERS_STREAM, OWNERS_POLL_MS, 0);
  n->owner_follower.on_record = on_owner_record;
  n->owner_follower.on_list_end = on_owner_list_end;
}

static void
follower_tick (struct stream_follower *f, int64_t now_ms)
{
  if (!f->is_call_pending && now_ms >= f->next_call_ms)
    read_stream (f);
}

void
directory_tick (struct node *n, int64_t now_ms)
{
  follower_tick (&n->config_follower, now_ms);
  follower_tick (&n->worker_follower, now_ms);
  follower_tick (&n->owner_follower, now_ms);
  /* Only the owner of the fleet needs to know which waves are completed. */
  if (n->fleet.epoch != 0)
    follower_tick (&n->status_follower, now_ms);
}

void
directory_clear (struct node *n)
{
  struct stream_follower *all[] = { &n->config_follower, &n->worker_follower,
                                    &n->status_follower, &n->owner_follower };

  for (gsize i = 0; i < G_N_ELEMENTS (all); i++)
    {
      g_hash_table_unref (all[i]->listed_keys);
      g_free (all[i]->page_after);
    }
  queue_homes_destroy (n->homes);
  g_hash_table_unref (n->workers);
  g_hash_table_unref (n->malformed_workers);
  g_hash_table_unref (n->wave_requests);
  g_hash_table_unref (n->completed_waves);
}
