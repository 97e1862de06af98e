#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "group_repair.h"
}

namespace
{
constexpr int64_t NOW_US = 100000000;

class GroupRepair : public ::testing::Test
{
protected:
  std::vector<raft_peer_t> peers;
  raft_status_t status = {};

  void
  add_member (uint64_t id, const std::string &address, int64_t silent_us = 0, bool voter = true)
  {
    raft_peer_t peer = {};
    peer.member.id = id;
    peer.member.voter = voter;
    g_strlcpy (peer.member.name, (address + "/" + address).c_str (), sizeof (peer.member.name));
    peer.last_reply_us = NOW_US - silent_us;
    peers.push_back (peer);
  }
  // Returns the action of member 1 as the leader when JOINING_ID asks to join; 0: none asks.
  std::string
  decide_action (uint64_t joining_id = 0, const std::string &address = "",
                 size_t wanted_voter_count = 3)
  {
    raft_member_t joining = {};
    joining.id = joining_id;
    g_strlcpy (joining.name, (address + "/" + address).c_str (), sizeof (joining.name));
    status.role = RAFT_LEADER;
    status.id = 1;
    status.peers = peers.data ();
    status.peer_count = peers.size ();
    group_repair_decision_t decision = group_repair_decide (
        &status, NOW_US, joining_id != 0 ? &joining : nullptr, wanted_voter_count);
    if (decision.action == GROUP_REPAIR_ACTION_REMOVE)
      return "remove " + std::to_string (decision.id);
    return decision.action == GROUP_REPAIR_ACTION_ADD ? "add" : "nothing";
  }
};
}

// Guards against a group that stays one member short after an instance has lost its disk: the
// earlier identity at its address is removed first, even if it replied a moment ago.
TEST_F (GroupRepair, EarlierIdentityAtTheAddressIsRemoved)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  add_member (3, "h3:1", 100000);
  EXPECT_EQ (decide_action (33, "h3:1"), "remove 3");
  peers.pop_back ();
  EXPECT_EQ (decide_action (33, "h3:1"), "add");
  add_member (33, "h3:1", 0, false);
  EXPECT_EQ (decide_action (33, "h3:1"), "nothing");
}

// Guards against an address that is taken for another one because it starts with it.
TEST_F (GroupRepair, AddressesAreComparedInFull)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  EXPECT_EQ (decide_action (9, "h2:11"), "add");
}

// Guards against a new instance that cannot join because a failed member still counts.
TEST_F (GroupRepair, SilentMemberIsRemovedForANewOne)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  add_member (3, "h3:1", 3000000);
  EXPECT_EQ (decide_action (4, "h4:1"), "remove 3");
}

// Guards against the removal of a disconnected member when no instance asks to join in its place.
TEST_F (GroupRepair, SilentMemberStaysIfNoneJoins)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  add_member (3, "h3:1", 60000000);
  EXPECT_EQ (decide_action (), "nothing");
}

// Guards against a group of three that needs the majority of four members after a planned
// replacement: the surplus member is removed when it is silent.
TEST_F (GroupRepair, SurplusMemberIsRemovedWhenSilent)
{
  for (uint64_t id = 1; id <= 3; id++)
    add_member (id, "h" + std::to_string (id) + ":1");
  EXPECT_EQ (decide_action (4, "h4:1"), "add");
  add_member (4, "h4:1");
  EXPECT_EQ (decide_action (), "nothing");
  peers[1].last_reply_us = NOW_US - 3000000;
  EXPECT_EQ (decide_action (), "remove 2");
}

// Guards against a new group of five instances and three seeds that stays at three voters.
TEST_F (GroupRepair, InstancesBeyondTheSeedsJoin)
{
  for (uint64_t id = 1; id <= 3; id++)
    add_member (id, "h" + std::to_string (id) + ":1");
  EXPECT_EQ (decide_action (4, "h4:1", 5), "add");
  add_member (4, "h4:1", 0, false);
  EXPECT_EQ (decide_action (5, "h5:1", 5), "add");
}

// Guards against two changes at once, and against a change by a follower.
TEST_F (GroupRepair, NoChangeByAFollowerOrDuringAnother)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  status.change_pending = true;
  EXPECT_EQ (decide_action (3, "h3:1"), "nothing");
  status.change_pending = false;
  raft_member_t joining = {};
  joining.id = 3;
  status.role = RAFT_FOLLOWER;
  EXPECT_EQ (group_repair_decide (&status, NOW_US, &joining, 3).action, GROUP_REPAIR_ACTION_NONE);
}

// Guards against a failed learner that stays in the group and counts towards its size.
TEST_F (GroupRepair, SilentLearnerIsRemoved)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1", 6000000, false);
  EXPECT_EQ (decide_action (), "remove 2");
}

// Guards against first members that derive different member lists.
TEST_F (GroupRepair, FounderIdIsDerivedFromTheAddress)
{
  EXPECT_EQ (group_repair_compute_initial_id ("10.0.0.1:1"),
             group_repair_compute_initial_id ("10.0.0.1:1"));
  EXPECT_NE (group_repair_compute_initial_id ("10.0.0.1:1"),
             group_repair_compute_initial_id ("10.0.0.2:1"));
}
