#include "rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
rendezvous_hash (const char *node, const char *key)
{
  return XXH3_64bits_withSeed (node, strlen (node),
                               XXH3_64bits (key, strlen (key)));
}
