#include "repair_sim.h"

#include <algorithm>
#include <cstdlib>

constexpr int64_t REPAIR_TICK_US = 100 * MS;
// The instances tick at different times, so that a new leader does not know all requests at once.
constexpr int64_t STEP_US = 10 * MS;
constexpr int STEPS_PER_TICK = REPAIR_TICK_US / STEP_US;
// Delay of the list of seeds that the instances know.
constexpr int64_t SEED_LAG_US = 3 * SECOND;
// Longest time for which a stopping leader waits for the transfer of leadership.
constexpr int64_t TRANSFER_TIMEOUT_US = SECOND;

RepairSim::RepairSim (const RepairSimOptions &options)
    : sim (options.seed, options.slots, options.seed % 2 == 0), options_ (options),
      repairs_ (options.slots), state_ (options.slots, PRESENT), restart_us_ (options.slots, 0),
      listed_from_us_ (options.slots, 0), listed_until_us_ (options.slots, INT64_MAX),
      stop_us_ (options.slots, 0), phases_ (options.slots, 0), may_stop_ (options.slots, false)
{
  const int64_t delays_us[] = { 30 * MS, 5 * MS, 500 };
  sim.mean_link_delay_us = delays_us[options.seed % 3];
  sim.use_manual_promotion ();
  sim.bootstrap (options.seeds);
  for (int slot = 0; slot < options.slots; slot++)
    {
      init_repair (slot);
      phases_[slot] = (int)rng_uniform_int (&sim.rng, STEPS_PER_TICK);
    }
  for (int slot = options.initial_instances; slot < options.slots; slot++)
    {
      sim.lose_disk (slot);
      state_[slot] = ABSENT;
      listed_from_us_[slot] = INT64_MAX;
    }
}

void
RepairSim::init_repair (int slot)
{
  group_repair_init (&repairs_[slot], options_.wanted_voter_count, sim.node (slot).now ());
}

bool
RepairSim::reaches (int from, int to)
{
  return from != to && sim.node (to).up && sim.cut_links.count ({ from, to }) == 0;
}

void
RepairSim::change_membership (int slot)
{
  SimNode &node = sim.node (slot);
  raft_status_t status;
  raft_get_status (&node.raft, &status);
  group_repair_decision_t decision
      = group_repair_next_change (&repairs_[slot], &status, node.now ());
  switch (decision.action)
    {
    case GROUP_REPAIR_ACTION_ADD:
      raft_add_member (&node.raft, node.now (), &repairs_[slot].joining, nullptr);
      break;
    case GROUP_REPAIR_ACTION_PROMOTE:
      raft_promote_member (&node.raft, node.now (), decision.id, nullptr);
      break;
    case GROUP_REPAIR_ACTION_REMOVE:
      raft_remove_member (&node.raft, node.now (), decision.id, nullptr);
      break;
    case GROUP_REPAIR_ACTION_TRANSFER:
      raft_transfer_leadership (&node.raft, node.now (), decision.id, nullptr);
      break;
    case GROUP_REPAIR_ACTION_NONE:
      break;
    }
}

void
RepairSim::receive_request (int slot, group_repair_request_t request, const raft_member_t &member,
                            int sender)
{
  SimNode &node = sim.node (slot);
  raft_status_t status;
  raft_get_status (&node.raft, &status);
  std::string address = "h" + std::to_string (sender) + ":1";
  const raft_member_t *leader = group_repair_receive_request (&repairs_[slot], &status, node.now (),
                                                              request, &member, address.c_str ());
  int leader_slot = leader != nullptr ? atoi (leader->name + 1) : slot;
  if (leader != nullptr && reaches (slot, leader_slot))
    receive_request (leader_slot, request, member, slot);
  change_membership (slot);
  int asking_slot = atoi (member.name + 1);
  raft_get_status (&node.raft, &status);
  if (request == GROUP_REPAIR_REQUEST_LEAVE && reaches (slot, asking_slot)
      && group_repair_may_stop (&repairs_[slot], &status, node.now (), member.id))
    may_stop_[asking_slot] = true;
}

// Returns whether LEADER sends messages to an earlier identity of SLOT, which reach it.
bool
RepairSim::has_earlier_identity_at (int leader, int slot)
{
  if (leader < 0 || !reaches (leader, slot))
    return false;
  const raft_t &raft = sim.node (leader).raft;
  return std::any_of (raft.peers, raft.peers + raft.peer_count, [&] (const raft_peer_t &peer) {
    return atoi (peer.member.name + 1) == slot && peer.member.id != sim.node (slot).id;
  });
}

void
RepairSim::send_request (int slot, group_repair_request_t request)
{
  SimNode &node = sim.node (slot);
  raft_status_t status;
  std::set<int> receivers;
  raft_get_status (&node.raft, &status);
  for (int seed = 0; seed < options_.slots && (int)receivers.size () < options_.seeds; seed++)
    {
      if (sim.time_us >= listed_from_us_[seed] && sim.time_us < listed_until_us_[seed])
        receivers.insert (seed);
    }
  for (size_t i = 0; i < status.peer_count; i++)
    receivers.insert (atoi (status.peers[i].member.name + 1));
  if (request == GROUP_REPAIR_REQUEST_JOIN && has_earlier_identity_at (sim.leader (), slot))
    receivers.insert (sim.leader ());
  for (int receiver : receivers)
    {
      if (reaches (slot, receiver))
        receive_request (receiver, request, node.member (), slot);
    }
}

