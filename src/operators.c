#include "operators.h"

#include "error.h"
#include "fields.h"
#include "unmet_targets.h"

#include <string.h>

/* Time within which an order's record must be applied here. */
#define VERDICT_TIMEOUT_MS 8000
#define MAX_PENDING_ORDERS 256

/* An order whose record is not yet applied here, or not yet by all live
   nodes. */
struct pending_order
{
  uint64_t query;
  char *uid;
  int64_t deadline_ms;
  int64_t wait_all_ms;
  uint64_t offset; /* of the record; 0 until it is applied */
};

struct operators
{
  GPtrArray *pending; /* struct pending_order * */
};

static void
pending_order_free (gpointer p)
{
  struct pending_order *q = p;

  g_free (q->uid);
  g_free (q);
}

struct operators *
operators_new (void)
{
  struct operators *o = g_new0 (struct operators, 1);

  o->pending = g_ptr_array_new_with_free_func (pending_order_free);
  return o;
}

void
operators_destroy (struct operators *operators)
{
  if (operators == NULL)
    return;
  g_ptr_array_unref (operators->pending);
  g_free (operators);
}

/* Send the reply to QUERY; takes ownership of TEXT. */
static void
reply_with_text (struct turn *t, uint64_t query, uint32_t status, char *text)
{
  struct message *m = message_new (MESSAGE_REPLY);

  m->u.reply.query = query;
  m->u.reply.status = status;
  m->u.reply.text = text;
  turn_emit (t, m);
}

/* Answer with a problem document: what is wrong and how to correct it. */
static void
reply_problem (struct turn *t, uint64_t query, uint32_t status,
               const char *problem, const char *remedy)
{
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "type");
  json_builder_add_string_value (b, "about:blank");
  json_builder_set_member_name (b, "status");
  json_builder_add_int_value (b, status);
  json_builder_set_member_name (b, "problem");
  json_builder_add_string_value (b, problem);
  json_builder_set_member_name (b, "remedy");
  json_builder_add_string_value (b, remedy);
  json_builder_set_member_name (b, "offset");
  json_builder_add_int_value (b, (gint64)fleet_offset (t->fleet));
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  reply_with_text (t, query, status, json_to_string (root, FALSE));
  json_node_unref (root);
  g_object_unref (b);
}

static void
reply_error (struct turn *t, uint64_t query, GError *error)
{
  reply_problem (t, query, 422, error->message,
                 "correct it and send it again");
  g_error_free (error);
}

/* Answer with TEXT and take ownership of it; if it is NULL, answer that
   nothing was found. */
static void
reply_or_not_found (struct turn *t, uint64_t query, char *text)
{
  if (text != NULL)
    reply_with_text (t, query, 200, text);
  else
    reply_problem (t, query, 404, "nothing with that name was found",
                   "check the name; write a target as SERVICE/CLASS; keys "
                   "are forgotten after remember_key_ms");
}

static void
append_order (struct operators *o, struct turn *t,
              const struct message_query *q, struct record *r)
{
  struct pending_order *p;

  if (o->pending->len >= MAX_PENDING_ORDERS)
    {
      record_destroy (r);
      reply_problem (t, q->query, 503, "too many orders are pending",
                     "try again in a few seconds");
      return;
    }
  p = g_new0 (struct pending_order, 1);
  p->query = q->query;
  p->uid = g_strdup (r->uid);
  p->deadline_ms = t->now_ms + VERDICT_TIMEOUT_MS;
  p->wait_all_ms = q->wait_all_ms;
  g_ptr_array_add (o->pending, p);
  turn_append (t, r);
}

/* Return whether the log is reachable; if not, answer QUERY with an error. */
static bool
check_log_reachable (struct turn *t, uint64_t query)
{
  if (t->log_reachable)
    return true;
  reply_problem (t, query, 503,
                 "the platform's log does not answer, so nothing can be "
                 "published; nothing was changed",
                 "try again when the log answers; requests are still served");
  return false;
}

