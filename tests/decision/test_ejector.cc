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
update (ejector_t &e, int64_t now_us, uint32_t floor_slots, std::vector<ejector_target_t> &targets,
        const std::vector<ejector_peer_t> &peers = {})
{
  ejector_view_t view
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

// Guards against a floor that is raised but leaves targets ejected, or returns the worst first.
TEST (Ejector, RaisedFloorReadmitsLeastUnhealthyFirst)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets
      = { make_target (1, 2, true, 5), make_target (2, 2, true, 9), make_target (3, 2, true, 7),
          make_target (4, 2, false, 0), make_target (5, 2, false, 0) };
  ejector_result_t result = update (e, 10 * SECOND, 4, targets);
  EXPECT_EQ (result.ejected_slots, 6u);

  result = update (e, 11 * SECOND, 7, targets);
  std::map<uint64_t, bool> ejected = ejected_by_id (targets);
  EXPECT_EQ (result.ejected_slots, 2u);
  EXPECT_EQ (result.readmitted_count, 2u);
  EXPECT_TRUE (ejected[2]);
  EXPECT_FALSE (ejected[1]);
  EXPECT_FALSE (ejected[3]);
  EXPECT_EQ (result.held_slots, 4u);
}

// Guards against ejections that stand although healthy targets left: they must return at once.
TEST (Ejector, DepartureReadmitsAtOnce)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets;
  for (uint64_t id = 1; id <= 10; id++)
    targets.push_back (make_target (id, 2, id <= 3, (double)id));
  EXPECT_EQ (update (e, 10 * SECOND, 12, targets).ejected_slots, 6u);
  targets.erase (std::remove_if (targets.begin (), targets.end (),
                                 [] (const ejector_target_t &target) { return target.id > 7; }),
                 targets.end ());
  ejector_result_t result = update (e, 10 * SECOND + MS, 12, targets);
  EXPECT_EQ (result.ejected_slots, 2u);
  EXPECT_TRUE (ejected_by_id (targets)[3]);
}

// Guards against a silent peer that keeps counting: without its summary the own share is larger.
TEST (Ejector, OldSummaryMakesTheOwnerConservative)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets;
  for (uint64_t id = 1; id <= 5; id++)
    targets.push_back (make_target (id, 2, true, (double)id));
  std::vector<ejector_peer_t> peers = { { 1, 10 * SECOND, 10 }, { 2, 10 * SECOND, 10 } };
  EXPECT_EQ (update (e, 10 * SECOND, 20, targets, peers).budget_slots, 3u);
  EXPECT_EQ (update (e, 12 * SECOND, 20, targets, peers).budget_slots, 3u);
  EXPECT_EQ (update (e, 12 * SECOND + 1, 20, targets, peers).ejected_slots, 0u);
}

// Guards against two targets of similar badness that take turns in a small budget.
TEST (Ejector, SimilarTargetsDoNotTakeTurns)
{
  ejector_t e;
  ejector_init (&e);
  std::vector<ejector_target_t> targets
      = { make_target (1, 2, true, 10), make_target (2, 2, true, 9), make_target (3, 2, false, 0) };
  update (e, 10 * SECOND, 4, targets);
  EXPECT_TRUE (ejected_by_id (targets)[1]);
  for (ejector_target_t &target : targets)
    target.badness = target.id == 2 ? 12 : target.badness;
  update (e, 11 * SECOND, 4, targets);
  EXPECT_TRUE (ejected_by_id (targets)[1]);
  for (ejector_target_t &target : targets)
    target.badness = target.id == 2 ? 20 : target.badness;
  update (e, 12 * SECOND, 4, targets);
  EXPECT_TRUE (ejected_by_id (targets)[2]);
}

// Several owners of one service. Targets fail, join, leave and change owners, owners disagree about
// ownership for up to 3 s, and summaries are delayed, lost and cut in one direction.
class Fleet
{
public:
  // FAULT is injected between the world and the logic, to test the checker.
  enum Fault
  {
    NO_FAULT,
    SUMMARIES_NEVER_EXPIRE,
    NEW_TARGETS_COUNT_AT_ONCE
  };

