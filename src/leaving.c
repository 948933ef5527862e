#include "leaving.h"

#include <string.h>

struct leaving
{
  GHashTable *own;   /* set of char *: VM names by this node's own list */
  GHashTable *names; /* set of char *: VM names by all lists that count */
  int64_t asked_ms;  /* when the own list was requested; -1 for never */
};

static GHashTable *
names_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

struct leaving *
leaving_new (void)
{
  struct leaving *l = g_new0 (struct leaving, 1);

  l->own = names_new ();
  l->names = names_new ();
  l->asked_ms = -1;
  return l;
}

void
leaving_destroy (struct leaving *leaving)
{
  if (leaving == NULL)
    return;
  g_hash_table_unref (leaving->own);
  g_hash_table_unref (leaving->names);
  g_free (leaving);
}

static void
add_all (GHashTable *to, GHashTable *from)
{
  GHashTableIter i;
  gpointer name;

  g_hash_table_iter_init (&i, from);
  while (g_hash_table_iter_next (&i, &name, NULL))
    g_hash_table_add (to, g_strdup (name));
}

void
leaving_set_own (struct leaving *leaving, GHashTable *names, int64_t asked_ms)
{
  g_hash_table_remove_all (leaving->own);
  add_all (leaving->own, names);
  leaving->asked_ms = asked_ms;
}

int64_t
leaving_list_age_ms (const struct leaving *leaving, int64_t now_ms)
{
  return leaving->asked_ms < 0 ? -1 : now_ms - leaving->asked_ms;
}

char **
leaving_own_names (const struct leaving *leaving)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter i;
  gpointer name;

  g_hash_table_iter_init (&i, leaving->own);
  while (g_hash_table_iter_next (&i, &name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}

static bool
is_fresh (int64_t age_ms)
{
  return age_ms >= 0 && age_ms <= LEAVING_MAX_LIST_AGE_MS;
}

/* Return the age at NOW_MS of the list that M sent last; -1 for none. */
static int64_t
member_list_age_ms (const struct member *m, int64_t now_ms)
{
  return m->list_age_ms < 0 ? -1
                            : m->list_age_ms + now_ms - m->last_heartbeat_ms;
}

static bool
has_any_fresh_list (const struct leaving *l, const struct members *members,
                    int64_t now_ms)
{
  const GPtrArray *others = members_others (members);

  if (is_fresh (leaving_list_age_ms (l, now_ms)))
    return true;
  for (guint i = 0; i < others->len; i++)
    if (is_fresh (member_list_age_ms (g_ptr_array_index (others, i), now_ms)))
      return true;
  return false;
}

static void
add_member_names (GHashTable *to, const struct member *m)
{
  for (char **name = m->leaving; name != NULL && *name != NULL; name++)
    g_hash_table_add (to, g_strdup (*name));
}

static bool
same_names (GHashTable *a, GHashTable *b)
{
  GHashTableIter i;
  gpointer name;

  if (g_hash_table_size (a) != g_hash_table_size (b))
    return false;
  g_hash_table_iter_init (&i, a);
  while (g_hash_table_iter_next (&i, &name, NULL))
    if (!g_hash_table_contains (b, name))
      return false;
  return true;
}

bool
leaving_update (struct leaving *leaving, const struct members *members,
                int64_t now_ms)
{
  const GPtrArray *others = members_others (members);
  bool fresh_only = has_any_fresh_list (leaving, members, now_ms);
  GHashTable *names = names_new ();
  bool changed;

  if (!fresh_only || is_fresh (leaving_list_age_ms (leaving, now_ms)))
    add_all (names, leaving->own);
  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m = g_ptr_array_index (others, i);

      if (!fresh_only || is_fresh (member_list_age_ms (m, now_ms)))
        add_member_names (names, m);
    }
  changed = !same_names (names, leaving->names);
  g_hash_table_unref (leaving->names);
  leaving->names = names;
  return changed;
}

GHashTable *
leaving_names (const struct leaving *leaving)
{
  return leaving->names;
}
