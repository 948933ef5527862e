#include "job_order.h"

#include <string.h>

/* A job is worth something up to this multiple of its objective. */
#define LIMIT_FACTOR 3
/* A job that can't end in time is placed to end by this percentage of its
   objective: estimates are too rough to aim at the limit itself. */
#define LATE_AIM_PERCENT 240
/* A job counts as unable to end in time only if this percentage of its
   remaining path is too long already: run times are often below the expected
   ones, and a job that steps back by mistake is late for nothing. */
#define HOPELESS_PATH_PERCENT 60
/* A job past its limit is worth nothing, but has to run: it is placed to end
   by this multiple of its objective. */
#define LOST_FACTOR 10
/* Percentage of the capacity that late jobs may take from those that can end
   in time.  Without a limit, no job ends in time any more in a long overload.
 */
#define LATE_SHARE_PERCENT 50
/* Value of a job: a base, and a share for its work, up to a maximum. */
#define VALUE_BASE 0.3
#define VALUE_OF_WORK 0.7
#define VALUE_MAX 4.0
/* The work of the largest tenth counts as at most that of the others, or jobs
   of that size would always be the ones that step back. */
#define LARGE_PERCENT 90

double
job_order_value (double work, double mean_work)
{
  double value = VALUE_BASE + VALUE_OF_WORK * work / MAX (mean_work, 1.0);

  return MIN (value, VALUE_MAX);
}

int64_t
job_order_limit_ms (const struct job_order_entry *e)
{
  return e->deadline_ms + (LIMIT_FACTOR - 1) * e->objective_ms;
}

/* Compare the groups of A and B: all jobs of a group go before the next. */
static int
compare_groups (const struct job_order_entry *a,
                const struct job_order_entry *b)
{
  if (a->is_long_running != b->is_long_running)
    return a->is_long_running ? -1 : 1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->is_excess != b->is_excess)
    return a->is_excess ? 1 : -1;
  if (a->is_over_share != b->is_over_share)
    return a->is_over_share ? 1 : -1;
  return 0;
}

int
job_order_compare (const struct job_order_entry *a,
                   const struct job_order_entry *b)
{
  int order = compare_groups (a, b);

  if (order != 0)
    return order;
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms ? -1 : 1;
  return strcmp (a->id, b->id);
}

static gint
compare_pointers (gconstpointer a, gconstpointer b)
{
  return job_order_compare (*(struct job_order_entry *const *)a,
                            *(struct job_order_entry *const *)b);
}

/* A binary heap of entries, the one with the lowest key on top. */
struct heap_item
{
  double key;
  struct job_order_entry *entry;
};

static void
heap_push (GArray *heap, double key, struct job_order_entry *entry)
{
  struct heap_item item = { key, entry };
  struct heap_item *h;
  guint i = heap->len;

  g_array_append_val (heap, item);
  h = (struct heap_item *)(void *)heap->data;
  for (; i > 0 && h[(i - 1) / 2].key > key; i = (i - 1) / 2)
    h[i] = h[(i - 1) / 2];
  h[i] = item;
}

static struct job_order_entry *
heap_pop (GArray *heap)
{
  struct heap_item *h = (struct heap_item *)(void *)heap->data;
  struct job_order_entry *top = h[0].entry;
  struct heap_item last = h[heap->len - 1];
  guint i = 0;

  g_array_set_size (heap, heap->len - 1);
  for (;;)
    {
      guint child = 2 * i + 1;

      if (child + 1 < heap->len && h[child + 1].key < h[child].key)
        child++;
      if (child >= heap->len || h[child].key >= last.key)
        break;
      h[i] = h[child];
      i = child;
    }
  if (heap->len > 0)
    h[i] = last;
  return top;
}

static double
heap_top_key (const GArray *heap)
{
  return g_array_index (heap, struct heap_item, 0).key;
}

/* The plan of one group. */
struct plan
{
  int64_t now_ms;
  double cpu_milli;
  double work;     /* of the jobs that are placed so far */
  double max_work; /* counted of one job, see LARGE_PERCENT */
  GArray *in_time; /* heap of the jobs to end in time, by what they are worth
                      for their work */
  GArray *late;    /* heap of those that stepped back, by aim */
  GArray *late_placed; /* heap of those of them that are placed, by worth */
  double late_work;    /* of these */
};

static gint
compare_work (gconstpointer a, gconstpointer b)
{
  const uint64_t *x = a, *y = b;

  return *x < *y ? -1 : *x > *y;
}

/* Return the work that LARGE_PERCENT of the entries from FIRST to END do not
   exceed. */
static double
large_work (const GPtrArray *entries, guint first, guint end)
{
  GArray *works = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t large;

  for (guint i = first; i < end; i++)
    g_array_append_val (
        works,
        ((struct job_order_entry *)g_ptr_array_index (entries, i))->work);
  g_array_sort (works, compare_work);
  large = g_array_index (works, uint64_t, (end - first) * LARGE_PERCENT / 100);
  g_array_unref (works);
  return (double)large;
}

/* Return what ending E in time is worth for its work.  It rises with the time
   waited, so that a large job is not put back for ever newer small ones. */
static double
worth (const struct plan *p, const struct job_order_entry *e)
{
  double work = MIN ((double)e->work, p->max_work);
  double age = (double)e->waited_ms / (double)MAX (e->objective_ms, 1);

  return e->value / MAX (work, 1.0) * (1.0 + MIN (age, 1.0));
}

static bool
ends_after (const struct plan *p, int64_t time_ms)
{
  return (double)p->now_ms + p->work / p->cpu_milli > (double)time_ms;
}

