#include "peer_message.h"

#include "variant_bytes.h"

/* Version, kind, sender, incarnation, payload. */
#define ENVELOPE_TYPE "(yystv)"
#define ECHO_TYPE "(stx)"
#define LOAD_TYPE "(suuu)"
#define HEARTBEAT_TYPE "(sttxbxxasasa" ECHO_TYPE "a" LOAD_TYPE ")"
#define SLOT_ASK_TYPE "(tussssxx)"
#define SLOT_GRANT_TYPE "(tusx)"
#define SLOT_REFUSE_TYPE "(tuux)"
#define SLOT_RETURN_TYPE "(tusux)"
#define SLOT_HOLD_TYPE "(tuss)"
#define SLOT_CANCEL_TYPE "(tu)"
#define SNAPSHOT_ASK_TYPE "(tu)"
#define SNAPSHOT_PART_TYPE "(tttuuay)"

#define VM_NEWS_TYPE "a(syu)"
#define KEY_CANCEL_TYPE "(ttt)"
#define KEY_CANCELLED_TYPE "(tb)"

static const char *const payload_types[PEER_KIND_COUNT] = {
  [PEER_HEARTBEAT] = HEARTBEAT_TYPE,
  [PEER_SLOT_ASK] = SLOT_ASK_TYPE,
  [PEER_SLOT_GRANT] = SLOT_GRANT_TYPE,
  [PEER_SLOT_REFUSE] = SLOT_REFUSE_TYPE,
  [PEER_SLOT_RETURN] = SLOT_RETURN_TYPE,
  [PEER_SLOT_HOLD] = SLOT_HOLD_TYPE,
  [PEER_SLOT_CANCEL] = SLOT_CANCEL_TYPE,
  [PEER_VM_NEWS] = VM_NEWS_TYPE,
  [PEER_KEY_CANCEL] = KEY_CANCEL_TYPE,
  [PEER_KEY_CANCELLED] = KEY_CANCELLED_TYPE,
  [PEER_SNAPSHOT_ASK] = SNAPSHOT_ASK_TYPE,
  [PEER_SNAPSHOT_PART] = SNAPSHOT_PART_TYPE,
};

const char *
peer_kind_name (enum peer_kind kind)
{
  static const char *const names[PEER_KIND_COUNT] = {
    [PEER_HEARTBEAT] = "heartbeat",
    [PEER_SLOT_ASK] = "slot-ask",
    [PEER_SLOT_GRANT] = "slot-grant",
    [PEER_SLOT_REFUSE] = "slot-refuse",
    [PEER_SLOT_RETURN] = "slot-return",
    [PEER_SLOT_HOLD] = "slot-hold",
    [PEER_SLOT_CANCEL] = "slot-cancel",
    [PEER_VM_NEWS] = "vm-news",
    [PEER_KEY_CANCEL] = "key-cancel",
    [PEER_KEY_CANCELLED] = "key-cancelled",
    [PEER_SNAPSHOT_ASK] = "snapshot-ask",
    [PEER_SNAPSHOT_PART] = "snapshot-part",
  };

  return names[kind];
}

static void
clear_echo (gpointer p)
{
  g_free (((struct peer_echo *)p)->node);
}

static void
clear_load (gpointer p)
{
  g_free (((struct peer_load *)p)->pool);
}

GArray *
peer_echoes_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct peer_echo));

  g_array_set_clear_func (a, clear_echo);
  return a;
}

GArray *
peer_loads_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct peer_load));

  g_array_set_clear_func (a, clear_load);
  return a;
}

struct peer_message *
peer_message_new (enum peer_kind kind)
{
  struct peer_message *m = g_new0 (struct peer_message, 1);

  m->kind = kind;
  return m;
}

static void
clear_vm_state (gpointer p)
{
  g_free (((struct peer_vm_state *)p)->vm);
}

GArray *
peer_vm_states_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct peer_vm_state));

  g_array_set_clear_func (a, clear_vm_state);
  return a;
}

static void
clear_slot_ask (struct peer_slot_ask *a)
{
  g_free (a->pool);
  g_free (a->class_name);
  g_free (a->team);
  g_free (a->avoid_vm);
}

static void
clear_heartbeat (struct peer_heartbeat *h)
{
  g_free (h->zone);
  g_strfreev (h->leaving);
  g_strfreev (h->busy);
  g_clear_pointer (&h->echoes, g_array_unref);
  g_clear_pointer (&h->loads, g_array_unref);
}

