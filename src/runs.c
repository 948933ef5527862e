#include "requests_state.h"

#include "permission.h"

#include <string.h>

/* Runs: a granted slot is used to send the request to a back end; when the run
   has ended, its slot is returned and the request is retried or ended. */

static void
send_run (struct turn *t, const struct active_request *a,
          const struct fleet_vm *v)
{
  struct message *m = message_new (MESSAGE_RUN);
  struct message_run *run = &m->u.run;

  run->request = a->request;
  run->attempt = a->attempt;
  run->vm = g_strdup (v->vm);
  run->address = g_strdup (v->address);
  run->port = v->port;
  run->pool = g_strdup (a->pool);
  run->service = g_strdup (a->service);
  run->class_name = g_strdup (a->class_name);
  run->idempotent = a->is_idempotent;
  run->timeout_ms = a->deadline_ms - t->now_ms;
  run->send_by_ms
      = MIN (t->may_start_until_ms, t->now_ms + MESSAGE_RUN_SEND_TIMEOUT_MS);
  run->max_answer_bytes = a->max_answer_bytes;
  turn_emit (t, m);
  counters_add (t->counters, COUNTER_DISPATCHED, 1);
}

/* Whether work of POOL may start on V by this node's own fleet state, which
   may be newer than that of the owner that granted the slot. */
static bool
may_start_on (const struct requests *r, const struct turn *t,
              const struct fleet_vm *v, const char *pool)
{
  return !t->is_catching_up && permission_may_start (t, v, pool)
         && !g_hash_table_contains (r->leaving_vms, v->vm);
}

static void
start_run (struct requests *r, struct turn *t, struct active_request *a,
           const char *vm)
{
  const struct fleet_vm *v = fleet_find_vm (t->fleet, vm);

  g_free (a->vm);
  a->vm = g_strdup (vm);
  if (!may_start_on (r, t, v, a->pool))
    {
      counters_add (t->counters, COUNTER_SLOT_GRANTS_STALE, 1);
      requests_return_slot (t, a, RUN_ABANDONED, 0);
      requests_send_slot_request (t, a);
      return;
    }
  a->state = REQUEST_RUNNING;
  a->lease_renewed_ms = t->now_ms;
  r->running_count++;
  send_run (t, a, v);
}

static void
return_unwanted_slot (struct turn *t, const struct peer_message *m)
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
handle_grant (struct requests *r, struct turn *t, const struct peer_message *m)
{
  const struct peer_slot_grant *g = &m->u.slot_grant;
  struct active_request *a = requests_find (r, g->request);

  if (a == NULL || a->state != REQUEST_WAITING || a->attempt != g->attempt
      || t->resuming)
    {
      return_unwanted_slot (t, m);
      return;
    }
  if (t->now_ms > a->start_by_ms)
    {
      requests_end_before_run (r, t, a, REASON_TOO_LATE,
                               REQUESTS_BUSY_RETRY_AFTER_MS);
      return;
    }
  start_run (r, t, a, g->vm);
}

static void
handle_refusal (struct requests *r, struct turn *t,
                const struct peer_message *m)
{
  const struct peer_slot_refuse *f = &m->u.slot_refuse;
  struct active_request *a = requests_find (r, f->request);

  if (a == NULL || a->state != REQUEST_WAITING || a->attempt != f->attempt)
    return;
  g_clear_pointer (&a->owner, g_free);
  requests_end_before_run (r, t, a, f->reason, f->retry_after_ms);
}

void
requests_handle_slot_reply (struct requests *requests, struct turn *turn,
                            const struct peer_message *message)
{
  switch (message->kind)
    {
    case PEER_SLOT_GRANT:
      handle_grant (requests, turn, message);
      break;
    case PEER_SLOT_REFUSE:
      handle_refusal (requests, turn, message);
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

/* Return the reason to report to a caller whose last run ended with RESULT. */
static enum reason
run_result_reason (enum run_result result)
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
finish_request (struct requests *r, struct turn *t, struct active_request *a,
                enum reason reason, uint32_t status)
{
  if (a->claim_offset != 0)
    requests_append_outcome (t, a->key, a->claim_offset,
                             reason_outcome (reason), reason, status);
  if (reason == REASON_NONE)
    counters_add (t->counters, COUNTER_ANSWERED, 1);
  else if (!a->is_abandoned)
    requests_refuse (t, a->request, reason, REQUESTS_BUSY_RETRY_AFTER_MS);
  g_hash_table_remove (r->active, &a->request);
}

void
requests_run_ended (struct requests *requests, struct turn *turn,
                    const struct message_run_ended *message)
{
  struct active_request *a = requests_find (requests, message->request);
  enum reason reason = run_result_reason (message->result);
  enum retry_choice choice = RETRY_GIVE_UP;

  if (a == NULL || a->state != REQUEST_RUNNING
      || a->attempt != message->attempt)
    {
      counters_add (turn->counters, COUNTER_LATE_ANSWERS, 1);
      return;
    }
  requests->running_count--;
  requests_return_slot (turn, a, message->result, message->run_ms);
  g_clear_pointer (&a->owner, g_free);
  if (!a->is_abandoned && turn->now_ms <= a->start_by_ms)
    choice = retry_decide (requests_retry_budget (requests, a),
                           a->is_idempotent, message->result, a->attempt);
  if (message->result != RUN_NOT_STARTED && message->result != RUN_NOT_SENT)
    a->last_run_reason = reason;
  if (choice == RETRY_AGAIN)
    {
      counters_add_retry (turn->counters, reason);
      requests_send_slot_request (turn, a);
      return;
    }
  if (choice == RETRY_BUDGET_EXHAUSTED)
    reason = REASON_RETRY_BUDGET;
  finish_request (requests, turn, a, requests_final_reason (a, reason),
                  message->status);
}