static void
publish_configuration (struct operators *o, struct turn *t,
                       const struct message_query *q)
{
  GError *error = NULL;
  struct config *c = config_from_text (q->text, -1, &error);
  uint64_t version = fleet_config_version (t->fleet);
  struct record *r;

  if (c == NULL)
    {
      reply_error (t, q->query, error);
      return;
    }
  if (!check_log_reachable (t, q->query))
    {
      config_destroy (c);
      return;
    }
  r = record_new (RECORD_CONFIG, t->node, t->incarnation);
  r->u.config.base = q->accepts_any_base ? version : q->base;
  r->u.config.text = g_strdup (c->text);
  config_destroy (c);
  append_order (o, t, q, r);
}

static void
order_maintenance (struct operators *o, struct turn *t,
                   const struct message_query *q)
{
  GError *error = NULL;
  JsonNode *root = fields_parse (q->text, -1, "the intention", &error);
  struct record *r;

  if (root == NULL)
    {
      reply_error (t, q->query, error);
      return;
    }
  r = record_new (RECORD_MAINTAIN, t->node, t->incarnation);
  if (!record_read_maintain (root, &r->u.maintain, &error))
    {
      record_destroy (r);
      reply_error (t, q->query, error);
    }
  else if (!check_log_reachable (t, q->query))
    record_destroy (r);
  else
    append_order (o, t, q, r);
  json_node_unref (root);
}

static void
cancel_maintenance (struct operators *o, struct turn *t,
                    const struct message_query *q)
{
  struct record *r;

  if (!check_log_reachable (t, q->query))
    return;
  r = record_new (RECORD_MAINTAIN_CANCEL, t->node, t->incarnation);
  r->u.maintain_cancel.name = g_strdup (q->subject);
  append_order (o, t, q, r);
}

static void
reply_configuration (struct turn *t, const struct message_query *q)
{
  const struct config *c = fleet_config (t->fleet);

  if (t->is_catching_up)
    {
      reply_problem (t, q->query, 503,
                     "this node's fleet state is not yet up to date",
                     "ask another node, or try again in a few seconds");
      return;
    }
  if (c == NULL)
    {
      reply_problem (t, q->query, 404, "no configuration is in force",
                     "publish one: burdockshed publish FILE");
      return;
    }
  reply_with_text (t, q->query, 200,
                   g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT
                                    ",\"offset\":%" G_GUINT64_FORMAT
                                    ",\"configuration\":%s}",
                                    (guint64)fleet_config_version (t->fleet),
                                    (guint64)fleet_offset (t->fleet),
                                    c->text));
}

static void
reply_ready (struct turn *t, const struct message_query *q)
{
  if (t->stopping)
    reply_problem (t, q->query, 503, "this node is stopping",
                   "use another node");
  else if (t->is_catching_up)
    reply_problem (t, q->query, 503,
                   "this node's fleet state is not yet up to date",
                   "use another node; it catches up from the log or a peer");
  else if (t->resuming)
    reply_problem (t, q->query, 503,
                   "this node has just started or was paused, and is reading "
                   "the latest records first",
                   "use another node, or try again in two seconds");
  else if (fleet_config (t->fleet) == NULL)
    reply_problem (t, q->query, 503, "no configuration is in force here yet",
                   "publish one, or wait until this node has read it");
  else if (t->now_ms > t->may_start_until_ms)
    reply_problem (
        t, q->query, 503,
        "this node has not joined, or can reach neither the log nor "
        "most other nodes",
        "use another node; this one recovers by itself");
  else
    reply_with_text (t, q->query, 200, g_strdup ("{\"ready\":true}"));
}

void
operators_query (struct operators *operators, struct turn *turn,
                 const struct status_input *input,
                 const struct message_query *message)
{
  switch (message->kind)
    {
    case QUERY_CONFIGURATION:
      reply_configuration (turn, message);
      break;
    case QUERY_PUBLISH:
      publish_configuration (operators, turn, message);
      break;
    case QUERY_MAINTAIN:
      order_maintenance (operators, turn, message);
      break;
    case QUERY_MAINTAIN_CANCEL:
      cancel_maintenance (operators, turn, message);
      break;
    case QUERY_MAINTENANCE:
      reply_with_text (turn, message->query, 200, status_render_waves (input));
      break;
    case QUERY_STATUS:
      reply_with_text (turn, message->query, 200, status_render (input));
      break;
    case QUERY_EXPLAIN:
      reply_or_not_found (turn, message->query,
                          status_explain (input, message->subject));
      break;
    case QUERY_KEY: /* keys.c answers these */
    case QUERY_CANCEL:
      break;
    case QUERY_READY:
      reply_ready (turn, message);
      break;
    }
}

