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
constexpr uint64_t COMMIT_INDEX = 50;

class GroupRepair : public ::testing::Test
{
protected:
  std::vector<raft_peer_t> peers;
  raft_status_t status = {};
  group_repair_t repair = {};

  void
  SetUp () override
  {
    group_repair_init (&repair, 3, NOW_US);
  }
  void
  add_member (uint64_t id, const std::string &address, int64_t silent_us = 0, bool voter = true)
  {
    raft_peer_t peer = {};
    peer.member.id = id;
    peer.member.voter = voter;
    g_strlcpy (peer.member.name, (address + "/" + address).c_str (), sizeof (peer.member.name));
    peer.last_reply_us = NOW_US - silent_us;
    peer.match_index = COMMIT_INDEX;
    peers.push_back (peer);
  }
  // Adds the voters 1 to COUNT at the addresses "h1:1" and so on.
  void
  add_voters (uint64_t count)
  {
    for (uint64_t id = 1; id <= count; id++)
      add_member (id, "h" + std::to_string (id) + ":1");
  }
  // Stores a request to leave of the member ID, received AGO_US before.
  void
  ask_to_leave (uint64_t id, int64_t ago_us = 0)
  {
    raft_member_t member = {};
    member.id = id;
    fill_status ();
    group_repair_receive_request (&repair, &status, NOW_US - ago_us, GROUP_REPAIR_REQUEST_LEAVE,
                                  &member, "");
  }
  // Returns the action of member 1 as the leader when JOINING_ID asks to join; 0: none asks.
  std::string
  decide_action (uint64_t joining_id = 0, const std::string &address = "",
                 size_t wanted_voter_count = 3)
  {
    repair.wanted_voter_count = wanted_voter_count;
    repair.joining.id = joining_id;
    repair.last_request_us = NOW_US;
    g_strlcpy (repair.joining.name, (address + "/" + address).c_str (),
               sizeof (repair.joining.name));
    fill_status ();
    return next_action ();
  }
  std::string
  next_action ()
  {
    group_repair_decision_t decision = group_repair_next_change (&repair, &status, NOW_US);
    switch (decision.action)
      {
      case GROUP_REPAIR_ACTION_ADD:
        return "add";
      case GROUP_REPAIR_ACTION_PROMOTE:
        return "promote " + std::to_string (decision.id);
      case GROUP_REPAIR_ACTION_REMOVE:
        return "remove " + std::to_string (decision.id);
      case GROUP_REPAIR_ACTION_TRANSFER:
        return "transfer to " + std::to_string (decision.id);
      default:
        return "nothing";
      }
  }
  // Takes the next actions, as if each change were committed at once, and returns them.
  std::string
  take_actions (size_t wanted_voter_count = 3)
  {
    std::string actions;
    for (std::string action = decide_action (0, "", wanted_voter_count); action != "nothing";
         action = decide_action (0, "", wanted_voter_count))
      {
        actions += action + ", ";
        size_t space = action.rfind (' ');
        uint64_t id = std::stoull (action.substr (space));
        if (action.rfind ("transfer", 0) == 0)
          break;
        for (size_t i = 0; i < peers.size (); i++)
          {
            if (peers[i].member.id != id)
              continue;
            if (action.rfind ("promote", 0) == 0)
              peers[i].member.voter = true;
            else
              peers.erase (peers.begin () + (long)i);
            break;
          }
      }
    return actions;
  }
  bool
  may_stop (uint64_t id)
  {
    fill_status ();
    return group_repair_may_stop (&repair, &status, NOW_US, id);
  }
  bool
  must_ask_to_leave (uint64_t id)
  {
    fill_status ();
    status.id = id;
    return group_repair_must_ask_to_leave (&repair, &status);
  }

  void
  fill_status ()
  {
    status.role = RAFT_LEADER;
    status.id = 1;
    status.commit_index = COMMIT_INDEX;
    status.peers = peers.data ();
    status.peer_count = peers.size ();
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
  EXPECT_EQ (decide_action (33, "h3:1"), "promote 33");
}

// Guards against an address that is taken for another one because it starts with it.
TEST_F (GroupRepair, AddressesAreComparedInFull)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  EXPECT_EQ (decide_action (9, "h2:11"), "add");
}

// Guards against a new instance that cannot replace a failed member, and against a group that gives
// up a silent member, which may have its disk, before the new one has caught up.
TEST_F (GroupRepair, SilentMemberIsReplacedByANewOneThatHasCaughtUp)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  add_member (3, "h3:1", 3000000);
  EXPECT_EQ (decide_action (4, "h4:1"), "add");
  add_member (4, "h4:1", 0, false);
  peers.back ().match_index = COMMIT_INDEX - 1;
  EXPECT_EQ (decide_action (), "nothing");
  peers.back ().match_index = COMMIT_INDEX;
  EXPECT_EQ (take_actions (), "remove 3, promote 4, ");
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
  add_voters (3);
  EXPECT_EQ (decide_action (4, "h4:1"), "add");
  add_member (4, "h4:1");
  EXPECT_EQ (decide_action (), "nothing");
  peers[1].last_reply_us = NOW_US - 3000000;
  EXPECT_EQ (decide_action (), "remove 2");
}

// Guards against a new group of five instances and three seeds that stays at three voters.
TEST_F (GroupRepair, InstancesBeyondTheSeedsJoin)
{
  add_voters (3);
  EXPECT_EQ (decide_action (4, "h4:1", 5), "add");
  add_member (4, "h4:1", 0, false);
  EXPECT_EQ (decide_action (5, "h5:1", 5), "add");
}

