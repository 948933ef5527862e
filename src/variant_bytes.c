#include "variant_bytes.h"

GBytes *
variant_to_bytes (GVariant *v)
{
  GBytes *bytes;

  g_variant_take_ref (v);
  bytes = g_variant_get_data_as_bytes (v);
  g_variant_unref (v);
  return bytes;
}

GVariant *
variant_from_bytes (GBytes *bytes, const char *type)
{
  GVariant *v = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (type), bytes, FALSE));

  if (g_variant_is_normal_form (v))
    return v;
  g_variant_unref (v);
  return NULL;
}
