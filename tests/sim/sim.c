#include "world.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Runs seeded schedules of the core in the simulated world and prints counts
   of what happened.  The first seed that violates an invariant is printed and
   ends the run. */

#define DEFAULT_NODES 3
#define DEFAULT_FAULTS_MS 6000

enum option_key
{
  OPTION_FAULT = 'f',
  OPTION_SEEDS = 'n',
  OPTION_FIRST = 's',
  OPTION_MUTATION = 'm',
  OPTION_PAIRS = 'p',
  OPTION_NODES = 'N',
  OPTION_TRACE = 't',
  OPTION_KEEP = 'k',
  OPTION_LIST = 'l'
};

struct arguments
{
  struct world_options world;
  uint64_t first;
  uint64_t seeds;
  bool pairs;
  bool keep_going;
};

static const struct argp_option options[] = {
  { "fault", OPTION_FAULT, "NAME", 0,
    "A fault to draw from; all if none is given", 0 },
  { "seeds", OPTION_SEEDS, "N", 0, "How many seeds", 0 },
  { "first", OPTION_FIRST, "SEED", 0, "The first seed", 0 },
  { "mutation", OPTION_MUTATION, "NAME", 0,
    "Disable a safeguard; the run passes only if a seed violates an "
    "invariant",
    0 },
  { "pairs", OPTION_PAIRS, NULL, 0,
    "Run the seeds for every pair of faults whose first is given", 0 },
  { "nodes", OPTION_NODES, "N", 0, "How many nodes", 0 },
  { "list-faults", OPTION_LIST, NULL, 0, "Print the names of the faults", 0 },
  { "keep-going", OPTION_KEEP, NULL, 0,
    "Run all seeds and count those that violate an invariant", 0 },
  { "trace", OPTION_TRACE, NULL, 0, "Print each step", 0 },
  { 0 },
};

static int
find_name (const char *name, const char *(*name_of) (int), int count)
{
  for (int i = 0; i < count; i++)
    if (strcmp (name_of (i), name) == 0)
      return i;
  return -1;
}

static const char *
fault_name (int fault)
{
  return world_fault_name ((enum world_fault)fault);
}

static const char *
mutation_name (int mutation)
{
  return world_mutation_name ((enum world_mutation)mutation);
}

static int
find_or_fail (struct argp_state *state, const char *name,
              const char *(*name_of) (int), int count)
{
  int found = find_name (name, name_of, count);

  if (found >= 0)
    return found;
  fprintf (stderr, "the names are:");
  for (int i = 0; i < count; i++)
    fprintf (stderr, " %s", name_of (i));
  fprintf (stderr, "\n");
  argp_error (state, "unknown name %s", name);
  return 0;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case OPTION_FAULT:
      a->world.faults
          |= 1U << find_or_fail (state, arg, fault_name, WORLD_FAULT_COUNT);
      break;
    case OPTION_SEEDS:
      a->seeds = strtoull (arg, NULL, 10);
      break;
    case OPTION_FIRST:
      a->first = strtoull (arg, NULL, 10);
      break;
    case OPTION_MUTATION:
      a->world.mutation = (enum world_mutation)find_or_fail (
          state, arg, mutation_name, WORLD_MUTATION_COUNT);
      break;
    case OPTION_PAIRS:
      a->pairs = true;
      break;
    case OPTION_NODES:
      a->world.n_nodes = CLAMP (atoi (arg), 1, 8);
      break;
    case OPTION_LIST:
      for (int i = 0; i < WORLD_FAULT_COUNT; i++)
        printf ("%s\n", fault_name (i));
      exit (0);
    case OPTION_KEEP:
      a->keep_going = true;
      break;
    case OPTION_TRACE:
      a->world.trace = true;
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static void
add_counts (struct world_counts *sum, const struct world_counts *c)
{
  sum->steps += c->steps;
  sum->faults += c->faults;
  sum->requests += c->requests;
  sum->attempts += c->attempts;
  sum->starts += c->starts;
  sum->answered += c->answered;
  sum->not_run += c->not_run;
  sum->failed += c->failed;
  sum->unknown += c->unknown;
  sum->drains += c->drains;
  sum->publications += c->publications;
}

static void
print_counts (uint64_t seeds, const struct world_counts *c)
{
  printf ("%lu seeds, %lu steps, %lu faults; %lu requests in %lu attempts, "
          "%lu starts, %lu answered, %lu not run, %lu failed, %lu unknown; "
          "%lu drains, %lu publications\n",
          (unsigned long)seeds, (unsigned long)c->steps,
          (unsigned long)c->faults, (unsigned long)c->requests,
          (unsigned long)c->attempts, (unsigned long)c->starts,
          (unsigned long)c->answered, (unsigned long)c->not_run,
          (unsigned long)c->failed, (unsigned long)c->unknown,
          (unsigned long)c->drains, (unsigned long)c->publications);
  fflush (stdout);
}

/* Run the seeds.  Return whether all invariants held in all of them. */
static bool
run_seeds (const struct arguments *a, const struct world_options *base)
{
  struct world_counts sum = { 0 };
  struct world_options o = *base;
  uint64_t n_violating = 0;

  for (uint64_t i = 0; i < a->seeds; i++)
    {
      struct world *w;
      bool has_passed;

      o.seed = a->first + i;
      w = world_new (&o);
      has_passed = world_run (w);
      add_counts (&sum, world_counts (w));
      if (!has_passed && n_violating++ == 0)
        printf ("seed %lu: %s\n", (unsigned long)o.seed, world_violation (w));
      world_destroy (w);
      if (!has_passed && !a->keep_going)
        return false;
    }
  if (n_violating > 0)
    printf ("%lu of %lu seeds broke a promise\n", (unsigned long)n_violating,
            (unsigned long)a->seeds);
  print_counts (a->seeds, &sum);
  return n_violating == 0;
}

static bool
run_pairs (const struct arguments *a)
{
  struct world_options o = a->world;
  bool has_passed = true;

  for (int i = 0; i < WORLD_FAULT_COUNT; i++)
    for (int k = i + 1; k < WORLD_FAULT_COUNT; k++)
      {
        if ((a->world.faults & 1U << i) == 0)
          continue;
        o.faults = 1U << i | 1U << k;
        printf ("%s + %s: ", fault_name (i), fault_name (k));
        has_passed = run_seeds (a, &o) && has_passed;
      }
  return has_passed;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse, NULL, "Run seeded schedules of the core.",
          NULL,    NULL,  NULL };
  struct arguments a = {
    .world = { .n_nodes = DEFAULT_NODES, .faults_for_ms = DEFAULT_FAULTS_MS },
    .first = 1,
    .seeds = 100,
  };
  bool has_passed;

  argp_parse (&argp, argc, argv, 0, NULL, &a);
  if (a.world.faults == 0)
    a.world.faults = (1U << WORLD_FAULT_COUNT) - 1;
  has_passed = a.pairs ? run_pairs (&a) : run_seeds (&a, &a.world);
  if (a.world.mutation == MUTATION_NONE)
    return has_passed ? 0 : 1;
  printf ("mutation %s: %s\n", mutation_name ((int)a.world.mutation),
          has_passed ? "NOT caught" : "caught");
  return has_passed ? 1 : 0;
}
