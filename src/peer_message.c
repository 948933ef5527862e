#include "peer_message.h"

/* Version, kind, sender, incarnation, payload. */
#define ENVELOPE_TYPE "(yystv)"
#define HEARTBEAT_TYPE "(sttxbas)"
#define SLOT_ASK_TYPE "(tussssxx)"
#define SLOT_GRANT_TYPE "(tusx)"
#define SLOT_REFUSE_TYPE "(tuux)"
#define SLOT_RETURN_TYPE "(tusux)"
#define SLOT_HOLD_TYPE "(tuss)"
#define SLOT_CANCEL_TYPE "(tu)"
#define SNAPSHOT_ASK_TYPE "(tu)"
#define SNAPSHOT_PART_TYPE "(tttuuay)"

static const char *const payload_types[PEER_KIND_COUNT]
    = { HEARTBEAT_TYPE,   SLOT_ASK_TYPE,     SLOT_GRANT_TYPE,
        SLOT_REFUSE_TYPE, SLOT_RETURN_TYPE,  SLOT_HOLD_TYPE,
        SLOT_CANCEL_TYPE, SNAPSHOT_ASK_TYPE, SNAPSHOT_PART_TYPE };

const char *
peer_kind_name (enum peer_kind kind)
{
  static const char *const names[PEER_KIND_COUNT]
      = { "heartbeat",   "slot-ask",     "slot-grant",
          "slot-refuse", "slot-return",  "slot-hold",
          "slot-cancel", "snapshot-ask", "snapshot-part" };

  return names[kind];
}

struct peer_message *
peer_message_new (enum peer_kind kind)
{
  struct peer_message *m = g_new0 (struct peer_message, 1);

  m->kind = kind;
  return m;
}

static void
clear_ask (struct peer_slot_ask *a)
{
  g_free (a->pool);
  g_free (a->class_name);
  g_free (a->team);
  g_free (a->avoid);
}

void
peer_message_destroy (struct peer_message *message)
{
  if (message == NULL)
    return;
  switch (message->kind)
    {
    case PEER_HEARTBEAT:
      g_free (message->u.heartbeat.zone);
      g_strfreev (message->u.heartbeat.leaving);
      break;
    case PEER_SLOT_ASK:
      clear_ask (&message->u.slot_ask);
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
    case PEER_SLOT_REFUSE:
    case PEER_SLOT_CANCEL:
    case PEER_SNAPSHOT_ASK:
    case PEER_KIND_COUNT:
      break;
    }
  g_free (message->from);
  g_free (message);
}

static GVariant *
heartbeat_to_variant (const struct peer_heartbeat *h)
{
  static const char *const none[] = { NULL };

  return g_variant_new (
      "(sttxb^as)", h->zone, (guint64)h->offset, (guint64)h->config_version,
      (gint64)h->view_age_ms, (gboolean)h->stopping,
      h->leaving != NULL ? (const char *const *)h->leaving : none);
}

static GVariant *
part_to_variant (const struct peer_snapshot_part *p)
{
  return g_variant_new (
      "(tttuu@ay)", (guint64)p->offset, (guint64)p->digest_high,
      (guint64)p->digest_low, (guint32)p->index, (guint32)p->count,
      g_variant_new_from_bytes (G_VARIANT_TYPE_BYTESTRING, p->data, TRUE));
}

