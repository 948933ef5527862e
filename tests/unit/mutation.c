#include "mutation.h"

#include <string.h>

/* Maximum number of mutations of one input. */
#define MUTATIONS_MAX 6

static GRand *random_source;

void
mutation_seed (uint32_t seed)
{
  if (random_source != NULL)
    g_rand_free (random_source);
  random_source = g_rand_new_with_seed (seed);
}

static gsize
random_below (gsize limit)
{
  return (gsize)g_rand_int_range (random_source, 0, (gint32)MAX (limit, 1));
}

static void
apply_mutation (GByteArray *b)
{
  static const char *const fragments[]
      = { "0",       "-1",       "99999999999999999999",
          "1e308",   "\"\"",     "null",
          "{}",      "[]",       "true",
          "\\u0000", "\"",       ":",
          ",",       "{",        "}",
          "]",       "\xff\xfe", "/" };
  gsize position = random_below (b->len);
  gsize wanted_size = random_below (40) + 1;
  gsize n = MIN (wanted_size, b->len - position);
  const char *fragment;
  GByteArray *rest;

  switch (random_below (6))
    {
    case 0:
      if (b->len > 0)
        b->data[position] = (guint8)random_below (256);
      break;
    case 1:
      if (b->len > 0)
        b->data[position] ^= (guint8)(1U << random_below (8));
      break;
    case 2:
      if (n > 0)
        g_byte_array_remove_range (b, (guint)position, (guint)n);
      break;
    case 3:
      g_byte_array_set_size (b, (guint)position);
      break;
    default:
      fragment = fragments[random_below (G_N_ELEMENTS (fragments))];
      rest = g_byte_array_new ();
      g_byte_array_append (rest, b->data + position, b->len - (guint)position);
      g_byte_array_set_size (b, (guint)position);
      g_byte_array_append (b, (const guint8 *)fragment,
                           (guint)strlen (fragment));
      g_byte_array_append (b, rest->data, rest->len);
      g_byte_array_unref (rest);
      break;
    }
}

GByteArray *
mutation_of (const void *data, gsize size)
{
  GByteArray *b = g_byte_array_new ();
  gsize count = random_below (MUTATIONS_MAX) + 1;

  g_byte_array_append (b, data, (guint)size);
  for (gsize i = 0; i < count; i++)
    apply_mutation (b);
  return b;
}
