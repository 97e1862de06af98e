#include <gtest/gtest.h>

extern "C"
{
#include "retry_budget.h"
}

// A share of 0.1 and a minimum of 1 retry per second.
static const retry_budget_options_t OPTIONS = { 0.1, 1.0 };

// Guards against retries that multiply the load on a service that fails every request.
TEST (RetryBudget, RetriesStayWithinTheShare)
{
  retry_budget_t budget;
  retry_budget_init (&budget, &OPTIONS);
  int first_attempt_count = 0;
  int retry_count = 0;
  for (int64_t now_us = 0; now_us < 60000000; now_us += 10000)
    {
      retry_budget_record_first_attempt (&budget, now_us);
      first_attempt_count++;
      retry_count += retry_budget_take (&budget, now_us) ? 1 : 0;
    }
  // A tenth of 6,000 first attempts, plus the minimum of 1/s over 60 s and one window of 10 s.
  EXPECT_LE (retry_count, first_attempt_count / 10 + 70);
  EXPECT_GE (retry_count, first_attempt_count / 10);
}

// Guards against a service with little traffic that never gets a retry, and against a budget that
// keeps growing while there is no traffic.
TEST (RetryBudget, MinimumRateDoesNotAccumulate)
{
  retry_budget_t budget;
  retry_budget_init (&budget, &OPTIONS);
  retry_budget_record_first_attempt (&budget, 0);
  EXPECT_TRUE (retry_budget_take (&budget, 0));
  int64_t after_one_hour_us = INT64_C (3600000000);
  int allowed_count = 0;
  while (retry_budget_take (&budget, after_one_hour_us))
    allowed_count++;
  EXPECT_EQ (allowed_count, 10);
}

// Guards against a delay outside its range, and against an overflow for high retry numbers.
TEST (RetryBudget, DelayIsJitteredAndBounded)
{
  rng_t rng;
  rng_init (&rng, 3);
  int64_t delay_sum_us = 0;
  for (unsigned i = 0; i < 10000; i++)
    {
      int64_t delay_us = retry_budget_delay_us (&rng, i % 100, 10000, 2000000);
      ASSERT_GE (delay_us, 0);
      ASSERT_LE (delay_us, 2000000);
      delay_sum_us += retry_budget_delay_us (&rng, 3, 10000, 2000000);
    }
  EXPECT_NEAR ((double)delay_sum_us / 10000, 40000, 2000);
}
