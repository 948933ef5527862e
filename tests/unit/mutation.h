#ifndef MUTATION_H
#define MUTATION_H

#include <glib.h>
#include <stdint.h>

/* Random mutations of valid input, for the tests of parsers. */

/* Begin the sequence of mutations that belongs to SEED. */
void mutation_seed (uint32_t seed);

/* Return a copy of DATA with a few bytes changed, removed or inserted, which
   the caller unrefs. */
GByteArray *mutation_of (const void *data, gsize size);

#endif
