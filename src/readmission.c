#include "readmission.h"

/* A target may return after BASE_PROBE_COUNT consecutive successful probes, plus
 * PROBES_PER_EJECTION for each earlier ejection that has not expired, but at most MAX_PROBE_COUNT.
 */
#define BASE_PROBE_COUNT 3
#define PROBES_PER_EJECTION 2
#define MAX_PROBE_COUNT 15

/* One ejection expires after this many hold times in service, and the hold time is halved. */
#define HOLDS_PER_EXPIRY 10

static void
expire_old_ejections (readmission_t *r, int64_t now_us)
{
  int64_t in_service_us = now_us - r->readmitted_us;

  while (r->ejection_count > 0 && in_service_us >= HOLDS_PER_EXPIRY * r->hold_us)
    {
      in_service_us -= HOLDS_PER_EXPIRY * r->hold_us;
      r->hold_us /= 2;
      r->ejection_count--;
    }
}

void
readmission_eject (readmission_t *r, int64_t now_us)
{
  expire_old_ejections (r, now_us);
  r->hold_us = READMISSION_FIRST_HOLD_US;
  for (uint32_t i = 0; i < r->ejection_count && r->hold_us < READMISSION_MAX_HOLD_US; i++)
    r->hold_us *= 2;
  if (r->hold_us > READMISSION_MAX_HOLD_US)
    r->hold_us = READMISSION_MAX_HOLD_US;
  r->ejection_count++;
  r->ejected = true;
  r->hold_until_us = now_us + r->hold_us;
  r->successful_probe_count = 0;
}

void
readmission_readmit (readmission_t *r, int64_t now_us)
{
  if (!readmission_is_ready (r, now_us))
    r->ejection_count--;
  r->ejected = false;
  r->readmitted_us = now_us;
}

void
readmission_record_probe (readmission_t *r, int64_t now_us, bool success)
{
  if (success)
    {
      r->successful_probe_count++;
      return;
    }
  r->successful_probe_count = 0;
  if (r->hold_until_us < now_us + r->hold_us / 2)
    r->hold_until_us = now_us + r->hold_us / 2;
}

static uint32_t
probes_needed (const readmission_t *r)
{
  uint32_t needed = BASE_PROBE_COUNT + PROBES_PER_EJECTION * (r->ejection_count - 1);
  return needed < MAX_PROBE_COUNT ? needed : MAX_PROBE_COUNT;
}

bool
readmission_wants_probe (const readmission_t *r, int64_t now_us, int64_t last_probe_us)
{
  return r->ejected && now_us >= r->hold_until_us
         && now_us - last_probe_us >= READMISSION_PROBE_INTERVAL_US;
}

bool
readmission_is_ready (const readmission_t *r, int64_t now_us)
{
  return r->ejected && now_us >= r->hold_until_us && r->successful_probe_count >= probes_needed (r);
}
