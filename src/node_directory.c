#include "node_state.h"

#include "event_log.h"
#include "wire.h"

#include <string.h>

/* A long poll of the configuration; it also shows how fresh the view is. */
#define CONFIG_WAIT_MS 1500
/* Workers write themselves anew every 1.5 s each; between two reads their
   records gather. */
#define WORKERS_WAIT_MS 1500
#define WORKERS_GAP_MS 250
#define STATUS_WAIT_MS 5000
/* A change of owner wakes the call at once. */
#define OWNERS_WAIT_MS 1500
#define RETRY_MS 250

static void follow (struct follower *f);

static void
end_list (struct follower *f)
{
  f->has_list = true;
  g_clear_pointer (&f->after, g_free);
  if (f->on_list_end != NULL)
    f->on_list_end (f->node, f->listed);
  g_hash_table_remove_all (f->listed);
}

static void
take_list_page (struct follower *f, const struct store_page *page)
{
  /* Records written while the pages are read come again after this offset. */
  if (f->after == NULL)
    f->next = page->next;
  g_clear_pointer (&f->after, g_free);
  for (guint i = 0; i < page->records->len; i++)
    {
      const struct store_record *r = g_ptr_array_index (page->records, i);

      g_hash_table_add (f->listed, g_strdup (r->key));
      f->on_record (f->node, r->key, r->value);
      if (page->more && i + 1 == page->records->len)
        f->after = g_strdup (r->key);
    }
  if (f->after == NULL)
    end_list (f);
}

static void
on_page (void *data, const struct store_page *page)
{
  struct follower *f = data;
  int64_t now_ms = node_now_ms ();

  f->call_out = false;
  f->due_ms = now_ms + RETRY_MS;
  if (page->result == STORE_DONE)
    node_note_store (f->node, now_ms);
  if (page->result == STORE_TRIMMED)
    {
      event_log ("stream-trimmed", f->stream,
                 "from=%" G_GUINT64_FORMAT " outcome=list-again", f->next);
      f->has_list = false;
      f->due_ms = now_ms;
    }
  if (page->result != STORE_DONE || f->list_again)
    return;
  if (!f->has_list)
    {
      take_list_page (f, page);
      f->due_ms = now_ms;
      f->confirmed_ms = now_ms;
      return;
    }
  f->next = page->next;
  f->confirmed_ms = now_ms;
  for (guint i = 0; i < page->records->len; i++)
    {
      const struct store_record *r = g_ptr_array_index (page->records, i);

      f->on_record (f->node, r->key, r->value);
    }
  f->due_ms = now_ms + f->gap_ms;
}

static void
follow (struct follower *f)
{
  f->call_out = true;
  if (f->list_again)
    {
      f->list_again = false;
      g_clear_pointer (&f->after, g_free);
      g_hash_table_remove_all (f->listed);
    }
  if (f->has_list)
    store_read (f->node->store, f->stream, f->next, f->wait_ms, on_page, f);
  else
    store_newest (f->node->store, f->stream, f->after, on_page, f);
}

/* Configuration and waves. */

static void
take_routes (struct node *n, GBytes *value)
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
  owner_apply (n, node_now_ms ());
}

