#include "permission.h"

#include <glib.h>
#include <string.h>

/* An exhaustive exploration of a VM's move from pool "a" to pool "b" by three
   nodes, over the product's own fold, membership and permission.  A state is
   reached by a path of actions, which is replayed from the start; states that
   look the same are explored once.  Checked at every start of work: the
   platform has the VM in the pool that the work is for.

   Each mutation takes one guard away, and must be caught. */

#define NODES 3
#define STEP_MS 1500
#define VM "v"
#define MAX_DEPTH 16

enum action_kind
{
  ACT_READ,    /* node A reads the log to its head */
  ACT_BEAT,    /* node B takes in a heartbeat that A sends now */
  ACT_HOLD,    /* A sends a heartbeat that is held up on its way to B */
  ACT_ARRIVE,  /* it arrives */
  ACT_WAIT,    /* time passes */
  ACT_ASK,     /* A asks for the log's head, and is paused */
  ACT_RESUME,  /* A resumes and takes in the answer */
  ACT_DRAIN,   /* A proposes to drain the VM, and reads that it may */
  ACT_RELEASE, /* A proposes to release it, and the platform moves it */
  ACT_SERVE,   /* A proposes that it serves there */
  ACT_RESTART, /* A crashes and begins anew */
  ACT_KINDS
};

struct action
{
  enum action_kind kind;
  int a;
  int b;
};

enum mutation
{
  MUTATION_NONE,
  MUTATION_NO_READERS,    /* release without waiting for the other nodes */
  MUTATION_NO_LAPSE,      /* release as soon as most have read */
  MUTATION_NO_PERMISSION, /* start without a permission */
  MUTATION_LATE_ANSWER,   /* an answer counts from when it comes */
  MUTATION_OLD_ECHO,      /* so does an echo */
  MUTATION_AHEAD,         /* a peer that has read further confirms too */
  MUTATION_NO_DRAIN,      /* a VM that drains is still given work */
  MUTATION_COUNT
};

static const char *const mutation_names[MUTATION_COUNT]
    = { "none",        "no-readers", "no-lapse", "no-permission",
        "late-answer", "old-echo",   "ahead",    "no-drain" };

/* A log of up to this many records. */
#define MAX_RECORDS 16

struct model_node
{
  char name[4];
  uint64_t incarnation;
  struct fleet *fleet;
  struct members *members;
  struct closing closing;
  int64_t fresh_ms;
  int64_t asked_ms; /* of the answer that waits for a resume; -1 for none */
  uint64_t asked_head;
};

struct model
{
  enum mutation mutation;
  int64_t now_ms;
  struct record *log[MAX_RECORDS];
  uint64_t head;
  struct model_node nodes[NODES];
  struct peer_message *held[NODES][NODES];
  const char *assigned; /* pool, by the platform */
  bool cut[NODES];      /* from the log */
  int restarts;
  bool broken;
};

static struct turn
turn_of (struct model *m, int i)
{
  struct model_node *n = &m->nodes[i];
  struct turn t = { .now_ms = m->now_ms,
                    .node = n->name,
                    .incarnation = n->incarnation,
                    .fleet = n->fleet,
                    .members = n->members };

  t.permit_until_ms = permission_until (&t, n->fresh_ms);
  if (m->mutation == MUTATION_NO_PERMISSION)
    t.permit_until_ms = INT64_MAX;
  return t;
}

static void
begin_node (struct model *m, int i, uint64_t incarnation)
{
  struct model_node *n = &m->nodes[i];

  g_snprintf (n->name, sizeof n->name, "n%d", i);
  n->incarnation = incarnation;
  n->fleet = fleet_new ();
  n->members = members_new (n->name, "z", incarnation);
  n->closing = (struct closing){ 0, -1 };
  n->fresh_ms = -1;
  n->asked_ms = -1;
}

static void
end_node (struct model_node *n)
{
  fleet_destroy (n->fleet);
  members_destroy (n->members);
}

static bool
append (struct model *m, struct record *r)
{
  if (m->head == MAX_RECORDS)
    {
      record_destroy (r);
      return false;
    }
  m->log[m->head++] = r;
  return true;
}

static void
append_join (struct model *m, int i)
{
  struct record *r = record_new (RECORD_NODE_JOIN, m->nodes[i].name,
                                 m->nodes[i].incarnation);

  r->u.node_join.zone = g_strdup ("z");
  append (m, r);
}

