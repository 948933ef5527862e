#include "node_state.h"

#include "event_log.h"

#include <string.h>

/* The owner of each cell is recorded in the store and keeps the cell as long
   as it answers.  The nodes are members of a group of the store, which assigns
   the parts of a stream to its members.  Each cell belongs to a part, and the
   member that has the part watches the cell's owner and takes over if it
   fails.  A node becomes the owner by taking an epoch, which fences the
   previous owner. */

#define OWNER_GROUP "burdockshed"
/* Cores that the owner of a busy cell needs: a cell of 60 workers starts some
   1300 tasks a second in a burst, at 0.3 ms each.  A node with fewer cores is
   in the reserve: it owns a cell only while no other node does. */
#define OWNER_CORES_MIN 0.2
/* How long an owner has to be silent before a reserve node takes over: twice
   the time after which other nodes do. */
#define RESERVE_DELAY_MS 3500
/* The stream whose parts the group shares out. */
#define GROUP_STREAM "cells"
/* Time to live of a membership: a member that does not join again within it
   loses its parts. */
#define MEMBER_TTL_MS 1600
/* Interval between joins: three fit in the time to live, so one may be
   lost. */
#define JOIN_INTERVAL_MS 450
/* Delay after a failed join. */
#define RETRY_DELAY_MS 250
/* How long a new process takes no cells: when all nodes start at once, the
   first member is assigned every part until the others have joined. */
#define STARTUP_DELAY_MS 400
/* A node that owns more cells than this releases one to the member that has
   its part, once the membership has been stable for MEMBERSHIP_STABLE_MS. */
#define CELLS_TARGET 2
#define MEMBERSHIP_STABLE_MS 3000
/* An owner whose event loop has run fewer than LOOP_MIN_TICKS times in
   LOOP_WINDOW_MS is too slow for its cells: its processor is taken away, as
   one that is merely busy runs it ten times as often.  Callers of its cells
   would be timed out until a watching node gets no answer any more. */
#define LOOP_WINDOW_MS 1000
#define LOOP_MIN_TICKS 6
/* A tick after such an interval is late.  A single late one is a pause of the
   process, which is over. */
#define LATE_TICK_MS 100
#define LATE_TICKS_MIN 2
/* An owner of more workers is more likely busy than slow, and so would the
   next one be: it has to hold each worker within the length of a lease. */
#define HAND_OVER_MAX_WORKERS 400
/* How long such a node takes no cells, and at least how long it then keeps
   those that it takes: if all nodes are slow, cells must not go round. */
#define SLOW_LEAVE_MS 6000
#define SLOW_KEEP_MS 20000

bool
owner_is_reserve (const struct node *n)
{
  return n->settings->processor_share < OWNER_CORES_MIN;
}

bool
owner_may_take_over (const struct node *n, int64_t unheard_ms)
{
  return !owner_is_reserve (n) || unheard_ms > RESERVE_DELAY_MS;
}

static const char *
member_group (const struct node *n)
{
  return owner_is_reserve (n) ? RESERVE_GROUP : OWNER_GROUP;
}

/* Return the part that the cell of SERVICE belongs to, or -1 if the service is
   unknown.  The cells are spread evenly over the parts, as a member is
   assigned a run of adjacent parts. */
static int64_t
part_of_service (const struct node *n, const char *service)
{
  int64_t cells = n->routes->services->len + 1;
  int64_t index = strcmp (service, FLEET_SERVICE) == 0
                      ? cells - 1
                      : routes_find_service (n->routes, service);

  if (index < 0)
    return -1;
  return index * MAX ((int64_t)n->settings->stream_parts / cells, 1)
         % n->settings->stream_parts;
}

static bool
has_part (const struct node *n, int64_t part)
{
  for (guint i = 0; i < n->ownership.parts->len; i++)
    if (g_array_index (n->ownership.parts, uint32_t, i) == part)
      return true;
  return false;
}

const char *
owner_address (const struct node *n, const char *service)
{
  return g_hash_table_lookup (n->ownership.owners, service);
}

bool
owner_is_address (const char *owner)
{
  return owner != NULL && owner[0] != OWNER_RELEASED && owner[0] != OWNER_LOST;
}

void
owner_record (struct node *n, const char *service, const char *value)
{
  const char *before = owner_address (n, service);

  if (g_strcmp0 (before, value) != 0)
    event_log ("owner", service, "address=%s before=%s", value,
               before != NULL ? before : "none");
  g_hash_table_replace (n->ownership.owners, g_strdup (service),
                        g_strdup (value));
}

static void
update_host (struct node *n, const char *service, int64_t now_ms)
{
  struct cell_host *h = g_hash_table_lookup (n->hosts, service);
  bool is_next = has_part (n, part_of_service (n, service));

  if (h == NULL && is_next)
    {
      h = host_new (n, service, now_ms);
      g_hash_table_insert (n->hosts, h->service, h);
    }
  else if (h != NULL && h->phase == HOST_WATCHING && !is_next)
    g_hash_table_remove (n->hosts, service);
}

void
owner_update_hosts (struct node *n, int64_t now_ms)
{
  if (n->routes == NULL || n->is_stopping || !n->owner_follower.has_list
      || now_ms < n->started_ms + STARTUP_DELAY_MS)
    return;
  for (guint i = 0; i < n->routes->services->len; i++)
    update_host (n,
                 ((const struct service_entry *)g_ptr_array_index (
                      n->routes->services, i))
                     ->name,
                 now_ms);
  update_host (n, FLEET_SERVICE, now_ms);
}

