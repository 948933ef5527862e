#include "ledger_world.h"

#include <string.h>

/* Of each worker. */
static const uint64_t capacity[RESOURCES] = { 1000, 4000, 2 };

struct owner *
cell_newest_owner (const struct cell_model *c)
{
  return g_ptr_array_index (c->owners, c->owners->len - 1);
}

static void
replace_task (struct world *w, struct cell_model *c, int i)
{
  struct task *t = &c->tasks[i];

  *t = (struct task){ .generation = t->generation + 1 };
  t->size[0] = (uint64_t)(1 + world_pick (w, 4)) * 100;
  t->size[1] = (uint64_t)(1 + world_pick (w, 8)) * 128;
  t->size[2] = world_chance (w, 4) ? 1 : 0;
}

/* Add to USE the resources of what O has assigned and may have unseen. */
static void
add_use (const struct cell_model *c, const struct owner *o, int account,
         uint64_t *use)
{
  for (int r = 0; r < RESOURCES; r++)
    {
      uint64_t tasks = 0, workers = 0;

      for (int i = account; i < TASKS; i += ACCOUNTS)
        {
          if (o->views[i] == VIEW_ASSIGNED)
            use[r] += c->tasks[i].size[r];
          else if (o->views[i] == VIEW_UNSEEN)
            tasks += c->tasks[i].size[r];
        }
      for (int i = 0; i < WORKERS; i++)
        workers += o->has_reached[i] ? 0 : capacity[r];
      use[r] += MIN (tasks, workers);
    }
}

static void
apply_call (struct owner *o, const struct allotment_call *call)
{
  for (guint i = 0; i < call->allotments->len; i++)
    {
      const struct allotment *a = g_ptr_array_index (call->allotments, i);
      int account = strcmp (a->account, world_accounts[0]) == 0 ? 0 : 1;

      o->allotted[account][0] = a->limit.cpu_milli;
      o->allotted[account][1] = a->limit.memory_mb;
      o->allotted[account][2] = a->limit.gpus;
    }
}

static uint64_t
journaled_allotment (const struct owner *o, int account, int r)
{
  return MAX (o->committed.allotted[account][r],
              o->in_append.allotted[account][r]);
}

/* Return whether RECORD has an allotment under a lower cap than O knows. */
static bool
lacks_cap (const struct world *w, const struct owner *o,
           const struct journaled *record)
{
  for (int a = 0; a < ACCOUNTS; a++)
    for (int r = 0; r < RESOURCES; r++)
      if (record->allotted[a][r] > 0
          && record->caps[a][r] < world_cap (w, o->version, a, r))
        return true;
  return false;
}

struct account_report *
cell_exchange (const struct world *w, const struct cell_model *c,
               struct owner *o, const struct allotment_call *call)
{
  struct account_report *report = account_report_new ();

  if (call->ledger_epoch >= o->ledger_epoch && call->cell_epoch == o->epoch
      && call->report == o->report && call->config_version == o->version)
    apply_call (o, call);
  o->ledger_epoch = MAX (o->ledger_epoch, call->ledger_epoch);
  report->cell_epoch = o->epoch;
  report->number = ++o->report;
  report->config_version
      = lacks_cap (w, o, &o->committed) || lacks_cap (w, o, &o->in_append)
            ? CONFIG_VERSION_PENDING
            : o->version;
  for (int a = 0; a < ACCOUNTS; a++)
    {
      struct account_row *row = account_report_add (report, world_accounts[a]);
      uint64_t used[RESOURCES] = { 0 }, wanted[RESOURCES] = { 0 };
      uint64_t held[RESOURCES];

      for (int r = 0; r < RESOURCES; r++)
        held[r] = MAX (o->allotted[a][r], journaled_allotment (o, a, r));
      add_use (c, o, a, used);
      for (int i = a; i < TASKS && c->has_demand[a]; i += ACCOUNTS)
        for (int r = 0; r < RESOURCES; r++)
          wanted[r] += o->views[i] == VIEW_WAITING ? c->tasks[i].size[r] : 0;
      row->used = (struct account_amount){ used[0], used[1], used[2] };
      row->wanted = (struct account_amount){ wanted[0], wanted[1], wanted[2] };
      row->held = (struct account_amount){ MAX (held[0], used[0]),
                                           MAX (held[1], used[1]),
                                           MAX (held[2], used[2]) };
    }
  return report;
}

