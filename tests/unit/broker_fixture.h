#ifndef BROKER_FIXTURE_H
#define BROKER_FIXTURE_H

#include "broker.h"
#include "fleet.h"

#include <string.h>

/* A broker with the configuration of the Kandy example.  The test sends it
   messages and steps it itself. */

struct fixture
{
  struct fleet *fleet;
  struct members *members;
  struct counters *counters;
  struct broker *broker;
  GQueue out;
  struct turn turn;
  uint64_t offset;
};

static inline void
fixture_fold (struct fixture *f, struct record *r)
{
  g_assert_cmpint (fleet_apply (f->fleet, r, ++f->offset, 1), ==,
                   VERDICT_ACCEPTED);
  record_destroy (r);
}

/* Add N VMs of SLOTS slots to POOL, named POOL-0, POOL-1 and so on. */
static inline void
fixture_add_vms (struct fixture *f, const char *pool, uint32_t n,
                 uint32_t slots)
{
  for (uint32_t i = 0; i < n; i++)
    {
      struct record *r = record_new (RECORD_VM_ADD, "n1", 1);

      r->u.vm_add.vm = g_strdup_printf ("%s-%u", pool, i);
      r->u.vm_add.address = g_strdup ("127.0.0.1");
      r->u.vm_add.port = 1;
      r->u.vm_add.zone = g_strdup ("z");
      r->u.vm_add.rack = g_strdup ("r");
      r->u.vm_add.pool = g_strdup (pool);
      r->u.vm_add.slots = slots;
      fixture_fold (f, r);
    }
}

static inline void
fixture_open (struct fixture *f)
{
  struct record *r = record_new (RECORD_CONFIG, "op", 1);

  memset (f, 0, sizeof *f);
  g_queue_init (&f->out);
  g_assert_true (g_file_get_contents ("examples/kandy/configuration.json",
                                      &r->u.config.text, NULL, NULL));
  f->fleet = fleet_new ();
  fixture_fold (f, r);
  f->members = members_new ("n1", "z", 1);
  f->counters = counters_new ();
  f->broker = broker_new (1);
  f->turn = (struct turn){ .now_ms = 1000,
                           .node = "n1",
                           .incarnation = 1,
                           .fleet = f->fleet,
                           .members = f->members,
                           .counters = f->counters,
                           .log_reachable = true,
                           .out = &f->out };
}

static inline void
fixture_close (struct fixture *f)
{
  struct message *m;

  while ((m = g_queue_pop_head (&f->out)) != NULL)
    message_destroy (m);
  broker_destroy (f->broker);
  counters_destroy (f->counters);
  members_destroy (f->members);
  fleet_destroy (f->fleet);
}

/* Ask for a slot of the search pool for REQUEST of TEAM. */
static inline void
fixture_ask (struct fixture *f, uint64_t request, const char *class_name,
             const char *team, int64_t wait_ms)
{
  struct peer_message *p = turn_new_peer_message (&f->turn, PEER_SLOT_ASK);

  p->u.slot_ask.request = request;
  p->u.slot_ask.attempt = 1;
  p->u.slot_ask.pool = g_strdup ("search");
  p->u.slot_ask.class_name = g_strdup (class_name);
  p->u.slot_ask.team = g_strdup (team);
  p->u.slot_ask.avoid_vm = g_strdup ("");
  p->u.slot_ask.wait_ms = wait_ms;
  p->u.slot_ask.run_ms = 80;
  broker_handle (f->broker, &f->turn, p);
  peer_message_destroy (p);
}

/* Return the slot of REQUEST, whose run ended with RESULT. */
static inline void
fixture_return (struct fixture *f, uint64_t request, enum run_result result)
{
  struct peer_message *p = turn_new_peer_message (&f->turn, PEER_SLOT_RETURN);

  p->u.slot_return.request = request;
  p->u.slot_return.attempt = 1;
  p->u.slot_return.vm = g_strdup ("");
  p->u.slot_return.result = result;
  broker_handle (f->broker, &f->turn, p);
  peer_message_destroy (p);
}

/* Renew the lease of the slot of REQUEST. */
static inline void
fixture_hold (struct fixture *f, uint64_t request)
{
  struct peer_message *p = turn_new_peer_message (&f->turn, PEER_SLOT_HOLD);

  p->u.slot_hold.request = request;
  p->u.slot_hold.attempt = 1;
  p->u.slot_hold.vm = g_strdup ("search-0");
  p->u.slot_hold.pool = g_strdup ("search");
  broker_handle (f->broker, &f->turn, p);
  peer_message_destroy (p);
}

/* Step the broker and return the next message that it sent, which the caller
   destroys; NULL if it sent none. */
static inline struct message *
fixture_next (struct fixture *f)
{
  broker_step (f->broker, &f->turn);
  return g_queue_pop_head (&f->out);
}

/* Step the broker and return the next request that it granted a slot; 0 if its
   next message is no grant. */
static inline uint64_t
fixture_next_grant (struct fixture *f)
{
  struct message *m = fixture_next (f);
  uint64_t request = 0;

  if (m != NULL && m->u.send_to_peer.peer->kind == PEER_SLOT_GRANT)
    request = m->u.send_to_peer.peer->u.slot_grant.request;
  if (m != NULL)
    message_destroy (m);
  return request;
}

#endif
