#pragma once

#include <vector>

#include "raft_sim.h"

extern "C"
{
#include "group_repair.h"
}

// A lost disk counts as lost until the instance has been up and connected for this long.
constexpr int64_t CATCH_UP_US = 6 * SECOND;
// Time after the last fault within which the group must serve again.
constexpr int64_t RECOVERY_US = 15 * SECOND;
// Time from the signal of a planned stop to the end of the process.
constexpr int64_t GRACE_US = 6 * SECOND;

struct RepairSimOptions
{
  uint64_t seed;
  int slots;             // instances that may run
  int seeds;             // the first slots, which found the group
  int initial_instances; // the first slots, which run at first; the other ones are new later
  size_t wanted_voter_count;
};

// A control group that keeps its members complete by group_repair, in virtual time. Requests to
// join and to leave arrive at once unless the link is cut. Proposes entries all the time.
class RepairSim
{
public:
  explicit RepairSim (const RepairSimOptions &options);

  void run_for (int64_t us);
  // Starts a new instance with an empty disk.
  void start_new (int slot);
  // Begins a planned stop, after which the instance does not return.
  void stop (int slot);
  // The instance is down for DOWN_US and then starts again.
  void lose_power (int slot, int64_t down_us);
  void lose_disk (int slot, int64_t down_us);
  // Drops the messages that SLOT sends (OUTWARDS) or receives.
  void cut (int slot, bool outwards);
  // Runs until an entry is acknowledged, or for a second.
  void await_acknowledgement ();
  // Reports a violation if no entry is acknowledged within a second.
  void check_service (const std::string &when);
  // Reports a violation if the voters are not the current identities of running instances, as many
  // as are wanted.
  void check_voters (const std::string &when);
  // Returns whether the instance runs, is down for a while, or has still to start. False after its
  // planned stop.
  bool
  exists (int slot) const
  {
    return state_[slot] != ABSENT;
  }

  // Returns whether a running instance knows SLOT as a voter, perhaps of a configuration that is
  // not committed.
  bool may_be_voter (int slot);

  RaftSim sim;

private:
  enum State
  {
    ABSENT, // not started yet, or stopped for good
    PRESENT,
    STOPPING,
  };

  void init_repair (int slot);
  bool reaches (int from, int to);
  void change_membership (int slot);
  void receive_request (int slot, group_repair_request_t request, const raft_member_t &member,
                        int sender);
  bool has_earlier_identity_at (int leader, int slot);
  void send_request (int slot, group_repair_request_t request);
  void tick (int slot);
  void tick_stop (int slot);
  void restart (int slot);

  RepairSimOptions options_;
  std::vector<group_repair_t> repairs_;
  std::vector<State> state_;
  std::vector<int64_t> restart_us_;
  // An instance is among the seeds that others know while it is one of the first that are listed.
  std::vector<int64_t> listed_from_us_;
  std::vector<int64_t> listed_until_us_;
  std::vector<int64_t> stop_us_; // time of the signal
  std::vector<int> phases_;      // of the ticks, in steps
  std::vector<bool> may_stop_;
  int proposals_ = 0;
  int step_ = 0;
};
