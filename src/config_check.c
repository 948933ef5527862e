#include "config_check.h"

#include <string.h>

/* Errors and entries that can never match. */

static const char *
get_text (const struct config_entry *e, enum config_member member)
{
  return e->values[member].text;
}

static bool
is_true (const struct config_entry *e, enum config_member member)
{
  return e->values[member].number == 1;
}

/* Return whether MEMBER has a valid value and that is 0. */
static bool
is_zero (const struct config_entry *e, enum config_member member)
{
  return get_text (e, member) != NULL && e->values[member].number == 0;
}

static void
check_names (const GPtrArray *entries, GPtrArray *findings)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < entries->len; i++)
    {
      struct config_entry *e = g_ptr_array_index (entries, i);
      char *name = e->values[CONFIG_NAME].text;
      const struct config_entry *first;

      if (name == NULL)
        continue;
      first = g_hash_table_lookup (seen, name);
      if (name[0] == '\0')
        config_findings_add_at (findings, CONFIG_ERROR, e, CONFIG_NAME,
                                "it is empty; write a name");
      else if (first != NULL)
        config_findings_add_at (findings, CONFIG_ERROR, e, CONFIG_NAME,
                                "\"%s\" is also the name of %s; write a name "
                                "of its own, or remove one of them",
                                name, first->place);
      else
        g_hash_table_insert (seen, name, e);
    }
  g_hash_table_unref (seen);
}

/* Report two queues that the same requests match; hosts are compared without
   regard to case, as routes_find_queue does. */
static void
check_same_matches (const GPtrArray *queues, GPtrArray *findings)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < queues->len; i++)
    {
      struct config_entry *e = g_ptr_array_index (queues, i);
      const char *prefix = get_text (e, CONFIG_PATH_PREFIX);
      const struct config_entry *first;
      char *host, *match;

      if (get_text (e, CONFIG_HOST) == NULL || prefix == NULL)
        continue;
      host = g_ascii_strdown (get_text (e, CONFIG_HOST), -1);
      match = g_strconcat (host, "\n", prefix, NULL);
      g_free (host);
      first = g_hash_table_lookup (seen, match);
      if (first == NULL)
        g_hash_table_insert (seen, match, e);
      else
        {
          config_findings_add_at (
              findings, CONFIG_ERROR, e, CONFIG_PATH_PREFIX,
              "%s has the same %s and prefix \"%s\", so this entry gets no "
              "request; write another prefix, or remove one of them",
              first->place, e->words->members[CONFIG_HOST], prefix);
          g_free (match);
        }
    }
  g_hash_table_unref (seen);
}

static void
check_host (const struct config_entry *e, GPtrArray *findings)
{
  const char *host = get_text (e, CONFIG_HOST);

  if (host == NULL)
    return;
  if (host[0] == '\0')
    config_findings_add_at (findings, CONFIG_WARNING, e, CONFIG_HOST,
                            "it is empty, so it matches only requests that "
                            "name no host; write the host's name");
  else if (strchr (host, ':') != NULL)
    config_findings_add_at (findings, CONFIG_WARNING, e, CONFIG_HOST,
                            "\"%s\" never matches, since hosts are compared "
                            "without a port; write the name without ':'",
                            host);
  else if (strpbrk (host, " \t\r\n") != NULL)
    config_findings_add_at (
        findings, CONFIG_WARNING, e, CONFIG_HOST,
        "\"%s\" never matches, since it has blanks; write it without", host);
}

static void
check_prefix (const struct config_entry *e, GPtrArray *findings)
{
  const char *prefix = get_text (e, CONFIG_PATH_PREFIX);

  if (prefix == NULL)
    return;
  if (prefix[0] != '/')
    config_findings_add_at (findings, CONFIG_WARNING, e, CONFIG_PATH_PREFIX,
                            "\"%s\" never matches, since every path begins "
                            "with \"/\"; write \"/%s\"",
                            prefix, prefix);
  else if (strpbrk (prefix, " \t\r\n?#") != NULL)
    config_findings_add_at (findings, CONFIG_WARNING, e, CONFIG_PATH_PREFIX,
                            "\"%s\" never matches, since a path has no "
                            "blanks, '?' or '#'; write it without",
                            prefix);
}

static bool
has_any_key (const struct config_draft *d)
{
  const GPtrArray *accounts = d->sections[CONFIG_ACCOUNTS];

  for (guint i = 0; i < accounts->len; i++)
    {
      const struct config_entry *e = g_ptr_array_index (accounts, i);

      for (guint k = 0; k < e->keys->len; k++)
        if (g_strcmp0 (g_ptr_array_index (e->keys, k), "") > 0)
          return true;
    }
  return false;
}

