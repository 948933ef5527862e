#include "cell_accounts.h"

#include "account_use.h"

#include <string.h>

/* The cell's side of client accounts.

   An account that the configuration no longer names keeps, as its allotment,
   what it used when it was removed: its accepted jobs go on, and the ledger
   has no cap to grant from.  If nothing of it is in use, it may start one task
   or gang at a time, so that these jobs end.  A name that the cell has never
   seen configured may be newer than its configuration; it waits
   UNCONFIGURED_AFTER_MS before it counts as removed. */

#define UNCONFIGURED_AFTER_MS 10000
/* Interval at which shares are compared; each change sorts all open jobs. */
#define SHARE_INTERVAL_MS 50
/* An account counts as over its share beyond this multiple of it.  At any
   moment about half of the accounts of a full cell are a little above theirs,
   and all their jobs would wait behind later deadlines of others. */
#define SHARE_TOLERANCE 1.5
/* The cell counts as contended for so long after a task found no worker. */
#define CONTENDED_MS 200
/* Minimum interval between two "account-fits" events of one account. */
#define FITS_LOG_INTERVAL_MS 1000

static void
account_free (gpointer p)
{
  struct cell_account *a = p;

  g_free (a->name);
  g_free (a);
}

struct cell_accounts *
cell_accounts_new (void)
{
  struct cell_accounts *s = g_new0 (struct cell_accounts, 1);

  s->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  s->list = g_ptr_array_new_with_free_func (account_free);
  return s;
}

void
cell_accounts_destroy (struct cell_accounts *accounts)
{
  g_hash_table_unref (accounts->by_name);
  g_ptr_array_unref (accounts->list);
  g_free (accounts);
}

struct cell_account *
cell_account_get (struct cell *c, const char *name, int64_t now_ms)
{
  struct cell_accounts *s = c->accounts;
  struct cell_account *a = g_hash_table_lookup (s->by_name, name);

  if (a != NULL)
    return a;
  a = g_new0 (struct cell_account, 1);
  a->name = g_strdup (name);
  a->cap = AMOUNT_UNLIMITED;
  a->unconfigured_ms = now_ms;
  g_ptr_array_add (s->list, a);
  g_hash_table_insert (s->by_name, a->name, a);
  return a;
}

bool
cell_account_is_limited (const struct cell *c, const struct cell_account *a)
{
  return c->accounts->is_on && a->name[0] != '\0';
}

struct account_amount
cell_account_limit (const struct cell_account *a)
{
  return a->is_configured ? account_limit (a->allotment, a->cap)
                          : a->allotment;
}

/* Configuration and the ledger's calls. */

static void
configure (struct cell *c, const struct client_account *account,
           int64_t now_ms)
{
  struct cell_account *a = cell_account_get (c, account->name, now_ms);
  struct account_amount cap = account_cap_limit (account->cap);

  /* What it was allotted as a removed account is no part of the cap. */
  if (!a->is_configured)
    a->allotment = (struct account_amount){ 0 };
  if (!amount_fits (a->cap, (struct account_amount){ 0 }, cap))
    {
      a->allotment = account_revoke_lowered (a->allotment, a->cap, cap);
      c->accounts->is_report_outdated = true;
    }
  a->cap = cap;
  a->weight = account->weight;
  a->is_configured = true;
}

void
cell_set_accounts (struct cell *cell, const struct accounts *accounts,
                   int64_t now_ms)
{
  struct cell_accounts *s = cell->accounts;
  uint32_t n = accounts != NULL ? accounts_count (accounts) : 0;
  double weights = 0;

  s->is_on = accounts != NULL;
  cell_accounts_bound_unseen (cell);
  for (guint i = 0; i < s->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (s->list, i);

      if (accounts == NULL)
        a->allotment = (struct account_amount){ 0 };
      if (!a->is_configured || accounts == NULL
          || accounts_find (accounts, a->name) != NULL)
        continue;
      a->is_configured = false;
      a->unconfigured_ms = G_MININT64;
      a->allotment = cell_account_use (a);
      s->is_report_outdated = true;
    }
  for (uint32_t i = 0; i < n; i++)
    {
      configure (cell, accounts_at (accounts, i), now_ms);
      weights += accounts_at (accounts, i)->weight;
    }
  s->mean_weight = n > 0 ? weights / n : 1;
  account_rates_set (cell->account_rates, accounts, now_ms);
  cell_accounts_note_change (cell);
  cell->needs_placement = true;
}

static void
apply_call (struct cell *c, const struct allotment_call *call, int64_t now_ms)
{
  for (guint i = 0; i < call->allotments->len; i++)
    {
      const struct allotment *granted
          = g_ptr_array_index (call->allotments, i);
      struct cell_account *a = cell_account_get (c, granted->account, now_ms);

      /* A ledger with an older configuration may grant from a higher cap. */
      a->allotment = amount_min (granted->limit, a->cap);
    }
  cell_accounts_note_change (c);
  c->needs_placement = true;
}

