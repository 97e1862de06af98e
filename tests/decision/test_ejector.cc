#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

extern "C"
{
#include "ejector.h"
#include "rng.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;

ejector_target_t
make_target (uint64_t id, uint32_t slots, bool wanted, double badness, bool ejected = false)
{
  ejector_target_t target = {};
  target.id = id;
  target.slots = slots;
  target.wants_ejection = wanted;
  target.badness = badness;
  target.ejected = ejected;
  return target;
}

ejector_result_t
update_ejector (ejector_t &e, int64_t now_us, uint32_t floor_slots,
                std::vector<ejector_target_t> &targets,
                const std::vector<ejector_peer_t> &peers = {})
{
  ejector_input_t view
      = { floor_slots, targets.data (), targets.size (), peers.data (), peers.size () };
  return ejector_update (&e, now_us, &view);
}

std::map<uint64_t, bool>
ejected_by_id (const std::vector<ejector_target_t> &targets)
{
  std::map<uint64_t, bool> ejected;
  for (const ejector_target_t &target : targets)
    ejected[target.id] = target.ejected;
  return ejected;
}

// Guards against a raised floor that readmits too few targets, or the worst target first.
TEST (Ejector, RaisedFloorReadmitsLeastUnhealthyFirst)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets
      = { make_target (1, 2, true, 5), make_target (2, 2, true, 9), make_target (3, 2, true, 7),
          make_target (4, 2, false, 0), make_target (5, 2, false, 0) };
  ejector_result_t result = update_ejector (e, 10 * SECOND, 4, targets);
  EXPECT_EQ (result.ejected_slots, 6u);

  result = update_ejector (e, 11 * SECOND, 7, targets);
  std::map<uint64_t, bool> ejected = ejected_by_id (targets);
  EXPECT_EQ (result.ejected_slots, 2u);
  EXPECT_EQ (result.readmitted_count, 2u);
  EXPECT_TRUE (ejected[2]);
  EXPECT_FALSE (ejected[1]);
  EXPECT_FALSE (ejected[3]);
  EXPECT_EQ (result.held_slots, 4u);
}

// Guards against ejections that exceed the budget after healthy targets have left.
TEST (Ejector, DepartureOfHealthyTargetsReadmitsAtOnce)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets;
  for (uint64_t id = 1; id <= 10; id++)
    targets.push_back (make_target (id, 2, id <= 3, (double)id));
  EXPECT_EQ (update_ejector (e, 10 * SECOND, 12, targets).ejected_slots, 6u);
  targets.erase (std::remove_if (targets.begin (), targets.end (),
                                 [] (const ejector_target_t &target) { return target.id > 7; }),
                 targets.end ());
  ejector_result_t result = update_ejector (e, 10 * SECOND + MS, 12, targets);
  EXPECT_EQ (result.ejected_slots, 2u);
  EXPECT_TRUE (ejected_by_id (targets)[3]);
}

// Guards against counting the slots of a peer whose summary has expired: the own share of the floor
// would stay too small, and the owner could eject too many targets.
TEST (Ejector, ExpiredSummaryRaisesTheOwnShare)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets;
  for (uint64_t id = 1; id <= 5; id++)
    targets.push_back (make_target (id, 2, true, (double)id));
  std::vector<ejector_peer_t> peers = { { 1, 10 * SECOND, 10 }, { 2, 10 * SECOND, 10 } };
  EXPECT_EQ (update_ejector (e, 10 * SECOND, 20, targets, peers).budget_slots, 3u);
  EXPECT_EQ (update_ejector (e, 12 * SECOND, 20, targets, peers).budget_slots, 3u);
  EXPECT_EQ (update_ejector (e, 12 * SECOND + 1, 20, targets, peers).ejected_slots, 0u);
}

// Guards against two targets of similar badness that replace each other as the ejected one, because
// the budget suffices for only one.
TEST (Ejector, TargetsOfSimilarBadnessDoNotAlternate)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets
      = { make_target (1, 2, true, 10), make_target (2, 2, true, 9), make_target (3, 2, false, 0) };
  update_ejector (e, 10 * SECOND, 4, targets);
  EXPECT_TRUE (ejected_by_id (targets)[1]);
  for (ejector_target_t &target : targets)
    target.badness = target.id == 2 ? 12 : target.badness;
  update_ejector (e, 11 * SECOND, 4, targets);
  EXPECT_TRUE (ejected_by_id (targets)[1]);
  for (ejector_target_t &target : targets)
    target.badness = target.id == 2 ? 20 : target.badness;
  update_ejector (e, 12 * SECOND, 4, targets);
  EXPECT_TRUE (ejected_by_id (targets)[2]);
}

// Simulates several assigned entries that own the targets of one service. Targets fail, join, die
// and change owners, entries disagree about ownership for up to 3 s, and summaries are delayed,
// lost at random, or lost in one direction while a link is cut.
class OwnerSimulation
{
public:
  // Wrong inputs to the ejector, which check_floor() must detect.
  enum Fault
  {
    NO_FAULT,
    SUMMARIES_NEVER_EXPIRE,
    NO_SETTLING_TIME
  };

