#include "replay.h"

#include <string.h>

/* The baselines and the clairvoyant bound.  They know the trace's true run
   times, have all slots all the time, and pay nothing for messages, so each
   is a little better here than it could be built. */

#define NODES 8
#define SLOTS_PER_VM 8
#define GOSSIP_MS 500
#define TRY_AGAIN_MS 20
#define STRAGGLER_FACTOR 8

struct job
{
  guint place; /* in the waits */
  uint32_t node;
  bool straggler;
  int64_t target_ms;
  double came_ms;
  double left_ms; /* of its run */
  double due_ms;  /* to start by */
  double end_ms;  /* while it runs */
  double park_ms; /* how long it may run before it is put aside */
  bool started;
  bool parked; /* it outran its estimate */
};

struct line
{
  GSequence *waiting;
  GSequence *running; /* by end */
  GSequence *victims; /* the running, the first to give way last */
  GCompareDataFunc order;
  bool preempts; /* what ranks lower gives way */
  bool parks;    /* only what outran its estimate gives way */
  uint32_t slots;
  struct baseline_result *result;
};

static gint
sign (double d)
{
  return d < 0 ? -1 : d > 0;
}

static gint
by_place (const struct job *a, const struct job *b)
{
  return a->place < b->place ? -1 : a->place > b->place;
}

static gint
by_deadline (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct job *x = a;
  const struct job *y = b;
  gint d = sign (x->due_ms - y->due_ms);

  return d != 0 ? d : by_place (x, y);
}

static gint
by_rank (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct job *x = a;
  const struct job *y = b;

  if (x->parked != y->parked)
    return x->parked ? 1 : -1;
  if (x->straggler != y->straggler)
    return x->straggler ? 1 : -1;
  if (x->target_ms != y->target_ms)
    return x->target_ms < y->target_ms ? -1 : 1;
  return by_place (x, y);
}

/* By deadline, and what was put aside last. */
static gint
by_park (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct job *x = a;
  const struct job *y = b;

  if (x->parked != y->parked)
    return x->parked ? 1 : -1;
  return by_deadline (a, b, NULL);
}

static gint
by_end (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct job *x = a;
  const struct job *y = b;
  gint d = sign (x->end_ms - y->end_ms);

  return d != 0 ? d : by_place (x, y);
}

static struct job *
first_of (GSequence *s)
{
  GSequenceIter *i = g_sequence_get_begin_iter (s);

  return g_sequence_iter_is_end (i) ? NULL : g_sequence_get (i);
}

static struct job *
last_of (GSequence *s)
{
  if (g_sequence_is_empty (s))
    return NULL;
  return g_sequence_get (g_sequence_iter_prev (g_sequence_get_end_iter (s)));
}

static void
take_out (GSequence *s, struct job *j, GCompareDataFunc order)
{
  g_sequence_remove (g_sequence_lookup (s, j, order, NULL));
}

static void
start (struct line *l, struct job *j, double now_ms)
{
  if (!j->started)
    g_array_index (l->result->waits_ms, double, j->place)
        = now_ms - j->came_ms;
  j->started = true;
  j->end_ms = now_ms + j->left_ms;
  if (l->parks && !j->parked)
    j->end_ms = now_ms + MIN (j->left_ms, j->park_ms);
  g_sequence_insert_sorted (l->running, j, by_end, NULL);
  g_sequence_insert_sorted (l->victims, j, by_rank, NULL);
}

static void
stop (struct line *l, struct job *j, double now_ms)
{
  take_out (l->running, j, by_end);
  take_out (l->victims, j, by_rank);
  j->left_ms = j->end_ms - now_ms;
}

/* J has run until END_MS, all it needed or all that it may. */
static void
finish (struct line *l, struct job *j)
{
  double ran_ms = MIN (j->left_ms, j->park_ms);

  take_out (l->running, j, by_end);
  take_out (l->victims, j, by_rank);
  if (!l->parks || j->parked || ran_ms >= j->left_ms)
    return;
  j->left_ms -= ran_ms;
  j->parked = true;
  g_sequence_insert_sorted (l->waiting, j, l->order, NULL);
}

/* Whether VICTIM gives way to J. */
static bool
gives_way (const struct line *l, const struct job *victim, const struct job *j)
{
  if (l->parks)
    return victim->parked && !j->parked;
  return l->preempts && by_rank (j, victim, NULL) < 0;
}

