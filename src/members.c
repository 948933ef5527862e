#include "members.h"

#include "rendezvous.h"

#include <string.h>

struct members
{
  char *self;
  char *zone;
  uint64_t incarnation;
  bool stopping;
  GPtrArray *others;  /* struct member * */
  GHashTable *owners; /* pool -> its owner; a cache that is cleared when the
                         set of possible owners changes */
};

static void
member_free (gpointer p)
{
  struct member *m = p;

  g_free (m->node);
  g_free (m->zone);
  g_strfreev (m->leaving);
  g_strfreev (m->busy);
  g_clear_pointer (&m->loads, g_array_unref);
  g_free (m);
}

struct members *
members_new (const char *self, const char *zone, uint64_t incarnation)
{
  struct members *m = g_new0 (struct members, 1);

  m->self = g_strdup (self);
  m->zone = g_strdup (zone);
  m->incarnation = incarnation;
  m->others = g_ptr_array_new_with_free_func (member_free);
  m->owners = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return m;
}

void
members_destroy (struct members *members)
{
  if (members == NULL)
    return;
  g_hash_table_unref (members->owners);
  g_ptr_array_unref (members->others);
  g_free (members->self);
  g_free (members->zone);
  g_free (members);
}

static struct member *
find_member (const struct members *members, const char *node)
{
  for (guint i = 0; i < members->others->len; i++)
    {
      struct member *m = g_ptr_array_index (members->others, i);

      if (strcmp (m->node, node) == 0)
        return m;
    }
  return NULL;
}

/* Return the stamp of this node that H, received at NOW_MS, echoes; -1 for
   none.  A stamp later than NOW_MS is ignored. */
static int64_t
find_echo (const struct members *members, const struct peer_heartbeat *h,
           int64_t now_ms)
{
  for (guint i = 0; h->echoes != NULL && i < h->echoes->len; i++)
    {
      const struct peer_echo *e
          = &g_array_index (h->echoes, struct peer_echo, i);

      if (e->incarnation == members->incarnation && e->stamp_ms <= now_ms
          && strcmp (e->node, members->self) == 0)
        return e->stamp_ms;
    }
  return -1;
}

/* Copy the content of heartbeat H to its sender M. */
static void
store_heartbeat (const struct members *members, struct member *m,
                 const struct peer_heartbeat *h)
{
  g_free (m->zone);
  m->zone = g_strdup (h->zone);
  m->offset = h->offset;
  m->config_version = h->config_version;
  m->view_age_ms = h->view_age_ms;
  m->stopping = h->stopping;
  m->stamp_ms = h->stamp_ms;
  /* A heartbeat without an echo doesn't revoke an earlier one: when it sent
     that, the member had applied no more than now. */
  m->confirmed_ms
      = MAX (m->confirmed_ms, find_echo (members, h, m->last_heartbeat_ms));
  m->list_age_ms = h->list_age_ms;
  g_strfreev (m->leaving);
  m->leaving = g_strdupv (h->leaving);
  g_strfreev (m->busy);
  m->busy = g_strdupv (h->busy);
  g_clear_pointer (&m->loads, g_array_unref);
  if (h->loads != NULL)
    m->loads = g_array_ref (h->loads);
}

bool
members_handle_heartbeat (struct members *members,
                          const struct peer_message *message, int64_t now_ms)
{
  const struct peer_heartbeat *h = &message->u.heartbeat;
  struct member *m = find_member (members, message->from);
  bool changed;

  if (strcmp (message->from, members->self) == 0)
    return false;
  if (m == NULL)
    {
      m = g_new0 (struct member, 1);
      m->node = g_strdup (message->from);
      g_ptr_array_add (members->others, m);
    }
  if (message->incarnation < m->incarnation)
    return false;
  changed = !m->alive || m->incarnation != message->incarnation
            || m->stopping != h->stopping;
  if (m->incarnation != message->incarnation)
    m->confirmed_ms = -1;
  m->incarnation = message->incarnation;
  m->last_heartbeat_ms = now_ms;
  m->silence_began_ms = now_ms;
  m->alive = true;
  store_heartbeat (members, m, h);
  if (changed)
    g_hash_table_remove_all (members->owners);
  return changed;
}

