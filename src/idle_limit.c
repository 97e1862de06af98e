#include "idle_limit.h"

#include <glib.h>

/* A reset later than this after the request is not that of an idle connection: the round trip
 * between failure domains, and the time that a busy processor adds to it. */
#define RESET_WITHIN_US INT64_C (25000)
/* Peers drop connections at somewhat different times. */
#define LIMIT_NUMERATOR 3
#define LIMIT_DENOMINATOR 4
/* Shorter idle times are those of a connection in steady use. */
#define LEAST_LIMIT_US INT64_C (20000)
/* How long a limit holds: such faults last some seconds, and come back. */
#define LIMIT_LIFE_US INT64_C (10000000)

void
idle_limit_init (idle_limit_t *limit)
{
  *limit = (idle_limit_t){ .limit_us = INT64_MAX };
}

int64_t
idle_limit_get (const idle_limit_t *limit, int64_t now_us)
{
  return now_us - limit->lost_us < LIMIT_LIFE_US ? limit->limit_us : INT64_MAX;
}

bool
idle_limit_reset (idle_limit_t *limit, int64_t now_us, int64_t idle_us, int64_t elapsed_us)
{
  int64_t before = idle_limit_get (limit, now_us);
  if (elapsed_us > RESET_WITHIN_US || idle_us < LEAST_LIMIT_US)
    return false;
  int64_t lowered = MAX (idle_us / LIMIT_DENOMINATOR * LIMIT_NUMERATOR, LEAST_LIMIT_US);
  limit->limit_us = MIN (before, lowered);
  limit->lost_us = now_us;
  return limit->limit_us < before;
}
