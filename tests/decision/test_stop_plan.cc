#include <gtest/gtest.h>

extern "C"
{
#include "stop_plan.h"
}

namespace
{
constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
constexpr int64_t START = 100 * SECOND;
constexpr int64_t HOUR = 3600 * SECOND;

stop_plan_t
plan_stop (int64_t grace_us)
{
  stop_plan_t plan;
  stop_plan_init (&plan, START, grace_us);
  return plan;
}
}

// Guards against requests that are broken off long before the end of a short grace period, and
// against a process that is killed before it has answered them.
TEST (StopPlan, RequestsAreEndedInTheLastSixthOfTheGracePeriod)
{
  for (int64_t grace : { 100 * MS, 500 * MS, SECOND, 2 * SECOND, 6 * SECOND, 20 * SECOND })
    {
      stop_plan_t plan = plan_stop (grace);
      EXPECT_GE (plan.refuse_from_us, START) << grace;
      EXPECT_GE (plan.end_requests_us, START + grace * 5 / 6) << grace;
      EXPECT_LT (plan.refuse_from_us, plan.end_requests_us) << grace;
      EXPECT_LT (plan.end_requests_us, plan.exit_us) << grace;
      EXPECT_LT (plan.exit_us, START + grace) << grace;
    }
}

// Guards against requests that are held back by a plan of a process that does not stop.
TEST (StopPlan, ProcessThatRunsSendsEverything)
{
  stop_plan_t plan = {};
  stop_plan_request_t request = { .received_us = 0, .deadline_us = HOUR, .max_duration_us = HOUR };
  EXPECT_FALSE (stop_plan_is_active (&plan));
  EXPECT_TRUE (stop_plan_may_send (&plan, &request, 0));
}

// Guards against a request that is cut off at its target although it arrived late: with each grace
// period, only a deadline before the end lets it be sent, however short its kind usually takes.
TEST (StopPlan, LateRequestIsSentOnlyIfItsDeadlineEndsIt)
{
  for (int64_t grace : { SECOND, 6 * SECOND, 10 * SECOND, 20 * SECOND, 60 * SECOND })
    {
      stop_plan_t plan = plan_stop (grace);
      for (int64_t after = 3 * SECOND; after < grace; after += 100 * MS)
        {
          int64_t now = START + after;
          stop_plan_request_t request = { .received_us = now, .max_duration_us = MS };
          request.deadline_us = plan.end_requests_us;
          EXPECT_TRUE (stop_plan_may_send (&plan, &request, now)) << grace << " " << after;
          request.deadline_us++;
          EXPECT_FALSE (stop_plan_may_send (&plan, &request, now)) << grace << " " << after;
        }
    }
}

// Guards against requests that are refused in the first seconds of a stop although they would end
// in time, and against those that would not.
TEST (StopPlan, EarlyRequestIsSentIfItIsExpectedToEnd)
{
  stop_plan_t plan = plan_stop (6 * SECOND);
  stop_plan_request_t request
      = { .received_us = START - SECOND, .deadline_us = START + HOUR, .max_duration_us = SECOND };
  EXPECT_TRUE (stop_plan_may_send (&plan, &request, START + 2 * SECOND));
  EXPECT_TRUE (stop_plan_may_send (&plan, &request, plan.end_requests_us - SECOND));
  EXPECT_FALSE (stop_plan_may_send (&plan, &request, plan.end_requests_us - SECOND + 1));
  request.max_duration_us = STOP_PLAN_UNKNOWN_DURATION;
  EXPECT_FALSE (stop_plan_may_send (&plan, &request, START));
}
