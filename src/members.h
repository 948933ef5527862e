#ifndef MEMBERS_H
#define MEMBERS_H

#include "peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Which nodes are alive, by their heartbeats.  Used for ownership, forwarding
   and freshness only: no promise rests on it alone. */

/* Up to so many nodes; with more, both times grow in proportion, so that a
   node's heartbeats cost no more bytes a second. */
#define MEMBERS_AT_FULL_RATE 20
#define MEMBERS_HEARTBEAT_MS 500
#define MEMBERS_SUSPECT_MS 2000

struct member
{
  char *node;
  char *zone;
  uint64_t incarnation;
  int64_t heard_ms; /* clock time of the last heartbeat */
  int64_t quiet_ms; /* clock time from which its silence counts */
  uint64_t offset;
  uint64_t config_version;
  int64_t view_age_ms;
  bool alive;
  bool stopping;
  int64_t stamp_ms;     /* of its last heartbeat, by its own clock */
  int64_t confirmed_ms; /* stamp of this node's own that the last heartbeat
                           echoes; -1 for none */
  int64_t list_age_ms;  /* of its VM list when it was heard; -1 for none */
  char **leaving;       /* VMs that its list says are leaving */
  char **busy;          /* closed VMs on which it has runs */
  GArray *loads;        /* struct peer_load, of the pools that it owns */
};

struct members;

/* Create the members as node SELF of ZONE sees them. */
struct members *members_new (const char *self, const char *zone,
                             uint64_t incarnation);
void members_destroy (struct members *members);

/* Take in a heartbeat heard at NOW_MS.  Return true if who is alive, or which
   incarnation of it, changed. */
bool members_hear (struct members *members, const struct peer_message *message,
                   int64_t now_ms);

/* Suspect the members not heard for long.  Return true if any was alive. */
bool members_expire (struct members *members, int64_t now_ms);

/* Note that this node was paused until NOW_MS: what it did not hear meanwhile
   says nothing of the members, so their silence begins anew. */
void members_resumed (struct members *members, int64_t now_ms);

/* Return the alive node that owns POOL; never NULL, as self is alive. */
const char *members_owner (const struct members *members, const char *pool);

/* A node whose view is older than this plans nothing. */
#define MEMBERS_PLANNER_VIEW_MS 5000

/* Return the node that plans for NAME at NOW_MS: as members_owner, but among
   those that read the log.  Self is taken to read it. */
const char *members_planner (const struct members *members, const char *name,
                             int64_t now_ms);

/* Return how far apart this node's heartbeats are, and after how much silence
   a member is suspected, in milliseconds. */
int64_t members_heartbeat_ms (const struct members *members);
int64_t members_suspect_ms (const struct members *members);

/* Return whether NODE in INCARNATION is alive. */
bool members_alive (const struct members *members, const char *node,
                    uint64_t incarnation);

/* Say whether this node itself is stopping, so owns nothing if others can. */
void members_set_stopping (struct members *members, bool stopping);

/* Return member NODE, or NULL if it was never heard. */
const struct member *members_find (const struct members *members,
                                   const char *node);

/* Return the stamp of MEMBER's last heartbeat as the echo in one to it. */
GArray *members_echo (const struct member *member);

/* Return the other members as struct member *. */
const GPtrArray *members_others (const struct members *members);

/* Return how many members are alive, self among them. */
uint32_t members_alive_count (const struct members *members);

#endif
