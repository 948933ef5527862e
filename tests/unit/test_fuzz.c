#include "config.h"
#include "fields.h"
#include "mutation.h"
#include "peer_message.h"
#include "platform.h"
#include "record.h"
#include "settings.h"

#include <libsoup/soup.h>
#include <string.h>
#include <sys/resource.h>

/* Feeds mutations of valid input, from fixed seeds, to every parser of input
   from outside the process.  A parser has to accept each input or report an
   error; it must not crash, log a warning or leak memory. */

/* Number of mutated inputs for each valid input, and over HTTP. */
#define ROUNDS 4000
#define PLATFORM_ROUNDS 600
/* Nesting, or repetitions of a piece, in the tests of deep nesting. */
#define DEEP_NESTING 200000
/* Maximum growth of the peak memory.  The address sanitizer holds back up to
   256 MB of freed memory. */
#ifdef __SANITIZE_ADDRESS__
#define GROWTH_MAX_KB ((64 + 256) * 1024)
#else
#define GROWTH_MAX_KB (64 * 1024)
#endif

static long
peak_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/* A parser of text returns whether it accepted TEXT, and sets ERROR if not. */
typedef bool (*parse_text_function) (const char *text, gsize size,
                                     GError **error);

static bool
parse_settings (const char *text, gsize size, GError **error)
{
  JsonNode *root = fields_parse (text, (gssize)size, "settings", error);
  struct settings *s;

  if (root == NULL)
    return false;
  s = settings_from_json (root, error);
  json_node_unref (root);
  settings_destroy (s);
  return s != NULL;
}

static bool
parse_configuration (const char *text, gsize size, GError **error)
{
  struct config *c = config_from_text (text, (gssize)size, error);

  config_destroy (c);
  return c != NULL;
}

static bool
parse_intention (const char *text, gsize size, GError **error)
{
  JsonNode *root = fields_parse (text, (gssize)size, "intention", error);
  struct record_maintain m = { 0 };
  bool is_valid;

  if (root == NULL)
    return false;
  is_valid = record_read_maintain (root, &m, error);
  json_node_unref (root);
  g_free (m.name);
  g_free (m.pool);
  return is_valid;
}

static bool
parse_record (const char *text, gsize size, GError **error)
{
  struct record *r = record_from_text (text, (gssize)size, error);

  record_destroy (r);
  return r != NULL;
}

/* Call PARSE on mutations of TEXT, which has to be valid itself. */
static void
fuzz_text (parse_text_function parse, const char *text, guint32 seed)
{
  GError *error = NULL;
  guint n_refused = 0;
  long before_kb;

  mutation_seed (seed);
  g_assert_true (parse (text, strlen (text), &error));
  g_assert_no_error (error);
  before_kb = peak_kb ();
  for (int i = 0; i < ROUNDS; i++)
    {
      GByteArray *b = mutation_of (text, strlen (text));

      if (!parse ((const char *)b->data, b->len, &error))
        {
          g_assert_nonnull (error);
          g_assert_cmpuint (strlen (error->message), >, 10);
          n_refused++;
        }
      g_clear_error (&error);
      g_byte_array_unref (b);
    }
  g_assert_cmpuint (n_refused, >, ROUNDS / 10);
  g_assert_cmpint (peak_kb () - before_kb, <, GROWTH_MAX_KB);
}

static char *
read_file (const char *name)
{
  char *text = NULL;

  g_assert_true (g_file_get_contents (name, &text, NULL, NULL));
  return text;
}

static void
test_settings (void)
{
  char *text = read_file ("examples/kandy/settings.json");

  fuzz_text (parse_settings, text, 11);
  g_free (text);
}

static void
test_configuration (void)
{
  char *text = read_file ("examples/kandy/configuration.json");

  fuzz_text (parse_configuration, text, 12);
  g_free (text);
}

static void
test_intention (void)
{
  char *text = read_file ("examples/kandy/maintenance.json");

  fuzz_text (parse_intention, text, 13);
  g_free (text);
}

static void
fill_record (struct record *r)
{
  switch (r->kind)
    {
    case RECORD_CONFIG:
      r->u.config.text = read_file ("examples/kandy/configuration.json");
      break;
    case RECORD_VM_ADD:
      r->u.vm_add.vm = g_strdup ("vm-1");
      r->u.vm_add.address = g_strdup ("127.0.0.1");
      r->u.vm_add.port = 80;
      r->u.vm_add.zone = g_strdup ("z");
      r->u.vm_add.rack = g_strdup ("r");
      r->u.vm_add.pool = g_strdup ("search");
      r->u.vm_add.slots = 8;
      break;
    case RECORD_VM_STEP:
      r->u.vm_step.vm = g_strdup ("vm-1");
      r->u.vm_step.since = 1;
      r->u.vm_step.phase = VM_DRAINING;
      r->u.vm_step.pool = g_strdup ("search");
      r->u.vm_step.purpose = g_strdup ("wave");
      break;
    case RECORD_MAINTAIN:
      r->u.maintain.name = g_strdup ("wave");
      r->u.maintain.pool = g_strdup ("search");
      r->u.maintain.finish_within_ms = 3600000;
      r->u.maintain.patience_ms = 1000;
      break;
    case RECORD_CLAIM:
      r->u.claim.remember_ms = 1000;
      break;
    case RECORD_OUTCOME:
      r->u.outcome.outcome = OUTCOME_NOT_RUN;
      r->u.outcome.reason = REASON_TOO_LATE;
      break;
    default:
      break;
    }
}

