#include "replay.h"

#include <string.h>

/* Simulates the baselines and the clairvoyant bound.  They know the trace's
   actual run times, have all slots all the time, and have no message delays,
   so each result is slightly better than a real implementation's. */

#define N_NODES 8
#define SLOTS_PER_VM 8
#define GOSSIP_INTERVAL_MS 500
#define RETRY_MS 20
#define STRAGGLER_FACTOR 8

struct queued_request
{
  guint index; /* in the result's waits_ms */
  uint32_t node;
  bool is_straggler;
  int64_t target_ms;
  double arrived_ms;
  double remaining_ms;      /* of its run time */
  double start_deadline_ms; /* latest start */
  double end_ms;            /* of the current run */
  double park_after_ms;     /* run time after which it is requeued */
  bool has_started;
  bool is_parked; /* it ran longer than its estimate and was requeued */
};

/* One queue in front of a number of slots. */
struct scheduler
{
  GSequence *waiting;
  GSequence *running; /* by end time */
  GSequence *victims; /* the running, the first to be preempted last */
  GCompareDataFunc order;
  bool preempts; /* higher priority preempts lower, see by_priority */
  bool parks;    /* only parked requests are preempted */
  uint32_t slots;
  struct baseline_result *result;
};

static gint
sign (double d)
{
  return d < 0 ? -1 : d > 0;
}

static gint
by_index (const struct queued_request *a, const struct queued_request *b)
{
  return a->index < b->index ? -1 : a->index > b->index;
}

static gint
by_deadline (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  gint d = sign (x->start_deadline_ms - y->start_deadline_ms);

  return d != 0 ? d : by_index (x, y);
}

static gint
by_priority (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct queued_request *x = a;
  const struct queued_request *y = b;

  if (x->is_parked != y->is_parked)
    return x->is_parked ? 1 : -1;
  if (x->is_straggler != y->is_straggler)
    return x->is_straggler ? 1 : -1;
  if (x->target_ms != y->target_ms)
    return x->target_ms < y->target_ms ? -1 : 1;
  return by_index (x, y);
}

/* Order by deadline, with parked requests last. */
static gint
by_deadline_parked_last (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct queued_request *x = a;
  const struct queued_request *y = b;

  if (x->is_parked != y->is_parked)
    return x->is_parked ? 1 : -1;
  return by_deadline (a, b, NULL);
}

static gint
by_end (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  gint d = sign (x->end_ms - y->end_ms);

  return d != 0 ? d : by_index (x, y);
}

static struct queued_request *
first_of (GSequence *s)
{
  GSequenceIter *i = g_sequence_get_begin_iter (s);

  return g_sequence_iter_is_end (i) ? NULL : g_sequence_get (i);
}

static struct queued_request *
last_of (GSequence *s)
{
  if (g_sequence_is_empty (s))
    return NULL;
  return g_sequence_get (g_sequence_iter_prev (g_sequence_get_end_iter (s)));
}

static void
remove_request (GSequence *s, struct queued_request *j, GCompareDataFunc order)
{
  g_sequence_remove (g_sequence_lookup (s, j, order, NULL));
}

static void
start_request (struct scheduler *l, struct queued_request *j, double now_ms)
{
  if (!j->has_started)
    g_array_index (l->result->waits_ms, double, j->index)
        = now_ms - j->arrived_ms;
  j->has_started = true;
  j->end_ms = now_ms + j->remaining_ms;
  if (l->parks && !j->is_parked)
    j->end_ms = now_ms + MIN (j->remaining_ms, j->park_after_ms);
  g_sequence_insert_sorted (l->running, j, by_end, NULL);
  g_sequence_insert_sorted (l->victims, j, by_priority, NULL);
}

static void
stop_request (struct scheduler *l, struct queued_request *j, double now_ms)
{
  remove_request (l->running, j, by_end);
  remove_request (l->victims, j, by_priority);
  j->remaining_ms = j->end_ms - now_ms;
}

/* J has run until its end_ms: it is complete, or has reached park_after_ms and
   is requeued as parked. */
static void
finish_run (struct scheduler *l, struct queued_request *j)
{
  double ran_ms = MIN (j->remaining_ms, j->park_after_ms);

  remove_request (l->running, j, by_end);
  remove_request (l->victims, j, by_priority);
  if (!l->parks || j->is_parked || ran_ms >= j->remaining_ms)
    return;
  j->remaining_ms -= ran_ms;
  j->is_parked = true;
  g_sequence_insert_sorted (l->waiting, j, l->order, NULL);
}

