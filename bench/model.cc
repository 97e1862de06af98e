#include "model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <unordered_map>

extern "C"
{
#include "rng.h"
}

namespace
{

constexpr int64_t LOCAL_ROUND_TRIP_US = 250;
constexpr double PROBE_MEDIAN_US = 25000;
constexpr double PROBE_DEVIATION = 0.2;
constexpr int64_t PROBE_TIMEOUT_US = MODEL_SECOND;
constexpr int64_t SUMMARY_PERIOD_US = 500 * MODEL_MS;
constexpr int64_t ANNOUNCE_PERIOD_US = 800 * MODEL_MS;
constexpr int64_t RECENT_FAULT_US = 5 * MODEL_SECOND;
constexpr int64_t IDLE_PERIOD_US = 5 * MODEL_SECOND;
constexpr double COLD_START_FACTOR = 8;
constexpr double ERROR_TIME_SHARE = 0.1;
constexpr double MAX_RETRY_TOKENS = 10;

struct Target
{
  int domain = 0;
  uint32_t in_use = 0;
  bool ejected = false;
  int64_t last_dispatch_us = -1; /* not updated after idle is set */
  int64_t ejected_us = -1;       /* first ejection after the onset */
  bool idle = false;             /* no dispatch for IDLE_PERIOD_US after last_dispatch_us */
  int64_t pause_start_us = 0;
  int64_t pause_end_us = 0;
};

struct Request
{
  scheduler_request_t request = {};
  int64_t arrival_us = 0;
  int entry = 0;
  int target = -1;
  int attempt = 0;
  bool spilled_over = false;
  std::vector<uint64_t> tried;
};

struct Event
{
  int64_t time_us;
  uint64_t order;
  std::function<void ()> run;
  bool
  operator> (const Event &other) const
  {
    return time_us != other.time_us ? time_us > other.time_us : order > other.order;
  }
};

class Model
{
public:
  explicit Model (const ModelOptions &options) : options_ (options)
  {
    rng_init (&rng_, options_.seed * 7919 + 17);
    targets_.resize ((size_t)options_.targets);
    retry_tokens_.assign ((size_t)options_.domains, MAX_RETRY_TOKENS);
    result_.successes_by_second.assign ((size_t)(options_.duration_us / MODEL_SECOND) + 1, 0);
    for (int i = 0; i < options_.domains; i++)
      {
        PolicyOptions policy = options_.policy;
        policy.service.seed = options_.seed * 131 + (uint64_t)i;
        entries_.push_back (make_policy (policy));
      }
  }

  ModelResult
  run ()
  {
    for (int i = 0; i < options_.targets; i++)
      {
        targets_[i].domain = i % options_.domains;
        draw_next_pause (targets_[i], 0);
        schedule_every ((int64_t)rng_uniform_int (&rng_, ANNOUNCE_PERIOD_US), ANNOUNCE_PERIOD_US,
                        [this, i] { announce_target (i); });
      }
    for (int i = 0; i < options_.domains; i++)
      {
        schedule_every ((int64_t)rng_uniform_int (&rng_, SUMMARY_PERIOD_US), SUMMARY_PERIOD_US,
                        [this, i] { send_summaries (i); });
        schedule_every ((int64_t)rng_uniform_int (&rng_, ASSIGNED_SERVICE_TICK_US),
                        ASSIGNED_SERVICE_TICK_US, [this, i] {
                          entries_[i]->tick (now_);
                          process_decisions (i);
                        });
      }
    schedule (0, [this] { handle_arrival (); });
    schedule (options_.fault_onset_us, [this] { begin_faults (); });
    while (!events_.empty () && events_.top ().time_us < options_.duration_us)
      {
        Event event = events_.top ();
        events_.pop ();
        now_ = event.time_us;
        event.run ();
      }
    collect_results ();
    return result_;
  }

private:
  void
  schedule (int64_t time_us, std::function<void ()> run)
  {
    events_.push ({ time_us, order_++, std::move (run) });
  }