/* Switch O to VERSION: its allotment of what is lowered ends, as the runs of
   other cells may exceed theirs. */
static void
set_owner_version (const struct world *w, struct owner *o, int64_t version)
{
  for (int a = 0; a < ACCOUNTS; a++)
    for (int r = 0; r < RESOURCES; r++)
      if (world_cap (w, version, a, r) < world_cap (w, o->version, a, r))
        o->allotted[a][r] = 0;
  o->version = version;
}

static struct journaled
record_of (const struct world *w, const struct owner *o)
{
  struct journaled record = { .epoch = o->epoch };

  memcpy (record.allotted, o->allotted, sizeof record.allotted);
  for (int a = 0; a < ACCOUNTS; a++)
    for (int r = 0; r < RESOURCES; r++)
      record.caps[a][r] = world_cap (w, o->version, a, r);
  return record;
}

/* Let O journal its allotments.  The outcome of an append may be known late;
   until then the journal may have it or not. */
static void
journal_allotments (struct world *w, struct cell_model *c, struct owner *o)
{
  bool is_newest = o == cell_newest_owner (c);
  struct journaled now = record_of (w, o);

  if (o->append_ms != 0 && w->now_ms >= o->append_ms && is_newest)
    {
      c->journal = o->in_append;
      o->committed = o->in_append;
      o->in_append = (struct journaled){ 0 };
      o->append_ms = 0;
    }
  if (o->append_ms != 0 || memcmp (&now, &o->committed, sizeof now) == 0
      || !world_chance (w, w->faults != 0 ? 8 : 4))
    return;
  o->in_append = now;
  o->append_ms = w->now_ms
                 + ((w->faults & FAULT_APPENDS) != 0 && world_chance (w, 3)
                        ? world_pick (w, 3000)
                        : 10 + world_pick (w, w->faults != 0 ? 150 : 30));
  /* A successor has fenced the appends of O. */
  if (is_newest && world_chance (w, 2))
    c->journal = now;
}

/* Let O have the allotments that the owner before it has journaled. */
static void
load_allotments (const struct world *w, const struct cell_model *c,
                 struct owner *o)
{
  if (c->owners->len == 0 || c->journal.epoch != cell_newest_owner (c)->epoch)
    return;
  for (int a = 0; a < ACCOUNTS; a++)
    for (int r = 0; r < RESOURCES; r++)
      if (world_cap (w, o->version, a, r) >= c->journal.caps[a][r])
        o->allotted[a][r] = c->journal.allotted[a][r];
}

void
cell_add_owner (struct world *w, struct cell_model *c)
{
  struct owner *o = g_new0 (struct owner, 1);
  int64_t version = w->version - world_pick (w, 2);

  o->epoch = ++w->last_epoch;
  o->version = MAX (version, 1);
  o->has_no_journal = (w->faults & FAULT_RELEASES) != 0 && world_chance (w, 8);
  if (!o->has_no_journal)
    load_allotments (w, c, o);
  for (int i = 0; i < WORKERS; i++)
    o->reach_ms[i] = w->now_ms + world_pick (w, 300)
                     + (world_chance (w, 4) ? world_pick (w, 4000) : 0);
  for (int i = 0; i < TASKS; i++)
    {
      o->views[i] = VIEW_UNSEEN;
      o->generations[i] = c->tasks[i].generation;
    }
  g_ptr_array_add (c->owners, o);
}

