#include <gtest/gtest.h>

#include "scenarios.h"

// Guards against ejections when the service as a whole becomes slow: no target is at fault. The
// entries notice it at different moments, so that one may confirm the suspicion of another.
TEST (SlowService, EjectsNobody)
{
  for (const User &user : bench_users ())
    {
      for (uint64_t seed = 1; seed <= 40; seed++)
        {
          ModelOptions options = user.options;
          options.faults = { { FaultKind::SLOW, EVERY_TARGET, 5 } };
          options.duration_us = 60 * MODEL_SECOND;
          options.seed = seed;
          EXPECT_EQ (run_model (options).ejections, 0) << user.name << ", seed " << seed;
        }
    }
}
