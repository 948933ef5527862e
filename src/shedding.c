#include "shedding.h"

/* A client that has taken nothing of its answer for so long does not read; a
   client that does reads within a round trip of at most some 300 ms. */
#define STALL_MIN_MS 1000

/* Return the rank of a connection; the lowest is closed first.  A negative one
   is never closed. */
static int
rank_for_memory (const struct connection_load *load, int64_t now_ms)
{
  switch (load->phase)
    {
    case CONNECTION_WRITING:
      return now_ms >= load->changed_ms + STALL_MIN_MS ? 0 : 2;
    case CONNECTION_READING:
      return 1;
    case CONNECTION_IDLE:
      return 3;
    case CONNECTION_SERVING:
      return SHEDDING_NONE;
    }
  return SHEDDING_NONE;
}

static int
rank_for_room (const struct connection_load *load, int64_t now_ms)
{
  switch (load->phase)
    {
    case CONNECTION_WRITING:
      return now_ms >= load->changed_ms + STALL_MIN_MS ? 0 : 3;
    case CONNECTION_IDLE:
      return 1;
    case CONNECTION_READING:
      return 2;
    case CONNECTION_SERVING:
      return SHEDDING_NONE;
    }
  return SHEDDING_NONE;
}

/* Return whether A goes before B, of the same rank. */
typedef bool (*goes_before) (const struct connection_load *a,
                             const struct connection_load *b);

static bool
holds_more (const struct connection_load *a, const struct connection_load *b)
{
  if (a->listener_bytes != b->listener_bytes)
    return a->listener_bytes > b->listener_bytes;
  return a->bytes > b->bytes;
}

static bool
changed_earlier (const struct connection_load *a,
                 const struct connection_load *b)
{
  return a->changed_ms < b->changed_ms;
}

static gssize
choose (const struct connection_load *loads, gsize n, int64_t now_ms,
        int (*rank_of) (const struct connection_load *, int64_t),
        goes_before before)
{
  gssize chosen = SHEDDING_NONE;
  int chosen_rank = SHEDDING_NONE;

  for (gsize i = 0; i < n; i++)
    {
      int rank = rank_of (&loads[i], now_ms);

      if (rank == SHEDDING_NONE)
        continue;
      if (chosen == SHEDDING_NONE || rank < chosen_rank
          || (rank == chosen_rank && before (&loads[i], &loads[chosen])))
        {
          chosen = (gssize)i;
          chosen_rank = rank;
        }
    }
  return chosen;
}

gssize
shedding_choose_for_memory (const struct connection_load *loads, gsize n,
                            int64_t now_ms)
{
  return choose (loads, n, now_ms, rank_for_memory, holds_more);
}

gssize
shedding_choose_for_room (const struct connection_load *loads, gsize n,
                          int64_t now_ms)
{
  return choose (loads, n, now_ms, rank_for_room, changed_earlier);
}
