#include "cell_place.h"

#include "cell_accounts.h"

/* Order: which job is placed first. */

/* Interval at which all open jobs are ordered anew.  A job that comes
   meanwhile is sorted in by its deadline. */
#define ORDER_INTERVAL_MS 50
/* The cell counts as overloaded for so long after all jobs could end in time
   again, so that a load near its capacity is not logged as many changes. */
#define OVERLOAD_KEPT_MS 1000
/* An overload that lasts for less is the begin of a burst: machines that the
   pool is given arrive after some 2 s, and jobs that step back for others
   meanwhile would be late for nothing. */
#define LASTING_OVERLOAD_MS 2500
/* A job counts as waiting under earlier owners for at most this multiple of
   its objective, so that it still has time until its limit. */
#define EARLIER_MAX_OBJECTIVES 2
/* Maximum of the work that is counted of one step, so that sums fit into 64
   bits. */
#define STEP_WORK_MAX 1e15
/* Maximum of queues whose mean work is known. */
#define QUEUES_MAX 256

/* The work of the jobs that a queue has had. */
struct queue_work
{
  double sum;
  uint64_t jobs;
};

static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  return job_order_compare (&(*(struct cell_job *const *)a)->order,
                            &(*(struct cell_job *const *)b)->order);
}

static struct queue_work *
find_queue_work (const struct cell *c, const char *queue)
{
  struct queue_work *q = g_hash_table_lookup (c->queue_work, queue);

  if (q != NULL || g_hash_table_size (c->queue_work) >= QUEUES_MAX)
    return q;
  q = g_new0 (struct queue_work, 1);
  g_hash_table_insert (c->queue_work, g_strdup (queue), q);
  return q;
}

static double
value_of_job (const struct cell *c, const struct cell_job *job)
{
  const struct queue_work *q
      = g_hash_table_lookup (c->queue_work, job->spec->queue);

  if (q == NULL)
    return job_order_value (job->total_work, job->total_work);
  return job_order_value (job->total_work, q->sum / (double)MAX (q->jobs, 1));
}

void
cell_order_add_job (struct cell *c, struct cell_job *job)
{
  struct queue_work *q = find_queue_work (c, job->spec->queue);

  job->earlier_ms = job->is_loaded && job->spec->accepted_ms > 0
                            && !job->is_long_running
                            && job->spec->occurrences == 0
                        ? -1
                        : 0;
  job->total_work = (double)job_spec_work_milli_s (job->spec);
  c->open_work[MIN (job->spec->priority, CELL_PRIORITIES - 1)]
      += job->total_work * 1000;
  if (q != NULL && !job->is_long_running)
    {
      q->sum += job->total_work;
      q->jobs++;
    }
  job->order
      = (struct job_order_entry){ .id = job->spec->id,
                                  .is_long_running = job->is_long_running,
                                  .is_scheduled = job->spec->occurrences > 0,
                                  .priority = job->spec->priority,
                                  .deadline_ms = job->deadline_ms,
                                  .objective_ms
                                  = CLAMP (job->deadline_ms - job->added_ms, 0,
                                           JOB_MAX_DURATION_MS),
                                  .due_ms = job->deadline_ms,
                                  .data = job };
}

/* Return the longest chain of unfinished steps of O that ends with STEP, each
   counted with the expected run time of one task.  LONGEST holds those known
   by step, or -1. */
static int64_t
path_to_step (const struct cell *c, const struct cell_occurrence *o,
              uint32_t step, int64_t *longest)
{
  const struct job_step *s = g_ptr_array_index (o->job->spec->steps, step);
  int64_t before_ms = 0;

  if (longest[step] >= 0)
    return longest[step];
  for (guint i = 0; i < s->depends_on->len; i++)
    before_ms
        = MAX (before_ms,
               path_to_step (c, o, g_array_index (s->depends_on, uint32_t, i),
                             longest));
  if (o->unfinished[step] > 0 && !s->is_best_effort && !s->is_long_running)
    before_ms += cell_expected_run_ms (c, o->job->spec, s)
                 / (o->waiting[step] > 0 ? 1 : 2);
  longest[step] = before_ms;
  return before_ms;
}

/* Return the part of the capacity that a task of S takes, in thousandths of a
   core: its processors, or its memory if that is the larger part. */
static uint64_t
load_of_task (const struct cell *c, const struct job_step *s)
{
  return MAX (s->cpu_milli, (uint64_t)(s->memory_mb * c->milli_per_mb));
}

/* Add the remaining path and work of O to E.  Of what runs, half is taken as
   done. */
static void
add_occurrence (const struct cell *c, const struct cell_occurrence *o,
                struct job_order_entry *e)
{
  const struct job_spec *spec = o->job->spec;
  int64_t longest[JOB_MAX_STEPS];

  for (uint32_t k = 0; k < spec->steps->len; k++)
    longest[k] = -1;
  for (uint32_t k = 0; k < spec->steps->len; k++)
    {
      const struct job_step *s = g_ptr_array_index (spec->steps, k);
      double halves = (double)o->unfinished[k] + o->waiting[k];
      double work = halves * (double)load_of_task (c, s)
                    * (double)cell_expected_run_ms (c, o->job->spec, s) / 2;

      e->path_ms = MAX (e->path_ms, path_to_step (c, o, k, longest));
      if (!s->is_best_effort && !s->is_long_running)
        e->work += (uint64_t)MIN (work, STEP_WORK_MAX);
    }
}

