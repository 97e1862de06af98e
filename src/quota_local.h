#pragma once

#include "quota_bucket.h"

/* quota_local - decision of an entry about the requests of one team while the owner of the quotas
 * is lost. It does no I/O.
 *
 * Load pattern: the owner fails, is replaced, or is cut off from some entries, while callers of
 * many teams go on and one team sends many times its limit. The entry has a bucket with its share
 * of the limit. A few callers of a small team stay at an entry for a while, and need more than that
 * share: in the first QUOTA_LOCAL_GRACE_US the entry admits as many requests as in the last second
 * before. A team that the owner refused has no tokens left. It starts with an empty bucket and
 * without this grace. */

#define QUOTA_LOCAL_GRACE_US INT64_C (1000000)

typedef struct
{
  quota_bucket_t bucket;
  double recent; /* admissions by the owner, in an exponential window of a second */
  int64_t recent_us;
  int64_t refused_us; /* time of the last refusal by the owner; 0: none */
  double grace;       /* requests that may be admitted beyond the bucket */
  int64_t lost_us;    /* time of the loss of the owner that GRACE is for */
} quota_local_t;

void quota_local_init (quota_local_t *local, int64_t now_us, const quota_limit_t *share);

/* Record what the owner decided, itself or by an allowance. */
void quota_local_record_admission (quota_local_t *local, int64_t now_us);
void quota_local_record_refusal (quota_local_t *local, int64_t now_us);

/* Decides about a request. The owner was lost at LOST_US. SHARE is the part of the team's limit
 * that is this entry's. */
bool quota_local_admit (quota_local_t *local, int64_t now_us, int64_t lost_us,
                        const quota_limit_t *share);
