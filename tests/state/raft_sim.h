#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "fake_disk.h"
extern "C"
{
#include "raft.h"
#include "raft_wire.h"
}

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
// Identities are as long on the wire as random ones.
constexpr uint64_t FIRST_ID = (1ULL << 62) + 100;

class RaftSim;

// One instance: a disk, a clock with its own rate, and a member while it runs.
struct SimNode
{
  struct Io
  {
    raft_io_t io;
    SimNode *node;
  } io;
  struct Machine
  {
    state_machine_t machine;
    SimNode *node;
  } machine;
  RaftSim *sim;
  int slot;
  FakeDisk disk;
  raft_t raft;
  uint64_t id = 0;
  bool up = false;
  bool restart_now = false;
  bool damaged = false; // the last start was refused because of corruption
  double rate = 1;
  uint64_t applied_index = 0; // state: the last applied index and a hash over all data
  uint64_t chain = 0;
  std::map<uint64_t, std::pair<uint64_t, std::string> > proposed; // index: term, data
  std::map<uint64_t, uint64_t> reads;                             // id: index that must be visible

  SimNode (RaftSim *sim, int slot, uint64_t seed);
  int64_t now () const;
};

// A handful of members in virtual time, a queue that drops, delays, repeats and reorders their
// messages, and a checker for the promises of the log. The first violation is kept as text.
class RaftSim
{
public:
  RaftSim (uint64_t seed, int slots, bool small_snapshots);
  ~RaftSim ();

  // Founds the group with the first VOTERS slots.
  void boot (int voters);
  void run_for (int64_t us);
  // Runs until CONDITION holds; returns whether it did within LIMIT_US.
  bool run_until (const std::function<bool ()> &condition, int64_t limit_us);

  // The running leader of the highest term, or -1.
  int leader () const;
  bool propose (int slot, const std::string &data);
  bool read (int slot);
  void crash (int slot, bool power_failure);
  bool start (int slot);
  void lose_disk (int slot);
  void heal ();
  // Adds slot as a member through the leader; removes an identity.
  bool add (int slot);
  bool remove (uint64_t id);
  bool is_member (uint64_t id) const;
  // Whether ID is a voter by a committed configuration.
  bool is_voter (uint64_t id) const;
  // Whether slot runs and has committed that the voters are all running instances, and no others.
  bool knows_all_voters (int slot) const;
  // Whether no running instance has ID as a member.
  bool is_gone (uint64_t id) const;
  // Whether all members of the leader's view run and have applied everything that is committed.
  bool converged () const;
  // Ends all faults and checks that the group works: one entry is committed and applied everywhere.
  void settle ();

  std::string describe () const;
  void violate (const std::string &text);
  SimNode &
  node (int slot)
  {
    return *nodes_[slot];
  }
  int
  slots () const
  {
    return (int)nodes_.size ();
  }

  std::string violation;
  std::function<void (raft_message_t &)> tamper; // changes messages before they are sent
  std::set<std::pair<int, int> > cuts;           // one-way: from slot, to slot
  double loss = 0, duplicates = 0, slow = 0;     // probabilities per message
  double crashes_after_vote = 0;                 // probability that a voter restarts at once
  double link_us = 1000;                         // mean delay above the minimum of 200 us
  int64_t time_us = 0;
  rng_t rng;
  uint64_t messages = 0, bytes = 0, acked = 0, reads_ok = 0, leaders = 0;

  // Called by the member's vtables.
  void on_send (SimNode &from, const raft_message_t *message);
  void on_role (SimNode &node, raft_role_t role, uint64_t term);
  void on_apply (SimNode &node, uint64_t index, uint64_t term, const std::string &data);
  void on_read (SimNode &node, uint64_t read_id, bool ok);
  bool on_restore (SimNode &node, const uint8_t *data, size_t size);

private:
  struct Event
  {
    int64_t at;
    uint64_t sequence;
    int slot;
    std::string message; // empty: tick
    bool
    operator<(const Event &other) const
    {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Committed
  {
    uint64_t term, chain;
    std::string data;
  };
  void post (int64_t at, int slot, const std::string &message);
  void step ();
  void deliver (SimNode &node, const std::string &bytes);
  void check_leader_log (SimNode &node, uint64_t term);
  void check_vote (uint64_t voter, uint64_t term, uint64_t candidate);
  void after (SimNode &node);

  std::vector<std::unique_ptr<SimNode> > nodes_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0, next_id_ = FIRST_ID, next_read_ = 1;
  raft_options_t options_ = RAFT_OPTIONS_DEFAULT;
  std::map<uint64_t, int> slot_of_id_;
  std::map<uint64_t, Committed> committed_;
  std::map<uint64_t, uint64_t> leader_of_term_;
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> votes_; // voter, term: candidate
  uint64_t acked_index_ = 0;
};
