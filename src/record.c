#include "record.h"

#include "error.h"
#include "fields.h"
#include "json_put.h"

#include <string.h>
#include <xxhash.h>

/* Most parts that a checkpoint record may announce. */
#define CHECKPOINT_MAX_PARTS 10000
#define DAY_MS (24 * 3600 * 1000LL)

static const char *const kind_names[]
    = { "config",   "vm-add",          "vm-step",   "claim",      "outcome",
        "maintain", "maintain-cancel", "node-join", "node-leave", "checkpoint",
        NULL };

static const char *const phase_names[]
    = { "serving", "draining", "released", "rebooting", "down", NULL };

const char *
record_kind_name (enum record_kind kind)
{
  return kind_names[kind];
}

const char *
vm_phase_name (enum vm_phase phase)
{
  return phase_names[phase];
}

struct key_id
key_id_make (const char *team, const char *service, const char *class_name,
             const char *key)
{
  /* NULs separate the strings, so that two different lists of them never give
     the same bytes. */
  GString *s = g_string_new (team);
  XXH128_hash_t h;
  struct key_id id;

  g_string_append_c (s, '\0');
  g_string_append (s, service);
  g_string_append_c (s, '\0');
  g_string_append (s, class_name);
  g_string_append_c (s, '\0');
  g_string_append (s, key);
  h = XXH3_128bits (s->str, s->len);
  g_string_free (s, TRUE);
  id.high = h.high64;
  id.low = h.low64;
  return id;
}

bool
key_id_equal (struct key_id a, struct key_id b)
{
  return a.high == b.high && a.low == b.low;
}

struct record *
record_new (enum record_kind kind, const char *node, uint64_t incarnation)
{
  struct record *r = g_new0 (struct record, 1);

  r->kind = kind;
  r->node = g_strdup (node);
  r->incarnation = incarnation;
  r->uid = g_uuid_string_random ();
  return r;
}

static void
free_payload (struct record *r)
{
  switch (r->kind)
    {
    case RECORD_CONFIG:
      g_free (r->u.config.text);
      break;
    case RECORD_VM_ADD:
      g_free (r->u.vm_add.vm);
      g_free (r->u.vm_add.address);
      g_free (r->u.vm_add.zone);
      g_free (r->u.vm_add.rack);
      g_free (r->u.vm_add.pool);
      break;
    case RECORD_VM_STEP:
      g_free (r->u.vm_step.vm);
      g_free (r->u.vm_step.pool);
      g_free (r->u.vm_step.next_pool);
      g_free (r->u.vm_step.purpose);
      break;
    case RECORD_MAINTAIN:
      g_free (r->u.maintain.name);
      g_free (r->u.maintain.pool);
      break;
    case RECORD_MAINTAIN_CANCEL:
      g_free (r->u.maintain_cancel.name);
      break;
    case RECORD_NODE_JOIN:
    case RECORD_NODE_LEAVE:
      g_free (r->u.node_join.zone);
      break;
    case RECORD_CHECKPOINT:
      g_free (r->u.checkpoint.data);
      break;
    case RECORD_CLAIM:
    case RECORD_OUTCOME:
    case RECORD_KIND_COUNT:
      break;
    }
}

void
record_destroy (struct record *record)
{
  if (record == NULL)
    return;
  free_payload (record);
  g_free (record->uid);
  g_free (record->node);
  g_free (record);
}

/* Writing. */

/* Write VALUE as a string of hexadecimal digits, because JSON has no 64-bit
   integers. */
static void
put_hex (JsonBuilder *b, const char *name, uint64_t value)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", (guint64)value);
  json_put_string (b, name, text);
}