static void
read_log (struct model *m, int i)
{
  struct model_node *n = &m->nodes[i];

  while (fleet_offset (n->fleet) < m->head)
    {
      uint64_t offset = fleet_offset (n->fleet) + 1;

      fleet_fold (n->fleet, m->log[offset - 1], offset, m->now_ms);
    }
}

#define CONFIG                                                                \
  "{\"teams\":[{\"name\":\"t\",\"token_sha256\":"                             \
  "\"b45f6aab3f78ddf81953881d73f96fa19564b50ee1f733ea5f782d548a1f1189\","     \
  "\"quota_slots\":8}],"                                                      \
  "\"pools\":[{\"name\":\"a\",\"min_vms\":0},{\"name\":\"b\"}],"              \
  "\"services\":[{\"name\":\"s\",\"pool\":\"a\"}],"                           \
  "\"classes\":[{\"name\":\"c\",\"service\":\"s\",\"start_within_ms\":1000,"  \
  "\"survive\":\"none\",\"max_unavailable_percent\":100}]}"

static struct model *
model_new (enum mutation mutation)
{
  struct model *m = g_new0 (struct model, 1);
  struct record *r = record_new (RECORD_CONFIG, "n0", 1);

  m->mutation = mutation;
  m->now_ms = 10000;
  m->assigned = "a";
  r->u.config.text = g_strdup (CONFIG);
  append (m, r);
  r = record_new (RECORD_VM_ADD, "n0", 1);
  r->u.vm_add.vm = g_strdup (VM);
  r->u.vm_add.address = g_strdup ("127.0.0.1");
  r->u.vm_add.port = 1;
  r->u.vm_add.zone = g_strdup ("z");
  r->u.vm_add.rack = g_strdup ("r");
  r->u.vm_add.pool = g_strdup ("a");
  r->u.vm_add.slots = 8;
  append (m, r);
  for (int i = 0; i < NODES; i++)
    {
      begin_node (m, i, 1);
      append_join (m, i);
    }
  for (int i = 0; i < NODES; i++)
    {
      read_log (m, i);
      m->nodes[i].fresh_ms = m->now_ms;
    }
  return m;
}

static void
model_free (struct model *m)
{
  for (uint64_t i = 0; i < m->head; i++)
    record_destroy (m->log[i]);
  for (int i = 0; i < NODES; i++)
    {
      end_node (&m->nodes[i]);
      for (int k = 0; k < NODES; k++)
        peer_message_destroy (m->held[i][k]);
    }
  g_free (m);
}

static struct peer_message *
heartbeat (struct model *m, int i, int to)
{
  struct model_node *n = &m->nodes[i];
  struct peer_message *p = peer_message_new (PEER_HEARTBEAT);

  p->from = g_strdup (n->name);
  p->incarnation = n->incarnation;
  p->u.heartbeat.zone = g_strdup ("z");
  p->u.heartbeat.offset = fleet_offset (n->fleet);
  p->u.heartbeat.stamp_ms = m->now_ms;
  if (members_find (n->members, m->nodes[to].name) != NULL)
    p->u.heartbeat.echoes
        = members_echo (members_find (n->members, m->nodes[to].name));
  return p;
}

static void
hear (struct model *m, int i, struct peer_message *p)
{
  struct peer_heartbeat *h = &p->u.heartbeat;

  if (m->mutation == MUTATION_OLD_ECHO)
    for (guint k = 0; h->echoes != NULL && k < h->echoes->len; k++)
      g_array_index (h->echoes, struct peer_echo, k).stamp_ms = m->now_ms;
  /* The mover sees the true offset; who asks for a confirmation does not. */
  if (m->mutation == MUTATION_AHEAD
      && h->offset > fleet_offset (m->nodes[i].fleet))
    h->offset = fleet_offset (m->nodes[i].fleet);
  members_hear (m->nodes[i].members, p, m->now_ms);
  peer_message_destroy (p);
}

/* Moving the VM. */

static const struct fleet_vm *
vm_of (struct model *m, int i)
{
  return fleet_find_vm (m->nodes[i].fleet, VM);
}

