#include "quota_local.h"

#include <glib.h>
#include <math.h>

#define RECENT_US 1e6
/* A team that the owner refused within this time counts as one without tokens. */
#define REFUSAL_MEMORY_US INT64_C (5000000)

void
quota_local_init (quota_local_t *local, int64_t now_us, const quota_limit_t *share)
{
  *local = (quota_local_t){ .bucket = { share->burst, now_us } };
}

static void
decay (quota_local_t *local, int64_t now_us)
{
  double elapsed_us = (double)MAX (now_us - local->recent_us, 0);
  local->recent *= exp (-elapsed_us / RECENT_US);
  local->recent_us = now_us;
}

void
quota_local_record_admission (quota_local_t *local, int64_t now_us)
{
  decay (local, now_us);
  local->recent += 1;
}

void
quota_local_record_refusal (quota_local_t *local, int64_t now_us)
{
  local->refused_us = now_us;
  local->bucket = (quota_bucket_t){ 0, now_us };
}

/* Computes the grace once for each loss of the owner. */
static void
update_grace (quota_local_t *local, int64_t now_us, int64_t lost_us, const quota_limit_t *share)
{
  if (local->lost_us != lost_us)
    {
      bool was_refused = local->refused_us != 0 && lost_us - local->refused_us < REFUSAL_MEMORY_US;
      decay (local, lost_us);
      quota_bucket_refill (&local->bucket, lost_us, share);
      local->grace = was_refused ? 0 : MAX (0, round (local->recent - local->bucket.tokens));
      local->lost_us = lost_us;
    }
  if (now_us - lost_us >= QUOTA_LOCAL_GRACE_US)
    local->grace = 0;
}

bool
quota_local_admit (quota_local_t *local, int64_t now_us, int64_t lost_us,
                   const quota_limit_t *share)
{
  update_grace (local, now_us, lost_us, share);
  if (quota_bucket_take (&local->bucket, now_us, share))
    return true;
  if (local->grace < 1)
    return false;
  local->grace -= 1;
  return true;
}