static void
put_payload (JsonBuilder *b, const struct record *r)
{
  switch (r->kind)
    {
    case RECORD_CONFIG:
      json_put_int (b, "base", (int64_t)r->u.config.base);
      json_put_string (b, "text", r->u.config.text);
      break;
    case RECORD_VM_ADD:
      json_put_string (b, "vm", r->u.vm_add.vm);
      json_put_string (b, "address", r->u.vm_add.address);
      json_put_int (b, "port", r->u.vm_add.port);
      json_put_string (b, "zone", r->u.vm_add.zone);
      json_put_string (b, "rack", r->u.vm_add.rack);
      json_put_string (b, "pool", r->u.vm_add.pool);
      json_put_int (b, "slots", r->u.vm_add.slots);
      break;
    case RECORD_VM_STEP:
      json_put_string (b, "vm", r->u.vm_step.vm);
      json_put_int (b, "since", (int64_t)r->u.vm_step.since);
      json_put_string (b, "phase", phase_names[r->u.vm_step.phase]);
      json_put_string (b, "pool", r->u.vm_step.pool);
      if (r->u.vm_step.next_pool != NULL)
        json_put_string (b, "next_pool", r->u.vm_step.next_pool);
      json_put_string (b, "purpose", r->u.vm_step.purpose);
      break;
    case RECORD_CLAIM:
      put_hex (b, "key_high", r->u.claim.key.high);
      put_hex (b, "key_low", r->u.claim.key.low);
      put_hex (b, "body", r->u.claim.body_hash);
      json_put_int (b, "request", (int64_t)r->u.claim.request);
      json_put_int (b, "prior", (int64_t)r->u.claim.prior);
      json_put_int (b, "seen", (int64_t)r->u.claim.seen);
      json_put_int (b, "remember_ms", r->u.claim.remember_ms);
      break;
    case RECORD_OUTCOME:
      put_hex (b, "key_high", r->u.outcome.key.high);
      put_hex (b, "key_low", r->u.outcome.key.low);
      json_put_int (b, "claim", (int64_t)r->u.outcome.claim);
      json_put_int (b, "outcome", r->u.outcome.outcome);
      json_put_int (b, "reason", r->u.outcome.reason);
      json_put_int (b, "status", r->u.outcome.status);
      break;
    case RECORD_MAINTAIN:
      json_put_string (b, "name", r->u.maintain.name);
      json_put_string (b, "pool", r->u.maintain.pool);
      json_put_int (b, "finish_within_ms", r->u.maintain.finish_within_ms);
      json_put_int (b, "patience_ms", r->u.maintain.patience_ms);
      break;
    case RECORD_MAINTAIN_CANCEL:
      json_put_string (b, "name", r->u.maintain_cancel.name);
      break;
    case RECORD_NODE_JOIN:
    case RECORD_NODE_LEAVE:
      json_put_string (b, "zone", r->u.node_join.zone);
      break;
    case RECORD_CHECKPOINT:
      json_put_int (b, "at", (int64_t)r->u.checkpoint.at);
      put_hex (b, "digest_high", r->u.checkpoint.digest_high);
      put_hex (b, "digest_low", r->u.checkpoint.digest_low);
      json_put_int (b, "index", r->u.checkpoint.index);
      json_put_int (b, "count", r->u.checkpoint.count);
      json_put_string (b, "data", r->u.checkpoint.data);
      break;
    case RECORD_KIND_COUNT:
      break;
    }
}

char *
record_to_text (const struct record *record)
{
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (b);
  json_put_string (b, "kind", kind_names[record->kind]);
  json_put_string (b, "uid", record->uid);
  json_put_string (b, "node", record->node);
  put_hex (b, "incarnation", record->incarnation);
  put_payload (b, record);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (b);
  return text;
}

/* Reading. */

static uint64_t
read_hex (struct fields *f, const char *name)
{
  char *text = fields_string (f, name, NULL);
  char *end = NULL;
  uint64_t value = g_ascii_strtoull (text, &end, 16);

  if (strlen (text) != 16 || *end != '\0')
    fields_mark_invalid (f, name, "write 16 hexadecimal digits");
  g_free (text);
  return value;
}

static uint64_t
read_offset (struct fields *f, const char *name)
{
  return (uint64_t)fields_int (f, name, 0, INT64_MAX, -1);
}

static struct key_id
read_key (struct fields *f)
{
  struct key_id id;

  id.high = read_hex (f, "key_high");
  id.low = read_hex (f, "key_low");
  return id;
}

static void
read_maintain (struct fields *f, struct record_maintain *m)
{
  m->name = fields_name (f, "name");
  m->pool = fields_string (f, "pool", "");
  m->finish_within_ms
      = fields_int (f, "finish_within_ms", 1000, 400 * DAY_MS, 49 * DAY_MS);
  m->patience_ms = fields_int (f, "patience_ms", 0, DAY_MS, 10 * 60 * 1000);
}

static void
read_vm_add (struct fields *f, struct record_vm_add *v)
{
  v->vm = fields_name (f, "vm");
  v->address = fields_string (f, "address", NULL);
  v->port = (uint16_t)fields_int (f, "port", 1, 65535, 0);
  v->zone = fields_name (f, "zone");
  v->rack = fields_name (f, "rack");
  v->pool = fields_name (f, "pool");
  v->slots = (uint32_t)fields_int (f, "slots", 1, 4096, 0);
}

