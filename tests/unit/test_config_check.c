#include "config_check.h"
#include "config_decode.h"

#include <string.h>

/* Scripted checks of a configuration of the job path: each case has a text, in
   which ' stands for ", and all lines that the check prints.  Every key begins
   with "SECRET", which no line may hold. */

#define QUEUE "{'name':'q','host':'a.example','path_prefix':'/q/'," REST
#define REST "'backend':'x'}"
#define ROUTES "'routes':[" QUEUE "]"
#define SERVICES "'services':[{'name':'x'}]"
#define BASE "'version':2," ROUTES "," SERVICES
#define QUEUE_WITH(members)                                                   \
  "{'version':2,'routes':[{'name':'q'," members "," REST "]," SERVICES "}"
#define SERVICES_WITH(services)                                               \
  "{'version':2," ROUTES ",'services':[" services "]}"
#define ACCOUNTS_WITH(accounts) "{" BASE ",'tenants':[" accounts "]}"
#define MATCH "'host':'a.example','path_prefix':'/q/'"
#define ACCOUNT_A "{'name':'a','weight':1,'api_keys':['SECRET1']}"
#define LIMITS_WITH(limits) "{" BASE ",'limits':{" limits "}}"

struct check_case
{
  const char *text;
  const char *expected;
};

static char *
quote (const char *text)
{
  return g_strdelimit (g_strdup (text), "'", '"');
}

/* Check TEXT, against OLD unless NULL, and compare the lines with EXPECTED. */
static void
assert_findings (const char *old, const char *text,
                 const struct account_amount *task, const char *expected)
{
  GPtrArray *findings = config_findings_new ();
  GPtrArray *old_findings = config_findings_new ();
  char *json = quote (text);
  char *old_json = quote (old != NULL ? old : "{}");
  struct config_draft *draft = config_decode (json, strlen (json), findings);
  struct config_draft *before
      = config_decode (old_json, strlen (old_json), old_findings);
  char *lines;

  if (draft != NULL)
    config_check_draft (draft, task, findings);
  if (old != NULL)
    config_check_changes (before, draft, findings);
  lines = config_findings_to_text (findings);
  g_assert_cmpstr (lines, ==, expected);
  g_assert_null (strstr (lines, "SECRET"));
  g_free (lines);
  config_draft_destroy (before);
  config_draft_destroy (draft);
  g_free (old_json);
  g_free (json);
  g_ptr_array_unref (old_findings);
  g_ptr_array_unref (findings);
}

static void
assert_cases (const struct check_case *cases, size_t n)
{
  for (size_t i = 0; i < n; i++)
    assert_findings (NULL, cases[i].text, NULL, cases[i].expected);
}