static void
test_record (void)
{
  static const enum record_kind kinds[]
      = { RECORD_CONFIG, RECORD_VM_ADD,   RECORD_VM_STEP,
          RECORD_CLAIM,  RECORD_MAINTAIN, RECORD_OUTCOME };

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct record *r = record_new (kinds[i], "n1", 3);
      char *text;

      fill_record (r);
      text = record_to_text (r);
      fuzz_text (parse_record, text, 20 + (guint32)i);
      g_free (text);
      record_destroy (r);
    }
}

static char *
repeat (const char *fragment, guint count)
{
  GString *s = g_string_new (NULL);

  for (guint i = 0; i < count; i++)
    g_string_append (s, fragment);
  return g_string_free (s, FALSE);
}

/* Guards against stack overflow: the parser recurses on nested input, so deep
   nesting has to be refused before it is parsed. */
static void
test_deep_nesting (void)
{
  static const char *const fragments[] = { "[", "{\"a\":", "[{\"a\":" };

  for (gsize i = 0; i < G_N_ELEMENTS (fragments); i++)
    {
      char *text = repeat (fragments[i], DEEP_NESTING);
      GError *error = NULL;

      g_assert_false (parse_configuration (text, strlen (text), &error));
      g_assert_nonnull (strstr (error->message, "nested"));
      g_clear_error (&error);
      g_assert_false (parse_record (text, strlen (text), &error));
      g_clear_error (&error);
      g_free (text);
    }
}

/* Nesting is found also where comments or strings contain quotation marks and
   brackets, which would mislead the check that precedes the parser. */
static void
test_hidden_nesting (void)
{
  static const char *const fragments[]
      = { "/*\"*/[", "//\"\n[", "[\"]\",", "{\"}\":", "'\"'[", "[\"\\\"]\"," };

  for (gsize i = 0; i < G_N_ELEMENTS (fragments); i++)
    {
      char *text = repeat (fragments[i], DEEP_NESTING);
      GError *error = NULL;

      g_assert_false (parse_configuration (text, strlen (text), &error));
      g_clear_error (&error);
      g_free (text);
    }
}

/* Brackets inside a string don't count as nesting. */
static void
test_brackets_in_string (void)
{
  char *inner = repeat ("[\\\"{\\\\", 100);
  char *text = g_strconcat ("{\"a\":\"", inner, "\"}", NULL);
  JsonNode *root = fields_parse (text, -1, "text", NULL);

  g_assert_nonnull (root);
  json_node_unref (root);
  g_free (text);
  g_free (inner);
}

/* Peer messages. */

static void
add_vm_state (struct peer_message *p, const char *vm, enum vm_state state)
{
  struct peer_vm_state s = { g_strdup (vm), state, 3 };

  if (p->u.vm_news.states == NULL)
    p->u.vm_news.states = peer_vm_states_new ();
  g_array_append_val (p->u.vm_news.states, s);
}

static struct peer_message *
make_peer_message (enum peer_kind kind)
{
  static char *leaving[] = { (char *)"vm-1", (char *)"vm-2", NULL };
  struct peer_message *p = peer_message_new (kind);

  p->from = g_strdup ("n1");
  p->incarnation = 5;
  switch (kind)
    {
    case PEER_HEARTBEAT:
      p->u.heartbeat.zone = g_strdup ("z");
      p->u.heartbeat.leaving = g_strdupv (leaving);
      break;
    case PEER_SLOT_ASK:
      p->u.slot_ask.pool = g_strdup ("search");
      p->u.slot_ask.class_name = g_strdup ("counter-lookup");
      p->u.slot_ask.team = g_strdup ("t");
      p->u.slot_ask.avoid_vm = g_strdup ("");
      break;
    case PEER_SLOT_GRANT:
      p->u.slot_grant.vm = g_strdup ("vm-1");
      break;
    case PEER_SLOT_REFUSE:
      p->u.slot_refuse.reason = REASON_TOO_LATE;
      break;
    case PEER_SLOT_RETURN:
      p->u.slot_return.vm = g_strdup ("vm-1");
      break;
    case PEER_SLOT_HOLD:
      p->u.slot_hold.vm = g_strdup ("vm-1");
      p->u.slot_hold.pool = g_strdup ("search");
      break;
    case PEER_SNAPSHOT_PART:
      p->u.snapshot_part.data = g_bytes_new_static ("part", 4);
      break;
    case PEER_VM_NEWS:
      add_vm_state (p, "vm-1", VM_STATE_LEAVING);
      add_vm_state (p, "vm-2", VM_STATE_GONE);
      break;
    default:
      break;
    }
  return p;
}

/* Check that a message that was read from the mutated bytes B, if it is
   accepted, can be written and read again. */
