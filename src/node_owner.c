#include "node_state.h"

#include "event_log.h"

#include <string.h>

/* The store's group shares out the parts of a stream; each cell belongs to a
   part.  That only suggests who should own a cell: what makes an owner is the
   epoch that it takes, and that fences the one before. */

#define GROUP "burdockshed"
#define GROUP_STREAM "cells"
/* A member that is silent for so long loses its parts. */
#define MEMBER_TTL_MS 2500
/* Three joins within the time to live, one of which may be lost. */
#define JOIN_GAP_MS 800
#define RETRY_MS 300
/* The list of owners is read again at least so often. */
#define OWNERS_GAP_MS 3000

/* Return the part that the cell of SERVICE belongs to, or -1.  Neighbouring
   cells are kept apart, as parts are given out in runs. */
static int64_t
part_of (const struct node *n, const char *service)
{
  int64_t place;
  int64_t cells;

  if (n->routes == NULL)
    return -1;
  cells = n->routes->services->len + 1;
  place = service[0] == '\0' ? cells - 1
                             : routes_find_service (n->routes, service);
  if (place < 0)
    return -1;
  return place * MAX ((int64_t)n->settings->stream_parts / cells, 1)
         % n->settings->stream_parts;
}

static bool
has_part (const struct node *n, int64_t part)
{
  for (guint i = 0; i < n->owner.parts->len; i++)
    if (g_array_index (n->owner.parts, uint32_t, i) == part)
      return true;
  return false;
}

bool
owner_is_self (const struct node *n, const char *service)
{
  int64_t part = part_of (n, service);

  return part >= 0 && !n->owner.left && has_part (n, part);
}

const char *
owner_address (const struct node *n, const char *service)
{
  int64_t part = part_of (n, service);

  if (part < 0 || part >= (int64_t)n->owner.owners->len)
    return NULL;
  return g_ptr_array_index (n->owner.owners, part);
}

static void
drop_hosts (struct node *n)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct host *h = value;

      if (owner_is_self (n, h->service))
        continue;
      event_log ("cell-left", h->service,
                 "epoch=%" G_GUINT64_FORMAT " generation=%" G_GINT64_FORMAT,
                 h->epoch, n->owner.generation);
      g_hash_table_iter_remove (&iter);
    }
}

void
owner_apply (struct node *n, int64_t now_ms)
{
  drop_hosts (n);
  fleet_set_owned (n, owner_is_self (n, FLEET_SERVICE), n->owner.joined_ms);
  if (n->routes == NULL || n->stopping)
    return;
  for (guint i = 0; i < n->routes->services->len; i++)
    {
      const struct service_entry *s
          = g_ptr_array_index (n->routes->services, i);
      struct host *h = g_hash_table_lookup (n->hosts, s->name);

      if (!owner_is_self (n, s->name))
        continue;
      if (h == NULL)
        {
          h = host_new (n, s->name, now_ms);
          g_hash_table_insert (n->hosts, h->service, h);
        }
      h->confirmed_ms = MAX (h->confirmed_ms, n->owner.joined_ms);
    }
}

/* What a join's answer goes with. */
struct join_call
{
  struct node *node;
  int64_t sent_ms;
};

static void
on_joined (void *data, const struct store_membership *m)
{
  struct join_call *call = data;
  struct node *n = call->node;
  struct owner_state *o = &n->owner;
  int64_t now_ms = node_now_ms ();

  o->call_out = false;
  o->due_ms = now_ms + RETRY_MS;
  if (m->result == STORE_DONE && !o->left)
    {
      n->store_heard_ms = now_ms;
      o->joined_ms = call->sent_ms;
      o->due_ms = now_ms + JOIN_GAP_MS;
      g_array_set_size (o->parts, 0);
      for (guint i = 0; i < m->parts->len; i++)
        g_array_append_val (
            o->parts, g_array_index (m->parts, struct store_part, i).part);
      if (m->generation != o->generation)
        {
          event_log ("membership", n->address,
                     "generation=%" G_GINT64_FORMAT " parts=%u",
                     m->generation, m->parts->len);
          o->generation = m->generation;
          o->owners_due_ms = now_ms;
          /* Acknowledge what has been taken away. */
          o->due_ms = now_ms;
        }
      owner_apply (n, now_ms);
    }
  g_free (call);
}

static void
join (struct node *n, int64_t now_ms)
{
  struct join_call *call = g_new0 (struct join_call, 1);

  call->node = n;
  call->sent_ms = now_ms;
  n->owner.call_out = true;
  store_join (n->store, GROUP, n->address, GROUP_STREAM,
              MAX (MEMBER_TTL_MS, n->settings->member_ttl_min_ms),
              n->owner.generation, on_joined, call);
}

static void
on_owners (void *data, const struct store_membership *m)
{
  struct node *n = data;
  struct owner_state *o = &n->owner;
  int64_t now_ms = node_now_ms ();

  o->owners_out = false;
  o->owners_due_ms = now_ms + RETRY_MS;
  if (m->result != STORE_DONE)
    return;
  n->store_heard_ms = now_ms;
  o->owners_due_ms = now_ms + OWNERS_GAP_MS;
  o->owners_known = true;
  for (guint i = 0; i < o->owners->len; i++)
    g_clear_pointer (&o->owners->pdata[i], g_free);
  for (guint i = 0; i < m->parts->len; i++)
    {
      const struct store_part *p
          = &g_array_index (m->parts, struct store_part, i);

      if (p->part < o->owners->len)
        {
          g_free (o->owners->pdata[p->part]);
          o->owners->pdata[p->part] = g_strdup (p->member);
        }
    }
}

void
owner_refresh (struct node *n, int64_t now_ms)
{
  n->owner.owners_due_ms = MIN (n->owner.owners_due_ms, now_ms + 50);
}

void
owner_start (struct node *n)
{
  n->owner.parts = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  n->owner.owners = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_set_size (n->owner.owners, (gint)n->settings->stream_parts);
  n->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    host_destroy);
}

void
owner_tick (struct node *n, int64_t now_ms)
{
  struct owner_state *o = &n->owner;

  if (!o->left && !o->call_out && now_ms >= o->due_ms)
    join (n, now_ms);
  if (!o->owners_out && now_ms >= o->owners_due_ms)
    {
      o->owners_out = true;
      store_owners (n->store, GROUP, on_owners, n);
    }
}

static void
on_left (void *data, const struct store_membership *m)
{
  struct node *n = data;

  owner_refresh (n, node_now_ms ());
}

void
owner_leave (struct node *n)
{
  if (n->owner.left)
    return;
  n->owner.left = true;
  g_array_set_size (n->owner.parts, 0);
  owner_apply (n, node_now_ms ());
  store_leave (n->store, GROUP, n->address, on_left, n);
}
