#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <vector>

extern "C"
{
#include "balancer.h"
#include "request_value.h"
#include "rng.h"
}

// Replays load with insufficient capacity in virtual time: entries of a cell share targets of two
// slots and exchange load reports. Four kinds of requests compete, with the work, goals, deadlines
// and ranks of the first customer in docs/design/hard-load.md.
namespace
{
constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
constexpr int64_t REPORT_DELAY = 2 * MS;
constexpr double LATE_WORTH = 0.1;
constexpr int TEAM_COUNT = 78;

struct kind_t
{
  double work_ms; // mean
  double spread;  // standard deviation of the logarithm
  int64_t goal, deadline;
  uint32_t rank;
  bool idempotent;
  double part; // of all requests
};

const std::vector<kind_t> KINDS = {
  { 120, 0.8, 500 * MS, 1200 * MS, 1, true, 269.0 / 1242 },
  { 150, 0.5, 500 * MS, 1200 * MS, 1, false, 636.0 / 1242 },
  { 290, 0.5, 1500 * MS, 2000 * MS, 2, true, 259.0 / 1242 },
  { 93, 0.5, 300 * MS, 800 * MS, 0, false, 78.0 / 1242 },
};

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

double
worth (size_t kind)
{
  return std::pow (0.5, KINDS[kind].rank);
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
    double sum = 0;
    for (int i = 1; i <= TEAM_COUNT; i++)
      team_bounds_.push_back (sum += std::pow (i, -1.2));
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
    int64_t arrival;
    size_t entry;
    double work_us; // time that a healthy target works on it
    bool returns;   // comes back once after a refusal
    int64_t submitted;
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
  double draw_work_us (const kind_t &kind);
  double rate (size_t kind, uint64_t team) const;
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
  std::vector<double> team_bounds_;
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

void
Replay::schedule_arrival ()
{
  bool overload = now_ >= load_.overload_start && now_ < load_.overload_end;
  double work_us = 0;
  for (const kind_t &kind : KINDS)
    work_us += kind.part * kind.work_ms * 1000;
  double per_us = 2.0 * load_.targets / work_us * (overload ? load_.demand : 0.5);
  double factor = 1;
  if (overload && load_.burst_kind >= 0)
    factor += KINDS[(size_t)load_.burst_kind].part * (load_.burst_factor - 1);
  if (overload && load_.hot_team >= 0)
    factor += 6.5
              * (team_bounds_[(size_t)load_.hot_team]
                 - (load_.hot_team > 0 ? team_bounds_[(size_t)load_.hot_team - 1] : 0))
              / team_bounds_.back ();
  next_arrival_us_ += rng_exponential (&arrival_rng_, 1 / (per_us * factor));
  event_t event = {};
  event.time = (int64_t)next_arrival_us_;
  event.type = event_t::ARRIVAL;
  push (event);
}

void
Replay::arrive ()
{
  bool overload = now_ >= load_.overload_start && now_ < load_.overload_end;
  double sum = 0;
  std::vector<double> parts;
  for (size_t i = 0; i < KINDS.size (); i++)
    parts.push_back (sum += KINDS[i].part
                            * (overload && (int)i == load_.burst_kind ? load_.burst_factor : 1));
  double draw = rng_uniform_double (&arrival_rng_) * sum;
  call_t call = {};
  while (parts[call.kind] <= draw)
    call.kind++;
  std::vector<double> bounds = team_bounds_;
  if (overload && load_.hot_team >= 0)
    {
      double own = bounds[(size_t)load_.hot_team]
                   - (load_.hot_team > 0 ? bounds[(size_t)load_.hot_team - 1] : 0);
      for (size_t i = (size_t)load_.hot_team; i < bounds.size (); i++)
        bounds[i] += 6.5 * own;
    }
  draw = rng_uniform_double (&arrival_rng_) * bounds.back ();
  while (bounds[call.team] <= draw)
    call.team++;
  call.team++;
  call.arrival = now_;
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
  call.submitted = now_;
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
        result_.refused_waits.push_back (now_ - call.submitted);
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

void
add (count_t *sum, const count_t &count)
{
  sum->offered += count.offered;
  sum->served += count.served;
  sum->in_goal += count.in_goal;
}

// Returns the sum of the results of several seeds.
result_t
run_seeds (load_t load, balancer_overload_policy_t policy)
{
  result_t sum;
  for (load.seed = 1; load.seed <= 2; load.seed++)
    {
      result_t result = Replay (load, policy).run ();
      sum.value += result.value;
      add (&sum.all, result.all);
      for (auto &[kind, count] : result.kinds)
        add (&sum.kinds[kind], count);
      for (auto &[team, count] : result.teams)
        add (&sum.teams[team], count);
      sum.refused_waits.insert (sum.refused_waits.end (), result.refused_waits.begin (),
                                result.refused_waits.end ());
    }
  return sum;
}

// Compares the policies on the same load. MIN_GAIN is the least ratio of the value earned. Returns
// the result of BALANCER_OVERLOAD_VALUE.
result_t
compare (const load_t &load, double min_gain)
{
  result_t order = run_seeds (load, BALANCER_OVERLOAD_ORDER);
  result_t value = run_seeds (load, BALANCER_OVERLOAD_VALUE);
  EXPECT_GE (value.value, min_gain * order.value);
  for (auto &[kind, count] : value.kinds)
    {
      EXPECT_GE (count.share (), value.all.share () / 4) << "kind " << kind;
      for (auto &[other, other_count] : value.kinds)
        {
          if (KINDS[kind].rank < KINDS[other].rank)
            {
              EXPECT_GE (count.share (), other_count.share () - 0.05) << kind << " and " << other;
            }
        }
    }
  // Fewer requests do not tell a share.
  for (auto &[team, count] : value.teams)
    {
      if (count.offered >= 20)
        {
          EXPECT_GE (count.share (), value.all.share () / 4) << "team " << team;
        }
    }
  if (value.refused_waits.empty ())
    {
      ADD_FAILURE () << "nothing was refused";
      return value;
    }
  std::sort (value.refused_waits.begin (), value.refused_waits.end ());
  EXPECT_LE (value.refused_waits[value.refused_waits.size () * 9 / 10], 400 * MS);
  return value;
}
}

// Guards against slots that work on answers which come too late to be worth much, while requests
// that could be answered by their goal are refused or wait.
TEST (Overload, EarnsMoreWithDemandOfOneAndAHalf)
{
  load_t load;
  compare (load, 1.1);
}

// Guards against a burst of one kind that is served less often than a less urgent one, or displaces
// it altogether.
TEST (Overload, BurstOfAKindKeepsTheOrder)
{
  load_t load;
  load.demand = 1.2;
  load.burst_kind = 1;
  load.burst_factor = 2.6;
  compare (load, 1.2);
}

// Guards against estimates of the wait that take hanging targets for capacity.
TEST (Overload, HangingTargetsAreNoCapacity)
{
  load_t load;
  load.demand = 1.2;
  load.hang_share = 1.0 / 3;
  compare (load, 1.1);
}

// Guards against a team that sends 7.5 times its usual rate and displaces the others. It is the
// largest and sends three quarters of all requests.
TEST (Overload, HotTeamDoesNotDisplaceOthers)
{
  load_t load;
  load.demand = 1.2;
  load.hot_team = 0;
  load.overload_end = 7 * SECOND;
  result_t value = compare (load, 1.1);
  count_t hot = value.teams.at (1);
  count_t others = value.all;
  others.offered -= hot.offered;
  others.served -= hot.served;
  EXPECT_GE (others.share (), hot.share () + 0.1);
}

// Guards against an entry that takes the slots it uses itself for all it can get: twelve entries
// share the targets, and nothing is refused below the capacity.
TEST (Overload, LittleIsRefusedBelowTheCapacity)
{
  load_t load;
  load.demand = 0.85;
  load.entries = 12;
  result_t value = run_seeds (load, BALANCER_OVERLOAD_VALUE);
  EXPECT_LE (value.refused_waits.size (), (size_t)value.all.offered / 100);
  EXPECT_GE (value.value, 0.99 * run_seeds (load, BALANCER_OVERLOAD_ORDER).value);
}

// Guards against refused callers that are all told to return at the same time.
TEST (Overload, RefusedCallersReturnOneAfterTheOther)
{
  balancer_t balancer;
  balancer_options_t options = { 100 * MS, BALANCER_OVERLOAD_VALUE };
  balancer_target_t target = { 1, 2, BALANCER_LOCALITY_CELL, 0 };
  balancer_init (&balancer, &options, 1);
  balancer_set_target (&balancer, 0, &target);
  for (uint64_t id = 1; id <= 60; id++)
    {
      balancer_request_t request = {};
      request.id = id;
      request.goal_us = 300 * MS;
      request.deadline_us = SECOND;
      balancer_submit (&balancer, 0, &request);
    }
  std::vector<int64_t> times;
  balancer_decision_t decision;
  while (balancer_next (&balancer, 0, &decision))
    if (decision.verdict != BALANCER_DISPATCH)
      times.push_back (decision.retry_after_us);
  balancer_destroy (&balancer);
  std::sort (times.begin (), times.end ());
  ASSERT_GE (times.size (), 40u);
  EXPECT_GE (times.back () - times.front (), SECOND);
  for (size_t i = 0; i + 15 < times.size (); i++)
    EXPECT_GE (times[i + 15] - times[i], 100 * MS);
}

// Guards against a measure of worth by which a late, a long or a less urgent request earns more.
TEST (Overload, LateLongAndLessUrgentEarnLess)
{
  request_value_input_t input = {};
  input.goal_us = 500 * MS;
  input.deadline_us = 1200 * MS;
  input.work_us = 150 * MS;
  input.work_deviation_us = 60 * MS;
  request_value_t now = request_value_estimate (&input, 0);
  request_value_t later = request_value_estimate (&input, 400 * MS);
  EXPECT_GT (now.in_goal, 0.95);
  EXPECT_LT (later.in_goal, 0.5);
  EXPECT_GT (later.earned, REQUEST_VALUE_MIN_LATE_SHARE / 2);
  EXPECT_LT (request_value_estimate (&input, 1200 * MS).earned, 0.001);
  request_value_input_t less_urgent = input;
  less_urgent.rank = 1;
  EXPECT_NEAR (request_value_estimate (&less_urgent, 0).earned, now.earned / 2, 0.001);
  request_value_input_t longer = input;
  longer.work_us = 290 * MS;
  EXPECT_LT (request_value_estimate (&longer, 0).earned_per_us, now.earned_per_us);
}
