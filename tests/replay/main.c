#include "replay.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* replay generate DEPLOYMENT SEED
   replay run DEPLOYMENT SEED|FILE CONFIGURATION [OUTCOMES]
   replay kill DEPLOYMENT SEED|FILE CONFIGURATION NODE AT_MS

   "generate" prints a trace.  "run" replays one, prints its figures as lines
   of NAME VALUE and checks them against the file OUTCOMES, which has lines of
   NAME <= VALUE, NAME >= VALUE or NAME = VALUE.  "kill" does the same without
   a check, and kills the node with index NODE at AT_MS. */

#define N_NODES 8
#define MAX_RETRIES 3
#define NORMAL_WAIT_DIVISOR 4 /* a normal wait is within target / 4 */

typedef GTree figures; /* name -> double * */

static void
put_figure (figures *f, const char *prefix, const char *name, double value)
{
  double *v = g_new (double, 1);

  *v = value;
  g_tree_replace (f, g_strdup_printf ("%s.%s", prefix, name), v);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  const double *x = a;
  const double *y = b;

  return *x < *y ? -1 : *x > *y;
}

static double
quantile (GArray *values, double q)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_doubles);
  return g_array_index (values, double,
                        MIN ((guint)(q * values->len), values->len - 1));
}

static bool
is_within_size_limit (const struct replayed_request *f,
                      const struct config_class *k)
{
  return f->event->bytes <= k->max_request_bytes;
}

/* Return whether F was started at its caller's first attempt. */
static bool
was_started_at_first_attempt (const struct replayed_request *f)
{
  return f->retries == 0 && f->started_ms >= 0;
}

static double
percent (double part, double whole)
{
  return whole == 0 ? 0 : 100.0 * part / whole;
}

/* Return whether a request of the same class and team that arrived after
   request I was started before I's deadline: I, ahead of it in the queue,
   would then have started in time. */
static bool
was_refused_falsely (const GArray *requests, guint i, int64_t target_ms)
{
  const struct replayed_request *f
      = &g_array_index (requests, struct replayed_request, i);
  int64_t due_ms = f->event->at_ms + target_ms;

  for (guint k = 0; k < requests->len; k++)
    {
      const struct replayed_request *g
          = &g_array_index (requests, struct replayed_request, k);
      int64_t wait_ms = g->started_ms - g->sent_ms;

      if (g->class_index == f->class_index && was_started_at_first_attempt (g)
          && g->event->team == f->event->team
          && g->event->at_ms > f->event->at_ms
          && g->event->at_ms + wait_ms <= due_ms)
        return true;
    }
  return false;
}

struct class_sums
{
  uint32_t n_requests;
  uint32_t answered;
  uint32_t refused; /* at their first attempt */
  uint32_t false_refusals;
  uint32_t retried;
  uint32_t retries_accepted;
  uint32_t burst;
  uint32_t burst_refused;
  uint32_t oversized;
  uint32_t oversized_refused;
  uint32_t without_outcome; /* neither answered nor refused */
  uint32_t run_twice;       /* not idempotent, but started twice */
  int64_t end_ms;           /* of the replay */
  GArray *waits;
  GArray *burst_waits;
  GArray *sibling_burst_waits; /* in bursts of other classes */
  GArray *refused_after;       /* wait until the first refusal */
};

static void
sum_refused_request (struct class_sums *s, const GArray *requests, guint i,
                     const struct config_class *k)
{
  const struct replayed_request *f
      = &g_array_index (requests, struct replayed_request, i);
  double after_ms = (double)f->first_refusal_after_ms;

  g_array_append_val (s->refused_after, after_ms);
  s->refused++;
  s->burst_refused += f->in_burst;
  s->false_refusals
      += f->reason == REASON_TOO_LATE
         && was_refused_falsely (requests, i, k->start_within_ms);
}