static void
test_errors (void)
{
  static const struct check_case cases[] = {
    /* An error or a warning in a sound configuration, for a host in upper
       case or members that only other programs read. */
    { "{" BASE ",'other':1,'tenants':[" ACCOUNT_A "]}", "" },
    { QUEUE_WITH ("'host':'A.Example','path_prefix':'/q/','x':1"), "" },
    /* A malformed text that nodes drop, or a message that quotes its keys. */
    { "{'tenants':[SECRET1]}",
      "error: file: line 1, column 18: it is not JSON; correct that line\n" },
    /* Another type of file than nodes read. */
    { "[]", "error: file: it is not an object; write an object, { ... }\n" },
    /* A member of which a node takes only the last. */
    { "{" BASE ",'version':3}",
      "error: file: line 1, column 125: a member is written twice; remove one "
      "of them\n" },
    /* Members that nodes read as empty or 0 without a word. */
    { "{'services':[]}",
      "error: version: it is missing; write a whole number of 0 or more\n"
      "error: routes: it is missing; write an array, [ ... ]\n" },
    { "{'version':'2'," ROUTES "," SERVICES ",'limits':[],'tenants':{}}",
      "error: version: it is not a version; write a whole number of 0 or "
      "more\n"
      "error: tenants: it is of another type; write an array, [ ... ]\n"
      "error: limits: it is of another type; write an object, { ... }\n" },
    { SERVICES_WITH ("{'name':'x'},'x'"),
      "error: services[1]: it is of another type; write an object, "
      "{ ... }\n" },
    { QUEUE_WITH ("'host':1,'public':1,'priority':0.5"),
      "error: routes[0].host: it is of another type; write a string\n"
      "error: routes[0].path_prefix: it is missing; write a string\n"
      "error: routes[0].priority: it is of another type; write a whole "
      "number\n"
      "error: routes[0].public: it is of another type; write true or "
      "false\n" },
    { ACCOUNTS_WITH (ACCOUNT_A
                     ",{'name':'b','weight':1,'cap':1,'api_keys':[1]}"),
      "error: tenants[1].cap: it is of another type; write an object, "
      "{ ... }\n"
      "error: tenants[1].api_keys: element 0 is of another type; write a "
      "string\n" },
    /* Numbers that nodes replace or cut. */
    { QUEUE_WITH (MATCH ",'priority':-1,'stretch':1001"),
      "error: routes[0].priority: -1 is out of range; write a number from 0 "
      "to 4294967295\n"
      "error: routes[0].stretch: 1001 is out of range; write a number from 0 "
      "to 1000\n" },
    /* Names by which an entry can't be told from another. */
    { SERVICES_WITH ("{'name':'x'},{'name':'x'}"),
      "error: services[1].name: \"x\" is also the name of services[0]; write "
      "a name of its own, or remove one of them\n" },
    { ACCOUNTS_WITH (ACCOUNT_A
                     ",{'name':'','weight':1,'api_keys':['SECRET2']}"),
      "error: tenants[1].name: it is empty; write a name\n" },
    /* A queue that another one hides; hosts are equal without their case. */
    { "{'version':2,'routes':[" QUEUE ",{'name':'p','host':'A.example',"
      "'path_prefix':'/q/'," REST "]," SERVICES "}",
      "error: routes[1].path_prefix: routes[0] has the same host and prefix "
      "\"/q/\", so this entry gets no request; write another prefix, or "
      "remove one of them\n" },
    /* A queue whose jobs no worker runs. */
    { SERVICES_WITH (""),
      "error: routes[0].backend: \"x\" is not a service; write a name that is "
      "listed under services\n" },
    /* A key whose requests count for the wrong account. */
    { ACCOUNTS_WITH (ACCOUNT_A
                     ",{'name':'b','weight':1,'api_keys':['SECRET1']}"),
      "error: tenants[1].api_keys[0]: the accounts \"a\" and \"b\" have this "
      "key; give each a key of its own\n" },
    /* A key that nodes skip. */
    { ACCOUNTS_WITH ("{'name':'a','weight':1,'api_keys':['SECRET1','']}"),
      "error: tenants[0].api_keys[1]: the key is empty; write a key, or "
      "remove it\n" },
    /* A limit under which no request would pass. */
    { LIMITS_WITH ("'max_header_bytes':0"),
      "error: limits.max_header_bytes: 0 allows no request, so nodes use "
      "their default instead; write a size in bytes, or remove the member\n" },
    /* A name that forges a line of the report. */
    { SERVICES_WITH ("{'name':'x'},{'name':'y\\nerror: z'}"),
      "warning: services[1]: no entry of routes sends to \"y?error: z\" and "
      "it is not standby; name it in one, or remove it\n" },
  };

  assert_cases (cases, G_N_ELEMENTS (cases));
}

