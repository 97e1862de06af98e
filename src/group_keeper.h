#pragma once

#include "raft.h"

/* group_keeper - keeps the members of a control group complete without an operator; pure.
 *
 * An instance that is not a member, because it is new or has lost its disk, asks the leader to
 * join. Members are exchanged one at a time:
 *
 * - The identity that the address of the joining instance had before is removed first: its disk is
 *   lost, so it will not come back.
 * - If the group has as many members as it should, one that has been silent for
 *   KEEPER_SILENCE_US is removed for the new one. Should it come back, it joins again.
 * - A surplus voter that is silent is removed, so that it does not raise the majority.
 *
 * raft_remove_member() refuses each removal that would lose the majority. */

#define KEEPER_SILENCE_US INT64_C (2000000)
/* A learner that is silent for longer has gone before it became a voter. */
#define KEEPER_LEARNER_SILENCE_US INT64_C (5000000)

typedef enum
{
  KEEPER_NOTHING,
  KEEPER_ADD,
  KEEPER_REMOVE,
} keeper_action_t;

typedef struct
{
  keeper_action_t action;
  uint64_t id; /* to remove */
} keeper_decision_t;

/* Decides what the leader does next. JOINING is the member that asks, or NULL. VOTERS is the number
 * of voters that the group should have. */
keeper_decision_t group_keeper_decide (const raft_status_t *status, int64_t now_us,
                                       const raft_member_t *joining, size_t voters);

/* The identity of the founding member at PEER_ADDRESS: all founders derive the same list. */
uint64_t group_keeper_founder_id (const char *peer_address);
