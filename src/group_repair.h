#pragma once

#include "raft.h"

/* group_repair - decides which members a control group adds, promotes and removes, so that it keeps
 * its tolerance without an operator. Pure functions. docs/design/group-membership.md has the
 * reasons.
 *
 * An instance that is not a member, because it is new or has lost its disk, asks to join. So does a
 * member without a leader, since it may have been removed. An instance that is about to stop asks
 * to leave, until the leader tells it that it may stop. Requests go to the seeds and to the members
 * that the instance knows. None of them need be the leader: a new instance knows only the seeds,
 * and any member may lead. So a member that does not lead forwards a request to the leader. An
 * instance that lost its disk also asks members that send messages to its earlier identity, since
 * all of the seeds that it knows may have been replaced.
 *
 * An instance that joins becomes a learner, which does not count for majorities. A learner that has
 * caught up becomes a voter only if the group has too few voters or in place of a voter:
 *
 * - The earlier identity at the address of a joining instance is removed at once. Its disk is lost,
 *   so it will not return.
 * - A voter that has been silent for GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US, or that left without
 *   waiting, is removed, then a learner is promoted. In the other order the silent voter would
 *   raise the required majority. Without a learner that has caught up, the silent voter stays: it
 *   may return with its disk.
 * - For a voter that asks to leave, a learner is promoted first. The leaver is still up, and
 * without it the group could have one voter too few.
 * - Surplus voters are removed if they are silent or ask to leave.
 * - A leader that asks to leave transfers leadership, if possible to a voter that stays. A new
 * leader first waits for the requests of others, which may stop as well; otherwise they would pass
 *   leadership around, and nobody would replace them.
 * - Learners are removed when they ask to leave, and when they have been silent for
 *   GROUP_REPAIR_SILENT_LEARNER_TIMEOUT_US.
 *
 * raft_remove_member() rejects a removal that would leave the group without a majority.
 *
 * tests/state/test_group_repair_faults.cc replays lost disks, planned stops and replacements of
 * instances, up to as many losses at a time as the group tolerates, amid power failures and one-way
 * cuts. */

#define GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US INT64_C (2000000)
/* A learner that is silent for this time is taken to have failed before it became a voter. */
#define GROUP_REPAIR_SILENT_LEARNER_TIMEOUT_US INT64_C (5000000)
/* A member that asked to leave and is silent for this time has ended. Members reply to each
 * heartbeat. */
#define GROUP_REPAIR_SILENT_LEAVER_TIMEOUT_US INT64_C (500000)

/* A member without a leader for this time asks to join. */
#define GROUP_REPAIR_NO_LEADER_TIMEOUT_US INT64_C (1000000)
/* A new leader has received the requests to leave after this time; they are repeated every 100 ms.
 */
#define GROUP_REPAIR_MIN_LEADERSHIP_US INT64_C (300000)
/* A request is repeated while it is needed, and expires after this time. */
#define GROUP_REPAIR_REQUEST_TTL_US INT64_C (1000000)

typedef enum
{
  GROUP_REPAIR_REQUEST_JOIN,
  GROUP_REPAIR_REQUEST_LEAVE,
} group_repair_request_t;

typedef enum
{
  GROUP_REPAIR_ACTION_NONE,
  GROUP_REPAIR_ACTION_ADD,      /* the joining instance, as a learner */
  GROUP_REPAIR_ACTION_PROMOTE,  /* a learner */
  GROUP_REPAIR_ACTION_REMOVE,   /* a voter or learner */
  GROUP_REPAIR_ACTION_TRANSFER, /* leadership to a voter */
} group_repair_action_t;

typedef struct
{
  group_repair_action_t action;
  uint64_t id;        /* member that the action is for */
  const char *reason; /* for the log */
  int64_t silent_us;  /* time since the last reply of that member; 0: not a member or itself */
} group_repair_decision_t;

/* Request to leave of a member. */
typedef struct
{
  uint64_t id; /* 0: unused */
  int64_t last_request_us;
} group_repair_leaver_t;

typedef struct
{
  size_t wanted_voter_count;
  raft_member_t joining;   /* instance that last asked to join; id 0: none */
  int64_t last_request_us; /* time of its request */
  group_repair_leaver_t leavers[RAFT_MAX_MEMBERS];
  int64_t last_leader_us; /* last time that a leader was known */
} group_repair_t;

/* WANTED_VOTER_COUNT is the number of voters that the group should have. */
void group_repair_init (group_repair_t *repair, size_t wanted_voter_count, int64_t now_us);

/* Returns whether this instance, in STATUS, should ask to join. Call it several times a second. */
bool group_repair_needs_request (group_repair_t *repair, const raft_status_t *status,
                                 int64_t now_us);

/* Handles a REQUEST of MEMBER that arrived from SENDER_ADDRESS, a peer address. Returns the member
 * to forward it to, or NULL. Only the first member forwards a request, so that two members that
 * take each other for the leader do not pass it back and forth. */
const raft_member_t *group_repair_receive_request (group_repair_t *repair,
                                                   const raft_status_t *status, int64_t now_us,
                                                   group_repair_request_t request,
                                                   const raft_member_t *member,
                                                   const char *sender_address);

/* Returns the next membership change or transfer for the leader to start. */
group_repair_decision_t group_repair_next_change (const group_repair_t *repair,
                                                  const raft_status_t *status, int64_t now_us);

/* Returns whether the leader, in STATUS, may tell the member ID that asks to leave to stop: it is
 * no member any more, or nothing can replace it. */
bool group_repair_may_stop (const group_repair_t *repair, const raft_status_t *status,
                            int64_t now_us, uint64_t id);

/* Returns whether this instance, in STATUS, must ask the leader before it stops. It need not if
 * there is, as far as it knows, no member that could replace it. */
bool group_repair_must_ask_to_leave (const group_repair_t *repair, const raft_status_t *status);

/* Returns the identity of the member at PEER_ADDRESS, if it is one of those that create the group.
 * It is derived from the address, so that all of them compute the same list of members. */
uint64_t group_repair_compute_initial_id (const char *peer_address);
