#include "requests_state.h"

#include "permission.h"

#include <string.h>

/* Runs: what a node does with the slots that it is granted, and with the way
   a run on a back end ended. */

static void
send_run (struct turn *t, const struct live *l, const struct fleet_vm *v)
{
  struct message *m = message_new (MESSAGE_RUN);
  struct message_run *run = &m->u.run;

  run->request = l->request;
  run->attempt = l->attempt;
  run->vm = g_strdup (v->vm);
  run->address = g_strdup (v->address);
  run->port = v->port;
  run->pool = g_strdup (l->pool);
  run->service = g_strdup (l->service);
  run->class_name = g_strdup (l->class_name);
  run->idempotent = l->idempotent;
  run->timeout_ms = l->deadline_ms - t->now_ms;
  run->send_by_ms
      = MIN (t->may_start_until_ms, t->now_ms + MESSAGE_SEND_WITHIN_MS);
  run->max_answer_bytes = l->max_answer_bytes;
  turn_emit (t, m);
  counters_add (t->counters, COUNTER_DISPATCHED, 1);
}

/* Whether this node's own view lets work of POOL start on V. */
static bool
may_start_on (const struct requests *r, const struct turn *t,
              const struct fleet_vm *v, const char *pool)
{
  return !t->is_catching_up && permission_may_start (t, v, pool)
         && !g_hash_table_contains (r->leaving, v->vm);
}

static void
start (struct requests *r, struct turn *t, struct live *l, const char *vm)
{
  const struct fleet_vm *v = fleet_find_vm (t->fleet, vm);

  g_free (l->vm);
  l->vm = g_strdup (vm);
  if (!may_start_on (r, t, v, l->pool))
    {
      counters_add (t->counters, COUNTER_GRANTS_STALE, 1);
      requests_return_slot (t, l, RUN_ABANDONED, 0);
      requests_ask_slot (t, l);
      return;
    }
  l->state = LIVE_RUNNING;
  l->held_ms = t->now_ms;
  r->running++;
  send_run (t, l, v);
}

static void
return_unwanted (struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_grant *g = &m->u.slot_grant;
  struct peer_message *p = turn_new_peer_message (t, PEER_SLOT_RETURN);

  p->u.slot_return.request = g->request;
  p->u.slot_return.attempt = g->attempt;
  p->u.slot_return.vm = g_strdup (g->vm);
  p->u.slot_return.result = RUN_ABANDONED;
  turn_send (t, m->from, p);
}

static void
granted (struct requests *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_grant *g = &m->u.slot_grant;
  struct live *l = requests_find (r, g->request);

  if (l == NULL || l->state != LIVE_WAITING || l->attempt != g->attempt
      || t->resuming)
    {
      return_unwanted (t, m);
      return;
    }
  if (t->now_ms > l->start_by_ms)
    {
      requests_end_waiting (r, t, l, REASON_TOO_LATE,
                            REQUESTS_BUSY_RETRY_AFTER_MS);
      return;
    }
  start (r, t, l, g->vm);
}

static void
refused (struct requests *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_refuse *f = &m->u.slot_refuse;
  struct live *l = requests_find (r, f->request);

  if (l == NULL || l->state != LIVE_WAITING || l->attempt != f->attempt)
    return;
  g_clear_pointer (&l->owner, g_free);
  requests_end_waiting (r, t, l, f->reason, f->retry_after_ms);
}

void
requests_handle (struct requests *requests, struct turn *turn,
                 const struct peer_message *message)
{
  switch (message->kind)
    {
    case PEER_SLOT_GRANT:
      granted (requests, turn, message);
      break;
    case PEER_SLOT_REFUSE:
      refused (requests, turn, message);
      break;
    case PEER_HEARTBEAT:
    case PEER_SLOT_ASK:
    case PEER_SLOT_RETURN:
    case PEER_SLOT_HOLD:
    case PEER_SLOT_CANCEL:
    case PEER_SNAPSHOT_ASK:
    case PEER_SNAPSHOT_PART:
    case PEER_VM_NEWS:
    case PEER_KEY_CANCEL:
    case PEER_KEY_CANCELLED:
    case PEER_KIND_COUNT:
      break;
    }
}

/* The reason that a caller hears after its last run ended with RESULT. */
static enum reason
result_reason (enum run_result result)
{
  switch (result)
    {
    case RUN_ANSWERED:
      return REASON_NONE;
    case RUN_NOT_STARTED:
      return REASON_BACK_END_REFUSED;
    case RUN_NOT_SENT:
      return REASON_TOO_LATE;
    case RUN_FAILED:
      return REASON_BACK_END_FAILED;
    case RUN_LOST:
      return REASON_BACK_END_LOST;
    case RUN_TRUNCATED:
      return REASON_ANSWER_TRUNCATED;
    case RUN_TOO_LARGE:
      return REASON_ANSWER_TOO_LARGE;
    case RUN_TIMED_OUT:
    case RUN_ABANDONED:
    case RUN_RESULT_COUNT:
      break;
    }
  return REASON_TIMEOUT;
}

static void
finish (struct requests *r, struct turn *t, struct live *l, enum reason reason,
        uint32_t status)
{
  if (l->claim != 0)
    requests_append_outcome (t, l->key, l->claim, reason_outcome (reason),
                             reason, status);
  if (reason == REASON_NONE)
    counters_add (t->counters, COUNTER_ANSWERED, 1);
  else if (!l->abandoned)
    requests_refuse (t, l->request, reason, REQUESTS_BUSY_RETRY_AFTER_MS);
  g_hash_table_remove (r->live, &l->request);
}

void
requests_run_ended (struct requests *requests, struct turn *turn,
                    const struct message_run_ended *message)
{
  struct live *l = requests_find (requests, message->request);
  enum reason reason = result_reason (message->result);
  enum retry_choice choice = RETRY_GIVE_UP;

  if (l == NULL || l->state != LIVE_RUNNING || l->attempt != message->attempt)
    {
      counters_add (turn->counters, COUNTER_LATE_ANSWERS, 1);
      return;
    }
  requests->running--;
  requests_return_slot (turn, l, message->result, message->run_ms);
  g_clear_pointer (&l->owner, g_free);
  if (!l->abandoned && turn->now_ms <= l->start_by_ms)
    choice = retry_decide (requests_budget (requests, l), l->idempotent,
                           message->result, l->attempt);
  if (message->result != RUN_NOT_STARTED && message->result != RUN_NOT_SENT)
    l->ran = reason;
  if (choice == RETRY_AGAIN)
    {
      counters_add_retry (turn->counters, reason);
      requests_ask_slot (turn, l);
      return;
    }
  if (choice == RETRY_BUDGET_SPENT)
    reason = REASON_RETRY_BUDGET;
  finish (requests, turn, l, requests_true_reason (l, reason),
          message->status);
}