static const char *
verdict_remedy (enum verdict verdict)
{
  switch (verdict)
    {
    case VERDICT_CONFLICT:
      return "another change was accepted first; read what is in force now, "
             "and send yours again based on it";
    case VERDICT_UNKNOWN:
      return "check the name; it is neither in the configuration nor among "
             "the maintenance intentions";
    case VERDICT_BUDGET:
      return "wait until the pool's availability budget allows it";
    case VERDICT_ACCEPTED:
    case VERDICT_REPEATED:
    case VERDICT_ILLEGAL:
    case VERDICT_COUNT:
      break;
    }
  return "correct it and send it again";
}

static void
reply_accepted (struct turn *t, const struct pending_order *p,
                bool on_all_live_nodes)
{
  const struct config *c = fleet_config (t->fleet);
  bool is_config = fleet_config_version (t->fleet) == p->offset;
  char *unmet_targets
      = is_config ? unmet_targets_render (t->fleet, c) : g_strdup ("[]");

  reply_with_text (t, p->query, 200,
                   g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT
                                    ",\"in_force_on_all_live_nodes\":%s"
                                    ",\"targets_not_met\":%s}",
                                    (guint64)p->offset,
                                    on_all_live_nodes ? "true" : "false",
                                    unmet_targets));
  g_free (unmet_targets);
}

static void
reply_refused (struct turn *t, const struct pending_order *p,
               enum record_kind kind, enum verdict verdict)
{
  char *text;

  if (kind == RECORD_MAINTAIN && verdict == VERDICT_CONFLICT)
    {
      reply_problem (t, p->query, 409,
                     "a maintenance intention with that name exists already",
                     "choose another name, or cancel that one first: "
                     "burdockshed maintain --cancel NAME");
      return;
    }
  text = g_strdup_printf (
      "the log's verdict is %s; version %" G_GUINT64_FORMAT " is in force",
      verdict_name (verdict), (guint64)fleet_config_version (t->fleet));
  reply_problem (t, p->query, verdict == VERDICT_UNKNOWN ? 404 : 409, text,
                 verdict_remedy (verdict));
  g_free (text);
}

void
operators_handle_verdict (struct operators *operators, struct turn *turn,
                          const struct record *record, uint64_t offset,
                          enum verdict verdict)
{
  for (guint i = 0; i < operators->pending->len; i++)
    {
      struct pending_order *p = g_ptr_array_index (operators->pending, i);

      if (strcmp (p->uid, record->uid) != 0 || p->offset != 0)
        continue;
      if (verdict == VERDICT_ACCEPTED && p->wait_all_ms > 0)
        {
          p->offset = offset;
          p->deadline_ms = turn->now_ms + p->wait_all_ms;
          return;
        }
      p->offset = offset;
      if (verdict == VERDICT_ACCEPTED)
        reply_accepted (turn, p, false);
      else
        reply_refused (turn, p, record->kind, verdict);
      g_ptr_array_remove_index (operators->pending, i);
      return;
    }
}

static bool
is_applied_by_all_live_nodes (const struct turn *t, uint64_t offset)
{
  const GPtrArray *others = members_others (t->members);

  for (guint i = 0; i < others->len; i++)
    {
      const struct member *m = g_ptr_array_index (others, i);

      if (m->alive && m->offset < offset)
        return false;
    }
  return true;
}

/* Answer P if all live nodes have applied it or its deadline has passed.
   Return whether it was answered. */
static bool
answer_if_due (struct turn *t, const struct pending_order *p)
{
  if (p->offset != 0 && is_applied_by_all_live_nodes (t, p->offset))
    {
      reply_accepted (t, p, true);
      return true;
    }
  if (t->now_ms < p->deadline_ms)
    return false;
  if (p->offset != 0)
    reply_accepted (t, p, false);
  else
    reply_problem (t, p->query, 504,
                   "the log has not answered in time; the order may still "
                   "take effect",
                   "read back what is in force before you send it again");
  return true;
}

void
operators_step (struct operators *operators, struct turn *turn)
{
  for (guint i = 0; i < operators->pending->len;)
    {
      if (answer_if_due (turn, g_ptr_array_index (operators->pending, i)))
        g_ptr_array_remove_index (operators->pending, i);
      else
        i++;
    }
}
