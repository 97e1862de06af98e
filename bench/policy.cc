#include "policy.h"

#include <deque>
#include <map>

namespace
{

class Anvillb : public Policy
{
public:
  explicit Anvillb (const PolicyOptions &options)
  {
    assigned_service_init (&service_, &options.service);
  }
  ~Anvillb () override
  {
    assigned_service_destroy (&service_);
  }
  Anvillb (const Anvillb &) = delete;
  Anvillb &operator= (const Anvillb &) = delete;

  void
  set_target (int64_t now, uint64_t id, uint32_t slots, double load) override
  {
    assigned_service_set_target (&service_, now, id, slots, load);
  }
  void
  remove_target (int64_t now, uint64_t id) override
  {
    assigned_service_remove_target (&service_, now, id);
  }
  scheduler_submit_result_t
  submit (int64_t now, const scheduler_request_t &request) override
  {
    return assigned_service_submit (&service_, now, &request);
  }
  bool
  next (int64_t now, scheduler_next_result_t *out) override
  {
    return assigned_service_next (&service_, now, out);
  }
  void
  done (int64_t now, uint64_t request_id, health_result_t result) override
  {
    assigned_service_done (&service_, now, request_id, result);
  }
  bool
  action (service_action_t *out) override
  {
    return assigned_service_next_action (&service_, out);
  }
  void
  tick (int64_t now) override
  {
    assigned_service_tick (&service_, now);
  }
  bool
  summary (int64_t now, service_summary_t *out) override
  {
    assigned_service_summary (&service_, now, out);
    return true;
  }
  void
  set_peer (int64_t now, const service_summary_t &summary, int64_t distance_us) override
  {
    assigned_service_set_peer (&service_, now, &summary, distance_us);
  }
  void
  probe_done (int64_t now, uint64_t target_id, health_result_t result) override
  {
    assigned_service_probe_done (&service_, now, target_id, result);
  }
  void
  peer_probe_done (int64_t now, uint64_t target_id, const health_peer_probe_t &peer_probe) override
  {
    assigned_service_peer_probe_done (&service_, now, target_id, &peer_probe);
  }
  bool
  is_normal (int64_t now) override
  {
    return health_is_normal (&service_.health, now);
  }
  int64_t
  expected_probe_latency_us (int64_t now) override
  {
    return health_expected_probe_latency_us (&service_.health, now);
  }

private:
  assigned_service_t service_;
};

/* One FIFO queue, round robin over the free targets, and a simple ejection rule. */
class Baseline : public Policy
{
public:
  explicit Baseline (const PolicyOptions &options) : options_ (options)
  {
  }

  void
  set_target (int64_t, uint64_t id, uint32_t slots, double) override
  {
    targets_[id].slots = slots;
  }
  void
  remove_target (int64_t, uint64_t id) override
  {
    targets_.erase (id);
  }
  scheduler_submit_result_t
  submit (int64_t, const scheduler_request_t &request) override
  {
    scheduler_submit_result_t result = {};
    if (queue_.size () >= MAX_QUEUED)
      result.decision = SCHEDULER_REFUSED;
    else
      queue_.push_back ({ request.id, request.deadline_us });
    return result;
  }
  bool
  next (int64_t now, scheduler_next_result_t *out) override
  {
    if (queue_.empty ())
      return false;
    *out = {};
    out->request_id = queue_.front ().id;
    out->refused = queue_.front ().deadline_us <= now;
    if (!out->refused && !take_slot (&out->target_id))
      return false;
    queue_.pop_front ();
    if (!out->refused)
      in_flight_[out->request_id] = { out->target_id, now };
    return true;
  }
  void
  done (int64_t now, uint64_t request_id, health_result_t result) override
  {
    auto it = in_flight_.find (request_id);
    if (it == in_flight_.end ())
      return;
    auto target = targets_.find (it->second.target_id);
    if (target != targets_.end ())
      record_result (now, target->first, target->second, now - it->second.started_us, result);
    in_flight_.erase (it);
  }
  bool
  action (service_action_t *out) override
  {
    if (actions_.empty ())
      return false;
    *out = actions_.front ();
    actions_.pop_front ();
    return true;
  }
  void
  tick (int64_t now) override
  {
    for (auto &item : targets_)
      {
        if (!item.second.ejected || now < item.second.ejected_until_us)
          continue;
        item.second.ejected = false;
        actions_.push_back ({ SERVICE_ACTION_READMITTED, item.first, 0 });
      }
  }

private:
  static constexpr size_t MAX_QUEUED = 1024;
  static constexpr int64_t EJECTION_TIME_US = 30000000;
  static constexpr int MAX_CONSECUTIVE_FAILURES = 5;
  static constexpr double LATENCY_WEIGHT = 0.15;

  struct Target
  {
    uint32_t slots = 0;
    uint32_t in_use = 0;
    int consecutive_failures = 0;
    double mean_latency_us = 0;
    bool ejected = false;
    int64_t ejected_until_us = 0;
  };
  struct QueuedRequest
  {
    uint64_t id;
    int64_t deadline_us;
  };
  struct InFlight
  {
    uint64_t target_id;
    int64_t started_us;
  };

  bool
  take_slot (uint64_t *id)
  {
    auto it = targets_.upper_bound (last_target_id_);
    for (size_t i = 0; i < targets_.size (); i++)
      {
        if (it == targets_.end ())
          it = targets_.begin ();
        if (!it->second.ejected && it->second.in_use < it->second.slots)
          {
            it->second.in_use++;
            *id = last_target_id_ = it->first;
            return true;
          }
        ++it;
      }
    return false;
  }

  void
  record_result (int64_t now, uint64_t id, Target &target, int64_t latency, health_result_t result)
  {
    target.in_use--;
    bool failed = result != HEALTH_OK && result != HEALTH_SHED;
    target.consecutive_failures = failed ? target.consecutive_failures + 1 : 0;
    target.mean_latency_us += LATENCY_WEIGHT * ((double)latency - target.mean_latency_us);
    bool by_errors = options_.kind == PolicyKind::FIVE_ERRORS
                     && target.consecutive_failures >= MAX_CONSECUTIVE_FAILURES;
    bool by_latency = options_.kind == PolicyKind::FIXED_LATENCY
                      && target.mean_latency_us > options_.latency_limit_us;
    if (target.ejected || !(by_errors || by_latency))
      return;
    target.ejected = true;
    target.ejected_until_us = now + EJECTION_TIME_US;
    target.consecutive_failures = 0;
    target.mean_latency_us = 0;
    actions_.push_back ({ SERVICE_ACTION_EJECTED, id, 1 });
  }

  PolicyOptions options_;
  std::map<uint64_t, Target> targets_;
  std::map<uint64_t, InFlight> in_flight_;
  std::deque<QueuedRequest> queue_;
  std::deque<service_action_t> actions_;
  uint64_t last_target_id_ = 0;
};

} // namespace

std::unique_ptr<Policy>
make_policy (const PolicyOptions &options)
{
  if (options.kind == PolicyKind::ANVILLB)
    return std::make_unique<Anvillb> (options);
  return std::make_unique<Baseline> (options);
}
