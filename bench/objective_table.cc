#include <cmath>
#include <cstdio>

#include "scenarios.h"
#include "tables.h"

namespace
{

constexpr int NOISE_RUNS = 8;
constexpr int OVERLOAD_RUNS = 5;

void
print_detection_table (int runs)
{
  printf ("\n## 5x slow target, by service time and sensitivity\n\n");
  printf ("Gleisgrün, %d runs per row.\n\n", runs);
  printf ("| service median (ms) | sensitivity | last work p50 (s) | p99 (s) | ejected p50 (s) |\n"
          "|---|---|---|---|---|\n");
  for (double median_ms : { 20.0, 40.0, 80.0, 160.0, 320.0 })
    {
      for (double sensitivity : { 0.2, 0.8 })
        {
          ModelOptions options = gleisgruen_options ();
          options.service_median_us = median_ms * 1000;
          options.policy.service.sensitivity = sensitivity;
          options.faults = { { FaultKind::SLOW, 0, 5 } };
          ModelResult result = run_seeds (options, runs);
          printf ("| %.0f | %.1f | %.2f | %.2f | %.2f |\n", median_ms, sensitivity,
                  (double)model_quantile (result.detection_us, 0.5) / 1e6,
                  (double)model_quantile (result.detection_us, 0.99) / 1e6,
                  (double)model_quantile (result.ejection_us, 0.5) / 1e6);
          fflush (stdout);
        }
    }
}

void
print_noise_row (double rate, double interval_s, double sensitivity)
{
  ModelOptions options = latta_nord_options ();
  options.rate = rate;
  options.pause_interval_s = interval_s;
  options.policy.service.sensitivity = sensitivity;
  options.duration_us = 8 * 3600 * MODEL_SECOND;
  ModelResult result = run_seeds (options, NOISE_RUNS);
  double hours = result.target_days * 24;
  printf ("| %.0f | %.0f | %.1f | %.0f | %ld | %.2f | %.1f |\n", rate / options.targets, interval_s,
          sensitivity, hours, (long)result.ejections, 1000 * (double)result.ejections / hours,
          (double)result.probes / hours / 60);
  fflush (stdout);
}

void
print_noise_table ()
{
  printf ("\n## Healthy noise\n\n");
  printf ("%d runs of 8 h, 16 targets, pauses with a mean of 250 ms and at most 1 s.\n\n",
          NOISE_RUNS);
  printf (
      "| requests/s per target | pause every (s) | sensitivity | target-hours | ejections | per "
      "1,000 target-hours | probes per target and minute |\n|---|---|---|---|---|---|---|\n");
  for (double interval_s : { 120.0, 20.0 })
    {
      print_noise_row (16, interval_s, 0.2);
      print_noise_row (64, interval_s, 0.2);
      print_noise_row (16, interval_s, 0.8);
    }
}

double
capacity_per_second (const ModelOptions &options)
{
  double mean_us = options.service_median_us
                   * std::exp (options.service_deviation * options.service_deviation / 2);
  return options.targets * (double)options.slots * 1e6 / mean_us;
}

void
print_overload_row (const Installation &user, double share, double load, PolicyKind kind)
{
  ModelOptions options = user.options;
  double capacity = capacity_per_second (options);
  double successes = 0;
  double successes_after_overload = 0;
  ModelResult sum;

  options.policy.kind = kind;
  options.urgent_share = share;
  options.rate = load * capacity;
  options.fault_onset_us = 15 * MODEL_SECOND;
  options.rate_change_us = 40 * MODEL_SECOND;
  options.changed_rate = 0.5 * capacity;
  options.duration_us = 62 * MODEL_SECOND;
  for (options.seed = 1; options.seed <= OVERLOAD_RUNS; options.seed++)
    {
      ModelResult result = run_model (options);
      for (size_t i = 15; i < 40; i++)
        successes += (double)result.successes_by_second[i];
      successes_after_overload += (double)result.successes_by_second[41];
      sum.urgent_us.insert (sum.urgent_us.end (), result.urgent_us.begin (),
                            result.urgent_us.end ());
      sum.requests += result.requests;
      sum.spilled_over += result.spilled_over;
    }
  printf ("| %s | %.1f | %.1f | %s | %.0f | %.1f%% | %.0f%% | %.1f%% |\n", user.name.c_str (),
          share, load, kind == PolicyKind::ANVILLB ? "anvillb" : "round robin",
          (double)model_quantile (sum.urgent_us, 0.99) / 1e3,
          100 * successes / (25 * capacity * OVERLOAD_RUNS),
          100 * successes_after_overload / (options.changed_rate * OVERLOAD_RUNS),
          100 * (double)sum.spilled_over / (double)sum.requests);
  fflush (stdout);
}

void
print_overload_table ()
{
  printf ("\n## Overload\n\n");
  printf ("%d runs per row; the load falls to half of the capacity after 40 s. Recovery: successes "
          "in the second after the next, relative to what is offered then.\n\n",
          OVERLOAD_RUNS);
  printf (
      "| user | urgent share | load / capacity | policy | urgent p99 (ms) | goodput / capacity | "
      "recovery | crossed |\n|---|---|---|---|---|---|---|---|\n");
  for (const Installation &user : bench_installations ())
    {
      for (double share : { 0.4, 1.0 })
        {
          for (double load : { 0.5, 1.0, 2.0, 5.0 })
            {
              print_overload_row (user, share, load, PolicyKind::ANVILLB);
              print_overload_row (user, share, load, PolicyKind::ROUND_ROBIN);
            }
        }
    }
}

} // namespace

void
print_goal_tables (int runs)
{
  printf ("\n# Objectives\n");
  print_detection_table (runs);
  print_noise_table ();
  print_overload_table ();
}