  Fleet (uint64_t seed, bool with_losses, Fault fault = NO_FAULT)
      : with_losses_ (with_losses), fault_ (fault)
  {
    rng_init (&rng_, seed);
    entries_.resize (2 + rng_below (&rng_, 11));
    for (Entry &entry : entries_)
      {
        ejector_init (&entry.ejector);
        entry.offset_us = (int64_t)rng_below (&rng_, 100) * MS;
      }
    size_t target_count = entries_.size () * (1 + rng_below (&rng_, 8));
    for (size_t i = 0; i < target_count; i++)
      add_target ();
    floor_ = (uint32_t)(total () * (3 + rng_below (&rng_, 7)) / 10);
    cut_.assign (entries_.size () * entries_.size (), 0);
  }

  // Runs for DURATION_US; every decision is followed by a check.
  void
  run (int64_t duration_us)
  {
    while (now_ < duration_us)
      {
        now_ += 10 * MS;
        change_world ();
        deliver ();
        for (size_t i = 0; i < entries_.size (); i++)
          {
            if ((now_ + entries_[i].offset_us) % (500 * MS) < 10 * MS)
              send_summary (i);
            if ((now_ + entries_[i].offset_us) % (50 * MS) < 10 * MS)
              decide (i);
          }
        check ();
      }
  }

  int violations = 0;
  int64_t ejections = 0;
  uint32_t worst_deficit = 0;

private:
  struct Target
  {
    uint32_t slots;
    bool alive = true;
    bool sick = false;
    double badness = 1;
    std::map<size_t, int64_t> owners;  // entry -> owned since
    std::map<size_t, int64_t> leaving; // entry -> end of its ownership
    std::map<size_t, bool> ejected;
  };

  struct Entry
  {
    ejector_t ejector;
    int64_t offset_us = 0;
    uint32_t settled = 0;
    std::map<uint64_t, ejector_peer_t> peers;
  };

  struct Message
  {
    int64_t due_us;
    size_t to;
    ejector_peer_t summary;
  };

  bool
  chance (double probability)
  {
    return rng_unit (&rng_) < probability;
  }

