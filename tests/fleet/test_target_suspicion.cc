#include <gtest/gtest.h>

extern "C"
{
#include "rng.h"
#include "target_suspicion.h"
}

namespace
{
constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;

class TargetBelief : public ::testing::Test
{
protected:
  fault_prior_t prior;
  target_suspicion_t belief;

  void
  SetUp () override
  {
    fault_prior_init (&prior);
    target_suspicion_init (&belief, &prior, 0);
  }
  double
  fault (int64_t now)
  {
    return target_suspicion_get (&belief, &prior, now);
  }
  void
  add (int64_t now, double ratio)
  {
    target_suspicion_update (&belief, &prior, now, ratio, false);
  }
};
}

// Guards against a success that counts as proof for seconds: a fault may begin at any time, so the
// probability rises from the success on, at first in proportion to its age.
TEST_F (TargetBelief, SuccessProvesLessWithItsAge)
{
  for (int i = 0; i < 3; i++)
    add (0, target_suspicion_success_llr ());
  double fresh = fault (0);
  EXPECT_LT (fresh, 0.01);
  double tenth = fault (100 * MS) - fresh;
  EXPECT_NEAR (fault (200 * MS) - fresh, 2 * tenth, 0.1 * tenth);
  EXPECT_NEAR (fault (20 * SECOND), prior.faulty_share, 0.01);
}

// Guards against a target that failed and is never tried again.
TEST_F (TargetBelief, FailureFadesWithinSeconds)
{
  add (0, target_suspicion_failure_llr ());
  add (0, target_suspicion_failure_llr ());
  EXPECT_GT (fault (0), 0.9);
  EXPECT_LT (fault (10 * SECOND), 0.2);
}

// Guards against requests that are given up too early at a proven target, or waited for too long at
// one that probably has a fault.
TEST_F (TargetBelief, PatienceFollowsTheProbability)
{
  EXPECT_GT (target_suspicion_late_deviations (0.01), 5);
  EXPECT_LT (target_suspicion_late_deviations (0.4), 2);
  EXPECT_GT (target_suspicion_pending_llr (5), target_suspicion_pending_llr (1));
}

// Guards against a fixed idea of how many targets have a fault. A target that fails a part of its
// requests in a part of the time is replayed; the learned share is within a quarter of the true
// one.
TEST_F (TargetBelief, ShareOfFaultyTargetsIsLearned)
{
  for (double share : { 0.05, 0.3 })
    {
      rng_t rng;
      rng_init (&rng, 7);
      SetUp ();
      double sum = 0;
      int rounds = 0;
      bool faulty = false;
      for (int64_t now = 0; now < 2000 * SECOND; now += 500 * MS)
        {
          double ends = 0.5 / 3.0; /* faults last 3 s */
          double begins = ends * share / (1 - share);
          faulty = faulty ? rng_unit (&rng) >= ends : rng_unit (&rng) < begins;
          bool fails = rng_unit (&rng) < (faulty ? FAULTY_FAILURE_RATE : HEALTHY_FAILURE_RATE);
          double ratio = fails ? target_suspicion_failure_llr () : target_suspicion_success_llr ();
          target_suspicion_update (&belief, &prior, now, ratio, true);
          if (now < 200 * SECOND)
            continue;
          sum += prior.faulty_share;
          rounds++;
        }
      EXPECT_NEAR (sum / rounds, share, 0.25 * share + 0.02) << share;
    }
}