static void
check_queues (const struct config_draft *d, GPtrArray *findings)
{
  const GPtrArray *queues = d->sections[CONFIG_QUEUES];
  bool needs_missing_key = d->has_accounts && !has_any_key (d);

  for (guint i = 0; i < queues->len; i++)
    {
      const struct config_entry *e = g_ptr_array_index (queues, i);
      const char *service = get_text (e, CONFIG_SERVICE);

      check_host (e, findings);
      check_prefix (e, findings);
      if (service != NULL
          && config_draft_find (d, CONFIG_SERVICES, service) == NULL)
        config_findings_add_at (
            findings, CONFIG_ERROR, e, CONFIG_SERVICE,
            "\"%s\" is not a service; write a name that is listed under %s",
            service, d->words->sections[CONFIG_SERVICES]);
      if (needs_missing_key && is_zero (e, CONFIG_IS_PUBLIC))
        config_findings_add_at (
            findings, CONFIG_WARNING, e, CONFIG_IS_PUBLIC,
            "it is false, but no account has a key, so every request is "
            "refused; write true, or give an account a key");
      if (is_zero (e, CONFIG_MAX_ATTEMPTS))
        config_findings_add_at (findings, CONFIG_WARNING, e,
                                CONFIG_MAX_ATTEMPTS,
                                "0 attempts can't run a task and count as 1; "
                                "write 1 or more");
      if (is_zero (e, CONFIG_TIMEOUT_MS))
        config_findings_add_at (findings, CONFIG_WARNING, e, CONFIG_TIMEOUT_MS,
                                "0 leaves no time; write a time in ms, or "
                                "remove the member");
    }
}

static void
check_services (const struct config_draft *d, GPtrArray *findings)
{
  const GPtrArray *queues = d->sections[CONFIG_QUEUES];
  const GPtrArray *services = d->sections[CONFIG_SERVICES];
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);
  const struct config_entry *standby = NULL;
  guint n_standby = 0;

  for (guint i = 0; i < queues->len; i++)
    {
      struct config_entry *e = g_ptr_array_index (queues, i);

      if (get_text (e, CONFIG_SERVICE) != NULL)
        g_hash_table_add (used, e->values[CONFIG_SERVICE].text);
    }
  for (guint i = 0; i < services->len; i++)
    {
      const struct config_entry *e = g_ptr_array_index (services, i);
      const char *name = get_text (e, CONFIG_NAME);

      if (is_true (e, CONFIG_IS_STANDBY))
        {
          if (standby != NULL)
            config_findings_add_at (
                findings, CONFIG_WARNING, e, CONFIG_IS_STANDBY,
                "%s is standby, too; write true for one of them only",
                standby->place);
          standby = standby == NULL ? e : standby;
          n_standby++;
        }
      else if (name != NULL && !g_hash_table_contains (used, name))
        config_findings_add (findings, CONFIG_WARNING, e->place,
                             "no entry of %s sends to \"%s\" and it is not "
                             "standby; name it in one, or remove it",
                             d->words->sections[CONFIG_QUEUES], name);
    }
  if (n_standby > 0 && n_standby == services->len)
    config_findings_add (
        findings, CONFIG_WARNING, d->words->sections[CONFIG_SERVICES],
        "all are standby, so none has machines; write false for those that "
        "run jobs");
  g_hash_table_unref (used);
}

static const char *
name_or_place (const struct config_entry *e)
{
  return get_text (e, CONFIG_NAME) != NULL ? get_text (e, CONFIG_NAME)
                                           : e->place;
}

/* Check the keys of E; OWNERS has the keys seen so far, with their entries. */
static void
check_keys (struct config_entry *e, GHashTable *owners, GPtrArray *findings)
{
  for (guint i = 0; i < e->keys->len; i++)
    {
      char *key = g_ptr_array_index (e->keys, i);
      const struct config_entry *owner;
      char *place;

      if (key == NULL)
        continue;
      owner = g_hash_table_lookup (owners, key);
      place = g_strdup_printf ("%s.%s[%u]", e->place,
                               e->words->members[CONFIG_KEYS], i);
      if (key[0] == '\0')
        config_findings_add (findings, CONFIG_ERROR, place,
                             "the key is empty; write a key, or remove it");
      else if (owner == e)
        config_findings_add (findings, CONFIG_WARNING, place,
                             "the account has this key already; remove it");
      else if (owner != NULL)
        config_findings_add (
            findings, CONFIG_ERROR, place,
            "the accounts \"%s\" and \"%s\" have this key; give each a key "
            "of its own",
            name_or_place (owner), name_or_place (e));
      else
        g_hash_table_insert (owners, key, e);
      g_free (place);
    }
}

