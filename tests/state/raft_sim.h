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
// Large, so that identities have the same encoded size as random ones.
constexpr uint64_t FIRST_ID = (1ULL << 62) + 100;

class RaftSim;

// The instance of a slot: a disk, a clock with its own rate and, while it runs, a member.
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
  bool restart_pending = false; // restart after the current call, with a power failure
  bool damaged = false;         // the last start was refused because of corruption
  double clock_rate = 1;
  int64_t busy_until_us = 0;    // end of the syncs of the last call, in simulated time
  uint64_t call_sync_count = 0; // syncs of the disk before the current call
  uint64_t applied_index = 0;   // state: the last applied index and a hash of all data
  uint64_t state_hash = 0;
  // By index: term and data.
  std::map<uint64_t, std::pair<uint64_t, std::string> > pending_proposals;
  std::map<uint64_t, uint64_t> pending_reads; // by id: index that must be visible

  SimNode (RaftSim *sim, int slot, uint64_t seed);
  int64_t now () const;
  // Returns this instance as a member; its peer address is "hSLOT:1".
  raft_member_t member () const;
};

// Simulates the members of a group in virtual time, and a network that drops, delays, duplicates
// and reorders their messages. Checks the safety properties of Raft: at most one vote per member
// and one leader per term, a leader has all committed entries, all members apply the same entries,
// and a read sees all acknowledged entries. The first violation is kept as text.
class RaftSim
{
public:
  RaftSim (uint64_t seed, int member_count, bool small_snapshots);
  ~RaftSim ();

  // Learners become voters only by raft_promote_member(). Call it before bootstrap().
  void
  use_manual_promotion ()
  {
    options_.manual_promotion = true;
  }
  // Starts all slots and bootstraps the group with the first VOTERS of them.
  void bootstrap (int voters);
  void run_for (int64_t us);
  // Runs until CONDITION holds, for at most LIMIT_US. Returns whether it holds.
  bool run_until (const std::function<bool ()> &condition, int64_t limit_us);

  // Returns the slot of the running leader with the highest term, or -1.
  int leader () const;
  bool propose (int slot, const std::string &data);
  bool request_read (int slot);
  void crash (int slot, bool power_failure);
  bool start (int slot);
  void lose_disk (int slot);
  void clear_faults ();
  // Ask the leader to add the instance of SLOT or to remove the identity ID. Return whether the
  // leader accepted the change.
  bool add_member (int slot);
  bool remove_member (uint64_t id);
  bool is_member (uint64_t id) const;
  // Returns whether the leader's configuration is committed and has ID as a voter.
  bool is_voter (uint64_t id) const;
  // Returns whether SLOT runs and its committed configuration has the current identities of all
  // slots, all as voters, and no others.
  bool knows_all_voters (int slot) const;
  // Returns the number of voters of the committed configuration that SLOT knows, or -1 if it does
  // not run, its configuration is not committed, or one of its members, also a learner, is not the
  // current identity of a running instance.
  int count_running_voters (int slot) const;
  // Returns whether all instances run and none has ID as a member.
  bool is_removed_everywhere (uint64_t id) const;
  // Returns whether the leader has committed its whole log, and all members that it knows run and
  // have applied it. Ignores the earlier identity of an instance that lost its disk.
  bool converged () const;
  // Ends all faults, starts all instances and checks that the group then commits an entry, which
  // all members apply.
  void check_recovery ();

  std::string describe () const;
  void report_violation (const std::string &text);
  SimNode &
  node (int slot)
  {
    return *nodes_[slot];
  }
  int
  member_count () const
  {
    return (int)nodes_.size ();
  }

  std::string violation;
  std::function<void (raft_message_t &)> tamper; // changes a message before it is sent
  std::set<std::pair<int, int> > cut_links; // one-way: from slot, to slot; messages are dropped
  // Probabilities per message.
  double loss_probability = 0, duplicate_probability = 0, slow_probability = 0;
  double crash_after_vote_probability = 0; // that a voter restarts after a granted vote
  double mean_link_delay_us = 1000;        // mean message delay in addition to 200 us
  int64_t sync_us = 0; // duration of a sync, during which the member does nothing else
  int64_t time_us = 0;
  rng_t rng;
  uint64_t messages = 0, bytes = 0, acked_count = 0, confirmed_reads = 0, elections_won = 0;

  // Callbacks of the member's raft_io_t and state_machine_t.
  void on_send (SimNode &from, const raft_message_t *message);
  void on_role (SimNode &node, raft_role_t role, uint64_t term);
  void on_apply (SimNode &node, uint64_t index, uint64_t term, const std::string &data);
  void on_read (SimNode &node, uint64_t read_id, bool ok);
  bool on_restore (SimNode &node, const uint8_t *data, size_t size);

private:
  struct Event
  {
    int64_t due_us;
    uint64_t sequence;
    int slot;
    std::string message; // a tick if empty
    bool
    operator<(const Event &other) const
    {
      return due_us != other.due_us ? due_us > other.due_us : sequence > other.sequence;
    }
  };
  struct CommittedEntry
  {
    uint64_t term, state_hash;
    std::string data;
  };
  void schedule (int64_t due_us, int slot, const std::string &message);
  void run_next_event ();
  int64_t end_of_syncs (const SimNode &node) const;
  void deliver (SimNode &node, const std::string &bytes);
  void check_leader_log (SimNode &node, uint64_t term);
  void check_vote (uint64_t voter, uint64_t term, uint64_t candidate);
  void crash_if_failed (SimNode &node);

  std::vector<std::unique_ptr<SimNode> > nodes_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0, next_id_ = FIRST_ID, next_read_ = 1;
  raft_options_t options_ = RAFT_OPTIONS_DEFAULT;
  std::map<uint64_t, int> slot_of_id_;
  std::map<uint64_t, CommittedEntry> committed_;
  std::map<uint64_t, uint64_t> leader_of_term_;
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> votes_; // by voter and term: candidate
  uint64_t acked_index_ = 0;
};
