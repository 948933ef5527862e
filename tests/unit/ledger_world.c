#include "ledger_world.h"

#define TICK_MS 20
#define FAULTS_END_MS 9000
#define END_MS 15000
/* The time at the end in which the cell that is alone must be served. */
#define SERVED_MS 1000
#define TIMEOUT_MS 500
#define LEDGER_ACTS_MS 2400

const char *const world_accounts[ACCOUNTS] = { "first", "second" };
static const char *const services[CELLS] = { "s0", "s1", "s2", "s3" };

int
world_pick (struct world *w, int below)
{
  return g_rand_int_range (w->rand, 0, below);
}

bool
world_chance (struct world *w, int one_in)
{
  return world_pick (w, one_in) == 0;
}

uint64_t
world_cap (const struct world *w, int64_t version, int account, int r)
{
  uint64_t cap = w->caps[version][account][r];

  return cap != 0 ? cap : G_MAXUINT64;
}

/* Messages. */

static int64_t
random_delay_ms (struct world *w)
{
  if ((w->faults & FAULT_DELAYS) != 0 && world_chance (w, 12))
    return world_pick (w, 3500);
  return world_pick (w, 20);
}

void
world_send (struct world *w, struct message m)
{
  bool has_faults = (w->faults & FAULT_LOSSES) != 0 && m.kind != MESSAGE_START;
  int copies = !has_faults            ? 1
               : world_chance (w, 8)  ? 0
               : world_chance (w, 10) ? 2
                                      : 1;

  for (int i = 0; i < copies; i++)
    {
      m.due_ms = w->now_ms + random_delay_ms (w);
      g_ptr_array_add (w->messages, g_memdup2 (&m, sizeof m));
    }
}

static bool
is_awake (const struct world *w, const struct owner *o)
{
  return !o->is_dead && w->now_ms >= o->paused_until_ms;
}

/* Ledgers. */

static struct ledger_model *
newest_ledger (const struct world *w)
{
  return g_ptr_array_index (w->ledgers, w->ledgers->len - 1);
}

static void
configure_ledger (struct world *w, struct ledger_model *l, int64_t version)
{
  struct accounts *accounts = accounts_new ();
  GPtrArray *names = g_ptr_array_new (), *none = g_ptr_array_new ();

  for (int a = 0; a < ACCOUNTS; a++)
    {
      const uint64_t *cap = w->caps[version][a];

      accounts_add (accounts, world_accounts[a])->cap
          = (struct account_amount){ cap[0], cap[1], cap[2] };
    }
  for (int k = 0; k < w->cell_counts[version]; k++)
    g_ptr_array_add (names, (gpointer)services[k]);
  l->version = version;
  ledger_configure (l->ledger, version, names, none, accounts, w->now_ms);
  g_ptr_array_unref (names);
  g_ptr_array_unref (none);
  accounts_destroy (accounts);
}

static void
add_ledger (struct world *w)
{
  struct ledger_model *l = g_new0 (struct ledger_model, 1);
  int64_t version = w->version - world_pick (w, 2);

  l->ledger = ledger_new (w->ledgers->len + 1, w->now_ms);
  l->confirmed_ms = w->now_ms;
  g_ptr_array_add (w->ledgers, l);
  configure_ledger (w, l, MAX (version, 1));
}

static void
ledger_tick (struct world *w, struct ledger_model *l)
{
  if (l == newest_ledger (w))
    l->confirmed_ms = w->now_ms;
  if (l->version < w->version && world_chance (w, 10))
    configure_ledger (w, l, w->version);
  for (int k = 0; k < w->cell_counts[l->version]; k++)
    {
      struct cell_model *c = &w->cells[k];
      struct owner *o = cell_newest_owner (c);
      struct allotment_call *call;

      if (l->pending_ms[k] != 0 && w->now_ms >= l->pending_ms[k] + TIMEOUT_MS)
        {
          l->pending_ms[k] = 0;
          ledger_call_unanswered (l->ledger, services[k]);
        }
      if (w->now_ms >= l->confirmed_ms + LEDGER_ACTS_MS)
        continue;
      call = ledger_next_call (l->ledger, services[k], w->now_ms);
      if (call == NULL)
        continue;
      l->pending_ms[k] = w->now_ms;
      /* Another node may still be known as the owner. */
      if (c->owners->len > 1 && world_chance (w, 8) && w->faults != 0)
        o = g_ptr_array_index (c->owners, c->owners->len - 2);
      g_ptr_array_add (w->calls, call);
      world_send (w, (struct message){ .kind = MESSAGE_CALL,
                                       .requested_ms = w->now_ms,
                                       .ledger = l,
                                       .cell = k,
                                       .owner = o,
                                       .call = call });
    }
}

