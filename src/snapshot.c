#include "snapshot.h"

#include "fleet_state.h"
#include "variant_bytes.h"

#include <string.h>
#include <xxhash.h>
#include <zstd.h>

/* zstd's compression level. */
#define COMPRESSION_LEVEL 1

/* Version of the serialized state; other versions are refused. */
#define SNAPSHOT_VERSION 1

/* GVariant types of the state's elements. */
#define VM_TYPE "(ssqssssssuutxt)"
#define CLAIM_TYPE "(tttttttxxuuuu)"
#define WAVE_TYPE "(ssxxtx)"
#define NODE_TYPE "(sstt)"
#define COUNT_TYPE "(tu)"

/* Snapshot version, applied offset, log time, configuration (version, text),
   highest offset of an expired claim, next expiry bucket, VMs, names of
   claiming nodes, claims, waves, nodes, numbers of nodes. */
#define STATE_TYPE                                                            \
  "(utxtstxa" VM_TYPE "asa" CLAIM_TYPE "a" WAVE_TYPE "a" NODE_TYPE            \
  "a" COUNT_TYPE ")"

/* A claim with the memory layout of CLAIM_TYPE. */
struct claim_row
{
  guint64 key_high;
  guint64 key_low;
  guint64 body_hash;
  guint64 incarnation;
  guint64 request;
  guint64 claimed_at_offset;
  guint64 changed_at_offset;
  gint64 remember_ms;
  gint64 expires_ms;
  guint32 node; /* index into the names of claiming nodes */
  guint32 has_outcome;
  guint32 reason_outcome; /* reason << 8 | outcome */
  guint32 status;
};

bool
digest_equal (struct digest a, struct digest b)
{
  return a.high == b.high && a.low == b.low;
}

/* Writing. */

static GVariant *
write_vms (const struct fleet *f)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a" VM_TYPE));
  for (guint i = 0; i < f->vms->len; i++)
    {
      const struct fleet_vm *v = g_ptr_array_index (f->vms, i);

      g_variant_builder_add (
          &b, VM_TYPE, v->vm, v->address, v->port, v->zone, v->rack, v->pool,
          v->home_pool, v->next_pool, v->purpose, v->slots, (guint32)v->phase,
          (guint64)v->changed_at_offset, (gint64)v->changed_at_ms,
          (guint64)v->maintained_at_offset);
    }
  return g_variant_builder_end (&b);
}

static int
compare_claim_rows (gconstpointer a, gconstpointer b)
{
  const struct claim_row *x = a;
  const struct claim_row *y = b;

  if (x->key_high != y->key_high)
    return x->key_high < y->key_high ? -1 : 1;
  if (x->key_low != y->key_low)
    return x->key_low < y->key_low ? -1 : 1;
  return 0;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Return the sorted names of all nodes that hold claims, and set *INDEXES to a
   map from name to index.  The caller unrefs both; F owns the names. */
static GPtrArray *
list_claiming_nodes (const struct fleet *f, GHashTable **indexes)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter i;
  gpointer p;

  *indexes = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_iter_init (&i, f->claims);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      const char *node = ((struct fleet_claim *)p)->node;

      if (g_hash_table_add (*indexes, (char *)node))
        g_ptr_array_add (names, (char *)node);
    }
  g_ptr_array_sort (names, compare_names);
  for (guint k = 0; k < names->len; k++)
    g_hash_table_insert (*indexes, g_ptr_array_index (names, k),
                         GUINT_TO_POINTER (k));
  return names;
}

static struct claim_row
claim_to_row (const struct fleet_claim *c, GHashTable *indexes)
{
  struct claim_row r = {
    .key_high = c->key.high,
    .key_low = c->key.low,
    .body_hash = c->body_hash,
    .incarnation = c->incarnation,
    .request = c->request,
    .claimed_at_offset = c->claimed_at_offset,
    .changed_at_offset = c->changed_at_offset,
    .remember_ms = c->remember_ms,
    .expires_ms = c->expires_ms,
    .node = GPOINTER_TO_UINT (g_hash_table_lookup (indexes, c->node)),
    .has_outcome = c->has_outcome,
    .reason_outcome = (guint32)c->reason << 8 | (guint32)c->outcome,
    .status = c->status,
  };

  return r;
}

static GVariant *
write_claims (const struct fleet *f, GVariant **names_out)
{
  GArray *rows = g_array_sized_new (FALSE, FALSE, sizeof (struct claim_row),
                                    g_hash_table_size (f->claims));
  GHashTable *indexes;
  GPtrArray *names = list_claiming_nodes (f, &indexes);
  GHashTableIter i;
  gpointer p;
  GVariant *v;

  g_hash_table_iter_init (&i, f->claims);
  while (g_hash_table_iter_next (&i, NULL, &p))
    {
      struct claim_row r = claim_to_row (p, indexes);

      g_array_append_val (rows, r);
    }
  g_array_sort (rows, compare_claim_rows);
  v = g_variant_new_fixed_array (G_VARIANT_TYPE (CLAIM_TYPE), rows->data,
                                 rows->len, sizeof (struct claim_row));
  *names_out
      = g_variant_new_strv ((const char *const *)names->pdata, names->len);
  g_hash_table_unref (indexes);
  g_ptr_array_unref (names);
  g_array_unref (rows);
  return v;
}

