#include "commands.h"
#include "error.h"
#include "exit_status.h"
#include "logging.h"
#include "node.h"
#include "serve.h"
#include "settings.h"

#include <argp.h>
#include <gio/gio.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Default and maximum of --wait-ms. */
#define DEFAULT_WAIT_MS 0
#define WAIT_MAX_MS 60000

const char *argp_program_version = "burdockshed " BURDOCKSHED_VERSION;

static const char doc[]
    = "Fleet capacity and maintenance manager\v"
      "Commands:\n"
      "  serve --settings FILE   run a node\n"
      "  node [--settings FILE]  run a node that schedules jobs; FILE also "
      "comes from BURDOCKSHED_NODE_FILE\n"
      "  check FILE              check settings, a configuration or an "
      "intention\n"
      "  check FILE --against OLD\n"
      "                          check a configuration of the job path, and "
      "say what differs from OLD, the version in force\n"
      "  publish FILE            publish a configuration\n"
      "  maintain FILE           publish a maintenance intention\n"
      "  maintain --list         list the intentions and their progress\n"
      "  maintain --cancel NAME  cancel an intention\n"
      "  status                  say of each target whether it holds\n"
      "  counters                print the node's counters\n"
      "  explain SUBJECT         say why a key, target or VM is as it is\n"
      "\n"
      "The address and token of a node also come from the environment, as "
      "BURDOCKSHED_NODE and BURDOCKSHED_TOKEN.\n"
      "Exit status: 0 done, 1 refused or a target does not hold, 2 usage, "
      "3 unreachable, 4 warnings (check --strict).";

enum option_key
{
  OPTION_SETTINGS = 's',
  OPTION_NODE = 'n',
  OPTION_TOKEN = 't',
  OPTION_JSON = 'j',
  OPTION_WATCH = 'w',
  OPTION_LIST = 'l',
  OPTION_CANCEL = 'c',
  OPTION_BASE = 'b',
  OPTION_WAIT = 'W',
  OPTION_AGAINST = 'a',
  OPTION_STRICT = 'S',
  OPTION_TASK = 'T'
};