static void
deliver_call (struct world *w, const struct message *m)
{
  struct message reply = *m;
  struct account_report *report
      = cell_exchange (w, &w->cells[m->cell], m->owner, m->call);

  g_ptr_array_add (w->reports, report);
  reply.kind = MESSAGE_REPORT;
  reply.report = report;
  world_send (w, reply);
}

static void
deliver_report (struct world *w, const struct message *m)
{
  if (m->ledger->pending_ms[m->cell] == m->requested_ms)
    m->ledger->pending_ms[m->cell] = 0;
  ledger_add_report (m->ledger->ledger, services[m->cell], m->report,
                     m->requested_ms, w->now_ms);
}

/* Deliver M, or let it wait for a process that pauses. */
static void
deliver (struct world *w, struct message *m)
{
  switch (m->kind)
    {
    case MESSAGE_START:
      cell_deliver_start (w, m);
      break;
    case MESSAGE_CALL:
      if (is_awake (w, m->owner))
        deliver_call (w, m);
      break;
    case MESSAGE_REPORT:
      if (!m->ledger->is_dead)
        deliver_report (w, m);
      break;
    }
}

static void
deliver_messages (struct world *w)
{
  GPtrArray *due = g_ptr_array_new_with_free_func (g_free);

  for (guint i = w->messages->len; i > 0; i--)
    {
      struct message *m = g_ptr_array_index (w->messages, i - 1);
      int64_t paused_ms = m->kind == MESSAGE_CALL ? m->owner->paused_until_ms
                          : m->kind == MESSAGE_REPORT
                              ? m->ledger->paused_until_ms
                              : 0;

      if (w->now_ms >= MAX (m->due_ms, paused_ms))
        g_ptr_array_add (due,
                         g_ptr_array_steal_index_fast (w->messages, i - 1));
    }
  for (guint i = 0; i < due->len; i++)
    deliver (w, g_ptr_array_index (due, i));
  g_ptr_array_unref (due);
}

/* Faults. */

static void
publish (struct world *w, int64_t version)
{
  int cells = CELLS - (world_chance (w, 2) ? 1 : 0);

  w->version = version;
  w->cell_counts[version]
      = version == 1 ? CELLS - 1 : MAX (w->cell_counts[version - 1], cells);
  for (int a = 0; a < ACCOUNTS; a++)
    {
      w->caps[version][a][0] = (uint64_t)(1 + world_pick (w, 6)) * 400;
      w->caps[version][a][1] = (uint64_t)(1 + world_pick (w, 6)) * 1500;
      w->caps[version][a][2] = (uint64_t)world_pick (w, 4);
      if (world_chance (w, 6))
        w->caps[version][a][world_pick (w, RESOURCES)] = 0;
    }
}

/* End, pause or only cut off the process whose state is given. */
static void
disturb (struct world *w, bool *is_dead, int64_t *paused_until_ms)
{
  switch (world_pick (w, 3))
    {
    case 0:
      *is_dead = true;
      break;
    case 1:
      *paused_until_ms = w->now_ms + world_pick (w, 4000);
      break;
    default:
      break;
    }
}

