#include "raft_sim.h"

#include <algorithm>
#include <cstring>
#include <sstream>

extern "C"
{
#include "raft_internal.h"
}

static SimNode *
node_of (raft_io_t *io)
{
  return reinterpret_cast<SimNode::Io *> (io)->node;
}

static SimNode *
node_of (state_machine_t *machine)
{
  return reinterpret_cast<SimNode::Machine *> (machine)->node;
}

static const raft_io_ops_t io_ops = {
  [] (raft_io_t *io, const raft_message_t *m) { node_of (io)->sim->on_send (*node_of (io), m); },
  [] (raft_io_t *io, raft_role_t role, uint64_t term, uint64_t) {
    node_of (io)->sim->on_role (*node_of (io), role, term);
  },
  [] (raft_io_t *io, uint64_t id, bool ok) { node_of (io)->sim->on_read (*node_of (io), id, ok); },
};

static const state_machine_ops_t machine_ops = {
  [] (state_machine_t *machine, uint64_t index, uint64_t term, const uint8_t *data, size_t size) {
    SimNode *node = node_of (machine);
    node->sim->on_apply (*node, index, term, std::string ((const char *)data, size));
  },
  [] (state_machine_t *machine, GByteArray *out) {
    bytes_put_u64 (out, node_of (machine)->applied_index);
    bytes_put_u64 (out, node_of (machine)->state_hash);
    for (int i = 0; i < 40; i++)
      bytes_put_u64 (out, i); // padding, so that a snapshot is sent in several chunks
  },
  [] (state_machine_t *machine, const uint8_t *data, size_t size, anv_error_t *) {
    return node_of (machine)->sim->on_restore (*node_of (machine), data, size);
  },
};

SimNode::SimNode (RaftSim *owner, int number, uint64_t seed)
    : io{ { &io_ops, nullptr, nullptr }, this }, machine{ { &machine_ops }, this }, sim (owner),
      slot (number), disk (seed)
{
  io.io.store = disk.store ();
  io.io.machine = &machine.machine;
}

int64_t
SimNode::now () const
{
  return SECOND + slot * 17 * SECOND + (int64_t)((double)sim->time_us * clock_rate);
}

raft_member_t
SimNode::member () const
{
  raft_member_t member = {};
  member.id = id;
  g_snprintf (member.name, sizeof (member.name), "h%d:1/h%d:2", slot, slot);
  return member;
}

RaftSim::RaftSim (uint64_t seed, int member_count, bool small_snapshots)
{
  rng_init (&rng, seed);
  options_.name = "g";
  options_.group = 7;
  if (small_snapshots)
    {
      options_.snapshot_interval_entries = 12;
      options_.trailing_entries = 4;
      options_.min_segment_bytes = 400;
      options_.max_batch_bytes = 128;
    }
  for (int i = 0; i < member_count; i++)
    {
      nodes_.push_back (std::make_unique<SimNode> (this, i, rng_next (&rng)));
      schedule ((int64_t)rng_uniform_int (&rng, 20 * MS), i, "");
    }
}

RaftSim::~RaftSim ()
{
  for (auto &node : nodes_)
    crash (node->slot, false);
}

void
RaftSim::report_violation (const std::string &text)
{
  if (violation.empty ())
    violation = text + " at " + std::to_string (time_us) + " us";
}

void
RaftSim::schedule (int64_t due_us, int slot, const std::string &message)
{
  events_.push ({ due_us, sequence_++, slot, message });
}

bool
RaftSim::start (int slot)
{
  SimNode &node = *nodes_[slot];
  anv_error_t err = {};
  options_.new_id = next_id_++;
  options_.seed = rng_next (&rng);
  node.applied_index = 0;
  node.state_hash = 0;
  node.up = raft_init (&node.raft, &options_, &node.io.io, node.now (), &err);
  node.damaged = !node.up && strstr (err.text, " at byte ") != nullptr;
  if (!node.up)
    {
      crash (slot, node.disk.power_off);
      return false;
    }
  node.id = node.raft.meta.id;
  slot_of_id_[node.id] = slot;
  return true;
}

void
RaftSim::bootstrap (int voters)
{
  raft_member_t members[RAFT_MAX_MEMBERS] = {};
  for (int i = 0; i < member_count (); i++)
    {
      start (i);
      if (i < voters)
        members[i] = nodes_[i]->member ();
    }
  for (int i = 0; i < voters; i++)
    raft_bootstrap (&nodes_[i]->raft, nodes_[i]->now (), members, voters, nullptr);
}

