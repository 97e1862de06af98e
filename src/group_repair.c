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

/* Returns the request to leave of the member ID, or NULL. */
static const group_repair_leaver_t *
find_leaver (const group_repair_t *repair, uint64_t id)
{
  for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++)
    {
      if (repair->leavers[i].id == id)
        return &repair->leavers[i];
    }
  return NULL;
}

/* Stores a request to leave in place of an earlier one of the same member or of the oldest one. */
static void
record_leaver (group_repair_t *repair, uint64_t id, int64_t now_us)
{
  group_repair_leaver_t *slot = &repair->leavers[0];
  for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++)
    {
      group_repair_leaver_t *leaver = &repair->leavers[i];
      if (leaver->id == id)
        {
          slot = leaver;
          break;
        }
      if (leaver->last_request_us < slot->last_request_us)
        slot = leaver;
    }
  *slot = (group_repair_leaver_t){ .id = id, .last_request_us = now_us };
}

const raft_member_t *
group_repair_receive_request (group_repair_t *repair, const raft_status_t *status, int64_t now_us,
                              group_repair_request_t request, const raft_member_t *member,
                              const char *sender_address)
{
  if (status->role == RAFT_LEADER)
    {
      if (request == GROUP_REPAIR_REQUEST_LEAVE)
        record_leaver (repair, member->id, now_us);
      else
        {
          repair->joining = *member;
          repair->last_request_us = now_us;
        }
      return NULL;
    }
  bool forwarded = !has_same_address (member->name, sender_address);
  const raft_member_t *leader
      = forwarded ? NULL : raft_status_find_member (status, status->leader_id);
  return leader != NULL && leader->id != member->id ? leader : NULL;
}

/* Returns the instance that asks to join and is not a member, or NULL. */
static const raft_member_t *
get_joining (const group_repair_t *repair, const raft_status_t *status, int64_t now_us)
{
  bool recent
      = repair->joining.id != 0 && now_us - repair->last_request_us <= GROUP_REPAIR_REQUEST_TTL_US;
  return recent && raft_status_find_member (status, repair->joining.id) == NULL ? &repair->joining
                                                                                : NULL;
}

/* Returns for how long the leader, in STATUS, has had no reply of PEER; 0 for the leader itself. */
static int64_t
get_silence_us (const raft_status_t *status, const raft_peer_t *peer, int64_t now_us)
{
  return peer->member.id != status->id ? now_us - peer->last_reply_us : 0;
}

/* Returns whether PEER asks to leave, or did so before it fell silent. A member that replies
 * after its last request has expired was started again. */
static bool
is_leaving (const group_repair_t *repair, const raft_status_t *status, const raft_peer_t *peer,
            int64_t now_us)
{
  const group_repair_leaver_t *leaver = find_leaver (repair, peer->member.id);
  if (leaver == NULL)
    return false;
  bool stopped = peer->member.id != status->id
                 && peer->last_reply_us - leaver->last_request_us <= GROUP_REPAIR_REQUEST_TTL_US;
  return stopped || now_us - leaver->last_request_us <= GROUP_REPAIR_REQUEST_TTL_US;
}

/* A member for the leader to decide on. */
typedef struct
{
  const raft_peer_t *peer;
  int64_t silent_us;
  bool leaving;
  bool gone;  /* does not run, as far as the leader can tell */
  bool ready; /* learner that can be promoted */
} candidate_t;

static candidate_t
assess (const group_repair_t *repair, const raft_status_t *status, const raft_peer_t *peer,
        int64_t now_us)
{
  candidate_t candidate = {
    .peer = peer,
    .silent_us = get_silence_us (status, peer, now_us),
    .leaving = is_leaving (repair, status, peer, now_us),
  };
  int64_t timeout_us = GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US;
  if (!peer->member.voter)
    timeout_us = GROUP_REPAIR_SILENT_LEARNER_TIMEOUT_US;
  if (candidate.leaving)
    timeout_us = GROUP_REPAIR_SILENT_LEAVER_TIMEOUT_US;
  candidate.gone = candidate.silent_us >= timeout_us;
  candidate.ready = !peer->member.voter && !candidate.leaving
                    && candidate.silent_us < GROUP_REPAIR_SILENT_LEAVER_TIMEOUT_US
                    && peer->match_index >= status->commit_index;
  return candidate;
}