static void
sum_request (struct class_sums *s, const GArray *requests, guint i,
             const struct config_class *k)
{
  const struct replayed_request *f
      = &g_array_index (requests, struct replayed_request, i);
  double wait_ms = (double)(f->started_ms - f->sent_ms);

  s->run_twice += !k->idempotent && f->starts > 1;
  if (!is_within_size_limit (f, k))
    {
      s->oversized++;
      s->oversized_refused += f->started_ms < 0 && f->ended;
      return;
    }
  s->n_requests++;
  s->answered += f->answered;
  s->without_outcome
      += !f->ended && !f->cancelled && f->run_end_ms <= s->end_ms;
  s->retried += f->has_retried;
  s->retries_accepted += f->has_retried && f->is_retry_accepted;
  s->burst += f->in_burst;
  if (was_started_at_first_attempt (f))
    {
      g_array_append_val (s->waits, wait_ms);
      if (f->in_burst)
        g_array_append_val (s->burst_waits, wait_ms);
      if (f->in_sibling_burst)
        g_array_append_val (s->sibling_burst_waits, wait_ms);
    }
  else if (!f->cancelled)
    sum_refused_request (s, requests, i, k);
}

static void
put_class (figures *out, const char *name, struct class_sums *s)
{
  put_figure (out, name, "requests", s->n_requests);
  put_figure (out, name, "answered_percent",
              percent (s->answered, s->n_requests));
  put_figure (out, name, "unsettled", s->without_outcome);
  put_figure (out, name, "run_twice", s->run_twice);
  put_figure (out, name, "refused_percent",
              percent (s->refused, s->n_requests));
  put_figure (out, name, "false_refusals_percent",
              percent (s->false_refusals, s->n_requests));
  put_figure (out, name, "returned", s->retried);
  put_figure (out, name, "returned_taken_percent",
              percent (s->retries_accepted, s->retried));
  put_figure (out, name, "never_fits", s->oversized);
  put_figure (out, name, "never_fits_refused_percent",
              percent (s->oversized_refused, s->oversized));
  put_figure (out, name, "wait_p50_ms", quantile (s->waits, 0.5));
  put_figure (out, name, "wait_p99_ms", quantile (s->waits, 0.99));
  put_figure (out, name, "burst_wait_p50_ms", quantile (s->burst_waits, 0.5));
  put_figure (out, name, "burst_wait_p99_ms", quantile (s->burst_waits, 0.99));
  put_figure (out, name, "burst_refused_percent",
              percent (s->burst_refused, s->burst));
  put_figure (out, name, "beside_burst_wait_p99_ms",
              quantile (s->sibling_burst_waits, 0.99));
  put_figure (out, name, "refused_after_p50_ms",
              quantile (s->refused_after, 0.5));
}

/* Return how long after the class's burst its wait was back to normal, as a
   multiple of the burst's length. */
static double
recovery_by_burst_length (const GArray *trace, const GArray *requests,
                          const struct config_class *k)
{
  const char *class_name = k->name;
  int64_t target_ms = k->start_within_ms;
  const struct trace_event *b = NULL;
  int64_t last_ms = 0;

  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *e
          = &g_array_index (trace, struct trace_event, i);

      if (e->kind == TRACE_BURST && strcmp (e->class_name, class_name) == 0)
        b = e;
    }
  if (b == NULL)
    return 0;
  last_ms = b->at_ms + b->for_ms;
  for (guint i = 0; i < requests->len; i++)
    {
      const struct replayed_request *f
          = &g_array_index (requests, struct replayed_request, i);
      int64_t at_ms = f->event->at_ms;
      bool slow
          = f->started_ms < 0
            || f->started_ms - f->sent_ms > target_ms / NORMAL_WAIT_DIVISOR;

      if (strcmp (f->event->class_name, class_name) == 0 && !f->cancelled
          && is_within_size_limit (f, k) && (slow || f->retries > 0)
          && at_ms > last_ms && at_ms < b->at_ms + 4 * b->for_ms)
        last_ms = at_ms;
    }
  return (double)(last_ms - b->at_ms - b->for_ms) / (double)b->for_ms;
}