static bool
propose (struct model *m, int i, enum vm_phase phase, const char *pool,
         const char *next_pool)
{
  struct record *r
      = record_new (RECORD_VM_STEP, m->nodes[i].name, m->nodes[i].incarnation);

  r->u.vm_step.vm = g_strdup (VM);
  r->u.vm_step.since = vm_of (m, i)->changed;
  r->u.vm_step.phase = phase;
  r->u.vm_step.pool = g_strdup (pool);
  r->u.vm_step.next_pool = g_strdup (next_pool);
  r->u.vm_step.purpose = g_strdup ("move");
  return append (m, r);
}

static bool
is_closed (struct model *m, int i)
{
  struct turn t = turn_of (m, i);
  uint64_t since = vm_of (m, i)->changed;
  bool closed = permission_is_closed (&t, &m->nodes[i].closing, since);

  if (m->mutation == MUTATION_NO_READERS)
    return true;
  if (m->mutation == MUTATION_NO_LAPSE)
    return permission_read_by_most (&t, since);
  return closed;
}

/* Every node that may start work somewhere does so, in every state. */
static void
check_starts (struct model *m)
{
  static const char *const pools[] = { "a", "b" };

  for (int i = 0; i < NODES; i++)
    for (int k = 0; k < 2; k++)
      {
        struct turn t = turn_of (m, i);
        const struct fleet_vm *v = vm_of (m, i);
        struct fleet_vm serving;

        if (v == NULL || m->nodes[i].asked_ms >= 0) /* paused */
          continue;
        serving = *v;
        if (m->mutation == MUTATION_NO_DRAIN && v->phase == VM_DRAINING)
          serving.phase = VM_SERVING;
        if (permission_to_start (&t, &serving, pools[k])
            && strcmp (m->assigned, pools[k]) != 0)
          m->broken = true;
      }
}

static bool
is_paused (const struct model *m, int i)
{
  return m->nodes[i].asked_ms >= 0;
}

/* Do X, whose doer is not paused and whose log is not cut.  Return whether
   it could be done. */
static bool
act_awake (struct model *m, const struct action *x)
{
  struct model_node *n = &m->nodes[x->a];
  const struct fleet_vm *v = vm_of (m, x->a);

  switch (x->kind)
    {
    case ACT_READ:
      read_log (m, x->a);
      n->fresh_ms = m->now_ms;
      return true;
    case ACT_ASK:
      n->asked_ms = m->now_ms;
      n->asked_head = m->head;
      return true;
    case ACT_DRAIN:
      if (v == NULL || v->phase != VM_SERVING || strcmp (v->pool, "a") != 0
          || !propose (m, x->a, VM_DRAINING, "a", "b"))
        return false;
      read_log (m, x->a);
      return true;
    case ACT_RELEASE:
      if (v == NULL || v->phase != VM_DRAINING || !is_closed (m, x->a)
          || !propose (m, x->a, VM_RELEASED, "a", ""))
        return false;
      read_log (m, x->a);
      /* The platform acts at once, which is the worst for who lags. */
      if (vm_of (m, x->a)->phase == VM_RELEASED)
        m->assigned = "b";
      return true;
    case ACT_SERVE:
      return v != NULL && v->phase == VM_RELEASED
             && strcmp (m->assigned, "b") == 0
             && propose (m, x->a, VM_SERVING, "b", "");
    default:
      return false;
    }
}

static bool
act_restart (struct model *m, int i)
{
  struct model_node *n = &m->nodes[i];
  uint64_t incarnation = n->incarnation + 1;

  if (m->restarts > 0)
    return false;
  m->restarts++;
  end_node (n);
  begin_node (m, i, incarnation);
  if (!m->cut[i])
    append_join (m, i);
  return true;
}

static bool
act_one (struct model *m, const struct action *x)
{
  struct peer_message **held = &m->held[x->a][x->b];

  switch (x->kind)
    {
    case ACT_WAIT:
      m->now_ms += STEP_MS;
      return true;
    case ACT_BEAT:
      if (is_paused (m, x->a) || is_paused (m, x->b))
        return false;
      hear (m, x->b, heartbeat (m, x->a, x->b));
      return true;
    case ACT_HOLD:
      if (is_paused (m, x->a) || *held != NULL)
        return false;
      *held = heartbeat (m, x->a, x->b);
      return true;
    case ACT_ARRIVE:
      if (is_paused (m, x->b) || *held == NULL)
        return false;
      hear (m, x->b, g_steal_pointer (held));
      return true;
    case ACT_RESUME:
      if (!is_paused (m, x->a))
        return false;
      if (fleet_offset (m->nodes[x->a].fleet) >= m->nodes[x->a].asked_head)
        m->nodes[x->a].fresh_ms = m->mutation == MUTATION_LATE_ANSWER
                                      ? m->now_ms
                                      : m->nodes[x->a].asked_ms;
      m->nodes[x->a].asked_ms = -1;
      return true;
    case ACT_RESTART:
      return act_restart (m, x->a);
    default:
      return !is_paused (m, x->a) && !m->cut[x->a] && act_awake (m, x);
    }
}

