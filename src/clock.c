#include "clock.h"

#include <glib.h>
#include <stdbool.h>
#include <time.h>

struct clock
{
  bool is_virtual;
  int64_t now_ms; /* current time of a virtual clock */
};

struct clock *
clock_new_monotonic (void)
{
  return g_new0 (struct clock, 1);
}

struct clock *
clock_new_virtual (int64_t start_ms)
{
  struct clock *c = g_new0 (struct clock, 1);

  c->is_virtual = true;
  c->now_ms = start_ms;
  return c;
}

void
clock_destroy (struct clock *clock)
{
  g_free (clock);
}

int64_t
clock_now_ms (const struct clock *clock)
{
  if (clock->is_virtual)
    return clock->now_ms;
  return g_get_monotonic_time () / 1000;
}

void
clock_advance_ms (struct clock *clock, int64_t step_ms)
{
  if (clock->is_virtual)
    clock->now_ms += step_ms;
}

int64_t
clock_wall_ms (void)
{
  return g_get_real_time () / 1000;
}

int64_t
clock_steady_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}
