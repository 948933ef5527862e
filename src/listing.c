#include "listing.h"

#include <string.h>

/* Extra delay before a node reads, for each node that comes before it in the
   order of turns; so it reads only if they have not. */
#define TURN_DELAY_MS 250
/* Maximum extra delay. */
#define TURN_DELAY_MAX_MS 1000
#define READ_TIMEOUT_MS 4000

/* A VM by the last list read or the last change received. */
struct known_vm
{
  enum vm_state state;
  uint32_t running;
};

struct listing
{
  GHashTable *vms;       /* name -> struct known_vm * */
  char *reader;          /* the node that read the list last; NULL for none */
  int64_t last_read_ms;  /* when READER's read was noted */
  int64_t read_began_ms; /* when this node's last read began */
  bool is_reading;       /* that read has not ended */
  bool has_read;         /* this node itself has read the whole list */
};

struct listing *
listing_new (void)
{
  struct listing *l = g_new0 (struct listing, 1);

  l->vms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

void
listing_destroy (struct listing *listing)
{
  if (listing == NULL)
    return;
  g_hash_table_unref (listing->vms);
  g_free (listing->reader);
  g_free (listing);
}

/* Turns. */

/* Return the number of alive nodes whose turn comes after READER's and before
   this node's.  Turns go in the order of names, and from the last name to the
   first. */
static uint32_t
nodes_before_self (const struct turn *t, const char *reader)
{
  const GPtrArray *others = members_others (t->members);
  bool is_self_before_reader = strcmp (t->node, reader) <= 0;
  uint32_t n = 0;

  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m = g_ptr_array_index (others, i);
      bool is_after_reader = strcmp (m->node, reader) > 0;
      bool is_before_self = strcmp (m->node, t->node) < 0;

      if (!m->alive || strcmp (m->node, reader) == 0)
        continue;
      /* If this node's name is not after READER's, the order wraps around. */
      n += is_self_before_reader ? is_after_reader || is_before_self
                                 : is_after_reader && is_before_self;
    }
  return n;
}

bool
listing_is_due (struct listing *listing, const struct turn *turn)
{
  int64_t delay_ms = LISTING_INTERVAL_MS;

  if (listing->is_reading
      && turn->now_ms - listing->read_began_ms < READ_TIMEOUT_MS)
    return false;
  if (listing->has_read)
    {
      int64_t turn_delay_ms
          = (int64_t)nodes_before_self (turn, listing->reader) * TURN_DELAY_MS;

      delay_ms += MIN (turn_delay_ms, TURN_DELAY_MAX_MS);
      if (turn->now_ms - listing->last_read_ms < delay_ms)
        return false;
    }
  listing->is_reading = true;
  listing->read_began_ms = turn->now_ms;
  return true;
}

void
listing_note_read (struct listing *listing, const char *node, int64_t now_ms)
{
  g_free (listing->reader);
  listing->reader = g_strdup (node);
  listing->last_read_ms = now_ms;
}

/* Changes. */

static void
store_state (struct listing *l, const char *vm, enum vm_state state,
             uint32_t running)
{
  struct known_vm *k = g_hash_table_lookup (l->vms, vm);

  if (k == NULL)
    {
      k = g_new0 (struct known_vm, 1);
      g_hash_table_insert (l->vms, g_strdup (vm), k);
    }
  k->state = state;
  k->running = running;
}

/* Return whether V is sent to the other nodes: its state changed, or it is not
   live and the number of tasks on it changed. */
static bool
is_reportable (const struct listing *l, const struct listed_vm *v)
{
  const struct known_vm *k = g_hash_table_lookup (l->vms, v->vm);

  if (k == NULL)
    return v->state != VM_STATE_LIVE;
  return k->state != v->state
         || (v->state != VM_STATE_LIVE && k->running != v->running);
}

static void
add_change (GArray *changes, const char *vm, enum vm_state state,
            uint32_t running)
{
  struct peer_vm_state s = { g_strdup (vm), state, running };

  g_array_append_val (changes, s);
}

/* Add the known VMs that are no longer in the list VMS to CHANGES as gone, and
   remove them from L. */
static void
add_gone_vms (struct listing *l, GArray *changes, const GArray *vms)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter i;
  gpointer vm;
  gpointer k;

  for (guint n = 0; n < vms->len; n++)
    g_hash_table_add (listed, g_array_index (vms, struct listed_vm, n).vm);
  g_hash_table_iter_init (&i, l->vms);
  while (g_hash_table_iter_next (&i, &vm, &k))
    {
      if (g_hash_table_contains (listed, vm))
        continue;
      add_change (changes, vm, VM_STATE_GONE, 0);
      g_hash_table_iter_remove (&i);
    }
  g_hash_table_unref (listed);
}

void
listing_publish_changes (struct listing *listing, struct turn *turn,
                         const GArray *vms)
{
  struct peer_message *p = turn_new_peer_message (turn, PEER_VM_NEWS);
  GArray *changes = peer_vm_states_new ();

  listing->is_reading = false;
  listing->has_read = true;
  add_gone_vms (listing, changes, vms);
  for (guint i = 0; i < vms->len; i++)
    {
      const struct listed_vm *v = &g_array_index (vms, struct listed_vm, i);

      if (is_reportable (listing, v))
        add_change (changes, v->vm, v->state, v->running);
      store_state (listing, v->vm, v->state, v->running);
    }
  p->u.vm_news.states = changes;
  listing_note_read (listing, turn->node, turn->now_ms);
  turn_send (turn, "", p);
}

void
listing_note_changes (struct listing *listing,
                      const struct peer_vm_news *changes)
{
  for (guint i = 0; i < changes->states->len; i++)
    {
      const struct peer_vm_state *s
          = &g_array_index (changes->states, struct peer_vm_state, i);

      store_state (listing, s->vm, s->state, s->running);
    }
}
