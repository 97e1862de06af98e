#include "group_repair.h"

#include <string.h>

/* 64-bit FNV-1a; 0 is not a valid identity. */
uint64_t
group_repair_compute_initial_id (const char *peer_address)
{
  uint64_t hash = UINT64_C (14695981039346656037);
  for (const char *p = peer_address; *p != '\0'; p++)
    hash = (hash ^ (uint8_t)*p) * UINT64_C (1099511628211);
  return hash != 0 ? hash : 1;
}

/* Returns whether A and B, each "PEER_ADDRESS/OPERATOR_ADDRESS" or only the first of these, have
 * the same peer address. */
static bool
has_same_address (const char *a, const char *b)
{
  size_t size = strcspn (a, "/");
  return strcspn (b, "/") == size && strncmp (a, b, size) == 0;
}

void
group_repair_init (group_repair_t *repair, size_t wanted_voter_count, int64_t now_us)
{
  *repair = (group_repair_t){ .wanted_voter_count = wanted_voter_count, .last_leader_us = now_us };
}

bool
group_repair_needs_request (group_repair_t *repair, const raft_status_t *status, int64_t now_us)
{
  if (status->leader_id != 0)
    repair->last_leader_us = now_us;
  return raft_status_find_member (status, status->id) == NULL
         || now_us - repair->last_leader_us >= GROUP_REPAIR_NO_LEADER_TIMEOUT_US;
}

const raft_member_t *
group_repair_receive_request (group_repair_t *repair, const raft_status_t *status, int64_t now_us,
                              const raft_member_t *joining, const char *sender_address)
{
  if (status->role == RAFT_LEADER)
    {
      repair->joining = *joining;
      repair->last_request_us = now_us;
      return NULL;
    }
  bool forwarded = !has_same_address (joining->name, sender_address);
  const raft_member_t *leader
      = forwarded ? NULL : raft_status_find_member (status, status->leader_id);
  return leader != NULL && leader->id != joining->id ? leader : NULL;
}

static bool
is_silent (const raft_status_t *status, const raft_peer_t *peer, int64_t now_us, int64_t timeout_us)
{
  return peer->member.id != status->id && now_us - peer->last_reply_us >= timeout_us;
}

/* Returns the voter or learner that has been silent longest, at least for TIMEOUT_US, or NULL. */
static const raft_peer_t *
find_silent (const raft_status_t *status, int64_t now_us, bool voter, int64_t timeout_us)
{
  const raft_peer_t *longest_silent = NULL;
  for (size_t i = 0; i < status->peer_count; i++)
    {
      const raft_peer_t *peer = &status->peers[i];
      if (peer->member.voter == voter && is_silent (status, peer, now_us, timeout_us)
          && (longest_silent == NULL || peer->last_reply_us < longest_silent->last_reply_us))
        longest_silent = peer;
    }
  return longest_silent;
}

static group_repair_decision_t
decide_removal (const raft_peer_t *peer)
{
  return (group_repair_decision_t){ GROUP_REPAIR_ACTION_REMOVE, peer->member.id };
}

static group_repair_decision_t
decide_join (const raft_status_t *status, int64_t now_us, const raft_member_t *joining,
             size_t wanted_voter_count)
{
  if (raft_status_find_member (status, joining->id) != NULL)
    return (group_repair_decision_t){ GROUP_REPAIR_ACTION_NONE, 0 };
  for (size_t i = 0; i < status->peer_count; i++)
    {
      if (has_same_address (status->peers[i].member.name, joining->name))
        return decide_removal (&status->peers[i]);
    }
  const raft_peer_t *silent
      = find_silent (status, now_us, true, GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US);
  if (silent != NULL && status->peer_count >= wanted_voter_count)
    return decide_removal (silent);
  if (status->peer_count >= RAFT_MAX_MEMBERS)
    return (group_repair_decision_t){ GROUP_REPAIR_ACTION_NONE, 0 };
  return (group_repair_decision_t){ GROUP_REPAIR_ACTION_ADD, 0 };
}

group_repair_decision_t
group_repair_decide (const raft_status_t *status, int64_t now_us, const raft_member_t *joining,
                     size_t wanted_voter_count)
{
  group_repair_decision_t no_action = { GROUP_REPAIR_ACTION_NONE, 0 };
  size_t voter_count = 0;
  if (status->role != RAFT_LEADER || status->change_pending)
    return no_action;
  for (size_t i = 0; i < status->peer_count; i++)
    voter_count += status->peers[i].member.voter;
  const raft_peer_t *silent_voter
      = find_silent (status, now_us, true, GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US);
  if (silent_voter != NULL && voter_count > wanted_voter_count)
    return decide_removal (silent_voter);
  const raft_peer_t *silent_learner
      = find_silent (status, now_us, false, GROUP_REPAIR_SILENT_LEARNER_TIMEOUT_US);
  if (silent_learner != NULL)
    return decide_removal (silent_learner);
  return joining != NULL ? decide_join (status, now_us, joining, wanted_voter_count) : no_action;
}

group_repair_decision_t
group_repair_next_change (const group_repair_t *repair, const raft_status_t *status, int64_t now_us)
{
  bool joining
      = repair->joining.id != 0 && now_us - repair->last_request_us <= GROUP_REPAIR_REQUEST_TTL_US;
  return group_repair_decide (status, now_us, joining ? &repair->joining : NULL,
                              repair->wanted_voter_count);
}
