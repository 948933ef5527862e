#include "node_host.h"

#include "event_log.h"
#include "node_relay.h"

#include <string.h>

#define JOURNAL_PREFIX "keyed.jobs."
/* Greatest age of the last confirmation for an answer "no such job". */
#define NOT_FOUND_MAX_AGE_MS 1800

/* A request that waits for the cell's answer. */
struct local_request
{
  enum front_verb verb;
  front_done done;
  void *data;
  int64_t begun_ms;
};

struct host_call *
host_call_new (struct cell_host *h, const char *worker, const char *task,
               uint64_t run, int64_t now_ms)
{
  struct host_call *call = g_new0 (struct host_call, 1);

  call->node = h->node;
  call->serial = h->serial;
  call->service = g_strdup (h->service);
  call->worker = g_strdup (worker);
  call->task = g_strdup (task);
  call->run = run;
  call->sent_ms = now_ms;
  return call;
}

/* Return the call for the order RUN. */
static struct host_call *
run_call_new (struct cell_host *h, const struct run_order *run, int64_t now_ms)
{
  struct host_call *call
      = host_call_new (h, run->worker, run->task, run->run, now_ms);

  call->fencing_token = run->fencing_token;
  return call;
}

/* Return OUTCOME as that of CALL. */
static struct run_outcome
outcome_of_call (const struct host_call *call,
                 const struct run_outcome *outcome)
{
  struct run_outcome o = *outcome;

  o.fencing_token = call->fencing_token;
  return o;
}

void
host_call_destroy (struct host_call *call)
{
  g_free (call->service);
  g_free (call->worker);
  g_free (call->task);
  g_free (call);
}

struct cell_host *
host_of_call (const struct host_call *call)
{
  struct cell_host *h = g_hash_table_lookup (call->node->hosts, call->service);

  return h != NULL && h->serial == call->serial ? h : NULL;
}

bool
host_is_fleet (const struct cell_host *h)
{
  return strcmp (h->service, FLEET_SERVICE) == 0;
}

char *
host_journal_stream (const struct cell_host *h)
{
  if (host_is_fleet (h))
    return g_strdup (UPKEEP_STREAM);
  return g_strconcat (JOURNAL_PREFIX, h->service, NULL);
}

struct cell_host *
host_new (struct node *n, const char *service, int64_t now_ms)
{
  struct cell_host *h = g_new0 (struct cell_host, 1);

  h->node = n;
  h->service = g_strdup (service);
  h->serial = ++n->last_serial;
  h->phase = HOST_WATCHING;
  h->owner_heard_ms = now_ms;
  h->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return h;
}

static void
finish_request (struct local_request *local, enum front_result result)
{
  struct front_answer answer = { .result = result };

  local->done (local->data, &answer);
}

static void
refuse_for_rate (struct local_request *local, int64_t retry_after_ms)
{
  struct front_answer answer
      = { .result = FRONT_TOO_MANY, .retry_after_ms = retry_after_ms };

  local->done (local->data, &answer);
}

void
host_abandon_requests (struct cell_host *h)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *requests = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, h->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (requests,
                     g_memdup2 (value, sizeof (struct local_request)));
  g_hash_table_remove_all (h->requests);
  for (guint i = 0; i < requests->len; i++)
    {
      finish_request (g_ptr_array_index (requests, i), FRONT_UNCLEAR);
      g_free (g_ptr_array_index (requests, i));
    }
  g_ptr_array_unref (requests);
}

void
host_destroy (gpointer host)
{
  struct cell_host *h = host;

  host_abandon_requests (h);
  if (host_is_fleet (h) && h->phase == HOST_ACTIVE)
    fleet_end (h->node);
  g_hash_table_unref (h->requests);
  cell_destroy (h->cell);
  g_clear_pointer (&h->journal_entries, g_ptr_array_unref);
  g_clear_pointer (&h->handover_entries, g_ptr_array_unref);
  g_clear_pointer (&h->home_entries, g_ptr_array_unref);
  g_free (h->owner_at_claim);
  g_free (h->service);
  g_free (h);
}

/* The cell's orders. */

static void
count_start_answer (struct node *n, enum run_answer answer)
{
  switch (answer)
    {
    case RUN_ACCEPTED:
      break;
    case RUN_NO_ANSWER:
      meters_add (n->meters, METER_STARTS_NO_ANSWER, 1);
      break;
    case RUN_NO_ROOM:
      meters_add (n->meters, METER_STARTS_NO_ROOM, 1);
      break;
    default:
      meters_add (n->meters, METER_STARTS_REFUSED, 1);
      break;
    }
}

