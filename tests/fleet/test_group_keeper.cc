#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "group_keeper.h"
}

namespace
{
constexpr int64_t NOW_US = 100000000;

class GroupKeeper : public ::testing::Test
{
protected:
  std::vector<raft_peer_t> peers;
  raft_status_t status = {};

  void
  add (uint64_t id, const std::string &address, int64_t silent_us = 0, bool voter = true)
  {
    raft_peer_t peer = {};
    peer.member.id = id;
    peer.member.voter = voter;
    g_strlcpy (peer.member.name, (address + "/" + address).c_str (), sizeof (peer.member.name));
    peer.last_reply_us = NOW_US - silent_us;
    peers.push_back (peer);
  }
  std::string
  decide (uint64_t joining_id = 0, const std::string &address = "", size_t voters = 3)
  {
    raft_member_t joining = {};
    joining.id = joining_id;
    g_strlcpy (joining.name, (address + "/" + address).c_str (), sizeof (joining.name));
    status.role = RAFT_LEADER;
    status.id = 1;
    status.peers = peers.data ();
    status.peer_count = peers.size ();
    keeper_decision_t decision
        = group_keeper_decide (&status, NOW_US, joining_id != 0 ? &joining : nullptr, voters);
    if (decision.action == KEEPER_ACTION_REMOVE)
      return "remove " + std::to_string (decision.id);
    return decision.action == KEEPER_ACTION_ADD ? "add" : "nothing";
  }
};
}

// Guards against a group that stays short of a member after a disk was lost: the old identity of
// the address goes first, even if it was heard a moment ago.
TEST_F (GroupKeeper, LostDiskReplacesTheIdentityOfItsAddress)
{
  add (1, "h1:1");
  add (2, "h2:1");
  add (3, "h3:1", 100000);
  EXPECT_EQ (decide (33, "h3:1"), "remove 3");
  peers.pop_back ();
  EXPECT_EQ (decide (33, "h3:1"), "add");
  add (33, "h3:1", 0, false);
  EXPECT_EQ (decide (33, "h3:1"), "nothing");
}

// Guards against an address that begins like another one.
TEST_F (GroupKeeper, AddressesAreComparedWhole)
{
  add (1, "h1:1");
  add (2, "h2:1");
  EXPECT_EQ (decide (9, "h2:11"), "add");
}

// Guards against a successor at another address that stays out while a lost member counts.
TEST_F (GroupKeeper, SilentMemberMakesRoomForANewOne)
{
  add (1, "h1:1");
  add (2, "h2:1");
  add (3, "h3:1", 3000000);
  EXPECT_EQ (decide (4, "h4:1"), "remove 3");
}

// Guards against a member that is removed because it was cut off, with nobody to take its place.
TEST_F (GroupKeeper, SilentMemberStaysWithoutASuccessor)
{
  add (1, "h1:1");
  add (2, "h2:1");
  add (3, "h3:1", 60000000);
  EXPECT_EQ (decide (), "nothing");
}

// Guards against a majority of four after a planned exchange: the surplus member goes when it is
// silent.
TEST_F (GroupKeeper, SurplusMemberGoesWhenItIsSilent)
{
  for (uint64_t id = 1; id <= 3; id++)
    add (id, "h" + std::to_string (id) + ":1");
  EXPECT_EQ (decide (4, "h4:1"), "add");
  add (4, "h4:1");
  EXPECT_EQ (decide (), "nothing");
  peers[1].last_reply_us = NOW_US - 3000000;
  EXPECT_EQ (decide (), "remove 2");
}

// Guards against the founding of five instances with three seeds that ends with three voters.
TEST_F (GroupKeeper, InstancesBeyondTheSeedsJoin)
{
  for (uint64_t id = 1; id <= 3; id++)
    add (id, "h" + std::to_string (id) + ":1");
  EXPECT_EQ (decide (4, "h4:1", 5), "add");
  add (4, "h4:1", 0, false);
  EXPECT_EQ (decide (5, "h5:1", 5), "add");
}

// Guards against two changes at once, and against a follower that decides.
TEST_F (GroupKeeper, OneChangeAtATimeAndOnlyTheLeader)
{
  add (1, "h1:1");
  add (2, "h2:1");
  status.change_pending = true;
  EXPECT_EQ (decide (3, "h3:1"), "nothing");
  status.change_pending = false;
  raft_member_t joining = {};
  joining.id = 3;
  status.role = RAFT_FOLLOWER;
  EXPECT_EQ (group_keeper_decide (&status, NOW_US, &joining, 3).action, KEEPER_ACTION_NONE);
}

// Guards against a learner that went away for good and blocks a place.
TEST_F (GroupKeeper, SilentLearnerIsRemoved)
{
  add (1, "h1:1");
  add (2, "h2:1", 6000000, false);
  EXPECT_EQ (decide (), "remove 2");
}

// Guards against founders that derive different lists.
TEST_F (GroupKeeper, FounderIdentityFollowsFromTheAddress)
{
  EXPECT_EQ (group_keeper_compute_founder_id ("10.0.0.1:1"),
             group_keeper_compute_founder_id ("10.0.0.1:1"));
  EXPECT_NE (group_keeper_compute_founder_id ("10.0.0.1:1"),
             group_keeper_compute_founder_id ("10.0.0.2:1"));
}