static void
test_entries_that_never_match (void)
{
  static const struct check_case cases[] = {
    /* Hosts and prefixes that no request has. */
    { QUEUE_WITH ("'host':'a.example:80','path_prefix':'q/'"),
      "warning: routes[0].host: \"a.example:80\" never matches, since hosts "
      "are compared without a port; write the name without ':'\n"
      "warning: routes[0].path_prefix: \"q/\" never matches, since every path "
      "begins with \"/\"; write \"/q/\"\n" },
    { QUEUE_WITH ("'host':' a.example','path_prefix':'/q?'"),
      "warning: routes[0].host: \" a.example\" never matches, since it has "
      "blanks; write it without\n"
      "warning: routes[0].path_prefix: \"/q?\" never matches, since a path "
      "has no blanks, '?' or '#'; write it without\n" },
    { QUEUE_WITH ("'host':'','path_prefix':'/q/'"),
      "warning: routes[0].host: it is empty, so it matches only requests that "
      "name no host; write the host's name\n" },
    /* A queue that refuses all its callers, and an account without any. */
    { ACCOUNTS_WITH ("{'name':'a','weight':1,'api_keys':[]}"),
      "warning: routes[0].public: it is false, but no account has a key, so "
      "every request is refused; write true, or give an account a key\n"
      "warning: tenants[0].api_keys: without a key no request is this "
      "account's; add a key, or remove the account\n" },
    /* A warning for callers that need no key. */
    { "{'version':2,'routes':[{'name':'q'," MATCH ",'public':true," REST
      "]," SERVICES ",'tenants':[]}",
      "" },
    /* Machines for a service without jobs. */
    { SERVICES_WITH ("{'name':'x'},{'name':'y'},{'name':'z','standby':true}"),
      "warning: services[1]: no entry of routes sends to \"y\" and it is not "
      "standby; name it in one, or remove it\n" },
    /* A key left over from an incomplete change. */
    { ACCOUNTS_WITH (
          "{'name':'a','weight':1,'api_keys':['SECRET1','SECRET1']}"),
      "warning: tenants[0].api_keys[1]: the account has this key already; "
      "remove it\n" },
  };

  assert_cases (cases, G_N_ELEMENTS (cases));
}

static void
test_limits_that_contradict (void)
{
  static const struct check_case cases[] = {
    /* Numbers with which a queue serves nothing. */
    { QUEUE_WITH (MATCH ",'max_attempts':0,'timeout_ms':0"),
      "warning: routes[0].max_attempts: 0 attempts can't run a task and count "
      "as 1; write 1 or more\n"
      "warning: routes[0].timeout_ms: 0 leaves no time; write a time in ms, "
      "or remove the member\n" },
    /* A warning for a target above the timeout, which may be meant. */
    { QUEUE_WITH (MATCH ",'timeout_ms':5,'target_duration_ms':6"), "" },
    /* An account that is never owed anything; a cap of 0 is no limit. */
    { ACCOUNTS_WITH ("{'name':'a','weight':0,'cap':{'cpu':0,'gpu':1},"
                     "'api_keys':['SECRET1']}"),
      "warning: tenants[0].weight: with 0, or none, the account gets no share "
      "of a full cell and 1 job a second; write 1 or more\n" },
    /* Heads that the idle timeout cuts off first. */
    { LIMITS_WITH ("'header_timeout_ms':20,'idle_timeout_ms':10"),
      "warning: limits.header_timeout_ms: 20 is above idle_timeout_ms, 10, so "
      "a connection may be closed first; write at most that\n" },
    /* A spare service too many, and no service with machines. */
    { SERVICES_WITH ("{'name':'x'},{'name':'y','standby':true},"
                     "{'name':'z','standby':true}"),
      "warning: services[2].standby: services[1] is standby, too; write true "
      "for one of them only\n" },
    { SERVICES_WITH ("{'name':'x','standby':true}"),
      "warning: services: all are standby, so none has machines; write false "
      "for those that run jobs\n" },
  };

  assert_cases (cases, G_N_ELEMENTS (cases));
}

/* Guards against a cap under which the largest task never starts, and against
   an error for a cap that just holds it or for none. */
