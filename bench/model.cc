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

constexpr int64_t LOCAL_LINK_US = 250;
constexpr double PROBE_US = 25000;
constexpr double PROBE_DEVIATION = 0.2;
constexpr int64_t PROBE_TIMEOUT_US = MODEL_SECOND;
constexpr int64_t SUMMARY_PERIOD_US = 500 * MODEL_MS;
constexpr int64_t ANNOUNCE_PERIOD_US = 800 * MODEL_MS;
constexpr int64_t AFTER_FAULT_US = 5 * MODEL_SECOND;
constexpr int64_t QUIET_US = 5 * MODEL_SECOND;
constexpr double COLD_FACTOR = 8;
constexpr double ERROR_TIME_SHARE = 0.1;
constexpr double RETRY_BURST = 10;

struct Target
{
  int domain = 0;
  uint32_t in_use = 0;
  bool ejected = false;
  int64_t last_dispatch_us = -1; /* not after quiet_us is set */
  int64_t ejected_us = -1;       /* first ejection after the onset */
  bool quiet = false;            /* no work for QUIET_US after last_dispatch_us */
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
  bool crossed = false;
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
  explicit Model (const ModelOptions &options) : o_ (options)
  {
    rng_init (&rng_, o_.seed * 7919 + 17);
    targets_.resize ((size_t)o_.targets);
    retry_tokens_.assign ((size_t)o_.domains, RETRY_BURST);
    result_.good_by_second.assign ((size_t)(o_.duration_us / MODEL_SECOND) + 1, 0);
    for (int i = 0; i < o_.domains; i++)
      {
        PolicyOptions policy = o_.policy;
        policy.service.seed = o_.seed * 131 + (uint64_t)i;
        entries_.push_back (make_policy (policy));
      }
  }

  ModelResult
  run ()
  {
    for (int i = 0; i < o_.targets; i++)
      {
        targets_[i].domain = i % o_.domains;
        next_pause (targets_[i], 0);
        repeat ((int64_t)rng_below (&rng_, ANNOUNCE_PERIOD_US), ANNOUNCE_PERIOD_US,
                [this, i] { announce (i); });
      }
    for (int i = 0; i < o_.domains; i++)
      {
        repeat ((int64_t)rng_below (&rng_, SUMMARY_PERIOD_US), SUMMARY_PERIOD_US,
                [this, i] { send_summaries (i); });
        repeat ((int64_t)rng_below (&rng_, ASSIGNED_SERVICE_TICK_US), ASSIGNED_SERVICE_TICK_US,
                [this, i] {
                  entries_[i]->tick (now_);
                  drain (i);
                });
      }
    at (0, [this] { arrive (); });
    at (o_.onset_us, [this] { begin_faults (); });
    while (!events_.empty () && events_.top ().time_us < o_.duration_us)
      {
        Event event = events_.top ();
        events_.pop ();
        now_ = event.time_us;
        event.run ();
      }
    collect ();
    return result_;
  }

private:
  void
  at (int64_t time_us, std::function<void ()> run)
  {
    events_.push ({ time_us, order_++, std::move (run) });
  }

  void
  repeat (int64_t first_us, int64_t period_us, const std::function<void ()> &run)
  {
    at (first_us, [this, period_us, run] {
      run ();
      repeat (now_ + period_us, period_us, run);
    });
  }

  double
  lognormal (double median, double deviation)
  {
    double a = std::sqrt (-2 * std::log (1 - rng_unit (&rng_)));
    return median * std::exp (deviation * a * std::cos (2 * M_PI * rng_unit (&rng_)));
  }

  bool
  chance (double probability)
  {
    return rng_unit (&rng_) < probability;
  }

  bool
  is_active (const Fault &fault) const
  {
    if (now_ < o_.onset_us)
      return false;
    return fault.period_us == 0 || fault.kind != FaultKind::SLOW
           || ((now_ - o_.onset_us) / fault.period_us) % 2 == 0;
  }

  bool
  hits (const Fault &fault, int target) const
  {
    return fault.index == target || fault.index == EVERY_TARGET;
  }

