#include "cell.h"

#include "cell_accounts.h"
#include "run_times.h"

#include <string.h>

/* Minimum interval between two placements, so that many ends that are reported
   at once cause a single one. */
#define PLACE_INTERVAL_MS 10
/* Minimum interval between two passes over all workers and their tasks.  The
   cell is ticked after each answer, some thousands of times a second in a
   burst. */
#define WORKERS_INTERVAL_MS 5
/* Interval at which ended jobs are checked for those to be forgotten. */
#define PURGE_INTERVAL_MS 5000

static void
clear_run_order (struct run_order *o)
{
  g_free (o->worker);
  g_free (o->address);
  g_free (o->task);
  g_free (o->payload);
  g_free (o->checkpoint);
  g_free (o->ticket);
}

void
cell_order_destroy (struct cell_order *order)
{
  if (order == NULL)
    return;
  switch (order->kind)
    {
    case ORDER_START:
    case ORDER_STOP:
    case ORDER_PACE:
      clear_run_order (&order->u.run);
      break;
    case ORDER_HOLD:
      g_free (order->u.hold.worker);
      g_free (order->u.hold.address);
      break;
    case ORDER_APPEND:
      g_ptr_array_unref (order->u.append.entries);
      break;
    case ORDER_STOP_OWNER:
      g_free (order->u.owner.address);
      break;
    case ORDER_LIST_MACHINES:
    case ORDER_ANSWER:
      break;
    case ORDER_LOG_EVENT:
      g_free (order->u.event.subject);
      g_free (order->u.event.detail);
      break;
    }
  g_free (order);
}

static void
destroy_order (gpointer p)
{
  cell_order_destroy (p);
}

struct cell *
cell_new (const struct cell_options *options, int64_t now_ms)
{
  struct cell *c = g_new0 (struct cell, 1);

  c->options = *options;
  c->service = g_strdup (options->service);
  c->options.service = c->service;
  c->address = g_strdup (options->address);
  c->options.address = c->address;
  c->listed_owner = g_strdup (options->listed_owner);
  c->options.listed_owner = c->listed_owner;
  c->earlier_owners = cell_owners_new ();
  c->taken_over_ms = now_ms;
  c->accounts = cell_accounts_new ();
  c->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                   cell_job_destroy);
  c->open_jobs = g_ptr_array_new ();
  c->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      cell_worker_destroy);
  c->worker_list = g_ptr_array_new ();
  c->account_rates = account_rates_new ();
  c->queue_work
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->changed_jobs = g_ptr_array_new ();
  c->changed_workers = g_ptr_array_new ();
  c->dropped_keys = g_ptr_array_new_with_free_func (g_free);
  c->sequence = CELL_OWNER_SEQUENCE + 1;
  c->ticked_ms = now_ms;
  c->waiting_priority = UINT32_MAX;
  c->run_times = run_times_new ();
  c->rack_queues = cell_rack_queues_new ();
  g_queue_init (&c->orders);
  return c;
}

void
cell_destroy (struct cell *cell)
{
  if (cell == NULL)
    return;
  g_queue_clear_full (&cell->orders, destroy_order);
  cell_journal_clear (cell);
  g_ptr_array_unref (cell->changed_jobs);
  g_ptr_array_unref (cell->changed_workers);
  g_ptr_array_unref (cell->dropped_keys);
  g_ptr_array_unref (cell->open_jobs);
  g_ptr_array_unref (cell->worker_list);
  account_rates_destroy (cell->account_rates);
  g_hash_table_unref (cell->queue_work);
  g_hash_table_unref (cell->jobs);
  g_hash_table_unref (cell->workers);
  cell_accounts_destroy (cell->accounts);
  g_ptr_array_unref (cell->earlier_owners);
  run_times_destroy (cell->run_times);
  g_hash_table_unref (cell->rack_queues);
  g_clear_pointer (&cell->advised, g_ptr_array_unref);
  g_free (cell->service);
  g_free (cell->address);
  g_free (cell->listed_owner);
  g_free (cell);
}

struct cell_order *
cell_add_order (struct cell *c, enum cell_order_kind kind)
{
  struct cell_order *o = g_new0 (struct cell_order, 1);

  o->kind = kind;
  g_queue_push_tail (&c->orders, o);
  return o;
}

void
cell_log_event (struct cell *c, const char *event, const char *subject,
                const char *format, ...)
{
  struct cell_order *o = cell_add_order (c, ORDER_LOG_EVENT);
  va_list args;

  va_start (args, format);
  o->u.event.event = event;
  o->u.event.subject = g_strdup (subject);
  o->u.event.detail = g_strdup_vprintf (format, args);
  va_end (args);
}

void
cell_answer (struct cell *c, GArray *tokens, enum cell_answer answer)
{
  for (guint i = 0; i < tokens->len; i++)
    {
      struct cell_order *o = cell_add_order (c, ORDER_ANSWER);

      o->u.answer.token = g_array_index (tokens, uint64_t, i);
      o->u.answer.answer = answer;
    }
  g_array_set_size (tokens, 0);
}

