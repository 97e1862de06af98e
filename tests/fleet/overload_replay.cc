#include "overload_replay.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <queue>

extern "C"
{
#include "rng.h"
}

const std::vector<kind_t> KINDS = {
  { 120, 0.8, 500 * MS, 1200 * MS, 1, true, 269.0 / 1242 },
  { 150, 0.5, 500 * MS, 1200 * MS, 1, false, 636.0 / 1242 },
  { 290, 0.5, 1500 * MS, 2000 * MS, 2, true, 259.0 / 1242 },
  { 93, 0.5, 300 * MS, 800 * MS, 0, false, 78.0 / 1242 },
};

namespace
{
constexpr int64_t REPORT_DELAY = 2 * MS;
constexpr double LATE_WORTH = 0.1;
constexpr int TEAM_COUNT = 78;

double
worth (size_t kind)
{
  return std::pow (0.5, KINDS[kind].rank);
}

double
sum_of (const std::vector<double> &values)
{
  return std::accumulate (values.begin (), values.end (), 0.0);
}

class Replay
{
public:
  Replay (const load_t &load, balancer_overload_policy_t policy) : load_ (load)
  {
    rng_init (&arrival_rng_, load.seed);
    rng_init (&hang_rng_, load.seed + 1000);
    for (int i = 0; i < load.entries; i++)
      {
        balancer_options_t options = { 150 * MS, policy };
        entries_.push_back (std::make_unique<balancer_t> ());
        balancer_init (entries_.back ().get (), &options, load.seed * 100 + (uint64_t)i);
        for (uint64_t id = 1; id <= (uint64_t)load.targets; id++)
          {
            balancer_target_t target = { id, 2, BALANCER_LOCALITY_CELL, 0 };
            balancer_set_target (entries_.back ().get (), 0, &target);
          }
      }
    hang_until_.resize ((size_t)load.targets + 1);
    running_.resize ((size_t)load.targets + 1);
  }
  ~Replay ()
  {
    for (auto &entry : entries_)
      balancer_destroy (entry.get ());
  }
  result_t run ();

private:
  struct call_t
  {
    size_t kind;
    uint64_t team;
    size_t entry;
    double work_us; // time that a healthy target works on it
    bool returns;   // comes back once after a refusal
    int64_t dispatched;
    int tries;
    bool measured;
    balancer_request_t request;
  };
  struct event_t
  {
    int64_t time;
    uint64_t order;
    enum
    {
      ARRIVAL,
      RETURN,
      END,
      TICK,
      REPORT,
      HANG
    } type;
    uint64_t id;
    balancer_outcome_t outcome;
    size_t entry;
    balancer_load_report_t report;
    bool
    operator> (const event_t &other) const
    {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void
  push (event_t event)
  {
    event.order = ++event_count_;
    events_.push (event);
  }
  bool
  is_overload () const
  {
    return now_ >= load_.overload_start && now_ < load_.overload_end;
  }
  std::vector<double> kind_rates (bool overload) const;
  std::vector<double> team_rates (bool overload) const;
  size_t draw_index (const std::vector<double> &rates);
  double draw_work_us (const kind_t &kind);
  void schedule_arrival ();
  void arrive ();
  void submit (uint64_t id);
  void pump (size_t entry);
  void decide (size_t entry, const balancer_decision_t &decision);
  void end (const event_t &event);

  load_t load_;
  result_t result_;
  rng_t arrival_rng_, hang_rng_; // apart, so that all policies get the same load
  std::vector<std::unique_ptr<balancer_t> > entries_;
  std::vector<int64_t> hang_until_;
  std::vector<int> running_;
  std::map<uint64_t, call_t> calls_;
  std::priority_queue<event_t, std::vector<event_t>, std::greater<event_t> > events_;
  uint64_t event_count_ = 0, next_id_ = 0;
  int64_t now_ = 0;
  double next_arrival_us_ = 0;
};

double
Replay::draw_work_us (const kind_t &kind)
{
  double normal = std::sqrt (-2 * std::log (1 - rng_uniform_double (&arrival_rng_)))
                  * std::cos (2 * M_PI * rng_uniform_double (&arrival_rng_));
  return kind.work_ms * 1000 * std::exp (kind.spread * normal - kind.spread * kind.spread / 2);
}

std::vector<double>
Replay::kind_rates (bool overload) const
{
  std::vector<double> rates;
  for (size_t i = 0; i < KINDS.size (); i++)
    rates.push_back (KINDS[i].part
                     * (overload && (int)i == load_.burst_kind ? load_.burst_factor : 1));
  return rates;
}

std::vector<double>
Replay::team_rates (bool overload) const
{
  std::vector<double> rates;
  for (int i = 0; i < TEAM_COUNT; i++)
    rates.push_back (std::pow (i + 1, -1.2) * (overload && i == load_.hot_team ? 7.5 : 1));
  return rates;
}

size_t
Replay::draw_index (const std::vector<double> &rates)
{
  double draw = rng_uniform_double (&arrival_rng_) * sum_of (rates);
  size_t index = 0;
  while (index + 1 < rates.size () && draw >= rates[index])
    draw -= rates[index++];
  return index;
}

void
Replay::schedule_arrival ()
{
  bool overload = is_overload ();
  double work_us = 0;
  for (const kind_t &kind : KINDS)
    work_us += kind.part * kind.work_ms * 1000;
  double per_us = 2.0 * load_.targets / work_us * (overload ? load_.demand : 0.5);
  per_us *= sum_of (kind_rates (overload)) / sum_of (kind_rates (false));
  per_us *= sum_of (team_rates (overload)) / sum_of (team_rates (false));
  next_arrival_us_ += rng_exponential (&arrival_rng_, 1 / per_us);
  event_t event = {};
  event.time = (int64_t)next_arrival_us_;
  event.type = event_t::ARRIVAL;
  push (event);
}

void
Replay::arrive ()
{
  bool overload = is_overload ();
  call_t call = {};
  call.kind = draw_index (kind_rates (overload));
  call.team = draw_index (team_rates (overload)) + 1;
  call.entry = rng_uniform_int (&arrival_rng_, (uint64_t)load_.entries);
  call.work_us = draw_work_us (KINDS[call.kind]);
  call.returns = rng_uniform_double (&arrival_rng_) < load_.return_share;
  call.measured = overload;
  uint64_t id = ++next_id_;
  calls_[id] = call;
  if (overload)
    {
      result_.all.offered++;
      result_.kinds[call.kind].offered++;
      result_.teams[call.team].offered++;
    }
  submit (id);
  schedule_arrival ();
}

void
Replay::submit (uint64_t id)
{
  call_t &call = calls_[id];
  const kind_t &kind = KINDS[call.kind];
  call.request = {};
  call.request.id = id;
  call.request.kind = call.kind + 1;
  call.request.team = call.team;
  call.request.rank = kind.rank;
  call.request.received_us = now_;
  call.request.goal_us = now_ + kind.goal;
  call.request.deadline_us = now_ + kind.deadline;
  call.request.idempotent = kind.idempotent;
  balancer_submit (entries_[call.entry].get (), now_, &call.request);
  pump (call.entry);
}

void
Replay::pump (size_t entry)
{
  balancer_decision_t decision;
  while (balancer_next (entries_[entry].get (), now_, &decision))
    decide (entry, decision);
  g_autoptr (GArray) reports = g_array_new (FALSE, FALSE, sizeof (balancer_load_report_t));
  balancer_take_load_reports (entries_[entry].get (), reports);
  for (guint i = 0; i < reports->len; i++)
    {
      event_t event = {};
      event.time = now_ + REPORT_DELAY;
      event.type = event_t::REPORT;
      event.entry = entry;
      event.report = g_array_index (reports, balancer_load_report_t, i);
      push (event);
    }
}

void
Replay::decide (size_t entry, const balancer_decision_t &decision)
{
  call_t &call = calls_[decision.request_id];
  event_t event = {};
  event.id = decision.request_id;
  event.entry = entry;
  if (decision.verdict != BALANCER_DISPATCH)
    {
      if (call.measured)
        result_.refused_waits.push_back (now_ - call.request.received_us);
      if (call.tries++ == 0 && call.returns)
        {
          event.type = event_t::RETURN;
          event.time = now_ + decision.retry_after_us;
          push (event);
          return;
        }
      calls_.erase (decision.request_id);
      return;
    }
  event.type = event_t::END;
  call.dispatched = now_;
  uint64_t target = decision.target_id;
  bool shed = running_[target] >= 2;
  running_[target]++;
  call.request.tried[0] = target;
  if (shed)
    {
      event.outcome = BALANCER_SHED;
      event.time = now_ + MS;
    }
  else if (now_ < hang_until_[target])
    {
      event.outcome = BALANCER_LATE;
      event.time = call.request.deadline_us;
    }
  else
    {
      event.outcome = BALANCER_OK;
      event.time = now_ + (int64_t)call.work_us;
      if (event.time > call.request.deadline_us)
        {
          event.time = call.request.deadline_us;
          event.outcome = BALANCER_LATE;
        }
    }
  event.time = std::max (event.time, now_ + MS);
  push (event);
}

void
Replay::end (const event_t &event)
{
  call_t call = calls_[event.id];
  running_[call.request.tried[0]]--;
  balancer_finish (entries_[event.entry].get (), now_, event.id, event.outcome,
                   now_ - call.dispatched);
  if (event.outcome == BALANCER_SHED && now_ < call.request.deadline_us)
    {
      calls_[event.id].request.tried_count = 1;
      balancer_submit (entries_[event.entry].get (), now_, &calls_[event.id].request);
      pump (event.entry);
      return;
    }
  calls_.erase (event.id);
  if (call.measured)
    {
      bool served = event.outcome == BALANCER_OK;
      bool in_goal = served && now_ <= call.request.goal_us;
      result_.value += served ? worth (call.kind) * (in_goal ? 1 : LATE_WORTH) : 0;
      for (count_t *count : { &result_.all, &result_.kinds[call.kind], &result_.teams[call.team] })
        {
          count->served += served;
          count->in_goal += in_goal;
        }
    }
  pump (event.entry);
}

result_t
Replay::run ()
{
  event_t first = {};
  first.type = event_t::TICK;
  push (first);
  if (load_.hang_share > 0)
    {
      first.type = event_t::HANG;
      push (first);
    }
  schedule_arrival ();
  int64_t stop = load_.overload_end + 4 * SECOND;
  while (!events_.empty () && events_.top ().time < stop)
    {
      event_t event = events_.top ();
      events_.pop ();
      now_ = event.time;
      switch (event.type)
        {
        case event_t::ARRIVAL:
          arrive ();
          break;
        case event_t::RETURN:
          submit (event.id);
          break;
        case event_t::END:
          end (event);
          break;
        case event_t::REPORT:
          for (size_t i = 0; i < entries_.size (); i++)
            if (i != event.entry)
              {
                balancer_apply_load_report (entries_[i].get (), now_, event.entry + 1,
                                            &event.report);
                pump (i);
              }
          break;
        case event_t::HANG:
          for (int id = 1; id <= load_.targets; id++)
            if (rng_uniform_double (&hang_rng_) < load_.hang_share / 6)
              hang_until_[(size_t)id] = now_ + 3 * SECOND;
          event.time += SECOND / 2;
          push (event);
          break;
        case event_t::TICK:
          for (size_t i = 0; i < entries_.size (); i++)
            {
              balancer_tick (entries_[i].get (), now_);
              pump (i);
            }
          event.time += 50 * MS;
          push (event);
          break;
        }
    }
  return result_;
}
}

result_t
run_overload (const load_t &load, balancer_overload_policy_t policy)
{
  return Replay (load, policy).run ();
}