static void
cause_faults (struct world *w)
{
  struct cell_model *c = &w->cells[world_pick (w, CELLS)];
  struct owner *o = cell_newest_owner (c);
  struct ledger_model *l = newest_ledger (w);

  if ((w->faults & FAULT_OWNERS) != 0 && world_chance (w, 40))
    {
      disturb (w, &o->is_dead, &o->paused_until_ms);
      cell_add_owner (w, c);
    }
  else if ((w->faults & FAULT_OWNER_PAUSES) != 0 && world_chance (w, 100))
    o->paused_until_ms = w->now_ms + world_pick (w, 3000);
  if ((w->faults & FAULT_LEDGERS) != 0 && world_chance (w, 150))
    {
      disturb (w, &l->is_dead, &l->paused_until_ms);
      add_ledger (w);
    }
  else if ((w->faults & FAULT_LEDGER_PAUSES) != 0 && world_chance (w, 200))
    l->paused_until_ms = w->now_ms + world_pick (w, 4000);
  if ((w->faults & FAULT_VERSIONS) != 0 && world_chance (w, 120)
      && w->version + 1 < VERSIONS)
    publish (w, w->version + 1);
  if (world_chance (w, 15))
    c->has_demand[world_pick (w, ACCOUNTS)] = !world_chance (w, 3);
}

/* End the faults: all cells are configured, and only the first one wants to
   start something, of the first account. */
static void
end_faults (struct world *w)
{
  w->faults = 0;
  publish (w, w->version + 1);
  w->cell_counts[w->version] = CELLS;
  newest_ledger (w)->paused_until_ms = 0;
  for (int k = 0; k < CELLS; k++)
    {
      cell_newest_owner (&w->cells[k])->paused_until_ms = 0;
      for (int a = 0; a < ACCOUNTS; a++)
        w->cells[k].has_demand[a] = k == 0 && a == 0;
    }
}

static void
clear_world (struct world *w)
{
  for (guint i = 0; i < w->ledgers->len; i++)
    {
      struct ledger_model *l = g_ptr_array_index (w->ledgers, i);

      ledger_destroy (l->ledger);
      g_free (l);
    }
  g_ptr_array_unref (w->ledgers);
  g_ptr_array_unref (w->messages);
  g_ptr_array_unref (w->calls);
  g_ptr_array_unref (w->reports);
  for (int k = 0; k < CELLS; k++)
    g_ptr_array_unref (w->cells[k].owners);
  g_rand_free (w->rand);
}

static void
tick (struct world *w)
{
  w->now_ms += TICK_MS;
  if (w->now_ms < FAULTS_END_MS)
    cause_faults (w);
  else if (w->now_ms == FAULTS_END_MS)
    end_faults (w);
  for (int k = 0; k < CELLS; k++)
    cell_end_runs (w, &w->cells[k]);
  deliver_messages (w);
  for (int k = 0; k < CELLS; k++)
    for (guint i = 0; i < w->cells[k].owners->len; i++)
      {
        struct owner *o = g_ptr_array_index (w->cells[k].owners, i);

        if (is_awake (w, o))
          cell_owner_tick (w, k, o);
      }
  for (guint i = 0; i < w->ledgers->len; i++)
    {
      struct ledger_model *l = g_ptr_array_index (w->ledgers, i);

      if (!l->is_dead && w->now_ms >= l->paused_until_ms)
        ledger_tick (w, l);
    }
}

uint32_t
ledger_world_run (uint32_t seed)
{
  struct world w = { .seed = seed, .rand = g_rand_new_with_seed (seed) };
  bool was_served = false;

  w.messages = g_ptr_array_new_with_free_func (g_free);
  w.calls = g_ptr_array_new_with_free_func (allotment_call_destroy);
  w.reports = g_ptr_array_new_with_free_func (account_report_destroy);
  w.ledgers = g_ptr_array_new ();
  w.faults = world_pick (&w, FAULT_ALL + 1);
  publish (&w, 1);
  for (int k = 0; k < CELLS; k++)
    {
      w.cells[k].owners = g_ptr_array_new_with_free_func (g_free);
      cell_add_tasks (&w, &w.cells[k]);
      for (int a = 0; a < ACCOUNTS; a++)
        w.cells[k].has_demand[a] = !world_chance (&w, 3);
      cell_add_owner (&w, &w.cells[k]);
    }
  add_ledger (&w);
  while (w.now_ms < END_MS)
    {
      tick (&w);
      /* New tasks may want more than the ledger knows at any one time. */
      was_served = was_served
                   || (w.now_ms >= END_MS - SERVED_MS && cell_is_served (&w));
    }
  if (!was_served)
    g_error ("seed %u: the first cell does not get the whole cap", seed);
  clear_world (&w);
  return w.starts;
}