  void
  schedule_every (int64_t first_us, int64_t period_us, const std::function<void ()> &run)
  {
    schedule (first_us, [this, period_us, run] {
      run ();
      schedule_every (now_ + period_us, period_us, run);
    });
  }

  double
  draw_lognormal (double median, double deviation)
  {
    double a = std::sqrt (-2 * std::log (1 - rng_uniform_double (&rng_)));
    return median * std::exp (deviation * a * std::cos (2 * M_PI * rng_uniform_double (&rng_)));
  }

  bool
  draw_bool (double probability)
  {
    return rng_uniform_double (&rng_) < probability;
  }

  bool
  is_active (const Fault &fault) const
  {
    if (now_ < options_.fault_onset_us)
      return false;
    return fault.period_us == 0 || fault.kind != FaultKind::SLOW
           || ((now_ - options_.fault_onset_us) / fault.period_us) % 2 == 0;
  }

  bool
  affects (const Fault &fault, int target) const
  {
    return fault.index == target || fault.index == ALL_TARGETS;
  }

  double
  amount (FaultKind kind, int index, double default_amount) const
  {
    for (const Fault &fault : options_.faults)
      {
        if (fault.kind == kind && affects (fault, index) && is_active (fault))
          return fault.amount;
      }
    return default_amount;
  }

  double
  cold_factor (int index) const
  {
    for (const Fault &fault : options_.faults)
      {
        int64_t age_us = now_ - options_.fault_onset_us;
        if (fault.kind == FaultKind::COLD && fault.index == index && age_us >= 0
            && age_us < fault.period_us)
          return 1 + (COLD_START_FACTOR - 1) * (1 - (double)age_us / (double)fault.period_us);
      }
    return 1;
  }

  /* True if an ejection of the target is justified: it has a fault, or had one within
   * RECENT_FAULT_US. */
  bool
  is_faulty (int index) const
  {
    for (const Fault &fault : options_.faults)
      {
        bool is_target_fault = fault.kind == FaultKind::SLOW || fault.kind == FaultKind::ERRORS
                               || fault.kind == FaultKind::WRONG;
        if (is_target_fault && fault.index == index && now_ >= options_.fault_onset_us)
          return fault.period_us == 0 || is_active (fault)
                 || (now_ - options_.fault_onset_us) % fault.period_us < RECENT_FAULT_US;
      }
    return false;
  }

  void
  draw_next_pause (Target &target, int64_t from_us)
  {
    target.pause_start_us
        = from_us + (int64_t)rng_exponential (&rng_, options_.pause_interval_s * 1e6);
    double length_us = std::min (1e6, rng_exponential (&rng_, options_.pause_us));
    target.pause_end_us = target.pause_start_us + (int64_t)length_us;
  }

  /* Returns the time at which WORK_US of work that starts now ends, with the target's pauses. */
  int64_t
  end_time_us (Target &target, double work_us)
  {
    while (target.pause_end_us <= now_)
      draw_next_pause (target, target.pause_end_us);
    int64_t end = now_ + (int64_t)work_us;
    if (target.pause_start_us < end)
      end += target.pause_end_us - std::max (target.pause_start_us, now_);
    return end;
  }

  int64_t
  round_trip_us (int entry, int target) const
  {
    int64_t network_us
        = targets_[target].domain == entry ? LOCAL_ROUND_TRIP_US : 2 * options_.domain_distance_us;
    return network_us + (int64_t)amount (FaultKind::BAD_LINK, entry, 0);
  }

  bool
  loses_messages (int from) const
  {
    for (const Fault &fault : options_.faults)
      {
        if (fault.kind == FaultKind::SUMMARY_LOSS && fault.index == from
            && now_ >= options_.fault_onset_us)
          return true;
      }
    return false;
  }

