#include "scenarios.h"

ModelOptions
gleisgruen_options ()
{
  ModelOptions options;
  options.targets = 15;
  options.slots = 2;
  options.rate = 50;
  options.service_median_us = 80000;
  options.domain_distance_us = 5 * MODEL_MS;
  options.policy.service.sensitivity = 0.8;
  options.policy.service.floor_slots = 20;
  return options;
}

ModelOptions
latta_nord_options ()
{
  ModelOptions options;
  options.targets = 16;
  options.slots = 4;
  options.rate = 200;
  options.service_median_us = 80000;
  options.domain_distance_us = 4 * MODEL_MS;
  options.policy.service.sensitivity = 0.2;
  options.policy.service.floor_slots = 40;
  return options;
}

std::vector<Installation>
bench_installations ()
{
  return { { "Gleisgrün", gleisgruen_options () }, { "Latta Nord", latta_nord_options () } };
}

std::vector<Scenario>
bench_scenarios ()
{
  const int64_t second = MODEL_SECOND;
  return {
    { "healthy noise", {} },
    { "slow 2x", { { FaultKind::SLOW, 0, 2 } } },
    { "slow 5x", { { FaultKind::SLOW, 0, 5 } } },
    { "slow 20x", { { FaultKind::SLOW, 0, 20 } } },
    { "errors 1%", { { FaultKind::ERRORS, 0, 0.01 } } },
    { "errors 5%", { { FaultKind::ERRORS, 0, 0.05 } } },
    { "errors 30%", { { FaultKind::ERRORS, 0, 0.3 } } },
    { "wrong answers 30%", { { FaultKind::WRONG, 0, 0.3 } } },
    { "wrong answers 100%", { { FaultKind::WRONG, 0, 1 } } },
    { "flapping 1 s, 5x", { { FaultKind::SLOW, 0, 5, second } } },
    { "flapping 5 s, 5x", { { FaultKind::SLOW, 0, 5, 5 * second } } },
    { "flapping 30 s, 5x", { { FaultKind::SLOW, 0, 5, 30 * second } } },
    { "slow 5x, misleading load", { { FaultKind::SLOW, 0, 5 }, { FaultKind::FALSE_LOAD, 0 } } },
    { "cold start, 8x for 8 s", { { FaultKind::COLD, 0, 0, 8 * second } } },
    { "whole service slow 5x", { { FaultKind::SLOW, ALL_TARGETS, 5 } } },
    { "bad link of one entry, 300 ms", { { FaultKind::BAD_LINK, 0, 300000 } } },
    { "slow 5x, one-way loss of summaries",
      { { FaultKind::SLOW, 0, 5 }, { FaultKind::SUMMARY_LOSS, 1 } } },
    { "two faults in one domain: slow 5x, errors 30%",
      { { FaultKind::SLOW, 0, 5 }, { FaultKind::ERRORS, 3, 0.3 } } },
  };
}
