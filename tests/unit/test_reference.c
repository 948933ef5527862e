#include "counters.h"
#include "reason.h"

#include <glib.h>
#include <string.h>

/* Tests that every reason and counter is described on its reference page. */

static char *
read_page (const char *name)
{
  char *text = NULL;

  g_assert_true (g_file_get_contents (name, &text, NULL, NULL));
  return text;
}

static void
expect_on_page (const char *page, const char *format, const char *name)
{
  char *wanted = g_strdup_printf (format, name);

  if (strstr (page, wanted) == NULL)
    g_test_message ("%s is not described on its reference page", name);
  g_assert_nonnull (strstr (page, wanted));
  g_free (wanted);
}

static void
test_reasons (void)
{
  char *page = read_page ("docs/REASONS.md");

  for (int i = REASON_NONE + 1; i < REASON_COUNT; i++)
    {
      g_assert_nonnull (reason_name (i));
      g_assert_cmpuint (strlen (reason_remedy (i)), >, 0);
      expect_on_page (page, "\n## %s\n", reason_name (i));
    }
  g_free (page);
}

static void
test_counters (void)
{
  char *page = read_page ("docs/COUNTERS.md");

  for (int i = 0; i < COUNTER_COUNT; i++)
    {
      g_assert_nonnull (counter_name (i));
      expect_on_page (page, "| `%s` |", counter_name (i));
    }
  g_free (page);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reference/reasons", test_reasons);
  g_test_add_func ("/reference/counters", test_counters);
  return g_test_run ();
}