static void
put_baselines (figures *out, const GArray *trace, const GArray *requests,
               const struct config *config, uint32_t pool)
{
  uint32_t slots = 0;

  for (guint i = 0; i < trace->len; i++)
    {
      const struct trace_event *e
          = &g_array_index (trace, struct trace_event, i);

      if (e->kind == TRACE_VM
          && strcmp (e->pool, config->pools[pool].name) == 0)
        slots += e->slots;
    }
  for (int b = 0; b < BASELINE_COUNT; b++)
    {
      struct baseline_result *r = baseline_run (requests, slots, config,
                                                config->pools[pool].name, b);

      for (guint k = 0; k < config->n_classes; k++)
        {
          const struct config_class *c = &config->classes[k];
          GArray *waits = g_array_new (FALSE, FALSE, sizeof (double));
          uint32_t burst = 0;
          char *name;

          if (config->services[c->service].pool != pool)
            {
              g_array_unref (waits);
              continue;
            }
          for (guint i = 0; i < requests->len; i++)
            {
              const struct replayed_request *f
                  = &g_array_index (requests, struct replayed_request, i);
              double wait_ms = g_array_index (r->waits_ms, double, i);

              if (f->class_index != k || !f->in_burst
                  || !is_within_size_limit (f, c))
                continue;
              burst++;
              if (wait_ms >= 0)
                g_array_append_val (waits, wait_ms);
            }
          name = g_strdup_printf ("%s.%s", c->name, baseline_name (b));
          put_figure (out, name, "burst_wait_p50_ms", quantile (waits, 0.5));
          put_figure (out, name, "burst_wait_p99_ms", quantile (waits, 0.99));
          put_figure (out, name, "burst_refused_percent",
                      percent (burst - waits->len, burst));
          put_figure (out, name, "over_slots", (double)r->over_slots);
          g_free (name);
          g_array_unref (waits);
        }
      baseline_result_destroy (r);
    }
}

static void
put_classes (figures *out, const GArray *trace, const struct replay_result *r,
             const struct config *config)
{
  const GArray *requests = r->requests;

  for (guint k = 0; k < config->n_classes; k++)
    {
      const struct config_class *c = &config->classes[k];
      struct class_sums s = { .end_ms = r->end_ms };

      s.waits = g_array_new (FALSE, FALSE, sizeof (double));
      s.burst_waits = g_array_new (FALSE, FALSE, sizeof (double));
      s.sibling_burst_waits = g_array_new (FALSE, FALSE, sizeof (double));
      s.refused_after = g_array_new (FALSE, FALSE, sizeof (double));
      for (guint i = 0; i < requests->len; i++)
        if (g_array_index (requests, struct replayed_request, i).class_index
            == k)
          sum_request (&s, requests, i, c);
      put_class (out, c->name, &s);
      put_figure (out, c->name, "recovery_by_burst_length",
                  recovery_by_burst_length (trace, requests, c));
      g_array_unref (s.waits);
      g_array_unref (s.burst_waits);
      g_array_unref (s.sibling_burst_waits);
      g_array_unref (s.refused_after);
    }
}

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

static gboolean
print_figure (gpointer name, gpointer value, gpointer unused)
{
  printf ("%-52s %.2f\n", (char *)name, *(double *)value);
  return FALSE;
}

/* Return the percentage of requests that were refused in the end, after all
   retries. */
static double
refused_at_end_percent (const GArray *requests)
{
  uint32_t refused = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const struct replayed_request *f
          = &g_array_index (requests, struct replayed_request, i);

      refused += f->ended && !f->cancelled && f->refused_ms >= 0
                 && f->reason != REASON_BODY_TOO_LARGE;
    }
  return percent (refused, requests->len);
}

static void
put_all (figures *out, const GArray *trace, const struct replay_result *r)
{
  put_figure (out, "all", "runs", (double)r->runs);
  put_figure (out, "all", "requests", r->requests->len);
  put_figure (out, "all", "refused_at_end_percent",
              refused_at_end_percent (r->requests));
  put_figure (out, "all", "runs_over_slots", (double)r->runs_over_slots);
  put_figure (
      out, "all", "runs_on_broken_percent",
      percent ((double)r->runs_on_failing_vms,
               (double)(r->runs_on_failing_vms + r->runs_beside_failing_vms)));
  put_figure (out, "all", "peer_messages_per_request",
              (double)r->peer_messages / r->requests->len);
  put_figure (out, "all", "waves_done_ms", (double)r->waves_done_ms);
}