  double
  amount (FaultKind kind, int index, double none) const
  {
    for (const Fault &fault : o_.faults)
      {
        if (fault.kind == kind && hits (fault, index) && is_active (fault))
          return fault.amount;
      }
    return none;
  }

  double
  cold_factor (int index) const
  {
    for (const Fault &fault : o_.faults)
      {
        int64_t age = now_ - o_.onset_us;
        if (fault.kind == FaultKind::COLD && fault.index == index && age >= 0
            && age < fault.period_us)
          return 1 + (COLD_FACTOR - 1) * (1 - (double)age / (double)fault.period_us);
      }
    return 1;
  }

  /* An ejection of this target is right: it is at fault, or was a moment ago. */
  bool
  is_at_fault (int index) const
  {
    for (const Fault &fault : o_.faults)
      {
        bool counts = fault.kind == FaultKind::SLOW || fault.kind == FaultKind::ERRORS
                      || fault.kind == FaultKind::WRONG;
        if (counts && fault.index == index && now_ >= o_.onset_us)
          return fault.period_us == 0 || is_active (fault)
                 || (now_ - o_.onset_us) % fault.period_us < AFTER_FAULT_US;
      }
    return false;
  }

  void
  next_pause (Target &target, int64_t from_us)
  {
    target.pause_start_us = from_us + (int64_t)rng_exponential (&rng_, o_.pause_interval_s * 1e6);
    double length = std::min (1e6, rng_exponential (&rng_, o_.pause_us));
    target.pause_end_us = target.pause_start_us + (int64_t)length;
  }

  /* Returns when WORK_US that starts now is done, with the target's pauses. */
  int64_t
  finish_time (Target &target, double work_us)
  {
    while (target.pause_end_us <= now_)
      next_pause (target, target.pause_end_us);
    int64_t end = now_ + (int64_t)work_us;
    if (target.pause_start_us < end)
      end += target.pause_end_us - std::max (target.pause_start_us, now_);
    return end;
  }

  int64_t
  link_us (int entry, int target) const
  {
    int64_t link = targets_[target].domain == entry ? LOCAL_LINK_US : 2 * o_.distance_us;
    return link + (int64_t)amount (FaultKind::BAD_LINK, entry, 0);
  }

  bool
  is_cut (int from) const
  {
    for (const Fault &fault : o_.faults)
      {
        if (fault.kind == FaultKind::SUMMARY_LOSS && fault.index == from && now_ >= o_.onset_us)
          return true;
      }
    return false;
  }

  void
  announce (int index)
  {
    double load = (double)targets_[index].in_use / o_.slots;
    for (const Fault &fault : o_.faults)
      {
        if (fault.kind == FaultKind::FALSE_LOAD)
          load = fault.index == index ? 0 : 0.9;
      }
    int owner = targets_[index].domain;
    entries_[owner]->set_target (now_, (uint64_t)index, o_.slots, load);
    drain (owner);
  }

  void
  begin_faults ()
  {
    for (Target &target : targets_)
      target.ejected_us = target.ejected ? now_ : -1;
    for (const Fault &fault : o_.faults)
      {
        if (fault.kind != FaultKind::COLD)
          continue;
        entries_[targets_[fault.index].domain]->remove_target (now_, (uint64_t)fault.index);
        announce (fault.index);
      }
  }

  void
  send_summaries (int from)
  {
    service_summary_t summary;
    if (!entries_[from]->summary (now_, &summary))
      return;
    summary.entry_id = (uint64_t)from;
    for (int to = 0; to < o_.domains; to++)
      {
        if (to == from || is_cut (from))
          continue;
        at (now_ + o_.distance_us + (int64_t)rng_below (&rng_, 2 * MODEL_MS), [this, to, summary] {
          entries_[to]->set_peer (now_, summary, o_.distance_us);
          drain (to);
        });
      }
  }