/* Return whether J may preempt VICTIM. */
static bool
is_preempted_by (const struct scheduler *l,
                 const struct queued_request *victim,
                 const struct queued_request *j)
{
  if (l->parks)
    return victim->is_parked && !j->is_parked;
  return l->preempts && by_priority (j, victim, NULL) < 0;
}

static void
start_waiting (struct scheduler *l, double now_ms)
{
  struct queued_request *j;

  while ((j = first_of (l->waiting)) != NULL)
    {
      struct queued_request *victim = last_of (l->victims);
      bool full = (uint32_t)g_sequence_get_length (l->running) >= l->slots;

      if (!j->has_started && j->start_deadline_ms < now_ms)
        {
          remove_request (l->waiting, j, l->order);
          continue;
        }
      if (full && !is_preempted_by (l, victim, j))
        return;
      remove_request (l->waiting, j, l->order);
      if (full)
        {
          stop_request (l, victim, now_ms);
          g_sequence_insert_sorted (l->waiting, victim, l->order, NULL);
        }
      start_request (l, j, now_ms);
    }
}

/* Run the requests of NODE, or all if it is negative, through L. */
static void
run_scheduler (struct scheduler *l, GArray *queued, int node)
{
  guint next = 0;

  l->waiting = g_sequence_new (NULL);
  l->running = g_sequence_new (NULL);
  l->victims = g_sequence_new (NULL);
  for (;;)
    {
      struct queued_request *end = first_of (l->running);
      struct queued_request *j;

      while (next < queued->len && node >= 0
             && g_array_index (queued, struct queued_request, next).node
                    != (uint32_t)node)
        next++;
      j = next < queued->len
              ? &g_array_index (queued, struct queued_request, next)
              : NULL;
      if (j == NULL && end == NULL)
        break;
      if (end != NULL && (j == NULL || end->end_ms <= j->arrived_ms))
        {
          double now_ms = end->end_ms;

          finish_run (l, end);
          start_waiting (l, now_ms);
          continue;
        }
      next++;
      g_sequence_insert_sorted (l->waiting, j, l->order, NULL);
      start_waiting (l, j->arrived_ms);
    }
  g_sequence_free (l->waiting);
  g_sequence_free (l->running);
  g_sequence_free (l->victims);
}

/* Two random choices: each node knows the VMs' loads as of the last gossip, up
   to GOSSIP_INTERVAL_MS ago, plus what it has itself sent since. */

struct two_choices
{
  uint32_t n_vms;
  uint32_t *used;       /* by VM: slots in use */
  uint32_t *known_used; /* by node and VM: USED as the node knows it */
  GSequence *events;    /* struct choice_event * by time */
  double gossip_ms;
};

/* An attempt to start a request, or the end of a run on a VM. */
struct choice_event
{
  double at_ms;
  uint64_t order;
  struct queued_request *request; /* to start, if VM is -1 */
  int vm;                         /* on which a run ends, or -1 */
};

static gint
by_time (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct choice_event *x = a;
  const struct choice_event *y = b;
  gint d = sign (x->at_ms - y->at_ms);

  return d != 0 ? d : x->order < y->order ? -1 : 1;
}

static void
push_event (struct two_choices *c, double at_ms, uint64_t order,
            struct queued_request *j, int vm)
{
  struct choice_event *t = g_new0 (struct choice_event, 1);

  t->at_ms = at_ms;
  t->order = order;
  t->request = j;
  t->vm = vm;
  g_sequence_insert_sorted (c->events, t, by_time, NULL);
}

static void
gossip (struct two_choices *c, double now_ms)
{
  if (now_ms - c->gossip_ms < GOSSIP_INTERVAL_MS)
    return;
  c->gossip_ms = now_ms;
  for (uint32_t n = 0; n < N_NODES; n++)
    memcpy (c->known_used + (size_t)n * c->n_vms, c->used,
            c->n_vms * sizeof *c->used);
}

static void
try_start (struct two_choices *c, struct baseline_result *r,
           struct choice_event *t, uint64_t *order, GRand *random)
{
  struct queued_request *j = t->request;
  uint32_t *known_used = c->known_used + (size_t)j->node * c->n_vms;
  uint32_t a = (uint32_t)g_rand_int_range (random, 0, (gint32)c->n_vms);
  uint32_t b = (uint32_t)g_rand_int_range (random, 0, (gint32)c->n_vms);
  uint32_t vm = known_used[a] <= known_used[b] ? a : b;