/* Do X.  Return whether it could be done.  The planners look after every
   action whether the VM is closed, as they do several times a second. */
static bool
act (struct model *m, const struct action *x)
{
  if (!act_one (m, x))
    return false;
  for (int i = 0; i < 2; i++)
    if (!is_paused (m, i) && vm_of (m, i) != NULL
        && vm_of (m, i)->phase == VM_DRAINING)
      is_closed (m, i);
  return true;
}

/* What tells two states apart, times counted back from now. */
static void
describe_node (struct model *m, int i, GString *s)
{
  struct model_node *n = &m->nodes[i];
  const GPtrArray *others = members_others (n->members);
  int64_t floor_ms = m->now_ms - 5 * STEP_MS;

  g_string_append_printf (
      s, "|%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT ",%d,%d,%d;%d",
      (guint64)n->incarnation, (guint64)fleet_offset (n->fleet),
      (int)(m->now_ms - MAX (n->fresh_ms, floor_ms)),
      n->asked_ms < 0 ? -1 : (int)(m->now_ms - MAX (n->asked_ms, floor_ms)),
      (int)(n->asked_ms < 0 ? 0 : n->asked_head),
      (int)(n->closing.read_by_most_ms < 0
                ? -1
                : m->now_ms - MAX (n->closing.read_by_most_ms, floor_ms)));
  for (guint k = 0; k < others->len; k++)
    {
      const struct member *o = g_ptr_array_index (others, k);

      g_string_append_printf (
          s, ",%s:%d,%d,%d,%d", o->node, (int)o->incarnation, (int)o->offset,
          (int)(m->now_ms - MAX (o->confirmed_ms, floor_ms)),
          (int)(m->now_ms - MAX (o->stamp_ms, floor_ms)));
    }
}

static char *
describe (struct model *m)
{
  GString *s = g_string_new (m->assigned);

  for (uint64_t o = 0; o < m->head; o++)
    g_string_append_printf (s, "%d%s%d.", m->log[o]->kind, m->log[o]->node,
                            m->log[o]->kind == RECORD_VM_STEP
                                ? (int)m->log[o]->u.vm_step.phase
                                      + 10 * (int)m->log[o]->u.vm_step.since
                                : 0);
  for (int i = 0; i < NODES; i++)
    {
      describe_node (m, i, s);
      for (int k = 0; k < NODES; k++)
        if (m->held[i][k] != NULL)
          g_string_append_printf (
              s, "h%d%d@%d,%d", i, k, (int)m->held[i][k]->u.heartbeat.offset,
              (int)(m->now_ms
                    - MAX (m->held[i][k]->u.heartbeat.stamp_ms,
                           m->now_ms - 5 * STEP_MS)));
    }
  return g_string_free (s, FALSE);
}

/* Exploring. */

struct exploration
{
  enum mutation mutation;
  const bool *cut;
  const struct action *actions;
  guint n_actions;
  GHashTable *seen; /* descriptions -> depth left when explored */
  guint8 path[MAX_DEPTH];
  guint states;
  guint moved; /* states in which the platform has moved the VM */
  bool broken;
};

static struct model *
replay (struct exploration *e, guint length)
{
  struct model *m = model_new (e->mutation);

  for (int i = 0; i < NODES; i++)
    m->cut[i] = e->cut[i];
  for (guint i = 0; i < length; i++)
    act (m, &e->actions[e->path[i]]);
  return m;
}

static void
explore (struct exploration *e, guint length, guint depth)
{
  struct model *m = NULL;

  for (guint i = 0; i < e->n_actions && !e->broken; i++)
    {
      char *text;
      guint left;

      /* An action that can't be done changes nothing. */
      if (m == NULL)
        m = replay (e, length);
      if (!act (m, &e->actions[i]))
        continue;
      check_starts (m);
      e->broken = m->broken;
      text = describe (m);
      g_clear_pointer (&m, model_free);
      left = GPOINTER_TO_UINT (g_hash_table_lookup (e->seen, text));
      if (e->broken || left >= depth - length)
        {
          g_free (text);
          continue;
        }
      e->states += left == 0;
      e->moved += left == 0 && text[0] == 'b';
      g_hash_table_insert (e->seen, text, GUINT_TO_POINTER (depth - length));
      e->path[length] = (guint8)i;
      if (length + 1 < depth)
        explore (e, length + 1, depth);
    }
  if (m != NULL)
    model_free (m);
}

