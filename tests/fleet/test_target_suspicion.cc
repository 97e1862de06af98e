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

class TargetSuspicion : public ::testing::Test
{
protected:
  fault_prior_t prior;
  target_suspicion_t suspicion;

  void
  SetUp () override
  {
    fault_prior_init (&prior);
    target_suspicion_init (&suspicion, &prior, 0);
  }
  double
  get_suspicion (int64_t now)
  {
    return target_suspicion_get (&suspicion, &prior, now);
  }
  void
  add_evidence (int64_t now, double llr)
  {
    target_suspicion_update (&suspicion, &prior, now, llr, false);
  }
};
}

// Guards against a success that counts as evidence for seconds: a fault may start at any time, so
// the suspicion rises from the success on, at first in proportion to the time since.
TEST_F (TargetSuspicion, EvidenceOfASuccessDecays)
{
  for (int i = 0; i < 3; i++)
    add_evidence (0, target_suspicion_success_llr ());
  double initial = get_suspicion (0);
  EXPECT_LT (initial, 0.01);
  double first_rise = get_suspicion (100 * MS) - initial;
  EXPECT_NEAR (get_suspicion (200 * MS) - initial, 2 * first_rise, 0.1 * first_rise);
  EXPECT_NEAR (get_suspicion (20 * SECOND), prior.faulty_share, 0.01);
}

// Guards against a failed target that is never tried again because its suspicion stays high.
TEST_F (TargetSuspicion, EvidenceOfAFailureDecaysWithinSeconds)
{
  add_evidence (0, target_suspicion_failure_llr ());
  add_evidence (0, target_suspicion_failure_llr ());
  EXPECT_GT (get_suspicion (0), 0.9);
  EXPECT_LT (get_suspicion (10 * SECOND), 0.2);
}

// Guards against requests that count as late too early at a target that is probably healthy, or too
// late at one that is probably faulty.
TEST_F (TargetSuspicion, LateThresholdDependsOnTheSuspicion)
{
  EXPECT_GT (target_suspicion_late_deviations (0.01), 5);
  EXPECT_LT (target_suspicion_late_deviations (0.4), 2);
  EXPECT_GT (target_suspicion_pending_llr (5), target_suspicion_pending_llr (1));
}

// Guards against a share of faulty targets that is assumed and never learned. The test simulates a
// target with intermittent faults, which fail a part of its requests; the learned share is within a
// quarter of the true one, plus 0.02.
TEST_F (TargetSuspicion, ShareOfFaultyTargetsIsLearned)
{
  for (double true_share : { 0.05, 0.3 })
    {
      rng_t rng;
      rng_init (&rng, 7);
      SetUp ();
      double sum = 0;
      int sample_count = 0;
      bool faulty = false;
      for (int64_t now = 0; now < 2000 * SECOND; now += 500 * MS)
        {
          double end_probability = 0.5 / 3.0; /* faults last 3 s */
          double start_probability = end_probability * true_share / (1 - true_share);
          faulty = faulty ? rng_uniform_double (&rng) >= end_probability
                          : rng_uniform_double (&rng) < start_probability;
          bool fails
              = rng_uniform_double (&rng) < (faulty ? FAULTY_FAILURE_RATE : HEALTHY_FAILURE_RATE);
          double llr = fails ? target_suspicion_failure_llr () : target_suspicion_success_llr ();
          target_suspicion_update (&suspicion, &prior, now, llr, true);
          if (now < 200 * SECOND)
            continue;
          sum += prior.faulty_share;
          sample_count++;
        }
      EXPECT_NEAR (sum / sample_count, true_share, 0.25 * true_share + 0.02) << true_share;
    }
}
