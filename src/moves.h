#ifndef MOVES_H
#define MOVES_H

#include "fleet.h"

#include <stdbool.h>
#include <stdint.h>

/* Which pool should lend a VM to which.  Pure: it is told the load of each
   pool and the time, and keeps for how long a pool has been in need or idle.

   A move costs a drain, an order to the platform and the way back, during
   which the VM serves nobody.  So a pool borrows only if its queue will last
   longer than that, lends only if it keeps twice what it uses, and gives back
   late: a VM that stays where the next burst comes saves two moves. */

#define MOVES_COST_MS 10000
#define MOVES_NEED_MS 2000
#define MOVES_IDLE_MS 5000
#define MOVES_GIVE_BACK_MS 300000
#define MOVES_DWELL_MS 60000

struct move_load
{
  const char *pool;
  uint32_t waiting;  /* requests */
  uint32_t used;     /* slots */
  uint32_t slots;    /* on VMs open for work */
  uint32_t coming;   /* VMs on their way into it */
  uint32_t going;    /* VMs on their way out of it */
  uint32_t lent;     /* VMs of other pools that it has */
  uint32_t vm_slots; /* of one VM */
  int64_t run_ms;    /* expected, of one request */
  bool spare;
  bool may_shrink; /* it has more than its least number of VMs */
};

struct moves;

struct moves *moves_new (void);
void moves_destroy (struct moves *moves);

/* Take in the load of all pools at NOW_MS. */
void moves_note (struct moves *moves, const struct move_load *loads, guint n,
                 int64_t now_ms);

/* A move that pays: a VM of FROM goes to TO, to its home if GIVES_BACK. */
struct move
{
  const char *from;
  const char *to; /* NULL if GIVES_BACK: wherever the VM's home is */
  bool gives_back;
};

/* Choose the next move among LOADS, as last noted.  Return whether one
   pays. */
bool moves_choose (struct moves *moves, const struct move_load *loads, guint n,
                   int64_t now_ms, struct move *out);

#endif
