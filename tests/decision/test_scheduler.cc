#include <gtest/gtest.h>

#include <map>
#include <vector>

extern "C"
{
#include "rng.h"
#include "scheduler.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;

class SchedulerTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    scheduler_options_t options = {};
    options.seed = 1;
    scheduler_init (&s_, &options);
  }
  void
  TearDown () override
  {
    scheduler_destroy (&s_);
  }

  void
  set_target (uint64_t id, uint32_t slots, target_tier_t tier = TARGET_NORMAL)
  {
    target_setting_t setting = { id, slots, tier, 1, 0 };
    scheduler_set_target (&s_, &setting);
  }

  scheduler_result_t
  submit (int64_t now, uint64_t id, scheduler_class_t class_index, int64_t deadline,
          const std::vector<uint64_t> &tried = {}, bool forwarded = false)
  {
    scheduler_request_t request
        = { id, class_index, deadline, forwarded, tried.data (), tried.size () };
    return scheduler_submit (&s_, now, &request);
  }

  void
  done (int64_t now, uint64_t id, scheduler_outcome_kind_t kind = SCHEDULER_DONE_OK,
        int64_t latency = 50 * MS)
  {
    scheduler_outcome_t outcome = { kind, latency };
    scheduler_done (&s_, now, id, &outcome);
  }

  scheduler_t s_;
  scheduler_dispatch_t out_;
};

// Guards against starvation of background requests, and against more than their share.
TEST_F (SchedulerTest, BackgroundGetsOneDispatchInSixteen)
{
  set_target (1, 1);
  for (uint64_t id = 1; id <= 200; id++)
    submit (0, id, id <= 100 ? SCHEDULER_URGENT : SCHEDULER_BACKGROUND, 1000 * SECOND);
  std::vector<bool> background;
  for (int i = 0; i < 64; i++)
    {
      ASSERT_TRUE (scheduler_next (&s_, MS, &out_));
      background.push_back (out_.request_id > 100);
      done (MS, out_.request_id);
    }
  for (size_t i = 0; i < background.size (); i++)
    EXPECT_EQ (background[i], i % 16 == 15) << "dispatch " << i;
}

// Guards against a queue that is not ordered by deadline after removals from its middle.
TEST_F (SchedulerTest, EarliestDeadlineFirstAfterCancellations)
{
  rng_t rng;
  rng_init (&rng, 5);
  set_target (1, 1);
  submit (0, 1000, SCHEDULER_URGENT, 900 * SECOND);
  ASSERT_TRUE (scheduler_next (&s_, 0, &out_));
  std::map<int64_t, uint64_t> expected;
  for (uint64_t id = 1; id <= 500; id++)
    {
      int64_t deadline = 100 * SECOND + (int64_t)rng_below (&rng, 1000000) * 1000 + (int64_t)id;
      ASSERT_EQ (submit (0, id, SCHEDULER_URGENT, deadline).decision, SCHEDULER_QUEUED);
      expected[deadline] = id;
    }
  for (auto it = expected.begin (); it != expected.end ();)
    {
      bool cancelled = rng_below (&rng, 2) == 0;
      if (cancelled)
        {
          EXPECT_EQ (scheduler_cancel (&s_, it->second), SCHEDULER_CANCELLED);
        }
      it = cancelled ? expected.erase (it) : std::next (it);
    }
  done (0, 1000);
  for (auto &entry : expected)
    {
      ASSERT_TRUE (scheduler_next (&s_, 0, &out_));
      EXPECT_EQ (out_.request_id, entry.second);
      done (0, out_.request_id);
    }
  EXPECT_FALSE (scheduler_next (&s_, 0, &out_));
}