/* Check MEMBER, a cap, against NEED, what the largest task needs of it. */
static void
check_cap (const struct config_entry *e, enum config_member member,
           uint64_t need, GPtrArray *findings)
{
  double cap = e->values[member].number;

  if (cap > 0 && cap < (double)need)
    config_findings_add_at (
        findings, CONFIG_ERROR, e, member,
        "%s is below the largest task, which needs %" G_GUINT64_FORMAT
        "; write at least that, or 0 for no limit",
        get_text (e, member), need);
}

static void
check_accounts (const struct config_draft *d,
                const struct account_amount *task, GPtrArray *findings)
{
  const GPtrArray *accounts = d->sections[CONFIG_ACCOUNTS];
  GHashTable *owners = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < accounts->len; i++)
    {
      struct config_entry *e = g_ptr_array_index (accounts, i);

      check_keys (e, owners, findings);
      if (e->keys->len == 0 && get_text (e, CONFIG_KEYS) != NULL)
        config_findings_add_at (findings, CONFIG_WARNING, e, CONFIG_KEYS,
                                "without a key no request is this account's; "
                                "add a key, or remove the account");
      if (is_zero (e, CONFIG_WEIGHT))
        config_findings_add_at (
            findings, CONFIG_WARNING, e, CONFIG_WEIGHT,
            "with 0, or none, the account gets no share of a full cell and 1 "
            "job a second; write 1 or more");
      if (task == NULL)
        continue;
      check_cap (e, CONFIG_CAP_CPU, task->cpu_milli, findings);
      check_cap (e, CONFIG_CAP_MEMORY, task->memory_mb, findings);
      check_cap (e, CONFIG_CAP_GPUS, task->gpus, findings);
    }
  g_hash_table_unref (owners);
}

static void
check_limits (const struct config_entry *e, GPtrArray *findings)
{
  if (is_zero (e, CONFIG_MAX_HEADER_BYTES))
    config_findings_add_at (
        findings, CONFIG_ERROR, e, CONFIG_MAX_HEADER_BYTES,
        "0 allows no request, so nodes use their default instead; write a "
        "size in bytes, or remove the member");
  if (e->values[CONFIG_IDLE_TIMEOUT_MS].number > 0
      && e->values[CONFIG_HEADER_TIMEOUT_MS].number
             > e->values[CONFIG_IDLE_TIMEOUT_MS].number)
    config_findings_add_at (
        findings, CONFIG_WARNING, e, CONFIG_HEADER_TIMEOUT_MS,
        "%s is above %s, %s, so a connection may be closed first; write at "
        "most that",
        get_text (e, CONFIG_HEADER_TIMEOUT_MS),
        e->words->members[CONFIG_IDLE_TIMEOUT_MS],
        get_text (e, CONFIG_IDLE_TIMEOUT_MS));
}

void
config_check_draft (const struct config_draft *draft,
                    const struct account_amount *task, GPtrArray *findings)
{
  const GPtrArray *limits = draft->sections[CONFIG_LIMITS];

  for (int i = 0; i < CONFIG_LIMITS; i++)
    check_names (draft->sections[i], findings);
  check_same_matches (draft->sections[CONFIG_QUEUES], findings);
  check_queues (draft, findings);
  check_services (draft, findings);
  check_accounts (draft, task, findings);
  for (guint i = 0; i < limits->len; i++)
    check_limits (g_ptr_array_index (limits, i), findings);
}

/* Changes. */

/* Return the number of different keys of E that are not in OTHER. */
static guint
count_keys_missing (const struct config_entry *e,
                    const struct config_entry *other)
{
  GHashTable *missing = g_hash_table_new (g_str_hash, g_str_equal);
  guint n;

  for (guint i = 0; i < e->keys->len; i++)
    if (g_ptr_array_index (e->keys, i) != NULL)
      g_hash_table_add (missing, g_ptr_array_index (e->keys, i));
  for (guint i = 0; i < other->keys->len; i++)
    if (g_ptr_array_index (other->keys, i) != NULL)
      g_hash_table_remove (missing, g_ptr_array_index (other->keys, i));
  n = g_hash_table_size (missing);
  g_hash_table_unref (missing);
  return n;
}

