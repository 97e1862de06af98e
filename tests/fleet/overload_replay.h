#pragma once

#include <map>
#include <vector>

extern "C"
{
#include "balancer.h"
}

/* overload_replay - replays load with insufficient capacity in virtual time: entries of a cell
 * share targets of two slots and exchange load reports. Four kinds of requests compete, with the
 * work, goals, deadlines and ranks of the first customer in docs/design/hard-load.md. The same load
 * gives the same arrivals with every policy. */

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;

struct kind_t
{
  double work_ms; // mean
  double spread;  // standard deviation of the logarithm
  int64_t goal, deadline;
  uint32_t rank;
  bool idempotent;
  double part; // of all requests
};

extern const std::vector<kind_t> KINDS;

struct load_t
{
  int entries = 4;
  int targets = 20;
  double demand = 1.5; // in capacities, during the overload
  int64_t overload_start = 4 * SECOND;
  int64_t overload_end = 9 * SECOND;
  int burst_kind = -1;
  double burst_factor = 1;
  double hang_share = 0;     // of the targets, for three seconds at a time
  int hot_team = -1;         // sends 7.5 times its usual rate during the overload
  double return_share = 0.7; // of the refused callers that come back once
  uint64_t seed = 1;
};

struct count_t
{
  int offered = 0; // callers, counted once
  int served = 0;  // answered by the deadline
  int in_goal = 0;
  double
  share () const
  {
    return offered > 0 ? (double)served / offered : 1;
  }
};

struct result_t
{
  double value = 0; // parts of the worth of an answer of rank 0
  count_t all;
  std::map<size_t, count_t> kinds;
  std::map<uint64_t, count_t> teams;
  std::vector<int64_t> refused_waits;
};

/* Returns how LOAD ends with POLICY. Counts are of the callers that arrive during the overload. */
result_t run_overload (const load_t &load, balancer_overload_policy_t policy);
