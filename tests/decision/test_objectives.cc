#include <gtest/gtest.h>

#include <cmath>
#include <thread>

#include "scenarios.h"

// Checks the measured goals of section 1.6 of docs/design.md in virtual time.

namespace
{

double
capacity_per_second (const ModelOptions &options)
{
  double log_deviation = options.service_deviation;
  double mean_us = options.service_median_us * std::exp (log_deviation * log_deviation / 2);
  return options.targets * (double)options.slots * 1e6 / mean_us;
}

int64_t
count_successes (const ModelResult &result, size_t from_s, size_t to_s)
{
  int64_t success_count = 0;
  for (size_t i = from_s; i < to_s; i++)
    success_count += result.successes_by_second[i];
  return success_count;
}

// Guards against a slow target that gets requests for longer than 1 s.
TEST (Objectives, SlowTargetStopsReceivingWorkWithinASecond)
{
  std::vector<int64_t> detection_us;
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      ModelOptions options = gleisgruen_options ();
      options.faults = { { FaultKind::SLOW, (int)(seed % 15), 5 } };
      options.duration_us = 45 * MODEL_SECOND;
      options.seed = seed;
      ModelResult result = run_model (options);
      detection_us.insert (detection_us.end (), result.detection_us.begin (),
                           result.detection_us.end ());
    }
  ASSERT_EQ (detection_us.size (), 300u);
  EXPECT_LE (model_quantile (detection_us, 0.99), MODEL_SECOND);
}

// Guards against ejections of healthy targets whose service times vary, with pauses of up to 1 s.
TEST (Objectives, HealthyTargetsAreEjectedAtMostOncePerThousandTargetHours)
{
  std::vector<ModelResult> results (8);
  std::vector<std::thread> threads;
  for (size_t i = 0; i < results.size (); i++)
    threads.emplace_back ([&results, i] {
      ModelOptions options = latta_nord_options ();
      options.rate = 16;
      options.duration_us = 8 * 3600 * MODEL_SECOND;
      options.seed = i + 1;
      results[i] = run_model (options);
    });
  for (std::thread &thread : threads)
    thread.join ();

  double target_hours = 0;
  int64_t ejections = 0;
  for (const ModelResult &result : results)
    {
      target_hours += result.target_days * 24;
      ejections += result.ejections;
    }
  ASSERT_GE (target_hours, 1000);
  EXPECT_LE (ejections, 1);
}

// Guards against ejections below the floor and dispatches beyond the announced slots, in every
// failure and for both users of bench/scenarios.h.
TEST (Objectives, FloorAndSlotsHoldInEveryFailure)
{
  for (const Installation &user : bench_installations ())
    {
      for (const Scenario &scenario : bench_scenarios ())
        {
          ModelOptions options = user.options;
          options.faults = scenario.faults;
          options.duration_us = 60 * MODEL_SECOND;
          for (options.seed = 1; options.seed <= 4; options.seed++)
            {
              ModelResult result = run_model (options);
              EXPECT_EQ (result.floor_violations, 0) << user.name << ", " << scenario.name;
              EXPECT_EQ (result.slot_violations, 0) << user.name << ", " << scenario.name;
            }
        }
    }
}

std::vector<int64_t>
collect_urgent_latencies (const Installation &user, double load, double urgent_share)
{
  std::vector<int64_t> latencies_us;
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      ModelOptions options = user.options;
      options.rate = load * capacity_per_second (options);
      options.urgent_share = urgent_share;
      options.fault_onset_us = 15 * MODEL_SECOND;
      options.duration_us = 45 * MODEL_SECOND;
      options.seed = seed;
      ModelResult result = run_model (options);
      latencies_us.insert (latencies_us.end (), result.urgent_us.begin (), result.urgent_us.end ());
    }
  return latencies_us;
}

// Guards against urgent requests that wait behind others when the offered load is twice the
// capacity, with a mix of classes and with urgent requests only.
TEST (Objectives, UrgentP99AtTwiceTheCapacity)
{
  for (const Installation &user : bench_installations ())
    {
      for (double urgent_fraction : { 0.4, 1.0 })
        {
          std::vector<int64_t> half_load_us = collect_urgent_latencies (user, 0.5, urgent_fraction);
          std::vector<int64_t> twice_load_us = collect_urgent_latencies (user, 2, urgent_fraction);
          double ratio = (double)model_quantile (twice_load_us, 0.99)
                         / (double)model_quantile (half_load_us, 0.99);
          EXPECT_LE (ratio, 1.5) << user.name << ", urgent share " << urgent_fraction;
        }
    }
}

// Guards against dispatched requests that miss their deadline, and against an overload that lasts
// after its cause has ended. The load falls from 5 times to half of the capacity after 40 s.
TEST (Objectives, GoodputAtFiveTimesTheCapacityAndRecovery)
{
  for (const Installation &user : bench_installations ())
    {
      for (double urgent_fraction : { 0.4, 1.0 })
        {
          ModelOptions options = user.options;
          double capacity = capacity_per_second (options);
          options.rate = 5 * capacity;
          options.urgent_share = urgent_fraction;
          options.fault_onset_us = 0;
          options.rate_change_us = 40 * MODEL_SECOND;
          options.changed_rate = 0.5 * capacity;
          options.duration_us = 62 * MODEL_SECOND;
          ModelResult result = run_model (options);
          EXPECT_GE ((double)count_successes (result, 15, 40), 0.9 * 25 * capacity) << user.name;
          EXPECT_GE ((double)count_successes (result, 41, 61), 0.95 * 20 * options.changed_rate)
              << user.name;
        }
    }
}

} // namespace
