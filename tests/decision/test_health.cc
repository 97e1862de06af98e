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

/* Five targets; each gets a request every 100 ms, and probes are answered at once. Latencies and
 * results are set for each target. */
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
    start (0.8);
  }
  void
  TearDown () override
  {
    health_destroy (&h_);
  }

  void
  start (double sensitivity)
  {
    health_options_t options = { sensitivity, 1 };
    health_init (&h_, &options);
    rng_init (&rng_, 3);
    for (uint64_t id = 1; id <= 5; id++)
      health_add_target (&h_, 0, id);
  }

  /* Latencies scatter by up to 20% around that of the behaviour. */
  void
  answer (uint64_t id, const Behaviour &behaviour, bool probe)
  {
    double latency = (probe ? behaviour.latency_ms / 2 : behaviour.latency_ms)
                     * (0.8 + 0.4 * rng_unit (&rng_));
    health_attempt_t attempt;
    health_begin (&h_, now_ - (int64_t)(latency * 1000), id, &attempt, probe);
    health_finish (&h_, now_, &attempt, behaviour.result);
  }

  void
  run (int64_t duration, bool apply_ejections = true)
  {
    for (int64_t end = now_ + duration; now_ < end; now_ += 50 * MS)
      {
        if (peer_median_us_ > 0)
          {
            health_peer_t peer = { 9, now_, 10, peer_median_us_, 0 };
            health_set_peer (&h_, &peer);
          }
        for (uint64_t id = 1; id <= 5; id++)
          {
            if (now_ % (100 * MS) == 0 && !verdicts_[id].wants_ejection)
              answer (id, behaviour_[id], false);
          }
        judge (apply_ejections);
      }
  }

  void
  judge (bool apply_ejections)
  {
    health_verdict_t out[5];
    size_t count = health_verdicts (&h_, now_, out, 5);
    for (size_t i = 0; i < count; i++)
      {
        uint64_t id = out[i].target_id;
        ejections_ += out[i].wants_ejection && !verdicts_[id].wants_ejection;
        opinions_ += out[i].peer_probe_due;
        verdicts_[id] = out[i];
        if (apply_ejections)
          health_set_ejected (&h_, now_, id, out[i].wants_ejection);
        if (out[i].probe_due)
          {
            probes_++;
            answer (id, behaviour_[id], true);
          }
        if (out[i].peer_probe_due && opinion_ != nullptr)
          health_peer_probe_done (&h_, now_, id, opinion_);
      }
  }

  health_t h_;
  rng_t rng_;
  int64_t now_ = SECOND;
  double peer_median_us_ = 0;
  const health_peer_probe_t *opinion_ = nullptr;
  std::map<uint64_t, Behaviour> behaviour_;
  std::map<uint64_t, health_verdict_t> verdicts_;
  int ejections_ = 0;
  int opinions_ = 0;
  int probes_ = 0;
};

// Guards against a slow or failing target that stays in service, and against suspicion of others.
TEST_F (HealthTest, OneBadTargetIsEjected)
{
  for (Behaviour bad : { Behaviour{ 250, HEALTH_OK }, Behaviour{ 50, HEALTH_WRONG_ANSWER },
                         Behaviour{ 5, HEALTH_CONNECT_FAILED }, Behaviour{ 900, HEALTH_STALLED } })
    {
      health_destroy (&h_);
      start (0.8);
      verdicts_.clear ();
      behaviour_.clear ();
      run (10 * SECOND);
      behaviour_[3] = bad;
      run (3 * SECOND);
      EXPECT_EQ (verdicts_[3].state, HEALTH_STATE_EJECTED) << bad.latency_ms;
      for (uint64_t id : { 1, 2, 4, 5 })
        EXPECT_EQ (verdicts_[id].state, HEALTH_STATE_SERVING) << bad.latency_ms;
    }
}

// Guards against ejections when the service as a whole becomes slow, here also at the peers.
TEST_F (HealthTest, SlowServiceEjectsNobody)
{
  peer_median_us_ = 50000;
  run (10 * SECOND);
  for (uint64_t id = 1; id <= 5; id++)
    behaviour_[id].latency_ms = 250;
  run (500 * MS);
  peer_median_us_ = 250000;
  run (30 * SECOND);
  EXPECT_EQ (ejections_, 0);
}

// Guards against ejections by an entry with a bad link: it asks for a probe, which clears targets.
TEST_F (HealthTest, BadLinkAsksForASecondOpinion)
{
  health_peer_probe_t fine = { true, 25 * MS, 25 * MS, true };
  peer_median_us_ = 50000;
  run (10 * SECOND);
  opinion_ = &fine;
  for (uint64_t id = 1; id <= 5; id++)
    behaviour_[id].latency_ms = 400;
  run (30 * SECOND);
  EXPECT_EQ (ejections_, 0);
  EXPECT_GT (opinions_, 0);
  EXPECT_LT (opinions_, 50);
}

