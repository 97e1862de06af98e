#pragma once

#include <cstdint>
#include <memory>

extern "C"
{
#include "assigned_service.h"
}

/* Policy - ejection and choice of targets by one entry for one service. The model runs anvillb's
 * logic and the baselines through this interface. */

enum class PolicyKind
{
  ANVILLB,
  ROUND_ROBIN,   /* no ejection */
  FIVE_ERRORS,   /* round robin; five consecutive failures eject for 30 s */
  FIXED_LATENCY, /* round robin; a mean latency above a fixed limit ejects for 30 s */
};

struct PolicyOptions
{
  PolicyKind kind = PolicyKind::ANVILLB;
  assigned_service_options_t service = {};
  double latency_limit_us = 500000; /* FIXED_LATENCY */
};

class Policy
{
public:
  virtual ~Policy () = default;
  virtual void set_target (int64_t now, uint64_t id, uint32_t slots, double load) = 0;
  virtual void remove_target (int64_t now, uint64_t id) = 0;
  virtual scheduler_submit_result_t submit (int64_t now, const scheduler_request_t &request) = 0;
  virtual bool next (int64_t now, scheduler_next_result_t *out) = 0;
  virtual void done (int64_t now, uint64_t request_id, health_result_t result) = 0;
  virtual bool action (service_action_t *out) = 0;
  virtual void tick (int64_t now) = 0;

  /* Only anvillb's logic exchanges summaries and probes. */
  virtual bool
  summary (int64_t, service_summary_t *)
  {
    return false;
  }
  virtual void
  set_peer (int64_t, const service_summary_t &, int64_t)
  {
  }
  virtual void
  probe_done (int64_t, uint64_t, health_result_t)
  {
  }
  virtual void
  peer_probe_done (int64_t, uint64_t, const health_peer_probe_t &)
  {
  }
  virtual bool
  is_normal (int64_t)
  {
    return true;
  }
  virtual int64_t
  expected_probe_latency_us (int64_t)
  {
    return 0;
  }
};

std::unique_ptr<Policy> make_policy (const PolicyOptions &options);