static GVariant *
write_waves (const struct fleet *f)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a" WAVE_TYPE));
  for (guint i = 0; i < f->waves->len; i++)
    {
      const struct fleet_wave *w = g_ptr_array_index (f->waves, i);

      g_variant_builder_add (
          &b, WAVE_TYPE, w->name, w->pool, (gint64)w->finish_within_ms,
          (gint64)w->patience_ms, (guint64)w->accepted_at_offset,
          (gint64)w->accepted_at_ms);
    }
  return g_variant_builder_end (&b);
}

static GVariant *
write_nodes (const struct fleet *f)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a" NODE_TYPE));
  for (guint i = 0; i < f->nodes->len; i++)
    {
      const struct fleet_node *n = g_ptr_array_index (f->nodes, i);

      g_variant_builder_add (&b, NODE_TYPE, n->node, n->zone,
                             (guint64)n->incarnation,
                             (guint64)n->joined_at_offset);
    }
  return g_variant_builder_end (&b);
}

static GVariant *
write_node_counts (const struct fleet *f)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a" COUNT_TYPE));
  for (guint i = 0; i < f->node_counts->len; i++)
    {
      const struct node_count *c
          = &g_array_index (f->node_counts, struct node_count, i);

      g_variant_builder_add (&b, COUNT_TYPE, (guint64)c->offset,
                             (guint32)c->n);
    }
  return g_variant_builder_end (&b);
}

/* Return the uncompressed state of F, which the caller unrefs. */
static GBytes *
write_state (const struct fleet *f)
{
  GVariant *names;
  GVariant *claims = write_claims (f, &names);
  GVariant *v = g_variant_new (
      "(utxtstx@a" VM_TYPE "@as@a" CLAIM_TYPE "@a" WAVE_TYPE "@a" NODE_TYPE
      "@a" COUNT_TYPE ")",
      (guint32)SNAPSHOT_VERSION, (guint64)f->offset, (gint64)f->time_ms,
      (guint64)f->config_version, f->config != NULL ? f->config->text : "",
      (guint64)f->max_expired_claim_offset, (gint64)f->next_bucket,
      write_vms (f), names, claims, write_waves (f), write_nodes (f),
      write_node_counts (f));

  return variant_to_bytes (v);
}

static struct digest
digest_state (GBytes *state)
{
  gsize size;
  const void *data = g_bytes_get_data (state, &size);
  XXH128_hash_t h = XXH3_128bits (data, size);
  struct digest d = { h.high64, h.low64 };

  return d;
}

struct digest
snapshot_digest (const struct fleet *fleet)
{
  GBytes *state = write_state (fleet);
  struct digest d = digest_state (state);

  g_bytes_unref (state);
  return d;
}

GBytes *
snapshot_write (const struct fleet *fleet, struct digest *digest)
{
  GBytes *state = write_state (fleet);
  gsize size;
  const void *data = g_bytes_get_data (state, &size);
  gsize bound = ZSTD_compressBound (size);
  guint8 *compressed = g_malloc (bound);
  gsize n = ZSTD_compress (compressed, bound, data, size, COMPRESSION_LEVEL);

  *digest = digest_state (state);
  g_bytes_unref (state);
  if (ZSTD_isError (n))
    g_error ("zstd can't compress a snapshot: %s", ZSTD_getErrorName (n));
  return g_bytes_new_take (g_realloc (compressed, n), n);
}

/* Reading. */

static void
read_vms (struct fleet *f, GVariant *array)
{
  GVariantIter i;
  struct fleet_vm v = { 0 };
  guint32 phase;

  g_variant_iter_init (&i, array);
  while (g_variant_iter_next (
      &i, VM_TYPE, &v.vm, &v.address, &v.port, &v.zone, &v.rack, &v.pool,
      &v.home_pool, &v.next_pool, &v.purpose, &v.slots, &phase,
      &v.changed_at_offset, &v.changed_at_ms, &v.maintained_at_offset))
    {
      v.phase = (enum vm_phase)phase;
      fleet_put_vm (f, g_memdup2 (&v, sizeof v));
    }
}

