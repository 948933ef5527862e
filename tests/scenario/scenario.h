#ifndef SCENARIO_H
#define SCENARIO_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* Runs scripted scenarios against real processes, one step per line, and
   checks the outcomes against the stand-in's record of what was started.
   docs/TESTING.md describes the script language. */

#define MAX_NODES 16

/* A TCP relay on one link, so that a script can cut the link. */
struct relay
{
  GSocketService *service;
  uint16_t port;   /* where it listens */
  uint16_t target; /* where it connects to */
  bool is_cut;
  GPtrArray *connections; /* GIOStream *, both sides */
};

struct node
{
  char *name;
  uint16_t callers_port;
  uint16_t admin_port;
  uint16_t peer_port;
  struct relay *platform_relay;
  struct relay
      *peer_relays[MAX_NODES]; /* to each other node; NULL for itself */
  GSubprocess *process;        /* NULL if not running */
  bool is_frozen;
  bool is_stopping;
};

/* One request of a load, over all its attempts. */
struct request
{
  char *id;
  int64_t sent_ms;
  int64_t answered_ms;
  int attempts;
  bool is_answered;
  bool has_only_not_run;
  bool is_unknown;
  bool is_failed;
  bool has_wrong_answer;
  bool has_key;
  char *last_reason;
  char *retry_body; /* body of the retry after a truncated answer; or NULL */
};

struct load
{
  char *name;
  struct run *run;
  char *service;
  char *class_name;
  char *token;
  bool has_keys;
  bool may_retry; /* after a refusal or a broken connection */
  int rate_per_s; /* requests a second */
  int run_ms;
  int straggler_percent;
  int straggler_ms;
  int answer_bytes;
  int body_bytes;             /* padding of the request */
  int truncate_percent;       /* requests whose first answer is broken off */
  bool sends_twice;           /* each request goes to two nodes at once */
  bool has_other_second_body; /* the second one with another body */
  int timeout_ms;
  int node_index; /*, or -1 for all in turn */
  int64_t until_ms;
  int64_t started_ms;
  uint64_t started_requests;
  uint64_t pending_attempts;
  GPtrArray *requests; /* struct sent * */
};

/* The nodes' answers to "which configuration version is in force?" */
struct watch
{
  int64_t last_versions[MAX_NODES]; /* last version that each node named */
  bool is_asking[MAX_NODES];
  GArray *seen_versions; /* struct seen_version */
  int64_t answers;
  int64_t went_back; /* answers older than the same node's previous one */
  int64_t stale;     /* answers older than a version named seconds before */
};

struct run
{
  char *binary;
  char *standin;
  char *directory; /* scratch */
  GSubprocess *platform;
  uint16_t platform_port;
  struct node nodes[MAX_NODES];
  int n_nodes;
  GPtrArray *loads; /* struct load * */
  SoupSession *session;
  struct watch watch;
  bool has_failed;
  bool is_quiet;
  int next_node;
  const char *script;
  int line;
};

int64_t run_now_ms (void);

/* Run the main loop for WAIT_MS. */
void run_wait_ms (struct run *r, int64_t wait_ms);

/* Report that the current step can't be carried out, kill all processes and
   exit with status 1. */
void run_abort (struct run *r, const char *format, ...)
    G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;

/* nodes.c */
uint16_t find_free_port (void);
void platform_start (struct run *r, char **words);
void nodes_prepare (struct run *r, int n);
struct node *nodes_find (struct run *r, const char *name);
void node_start (struct run *r, struct node *n);
void node_send_signal (struct run *r, struct node *n, int signal_number);
void node_await_exit (struct run *r, struct node *n, int64_t within_ms);
bool node_is_ready (struct run *r, const struct node *n);
void nodes_await_ready (struct run *r, int64_t within_ms);
void nodes_set_links_cut (struct run *r, struct node *n, const char *what,
                          bool cut);
void run_kill_children (struct run *r);
/* Send an HTTP request to PORT on loopback and wait for the answer, at most
   20 s.  Return its text, which the caller frees, or NULL if there was none;
   *STATUS (may be NULL) is then 0. */
char *run_call (struct run *r, uint16_t port, const char *method,
                const char *path, const char *token, const char *body,
                guint *status);

/* health.c */
/* Kill all children and end the run if it takes longer than WITHIN_S. */
void health_set_time_limit (guint within_s);
/* Set the script line to name if the run takes too long; LINE is borrowed. */
void health_set_current_line (const char *line);
/* Watch PROCESS for its exit.  If it is the process of node N (may be NULL),
   the run fails if it exits without having been told to. */
void health_watch_process (struct run *r, struct node *n,
                           GSubprocess *process);
/* Fail the run if a node's log holds a sanitizer report or a critical line. */
void health_check_logs (struct run *r);
/* Remove the scratch directory, or print its path if the run failed. */
void health_remove_directory (struct run *r);

/* relay.c */
struct relay *relay_new (uint16_t target);
void relay_set_cut (struct relay *relay, bool cut);
void relay_destroy (struct relay *relay);

/* load.c */
struct load *load_start (struct run *r, char **words);
void load_await_all (struct run *r, int64_t within_ms);
struct load *load_find (struct run *r, const char *name);

/* watch.c */
void watch_start (struct run *r);
/* Return the difference between the highest and the lowest version that the
   running nodes named last. */
int64_t watch_spread (const struct run *r);

/* judge.c */
struct verdicts
{
  int64_t requests;
  int64_t answered;
  int64_t not_run;
  int64_t failed;
  int64_t unknown;
  int64_t lost;      /* without any outcome, or answered but never started */
  int64_t doubled;   /* with a key and started more than once */
  int64_t lied;      /* reported as not-run although started */
  int64_t wrong;     /* an answer of another request, or an incomplete one */
  int64_t two_pools; /* starts for one pool after the VM began another */
  int64_t
      after_leaving; /* starts over 3 s after the list called the VM leaving */
  int64_t p50_ms;
  int64_t p99_ms;
};
void judge_load (struct run *r, const char *load, struct verdicts *v);
/* Return the metric that WORDS begin with ("doubled", "counter n1 requests"),
   and set *USED to the number of words that name it. */
int64_t judge_metric (struct run *r, char **words, int *used);
void judge_print_table (struct run *r);

#define ADMIN_TOKEN "scenario-admin-token"
#define PEER_KEY "scenario-peer-key-0123456789"

#endif