/* Let O reach the worker K: it fences earlier owners there, and sees what runs
   and what has ended. */
static void
reach_worker (struct cell_model *c, struct owner *o, int k)
{
  bool has_all = true;

  if (c->tokens[k] > o->epoch)
    {
      o->is_dead = true;
      return;
    }
  c->tokens[k] = o->epoch;
  o->has_reached[k] = true;
  for (int i = 0; i < WORKERS; i++)
    has_all = has_all && o->has_reached[i];
  for (int i = 0; i < TASKS; i++)
    {
      const struct task *t = &c->tasks[i];

      if (o->views[i] != VIEW_UNSEEN)
        continue;
      if ((t->is_running || t->has_ended) && t->worker == k)
        {
          o->views[i] = VIEW_ASSIGNED;
          o->workers[i] = k;
        }
      else if (has_all)
        o->views[i] = VIEW_WAITING;
    }
}

/* Return what runs of ACCOUNT, and what is on its way to a worker that would
   start it. */
static uint64_t
sum_committed (const struct world *w, int account, int r)
{
  uint64_t sum = 0;

  for (int k = 0; k < CELLS; k++)
    for (int i = account; i < TASKS; i += ACCOUNTS)
      if (w->cells[k].tasks[i].is_running)
        sum += w->cells[k].tasks[i].size[r];
  for (guint i = 0; i < w->messages->len; i++)
    {
      const struct message *m = g_ptr_array_index (w->messages, i);
      const struct cell_model *c = &w->cells[m->cell];

      if (m->kind == MESSAGE_START && m->task % ACCOUNTS == account
          && c->tokens[m->worker] <= m->owner->epoch
          && c->tasks[m->task].generation == m->generation)
        sum += c->tasks[m->task].size[r];
    }
  return sum;
}

/* A version is in force until each owner that can start something has a newer
   one. */
static uint64_t
highest_cap (const struct world *w, int account, int r)
{
  int64_t oldest = w->version;
  uint64_t cap = 0;

  for (int k = 0; k < CELLS; k++)
    for (guint i = 0; i < w->cells[k].owners->len; i++)
      {
        const struct owner *o = g_ptr_array_index (w->cells[k].owners, i);
        bool can_start = false;

        for (int n = 0; n < WORKERS; n++)
          can_start = can_start || w->cells[k].tokens[n] <= o->epoch;
        if (can_start && !o->is_dead)
          oldest = MIN (oldest, o->version);
      }
  for (int64_t v = oldest; v <= w->version; v++)
    cap = MAX (cap, world_cap (w, v, account, r));
  return cap;
}

/* Check the caps of what the task T, which has been started, needs. */
static void
check_caps (const struct world *w, int account, const struct task *t)
{
  for (int r = 0; r < RESOURCES; r++)
    {
      uint64_t sum = sum_committed (w, account, r);
      uint64_t cap = highest_cap (w, account, r);

      if (t->size[r] > 0 && sum > cap)
        g_error ("seed %u: at %" G_GINT64_FORMAT
                 " ms account %d has %" G_GUINT64_FORMAT
                 " of resource %d where %" G_GUINT64_FORMAT " are allowed",
                 w->seed, w->now_ms, account, sum, r, cap);
    }
}

/* Return whether the worker K has room for the task T by the view of O. */
static bool
has_room (const struct cell_model *c, const struct owner *o, int k,
          const struct task *t)
{
  for (int r = 0; r < RESOURCES; r++)
    {
      uint64_t sum = t->size[r];

      for (int i = 0; i < TASKS; i++)
        if (o->views[i] == VIEW_ASSIGNED && o->workers[i] == k)
          sum += c->tasks[i].size[r];
      if (sum > capacity[r])
        return false;
    }
  return true;
}