static void
test_cap_below_a_task (void)
{
  static const struct account_amount task = { 1000, 2048, 1 };

  assert_findings (
      NULL,
      ACCOUNTS_WITH ("{'name':'a','weight':1,'api_keys':['SECRET1'],"
                     "'cap':{'cpu':999,'mem_mb':2048,'gpu':0}}"),
      &task,
      "error: tenants[0].cap.cpu: 999 is below the largest task, which needs "
      "1000; write at least that, or 0 for no limit\n");
}

/* Guards against a version that nodes ignore, as it is not a higher one. */
static void
test_version (void)
{
  assert_findings ("{" BASE "}", "{" BASE "}", NULL,
                   "error: version: 2 is not above 2, the version in force, "
                   "so nodes ignore it; write a higher one\n");
}

/* Guards against a change that operators don't see before they send it. */
static void
test_changes (void)
{
  assert_findings (
      "{'version':1,'routes':[{'name':'p','host':'a.example',"
      "'path_prefix':'/p/'," REST ",{'name':'q','host':'b.example',"
      "'path_prefix':'/q/','stretch':1.6," REST "],"
      "'services':[{'name':'x','standby':true},{'name':'y'}],'tenants':["
      "{'name':'a','weight':1,'api_keys':['SECRET1','SECRET2','SECRET3'],"
      "'cap':{'cpu':8,'mem_mb':8}},"
      "{'name':'b','weight':1,'api_keys':['SECRET4']},"
      "{'name':'d','weight':1,'api_keys':['SECRET7']}]}",
      "{" BASE ",'tenants':[{'name':'a','weight':1,"
      "'api_keys':['SECRET1','SECRET5'],"
      "'cap':{'cpu':7,'mem_mb':0}},"
      "{'name':'d','weight':1,'api_keys':['SECRET7'],'cap':{'gpu':2}},"
      "{'name':'c','weight':1,'api_keys':['SECRET6']}],"
      "'limits':{'max_body_bytes':9}}",
      NULL,
      "change: routes \"p\": removed\n"
      "change: routes \"q\": changed host from b.example to a.example\n"
      "change: routes \"q\": changed stretch from 1.6 to 1\n"
      "change: services \"y\": removed\n"
      "change: services \"x\": changed standby from true to false\n"
      "change: tenants \"c\": added\n"
      "change: tenants \"b\": removed, with its keys\n"
      "change: tenants \"a\": lowered cap.cpu from 8 to 7\n"
      "change: tenants \"a\": changed cap.mem_mb from 8 to 0\n"
      "change: tenants \"a\": keys added: 1\n"
      "change: tenants \"a\": keys removed: 2\n"
      "change: tenants \"d\": lowered cap.gpu from 0 to 2\n"
      "change: limits: changed max_body_bytes from absent to 9\n");
}

/* Guards against accounts left out by mistake, which opens every queue. */
static void
test_accounts_removed_as_a_whole (void)
{
  assert_findings ("{'version':1," ROUTES "," SERVICES ",'tenants':[" ACCOUNT_A
                   "]}",
                   "{" BASE "}", NULL,
                   "warning: tenants: it is removed as a whole, so callers "
                   "need no keys; write [] to refuse requests without a key\n"
                   "change: tenants \"a\": removed, with its keys\n");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-check/errors", test_errors);
  g_test_add_func ("/config-check/entries-that-never-match",
                   test_entries_that_never_match);
  g_test_add_func ("/config-check/limits-that-contradict",
                   test_limits_that_contradict);
  g_test_add_func ("/config-check/cap-below-a-task", test_cap_below_a_task);
  g_test_add_func ("/config-check/version", test_version);
  g_test_add_func ("/config-check/changes", test_changes);
  g_test_add_func ("/config-check/accounts-removed-as-a-whole",
                   test_accounts_removed_as_a_whole);
  return g_test_run ();
}