void
peer_message_destroy (struct peer_message *message)
{
  if (message == NULL)
    return;
  switch (message->kind)
    {
    case PEER_HEARTBEAT:
      clear_heartbeat (&message->u.heartbeat);
      break;
    case PEER_SLOT_ASK:
      clear_slot_ask (&message->u.slot_ask);
      break;
    case PEER_SLOT_GRANT:
      g_free (message->u.slot_grant.vm);
      break;
    case PEER_SLOT_RETURN:
      g_free (message->u.slot_return.vm);
      break;
    case PEER_SLOT_HOLD:
      g_free (message->u.slot_hold.vm);
      g_free (message->u.slot_hold.pool);
      break;
    case PEER_SNAPSHOT_PART:
      if (message->u.snapshot_part.data != NULL)
        g_bytes_unref (message->u.snapshot_part.data);
      break;
    case PEER_VM_NEWS:
      g_clear_pointer (&message->u.vm_news.states, g_array_unref);
      break;
    case PEER_SLOT_REFUSE:
    case PEER_SLOT_CANCEL:
    case PEER_SNAPSHOT_ASK:
    case PEER_KEY_CANCEL:
    case PEER_KEY_CANCELLED:
    case PEER_KIND_COUNT:
      break;
    }
  g_free (message->from);
  g_free (message);
}

static GVariant *
echoes_to_variant (const GArray *echoes)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a" ECHO_TYPE));
  for (guint i = 0; echoes != NULL && i < echoes->len; i++)
    {
      const struct peer_echo *e = &g_array_index (echoes, struct peer_echo, i);

      g_variant_builder_add (&b, ECHO_TYPE, e->node, (guint64)e->incarnation,
                             (gint64)e->stamp_ms);
    }
  return g_variant_builder_end (&b);
}

static GVariant *
loads_to_variant (const GArray *loads)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a" LOAD_TYPE));
  for (guint i = 0; loads != NULL && i < loads->len; i++)
    {
      const struct peer_load *l = &g_array_index (loads, struct peer_load, i);

      g_variant_builder_add (&b, LOAD_TYPE, l->pool, (guint32)l->waiting,
                             (guint32)l->used, (guint32)l->slots);
    }
  return g_variant_builder_end (&b);
}

static const char *const *
names_or_none (char **names)
{
  static const char *const none[] = { NULL };

  return names != NULL ? (const char *const *)names : none;
}

static GVariant *
heartbeat_to_variant (const struct peer_heartbeat *h)
{
  return g_variant_new (
      "(sttxbxx^as^as@a" ECHO_TYPE "@a" LOAD_TYPE ")", h->zone,
      (guint64)h->offset, (guint64)h->config_version, (gint64)h->view_age_ms,
      (gboolean)h->stopping, (gint64)h->stamp_ms, (gint64)h->list_age_ms,
      names_or_none (h->leaving), names_or_none (h->busy),
      echoes_to_variant (h->echoes), loads_to_variant (h->loads));
}

static GVariant *
snapshot_part_to_variant (const struct peer_snapshot_part *p)
{
  return g_variant_new (
      "(tttuu@ay)", (guint64)p->offset, (guint64)p->digest_high,
      (guint64)p->digest_low, (guint32)p->index, (guint32)p->count,
      g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, p->data, TRUE));
}

static GVariant *
vm_news_to_variant (const struct peer_vm_news *n)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE (VM_NEWS_TYPE));
  for (guint i = 0; i < n->states->len; i++)
    {
      const struct peer_vm_state *s
          = &g_array_index (n->states, struct peer_vm_state, i);

      g_variant_builder_add (&b, "(syu)", s->vm, (guchar)s->state,
                             (guint32)s->running);
    }
  return g_variant_builder_end (&b);
}