/* Return whether MEMBER is a cap and lower in NEW than in OLD; 0 is no
   limit. */
static bool
is_lowered_cap (enum config_member member, const struct config_value *old,
                const struct config_value *new)
{
  return (member == CONFIG_CAP_CPU || member == CONFIG_CAP_MEMORY
          || member == CONFIG_CAP_GPUS)
         && new->number > 0 && (old->number == 0 || new->number < old->number);
}

static void
compare_entries (const char *place, const struct config_entry *old,
                 const struct config_entry *new, GPtrArray *findings)
{
  guint n_added = count_keys_missing (new, old);
  guint n_removed = count_keys_missing (old, new);

  for (int i = 0; i < CONFIG_MEMBERS; i++)
    {
      const struct config_value *a = &old->values[i];
      const struct config_value *b = &new->values[i];

      /* The members of the cap are compared one by one. */
      if (i == CONFIG_CAP || a->text == NULL || b->text == NULL
          || strcmp (a->text, b->text) == 0)
        continue;
      config_findings_add (findings, CONFIG_CHANGE, place,
                           "%s %s from %s to %s",
                           is_lowered_cap (i, a, b) ? "lowered" : "changed",
                           new->words->members[i], a->text, b->text);
    }
  if (n_added > 0)
    config_findings_add (findings, CONFIG_CHANGE, place, "keys added: %u",
                         n_added);
  if (n_removed > 0)
    config_findings_add (findings, CONFIG_CHANGE, place, "keys removed: %u",
                         n_removed);
}

/* Return the place of E in a line on changes; the caller frees it. */
static char *
change_place (const struct config_entry *e, enum config_section section)
{
  return g_strdup_printf ("%s \"%s\"", e->words->sections[section],
                          get_text (e, CONFIG_NAME));
}

/* Report the entries of SECTION in FROM that are not in OTHER. */
static void
report_missing (const struct config_draft *from,
                const struct config_draft *other, enum config_section section,
                const char *change, GPtrArray *findings)
{
  const GPtrArray *entries = from->sections[section];

  for (guint i = 0; i < entries->len; i++)
    {
      const struct config_entry *e = g_ptr_array_index (entries, i);
      const char *name = get_text (e, CONFIG_NAME);
      char *place;

      if (name == NULL || config_draft_find (other, section, name) != NULL)
        continue;
      place = change_place (e, section);
      config_findings_add (findings, CONFIG_CHANGE, place, "%s", change);
      g_free (place);
    }
}

static void
compare_sections (const struct config_draft *old,
                  const struct config_draft *draft,
                  enum config_section section, GPtrArray *findings)
{
  const GPtrArray *entries = draft->sections[section];

  report_missing (draft, old, section, "added", findings);
  report_missing (old, draft, section,
                  section == CONFIG_ACCOUNTS ? "removed, with its keys"
                                             : "removed",
                  findings);
  for (guint i = 0; i < entries->len; i++)
    {
      const struct config_entry *e = g_ptr_array_index (entries, i);
      const char *name = get_text (e, CONFIG_NAME);
      const struct config_entry *before
          = name != NULL ? config_draft_find (old, section, name) : NULL;
      char *place;

      if (before == NULL)
        continue;
      place = change_place (e, section);
      compare_entries (place, before, e, findings);
      g_free (place);
    }
}

void
config_check_changes (const struct config_draft *old,
                      const struct config_draft *draft, GPtrArray *findings)
{
  const GPtrArray *limits = draft->sections[CONFIG_LIMITS];

  if (draft->version >= 0 && draft->version <= old->version)
    config_findings_add (findings, CONFIG_ERROR, draft->words->version,
                         "%" G_GINT64_FORMAT " is not above %" G_GINT64_FORMAT
                         ", the version in force, so nodes ignore it; write a "
                         "higher one",
                         draft->version, old->version);
  if (old->has_accounts && !draft->has_accounts)
    config_findings_add (findings, CONFIG_WARNING,
                         draft->words->sections[CONFIG_ACCOUNTS],
                         "it is removed as a whole, so callers need no keys; "
                         "write [] to refuse requests without a key");
  for (int i = 0; i < CONFIG_LIMITS; i++)
    compare_sections (old, draft, i, findings);
  if (limits->len > 0 && old->sections[CONFIG_LIMITS]->len > 0)
    compare_entries (draft->words->sections[CONFIG_LIMITS],
                     g_ptr_array_index (old->sections[CONFIG_LIMITS], 0),
                     g_ptr_array_index (limits, 0), findings);
}
