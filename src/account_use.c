#include "account_use.h"

#include "account_report.h"

#include <glib.h>

uint64_t
add_saturated (uint64_t a, uint64_t b)
{
  return a > G_MAXUINT64 - b ? G_MAXUINT64 : a + b;
}

static uint64_t
multiply (uint64_t a, uint64_t b)
{
  return b != 0 && a > G_MAXUINT64 / b ? G_MAXUINT64 : a * b;
}

static uint64_t
subtract (uint64_t a, uint64_t b)
{
  return a > b ? a - b : 0;
}

struct account_amount
amount_add (struct account_amount a, struct account_amount b)
{
  return (struct account_amount){ add_saturated (a.cpu_milli, b.cpu_milli),
                                  add_saturated (a.memory_mb, b.memory_mb),
                                  add_saturated (a.gpus, b.gpus) };
}

struct account_amount
amount_subtract (struct account_amount a, struct account_amount b)
{
  return (struct account_amount){ subtract (a.cpu_milli, b.cpu_milli),
                                  subtract (a.memory_mb, b.memory_mb),
                                  subtract (a.gpus, b.gpus) };
}

struct account_amount
amount_times (struct account_amount a, uint32_t n)
{
  return (struct account_amount){ multiply (a.cpu_milli, n),
                                  multiply (a.memory_mb, n),
                                  multiply (a.gpus, n) };
}

struct account_amount
amount_min (struct account_amount a, struct account_amount b)
{
  return (struct account_amount){ MIN (a.cpu_milli, b.cpu_milli),
                                  MIN (a.memory_mb, b.memory_mb),
                                  MIN (a.gpus, b.gpus) };
}

struct account_amount
amount_max (struct account_amount a, struct account_amount b)
{
  return (struct account_amount){ MAX (a.cpu_milli, b.cpu_milli),
                                  MAX (a.memory_mb, b.memory_mb),
                                  MAX (a.gpus, b.gpus) };
}

bool
amount_is_zero (struct account_amount a)
{
  return a.cpu_milli == 0 && a.memory_mb == 0 && a.gpus == 0;
}

bool
amount_equals (struct account_amount a, struct account_amount b)
{
  return a.cpu_milli == b.cpu_milli && a.memory_mb == b.memory_mb
         && a.gpus == b.gpus;
}

bool
amount_fits (struct account_amount used, struct account_amount extra,
             struct account_amount limit)
{
  struct account_amount sum = amount_add (used, extra);

  return sum.cpu_milli <= limit.cpu_milli && sum.memory_mb <= limit.memory_mb
         && sum.gpus <= limit.gpus;
}

static uint32_t
count_fitting (uint64_t left, uint64_t each, uint32_t max)
{
  return each == 0 ? max : (uint32_t)MIN (left / each, max);
}

uint32_t
amount_count_fitting (struct account_amount left, struct account_amount each,
                      uint32_t max)
{
  max = count_fitting (left.cpu_milli, each.cpu_milli, max);
  max = count_fitting (left.memory_mb, each.memory_mb, max);
  return count_fitting (left.gpus, each.gpus, max);
}

struct account_amount
account_cap_limit (struct account_amount cap)
{
  struct account_amount none = AMOUNT_UNLIMITED;

  return (struct account_amount){
    cap.cpu_milli != 0 ? cap.cpu_milli : none.cpu_milli,
    cap.memory_mb != 0 ? cap.memory_mb : none.memory_mb,
    cap.gpus != 0 ? cap.gpus : none.gpus
  };
}

struct account_amount
account_revoke_lowered (struct account_amount allotment,
                        struct account_amount former,
                        struct account_amount current)
{
  return (struct account_amount){
    current.cpu_milli < former.cpu_milli ? 0 : allotment.cpu_milli,
    current.memory_mb < former.memory_mb ? 0 : allotment.memory_mb,
    current.gpus < former.gpus ? 0 : allotment.gpus
  };
}

struct account_amount
account_limit (struct account_amount allotment, struct account_amount cap)
{
  const uint64_t none = G_MAXUINT64;

  return (struct account_amount){
    cap.cpu_milli == none ? none : allotment.cpu_milli,
    cap.memory_mb == none ? none : allotment.memory_mb,
    cap.gpus == none ? none : allotment.gpus
  };
}

static bool
is_over (uint64_t used, uint64_t capacity, double weight, double weight_sum)
{
  return capacity > 0 && (double)used * weight_sum > weight * (double)capacity;
}

bool
account_is_over_share (struct account_amount used,
                       struct account_amount capacity, double weight,
                       double weight_sum)
{
  return is_over (used.cpu_milli, capacity.cpu_milli, weight, weight_sum)
         || is_over (used.memory_mb, capacity.memory_mb, weight, weight_sum)
         || is_over (used.gpus, capacity.gpus, weight, weight_sum);
}