void
RaftSim::crash (int slot, bool power_failure)
{
  SimNode &node = *nodes_[slot];
  if (node.up)
    raft_destroy (&node.raft);
  node.up = false;
  node.pending_proposals.clear ();
  node.pending_reads.clear ();
  if (power_failure)
    node.disk.crash ();
  else
    node.disk.close_handles ();
}

void
RaftSim::lose_disk (int slot)
{
  crash (slot, true);
  nodes_[slot]->disk.lose_data ();
  nodes_[slot]->damaged = false;
}

// Crashes the instance if its power has failed, a restart is pending or its member has stopped, and
// does the restart. Runs after each tick and message.
void
RaftSim::crash_if_failed (SimNode &node)
{
  const anv_error_t *failure = node.up ? raft_failure (&node.raft) : nullptr;
  if (node.up && (node.disk.power_off || node.restart_pending))
    {
      crash (node.slot, true);
      if (node.restart_pending)
        start (node.slot);
      node.restart_pending = false;
      return;
    }
  if (failure == nullptr)
    return;
  if (failure->domain == ANV_ERROR_RAFT)
    report_violation (failure->text);
  crash (node.slot, false);
}

void
RaftSim::on_send (SimNode &from, const raft_message_t *message)
{
  raft_message_t m = *message;
  if (m.type == RAFT_VOTE && !m.pre_vote)
    check_vote (from.id, m.term, from.id);
  if (m.type == RAFT_VOTE_REPLY && !m.pre_vote && m.ok)
    {
      check_vote (from.id, m.term, m.to);
      from.restart_pending = rng_uniform_double (&rng) < crash_after_vote_probability;
    }
  if (tamper)
    tamper (m);
  auto to = slot_of_id_.find (m.to);
  wire_writer_t writer;
  raft_wire_encode (&m, &writer);
  std::string bytes_out (writer.buffer.data, writer.buffer.size);
  wire_writer_destroy (&writer);
  messages++;
  bytes += bytes_out.size () + 4;
  if (to == slot_of_id_.end () || cut_links.count ({ from.slot, to->second })
      || rng_uniform_double (&rng) < loss_probability)
    return;
  int copies = rng_uniform_double (&rng) < duplicate_probability ? 2 : 1;
  for (int i = 0; i < copies; i++)
    {
      double mean = rng_uniform_double (&rng) < slow_probability ? 300 * MS : mean_link_delay_us;
      schedule (end_of_syncs (from) + 200 + (int64_t)rng_exponential (&rng, mean), to->second,
                bytes_out);
    }
}

void
RaftSim::check_vote (uint64_t voter, uint64_t term, uint64_t candidate)
{
  auto [vote, inserted] = votes_.insert ({ { voter, term }, candidate });
  if (!inserted && vote->second != candidate)
    report_violation ("two votes by one member in term " + std::to_string (term));
}

void
RaftSim::check_leader_log (SimNode &node, uint64_t term)
{
  for (auto &[index, entry] : committed_)
    {
      uint64_t found = 0;
      bool snapshot = index <= node.raft.snapshot.index;
      if (!snapshot && (!raft_log_get_term (&node.raft.log, index, &found) || found != entry.term))
        report_violation ("leader of term " + std::to_string (term) + " lacks committed entry "
                          + std::to_string (index)
                          + (index <= acked_index_ ? ", which was acknowledged" : ""));
    }
}

void
RaftSim::on_role (SimNode &node, raft_role_t role, uint64_t term)
{
  if (role != RAFT_LEADER)
    return;
  elections_won++;
  node.pending_proposals.clear (); // the outcome of what was proposed in earlier terms is unknown
  auto [leader, inserted] = leader_of_term_.insert ({ term, node.id });
  if (!inserted)
    report_violation ("two leaders in term " + std::to_string (term));
  check_leader_log (node, term);
}

void
RaftSim::on_apply (SimNode &node, uint64_t index, uint64_t term, const std::string &data)
{
  uint64_t state_hash
      = node.state_hash * 1099511628211ULL + std::hash<std::string> () (data) + index;
  auto expected = committed_.upper_bound (node.applied_index);
  if (expected == committed_.end ())
    committed_[index] = { term, state_hash, data };
  else if (expected->first != index || expected->second.term != term
           || expected->second.data != data || expected->second.state_hash != state_hash)
    report_violation ("applied entry " + std::to_string (index)
                      + " differs from what was committed");
  node.applied_index = index;
  node.state_hash = state_hash;
  auto proposal = node.pending_proposals.find (index);
  if (proposal == node.pending_proposals.end ())
    return;
  if (proposal->second.first == term)
    {
      acked_count++;
      acked_index_ = std::max (acked_index_, index);
      if (proposal->second.second != data)
        report_violation ("acknowledged proposal " + std::to_string (index) + " has other data");
    }
  node.pending_proposals.erase (proposal);
}