/* The members that the next change may be for. The peer of a candidate is NULL if there is none. */
typedef struct
{
  size_t voter_count;
  bool self_leaves;             /* the leader asks to leave */
  candidate_t needless_learner; /* one that is gone or leaves; the longest silent one */
  candidate_t ready_learner;    /* the one that has the most of the log */
  candidate_t gone_voter;       /* the longest silent one */
  candidate_t leaving_voter;   /* one that is not gone; the leader itself only if no other one is */
  candidate_t staying_voter;   /* another voter than the leader that neither leaves nor is silent;
                                  the one that has the most of the log */
  candidate_t reachable_voter; /* the same, also one that leaves */
} overview_t;

static bool
has_longer_log (const candidate_t *a, const candidate_t *b)
{
  return b->peer == NULL || a->peer->match_index > b->peer->match_index;
}

static bool
is_longer_silent (const candidate_t *a, const candidate_t *b)
{
  return b->peer == NULL || a->silent_us > b->silent_us;
}

static void
add_learner (overview_t *overview, const candidate_t *learner)
{
  if ((learner->gone || learner->leaving)
      && is_longer_silent (learner, &overview->needless_learner))
    overview->needless_learner = *learner;
  if (learner->ready && has_longer_log (learner, &overview->ready_learner))
    overview->ready_learner = *learner;
}

static void
add_voter (overview_t *overview, const candidate_t *voter, bool self)
{
  bool reachable = !self && voter->silent_us < GROUP_REPAIR_SILENT_LEAVER_TIMEOUT_US;
  overview->voter_count++;
  overview->self_leaves = overview->self_leaves || (self && voter->leaving);
  if (voter->gone && is_longer_silent (voter, &overview->gone_voter))
    overview->gone_voter = *voter;
  if (voter->leaving && !voter->gone && (!self || overview->leaving_voter.peer == NULL))
    overview->leaving_voter = *voter;
  if (reachable && has_longer_log (voter, &overview->reachable_voter))
    overview->reachable_voter = *voter;
  if (reachable && !voter->leaving && has_longer_log (voter, &overview->staying_voter))
    overview->staying_voter = *voter;
}

static overview_t
survey (const group_repair_t *repair, const raft_status_t *status, int64_t now_us)
{
  overview_t overview = { 0 };
  for (size_t i = 0; i < status->peer_count; i++)
    {
      const raft_peer_t *peer = &status->peers[i];
      candidate_t candidate = assess (repair, status, peer, now_us);
      if (peer->member.voter)
        add_voter (&overview, &candidate, peer->member.id == status->id);
      else
        add_learner (&overview, &candidate);
    }
  return overview;
}

static group_repair_decision_t
decide (group_repair_action_t action, const candidate_t *candidate, const char *reason)
{
  return (group_repair_decision_t){ action, candidate->peer->member.id, reason,
                                    candidate->silent_us };
}

/* Decides on the instance that asks to join. */
static group_repair_decision_t
decide_join (const raft_status_t *status, const raft_member_t *joining, int64_t now_us)
{
  for (size_t i = 0; i < status->peer_count; i++)
    {
      const raft_peer_t *peer = &status->peers[i];
      if (has_same_address (peer->member.name, joining->name))
        return (group_repair_decision_t){ GROUP_REPAIR_ACTION_REMOVE, peer->member.id,
                                          "an instance without its disk joins at its address",
                                          get_silence_us (status, peer, now_us) };
    }
  if (status->peer_count >= RAFT_MAX_MEMBERS)
    return (group_repair_decision_t){ 0 };
  return (group_repair_decision_t){ GROUP_REPAIR_ACTION_ADD, joining->id, "asked to join", 0 };
}