  OwnerSimulation (uint64_t seed, bool targets_die, Fault fault = NO_FAULT)
      : targets_die_ (targets_die), fault_ (fault)
  {
    rng_init (&rng_, seed);
    entries_.resize (2 + rng_uniform_int (&rng_, 11));
    for (Entry &entry : entries_)
      {
        ejector_init (&entry.ejector);
        entry.phase_us = (int64_t)rng_uniform_int (&rng_, 100) * MS;
      }
    size_t target_count = entries_.size () * (1 + rng_uniform_int (&rng_, 8));
    for (size_t i = 0; i < target_count; i++)
      add_target ();
    floor_slots_ = (uint32_t)(total_live_slots () * (3 + rng_uniform_int (&rng_, 7)) / 10);
    link_is_cut_.assign (entries_.size () * entries_.size (), 0);
  }

  // Simulates DURATION_US in steps of 10 ms and checks the floor after each step.
  void
  simulate (int64_t duration_us)
  {
    while (now_us_ < duration_us)
      {
        now_us_ += 10 * MS;
        apply_random_changes ();
        deliver_summaries ();
        for (size_t i = 0; i < entries_.size (); i++)
          {
            if ((now_us_ + entries_[i].phase_us) % (500 * MS) < 10 * MS)
              send_summary (i);
            if ((now_us_ + entries_[i].phase_us) % (50 * MS) < 10 * MS)
              update_entry (i);
          }
        check_floor ();
      }
  }

  int violation_count = 0;
  int64_t ejection_count = 0;
  uint32_t max_missing_slots = 0;

private:
  struct Target
  {
    uint32_t slots;
    bool alive = true;
    bool unhealthy = false;
    double badness = 1;
    std::map<size_t, int64_t> owners;        // entry -> start of its ownership
    std::map<size_t, int64_t> ending_owners; // entry -> end of its ownership
    std::map<size_t, bool> ejected;
  };

  struct Entry
  {
    ejector_t ejector;
    int64_t phase_us = 0;
    uint32_t last_settled_slots = 0;
    std::map<uint64_t, ejector_peer_t> peers;
  };

  struct SummaryInTransit
  {
    int64_t arrival_us;
    size_t to;
    ejector_peer_t summary;
  };

  bool
  random_bool (double probability)
  {
    return rng_uniform_double (&rng_) < probability;
  }

  uint32_t
  total_live_slots () const
  {
    uint32_t slots = 0;
    for (const Target &target : targets_)
      slots += target.alive ? target.slots : 0;
    return slots;
  }

  void
  add_target ()
  {
    Target target;
    target.slots = 1 + (uint32_t)rng_uniform_int (&rng_, 4);
    target.owners[rng_uniform_int (&rng_, entries_.size ())] = now_us_;
    targets_.push_back (target);
  }

  void
  move_target (Target &target)
  {
    size_t new_owner = rng_uniform_int (&rng_, entries_.size ());
    if (target.owners.count (new_owner) != 0)
      return;
    for (auto &owner : target.owners)
      target.ending_owners.emplace (owner.first,
                                    now_us_ + (int64_t)rng_uniform_int (&rng_, 3000) * MS);
    target.owners[new_owner] = now_us_;
  }

  void
  end_old_ownership (Target &target)
  {
    for (auto it = target.ending_owners.begin (); it != target.ending_owners.end ();)
      {
        if (now_us_ < it->second)
          {
            ++it;
            continue;
          }
        target.owners.erase (it->first);
        target.ejected.erase (it->first);
        it = target.ending_owners.erase (it);
      }
  }

  void
  apply_random_changes ()
  {
    for (Target &target : targets_)
      {
        if (!target.alive)
          continue;
        end_old_ownership (target);
        if (random_bool (0.002))
          {
            target.unhealthy = !target.unhealthy;
            target.badness = 1 + rng_uniform_double (&rng_) * 20;
          }
        if (random_bool (0.0002) && target.ending_owners.empty ())
          move_target (target);
        if (targets_die_ && random_bool (0.0002))
          {
            target.alive = false;
            recent_losses_.push_back ({ now_us_, target.slots });
          }
      }
    if (random_bool (0.002))
      add_target ();
    for (int &is_cut : link_is_cut_)
      is_cut = random_bool (is_cut ? 0.002 : 0.0005) ? !is_cut : is_cut;
  }

  void
  send_summary (size_t from)
  {
    for (size_t to = 0; to < entries_.size (); to++)
      {
        if (to == from || link_is_cut_[from * entries_.size () + to] || random_bool (0.1))
          continue;
        int64_t delay_us = (int64_t)rng_uniform_int (&rng_, random_bool (0.1) ? 4000 : 30) * MS;
        messages_.push_back (
            { now_us_ + delay_us, to, { from, now_us_, entries_[from].last_settled_slots } });
      }
  }

