#include "quota_bucket.h"

#include <glib.h>
#include <math.h>

#define US_PER_S 1e6

void
quota_bucket_refill (quota_bucket_t *bucket, int64_t now_us, const quota_limit_t *limit)
{
  double elapsed_s = (double)MAX (now_us - bucket->updated_us, 0) / US_PER_S;
  bucket->tokens = MIN (limit->burst, bucket->tokens + elapsed_s * limit->rate);
  bucket->updated_us = MAX (now_us, bucket->updated_us);
}

bool
quota_bucket_take (quota_bucket_t *bucket, int64_t now_us, const quota_limit_t *limit)
{
  quota_bucket_refill (bucket, now_us, limit);
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}

int64_t
quota_bucket_wait_us (const quota_bucket_t *bucket, const quota_limit_t *limit)
{
  return (int64_t)ceil (MAX (1 - bucket->tokens, 0) / limit->rate * US_PER_S);
}
