#include "accounts.h"

#include <string.h>

#define SECRET_WORDS 8

struct accounts
{
  GPtrArray *list;       /* struct client_account *, as configured */
  GHashTable *by_name;   /* name to the same accounts */
  GHashTable *by_digest; /* HMAC of a key to struct client_account * */
};

static void
account_destroy (gpointer p)
{
  struct client_account *a = p;

  g_free (a->name);
  g_free (a);
}

struct accounts *
accounts_new (void)
{
  struct accounts *a = g_new0 (struct accounts, 1);

  a->list = g_ptr_array_new_with_free_func (account_destroy);
  a->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  a->by_digest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return a;
}

void
accounts_destroy (struct accounts *accounts)
{
  if (accounts == NULL)
    return;
  g_hash_table_unref (accounts->by_digest);
  g_hash_table_unref (accounts->by_name);
  g_ptr_array_unref (accounts->list);
  g_free (accounts);
}

struct client_account *
accounts_add (struct accounts *accounts, const char *name)
{
  struct client_account *a = g_hash_table_lookup (accounts->by_name, name);

  if (a != NULL)
    return a;
  a = g_new0 (struct client_account, 1);
  a->name = g_strdup (name);
  g_ptr_array_add (accounts->list, a);
  g_hash_table_insert (accounts->by_name, a->name, a);
  return a;
}

/* Return the HMAC of KEY, which the caller frees. */
static char *
digest_key (const char *key)
{
  static uint32_t secret[SECRET_WORDS];
  static gsize has_secret;

  if (g_once_init_enter (&has_secret))
    {
      GRand *rand = g_rand_new (); /* seeded by the system's random source */

      for (int i = 0; i < SECRET_WORDS; i++)
        secret[i] = g_rand_int (rand);
      g_rand_free (rand);
      g_once_init_leave (&has_secret, 1);
    }
  return g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)secret,
                                    sizeof secret, key, -1);
}

void
accounts_add_key (struct accounts *accounts,
                  const struct client_account *account, const char *key)
{
  char *digest = digest_key (key);

  if (key[0] == '\0' || g_hash_table_contains (accounts->by_digest, digest))
    g_free (digest);
  else
    g_hash_table_insert (accounts->by_digest, digest, (gpointer)account);
}

const struct client_account *
accounts_authenticate (const struct accounts *accounts, const char *key)
{
  char *digest = digest_key (key);
  const struct client_account *a
      = g_hash_table_lookup (accounts->by_digest, digest);

  g_free (digest);
  return a;
}

const struct client_account *
accounts_find (const struct accounts *accounts, const char *name)
{
  return g_hash_table_lookup (accounts->by_name, name);
}

uint32_t
accounts_count (const struct accounts *accounts)
{
  return accounts->list->len;
}

const struct client_account *
accounts_at (const struct accounts *accounts, uint32_t index)
{
  return g_ptr_array_index (accounts->list, index);
}