bool
RaftSim::on_restore (SimNode &node, const uint8_t *data, size_t size)
{
  if (size < 16)
    return false;
  node.applied_index = bytes_get_u64 (data);
  node.state_hash = bytes_get_u64 (data + 8);
  auto found = committed_.find (node.applied_index);
  if (found == committed_.end () ? node.applied_index != 0
                                 : found->second.state_hash != node.state_hash)
    report_violation ("snapshot differs from what was committed");
  return true;
}

void
RaftSim::on_read (SimNode &node, uint64_t read_id, bool ok)
{
  auto found = node.pending_reads.find (read_id);
  if (found == node.pending_reads.end ())
    return;
  if (ok && node.applied_index < found->second)
    report_violation ("read misses acknowledged entry " + std::to_string (found->second));
  confirmed_reads += ok;
  node.pending_reads.erase (found);
}

bool
RaftSim::propose (int slot, const std::string &data)
{
  SimNode &node = *nodes_[slot];
  uint64_t index = 0;
  if (!node.up
      || !raft_propose (&node.raft, node.now (), (const uint8_t *)data.data (), data.size (),
                        &index, nullptr))
    return false;
  node.pending_proposals[index] = { node.raft.meta.term, data };
  return true;
}

bool
RaftSim::request_read (int slot)
{
  SimNode &node = *nodes_[slot];
  uint64_t id = next_read_++;
  if (!node.up || !raft_request_read (&node.raft, node.now (), id, nullptr))
    return false;
  node.pending_reads[id] = acked_index_;
  return true;
}

bool
RaftSim::add_member (int slot)
{
  raft_member_t member = nodes_[slot]->member ();
  int leader_slot = leader ();
  return leader_slot >= 0
         && raft_add_member (&nodes_[leader_slot]->raft, nodes_[leader_slot]->now (), &member,
                             nullptr);
}

bool
RaftSim::remove_member (uint64_t id)
{
  int leader_slot = leader ();
  return leader_slot >= 0
         && raft_remove_member (&nodes_[leader_slot]->raft, nodes_[leader_slot]->now (), id,
                                nullptr);
}

int
RaftSim::leader () const
{
  int best = -1;
  for (auto &node : nodes_)
    {
      if (node->up && node->raft.role == RAFT_LEADER
          && (best < 0 || node->raft.meta.term > nodes_[best]->raft.meta.term))
        best = node->slot;
    }
  return best;
}

static bool
has_member (const raft_t &raft, uint64_t id)
{
  return std::any_of (raft.peers, raft.peers + raft.peer_count,
                      [id] (const raft_peer_t &peer) { return peer.member.id == id; });
}

bool
RaftSim::is_member (uint64_t id) const
{
  int leader_slot = leader ();
  return leader_slot >= 0 && has_member (nodes_[leader_slot]->raft, id);
}

bool
RaftSim::is_voter (uint64_t id) const
{
  int leader_slot = leader ();
  if (leader_slot < 0 || raft_membership_is_pending (&nodes_[leader_slot]->raft))
    return false;
  const raft_t &raft = nodes_[leader_slot]->raft;
  return std::any_of (raft.peers, raft.peers + raft.peer_count, [id] (const raft_peer_t &peer) {
    return peer.member.id == id && peer.member.voter;
  });
}

bool
RaftSim::knows_all_voters (int slot) const
{
  const raft_t &raft = nodes_[slot]->raft;
  if (!nodes_[slot]->up || raft_membership_is_pending (&raft) || raft.peer_count != nodes_.size ())
    return false;
  return std::all_of (raft.peers, raft.peers + raft.peer_count, [this] (const raft_peer_t &peer) {
    return peer.member.voter && nodes_[slot_of_id_.at (peer.member.id)]->id == peer.member.id;
  });
}

int
RaftSim::count_running_voters (int slot) const
{
  const raft_t &raft = nodes_[slot]->raft;
  int count = 0;
  if (!nodes_[slot]->up || raft_membership_is_pending (&raft))
    return -1;
  for (size_t i = 0; i < raft.peer_count; i++)
    {
      const raft_member_t &member = raft.peers[i].member;
      const SimNode &node = *nodes_[slot_of_id_.at (member.id)];
      if (!node.up || node.id != member.id)
        return -1;
      count += member.voter;
    }
  return count;
}

bool
RaftSim::is_removed_everywhere (uint64_t id) const
{
  return std::all_of (nodes_.begin (), nodes_.end (),
                      [id] (const auto &node) { return node->up && !has_member (node->raft, id); });
}

