#include "standin.h"

#include <string.h>

#define MAX_BATCH_READ 2000

struct entry
{
  uint64_t offset;
  int64_t at_ms;
  char *data;
};

/* A reader that waits for the next record. */
struct reader
{
  SoupServerMessage *message;
  uint64_t after;
  GSource *timer;
  struct standin *standin;
};

struct log_store
{
  GQueue *entries; /* struct entry *, oldest first */
  uint64_t head;
  GPtrArray *readers; /* struct reader * */
  int64_t second;     /* the second that is being counted */
  int64_t appends;    /* in it */
  uint64_t total_appends;
};

static void
entry_free (gpointer p)
{
  struct entry *e = p;

  g_free (e->data);
  g_free (e);
}

static void
reader_free (gpointer p)
{
  struct reader *r = p;

  g_source_destroy (r->timer);
  g_source_unref (r->timer);
  g_object_unref (r->message);
  g_free (r);
}

struct log_store *
log_store_new (void)
{
  struct log_store *l = g_new0 (struct log_store, 1);

  l->entries = g_queue_new ();
  l->readers = g_ptr_array_new_with_free_func (reader_free);
  return l;
}

void
log_store_destroy (struct log_store *store)
{
  g_queue_free_full (store->entries, entry_free);
  g_ptr_array_unref (store->readers);
  g_free (store);
}

/* Reading. */

static uint64_t
first_offset (const struct log_store *l)
{
  const struct entry *e = g_queue_peek_head (l->entries);

  return e == NULL ? l->head + 1 : e->offset;
}

static void
put_entry (JsonBuilder *b, const struct entry *e)
{
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "offset");
  json_builder_add_int_value (b, (gint64)e->offset);
  json_builder_set_member_name (b, "at_ms");
  json_builder_add_int_value (b, e->at_ms);
  json_builder_set_member_name (b, "data");
  json_builder_add_string_value (b, e->data);
  json_builder_end_object (b);
}

/* The oldest entry behind AFTER, found from the end: readers are near it. */
static GList *
find_after (const struct log_store *l, uint64_t after)
{
  GList *found = NULL;

  for (GList *i = l->entries->tail; i != NULL; i = i->prev)
    {
      if (((struct entry *)i->data)->offset <= after)
        break;
      found = i;
    }
  return found;
}

static void
answer_read (const struct log_store *l, SoupServerMessage *message,
             uint64_t after)
{
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;
  int n = 0;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "first");
  json_builder_add_int_value (b, (gint64)first_offset (l));
  json_builder_set_member_name (b, "head");
  json_builder_add_int_value (b, (gint64)l->head);
  json_builder_set_member_name (b, "records");
  json_builder_begin_array (b);
  for (GList *i = find_after (l, after); i != NULL && n < MAX_BATCH_READ;
       i = i->next, n++)
    put_entry (b, i->data);
  json_builder_end_array (b);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  answer_text (message, 200, text);
  g_free (text);
  json_node_unref (root);
  g_object_unref (b);
}

static void
end_reader (struct standin *s, struct reader *r)
{
  if (s->faults.log_down)
    answer_text (r->message, 503, "{}");
  else
    answer_read (s->log, r->message, r->after);
  soup_server_message_unpause (r->message);
  g_ptr_array_remove (s->log->readers, r);
}

void
log_store_wake (struct standin *s)
{
  while (s->log->readers->len > 0)
    end_reader (s, g_ptr_array_index (s->log->readers, 0));
}

static gboolean
on_reader_timer (gpointer data)
{
  struct reader *r = data;

  end_reader (r->standin, r);
  return G_SOURCE_REMOVE;
}

static void
wait_for_record (struct standin *s, SoupServerMessage *message, uint64_t after,
                 int64_t wait_ms)
{
  struct reader *r = g_new0 (struct reader, 1);

  r->standin = s;
  r->after = after;
  r->message = g_object_ref (message);
  r->timer = g_timeout_source_new ((guint)wait_ms);
  g_source_set_callback (r->timer, on_reader_timer, r, NULL);
  g_source_attach (r->timer, NULL);
  g_ptr_array_add (s->log->readers, r);
  soup_server_message_pause (message);
}

