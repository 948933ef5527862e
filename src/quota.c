#include "quota.h"

#include <glib.h>

struct quota
{
  GHashTable *teams;  /* name -> struct quota_team * */
  uint64_t quota_sum; /* sum of the quotas */
};

static void
quota_team_free (gpointer p)
{
  struct quota_team *t = p;

  g_free (t->name);
  g_free (t);
}

struct quota *
quota_new (void)
{
  struct quota *q = g_new0 (struct quota, 1);

  q->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, quota_team_free);
  return q;
}

void
quota_destroy (struct quota *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_unref (quota->teams);
  g_free (quota);
}

void
quota_sync (struct quota *quota, const struct config *config)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, quota->teams);
  while (g_hash_table_iter_next (&i, NULL, &p))
    ((struct quota_team *)p)->quota_slots = 0;
  quota->quota_sum = 0;
  for (guint k = 0; config != NULL && k < config->n_teams; k++)
    {
      struct quota_team *t = quota_team (quota, config->teams[k].name);

      t->quota_slots = config->teams[k].quota_slots;
      quota->quota_sum += t->quota_slots;
    }
}

struct quota_team *
quota_team (struct quota *quota, const char *name)
{
  struct quota_team *t = g_hash_table_lookup (quota->teams, name);

  if (t != NULL)
    return t;
  t = g_new0 (struct quota_team, 1);
  t->name = g_strdup (name);
  g_hash_table_insert (quota->teams, t->name, t);
  return t;
}

int64_t
quota_entitled_milli (const struct quota *quota, const struct quota_team *team,
                      uint32_t slots)
{
  if (quota->quota_sum == 0)
    return 0;
  return (int64_t)(1000ULL * slots * team->quota_slots / quota->quota_sum);
}

bool
quota_is_within (const struct quota *quota, const struct quota_team *team,
                 uint32_t slots)
{
  int64_t entitled = quota_entitled_milli (quota, team, slots);

  /* A team with a quota may always use one slot, however small its share. */
  if (team->quota_slots > 0 && team->used == 0)
    return true;
  return (team->used + 1) * INT64_C (1000) <= entitled;
}

bool
quota_is_contended (const struct quota *quota, const struct quota_team *team)
{
  GHashTableIter i;
  gpointer p;

  g_hash_table_iter_init (&i, quota->teams);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const struct quota_team *t = p;

      if (t != team && (t->used > 0 || t->waiting > 0))
        return true;
    }
  return false;
}