static struct fleet_claim *
claim_from_row (const struct claim_row *r, const char *node)
{
  struct fleet_claim *c = g_new0 (struct fleet_claim, 1);

  c->key.high = r->key_high;
  c->key.low = r->key_low;
  c->body_hash = r->body_hash;
  c->incarnation = r->incarnation;
  c->request = r->request;
  c->claimed_at_offset = r->claimed_at_offset;
  c->changed_at_offset = r->changed_at_offset;
  c->remember_ms = r->remember_ms;
  c->expires_ms = r->expires_ms;
  c->node = g_intern_string (node);
  c->has_outcome = r->has_outcome != 0;
  c->outcome = (enum outcome) (r->reason_outcome & 0xff);
  c->reason = (enum reason) (r->reason_outcome >> 8);
  c->status = r->status;
  return c;
}

static bool
read_claims (struct fleet *f, GVariant *array, GVariant *names)
{
  gsize n = 0;
  const struct claim_row *rows
      = g_variant_get_fixed_array (array, &n, sizeof *rows);
  gsize n_names = 0;
  const char **nodes = g_variant_get_strv (names, &n_names);
  bool is_valid = true;

  for (gsize i = 0; is_valid && i < n; i++)
    {
      is_valid = rows[i].node < n_names;
      if (is_valid)
        fleet_put_claim (f, claim_from_row (&rows[i], nodes[rows[i].node]));
    }
  g_free (nodes);
  return is_valid;
}

static void
read_waves (struct fleet *f, GVariant *array)
{
  GVariantIter i;
  struct fleet_wave w = { 0 };

  g_variant_iter_init (&i, array);
  while (g_variant_iter_next (&i, WAVE_TYPE, &w.name, &w.pool,
                              &w.finish_within_ms, &w.patience_ms,
                              &w.accepted_at_offset, &w.accepted_at_ms))
    g_ptr_array_add (f->waves, g_memdup2 (&w, sizeof w));
}

static void
read_nodes (struct fleet *f, GVariant *array)
{
  GVariantIter i;
  struct fleet_node n = { 0 };

  g_variant_iter_init (&i, array);
  while (g_variant_iter_next (&i, NODE_TYPE, &n.node, &n.zone, &n.incarnation,
                              &n.joined_at_offset))
    g_ptr_array_add (f->nodes, g_memdup2 (&n, sizeof n));
}

static void
read_node_counts (struct fleet *f, GVariant *array)
{
  GVariantIter i;
  struct node_count c = { 0, 0 };

  g_variant_iter_init (&i, array);
  while (g_variant_iter_next (&i, COUNT_TYPE, &c.offset, &c.n))
    g_array_append_val (f->node_counts, c);
}

static bool
read_state (struct fleet *f, GVariant *v)
{
  guint32 version;
  const char *text;
  GVariant *arrays[6];
  bool is_valid;

  g_variant_get (v,
                 "(utxt&stx@a" VM_TYPE "@as@a" CLAIM_TYPE "@a" WAVE_TYPE
                 "@a" NODE_TYPE "@a" COUNT_TYPE ")",
                 &version, &f->offset, &f->time_ms, &f->config_version, &text,
                 &f->max_expired_claim_offset, &f->next_bucket, &arrays[0],
                 &arrays[1], &arrays[2], &arrays[3], &arrays[4], &arrays[5]);
  if (text[0] != '\0')
    f->config = config_from_text (text, -1, NULL);
  is_valid = version == SNAPSHOT_VERSION
             && (f->config != NULL) == (text[0] != '\0')
             && read_claims (f, arrays[2], arrays[1]);
  if (is_valid)
    {
      read_vms (f, arrays[0]);
      read_waves (f, arrays[3]);
      read_nodes (f, arrays[4]);
      read_node_counts (f, arrays[5]);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (arrays); i++)
    g_variant_unref (arrays[i]);
  return is_valid;
}

/* Return the uncompressed state that BYTES hold, which the caller unrefs; NULL
   if BYTES are corrupt or their state is too large. */
static GBytes *
decompress_state (GBytes *bytes)
{
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  unsigned long long n = ZSTD_getFrameContentSize (data, size);
  guint8 *state;
  gsize state_bytes;

  if (n == 0 || n > SNAPSHOT_MAX_BYTES)
    return NULL; /* zstd's error codes are larger than any size */
  state = g_malloc (n);
  state_bytes = ZSTD_decompress (state, n, data, size);
  if (!ZSTD_isError (state_bytes) && state_bytes == n)
    return g_bytes_new_take (state, n);
  g_free (state);
  return NULL;
}

struct fleet *
snapshot_read (GBytes *bytes, struct digest digest)
{
  GBytes *state = decompress_state (bytes);
  struct fleet *f = NULL;
  GVariant *v;

  if (state == NULL)
    return NULL;
  v = g_variant_new_from_bytes (G_VARIANT_TYPE (STATE_TYPE), state, FALSE);
  g_variant_ref_sink (v);
  if (digest_equal (digest_state (state), digest)
      && g_variant_is_normal_form (v))
    {
      f = fleet_new ();
      if (!read_state (f, v))
        g_clear_pointer (&f, fleet_destroy);
    }
  g_variant_unref (v);
  g_bytes_unref (state);
  return f;
}