  if (t->at_ms > j->start_deadline_ms)
    return;
  if (c->used[vm] >= SLOTS_PER_VM)
    {
      r->over_slots++;
      known_used[vm] = SLOTS_PER_VM;
      push_event (c, t->at_ms + RETRY_MS, (*order)++, j, -1);
      return;
    }
  c->used[vm]++;
  known_used[vm]++;
  g_array_index (r->waits_ms, double, j->index) = t->at_ms - j->arrived_ms;
  push_event (c, t->at_ms + j->remaining_ms, (*order)++, j, (int)vm);
}

static void
run_two_choices (struct baseline_result *r, GArray *queued, uint32_t slots)
{
  struct two_choices c = { .n_vms = MAX (slots / SLOTS_PER_VM, 1) };
  GRand *random = g_rand_new_with_seed (11);
  uint64_t order = 0;
  GSequenceIter *i;

  c.used = g_new0 (uint32_t, c.n_vms);
  c.known_used = g_new0 (uint32_t, (size_t)c.n_vms * N_NODES);
  c.events = g_sequence_new (g_free);
  for (guint k = 0; k < queued->len; k++)
    {
      struct queued_request *j
          = &g_array_index (queued, struct queued_request, k);

      push_event (&c, j->arrived_ms, order++, j, -1);
    }
  while (!g_sequence_iter_is_end (i = g_sequence_get_begin_iter (c.events)))
    {
      struct choice_event t = *(struct choice_event *)g_sequence_get (i);

      g_sequence_remove (i);
      gossip (&c, t.at_ms);
      if (t.vm >= 0)
        c.used[t.vm]--;
      else
        try_start (&c, r, &t, &order, random);
    }
  g_sequence_free (c.events);
  g_free (c.used);
  g_free (c.known_used);
  g_rand_free (random);
}

static gint
by_arrival (gconstpointer a, gconstpointer b)
{
  const struct queued_request *x = a;
  const struct queued_request *y = b;
  gint d = sign (x->arrived_ms - y->arrived_ms);

  return d != 0 ? d : by_index (x, y);
}

/* Return the REQUESTS of POOL by arrival time, which the caller unrefs. */
static GArray *
queued_requests_new (const GArray *requests, const struct config *config,
                     const char *pool)
{
  GArray *queued = g_array_new (FALSE, TRUE, sizeof (struct queued_request));

  for (guint i = 0; i < requests->len; i++)
    {
      const struct replayed_request *f
          = &g_array_index (requests, struct replayed_request, i);
      const struct config_class *k = &config->classes[f->class_index];
      struct queued_request j = { .index = i, .node = i * 2654435761U >> 29 };

      if (strcmp (config->services[k->service].pool_name, pool) != 0
          || f->event->bytes > k->max_request_bytes)
        continue;
      j.arrived_ms = (double)f->event->at_ms;
      j.remaining_ms = (double)f->event->run_ms;
      j.target_ms = k->start_within_ms;
      j.start_deadline_ms = j.arrived_ms + (double)k->start_within_ms;
      j.park_after_ms = (double)k->expected_run_ms * STRAGGLER_FACTOR;
      j.is_straggler
          = f->event->run_ms > k->expected_run_ms * STRAGGLER_FACTOR;
      g_array_append_val (queued, j);
    }
  g_array_sort (queued, by_arrival);
  return queued;
}

struct baseline_result *
baseline_run (const GArray *requests, uint32_t slots,
              const struct config *config, const char *pool,
              enum baseline baseline)
{
  struct baseline_result *r = g_new0 (struct baseline_result, 1);
  GArray *queued = queued_requests_new (requests, config, pool);
  struct scheduler l = { .order = by_deadline, .slots = slots, .result = r };

  r->waits_ms = g_array_new (FALSE, TRUE, sizeof (double));
  g_array_set_size (r->waits_ms, requests->len);
  for (guint i = 0; i < requests->len; i++)
    g_array_index (r->waits_ms, double, i) = -1;
  switch (baseline)
    {
    case BASELINE_CLAIRVOYANT:
      l.order = by_priority;
      l.preempts = true;
      run_scheduler (&l, queued, -1);
      break;
    case BASELINE_PARKING:
      l.order = by_deadline_parked_last;
      l.parks = true;
      run_scheduler (&l, queued, -1);
      break;
    case BASELINE_ONE_QUEUE:
      run_scheduler (&l, queued, -1);
      break;
    case BASELINE_FIXED_SHARES:
      l.slots = slots / N_NODES;
      for (int n = 0; n < N_NODES; n++)
        run_scheduler (&l, queued, n);
      break;
    case BASELINE_TWO_CHOICES:
      run_two_choices (r, queued, slots);
      break;
    case BASELINE_COUNT:
      break;
    }
  g_array_unref (queued);
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
