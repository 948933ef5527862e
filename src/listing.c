#include "listing.h"

#include <string.h>

/* How much later each further node in line reads, if those before do not. */
#define STEP_MS 250
#define EXTRA_MAX_MS 1000
#define READ_PATIENCE_MS 4000

/* A VM as last told of. */
struct known
{
  enum vm_state state;
  uint32_t running;
};

struct listing
{
  GHashTable *known; /* vm -> struct known * */
  char *reader;      /* who read the list last; NULL before any */
  int64_t heard_ms;  /* when */
  int64_t asked_ms;  /* when this node began a read that has not ended */
  bool asking;
  bool read_once; /* this node has read the whole list itself */
};

struct listing *
listing_new (void)
{
  struct listing *l = g_new0 (struct listing, 1);

  l->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

void
listing_destroy (struct listing *listing)
{
  if (listing == NULL)
    return;
  g_hash_table_unref (listing->known);
  g_free (listing->reader);
  g_free (listing);
}

/* Turns. */

/* How many alive nodes have names between READER's and this node's, going
   round in order of names. */
static uint32_t
place_in_line (const struct turn *t, const char *reader)
{
  const GPtrArray *others = members_others (t->members);
  bool before = strcmp (t->node, reader) <= 0;
  uint32_t n = 0;

  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m = g_ptr_array_index (others, i);
      bool after_reader = strcmp (m->node, reader) > 0;
      bool before_self = strcmp (m->node, t->node) < 0;

      if (!m->alive || strcmp (m->node, reader) == 0)
        continue;
      /* Past the last name the line begins again. */
      n += before ? after_reader || before_self : after_reader && before_self;
    }
  return n;
}

bool
listing_is_due (struct listing *listing, const struct turn *turn)
{
  int64_t delay_ms = LISTING_EVERY_MS;

  if (listing->asking && turn->now_ms - listing->asked_ms < READ_PATIENCE_MS)
    return false;
  if (listing->read_once)
    {
      int64_t extra_ms
          = (int64_t)place_in_line (turn, listing->reader) * STEP_MS;

      delay_ms += MIN (extra_ms, EXTRA_MAX_MS);
      if (turn->now_ms - listing->heard_ms < delay_ms)
        return false;
    }
  listing->asking = true;
  listing->asked_ms = turn->now_ms;
  return true;
}

void
listing_note_read (struct listing *listing, const char *node, int64_t now_ms)
{
  g_free (listing->reader);
  listing->reader = g_strdup (node);
  listing->heard_ms = now_ms;
}

/* News. */

static void
learn (struct listing *l, const char *vm, enum vm_state state,
       uint32_t running)
{
  struct known *k = g_hash_table_lookup (l->known, vm);

  if (k == NULL)
    {
      k = g_new0 (struct known, 1);
      g_hash_table_insert (l->known, g_strdup (vm), k);
    }
  k->state = state;
  k->running = running;
}

/* Whether V is worth telling of: its state changed, or it is leaving and the
   number of tasks on it changed. */
static bool
is_news (const struct listing *l, const struct listed_vm *v)
{
  const struct known *k = g_hash_table_lookup (l->known, v->vm);

  if (k == NULL)
    return v->state != VM_STATE_LIVE;
  return k->state != v->state
         || (v->state != VM_STATE_LIVE && k->running != v->running);
}

static void
add_news (GArray *news, const char *vm, enum vm_state state, uint32_t running)
{
  struct peer_vm_state s = { g_strdup (vm), state, running };

  g_array_append_val (news, s);
}

/* Tell that the VMs known and not in the list any more are gone. */
static void
add_gone (struct listing *l, GArray *news, const GArray *vms)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter i;
  gpointer vm;
  gpointer k;

  for (guint n = 0; n < vms->len; n++)
    g_hash_table_add (listed, g_array_index (vms, struct listed_vm, n).vm);
  g_hash_table_iter_init (&i, l->known);
  while (g_hash_table_iter_next (&i, &vm, &k))
    {
      if (g_hash_table_contains (listed, vm))
        continue;
      add_news (news, vm, VM_STATE_GONE, 0);
      g_hash_table_iter_remove (&i);
    }
  g_hash_table_unref (listed);
}

void
listing_tell (struct listing *listing, struct turn *turn, const GArray *vms)
{
  struct peer_message *p = turn_peer (turn, PEER_VM_NEWS);
  GArray *news = peer_vm_states_new ();

  listing->asking = false;
  listing->read_once = true;
  add_gone (listing, news, vms);
  for (guint i = 0; i < vms->len; i++)
    {
      const struct listed_vm *v = &g_array_index (vms, struct listed_vm, i);

      if (is_news (listing, v))
        add_news (news, v->vm, v->state, v->running);
      learn (listing, v->vm, v->state, v->running);
    }
  p->u.vm_news.states = news;
  listing_note_read (listing, turn->node, turn->now_ms);
  turn_send (turn, "", p);
}

void
listing_hear (struct listing *listing, const struct peer_vm_news *news)
{
  for (guint i = 0; i < news->states->len; i++)
    {
      const struct peer_vm_state *s
          = &g_array_index (news->states, struct peer_vm_state, i);

      learn (listing, s->vm, s->state, s->running);
    }
}