  void
  announce_target (int index)
  {
    double load = (double)targets_[index].in_use / options_.slots;
    for (const Fault &fault : options_.faults)
      {
        if (fault.kind == FaultKind::FALSE_LOAD)
          load = fault.index == index ? 0 : 0.9;
      }
    int owner = targets_[index].domain;
    entries_[owner]->set_target (now_, (uint64_t)index, options_.slots, load);
    process_decisions (owner);
  }

  void
  begin_faults ()
  {
    for (Target &target : targets_)
      target.ejected_us = target.ejected ? now_ : -1;
    for (const Fault &fault : options_.faults)
      {
        if (fault.kind != FaultKind::COLD)
          continue;
        entries_[targets_[fault.index].domain]->remove_target (now_, (uint64_t)fault.index);
        announce_target (fault.index);
      }
  }

  void
  send_summaries (int from)
  {
    service_summary_t summary;
    if (!entries_[from]->summary (now_, &summary))
      return;
    summary.entry_id = (uint64_t)from;
    for (int to = 0; to < options_.domains; to++)
      {
        if (to == from || loses_messages (from))
          continue;
        schedule (now_ + options_.domain_distance_us
                      + (int64_t)rng_uniform_int (&rng_, 2 * MODEL_MS),
                  [this, to, summary] {
                    entries_[to]->set_peer (now_, summary, options_.domain_distance_us);
                    process_decisions (to);
                  });
      }
  }

  void
  handle_arrival ()
  {
    bool changed = options_.rate_change_us > 0 && now_ >= options_.rate_change_us;
    double rate = changed ? options_.changed_rate : options_.rate;
    schedule (now_ + 1 + (int64_t)rng_exponential (&rng_, 1e6 / rate),
              [this] { handle_arrival (); });

    uint64_t id = ++last_id_;
    Request &request = requests_[id];
    bool urgent = draw_bool (options_.urgent_share);
    request.request.id = id;
    request.request.class_index = urgent ? SCHEDULER_URGENT : SCHEDULER_BACKGROUND;
    request.request.deadline_us
        = now_ + (urgent ? options_.urgent_timeout_us : options_.background_timeout_us);
    request.arrival_us = now_;
    request.entry = (int)rng_uniform_int (&rng_, (uint64_t)options_.domains);
    retry_tokens_[request.entry]
        = std::min (MAX_RETRY_TOKENS, retry_tokens_[request.entry] + options_.retry_share);
    submit (id);
  }

  void
  submit (uint64_t id)
  {
    Request &request = requests_[id];
    request.request.tried = request.tried.data ();
    request.request.tried_count = request.tried.size ();
    int entry = request.entry;
    scheduler_submit_result_t result = entries_[entry]->submit (now_, request.request);
    if (result.decision == SCHEDULER_REFUSED)
      {
        result_.refused += now_ >= options_.fault_onset_us;
        finish_request (id, false);
      }
    if (result.decision == SCHEDULER_FORWARD)
      {
        request.request.local_only = true;
        request.spilled_over = true;
        request.entry = (int)result.entry_id;
        schedule (now_ + options_.domain_distance_us, [this, id] { submit (id); });
      }
    process_decisions (entry);
  }

  void
  process_decisions (int entry)
  {
    scheduler_next_result_t dispatch;
    service_action_t action;
    while (entries_[entry]->next (now_, &dispatch))
      {
        result_.refused += dispatch.refused && now_ >= options_.fault_onset_us;
        if (dispatch.refused)
          finish_request (dispatch.request_id, false);
        else
          start (entry, dispatch.request_id, (int)dispatch.target_id);
      }
    while (entries_[entry]->action (&action))
      apply_action (entry, action);
  }

