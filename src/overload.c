#include "overload.h"

void
overload_init (overload_t *o)
{
  *o = (overload_t){ .min_wait_us = -1 };
}

bool
overload_is_limited (const overload_t *o, int64_t now_us)
{
  return o->overloaded || now_us < o->limited_until_us;
}

static void
end_overload (overload_t *o, int64_t now_us)
{
  if (o->overloaded)
    o->limited_until_us = now_us + OVERLOAD_COOLDOWN_US;
  o->overloaded = false;
}

void
overload_record_wait (overload_t *o, int64_t now_us, int64_t wait_us, int64_t limit_us)
{
  if (now_us - o->interval_start_us >= OVERLOAD_INTERVAL_US)
    {
      o->overloaded |= o->min_wait_us > limit_us;
      o->interval_start_us = now_us;
      o->min_wait_us = -1;
    }
  if (o->min_wait_us < 0 || wait_us < o->min_wait_us)
    o->min_wait_us = wait_us;
  if (wait_us <= limit_us / OVERLOAD_END_DIVISOR)
    end_overload (o, now_us);
}

void
overload_record_empty (overload_t *o, int64_t now_us)
{
  end_overload (o, now_us);
  o->interval_start_us = now_us;
  o->min_wait_us = -1;
}
