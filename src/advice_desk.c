#include "advice_desk.h"

#include <glib.h>

/* A call times out after this many times what the service takes, and the
   margin. */
#define TIMEOUT_FACTOR 2
#define TIMEOUT_MARGIN_MS 1000
/* Delay before the next call after one without an answer.  This and the
   timeout are doubled with each such call in a row, as the service may still
   work on calls that were given up. */
#define RETRY_DELAY_MS 200
#define MAX_DOUBLINGS 2

struct advice_desk
{
  bool has_call;
  uint32_t failed_calls; /* in a row */
  int64_t next_call_ms;
};

struct advice_desk *
advice_desk_new (void)
{
  return g_new0 (struct advice_desk, 1);
}

void
advice_desk_destroy (struct advice_desk *desk)
{
  g_free (desk);
}

bool
advice_desk_is_free (const struct advice_desk *desk, int64_t now_ms)
{
  return !desk->has_call && now_ms >= desk->next_call_ms;
}

static int64_t
backed_off (const struct advice_desk *desk, int64_t ms)
{
  return ms << MIN (desk->failed_calls, MAX_DOUBLINGS);
}

int64_t
advice_desk_begin (struct advice_desk *desk, int64_t answer_ms)
{
  desk->has_call = true;
  return backed_off (desk, answer_ms * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS);
}

void
advice_desk_end (struct advice_desk *desk, bool is_answered, int64_t now_ms)
{
  desk->has_call = false;
  if (is_answered)
    {
      desk->failed_calls = 0;
      return;
    }
  desk->next_call_ms = now_ms + backed_off (desk, RETRY_DELAY_MS);
  desk->failed_calls++;
}