  void
  start (int entry, uint64_t id, int index)
  {
    Request &request = requests_[id];
    Target &target = targets_[index];
    target.in_use++;
    result_.slot_violations += target.in_use > options_.slots;
    record_dispatch (target);
    request.target = index;
    int attempt = ++request.attempt;

    double work = draw_lognormal (options_.service_median_us, options_.service_deviation);
    work *= amount (FaultKind::SLOW, index, 1) * cold_factor (index);
    health_result_t outcome = draw_outcome (index);
    if (outcome == HEALTH_ERROR)
      work *= ERROR_TIME_SHARE;
    int64_t end = end_time_us (target, work) + round_trip_us (entry, index);
    if (end > request.request.deadline_us)
      {
        end = std::max (now_, request.request.deadline_us);
        outcome = HEALTH_ABANDONED;
      }
    schedule (end, [this, id, attempt, outcome] { complete_attempt (id, attempt, outcome); });
  }

  /* Records the last dispatch before the first IDLE_PERIOD_US without one. */
  void
  record_dispatch (Target &target)
  {
    int64_t idle_since_us = std::max (target.last_dispatch_us, options_.fault_onset_us);
    target.idle = target.idle
                  || (now_ >= options_.fault_onset_us && now_ - idle_since_us >= IDLE_PERIOD_US);
    if (!target.idle)
      target.last_dispatch_us = now_;
  }

  health_result_t
  draw_outcome (int index)
  {
    if (draw_bool (amount (FaultKind::ERRORS, index, 0)))
      return HEALTH_ERROR;
    return draw_bool (amount (FaultKind::WRONG, index, 0)) ? HEALTH_WRONG_ANSWER : HEALTH_OK;
  }

  void
  complete_attempt (uint64_t id, int attempt, health_result_t outcome)
  {
    auto it = requests_.find (id);
    if (it == requests_.end () || it->second.attempt != attempt)
      return;
    Request &request = it->second;
    int entry = request.entry;
    targets_[request.target].in_use--;
    entries_[entry]->done (now_, id, outcome);
    bool retry = outcome != HEALTH_OK && outcome != HEALTH_ABANDONED && retry_tokens_[entry] >= 1;
    if (retry)
      {
        retry_tokens_[entry] -= 1;
        request.tried.push_back ((uint64_t)request.target);
        submit (id);
      }
    else
      finish_request (id, outcome == HEALTH_OK);
    process_decisions (entry);
  }

  void
  finish_request (uint64_t id, bool succeeded)
  {
    auto it = requests_.find (id);
    const Request &request = it->second;
    int64_t latency = now_ - request.arrival_us;
    if (succeeded)
      result_.successes_by_second[(size_t)(now_ / MODEL_SECOND)]++;
    if (request.arrival_us >= options_.fault_onset_us)
      {
        bool urgent = request.request.class_index == SCHEDULER_URGENT;
        result_.requests++;
        result_.failed += !succeeded;
        result_.spilled_over += request.spilled_over;
        if (succeeded)
          (urgent ? result_.urgent_us : result_.background_us).push_back (latency);
      }
    requests_.erase (it);
  }

  void
  apply_action (int entry, const service_action_t &action)
  {
    int index = (int)action.target_id;
    switch (action.kind)
      {
      case SERVICE_ACTION_EJECTED:
        record_ejection (index);
        break;
      case SERVICE_ACTION_READMITTED:
        targets_[index].ejected = false;
        break;
      case SERVICE_ACTION_PROBE:
        result_.probes++;
        run_probe (entry, index, [this, entry, index] (health_result_t result, int64_t) {
          entries_[entry]->probe_done (now_, (uint64_t)index, result);
          process_decisions (entry);
        });
        break;
      case SERVICE_ACTION_REQUEST_PEER_PROBE:
        result_.peer_probes++;
        request_peer_probe (entry, index);
        break;
      }
  }