static const char *
run_answer_name (enum run_answer answer)
{
  static const char *const names[]
      = { "accepted", "no-answer", "fenced",    "old", "late",
          "no-room",  "no-ticket", "unhealthy", "gone" };

  return names[answer];
}

static void
on_started (void *data, const struct run_outcome *outcome)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  struct run_outcome o = outcome_of_call (call, outcome);
  int64_t now_ms = node_now_ms ();

  count_start_answer (call->node, outcome->answer);
  meters_observe (call->node->meters, HISTOGRAM_START, now_ms - call->sent_ms);
  event_log_routine (
      "task-start", call->task,
      "run=%" G_GUINT64_FORMAT " worker=%s outcome=%s ms=%" G_GINT64_FORMAT
      " may_arrive_later=%d clock_ms=%" G_GINT64_FORMAT,
      call->run, call->worker, run_answer_name (outcome->answer),
      now_ms - call->sent_ms, outcome->may_arrive_later, outcome->clock_ms);
  if (h != NULL && h->cell != NULL)
    {
      cell_start_answered (h->cell, call->worker, call->task, call->run, &o,
                           now_ms);
      node_schedule_run (h->node, h);
    }
  host_call_destroy (call);
}

static void
on_stopped (void *data, const struct run_outcome *outcome)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  struct run_outcome o = outcome_of_call (call, outcome);

  event_log_routine ("task-stop", call->task,
                     "run=%" G_GUINT64_FORMAT " worker=%s outcome=%s",
                     call->run, call->worker,
                     run_answer_name (outcome->answer));
  if (h != NULL && h->cell != NULL)
    {
      cell_stop_answered (h->cell, call->worker, call->task, call->run, &o,
                          node_now_ms ());
      node_schedule_run (h->node, h);
    }
  host_call_destroy (call);
}

static void
on_paced (void *data, const struct worker_run_reply *reply)
{
  struct host_call *call = data;

  event_log_routine ("task-pace", call->task, "worker=%s outcome=%s",
                     call->worker, run_answer_name (reply->answer));
  host_call_destroy (call);
}

static void
on_held (void *data, const struct worker_hold_reply *held)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);

  if (held->report == NULL)
    meters_add (call->node->meters, METER_HOLDS_NO_ANSWER, 1);
  if (held->is_fenced)
    event_log ("hold-fenced", call->worker, "service=%s", call->service);
  if (h != NULL && h->cell != NULL)
    {
      cell_hold_answered (h->cell, call->worker, held->report, held->is_fenced,
                          held->is_other_incarnation, call->sent_ms,
                          node_now_ms ());
      node_schedule_run (h->node, h);
    }
  host_call_destroy (call);
}

static enum append_result
to_append_result (struct node *n, enum store_result result)
{
  switch (result)
    {
    case STORE_DONE:
      return APPEND_DONE;
    case STORE_FENCED:
    case STORE_WRONG_SEQUENCE:
      meters_add (n->meters, METER_APPENDS_FENCED, 1);
      return APPEND_FENCED;
    case STORE_REFUSED:
    case STORE_TRIMMED:
    case STORE_MALFORMED:
      meters_add (n->meters, METER_APPENDS_REFUSED, 1);
      return APPEND_REFUSED;
    case STORE_UNCLEAR:
      meters_add (n->meters, METER_APPENDS_UNCLEAR, 1);
      return APPEND_UNCLEAR;
    }
  return APPEND_UNCLEAR;
}

static void
on_appended (void *data, const struct store_append_reply *a)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  int64_t now_ms = node_now_ms ();
  enum append_result result = to_append_result (call->node, a->result);

  meters_observe (call->node->meters, HISTOGRAM_APPEND,
                  now_ms - call->sent_ms);
  if (result == APPEND_DONE)
    node_note_store_answer (call->node, now_ms);
  else
    event_log ("append-failed", call->service,
               "sequence=%" G_GUINT64_FORMAT
               " result=%s status=%d next_sequence=%" G_GUINT64_FORMAT
               " ms=%" G_GINT64_FORMAT,
               call->run, store_result_name (a->result), a->status,
               a->next_sequence, now_ms - call->sent_ms);
  if (h != NULL && h->cell != NULL)
    {
      if (result == APPEND_DONE)
        h->last_sequence = MAX (h->last_sequence, call->run);
      cell_append_answered (h->cell, call->run, result, call->sent_ms, now_ms);
      h->confirmed_ms = MAX (h->confirmed_ms, cell_confirmed_ms (h->cell));
      node_schedule_run (h->node, h);
    }
  host_call_destroy (call);
}

