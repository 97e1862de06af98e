#pragma once

#include "raft.h"

/* group_repair - decides which members to add to and remove from a control group, so that it stays
 * complete without an operator. Pure functions.
 *
 * An instance that is not a member, because it is new or has lost its disk, asks the leader to
 * join. The membership changes by one member at a time:
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
 * raft_remove_member() rejects a removal that would leave the group without a majority. */

#define GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US INT64_C (2000000)
/* A learner that is silent for this time is taken to have failed before it became a voter. */
#define GROUP_REPAIR_SILENT_LEARNER_TIMEOUT_US INT64_C (5000000)

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

/* Returns the next membership change for the leader to propose. JOINING is the instance that asks
 * to join, or NULL. WANTED_VOTER_COUNT is the number of voters that the group should have. */
group_repair_decision_t group_repair_decide (const raft_status_t *status, int64_t now_us,
                                             const raft_member_t *joining,
                                             size_t wanted_voter_count);

/* Returns the identity of the member at PEER_ADDRESS, if it is one of those that create the group.
 * It is derived from the address, so that all of them compute the same list of members. */
uint64_t group_repair_compute_initial_id (const char *peer_address);