  void
  record_ejection (int index)
  {
    Target &target = targets_[index];
    target.ejected = true;
    result_.ejections++;
    result_.false_ejections += !is_faulty (index);
    if (now_ >= options_.fault_onset_us && target.ejected_us < 0)
      target.ejected_us = now_;
    uint32_t healthy_slots = 0;
    for (const Target &other : targets_)
      healthy_slots += other.ejected ? 0 : options_.slots;
    result_.floor_violations += healthy_slots < options_.policy.service.floor_slots;
  }

  void
  run_probe (int entry, int index, const std::function<void (health_result_t, int64_t)> &report)
  {
    int64_t start = now_;
    double work = draw_lognormal (PROBE_MEDIAN_US, PROBE_DEVIATION);
    work *= amount (FaultKind::SLOW, index, 1) * cold_factor (index);
    health_result_t outcome = draw_outcome (index);
    int64_t end = end_time_us (targets_[index], work) + round_trip_us (entry, index);
    if (end - start > PROBE_TIMEOUT_US)
      {
        end = start + PROBE_TIMEOUT_US;
        outcome = HEALTH_STALLED;
      }
    schedule (end, [this, start, outcome, report] { report (outcome, now_ - start); });
  }

  void
  request_peer_probe (int entry, int index)
  {
    int other = (entry + 1 + (int)rng_uniform_int (&rng_, (uint64_t)options_.domains - 1))
                % options_.domains;
    if (loses_messages (entry))
      return;
    schedule (now_ + options_.domain_distance_us, [this, entry, other, index] {
      run_probe (other, index,
                 [this, entry, other, index] (health_result_t result, int64_t latency) {
                   health_peer_probe_t peer_probe
                       = { result == HEALTH_OK, latency - round_trip_us (other, index),
                           entries_[other]->expected_probe_latency_us (now_),
                           entries_[other]->is_normal (now_) };
                   if (loses_messages (other))
                     return;
                   schedule (now_ + options_.domain_distance_us, [this, entry, index, peer_probe] {
                     entries_[entry]->peer_probe_done (now_, (uint64_t)index, peer_probe);
                     process_decisions (entry);
                   });
                 });
    });
  }

  void
  collect_results ()
  {
    result_.target_days = (double)options_.targets * (double)options_.duration_us / 86400e6;
    for (const Fault &fault : options_.faults)
      {
        bool is_target_fault = fault.kind == FaultKind::SLOW || fault.kind == FaultKind::ERRORS
                               || fault.kind == FaultKind::WRONG;
        if (!is_target_fault || fault.index == ALL_TARGETS)
          continue;
        const Target &target = targets_[fault.index];
        int64_t last_us = std::max (target.last_dispatch_us, options_.fault_onset_us);
        bool idle = target.idle || options_.duration_us - last_us >= IDLE_PERIOD_US;
        result_.missed += !idle;
        result_.detection_us.push_back ((idle ? last_us : options_.duration_us)
                                        - options_.fault_onset_us);
        result_.not_ejected += target.ejected_us < 0;
        int64_t ejected = target.ejected_us < 0 ? options_.duration_us : target.ejected_us;
        result_.ejection_us.push_back (ejected - options_.fault_onset_us);
      }
  }

  ModelOptions options_;
  rng_t rng_;
  int64_t now_ = 0;
  uint64_t order_ = 0;
  uint64_t last_id_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event> > events_;
  std::vector<std::unique_ptr<Policy> > entries_;
  std::vector<Target> targets_;
  std::vector<double> retry_tokens_;
  std::unordered_map<uint64_t, Request> requests_;
  ModelResult result_;
};

} // namespace

ModelResult
run_model (const ModelOptions &options)
{
  return Model (options).run ();
}

int64_t
model_quantile (std::vector<int64_t> &values, double quantile)
{
  if (values.empty ())
    return 0;
  std::sort (values.begin (), values.end ());
  size_t index = (size_t)std::ceil (quantile * (double)values.size ());
  return values[std::min (values.size () - 1, index > 0 ? index - 1 : 0)];
}