static void
start_task (struct world *w, int cell, struct owner *o, int i)
{
  struct cell_model *c = &w->cells[cell];
  int k = world_pick (w, WORKERS);
  int account = i % ACCOUNTS;
  uint64_t use[RESOURCES] = { 0 };

  add_use (c, o, account, use);
  for (int r = 0; r < RESOURCES; r++)
    if (use[r] + c->tasks[i].size[r] > o->allotted[account][r])
      return;
  if (!o->has_reached[k] || !has_room (c, o, k, &c->tasks[i]))
    return;
  o->views[i] = VIEW_ASSIGNED;
  o->workers[i] = k;
  w->starts++;
  world_send (w, (struct message){ .kind = MESSAGE_START,
                                   .cell = cell,
                                   .owner = o,
                                   .task = i,
                                   .generation = c->tasks[i].generation,
                                   .worker = k });
  if (c->tokens[k] <= o->epoch)
    check_caps (w, account, &c->tasks[i]);
}

void
cell_owner_tick (struct world *w, int cell, struct owner *o)
{
  struct cell_model *c = &w->cells[cell];

  for (int k = 0; k < WORKERS; k++)
    if (!o->has_reached[k] && !o->is_dead && w->now_ms >= o->reach_ms[k])
      reach_worker (c, o, k);
  if (world_chance (w, 20) && o->version < w->version)
    set_owner_version (w, o, w->version);
  if (!o->has_no_journal)
    journal_allotments (w, c, o);
  for (int i = 0; i < TASKS && !o->is_dead; i++)
    {
      if (o->views[i] == VIEW_ASSIGNED && c->tasks[i].has_ended
          && o->has_reached[c->tasks[i].worker])
        {
          o->views[i] = VIEW_ENDED;
          /* Only the newest owner can journal the end and a new task. */
          if (o == cell_newest_owner (c))
            {
              replace_task (w, c, i);
              o->views[i] = VIEW_WAITING;
              o->generations[i] = c->tasks[i].generation;
            }
        }
      else if (o->views[i] == VIEW_WAITING
               && o->generations[i] == c->tasks[i].generation
               && c->has_demand[i % ACCOUNTS])
        start_task (w, cell, o, i);
    }
}

void
cell_deliver_start (struct world *w, const struct message *m)
{
  struct cell_model *c = &w->cells[m->cell];
  struct task *t = &c->tasks[m->task];

  if (c->tokens[m->worker] > m->owner->epoch)
    {
      m->owner->is_dead = true;
      return;
    }
  if (t->generation != m->generation)
    return;
  g_assert_false (t->is_running || t->has_ended);
  t->is_running = true;
  t->worker = m->worker;
  t->end_ms = w->now_ms + 100 + world_pick (w, 1500);
}

void
cell_end_runs (struct world *w, struct cell_model *c)
{
  for (int i = 0; i < TASKS; i++)
    if (c->tasks[i].is_running && w->now_ms >= c->tasks[i].end_ms)
      {
        c->tasks[i].is_running = false;
        c->tasks[i].has_ended = true;
      }
}

void
cell_add_tasks (struct world *w, struct cell_model *c)
{
  for (int i = 0; i < TASKS; i++)
    replace_task (w, c, i);
}

bool
cell_is_served (const struct world *w)
{
  const struct cell_model *c = &w->cells[0];
  const struct owner *o = cell_newest_owner (c);
  uint64_t use[RESOURCES] = { 0 };

  add_use (c, o, 0, use);
  for (int i = 0; i < TASKS; i += ACCOUNTS)
    {
      bool fits = true, could_fit = true;

      for (int r = 0; r < RESOURCES; r++)
        {
          uint64_t sum = use[r] + c->tasks[i].size[r];

          fits = fits && sum <= o->allotted[0][r];
          could_fit = could_fit && sum <= world_cap (w, w->version, 0, r);
        }
      if (o->views[i] == VIEW_WAITING && could_fit && !fits)
        return false;
    }
  return true;
}