  void
  deliver_summaries ()
  {
    std::deque<SummaryInTransit> undelivered;
    for (const SummaryInTransit &message : messages_)
      {
        if (message.arrival_us > now_us_)
          {
            undelivered.push_back (message);
            continue;
          }
        ejector_peer_t &stored_summary = entries_[message.to].peers[message.summary.entry_id];
        if (message.summary.summary_sent_us >= stored_summary.summary_sent_us)
          stored_summary = message.summary;
      }
    messages_.swap (undelivered);
  }

  void
  update_entry (size_t entry_index)
  {
    Entry &entry = entries_[entry_index];
    std::vector<ejector_target_t> view;
    for (size_t i = 0; i < targets_.size (); i++)
      {
        Target &target = targets_[i];
        if (!target.alive || target.owners.count (entry_index) == 0)
          continue;
        view.push_back (make_target (i, target.slots, target.unhealthy, target.badness,
                                     target.ejected[entry_index]));
        view.back ().owned_since_us
            = fault_ == NO_SETTLING_TIME ? -10 * SECOND : target.owners[entry_index];
      }
    std::vector<ejector_peer_t> peers;
    for (auto &peer : entry.peers)
      {
        peers.push_back (peer.second);
        if (fault_ == SUMMARIES_NEVER_EXPIRE)
          peers.back ().summary_sent_us = now_us_;
      }
    ejector_result_t result = update_ejector (entry.ejector, now_us_, floor_slots_, view, peers);
    entry.last_settled_slots = result.settled_slots;
    ejection_count += (int64_t)result.ejected_count;
    for (const ejector_target_t &target : view)
      targets_[target.id].ejected[entry_index] = target.ejected;
  }

  void
  check_floor ()
  {
    uint32_t slots_in_service = 0;
    for (const Target &target : targets_)
      {
        bool is_ejected = std::any_of (target.ejected.begin (), target.ejected.end (),
                                       [] (const auto &entry) { return entry.second; });
        slots_in_service += target.alive && !is_ejected ? target.slots : 0;
      }
    while (!recent_losses_.empty ()
           && recent_losses_.front ().first < now_us_ - EJECTOR_SHARE_WINDOW_US)
      recent_losses_.pop_front ();
    uint32_t recently_lost_slots = 0;
    for (const auto &loss : recent_losses_)
      recently_lost_slots += loss.second;
    uint32_t required_slots = std::min (floor_slots_, total_live_slots ());
    uint32_t missing_slots
        = required_slots > slots_in_service ? required_slots - slots_in_service : 0;
    max_missing_slots = std::max (max_missing_slots, missing_slots);
    violation_count += missing_slots > recently_lost_slots;
  }

  rng_t rng_;
  bool targets_die_;
  Fault fault_;
  int64_t now_us_ = 0;
  uint32_t floor_slots_;
  std::vector<Entry> entries_;
  std::vector<Target> targets_;
  std::vector<int> link_is_cut_;
  std::deque<SummaryInTransit> messages_;
  std::deque<std::pair<int64_t, uint32_t> > recent_losses_;
};

// Guards against owners that together leave fewer slots than the floor in service, although each
// keeps its own share.
TEST (Ejector, FloorHoldsWithDelayedAndLostSummaries)
{
  int64_t ejection_count = 0;
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      OwnerSimulation simulation (seed, false);
      simulation.simulate (30 * SECOND);
      EXPECT_EQ (simulation.violation_count, 0) << "seed " << seed;
      EXPECT_EQ (simulation.max_missing_slots, 0u) << "seed " << seed;
      ejection_count += simulation.ejection_count;
    }
  EXPECT_GT (ejection_count, 3000);
  RecordProperty ("ejections", std::to_string (ejection_count));
}

// Guards against shares that rely on the slots of dead targets. At most the slots that died within
// the last EJECTOR_SHARE_WINDOW_US may be missing from the floor, and none later.
TEST (Ejector, DeficitIsBoundedByRecentTargetLosses)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      OwnerSimulation simulation (seed, true);
      simulation.simulate (30 * SECOND);
      EXPECT_EQ (simulation.violation_count, 0) << "seed " << seed;
    }
}

// Guards against a check that misses violations: it must find some if summaries never expire, and
// if new targets count as settled at once.
TEST (Ejector, CheckerDetectsInjectedFaults)
{
  for (OwnerSimulation::Fault fault :
       { OwnerSimulation::SUMMARIES_NEVER_EXPIRE, OwnerSimulation::NO_SETTLING_TIME })
    {
      int violation_count = 0;
      for (uint64_t seed = 1; seed <= 50; seed++)
        {
          OwnerSimulation simulation (seed, fault == OwnerSimulation::SUMMARIES_NEVER_EXPIRE,
                                      fault);
          simulation.simulate (30 * SECOND);
          violation_count += simulation.violation_count;
        }
      EXPECT_GT (violation_count, 0) << "fault " << fault;
    }
}

} // namespace
