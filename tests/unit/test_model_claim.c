#include "claim_world.h"

/* Model checker: explores every interleaving of a few nodes that are asked to
   run one key, by append, lost reply, late copy, read, grant, dispatch,
   arrival, end, timeout, crash, expiry of keys, outage and restore.  The nodes
   run the product's own code; claim_world.h simulates the rest.  States that
   differ only in the order of independent steps are visited once: the state of
   a node follows from its inputs, so the inputs, the log and the messages in
   transit identify the state.  With a fault in one guard, the search must find
   a path that violates an invariant. */

#define DEPTH_MAX 64

struct search
{
  const struct model *model;
  GHashTable *visited; /* XXH128_hash_t */
  struct step path[DEPTH_MAX];
  int depth;
  int max_depth;
  uint64_t step_count;
  uint64_t end_states;     /* states without a next step */
  uint64_t ran_end_states; /* those of them in which the key has run */
  const char *violation;
};

/* The search. */

static guint
state_hash (gconstpointer p)
{
  return (guint)((const XXH128_hash_t *)p)->low64;
}

static gboolean
state_equal (gconstpointer a, gconstpointer b)
{
  return XXH128_isEqual (*(const XXH128_hash_t *)a, *(const XXH128_hash_t *)b);
}

static void
print_path (const struct search *s, int depth)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < depth; i++)
    g_string_append_printf (text, " %s(%s)", action_name (s->path[i].action),
                            node_name (s->path[i].node));
  g_test_message ("%s: %s:%s", s->model->name, s->violation, text->str);
  g_string_free (text, TRUE);
}

static void
count_end_state (struct search *s, const struct world *w)
{
  int starts = 0;

  for (int i = 0; i < w->model->nodes; i++)
    starts += w->nodes[i].starts;
  s->end_states++;
  s->ran_end_states += starts > 0;
}

static void explore (struct search *s, struct world *w);

/* Explore STEP after the path so far, in a new world in which the path is
   repeated. */
static void
explore_step (struct search *s, struct step step)
{
  struct world w;

  world_init (&w, s->model);
  for (int i = 0; i < s->depth; i++)
    world_do_step (&w, &s->path[i]);
  world_do_step (&w, &step);
  s->path[s->depth++] = step;
  s->step_count++;
  explore (s, &w);
  s->depth--;
  world_clear (&w);
}

static void
explore (struct search *s, struct world *w)
{
  XXH128_hash_t state = world_hash (w);
  int n = 0;

  s->max_depth = MAX (s->max_depth, s->depth);
  if (w->violation != NULL)
    {
      s->violation = w->violation;
      print_path (s, s->depth);
      return;
    }
  if (!g_hash_table_add (s->visited, g_memdup2 (&state, sizeof state)))
    return;
  g_assert_cmpint (s->depth, <, DEPTH_MAX);
  for (int a = 0; a < ACTION_COUNT && s->violation == NULL; a++)
    for (int i = 0; i < s->model->nodes && s->violation == NULL; i++)
      {
        struct step step = { (enum action)a, i };

        if (!world_may_step (w, &step))
          continue;
        n++;
        explore_step (s, step);
      }
  if (n == 0)
    count_end_state (s, w);
}

/* Explore all of model M.  Return an invariant that a path violates, or NULL.
 */
static const char *
search_model (const struct model *m)
{
  struct search s = { .model = m };
  struct world w;
  int64_t start_us = g_get_monotonic_time ();

  s.visited = g_hash_table_new_full (state_hash, state_equal, g_free, NULL);
  world_init (&w, m);
  explore (&s, &w);
  world_clear (&w);
  g_test_message ("%s: %u states, %u steps, %u ends (%u of them ran), deepest "
                  "%d, %d ms",
                  m->name, g_hash_table_size (s.visited), (guint)s.step_count,
                  (guint)s.end_states, (guint)s.ran_end_states, s.max_depth,
                  (int)((g_get_monotonic_time () - start_us) / 1000));
  if (s.violation == NULL)
    {
      /* The search must not be trivial: on some paths the key is run, and on
         some it never is. */
      g_assert_cmpuint (s.ran_end_states, >, 0);
      if (m->budgets.time_outs > 0)
        g_assert_cmpuint (s.ran_end_states, <, s.end_states);
    }
  g_hash_table_unref (s.visited);
  world_free_spare_configs ();
  return s.violation;
}