static void
on_joined (void *data, const struct store_membership *m)
{
  struct node *n = data;
  struct owner_state *o = &n->ownership;
  int64_t now_ms = node_now_ms ();

  o->is_joining = false;
  o->next_join_ms = now_ms + RETRY_DELAY_MS;
  if (m->result != STORE_DONE || o->has_left)
    return;
  node_note_store_answer (n, now_ms);
  o->next_join_ms = now_ms + JOIN_INTERVAL_MS;
  g_array_set_size (o->parts, 0);
  g_array_append_vals (o->parts, m->parts->data, m->parts->len);
  if (m->generation != o->generation)
    {
      event_log ("membership", n->address,
                 "generation=%" G_GINT64_FORMAT " parts=%u", m->generation,
                 m->parts->len);
      o->generation = m->generation;
      o->generation_changed_ms = now_ms;
      /* Join again at once: it acknowledges the parts that were taken away. */
      o->next_join_ms = now_ms;
    }
  owner_update_hosts (n, now_ms);
}

void
owner_start (struct node *n)
{
  n->ownership.parts = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  n->ownership.owners
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->ownership.released_entries = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  n->ownership.sent_released
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  n->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, host_destroy);
}

/* Release HOST's cell, if this node owns it, and keep the entries that the
   next owner will ask for. */
static void
release_cell (struct node *n, struct cell_host *host)
{
  GPtrArray *records = host_release (host);

  if (records == NULL)
    return;
  g_hash_table_replace (n->ownership.released_entries,
                        g_strdup (host->service), records);
  g_hash_table_remove (n->ownership.sent_released, host->service);
}

/* Release one cell if this node owns more than CELLS_TARGET and one of them
   belongs to another member's part. */
static void
release_surplus_cell (struct node *n, int64_t now_ms)
{
  struct cell_host *surplus = NULL;
  guint active = 0;
  GHashTableIter iter;
  gpointer value;

  if (n->routes == NULL
      || now_ms < n->ownership.generation_changed_ms + MEMBERSHIP_STABLE_MS)
    return;
  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cell_host *h = value;

      if (h->phase != HOST_ACTIVE)
        continue;
      active++;
      if (!has_part (n, part_of_service (n, h->service)))
        surplus = h;
    }
  if (active <= CELLS_TARGET || surplus == NULL)
    return;
  event_log ("cell-shared", surplus->service, "cells=%u", active);
  /* The next release waits for MEMBERSHIP_STABLE_MS again. */
  n->ownership.generation_changed_ms = now_ms;
  release_cell (n, surplus);
  g_hash_table_remove (n->hosts, surplus->service);
}

void
owner_tick (struct node *n, int64_t now_ms)
{
  struct owner_state *o = &n->ownership;

  if (o->has_left && o->return_ms != 0 && now_ms >= o->return_ms
      && !n->is_stopping)
    {
      o->has_left = false;
      o->return_ms = 0;
      o->generation = 0;
    }
  if (!o->has_left)
    release_surplus_cell (n, now_ms);
  if (o->has_left || o->is_joining || now_ms < o->next_join_ms)
    return;
  o->is_joining = true;
  store_join (n->store, member_group (n), n->address, GROUP_STREAM,
              MAX (MEMBER_TTL_MS, n->settings->member_ttl_min_ms),
              o->generation, on_joined, n);
}

static void
on_left (void *data, const struct store_membership *m)
{
  struct node *n = data;

  event_log ("left-group", n->address, "result=%s",
             store_result_name (m->result));
}

void
owner_leave (struct node *n)
{
  GHashTableIter iter;
  gpointer value;

  if (n->ownership.has_left)
    return;
  n->ownership.has_left = true;
  g_array_set_size (n->ownership.parts, 0);
  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      release_cell (n, value);
      g_hash_table_iter_remove (&iter);
    }
  store_leave (n->store, member_group (n), n->address, on_left, n);
}

/* Return whether this node owns a cell, and none that would take its next
   owner longer to take over than leases last. */
static bool
may_hand_over (const struct node *n)
{
  bool owns_cell = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, n->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cell_host *h = value;
      struct cell_stats stats = { 0 };

      if (h->phase != HOST_ACTIVE)
        continue;
      owns_cell = true;
      if (h->cell != NULL)
        cell_get_stats (h->cell, &stats);
      if (stats.workers > HAND_OVER_MAX_WORKERS)
        return false;
    }
  return owns_cell;
}

void
owner_count_tick (struct node *n, int64_t now_ms)
{
  struct owner_state *o = &n->ownership;
  uint32_t ticks = ++o->window_ticks;
  uint32_t late_ticks;

  if (now_ms > n->last_tick_ms + LATE_TICK_MS)
    o->window_late_ticks++;
  if (now_ms < o->window_begin_ms + LOOP_WINDOW_MS)
    return;
  late_ticks = o->window_late_ticks;
  o->window_begin_ms = now_ms;
  o->window_ticks = 0;
  o->window_late_ticks = 0;
  if (late_ticks < LATE_TICKS_MIN || ticks >= LOOP_MIN_TICKS || o->has_left
      || now_ms < o->keep_until_ms || !may_hand_over (n))
    return;
  event_log ("owner-slow", n->address, "ticks=%u late=%u window_ms=%d", ticks,
             late_ticks, LOOP_WINDOW_MS);
  owner_leave (n);
  o->return_ms = now_ms + SLOW_LEAVE_MS;
  o->keep_until_ms = o->return_ms + SLOW_KEEP_MS;
}

void
owner_clear (struct node *n)
{
  g_hash_table_unref (n->hosts);
  g_array_unref (n->ownership.parts);
  g_hash_table_unref (n->ownership.owners);
  g_hash_table_unref (n->ownership.released_entries);
  g_hash_table_unref (n->ownership.sent_released);
}
