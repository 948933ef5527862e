#include "account_rate.h"

/* Tokens and refusals are counted in thousandths: a weight of 1 refills one
   thousandth a millisecond. */
#define JOB 1000
/* Bounds of the retry delay.  HTTP states it in whole seconds. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 30000

struct bucket
{
  int64_t rate; /* jobs a second */
  int64_t tokens;
  /* Refused jobs whose callers may come back, less what was refilled since. */
  int64_t refused;
  int64_t updated_ms;
};

struct account_rates
{
  GHashTable *buckets; /* account's name to struct bucket * */
};

struct account_rates *
account_rates_new (void)
{
  struct account_rates *r = g_new0 (struct account_rates, 1);

  r->buckets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void
account_rates_destroy (struct account_rates *rates)
{
  if (rates == NULL)
    return;
  g_hash_table_unref (rates->buckets);
  g_free (rates);
}

/* Refill B for the time since it was last updated. */
static void
refill (struct bucket *b, int64_t now_ms)
{
  /* Longer times fill any bucket. */
  int64_t elapsed_ms = CLAMP (now_ms - b->updated_ms, 0, RETRY_MAX_MS);

  b->tokens = MIN (b->tokens + elapsed_ms * b->rate, b->rate * JOB);
  b->refused = MAX (b->refused - elapsed_ms * b->rate, 0);
  b->updated_ms = MAX (b->updated_ms, now_ms);
}

static struct bucket *
make_bucket (struct bucket *former, int64_t rate, int64_t now_ms)
{
  struct bucket *b = g_new0 (struct bucket, 1);

  *b = (struct bucket){ .rate = rate,
                        .tokens = rate * JOB,
                        .updated_ms = now_ms };
  if (former == NULL)
    return b;
  refill (former, now_ms);
  b->tokens = MIN (former->tokens, b->tokens);
  b->refused = former->refused;
  return b;
}

void
account_rates_set (struct account_rates *rates,
                   const struct accounts *accounts, int64_t now_ms)
{
  uint32_t n = accounts != NULL ? accounts_count (accounts) : 0;
  GHashTable *buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (uint32_t i = 0; i < MIN (n, ACCOUNT_RATES_MAX); i++)
    {
      const struct client_account *a = accounts_at (accounts, i);

      g_hash_table_insert (
          buckets, g_strdup (a->name),
          make_bucket (g_hash_table_lookup (rates->buckets, a->name),
                       MAX (a->weight, 1), now_ms));
    }
  g_hash_table_unref (rates->buckets);
  rates->buckets = buckets;
}

bool
account_rates_take (struct account_rates *rates, const char *account,
                    int64_t now_ms)
{
  struct bucket *b = g_hash_table_lookup (rates->buckets, account);

  if (b == NULL)
    return true;
  refill (b, now_ms);
  if (b->tokens < JOB)
    return false;
  b->tokens -= JOB;
  return true;
}

int64_t
account_rates_refuse (struct account_rates *rates, const char *account,
                      const char *id, int64_t now_ms)
{
  struct bucket *b = g_hash_table_lookup (rates->buckets, account);
  int64_t refilled_ms;

  if (b == NULL)
    return RETRY_MIN_MS;
  refill (b, now_ms);
  b->refused = MIN (b->refused + JOB, b->rate * RETRY_MAX_MS);
  refilled_ms = (b->refused - b->tokens + b->rate - 1) / b->rate;
  refilled_ms = CLAMP (refilled_ms, RETRY_MIN_MS, RETRY_MAX_MS * 2 / 3);
  return MAX (RETRY_MIN_MS,
              refilled_ms / 2 + (int64_t)g_str_hash (id) % refilled_ms);
}
