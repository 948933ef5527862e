#include "node_state.h"

#include "event_log.h"

#include <string.h>

/* Who owns a cell is written in the store, and an owner stays one as long as
   it answers.  The store's group shares out the parts of a stream; each cell
   belongs to a part, and the member that has the part watches the owner and
   follows it when it is gone.  What makes an owner is the epoch that it takes,
   which fences the one before. */

#define GROUP "burdockshed"
#define RESERVE_GROUP "burdockshed-reserve"
/* Cores that the owner of a busy cell needs: one of 60 workers starts some
   1300 tasks a second in its burst, at 0.3 ms each.  A node with less is in
   the reserve: it owns a cell only while no other does. */
#define OWNER_SHARE_MIN 0.2
/* The reserve leaves others so long to follow an owner: twice the time after
   which they do. */
#define RESERVE_PATIENCE_MS 3500
#define GROUP_STREAM "cells"
/* A member that is silent for so long loses its parts. */
#define MEMBER_TTL_MS 1600
/* Three joins within the time to live, one of which may be lost. */
#define JOIN_GAP_MS 450
#define RETRY_MS 250
/* A process claims nothing when it is younger: where all start at once, the
   first to join would be given every part. */
#define SETTLE_MS 400
/* A node with more cells gives one up to the member that has its part, once
   the members have not changed for a while. */
#define CELLS_WANTED 2
#define STABLE_MS 3000

bool
owner_is_reserve (const struct node *n)
{
  return n->settings->processor_share < OWNER_SHARE_MIN;
}

bool
owner_may_follow (const struct node *n, int64_t unheard_ms)
{
  return !owner_is_reserve (n) || unheard_ms > RESERVE_PATIENCE_MS;
}

static const char *
group_of (const struct node *n)
{
  return owner_is_reserve (n) ? RESERVE_GROUP : GROUP;
}

/* Return the part that the cell of SERVICE belongs to, or -1.  Neighbouring
   cells are kept apart, as parts are given out in runs. */
static int64_t
part_of (const struct node *n, const char *service)
{
  int64_t cells = n->routes->services->len + 1;
  int64_t place = strcmp (service, FLEET_SERVICE) == 0
                      ? cells - 1
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

const char *
owner_address (const struct node *n, const char *service)
{
  return g_hash_table_lookup (n->owner.owners, service);
}

void
owner_note (struct node *n, const char *service, const char *value)
{
  const char *before = owner_address (n, service);

  if (g_strcmp0 (before, value) != 0)
    event_log ("owner", service, "address=%s before=%s", value,
               before != NULL ? before : "none");
  g_hash_table_replace (n->owner.owners, g_strdup (service), g_strdup (value));
}

static void
apply_to (struct node *n, const char *service, int64_t now_ms)
{
  struct host *h = g_hash_table_lookup (n->hosts, service);
  bool is_next = has_part (n, part_of (n, service));

  if (h == NULL && is_next)
    {
      h = host_new (n, service, now_ms);
      g_hash_table_insert (n->hosts, h->service, h);
    }
  else if (h != NULL && h->phase == HOST_WATCHING && !is_next)
    g_hash_table_remove (n->hosts, service);
}

void
owner_apply (struct node *n, int64_t now_ms)
{
  if (n->routes == NULL || n->stopping || !n->owners.has_list
      || now_ms < n->started_ms + SETTLE_MS)
    return;
  for (guint i = 0; i < n->routes->services->len; i++)
    apply_to (n,
              ((const struct service_entry *)g_ptr_array_index (
                   n->routes->services, i))
                  ->name,
              now_ms);
  apply_to (n, FLEET_SERVICE, now_ms);
}

static void
on_joined (void *data, const struct store_membership *m)
{
  struct node *n = data;
  struct owner_state *o = &n->owner;
  int64_t now_ms = node_now_ms ();

  o->call_out = false;
  o->due_ms = now_ms + RETRY_MS;
  if (m->result != STORE_DONE || o->left)
    return;
  node_note_store (n, now_ms);
  o->due_ms = now_ms + JOIN_GAP_MS;
  g_array_set_size (o->parts, 0);
  g_array_append_vals (o->parts, m->parts->data, m->parts->len);
  if (m->generation != o->generation)
    {
      event_log ("membership", n->address,
                 "generation=%" G_GINT64_FORMAT " parts=%u", m->generation,
                 m->parts->len);
      o->generation = m->generation;
      o->changed_ms = now_ms;
      /* Acknowledge what has been taken away. */
      o->due_ms = now_ms;
    }
  owner_apply (n, now_ms);
}

void
owner_start (struct node *n)
{
  n->owner.parts = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  n->owner.owners
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->owner.released = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  n->owner.given
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  n->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_destroy);
}

/* Give HOST's cell up, and keep what its next owner will ask for. */
static void
release (struct node *n, struct host *host)
{
  GPtrArray *records = host_release (host);

  if (records == NULL)
    return;
  g_hash_table_replace (n->owner.released, g_strdup (host->service), records);
  g_hash_table_remove (n->owner.given, host->service);
}

/* Give one cell up if this node has many, and another member is to have it. */
static void
share_cells (struct node *n, int64_t now_ms)
{
  struct host *surplus = NULL;
  guint active = 0;
  GHashTableIter iter;
  gpointer value;

  if (n->routes == NULL || now_ms < n->owner.changed_ms + STABLE_MS)
    return;
  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct host *h = value;

      if (h->phase != HOST_ACTIVE)
        continue;
      active++;
      if (!has_part (n, part_of (n, h->service)))
        surplus = h;
    }
  if (active <= CELLS_WANTED || surplus == NULL)
    return;
  event_log ("cell-shared", surplus->service, "cells=%u", active);
  n->owner.changed_ms = now_ms;
  release (n, surplus);
  g_hash_table_remove (n->hosts, surplus->service);
}

void
owner_tick (struct node *n, int64_t now_ms)
{
  struct owner_state *o = &n->owner;

  if (!o->left)
    share_cells (n, now_ms);
  if (o->left || o->call_out || now_ms < o->due_ms)
    return;
  o->call_out = true;
  store_join (n->store, group_of (n), n->address, GROUP_STREAM,
              MAX (MEMBER_TTL_MS, n->settings->member_ttl_min_ms),
              o->generation, on_joined, n);
}

static void
on_left (void *data, const struct store_membership *m)
{
  struct node *n = data;

  event_log ("left-group", n->address, "result=%d", (int)m->result);
}

void
owner_leave (struct node *n)
{
  GHashTableIter iter;
  gpointer value;

  if (n->owner.left)
    return;
  n->owner.left = true;
  g_array_set_size (n->owner.parts, 0);
  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      release (n, value);
      g_hash_table_iter_remove (&iter);
    }
  store_leave (n->store, group_of (n), n->address, on_left, n);
}

void
owner_clear (struct node *n)
{
  g_hash_table_unref (n->hosts);
  g_array_unref (n->owner.parts);
  g_hash_table_unref (n->owner.owners);
  g_hash_table_unref (n->owner.released);
  g_hash_table_unref (n->owner.given);
}
