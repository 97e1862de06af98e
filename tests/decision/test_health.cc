#include <gtest/gtest.h>

#include <map>
#include <vector>

extern "C"
{
#include "health.h"
#include "rng.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;

/* Simulates five targets. Each gets a request every 100 ms, and a due probe ends at once. The
 * latency and the result are set for each target. */
class HealthTest : public ::testing::Test
{
protected:
  struct Behaviour
  {
    double latency_ms = 50;
    health_result_t result = HEALTH_OK;
  };

  void
  SetUp () override
  {
    init_health (0.8);
  }
  void
  TearDown () override
  {
    health_destroy (&health_);
  }

  void
  init_health (double sensitivity)
  {
    health_options_t options = { sensitivity, 1 };
    health_init (&health_, &options);
    rng_init (&rng_, 3);
    for (uint64_t id = 1; id <= 5; id++)
      health_add_target (&health_, 0, id);
  }

  /* Records a request or probe that ends now. Its latency varies by up to 20% around that of
   * BEHAVIOUR; a probe takes half as long. */
  void
  record_attempt (uint64_t id, const Behaviour &behaviour, bool is_probe)
  {
    double attempt_latency_ms = (is_probe ? behaviour.latency_ms / 2 : behaviour.latency_ms)
                                * (0.8 + 0.4 * rng_uniform_double (&rng_));
    health_attempt_t attempt;
    health_begin (&health_, now_us_ - (int64_t)(attempt_latency_ms * 1000), id, &attempt, is_probe);
    health_finish (&health_, now_us_, &attempt, behaviour.result);
  }

  void
  run (int64_t duration_us, bool apply_ejections = true)
  {
    for (int64_t end = now_us_ + duration_us; now_us_ < end; now_us_ += 50 * MS)
      {
        if (peer_median_us_ > 0)
          {
            health_peer_t peer = { 9, now_us_, 10, peer_median_us_, 0 };
            health_set_peer (&health_, &peer);
          }
        for (uint64_t id = 1; id <= 5; id++)
          {
            if (now_us_ % (100 * MS) == 0 && !verdicts_[id].wants_ejection)
              record_attempt (id, behaviour_[id], false);
          }
        apply_verdicts (apply_ejections);
      }
  }

  void
  apply_verdicts (bool apply_ejections)
  {
    health_verdict_t verdicts[5];
    size_t count = health_verdicts (&health_, now_us_, verdicts, 5);
    for (size_t i = 0; i < count; i++)
      {
        uint64_t id = verdicts[i].target_id;
        ejection_count_ += verdicts[i].wants_ejection && !verdicts_[id].wants_ejection;
        peer_probe_request_count_ += verdicts[i].peer_probe_due;
        verdicts_[id] = verdicts[i];
        if (apply_ejections)
          health_set_ejected (&health_, now_us_, id, verdicts[i].wants_ejection);
        if (verdicts[i].probe_due)
          {
            probe_count_++;
            record_attempt (id, behaviour_[id], true);
          }
        if (verdicts[i].peer_probe_due && peer_probe_result_ != nullptr)
          health_peer_probe_done (&health_, now_us_, id, peer_probe_result_);
      }
  }

  health_t health_;
  rng_t rng_;
  int64_t now_us_ = SECOND;
  double peer_median_us_ = 0;
  const health_peer_probe_t *peer_probe_result_ = nullptr;
  std::map<uint64_t, Behaviour> behaviour_;
  std::map<uint64_t, health_verdict_t> verdicts_;
  int ejection_count_ = 0;
  int peer_probe_request_count_ = 0;
  int probe_count_ = 0;
};

// Guards against a slow or failing target that stays in service, and against suspicion of the other
// targets.
TEST_F (HealthTest, OneFaultyTargetIsEjected)
{
  for (Behaviour faulty :
       { Behaviour{ 250, HEALTH_OK }, Behaviour{ 50, HEALTH_WRONG_ANSWER },
         Behaviour{ 5, HEALTH_CONNECT_FAILED }, Behaviour{ 900, HEALTH_STALLED } })
    {
      health_destroy (&health_);
      init_health (0.8);
      verdicts_.clear ();
      behaviour_.clear ();
      run (10 * SECOND);
      behaviour_[3] = faulty;
      run (3 * SECOND);
      EXPECT_EQ (verdicts_[3].state, HEALTH_STATE_EJECTED) << faulty.latency_ms;
      for (uint64_t id : { 1, 2, 4, 5 })
        EXPECT_EQ (verdicts_[id].state, HEALTH_STATE_SERVING) << faulty.latency_ms;
    }
}

// Guards against ejections when the service as a whole becomes slow, here also at the peers.
TEST_F (HealthTest, SlowServiceEjectsNoTarget)
{
  peer_median_us_ = 50000;
  run (10 * SECOND);
  for (uint64_t id = 1; id <= 5; id++)
    behaviour_[id].latency_ms = 250;
  run (500 * MS);
  peer_median_us_ = 250000;
  run (30 * SECOND);
  EXPECT_EQ (ejection_count_, 0);
}

// Guards against ejections by an entry whose own link is slow: it asks its peers for probes, which
// find the targets healthy.
TEST_F (HealthTest, SuspectLinkRequestsPeerProbes)
{
  health_peer_probe_t healthy = { true, 25 * MS, 25 * MS, true };
  peer_median_us_ = 50000;
  run (10 * SECOND);
  peer_probe_result_ = &healthy;
  for (uint64_t id = 1; id <= 5; id++)
    behaviour_[id].latency_ms = 400;
  run (30 * SECOND);
  EXPECT_EQ (ejection_count_, 0);
  EXPECT_GT (peer_probe_request_count_, 0);
  EXPECT_LT (peer_probe_request_count_, 50);
}

// Guards against mistaking two faulty targets for a faulty link: the probes by peers confirm that
// the targets are faulty.
TEST_F (HealthTest, PeerProbesConfirmFaultyTargets)
{
  health_peer_probe_t faulty = { true, 200 * MS, 25 * MS, true };
  peer_median_us_ = 50000;
  run (10 * SECOND);
  peer_probe_result_ = &faulty;
  behaviour_[1].latency_ms = behaviour_[2].latency_ms = 400;
  run (4 * SECOND);
  EXPECT_EQ (verdicts_[1].state, HEALTH_STATE_EJECTED);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_EJECTED);
}