// Guards against more requests at a target than its announced slots, and against requests that are
// lost or answered twice, under random operations with targets that change and vanish.
TEST_F (SchedulerTest, SlotsAreNeverExceededAndEveryRequestEndsOnce)
{
  rng_t rng;
  rng_init (&rng, 11);
  std::map<uint64_t, uint32_t> slots;
  std::map<uint64_t, uint32_t> in_use;
  std::map<uint64_t, uint64_t> in_flight;
  std::map<uint64_t, int> open;
  int64_t now = 0;
  uint64_t last_id = 0;
  for (int step = 0; step < 200000; step++)
    {
      now += (int64_t)rng_below (&rng, 2 * MS);
      uint64_t target = rng_below (&rng, 6);
      switch (rng_below (&rng, 20))
        {
        case 0:
          slots[target] = 1 + (uint32_t)rng_below (&rng, 4);
          set_target (target, slots[target], (target_tier_t)rng_below (&rng, 3));
          break;
        case 1:
          scheduler_remove_target (&s_, target);
          slots[target] = 0;
          break;
        case 2:
          if (!open.empty ()
              && scheduler_cancel (&s_, open.rbegin ()->first) == SCHEDULER_CANCELLED)
            open.erase (open.rbegin ()->first);
          break;
        default:
          if (rng_below (&rng, 2) == 0 && !in_flight.empty ())
            {
              auto it = in_flight.begin ();
              std::advance (it, (long)rng_below (&rng, in_flight.size ()));
              done (now, it->first, (scheduler_outcome_kind_t)rng_below (&rng, 4), 5 * MS);
              in_use[it->second]--;
              in_flight.erase (it);
            }
          else
            {
              std::vector<uint64_t> tried (rng_below (&rng, 6), target);
              scheduler_result_t result
                  = submit (now, ++last_id, (scheduler_class_t)rng_below (&rng, 2),
                            now + (int64_t)rng_below (&rng, SECOND), tried);
              if (result.decision == SCHEDULER_QUEUED)
                open[last_id] = 1;
            }
        }
      while (scheduler_next (&s_, now, &out_))
        {
          ASSERT_EQ (open.erase (out_.request_id), 1u);
          if (out_.refused)
            continue;
          in_flight[out_.request_id] = out_.target_id;
          ASSERT_LE (++in_use[out_.target_id], slots[out_.target_id]);
        }
    }
  EXPECT_GT (last_id, 10000u);
  for (auto &entry : open)
    EXPECT_EQ (scheduler_cancel (&s_, entry.first), SCHEDULER_CANCELLED);
  for (auto &entry : in_flight)
    done (now, entry.first);
  EXPECT_EQ (g_hash_table_size (s_.requests), 0u);
}

// Guards against a retry at the target that failed while another one is only busy.
TEST_F (SchedulerTest, RetryWaitsForAnotherTarget)
{
  set_target (1, 1);
  set_target (2, 1);
  submit (0, 1, SCHEDULER_URGENT, 10 * SECOND, { 1 });
  ASSERT_TRUE (scheduler_next (&s_, 0, &out_));
  EXPECT_EQ (out_.target_id, 2u);
  submit (0, 2, SCHEDULER_URGENT, 9 * SECOND, { 1 });
  submit (0, 3, SCHEDULER_URGENT, 10 * SECOND);
  ASSERT_TRUE (scheduler_next (&s_, 0, &out_));
  EXPECT_EQ (out_.request_id, 3u);
  EXPECT_EQ (out_.target_id, 1u);
  EXPECT_FALSE (scheduler_next (&s_, 0, &out_));
  done (MS, 1);
  ASSERT_TRUE (scheduler_next (&s_, MS, &out_));
  EXPECT_EQ (out_.request_id, 2u);
  EXPECT_EQ (out_.target_id, 2u);
}

// Guards against requests that wait for a target that is gone: the tried one is then used again.
TEST_F (SchedulerTest, RetryUsesTheTriedTargetWhenItIsTheOnlyOne)
{
  set_target (1, 1);
  submit (0, 1, SCHEDULER_URGENT, 10 * SECOND, { 1 });
  ASSERT_TRUE (scheduler_next (&s_, 0, &out_));
  EXPECT_EQ (out_.target_id, 1u);
}