void
cell_activate (struct cell *cell, int64_t now_ms)
{
  cell->is_active = true;
  cell->taken_over_ms = now_ms;
  cell->needs_placement = true;
  cell_owners_activate (cell, now_ms);
  cell_count_held_tasks (cell);
  for (guint i = 0; i < cell->worker_list->len; i++)
    cell_leases_activate (cell, g_ptr_array_index (cell->worker_list, i),
                          now_ms);
  cell_log_event (cell, "cell-taken", cell->service,
                  "epoch=%" G_GUINT64_FORMAT " jobs=%u workers=%u",
                  cell->options.epoch, g_hash_table_size (cell->jobs),
                  cell->worker_list->len);
}

void
cell_tick (struct cell *cell, int64_t wall_ms, bool may_start, int64_t now_ms)
{
  cell->may_start = may_start && !cell->is_fenced;
  cell->wall_ms = wall_ms;
  cell->ticked_ms = now_ms;
  if (!cell->is_active)
    return;
  cell_owners_tick (cell, now_ms);
  if (cell->may_start
      && now_ms >= cell->last_workers_tick_ms + WORKERS_INTERVAL_MS)
    {
      cell->last_workers_tick_ms = now_ms;
      cell_workers_tick (cell, now_ms);
      cell_machines_tick (cell, now_ms);
    }
  if (cell->may_start && now_ms >= cell->last_placement_ms + PLACE_INTERVAL_MS)
    cell_place (cell, now_ms);
  if (now_ms >= cell->last_purge_ms + PURGE_INTERVAL_MS)
    {
      cell->last_purge_ms = now_ms;
      cell_jobs_purge_ended (cell, now_ms);
    }
  cell_journal_tick (cell, now_ms);
}

void
cell_confirmed (struct cell *cell, int64_t sent_ms)
{
  cell->confirmed_ms = MAX (cell->confirmed_ms, sent_ms);
}

int64_t
cell_confirmed_ms (const struct cell *cell)
{
  return cell->confirmed_ms;
}

struct cell_order *
cell_next_order (struct cell *cell)
{
  return g_queue_pop_head (&cell->orders);
}

bool
cell_is_fenced (const struct cell *cell)
{
  return cell->is_fenced;
}

bool
cell_needs_epoch (const struct cell *cell)
{
  return cell->needs_epoch;
}

const char *
cell_service (const struct cell *cell)
{
  return cell->service;
}

uint64_t
cell_epoch (const struct cell *cell)
{
  return cell->options.epoch;
}

bool
cell_job_state (const struct cell *cell, const char *id, enum job_state *state)
{
  const struct cell_job *job = g_hash_table_lookup (cell->jobs, id);

  if (job == NULL || !job->is_stored)
    return false;
  *state = job->journaled_state;
  if (job->journaled_state == JOB_PENDING && job->has_started)
    *state = JOB_RUNNING;
  return true;
}

bool
cell_has_job (const struct cell *cell, const char *id)
{
  return g_hash_table_contains (cell->jobs, id);
}

bool
cell_has_open_jobs (const struct cell *cell)
{
  return cell->open_jobs->len > 0;
}

uint32_t
cell_count_waiting_jobs (const struct cell *cell, const char *queue)
{
  uint32_t n = 0;

  for (guint i = 0; i < cell->open_jobs->len; i++)
    {
      const struct cell_job *job = g_ptr_array_index (cell->open_jobs, i);

      if (job->is_stored && !job->has_started
          && strcmp (job->spec->queue, queue) == 0)
        n++;
    }
  return n;
}

static void
count_tasks (const struct cell_job *job, struct cell_stats *f)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct cell_occurrence *o
          = g_ptr_array_index (job->occurrences, i);

      for (uint32_t k = 0; k < o->n_tasks; k++)
        {
          const struct cell_task *t = &o->tasks[k];

          if (t->phase == TASK_WAITING)
            {
              f->tasks_waiting++;
              f->cpu_wanted_milli += cell_task_step (t)->cpu_milli;
            }
          else if (t->phase != TASK_DONE)
            f->tasks_running++;
        }
    }
}

void
cell_get_stats (const struct cell *cell, struct cell_stats *figures)
{
  *figures = (struct cell_stats){ .jobs_open = cell->open_jobs->len };
  for (guint i = 0; i < cell->open_jobs->len; i++)
    count_tasks (g_ptr_array_index (cell->open_jobs, i), figures);
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (cell->worker_list, i);

      if (!cell_worker_is_in_service (w))
        continue;
      figures->workers++;
      figures->cpu_total_milli += w->entry->capacity.cpu_milli;
      figures->cpu_used_milli += w->used.cpu_milli;
    }
}