  void
  arrive ()
  {
    bool changed = o_.rate_change_us > 0 && now_ >= o_.rate_change_us;
    double rate = changed ? o_.changed_rate : o_.rate;
    at (now_ + 1 + (int64_t)rng_exponential (&rng_, 1e6 / rate), [this] { arrive (); });

    uint64_t id = ++last_id_;
    Request &request = requests_[id];
    bool urgent = chance (o_.urgent_share);
    request.request.id = id;
    request.request.class_index = urgent ? SCHEDULER_URGENT : SCHEDULER_BACKGROUND;
    request.request.deadline_us = now_ + (urgent ? o_.urgent_timeout_us : o_.background_timeout_us);
    request.arrival_us = now_;
    request.entry = (int)rng_below (&rng_, (uint64_t)o_.domains);
    retry_tokens_[request.entry]
        = std::min (RETRY_BURST, retry_tokens_[request.entry] + o_.retry_share);
    submit (id);
  }

  void
  submit (uint64_t id)
  {
    Request &request = requests_[id];
    request.request.tried = request.tried.data ();
    request.request.tried_count = request.tried.size ();
    int entry = request.entry;
    scheduler_result_t result = entries_[entry]->submit (now_, request.request);
    if (result.decision == SCHEDULER_REFUSED)
      {
        result_.refused += now_ >= o_.onset_us;
        finish (id, false);
      }
    if (result.decision == SCHEDULER_FORWARD)
      {
        request.request.forwarded = true;
        request.crossed = true;
        request.entry = (int)result.entry_id;
        at (now_ + o_.distance_us, [this, id] { submit (id); });
      }
    drain (entry);
  }

  void
  drain (int entry)
  {
    scheduler_dispatch_t dispatch;
    service_action_t action;
    while (entries_[entry]->next (now_, &dispatch))
      {
        result_.refused += dispatch.refused && now_ >= o_.onset_us;
        if (dispatch.refused)
          finish (dispatch.request_id, false);
        else
          start (entry, dispatch.request_id, (int)dispatch.target_id);
      }
    while (entries_[entry]->action (&action))
      apply (entry, action);
  }

  void
  start (int entry, uint64_t id, int index)
  {
    Request &request = requests_[id];
    Target &target = targets_[index];
    target.in_use++;
    result_.slot_violations += target.in_use > o_.slots;
    note_dispatch (target);
    request.target = index;
    int attempt = ++request.attempt;

    double work = lognormal (o_.service_median_us, o_.service_deviation);
    work *= amount (FaultKind::SLOW, index, 1) * cold_factor (index);
    health_result_t outcome = draw_outcome (index);
    if (outcome == HEALTH_ERROR)
      work *= ERROR_TIME_SHARE;
    int64_t end = finish_time (target, work) + link_us (entry, index);
    if (end > request.request.deadline_us)
      {
        end = std::max (now_, request.request.deadline_us);
        outcome = HEALTH_ABANDONED;
      }
    at (end, [this, id, attempt, outcome] { complete (id, attempt, outcome); });
  }

  /* Remembers the last request before the first QUIET_US without any. */
  void
  note_dispatch (Target &target)
  {
    int64_t since = std::max (target.last_dispatch_us, o_.onset_us);
    target.quiet = target.quiet || (now_ >= o_.onset_us && now_ - since >= QUIET_US);
    if (!target.quiet)
      target.last_dispatch_us = now_;
  }

  health_result_t
  draw_outcome (int index)
  {
    if (chance (amount (FaultKind::ERRORS, index, 0)))
      return HEALTH_ERROR;
    return chance (amount (FaultKind::WRONG, index, 0)) ? HEALTH_WRONG_ANSWER : HEALTH_OK;
  }

