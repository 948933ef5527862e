#include "snapshot.h"

#include <glib.h>

/* Tests that a fleet restored from a snapshot equals the fleet that has
   applied all records, and applies further records with the same results. */

#define SEEDS 40
#define RECORDS 3000
#define KEYS 60
#define VMS 24

static const char config_text[]
    = "{\"teams\":[{\"name\":\"t\",\"token_sha256\":"
      "\"b45f6aab3f78ddf81953881d73f96fa19564b50ee1f733ea5f782d548a1f1189\","
      "\"quota_slots\":9}],"
      "\"pools\":[{\"name\":\"a\",\"spare\":false,\"min_vms\":1},"
      "{\"name\":\"b\",\"spare\":true,\"min_vms\":1}],"
      "\"services\":[{\"name\":\"a\",\"pool\":\"a\"}],"
      "\"classes\":[{\"name\":\"c\",\"service\":\"a\","
      "\"start_within_ms\":%d,\"max_unavailable_percent\":50,"
      "\"idempotent\":false}]}";

static struct key_id
random_key (GRand *g)
{
  char *key = g_strdup_printf ("k%d", g_rand_int_range (g, 0, KEYS));
  struct key_id id = key_id_make ("t", "a", "c", key);

  g_free (key);
  return id;
}

static void
fill_claim (GRand *g, const struct fleet *f, struct record_claim *c)
{
  const struct fleet_claim *old;

  c->key = random_key (g);
  old = fleet_find_claim (f, c->key);
  c->body_hash = g_rand_int (g);
  c->request = g_rand_int_range (g, 1, 50);
  c->seen = fleet_offset (f) - MIN (fleet_offset (f), g_rand_int (g) % 40);
  c->prior = old != NULL && g_rand_boolean (g) ? old->changed_at_offset : 0;
  c->remember_ms = g_rand_int_range (g, 1, 400000);
}

static void
fill_outcome (GRand *g, const struct fleet *f, struct record *r)
{
  struct record_outcome *o = &r->u.outcome;
  const struct fleet_claim *c;

  o->key = random_key (g);
  c = fleet_find_claim (f, o->key);
  if (c != NULL)
    {
      o->claim = c->claimed_at_offset;
      r->incarnation = c->incarnation;
    }
  o->outcome = (enum outcome)g_rand_int_range (g, 0, 4);
  o->reason = REASON_TOO_LATE;
  o->status = 200;
}

static void
fill_vm_step (GRand *g, const struct fleet *f, struct record_vm_step *s)
{
  const struct fleet_vm *v;

  s->vm = g_strdup_printf ("vm-%d", g_rand_int_range (g, 0, VMS));
  v = fleet_find_vm (f, s->vm);
  s->since = v != NULL ? v->changed_at_offset : 0;
  s->phase = (enum vm_phase)g_rand_int_range (g, 0, VM_PHASE_COUNT);
  s->pool = g_strdup (v != NULL && g_rand_boolean (g) ? v->pool : "b");
  s->purpose = g_strdup ("test");
}

static void
fill_vm_add (GRand *g, struct record_vm_add *v)
{
  v->vm = g_strdup_printf ("vm-%d", g_rand_int_range (g, 0, VMS));
  v->address = g_strdup ("127.0.0.1");
  v->port = 80;
  v->zone = g_strdup ("z");
  v->rack = g_strdup ("r");
  v->pool = g_strdup ("a");
  v->slots = 8;
}

static struct record *
random_record (GRand *g, const struct fleet *f)
{
  char *node = g_strdup_printf ("n%d", g_rand_int_range (g, 1, 5));
  struct record *r = record_new (
      (enum record_kind)g_rand_int_range (g, 0, RECORD_KIND_COUNT), node,
      (uint64_t)g_rand_int_range (g, 1, 4));

  g_free (node);
  if (g_rand_int_range (g, 0, 3) > 0)
    r->kind = g_rand_boolean (g) ? RECORD_CLAIM : RECORD_OUTCOME;
  switch (r->kind)
    {
    case RECORD_CONFIG:
      r->u.config.base = fleet_config_version (f);
      r->u.config.text
          = g_strdup_printf (config_text, g_rand_int_range (g, 100, 5000));
      break;
    case RECORD_VM_ADD:
      fill_vm_add (g, &r->u.vm_add);
      break;
    case RECORD_VM_STEP:
      fill_vm_step (g, f, &r->u.vm_step);
      break;
    case RECORD_CLAIM:
      fill_claim (g, f, &r->u.claim);
      break;
    case RECORD_OUTCOME:
      fill_outcome (g, f, r);
      break;
    case RECORD_MAINTAIN:
      r->u.maintain.name = g_strdup_printf ("w%d", g_rand_int_range (g, 0, 4));
      r->u.maintain.pool = g_strdup ("");
      break;
    case RECORD_MAINTAIN_CANCEL:
      r->u.maintain_cancel.name
          = g_strdup_printf ("w%d", g_rand_int_range (g, 0, 4));
      break;
    case RECORD_NODE_JOIN:
    case RECORD_NODE_LEAVE:
      r->u.node_join.zone = g_strdup ("z");
      break;
    default:
      r->kind = RECORD_MAINTAIN_CANCEL;
      r->u.maintain_cancel.name = g_strdup ("none");
      break;
    }
  return r;
}

