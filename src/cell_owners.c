#include "cell_state.h"

#include <string.h>

/* The owners before this one, whose leases may still last.  Each owner
   journals itself by the append that fences its predecessors, so the journal
   names every owner that may have started or extended a run.  Its record is
   dropped by a successor once the leases that it may have given have expired.
 */

#define OWNER_KEY_PREFIX "o:"
/* Interval between two calls to an earlier owner that has not answered. */
#define CALL_INTERVAL_MS 500

/* An earlier owner. */
struct earlier_owner
{
  uint64_t epoch;
  char *address; /* "" if the journal does not tell */
  bool has_stopped;
  bool is_call_pending;
  int64_t next_call_ms;
  int64_t leases_until_ms; /* its leases have expired by then */
};

static void
earlier_owner_free (gpointer p)
{
  struct earlier_owner *o = p;

  g_free (o->address);
  g_free (o);
}

GPtrArray *
cell_owners_new (void)
{
  return g_ptr_array_new_with_free_func (earlier_owner_free);
}

static char *
owner_key (uint64_t epoch)
{
  return g_strdup_printf (OWNER_KEY_PREFIX "%" G_GUINT64_FORMAT, epoch);
}

struct journal_entry *
cell_owner_entry (uint64_t epoch, const char *address)
{
  char *key = owner_key (epoch);
  GBytes *value = g_bytes_new (address, strlen (address));
  struct journal_entry *e = journal_entry_new (key, value);

  g_bytes_unref (value);
  g_free (key);
  return e;
}

static uint64_t
epoch_of_key (const char *key)
{
  return g_ascii_strtoull (key + strlen (OWNER_KEY_PREFIX), NULL, 10);
}

static struct earlier_owner *
add_owner (struct cell *c, uint64_t epoch, char *address)
{
  struct earlier_owner *o = g_new0 (struct earlier_owner, 1);

  o->epoch = epoch;
  o->address = address;
  g_ptr_array_add (c->earlier_owners, o);
  return o;
}

void
cell_owner_load (struct cell *c, const char *key, GBytes *value)
{
  gsize size;
  const char *address = g_bytes_get_data (value, &size);
  uint64_t epoch = epoch_of_key (key);

  if (epoch < c->options.epoch)
    add_owner (c, epoch, size > 0 ? g_strndup (address, size) : g_strdup (""));
}

static void
note_stopped (struct cell *c, struct earlier_owner *o, int64_t now_ms)
{
  o->has_stopped = true;
  o->leases_until_ms
      = MIN (o->leases_until_ms, cell_late_lease_until_ms (c, now_ms));
}

bool
cell_load_handover (struct cell *cell, const GPtrArray *entries)
{
  struct earlier_owner *newest = NULL;
  bool is_from_newest = false;

  for (guint i = 0; i < cell->earlier_owners->len; i++)
    {
      struct earlier_owner *o = g_ptr_array_index (cell->earlier_owners, i);

      if (newest == NULL || o->epoch > newest->epoch)
        newest = o;
    }
  for (guint i = 0; newest != NULL && i < entries->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (entries, i);

      if (g_str_has_prefix (e->key, OWNER_KEY_PREFIX))
        is_from_newest = epoch_of_key (e->key) == newest->epoch;
    }
  if (!is_from_newest)
    return false;
  newest->has_stopped = true;
  for (guint i = 0; i < entries->len; i++)
    {
      const struct journal_entry *e = g_ptr_array_index (entries, i);

      if (!g_str_has_prefix (e->key, OWNER_KEY_PREFIX))
        cell_load_record (cell, e->key, e->value);
    }
  return true;
}

static bool
is_journaled (const struct cell *c, const char *address)
{
  for (guint i = 0; i < c->earlier_owners->len; i++)
    if (strcmp (((const struct earlier_owner *)g_ptr_array_index (
                     c->earlier_owners, i))
                    ->address,
                address)
        == 0)
      return true;
  return false;
}

static bool
has_worker_records (const struct cell *c)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    if (((const struct cell_worker *)g_ptr_array_index (c->worker_list, i))
            ->is_in_journal)
      return true;
  return false;
}

/* Add the owner that has left records of workers and is not journaled, as it
   is of a release that did not do so: the listed one, or an unknown one. */
static void
add_unjournaled_owner (struct cell *c)
{
  if (!has_worker_records (c))
    return;
  if (c->listed_owner != NULL && !is_journaled (c, c->listed_owner))
    add_owner (c, 0, g_strdup (c->listed_owner));
  else if (c->earlier_owners->len == 0)
    add_owner (c, 0, g_strdup (""));
}

void
cell_owners_activate (struct cell *c, int64_t now_ms)
{
  add_unjournaled_owner (c);
  for (guint i = 0; i < c->earlier_owners->len; i++)
    {
      struct earlier_owner *o = g_ptr_array_index (c->earlier_owners, i);

      o->leases_until_ms = cell_late_lease_until_ms (
          c, now_ms + c->options.unconfirmed_owner_ms);
      if (o->has_stopped || strcmp (o->address, c->address) == 0)
        note_stopped (c, o, now_ms);
    }
}

uint64_t
cell_owners_newest_epoch (const struct cell *c)
{
  uint64_t epoch = 0;

  for (guint i = 0; i < c->earlier_owners->len; i++)
    epoch = MAX (epoch, ((const struct earlier_owner *)g_ptr_array_index (
                             c->earlier_owners, i))
                            ->epoch);
  return epoch;
}

int64_t
cell_owners_leases_until_ms (const struct cell *c)
{
  int64_t until_ms = 0;

  for (guint i = 0; i < c->earlier_owners->len; i++)
    until_ms
        = MAX (until_ms, ((const struct earlier_owner *)g_ptr_array_index (
                              c->earlier_owners, i))
                             ->leases_until_ms);
  return until_ms;
}

void
cell_owner_answered (struct cell *cell, const char *address, bool has_stopped,
                     int64_t now_ms)
{
  for (guint i = 0; i < cell->earlier_owners->len; i++)
    {
      struct earlier_owner *o = g_ptr_array_index (cell->earlier_owners, i);

      if (strcmp (o->address, address) != 0)
        continue;
      o->is_call_pending = false;
      o->next_call_ms = now_ms + CALL_INTERVAL_MS;
      if (has_stopped && !o->has_stopped)
        {
          note_stopped (cell, o, now_ms);
          cell->needs_placement = true;
        }
    }
}

/* Tell O that it has a successor, and ask whether it has stopped. */
static void
call_owner (struct cell *c, struct earlier_owner *o)
{
  struct cell_order *order = cell_add_order (c, ORDER_STOP_OWNER);

  order->u.owner.address = g_strdup (o->address);
  o->is_call_pending = true;
}

void
cell_owners_tick (struct cell *c, int64_t now_ms)
{
  for (guint i = c->earlier_owners->len; i > 0; i--)
    {
      struct earlier_owner *o = g_ptr_array_index (c->earlier_owners, i - 1);

      if (c->confirmed_ms > o->leases_until_ms)
        {
          cell_journal_drop (c, owner_key (o->epoch));
          g_ptr_array_remove_index (c->earlier_owners, i - 1);
        }
      else if (!o->has_stopped && !o->is_call_pending && o->address[0] != '\0'
               && now_ms >= o->next_call_ms)
        call_owner (c, o);
    }
}
