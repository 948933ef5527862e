#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdint.h>

/* Return the rendezvous hash of NODE for KEY.  Of several nodes the one with
   the highest hash gets KEY, so that a node which comes or goes moves few
   keys. */
uint64_t rendezvous_hash (const char *node, const char *key);

#endif