/* Explored in every run of the tests. */
static const struct model regular_models[] = {
  { "crash", 2, { .crashes = 1, .time_outs = 2 }, NO_MUTATION },
  { "lost reply and crash",
    2,
    { .lost_replies = 1, .crashes = 1, .time_outs = 1 },
    NO_MUTATION },
  { "lost reply, then expiry",
    2,
    { .lost_replies = 1, .key_expiries = 1, .time_outs = 1 },
    NO_MUTATION },
  { "lost connections and refused runs",
    2,
    { .lost_connections = 1, .refused_runs = 1, .time_outs = 2 },
    NO_MUTATION },
  { "repeated grants",
    2,
    { .repeated_grants = 1, .refused_runs = 1, .time_outs = 2 },
    NO_MUTATION },
  { "outage", 2, { .outages = 2, .time_outs = 2 }, NO_MUTATION },
  { "restore", 2, { .restores = 1, .time_outs = 1 }, NO_MUTATION },
  { "three nodes", 3, { 0 }, NO_MUTATION },
};

/* Explored as well if the environment variable MODEL_DEEP is set.  This takes
   minutes. */
static const struct model deep_models[] = {
  { "lost reply and crash, all time out",
    2,
    { .lost_replies = 1, .crashes = 1, .time_outs = 2 },
    NO_MUTATION },
  { "lost reply, then expiry, all time out",
    2,
    { .lost_replies = 1, .key_expiries = 1, .time_outs = 2 },
    NO_MUTATION },
  { "lost reply and restore",
    2,
    { .restores = 1, .lost_replies = 1, .time_outs = 2 },
    NO_MUTATION },
  { "three nodes, one times out", 3, { .time_outs = 1 }, NO_MUTATION },
  { "three nodes, all time out", 3, { .time_outs = 3 }, NO_MUTATION },
};

/* Each with a fault in one guard. */
static const struct model mutated_models[] = {
  { "a lost claim may run", 2, { 0 }, LOST_CLAIM_MAY_RUN },
  { "any node may run", 2, { 0 }, ANY_NODE_MAY_RUN },
  { "no claim", 2, { 0 }, NO_CLAIM },
  { "any outcome", 2, { .lost_replies = 1, .time_outs = 1 }, ANY_OUTCOME },
  { "any prior",
    2,
    { .lost_replies = 1, .key_expiries = 1, .time_outs = 1 },
    ANY_PRIOR },
  { "copy of an expired claim",
    2,
    { .lost_replies = 1, .key_expiries = 1 },
    COPY_OF_EXPIRED },
  { "a lost run is not started",
    2,
    { .lost_connections = 1 },
    LOST_IS_NOT_STARTED },
};

static void
test_invariants_hold (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (regular_models); i++)
    g_assert_cmpstr (search_model (&regular_models[i]), ==, NULL);
  if (g_getenv ("MODEL_DEEP") == NULL)
    return;
  for (gsize i = 0; i < G_N_ELEMENTS (deep_models); i++)
    g_assert_cmpstr (search_model (&deep_models[i]), ==, NULL);
}

static void
test_each_mutation_is_found (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (mutated_models); i++)
    g_assert_cmpstr (search_model (&mutated_models[i]), !=, NULL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/model-claim/invariants-hold", test_invariants_hold);
  g_test_add_func ("/model-claim/each-mutation-is-found",
                   test_each_mutation_is_found);
  return g_test_run ();
}