/* Return whether a job that the cell does not know may be reported as unknown.
   If the last confirmation is old, another owner may have accepted it. */
static bool
may_answer_not_found (const struct cell_host *h, int64_t now_ms)
{
  return now_ms < h->confirmed_ms + NOT_FOUND_MAX_AGE_MS;
}

static void
answer_request (struct cell_host *h, const struct answer_order *order)
{
  struct local_request *local
      = g_hash_table_lookup (h->requests, &order->token);
  struct local_request copy;
  gint64 token = (gint64)order->token;

  if (local == NULL)
    return;
  copy = *local;
  g_hash_table_remove (h->requests, &token);
  switch (order->answer)
    {
    case CELL_STORED:
      meters_add (h->node->meters,
                  copy.verb == FRONT_SUBMIT ? METER_JOBS_ACCEPTED
                                            : METER_JOBS_CANCELLED,
                  1);
      finish_request (&copy, FRONT_DONE);
      break;
    case CELL_NO_JOB:
      finish_request (&copy, may_answer_not_found (h, node_now_ms ())
                                 ? FRONT_NOT_FOUND
                                 : FRONT_UNAVAILABLE);
      break;
    case CELL_REFUSED:
      meters_add (h->node->meters, METER_JOBS_REFUSED_STORE_UNREACHABLE, 1);
      finish_request (&copy, FRONT_UNAVAILABLE);
      break;
    case CELL_REFUSED_FULL:
      meters_add (h->node->meters, METER_JOBS_REFUSED_FULL, 1);
      finish_request (&copy, FRONT_UNAVAILABLE);
      break;
    case CELL_REFUSED_RATE:
      meters_add (h->node->meters, METER_JOBS_REFUSED_RATE, 1);
      refuse_for_rate (&copy, order->retry_after_ms);
      break;
    case CELL_UNCLEAR:
      meters_add (h->node->meters, METER_JOBS_UNCLEAR, 1);
      finish_request (&copy, FRONT_UNCLEAR);
      break;
    }
}

static void
send_append (struct cell_host *h, const struct append_order *o, int64_t now_ms)
{
  struct store_writer writer = { HOST_WRITER, h->epoch, o->sequence };
  char *stream = host_journal_stream (h);

  meters_add (h->node->meters, METER_APPENDS, 1);
  store_append (h->node->store, stream, &writer, o->entries,
                STORE_HEDGED_TIMEOUT_MS, on_appended,
                host_call_new (h, NULL, NULL, o->sequence, now_ms));
  g_free (stream);
}

static void
on_owner_answered (void *data, const struct http_reply *reply)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  bool has_stopped = reply->status == 200;

  event_log ("owner-stopped", call->service, "owner=%s outcome=%s", call->task,
             has_stopped ? "stopped" : "no-answer");
  if (h != NULL && h->cell != NULL)
    {
      cell_owner_answered (h->cell, call->task, has_stopped, node_now_ms ());
      node_schedule_run (h->node, h);
    }
  host_call_destroy (call);
}

/* Add the workers that MACHINES name to the set WORKERS, without those of
   machines that are down. */
static void
add_named_workers (GHashTable *workers, const GPtrArray *machines)
{
  for (guint i = 0; i < machines->len; i++)
    {
      const struct machine *m = g_ptr_array_index (machines, i);

      if (m->state != MACHINE_DOWN)
        g_hash_table_add (workers, m->worker);
    }
}

static void
on_machines (void *data, GPtrArray *machines)
{
  struct host_call *call = data;
  struct cell_host *h = host_of_call (call);
  GHashTable *workers = NULL;

  if (machines != NULL)
    {
      workers = g_hash_table_new (g_str_hash, g_str_equal);
      add_named_workers (workers, machines);
    }
  if (h != NULL && h->cell != NULL)
    {
      cell_machines_listed (h->cell, workers, call->sent_ms, node_now_ms ());
      node_schedule_run (h->node, h);
    }
  g_clear_pointer (&workers, g_hash_table_unref);
  host_call_destroy (call);
}