  uint32_t
  total () const
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
    target.slots = 1 + (uint32_t)rng_below (&rng_, 4);
    target.owners[rng_below (&rng_, entries_.size ())] = now_;
    targets_.push_back (target);
  }

  void
  move_target (Target &target)
  {
    size_t heir = rng_below (&rng_, entries_.size ());
    if (target.owners.count (heir) != 0)
      return;
    for (auto &owner : target.owners)
      target.leaving.emplace (owner.first, now_ + (int64_t)rng_below (&rng_, 3000) * MS);
    target.owners[heir] = now_;
  }

  void
  end_old_ownership (Target &target)
  {
    for (auto it = target.leaving.begin (); it != target.leaving.end ();)
      {
        if (now_ < it->second)
          {
            ++it;
            continue;
          }
        target.owners.erase (it->first);
        target.ejected.erase (it->first);
        it = target.leaving.erase (it);
      }
  }

  void
  change_world ()
  {
    for (Target &target : targets_)
      {
        if (!target.alive)
          continue;
        end_old_ownership (target);
        if (chance (0.002))
          {
            target.sick = !target.sick;
            target.badness = 1 + rng_unit (&rng_) * 20;
          }
        if (chance (0.0002) && target.leaving.empty ())
          move_target (target);
        if (with_losses_ && chance (0.0002))
          {
            target.alive = false;
            lost_.push_back ({ now_, target.slots });
          }
      }
    if (chance (0.002))
      add_target ();
    for (int &cut : cut_)
      cut = chance (cut ? 0.002 : 0.0005) ? !cut : cut;
  }

  void
  send_summary (size_t from)
  {
    for (size_t to = 0; to < entries_.size (); to++)
      {
        if (to == from || cut_[from * entries_.size () + to] || chance (0.1))
          continue;
        int64_t delay = (int64_t)rng_below (&rng_, chance (0.1) ? 4000 : 30) * MS;
        messages_.push_back ({ now_ + delay, to, { from, now_, entries_[from].settled } });
      }
  }

  void
  deliver ()
  {
    std::deque<Message> later;
    for (const Message &message : messages_)
      {
        if (message.due_us > now_)
          {
            later.push_back (message);
            continue;
          }
        ejector_peer_t &known = entries_[message.to].peers[message.summary.entry_id];
        if (message.summary.summary_sent_us >= known.summary_sent_us)
          known = message.summary;
      }
    messages_.swap (later);
  }

  void
  decide (size_t index)
  {
    Entry &entry = entries_[index];
    std::vector<ejector_target_t> view;
    for (size_t i = 0; i < targets_.size (); i++)
      {
        Target &target = targets_[i];
        if (!target.alive || target.owners.count (index) == 0)
          continue;
        view.push_back (
            make_target (i, target.slots, target.sick, target.badness, target.ejected[index]));
        view.back ().owned_since_us
            = fault_ == NEW_TARGETS_COUNT_AT_ONCE ? -10 * SECOND : target.owners[index];
      }
    std::vector<ejector_peer_t> peers;
    for (auto &peer : entry.peers)
      {
        peers.push_back (peer.second);
        if (fault_ == SUMMARIES_NEVER_EXPIRE)
          peers.back ().summary_sent_us = now_;
      }
    ejector_result_t result = update (entry.ejector, now_, floor_, view, peers);
    entry.settled = result.settled_slots;
    ejections += (int64_t)result.ejected_count;
    for (const ejector_target_t &target : view)
      targets_[target.id].ejected[index] = target.ejected;
  }

  void
  check ()
  {
    uint32_t healthy = 0;
    for (const Target &target : targets_)
      {
        bool out = std::any_of (target.ejected.begin (), target.ejected.end (),
                                [] (const auto &entry) { return entry.second; });
        healthy += target.alive && !out ? target.slots : 0;
      }
    while (!lost_.empty () && lost_.front ().first < now_ - EJECTOR_SHARE_WINDOW_US)
      lost_.pop_front ();
    uint32_t lost = 0;
    for (const auto &loss : lost_)
      lost += loss.second;
    uint32_t due = std::min (floor_, total ());
    uint32_t deficit = due > healthy ? due - healthy : 0;
    worst_deficit = std::max (worst_deficit, deficit);
    violations += deficit > lost;
  }

  rng_t rng_;
  bool with_losses_;
  Fault fault_;
  int64_t now_ = 0;
  uint32_t floor_;
  std::vector<Entry> entries_;
  std::vector<Target> targets_;
  std::vector<int> cut_;
  std::deque<Message> messages_;
  std::deque<std::pair<int64_t, uint32_t> > lost_;
};

// Guards against owners that together eject below the floor, each within its own view.
TEST (Ejector, FloorHoldsWithDelayedAndLostSummaries)
{
  int64_t ejections = 0;
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      Fleet fleet (seed, false);
      fleet.run (30 * SECOND);
      EXPECT_EQ (fleet.violations, 0) << "seed " << seed;
      EXPECT_EQ (fleet.worst_deficit, 0u) << "seed " << seed;
      ejections += fleet.ejections;
    }
  EXPECT_GT (ejections, 3000);
  RecordProperty ("ejections", std::to_string (ejections));
}

// Guards against shares that rely on slots that died: what is missing is at most what died within
// the memory of the shares, and nothing is missing later.
TEST (Ejector, DeficitIsBoundedByWhatJustDied)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      Fleet fleet (seed, true);
      fleet.run (30 * SECOND);
      EXPECT_EQ (fleet.violations, 0) << "seed " << seed;
    }
}

// Guards against a checker that sees nothing: it must report logic without each of its two rules.
TEST (Ejector, CheckerDetectsInjectedFaults)
{
  for (Fleet::Fault fault : { Fleet::SUMMARIES_NEVER_EXPIRE, Fleet::NEW_TARGETS_COUNT_AT_ONCE })
    {
      int violations = 0;
      for (uint64_t seed = 1; seed <= 50; seed++)
        {
          Fleet fleet (seed, fault == Fleet::SUMMARIES_NEVER_EXPIRE, fault);
          fleet.run (30 * SECOND);
          violations += fleet.violations;
        }
      EXPECT_GT (violations, 0) << "fault " << fault;
    }
}

} // namespace