// Guards against an entry without peers that never ejects two faulty targets of five.
TEST_F (HealthTest, WithoutPeersTheMajorityIsTheReference)
{
  run (10 * SECOND);
  behaviour_[1].latency_ms = behaviour_[2].latency_ms = 400;
  run (5 * SECOND);
  EXPECT_EQ (verdicts_[1].state, HEALTH_STATE_EJECTED);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_EJECTED);
}

// Guards against suspicion of a target that sheds load, or that makes no progress on one connection
// only.
TEST_F (HealthTest, SheddingAndSilentConnectionsAreNoEvidence)
{
  run (10 * SECOND);
  behaviour_[1].result = HEALTH_SHED;
  health_attempt_t silent_attempt;
  health_begin (&health_, now_us_, 2, &silent_attempt, false);
  run (5 * SECOND);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_SERVING);
  health_finish (&health_, now_us_, &silent_attempt, HEALTH_SILENT_CONNECTION);
  run (5 * SECOND);
  EXPECT_EQ (ejection_count_, 0);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_SERVING);
}

// Guards against ejecting a target because it is slow during its slow start, and against ignoring
// its failures then.
TEST_F (HealthTest, SlowStartIgnoresLatencyButNotFailures)
{
  health_options_t options = { 0.8, 10 * SECOND };
  run (10 * SECOND);
  health_configure (&health_, &options);
  health_remove_target (&health_, 4);
  health_add_target (&health_, now_us_, 4);
  behaviour_[4].latency_ms = 600;
  run (5 * SECOND);
  EXPECT_EQ (verdicts_[4].state, HEALTH_STATE_SERVING);
  EXPECT_GT (verdicts_[4].weight, 0.4);
  EXPECT_LT (verdicts_[4].weight, 0.7);
  behaviour_[4].result = HEALTH_ERROR;
  run (3 * SECOND);
  EXPECT_EQ (verdicts_[4].state, HEALTH_STATE_EJECTED);
}

// Guards against requests in flight that count as evidence only once they time out.
TEST_F (HealthTest, LateRequestsInFlightMakeATargetSuspect)
{
  run (10 * SECOND);
  health_attempt_t late_attempts[2];
  for (health_attempt_t &attempt : late_attempts)
    health_begin (&health_, now_us_, 5, &attempt, false);
  now_us_ += 400 * MS;
  apply_verdicts (true);
  EXPECT_EQ (verdicts_[5].state, HEALTH_STATE_SUSPECT);
  EXPECT_EQ (verdicts_[1].state, HEALTH_STATE_SERVING);
  health_remove_target (&health_, 5);
  for (health_attempt_t &attempt : late_attempts)
    health_finish (&health_, now_us_, &attempt, HEALTH_OK);
}

// Guards against a flapping target whose hold time stays the same. It is slow for 4 s and normal
// for 4 s; the hold time doubles with each ejection, so that 10 minutes see few ejections.
TEST_F (HealthTest, FlappingLengthensTheHoldTime)
{
  run (10 * SECOND);
  for (int i = 0; i < 75; i++)
    {
      behaviour_[2].latency_ms = 300;
      run (4 * SECOND);
      behaviour_[2].latency_ms = 50;
      run (4 * SECOND);
    }
  EXPECT_GE (ejection_count_, 2);
  EXPECT_LE (ejection_count_, 8);
}

// Guards against a target that stays ejected after it has recovered, and against a full weight
// right after its readmission.
TEST_F (HealthTest, RecoveredTargetReturnsGradually)
{
  health_options_t options = { 0.8, 10 * SECOND };
  run (10 * SECOND);
  health_configure (&health_, &options);
  behaviour_[2].latency_ms = 300;
  run (3 * SECOND);
  ASSERT_EQ (verdicts_[2].state, HEALTH_STATE_EJECTED);
  behaviour_[2].latency_ms = 50;
  int64_t readmission_limit_us = now_us_ + 15 * SECOND;
  while (verdicts_[2].state == HEALTH_STATE_EJECTED && now_us_ < readmission_limit_us)
    run (50 * MS);
  run (100 * MS);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_SERVING);
  EXPECT_LT (verdicts_[2].weight, 0.3);
  run (11 * SECOND);
  EXPECT_EQ (verdicts_[2].weight, 1);
}

// Guards against probes of targets that get enough requests, and against a target without requests
// that is not probed.
TEST_F (HealthTest, ProbesOnlyTargetsWithFewRequests)
{
  run (10 * SECOND);
  int previous_probe_count = probe_count_;
  run (20 * SECOND);
  EXPECT_EQ (probe_count_, previous_probe_count);
  verdicts_[1].wants_ejection = true; /* no requests to target 1 from here on */
  for (int i = 0; i < 100; i++)
    {
      for (uint64_t id = 2; id <= 5; id++)
        record_attempt (id, behaviour_[id], false);
      now_us_ += 100 * MS;
      apply_verdicts (false);
      verdicts_[1].wants_ejection = true;
    }
  EXPECT_GT (probe_count_, previous_probe_count);
}

} // namespace