static void
check_peer_message (GByteArray *b)
{
  GBytes *bytes = g_bytes_new (b->data, b->len);
  struct peer_message *p = NULL;
  enum peer_read result = peer_message_from_bytes (bytes, &p);

  g_assert_true ((result == PEER_READ_OK) == (p != NULL));
  if (p != NULL)
    {
      GBytes *rewritten = peer_message_to_bytes (p);
      struct peer_message *q = NULL;

      g_assert_cmpint (peer_message_from_bytes (rewritten, &q), ==,
                       PEER_READ_OK);
      g_assert_cmpint (q->kind, ==, p->kind);
      g_assert_cmpstr (q->from, ==, p->from);
      peer_message_destroy (q);
      g_bytes_unref (rewritten);
    }
  peer_message_destroy (p);
  g_bytes_unref (bytes);
}

static void
test_peer_message (void)
{
  long before_kb = peak_kb ();

  mutation_seed (31);
  for (int kind = 0; kind < PEER_KIND_COUNT; kind++)
    {
      struct peer_message *p = make_peer_message ((enum peer_kind)kind);
      GBytes *bytes = peer_message_to_bytes (p);
      gsize size;
      const void *data = g_bytes_get_data (bytes, &size);

      for (int i = 0; i < ROUNDS; i++)
        {
          GByteArray *b = mutation_of (data, size);

          check_peer_message (b);
          g_byte_array_unref (b);
        }
      g_bytes_unref (bytes);
      peer_message_destroy (p);
    }
  g_assert_cmpint (peak_kb () - before_kb, <, GROWTH_MAX_KB);
}

/* Answers of the platform, over HTTP. */

struct platform_server
{
  SoupServer *server;
  const char *text; /* the valid answer that is mutated */
  guint n_read;     /* number of answers read */
  guint n_refused;  /* number of them that were refused */
};

static void
on_platform_request (SoupServer *server, SoupServerMessage *message,
                     const char *path, GHashTable *query, gpointer data)
{
  const struct platform_server *f = data;
  GByteArray *b = mutation_of (f->text, strlen (f->text));

  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, (const char *)b->data,
                                    b->len);
  g_byte_array_unref (b);
}

static void
on_read (struct platform_read_result *r, void *data)
{
  struct platform_server *f = data;

  f->n_read++;
  f->n_refused += r->entries == NULL;
  if (r->entries != NULL)
    g_array_unref (r->entries);
}

static void
on_list (GArray *vms, void *data)
{
  struct platform_server *f = data;

  f->n_read++;
  f->n_refused += vms == NULL;
  if (vms != NULL)
    g_array_unref (vms);
}

static void
test_platform_answers (void)
{
  struct platform_server f = { soup_server_new (NULL, NULL), NULL, 0, 0 };
  struct counters *counters = counters_new ();
  struct endpoint endpoint = { (char *)"127.0.0.1", 0 };
  struct platform *p;
  GSList *uris;

  mutation_seed (41);
  soup_server_add_handler (f.server, NULL, on_platform_request, &f, NULL);
  g_assert_true (soup_server_listen_local (
      f.server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (f.server);
  endpoint.port = (uint16_t)g_uri_get_port (uris->data);
  p = platform_new (&endpoint, "", counters);
  for (guint i = 0; i < PLATFORM_ROUNDS; i++)
    {
      if (i % 2 == 0)
        {
          f.text = "{\"first\":1,\"head\":2,\"records\":[{\"offset\":1,"
                   "\"at_ms\":5,\"data\":\"{}\"},{\"offset\":2,\"at_ms\":6,"
                   "\"data\":\"x\"}]}";
          platform_read_log (p, 0, 0, on_read, &f);
        }
      else
        {
          f.text = "{\"vms\":[{\"vm\":\"a\",\"address\":\"127.0.0.1\","
                   "\"port\":1,\"zone\":\"z\",\"rack\":\"r\",\"pool\":\"p\","
                   "\"slots\":8,\"running\":0,\"state\":\"live\"}]}";
          platform_read_vm_list (p, on_list, &f);
        }
      while (f.n_read <= i)
        g_main_context_iteration (NULL, TRUE);
    }
  g_assert_cmpuint (f.n_refused, >, PLATFORM_ROUNDS / 10);
  g_assert_cmpuint (f.n_refused, <, PLATFORM_ROUNDS);
  platform_destroy (p);
  g_object_unref (f.server);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  counters_destroy (counters);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fuzz/settings", test_settings);
  g_test_add_func ("/fuzz/configuration", test_configuration);
  g_test_add_func ("/fuzz/intention", test_intention);
  g_test_add_func ("/fuzz/record", test_record);
  g_test_add_func ("/fuzz/peer-message", test_peer_message);
  g_test_add_func ("/fuzz/platform-answers", test_platform_answers);
  g_test_add_func ("/fuzz/deep-nesting", test_deep_nesting);
  g_test_add_func ("/fuzz/hidden-nesting", test_hidden_nesting);
  g_test_add_func ("/fuzz/brackets-in-string", test_brackets_in_string);
  return g_test_run ();
}