// Guards against work that is accepted although it must miss its deadline.
TEST_F (SchedulerTest, RefusesEarlyWithARetryAfterEstimate)
{
  set_target (1, 1);
  for (uint64_t id = 1; id <= 101; id++)
    ASSERT_EQ (submit (0, id, SCHEDULER_BACKGROUND, 100 * SECOND).decision, SCHEDULER_QUEUED);
  scheduler_result_t result = submit (0, 200, SCHEDULER_BACKGROUND, 200 * SECOND);
  EXPECT_EQ (result.decision, SCHEDULER_QUEUED);
  result = submit (0, 201, SCHEDULER_BACKGROUND, 30 * SECOND);
  EXPECT_EQ (result.decision, SCHEDULER_QUEUED); /* ahead of all others */
  for (uint64_t id = 300; id < 420; id++)
    submit (0, id, SCHEDULER_BACKGROUND, 3 * SECOND);
  result = submit (0, 500, SCHEDULER_BACKGROUND, 3 * SECOND + 20 * MS);
  EXPECT_EQ (result.decision, SCHEDULER_REFUSED);
  EXPECT_EQ (result.reason, SCHEDULER_REASON_DEADLINE);
  EXPECT_GE (result.retry_after_s, 2);
  EXPECT_EQ (submit (0, 1, SCHEDULER_BACKGROUND, 100 * SECOND).reason, SCHEDULER_REASON_DUPLICATE);
}

// Guards against a service that is faster than the first estimate and is refused for ever.
TEST_F (SchedulerTest, ShortDeadlineIsTriedWithAFreeSlot)
{
  set_target (1, 1);
  ASSERT_EQ (submit (0, 1, SCHEDULER_URGENT, 20 * MS).decision, SCHEDULER_QUEUED);
  ASSERT_TRUE (scheduler_next (&s_, 0, &out_));
  EXPECT_FALSE (out_.refused);
  EXPECT_EQ (submit (0, 2, SCHEDULER_URGENT, 20 * MS).reason, SCHEDULER_REASON_DEADLINE);
  EXPECT_EQ (submit (0, 3, SCHEDULER_URGENT, 0).reason, SCHEDULER_REASON_DEADLINE);
}

// Guards against an unbounded queue.
TEST_F (SchedulerTest, QueueLimit)
{
  s_.options.max_queued[SCHEDULER_BACKGROUND] = 3;
  set_target (1, 1);
  for (uint64_t id = 1; id <= 3; id++)
    EXPECT_EQ (submit (0, id, SCHEDULER_BACKGROUND, 100 * SECOND).decision, SCHEDULER_QUEUED);
  EXPECT_EQ (submit (0, 4, SCHEDULER_BACKGROUND, 100 * SECOND).reason, SCHEDULER_REASON_QUEUE_FULL);
}

// Guards against load that goes to slow or cold targets as much as to others.
TEST_F (SchedulerTest, ChoicePrefersFastAndWarmTargets)
{
  std::map<uint64_t, int> count;
  for (uint64_t id = 1; id <= 4; id++)
    set_target (id, 1);
  target_setting_t cold = { 4, 1, TARGET_NORMAL, 0.1, 0 };
  scheduler_set_target (&s_, &cold);
  for (uint64_t i = 1; i <= 4000; i++)
    {
      submit (0, i, SCHEDULER_URGENT, 100 * SECOND);
      ASSERT_TRUE (scheduler_next (&s_, 0, &out_));
      count[out_.target_id]++;
      done (0, i, SCHEDULER_DONE_OK, out_.target_id == 1 ? 500 * MS : 50 * MS);
    }
  EXPECT_LT (count[1], 800);
  EXPECT_GT (count[1], 0);
  EXPECT_LT (count[4], 600);
  EXPECT_GT (count[2], 1000);
}

// Guards against one stale summary that draws all surplus to one entry, and against forwarding to
// an entry that has not been heard.
TEST_F (SchedulerTest, SpilloverCountsWhatItForwards)
{
  set_target (1, 1);
  spillover_peer_t peer = { 7, 0, 5 * MS, { 0, 0 }, 4, 2 };
  scheduler_set_peer (&s_, &peer);
  int forwarded = 0;
  for (uint64_t id = 1; id <= 20; id++)
    {
      forwarded += submit (0, id, SCHEDULER_URGENT, 100 * SECOND).decision == SCHEDULER_FORWARD;
      while (scheduler_next (&s_, 0, &out_))
        continue;
    }
  EXPECT_GT (forwarded, 2);
  EXPECT_LT (forwarded, 18);
  EXPECT_EQ (submit (0, 50, SCHEDULER_URGENT, 100 * SECOND, {}, true).decision, SCHEDULER_QUEUED);
  EXPECT_EQ (submit (3 * SECOND, 51, SCHEDULER_URGENT, 100 * SECOND).decision, SCHEDULER_QUEUED);
}

} // namespace