static void
start_waiting (struct line *l, double now_ms)
{
  struct job *j;

  while ((j = first_of (l->waiting)) != NULL)
    {
      struct job *victim = last_of (l->victims);
      bool full = (uint32_t)g_sequence_get_length (l->running) >= l->slots;

      if (!j->started && j->due_ms < now_ms)
        {
          take_out (l->waiting, j, l->order);
          continue;
        }
      if (full && !gives_way (l, victim, j))
        return;
      take_out (l->waiting, j, l->order);
      if (full)
        {
          stop (l, victim, now_ms);
          g_sequence_insert_sorted (l->waiting, victim, l->order, NULL);
        }
      start (l, j, now_ms);
    }
}

/* Run the jobs of NODE, or all if it is negative, through one line. */
static void
run_line (struct line *l, GArray *jobs, int node)
{
  guint next = 0;

  l->waiting = g_sequence_new (NULL);
  l->running = g_sequence_new (NULL);
  l->victims = g_sequence_new (NULL);
  for (;;)
    {
      struct job *end = first_of (l->running);
      struct job *j;

      while (next < jobs->len && node >= 0
             && g_array_index (jobs, struct job, next).node != (uint32_t)node)
        next++;
      j = next < jobs->len ? &g_array_index (jobs, struct job, next) : NULL;
      if (j == NULL && end == NULL)
        break;
      if (end != NULL && (j == NULL || end->end_ms <= j->came_ms))
        {
          double now_ms = end->end_ms;

          finish (l, end);
          start_waiting (l, now_ms);
          continue;
        }
      next++;
      g_sequence_insert_sorted (l->waiting, j, l->order, NULL);
      start_waiting (l, j->came_ms);
    }
  g_sequence_free (l->waiting);
  g_sequence_free (l->running);
  g_sequence_free (l->victims);
}

/* Two random choices: each node sees the loads as gossiped up to GOSSIP_MS
   ago, plus what it has sent itself since. */

struct choices
{
  uint32_t n_vms;
  uint32_t *busy;   /* true slots in use */
  uint32_t *seen;   /* by node and VM */
  GSequence *tries; /* jobs by when they try next, in due order */
  double gossip_ms;
};

struct try_again
{
  double at_ms;
  uint64_t order;
  struct job *job; /* tries to start */
  int vm;          /* or a run on it ends, if not -1 */
};

static gint
by_time (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct try_again *x = a;
  const struct try_again *y = b;
  gint d = sign (x->at_ms - y->at_ms);

  return d != 0 ? d : x->order < y->order ? -1 : 1;
}

static void
push_try (struct choices *c, double at_ms, uint64_t order, struct job *j,
          int vm)
{
  struct try_again *t = g_new0 (struct try_again, 1);

  t->at_ms = at_ms;
  t->order = order;
  t->job = j;
  t->vm = vm;
  g_sequence_insert_sorted (c->tries, t, by_time, NULL);
}

static void
gossip (struct choices *c, double now_ms)
{
  if (now_ms - c->gossip_ms < GOSSIP_MS)
    return;
  c->gossip_ms = now_ms;
  for (uint32_t n = 0; n < NODES; n++)
    memcpy (c->seen + (size_t)n * c->n_vms, c->busy,
            c->n_vms * sizeof *c->busy);
}

static void
try_start (struct choices *c, struct baseline_result *r, struct try_again *t,
           uint64_t *order, GRand *random)
{
  struct job *j = t->job;
  uint32_t *seen = c->seen + (size_t)j->node * c->n_vms;
  uint32_t a = (uint32_t)g_rand_int_range (random, 0, (gint32)c->n_vms);
  uint32_t b = (uint32_t)g_rand_int_range (random, 0, (gint32)c->n_vms);
  uint32_t vm = seen[a] <= seen[b] ? a : b;

  if (t->at_ms > j->due_ms)
    return;
  if (c->busy[vm] >= SLOTS_PER_VM)
    {
      r->over_slots++;
      seen[vm] = SLOTS_PER_VM;
      push_try (c, t->at_ms + TRY_AGAIN_MS, (*order)++, j, -1);
      return;
    }
  c->busy[vm]++;
  seen[vm]++;
  g_array_index (r->waits_ms, double, j->place) = t->at_ms - j->came_ms;
  push_try (c, t->at_ms + j->left_ms, (*order)++, j, (int)vm);
}