static const struct argp_option options[] = {
  { "settings", OPTION_SETTINGS, "FILE", 0, "Settings of the node to serve",
    0 },
  { "node", OPTION_NODE, "ADDRESS:PORT", 0, "Admin address of a node", 0 },
  { "token", OPTION_TOKEN, "TOKEN", 0, "Admin token of the node", 0 },
  { "json", OPTION_JSON, NULL, 0, "Print JSON", 0 },
  { "watch", OPTION_WATCH, NULL, 0, "Print again every second", 0 },
  { "list", OPTION_LIST, NULL, 0, "List maintenance intentions", 0 },
  { "cancel", OPTION_CANCEL, NULL, 0, "Cancel a maintenance intention", 0 },
  { "base", OPTION_BASE, "VERSION", 0,
    "Publish only if VERSION is still in force", 0 },
  { "wait-ms", OPTION_WAIT, "MS", 0,
    "Wait until the publication is in force on all live nodes", 0 },
  { "against", OPTION_AGAINST, "OLD", 0,
    "Check against OLD, a file with the version in force", 0 },
  { "strict", OPTION_STRICT, NULL, 0, "Exit with 4 if a check warns", 0 },
  { "task", OPTION_TASK, "CPU,MEM_MB,GPU", 0,
    "Check caps against the largest task that callers send; CPU is in "
    "thousandths of a core",
    0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

struct arguments
{
  const char *command;
  const char *settings;
  struct command_options command_options;
};

static error_t
parse_argument (struct arguments *a, char *arg)
{
  if (a->command == NULL)
    a->command = arg;
  else if (a->command_options.subject == NULL)
    a->command_options.subject = arg;
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static error_t
parse_wait (const char *arg, struct argp_state *state, int *wait_ms)
{
  gint64 value = 0;

  if (!g_ascii_string_to_signed (arg, 10, 0, WAIT_MAX_MS, &value, NULL))
    argp_error (state,
                "--wait-ms %s: write a number of milliseconds from 0 to %d",
                arg, WAIT_MAX_MS);
  *wait_ms = (int)value;
  return 0;
}

static error_t
parse_base (const char *arg, struct argp_state *state, const char **base)
{
  if (!g_ascii_string_to_signed (arg, 10, 0, G_MAXINT64, NULL, NULL))
    argp_error (state, "--base %s: write a version, as publish printed it",
                arg);
  *base = arg;
  return 0;
}

static error_t
parse_task (const char *arg, struct argp_state *state,
            struct command_options *o)
{
  char **parts = g_strsplit (arg, ",", -1);
  guint64 values[3] = { 0 };
  bool is_valid = g_strv_length (parts) == G_N_ELEMENTS (values);

  for (guint i = 0; is_valid && i < G_N_ELEMENTS (values); i++)
    is_valid = g_ascii_string_to_unsigned (parts[i], 10, 0, G_MAXUINT32,
                                           &values[i], NULL);
  g_strfreev (parts);
  if (!is_valid)
    argp_error (state,
                "--task %s: write three whole numbers, such as 500,1024,0",
                arg);
  o->has_task = true;
  o->task = (struct account_amount){ values[0], values[1], values[2] };
  return 0;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case OPTION_SETTINGS:
      a->settings = arg;
      return 0;
    case OPTION_NODE:
      a->command_options.node = arg;
      return 0;
    case OPTION_TOKEN:
      a->command_options.token = arg;
      return 0;
    case OPTION_JSON:
      a->command_options.json = true;
      return 0;
    case OPTION_WATCH:
      a->command_options.watch = true;
      return 0;
    case OPTION_LIST:
      a->command_options.list = true;
      return 0;
    case OPTION_CANCEL:
      a->command_options.cancel = true;
      return 0;
    case OPTION_BASE:
      return parse_base (arg, state, &a->command_options.base);
    case OPTION_WAIT:
      return parse_wait (arg, state, &a->command_options.wait_ms);
    case OPTION_AGAINST:
      a->command_options.against = arg;
      return 0;
    case OPTION_STRICT:
      a->command_options.is_strict = true;
      return 0;
    case OPTION_TASK:
      return parse_task (arg, state, &a->command_options);
    case ARGP_KEY_ARG:
      return parse_argument (a, arg);
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Print PROBLEM and return the exit status for a usage error. */
static int
usage_error (const char *problem)
{
  fprintf (stderr, "burdockshed: %s\nTry 'burdockshed --help'.\n", problem);
  return EXIT_STATUS_USAGE;
}

static int
run_serve (const struct arguments *a)
{
  GError *error = NULL;
  struct settings *s;
  int status;

  if (a->settings == NULL)
    return usage_error ("serve needs --settings FILE");
  s = settings_read (a->settings, &error);
  if (s == NULL)
    {
      fprintf (stderr, "burdockshed: %s\n", error->message);
      g_error_free (error);
      return EXIT_STATUS_USAGE;
    }
  logging_set_up (s->log_json, s->log_debug);
  status = serve_run (s);
  settings_destroy (s);
  return status;
}

static int
run_node (const struct arguments *a)
{
  const char *file
      = a->settings != NULL ? a->settings : getenv ("BURDOCKSHED_NODE_FILE");

  if (file == NULL)
    return usage_error ("node needs --settings FILE or BURDOCKSHED_NODE_FILE");
  return node_run (file);
}

/* A command that sends requests to a node. */
struct node_command
{
  const char *name;
  int (*run) (const struct command_options *options);
  const char *subject; /* usage error if the subject is missing; NULL if the
                          command takes no subject */
};

static const struct node_command node_commands[] = {
  { "publish", command_publish, "publish needs a FILE" },
  { "maintain", command_maintain,
    "maintain needs a FILE, --list, or --cancel and a NAME" },
  { "status", command_status, NULL },
  { "counters", command_counters, NULL },
  { "explain", command_explain, "explain needs a KEY, TARGET or VM" },
};

/* Return whether TEXT is ADDRESS:PORT with an IP address. */
static bool
is_endpoint (const char *text)
{
  GSocketConnectable *c = g_network_address_parse (text, 0, NULL);
  bool is_valid = false;

  if (c == NULL)
    return false;
  is_valid = g_network_address_get_port (G_NETWORK_ADDRESS (c)) != 0
             && g_hostname_is_ip_address (
                 g_network_address_get_hostname (G_NETWORK_ADDRESS (c)));
  g_object_unref (c);
  return is_valid;
}

static int
run_node_command (const struct node_command *command,
                  const struct command_options *o)
{
  if (o->node == NULL)
    return usage_error (
        "name a node: --node ADDRESS:PORT or BURDOCKSHED_NODE");
  if (o->token == NULL)
    return usage_error ("give its token: --token TOKEN or BURDOCKSHED_TOKEN");
  if (!is_endpoint (o->node))
    return usage_error ("the node is not an address and a port; write it as "
                        "127.0.0.1:8081 or [::1]:8081");
  if (command->subject != NULL && o->subject == NULL && !o->list)
    return usage_error (command->subject);
  if (command->subject == NULL && o->subject != NULL)
    return usage_error ("this command takes no FILE or SUBJECT");
  return command->run (o);
}

static int
run_command (const struct arguments *a)
{
  if (a->command == NULL)
    return usage_error ("no command given");
  if (strcmp (a->command, "serve") == 0)
    return run_serve (a);
  if (strcmp (a->command, "node") == 0)
    return run_node (a);
  if (strcmp (a->command, "check") == 0)
    return a->command_options.subject != NULL
               ? command_check (&a->command_options)
               : usage_error ("check needs a FILE");
  for (size_t i = 0; i < G_N_ELEMENTS (node_commands); i++)
    if (strcmp (node_commands[i].name, a->command) == 0)
      return run_node_command (&node_commands[i], &a->command_options);
  return usage_error ("no such command");
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, "COMMAND [FILE|SUBJECT]", doc, NULL,
          NULL,    NULL };
  struct arguments a = { 0 };

  a.command_options.node = getenv ("BURDOCKSHED_NODE");
  a.command_options.token = getenv ("BURDOCKSHED_TOKEN");
  a.command_options.wait_ms = DEFAULT_WAIT_MS;
  argp_err_exit_status = EXIT_STATUS_USAGE;
  if (argp_parse (&argp, argc, argv, 0, NULL, &a) != 0)
    return EXIT_STATUS_USAGE;
  return run_command (&a);
}