static struct fleet *
restore_copy (const struct fleet *f)
{
  struct digest d;
  GBytes *bytes = snapshot_write (f, &d);
  struct fleet *c = snapshot_read (bytes, d);

  g_assert_nonnull (c);
  g_bytes_unref (bytes);
  return c;
}

/* Apply the same random records to a fleet that is never restored and to one
   that is restored repeatedly: the verdicts and the final state are equal. */
static void
test_restored_equals_applied (void)
{
  int accepted = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      GRand *g = g_rand_new_with_seed (seed);
      struct fleet *applied = fleet_new ();
      struct fleet *restored = fleet_new ();
      int64_t at_ms = 1000000;

      for (uint64_t offset = 1; offset <= RECORDS; offset++)
        {
          struct record *r = random_record (g, applied);
          enum verdict v;

          at_ms += g_rand_int_range (g, -50, 4000);
          v = fleet_apply (applied, r, offset, at_ms);
          accepted += v == VERDICT_ACCEPTED;
          if (fleet_apply (restored, r, offset, at_ms) != v)
            g_error ("seed %u: the verdicts differ at %u, kind %d: %s", seed,
                     (guint)offset, (int)r->kind, verdict_name (v));
          record_destroy (r);
          if (g_rand_int_range (g, 0, 100) == 0)
            {
              struct fleet *next = restore_copy (restored);

              fleet_destroy (restored);
              restored = next;
            }
        }
      if (!digest_equal (snapshot_digest (applied),
                         snapshot_digest (restored)))
        g_error ("seed %u: the states differ", seed);
      fleet_destroy (applied);
      fleet_destroy (restored);
      g_rand_free (g);
    }
  g_test_message ("%d seeds of %d records, %d accepted", SEEDS, RECORDS,
                  accepted);
  g_assert_cmpint (accepted, >, SEEDS * RECORDS / 10);
}

/* Whichever byte of a snapshot is changed, the snapshot is refused or has the
   same state. */
static void
test_corrupt_snapshot_is_refused (void)
{
  GRand *g = g_rand_new_with_seed (7);
  struct fleet *f = fleet_new ();
  struct digest d;
  GBytes *bytes;
  gsize size;
  guint8 *data;

  for (uint64_t offset = 1; offset <= 200; offset++)
    {
      struct record *r = random_record (g, f);

      fleet_apply (f, r, offset, (int64_t)offset * 10);
      record_destroy (r);
    }
  bytes = snapshot_write (f, &d);
  data = g_bytes_unref_to_data (bytes, &size);
  for (gsize i = 0; i < size; i++)
    {
      struct fleet *corrupt;

      data[i] ^= 0x10;
      bytes = g_bytes_new_static (data, size);
      corrupt = snapshot_read (bytes, d);
      /* Some bits of zstd's frame header are not part of the state. */
      if (corrupt != NULL)
        g_assert_true (digest_equal (snapshot_digest (corrupt), d));
      fleet_destroy (corrupt);
      g_bytes_unref (bytes);
      data[i] ^= 0x10;
    }
  bytes = g_bytes_new_take (data, size);
  d.low ^= 1;
  g_assert_null (snapshot_read (bytes, d));
  g_bytes_unref (bytes);
  fleet_destroy (f);
  g_rand_free (g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/snapshot/restored-equals-applied",
                   test_restored_equals_applied);
  g_test_add_func ("/snapshot/corrupt-refused",
                   test_corrupt_snapshot_is_refused);
  return g_test_run ();
}