static GVariant *
payload_to_variant (const struct peer_message *m)
{
  switch (m->kind)
    {
    case PEER_HEARTBEAT:
      return heartbeat_to_variant (&m->u.heartbeat);
    case PEER_SLOT_ASK:
      return g_variant_new (SLOT_ASK_TYPE, (guint64)m->u.slot_ask.request,
                            (guint32)m->u.slot_ask.attempt, m->u.slot_ask.pool,
                            m->u.slot_ask.class_name, m->u.slot_ask.team,
                            m->u.slot_ask.avoid, (gint64)m->u.slot_ask.wait_ms,
                            (gint64)m->u.slot_ask.run_ms);
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
      return part_to_variant (&m->u.snapshot_part);
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
  GBytes *bytes;

  g_variant_ref_sink (v);
  bytes = g_variant_get_data_as_bytes (v);
  g_variant_unref (v);
  return bytes;
}

static bool
read_refuse (struct peer_slot_refuse *r, GVariant *v)
{
  guint32 reason;

  g_variant_get (v, SLOT_REFUSE_TYPE, &r->request, &r->attempt, &reason,
                 &r->retry_after_ms);
  r->reason = (enum reason)reason;
  return reason > REASON_NONE && reason < REASON_COUNT;
}

static bool
read_return (struct peer_slot_return *r, GVariant *v)
{
  guint32 result;

  g_variant_get (v, SLOT_RETURN_TYPE, &r->request, &r->attempt, &r->vm,
                 &result, &r->run_ms);
  r->result = (enum run_result)result;
  return result < RUN_RESULT_COUNT;
}

static bool
read_heartbeat (struct peer_heartbeat *h, GVariant *v)
{
  gboolean stopping;

  g_variant_get (v, "(sttxb^as)", &h->zone, &h->offset, &h->config_version,
                 &h->view_age_ms, &stopping, &h->leaving);
  h->stopping = stopping;
  return true;
}

static void
read_part (struct peer_snapshot_part *p, GVariant *v)
{
  GVariant *data;

  g_variant_get (v, "(tttuu@ay)", &p->offset, &p->digest_high, &p->digest_low,
                 &p->index, &p->count, &data);
  p->data = g_variant_get_data_as_bytes (data);
  g_variant_unref (data);
}

/* Read the payload V, whose type has been checked, into M. */
static bool
read_payload (struct peer_message *m, GVariant *v)
{
  switch (m->kind)
    {
    case PEER_HEARTBEAT:
      return read_heartbeat (&m->u.heartbeat, v);
    case PEER_SLOT_ASK:
      g_variant_get (
          v, SLOT_ASK_TYPE, &m->u.slot_ask.request, &m->u.slot_ask.attempt,
          &m->u.slot_ask.pool, &m->u.slot_ask.class_name, &m->u.slot_ask.team,
          &m->u.slot_ask.avoid, &m->u.slot_ask.wait_ms, &m->u.slot_ask.run_ms);
      return true;
    case PEER_SLOT_GRANT:
      g_variant_get (v, SLOT_GRANT_TYPE, &m->u.slot_grant.request,
                     &m->u.slot_grant.attempt, &m->u.slot_grant.vm,
                     &m->u.slot_grant.valid_ms);
      return true;
    case PEER_SLOT_REFUSE:
      return read_refuse (&m->u.slot_refuse, v);
    case PEER_SLOT_RETURN:
      return read_return (&m->u.slot_return, v);
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
      read_part (&m->u.snapshot_part, v);
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
  bool good;

  g_variant_get (v, ENVELOPE_TYPE, &version, &kind, &from, &incarnation,
                 &payload);
  good = kind < PEER_KIND_COUNT
         && g_variant_is_of_type (payload,
                                  G_VARIANT_TYPE (payload_types[kind]));
  if (!good)
    {
      g_variant_unref (payload);
      g_free (from);
      return PEER_READ_MALFORMED;
    }
  m = peer_message_new ((enum peer_kind)kind);
  m->from = from;
  m->incarnation = incarnation;
  good = read_payload (m, payload);
  g_variant_unref (payload);
  if (!good)
    {
      peer_message_destroy (m);
      return PEER_READ_MALFORMED;
    }
  *message = m;
  return PEER_READ_GOOD;
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
  v = g_variant_new_from_bytes (G_VARIANT_TYPE (ENVELOPE_TYPE), bytes, FALSE);
  g_variant_ref_sink (v);
  if (g_variant_is_normal_form (v))
    result = read_envelope (v, message);
  else
    result = PEER_READ_MALFORMED;
  g_variant_unref (v);
  return result;
}