/* Decides on voters and learners. */
static group_repair_decision_t
decide_replacement (const overview_t *overview, uint64_t self, size_t wanted_voter_count)
{
  const candidate_t *leaver = &overview->leaving_voter;
  bool has_learner = overview->ready_learner.peer != NULL;

  if (overview->voter_count > wanted_voter_count && overview->gone_voter.peer != NULL)
    return decide (GROUP_REPAIR_ACTION_REMOVE, &overview->gone_voter, "surplus voter is silent");
  if (overview->voter_count > wanted_voter_count && leaver->peer != NULL
      && leaver->peer->member.id != self)
    return decide (GROUP_REPAIR_ACTION_REMOVE, leaver, "surplus voter asks to leave");
  if (overview->voter_count < wanted_voter_count && has_learner)
    return decide (GROUP_REPAIR_ACTION_PROMOTE, &overview->ready_learner, "too few voters");
  if (overview->gone_voter.peer != NULL && has_learner)
    return decide (GROUP_REPAIR_ACTION_REMOVE, &overview->gone_voter,
                   "voter is silent and a learner replaces it");
  if (overview->voter_count == wanted_voter_count && leaver->peer != NULL && has_learner)
    return decide (GROUP_REPAIR_ACTION_PROMOTE, &overview->ready_learner, "a voter asks to leave");
  return (group_repair_decision_t){ 0 };
}

/* Returns whether a learner or an instance that asks to join could become a voter in place of the
 * member ID. */
static bool
has_successor (const group_repair_t *repair, const raft_status_t *status, int64_t now_us,
               uint64_t id)
{
  if (get_joining (repair, status, now_us) != NULL)
    return true;
  for (size_t i = 0; i < status->peer_count; i++)
    {
      candidate_t candidate = assess (repair, status, &status->peers[i], now_us);
      const raft_member_t *member = &candidate.peer->member;
      if (!member->voter && member->id != id && !candidate.leaving
          && candidate.silent_us < GROUP_REPAIR_SILENT_VOTER_TIMEOUT_US)
        return true;
    }
  return false;
}

group_repair_decision_t
group_repair_next_change (const group_repair_t *repair, const raft_status_t *status, int64_t now_us)
{
  group_repair_decision_t decision = { 0 };
  if (status->role != RAFT_LEADER || status->change_pending || status->transferring)
    return decision;
  overview_t overview = survey (repair, status, now_us);
  bool may_transfer
      = overview.self_leaves && now_us - status->leading_since_us >= GROUP_REPAIR_MIN_LEADERSHIP_US;
  const raft_member_t *joining = get_joining (repair, status, now_us);

  if (overview.needless_learner.peer != NULL)
    return decide (GROUP_REPAIR_ACTION_REMOVE, &overview.needless_learner,
                   overview.needless_learner.leaving ? "learner asks to leave"
                                                     : "learner is silent");
  if (joining != NULL)
    decision = decide_join (status, joining, now_us);
  if (decision.action == GROUP_REPAIR_ACTION_NONE && may_transfer
      && overview.staying_voter.peer != NULL)
    decision = decide (GROUP_REPAIR_ACTION_TRANSFER, &overview.staying_voter, "the leader stops");
  if (decision.action == GROUP_REPAIR_ACTION_NONE)
    decision = decide_replacement (&overview, status->id, repair->wanted_voter_count);
  if (decision.action == GROUP_REPAIR_ACTION_NONE && may_transfer
      && overview.reachable_voter.peer != NULL
      && !has_successor (repair, status, now_us, status->id))
    decision = decide (GROUP_REPAIR_ACTION_TRANSFER, &overview.reachable_voter, "the leader stops");
  return decision;
}

static size_t
count_voters (const raft_status_t *status)
{
  size_t count = 0;
  for (size_t i = 0; i < status->peer_count; i++)
    count += status->peers[i].member.voter;
  return count;
}

bool
group_repair_may_stop (const group_repair_t *repair, const raft_status_t *status, int64_t now_us,
                       uint64_t id)
{
  if (status->role != RAFT_LEADER || status->change_pending)
    return false;
  const raft_member_t *member = raft_status_find_member (status, id);
  if (member == NULL)
    return true;
  /* A learner that asks to leave is removed, and so is a surplus voter. */
  return member->voter && count_voters (status) <= repair->wanted_voter_count
         && !has_successor (repair, status, now_us, id);
}

bool
group_repair_must_ask_to_leave (const group_repair_t *repair, const raft_status_t *status)
{
  const raft_member_t *self = raft_status_find_member (status, status->id);
  if (self == NULL)
    return false;
  return count_voters (status) < status->peer_count
         || count_voters (status) > repair->wanted_voter_count;
}
