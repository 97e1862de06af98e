#pragma once

#include "raft.h"

/* group_repair - decides which members to add to and remove from a control group, so that it stays
 * complete without an operator. Pure functions.
 *
 * An instance that is not a member, because it is new or has lost its disk, asks to join. So does a
 * member without a leader, since it may have been removed. The request goes to the seeds and to the
 * members that the instance knows. None of them need be the leader: a new instance knows only the
 * seeds, and any member may lead. So a member that does not lead forwards the request to the
 * leader.
 *
 * The membership changes by one member at a time:
 *
 * - The earlier identity at the address of the joining instance is removed first. Its disk is
 *   lost, so it will not return.
 * - If the group has at least the wanted number of members, a voter that has been silent for
 *   GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US is removed in favour of the joining one. If that voter
 *   returns, it joins again.
 * - Otherwise the joining instance is added, even beyond the wanted number, up to RAFT_MAX_MEMBERS
 *   members.
 * - If the group has more than the wanted number of voters, a voter that has been silent for
 *   GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US is removed, so that it does not raise the required
 *   majority.
 * - A learner that has been silent for GROUP_REPAIR_SILENT_LEARNER_TIMEOUT_US is removed.
 *
 * raft_remove_member() rejects a removal that would leave the group without a majority.
 *
 * tests/state/test_group_repair_faults.cc replays lost disks, up to as many at a time as the group
 * tolerates, amid power failures and one-way cuts. */

#define GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US INT64_C (2000000)
/* A learner that is silent for this time is taken to have failed before it became a voter. */
#define GROUP_REPAIR_SILENT_LEARNER_TIMEOUT_US INT64_C (5000000)

/* A member without a leader for this time asks to join. */
#define GROUP_REPAIR_NO_LEADER_TIMEOUT_US INT64_C (1000000)
/* A request to join is repeated while it is needed, and expires after this time. */
#define GROUP_REPAIR_REQUEST_TTL_US INT64_C (1000000)

typedef enum
{
  GROUP_REPAIR_ACTION_NONE,
  GROUP_REPAIR_ACTION_ADD,
  GROUP_REPAIR_ACTION_REMOVE,
} group_repair_action_t;

typedef struct
{
  group_repair_action_t action;
  uint64_t id; /* member to remove */
} group_repair_decision_t;

typedef struct
{
  size_t wanted_voter_count;
  raft_member_t joining;   /* instance that last asked to join; id 0: none */
  int64_t last_request_us; /* time of its request */
  int64_t last_leader_us;  /* last time that a leader was known */
} group_repair_t;

/* WANTED_VOTER_COUNT is the number of voters that the group should have. */
void group_repair_init (group_repair_t *repair, size_t wanted_voter_count, int64_t now_us);

/* Returns whether this instance, in STATUS, should ask to join. Call it several times a second. */
bool group_repair_needs_request (group_repair_t *repair, const raft_status_t *status,
                                 int64_t now_us);

/* Handles a request of JOINING that arrived from SENDER_ADDRESS, a peer address. Returns the member
 * to forward it to, or NULL. Only the first member forwards a request, so that two members that
 * take each other for the leader do not pass it back and forth. */
const raft_member_t *group_repair_receive_request (group_repair_t *repair,
                                                   const raft_status_t *status, int64_t now_us,
                                                   const raft_member_t *joining,
                                                   const char *sender_address);

/* Returns the next membership change for the leader to propose. */
group_repair_decision_t group_repair_next_change (const group_repair_t *repair,
                                                  const raft_status_t *status, int64_t now_us);

/* As group_repair_next_change(), without the state. JOINING is the instance that asks
 * to join, or NULL. WANTED_VOTER_COUNT is the number of voters that the group should have. */
group_repair_decision_t group_repair_decide (const raft_status_t *status, int64_t now_us,
                                             const raft_member_t *joining,
                                             size_t wanted_voter_count);

/* Returns the identity of the member at PEER_ADDRESS, if it is one of those that create the group.
 * It is derived from the address, so that all of them compute the same list of members. */
uint64_t group_repair_compute_initial_id (const char *peer_address);