static GVariant *
payload_to_variant (const struct peer_message *m)
{
  switch (m->kind)
    {
    case PEER_HEARTBEAT:
      return heartbeat_to_variant (&m->u.heartbeat);
    case PEER_SLOT_ASK:
      return g_variant_new (
          SLOT_ASK_TYPE, (guint64)m->u.slot_ask.request,
          (guint32)m->u.slot_ask.attempt, m->u.slot_ask.pool,
          m->u.slot_ask.class_name, m->u.slot_ask.team, m->u.slot_ask.avoid_vm,
          (gint64)m->u.slot_ask.wait_ms, (gint64)m->u.slot_ask.run_ms);
    case PEER_SLOT_GRANT:
      return g_variant_new (SLOT_GRANT_TYPE, (guint64)m->u.slot_grant.request,
                            (guint32)m->u.slot_grant.attempt,
                            m->u.slot_grant.vm,
                            (gint64)m->u.slot_grant.valid_ms);
    case PEER_SLOT_REFUSE:
      return g_variant_new (
          SLOT_REFUSE_TYPE, (guint64)m->u.slot_refuse.request,
          (guint32)m->u.slot_refuse.attempt, (guint32)m->u.slot_refuse.reason,
          (gint64)m->u.slot_refuse.retry_after_ms);
    case PEER_SLOT_RETURN:
      return g_variant_new (
          SLOT_RETURN_TYPE, (guint64)m->u.slot_return.request,
          (guint32)m->u.slot_return.attempt, m->u.slot_return.vm,
          (guint32)m->u.slot_return.result, (gint64)m->u.slot_return.run_ms);
    case PEER_SLOT_HOLD:
      return g_variant_new (SLOT_HOLD_TYPE, (guint64)m->u.slot_hold.request,
                            (guint32)m->u.slot_hold.attempt, m->u.slot_hold.vm,
                            m->u.slot_hold.pool);
    case PEER_SLOT_CANCEL:
      return g_variant_new (SLOT_CANCEL_TYPE,
                            (guint64)m->u.slot_cancel.request,
                            (guint32)m->u.slot_cancel.attempt);
    case PEER_SNAPSHOT_ASK:
      return g_variant_new (SNAPSHOT_ASK_TYPE,
                            (guint64)m->u.snapshot_ask.offset,
                            (guint32)m->u.snapshot_ask.index);
    case PEER_SNAPSHOT_PART:
      return snapshot_part_to_variant (&m->u.snapshot_part);
    case PEER_VM_NEWS:
      return vm_news_to_variant (&m->u.vm_news);
    case PEER_KEY_CANCEL:
      return g_variant_new (KEY_CANCEL_TYPE, (guint64)m->u.key_cancel.query,
                            (guint64)m->u.key_cancel.key.high,
                            (guint64)m->u.key_cancel.key.low);
    case PEER_KEY_CANCELLED:
      return g_variant_new (KEY_CANCELLED_TYPE,
                            (guint64)m->u.key_cancelled.query,
                            (gboolean)m->u.key_cancelled.cancelled);
    case PEER_KIND_COUNT:
      break;
    }
  g_return_val_if_reached (NULL);
}

GBytes *
peer_message_to_bytes (const struct peer_message *message)
{
  GVariant *v = g_variant_new (ENVELOPE_TYPE, (guchar)PEER_MESSAGE_VERSION,
                               (guchar)message->kind, message->from,
                               (guint64)message->incarnation,
                               payload_to_variant (message));

  return variant_to_bytes (v);
}

static bool
read_slot_refuse (struct peer_slot_refuse *r, GVariant *v)
{
  guint32 reason;

  g_variant_get (v, SLOT_REFUSE_TYPE, &r->request, &r->attempt, &reason,
                 &r->retry_after_ms);
  r->reason = (enum reason)reason;
  return reason > REASON_NONE && reason < REASON_COUNT;
}

static bool
read_slot_return (struct peer_slot_return *r, GVariant *v)
{
  guint32 result;

  g_variant_get (v, SLOT_RETURN_TYPE, &r->request, &r->attempt, &r->vm,
                 &result, &r->run_ms);
  r->result = (enum run_result)result;
  return result < RUN_RESULT_COUNT;
}

static GArray *
read_echoes (GVariantIter *iter)
{
  GArray *echoes = peer_echoes_new ();
  struct peer_echo e;

  while (g_variant_iter_next (iter, ECHO_TYPE, &e.node, &e.incarnation,
                              &e.stamp_ms))
    g_array_append_val (echoes, e);
  g_variant_iter_free (iter);
  return echoes;
}

static GArray *
read_loads (GVariantIter *iter)
{
  GArray *loads = peer_loads_new ();
  struct peer_load l;

  while (g_variant_iter_next (iter, LOAD_TYPE, &l.pool, &l.waiting, &l.used,
                              &l.slots))
    g_array_append_val (loads, l);
  g_variant_iter_free (iter);
  return loads;
}

static bool
read_heartbeat (struct peer_heartbeat *h, GVariant *v)
{
  GVariantIter *echoes;
  GVariantIter *loads;
  gboolean stopping;

  g_variant_get (v, "(sttxbxx^as^asa" ECHO_TYPE "a" LOAD_TYPE ")", &h->zone,
                 &h->offset, &h->config_version, &h->view_age_ms, &stopping,
                 &h->stamp_ms, &h->list_age_ms, &h->leaving, &h->busy, &echoes,
                 &loads);
  h->stopping = stopping;
  h->echoes = read_echoes (echoes);
  h->loads = read_loads (loads);
  return true;
}

static void
read_snapshot_part (struct peer_snapshot_part *p, GVariant *v)
{
  GVariant *data;

  g_variant_get (v, "(tttuu@ay)", &p->offset, &p->digest_high, &p->digest_low,
                 &p->index, &p->count, &data);
  p->data = g_variant_get_data_as_bytes (data);
  g_variant_unref (data);
}