static void
sum_wanted_of_job (struct cell_job *job)
{
  struct cell_account *a = job->account;

  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct cell_occurrence *o
          = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < job->spec->steps->len; k++)
        {
          const struct job_step *s = g_ptr_array_index (job->spec->steps, k);

          if (o->waiting[k] == 0 || !cell_step_is_ready (o, k))
            continue;
          a->waiting_tasks += o->waiting[k];
          a->wanted = amount_add (
              a->wanted, amount_times (cell_step_amount (s), o->waiting[k]));
        }
    }
}

void
cell_accounts_sum_wanted (struct cell *c)
{
  for (guint i = 0; i < c->accounts->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (c->accounts->list, i);

      a->wanted = (struct account_amount){ 0 };
      a->waiting_tasks = 0;
    }
  for (guint i = 0; i < c->open_jobs->len; i++)
    {
      struct cell_job *job = g_ptr_array_index (c->open_jobs, i);

      if (job->is_stored)
        sum_wanted_of_job (job);
    }
}

static void
add_row (struct account_report *report, const struct cell_account *a)
{
  struct account_amount used = cell_account_use (a);
  struct account_amount held = amount_max (amount_max (a->allotment, used),
                                           cell_account_journaled (a));
  struct account_row *row;

  if (!a->is_configured && amount_is_zero (held) && amount_is_zero (a->wanted))
    return;
  row = account_report_add (report, a->name);
  row->held = held;
  row->used = used;
  row->wanted = a->wanted;
}

struct account_report *
cell_exchange_allotments (struct cell *cell, const struct allotment_call *call,
                          int64_t now_ms)
{
  struct cell_accounts *s = cell->accounts;
  struct account_report *report = account_report_new ();

  if (call->cell_epoch == cell->options.epoch && s->report > 0
      && call->report == s->report && call->ledger_epoch >= s->ledger_epoch
      && !s->is_report_outdated)
    apply_call (cell, call, now_ms);
  s->ledger_epoch = MAX (s->ledger_epoch, call->ledger_epoch);
  s->is_report_outdated = false;
  cell_accounts_bound_unseen (cell);
  cell_accounts_sum_wanted (cell);
  report->cell_epoch = cell->options.epoch;
  report->number = ++s->report;
  for (guint i = 0; s->is_on && i < s->list->len; i++)
    {
      const struct cell_account *a = g_ptr_array_index (s->list, i);

      if (a->name[0] != '\0')
        add_row (report, a);
    }
  return report;
}

/* Placement. */

void
cell_accounts_note_shortage (struct cell *c)
{
  c->accounts->shortage_ms = c->last_placement_ms;
}

/* Return the capacity of the workers that take work. */
static struct account_amount
cell_capacity (const struct cell *c)
{
  struct account_amount sum = { 0 };

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (cell_worker_is_in_service (w))
        sum = amount_add (sum, cell_worker_amount (w));
    }
  return sum;
}

static double
weight_of (const struct cell *c, const struct cell_account *a)
{
  return a->is_configured ? a->weight : c->accounts->mean_weight;
}

bool
cell_account_has_work (const struct cell_account *a)
{
  return a->waiting_tasks > 0 || !amount_is_zero (a->assigned);
}

static void
compare_shares (struct cell *c, int64_t now_ms)
{
  struct cell_accounts *s = c->accounts;
  bool is_contended = s->is_on && s->shortage_ms != 0
                      && now_ms < s->shortage_ms + CONTENDED_MS;
  struct account_amount capacity = { 0 };
  double weight_sum = 0;

  if (is_contended)
    {
      capacity = cell_capacity (c);
      cell_accounts_sum_wanted (c);
      for (guint i = 0; i < s->list->len; i++)
        {
          const struct cell_account *a = g_ptr_array_index (s->list, i);

          weight_sum += cell_account_has_work (a) ? weight_of (c, a) : 0;
        }
    }
  for (guint i = 0; i < s->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (s->list, i);
      bool is_over = is_contended
                     && account_is_over_share (
                         a->assigned, capacity,
                         SHARE_TOLERANCE * weight_of (c, a), weight_sum);

      if (is_over != a->is_over_share)
        c->has_unsorted_jobs = true;
      a->is_over_share = is_over;
    }
}

void
cell_accounts_begin_placement (struct cell *c, int64_t now_ms)
{
  cell_accounts_bound_unseen (c);
  for (guint i = 0; i < c->accounts->list->len; i++)
    ((struct cell_account *)g_ptr_array_index (c->accounts->list, i))
        ->is_held_back_now
        = false;
  if (now_ms < c->accounts->next_shares_ms)
    return;
  c->accounts->next_shares_ms = now_ms + SHARE_INTERVAL_MS;
  compare_shares (c, now_ms);
}

#define AMOUNT_FORMAT                                                         \
  "%" G_GUINT64_FORMAT "m/%" G_GUINT64_FORMAT "MB/%" G_GUINT64_FORMAT "gpu"