static void
execute_order (struct cell_host *h, const struct cell_order *o, int64_t now_ms)
{
  struct node *n = h->node;
  const struct run_order *r = &o->u.run;

  switch (o->kind)
    {
    case ORDER_START:
      meters_add (n->meters, METER_STARTS, 1);
      order_relay_send (n->relay, o->kind, r, on_started,
                        run_call_new (h, r, now_ms), now_ms);
      break;
    case ORDER_STOP:
      meters_add (n->meters, METER_STOPS, 1);
      order_relay_send (n->relay, o->kind, r, on_stopped,
                        run_call_new (h, r, now_ms), now_ms);
      break;
    case ORDER_PACE:
      meters_add (n->meters, METER_PACES, 1);
      worker_pace (n->client, r, on_paced, run_call_new (h, r, now_ms));
      break;
    case ORDER_HOLD:
      meters_add (n->meters, METER_HOLDS, 1);
      worker_hold (n->client, &o->u.hold, on_held,
                   host_call_new (h, o->u.hold.worker, NULL, 0, now_ms));
      break;
    case ORDER_APPEND:
      send_append (h, &o->u.append, now_ms);
      break;
    case ORDER_STOP_OWNER:
      peer_stop_owner (n, o->u.owner.address, h->service, h->epoch,
                       on_owner_answered,
                       host_call_new (h, NULL, o->u.owner.address, 0, now_ms));
      break;
    case ORDER_LIST_MACHINES:
      meters_add (n->meters, METER_MACHINE_LISTS, 1);
      machines_read (n->client, n->settings->machines, on_machines,
                     host_call_new (h, NULL, NULL, 0, now_ms));
      break;
    case ORDER_ANSWER:
      answer_request (h, &o->u.answer);
      break;
    case ORDER_LOG_EVENT:
      event_log (o->u.event.event, o->u.event.subject, "%s",
                 o->u.event.detail);
      break;
    }
}

void
host_run (struct cell_host *host, int64_t now_ms)
{
  struct cell_order *o;

  host->must_run = false;
  if (host->phase != HOST_ACTIVE)
    {
      host_take_over (host, now_ms);
      return;
    }
  host_confirm (host, now_ms);
  if (!host->is_announced && !host->is_announcing)
    host_announce (host, host->node->address, 1, now_ms);
  if (host_is_fleet (host))
    {
      fleet_tick (host->node, now_ms);
      return;
    }
  host_record_homes (host, now_ms);
  cell_tick (host->cell, node_wall_ms (host->node),
             host_is_confirmed (host, now_ms) && !host->node->is_stopping,
             now_ms);
  while ((o = cell_next_order (host->cell)) != NULL)
    {
      execute_order (host, o, now_ms);
      cell_order_destroy (o);
    }
  order_relay_flush (host->node->relay);
  if (cell_is_fenced (host->cell))
    host_step_down (host, now_ms);
  else if (cell_needs_epoch (host->cell))
    host_renew_epoch (host, now_ms);
}

/* Requests to the cell. */

static void
add_request (struct cell_host *h, uint64_t token,
             const struct front_request *request, front_done done, void *data,
             int64_t now_ms)
{
  struct local_request *local = g_new0 (struct local_request, 1);

  local->verb = request->verb;
  local->done = done;
  local->data = data;
  local->begun_ms = now_ms;
  g_hash_table_insert (h->requests, g_memdup2 (&token, sizeof token), local);
}

static void
answer_state (struct cell_host *h, const struct front_request *request,
              front_done done, void *data, int64_t now_ms)
{
  struct front_answer answer = { .result = FRONT_DONE };

  /* Another cell accepts the job if this one does not have it. */
  bool is_pending = request->routes_version > 0
                    && cell_has_job (h->cell, request->subject);

  if (!cell_job_state (h->cell, request->subject, &answer.state))
    answer.result = may_answer_not_found (h, now_ms) && !is_pending
                        ? FRONT_NOT_FOUND
                        : FRONT_UNAVAILABLE;
  done (data, &answer);
}

void
host_handle_request (struct cell_host *host,
                     const struct front_request *request, front_done done,
                     void *data, int64_t now_ms)
{
  uint64_t token = ++host->node->last_token;
  struct front_answer answer = { .result = FRONT_DONE };

  switch (request->verb)
    {
    case FRONT_SUBMIT:
      add_request (host, token, request, done, data, now_ms);
      cell_submit (host->cell, request->spec, token, now_ms);
      break;
    case FRONT_CANCEL:
      add_request (host, token, request, done, data, now_ms);
      cell_cancel (host->cell, request->subject, token, now_ms);
      break;
    case FRONT_GET_STATE:
      answer_state (host, request, done, data, now_ms);
      break;
    case FRONT_COUNT_WAITING:
      answer.number = host_count_waiting_jobs (host, request->subject);
      done (data, &answer);
      break;
    case FRONT_EMPTY_WORKER:
      answer.number = cell_empty_worker (host->cell, request->subject, now_ms);
      done (data, &answer);
      break;
    case FRONT_WORKER_ENDED:
      cell_worker_ended (host->cell, request->subject, now_ms);
      done (data, &answer);
      break;
    }
  node_schedule_run (host->node, host);
}