static void
run_choices (struct baseline_result *r, GArray *jobs, uint32_t slots)
{
  struct choices c = { .n_vms = MAX (slots / SLOTS_PER_VM, 1) };
  GRand *random = g_rand_new_with_seed (11);
  uint64_t order = 0;
  GSequenceIter *i;

  c.busy = g_new0 (uint32_t, c.n_vms);
  c.seen = g_new0 (uint32_t, (size_t)c.n_vms * NODES);
  c.tries = g_sequence_new (g_free);
  for (guint k = 0; k < jobs->len; k++)
    {
      struct job *j = &g_array_index (jobs, struct job, k);

      push_try (&c, j->came_ms, order++, j, -1);
    }
  while (!g_sequence_iter_is_end (i = g_sequence_get_begin_iter (c.tries)))
    {
      struct try_again t = *(struct try_again *)g_sequence_get (i);

      g_sequence_remove (i);
      gossip (&c, t.at_ms);
      if (t.vm >= 0)
        c.busy[t.vm]--;
      else
        try_start (&c, r, &t, &order, random);
    }
  g_sequence_free (c.tries);
  g_free (c.busy);
  g_free (c.seen);
  g_rand_free (random);
}

static gint
by_coming (gconstpointer a, gconstpointer b)
{
  const struct job *x = a;
  const struct job *y = b;
  gint d = sign (x->came_ms - y->came_ms);

  return d != 0 ? d : by_place (x, y);
}

/* Return the requests of POOL in the order of their coming. */
static GArray *
jobs_new (const GArray *fates, const struct config *config, const char *pool)
{
  GArray *jobs = g_array_new (FALSE, TRUE, sizeof (struct job));

  for (guint i = 0; i < fates->len; i++)
    {
      const struct fate *f = &g_array_index (fates, struct fate, i);
      const struct config_class *k = &config->classes[f->class_place];
      struct job j = { .place = i, .node = i * 2654435761U >> 29 };

      if (strcmp (config->services[k->service].pool_name, pool) != 0
          || f->event->bytes > k->max_request_bytes)
        continue;
      j.came_ms = (double)f->event->at_ms;
      j.left_ms = (double)f->event->run_ms;
      j.target_ms = k->start_within_ms;
      j.due_ms = j.came_ms + (double)k->start_within_ms;
      j.park_ms = (double)k->expected_run_ms * STRAGGLER_FACTOR;
      j.straggler = f->event->run_ms > k->expected_run_ms * STRAGGLER_FACTOR;
      g_array_append_val (jobs, j);
    }
  g_array_sort (jobs, by_coming);
  return jobs;
}

struct baseline_result *
baseline_run (const GArray *fates, uint32_t slots, const struct config *config,
              const char *pool, enum baseline baseline)
{
  struct baseline_result *r = g_new0 (struct baseline_result, 1);
  GArray *jobs = jobs_new (fates, config, pool);
  struct line l = { .order = by_deadline, .slots = slots, .result = r };

  r->waits_ms = g_array_new (FALSE, TRUE, sizeof (double));
  g_array_set_size (r->waits_ms, fates->len);
  for (guint i = 0; i < fates->len; i++)
    g_array_index (r->waits_ms, double, i) = -1;
  switch (baseline)
    {
    case BASELINE_CLAIRVOYANT:
      l.order = by_rank;
      l.preempts = true;
      run_line (&l, jobs, -1);
      break;
    case BASELINE_PARKING:
      l.order = by_park;
      l.parks = true;
      run_line (&l, jobs, -1);
      break;
    case BASELINE_ONE_QUEUE:
      run_line (&l, jobs, -1);
      break;
    case BASELINE_FIXED_SHARES:
      l.slots = slots / NODES;
      for (int n = 0; n < NODES; n++)
        run_line (&l, jobs, n);
      break;
    case BASELINE_TWO_CHOICES:
      run_choices (r, jobs, slots);
      break;
    case BASELINE_COUNT:
      break;
    }
  g_array_unref (jobs);
  return r;
}

void
baseline_result_destroy (struct baseline_result *result)
{
  g_array_unref (result->waits_ms);
  g_free (result);
}

const char *
baseline_name (enum baseline baseline)
{
  static const char *const names[BASELINE_COUNT] = {
    [BASELINE_CLAIRVOYANT] = "clairvoyant",
    [BASELINE_PARKING] = "parking",
    [BASELINE_ONE_QUEUE] = "one-queue",
    [BASELINE_FIXED_SHARES] = "fixed-shares",
    [BASELINE_TWO_CHOICES] = "two-choices",
  };

  return names[baseline];
}