static void
on_operator_record (struct node *n, const char *key, GBytes *value)
{
  if (value == NULL)
    return;
  switch (wire_operator_key (key))
    {
    case OPERATOR_ROUTES:
      take_routes (n, value);
      break;
    case OPERATOR_WAVE:
      g_hash_table_replace (n->waves, g_strdup (key), g_bytes_ref (value));
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
    g_hash_table_add (n->waves_done, g_strdup (key));
}

/* Workers. */

static struct host *
host_of (struct node *n, const char *service)
{
  struct host *h = g_hash_table_lookup (n->hosts, service);

  return h != NULL && h->cell != NULL ? h : NULL;
}

static void
drop_worker (struct node *n, const char *id)
{
  const struct worker_entry *e = g_hash_table_lookup (n->workers, id);
  struct host *h;

  if (e == NULL)
    return;
  h = host_of (n, e->service);
  if (h != NULL)
    {
      cell_worker_unlisted (h->cell, id, node_now_ms ());
      node_run_soon (n, h);
    }
  g_hash_table_remove (n->workers, id);
}

static void
on_worker_record (struct node *n, const char *key, GBytes *value)
{
  gsize size = 0;
  const void *text = value != NULL ? g_bytes_get_data (value, &size) : NULL;
  struct worker_entry *e
      = value != NULL ? wire_read_worker (key, text, size) : NULL;
  const struct worker_entry *before = g_hash_table_lookup (n->workers, key);
  struct host *h;

  if (value != NULL && e == NULL)
    meters_add (n->meters, METER_WORKER_ENTRIES_MALFORMED, 1);
  if (e == NULL
      || (before != NULL && strcmp (before->service, e->service) != 0))
    drop_worker (n, key);
  if (e == NULL)
    return;
  h = host_of (n, e->service);
  if (h != NULL)
    {
      cell_worker_listed (h->cell, e, node_now_ms ());
      node_run_soon (n, h);
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
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (keys, id))
      g_ptr_array_add (gone, g_strdup (id));
  for (guint i = 0; i < gone->len; i++)
    drop_worker (n, g_ptr_array_index (gone, i));
  g_ptr_array_unref (gone);
}

static void
on_owner_record (struct node *n, const char *key, GBytes *value)
{
  gsize size;
  const char *text = value != NULL ? g_bytes_get_data (value, &size) : NULL;
  char *copy = text != NULL ? g_strndup (text, size) : NULL;

  if (copy != NULL)
    owner_note (n, key, copy);
  g_free (copy);
}

static void
on_owner_list_end (struct node *n, GHashTable *keys)
{
  owner_apply (n, node_now_ms ());
}

static void
follower_start (struct follower *f, struct node *n, const char *stream,
                int64_t wait_ms, int64_t gap_ms)
{
  f->node = n;
  f->stream = stream;
  f->wait_ms = wait_ms;
  f->gap_ms = gap_ms;
  f->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
directory_start (struct node *n)
{
  n->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      worker_entry_destroy);
  n->waves = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_bytes_unref);
  n->waves_done
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  follower_start (&n->config, n, STREAM_OPERATORS, CONFIG_WAIT_MS, 0);
  n->config.on_record = on_operator_record;
  follower_start (&n->worker_list, n, STREAM_WORKERS, WORKERS_WAIT_MS,
                  WORKERS_GAP_MS);
  n->worker_list.on_record = on_worker_record;
  n->worker_list.on_list_end = on_worker_list_end;
  follower_start (&n->status, n, STREAM_STATUS, STATUS_WAIT_MS, 0);
  n->status.on_record = on_status_record;
  follower_start (&n->owners, n, OWNERS_STREAM, OWNERS_WAIT_MS, 0);
  n->owners.on_record = on_owner_record;
  n->owners.on_list_end = on_owner_list_end;
}

static void
follower_tick (struct follower *f, int64_t now_ms)
{
  if (!f->call_out && now_ms >= f->due_ms)
    follow (f);
}

void
directory_tick (struct node *n, int64_t now_ms)
{
  follower_tick (&n->config, now_ms);
  follower_tick (&n->worker_list, now_ms);
  follower_tick (&n->owners, now_ms);
  /* Only whoever carries out waves needs to know which are completed. */
  if (n->fleet.epoch != 0)
    follower_tick (&n->status, now_ms);
}

void
directory_clear (struct node *n)
{
  struct follower *all[]
      = { &n->config, &n->worker_list, &n->status, &n->owners };

  for (gsize i = 0; i < G_N_ELEMENTS (all); i++)
    {
      g_hash_table_unref (all[i]->listed);
      g_free (all[i]->after);
    }
  g_hash_table_unref (n->workers);
  g_hash_table_unref (n->waves);
  g_hash_table_unref (n->waves_done);
}