#define AMOUNT_ARGS(a) (a).cpu_milli, (a).memory_mb, (a).gpus

static void
log_account (struct cell *c, const char *event, const char *job,
             const struct cell_account *a, struct account_amount needed)
{
  struct account_amount used = cell_account_use (a);

  cell_log_event (c, event, job,
                  "account=%s needed=" AMOUNT_FORMAT " used=" AMOUNT_FORMAT
                  " allotment=" AMOUNT_FORMAT " cap=" AMOUNT_FORMAT,
                  a->name, AMOUNT_ARGS (needed), AMOUNT_ARGS (used),
                  AMOUNT_ARGS (a->allotment), AMOUNT_ARGS (a->cap));
}

void
cell_accounts_end_placement (struct cell *c, int64_t now_ms)
{
  for (guint i = 0; i < c->accounts->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (c->accounts->list, i);

      if (a->is_held_back && !a->is_held_back_now
          && now_ms >= a->last_fits_log_ms + FITS_LOG_INTERVAL_MS)
        {
          a->last_fits_log_ms = now_ms;
          log_account (c, "account-fits", a->held_back_job, a,
                       (struct account_amount){ 0 });
        }
      a->is_held_back = a->is_held_back_now;
    }
}

bool
cell_account_may_start_one (const struct cell_account *a, int64_t now_ms)
{
  return !a->is_configured
         && (a->unconfigured_ms == G_MININT64
             || now_ms > a->unconfigured_ms + UNCONFIGURED_AFTER_MS)
         && amount_is_zero (cell_account_use (a));
}

static void
note_held_back (struct cell *c, struct cell_job *job,
                struct account_amount needed)
{
  struct cell_account *a = job->account;

  if (!a->is_held_back && !a->is_held_back_now)
    g_strlcpy (a->held_back_job, job->spec->id, sizeof a->held_back_job);
  a->is_held_back_now = true;
  if (job->is_held_back)
    return;
  job->is_held_back = true;
  a->jobs_held_back++;
  log_account (c, "account-waits", job->spec->id, a, needed);
}

static struct account_amount
amount_of_tasks (const struct cell_job *job, uint32_t step, uint32_t count)
{
  return amount_times (
      cell_step_amount (g_ptr_array_index (job->spec->steps, step)), count);
}

bool
cell_account_has_room (const struct cell *c, const struct cell_job *job,
                       uint32_t step, uint32_t count, int64_t now_ms)
{
  const struct cell_account *a = job->account;

  return !cell_account_is_limited (c, a)
         || amount_fits (cell_account_use (a),
                         amount_of_tasks (job, step, count),
                         cell_account_limit (a))
         || cell_account_may_start_one (a, now_ms);
}

bool
cell_account_allows (struct cell *c, struct cell_job *job, uint32_t step,
                     uint32_t count, int64_t now_ms)
{
  if (cell_account_has_room (c, job, step, count, now_ms))
    return true;
  note_held_back (c, job, amount_of_tasks (job, step, count));
  return false;
}

static bool
exceeds_cap (const struct job_step *s, const struct cell_account *a)
{
  struct account_amount least
      = amount_times (cell_step_amount (s), s->is_gang ? s->count : 1);

  return !amount_fits ((struct account_amount){ 0 }, least, a->cap);
}

/* Return whether a task of STEP of JOB waits, or will. */
static bool
has_step_to_start (const struct cell_job *job, uint32_t step)
{
  if (job->next_occurrence < job->spec->occurrences)
    return true;
  for (guint i = 0; i < job->occurrences->len; i++)
    if (((const struct cell_occurrence *)g_ptr_array_index (job->occurrences,
                                                            i))
            ->waiting[step]
        > 0)
      return true;
  return false;
}

bool
cell_account_fail_impossible (struct cell *c, struct cell_job *job,
                              int64_t now_ms)
{
  struct cell_account *a = job->account;

  if (!cell_account_is_limited (c, a) || !a->is_configured)
    return false;
  for (uint32_t i = 0; i < job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);
      struct account_amount each = cell_step_amount (s);

      if (!exceeds_cap (s, a) || !has_step_to_start (job, i))
        continue;
      cell_log_event (c, "job-impossible", job->spec->id,
                      "reason=%s account=%s step=%u task=" AMOUNT_FORMAT
                      " tasks_together=%u cap=" AMOUNT_FORMAT,
                      s->is_gang ? "gang-exceeds-cap" : "task-exceeds-cap",
                      a->name, i, AMOUNT_ARGS (each),
                      s->is_gang ? s->count : 1, AMOUNT_ARGS (a->cap));
      a->jobs_impossible++;
      cell_job_end (c, job, JOB_FAILED, now_ms);
      return true;
    }
  return false;
}

bool
cell_account_is_over_share (const struct cell *c, const struct cell_job *job)
{
  return c->accounts->is_on && job->account->is_over_share;
}
