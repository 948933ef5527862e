#include "cell_place.h"

#include "cell_accounts.h"

#include <string.h>

/* Order: which job is placed first. */

static gint
compare_jobs (gconstpointer a, gconstpointer b, gpointer cell)
{
  const struct cell *c = cell;
  const struct cell_job *x = *(struct cell_job *const *)a;
  const struct cell_job *y = *(struct cell_job *const *)b;
  bool is_x_over = cell_account_is_over_share (c, x);

  if (x->is_long_running != y->is_long_running)
    return x->is_long_running ? -1 : 1;
  if (x->spec->priority != y->spec->priority)
    return x->spec->priority < y->spec->priority ? -1 : 1;
  if (is_x_over != cell_account_is_over_share (c, y))
    return is_x_over ? 1 : -1;
  if (x->deadline_ms != y->deadline_ms)
    return x->deadline_ms < y->deadline_ms ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

void
cell_order_jobs (struct cell *c, int64_t now_ms)
{
  if (c->has_unsorted_jobs)
    g_ptr_array_sort_with_data (c->open_jobs, compare_jobs, c);
  c->has_unsorted_jobs = false;
}