/* Return TIME_MS scaled up in proportion to the number of nodes above
   MEMBERS_FULL_RATE_NODES. */
static int64_t
scale_interval (const struct members *members, int64_t time_ms)
{
  int64_t n = members_alive_count (members);

  return time_ms * MAX (n, MEMBERS_FULL_RATE_NODES) / MEMBERS_FULL_RATE_NODES;
}

int64_t
members_heartbeat_ms (const struct members *members)
{
  return scale_interval (members, MEMBERS_HEARTBEAT_MS);
}

int64_t
members_suspect_ms (const struct members *members)
{
  return scale_interval (members, MEMBERS_SUSPECT_MS);
}

bool
members_expire (struct members *members, int64_t now_ms)
{
  int64_t suspect_ms = members_suspect_ms (members);
  bool changed = false;

  for (guint i = 0; i < members->others->len; i++)
    {
      struct member *m = g_ptr_array_index (members->others, i);

      if (!m->alive || now_ms - m->silence_began_ms < suspect_ms)
        continue;
      m->alive = false;
      changed = true;
    }
  if (changed)
    g_hash_table_remove_all (members->owners);
  return changed;
}

void
members_resumed (struct members *members, int64_t now_ms)
{
  for (guint i = 0; i < members->others->len; i++)
    {
      struct member *m = g_ptr_array_index (members->others, i);

      m->silence_began_ms = now_ms;
    }
}

static const char *
find_owner (const struct members *members, const char *pool)
{
  const char *best = members->self;
  uint64_t best_hash
      = members->stopping ? 0 : rendezvous_hash (members->self, pool);

  for (guint i = 0; i < members->others->len; i++)
    {
      const struct member *m = g_ptr_array_index (members->others, i);
      uint64_t s;

      if (!m->alive || m->stopping)
        continue;
      s = rendezvous_hash (m->node, pool);
      if (s > best_hash)
        {
          best = m->node;
          best_hash = s;
        }
    }
  return best;
}

const char *
members_owner (const struct members *members, const char *pool)
{
  const char *owner = g_hash_table_lookup (members->owners, pool);

  if (owner != NULL)
    return owner;
  owner = find_owner (members, pool);
  g_hash_table_insert (members->owners, g_strdup (pool), (char *)owner);
  return owner;
}

/* Return whether M's view of the log is current enough for a planner at
   NOW_MS. */
static bool
has_current_view (const struct member *m, int64_t now_ms)
{
  return m->view_age_ms + now_ms - m->last_heartbeat_ms
         <= MEMBERS_PLANNER_VIEW_MS;
}

const char *
members_planner (const struct members *members, const char *name,
                 int64_t now_ms)
{
  const char *best = members->self;
  uint64_t best_hash
      = members->stopping ? 0 : rendezvous_hash (members->self, name);

  for (guint i = 0; i < members->others->len; i++)
    {
      const struct member *m = g_ptr_array_index (members->others, i);

      if (!m->alive || m->stopping || !has_current_view (m, now_ms)
          || rendezvous_hash (m->node, name) <= best_hash)
        continue;
      best = m->node;
      best_hash = rendezvous_hash (m->node, name);
    }
  return best;
}

bool
members_is_alive (const struct members *members, const char *node,
                  uint64_t incarnation)
{
  const struct member *m;

  if (strcmp (node, members->self) == 0)
    return incarnation == members->incarnation;
  m = find_member (members, node);
  return m != NULL && m->alive && m->incarnation == incarnation;
}

void
members_set_stopping (struct members *members, bool stopping)
{
  members->stopping = stopping;
  g_hash_table_remove_all (members->owners);
}

const struct member *
members_find (const struct members *members, const char *node)
{
  return find_member (members, node);
}

GArray *
members_echo (const struct member *member)
{
  GArray *echoes = peer_echoes_new ();
  struct peer_echo e
      = { g_strdup (member->node), member->incarnation, member->stamp_ms };

  g_array_append_val (echoes, e);
  return echoes;
}

const GPtrArray *
members_others (const struct members *members)
{
  return members->others;
}

uint32_t
members_alive_count (const struct members *members)
{
  uint32_t n = 1;

  for (guint i = 0; i < members->others->len; i++)
    n += ((const struct member *)g_ptr_array_index (members->others, i))
             ->alive;
  return n;
}
