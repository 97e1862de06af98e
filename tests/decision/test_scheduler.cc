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
    scheduler_init (&scheduler_, &options);
  }
  void
  TearDown () override
  {
    scheduler_destroy (&scheduler_);
  }

  void
  set_target (uint64_t id, uint32_t slots, target_tier_t tier = TARGET_NORMAL)
  {
    target_setting_t setting = { id, slots, tier, 1, 0 };
    scheduler_set_target (&scheduler_, &setting);
  }

  scheduler_submit_result_t
  submit_request (int64_t now_us, uint64_t id, scheduler_class_t class_index, int64_t deadline_us,
                  const std::vector<uint64_t> &tried = {}, bool local_only = false)
  {
    scheduler_request_t request
        = { id, class_index, deadline_us, local_only, tried.data (), tried.size () };
    return scheduler_submit (&scheduler_, now_us, &request);
  }

  void
  finish_request (int64_t now_us, uint64_t id, scheduler_outcome_kind_t kind = SCHEDULER_DONE_OK,
                  int64_t latency_us = 50 * MS)
  {
    scheduler_outcome_t outcome = { kind, latency_us };
    scheduler_done (&scheduler_, now_us, id, &outcome);
  }

  scheduler_t scheduler_;
  scheduler_next_result_t dispatch_;
};

// Guards against starvation of background requests, and against more than one of them in 16
// dispatches.
TEST_F (SchedulerTest, BackgroundGetsOneDispatchInSixteen)
{
  set_target (1, 1);
  for (uint64_t id = 1; id <= 200; id++)
    submit_request (0, id, id <= 100 ? SCHEDULER_URGENT : SCHEDULER_BACKGROUND, 1000 * SECOND);
  std::vector<bool> is_background;
  for (int i = 0; i < 64; i++)
    {
      ASSERT_TRUE (scheduler_next (&scheduler_, MS, &dispatch_));
      is_background.push_back (dispatch_.request_id > 100);
      finish_request (MS, dispatch_.request_id);
    }
  for (size_t i = 0; i < is_background.size (); i++)
    EXPECT_EQ (is_background[i], i % 16 == 15) << "dispatch " << i;
}

// Guards against a queue that is not ordered by deadline after removals from its middle.
TEST_F (SchedulerTest, EarliestDeadlineFirstAfterCancellations)
{
  rng_t rng;
  rng_init (&rng, 5);
  set_target (1, 1);
  submit_request (0, 1000, SCHEDULER_URGENT, 900 * SECOND);
  ASSERT_TRUE (scheduler_next (&scheduler_, 0, &dispatch_));
  std::map<int64_t, uint64_t> expected;
  for (uint64_t id = 1; id <= 500; id++)
    {
      int64_t deadline_us
          = 100 * SECOND + (int64_t)rng_uniform_int (&rng, 1000000) * 1000 + (int64_t)id;
      ASSERT_EQ (submit_request (0, id, SCHEDULER_URGENT, deadline_us).decision, SCHEDULER_QUEUED);
      expected[deadline_us] = id;
    }
  for (auto it = expected.begin (); it != expected.end ();)
    {
      bool cancelled = rng_uniform_int (&rng, 2) == 0;
      if (cancelled)
        {
          EXPECT_EQ (scheduler_cancel (&scheduler_, it->second), SCHEDULER_CANCELLED);
        }
      it = cancelled ? expected.erase (it) : std::next (it);
    }
  finish_request (0, 1000);
  for (auto &item : expected)
    {
      ASSERT_TRUE (scheduler_next (&scheduler_, 0, &dispatch_));
      EXPECT_EQ (dispatch_.request_id, item.second);
      finish_request (0, dispatch_.request_id);
    }
  EXPECT_FALSE (scheduler_next (&scheduler_, 0, &dispatch_));
}

