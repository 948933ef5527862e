#include "parts.h"

#include <string.h>

struct parts
{
  uint64_t offset;
  struct digest digest;
  uint32_t count;
  uint32_t received_count;
  uint64_t bytes;
  GBytes **data; /* COUNT parts; NULL for a missing one */
};

struct parts *
parts_new (const struct part *part)
{
  struct parts *p;

  if (part->count == 0 || part->count > SNAPSHOT_MAX_BYTES / PART_MAX_BYTES)
    return NULL;
  p = g_new0 (struct parts, 1);
  p->offset = part->offset;
  p->digest = part->digest;
  p->count = part->count;
  p->data = g_new0 (GBytes *, part->count);
  return p;
}

void
parts_destroy (struct parts *parts)
{
  if (parts == NULL)
    return;
  for (uint32_t i = 0; i < parts->count; i++)
    if (parts->data[i] != NULL)
      g_bytes_unref (parts->data[i]);
  g_free (parts->data);
  g_free (parts);
}

bool
parts_includes (const struct parts *parts, const struct part *part)
{
  return parts->offset == part->offset && parts->count == part->count
         && part->index < part->count
         && digest_equal (parts->digest, part->digest);
}

bool
parts_add (struct parts *parts, const struct part *part)
{
  if (parts->data[part->index] == NULL)
    {
      parts->data[part->index] = g_bytes_ref (part->data);
      parts->received_count++;
      parts->bytes += g_bytes_get_size (part->data);
    }
  return parts->received_count == parts->count;
}

uint32_t
parts_first_missing (const struct parts *parts)
{
  uint32_t i = 0;

  while (i < parts->count && parts->data[i] != NULL)
    i++;
  return i;
}

uint64_t
parts_offset (const struct parts *parts)
{
  return parts->offset;
}

uint64_t
parts_bytes (const struct parts *parts)
{
  return parts->bytes;
}

struct fleet *
parts_restore (const struct parts *parts)
{
  GByteArray *joined = g_byte_array_sized_new ((guint)parts->bytes);
  struct fleet *f = NULL;
  GBytes *bytes;

  for (uint32_t i = 0; i < parts->count; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (parts->data[i], &size);

      g_byte_array_append (joined, data, (guint)size);
    }
  bytes = g_byte_array_free_to_bytes (joined);
  f = snapshot_read (bytes, parts->digest);
  g_bytes_unref (bytes);
  if (f != NULL && fleet_offset (f) != parts->offset)
    g_clear_pointer (&f, fleet_destroy);
  return f;
}

uint32_t
parts_count_for_size (uint64_t size)
{
  return (uint32_t)((size + PART_MAX_BYTES - 1) / PART_MAX_BYTES);
}

GBytes *
parts_extract (GBytes *snapshot, uint32_t index)
{
  gsize start = (gsize)index * PART_MAX_BYTES;
  gsize size = g_bytes_get_size (snapshot);

  return g_bytes_new_from_bytes (snapshot, start,
                                 MIN (size - start, PART_MAX_BYTES));
}