/* Let JOB, which an earlier owner accepted, have the deadline that it had
   there.  The clocks of nodes may differ and jump: none makes a job count as
   lost. */
static void
restore_deadline (const struct cell *c, struct cell_job *job, int64_t now_ms)
{
  struct job_order_entry *e = &job->order;
  int64_t age_ms = c->wall_ms - job->spec->accepted_ms;

  if (job->earlier_ms >= 0 || c->wall_ms == 0)
    return;
  job->earlier_ms = CLAMP (age_ms - (now_ms - job->added_ms), 0,
                           EARLIER_MAX_OBJECTIVES * e->objective_ms);
  job->deadline_ms -= job->earlier_ms;
  e->deadline_ms = job->deadline_ms;
  e->due_ms = job->deadline_ms;
}

static void
update_entry (const struct cell *c, struct cell_job *job, int64_t now_ms)
{
  struct job_order_entry *e = &job->order;

  restore_deadline (c, job, now_ms);
  e->path_ms = 0;
  e->work = 0;
  e->value = value_of_job (c, job);
  e->is_over_share = cell_account_is_over_share (c, job);
  e->waited_ms = now_ms - job->added_ms + MAX (job->earlier_ms, 0);
  for (guint i = 0; i < job->occurrences->len; i++)
    add_occurrence (c, g_ptr_array_index (job->occurrences, i), e);
}

/* Return what running long-running tasks of JOB take of the capacity. */
static uint64_t
used_by_long_running (const struct cell *c, const struct cell_job *job)
{
  uint64_t cpu = 0;

  for (guint i = 0; job->is_long_running && i < job->spec->steps->len; i++)
    {
      const struct job_step *s = g_ptr_array_index (job->spec->steps, i);

      if (s->is_long_running && !s->is_best_effort)
        cpu += cell_job_count_started (job, i) * load_of_task (c, s);
    }
  return cpu;
}

/* Measure the capacity for jobs that are not long-running, and the open
   work. */
static void
measure_load (struct cell *c, int64_t now_ms)
{
  uint64_t used = 0;
  uint64_t memory_mb = 0;

  c->finite_cpu_milli = 0;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct cell_worker *w = g_ptr_array_index (c->worker_list, i);

      if (cell_worker_is_in_service (w) && !w->is_emptying)
        {
          c->finite_cpu_milli += w->entry->capacity.cpu_milli;
          memory_mb += w->entry->capacity.memory_mb;
        }
    }
  c->milli_per_mb = (double)c->finite_cpu_milli / (double)MAX (memory_mb, 1);
  for (guint i = 0; i < CELL_PRIORITIES; i++)
    c->open_work[i] = 0;
  for (guint i = 0; i < c->open_jobs->len; i++)
    {
      struct cell_job *job = g_ptr_array_index (c->open_jobs, i);

      update_entry (c, job, now_ms);
      used += used_by_long_running (c, job);
      c->open_work[MIN (job->spec->priority, CELL_PRIORITIES - 1)]
          += (double)job->order.work;
    }
  c->finite_cpu_milli -= MIN (used, c->finite_cpu_milli);
}

/* Note whether some job can't end in time, and log a change. */
static void
set_overloaded (struct cell *c, bool is_overloaded, int64_t now_ms)
{
  if (is_overloaded)
    c->overloaded_ms = now_ms;
  else
    is_overloaded
        = c->is_overloaded && now_ms < c->overloaded_ms + OVERLOAD_KEPT_MS;
  if (is_overloaded == c->is_overloaded)
    return;
  c->is_overloaded = is_overloaded;
  c->overload_begun_ms = now_ms;
  cell_log_event (c, "cell-load", c->service,
                  "overloaded=%d jobs=%u cpu_milli=%" G_GUINT64_FORMAT,
                  is_overloaded, c->open_jobs->len, c->finite_cpu_milli);
}

bool
cell_is_overload_lasting (const struct cell *c, int64_t now_ms)
{
  return c->is_overloaded
         && now_ms >= c->overload_begun_ms + LASTING_OVERLOAD_MS;
}

void
cell_order_jobs (struct cell *c, int64_t now_ms)
{
  GPtrArray *entries;

  if (now_ms < c->last_order_ms + ORDER_INTERVAL_MS)
    {
      if (c->has_unsorted_jobs)
        g_ptr_array_sort (c->open_jobs, compare_jobs);
      c->has_unsorted_jobs = false;
      return;
    }
  c->last_order_ms = now_ms;
  c->has_unsorted_jobs = false;
  measure_load (c, now_ms);
  entries = g_ptr_array_sized_new (c->open_jobs->len);
  for (guint i = 0; i < c->open_jobs->len; i++)
    g_ptr_array_add (
        entries,
        &((struct cell_job *)g_ptr_array_index (c->open_jobs, i))->order);
  set_overloaded (c,
                  job_order_plan (entries, c->finite_cpu_milli,
                                  cell_is_overload_lasting (c, now_ms),
                                  now_ms),
                  now_ms);
  for (guint i = 0; i < entries->len; i++)
    g_ptr_array_index (c->open_jobs, i)
        = ((struct job_order_entry *)g_ptr_array_index (entries, i))->data;
  g_ptr_array_unref (entries);
}