// Guards against more requests at a target than its announced slots, and against requests that are
// lost or end twice, in random operations in which targets change and are removed.
TEST_F (SchedulerTest, SlotsAreNeverExceededAndEveryRequestEndsOnce)
{
  rng_t rng;
  rng_init (&rng, 11);
  std::map<uint64_t, uint32_t> slots;
  std::map<uint64_t, uint32_t> used_slots;
  std::map<uint64_t, uint64_t> in_flight;
  std::map<uint64_t, int> queued;
  int64_t now_us = 0;
  uint64_t last_id = 0;
  for (int step = 0; step < 200000; step++)
    {
      now_us += (int64_t)rng_uniform_int (&rng, 2 * MS);
      uint64_t target = rng_uniform_int (&rng, 6);
      switch (rng_uniform_int (&rng, 20))
        {
        case 0:
          slots[target] = 1 + (uint32_t)rng_uniform_int (&rng, 4);
          set_target (target, slots[target], (target_tier_t)rng_uniform_int (&rng, 3));
          break;
        case 1:
          scheduler_remove_target (&scheduler_, target);
          slots[target] = 0;
          break;
        case 2:
          if (!queued.empty ()
              && scheduler_cancel (&scheduler_, queued.rbegin ()->first) == SCHEDULER_CANCELLED)
            queued.erase (queued.rbegin ()->first);
          break;
        default:
          if (rng_uniform_int (&rng, 2) == 0 && !in_flight.empty ())
            {
              auto it = in_flight.begin ();
              std::advance (it, (long)rng_uniform_int (&rng, in_flight.size ()));
              finish_request (now_us, it->first,
                              (scheduler_outcome_kind_t)rng_uniform_int (&rng, 4), 5 * MS);
              used_slots[it->second]--;
              in_flight.erase (it);
            }
          else
            {
              std::vector<uint64_t> tried (rng_uniform_int (&rng, 6), target);
              scheduler_submit_result_t result
                  = submit_request (now_us, ++last_id, (scheduler_class_t)rng_uniform_int (&rng, 2),
                                    now_us + (int64_t)rng_uniform_int (&rng, SECOND), tried);
              if (result.decision == SCHEDULER_QUEUED)
                queued[last_id] = 1;
            }
        }
      while (scheduler_next (&scheduler_, now_us, &dispatch_))
        {
          ASSERT_EQ (queued.erase (dispatch_.request_id), 1u);
          if (dispatch_.refused)
            continue;
          in_flight[dispatch_.request_id] = dispatch_.target_id;
          ASSERT_LE (++used_slots[dispatch_.target_id], slots[dispatch_.target_id]);
        }
    }
  EXPECT_GT (last_id, 10000u);
  for (auto &item : queued)
    EXPECT_EQ (scheduler_cancel (&scheduler_, item.first), SCHEDULER_CANCELLED);
  for (auto &item : in_flight)
    finish_request (now_us, item.first);
  EXPECT_EQ (g_hash_table_size (scheduler_.requests), 0u);
}

// Guards against a retry at the target that failed, while the only other target is busy.
TEST_F (SchedulerTest, RetryWaitsForAnotherTarget)
{
  set_target (1, 1);
  set_target (2, 1);
  submit_request (0, 1, SCHEDULER_URGENT, 10 * SECOND, { 1 });
  ASSERT_TRUE (scheduler_next (&scheduler_, 0, &dispatch_));
  EXPECT_EQ (dispatch_.target_id, 2u);
  submit_request (0, 2, SCHEDULER_URGENT, 9 * SECOND, { 1 });
  submit_request (0, 3, SCHEDULER_URGENT, 10 * SECOND);
  ASSERT_TRUE (scheduler_next (&scheduler_, 0, &dispatch_));
  EXPECT_EQ (dispatch_.request_id, 3u);
  EXPECT_EQ (dispatch_.target_id, 1u);
  EXPECT_FALSE (scheduler_next (&scheduler_, 0, &dispatch_));
  finish_request (MS, 1);
  ASSERT_TRUE (scheduler_next (&scheduler_, MS, &dispatch_));
  EXPECT_EQ (dispatch_.request_id, 2u);
  EXPECT_EQ (dispatch_.target_id, 2u);
}

// Guards against a retry that waits for ever for another target when there is none.
TEST_F (SchedulerTest, RetryUsesTheTriedTargetWhenItIsTheOnlyOne)
{
  set_target (1, 1);
  submit_request (0, 1, SCHEDULER_URGENT, 10 * SECOND, { 1 });
  ASSERT_TRUE (scheduler_next (&scheduler_, 0, &dispatch_));
  EXPECT_EQ (dispatch_.target_id, 1u);
}

