#include "replay.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* replay generate DEPLOYMENT SEED
   replay run DEPLOYMENT SEED|FILE CONFIGURATION [OUTCOMES]
   replay kill DEPLOYMENT SEED|FILE CONFIGURATION NODE AT_MS

   The second, and the third whose node NODE dies at AT_MS, prints the figures
   of one replay as NAME VALUE lines, and checks the stated outcomes, lines of
   NAME <= VALUE, NAME >= VALUE or NAME = VALUE. */

#define NODES 8
#define RETURNS 3
#define WAIT_PARTS 4 /* a wait above a quarter of the target is not normal */

typedef GTree figures; /* name -> double * */

static void
put (figures *f, const char *prefix, const char *name, double value)
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
fits (const struct fate *f, const struct config_class *k)
{
  return f->event->bytes <= k->max_request_bytes;
}

/* Whether F started at its first coming. */
static bool
was_taken_at_once (const struct fate *f)
{
  return f->returns == 0 && f->started_ms >= 0;
}

static double
percent (double part, double whole)
{
  return whole == 0 ? 0 : 100.0 * part / whole;
}

/* Whether a later request of the class started before F would have been too
   late: then F, ahead of it in the queue, would have made it. */
static bool
was_refused_falsely (const GArray *fates, guint i, int64_t target_ms)
{
  const struct fate *f = &g_array_index (fates, struct fate, i);
  int64_t due_ms = f->event->at_ms + target_ms;

  for (guint k = 0; k < fates->len; k++)
    {
      const struct fate *g = &g_array_index (fates, struct fate, k);
      int64_t wait_ms = g->started_ms - g->came_ms;

      if (g->class_place == f->class_place && was_taken_at_once (g)
          && g->event->team == f->event->team
          && g->event->at_ms > f->event->at_ms
          && g->event->at_ms + wait_ms <= due_ms)
        return true;
    }
  return false;
}

struct class_sums
{
  uint32_t requests;
  uint32_t answered;
  uint32_t refused; /* at their first coming */
  uint32_t false_refusals;
  uint32_t back;
  uint32_t back_taken;
  uint32_t burst;
  uint32_t burst_refused;
  uint32_t never;
  uint32_t never_refused;
  uint32_t unsettled; /* neither answered nor told anything */
  uint32_t twice;     /* not idempotent, and begun twice */
  int64_t end_ms;     /* of the replay */
  GArray *waits;
  GArray *burst_waits;
  GArray *beside_waits;  /* of those that came beside another's burst */
  GArray *refused_after; /* how long the refused had waited */
};

static void
sum_refused (struct class_sums *s, const GArray *fates, guint i,
             const struct config_class *k)
{
  const struct fate *f = &g_array_index (fates, struct fate, i);
  double after_ms = (double)f->refused_after_ms;

  g_array_append_val (s->refused_after, after_ms);
  s->refused++;
  s->burst_refused += f->in_burst;
  s->false_refusals += f->reason == REASON_TOO_LATE
                       && was_refused_falsely (fates, i, k->start_within_ms);
}

static void
sum_fate (struct class_sums *s, const GArray *fates, guint i,
          const struct config_class *k)
{
  const struct fate *f = &g_array_index (fates, struct fate, i);
  double wait_ms = (double)(f->started_ms - f->came_ms);

  s->twice += !k->idempotent && f->starts > 1;
  if (!fits (f, k))
    {
      s->never++;
      s->never_refused += f->started_ms < 0 && f->ended;
      return;
    }
  s->requests++;
  s->answered += f->answered;
  s->unsettled += !f->ended && !f->cancelled && f->runs_until_ms <= s->end_ms;
  s->back += f->back_in_time;
  s->back_taken += f->back_in_time && f->taken;
  s->burst += f->in_burst;
  if (was_taken_at_once (f))
    {
      g_array_append_val (s->waits, wait_ms);
      if (f->in_burst)
        g_array_append_val (s->burst_waits, wait_ms);
      if (f->beside_burst)
        g_array_append_val (s->beside_waits, wait_ms);
    }
  else if (!f->cancelled)
    sum_refused (s, fates, i, k);
}

static void
put_class (figures *out, const char *name, struct class_sums *s)
{
  put (out, name, "requests", s->requests);
  put (out, name, "answered_percent", percent (s->answered, s->requests));
  put (out, name, "unsettled", s->unsettled);
  put (out, name, "run_twice", s->twice);
  put (out, name, "refused_percent", percent (s->refused, s->requests));
  put (out, name, "false_refusals_percent",
       percent (s->false_refusals, s->requests));
  put (out, name, "returned", s->back);
  put (out, name, "returned_taken_percent", percent (s->back_taken, s->back));
  put (out, name, "never_fits", s->never);
  put (out, name, "never_fits_refused_percent",
       percent (s->never_refused, s->never));
  put (out, name, "wait_p50_ms", quantile (s->waits, 0.5));
  put (out, name, "wait_p99_ms", quantile (s->waits, 0.99));
  put (out, name, "burst_wait_p50_ms", quantile (s->burst_waits, 0.5));
  put (out, name, "burst_wait_p99_ms", quantile (s->burst_waits, 0.99));
  put (out, name, "burst_refused_percent",
       percent (s->burst_refused, s->burst));
  put (out, name, "beside_burst_wait_p99_ms",
       quantile (s->beside_waits, 0.99));
  put (out, name, "refused_after_p50_ms", quantile (s->refused_after, 0.5));
}