static int64_t
number (GHashTable *query, const char *name)
{
  const char *text = query == NULL ? NULL : g_hash_table_lookup (query, name);

  return text == NULL ? 0 : g_ascii_strtoll (text, NULL, 10);
}

static void
handle_read (struct standin *s, SoupServerMessage *message, GHashTable *query)
{
  uint64_t after = (uint64_t)number (query, "after");
  int64_t wait_ms = number (query, "wait_ms");

  if (s->log->head > after || wait_ms <= 0)
    answer_read (s->log, message, after);
  else
    wait_for_record (s, message, after, MIN (wait_ms, 30000));
}

/* Appending. */

static bool
within_rate (struct standin *s)
{
  struct log_store *l = s->log;
  int64_t second = standin_now_ms () / 1000;

  if (second != l->second)
    l->appends = 0;
  l->second = second;
  l->appends++;
  return s->faults.log_rate == 0 || l->appends <= s->faults.log_rate;
}

static void
write_records (struct standin *s, JsonArray *records)
{
  struct log_store *l = s->log;
  int64_t at_ms = g_get_real_time () / 1000;

  for (guint i = 0; i < json_array_get_length (records); i++)
    {
      struct entry *e = g_new0 (struct entry, 1);

      e->offset = ++l->head;
      e->at_ms = at_ms;
      e->data = g_strdup (json_array_get_string_element (records, i));
      g_queue_push_tail (l->entries, e);
    }
  while (s->faults.log_retention > 0
         && g_queue_get_length (l->entries) > s->faults.log_retention)
    entry_free (g_queue_pop_head (l->entries));
  l->total_appends++;
}

struct delayed
{
  struct standin *standin;
  SoupServerMessage *message;
  JsonNode *root;
};

static void
append_now (struct standin *s, SoupServerMessage *message, JsonNode *root)
{
  if (s->faults.log_write_lost)
    {
      break_connection (message);
      return;
    }
  write_records (s, json_object_get_array_member (json_node_get_object (root),
                                                  "records"));
  if (s->faults.log_reply_lost)
    break_connection (message);
  else
    answer_text (message, 200, "{}");
  log_store_wake (s);
}

static gboolean
on_delay (gpointer data)
{
  struct delayed *d = data;

  append_now (d->standin, d->message, d->root);
  soup_server_message_unpause (d->message);
  g_object_unref (d->message);
  json_node_unref (d->root);
  g_free (d);
  return G_SOURCE_REMOVE;
}

static void
append_later (struct standin *s, SoupServerMessage *message, JsonNode *root)
{
  struct delayed *d = g_new0 (struct delayed, 1);

  d->standin = s;
  d->message = g_object_ref (message);
  d->root = json_node_ref (root);
  soup_server_message_pause (message);
  g_timeout_add ((guint)s->faults.log_delay_ms, on_delay, d);
}

static void
handle_append (struct standin *s, SoupServerMessage *message)
{
  JsonNode *root = body_json (message);

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root)
      || !json_object_has_member (json_node_get_object (root), "records"))
    answer_text (message, 400, "{}");
  else if (!within_rate (s))
    answer_text (message, 429, "{}");
  else if (s->faults.log_delay_ms > 0)
    append_later (s, message, root);
  else
    append_now (s, message, root);
  if (root != NULL)
    json_node_unref (root);
}

void
log_store_handle (struct standin *s, SoupServerMessage *message,
                  GHashTable *query)
{
  if (s->faults.log_down)
    answer_text (message, 503, "{}");
  else if (strcmp (soup_server_message_get_method (message), "POST") == 0)
    handle_append (s, message);
  else
    handle_read (s, message, query);
}