static void
read_vm_step (struct fields *f, struct record_vm_step *v)
{
  v->vm = fields_name (f, "vm");
  v->since = read_offset (f, "since");
  v->phase
      = (enum vm_phase)fields_choice (f, "phase", phase_names, VM_PHASE_COUNT);
  if (v->phase >= VM_PHASE_COUNT)
    fields_mark_invalid (f, "phase",
                         "write the phase of a VM, such as serving");
  v->pool = fields_name (f, "pool");
  v->next_pool = fields_string (f, "next_pool", "");
  v->purpose = fields_string (f, "purpose", "");
}

static void
read_outcome (struct fields *f, struct record_outcome *o)
{
  o->key = read_key (f);
  o->claim = read_offset (f, "claim");
  o->outcome = (enum outcome)fields_int (f, "outcome", 0, OUTCOME_UNKNOWN, -1);
  o->reason = (enum reason)fields_int (f, "reason", 0, REASON_COUNT - 1, -1);
  o->status = (uint32_t)fields_int (f, "status", 0, 999, 0);
}

static void
read_claim (struct fields *f, struct record_claim *c)
{
  c->key = read_key (f);
  c->body_hash = read_hex (f, "body");
  c->request = read_offset (f, "request");
  c->prior = read_offset (f, "prior");
  c->seen = read_offset (f, "seen");
  c->remember_ms = fields_int (f, "remember_ms", 1, 30 * DAY_MS, 0);
}

static void
read_checkpoint (struct fields *f, struct record_checkpoint *c)
{
  c->at = read_offset (f, "at");
  c->digest_high = read_hex (f, "digest_high");
  c->digest_low = read_hex (f, "digest_low");
  c->count = (uint32_t)fields_int (f, "count", 1, CHECKPOINT_MAX_PARTS, 0);
  c->index
      = (uint32_t)fields_int (f, "index", 0, CHECKPOINT_MAX_PARTS - 1, -1);
  c->data = fields_string (f, "data", NULL);
}

static void
read_payload (struct fields *f, struct record *r)
{
  switch (r->kind)
    {
    case RECORD_CONFIG:
      r->u.config.base = read_offset (f, "base");
      r->u.config.text = fields_string (f, "text", NULL);
      break;
    case RECORD_VM_ADD:
      read_vm_add (f, &r->u.vm_add);
      break;
    case RECORD_VM_STEP:
      read_vm_step (f, &r->u.vm_step);
      break;
    case RECORD_CLAIM:
      read_claim (f, &r->u.claim);
      break;
    case RECORD_OUTCOME:
      read_outcome (f, &r->u.outcome);
      break;
    case RECORD_MAINTAIN:
      read_maintain (f, &r->u.maintain);
      break;
    case RECORD_MAINTAIN_CANCEL:
      r->u.maintain_cancel.name = fields_name (f, "name");
      break;
    case RECORD_NODE_JOIN:
    case RECORD_NODE_LEAVE:
      r->u.node_join.zone = fields_name (f, "zone");
      break;
    case RECORD_CHECKPOINT:
      read_checkpoint (f, &r->u.checkpoint);
      break;
    case RECORD_KIND_COUNT:
      break;
    }
}

static struct record *
record_from_json (JsonNode *root, GError **error)
{
  struct record *r = g_new0 (struct record, 1);
  struct fields *f = fields_open (root, "");

  r->kind = (enum record_kind)fields_choice (f, "kind", kind_names,
                                             RECORD_KIND_COUNT);
  if (r->kind == RECORD_KIND_COUNT)
    fields_mark_invalid (f, "kind",
                         "write the kind of a record, such as claim");
  r->uid = fields_name (f, "uid");
  r->node = fields_name (f, "node");
  r->incarnation = read_hex (f, "incarnation");
  read_payload (f, r);
  if (!fields_close (f, error))
    {
      record_destroy (r);
      return NULL;
    }
  return r;
}

struct record *
record_from_text (const char *text, gssize length, GError **error)
{
  JsonNode *root = fields_parse (text, length, "the record", error);
  struct record *r;

  if (root == NULL)
    return NULL;
  r = record_from_json (root, error);
  json_node_unref (root);
  return r;
}

bool
record_read_maintain (JsonNode *root, struct record_maintain *out,
                      GError **error)
{
  struct fields *f = fields_open (root, "");

  read_maintain (f, out);
  return fields_close (f, error);
}
