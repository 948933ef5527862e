#ifndef MOVES_H
#define MOVES_H

#include "fleet.h"

#include <stdbool.h>
#include <stdint.h>

/* Decides which pool lends a VM to which other pool.  The decision depends
   only on the loads and the times passed in; kept between calls is since when
   each pool has needed a VM or been idle.

   A move takes a drain, an order to the platform and the way back, during
   which the VM serves nobody.  So a pool borrows only if its queue will last
   longer than a move, lends only if the slots that it keeps are at least twice
   those in use (four times, unless it is the spare pool), and returns a
   borrowed VM only after it has been idle for long: if the next burst comes to
   the same pool, a VM that has stayed there saves two moves. */

/* Time that a move takes.  A pool whose queue is expected to last longer needs
   a VM. */
#define MOVES_COST_MS 10000

/* How long a pool must have needed a VM before it borrows one, so that a short
   burst causes no move. */
#define MOVES_NEED_MS 2000

/* How long a pool must have been idle before it lends a VM, and before it
   returns a borrowed one. */
#define MOVES_IDLE_MS 5000
#define MOVES_RETURN_AFTER_MS 300000

/* Minimum time that a lent VM stays in the pool that borrowed it. */
#define MOVES_MIN_STAY_MS 60000

/* The load of one pool. */
struct move_load
{
  const char *pool;
  uint32_t waiting;      /* requests */
  uint32_t used;         /* slots */
  uint32_t slots;        /* on VMs open for work */
  uint32_t vms_incoming; /* VMs that are moving to it */
  uint32_t vms_outgoing; /* VMs that are moving away from it */
  uint32_t vms_borrowed; /* VMs in it whose home is another pool */
  uint32_t vm_slots;     /* of one VM */
  int64_t run_ms;        /* expected run time of one request */
  bool is_spare;
  bool may_shrink; /* it has more than its min_vms */
};

struct moves;

struct moves *moves_new (void);
void moves_destroy (struct moves *moves);

/* Record the N LOADS, one of each pool, at NOW_MS. */
void moves_record_loads (struct moves *moves, const struct move_load *loads,
                         guint n, int64_t now_ms);

/* A move of one VM of pool FROM to pool TO or, if it RETURNS_HOME, to the VM's
   home pool. */
struct move
{
  const char *from;
  const char *to; /* NULL if returns_home */
  bool returns_home;
};

/* Choose the next move from the N LOADS, which must be those of the last
   moves_record_loads.  Return whether a move is worth its cost, and the move
   in *OUT; its names are those of LOADS. */
bool moves_choose (struct moves *moves, const struct move_load *loads, guint n,
                   int64_t now_ms, struct move *out);

#endif
