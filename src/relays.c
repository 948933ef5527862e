#include "relays.h"

#include "rendezvous.h"

#include <string.h>

/* Orders that a busy node still sends itself in each window before it uses
   relays: 300 a second take less than a tenth of a core. */
#define WINDOW_MS 50
#define DIRECT_PER_WINDOW 15

struct relay
{
  char *address;
  int64_t unusable_until_ms;
};

struct relays
{
  GPtrArray *list; /* struct relay * */
  int64_t busy_until_ms;
  int64_t window_begin_ms;
  uint32_t sent_directly; /* in the window */
};

static void
relay_destroy (gpointer p)
{
  struct relay *r = p;

  g_free (r->address);
  g_free (r);
}

struct relays *
relays_new (void)
{
  struct relays *r = g_new0 (struct relays, 1);

  r->list = g_ptr_array_new_with_free_func (relay_destroy);
  return r;
}

void
relays_destroy (struct relays *relays)
{
  if (relays == NULL)
    return;
  g_ptr_array_unref (relays->list);
  g_free (relays);
}

static struct relay *
find_relay (const struct relays *r, const char *address)
{
  for (guint i = 0; i < r->list->len; i++)
    {
      struct relay *relay = g_ptr_array_index (r->list, i);

      if (strcmp (relay->address, address) == 0)
        return relay;
    }
  return NULL;
}

void
relays_set (struct relays *relays, const GPtrArray *addresses)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (relay_destroy);

  for (guint i = 0; i < addresses->len; i++)
    {
      const char *address = g_ptr_array_index (addresses, i);
      const struct relay *known = find_relay (relays, address);
      struct relay *relay = g_new0 (struct relay, 1);

      relay->address = g_strdup (address);
      if (known != NULL)
        relay->unusable_until_ms = known->unusable_until_ms;
      g_ptr_array_add (list, relay);
    }
  g_ptr_array_unref (relays->list);
  relays->list = list;
}

/* Return the usable relay with the highest hash together with WORKER, or
   NULL. */
static const struct relay *
choose_by_hash (const struct relays *r, const char *worker, int64_t now_ms)
{
  const struct relay *best = NULL;
  uint64_t best_hash = 0;

  for (guint i = 0; i < r->list->len; i++)
    {
      const struct relay *relay = g_ptr_array_index (r->list, i);
      uint64_t hash = rendezvous_hash (relay->address, worker);

      if (now_ms < relay->unusable_until_ms
          || (best != NULL && hash <= best_hash))
        continue;
      best = relay;
      best_hash = hash;
    }
  return best;
}

void
relays_note_lateness (struct relays *relays, int64_t late_ms, int64_t now_ms)
{
  if (late_ms >= RELAY_MIN_LATE_MS)
    relays->busy_until_ms = now_ms + RELAY_BUSY_MS;
}

const char *
relays_choose (struct relays *relays, const char *worker, int64_t now_ms)
{
  const struct relay *relay;

  if (relays->list->len == 0 || now_ms >= relays->busy_until_ms)
    return NULL;
  if (now_ms >= relays->window_begin_ms + WINDOW_MS)
    {
      relays->window_begin_ms = now_ms;
      relays->sent_directly = 0;
    }
  if (relays->sent_directly < DIRECT_PER_WINDOW)
    {
      relays->sent_directly++;
      return NULL;
    }
  relay = choose_by_hash (relays, worker, now_ms);
  return relay != NULL ? relay->address : NULL;
}

bool
relays_note_failure (struct relays *relays, const char *address,
                     int64_t now_ms)
{
  struct relay *relay = find_relay (relays, address);
  bool was_usable;

  if (relay == NULL)
    return false;
  was_usable = now_ms >= relay->unusable_until_ms;
  relay->unusable_until_ms = now_ms + RELAY_PENALTY_MS;
  return was_usable;
}
