#include "claim_world.h"

/* Every interleaving of a few nodes that are asked to run one key: append,
   lost reply, late copy, read, grant, dispatch, arrival, end, time-out, crash,
   forgetting, outage and restore.  The transitions are the product's own; the
   log, the network and the worker are a few lines here.  States that differ
   only in the order of independent steps are visited once: a node's state
   follows from what it was given, so that history, the log and what is on its
   way name the state.  With a guard taken out, the search must find a run that
   breaks a promise. */

#define DEPTH_MAX 64

struct search
{
  const struct model *model;
  GHashTable *seen; /* XXH128_hash_t */
  struct step path[DEPTH_MAX];
  int depth;
  int deepest;
  uint64_t edges;
  uint64_t ended; /* states in which nothing more can happen */
  uint64_t ran;   /* of them, the key has run */
  const char *broken;
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
  g_test_message ("%s: %s:%s", s->model->name, s->broken, text->str);
  g_string_free (text, TRUE);
}

static void
note_end (struct search *s, const struct world *w)
{
  int starts = 0;

  for (int i = 0; i < w->model->nodes; i++)
    starts += w->holders[i].starts;
  s->ended++;
  s->ran += starts > 0;
}

static void explore (struct search *s, struct world *w);

/* Go on from the path so far with STEP, in a world of its own. */
static void
branch (struct search *s, struct step step)
{
  struct world w;

  world_init (&w, s->model);
  for (int i = 0; i < s->depth; i++)
    world_do_step (&w, &s->path[i]);
  world_do_step (&w, &step);
  s->path[s->depth++] = step;
  s->edges++;
  explore (s, &w);
  s->depth--;
  world_clear (&w);
}

static void
explore (struct search *s, struct world *w)
{
  XXH128_hash_t name = world_name (w);
  int n = 0;

  s->deepest = MAX (s->deepest, s->depth);
  if (w->broken != NULL)
    {
      s->broken = w->broken;
      print_path (s, s->depth);
      return;
    }
  if (!g_hash_table_add (s->seen, g_memdup2 (&name, sizeof name)))
    return;
  g_assert_cmpint (s->depth, <, DEPTH_MAX);
  for (int a = 0; a < ACTION_COUNT && s->broken == NULL; a++)
    for (int i = 0; i < s->model->nodes && s->broken == NULL; i++)
      {
        struct step step = { (enum action)a, i };

        if (!world_may_step (w, &step))
          continue;
        n++;
        branch (s, step);
      }
  if (n == 0)
    note_end (s, w);
}

/* Search MODEL through.  Return the promise that a run breaks, or NULL. */
static const char *
search_model (const struct model *m)
{
  struct search s = { .model = m };
  struct world w;
  int64_t start_us = g_get_monotonic_time ();

  s.seen = g_hash_table_new_full (state_hash, state_equal, g_free, NULL);
  world_init (&w, m);
  explore (&s, &w);
  world_clear (&w);
  g_test_message ("%s: %u states, %u steps, %u ends (%u of them ran), deepest "
                  "%d, %d ms",
                  m->name, g_hash_table_size (s.seen), (guint)s.edges,
                  (guint)s.ended, (guint)s.ran, s.deepest,
                  (int)((g_get_monotonic_time () - start_us) / 1000));
  if (s.broken == NULL)
    {
      /* Not an empty proof: some runs start the key, and some never do. */
      g_assert_cmpuint (s.ran, >, 0);
      if (m->budgets.time_outs > 0)
        g_assert_cmpuint (s.ran, <, s.ended);
    }
  g_hash_table_unref (s.seen);
  world_end_all ();
  return s.broken;
}

/* Searched in every run of the tests. */
static const struct model usual[] = {
  { "crash", 2, { .crashes = 1, .time_outs = 2 }, NO_MUTATION },
  { "lost reply and crash",
    2,
    { .lost = 1, .crashes = 1, .time_outs = 1 },
    NO_MUTATION },
  { "lost reply, then forgotten",
    2,
    { .lost = 1, .forgets = 1, .time_outs = 1 },
    NO_MUTATION },
  { "broken and refused runs",
    2,
    { .break_offs = 1, .turn_aways = 1, .time_outs = 2 },
    NO_MUTATION },
  { "late grants",
    2,
    { .late_grants = 1, .turn_aways = 1, .time_outs = 2 },
    NO_MUTATION },
  { "outage", 2, { .outages = 2, .time_outs = 2 }, NO_MUTATION },
  { "restore", 2, { .restores = 1, .time_outs = 1 }, NO_MUTATION },
  { "three nodes", 3, { 0 }, NO_MUTATION },
};

/* Searched as well if MODEL_DEEP is set; this takes minutes. */
static const struct model deep[] = {
  { "lost reply and crash, all time out",
    2,
    { .lost = 1, .crashes = 1, .time_outs = 2 },
    NO_MUTATION },
  { "lost reply, then forgotten, all time out",
    2,
    { .lost = 1, .forgets = 1, .time_outs = 2 },
    NO_MUTATION },
  { "lost reply and restore",
    2,
    { .restores = 1, .lost = 1, .time_outs = 2 },
    NO_MUTATION },
  { "three nodes, one times out", 3, { .time_outs = 1 }, NO_MUTATION },
  { "three nodes, all time out", 3, { .time_outs = 3 }, NO_MUTATION },
};

/* Each with a guard taken out. */
static const struct model broken[] = {
  { "a loser may run", 2, { 0 }, LOSER_MAY_RUN },
  { "any node may run", 2, { 0 }, ANY_NODE_MAY_RUN },
  { "no claim", 2, { 0 }, NO_CLAIM },
  { "any outcome", 2, { .lost = 1, .time_outs = 1 }, ANY_OUTCOME },
  { "any prior", 2, { .lost = 1, .forgets = 1, .time_outs = 1 }, ANY_PRIOR },
  { "copy of a forgotten claim",
    2,
    { .lost = 1, .forgets = 1 },
    COPY_OF_FORGOTTEN },
  { "a lost run is not started", 2, { .break_offs = 1 }, LOST_IS_NOT_STARTED },
};

static void
test_promises_hold (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (usual); i++)
    g_assert_cmpstr (search_model (&usual[i]), ==, NULL);
  if (g_getenv ("MODEL_DEEP") == NULL)
    return;
  for (gsize i = 0; i < G_N_ELEMENTS (deep); i++)
    g_assert_cmpstr (search_model (&deep[i]), ==, NULL);
}

static void
test_each_guard_is_needed (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (broken); i++)
    g_assert_cmpstr (search_model (&broken[i]), !=, NULL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/model-claim/promises-hold", test_promises_hold);
  g_test_add_func ("/model-claim/each-guard-is-needed",
                   test_each_guard_is_needed);
  return g_test_run ();
}
