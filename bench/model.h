#pragma once

#include <cstdint>
#include <vector>

#include "policy.h"

/* A model of one service in virtual time: targets with slots, service times and faults, one
 * assigned entry per failure domain, and callers with a Poisson stream of requests. */

constexpr int64_t MODEL_MS = 1000;
constexpr int64_t MODEL_SECOND = 1000 * MODEL_MS;

enum class FaultKind
{
  SLOW,       /* service times are multiplied by "amount" */
  ERRORS,     /* share "amount" of the requests fails early */
  WRONG,      /* share "amount" of the answers is wrong */
  COLD,       /* the target restarts with a slowdown of 8 that falls linearly to 1 in "period_us" */
  FALSE_LOAD, /* the target announces load 0, all others 0.9; the target itself is healthy */
  BAD_LINK,   /* requests and probes of entry "index" take "amount" us longer */
  SUMMARY_LOSS, /* summaries and probe messages that entry "index" sends are lost */
};

constexpr int ALL_TARGETS = -1;

struct Fault
{
  FaultKind kind;
  int index; /* target, entry, or ALL_TARGETS */
  double amount = 0;
  int64_t period_us = 0; /* SLOW: if not 0, the fault is on and off for this time in turn */
};

struct ModelOptions
{
  PolicyOptions policy;
  int domains = 3;
  int targets = 15;
  uint32_t slots = 2;
  double rate = 50; /* requests per second */
  double urgent_share = 0.4;
  double service_median_us = 80000;
  double service_deviation = 0.5; /* standard deviation of the logarithm of service times */
  double pause_interval_s = 120;  /* mean time between pauses of a target */
  double pause_us = 250000;       /* mean length of a pause, at most 1 s */
  int64_t domain_distance_us = 5 * MODEL_MS; /* one way, between failure domains */
  int64_t urgent_timeout_us = 2 * MODEL_SECOND;
  int64_t background_timeout_us = 5 * MODEL_SECOND;
  double retry_share = 0.1;                   /* retry tokens that each new request adds */
  int64_t fault_onset_us = 30 * MODEL_SECOND; /* the faults begin */
  int64_t duration_us = 90 * MODEL_SECOND;
  int64_t rate_change_us = 0; /* 0: never; from then on "changed_rate" */
  double changed_rate = 0;
  std::vector<Fault> faults;
  uint64_t seed = 1;
};

struct ModelResult
{
  /* Per faulty target: time from the onset to the last dispatch before the first 5 s without one.
   * Without such 5 s it counts as missed, with the time to the end of the run. */
  std::vector<int64_t> detection_us;
  int missed = 0;
  std::vector<int64_t> ejection_us; /* from the onset to the ejection, or to the end of the run */
  int not_ejected = 0;
  int64_t ejections = 0;
  int64_t false_ejections = 0;
  double target_days = 0;
  std::vector<int64_t> urgent_us; /* latencies after the onset, of requests that succeeded */
  std::vector<int64_t> background_us;
  int64_t requests = 0; /* after the onset */
  int64_t failed = 0;   /* refused, timed out or without a correct answer */
  int64_t refused = 0;
  int64_t spilled_over = 0;
  int64_t probes = 0;
  int64_t peer_probes = 0;
  int64_t slot_violations = 0;
  int64_t floor_violations = 0;
  std::vector<int64_t> successes_by_second; /* successes in each second of the run */
};

ModelResult run_model (const ModelOptions &options);

/* Quantile of values, which are sorted in place; 0 without values. */
int64_t model_quantile (std::vector<int64_t> &values, double quantile);