/* How long after the class's burst its wait was back to normal, as a multiple
   of the burst's length. */
static double
recovery (const GArray *trace, const GArray *fates,
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
  for (guint i = 0; i < fates->len; i++)
    {
      const struct fate *f = &g_array_index (fates, struct fate, i);
      int64_t at_ms = f->event->at_ms;
      bool slow = f->started_ms < 0
                  || f->started_ms - f->came_ms > target_ms / WAIT_PARTS;

      if (strcmp (f->event->class_name, class_name) == 0 && !f->cancelled
          && fits (f, k) && (slow || f->returns > 0) && at_ms > last_ms
          && at_ms < b->at_ms + 4 * b->for_ms)
        last_ms = at_ms;
    }
  return (double)(last_ms - b->at_ms - b->for_ms) / (double)b->for_ms;
}

static void
put_baselines (figures *out, const GArray *trace, const GArray *fates,
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
      struct baseline_result *r
          = baseline_run (fates, slots, config, config->pools[pool].name, b);

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
          for (guint i = 0; i < fates->len; i++)
            {
              const struct fate *f = &g_array_index (fates, struct fate, i);
              double wait_ms = g_array_index (r->waits_ms, double, i);

              if (f->class_place != k || !f->in_burst || !fits (f, c))
                continue;
              burst++;
              if (wait_ms >= 0)
                g_array_append_val (waits, wait_ms);
            }
          name = g_strdup_printf ("%s.%s", c->name, baseline_name (b));
          put (out, name, "burst_wait_p50_ms", quantile (waits, 0.5));
          put (out, name, "burst_wait_p99_ms", quantile (waits, 0.99));
          put (out, name, "burst_refused_percent",
               percent (burst - waits->len, burst));
          put (out, name, "over_slots", (double)r->over_slots);
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
  const GArray *fates = r->fates;

  for (guint k = 0; k < config->n_classes; k++)
    {
      const struct config_class *c = &config->classes[k];
      struct class_sums s = { .end_ms = r->end_ms };

      s.waits = g_array_new (FALSE, FALSE, sizeof (double));
      s.burst_waits = g_array_new (FALSE, FALSE, sizeof (double));
      s.beside_waits = g_array_new (FALSE, FALSE, sizeof (double));
      s.refused_after = g_array_new (FALSE, FALSE, sizeof (double));
      for (guint i = 0; i < fates->len; i++)
        if (g_array_index (fates, struct fate, i).class_place == k)
          sum_fate (&s, fates, i, c);
      put_class (out, c->name, &s);
      put (out, c->name, "recovery_by_burst_length",
           recovery (trace, fates, c));
      g_array_unref (s.waits);
      g_array_unref (s.burst_waits);
      g_array_unref (s.beside_waits);
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

/* The share of the requests that were refused even after coming back. */
static double
refused_at_end (const GArray *fates)
{
  uint32_t refused = 0;

  for (guint i = 0; i < fates->len; i++)
    {
      const struct fate *f = &g_array_index (fates, struct fate, i);

      refused += f->ended && !f->cancelled && f->refused_ms >= 0
                 && f->reason != REASON_BODY_TOO_LARGE;
    }
  return percent (refused, fates->len);
}

static void
put_all (figures *out, const GArray *trace, const struct replay_result *r)
{
  put (out, "all", "runs", (double)r->runs);
  put (out, "all", "requests", r->fates->len);
  put (out, "all", "refused_at_end_percent", refused_at_end (r->fates));
  put (out, "all", "runs_over_slots", (double)r->runs_over_slots);
  put (out, "all", "runs_on_broken_percent",
       percent ((double)r->runs_on_broken,
                (double)(r->runs_on_broken + r->runs_beside_broken)));
  put (out, "all", "peer_messages_per_request",
       (double)r->peer_messages / r->fates->len);
  put (out, "all", "waves_done_ms", (double)r->waves_done_ms);
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

      /* Below a millisecond both are as good as no wait. */
      put (out, class_name, "burst_wait_p99_by_clairvoyant",
           *o / MAX (*b, 1.0));
      g_free (ours);
      g_free (best);
    }
}

static bool
holds (double value, const char *relation, double bound)
{
  if (strcmp (relation, "<=") == 0)
    return value <= bound;
  if (strcmp (relation, ">=") == 0)
    return value >= bound;
  return strcmp (relation, "=") == 0 && value == bound;
}

static int
check (figures *f, const char *filename)
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
      else if (!holds (*value, relation, bound))
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
run (const struct replay_options *o, const char *deployment,
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
    put_baselines (f, trace, r->fates, config, p);
  put_ratios (f, config);
  g_tree_foreach (f, print_figure, NULL);
  if (outcomes != NULL)
    status = check (f, outcomes);
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
      = { .n_nodes = NODES, .max_returns = RETURNS, .kill_node = -1 };
  GArray *trace;

  if (argc == 7 && strcmp (argv[1], "kill") == 0)
    {
      o.kill_node = atoi (argv[5]);
      o.kill_ms = atoi (argv[6]);
      return run (&o, argv[2], argv[3], argv[4], NULL);
    }
  if (argc >= 5 && strcmp (argv[1], "run") == 0)
    return run (&o, argv[2], argv[3], argv[4], argc > 5 ? argv[5] : NULL);
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