  void
  complete (uint64_t id, int attempt, health_result_t outcome)
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
      finish (id, outcome == HEALTH_OK);
    drain (entry);
  }

  void
  finish (uint64_t id, bool good)
  {
    auto it = requests_.find (id);
    const Request &request = it->second;
    int64_t latency = now_ - request.arrival_us;
    if (good)
      result_.good_by_second[(size_t)(now_ / MODEL_SECOND)]++;
    if (request.arrival_us >= o_.onset_us)
      {
        bool urgent = request.request.class_index == SCHEDULER_URGENT;
        result_.requests++;
        result_.failed += !good;
        result_.crossed += request.crossed;
        if (good)
          (urgent ? result_.urgent_us : result_.background_us).push_back (latency);
      }
    requests_.erase (it);
  }

  void
  apply (int entry, const service_action_t &action)
  {
    int index = (int)action.target_id;
    switch (action.kind)
      {
      case SERVICE_ACTION_EJECTED:
        eject (index);
        break;
      case SERVICE_ACTION_READMITTED:
        targets_[index].ejected = false;
        break;
      case SERVICE_ACTION_PROBE:
        result_.probes++;
        probe (entry, index, [this, entry, index] (health_result_t result, int64_t) {
          entries_[entry]->probe_done (now_, (uint64_t)index, result);
          drain (entry);
        });
        break;
      case SERVICE_ACTION_REQUEST_PEER_PROBE:
        result_.opinions++;
        ask_opinion (entry, index);
        break;
      }
  }

  void
  eject (int index)
  {
    Target &target = targets_[index];
    target.ejected = true;
    result_.ejections++;
    result_.false_ejections += !is_at_fault (index);
    if (now_ >= o_.onset_us && target.ejected_us < 0)
      target.ejected_us = now_;
    uint32_t healthy = 0;
    for (const Target &other : targets_)
      healthy += other.ejected ? 0 : o_.slots;
    result_.floor_violations += healthy < o_.policy.service.floor_slots;
  }

  void
  probe (int entry, int index, const std::function<void (health_result_t, int64_t)> &report)
  {
    int64_t start = now_;
    double work = lognormal (PROBE_US, PROBE_DEVIATION);
    work *= amount (FaultKind::SLOW, index, 1) * cold_factor (index);
    health_result_t outcome = draw_outcome (index);
    int64_t end = finish_time (targets_[index], work) + link_us (entry, index);
    if (end - start > PROBE_TIMEOUT_US)
      {
        end = start + PROBE_TIMEOUT_US;
        outcome = HEALTH_STALLED;
      }
    at (end, [this, start, outcome, report] { report (outcome, now_ - start); });
  }

  void
  ask_opinion (int entry, int index)
  {
    int other = (entry + 1 + (int)rng_below (&rng_, (uint64_t)o_.domains - 1)) % o_.domains;
    if (is_cut (entry))
      return;
    at (now_ + o_.distance_us, [this, entry, other, index] {
      probe (other, index, [this, entry, other, index] (health_result_t result, int64_t latency) {
        health_peer_probe_t opinion
            = { result == HEALTH_OK, latency - link_us (other, index),
                entries_[other]->probe_reference_us (now_), entries_[other]->is_normal (now_) };
        if (is_cut (other))
          return;
        at (now_ + o_.distance_us, [this, entry, index, opinion] {
          entries_[entry]->opinion (now_, (uint64_t)index, opinion);
          drain (entry);
        });
      });
    });
  }

  void
  collect ()
  {
    result_.target_days = (double)o_.targets * (double)o_.duration_us / 86400e6;
    for (const Fault &fault : o_.faults)
      {
        bool counts = fault.kind == FaultKind::SLOW || fault.kind == FaultKind::ERRORS
                      || fault.kind == FaultKind::WRONG;
        if (!counts || fault.index == EVERY_TARGET)
          continue;
        const Target &target = targets_[fault.index];
        int64_t last = std::max (target.last_dispatch_us, o_.onset_us);
        bool quiet = target.quiet || o_.duration_us - last >= QUIET_US;
        result_.missed += !quiet;
        result_.detection_us.push_back ((quiet ? last : o_.duration_us) - o_.onset_us);
        result_.not_ejected += target.ejected_us < 0;
        int64_t ejected = target.ejected_us < 0 ? o_.duration_us : target.ejected_us;
        result_.ejection_us.push_back (ejected - o_.onset_us);
      }
  }

  ModelOptions o_;
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
