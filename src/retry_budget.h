#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "rng.h"

/* retry_budget - how many retries a service may get, and when a retry starts.
 *
 * Over a sliding window the retries stay below a share of the first attempts plus a small minimum
 * rate, which lets a service with little traffic retry at all. The caller checks the deadline and
 * whether the request may be repeated. */

#define RETRY_BUDGET_SLOTS 10
#define RETRY_BUDGET_SLOT_US INT64_C (1000000)

typedef struct
{
  double share;        /* retries per first attempt, 0 to 1 */
  double minimum_rate; /* retries per second that are always allowed */
} retry_budget_options_t;

typedef struct
{
  retry_budget_options_t options;
  int64_t slot_number;
  uint32_t firsts[RETRY_BUDGET_SLOTS];
  uint32_t retries[RETRY_BUDGET_SLOTS];
} retry_budget_t;

void retry_budget_init (retry_budget_t *budget, const retry_budget_options_t *options);

/* Records a first attempt. */
void retry_budget_first (retry_budget_t *budget, int64_t now_us);

/* Records a retry and returns true if the budget allows it; otherwise returns false. */
bool retry_budget_take (retry_budget_t *budget, int64_t now_us);

/* Returns the wait before retry number RETRY (the first is 0): uniform from 0 to the exponential
 * back-off BASE_US x 2^RETRY, at most CAP_US (full jitter). */
int64_t retry_budget_delay_us (rng_t *rng, unsigned retry, int64_t base_us, int64_t cap_us);
