#include "cell_accounts.h"

#include "account_use.h"

/* Client accounts in the load of the pool and in the metrics. */

void
cell_accounts_begin_count (const struct cell *c)
{
  for (guint i = 0; i < c->accounts->list->len; i++)
    {
      struct cell_account *a = g_ptr_array_index (c->accounts->list, i);

      a->budget
          = amount_subtract (cell_account_limit (a), cell_account_use (a));
      a->may_start_one = cell_account_may_start_one (a, c->last_placement_ms);
    }
}

uint32_t
cell_account_count_allowed (const struct cell *c, const struct cell_job *job,
                            uint32_t step, uint32_t count)
{
  const struct job_step *s = g_ptr_array_index (job->spec->steps, step);
  struct cell_account *a = job->account;
  uint32_t allowed;

  if (!cell_account_is_limited (c, a))
    return count;
  allowed = amount_count_fitting (a->budget, cell_step_amount (s), count);
  if (s->is_gang && allowed < count)
    allowed = 0;
  if (allowed == 0 && a->may_start_one)
    {
      a->may_start_one = false;
      return s->is_gang ? count : 1;
    }
  a->budget = amount_subtract (a->budget,
                               amount_times (cell_step_amount (s), allowed));
  return allowed;
}

/* Append NAME as the value of a label. */
static void
append_label (GString *out, const char *name)
{
  for (const char *p = name; *p != '\0'; p++)
    switch (*p)
      {
      case '"':
      case '\\':
        g_string_append_c (out, '\\');
        g_string_append_c (out, *p);
        break;
      case '\n':
        g_string_append (out, "\\n");
        break;
      default:
        g_string_append_c (out, *p);
      }
}

static void
render_figure (const struct cell *c, const struct cell_account *a,
               const char *figure, uint64_t value, GString *out)
{
  g_string_append_printf (out, "cell_account_%s{service=\"", figure);
  append_label (out, c->service);
  g_string_append (out, "\",account=\"");
  append_label (out, a->name);
  g_string_append_printf (out, "\"} %" G_GUINT64_FORMAT "\n", value);
}

static void
render_account (const struct cell *c, const struct cell_account *a,
                GString *out)
{
  struct account_amount used = cell_account_use (a);

  render_figure (c, a, "cpu_milli", used.cpu_milli, out);
  render_figure (c, a, "memory_mb", used.memory_mb, out);
  render_figure (c, a, "gpus", used.gpus, out);
  render_figure (c, a, "tasks_waiting", a->waiting_tasks, out);
  render_figure (c, a, "allotment_cpu_milli", a->allotment.cpu_milli, out);
  render_figure (c, a, "allotment_memory_mb", a->allotment.memory_mb, out);
  render_figure (c, a, "allotment_gpus", a->allotment.gpus, out);
  render_figure (c, a, "is_over_share", a->is_over_share, out);
  render_figure (c, a, "jobs_held_back", a->jobs_held_back, out);
  render_figure (c, a, "jobs_impossible", a->jobs_impossible, out);
}

void
cell_render_accounts (struct cell *cell, GString *out)
{
  struct cell_accounts *s = cell->accounts;
  uint32_t n = 0;

  if (!s->is_on)
    return;
  cell_accounts_sum_wanted (cell);
  for (guint i = 0; i < s->list->len && n < CELL_METRICS_ACCOUNTS; i++)
    {
      const struct cell_account *a = g_ptr_array_index (s->list, i);

      if (a->name[0] == '\0'
          || (!a->is_configured && !cell_account_has_work (a)))
        continue;
      render_account (cell, a, out);
      n++;
    }
}
