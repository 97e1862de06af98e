#pragma once

#include <stdbool.h>
#include <stdint.h>

/* quota_bucket - token bucket whose limit may change. It does no I/O.
 *
 * LIMIT is in tokens and tokens per second, times are in microseconds. One request takes one token.
 */

typedef struct
{
  double rate;  /* requests per second, more than 0 */
  double burst; /* requests, at least 1 */
} quota_limit_t;

typedef struct
{
  double tokens;
  int64_t updated_us;
} quota_bucket_t;

/* Adds the tokens gained until NOW_US, up to the burst. */
void quota_bucket_refill (quota_bucket_t *bucket, int64_t now_us, const quota_limit_t *limit);

/* Refills the bucket and takes one token. Returns false if there is none. */
bool quota_bucket_take (quota_bucket_t *bucket, int64_t now_us, const quota_limit_t *limit);

/* Returns the time until there is a token; 0 if there is one. */
int64_t quota_bucket_wait_us (const quota_bucket_t *bucket, const quota_limit_t *limit);
