#include "ledger_account.h"

#include "account_use.h"

#include <string.h>

/* A rest of less than this fraction of the cap is not divided: each cell's
   part would be less than a task needs, and the rest would stay unused. */
#define WHOLE_REST_FRACTION 8
/* A rest of any size is given to one cell at a time once no cell has started
   anything of the account for this long although some want to: their parts may
   all be smaller than a task. */
#define STALL_MS 600
/* Longest turn of one cell. */
#define TURN_MS 500

void
account_amount_to_array (struct account_amount amount, uint64_t *array)
{
  array[RESOURCE_CPU] = amount.cpu_milli;
  array[RESOURCE_MEMORY] = amount.memory_mb;
  array[RESOURCE_GPUS] = amount.gpus;
}

struct account_amount
account_amount_from_array (const uint64_t *array)
{
  return (struct account_amount){ array[RESOURCE_CPU], array[RESOURCE_MEMORY],
                                  array[RESOURCE_GPUS] };
}

struct account_share *
ledger_account_share (const struct ledger_account *a, guint cell)
{
  return &g_array_index (a->shares, struct account_share, cell);
}

/* What is counted. */

uint64_t
account_share_counted (const struct account_share *s, enum resource r)
{
  return MAX (s->held[r], s->unanswered[r]);
}

/* Return the most that may be allotted to CELL, by what counts for the
   others. */
static uint64_t
room_for (const struct ledger_account *a, guint cell, enum resource r)
{
  uint64_t others = 0;

  for (guint i = 0; i < a->shares->len; i++)
    if (i != cell)
      others = add_saturated (
          others, account_share_counted (ledger_account_share (a, i), r));
  return a->cap[r] > others ? a->cap[r] - others : 0;
}

/* Division of a cap. */

static uint64_t
sum_used (const struct ledger_account *a, enum resource r)
{
  uint64_t sum = 0;

  for (guint i = 0; i < a->shares->len; i++)
    sum = add_saturated (sum, ledger_account_share (a, i)->used[r]);
  return sum;
}

static uint64_t
sum_wanted (const struct ledger_account *a, enum resource r)
{
  uint64_t sum = 0;

  for (guint i = 0; i < a->shares->len; i++)
    sum = add_saturated (sum, ledger_account_share (a, i)->wanted[r]);
  return sum;
}

/* Return the share whose place is I in the order that begins with the cell
   that has the turn. */
static struct account_share *
share_in_turn (const struct ledger_account *a, guint i)
{
  return ledger_account_share (a, (a->turn + i) % a->shares->len);
}

/* Add to the targets what the cells want, and spread the remainder of REST
   evenly as headroom. */
static void
add_wants_and_headroom (struct ledger_account *a, enum resource r,
                        uint64_t rest)
{
  guint cells = 0, place = 0;

  for (guint i = 0; i < a->shares->len; i++)
    {
      struct account_share *s = ledger_account_share (a, i);

      s->target[r] += s->wanted[r];
      rest -= s->wanted[r];
      cells += s->has_headroom ? 1 : 0;
    }
  for (guint i = 0; i < a->shares->len; i++)
    if (ledger_account_share (a, i)->has_headroom)
      ledger_account_share (a, i)->target[r]
          += rest / cells + (place++ < rest % cells ? 1 : 0);
}

/* Add REST to the targets in proportion to WANTED, the sum of the wants, which
   is larger. */
static void
add_by_want (struct ledger_account *a, enum resource r, uint64_t rest,
             uint64_t wanted)
{
  uint64_t left = rest;

  for (guint i = 0; i < a->shares->len; i++)
    {
      struct account_share *s = ledger_account_share (a, i);
      uint64_t part
          = (uint64_t)((unsigned __int128)s->wanted[r] * rest / wanted);

      part = MIN (part, left);
      s->target[r] += part;
      left -= part;
    }
  /* Less than one unit a cell, by rounding. */
  for (guint i = 0; i < a->shares->len && left > 0; i++)
    {
      struct account_share *s = share_in_turn (a, i);

      if (s->target[r] - s->used[r] >= s->wanted[r])
        continue;
      s->target[r]++;
      left--;
    }
}

/* Add REST to the targets of the cells in turn, to each as much as it wants.
 */
static void
add_in_turn (struct ledger_account *a, enum resource r, uint64_t rest)
{
  for (guint i = 0; i < a->shares->len; i++)
    {
      struct account_share *s = share_in_turn (a, i);
      uint64_t part = MIN (s->wanted[r], rest);

      s->target[r] += part;
      rest -= part;
    }
}