static int64_t
late_aim_ms (const struct job_order_entry *e)
{
  return e->deadline_ms + e->objective_ms * (LATE_AIM_PERCENT - 100) / 100;
}

/* A job that takes longer than its last aim even alone aims later: otherwise
   it goes before all jobs that come until it ends. */
static void
give_up (const struct plan *p, struct job_order_entry *e)
{
  int64_t alone_ms = (int64_t)((double)e->work / p->cpu_milli);

  e->due_ms
      = e->deadline_ms + MAX ((LOST_FACTOR - 1) * e->objective_ms, alone_ms);
}

static void
step_back (struct plan *p, struct job_order_entry *e)
{
  if (p->now_ms + e->path_ms <= job_order_limit_ms (e))
    {
      e->due_ms = late_aim_ms (e);
      heap_push (p->late, (double)e->due_ms, e);
    }
  else
    give_up (p, e);
}

/* Let the jobs that are worth least step back until what is placed so far ends
   by TIME_MS. */
static void
make_room (struct plan *p, int64_t time_ms)
{
  while (p->in_time->len > 0 && ends_after (p, time_ms))
    {
      struct job_order_entry *e = heap_pop (p->in_time);

      p->work -= (double)e->work;
      step_back (p, e);
    }
}

/* Return whether the late jobs that are placed so far need more than their
   share of the capacity until TIME_MS. */
static bool
exceeds_late_share (const struct plan *p, int64_t time_ms)
{
  return p->late_work / p->cpu_milli * 100
         > (double)(time_ms - p->now_ms) * LATE_SHARE_PERCENT;
}

/* Place the late job with the next aim.  If the late jobs need more than their
   share, those that are worth least for their work are given up. */
static void
place_late (struct plan *p)
{
  struct job_order_entry *e = heap_pop (p->late);

  p->work += (double)e->work;
  p->late_work += (double)e->work;
  heap_push (p->late_placed, worth (p, e), e);
  while (p->late_placed->len > 0
         && exceeds_late_share (p, job_order_limit_ms (e)))
    {
      struct job_order_entry *lost = heap_pop (p->late_placed);

      p->work -= (double)lost->work;
      p->late_work -= (double)lost->work;
      give_up (p, lost);
    }
  make_room (p, e->due_ms);
}

/* Set due_ms of the entries from FIRST to END, a group sorted by deadline; the
   jobs of the groups before have WORK.  Return the work including theirs. */
static double
plan_group (const GPtrArray *entries, guint first, guint end, double work,
            double cpu_milli, int64_t now_ms)
{
  struct plan p
      = { .now_ms = now_ms,
          .cpu_milli = cpu_milli,
          .work = work,
          .max_work = large_work (entries, first, end),
          .in_time = g_array_new (FALSE, FALSE, sizeof (struct heap_item)),
          .late = g_array_new (FALSE, FALSE, sizeof (struct heap_item)),
          .late_placed
          = g_array_new (FALSE, FALSE, sizeof (struct heap_item)) };

  for (guint i = first; i < end; i++)
    {
      struct job_order_entry *e = g_ptr_array_index (entries, i);

      work += (double)e->work;
      while (p.late->len > 0
             && heap_top_key (p.late) <= (double)e->deadline_ms)
        place_late (&p);
      if (e->is_scheduled)
        {
          p.work += (double)e->work;
          continue;
        }
      if (now_ms + e->path_ms * HOPELESS_PATH_PERCENT / 100 > e->deadline_ms)
        {
          step_back (&p, e);
          continue;
        }
      p.work += (double)e->work;
      heap_push (p.in_time, worth (&p, e), e);
      /* Its last task has to start this early. */
      make_room (&p, e->deadline_ms - e->path_ms);
    }
  while (p.late->len > 0)
    place_late (&p);
  g_array_unref (p.in_time);
  g_array_unref (p.late);
  g_array_unref (p.late_placed);
  return work;
}

/* Return the time by which the work up to E has to be possible.  For a job
   that is late already, room within half of its objective is no shortage. */
static int64_t
shortage_limit_ms (const struct job_order_entry *e, int64_t now_ms)
{
  return MAX (e->deadline_ms, now_ms + e->objective_ms / 2);
}

bool
job_order_plan (GPtrArray *entries, uint64_t cpu_milli, bool may_step_back,
                int64_t now_ms)
{
  double cpu = (double)MAX (cpu_milli, 1);
  double work = 0;
  bool is_overloaded = false;
  guint first = 0;

  for (guint i = 0; i < entries->len; i++)
    {
      struct job_order_entry *e = g_ptr_array_index (entries, i);

      e->due_ms = e->deadline_ms;
    }
  g_ptr_array_sort (entries, compare_pointers);
  for (guint i = 0; i < entries->len && !is_overloaded; i++)
    {
      const struct job_order_entry *e = g_ptr_array_index (entries, i);

      if (e->is_long_running)
        continue;
      work += (double)e->work;
      is_overloaded = !e->is_scheduled
                      && (double)now_ms + work / cpu
                             > (double)shortage_limit_ms (e, now_ms);
    }
  if (!is_overloaded || !may_step_back)
    return is_overloaded;
  work = 0;
  while (first < entries->len)
    {
      const struct job_order_entry *head = g_ptr_array_index (entries, first);
      guint end = first + 1;

      while (end < entries->len
             && compare_groups (head, g_ptr_array_index (entries, end)) == 0)
        end++;
      if (!head->is_long_running)
        work = plan_group (entries, first, end, work, cpu, now_ms);
      first = end;
    }
  g_ptr_array_sort (entries, compare_pointers);
  return true;
}
