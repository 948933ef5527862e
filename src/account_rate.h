#ifndef ACCOUNT_RATE_H
#define ACCOUNT_RATE_H

#include "accounts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Token buckets that tell the jobs of client accounts which are owed service
   from those that are in excess.  An account's bucket is refilled at its
   weight in jobs a second and holds one second of that.  No I/O; times are
   milliseconds of a monotonic clock. */

struct account_rates;

/* Maximum of accounts with a bucket; jobs of others are never in excess. */
#define ACCOUNT_RATES_MAX 256

struct account_rates *account_rates_new (void);
void account_rates_destroy (struct account_rates *rates);

/* Set the rates of all ACCOUNTS, or none if that is NULL.  Accounts that had a
   bucket keep what it holds, others begin with a full one. */
void account_rates_set (struct account_rates *rates,
                        const struct accounts *accounts, int64_t now_ms);

/* Take a token for a job of ACCOUNT.  Return false if there is none: the job
   is in excess. */
bool account_rates_take (struct account_rates *rates, const char *account,
                         int64_t now_ms);

/* Process that the excess job ID of ACCOUNT is refused.  Return when its
   caller should retry, in ms from now: the delays of several refusals are
   spread over the time in which the bucket is refilled for all of them. */
int64_t account_rates_refuse (struct account_rates *rates, const char *account,
                              const char *id, int64_t now_ms);

#endif
