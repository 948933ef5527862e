#include "account_jobs.h"

#include "account_report.h"

struct account_amount
tasks (uint32_t n)
{
  return (struct account_amount){ n * UINT64_C (1000), n * UINT64_C (500), 0 };
}

struct job_spec *
job_of (const struct world *w, const char *id, uint32_t count,
        const char *account)
{
  return world_of_account (world_job (w, id, 1, count), account);
}

guint
count_real (const struct world *w, const char *account)
{
  return (guint)(world_real_use (w, account).cpu_milli / 1000);
}

guint
held_tasks (const struct world *w)
{
  return (guint)(((struct account_row *)g_ptr_array_index (w->report->rows, 0))
                     ->held.cpu_milli
                 / 1000);
}