// Guards against two changes at once, and against a change by a follower or during a transfer.
TEST_F (GroupRepair, NoChangeByAFollowerOrDuringAnother)
{
  add_member (1, "h1:1");
  add_member (2, "h2:1");
  EXPECT_EQ (decide_action (3, "h3:1"), "add");
  status.change_pending = true;
  EXPECT_EQ (next_action (), "nothing");
  status.change_pending = false;
  status.transferring = true;
  EXPECT_EQ (next_action (), "nothing");
  status.transferring = false;
  status.role = RAFT_FOLLOWER;
  EXPECT_EQ (next_action (), "nothing");
}

// Guards against a group of four voters, three of which are needed: when one of them has been
// stopped as planned and another one is lost, the group has no leader any more.
TEST_F (GroupRepair, NewInstanceIsNoVoterWhileTheOthersAreUp)
{
  add_voters (3);
  add_member (4, "h4:1", 0, false);
  EXPECT_EQ (decide_action (), "nothing");
}

// Guards against a stopped voter that still counts, and against a group that is one voter short
// while the stopping one still runs.
TEST_F (GroupRepair, LearnerReplacesAVoterThatAsksToLeave)
{
  add_voters (3);
  add_member (4, "h4:1", 0, false);
  EXPECT_TRUE (must_ask_to_leave (3));
  ask_to_leave (3);
  EXPECT_FALSE (may_stop (3));
  EXPECT_EQ (take_actions (), "promote 4, remove 3, ");
  EXPECT_TRUE (may_stop (3));
}

// Guards against a planned restart that waits, or that leaves the group with fewer voters, although
// no other instance can replace the one that restarts.
TEST_F (GroupRepair, VoterWithoutReplacementStaysAndMayStopAtOnce)
{
  add_voters (3);
  EXPECT_FALSE (must_ask_to_leave (3));
  ask_to_leave (3);
  EXPECT_TRUE (may_stop (3));
  EXPECT_EQ (decide_action (), "nothing");
}

// Guards against an instance that stops although its replacement is about to have caught up.
TEST_F (GroupRepair, LeaverWaitsForALearnerThatIsBehind)
{
  add_voters (3);
  add_member (4, "h4:1", 0, false);
  peers.back ().match_index = 0;
  ask_to_leave (3);
  EXPECT_EQ (decide_action (), "nothing");
  EXPECT_FALSE (may_stop (3));
  peers.back ().last_reply_us = NOW_US - 3000000;
  EXPECT_TRUE (may_stop (3));
}

// Guards against a leader that stops before its group is complete without it, and against
// leadership that goes to another instance that stops.
TEST_F (GroupRepair, StoppingLeaderTransfersLeadershipToAVoterThatStays)
{
  add_voters (3);
  add_member (4, "h4:1", 0, false);
  ask_to_leave (1);
  ask_to_leave (2);
  EXPECT_EQ (decide_action (), "transfer to 3");
  // All voters stop: the learner has to become one first.
  ask_to_leave (3);
  EXPECT_EQ (take_actions (), "promote 4, transfer to 4, ");
}

// Guards against leadership that is passed around among instances that all stop: a new leader does
// not know yet that the others stop as well.
TEST_F (GroupRepair, NewLeaderWaitsForRequestsBeforeItTransfersLeadership)
{
  add_voters (3);
  add_member (4, "h4:1", 0, false);
  peers.back ().match_index = 0;
  status.leading_since_us = NOW_US - 200000;
  ask_to_leave (1);
  EXPECT_EQ (decide_action (), "nothing");
  ask_to_leave (2);
  status.leading_since_us = NOW_US - 400000;
  EXPECT_EQ (decide_action (), "transfer to 3");
}

// Guards against a stopping learner that replaces a voter.
TEST_F (GroupRepair, LearnerThatAsksToLeaveIsRemoved)
{
  add_voters (3);
  add_member (4, "h4:1", 0, false);
  ask_to_leave (4);
  ask_to_leave (3);
  EXPECT_FALSE (may_stop (4));
  EXPECT_EQ (take_actions (), "remove 4, ");
  EXPECT_TRUE (may_stop (4));
  EXPECT_TRUE (may_stop (3));
}

// Guards against a member that was killed while it asked to leave and is then taken for one that
// may return, and against one that was started again and is then taken for one that leaves.
TEST_F (GroupRepair, LeaverThatFellSilentIsReplacedEarly)
{
  add_voters (3);
  add_member (4, "h4:1", 0, false);
  ask_to_leave (3, 1500000);
  peers[2].last_reply_us = NOW_US - 1400000;
  EXPECT_EQ (take_actions (), "remove 3, promote 4, ");

  add_member (3, "h3:1", 0, false);
  peers[2].last_reply_us = NOW_US - 100000;
  EXPECT_EQ (decide_action (), "nothing");
}

// Guards against a majority that needs members which have all gone: with five voters, two of them
// silent and two that stop, two learners replace the silent ones.
TEST_F (GroupRepair, LossesAndPlannedStopsAtOnce)
{
  add_voters (5);
  peers[1].last_reply_us = peers[2].last_reply_us = NOW_US - 3000000;
  add_member (6, "h6:1", 0, false);
  add_member (7, "h7:1", 0, false);
  ask_to_leave (4);
  ask_to_leave (5);
  EXPECT_EQ (take_actions (5), "remove 2, promote 6, remove 3, promote 7, ");
  EXPECT_TRUE (may_stop (4));
  EXPECT_TRUE (may_stop (5));
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
