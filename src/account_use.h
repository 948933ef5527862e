#ifndef ACCOUNT_USE_H
#define ACCOUNT_USE_H

#include "accounts.h"

#include <stdbool.h>
#include <stdint.h>

/* Sums and comparisons of accounts' resources, each made separately for every
   resource.  Sums saturate, as no limit is the largest number.

   quota.h shares whole slots of the earlier request path, where a team's share
   is a number of equal slots; here the resources of tasks of different sizes
   are compared with a capacity that changes. */

uint64_t add_saturated (uint64_t a, uint64_t b);
struct account_amount amount_add (struct account_amount a,
                                  struct account_amount b);
/* Return A - B, at least 0. */
struct account_amount amount_subtract (struct account_amount a,
                                       struct account_amount b);
struct account_amount amount_times (struct account_amount a, uint32_t n);
struct account_amount amount_min (struct account_amount a,
                                  struct account_amount b);
struct account_amount amount_max (struct account_amount a,
                                  struct account_amount b);
bool amount_is_zero (struct account_amount a);
bool amount_equals (struct account_amount a, struct account_amount b);

/* Return whether EXTRA beside USED is within LIMIT in every resource. */
bool amount_fits (struct account_amount used, struct account_amount extra,
                  struct account_amount limit);

/* Return how many times, at most MAX, EACH fits LEFT. */
uint32_t amount_count_fitting (struct account_amount left,
                               struct account_amount each, uint32_t max);

/* Return the limit of a cap: 0 means no limit. */
struct account_amount account_cap_limit (struct account_amount cap);

/* Return ALLOTMENT after the cap has changed from FORMER to CURRENT: of a
   resource whose cap is lower nothing is left until the ledger grants it anew.
   A part of it would not do: runs of other cells may still exceed theirs. */
struct account_amount account_revoke_lowered (struct account_amount allotment,
                                              struct account_amount former,
                                              struct account_amount current);

/* Return what a cell with ALLOTMENT may use under CAP: a resource without a
   cap needs no allotment. */
struct account_amount account_limit (struct account_amount allotment,
                                     struct account_amount cap);

/* Return whether the dominant share of USED, the largest of its fractions of
   CAPACITY, exceeds WEIGHT / WEIGHT_SUM. */
bool account_is_over_share (struct account_amount used,
                            struct account_amount capacity, double weight,
                            double weight_sum);

#endif
