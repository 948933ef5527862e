#include "routes.h"

#include <string.h>

static void
queue_destroy (gpointer p)
{
  struct queue_route *q = p;

  g_free (q->name);
  g_free (q->host);
  g_free (q->path_prefix);
  g_free (q->service);
  g_free (q);
}

static void
service_destroy (gpointer p)
{
  struct service_entry *s = p;

  g_free (s->name);
  g_free (s);
}

struct routes *
routes_new (void)
{
  struct routes *r = g_new0 (struct routes, 1);

  r->queues = g_ptr_array_new_with_free_func (queue_destroy);
  r->services = g_ptr_array_new_with_free_func (service_destroy);
  return r;
}

void
routes_destroy (struct routes *routes)
{
  if (routes == NULL)
    return;
  g_ptr_array_unref (routes->queues);
  g_ptr_array_unref (routes->services);
  accounts_destroy (routes->accounts);
  g_free (routes);
}

struct queue_route *
routes_add_queue (struct routes *routes)
{
  struct queue_route *q = g_new0 (struct queue_route, 1);

  g_ptr_array_add (routes->queues, q);
  return q;
}

struct service_entry *
routes_add_service (struct routes *routes)
{
  struct service_entry *s = g_new0 (struct service_entry, 1);

  g_ptr_array_add (routes->services, s);
  return s;
}

static gint
compare_services (gconstpointer a, gconstpointer b)
{
  const struct service_entry *first = *(struct service_entry *const *)a;
  const struct service_entry *second = *(struct service_entry *const *)b;

  return strcmp (first->name, second->name);
}

void
routes_sort_services (struct routes *routes)
{
  g_ptr_array_sort (routes->services, compare_services);
}

const struct queue_route *
routes_find_queue (const struct routes *routes, const char *host,
                   const char *path)
{
  gsize host_length = strcspn (host, ":");
  const struct queue_route *best = NULL;
  gsize best_length = 0;

  for (guint i = 0; i < routes->queues->len; i++)
    {
      const struct queue_route *q = g_ptr_array_index (routes->queues, i);
      gsize length = strlen (q->path_prefix);

      if (strlen (q->host) == host_length
          && g_ascii_strncasecmp (q->host, host, host_length) == 0
          && strncmp (path, q->path_prefix, length) == 0
          && (best == NULL || length > best_length))
        {
          best = q;
          best_length = length;
        }
    }
  return best;
}

const struct queue_route *
routes_queue_by_name (const struct routes *routes, const char *name)
{
  for (guint i = 0; i < routes->queues->len; i++)
    {
      const struct queue_route *q = g_ptr_array_index (routes->queues, i);

      if (strcmp (q->name, name) == 0)
        return q;
    }
  return NULL;
}

int
routes_find_service (const struct routes *routes, const char *name)
{
  for (guint i = 0; i < routes->services->len; i++)
    {
      const struct service_entry *s = g_ptr_array_index (routes->services, i);

      if (strcmp (s->name, name) == 0)
        return (int)i;
    }
  return -1;
}
