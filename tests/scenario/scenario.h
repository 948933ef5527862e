#ifndef SCENARIO_H
#define SCENARIO_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* The runner of scripted scenarios: one step a line, real processes, and what
   they did judged from the stand-in's own record.  docs/TESTING.md describes
   the language. */

#define MAX_NODES 16

/* A TCP relay on one link, which a script can cut. */
struct relay
{
  GSocketService *service;
  uint16_t port;   /* where it listens */
  uint16_t target; /* where it connects to */
  bool cut;
  GPtrArray *connections; /* GIOStream *, both sides */
};

struct node
{
  char *name;
  uint16_t callers_port;
  uint16_t admin_port;
  uint16_t peer_port;
  struct relay *platform;
  struct relay *peers[MAX_NODES]; /* to each other node */
  GSubprocess *process;           /* NULL if not running */
  bool frozen;
  bool stopping;
};

/* One request of a load, over all its attempts. */
struct sent
{
  char *id;
  int64_t sent_ms;
  int64_t answered_ms;
  int attempts;
  bool answered;
  bool all_not_run;
  bool unknown;
  bool failed;
  bool wrong_answer;
  bool keyed;
  char *last_reason;
  char *whole_body; /* to ask with after an answer that broke off; or NULL */
};

struct load
{
  char *name;
  struct run *run;
  char *service;
  char *class_name;
  char *token;
  bool keyed;
  bool retry; /* callers try again after a refusal or a broken connection */
  int rate;   /* requests a second */
  int run_ms;
  int straggler_percent;
  int straggler_ms;
  int answer_bytes;
  int body_bytes;       /* padding of the request */
  int truncate_percent; /* of answers that break off at the first attempt */
  bool race;            /* each request goes to two nodes at once */
  bool other_body;      /* the second of which with another body */
  int timeout_ms;
  int node; /* index, or -1 for all in turn */
  int64_t until_ms;
  int64_t started_ms;
  uint64_t made;
  uint64_t pending;
  GPtrArray *sent; /* struct sent * */
};

/* What the nodes answered to the question which version is in force. */
struct watch
{
  int64_t versions[MAX_NODES]; /* last answered */
  bool asking[MAX_NODES];
  GArray *sightings; /* of versions */
  int64_t answers;
  int64_t back;  /* older than the same node's last answer */
  int64_t stale; /* older than what was in force anywhere seconds before */
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
  bool failed;
  bool quiet;
  int next_node;
  const char *script;
  int line;
};

int64_t run_now_ms (void);

/* Let the main loop work for WAIT_MS. */
void run_wait_ms (struct run *r, int64_t wait_ms);

/* Report a step that can't be carried out, and end the run. */
void run_die (struct run *r, const char *format, ...)
    G_GNUC_PRINTF (2, 3) G_GNUC_NORETURN;

/* nodes.c */
uint16_t find_free_port (void);
void platform_start (struct run *r, char **words);
void nodes_prepare (struct run *r, int n);
struct node *nodes_find (struct run *r, const char *name);
void node_start (struct run *r, struct node *n);
void node_end (struct run *r, struct node *n, int signal_number);
void node_await_exit (struct run *r, struct node *n, int64_t within_ms);
bool node_is_ready (struct run *r, const struct node *n);
void nodes_await_ready (struct run *r, int64_t within_ms);
void nodes_cut (struct run *r, struct node *n, const char *what, bool cut);
void run_end_all (struct run *r);
/* Call METHOD on PORT and return the answer's text, or NULL. */
char *run_call (struct run *r, uint16_t port, const char *method,
                const char *path, const char *token, const char *body,
                guint *status);

/* health.c */
/* End the run and all its children if it takes longer than WITHIN_S. */
void health_limit (guint within_s);
/* Remember LINE for the report of a run that takes too long. */
void health_note_line (const char *line);
/* Watch PROCESS; if it is node N's, it may end only when told to. */
void health_watch (struct run *r, struct node *n, GSubprocess *process);
/* Fail the run if a log of a node holds a sanitizer's report or worse. */
void health_check_logs (struct run *r);
/* Remove the scratch directory, or say where it is if the run failed. */
void health_tidy (struct run *r);

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
/* Return how far apart the versions last answered by running nodes are. */
int64_t watch_spread (const struct run *r);

/* judge.c */
struct verdicts
{
  int64_t requests;
  int64_t answered;
  int64_t not_run;
  int64_t failed;
  int64_t unknown;
  int64_t lost;    /* no outcome at all */
  int64_t doubled; /* keyed and started more than once */
  int64_t lied;    /* said not-run, and started */
  int64_t wrong;   /* an answer that is not the request's own, or not whole */
  int64_t two_pools; /* a VM that ran for one pool after it began another */
  int64_t after_leaving; /* starts long after the VM began to leave */
  int64_t p50_ms;
  int64_t p99_ms;
};
void judge (struct run *r, const char *load, struct verdicts *v);
/* Return metric NAME ("doubled", "counter n1 requests") as words say. */
int64_t judge_metric (struct run *r, char **words, int *used);
void judge_print_table (struct run *r);

#define ADMIN_TOKEN "scenario-admin-token"
#define PEER_KEY "scenario-peer-key-0123456789"

#endif