// Asks to leave, and ends the process when it may stop or the grace period is over.
void
RepairSim::tick_stop (int slot)
{
  SimNode &node = sim.node (slot);
  raft_status_t status;
  raft_get_status (&node.raft, &status);
  if (status.role != RAFT_LEADER)
    send_request (slot, GROUP_REPAIR_REQUEST_LEAVE);
  else
    {
      raft_member_t self = node.member ();
      group_repair_receive_request (&repairs_[slot], &status, node.now (),
                                    GROUP_REPAIR_REQUEST_LEAVE, &self, "");
    }
  change_membership (slot);
  raft_get_status (&node.raft, &status);
  bool awaits_replacement
      = !may_stop_[slot] && group_repair_must_ask_to_leave (&repairs_[slot], &status);
  int64_t stopping_us = sim.time_us - stop_us_[slot];
  if ((status.role == RAFT_LEADER && stopping_us < TRANSFER_TIMEOUT_US)
      || (awaits_replacement && stopping_us < GRACE_US))
    return;
  sim.crash (slot, false);
  state_[slot] = ABSENT;
}

void
RepairSim::tick (int slot)
{
  SimNode &node = sim.node (slot);
  raft_status_t status;
  if (!node.up)
    return;
  if (state_[slot] == STOPPING)
    {
      tick_stop (slot);
      return;
    }
  raft_get_status (&node.raft, &status);
  if (group_repair_needs_request (&repairs_[slot], &status, node.now ()))
    send_request (slot, GROUP_REPAIR_REQUEST_JOIN);
  change_membership (slot);
}

void
RepairSim::run_for (int64_t us)
{
  int64_t end = sim.time_us + us;
  while (sim.time_us < end && sim.violation.empty ())
    {
      for (int slot = 0; slot < options_.slots; slot++)
        {
          if ((step_ + phases_[slot]) % STEPS_PER_TICK == 0)
            tick (slot);
        }
      if (step_++ % STEPS_PER_TICK == 0 && sim.leader () >= 0)
        sim.propose (sim.leader (), "entry " + std::to_string (++proposals_));
      sim.run_for (std::min (STEP_US, end - sim.time_us));
      for (int slot = 0; slot < options_.slots; slot++)
        {
          if (state_[slot] != ABSENT && !sim.node (slot).up && sim.time_us >= restart_us_[slot])
            restart (slot);
        }
    }
}

void
RepairSim::restart (int slot)
{
  // A process that ended during its planned stop does not return.
  if (state_[slot] == STOPPING)
    {
      state_[slot] = ABSENT;
      return;
    }
  if (!sim.start (slot))
    sim.report_violation ("instance " + std::to_string (slot) + " does not start");
  init_repair (slot);
}

void
RepairSim::start_new (int slot)
{
  state_[slot] = PRESENT;
  listed_from_us_[slot] = sim.time_us + SEED_LAG_US;
  restart (slot);
}

void
RepairSim::stop (int slot)
{
  listed_until_us_[slot] = sim.time_us + SEED_LAG_US;
  if (!sim.node (slot).up)
    {
      state_[slot] = ABSENT;
      return;
    }
  state_[slot] = STOPPING;
  stop_us_[slot] = sim.time_us;
  may_stop_[slot] = false;
}

void
RepairSim::lose_power (int slot, int64_t down_us)
{
  sim.crash (slot, true);
  restart_us_[slot] = sim.time_us + down_us;
}

void
RepairSim::lose_disk (int slot, int64_t down_us)
{
  sim.lose_disk (slot);
  restart_us_[slot] = sim.time_us + down_us;
}

void
RepairSim::cut (int slot, bool outwards)
{
  for (int other = 0; other < options_.slots; other++)
    {
      if (other != slot)
        sim.cut_links.insert (outwards ? std::make_pair (slot, other)
                                       : std::make_pair (other, slot));
    }
}

bool
RepairSim::may_be_voter (int slot)
{
  for (int other = 0; other < options_.slots; other++)
    {
      const raft_t &raft = sim.node (other).raft;
      bool known = sim.node (other).up
                   && std::any_of (
                       raft.peers, raft.peers + raft.peer_count, [&] (const raft_peer_t &peer) {
                         return peer.member.voter && peer.member.id == sim.node (slot).id;
                       });
      if (known)
        return true;
    }
  return false;
}

void
RepairSim::await_acknowledgement ()
{
  uint64_t before = sim.acked_count;
  for (int i = 0; i < 10 && sim.acked_count == before; i++)
    run_for (REPAIR_TICK_US);
}

void
RepairSim::check_service (const std::string &when)
{
  uint64_t acked_before = sim.acked_count;
  run_for (SECOND);
  if (sim.acked_count == acked_before)
    sim.report_violation ("no entry is committed " + when + ":" + sim.describe ());
}

void
RepairSim::check_voters (const std::string &when)
{
  int leader = sim.leader ();
  if (sim.violation.empty ()
      && (leader < 0 || sim.count_running_voters (leader) != (int)options_.wanted_voter_count))
    sim.report_violation ("the voters are not " + std::to_string (options_.wanted_voter_count)
                          + " running instances " + when + ":" + sim.describe ());
}