// Guards against two really bad targets that are taken for a bad link: the probes confirm them.
TEST_F (HealthTest, SecondOpinionConfirmsBadTargets)
{
  health_peer_probe_t bad = { true, 200 * MS, 25 * MS, true };
  peer_median_us_ = 50000;
  run (10 * SECOND);
  opinion_ = &bad;
  behaviour_[1].latency_ms = behaviour_[2].latency_ms = 400;
  run (4 * SECOND);
  EXPECT_EQ (verdicts_[1].state, HEALTH_STATE_EJECTED);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_EJECTED);
}

// Guards against an entry without peers that never ejects two bad targets of five.
TEST_F (HealthTest, WithoutPeersTheMajorityDecides)
{
  run (10 * SECOND);
  behaviour_[1].latency_ms = behaviour_[2].latency_ms = 400;
  run (5 * SECOND);
  EXPECT_EQ (verdicts_[1].state, HEALTH_STATE_EJECTED);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_EJECTED);
}

// Guards against load that is taken for sickness, and against blame for a silent connection.
TEST_F (HealthTest, SheddingAndSilentConnectionsAreNoEvidence)
{
  run (10 * SECOND);
  behaviour_[1].result = HEALTH_SHED;
  health_attempt_t silent;
  health_begin (&h_, now_, 2, &silent, false);
  run (5 * SECOND);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_SERVING);
  health_finish (&h_, now_, &silent, HEALTH_SILENT_CONNECTION);
  run (5 * SECOND);
  EXPECT_EQ (ejections_, 0);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_SERVING);
}

// Guards against ejection of a target that warms up, and against blindness to its failures.
TEST_F (HealthTest, ColdStartIsNoEvidenceOfLatency)
{
  health_options_t options = { 0.8, 10 * SECOND };
  run (10 * SECOND);
  health_configure (&h_, &options);
  health_remove_target (&h_, 4);
  health_add_target (&h_, now_, 4);
  behaviour_[4].latency_ms = 600;
  run (5 * SECOND);
  EXPECT_EQ (verdicts_[4].state, HEALTH_STATE_SERVING);
  EXPECT_GT (verdicts_[4].weight, 0.4);
  EXPECT_LT (verdicts_[4].weight, 0.7);
  behaviour_[4].result = HEALTH_ERROR;
  run (3 * SECOND);
  EXPECT_EQ (verdicts_[4].state, HEALTH_STATE_EJECTED);
}

// Guards against a request that hangs without an answer being no evidence until its timeout.
TEST_F (HealthTest, LateRequestsInFlightMakeATargetSuspect)
{
  run (10 * SECOND);
  health_attempt_t late[2];
  for (health_attempt_t &attempt : late)
    health_begin (&h_, now_, 5, &attempt, false);
  now_ += 400 * MS;
  judge (true);
  EXPECT_EQ (verdicts_[5].state, HEALTH_STATE_SUSPECT);
  EXPECT_EQ (verdicts_[1].state, HEALTH_STATE_SERVING);
  health_remove_target (&h_, 5);
  for (health_attempt_t &attempt : late)
    health_finish (&h_, now_, &attempt, HEALTH_OK);
}

// Guards against a flapping target that returns at the same pace for ever. It is bad for 4 s and
// good for 4 s; the hold times grow, so that 10 minutes see few ejections.
TEST_F (HealthTest, FlappingGrowsTheHold)
{
  run (10 * SECOND);
  for (int i = 0; i < 75; i++)
    {
      behaviour_[2].latency_ms = 300;
      run (4 * SECOND);
      behaviour_[2].latency_ms = 50;
      run (4 * SECOND);
    }
  EXPECT_GE (ejections_, 2);
  EXPECT_LE (ejections_, 8);
}

// Guards against a target that stays out after it has recovered, and against a return at once
// with its full share.
TEST_F (HealthTest, RecoveredTargetReturnsGradually)
{
  health_options_t options = { 0.8, 10 * SECOND };
  run (10 * SECOND);
  health_configure (&h_, &options);
  behaviour_[2].latency_ms = 300;
  run (3 * SECOND);
  ASSERT_EQ (verdicts_[2].state, HEALTH_STATE_EJECTED);
  behaviour_[2].latency_ms = 50;
  int64_t limit = now_ + 15 * SECOND;
  while (verdicts_[2].state == HEALTH_STATE_EJECTED && now_ < limit)
    run (50 * MS);
  run (100 * MS);
  EXPECT_EQ (verdicts_[2].state, HEALTH_STATE_SERVING);
  EXPECT_LT (verdicts_[2].weight, 0.3);
  run (11 * SECOND);
  EXPECT_EQ (verdicts_[2].weight, 1);
}

// Guards against probes of targets that have enough traffic.
TEST_F (HealthTest, ProbesOnlyWhereTrafficIsThin)
{
  run (10 * SECOND);
  int before = probes_;
  run (20 * SECOND);
  EXPECT_EQ (probes_, before);
  verdicts_[1].wants_ejection = true; /* no requests to target 1 from here on */
  for (int i = 0; i < 100; i++)
    {
      for (uint64_t id = 2; id <= 5; id++)
        answer (id, behaviour_[id], false);
      now_ += 100 * MS;
      judge (false);
      verdicts_[1].wants_ejection = true;
    }
  EXPECT_GT (probes_, before);
}

} // namespace
