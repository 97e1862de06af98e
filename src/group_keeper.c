#include "group_keeper.h"

#include <string.h>

uint64_t
group_keeper_founder_id (const char *peer_address)
{
  uint64_t hash = UINT64_C (14695981039346656037);
  for (const char *p = peer_address; *p != '\0'; p++)
    hash = (hash ^ (uint8_t)*p) * UINT64_C (1099511628211);
  return hash != 0 ? hash : 1;
}

/* A member's name is "PEER_ADDRESS/OPERATOR_ADDRESS". */
static bool
has_same_address (const char *a, const char *b)
{
  size_t size = strcspn (a, "/");
  return strcspn (b, "/") == size && strncmp (a, b, size) == 0;
}

static bool
is_silent (const raft_status_t *status, const raft_peer_t *peer, int64_t now_us, int64_t limit_us)
{
  return peer->member.id != status->id && now_us - peer->heard_us >= limit_us;
}

static const raft_peer_t *
find_silent (const raft_status_t *status, int64_t now_us, bool voter, int64_t limit_us)
{
  const raft_peer_t *oldest = NULL;
  for (size_t i = 0; i < status->peer_count; i++)
    {
      const raft_peer_t *peer = &status->peers[i];
      if (peer->member.voter == voter && is_silent (status, peer, now_us, limit_us)
          && (oldest == NULL || peer->heard_us < oldest->heard_us))
        oldest = peer;
    }
  return oldest;
}

static keeper_decision_t
remove_peer (const raft_peer_t *peer)
{
  return (keeper_decision_t){ KEEPER_REMOVE, peer->member.id };
}

static keeper_decision_t
decide_join (const raft_status_t *status, int64_t now_us, const raft_member_t *joining,
             size_t voters)
{
  for (size_t i = 0; i < status->peer_count; i++)
    {
      if (status->peers[i].member.id == joining->id)
        return (keeper_decision_t){ KEEPER_NOTHING, 0 };
    }
  for (size_t i = 0; i < status->peer_count; i++)
    {
      if (has_same_address (status->peers[i].member.name, joining->name))
        return remove_peer (&status->peers[i]);
    }
  const raft_peer_t *silent = find_silent (status, now_us, true, KEEPER_SILENCE_US);
  if (silent != NULL && status->peer_count >= voters)
    return remove_peer (silent);
  if (status->peer_count >= RAFT_MAX_MEMBERS)
    return (keeper_decision_t){ KEEPER_NOTHING, 0 };
  return (keeper_decision_t){ KEEPER_ADD, 0 };
}

keeper_decision_t
group_keeper_decide (const raft_status_t *status, int64_t now_us, const raft_member_t *joining,
                     size_t voters)
{
  keeper_decision_t nothing = { KEEPER_NOTHING, 0 };
  size_t present = 0;
  if (status->role != RAFT_LEADER || status->change_pending)
    return nothing;
  for (size_t i = 0; i < status->peer_count; i++)
    present += status->peers[i].member.voter;
  const raft_peer_t *surplus = find_silent (status, now_us, true, KEEPER_SILENCE_US);
  if (surplus != NULL && present > voters)
    return remove_peer (surplus);
  const raft_peer_t *learner = find_silent (status, now_us, false, KEEPER_LEARNER_SILENCE_US);
  if (learner != NULL)
    return remove_peer (learner);
  return joining != NULL ? decide_join (status, now_us, joining, voters) : nothing;
}
