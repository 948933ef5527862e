#ifndef BROKER_H
#define BROKER_H

#include "slot_table.h"
#include "turn.h"

#include <stdint.h>

/* Grants slots on the VMs of the pools that this node owns.  A node asks the
   owner of a pool for a slot, its request waits in the pool's queue, and the
   grant that it gets names a VM.  The body of a request never passes through
   the owner. */

struct broker;

/* Create a broker; SEED seeds the random choice among equally free VMs. */
struct broker *broker_new (uint64_t seed);
void broker_destroy (struct broker *broker);

/* Handle a slot message from a peer, or from this node itself; other messages
   are ignored. */
void broker_handle (struct broker *broker, struct turn *turn,
                    const struct peer_message *message);

/* Update the VMs and their slots from the fleet of TURN, after it changed. */
void broker_sync (struct broker *broker, struct turn *turn);

/* Release the slots whose lease has expired, refuse the requests whose start
   deadline has passed, and grant free slots to the others.  A node that is
   gone no longer renews its leases. */
void broker_step (struct broker *broker, struct turn *turn);

/* Return the slot table of the VMs, owned by BROKER. */
struct slot_table *broker_slot_table (struct broker *broker);

/* Return how many requests wait here for a slot of POOL. */
uint32_t broker_waiting (const struct broker *broker, const char *pool);

#endif
