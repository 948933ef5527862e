#include "permission.h"

#include <glib.h>
#include <string.h>

/* Explores exhaustively how three nodes move a VM from pool "a" to pool "b",
   with the product's own fleet state, membership and permission.  A state is
   reached by a path of actions, which is replayed from the start; states with
   the same description are explored once.  Invariant: whenever a node may
   start work of a pool on the VM, the platform has the VM in that pool.

   Each mutation disables one safeguard; the exploration must then find a state
   that violates the invariant. */

#define NODES 3
#define STEP_MS 1500
#define VM "v"
#define MAX_DEPTH 16

enum action_kind
{
  ACT_READ,            /* node A reads the log to its head */
  ACT_HEARTBEAT,       /* node B receives a heartbeat that A sends now */
  ACT_DELAY_HEARTBEAT, /* A sends B a heartbeat that is delayed */
  ACT_DELIVER_DELAYED, /* B receives the delayed heartbeat of A */
  ACT_WAIT,            /* STEP_MS pass */
  ACT_ASK_HEAD,        /* A asks for the log's head, and is paused */
  ACT_RESUME,          /* A resumes and handles the answer */
  ACT_DRAIN,           /* A proposes to drain the VM, and reads the log */
  ACT_RELEASE, /* A proposes to release it, and the platform moves it */
  ACT_SERVE,   /* A proposes to put the VM in service in "b" */
  ACT_RESTART, /* A crashes and restarts with a new incarnation */
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
  MUTATION_NO_QUORUM,     /* release without a quorum of readers */
  MUTATION_NO_EXPIRY,     /* release as soon as a quorum has read */
  MUTATION_NO_PERMISSION, /* start work without a permission */
  MUTATION_LATE_ANSWER,   /* a log answer counts from its arrival */
  MUTATION_LATE_ECHO,     /* an echo counts from its arrival */
  MUTATION_AHEAD,         /* a peer that has read further confirms the view */
  MUTATION_NO_DRAIN,      /* a draining VM still accepts work */
  MUTATION_COUNT
};

static const char *const mutation_names[MUTATION_COUNT]
    = { "none",        "no-quorum", "no-expiry", "no-permission",
        "late-answer", "late-echo", "ahead",     "no-drain" };

/* Maximum number of records in the log. */
#define MAX_RECORDS 16

struct model_node
{
  char name[4];
  uint64_t incarnation;
  struct fleet *fleet;
  struct members *members;
  struct revocation revocation;
  int64_t fresh_ms;
  int64_t asked_ms; /* when A asked for the answer that it has not handled; -1
                       for none */
  uint64_t asked_head;
};

struct model
{
  enum mutation mutation;
  int64_t now_ms;
  struct record *log[MAX_RECORDS];
  uint64_t head;
  struct model_node nodes[NODES];
  struct peer_message *delayed[NODES][NODES];
  const char *assigned;   /* pool that the platform has the VM in */
  bool is_log_cut[NODES]; /* the node can't reach the log */
  int restarts;
  bool is_violated;
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

  t.may_start_until_ms = permission_until (&t, n->fresh_ms);
  if (m->mutation == MUTATION_NO_PERMISSION)
    t.may_start_until_ms = INT64_MAX;
  return t;
}

static void
start_node (struct model *m, int i, uint64_t incarnation)
{
  struct model_node *n = &m->nodes[i];

  g_snprintf (n->name, sizeof n->name, "n%d", i);
  n->incarnation = incarnation;
  n->fleet = fleet_new ();
  n->members = members_new (n->name, "z", incarnation);
  n->revocation = (struct revocation){ 0, -1 };
  n->fresh_ms = -1;
  n->asked_ms = -1;
}

static void
stop_node (struct model_node *n)
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

      fleet_apply (n->fleet, m->log[offset - 1], offset, m->now_ms);
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
      start_node (m, i, 1);
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
      stop_node (&m->nodes[i]);
      for (int k = 0; k < NODES; k++)
        peer_message_destroy (m->delayed[i][k]);
    }
  g_free (m);
}

static struct peer_message *
new_heartbeat (struct model *m, int i, int to)
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
receive_heartbeat (struct model *m, int i, struct peer_message *p)
{
  struct peer_heartbeat *h = &p->u.heartbeat;

  if (m->mutation == MUTATION_LATE_ECHO)
    for (guint k = 0; h->echoes != NULL && k < h->echoes->len; k++)
      g_array_index (h->echoes, struct peer_echo, k).stamp_ms = m->now_ms;
  /* Only a node that is behind the peer gets a capped offset.  A node that
     waits for a quorum to read an offset has read that offset itself, so the
     cap does not mislead it. */
  if (m->mutation == MUTATION_AHEAD
      && h->offset > fleet_offset (m->nodes[i].fleet))
    h->offset = fleet_offset (m->nodes[i].fleet);
  members_handle_heartbeat (m->nodes[i].members, p, m->now_ms);
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
  r->u.vm_step.since = vm_of (m, i)->changed_at_offset;
  r->u.vm_step.phase = phase;
  r->u.vm_step.pool = g_strdup (pool);
  r->u.vm_step.next_pool = g_strdup (next_pool);
  r->u.vm_step.purpose = g_strdup ("move");
  return append (m, r);
}