/* Set the targets of resource R.  Return whether it is scarce. */
static bool
divide_resource (struct ledger_account *a, enum resource r, bool is_stalled)
{
  uint64_t used = sum_used (a, r);
  uint64_t wanted = sum_wanted (a, r);
  uint64_t rest = a->cap[r] > used ? a->cap[r] - used : 0;

  for (guint i = 0; i < a->shares->len; i++)
    ledger_account_share (a, i)->target[r]
        = ledger_account_share (a, i)->used[r];
  if (rest == 0)
    return wanted > 0;
  if (wanted <= rest)
    {
      add_wants_and_headroom (a, r, rest);
      return false;
    }
  if (is_stalled || rest < a->cap[r] / WHOLE_REST_FRACTION)
    add_in_turn (a, r, rest);
  else
    add_by_want (a, r, rest, wanted);
  return true;
}

static bool
has_any (const uint64_t *amounts)
{
  for (int r = 0; r < RESOURCE_COUNT; r++)
    if (amounts[r] > 0)
      return true;
  return false;
}

static bool
has_risen (const uint64_t *before, const uint64_t *after)
{
  for (int r = 0; r < RESOURCE_COUNT; r++)
    if (after[r] > before[r])
      return true;
  return false;
}

/* Give the turn to the next cell that wants something, if the present one has
   started something, wants nothing or has had its time. */
static void
update_turn (struct ledger_account *a, int64_t now_ms)
{
  const struct account_share *s = share_in_turn (a, 0);
  guint i = 1;

  if (has_any (s->wanted) && !has_risen (a->turn_used, s->used)
      && now_ms < a->turn_begun_ms + TURN_MS)
    return;
  while (i < a->shares->len && !has_any (share_in_turn (a, i)->wanted))
    i++;
  a->turn = (a->turn + i) % a->shares->len;
  a->turn_begun_ms = now_ms;
  memcpy (a->turn_used, share_in_turn (a, 0)->used, sizeof a->turn_used);
}

/* Set the targets of all cells for A. */
void
ledger_account_divide (struct ledger_account *a, int64_t now_ms)
{
  uint64_t used[RESOURCE_COUNT];
  bool is_scarce = false;

  if (a->shares->len == 0)
    return;
  for (int r = 0; r < RESOURCE_COUNT; r++)
    used[r] = sum_used (a, r);
  if (has_risen (a->used_sum, used))
    a->progress_ms = now_ms;
  memcpy (a->used_sum, used, sizeof used);
  update_turn (a, now_ms);
  for (int r = 0; r < RESOURCE_COUNT; r++)
    if (divide_resource (a, r, now_ms >= a->progress_ms + STALL_MS))
      is_scarce = true;
  if (!is_scarce)
    a->progress_ms = now_ms;
}

void
ledger_account_set_cap (struct ledger_account *account,
                        struct account_amount cap)
{
  account_amount_to_array (account_cap_limit (cap), account->cap);
}

struct ledger_account *
ledger_account_new (const char *name, guint cells, int64_t now_ms)
{
  struct ledger_account *a = g_new0 (struct ledger_account, 1);

  a->name = g_strdup (name);
  a->progress_ms = now_ms;
  a->shares = g_array_new (FALSE, TRUE, sizeof (struct account_share));
  g_array_set_size (a->shares, cells);
  return a;
}

void
ledger_account_destroy (gpointer account)
{
  struct ledger_account *a = account;

  g_free (a->name);
  g_array_unref (a->shares);
  g_free (a);
}

void
ledger_account_remove_cell (struct ledger_account *account, guint index)
{
  g_array_remove_index (account->shares, index);
  account->turn = 0;
  account->turn_begun_ms = 0;
}

bool
account_share_is_idle (const struct account_share *share)
{
  return !has_any (share->held) && !has_any (share->used)
         && !has_any (share->wanted);
}

/* What a cell holds beyond its use is its allotment; if it holds no more than
   its use, its allotment may be smaller. */
bool
ledger_account_limit (const struct ledger_account *account, guint cell,
                      uint64_t *limit)
{
  const struct account_share *s = ledger_account_share (account, cell);
  bool has_it = true;

  for (int r = 0; r < RESOURCE_COUNT; r++)
    {
      limit[r] = MIN (s->target[r], room_for (account, cell, r));
      if (s->held[r] != limit[r] || s->unanswered[r] != 0
          || (s->held[r] == s->used[r] && limit[r] > 0))
        has_it = false;
    }
  return !has_it;
}

bool
ledger_account_can_raise (const struct ledger_account *account, guint cell)
{
  const struct account_share *s = ledger_account_share (account, cell);

  for (int r = 0; r < RESOURCE_COUNT; r++)
    {
      uint64_t has = account_share_counted (s, r);

      if (s->wanted[r] > has - MIN (has, s->used[r]) && s->target[r] > has
          && room_for (account, cell, r) > has)
        return true;
    }
  return false;
}
