#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "rng.h"

/* retry_budget - limits the retries of a service and computes the delay of each.
 *
 * Over a sliding window the retries are at most a share of the first attempts plus a small minimum
 * rate. The minimum rate lets a service with little traffic retry at all. The deadline and whether
 * the request may be repeated are not checked here. */

/* The sliding window: number of its buckets, and length of each. */
#define RETRY_BUDGET_BUCKET_COUNT 10
#define RETRY_BUDGET_BUCKET_US INT64_C (1000000)

typedef struct
{
  double share;          /* retries per first attempt, 0 to 1 */
  double min_retry_rate; /* retries per second that are always allowed */
} retry_budget_options_t;

typedef struct
{
  retry_budget_options_t options;
  int64_t bucket_number; /* of the newest bucket: time / RETRY_BUDGET_BUCKET_US */
  uint32_t first_attempts[RETRY_BUDGET_BUCKET_COUNT];
  uint32_t retries[RETRY_BUDGET_BUCKET_COUNT];
} retry_budget_t;

void retry_budget_init (retry_budget_t *budget, const retry_budget_options_t *options);

/* Records a first attempt. */
void retry_budget_record_first_attempt (retry_budget_t *budget, int64_t now_us);

/* Records a retry and returns true, or returns false if the budget does not allow it. */
bool retry_budget_take (retry_budget_t *budget, int64_t now_us);

/* Returns the delay before retry number RETRY, counted from 0: exponential backoff with full
 * jitter, uniform from 0 to the smaller of BASE_US x 2^RETRY and MAX_DELAY_US. */
int64_t retry_budget_delay_us (rng_t *rng, unsigned retry, int64_t base_us, int64_t max_delay_us);
