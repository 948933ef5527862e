#ifndef MEMBERS_H
#define MEMBERS_H

#include "peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Failure detection by heartbeats: which nodes are alive.  It serves to choose
   owners, to forward requests and to judge how current data is.  Nodes may
   disagree on it, so no guarantee depends on it alone. */

/* The heartbeat interval, and the silence after which a node is suspected,
   with up to MEMBERS_FULL_RATE_NODES nodes.  Above that both grow in
   proportion to the number of nodes, which bounds the bytes per second that a
   node spends on heartbeats. */
#define MEMBERS_FULL_RATE_NODES 20
#define MEMBERS_HEARTBEAT_MS 500
#define MEMBERS_SUSPECT_MS 2000

struct member
{
  char *node;
  char *zone;
  uint64_t incarnation;
  int64_t last_heartbeat_ms; /* clock time of its last heartbeat */
  int64_t silence_began_ms;  /* clock time from which its silence is counted */
  uint64_t offset;           /* the last that it had applied */
  uint64_t config_version;
  int64_t view_age_ms; /* since its fleet state was at the log's head */
  bool alive;          /* not suspected */
  bool stopping;
  int64_t stamp_ms;     /* of its last heartbeat, by its own clock */
  int64_t confirmed_ms; /* latest stamp of this node that it has echoed; -1 for
                           none */
  int64_t list_age_ms;  /* of its VM list at its last heartbeat; -1 for none */
  char **leaving;       /* VMs that are leaving by its list */
  char **busy;          /* VMs closed to new work on which it has runs */
  GArray *loads;        /* struct peer_load, of the pools that it owns */
};

struct members;

/* Create the membership view of node SELF of ZONE, which knows no other member
   yet. */
struct members *members_new (const char *self, const char *zone,
                             uint64_t incarnation);
void members_destroy (struct members *members);

/* Handle the heartbeat MESSAGE, received at NOW_MS.  Return true if the sender
   became alive, changed its incarnation, or began or ended stopping.  A
   heartbeat of an older incarnation is ignored. */
bool members_handle_heartbeat (struct members *members,
                               const struct peer_message *message,
                               int64_t now_ms);

/* Mark the members that have been silent for members_suspect_ms as not alive.
   Return true if there was any. */
bool members_expire (struct members *members, int64_t now_ms);

/* Note that this process was paused until NOW_MS.  Heartbeats missed during
   the pause don't count as silence of the members, which is counted from
   NOW_MS on. */
void members_resumed (struct members *members, int64_t now_ms);

/* Return the node that owns POOL: the alive and not stopping node with the
   highest rendezvous hash.  Never NULL: this node owns it if no other can.
   The string is valid until MEMBERS is destroyed. */
const char *members_owner (const struct members *members, const char *pool);

/* Maximum age of a node's view of the log with which it may be the planner. */
#define MEMBERS_PLANNER_VIEW_MS 5000

/* Return the node that plans for NAME at NOW_MS: chosen as in members_owner,
   but only from the nodes whose view of the log is current.  This node's own
   is assumed to be. */
const char *members_planner (const struct members *members, const char *name,
                             int64_t now_ms);

/* Return the interval of this node's heartbeats. */
int64_t members_heartbeat_ms (const struct members *members);

/* Return the silence after which a member is suspected. */
int64_t members_suspect_ms (const struct members *members);

/* Return whether NODE in INCARNATION is alive. */
bool members_is_alive (const struct members *members, const char *node,
                       uint64_t incarnation);

/* Set whether this node itself is stopping.  A stopping node owns nothing as
   long as another can. */
void members_set_stopping (struct members *members, bool stopping);

/* Return member NODE, or NULL if it has never sent a heartbeat.  This node
   itself is no member here. */
const struct member *members_find (const struct members *members,
                                   const char *node);

/* Return the echoes (struct peer_echo) for a heartbeat to MEMBER: the stamp of
   its own last one.  The caller unrefs the array. */
GArray *members_echo (const struct member *member);

/* Return all nodes heard of but this one, alive or not, as struct member *. */
const GPtrArray *members_others (const struct members *members);

/* Return the number of alive nodes, including this one. */
uint32_t members_alive_count (const struct members *members);

#endif
