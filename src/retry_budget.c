#include "retry_budget.h"

#include <glib.h>
#include <string.h>

/* Keeps the shift of the backoff from overflowing. */
#define MAX_BACKOFF_EXPONENT 20

void
retry_budget_init (retry_budget_t *budget, const retry_budget_options_t *options)
{
  memset (budget, 0, sizeof (*budget));
  budget->options = *options;
}

/* Clears the buckets that have left the window and returns the index of the current one. */
static unsigned
advance_window (retry_budget_t *budget, int64_t now_us)
{
  int64_t number = now_us / RETRY_BUDGET_BUCKET_US;
  int64_t steps = MIN (number - budget->bucket_number, RETRY_BUDGET_BUCKET_COUNT);
  for (int64_t i = 0; i < steps; i++)
    {
      unsigned bucket = (unsigned)((number - i) % RETRY_BUDGET_BUCKET_COUNT);
      budget->first_attempts[bucket] = 0;
      budget->retries[bucket] = 0;
    }
  budget->bucket_number = MAX (budget->bucket_number, number);
  return (unsigned)(budget->bucket_number % RETRY_BUDGET_BUCKET_COUNT);
}

void
retry_budget_record_first_attempt (retry_budget_t *budget, int64_t now_us)
{
  budget->first_attempts[advance_window (budget, now_us)]++;
}

bool
retry_budget_take (retry_budget_t *budget, int64_t now_us)
{
  unsigned current = advance_window (budget, now_us);
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  for (int i = 0; i < RETRY_BUDGET_BUCKET_COUNT; i++)
    {
      first_attempts += budget->first_attempts[i];
      retries += budget->retries[i];
    }

  /* A bucket is one second, so the bucket count is the length of the window in seconds. */
  double min_retries = budget->options.min_retry_rate * RETRY_BUDGET_BUCKET_COUNT;
  if ((double)(retries + 1) > budget->options.share * (double)first_attempts + min_retries)
    return false;
  budget->retries[current]++;
  return true;
}

int64_t
retry_budget_delay_us (rng_t *rng, unsigned retry, int64_t base_us, int64_t max_delay_us)
{
  int64_t limit_us = MIN (max_delay_us, base_us << MIN (retry, MAX_BACKOFF_EXPONENT));
  return (int64_t)rng_uniform_int (rng, (uint64_t)limit_us + 1);
}
