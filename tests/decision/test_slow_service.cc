#include <gtest/gtest.h>

#include "scenarios.h"

// Guards against ejections when the service as a whole becomes slow, so that no target is at fault.
// The entries detect the change at different times, so one may confirm the suspicion of another.
TEST (SlowService, EjectsNoTarget)
{
  for (const Installation &user : bench_installations ())
    {
      for (uint64_t seed = 1; seed <= 40; seed++)
        {
          ModelOptions options = user.options;
          options.faults = { { FaultKind::SLOW, ALL_TARGETS, 5 } };
          options.duration_us = 60 * MODEL_SECOND;
          options.seed = seed;
          EXPECT_EQ (run_model (options).ejections, 0) << user.name << ", seed " << seed;
        }
    }
}
