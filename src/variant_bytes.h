#ifndef VARIANT_BYTES_H
#define VARIANT_BYTES_H

#include <glib.h>

/* Records and messages are GVariants of a fixed type in serialized form. */

/* Return the serialized form of V, which is unreffed, or freed if it is
   floating. */
GBytes *variant_to_bytes (GVariant *v);

/* Return the value of TYPE in BYTES, which the caller unrefs, or NULL if they
   are malformed. */
GVariant *variant_from_bytes (GBytes *bytes, const char *type);

#endif
