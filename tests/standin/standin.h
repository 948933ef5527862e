#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* The platform stand-in: a log, a VM list and the VMs themselves in one
   process, with a switch for each fault.  docs/PLATFORM.md describes what it
   says.  It is for tests only and trusts whoever speaks to it. */

/* Faults, switched by POST /faults with a JSON object of these names. */
struct faults
{
  bool log_down;         /* refuses reads and appends */
  bool log_reply_lost;   /* writes, then breaks the connection */
  bool log_write_lost;   /* breaks the connection without writing */
  int64_t log_delay_ms;  /* answers later */
  int64_t log_rate;      /* appends a second; 0 for no limit */
  int64_t log_retention; /* records kept; 0 for all */
  bool list_down;
  int64_t list_lag_ms;
  bool orders_down; /* drain and reboot fail */
  int64_t reboot_ms;
  int64_t never_return; /* reboots to come that never end */
};

/* A task that a VM has started. */
struct start
{
  int64_t at_ms;
  int64_t ended_ms; /* 0 while it runs */
  char *vm;
  char *vm_pool; /* where the platform has the VM */
  char *pool;    /* what the node named */
  char *task;
  char *id;           /* the body's "id" */
  char *target;       /* SERVICE/CLASS */
  char *vm_state;     /* when it started */
  int64_t leaving_ms; /* how long the list had called the VM leaving */
  char *end;          /* "running", "answered", "failed", "cut" */
};

enum worker_state
{
  WORKER_LIVE,
  WORKER_LEAVING,
  WORKER_REBOOTING,
  WORKER_GONE
};

struct worker
{
  struct standin *standin;
  char *vm;
  char *pool;
  char *zone;
  char *rack;
  uint32_t slots;
  uint32_t running;
  uint16_t port;
  enum worker_state state;
  bool is_failing_all_runs;
  int64_t told_leaving_ms; /* when a list first called it so; 0 if not */
  int64_t slow_ms;         /* added to each run */
  SoupServer *server;
  GPtrArray *jobs; /* struct job *, running */
};

struct standin
{
  GMainLoop *loop;
  SoupServer *server;
  struct faults faults;
  bool silent; /* VMs are listed only and take no work */
  struct log_store *log;
  GPtrArray *workers; /* struct worker * */
  GPtrArray *starts;  /* struct start * */
  GQueue *lists;      /* struct listing *, oldest first */
};

int64_t standin_now_ms (void);

/* log_store.c */
struct log_store *log_store_new (void);
void log_store_destroy (struct log_store *store);
void log_store_handle (struct standin *s, SoupServerMessage *message,
                       GHashTable *query);
void log_store_wake (struct standin *s);

/* workers.c */
struct worker *worker_new (struct standin *s, const char *vm, const char *pool,
                           const char *zone, const char *rack, uint32_t slots);
void worker_destroy (gpointer p);
void worker_drain (struct worker *w);
void worker_reboot (struct worker *w);
void worker_kill (struct worker *w);
void worker_return (struct worker *w);

/* vm_list.c */
void vm_list_handle (struct standin *s, SoupServerMessage *message);
void vm_list_note (struct standin *s);

/* Answer with JSON. */
void answer_text (SoupServerMessage *message, guint status, const char *text);

/* Break the connection of MESSAGE without an answer. */
void break_connection (SoupServerMessage *message);

/* Return the request body of MESSAGE as JSON, or NULL. */
JsonNode *body_json (SoupServerMessage *message);

const char *worker_state_name (enum worker_state state);

#endif
