#include <gtest/gtest.h>

extern "C"
{
#include "retry_budget.h"
}

static const retry_budget_options_t TENTH = { 0.1, 1.0 };

// Guards against retries that multiply the load on a service that fails every request.
TEST (RetryBudget, KeepsTheShareInEveryWindow)
{
  retry_budget_t budget;
  retry_budget_init (&budget, &TENTH);
  int firsts = 0;
  int retries = 0;
  for (int64_t now_us = 0; now_us < 60000000; now_us += 10000)
    {
      retry_budget_record_first_attempt (&budget, now_us);
      firsts++;
      retries += retry_budget_take (&budget, now_us) ? 1 : 0;
    }
  // The share of 6,000 first attempts plus the minimum of 1/s for the windows of 10 s.
  EXPECT_LE (retries, firsts / 10 + 70);
  EXPECT_GE (retries, firsts / 10);
}

// Guards against a service with little traffic that never gets a retry, and against a budget that
// keeps growing while there is no traffic.
TEST (RetryBudget, MinimumRateDoesNotAccumulate)
{
  retry_budget_t budget;
  retry_budget_init (&budget, &TENTH);
  retry_budget_record_first_attempt (&budget, 0);
  EXPECT_TRUE (retry_budget_take (&budget, 0));
  int64_t later_us = INT64_C (3600000000);
  int allowed = 0;
  while (retry_budget_take (&budget, later_us))
    allowed++;
  EXPECT_EQ (allowed, 10);
}

// Guards against a jitter that leaves the range or overflows for high attempt numbers.
TEST (RetryBudget, DelayIsJitteredBelowTheCap)
{
  rng_t rng;
  rng_init (&rng, 3);
  int64_t sum = 0;
  for (unsigned i = 0; i < 10000; i++)
    {
      int64_t delay = retry_budget_delay_us (&rng, i % 100, 10000, 2000000);
      ASSERT_GE (delay, 0);
      ASSERT_LE (delay, 2000000);
      sum += retry_budget_delay_us (&rng, 3, 10000, 2000000);
    }
  EXPECT_NEAR ((double)sum / 10000, 40000, 2000);
}
