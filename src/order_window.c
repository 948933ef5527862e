#include "order_window.h"

#include <glib.h>

/* For the transit of an order, and clocks that differ slightly in pace. */
#define MARGIN_MS 400

int64_t
order_window_ms (int64_t holder_lease_ms)
{
  return holder_lease_ms + ORDER_EMPTIED_MAX_AGE_MS + ORDER_TIMEOUT_MS
         + MARGIN_MS;
}

int64_t
order_window_after_restart_ms (int64_t holder_lease_ms)
{
  return holder_lease_ms + MARGIN_MS;
}

int64_t
order_unsettled_ms (void)
{
  return ORDER_EMPTIED_MAX_AGE_MS + ORDER_TIMEOUT_MS + ORDER_LATE_MAX_MS
         + MARGIN_MS;
}

struct ordered_machine
{
  int64_t until_ms;
  bool is_earlier_owners;
  int64_t unsettled_until_ms;
  int64_t upkeep_until_ms; /* an unsettled upkeep may begin until then */
};

struct order_log
{
  int64_t holder_lease_ms;
  GHashTable *machines; /* name to struct ordered_machine * */
};

struct order_log *
order_log_new (int64_t holder_lease_ms)
{
  struct order_log *log = g_new0 (struct order_log, 1);

  log->holder_lease_ms = holder_lease_ms;
  log->machines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return log;
}

void
order_log_destroy (struct order_log *log)
{
  if (log == NULL)
    return;
  g_hash_table_unref (log->machines);
  g_free (log);
}

static struct ordered_machine *
find_or_add (struct order_log *log, const char *machine)
{
  struct ordered_machine *m = g_hash_table_lookup (log->machines, machine);

  if (m != NULL)
    return m;
  m = g_new0 (struct ordered_machine, 1);
  g_hash_table_insert (log->machines, g_strdup (machine), m);
  return m;
}

void
order_log_load (struct order_log *log, const char *text, bool was_own,
                int64_t now_ms)
{
  int64_t window_ms
      = was_own ? order_window_after_restart_ms (log->holder_lease_ms)
                : order_window_ms (log->holder_lease_ms);
  char **names = g_strsplit (text, ",", -1);

  for (char **name = names; *name != NULL; name++)
    if (**name != '\0')
      {
        struct ordered_machine *m = find_or_add (log, *name);

        m->until_ms = now_ms + window_ms;
        m->unsettled_until_ms = MAX (m->unsettled_until_ms, m->until_ms);
        m->is_earlier_owners = true;
      }
  g_strfreev (names);
}

void
order_log_load_upkeeps (struct order_log *log, const char *text,
                        int64_t now_ms)
{
  char **names = g_strsplit (text, ",", -1);

  for (char **name = names; *name != NULL; name++)
    if (**name != '\0')
      {
        struct ordered_machine *m = find_or_add (log, *name);

        m->unsettled_until_ms = now_ms + order_unsettled_ms ();
        m->upkeep_until_ms = m->unsettled_until_ms;
      }
  g_strfreev (names);
}

void
order_log_add (struct order_log *log, const char *machine, bool is_upkeep,
               int64_t now_ms)
{
  struct ordered_machine *m = find_or_add (log, machine);

  m->until_ms = now_ms + order_window_ms (log->holder_lease_ms);
  m->is_earlier_owners = false;
  if (is_upkeep)
    m->upkeep_until_ms = now_ms + order_unsettled_ms ();
}

void
order_log_settle (struct order_log *log, const char *machine)
{
  struct ordered_machine *m = find_or_add (log, machine);

  m->unsettled_until_ms = 0;
  m->upkeep_until_ms = 0;
}

void
order_log_unsettle (struct order_log *log, const char *machine, int64_t now_ms)
{
  find_or_add (log, machine)->unsettled_until_ms
      = now_ms + order_unsettled_ms ();
}

bool
order_log_is_held_back (const struct order_log *log, const char *machine,
                        int64_t now_ms)
{
  const struct ordered_machine *m
      = g_hash_table_lookup (log->machines, machine);

  return m != NULL && m->is_earlier_owners && now_ms < m->until_ms;
}

bool
order_log_is_unsettled (const struct order_log *log, const char *machine,
                        int64_t now_ms)
{
  const struct ordered_machine *m
      = g_hash_table_lookup (log->machines, machine);

  return m != NULL && now_ms < m->unsettled_until_ms;
}

/* Return the names of the machines whose orders are still in their window, or
   of those whose upkeep may yet begin. */
static char *
join_names (const struct order_log *log, bool is_upkeep, int64_t now_ms)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer name, value;

  g_hash_table_iter_init (&iter, log->machines);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct ordered_machine *m = value;

      if (now_ms < (is_upkeep ? m->upkeep_until_ms : m->until_ms))
        g_string_append_printf (text, "%s%s", text->len > 0 ? "," : "",
                                (const char *)name);
    }
  return g_string_free (text, FALSE);
}

char *
order_log_text (const struct order_log *log, int64_t now_ms)
{
  return join_names (log, false, now_ms);
}

char *
order_log_upkeeps_text (const struct order_log *log, int64_t now_ms)
{
  return join_names (log, true, now_ms);
}
