#include <gtest/gtest.h>

#include <algorithm>

#include "overload_replay.h"

extern "C"
{
#include "request_value.h"
}

namespace
{
void
add (count_t *sum, const count_t &count)
{
  sum->offered += count.offered;
  sum->served += count.served;
  sum->in_goal += count.in_goal;
}

// Returns the sum of the results of several seeds.
result_t
run_seeds (load_t load, balancer_overload_policy_t policy)
{
  result_t sum;
  for (load.seed = 1; load.seed <= 2; load.seed++)
    {
      result_t result = run_overload (load, policy);
      sum.value += result.value;
      add (&sum.all, result.all);
      for (auto &[kind, count] : result.kinds)
        add (&sum.kinds[kind], count);
      for (auto &[team, count] : result.teams)
        add (&sum.teams[team], count);
      sum.refused_waits.insert (sum.refused_waits.end (), result.refused_waits.begin (),
                                result.refused_waits.end ());
    }
  return sum;
}

// Compares the policies on the same load. MIN_GAIN is the least ratio of the value earned. Returns
// the result of BALANCER_OVERLOAD_VALUE.
result_t
compare (const load_t &load, double min_gain)
{
  result_t order = run_seeds (load, BALANCER_OVERLOAD_ORDER);
  result_t value = run_seeds (load, BALANCER_OVERLOAD_VALUE);
  EXPECT_GE (value.value, min_gain * order.value);
  for (auto &[kind, count] : value.kinds)
    {
      EXPECT_GE (count.share (), value.all.share () / 4) << "kind " << kind;
      for (auto &[other, other_count] : value.kinds)
        {
          if (KINDS[kind].rank < KINDS[other].rank)
            {
              EXPECT_GE (count.share (), other_count.share () - 0.05) << kind << " and " << other;
            }
        }
    }
  // Fewer requests do not tell a share.
  for (auto &[team, count] : value.teams)
    {
      if (count.offered >= 20)
        {
          EXPECT_GE (count.share (), value.all.share () / 4) << "team " << team;
        }
    }
  if (value.refused_waits.empty ())
    {
      ADD_FAILURE () << "nothing was refused";
      return value;
    }
  std::sort (value.refused_waits.begin (), value.refused_waits.end ());
  EXPECT_LE (value.refused_waits[value.refused_waits.size () * 9 / 10], 400 * MS);
  return value;
}
}

// Guards against slots that work on answers which come too late to be worth much, while requests
// that could be answered by their goal are refused or wait.
TEST (Overload, EarnsMoreWithDemandOfOneAndAHalf)
{
  load_t load;
  compare (load, 1.1);
}

// Guards against a burst of one kind that is served less often than a less urgent one, or displaces
// it altogether.
TEST (Overload, BurstOfAKindKeepsTheOrder)
{
  load_t load;
  load.demand = 1.2;
  load.burst_kind = 1;
  load.burst_factor = 2.6;
  compare (load, 1.2);
}

// Guards against estimates of the wait that take hanging targets for capacity.
TEST (Overload, HangingTargetsAreNoCapacity)
{
  load_t load;
  load.demand = 1.2;
  load.hang_share = 1.0 / 3;
  compare (load, 1.1);
}

// Guards against a team that sends 7.5 times its usual rate and displaces the others. It is the
// largest and sends three quarters of all requests.
TEST (Overload, HotTeamDoesNotDisplaceOthers)
{
  load_t load;
  load.demand = 1.2;
  load.hot_team = 0;
  load.overload_end = 7 * SECOND;
  result_t value = compare (load, 1.1);
  count_t hot = value.teams.at (1);
  count_t others = value.all;
  others.offered -= hot.offered;
  others.served -= hot.served;
  EXPECT_GE (others.share (), hot.share () + 0.1);
}

// Guards against an entry that takes the slots it uses itself for all it can get: twelve entries
// share the targets, and nothing is refused below the capacity.
TEST (Overload, LittleIsRefusedBelowTheCapacity)
{
  load_t load;
  load.demand = 0.85;
  load.entries = 12;
  result_t value = run_seeds (load, BALANCER_OVERLOAD_VALUE);
  EXPECT_LE (value.refused_waits.size (), (size_t)value.all.offered / 100);
  EXPECT_GE (value.value, 0.99 * run_seeds (load, BALANCER_OVERLOAD_ORDER).value);
}

// Guards against refused callers that are all told to return at the same time.
TEST (Overload, RefusedCallersReturnOneAfterTheOther)
{
  balancer_t balancer;
  balancer_options_t options = { 100 * MS, BALANCER_OVERLOAD_VALUE };
  balancer_target_t target = { 1, 2, BALANCER_LOCALITY_CELL, 0 };
  balancer_init (&balancer, &options, 1);
  balancer_set_target (&balancer, 0, &target);
  for (uint64_t id = 1; id <= 60; id++)
    {
      balancer_request_t request = {};
      request.id = id;
      request.goal_us = 300 * MS;
      request.deadline_us = SECOND;
      balancer_submit (&balancer, 0, &request);
    }
  std::vector<int64_t> times;
  balancer_decision_t decision;
  while (balancer_next (&balancer, 0, &decision))
    if (decision.verdict != BALANCER_DISPATCH)
      times.push_back (decision.retry_after_us);
  balancer_destroy (&balancer);
  std::sort (times.begin (), times.end ());
  ASSERT_GE (times.size (), 40u);
  EXPECT_GE (times.back () - times.front (), SECOND);
  for (size_t i = 0; i + 15 < times.size (); i++)
    EXPECT_GE (times[i + 15] - times[i], 100 * MS);
}

// Guards against a measure of worth by which a late, a long or a less urgent request earns more.
TEST (Overload, LateLongAndLessUrgentEarnLess)
{
  request_value_input_t input = {};
  input.goal_us = 500 * MS;
  input.deadline_us = 1200 * MS;
  input.work_us = 150 * MS;
  input.work_deviation_us = 60 * MS;
  request_value_t now = request_value_estimate (&input, 0);
  request_value_t later = request_value_estimate (&input, 400 * MS);
  EXPECT_GT (now.in_goal, 0.95);
  EXPECT_LT (later.in_goal, 0.5);
  EXPECT_GT (later.earned, REQUEST_VALUE_MIN_LATE_SHARE / 2);
  EXPECT_LT (request_value_estimate (&input, 1200 * MS).earned, 0.001);
  request_value_input_t less_urgent = input;
  less_urgent.rank = 1;
  EXPECT_NEAR (request_value_estimate (&less_urgent, 0).earned, now.earned / 2, 0.001);
  request_value_input_t longer = input;
  longer.work_us = 290 * MS;
  EXPECT_LT (request_value_estimate (&longer, 0).earned_per_us, now.earned_per_us);
}
