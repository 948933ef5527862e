#include "queue_homes.h"

#include "variant_bytes.h"

#include <string.h>

#define KEY_PREFIX "home:"
/* A home's record: its queue, service and name. */
#define HOME_TYPE "(sss)"

struct queue_home
{
  char *queue;
  char *service;
  char *name;
};

struct queue_homes
{
  GHashTable *by_key; /* record's key to struct queue_home * */
};

static void
home_destroy (gpointer p)
{
  struct queue_home *h = p;

  g_free (h->queue);
  g_free (h->service);
  g_free (h->name);
  g_free (h);
}

struct queue_homes *
queue_homes_new (void)
{
  struct queue_homes *homes = g_new0 (struct queue_homes, 1);

  homes->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, home_destroy);
  return homes;
}

void
queue_homes_destroy (struct queue_homes *homes)
{
  if (homes == NULL)
    return;
  g_hash_table_unref (homes->by_key);
  g_free (homes);
}

char *
queue_homes_text (const struct queue_route *q)
{
  /* Hosts are compared without regard to case. */
  char *host = g_ascii_strdown (q->host, -1);
  char *text = g_strconcat (host, q->path_prefix, NULL);

  g_free (host);
  return text;
}

static GVariant *
home_variant (const struct queue_route *q)
{
  char *queue = queue_homes_text (q);
  GVariant *v = g_variant_new (HOME_TYPE, queue, q->service, q->name);

  g_free (queue);
  return v;
}

/* Keys are limited to 255 bytes, which a host and a path may exceed. */
static char *
home_key (GBytes *value)
{
  char *digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, value);
  char *key = g_strconcat (KEY_PREFIX, digest, NULL);

  g_free (digest);
  return key;
}

struct journal_entry *
queue_home_entry (const struct queue_route *q)
{
  GBytes *value = variant_to_bytes (home_variant (q));
  char *key = home_key (value);
  struct journal_entry *e = journal_entry_new (key, value);

  g_free (key);
  g_bytes_unref (value);
  return e;
}

bool
queue_homes_has_key (const char *key)
{
  return g_str_has_prefix (key, KEY_PREFIX);
}

void
queue_homes_load (struct queue_homes *homes, const char *key, GBytes *value)
{
  GVariant *v = variant_from_bytes (value, HOME_TYPE);
  struct queue_home *h;

  if (v == NULL)
    return;
  h = g_new0 (struct queue_home, 1);
  g_variant_get (v, HOME_TYPE, &h->queue, &h->service, &h->name);
  g_hash_table_replace (homes->by_key, g_strdup (key), h);
  g_variant_unref (v);
}

bool
queue_homes_contains (const struct queue_homes *homes,
                      const struct queue_route *q)
{
  struct journal_entry *e = queue_home_entry (q);
  bool is_known = g_hash_table_contains (homes->by_key, e->key);

  journal_entry_free (e);
  return is_known;
}

static bool
has_string (const GPtrArray *strings, const char *string)
{
  for (guint i = 0; i < strings->len; i++)
    if (strcmp (g_ptr_array_index (strings, i), string) == 0)
      return true;
  return false;
}

GPtrArray *
queue_homes_former_services (const struct queue_homes *homes,
                             const struct queue_route *q)
{
  GPtrArray *services = g_ptr_array_new ();
  char *queue = queue_homes_text (q);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, homes->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct queue_home *h = value;

      if (strcmp (h->queue, queue) == 0 && strcmp (h->service, q->service) != 0
          && !has_string (services, h->service))
        g_ptr_array_add (services, h->service);
    }
  g_free (queue);
  return services;
}

GPtrArray *
queue_homes_names (const struct queue_homes *homes, const char *queue,
                   const char *service)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, homes->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct queue_home *h = value;

      if (strcmp (h->queue, queue) == 0 && strcmp (h->service, service) == 0)
        g_ptr_array_add (names, h->name);
    }
  return names;
}