static void
put_ratios (figures *out, const struct config *config)
{
  for (guint k = 0; k < config->n_classes; k++)
    {
      const char *class_name = config->classes[k].name;
      char *ours = g_strdup_printf ("%s.burst_wait_p99_ms", class_name);
      char *best
          = g_strdup_printf ("%s.clairvoyant.burst_wait_p99_ms", class_name);
      double *o = g_tree_lookup (out, ours);
      double *b = g_tree_lookup (out, best);

      /* Waits below 1 ms are as good as none; they count as 1 ms here. */
      put_figure (out, class_name, "burst_wait_p99_by_clairvoyant",
                  *o / MAX (*b, 1.0));
      g_free (ours);
      g_free (best);
    }
}

static bool
bound_holds (double value, const char *relation, double bound)
{
  if (strcmp (relation, "<=") == 0)
    return value <= bound;
  if (strcmp (relation, ">=") == 0)
    return value >= bound;
  return strcmp (relation, "=") == 0 && value == bound;
}

static int
check_outcomes (figures *f, const char *filename)
{
  char *text;
  char **lines;
  int missed = 0;

  if (!g_file_get_contents (filename, &text, NULL, NULL))
    {
      fprintf (stderr, "%s: can't be read\n", filename);
      return 1;
    }
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char name[128];
      char relation[4];
      double bound;
      const double *value;

      if (lines[i][0] == '\0' || lines[i][0] == '#')
        continue;
      if (sscanf (lines[i], "%127s %3s %lf", name, relation, &bound) != 3
          || (value = g_tree_lookup (f, name)) == NULL)
        {
          printf ("wrong line in %s: %s\n", filename, lines[i]);
          missed++;
        }
      else if (!bound_holds (*value, relation, bound))
        {
          printf ("MISSED %s: is %.2f\n", lines[i], *value);
          missed++;
        }
    }
  g_strfreev (lines);
  g_free (text);
  printf ("%s: %d outcomes missed\n", filename, missed);
  return missed == 0 ? 0 : 1;
}

static int
run_command (const struct replay_options *o, const char *deployment,
             const char *source, const char *config_name, const char *outcomes)
{
  GError *error = NULL;
  char *text = replay_config (config_name, &error);
  bool is_seed = g_ascii_isdigit (source[0]);
  GArray *trace = is_seed
                      ? generate_trace (deployment, (uint32_t)atoi (source))
                      : trace_read (source, &error);
  struct config *config;
  struct replay_result *r;
  figures *f = g_tree_new_full (compare_names, NULL, g_free, g_free);
  int status = 0;

  if (text == NULL || trace == NULL)
    {
      fprintf (stderr, "replay: %s\n",
               error != NULL ? error->message : "no such deployment");
      return 2;
    }
  config = config_from_text (text, -1, NULL);
  r = replay_run (trace, text, o);
  put_all (f, trace, r);
  put_classes (f, trace, r, config);
  for (guint p = 0; p < config->n_pools; p++)
    put_baselines (f, trace, r->requests, config, p);
  put_ratios (f, config);
  g_tree_foreach (f, print_figure, NULL);
  if (outcomes != NULL)
    status = check_outcomes (f, outcomes);
  g_tree_destroy (f);
  replay_result_destroy (r);
  config_destroy (config);
  g_array_unref (trace);
  g_free (text);
  return status;
}

int
main (int argc, char **argv)
{
  struct replay_options o
      = { .n_nodes = N_NODES, .max_retries = MAX_RETRIES, .kill_node = -1 };
  GArray *trace;

  if (argc == 7 && strcmp (argv[1], "kill") == 0)
    {
      o.kill_node = atoi (argv[5]);
      o.kill_ms = atoi (argv[6]);
      return run_command (&o, argv[2], argv[3], argv[4], NULL);
    }
  if (argc >= 5 && strcmp (argv[1], "run") == 0)
    return run_command (&o, argv[2], argv[3], argv[4],
                        argc > 5 ? argv[5] : NULL);
  if (argc != 4 || strcmp (argv[1], "generate") != 0
      || (trace = generate_trace (argv[2], (uint32_t)atoi (argv[3]))) == NULL)
    {
      fprintf (stderr,
               "usage: replay generate DEPLOYMENT SEED\n"
               "       replay run DEPLOYMENT SEED|FILE CONFIGURATION "
               "[OUTCOMES]\n"
               "       replay kill DEPLOYMENT SEED|FILE CONFIGURATION NODE "
               "AT_MS\n");
      return 2;
    }
  trace_write (trace, stdout);
  g_array_unref (trace);
  return 0;
}
