#include "idle_limit.h"

#include <glib.h>

/* Longest time from sending a request to a reset that a dropped idle connection causes; a later
 * reset has another cause. Covers the round trip between failure domains and the delay that a busy
 * processor adds. */
#define MAX_RESET_DELAY_US INT64_C (25000)
/* The new limit is this fraction of the idle time at the reset, because backend servers drop idle
 * connections at somewhat varying times. */
#define LIMIT_NUMERATOR 3
#define LIMIT_DENOMINATOR 4
/* Lower bound of the limit. A connection with a shorter idle time is in steady use, so its reset
 * does not count. */
#define MIN_LIMIT_US INT64_C (20000)
/* Time from the last reset until the limit is lifted. Such faults last some seconds and recur. */
#define LIMIT_TTL_US INT64_C (10000000)

void
idle_limit_init (idle_limit_t *limit)
{
  *limit = (idle_limit_t){ .limit_us = INT64_MAX };
}

int64_t
idle_limit_get (const idle_limit_t *limit, int64_t now_us)
{
  return now_us - limit->last_reset_us < LIMIT_TTL_US ? limit->limit_us : INT64_MAX;
}

bool
idle_limit_record_reset (idle_limit_t *limit, int64_t now_us, int64_t idle_us, int64_t elapsed_us)
{
  int64_t before = idle_limit_get (limit, now_us);
  if (elapsed_us > MAX_RESET_DELAY_US || idle_us < MIN_LIMIT_US)
    return false;
  int64_t lowered = MAX (idle_us / LIMIT_DENOMINATOR * LIMIT_NUMERATOR, MIN_LIMIT_US);
  limit->limit_us = MIN (before, lowered);
  limit->last_reset_us = now_us;
  return limit->limit_us < before;
}