static bool
read_vm_news (struct peer_vm_news *n, GVariant *v)
{
  GVariantIter i;
  char *vm;
  guchar state;
  guint32 running;
  bool is_valid = true;

  n->states = peer_vm_states_new ();
  g_variant_iter_init (&i, v);
  while (g_variant_iter_next (&i, "(syu)", &vm, &state, &running))
    {
      struct peer_vm_state s = { vm, (enum vm_state)state, running };

      is_valid = is_valid && state <= VM_STATE_GONE;
      g_array_append_val (n->states, s);
    }
  return is_valid;
}

/* Read the payload V, whose type has been checked, into M.  Return false if an
   enum value in it is out of range. */
static bool
read_payload (struct peer_message *m, GVariant *v)
{
  gboolean cancelled;

  switch (m->kind)
    {
    case PEER_HEARTBEAT:
      return read_heartbeat (&m->u.heartbeat, v);
    case PEER_SLOT_ASK:
      g_variant_get (v, SLOT_ASK_TYPE, &m->u.slot_ask.request,
                     &m->u.slot_ask.attempt, &m->u.slot_ask.pool,
                     &m->u.slot_ask.class_name, &m->u.slot_ask.team,
                     &m->u.slot_ask.avoid_vm, &m->u.slot_ask.wait_ms,
                     &m->u.slot_ask.run_ms);
      return true;
    case PEER_SLOT_GRANT:
      g_variant_get (v, SLOT_GRANT_TYPE, &m->u.slot_grant.request,
                     &m->u.slot_grant.attempt, &m->u.slot_grant.vm,
                     &m->u.slot_grant.valid_ms);
      return true;
    case PEER_SLOT_REFUSE:
      return read_slot_refuse (&m->u.slot_refuse, v);
    case PEER_SLOT_RETURN:
      return read_slot_return (&m->u.slot_return, v);
    case PEER_SLOT_HOLD:
      g_variant_get (v, SLOT_HOLD_TYPE, &m->u.slot_hold.request,
                     &m->u.slot_hold.attempt, &m->u.slot_hold.vm,
                     &m->u.slot_hold.pool);
      return true;
    case PEER_SLOT_CANCEL:
      g_variant_get (v, SLOT_CANCEL_TYPE, &m->u.slot_cancel.request,
                     &m->u.slot_cancel.attempt);
      return true;
    case PEER_SNAPSHOT_ASK:
      g_variant_get (v, SNAPSHOT_ASK_TYPE, &m->u.snapshot_ask.offset,
                     &m->u.snapshot_ask.index);
      return true;
    case PEER_SNAPSHOT_PART:
      read_snapshot_part (&m->u.snapshot_part, v);
      return true;
    case PEER_VM_NEWS:
      return read_vm_news (&m->u.vm_news, v);
    case PEER_KEY_CANCEL:
      g_variant_get (v, KEY_CANCEL_TYPE, &m->u.key_cancel.query,
                     &m->u.key_cancel.key.high, &m->u.key_cancel.key.low);
      return true;
    case PEER_KEY_CANCELLED:
      g_variant_get (v, KEY_CANCELLED_TYPE, &m->u.key_cancelled.query,
                     &cancelled);
      m->u.key_cancelled.cancelled = cancelled;
      return true;
    case PEER_KIND_COUNT:
      break;
    }
  return false;
}

static enum peer_read
read_envelope (GVariant *v, struct peer_message **message)
{
  guchar version;
  guchar kind;
  char *from = NULL;
  guint64 incarnation;
  GVariant *payload = NULL;
  struct peer_message *m;
  bool is_valid;

  g_variant_get (v, ENVELOPE_TYPE, &version, &kind, &from, &incarnation,
                 &payload);
  is_valid = kind < PEER_KIND_COUNT
             && g_variant_is_of_type (payload,
                                      G_VARIANT_TYPE (payload_types[kind]));
  if (!is_valid)
    {
      g_variant_unref (payload);
      g_free (from);
      return PEER_READ_MALFORMED;
    }
  m = peer_message_new ((enum peer_kind)kind);
  m->from = from;
  m->incarnation = incarnation;
  is_valid = read_payload (m, payload);
  g_variant_unref (payload);
  if (!is_valid)
    {
      peer_message_destroy (m);
      return PEER_READ_MALFORMED;
    }
  *message = m;
  return PEER_READ_OK;
}

enum peer_read
peer_message_from_bytes (GBytes *bytes, struct peer_message **message)
{
  gsize size;
  const guchar *data = g_bytes_get_data (bytes, &size);
  GVariant *v;
  enum peer_read result;

  *message = NULL;
  if (size == 0 || size > PEER_MESSAGE_MAX_BYTES)
    return PEER_READ_MALFORMED;
  if (data[0] != PEER_MESSAGE_VERSION)
    return PEER_READ_OTHER_VERSION;
  v = variant_from_bytes (bytes, ENVELOPE_TYPE);
  if (v == NULL)
    return PEER_READ_MALFORMED;
  result = read_envelope (v, message);
  g_variant_unref (v);
  return result;
}