bool
RaftSim::converged () const
{
  int leader_slot = leader ();
  if (leader_slot < 0 || committed_.empty ())
    return false;
  const raft_t &raft = nodes_[leader_slot]->raft;
  for (size_t i = 0; i < raft.peer_count; i++)
    {
      const SimNode &node = *nodes_[slot_of_id_.at (raft.peers[i].member.id)];
      if (node.id == raft.peers[i].member.id
          && (!node.up || node.applied_index != committed_.rbegin ()->first))
        return false;
    }
  return raft.commit_index == raft_log_last_index (&raft.log);
}

void
RaftSim::clear_faults ()
{
  cut_links.clear ();
  loss_probability = duplicate_probability = slow_probability = crash_after_vote_probability = 0;
  for (auto &node : nodes_)
    {
      node->disk.capacity_bytes = UINT64_MAX;
      node->disk.fail_sync_in = 0;
      node->disk.power_fails_in = 0;
    }
}

std::string
RaftSim::describe () const
{
  std::ostringstream out;
  for (auto &node : nodes_)
    {
      const raft_t &r = node->raft;
      out << " [" << node->id - FIRST_ID;
      if (node->up)
        out << " " << raft_role_name (r.role) << " term " << r.meta.term << " log "
            << r.log.base_index << ".." << raft_log_last_index (&r.log) << " synced "
            << r.log.record_log.synced_index << " commit " << r.commit_index << " members";
      for (size_t i = 0; node->up && i < r.peer_count; i++)
        out << (r.peers[i].member.voter ? " " : " learner ") << r.peers[i].member.id - FIRST_ID;
      out << (node->up ? "]" : " down]");
    }
  return out.str ();
}

void
RaftSim::check_recovery ()
{
  clear_faults ();
  for (auto &node : nodes_)
    {
      if (node->up || start (node->slot))
        continue;
      // The operator gives an instance with damaged files an empty directory.
      bool damage_reported = node->damaged;
      lose_disk (node->slot);
      if (!damage_reported || !start (node->slot))
        report_violation ("instance does not start");
    }
  // The entry may be lost with a leader that was elected during the faults, so it is proposed again
  // until it is committed.
  bool done = run_until (
      [&] {
        if (!committed_.empty () && committed_.rbegin ()->second.data == "last")
          return converged ();
        if (leader () >= 0 && node (leader ()).pending_proposals.empty ())
          propose (leader (), "last");
        return false;
      },
      20 * SECOND);
  if (!done)
    report_violation ("the members did not commit and apply an entry after all faults ended:"
                      + describe ());
}

void
RaftSim::deliver (SimNode &node, const std::string &bytes_in)
{
  raft_wire_message_t decoded;
  anv_error_t err = {};
  if (!raft_wire_decode (&decoded, (const uint8_t *)bytes_in.data (), bytes_in.size (), &err))
    {
      report_violation (err.text);
      return;
    }
  raft_receive (&node.raft, node.now (), &decoded.message);
  raft_wire_destroy (&decoded);
  // The owner flushes after each batch of messages; the batches have random lengths.
  if (rng_uniform_int (&rng, 4) != 0)
    raft_flush (&node.raft, node.now ());
}

// Returns the time at which the syncs that NODE has made so far in the current call end.
int64_t
RaftSim::end_of_syncs (const SimNode &node) const
{
  return time_us + (int64_t)(node.disk.sync_count - node.call_sync_count) * sync_us;
}

void
RaftSim::run_next_event ()
{
  Event event = events_.top ();
  events_.pop ();
  time_us = event.due_us;
  SimNode &node = *nodes_[event.slot];
  if (node.up && node.busy_until_us > time_us)
    {
      schedule (node.busy_until_us, event.slot, event.message);
      return;
    }
  node.call_sync_count = node.disk.sync_count;
  if (event.message.empty ())
    schedule (time_us + 20 * MS, event.slot, "");
  if (!node.up)
    return;
  if (event.message.empty ())
    raft_tick (&node.raft, node.now ());
  else
    deliver (node, event.message);
  node.busy_until_us = end_of_syncs (node);
  crash_if_failed (node);
}

void
RaftSim::run_for (int64_t us)
{
  int64_t end = time_us + us;
  while (violation.empty () && events_.top ().due_us <= end)
    run_next_event ();
  time_us = end;
}

bool
RaftSim::run_until (const std::function<bool ()> &condition, int64_t limit_us)
{
  int64_t end = time_us + limit_us;
  while (violation.empty () && events_.top ().due_us <= end)
    {
      if (condition ())
        return true;
      run_next_event ();
    }
  return condition ();
}