// Guards against queueing a request that cannot meet its deadline.
TEST_F (SchedulerTest, RefusesEarlyWithARetryAfterEstimate)
{
  set_target (1, 1);
  for (uint64_t id = 1; id <= 101; id++)
    ASSERT_EQ (submit_request (0, id, SCHEDULER_BACKGROUND, 100 * SECOND).decision,
               SCHEDULER_QUEUED);
  scheduler_submit_result_t result = submit_request (0, 200, SCHEDULER_BACKGROUND, 200 * SECOND);
  EXPECT_EQ (result.decision, SCHEDULER_QUEUED);
  result = submit_request (0, 201, SCHEDULER_BACKGROUND, 30 * SECOND);
  EXPECT_EQ (result.decision, SCHEDULER_QUEUED); /* earliest deadline */
  for (uint64_t id = 300; id < 420; id++)
    submit_request (0, id, SCHEDULER_BACKGROUND, 3 * SECOND);
  result = submit_request (0, 500, SCHEDULER_BACKGROUND, 3 * SECOND + 20 * MS);
  EXPECT_EQ (result.decision, SCHEDULER_REFUSED);
  EXPECT_EQ (result.reason, SCHEDULER_REASON_DEADLINE);
  EXPECT_GE (result.retry_after_s, 2);
  EXPECT_EQ (submit_request (0, 1, SCHEDULER_BACKGROUND, 100 * SECOND).reason,
             SCHEDULER_REASON_DUPLICATE);
}

// Guards against refusing all requests for ever because the first estimate of the service time is
// too high: with a free slot, a request is dispatched although its deadline seems too short.
TEST_F (SchedulerTest, ShortDeadlineIsTriedWithAFreeSlot)
{
  set_target (1, 1);
  ASSERT_EQ (submit_request (0, 1, SCHEDULER_URGENT, 20 * MS).decision, SCHEDULER_QUEUED);
  ASSERT_TRUE (scheduler_next (&scheduler_, 0, &dispatch_));
  EXPECT_FALSE (dispatch_.refused);
  EXPECT_EQ (submit_request (0, 2, SCHEDULER_URGENT, 20 * MS).reason, SCHEDULER_REASON_DEADLINE);
  EXPECT_EQ (submit_request (0, 3, SCHEDULER_URGENT, 0).reason, SCHEDULER_REASON_DEADLINE);
}

// Guards against an unbounded queue.
TEST_F (SchedulerTest, QueueLimit)
{
  scheduler_.options.max_queued[SCHEDULER_BACKGROUND] = 3;
  set_target (1, 1);
  for (uint64_t id = 1; id <= 3; id++)
    EXPECT_EQ (submit_request (0, id, SCHEDULER_BACKGROUND, 100 * SECOND).decision,
               SCHEDULER_QUEUED);
  EXPECT_EQ (submit_request (0, 4, SCHEDULER_BACKGROUND, 100 * SECOND).reason,
             SCHEDULER_REASON_QUEUE_FULL);
}

// Guards against slow targets and targets of low weight that get as many requests as others.
TEST_F (SchedulerTest, ChoicePrefersFastTargetsAndHighWeights)
{
  std::map<uint64_t, int> dispatch_count;
  for (uint64_t id = 1; id <= 4; id++)
    set_target (id, 1);
  target_setting_t low_weight_target = { 4, 1, TARGET_NORMAL, 0.1, 0 };
  scheduler_set_target (&scheduler_, &low_weight_target);
  for (uint64_t i = 1; i <= 4000; i++)
    {
      submit_request (0, i, SCHEDULER_URGENT, 100 * SECOND);
      ASSERT_TRUE (scheduler_next (&scheduler_, 0, &dispatch_));
      dispatch_count[dispatch_.target_id]++;
      finish_request (0, i, SCHEDULER_DONE_OK, dispatch_.target_id == 1 ? 500 * MS : 50 * MS);
    }
  EXPECT_LT (dispatch_count[1], 800);
  EXPECT_GT (dispatch_count[1], 0);
  EXPECT_LT (dispatch_count[4], 600);
  EXPECT_GT (dispatch_count[2], 1000);
}

// Guards against one stale summary that directs all surplus requests to one entry, and against
// forwarding to an entry whose summary has expired.
TEST_F (SchedulerTest, SpilloverCountsForwardedRequests)
{
  set_target (1, 1);
  spillover_peer_t peer = { 7, 0, 5 * MS, { 0, 0 }, 4, 2 };
  scheduler_set_peer (&scheduler_, &peer);
  int forwarded = 0;
  for (uint64_t id = 1; id <= 20; id++)
    {
      forwarded
          += submit_request (0, id, SCHEDULER_URGENT, 100 * SECOND).decision == SCHEDULER_FORWARD;
      while (scheduler_next (&scheduler_, 0, &dispatch_))
        continue;
    }
  EXPECT_GT (forwarded, 2);
  EXPECT_LT (forwarded, 18);
  EXPECT_EQ (submit_request (0, 50, SCHEDULER_URGENT, 100 * SECOND, {}, true).decision,
             SCHEDULER_QUEUED);
  EXPECT_EQ (submit_request (3 * SECOND, 51, SCHEDULER_URGENT, 100 * SECOND).decision,
             SCHEDULER_QUEUED);
}

} // namespace
