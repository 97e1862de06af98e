#include <cstdio>
#include <cstring>

#include "scenarios.h"
#include "tables.h"

namespace
{

struct NamedPolicy
{
  PolicyKind kind;
  const char *name;
};

const NamedPolicy policies[] = {
  { PolicyKind::ANVILLB, "anvillb" },
  { PolicyKind::ROUND_ROBIN, "round robin" },
  { PolicyKind::FIVE_ERRORS, "five errors" },
  { PolicyKind::FIXED_LATENCY, "latency above 500 ms" },
};

void
print_detection (ModelResult &result)
{
  if (result.detection_us.empty ())
    {
      printf ("– | – | – | – |");
      return;
    }
  size_t count = result.detection_us.size ();
  double p50 = (double)model_quantile (result.detection_us, 0.5) / 1e6;
  double p99 = (double)model_quantile (result.detection_us, 0.99) / 1e6;
  double ejected = (double)model_quantile (result.ejection_us, 0.5) / 1e6;
  printf ("%.2f | %.2f | %d of %zu | ", p50, p99, result.missed, count);
  if (2 * (size_t)result.not_ejected < count)
    printf ("%.2f (%d not) |", ejected, result.not_ejected);
  else
    printf ("– (%d not) |", result.not_ejected);
}

void
print_row (const char *scenario, const char *policy, ModelResult &result)
{
  printf ("| %s | %s | ", scenario, policy);
  print_detection (result);
  printf (" %.1f | %.0f | %.0f | %.3f%% | %.2f%% | %ld |\n",
          (double)result.false_ejections / result.target_days,
          (double)model_quantile (result.urgent_us, 0.99) / 1e3,
          (double)model_quantile (result.background_us, 0.99) / 1e3,
          100.0 * (double)result.failed / (double)result.requests,
          100.0 * (double)result.spilled_over / (double)result.requests, (long)result.probes);
  fflush (stdout);
}

void
print_user (const Installation &user, int runs, const char *name_filter)
{
  int64_t slot_violations = 0;
  int64_t floor_violations = 0;

  printf ("\n## %s\n\n", user.name.c_str ());
  printf (
      "%d targets x %u slots, %.0f requests/s, sensitivity %.1f, floor %u slots, %d runs of %.0f s "
      "per row, failure at %.0f s, seeds 1 to %d.\n\n",
      user.options.targets, user.options.slots, user.options.rate,
      user.options.policy.service.sensitivity, user.options.policy.service.floor_slots, runs,
      (double)user.options.duration_us / 1e6, (double)user.options.fault_onset_us / 1e6, runs);
  printf ("| failure | policy | detection p50 (s) | p99 (s) | missed | ejected p50 (s) | false "
          "ejections per "
          "target-day | urgent p99 (ms) | background p99 (ms) | failed | crossed | probes |\n");
  printf ("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const Scenario &scenario : bench_scenarios ())
    {
      if (name_filter != nullptr && scenario.name.find (name_filter) == std::string::npos)
        continue;
      for (const NamedPolicy &policy : policies)
        {
          ModelOptions options = user.options;
          options.faults = scenario.faults;
          options.policy.kind = policy.kind;
          ModelResult result = run_seeds (options, runs);
          print_row (scenario.name.c_str (), policy.name, result);
          if (policy.kind != PolicyKind::ANVILLB)
            continue;
          slot_violations += result.slot_violations;
          floor_violations += result.floor_violations;
        }
    }
  printf ("\nanvillb: %ld floor violations, %ld dispatches beyond the slots in all rows.\n",
          (long)floor_violations, (long)slot_violations);
}

} // namespace

void
print_failure_tables (int runs, const char *only_user, const char *only_scenario)
{
  printf ("# Failures\n");
  for (const Installation &user : bench_installations ())
    {
      if (strstr (user.name.c_str (), only_user) != nullptr)
        print_user (user, runs, only_scenario);
    }
}
