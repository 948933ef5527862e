#ifndef ACCOUNTS_H
#define ACCOUNTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Client accounts of the configuration: their API keys, weights and caps.

   Keys are kept and looked up as HMACs under a secret of the process.  So the
   time of a lookup tells a caller nothing about a key, and a dump of the
   memory holds none. */

/* Amounts of an account's resources, summed over tasks or over workers. */
struct account_amount
{
  uint64_t cpu_milli; /* thousandths of a core */
  uint64_t memory_mb;
  uint64_t gpus;
};

struct client_account
{
  char *name;
  uint32_t weight; /* share of a full cell; also the jobs a second that are
                      owed service */
  struct account_amount cap; /* that it may have running over all services;
                                0: no limit */
};

struct accounts;

struct accounts *accounts_new (void);
void accounts_destroy (struct accounts *accounts);

/* Return the account NAME, added if it is new; owned by ACCOUNTS. */
struct client_account *accounts_add (struct accounts *accounts,
                                     const char *name);

/* Let KEY authenticate ACCOUNT.  A key that two accounts have is the first
   one's. */
void accounts_add_key (struct accounts *accounts,
                       const struct client_account *account, const char *key);

/* Return the account that KEY authenticates, or NULL. */
const struct client_account *
accounts_authenticate (const struct accounts *accounts, const char *key);

/* Return the account NAME, or NULL. */
const struct client_account *accounts_find (const struct accounts *accounts,
                                            const char *name);

uint32_t accounts_count (const struct accounts *accounts);
const struct client_account *accounts_at (const struct accounts *accounts,
                                          uint32_t index);

#endif