static bool
is_vm_revoked (struct model *m, int i)
{
  struct turn t = turn_of (m, i);
  uint64_t since = vm_of (m, i)->changed_at_offset;
  bool is_revoked = permission_is_revoked (&t, &m->nodes[i].revocation, since);

  if (m->mutation == MUTATION_NO_QUORUM)
    return true;
  if (m->mutation == MUTATION_NO_EXPIRY)
    return permission_read_by_quorum (&t, since);
  return is_revoked;
}

/* Check the invariant, as if every node started all work that it may start. */
static void
check_invariant (struct model *m)
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
        if (permission_may_start (&t, &serving, pools[k])
            && strcmp (m->assigned, pools[k]) != 0)
          m->is_violated = true;
      }
}

static bool
is_paused (const struct model *m, int i)
{
  return m->nodes[i].asked_ms >= 0;
}

/* Do X, whose node is neither paused nor cut from the log.  Return whether X
   is possible in this state. */
static bool
apply_log_action (struct model *m, const struct action *x)
{
  struct model_node *n = &m->nodes[x->a];
  const struct fleet_vm *v = vm_of (m, x->a);

  switch (x->kind)
    {
    case ACT_READ:
      read_log (m, x->a);
      n->fresh_ms = m->now_ms;
      return true;
    case ACT_ASK_HEAD:
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
      if (v == NULL || v->phase != VM_DRAINING || !is_vm_revoked (m, x->a)
          || !propose (m, x->a, VM_RELEASED, "a", ""))
        return false;
      read_log (m, x->a);
      /* The platform acts at once, the worst case for nodes that lag. */
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
restart_node (struct model *m, int i)
{
  struct model_node *n = &m->nodes[i];
  uint64_t incarnation = n->incarnation + 1;

  if (m->restarts > 0)
    return false;
  m->restarts++;
  stop_node (n);
  start_node (m, i, incarnation);
  if (!m->is_log_cut[i])
    append_join (m, i);
  return true;
}

static bool
apply_action (struct model *m, const struct action *x)
{
  struct peer_message **delayed = &m->delayed[x->a][x->b];

  switch (x->kind)
    {
    case ACT_WAIT:
      m->now_ms += STEP_MS;
      return true;
    case ACT_HEARTBEAT:
      if (is_paused (m, x->a) || is_paused (m, x->b))
        return false;
      receive_heartbeat (m, x->b, new_heartbeat (m, x->a, x->b));
      return true;
    case ACT_DELAY_HEARTBEAT:
      if (is_paused (m, x->a) || *delayed != NULL)
        return false;
      *delayed = new_heartbeat (m, x->a, x->b);
      return true;
    case ACT_DELIVER_DELAYED:
      if (is_paused (m, x->b) || *delayed == NULL)
        return false;
      receive_heartbeat (m, x->b, g_steal_pointer (delayed));
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
      return restart_node (m, x->a);
    default:
      return !is_paused (m, x->a) && !m->is_log_cut[x->a]
             && apply_log_action (m, x);
    }
}

/* Do X.  Return whether it is possible in this state.  After every action the
   planners, n0 and n1, check whether the permissions on the VM are revoked, as
   the product does several times a second. */
static bool
apply_and_poll (struct model *m, const struct action *x)
{
  if (!apply_action (m, x))
    return false;
  for (int i = 0; i < 2; i++)
    if (!is_paused (m, i) && vm_of (m, i) != NULL
        && vm_of (m, i)->phase == VM_DRAINING)
      is_vm_revoked (m, i);
  return true;
}

/* Append what distinguishes two states of node I to S, with times relative to
   now. */
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
      (int)(n->revocation.quorum_read_ms < 0
                ? -1
                : m->now_ms - MAX (n->revocation.quorum_read_ms, floor_ms)));
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
describe_state (struct model *m)
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
        if (m->delayed[i][k] != NULL)
          g_string_append_printf (
              s, "h%d%d@%d,%d", i, k,
              (int)m->delayed[i][k]->u.heartbeat.offset,
              (int)(m->now_ms
                    - MAX (m->delayed[i][k]->u.heartbeat.stamp_ms,
                           m->now_ms - 5 * STEP_MS)));
    }
  return g_string_free (s, FALSE);
}

/* Exploring. */

struct exploration
{
  enum mutation mutation;
  const bool *is_log_cut;
  const struct action *actions;
  guint n_actions;
  GHashTable *explored; /* descriptions -> depth left when explored */
  guint8 path[MAX_DEPTH];
  guint states;
  guint moved; /* states in which the platform has moved the VM */
  bool is_violated;
};

static struct model *
replay (struct exploration *e, guint length)
{
  struct model *m = model_new (e->mutation);

  for (int i = 0; i < NODES; i++)
    m->is_log_cut[i] = e->is_log_cut[i];
  for (guint i = 0; i < length; i++)
    apply_and_poll (m, &e->actions[e->path[i]]);
  return m;
}