/* One exploration: who does what, how it begins, and how far it goes on from
   there. */
struct setting
{
  const char *name;
  bool cut[NODES]; /* from the log */
  guint depth;
  guint n_first;
  guint8 first[4]; /* places of the actions that it begins with */
  guint n_actions;
  struct action actions[16];
};

static const struct setting settings[] = {
  { "a word to a node cut from the log is held up",
    { false, false, true },
    7,
    2,
    { 3, 4 },
    8,
    { { ACT_DRAIN, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_BEAT, 1, 0 },
      { ACT_BEAT, 2, 1 },
      { ACT_HOLD, 1, 2 },
      { ACT_ARRIVE, 1, 2 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 } } },
  { "a node cut from the log hears one that has read on",
    { false, false, true },
    6,
    3,
    { 0, 1, 2 },
    7,
    { { ACT_DRAIN, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_BEAT, 1, 0 },
      { ACT_BEAT, 2, 1 },
      { ACT_BEAT, 1, 2 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 } } },
  { "a node is paused between its question and the answer",
    { false, false, false },
    7,
    1,
    { 0 },
    9,
    { { ACT_ASK, 2, 0 },
      { ACT_RESUME, 2, 0 },
      { ACT_DRAIN, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_READ, 2, 0 },
      { ACT_BEAT, 1, 0 },
      { ACT_BEAT, 2, 0 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 } } },
  { "two movers, one of which begins anew",
    { false, false, false },
    6,
    0,
    { 0 },
    11,
    { { ACT_DRAIN, 0, 0 },
      { ACT_DRAIN, 1, 0 },
      { ACT_READ, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_BEAT, 1, 0 },
      { ACT_BEAT, 0, 1 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 },
      { ACT_RELEASE, 1, 0 },
      { ACT_SERVE, 0, 0 },
      { ACT_RESTART, 1, 0 } } },
};

/* Explore S under MUTATION.  Return whether a promise broke, and in *STATES
   how many states there were, and in *MOVED in how many the VM had moved. */
static bool
run_setting (const struct setting *s, enum mutation mutation, guint *states,
             guint *moved)
{
  struct exploration e = { .mutation = mutation,
                           .cut = s->cut,
                           .actions = s->actions,
                           .n_actions = s->n_actions };

  memcpy (e.path, s->first, s->n_first);
  e.seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explore (&e, s->n_first, s->n_first + s->depth);
  g_hash_table_unref (e.seen);
  *states = e.states;
  *moved = e.moved;
  return e.broken;
}

static void
test_no_state_has_two_pools (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (settings); i++)
    {
      guint states;
      guint moved;
      bool broken = run_setting (&settings[i], MUTATION_NONE, &states, &moved);

      g_test_message ("%s: %u states, %u of them after the move",
                      settings[i].name, states, moved);
      g_assert_false (broken);
      g_assert_cmpuint (states, >, 1000);
      g_assert_cmpuint (moved, >, 0);
    }
}

static void
test_mutation_is_caught (gconstpointer data)
{
  enum mutation mutation = (enum mutation)GPOINTER_TO_INT (data);

  for (guint i = 0; i < G_N_ELEMENTS (settings); i++)
    {
      guint states;
      guint moved;

      if (!run_setting (&settings[i], mutation, &states, &moved))
        continue;
      g_test_message ("%s is caught after %u states in: %s",
                      mutation_names[mutation], states, settings[i].name);
      return;
    }
  g_test_fail_printf ("%s is not caught", mutation_names[mutation]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/model-move/one-pool", test_no_state_has_two_pools);
  for (int i = 1; i < MUTATION_COUNT; i++)
    {
      char *path
          = g_strconcat ("/model-move/mutation/", mutation_names[i], NULL);

      g_test_add_data_func (path, GINT_TO_POINTER (i),
                            test_mutation_is_caught);
      g_free (path);
    }
  return g_test_run ();
}