static void
explore (struct exploration *e, guint length, guint depth)
{
  struct model *m = NULL;

  for (guint i = 0; i < e->n_actions && !e->is_violated; i++)
    {
      char *text;
      guint left;

      /* An impossible action changes nothing, so M is reused. */
      if (m == NULL)
        m = replay (e, length);
      if (!apply_and_poll (m, &e->actions[i]))
        continue;
      check_invariant (m);
      e->is_violated = m->is_violated;
      text = describe_state (m);
      g_clear_pointer (&m, model_free);
      left = GPOINTER_TO_UINT (g_hash_table_lookup (e->explored, text));
      if (e->is_violated || left >= depth - length)
        {
          g_free (text);
          continue;
        }
      e->states += left == 0;
      e->moved += left == 0 && text[0] == 'b';
      g_hash_table_insert (e->explored, text,
                           GUINT_TO_POINTER (depth - length));
      e->path[length] = (guint8)i;
      if (length + 1 < depth)
        explore (e, length + 1, depth);
    }
  if (m != NULL)
    model_free (m);
}

/* One exploration: the actions it may take, the ones it begins with, and how
   many more follow. */
struct scenario
{
  const char *name;
  bool is_log_cut[NODES]; /* the node can't reach the log */
  guint depth;
  guint n_prefix;
  guint8 prefix[4]; /* indices of the actions that it begins with */
  guint n_actions;
  struct action actions[16];
};

static const struct scenario scenarios[] = {
  { "a heartbeat to a node cut from the log is delayed",
    { false, false, true },
    7,
    2,
    { 3, 4 },
    8,
    { { ACT_DRAIN, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_HEARTBEAT, 1, 0 },
      { ACT_HEARTBEAT, 2, 1 },
      { ACT_DELAY_HEARTBEAT, 1, 2 },
      { ACT_DELIVER_DELAYED, 1, 2 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 } } },
  { "a node cut from the log hears a node that has read further",
    { false, false, true },
    6,
    3,
    { 0, 1, 2 },
    7,
    { { ACT_DRAIN, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_HEARTBEAT, 1, 0 },
      { ACT_HEARTBEAT, 2, 1 },
      { ACT_HEARTBEAT, 1, 2 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 } } },
  { "a node is paused between its question and the answer",
    { false, false, false },
    7,
    1,
    { 0 },
    9,
    { { ACT_ASK_HEAD, 2, 0 },
      { ACT_RESUME, 2, 0 },
      { ACT_DRAIN, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_READ, 2, 0 },
      { ACT_HEARTBEAT, 1, 0 },
      { ACT_HEARTBEAT, 2, 0 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 } } },
  { "two planners, one of which restarts",
    { false, false, false },
    6,
    0,
    { 0 },
    11,
    { { ACT_DRAIN, 0, 0 },
      { ACT_DRAIN, 1, 0 },
      { ACT_READ, 0, 0 },
      { ACT_READ, 1, 0 },
      { ACT_HEARTBEAT, 1, 0 },
      { ACT_HEARTBEAT, 0, 1 },
      { ACT_WAIT, 0, 0 },
      { ACT_RELEASE, 0, 0 },
      { ACT_RELEASE, 1, 0 },
      { ACT_SERVE, 0, 0 },
      { ACT_RESTART, 1, 0 } } },
};

/* Explore S under MUTATION.  Return whether a state violates the invariant, in
   *STATES how many states were explored, and in *MOVED in how many of them the
   platform had moved the VM. */
static bool
explore_scenario (const struct scenario *s, enum mutation mutation,
                  guint *states, guint *moved)
{
  struct exploration e = { .mutation = mutation,
                           .is_log_cut = s->is_log_cut,
                           .actions = s->actions,
                           .n_actions = s->n_actions };

  memcpy (e.path, s->prefix, s->n_prefix);
  e.explored = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explore (&e, s->n_prefix, s->n_prefix + s->depth);
  g_hash_table_unref (e.explored);
  *states = e.states;
  *moved = e.moved;
  return e.is_violated;
}

static void
test_no_state_violates_the_invariant (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      guint states;
      guint moved;
      bool is_violated
          = explore_scenario (&scenarios[i], MUTATION_NONE, &states, &moved);

      g_test_message ("%s: %u states, %u of them after the move",
                      scenarios[i].name, states, moved);
      g_assert_false (is_violated);
      g_assert_cmpuint (states, >, 1000);
      g_assert_cmpuint (moved, >, 0);
    }
}

static void
test_mutation_is_caught (gconstpointer data)
{
  enum mutation mutation = (enum mutation)GPOINTER_TO_INT (data);

  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      guint states;
      guint moved;

      if (!explore_scenario (&scenarios[i], mutation, &states, &moved))
        continue;
      g_test_message ("%s is caught after %u states in: %s",
                      mutation_names[mutation], states, scenarios[i].name);
      return;
    }
  g_test_fail_printf ("%s is not caught", mutation_names[mutation]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/model-move/invariant",
                   test_no_state_violates_the_invariant);
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
